package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/exec"
	"verbenagate/core/layout"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/query"
	"verbenagate/core/result"
)

// countingDialer opens connections to a server that exists only in the test.
type countingDialer struct {
	open, mostOpen, dials, wrong atomic.Int64
	dialing, mostDialing         atomic.Int64
	refusals                     atomic.Int64  // how many connections are still to be refused
	refusal                      result.Code   // why
	dialTime                     time.Duration // for each connection
	silent                       atomic.Bool   // requests time out
}

// countingConn counts statements whose id does not begin with the workspace of the connection.
type countingConn struct {
	d         *countingDialer
	workspace string
	closed    atomic.Bool
}

func (d *countingDialer) Dial(ctx context.Context, _, _, _, workspace string) (port.ServerConn, error) {
	raise(&d.mostDialing, d.dialing.Add(1))
	defer d.dialing.Add(-1)
	select {
	case <-time.After(d.dialTime):
	case <-ctx.Done():
		return nil, result.Wrap(result.ConnectFailed, ctx.Err(), "the server does not answer")
	}
	if d.refusals.Add(-1) >= 0 {
		return nil, result.New(d.refusal, "the server refuses a connection")
	}
	d.dials.Add(1)
	raise(&d.mostOpen, d.open.Add(1))
	return &countingConn{d: d, workspace: workspace}, nil
}

// raise sets most to n if n is more.
func raise(most *atomic.Int64, n int64) {
	for m := most.Load(); n > m; m = most.Load() {
		most.CompareAndSwap(m, n)
	}
}

func (c *countingConn) Do(_ time.Duration, op exec.Operation) (exec.Result, bool, error) {
	if run, ok := op.(exec.Run); ok && run.ID() != c.workspace || c.closed.Load() {
		c.d.wrong.Add(1)
	}
	if c.d.silent.Load() {
		return exec.Result{}, true, os.ErrDeadlineExceeded
	}
	time.Sleep(50 * time.Microsecond)
	return exec.NewResult(nil, "", result.OK, "", query.Idle, point.Point{}), true, nil
}

func (c *countingConn) Status(time.Duration) (exec.ServerStatus, error) {
	return exec.ServerStatus{}, nil
}

func (*countingConn) PointAtOpen() point.Point { return point.Point{} }

func (c *countingConn) Close() error {
	if !c.closed.Swap(true) {
		c.d.open.Add(-1)
	}
	return nil
}

// newCountedPool returns a pool that may open maxOpen connections, which belong to workspaces, and run three statements.
func newCountedPool(maxOpen int) (*countingDialer, *Pool) {
	d := &countingDialer{refusal: result.TooManyCallers}
	p := newPool(layout.NewServer("s", "ledger", "", "dc", 3, false, false, 1), d, time.Now, nopLogger{}, nil)
	p.setLimits(limits{maxOpen: maxOpen, maxRunning: 3, idle: maxIdleTime, workspaces: true})
	return d, p
}

func acquireFor(p *Pool, workspace string, wait time.Duration) (*Conn, error) {
	return p.Acquire(AcquireRequest{Timeout: wait, AnswerWithin: timeout, Workspace: workspace})
}

