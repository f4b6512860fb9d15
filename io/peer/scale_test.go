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
	scaleSizes       = flag.String("mesh.scale", "", "comma-separated numbers of VMs for TestScale, such as 9,30,100")
	scaleDataCentres = flag.Int("mesh.dcs", 4, "number of data centres in TestScale")
	scaleDuration    = flag.Duration("mesh.time", 10*time.Second, "duration of the measurement in TestScale")
)

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memoryInUse() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapInuse + s.StackInuse
}

// Measures control traffic, CPU time and memory per VM. Runs only if -mesh.scale is set.
func TestScale(t *testing.T) {
	if *scaleSizes == "" {
		t.Skip("-mesh.scale is not set")
	}
	for _, f := range strings.Split(*scaleSizes, ",") {
		n, err := strconv.Atoi(f)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(f, func(t *testing.T) { measureMesh(t, n) })
	}
}

func measureMesh(t *testing.T, n int) {
	memoryBefore, startedAt := memoryInUse(), time.Now()
	var meshes []*Mesh
	for i := range n {
		meshes = append(meshes, startMesh(t, Config{ID: fmt.Sprintf("vm%03d", i), Addr: ""}, i%*scaleDataCentres))
	}
	seedAndWait(t, meshes...)
	t.Logf("%d VMs in %d data centres have completed discovery after %v", n, *scaleDataCentres, time.Since(startedAt).Round(time.Millisecond))
	time.Sleep(3 * time.Second) // leaves the traffic of the discovery out
	var bytesBefore, messagesBefore []int64
	for _, m := range meshes {
		bytesBefore, messagesBefore = append(bytesBefore, m.Stats().ControlSentBytes()), append(messagesBefore, m.Stats().ControlSent())
	}
	cpuUsed, measuredFrom := cpuTime(), time.Now()
	time.Sleep(*scaleDuration)
	cpuUsed = cpuTime() - cpuUsed
	secs := time.Since(measuredFrom).Seconds()
	var totalBytes, maxBytes, totalMessages int64
	for i, m := range meshes {
		b := m.Stats().ControlSentBytes() - bytesBefore[i]
		totalBytes, maxBytes = totalBytes+b, max(maxBytes, b)
		totalMessages += m.Stats().ControlSent() - messagesBefore[i]
	}
	conns := len(meshes[0].conns())
	perVM := float64(memoryInUse()-memoryBefore) / float64(n)
	t.Logf("each VM sends %.0f B/s of control messages (maximum %.0f), %.1f messages/s, %d connections",
		float64(totalBytes)/secs/float64(n), float64(maxBytes)/secs, float64(totalMessages)/secs/float64(n), conns)
	t.Logf("including 69 bytes of TLS, TCP and IP per message: %.0f B/s", float64(totalBytes+69*totalMessages)/secs/float64(n))
	t.Logf("CPU %.2f%% of a core, memory %.1f MB per VM", 100*cpuUsed.Seconds()/secs/float64(n), perVM/(1<<20))
	incompleteViews := 0
	for _, m := range meshes {
		if len(m.View().Live()) != n {
			incompleteViews++
		}
	}
	gomega.NewWithT(t).Expect(incompleteViews).To(gomega.BeZero(), "VMs that do not see all VMs as live")
}

// BenchmarkStream measures a unit with a short answer that runs on another VM over loopback.
func BenchmarkStream(b *testing.B) {
	a, _ := startPair(b, newOwnerStream(runEcho))
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
