// Package pool keeps this VM's connections to the database servers and its routing state for each group of servers.
package pool

import (
	"context"
	"errors"
	"math"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/admit"
	"verbenagate/core/even"
	"verbenagate/core/event"
	"verbenagate/core/evict"
	"verbenagate/core/exec"
	"verbenagate/core/layout"
	"verbenagate/core/port"
	"verbenagate/core/query"
	"verbenagate/core/result"
	"verbenagate/io/logs"
)

const (
	dialTimeout = 800 * time.Millisecond
	// maxIdleTime is shorter than a server's own idle timeout of one minute, so that this VM closes an idle connection first.
	maxIdleTime = 40 * time.Second
	// maxIdleTimeOvercommitted applies when the VMs together may open more connections than a server accepts. Idle connections
	// are then closed early, so that other VMs can open theirs.
	maxIdleTimeOvercommitted = 250 * time.Millisecond
	// statusIdleTime is how long a connection for status requests is kept, so that a VM that watches a server does not open a
	// connection for each request.
	statusIdleTime = 5 * time.Second
	// maxKeptState is how many bytes of session values and prepared statements a connection may keep when it is given back. The
	// sessions that need them may have ended long ago.
	maxKeptState = 64 << 10
	// nameOverhead is what a session value or a prepared statement takes besides its texts.
	nameOverhead = 64
	// serverFullBackoff is how long Acquire opens no connection after the server refused one because it has too many or is
	// overloaded.
	serverFullBackoff = 150 * time.Millisecond
	// ownerSettleTime is how long a VM has been the owner of a server before it assumes that it is the only one, if the server's status
	// does not show it earlier. It is longer than it takes all VMs to learn of the new owner: io/elect reads the list of VMs about every
	// 3 s at the latest, and accepts one that is 4 s old.
	ownerSettleTime = 10 * time.Second
)

// Conn is a connection to a database server, with the session values and prepared statements that are set on it.
type Conn struct {
	port.ServerConn
	pool          *Pool
	workspace     string // for which the connection was opened
	sessionValues map[string]string
	preparedNames map[query.Shape]string
	preparedCount int
	stateBytes    int // of sessionValues and preparedNames
	releasedAt    time.Time
	acquiredAt    time.Time // when its current user acquired it or began to open it
	usefulUntil   time.Time // when the answer to its current user's statement becomes useless
	forStatus     bool      // opened for a status request
	starting      bool      // it was granted to a statement that has no slot yet
	broken        bool
}

// Server returns the id of the server that the connection leads to.
func (c *Conn) Server() string { return c.pool.server.ID() }

// Owner implements Session.
func (c *Conn) Owner() string { return "" }

// Do sends one request and waits up to timeout for the answer. If that fails, the state of the connection is uncertain, and Release
// closes it. The second result reports whether the request may have reached the server.
func (c *Conn) Do(timeout time.Duration, op exec.Operation) (r exec.Result, sent bool, err error) {
	if timeout <= 0 {
		return exec.Result{}, false, result.New(result.DeadlineTooClose, "no time left for a request to server %s", c.Server())
	}
	wasBroken := c.broken
	c.broken = true // until the whole answer has been read
	sent = true
	defer c.recoverPanic(&err)
	start := c.pool.clock()
	r, sent, err = c.ServerConn.Do(timeout, op)
	c.broken = wasBroken || err != nil
	c.pool.recordAnswer(start, err)
	if _, begins := op.(exec.Begin); begins {
		c.pool.recordStart(c)
	}
	return r, sent, err
}

// Status requests the server's state and waits up to timeout for it.
func (c *Conn) Status(timeout time.Duration) (s exec.ServerStatus, err error) {
	defer c.recoverPanic(&err)
	return c.ServerConn.Status(timeout)
}

// recoverPanic turns a panic over a server's answer into an error of this connection, so that the process and the other
// connections go on. It must be deferred directly.
func (c *Conn) recoverPanic(err *error) {
	if p := recover(); p != nil {
		logs.Panic(c.pool.log, "request to server "+c.Server(), p)
		*err = result.New(result.Internal, "panic during a request to server %s", c.Server())
	}
}

