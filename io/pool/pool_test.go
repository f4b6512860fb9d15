package pool

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"verbenagate/core/admit"
	"verbenagate/core/event"
	"verbenagate/core/exec"
	"verbenagate/core/layout"
	"verbenagate/core/lead"
	"verbenagate/core/point"
	"verbenagate/core/query"
	"verbenagate/core/result"
	"verbenagate/core/route"
	"verbenagate/io/watch"
	"verbenagate/lab/lines"
	"verbenagate/platform"
)

type nopLogger struct{}

func (nopLogger) Event(event.ID, ...zap.Field) {}

const timeout = 20 * time.Second

// newGroup starts a group of fake servers and returns it with a Group that may open share connections to each of them.
func newGroup(t *testing.T, share int) (*lines.Group, *Group) {
	fakes, err := lines.NewGroup("ledger", 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fakes.Close)
	set := NewSet("vm", "dc0", platform.NewDialer("vm"), 1, time.Now, nopLogger{})
	set.Update(new(watch.View))
	g := &Group{
		name: "ledger", vm: "vm", localDataCentre: "dc0", clock: time.Now, dialer: set.dialer, log: nopLogger{},
		pools: make(map[string]*Pool), shareLog: &shareLog{},
	}
	var members []layout.Server
	for _, s := range fakes.Servers() {
		members = append(members, layout.NewServer(s.ID(), "ledger", s.Addr(), "dc0", 3, false, s.IsLeader(), 1))
	}
	g.update(members, fixedLimits(share, admit.MaxRunning(3, 1)), nil)
	return fakes, g
}

// fixedLimits returns the same limits for each server.
func fixedLimits(maxOpen, maxRunning int) func(layout.Server) limits {
	return func(layout.Server) limits { return limits{maxOpen: maxOpen, maxRunning: maxRunning, idle: maxIdleTime} }
}

func acquire(t *testing.T, g *Group, id string, values map[string]string) *Conn {
	p, ok := g.Pool(id)
	if !ok {
		t.Fatalf("no pool of %s", id)
	}
	c, err := p.Acquire(AcquireRequest{Timeout: timeout, AnswerWithin: timeout, Priority: 1, SessionValues: values})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against the failover of a primary that is running but too busy to return its status.
func TestBusyServerCountsAsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	fakes, group := newGroup(t, 1)
	fakes.Server(0).SetBusy(true)
	_, answered, err := group.Status("ledger-0", timeout)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(answered).To(gomega.BeTrue())
	fakes.Server(0).SetBusy(false)
	s, answered, err := group.Status("ledger-0", timeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answered).To(gomega.BeTrue())
	g.Expect(s.Primary()).To(gomega.BeTrue())
	fakes.Server(0).Stop()
	_, answered, err = group.Status("ledger-0", timeout)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(answered).To(gomega.BeFalse())
}

// Guards against late detection of a failed primary and of replication lag, which occurs if a status request waits for a connection
// while callers hold all of them.
func TestStatusDoesNotWaitForCallers(t *testing.T) {
	g := gomega.NewWithT(t)
	_, group := newGroup(t, 1)
	held := acquire(t, group, "ledger-0", nil)
	_, answered, err := group.Status("ledger-0", timeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answered).To(gomega.BeTrue())
	p, _ := group.Pool("ledger-0")
	g.Expect(p.State().Open).To(gomega.Equal(1), "the connection beyond the limit must be closed")
	held.Release()
	g.Expect(p.State().Idle).To(gomega.Equal(1))
}

// Guards against session values or prepared statements of one session that remain on the connection for the next session.
func TestSetSessionValues(t *testing.T) {
	g := gomega.NewWithT(t)
	_, group := newGroup(t, 1)
	name := func(n int) string { return fmt.Sprint("p", n) }
	c := acquire(t, group, "ledger-0", nil)
	g.Expect(c.SetSessionValues(timeout, map[string]string{"a": "1", "b": "2"})).To(gomega.Succeed())
	first, err := c.EnsurePrepared(timeout, query.NewShape(false, "x"), name)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := c.EnsurePrepared(timeout, query.NewShape(false, "x"), name)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.Equal(first))
	g.Expect(c.SetSessionValues(timeout, map[string]string{"a": "3"})).To(gomega.Succeed())
	g.Expect(c.sessionValues).To(gomega.Equal(map[string]string{"a": "3"}))
	other, err := c.EnsurePrepared(timeout, query.NewShape(false, "x"), name)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(other).NotTo(gomega.Equal(first), "the reset must drop the first prepared statement")
	c.Release()
}