// Guards against a statement that runs on a connection of another workspace, against an idle connection of the same workspace that is
// not used, and against a request that waits while a connection of another workspace is idle.
func TestIdleConnectionServesItsWorkspace(t *testing.T) {
	g := gomega.NewWithT(t)
	d, p := newCountedPool(2)
	conns := make(map[string]*Conn)
	for _, workspace := range []string{"a", "b"} {
		c, err := acquireFor(p, workspace, timeout)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		conns[workspace] = c
	}
	conns["a"].Release()
	conns["b"].Release()
	again, err := acquireFor(p, "a", timeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.BeIdenticalTo(conns["a"]))
	other, err := acquireFor(p, "c", timeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(other.workspace).To(gomega.Equal("c"))
	g.Expect(d.open.Load()).To(gomega.BeEquivalentTo(2), "the connection of b must be closed")
	g.Expect(d.mostOpen.Load()).To(gomega.BeEquivalentTo(2))
	again.Release()
	other.Release()
	g.Expect(p.State().Idle).To(gomega.Equal(2))
}

// Guards against a waiting request that is given the connection of another workspace when that is released, or that goes on waiting.
func TestWaitingRequestOpensItsOwnConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	d, p := newCountedPool(1)
	first, err := acquireFor(p, "a", timeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, workspace := range []string{"b", "b", ""} {
		got := make(chan *Conn)
		go func() {
			c, err := acquireFor(p, workspace, timeout)
			if err != nil {
				t.Error(err)
			}
			got <- c
		}()
		for p.State().Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		first.Release()
		next := <-got
		g.Expect(next.workspace).To(gomega.Equal(workspace))
		g.Expect(p.State().Open).To(gomega.Equal(1))
		g.Expect(d.open.Load()).To(gomega.BeEquivalentTo(1))
		first = next
	}
	g.Expect(d.dials.Load()).To(gomega.BeEquivalentTo(3), "the second request of b uses the connection of the first")
}

// Guards against a caller's statement on a connection that was opened for a status request, which names the VM to the server, and
// against status requests that open connections while others are idle.
func TestStatusConnectionServesNoWorkspace(t *testing.T) {
	g := gomega.NewWithT(t)
	d, p := newCountedPool(1)
	status, err := p.AcquireBeyondLimit(timeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	status.Release()
	c, err := acquireFor(p, "a", timeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.workspace).To(gomega.Equal("a"))
	c.Release()
	status, err = p.AcquireBeyondLimit(timeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.BeIdenticalTo(c))
	status.Release()
	g.Expect(d.dials.Load()).To(gomega.BeEquivalentTo(2))
}

// Guards against requests that wait for their whole timeout because the server refused a connection while no other was open, and
// nothing was released any more.
func TestRequestsGoOnAfterTheServerWasFull(t *testing.T) {
	g := gomega.NewWithT(t)
	d, p := newCountedPool(2)
	d.refusals.Store(1)
	_, err := acquireFor(p, "a", timeout)
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.TooManyCallers))
	got := make(chan error)
	go func() {
		_, err := acquireFor(p, "a", timeout)
		got <- err
	}()
	for p.State().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	p.trim(time.Now().Add(serverFullBackoff))
	g.Expect(<-got).To(gomega.Succeed())
}

// Guards, under load from many workspaces, against a statement on a connection of another workspace or on a closed one, against more
// connections than the limit, and against a request that is not woken although a connection has become free.
func TestManyWorkspacesShareFewConnections(t *testing.T) {
	for _, workspaces := range []int{1, 3, 40} {
		t.Run(fmt.Sprint(workspaces), func(t *testing.T) {
			g := gomega.NewWithT(t)
			const limit = 6
			d, p := newCountedPool(limit)
			var served atomic.Int64
			var callers sync.WaitGroup
			for n := range 16 {
				callers.Go(func() {
					r := rand.New(rand.NewPCG(uint64(n), uint64(workspaces)))
					for range 200 {
						workspace := fmt.Sprint("w", int(float64(workspaces)*r.Float64()*r.Float64()))
						wait := timeout
						if r.IntN(10) == 0 {
							wait = time.Duration(r.IntN(300)) * time.Microsecond // gives up at about the time of the grant
						}
						c, err := acquireFor(p, workspace, wait)
						if err != nil {
							if wait == timeout {
								t.Errorf("workspace %s: %s", workspace, result.Message(err))
							}
							continue
						}
						_, _, err = c.Run(timeout, 1, exec.NewRun(workspace, "READ x", point.Point{}))
						if err != nil || r.IntN(20) == 0 {
							c.MarkBroken()
						}
						served.Add(1)
						c.Release()
					}
				})
			}
			callers.Wait()
			t.Logf("%d served, %d connections opened", served.Load(), d.dials.Load())
			g.Expect(d.wrong.Load()).To(gomega.BeZero())
			g.Expect(d.mostOpen.Load()).To(gomega.BeNumerically("<=", limit))
			state := p.State()
			g.Expect(state.Waiting).To(gomega.BeZero())
			g.Expect(state.Open).To(gomega.Equal(state.Idle))
			g.Expect(d.open.Load()).To(gomega.BeEquivalentTo(state.Open))
		})
	}
}