// Run sends a statement that occupies a slot of the server. It first waits until this VM runs fewer statements on the server than
// is allowed to. The order of waiting statements is that of admit.Queue. The timeout covers the wait and the statement.
func (c *Conn) Run(timeout time.Duration, priority int, op exec.Operation) (exec.Result, bool, error) {
	start := c.pool.clock()
	usefulUntil := c.usefulUntil
	if priority < 0 {
		usefulUntil = start.Add(timeout) // a statement of a transaction
	}
	if err := c.pool.acquireSlot(timeout, c.pool.rank(c.workspace, priority, usefulUntil)); err != nil {
		return exec.Result{}, false, err
	}
	c.pool.recordStart(c)
	slotAcquired := c.pool.clock()
	defer func() { c.pool.releaseSlot(priority, c.pool.clock().Sub(slotAcquired)) }()
	r, sent, err := c.Do(timeout-slotAcquired.Sub(start), op)
	if sent || err == nil {
		c.pool.recordEnd(c.pool.clock().Sub(slotAcquired), r.Code(), err)
	}
	return r, sent, err
}

// SetSessionValues sets the session values of the connection to values. If the connection has a value that is not in values, it is
// reset first, which also drops its prepared statements.
func (c *Conn) SetSessionValues(timeout time.Duration, values map[string]string) error {
	if !namesSubsetOf(c.sessionValues, values) {
		if err := c.doInternal(timeout, exec.Reset{}); err != nil {
			return err
		}
		c.sessionValues, c.preparedNames = make(map[string]string), make(map[query.Shape]string)
		c.stateBytes = 0
	}
	for name, value := range values {
		if current, ok := c.sessionValues[name]; ok && current == value {
			continue
		}
		if err := c.doInternal(timeout, exec.NewSet(name, value)); err != nil {
			return err
		}
		if current, ok := c.sessionValues[name]; ok {
			c.stateBytes -= len(name) + len(current) + nameOverhead
		}
		c.sessionValues[name] = value
		c.stateBytes += len(name) + len(value) + nameOverhead
	}
	return nil
}

// namesSubsetOf reports whether want has every name in have. The values may differ, because SetSessionValues overwrites
// them.
func namesSubsetOf(have, want map[string]string) bool {
	for name := range have {
		if _, ok := want[name]; !ok {
			return false
		}
	}
	return true
}

// EnsurePrepared returns the name of the prepared statement for shape on this connection, and prepares it first if there is none.
// The function name returns the name of the n-th statement that is prepared on the connection.
func (c *Conn) EnsurePrepared(timeout time.Duration, shape query.Shape, name func(n int) string) (string, error) {
	if n, ok := c.preparedNames[shape]; ok {
		return n, nil
	}
	c.preparedCount++
	n := name(c.preparedCount)
	if err := c.doInternal(timeout, exec.NewPrepare(n, shape)); err != nil {
		return "", err
	}
	c.preparedNames[shape] = n
	c.stateBytes += len(shape.Text()) + nameOverhead
	return n, nil
}

// doInternal runs an operation of the VM's own. If it fails, the state of the connection is uncertain, and Release closes it.
func (c *Conn) doInternal(timeout time.Duration, op exec.Operation) error {
	r, _, err := c.Do(timeout, op)
	if err == nil && r.Code() != result.OK {
		c.broken = true
		err = result.New(r.Code(), "%s", r.Message())
	}
	return err
}

// MarkBroken makes Release close the connection.
func (c *Conn) MarkBroken() { c.broken = true }

// Broken reports whether Release will close the connection.
func (c *Conn) Broken() bool { return c.broken }

// Release returns the connection to its pool. The connection must be outside a transaction unless it is broken.
func (c *Conn) Release() { c.pool.release(c) }

// connWaiter is a request that waits for a connection. The channel is closed if the pool is closed.
type connWaiter struct {
	evict.Request
	values  map[string]string // session values that the connection should preferably have
	rank    admit.Rank
	granted chan grant
}

// grant is an idle connection, or the error for which there is none, or neither if the request opens a connection itself.
type grant struct {
	conn *Conn
	err  error
}

// slotWaiter is a statement that waits for a slot. The channel delivers nil when the slot is granted, or the reason for a refusal.
type slotWaiter struct {
	rank    admit.Rank
	granted chan error
}

