package edge_test

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenagate/lab/rows"
)

// The defaults are those of the run in CI. Longer ones, with other seeds, are started by hand.
var (
	drillSeed = flag.Uint64("drill.seed", 1, "seed of TestDrills")
	drillTime = flag.Duration("drill.time", 25*time.Second, "duration of TestDrills")
)

// writer writes numbered values of one key, and remembers which were acknowledged.
type writer struct {
	key   string
	acked []string
	tried map[string]bool
}

// run writes through VMs in turn until stop is closed. A value whose outcome is unknown is not written again.
func (w *writer) run(address func(n int) string, stop <-chan struct{}) {
	var conn net.Conn
	var c *caller
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", address(n), time.Second); err != nil {
				conn = nil
				continue
			}
			c = &caller{conn: conn, r: bufio.NewReader(conn)}
			_, _ = fmt.Fprintf(conn, "START pay %s\r\n", w.key)
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			if readAnswerOf(c) != "I" {
				_ = conn.Close()
				conn = nil
				continue
			}
		}
		value := fmt.Sprint("v", n)
		w.tried[value] = true
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = fmt.Fprintf(conn, "QUERY %s-%d WRITE %s %s\r\n", w.key, n, w.key, value)
		switch answer := readAnswerOf(c); {
		case strings.HasPrefix(answer, "DONE "):
			w.acked = append(w.acked, value)
		case strings.HasSuffix(answer, "closed"):
			_ = conn.Close()
			conn = nil
		}
	}
}

// check returns what is wrong with the values that a server has of the key: an acknowledged one is missing or not in order, or one is
// there twice.
func (w *writer) check(data []string) string {
	seen := make(map[string]bool)
	for _, v := range data {
		if seen[v] || !w.tried[v] {
			return v + " is there twice, or was not written"
		}
		seen[v] = true
	}
	at := 0
	for _, v := range w.acked {
		i := slices.Index(data[at:], v)
		if i < 0 {
			return fmt.Sprintf("%s was acknowledged, and is missing or out of order", v)
		}
		at += i + 1
	}
	return ""
}

// drainPrimaries lets one primary after the other leave, and come back as a replica, until stop is closed.
func (s *deployment) drainPrimaries(stop <-chan struct{}) {
	for {
		for i, server := range s.group.Servers() {
			if !server.IsLeader() {
				continue
			}
			s.register(i, "draining")
			for server.IsLeader() {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
			s.register(i, "ready")
		}
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
		}
	}
}

// Guards against acknowledged writes that are lost, writes that are there twice and a deployment that serves no more, where drills of the
// store meet replaced primaries, stopped VMs and each other.
func TestDrills(t *testing.T) {
	s := newDeployment(t)
	defer s.close()
	for _, name := range []string{"a", "b", "c"} {
		s.startVM(name)
	}
	r := rand.New(rand.NewPCG(*drillSeed, 1))
	var mu sync.Mutex // of the addresses
	addresses := []string{s.callers["a"], s.callers["b"], s.callers["c"]}
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				s.group.Replicate()
			}
		}
	})
	writers := make([]*writer, 4)
	for i := range writers {
		writers[i] = &writer{key: fmt.Sprint("k", i), tried: make(map[string]bool)}
		background.Go(func() {
			writers[i].run(func(n int) string {
				mu.Lock()
				defer mu.Unlock()
				return addresses[(i+n)%len(addresses)]
			}, stop)
		})
	}
	background.Go(func() { s.drainPrimaries(stop) })
	s.store.Backup()
	for end := time.Now().Add(*drillTime); time.Now().Before(end); time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond) {
		switch r.IntN(6) {
		case 0: // a drill, with a copy that is as old as the steps since the last one
			s.store.SetFault(rows.FaultDown)
			time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
			s.store.Restore()
			s.store.SetFault(rows.FaultNone)
			time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
			for i := range s.group.Servers() {
				s.register(i, "ready")
			}
			s.writeConfig()
		case 1:
			s.store.Backup()
		case 2, 3: // a VM is replaced
			i := r.IntN(len(addresses))
			name := string(rune('a' + i))
			s.vms[name].Stop()
			s.launchVM(name)
			mu.Lock()
			addresses[i] = s.callers[name]
			mu.Unlock()
		}
	}
	for name, vm := range s.vms {
		s.waitFor("ready with a usable primary: VM "+name, func() bool { return vm.Ready() && s.usablePrimary(vm) != "" })
	}
	close(stop)
	background.Wait()
	s.group.Replicate()
	for _, server := range s.group.Servers() {
		for _, w := range writers {
			if wrong := w.check(server.Data(w.key)); wrong != "" {
				t.Errorf("server %s, key %s: %s", server.ID(), w.key, wrong)
			}
		}
	}
	for _, w := range writers {
		t.Logf("key %s: %d of %d writes acknowledged", w.key, len(w.acked), len(w.tried))
	}
	t.Logf("%d eras, %d orders", s.store.Era(), len(s.promoteRequests))
}
