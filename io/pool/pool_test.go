package pool

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/exec"
	"verbenagate/core/layout"
	"verbenagate/core/point"
	"verbenagate/core/query"
	"verbenagate/core/result"
	"verbenagate/core/route"
	"verbenagate/io/watch"
	"verbenagate/lab/lines"
	"verbenagate/platform"
)

type silent struct{}

func (silent) Event(event.ID, ...zap.Field) {}

const limit = 20 * time.Second

// newGroup returns a group of stand-ins and what a VM knows of it, with at most share connections to each server.
func newGroup(t *testing.T, share int) (*lines.Group, *Group) {
	stand, err := lines.NewGroup("ledger", 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stand.Close)
	set := NewSet("vm", "dc0", platform.NewDialer("vm"), 1, time.Now, silent{})
	set.Update(new(watch.View))
	g := &Group{name: "ledger", vm: "vm", home: "dc0", clock: time.Now, dialer: set.dialer, log: silent{}, pools: make(map[string]*Pool)}
	var members []layout.Server
	for _, s := range stand.Servers() {
		members = append(members, layout.NewServer(s.ID(), "ledger", s.Addr(), "dc0", 3, false, s.Leads(), 1))
	}
	g.update(members, share, 1, false)
	return stand, g
}

func acquire(t *testing.T, g *Group, id string, values map[string]string) *Conn {
	p, ok := g.Pool(id)
	if !ok {
		t.Fatalf("no pool of %s", id)
	}
	c, err := p.Acquire(Want{Limit: limit, Patience: limit, Priority: 1, Values: values})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against the replacement of a primary that is only too busy to tell its status.
func TestBusyServerIsAnAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	stand, group := newGroup(t, 1)
	stand.Server(0).SetBusy(true)
	_, answered, err := group.Status("ledger-0", limit)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(answered).To(gomega.BeTrue())
	stand.Server(0).SetBusy(false)
	s, answered, err := group.Status("ledger-0", limit)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answered).To(gomega.BeTrue())
	g.Expect(s.Primary()).To(gomega.BeTrue())
	stand.Server(0).Stop()
	_, answered, err = group.Status("ledger-0", limit)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(answered).To(gomega.BeFalse())
}

// Guards against a primary whose failure is noticed late, and replicas whose lag is not seen, because callers hold all connections.
func TestStatusDoesNotWaitForCallers(t *testing.T) {
	g := gomega.NewWithT(t)
	_, group := newGroup(t, 1)
	held := acquire(t, group, "ledger-0", nil)
	_, answered, err := group.Status("ledger-0", limit)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answered).To(gomega.BeTrue())
	p, _ := group.Pool("ledger-0")
	g.Expect(p.State().Open).To(gomega.Equal(1), "the connection beyond the limit is closed")
	held.Release()
	g.Expect(p.State().Idle).To(gomega.Equal(1))
}

// Guards against session values or prepared statements that one session leaves to the next.
func TestAdopt(t *testing.T) {
	g := gomega.NewWithT(t)
	_, group := newGroup(t, 1)
	name := func(n int) string { return fmt.Sprint("p", n) }
	c := acquire(t, group, "ledger-0", nil)
	g.Expect(c.Adopt(limit, map[string]string{"a": "1", "b": "2"})).To(gomega.Succeed())
	first, err := c.Prepared(limit, query.NewShape(false, "x"), name)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := c.Prepared(limit, query.NewShape(false, "x"), name)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.Equal(first))
	g.Expect(c.Adopt(limit, map[string]string{"a": "3"})).To(gomega.Succeed())
	g.Expect(c.values).To(gomega.Equal(map[string]string{"a": "3"}))
	other, err := c.Prepared(limit, query.NewShape(false, "x"), name)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(other).NotTo(gomega.Equal(first), "the reset dropped the first one")
	c.Release()
}

// Guards against a connection whose state is uncertain that serves another session, and against a limit that is exceeded.
func TestLimitAndBrokenConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	stand, group := newGroup(t, 1)
	c := acquire(t, group, "ledger-0", nil)
	p, _ := group.Pool("ledger-0")
	_, err := p.Acquire(Want{Limit: time.Millisecond, Patience: limit, Priority: 1})
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.QueueFull))
	got := make(chan error, 1)
	go func() {
		next, err := p.Acquire(Want{Limit: limit, Patience: limit})
		if err == nil && next == c {
			err = errors.New("the broken connection was given out again")
		}
		if err == nil {
			next.Release()
		}
		got <- err
	}()
	for p.State().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	stand.Server(0).Mute("READ", true)
	_, sent, err := c.Do(10*time.Millisecond, exec.NewRun("1", "READ x", point.Point{}))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(sent).To(gomega.BeTrue())
	c.Release()
	g.Expect(<-got).To(gomega.Succeed())
	g.Expect(p.State().Open).To(gomega.Equal(1))
}