// Guards against reuse of a connection whose state is uncertain, such as after a request without an answer, and against more open
// connections than the limit.
func TestLimitAndBrokenConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	fakes, group := newGroup(t, 1)
	c := acquire(t, group, "ledger-0", nil)
	p, _ := group.Pool("ledger-0")
	_, err := p.Acquire(AcquireRequest{Timeout: time.Millisecond, AnswerWithin: timeout, Priority: 1})
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.QueueFull))
	got := make(chan error, 1)
	go func() {
		next, err := p.Acquire(AcquireRequest{Timeout: timeout, AnswerWithin: timeout})
		if err == nil && next == c {
			err = errors.New("Acquire returned the broken connection again")
		}
		if err == nil {
			next.Release()
		}
		got <- err
	}()
	for p.State().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	fakes.Server(0).DropReplies("READ", true)
	_, sent, err := c.Do(10*time.Millisecond, exec.NewRun("1", "READ x", point.Point{}))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(sent).To(gomega.BeTrue())
	c.Release()
	g.Expect(<-got).To(gomega.Succeed())
	g.Expect(p.State().Open).To(gomega.Equal(1))
}

// Guards against a queue in which every statement waits longer than its caller can use the answer.
func TestHopelessWaitIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	_, group := newGroup(t, 1)
	p, _ := group.Pool("ledger-0")
	p.gate.RecordHoldTime(time.Second)
	c := acquire(t, group, "ledger-0", nil)
	_, err := p.Acquire(AcquireRequest{Timeout: timeout, AnswerWithin: 500 * time.Millisecond})
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.Overloaded))
	c.Release()
}

// Guards against this VM running more statements on a server than it may, which fills the server's queue, and against an urgent
// statement that waits behind less urgent ones.
func TestRunningIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	_, group := newGroup(t, 1)
	p, _ := group.Pool("ledger-0")
	p.setLimits(limits{maxOpen: 1, maxRunning: 1, idle: maxIdleTime})
	soon, later := time.Now().Add(timeout), time.Now().Add(2*timeout)
	g.Expect(p.acquireSlot(timeout, admit.NewRank(1, soon))).To(gomega.Succeed())
	g.Expect(result.CodeOf(p.acquireSlot(time.Millisecond, admit.NewRank(0, soon)))).To(gomega.Equal(result.QueueFull))
	order := make(chan int, 3)
	var running sync.WaitGroup
	for n, rank := range []admit.Rank{admit.NewRank(2, later), admit.NewRank(2, soon), admit.NewRank(1, later)} {
		running.Go(func() {
			_ = p.acquireSlot(timeout, rank)
			order <- n
			p.releaseSlot(1, time.Millisecond)
		})
		for p.State().Queue <= n {
			time.Sleep(time.Millisecond)
		}
	}
	p.releaseSlot(1, time.Millisecond)
	g.Expect([]int{<-order, <-order, <-order}).To(gomega.Equal([]int{2, 1, 0}))
	running.Wait()
	g.Expect(p.State().Running).To(gomega.BeZero())
}

// Guards against requests that go on waiting after their server was removed, and against a connection to a server with another id
// whose address was reused.
func TestServerIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	fakes, group := newGroup(t, 1)
	c := acquire(t, group, "ledger-0", nil)
	p, _ := group.Pool("ledger-0")
	got := make(chan error, 1)
	go func() {
		_, err := p.Acquire(AcquireRequest{Timeout: timeout, AnswerWithin: timeout})
		got <- err
	}()
	for p.State().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	group.update([]layout.Server{
		layout.NewServer("other", "ledger", fakes.Server(0).Addr(), "dc0", 3, false, false, 2),
	}, fixedLimits(1, 1), nil)
	g.Expect(result.CodeOf(<-got)).To(gomega.Equal(result.NoServer))
	c.Release()
	g.Expect(p.State().Open).To(gomega.BeZero())
	next, ok := group.Pool("other")
	g.Expect(ok).To(gomega.BeTrue())
	_, err := next.Acquire(AcquireRequest{Timeout: timeout, AnswerWithin: timeout})
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.NoServer), "the server must refuse a connection for another id")
}

// Guards against VMs whose idle connections keep other VMs from connecting to a server, when the VMs together may open more
// connections than it accepts.
func TestIdleConnectionsAreClosedEarlyIfOvercommitted(t *testing.T) {
	g := gomega.NewWithT(t)
	_, group := newGroup(t, 1)
	p, _ := group.Pool("ledger-0")
	for overcommitted, want := range map[bool]int{true: 0, false: 1} {
		idle := maxIdleTime
		if overcommitted {
			idle = maxIdleTimeOvercommitted
		}
		p.setLimits(limits{maxOpen: 1, maxRunning: 1, idle: idle})
		acquire(t, group, "ledger-0", nil).Release()
		p.trim(time.Now().Add(maxIdleTimeOvercommitted))
		g.Expect(p.State().Open).To(gomega.Equal(want), "overcommitted %v", overcommitted)
		p.dropIdle()
	}
}