// acquireAll requests a connection for each workspace at the same time, and returns them as they come.
func acquireAll(p *Pool, workspaces ...string) <-chan acquired {
	got := make(chan acquired, len(workspaces))
	for _, workspace := range workspaces {
		go func() {
			c, err := acquireFor(p, workspace, timeout)
			got <- acquired{c, err}
		}()
	}
	return got
}

type acquired struct {
	conn *Conn
	err  error
}

func waitUntil(t *testing.T, done func() bool) {
	for end := time.Now().Add(timeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out")
		}
	}
}

// Guards against waiting statements that each hold a connection, so that none is left to keep for other workspaces, and against
// statements that are not woken when others begin to run.
func TestOnlyStatementsAboutToRunHoldConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	_, p := newCountedPool(20)
	got := acquireAll(p, "a", "a", "b", "b", "c", "c")
	var first []*Conn
	for range 3 {
		first = append(first, (<-got).conn)
	}
	waitUntil(t, func() bool { return p.State().Waiting == 3 })
	_, _, err := first[0].Do(timeout, exec.NewBegin(false, point.Point{}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	next := <-got
	g.Expect(next.err).NotTo(gomega.HaveOccurred())
	g.Expect(p.State().Waiting).To(gomega.Equal(2), "the transaction does not wait for a slot any more")
	_, _, err = first[1].Run(timeout, 1, exec.NewRun(first[1].workspace, "READ x", point.Point{}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect((<-got).err).NotTo(gomega.HaveOccurred())
	first[2].Release()
	g.Expect((<-got).err).NotTo(gomega.HaveOccurred())
}

// Guards against a statement that is refused for want of a connection, which transactions hold for long, while it waits only for those
// ahead of it to run.
func TestOnlyExhaustedPoolRefuses(t *testing.T) {
	g := gomega.NewWithT(t)
	_, p := newCountedPool(20)
	p.gate.RecordHoldTime(time.Hour)
	got := acquireAll(p, "a", "b", "c")
	var conns []*Conn
	for range 3 {
		conns = append(conns, (<-got).conn)
	}
	got = acquireAll(p, "d")
	waitUntil(t, func() bool { return p.State().Waiting == 1 })
	conns[0].Release()
	g.Expect((<-got).err).NotTo(gomega.HaveOccurred())
}

// Guards against many workspaces that want a first connection at one moment and take all slots of the server.
func TestOpeningIsPaced(t *testing.T) {
	g := gomega.NewWithT(t)
	d, p := newCountedPool(20)
	p.setLimits(limits{maxOpen: 20, maxRunning: 4, idle: maxIdleTime, workspaces: true})
	d.dialTime = 5 * time.Millisecond
	var workspaces []string
	for n := range 12 {
		workspaces = append(workspaces, fmt.Sprint("w", n))
	}
	got := acquireAll(p, workspaces...)
	for range workspaces {
		a := <-got
		g.Expect(a.err).NotTo(gomega.HaveOccurred())
		g.Expect(p.State().Running).To(gomega.BeNumerically("<=", 2), "opening takes a slot")
		a.conn.Release()
	}
	g.Expect(d.mostDialing.Load()).To(gomega.BeEquivalentTo(2))
	g.Expect(p.State().Running).To(gomega.BeZero())
}

// Guards against requests that find out one after the other, each after a timeout, that a server does not accept connections.
func TestFailedDialRefusesOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	d, p := newCountedPool(20)
	d.refusal, d.dialTime = result.ConnectFailed, 200*time.Millisecond
	d.refusals.Store(100)
	start := time.Now()
	got := acquireAll(p, "a", "b", "c", "d", "e", "f", "g", "h")
	for range 8 {
		g.Expect(result.CodeOf((<-got).err)).To(gomega.Equal(result.ConnectFailed))
	}
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 5*d.dialTime))
	g.Expect(p.State().Open).To(gomega.BeZero())
}

// Guards against requests that are refused because another one had too little time to open its connection.
func TestShortRequestRefusesNoOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	d, p := newCountedPool(20)
	d.dialTime = 600 * time.Millisecond
	short := make(chan error)
	go func() {
		_, err := acquireFor(p, "short", 400*time.Millisecond)
		short <- err
	}()
	waitUntil(t, func() bool { return d.dialing.Load() == 1 })
	got := acquireAll(p, "a", "b") // one connection is opened at a time
	waitUntil(t, func() bool { return p.State().Waiting == 2 })
	g.Expect(result.CodeOf(<-short)).To(gomega.Equal(result.ConnectFailed))
	for range 2 {
		a := <-got
		g.Expect(a.err).NotTo(gomega.HaveOccurred())
		a.conn.Release()
	}
}

