package peer

import (
	"flag"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/work"
)

var (
	scaleSizes = flag.String("mesh.scale", "", "numbers of VMs, as in 9,30,100, for TestScale")
	scaleDCs   = flag.Int("mesh.dcs", 4, "number of data centres in TestScale")
	scaleTime  = flag.Duration("mesh.time", 10*time.Second, "time for which TestScale counts")
)

func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memory() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapInuse + s.StackInuse
}

// Measures the control traffic, CPU and memory of each VM; runs only with -mesh.scale.
func TestScale(t *testing.T) {
	if *scaleSizes == "" {
		t.Skip("-mesh.scale is not set")
	}
	for _, f := range strings.Split(*scaleSizes, ",") {
		n, err := strconv.Atoi(f)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(f, func(t *testing.T) { measure(t, n) })
	}
}

func measure(t *testing.T, n int) {
	before, began := memory(), time.Now()
	var meshes []*Mesh
	for i := range n {
		meshes = append(meshes, start(t, Config{ID: fmt.Sprintf("vm%03d", i), Addr: ""}, i%*scaleDCs))
	}
	seed(t, meshes...)
	t.Logf("%d VMs in %d data centres know each other after %v", n, *scaleDCs, time.Since(began).Round(time.Millisecond))
	time.Sleep(3 * time.Second) // the exchange of the start is not counted
	var bytes, messages []int64
	for _, m := range meshes {
		bytes, messages = append(bytes, m.Stats().ControlSentBytes()), append(messages, m.Stats().ControlSent())
	}
	used, at := cpu(), time.Now()
	time.Sleep(*scaleTime)
	used = cpu() - used
	secs := time.Since(at).Seconds()
	var sum, most, count int64
	for i, m := range meshes {
		b := m.Stats().ControlSentBytes() - bytes[i]
		sum, most = sum+b, max(most, b)
		count += m.Stats().ControlSent() - messages[i]
	}
	conns := len(meshes[0].conns())
	perVM := float64(memory()-before) / float64(n)
	t.Logf("each VM sends %.0f B/s of control messages (the most: %.0f), %.1f messages/s, %d connections",
		float64(sum)/secs/float64(n), float64(most)/secs, float64(count)/secs/float64(n), conns)
	t.Logf("with 69 bytes of TLS, TCP and IP for each message: %.0f B/s", float64(sum+69*count)/secs/float64(n))
	t.Logf("CPU %.2f%% of a core, memory %.1f MB for each VM", 100*used.Seconds()/secs/float64(n), perVM/(1<<20))
	events := 0
	for _, m := range meshes {
		if len(m.View().Live()) != n {
			events++
		}
	}
	gomega.NewWithT(t).Expect(events).To(gomega.BeZero(), "VMs that do not see all others as live")
}

// BenchmarkStream measures a unit with a short answer through another VM, over loopback.
func BenchmarkStream(b *testing.B) {
	a, _ := pair(b, newOwner(echo))
	ctx := testContext(b)
	frames := make([]byte, 100)
	b.Run("serial", func(b *testing.B) {
		s := a.Stream("b")
		for b.Loop() {
			s.Run(ctx, work.Unit{Frames: frames}, func([]byte) error { return nil })
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.RunParallel(func(p *testing.PB) {
			s := a.Stream("b")
			for p.Next() {
				s.Run(ctx, work.Unit{Frames: frames}, func([]byte) error { return nil })
			}
		})
	})
}