// Guards against a State that cannot be encoded as JSON for a dump.
func TestStateIsEncoded(t *testing.T) {
	_, group := newGroup(t, 1)
	p, _ := group.Pool("ledger-0")
	if _, err := json.Marshal(p.State()); err != nil {
		t.Fatal(err)
	}
}

// newSpreadGroup returns the group of a VM with the primary s0 and the replicas s1 and s2, one in each of dc0 to dc2. All have the same
// position, and none of them runs.
func newSpreadGroup(vm, localDataCentre string) *Group {
	group := &Group{
		name: "ledger", vm: vm, localDataCentre: localDataCentre, clock: time.Now, log: nopLogger{}, pools: make(map[string]*Pool),
		shareLog: &shareLog{},
	}
	var members []layout.Server
	for n := range 3 {
		members = append(members, layout.NewServer(fmt.Sprint("s", n), "ledger", "", fmt.Sprint("dc", n), 3, false, n == 0, 1))
	}
	group.update(members, fixedLimits(1, 1), nil)
	group.SetLeader("s0", 1)
	for n := range 3 {
		group.RecordPosition(fmt.Sprint("s", n), time.Now(), point.New(1, 10), true)
	}
	return group
}

// Guards against VMs in data centres without a replica all reading from the same replica, which is then overloaded while the other
// one has free slots.
func TestReadsSpreadOverReplicas(t *testing.T) {
	g := gomega.NewWithT(t)
	const vms = 91
	chosen := make(map[string]int)
	for i := range vms {
		group := newSpreadGroup(fmt.Sprint("vm-", i), fmt.Sprint("dc", i%4))
		id, ok := group.Choose(route.NewAtLeast(point.New(1, 10)), nil)
		g.Expect(ok).To(gomega.BeTrue())
		chosen[id]++
	}
	g.Expect(chosen["s0"]).To(gomega.BeZero(), "reads on the primary")
	for _, id := range []string{"s1", "s2"} {
		g.Expect(chosen[id]).To(gomega.BeNumerically(">=", vms*2/5), id)
	}
}

// Guards against the owner of a server that sends its own reads there although it sees that they would wait.
func TestOwnerChoosesByItsQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	group := newSpreadGroup("vm", "dc1")
	owners := map[string][]lead.Member{"s1": {lead.NewMember("vm", 1, 0, nil)}, "s2": {lead.NewMember("other", 1, 0, nil)}}
	group.update(group.Members(), fixedLimits(9, 9), owners)
	choose := func() string {
		id, _ := group.Choose(route.NewAtLeast(point.New(1, 10)), nil)
		group.Finished(id, false)
		return id
	}
	p, _ := group.Pool("s1")
	p.recordEnd(10*time.Millisecond, result.OK, nil)
	g.Expect(choose()).To(gomega.Equal("s1"))
	for range 9 {
		g.Expect(p.acquireSlot(timeout, admit.NewRank(1, time.Now().Add(timeout)))).To(gomega.Succeed())
	}
	g.Expect(p.Ahead(1, timeout)).To(gomega.Equal(9))
	g.Expect(choose()).To(gomega.Equal("s2"))
	g.Expect(group.Load("s1", 0).Load()).To(gomega.Equal(9))
	g.Expect(group.Load("s2", 0).Known()).To(gomega.BeFalse(), "another VM owns the server")
	for range 9 {
		p.releaseSlot(1, 10*time.Millisecond)
	}
	g.Expect(choose()).To(gomega.Equal("s1"))
	group.RecordLoad("s1", group.Load("s1", 0))
	group.RecordLoad("s2", group.Load("s1", 0))
	need := route.NewAtLeast(point.New(1, 10))
	g.Expect(group.SendBackAt(need, "s2", nil)).To(gomega.BeNumerically(">", 0))
	g.Expect(group.SendBackAt(need, "s1", nil)).To(gomega.BeZero(), "the own server")
	g.Expect(group.SendBackAt(need, "s2", []string{"s1"})).To(gomega.BeZero(), "a second try")
}

// Guards against a server that is taken for failing because statements got a slot too late to be sent, and against failures that
// do not count.
func TestOnlyFailuresOfTheServerCount(t *testing.T) {
	g := gomega.NewWithT(t)
	fakes, group := newGroup(t, 1)
	c := acquire(t, group, "ledger-0", nil)
	p, _ := group.Pool("ledger-0")
	read := func(timeout time.Duration) error {
		_, _, err := c.Run(timeout, 1, exec.NewRun("1", "READ x", point.Point{}))
		return err
	}
	g.Expect(read(timeout)).To(gomega.Succeed())
	g.Expect(p.load(0).Known()).To(gomega.BeTrue())
	g.Expect(read(0)).NotTo(gomega.Succeed())
	g.Expect(p.load(0).Failed()).To(gomega.BeZero())
	fakes.Server(0).SetBusy(true)
	g.Expect(read(timeout)).To(gomega.Succeed(), "the server answers that it is busy")
	g.Expect(p.load(0).Failed()).To(gomega.BeNumerically(">", 0))
	c.Release()
}

