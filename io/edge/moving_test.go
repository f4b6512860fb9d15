package edge_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"verbenagate/core/lead"
	"verbenagate/io/entry"
	"verbenagate/io/metric"
)

// Guards against a read that is tried again without any wait until its deadline: while the primary is being replaced, no position is known
// by which a replica could serve a read with an age limit, and the old primary, which drains, was chosen again and again. A few such
// reads took all processor time of the VM, so that it learned of no change of the store.
func TestReadsWaitWhilePrimaryIsReplaced(t *testing.T) {
	for name, replace := range map[string]func(s *deployment){
		"the primary drains": func(s *deployment) { s.register(0, "draining") },
		"the replicas are behind": func(s *deployment) {
			s.group.Server(1).SetReportedLag(time.Minute)
			s.group.Server(2).SetReportedLag(time.Minute)
		},
	} {
		t.Run(name, func(t *testing.T) { testReadsWaitWhilePrimaryIsReplaced(t, replace) })
	}
}

// replacedRoute is the timeout of the route of the reads that wait in the tests here.
const replacedRoute = 4 * time.Second

func testReadsWaitWhilePrimaryIsReplaced(t *testing.T, replace func(s *deployment)) {
	const reads = 3
	// maxChoices is what a read may need: with each step of the backoff each of the servers once, and the primary, and the same for one
	// change of the primary.
	maxChoices := int64(reads * (entry.Attempts(replacedRoute) + 1) * 4)
	s := newFleet(t)
	defer s.close()
	owner := s.replacePrimary(reads, replace)
	defer close(s.promotion)
	n := s.countChoices(owner, func() { s.readAll(reads) })
	if n > maxChoices {
		t.Errorf("%d servers were chosen for %d reads, at most %d are expected", n, reads, maxChoices)
	}
}

// Guards against a VM that loses its lease, and learns of no change, because reads that no server can take use up its processor time. They
// are as many as a VM of a fifth of a core must bear, and may use three quarters of that, with the callers here.
func TestWaitingReadsLeaveTimeForRenewals(t *testing.T) {
	const (
		reads    = 500
		maxUsage = 0.15 * raceSlowdown // processor time by time
		renewals = int(replacedRoute/lead.RenewInterval) - 1
	)
	s := newFleet(t)
	defer s.close()
	owner := s.replacePrimary(reads, func(s *deployment) { s.register(0, "draining") })
	defer close(s.promotion)
	before := processorTime(t)
	time.Sleep(replacedRoute)
	own := processorTime(t) - before // of the VMs and stand-ins without the reads

	done := make(chan struct{})
	renewed, least := make(chan int), time.Hour
	go func() {
		n, last := 0, time.Duration(0)
		for {
			left := s.vms[owner].State().Elector.LeaseLeft
			if left > last {
				n++
			}
			last, least = left, min(least, left)
			select {
			case <-time.After(10 * time.Millisecond):
			case <-done:
				renewed <- n
				return
			}
		}
	}()
	var used time.Duration
	n := s.countChoices(owner, func() {
		before := processorTime(t)
		s.readAll(reads)
		used = processorTime(t) - before - own
	})
	close(done)
	if n := <-renewed; n < renewals || least <= 0 {
		t.Errorf("the lease was renewed %d times, at least %d are expected; %s of it were left at least", n, renewals, least)
	}
	if most := int64(reads * (entry.Attempts(replacedRoute) + 1) * 4); n > most {
		t.Errorf("%d servers were chosen for %d reads, at most %d are expected", n, reads, most)
	}
	t.Logf("%s of processor time for %d reads and %d choices of a server", used, reads, n)
	if used.Seconds() > maxUsage*replacedRoute.Seconds() {
		t.Errorf("the reads used %s of processor time in %s, of which a VM of a fifth of a core has %s", used, replacedRoute, replacedRoute/5)
	}
}

// Guards against a stop that closes the connections of callers whose reads wait for a server, without an answer: the wait between two
// attempts may be longer than the time that is left.
func TestStopAnswersWaitingReads(t *testing.T) {
	const reads = 30
	s := newFleet(t)
	defer s.close()
	owner := s.replacePrimary(reads, func(s *deployment) { s.register(0, "draining") })
	defer close(s.promotion)
	stop := time.AfterFunc(replacedRoute/3, func() { s.vms[owner].Stop() })
	defer stop.Stop()
	s.readAll(reads)
}

// processorTime returns the processor time that the process has used.
func processorTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// replacePrimary opens this many sessions to the owner of the primary, and begins a replacement of the primary that lasts until s.promotion
// is closed. It returns the owner, once no position is known that is new enough for a read with an age limit.
func (s *deployment) replacePrimary(sessions int, replace func(s *deployment)) (owner string) {
	s.promotion = make(chan struct{})
	s.onPromote = func() { <-s.promotion }
	owner = ownerOf(s.vms["a"], "ledger-0")
	for i := range sessions {
		s.open(fmt.Sprint("c", i), owner, "old", "key", "")
	}
	replace(s)
	s.waitFor("primary being replaced", func() bool { return s.usablePrimary(s.vms[owner]) == "" })
	time.Sleep(replacedRoute)
	return owner
}

// readAll sends a read on each of the sessions, and expects that none can be served.
func (s *deployment) readAll(sessions int) {
	answers := make(chan string, sessions)
	for i := range sessions {
		go func() { answers <- s.send(fmt.Sprint("c", i), fmt.Sprintf("r%d READ x", i)) }()
	}
	for range sessions {
		if got := <-answers; got != "ERR BUSY, I\n" && got != "ERR BEHIND, I\n" {
			s.t.Errorf("a read was answered %q", got)
		}
	}
}

// countChoices returns how often a VM chose a server during f.
func (s *deployment) countChoices(vm string, f func()) (n int64) {
	before := s.counter(vm, metric.Prefix+entry.Choices)
	f()
	time.Sleep(2 * metric.ReportInterval)
	return s.counter(vm, metric.Prefix+entry.Choices) - before
}

// counter returns the value of a counter of a VM.
func (s *deployment) counter(vm, name string) int64 {
	resp, err := http.Get("http://" + s.metrics[vm] + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			n, err := strconv.ParseFloat(text, 64)
			if err != nil {
				s.t.Fatal(err)
			}
			return int64(n)
		}
	}
	return 0
}