// Pool holds this VM's connections to one server and limits the statements that run there.
type Pool struct {
	server layout.Server
	dialer port.Dialer
	clock  func() time.Time
	log    logs.Logger
	counts *counts

	answeredAt   atomic.Int64 // when the latest request was answered, in Unix nanoseconds
	unansweredAt atomic.Int64 // when the latest failed request was sent; math.MaxInt64 if it failed before its timeout

	mu               sync.Mutex
	limits           limits
	conns            *evict.Cache
	idle             []*Conn
	connWaiters      admit.Queue[*connWaiter]
	waitersInOrder   []*connWaiter // reused by grantConns
	gate             admit.Gate
	meter            even.Meter
	running          int // statements that occupy a slot of the server
	slotWaiters      admit.Queue[*slotWaiter]
	dialBlockedUntil time.Time  // until then Acquire opens no connection
	room             evict.Room // what the server accepts until dialBlockedUntil
	closed           bool
	lastDialRefused  bool // the server's host refused the last dial with ECONNREFUSED
	lastDialFailed   bool
	settledAt        time.Time // when the owner of the server may open limits.settled connections
	opened           int64     // connections since the start of the pool
	replaced         int64     // idle connections that were closed for another workspace
}

// counts are those of all pools of a VM.
type counts struct {
	opened    atomic.Int64 // connections
	replaced  atomic.Int64 // idle connections that were closed for another workspace
	settledAt atomic.Int64 // the latest settledAt of a pool, in Unix nanoseconds
}

func newPool(server layout.Server, dialer port.Dialer, clock func() time.Time, log logs.Logger, n *counts) *Pool {
	if n == nil {
		n = &counts{}
	}
	return &Pool{server: server, dialer: dialer, clock: clock, log: log, counts: n, conns: evict.NewCache(evict.NewLimits(0))}
}

// limits are the limits of this VM's use of one server.
type limits struct {
	maxOpen    int           // connections
	settled    int           // connections that the owner of the server may open once no other VM takes itself for it; 0 for others
	maxRunning int           // statements that occupy a slot
	idle       time.Duration // after which a connection is closed
	shared     bool          // this VM holds the connections for other VMs, too
	workspaces bool          // connections belong to workspaces
	// weights are the weights by which workspaces share the server. Other workspaces have the weight 1.
	weights map[string]float64
}

