package proof

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"verbenagate/core/result"
	"verbenagate/io/admin"
	"verbenagate/io/revlog"
	"verbenagate/lab/load"
)

// noteFault records the time of a fault, and the primary and its term before the fault.
func (s *script) noteFault() {
	s.lastFault = time.Since(s.begin)
	if p := s.w.site.Primary(service); p != nil {
		s.primaryBefore, s.termBefore = p, p.Status().Term
	}
}

// serverIndex returns the number, from 0, of the server that a script calls "primary", "replica" or "server1" and so on.
func (s *script) serverIndex(name string) int {
	s.t.Helper()
	primary := slices.Index(s.w.servers(), s.w.site.Primary(service))
	n := -1
	switch {
	case name == "primary":
		n = primary
	case name == "replica":
		n = (primary + 1) % len(s.w.servers())
	case strings.HasPrefix(name, "server"):
		n = int(s.number(strings.TrimPrefix(name, "server"))) - 1
	}
	if n < 0 || n >= len(s.w.servers()) {
		s.t.Fatalf("there is no server %q", name)
	}
	return n
}

func (s *script) crash(a []string) {
	n := s.serverIndex(a[0])
	s.noteFault()
	_ = s.w.proxies[n].Refuse(true) // an error only means that the listener is closed already
	s.w.servers()[n].Crash()
	s.w.proxies[n].Reset()
}

// restart restarts all servers that crashed.
func (s *script) restart([]string) {
	s.reachableAgain = time.Since(s.begin)
	for i, g := range s.w.proxies {
		if s.w.servers()[i].Restart() != nil {
			continue // it is running
		}
		if err := g.Refuse(false); err != nil {
			s.t.Fatal(err)
		}
	}
}

func (s *script) freeze(a []string) {
	srv := s.w.servers()[s.serverIndex(a[0])]
	s.noteFault()
	srv.Freeze()
	if len(a) > 1 {
		time.Sleep(s.duration(a[1]))
		srv.Unfreeze()
	}
}

// thaw continues all frozen servers.
func (s *script) thaw([]string) {
	s.reachableAgain = time.Since(s.begin)
	for _, srv := range s.w.servers() {
		srv.Unfreeze()
	}
}

// cut takes "SERVER from vms", "SERVER from servers", "dc of SERVER" or "VM from platform". It does not affect connections
// between VMs; isolate cuts those of a data centre as well.
func (s *script) cut(a []string) {
	s.noteFault()
	c := &condition{cut: true}
	switch {
	case a[0] == "dc":
		n := s.serverIndex(a[2])
		crossing := s.w.net.crossingDataCentre(s.w.net.dataCentre[serverName(n)])
		c.affects = func(from, to string) bool {
			return crossing(from, to) && !(isVM(from) && isVM(to)) && !(isServer(from) && isServer(to))
		}
		s.w.servers()[n].CutReplication(true)
	case a[2] == "servers":
		s.w.servers()[s.serverIndex(a[0])].CutReplication(true)
		return
	case a[2] == "vms":
		c.affects = bothWays(serverName(s.serverIndex(a[0])), "all")
	case a[2] == "platform":
		c.affects = bothWays(s.w.vm(a[0]).id, platformName)
	default:
		s.t.Fatalf("unknown cut %v", a)
	}
	s.w.net.addCondition(c)
}

// isolate takes "dc of SERVER" and cuts all traffic between that data centre and the others, and to and from the platform.
func (s *script) isolate(a []string) {
	s.noteFault()
	s.isolated = s.w.net.dataCentre[serverName(s.serverIndex(a[2]))]
	s.w.net.addCondition(&condition{cut: true, affects: s.w.net.crossingDataCentre(s.isolated)})
	s.isolatedAt = time.Now()
}

// link takes "A to B FAULT" or "A and B FAULT", where FAULT is "cut", "delay D", "loss F" or "reset".
func (s *script) link(a []string) {
	s.noteFault()
	for _, name := range []string{a[0], a[2]} {
		if name != "all" {
			s.w.vm(name) // fails the test if there is no such VM
		}
	}
	c := &condition{affects: bothWays(a[0], a[2])}
	if a[1] == "to" {
		c.affects = oneWay(a[0], a[2])
	}
	switch a[3] {
	case "cut":
		c.cut = true
	case "delay":
		c.delay = s.duration(a[4])
	case "loss":
		c.loss = s.number(a[4])
	case "reset":
		s.w.net.resetConnections(c.affects)
		return
	default:
		s.t.Fatalf("unknown fault of a link %q", a[3])
	}
	s.w.net.addCondition(c)
}