// eventCounter counts the lines with shares.
type eventCounter struct{ shares int }

func (c *eventCounter) Event(id event.ID, _ ...zap.Field) {
	if id == event.RouteShares {
		c.shares++
	}
}

// Guards against log lines with the shares that grow with the load, and against none at all.
func TestSharesAreLoggedAtABoundedRate(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	lines := &eventCounter{}
	group := newSpreadGroup("vm", "dc1")
	group.clock, group.log = func() time.Time { return now }, lines
	group.Choose(route.NewAtLeast(point.New(1, 10)), nil)
	g.Expect(lines.shares).To(gomega.BeZero(), "no server has an owner that reports its load")
	group.owners = map[string][]lead.Member{"s1": {lead.NewMember("other", 1, 0, nil)}}
	for range 100 {
		group.Choose(route.NewAtLeast(point.New(1, 10)), nil)
		now = now.Add(shareLogInterval / 20)
	}
	g.Expect(lines.shares).To(gomega.Equal(5))
}

// cutPaths holds the data centres that cannot be reached.
type cutPaths map[string]bool

func (p cutPaths) Unreachable(dataCentre string) bool { return p[dataCentre] }

// Guards against reads that each wait for a server in a data centre that is cut off, until every VM has found out for every server
// that it does not answer, and against reads that are refused if there is no other server.
func TestReadsAvoidUnreachableDataCentres(t *testing.T) {
	g := gomega.NewWithT(t)
	paths := cutPaths{}
	group := newSpreadGroup("vm", "dc1")
	group.paths = paths
	choose := func(excluded ...string) string {
		id, _ := group.Choose(route.NewAtLeast(point.New(1, 10)), excluded)
		return id
	}
	g.Expect(choose()).To(gomega.Equal("s1"), "the replica of the own data centre")
	paths["dc1"] = true
	g.Expect(choose()).To(gomega.Equal("s2"))
	g.Expect(choose("s2")).To(gomega.Equal("s0"), "the primary rather than a replica that cannot be reached")
	paths["dc0"], paths["dc2"] = true, true
	g.Expect(choose()).NotTo(gomega.BeEmpty())
}

// Guards against a promotion without a server that has just left and whose log is about to return, and against waiting for such a
// server longer than needed.
func TestDepartures(t *testing.T) {
	members := func(ids ...string) []layout.Server {
		var all []layout.Server
		for _, id := range ids {
			all = append(all, layout.NewServer(id, "ledger", "address-"+id[:1], "dc0", 3, false, false, 1))
		}
		return all
	}
	for name, c := range map[string]struct {
		after func(group *Group, now *time.Time)
		want  []string
	}{
		"left":      {func(*Group, *time.Time) {}, []string{"b1"}},
		"returned":  {func(g *Group, _ *time.Time) { g.update(members("a1", "b1", "c1"), fixedLimits(1, 1), nil) }, nil},
		"successor": {func(g *Group, _ *time.Time) { g.update(members("a1", "b2", "c1"), fixedLimits(1, 1), nil) }, nil},
		"long ago":  {func(_ *Group, now *time.Time) { *now = now.Add(lead.LogReturnTimeout) }, nil},
		"replica has all that was acknowledged before": {func(g *Group, now *time.Time) {
			g.RecordPosition("a1", now.Add(time.Second), point.New(1, 7), true)
			g.RecordPosition("c1", now.Add(time.Second), point.New(1, 7), false)
		}, nil},
		"replica lags": {func(g *Group, now *time.Time) {
			g.RecordPosition("a1", now.Add(time.Second), point.New(1, 7), true)
			g.RecordPosition("c1", now.Add(time.Second), point.New(1, 6), false)
		}, []string{"b1"}},
		"position of the primary is older": {func(g *Group, now *time.Time) {
			g.RecordPosition("a1", now.Add(-time.Second), point.New(1, 7), true)
			g.RecordPosition("c1", now.Add(time.Second), point.New(1, 7), false)
		}, []string{"b1"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, group := newGroup(t, 1)
			now := time.Unix(1000, 0)
			group.clock = func() time.Time { return now }
			group.update(members("a1", "b1", "c1"), fixedLimits(1, 1), nil)
			group.SetLeader("a1", 1)
			group.update(members("a1", "c1"), fixedLimits(1, 1), nil)
			c.after(group, &now)
			g.Expect(group.Departed()).NotTo(gomega.ContainElement("a1"))
			g.Expect(slices.Contains(group.Departed(), "b1")).To(gomega.Equal(len(c.want) > 0))
		})
	}
}