// rank returns the rank of a statement.
func (p *Pool) rank(workspace string, priority int, usefulUntil time.Time) admit.Rank {
	r := admit.NewRank(priority, usefulUntil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.limits.workspaces {
		return r
	}
	weight, ok := p.limits.weights[workspace]
	if !ok {
		weight = 1
	}
	return r.InWorkspace(workspace, weight)
}

// AcquireRequest is a request for a connection. If no connection is available, the request is refused at once unless the answer to
// its statement is expected within AnswerWithin. An admitted request waits up to Timeout.
type AcquireRequest struct {
	Timeout       time.Duration
	AnswerWithin  time.Duration
	Priority      int               // requests with a lower number go first
	SessionValues map[string]string // session values that the connection should preferably have
	// MaxAge is how old the data of a read may be, if the server's owner is to find out the position for it; 0 otherwise.
	MaxAge time.Duration
	// ReadOnly says that the statement may be run again.
	ReadOnly bool
	// Workspace is the workspace of the caller. Only a connection that was opened for it may run the caller's statement.
	Workspace string
	// SendBackAt is from how many statements ahead on the server's owner refuses the statement, as not run, since another server
	// can run it sooner; 0 for never.
	SendBackAt int
}

// Acquire returns a connection of the workspace in request: an idle one, preferably with the session values in request, or a new one
// if the pool's limit allows, or the next one that is released. If all connections that the pool may open are open, an idle one of
// another workspace is closed for the new one.
func (p *Pool) Acquire(request AcquireRequest) (*Conn, error) {
	now := p.clock()
	usefulUntil := now.Add(request.AnswerWithin)
	c, err := p.acquire(request, now, p.rank(request.Workspace, request.Priority, usefulUntil))
	if err != nil {
		return nil, err
	}
	c.usefulUntil = usefulUntil
	return c, nil
}

func (p *Pool) acquire(request AcquireRequest, now time.Time, rank admit.Rank) (*Conn, error) {
	deadline := now.Add(request.Timeout)
	p.mu.Lock()
	switch {
	case p.closed:
		p.mu.Unlock()
		return nil, result.New(result.NoServer, "server %s has been removed or replaced", p.server.ID())
	case p.limits.shared:
		if err := p.checkSlots(request, now, rank); err != nil {
			p.mu.Unlock()
			return nil, err
		}
	}
	w := &connWaiter{
		Request: evict.NewRequest(request.Workspace, request.Priority), values: request.SessionValues, rank: rank,
		granted: make(chan grant, 1),
	}
	place := p.connWaiters.Place(rank, now, p.gate.ServiceTime())
	p.connWaiters.Push(w, rank, now)
	p.grantConns(now)
	// Where connections belong to workspaces, a request may also wait for statements ahead of it to run; checkSlots has checked that wait.
	waitsForConn := len(w.granted) == 0 && (!p.limits.workspaces || p.conns.Exhausted())
	if waitsForConn && !p.gate.AdmitsPlaceForConn(place, p.limits.maxOpen, request.AnswerWithin) {
		p.connWaiters.Remove(w)
		wait := max(p.gate.ExpectedWait(place.Ahead(), p.limits.maxOpen), place.Wait())
		p.mu.Unlock()
		return nil, p.overloadedError("a connection to", rank, place, place.Ahead(), wait)
	}
	p.mu.Unlock()
	return p.waitForConn(w, deadline)
}

// checkSlots returns an error if the answer to a statement that waits for a slot is not expected in its time. The caller holds mu.
func (p *Pool) checkSlots(request AcquireRequest, now time.Time, rank admit.Rank) error {
	place := p.slotWaiters.Place(rank, now, p.gate.ServiceTime())
	ahead := p.running - p.limits.maxRunning
	if p.limits.workspaces {
		// Statements wait for a connection until they are about to run.
		place = place.Plus(p.connWaiters.Place(rank, now, p.gate.ServiceTime()))
		ahead += max(p.conns.Starting()-p.slotWaiters.Len(), 0)
	}
	ahead += place.Ahead()
	if p.gate.AdmitsPlace(place, ahead, p.limits.maxRunning, request.AnswerWithin) {
		return nil
	}
	return p.overloadedError("a slot of", rank, place, ahead, max(p.gate.SlotWait(ahead, p.limits.maxRunning), place.Wait()))
}

// overloadedError returns the reason for the refusal of a statement that would wait too long for a resource of the server.
func (p *Pool) overloadedError(resource string, rank admit.Rank, place admit.Place, ahead int, wait time.Duration) error {
	if rank.Workspace() == "" {
		return result.New(result.Overloaded, "%d statements are ahead in the queue for %s server %s; the expected wait is %s",
			ahead, resource, p.server.ID(), wait)
	}
	return result.New(result.Overloaded,
		"%d statements are ahead in the queue for %s server %s, %d of them of workspace %q; with its share the expected wait is %s",
		ahead, resource, p.server.ID(), place.Own(), rank.Workspace(), wait)
}

// hopelessError returns the reason for the refusal of a statement that cannot be answered in time any more.
func (p *Pool) hopelessError(resource string, rank admit.Rank) error {
	return result.New(result.Overloaded,
		"a statement of workspace %q waited for %s server %s until it could not be answered in time; others could",
		rank.Workspace(), resource, p.server.ID())
}

// grantConns grants waiting requests connections, or lets them open some, as far as the limits allow. It must be called after each
// change that may let a request go on. The caller holds mu.
func (p *Pool) grantConns(now time.Time) {
	if p.closed || p.connWaiters.Len() == 0 {
		return
	}
	for _, w := range p.connWaiters.RemoveHopeless(now, p.gate.ServiceTime()) {
		w.granted <- grant{err: p.hopelessError("a connection to", w.rank)}
	}
	p.closeExcess(now)
	room := evict.RoomForMore
	if now.Before(p.dialBlockedUntil) {
		room = p.room
	}
	for p.connWaiters.Len() > 0 {
		// Requests of one workspace and priority may all have a connection or none, so the first ones suffice.
		waiters, inTime := p.connWaiters.Heads(p.waitersInOrder[:0], now, p.gate.ServiceTime())
		p.waitersInOrder = waiters
		for i, w := range waiters {
			w.SetLate(i >= inTime)
		}
		i, action := p.conns.Next(len(waiters), func(i int) *evict.Request { return &waiters[i].Request }, room)
		if action == evict.Wait {
			return
		}
		w := waiters[i]
		p.connWaiters.Start(w, now, p.gate.ServiceTime())
		if action == evict.Reuse {
			c := p.takeIdle(w.Workspace(), w.values)
			c.starting = true
			p.conns.Take(c.workspace, now)
			w.granted <- grant{conn: c}
			continue
		}
		if action == evict.Replace {
			victim, _ := p.closeVictim(now)
			p.replaced++
			p.counts.replaced.Add(1)
			p.log.Event(event.ConnReplaced, zap.String("server", p.server.ID()), zap.String("workspace", victim),
				zap.String("for", w.Workspace()))
		}
		p.conns.Begin(w.Workspace(), now)
		w.granted <- grant{}
	}
}

// closeVictim closes the idle connection that is needed least, and returns its workspace. It returns false if none is idle. The caller
// holds mu.
func (p *Pool) closeVictim(now time.Time) (workspace string, ok bool) {
	workspace, ok = p.conns.Victim(now)
	if !ok {
		return "", false
	}
	i := slices.IndexFunc(p.idle, func(c *Conn) bool { return c.workspace == workspace })
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.closeConn(c)
	return workspace, true
}

// closeExcess closes idle connections while there are more than the limit allows. The caller holds mu.
func (p *Pool) closeExcess(now time.Time) {
	for p.conns.Excess() {
		if _, ok := p.closeVictim(now); !ok {
			return
		}
	}
}

// closeConn closes a connection that is counted as idle. It does so before another one may be opened, so that the server's limit is not
// exceeded. The caller holds mu.
func (p *Pool) closeConn(c *Conn) {
	_ = c.Close()
	p.conns.Close(c.workspace)
}

// recordStart records that the statement to which a connection was granted has a slot or needs none, or that it does not run at all.
func (p *Pool) recordStart(c *Conn) {
	if !c.starting {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.starting = false
	p.conns.Started()
	p.grantConns(p.clock())
}

// AcquireBeyondLimit returns an idle connection of any workspace, or else a new one even if that exceeds the pool's limit. It is for
// the VM's own requests, which must not wait behind those of callers: callers may hold all connections to a server that has stopped
// answering.
func (p *Pool) AcquireBeyondLimit(timeout time.Duration) (*Conn, error) {
	p.mu.Lock()
	switch {
	case p.closed:
		p.mu.Unlock()
		return nil, result.New(result.NoServer, "server %s has been removed or replaced", p.server.ID())
	case len(p.idle) > 0:
		c := p.takeIdleAt(len(p.idle) - 1)
		p.conns.Borrow(c.workspace)
		p.mu.Unlock()
		return c, nil
	}
	p.conns.BeginBeyond("")
	p.mu.Unlock()
	c, err := p.dial(timeout, "")
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.conns.Release("")
		p.conns.Close("")
		p.recordDialFailure(err)
		return nil, err
	}
	c.forStatus = true
	return c, nil
}

// nextCheck returns when a waiting statement should next find out whether it goes on waiting: when it becomes late, or at its deadline.
func (p *Pool) nextCheck(rank admit.Rank, deadline time.Time) time.Time {
	if rank.Workspace() != "" && rank.UsefulUntil().Before(deadline) {
		return rank.UsefulUntil()
	}
	return deadline
}

func (p *Pool) waitForConn(w *connWaiter, deadline time.Time) (*Conn, error) {
	select {
	case g, ok := <-w.granted:
		return p.useGrant(w, g, ok, deadline)
	default:
	}
	t := time.NewTimer(p.nextCheck(w.rank, deadline).Sub(p.clock()))
	defer t.Stop()
	for late := false; !late; {
		select {
		case g, ok := <-w.granted:
			return p.useGrant(w, g, ok, deadline)
		case <-t.C:
		}
		now := p.clock()
		if late = !now.Before(deadline); !late {
			t.Reset(deadline.Sub(now))
			p.mu.Lock()
			p.grantConns(now)
			p.mu.Unlock()
		}
	}
	err := result.New(result.QueueFull, "timed out waiting for a connection to server %s", p.server.ID())
	p.mu.Lock()
	if p.connWaiters.Remove(w) {
		p.mu.Unlock()
		return nil, err
	}
	p.mu.Unlock()
	// The request was granted a connection, or the pool was closed, at the moment of the timeout.
	g, ok := <-w.granted
	switch {
	case ok && g.conn != nil:
		p.release(g.conn)
	case ok && g.err == nil:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.endDial(w)
		p.grantConns(p.clock())
	}
	return nil, err
}

// useGrant returns the connection of a grant, or opens one. With ok false, the pool has been closed.
func (p *Pool) useGrant(w *connWaiter, g grant, ok bool, deadline time.Time) (*Conn, error) {
	switch {
	case !ok:
		return nil, result.New(result.NoServer, "server %s has been removed or replaced", p.server.ID())
	case g.conn != nil || g.err != nil:
		return g.conn, g.err
	}
	return p.dialFor(w, deadline)
}

// takeIdle removes and returns the idle connection of a workspace with the highest matchScore, the latest released one if several have
// it. It returns nil if the workspace has no idle connection. The caller holds mu.
func (p *Pool) takeIdle(workspace string, values map[string]string) *Conn {
	best, bestScore := -1, -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].workspace != workspace {
			continue
		}
		if score := matchScore(p.idle[i].sessionValues, values); score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return nil
	}
	return p.takeIdleAt(best)
}