// Guards against a queue in which every statement waits for longer than its caller can use.
func TestHopelessWaitIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	_, group := newGroup(t, 1)
	p, _ := group.Pool("ledger-0")
	p.gate.RecordHoldTime(time.Second)
	c := acquire(t, group, "ledger-0", nil)
	_, err := p.Acquire(Want{Limit: limit, Patience: 500 * time.Millisecond})
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.Overloaded))
	c.Release()
}

// Guards against more statements on a server than this VM may have running there, which fill its queue, and against an urgent
// statement that waits behind others.
func TestRunningIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	_, group := newGroup(t, 1)
	p, _ := group.Pool("ledger-0")
	p.setLimits(1, 1, false)
	g.Expect(p.enter(limit, 1)).To(gomega.BeTrue())
	g.Expect(p.enter(time.Millisecond, 0)).To(gomega.BeFalse())
	order := make(chan int, 2)
	for n, priority := range []int{2, 1} {
		go func() {
			p.enter(limit, priority)
			order <- priority
			p.leave(time.Millisecond)
		}()
		for p.State().Queue <= n {
			time.Sleep(time.Millisecond)
		}
	}
	p.leave(time.Millisecond)
	g.Expect([]int{<-order, <-order}).To(gomega.Equal([]int{1, 2}))
	g.Expect(p.State().Running).To(gomega.BeZero())
}

// Guards against waiters that hang when the server is gone, and against a server of another id at a reused address.
func TestServerIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	stand, group := newGroup(t, 1)
	c := acquire(t, group, "ledger-0", nil)
	p, _ := group.Pool("ledger-0")
	got := make(chan error, 1)
	go func() {
		_, err := p.Acquire(Want{Limit: limit, Patience: limit})
		got <- err
	}()
	for p.State().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	group.update([]layout.Server{
		layout.NewServer("other", "ledger", stand.Server(0).Addr(), "dc0", 3, false, false, 2),
	}, 1, 1, false)
	g.Expect(result.CodeOf(<-got)).To(gomega.Equal(result.NoServer))
	c.Release()
	g.Expect(p.State().Open).To(gomega.BeZero())
	next, ok := group.Pool("other")
	g.Expect(ok).To(gomega.BeTrue())
	_, err := next.Acquire(Want{Limit: limit, Patience: limit})
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.NoServer), "the server refuses the wrong id")
}

// Guards against VMs that keep others from a server by connections that rest, where there are more VMs than connections.
func TestCrowdedConnectionsAreClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	_, group := newGroup(t, 1)
	p, _ := group.Pool("ledger-0")
	for overcommitted, want := range map[bool]int{true: 0, false: 1} {
		p.setLimits(1, 1, overcommitted)
		acquire(t, group, "ledger-0", nil).Release()
		p.trim(time.Now().Add(crowdedLimit))
		g.Expect(p.State().Open).To(gomega.Equal(want), "overcommitted %v", overcommitted)
		p.dropIdle()
	}
}

// Guards against a dump that cannot be encoded.
func TestStateIsEncoded(t *testing.T) {
	_, group := newGroup(t, 1)
	p, _ := group.Pool("ledger-0")
	if _, err := json.Marshal(p.State()); err != nil {
		t.Fatal(err)
	}
}

// Guards against VMs of data centres without a replica that all read from the same one, which is then overloaded while the
// other has slots free.
func TestReadsSpreadOverReplicas(t *testing.T) {
	g := gomega.NewWithT(t)
	const vms = 91
	chosen := make(map[string]int)
	for i := range vms {
		home := fmt.Sprint("dc", i%4)
		set := NewSet(fmt.Sprint("vm-", i), home, platform.NewDialer("vm"), vms, time.Now, silent{})
		set.Update(new(watch.View))
		group := &Group{name: "ledger", vm: set.vm, home: home, clock: time.Now, log: silent{}, pools: make(map[string]*Pool)}
		var members []layout.Server
		for n := range 3 {
			members = append(members, layout.NewServer(fmt.Sprint("s", n), "ledger", "", fmt.Sprint("dc", n), 3, false, n == 0, 1))
		}
		group.update(members, 1, vms, true)
		group.Lead("s0", 1)
		for n := range 3 {
			group.Learn(fmt.Sprint("s", n), time.Now(), point.New(1, 10), true)
		}
		id, ok := group.Choose(route.NewAtLeast(point.New(1, 10)), nil)
		g.Expect(ok).To(gomega.BeTrue())
		chosen[id]++
	}
	g.Expect(chosen["s0"]).To(gomega.BeZero(), "the primary")
	for _, id := range []string{"s1", "s2"} {
		g.Expect(chosen[id]).To(gomega.BeNumerically(">=", vms*2/5), id)
	}
}
