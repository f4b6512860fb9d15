package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	refusals                     atomic.Int64 // how many connections are still to be refused
}

// countingConn counts statements whose id does not begin with the workspace of the connection.
type countingConn struct {
	d         *countingDialer
	workspace string
	closed    atomic.Bool
}

func (d *countingDialer) Dial(_ context.Context, _, _, _, workspace string) (port.ServerConn, error) {
	if d.refusals.Add(-1) >= 0 {
		return nil, result.New(result.TooManyCallers, "the server has too many connections")
	}
	d.dials.Add(1)
	n := d.open.Add(1)
	for most := d.mostOpen.Load(); n > most; most = d.mostOpen.Load() {
		d.mostOpen.CompareAndSwap(most, n)
	}
	return &countingConn{d: d, workspace: workspace}, nil
}

func (c *countingConn) Do(_ time.Duration, op exec.Operation) (exec.Result, bool, error) {
	if run, ok := op.(exec.Run); ok && run.ID() != c.workspace || c.closed.Load() {
		c.d.wrong.Add(1)
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

// newCountedPool returns a pool that may open maxOpen connections.
func newCountedPool(maxOpen int) (*countingDialer, *Pool) {
	d := &countingDialer{}
	p := &Pool{
		server: layout.NewServer("s", "ledger", "", "dc", 3, false, false, 1), dialer: d, clock: time.Now, log: nopLogger{},
	}
	p.setLimits(limits{maxOpen: maxOpen, maxRunning: 3, idle: maxIdleTime})
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
			const limit = 4
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
						_, _, err = c.Do(timeout, exec.NewRun(workspace, "READ x", point.Point{}))
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