// takeIdleAt removes and returns the idle connection with this index. The caller holds mu.
func (p *Pool) takeIdleAt(i int) *Conn {
	c := p.idle[i]
	c.acquiredAt = p.clock()
	p.idle = slices.Delete(p.idle, i, i+1)
	return c
}

// matchScore returns 0 if a connection with the values in have must be reset before it can carry those in want. Otherwise it returns
// 1 plus the number of values that are already set.
func matchScore(have, want map[string]string) int {
	if !namesSubsetOf(have, want) {
		return 0
	}
	n := 1
	for name, value := range have {
		if want[name] == value {
			n++
		}
	}
	return n
}

// dialFor opens a connection for a request that may do so. Where connections belong to workspaces, many are opened; the request then
// waits for a slot, since the server needs one to accept a connection.
func (p *Pool) dialFor(w *connWaiter, deadline time.Time) (*Conn, error) {
	p.mu.Lock()
	needsSlot := p.limits.workspaces
	p.mu.Unlock()
	if needsSlot {
		if err := p.acquireSlot(deadline.Sub(p.clock()), w.rank); err != nil {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.endDial(w)
			p.grantConns(p.clock())
			return nil, err
		}
	}
	start := p.clock()
	c, err := p.dial(deadline.Sub(start), w.Workspace())
	p.mu.Lock()
	defer p.mu.Unlock()
	if needsSlot {
		p.running--
		p.grantSlots()
	}
	if err != nil {
		p.endDial(w)
		if p.limits.workspaces && p.clock().Before(deadline) { // otherwise the failure may be due to this request's short time
			p.refuseWaiters(err)
		}
		p.recordDialFailure(err)
		return nil, err
	}
	p.conns.Opened()
	c.starting = true
	p.grantConns(p.clock())
	return c, nil
}