// Guards against a server that refuses connections because it is overloaded, and loses the idle ones of other workspaces one by one.
func TestOverloadedServerKeepsConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	d, p := newCountedPool(2)
	got := acquireAll(p, "a", "b")
	for range 2 {
		(<-got).conn.Release()
	}
	d.refusal = result.Overloaded
	d.refusals.Store(1)
	_, err := acquireFor(p, "c", timeout)
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.Overloaded))
	_, err = acquireFor(p, "d", serverFullBackoff/5)
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.QueueFull))
	g.Expect(d.open.Load()).To(gomega.BeEquivalentTo(1))
	_, err = acquireFor(p, "d", timeout)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "requests go on after the pause")
}

// Guards against a single slow statement that closes the connections of all workspaces, and against connections that are kept although
// the server answers nothing any more or has reset one.
func TestConnectionsAreKeptWhileTheServerAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	d, p := newCountedPool(4)
	got := acquireAll(p, "a", "b")
	conns := map[string]*Conn{}
	for range 2 {
		a := <-got
		conns[a.conn.workspace] = a.conn
	}
	run := func(workspace string) error {
		_, _, err := conns[workspace].Run(timeout, 1, exec.NewRun(workspace, "READ x", point.Point{}))
		return err
	}
	d.silent.Store(true)
	g.Expect(run("a")).NotTo(gomega.Succeed())
	d.silent.Store(false)
	g.Expect(run("b")).To(gomega.Succeed())
	conns["b"].Release()
	p.dropSuspects()
	g.Expect(p.State().Idle).To(gomega.Equal(1), "the server has answered since")
	conns["a"].Release()
	g.Expect(p.State().Open).To(gomega.Equal(1), "the one that timed out is closed")
	c, err := acquireFor(p, "b", timeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	d.silent.Store(true)
	_, _, err = c.Run(timeout, 1, exec.NewRun("b", "READ x", point.Point{}))
	g.Expect(err).To(gomega.HaveOccurred())
	p.idle = append(p.idle, c) // as if another one were idle
	p.conns.Release("b")
	p.dropSuspects()
	g.Expect(p.State().Idle).To(gomega.BeZero(), "nothing has been answered since")
}

// Guards against a new owner that opens connections which the previous one still has, and against a VM that keeps the connections of an
// owner after it has ceased to be one.
func TestOwnerSettles(t *testing.T) {
	g := gomega.NewWithT(t)
	d, p := newCountedPool(2)
	now := time.Unix(1000, 0)
	p.clock = func() time.Time { return now }
	second := limits{maxOpen: 3, maxRunning: 6, idle: maxIdleTime, shared: true, workspaces: true}
	first := second
	first.settled = 9
	p.setLimits(first)
	now = now.Add(ownerSettleTime - time.Millisecond)
	p.trim(now)
	g.Expect(p.State().Limit).To(gomega.Equal(3))
	now = now.Add(time.Millisecond)
	p.setLimits(first) // the list of VMs has changed, but not the owner
	g.Expect(p.State().Limit).To(gomega.Equal(9))
	for n := range 9 {
		c, err := acquireFor(p, fmt.Sprint("w", n), timeout)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		c.Release()
	}
	g.Expect(d.open.Load()).To(gomega.BeEquivalentTo(9))
	p.setLimits(second)
	g.Expect(d.open.Load()).To(gomega.BeEquivalentTo(3))
	p.setLimits(first)
	g.Expect(p.State().Limit).To(gomega.Equal(3), "it has just become the owner again")
	g.Expect(p.unsettled()).To(gomega.BeTrue())
	p.recordConnCount(0)
	p.recordConnCount(3 + 11)
	g.Expect(p.State().Limit).To(gomega.Equal(3), "others may take themselves for the owner")
	p.recordConnCount(3 + 10)
	g.Expect(p.State().Limit).To(gomega.Equal(9), "no other VM has the connections of an owner")
	g.Expect(p.unsettled()).To(gomega.BeFalse())
}