// heal ends all cuts, isolations and faults of links.
func (s *script) heal([]string) {
	s.reachableAgain = time.Since(s.begin)
	s.w.net.removeCondition(nil)
	for _, srv := range s.w.servers() {
		srv.CutReplication(false)
	}
	s.isolated = ""
}

func (s *script) lag(a []string) {
	for _, srv := range s.w.servers() {
		srv.SetLag(s.duration(a[0]))
	}
}

func (s *script) leave(a []string) {
	n := s.serverIndex(a[0])
	s.noteFault()
	s.w.servers()[n].SetLeaving(true)
}

func (s *script) platform(a []string) {
	p := s.w.site.Platform()
	switch a[0] {
	case "down", "up":
		if len(a) > 1 {
			p.NextCommit(revlog.HeadKey, true) // "down after change"
			return
		}
		p.SetDown(a[0] == "down")
	case "slow":
		p.SetDelay(s.duration(a[1]))
	case "lose":
		p.LoseAnswers(int(s.number(a[1])))
	default:
		s.t.Fatalf("unknown state of the platform %q", a[0])
	}
}

// pauseVM stops the process of a VM for the given duration, or until the step "continue" without one. "owner" is the VM that
// owns the primary.
func (s *script) pauseVM(a []string) {
	id := a[0]
	if id == "owner" {
		id = s.owner(s.w.proxies[s.serverIndex("primary")].Addr())
	}
	s.noteFault()
	s.w.signal(id, syscall.SIGSTOP)
	if len(a) == 1 {
		s.paused = id
		return
	}
	time.Sleep(s.duration(a[1]))
	s.w.signal(id, syscall.SIGCONT)
}

// owner returns the VM that owns a server.
func (s *script) owner(address string) string {
	for _, id := range s.w.vmIDs {
		d, err := s.dump(id)
		if err == nil && slices.Contains(d.OwnedServers, address) {
			return id
		}
	}
	s.t.Fatalf("no VM owns server %s", address)
	return ""
}

// awaitGracefulExit waits until a VM has ended, which it must do with exit code 0.
func (s *script) awaitGracefulExit(id string) {
	if err := s.w.awaitExit(id, 30*time.Second); err != nil {
		s.t.Fatalf("%s did not stop gracefully: %v", id, err)
	}
}

func (s *script) drain(id string) {
	if err := s.w.cli("vm1", "vm", "drain", id); err != nil {
		s.t.Fatal(err)
	}
	s.awaitGracefulExit(id)
}

// await takes "write within 9s", "promotion within 9s", "owners within 9s" or "revision within 5s".
func (s *script) await(a []string) {
	limit := s.duration(a[2])
	switch a[0] {
	case "write":
		// The limit starts at the fault. Writes acknowledged before the promotion don't count: the old primary took them.
		from := max(s.lastFault, s.promotedAt)
		s.w.await("a write is acknowledged", time.Until(s.begin.Add(s.lastFault+limit)), func() error {
			if _, ok := s.record.FirstWriteAfter(from); !ok {
				return errors.New("no write was acknowledged yet")
			}
			return nil
		})
		took, _ := s.record.FirstWriteAfter(from)
		s.t.Logf("first write %v after the fault", (from - s.lastFault + took).Round(time.Millisecond))
	case "promotion":
		s.w.await("another server is promoted to primary", limit, func() error {
			if p := s.w.site.Primary(service); p == nil || p == s.primaryBefore || p.Status().Term <= s.termBefore {
				return errors.New("no other primary with a newer term yet")
			}
			return nil
		})
		s.promotedAt = time.Since(s.begin)
	case "owners":
		s.awaitOwners(limit)
	case "revision":
		for _, id := range s.w.vmIDs {
			s.w.await(fmt.Sprintf("%s has revision %d", id, s.revision), limit, func() error { return s.hasRevision(id) })
		}
	default:
		s.t.Fatalf("unknown event %q", a[0])
	}
}

func (s *script) hasRevision(id string) error {
	n, err := s.w.revision(id)
	if err == nil && n < s.revision {
		err = fmt.Errorf("%s has revision %d, not %d", id, n, s.revision)
	}
	return err
}