// endDial records that a request that might have opened a connection has not. The caller holds mu.
func (p *Pool) endDial(w *connWaiter) {
	p.conns.Opened()
	p.conns.Started()
	p.conns.Release(w.Workspace())
	p.conns.Close(w.Workspace())
}

func (p *Pool) dial(timeout time.Duration, workspace string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), max(min(timeout, dialTimeout), time.Millisecond))
	defer cancel()
	start := p.clock()
	sc, err := p.dialer.Dial(ctx, p.server.Address(), p.server.Group(), p.server.ID(), workspace)
	if err != nil {
		return nil, err
	}
	p.recordDialSuccess()
	p.log.Event(event.ConnOpened, zap.String("server", p.server.ID()), zap.String("workspace", workspace),
		zap.Duration("took", p.clock().Sub(start)))
	return &Conn{
		ServerConn: sc, pool: p, workspace: workspace, sessionValues: make(map[string]string), preparedNames: make(map[query.Shape]string),
		acquiredAt: start,
	}, nil
}

// recordDialFailure records that the server has not accepted a connection. The caller holds mu.
func (p *Pool) recordDialFailure(err error) {
	if !p.lastDialFailed {
		p.lastDialFailed = true
		p.log.Event(event.EndptDown, zap.String("server", p.server.ID()), zap.Error(err))
	}
	p.lastDialRefused = result.HasCause(err, syscall.ECONNREFUSED)
	if code := result.CodeOf(err); isFull(code) {
		p.room = evict.RoomForReplacement
		if code == result.Overloaded {
			p.room = evict.NoRoom
		}
		p.dialBlockedUntil = p.clock().Add(serverFullBackoff)
		time.AfterFunc(serverFullBackoff, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.grantConns(p.clock())
		})
	}
	p.grantConns(p.clock())
}

// isFull reports whether a server refuses connections with this code for a moment only.
func isFull(code result.Code) bool {
	return code == result.TooManyCallers || code == result.Overloaded
}

// refuseWaiters refuses the waiting requests whose workspace has no connection, as the server does not accept any. Only few connections
// are opened at a time, so that the requests would find out one after the other. The caller holds mu.
func (p *Pool) refuseWaiters(err error) {
	if isFull(result.CodeOf(err)) {
		return
	}
	waiters, _ := p.connWaiters.Order(nil, p.clock(), p.gate.ServiceTime())
	for _, w := range waiters {
		if !p.conns.Has(w.Workspace()) {
			p.connWaiters.Remove(w)
			w.granted <- grant{err: err}
		}
	}
}

// recordDialSuccess records that the server has accepted a connection.
func (p *Pool) recordDialSuccess() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastDialFailed {
		p.log.Event(event.EndptUp, zap.String("server", p.server.ID()))
	}
	p.lastDialRefused, p.lastDialFailed = false, false
	p.opened++
	p.counts.opened.Add(1)
}

// LastDialRefused reports whether the server's host refused the last connection, which means that the server process is not
// running.
func (p *Pool) LastDialRefused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastDialRefused
}

// acquireSlot waits until one more statement may run on the server, for at most timeout.
func (p *Pool) acquireSlot(timeout time.Duration, rank admit.Rank) error {
	now := p.clock()
	deadline := now.Add(timeout)
	p.mu.Lock()
	p.meter.RecordStatement(p.clock())
	if p.running < p.limits.maxRunning {
		p.running++
		p.mu.Unlock()
		return nil
	}
	w := &slotWaiter{rank: rank, granted: make(chan error, 1)}
	p.slotWaiters.Push(w, rank, now)
	p.refuseHopeless(now)
	p.mu.Unlock()
	t := time.NewTimer(p.nextCheck(rank, deadline).Sub(now))
	defer t.Stop()
	for {
		select {
		case err := <-w.granted:
			return err
		case <-t.C:
		}
		now = p.clock()
		p.mu.Lock()
		if now.Before(deadline) {
			t.Reset(deadline.Sub(now))
			p.refuseHopeless(now)
			p.mu.Unlock()
			continue
		}
		waiting := p.slotWaiters.Remove(w)
		p.mu.Unlock()
		if waiting {
			return result.New(result.QueueFull, "timed out waiting for a free slot of server %s", p.server.ID())
		}
		return <-w.granted // The slot was granted at the moment of the timeout.
	}
}

// refuseHopeless refuses the waiting statements that cannot be answered in time any more while others can. The caller holds mu.
func (p *Pool) refuseHopeless(now time.Time) {
	for _, w := range p.slotWaiters.RemoveHopeless(now, p.gate.ServiceTime()) {
		w.granted <- p.hopelessError("a slot of", w.rank)
	}
}

// releaseSlot ends a statement of this priority that took serviceTime, and lets the next one run.
func (p *Pool) releaseSlot(priority int, serviceTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.RecordServiceTime(serviceTime)
	p.slotWaiters.Ended(priority, serviceTime)
	p.connWaiters.Ended(priority, serviceTime)
	p.running--
	p.grantSlots()
}

// grantSlots lets waiting statements run while slots are free. The caller holds mu.
func (p *Pool) grantSlots() {
	now := p.clock()
	p.refuseHopeless(now)
	for p.running < p.limits.maxRunning {
		w, ok := p.slotWaiters.Pop(now, p.gate.ServiceTime())
		if !ok {
			return
		}
		p.running++
		w.granted <- nil
	}
}

func (p *Pool) release(c *Conn) {
	c.releasedAt = p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.RecordHoldTime(c.releasedAt.Sub(c.acquiredAt))
	if c.starting {
		c.starting = false
		p.conns.Started()
	}
	closing := c.broken || p.closed || p.conns.Excess() || c.stateBytes > maxKeptState
	p.conns.Release(c.workspace)
	if closing {
		p.closeConn(c)
	} else {
		p.idle = append(p.idle, c)
	}
	p.grantConns(c.releasedAt)
}

// setLimits sets the limits of the pool.
func (p *Pool) setLimits(l limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if l.settled > 0 && p.limits.settled == 0 {
		p.settledAt = now.Add(ownerSettleTime)
		p.counts.settledAt.Store(p.settledAt.UnixNano())
	}
	p.limits = l
	p.applyLimits(now)
	p.grantSlots()
}

// recordConnCount records the number of connections that the server has, from all VMs.
func (p *Pool) recordConnCount(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if n == 0 || p.limits.settled == 0 || !now.Before(p.settledAt) {
		return
	}
	// The server may not have counted those that are being opened.
	if layout.OnlyOwner(n - (p.conns.Open() - p.conns.Opening())) {
		p.settledAt = now
		p.applyLimits(now)
	}
}

// unsettled reports whether this VM has become the owner of the server and may not be the only one.
func (p *Pool) unsettled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.settled > 0 && p.clock().Before(p.settledAt)
}