// expect takes "same primary", "no new term", "no errors", "no interruption", "no writes for 2s",
// "no work on SERVER for 2s" or "held commit not acknowledged".
func (s *script) expect(a []string) {
	switch what := strings.Join(a, " "); {
	case what == "same primary":
		if p := s.w.site.Primary(service); p != s.primaryBefore || p.Status().Term != 1 {
			s.t.Error("the primary was replaced")
		}
	case what == "no new term":
		for i, srv := range s.w.servers() {
			if st := srv.Status(); st.Promised > s.termBefore {
				s.t.Errorf("server %d has promised term %d", i+1, st.Promised)
			}
		}
	case what == "no errors":
		for text, n := range s.record.Summary().Errors {
			s.t.Errorf("%d callers got the error: %s", n, text)
		}
	case what == "held commit not acknowledged":
		s.expectHeldCommitNotAcknowledged()
	case what == "no interruption":
		s.expectNoInterruption()
	case strings.HasPrefix(what, "no writes for "):
		from := time.Since(s.begin)
		time.Sleep(s.duration(a[3]))
		if _, ok := s.record.FirstWriteAfter(from); ok {
			s.t.Error("a write was acknowledged")
		}
	case strings.HasPrefix(what, "no work on "):
		s.expectNoWork(s.serverIndex(a[3]), s.duration(a[5]))
	default:
		s.t.Fatalf("unknown expectation %q", what)
	}
}

// expectNoInterruption fails the test if a caller got an error or a request was cut off. The only error allowed is the notice
// that a VM sends when it closes a connection between requests.
func (s *script) expectNoInterruption() {
	sum := s.record.Summary()
	for text, n := range sum.Errors {
		if !strings.Contains(text, "connect again") {
			s.t.Errorf("%d callers got the error: %s", n, text)
		}
	}
	for kind, count := range sum.Count {
		if n := count[load.Unknown.String()] + count[load.Failed.String()]; n > 0 {
			s.t.Errorf("%d requests of kind %s were cut off or failed", n, kind)
		}
	}
}

func (s *script) expectNoWork(n int, d time.Duration) {
	count := func() (int, int) {
		others := 0
		for i, srv := range s.w.servers() {
			if i != n {
				others += srv.Started()
			}
		}
		return s.w.servers()[n].Started(), others
	}
	before, othersBefore := count()
	time.Sleep(d)
	after, others := count()
	if others == othersBefore {
		s.t.Error("the other servers had no work either, so the check proved nothing")
	}
	if after != before {
		s.t.Errorf("server %d began %d statements", n+1, after-before)
	}
}

// apply changes the service through the VM a[0], which must accept the change, or refuse it if a[1] is "refused".
func (s *script) apply(a []string) {
	before, err := s.w.revision(a[0])
	if err != nil {
		s.t.Fatal(err)
	}
	spec := s.w.definition()
	spec.Timeout += time.Duration(before) * time.Millisecond
	err = s.w.apply(a[0], "", spec)
	if refused := len(a) > 1 && a[1] == "refused"; refused != (err != nil) {
		s.t.Fatalf("unexpected result of the change: error %v", err)
	} else if refused {
		return
	}
	s.revision, err = s.w.revision(a[0])
	if err != nil {
		s.t.Fatal(err)
	}
	if s.revision != before+1 {
		s.t.Errorf("one change took the service from revision %d to %d", before, s.revision)
	}
}

// race lets one operator at each VM change the same revision concurrently. It repeats this a[0] times.
func (s *script) race(a []string) {
	var err error
	if s.revision, err = s.w.revision("vm1"); err != nil {
		s.t.Fatal(err)
	}
	for range int(s.number(a[0])) {
		for _, id := range s.w.vmIDs {
			s.w.await(id+" has the current revision", 5*time.Second, func() error { return s.hasRevision(id) })
		}
		s.raceOnce(s.revision) // sets s.revision to that of the accepted change
	}
}

func (s *script) raceOnce(based uint64) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	winners := map[string]uint64{}
	for i, id := range s.w.vmIDs {
		wg.Go(func() {
			spec := s.w.definition()
			spec.Timeout += time.Duration(100*int(based)+i) * time.Millisecond
			err := s.w.operator(id, func(ctx context.Context, c *admin.Client) error {
				rev, _, err := c.Apply(ctx, spec, based, id)
				if err == nil {
					mu.Lock()
					defer mu.Unlock()
					winners[id] = rev.Number()
				}
				return err
			})
			if err != nil && result.CodeOf(err) != result.RevisionConflict {
				s.t.Errorf("the change of %s was refused with: %v", id, err)
			}
		})
	}
	wg.Wait()
	if len(winners) != 1 {
		s.t.Errorf("changes on revision %d were accepted from %v", based, winners)
	}
	for id, n := range winners {
		if n != based+1 {
			s.t.Errorf("the change of %s on revision %d became revision %d", id, based, n)
		}
		s.revision = based + 1
	}
}

func (s *script) snapshot([]string) { s.savedState = s.w.site.Platform().Snapshot() }

func (s *script) restore([]string) { s.w.site.Platform().Restore(s.savedState) }