// applyLimits applies the limits of connections that hold at now. The caller holds mu.
func (p *Pool) applyLimits(now time.Time) {
	if p.limits.settled > 0 && !now.Before(p.settledAt) {
		p.limits.maxOpen = p.limits.settled
	}
	limits := evict.NewLimits(p.limits.maxOpen)
	if p.limits.workspaces {
		limits = evict.NewWorkspaceLimits(p.limits.maxOpen, p.limits.maxRunning)
	}
	if limits != p.conns.Limits() {
		p.conns.SetLimits(limits)
		if p.limits.workspaces {
			p.closeExcess(now)
		}
	}
	p.grantConns(now)
}

// trim closes the idle connections that have reached the idle timeout, and those beyond the connection limit.
func (p *Pool) trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		timeout := p.limits.idle
		if c.forStatus {
			timeout = max(timeout, statusIdleTime)
		}
		if now.Sub(c.releasedAt) < timeout {
			return false
		}
		p.closeConn(c)
		return true
	})
	p.closeExcess(now)
	p.applyLimits(now)
}

// recordAnswer records the answer to a request sent at start.
func (p *Pool) recordAnswer(start time.Time, err error) {
	switch {
	case err == nil:
		p.answeredAt.Store(p.clock().UnixNano())
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.unansweredAt.Store(start.UnixNano())
	default:
		p.unansweredAt.Store(math.MaxInt64)
	}
}

// dropSuspects closes the idle connections, as one connection was found broken and the others may be so, too. Where connections belong
// to workspaces, they are many and expensive: if a request has merely timed out, and the server has answered another one that ended
// later, they are kept.
func (p *Pool) dropSuspects() {
	p.mu.Lock()
	workspaces := p.limits.workspaces
	p.mu.Unlock()
	if !workspaces || p.answeredAt.Load() <= p.unansweredAt.Load() {
		p.dropIdle()
	}
}

// dropIdle closes all idle connections.
func (p *Pool) dropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.closeConn(c)
	}
	p.idle = nil
	p.grantConns(p.clock())
}

// close closes the pool and its idle connections and fails all waiting requests. Connections in use are closed on release.
func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	for {
		w, ok := p.connWaiters.Pop(p.clock(), 0)
		if !ok {
			break
		}
		close(w.granted)
	}
	p.mu.Unlock()
	p.dropIdle()
}

// State is the state of a pool, for a diagnostic dump.
type State struct {
	Server     string `json:"server"`
	Limit      int    `json:"limit"`
	Open       int    `json:"open"`
	Idle       int    `json:"idle"`
	Waiting    int    `json:"waiting"` // requests that wait for a connection
	Running    int    `json:"running"`
	MaxRunning int    `json:"most_running"`
	Draining   bool   `json:"draining"` // the server accepts no new work
	Shared     bool   `json:"shared"`   // this VM holds the connections for other VMs, too
	Queue      int    `json:"queue"`    // statements that wait for a slot
	Opening    int    `json:"opening"`  // connections that are being opened
	Opened     int64  `json:"opened"`   // connections since the VM began to use the server
	Replaced   int64  `json:"replaced"` // idle connections that were closed for another workspace
	// Workspaces holds the number of connections of each workspace that has some.
	Workspaces map[string]int `json:"workspaces,omitempty"`
	// Queued holds the number of statements and requests of each workspace that wait for a slot or a connection.
	Queued map[string]int `json:"queued,omitempty"`
	// Owners are the VMs that may hold the connections for other VMs, the owner first; empty if there are none.
	Owners []string `json:"owners,omitempty"`
}

// State returns a copy of the pool's state.
func (p *Pool) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	var workspaces, queued map[string]int
	if p.limits.workspaces {
		workspaces, queued = p.conns.ByWorkspace(), make(map[string]int)
		p.connWaiters.CountByWorkspace(queued)
		p.slotWaiters.CountByWorkspace(queued)
	}
	return State{
		Server: p.server.ID(), Limit: p.limits.maxOpen, Open: p.conns.Open(), Idle: len(p.idle), Waiting: p.connWaiters.Len(),
		Running: p.running, MaxRunning: p.limits.maxRunning, Shared: p.limits.shared, Queue: p.slotWaiters.Len(),
		Opening: p.conns.Opening(), Opened: p.opened, Replaced: p.replaced, Workspaces: workspaces, Queued: queued,
	}
}

func notRegisteredError(id string) error {
	return result.New(result.NoServer, "server %s is not registered any more", id)
}
