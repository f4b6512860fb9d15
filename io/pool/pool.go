// Package pool keeps this VM's connections to the database servers and its routing state for each group of servers.
package pool

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/admit"
	"verbenagate/core/even"
	"verbenagate/core/event"
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
	// serverFullBackoff is how long Acquire opens no connection after the server refused one because it has too many or is
	// overloaded.
	serverFullBackoff = 150 * time.Millisecond
)

// Conn is a connection to a database server, with the session values and prepared statements that are set on it.
type Conn struct {
	port.ServerConn
	pool          *Pool
	sessionValues map[string]string
	preparedNames map[query.Shape]string
	preparedCount int
	releasedAt    time.Time
	acquiredAt    time.Time // when its current user acquired it or began to open it
	usefulUntil   time.Time // when the answer to its current user's statement becomes useless
	forStatus     bool      // opened for a status request
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
	r, sent, err = c.ServerConn.Do(timeout, op)
	c.broken = wasBroken || err != nil
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
	if !c.pool.acquireSlot(timeout, admit.NewRank(priority, usefulUntil)) {
		return exec.Result{}, false, result.New(result.QueueFull, "timed out waiting for a free slot of server %s", c.Server())
	}
	slotAcquired := c.pool.clock()
	defer func() { c.pool.releaseSlot(c.pool.clock().Sub(slotAcquired)) }()
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
	}
	for name, value := range values {
		if current, ok := c.sessionValues[name]; ok && current == value {
			continue
		}
		if err := c.doInternal(timeout, exec.NewSet(name, value)); err != nil {
			return err
		}
		c.sessionValues[name] = value
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

// connWaiter is a request that waits for a connection. The channel delivers the connection, or nil if the request may open one
// itself. It is closed if the pool is closed.
type connWaiter struct{ granted chan *Conn }

// slotWaiter is a statement that waits for a slot. The channel is closed when the slot is granted.
type slotWaiter struct{ granted chan struct{} }

// Pool holds this VM's connections to one server and limits the statements that run there.
type Pool struct {
	server layout.Server
	dialer port.Dialer
	clock  func() time.Time
	log    logs.Logger

	mu               sync.Mutex
	limits           limits
	open             int
	idle             []*Conn
	connWaiters      admit.Queue[*connWaiter]
	gate             admit.Gate
	meter            even.Meter
	running          int // statements that occupy a slot of the server
	slotWaiters      admit.Queue[*slotWaiter]
	dialBlockedUntil time.Time // until then Acquire opens no connection
	closed           bool
	lastDialRefused  bool // the server's machine refused the last dial with ECONNREFUSED
	lastDialFailed   bool
}

// limits are the limits of this VM's use of one server.
type limits struct {
	maxOpen    int           // connections
	maxRunning int           // statements that occupy a slot
	idle       time.Duration // after which a connection is closed
	shared     bool          // this VM holds the connections for other VMs, too
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
	// SendBackAt is from how many statements ahead on the server's owner refuses the statement, as not run, since another server
	// can run it sooner; 0 for never.
	SendBackAt int
}

// Acquire returns a connection: an idle one, preferably with the session values in request, or a new one if the pool's limit
// allows, or the next one that is released.
func (p *Pool) Acquire(request AcquireRequest) (*Conn, error) {
	now := p.clock()
	usefulUntil := now.Add(request.AnswerWithin)
	c, err := p.acquire(request, now, admit.NewRank(request.Priority, usefulUntil))
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
	case p.limits.shared && !p.gate.AdmitsToSlot(p.slotsAhead(now, rank), p.limits.maxRunning, request.AnswerWithin):
		ahead := p.slotsAhead(now, rank)
		p.mu.Unlock()
		return nil, result.New(result.Overloaded, "%d statements are ahead in the queue for a slot of server %s", ahead, p.server.ID())
	case len(p.idle) > 0:
		c := p.takeIdle(request.SessionValues)
		p.mu.Unlock()
		return c, nil
	case p.open < p.limits.maxOpen && !now.Before(p.dialBlockedUntil):
		p.open++
		p.mu.Unlock()
		return p.dial(deadline.Sub(now))
	}
	ahead := p.connWaiters.Ahead(rank, now, p.gate.ServiceTime())
	if !p.gate.Admits(ahead, p.limits.maxOpen, request.AnswerWithin) {
		wait := p.gate.ExpectedWait(ahead, p.limits.maxOpen)
		p.mu.Unlock()
		return nil, result.New(result.Overloaded, "%d requests are ahead in the queue for server %s; the expected wait is %s",
			ahead, p.server.ID(), wait)
	}
	w := &connWaiter{granted: make(chan *Conn, 1)}
	p.connWaiters.Push(w, rank)
	p.mu.Unlock()
	return p.waitForConn(w, deadline)
}

// AcquireBeyondLimit returns an idle connection, or else a new one even if that exceeds the pool's limit. It is for the VM's own
// requests, which must not wait behind those of callers: callers may hold all connections to a server that has stopped answering.
func (p *Pool) AcquireBeyondLimit(timeout time.Duration) (*Conn, error) {
	p.mu.Lock()
	switch {
	case p.closed:
		p.mu.Unlock()
		return nil, result.New(result.NoServer, "server %s has been removed or replaced", p.server.ID())
	case len(p.idle) > 0:
		c := p.takeIdle(nil)
		p.mu.Unlock()
		return c, nil
	}
	p.open++
	p.mu.Unlock()
	c, err := p.dial(timeout)
	if err == nil {
		c.forStatus = true
	}
	return c, err
}

// slotsAhead returns how many statements run or wait ahead of a new one beyond those that have a slot at once. It is negative if a
// slot is free. The caller holds mu.
func (p *Pool) slotsAhead(now time.Time, rank admit.Rank) int {
	return p.running + p.slotWaiters.Ahead(rank, now, p.gate.ServiceTime()) - p.limits.maxRunning
}

func (p *Pool) waitForConn(w *connWaiter, deadline time.Time) (*Conn, error) {
	t := time.NewTimer(deadline.Sub(p.clock()))
	defer t.Stop()
	select {
	case c, ok := <-w.granted:
		if !ok {
			return nil, result.New(result.NoServer, "server %s has been removed or replaced", p.server.ID())
		}
		if c != nil {
			return c, nil
		}
		return p.dial(deadline.Sub(p.clock()))
	case <-t.C:
	}
	p.mu.Lock()
	if p.connWaiters.Remove(w) {
		p.mu.Unlock()
		return nil, result.New(result.QueueFull, "timed out waiting for a connection to server %s", p.server.ID())
	}
	p.mu.Unlock()
	// The request was granted a connection, or the pool was closed, at the moment of the timeout.
	c, ok := <-w.granted
	switch {
	case ok && c != nil:
		p.release(c)
	case ok:
		p.mu.Lock()
		p.open--
		p.letNextWaiterDial()
		p.mu.Unlock()
	}
	return nil, result.New(result.QueueFull, "timed out waiting for a connection to server %s", p.server.ID())
}

// takeIdle removes and returns the idle connection with the highest matchScore, the latest released one if several have it. There
// must be an idle connection. The caller holds mu.
func (p *Pool) takeIdle(values map[string]string) *Conn {
	best, bestScore := len(p.idle)-1, -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if score := matchScore(p.idle[i].sessionValues, values); score > bestScore {
			best, bestScore = i, score
		}
	}
	c := p.idle[best]
	c.acquiredAt = p.clock()
	p.idle = slices.Delete(p.idle, best, best+1)
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

func (p *Pool) dial(timeout time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), max(min(timeout, dialTimeout), time.Millisecond))
	defer cancel()
	start := p.clock()
	sc, err := p.dialer.Dial(ctx, p.server.Address(), p.server.Group(), p.server.ID())
	if err == nil {
		p.recordDialSuccess()
		return &Conn{
			ServerConn: sc, pool: p, sessionValues: make(map[string]string), preparedNames: make(map[query.Shape]string),
			acquiredAt: start,
		}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lastDialFailed {
		p.lastDialFailed = true
		p.log.Event(event.EndptDown, zap.String("server", p.server.ID()), zap.Error(err))
	}
	p.open--
	p.lastDialRefused = result.HasCause(err, syscall.ECONNREFUSED)
	if code := result.CodeOf(err); code == result.TooManyCallers || code == result.Overloaded {
		p.dialBlockedUntil = p.clock().Add(serverFullBackoff)
	}
	p.letNextWaiterDial()
	return nil, err
}

// recordDialSuccess records that the server has accepted a connection.
func (p *Pool) recordDialSuccess() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastDialFailed {
		p.log.Event(event.EndptUp, zap.String("server", p.server.ID()))
	}
	p.lastDialRefused, p.lastDialFailed = false, false
}

// LastDialRefused reports whether the server's machine refused the last connection, which means that the server process is not
// running.
func (p *Pool) LastDialRefused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastDialRefused
}

// acquireSlot waits until one more statement may run on the server. It returns false if that takes longer than timeout.
func (p *Pool) acquireSlot(timeout time.Duration, rank admit.Rank) bool {
	p.mu.Lock()
	p.meter.RecordStatement(p.clock())
	if p.running < p.limits.maxRunning {
		p.running++
		p.mu.Unlock()
		return true
	}
	w := &slotWaiter{granted: make(chan struct{})}
	p.slotWaiters.Push(w, rank)
	p.mu.Unlock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-w.granted:
		return true
	case <-t.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.slotWaiters.Remove(w) // If it does not wait any more, the slot was granted at the moment of the timeout.
}

// releaseSlot ends a statement that took serviceTime, and lets the next one run.
func (p *Pool) releaseSlot(serviceTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.RecordServiceTime(serviceTime)
	p.running--
	p.grantSlots()
}

// grantSlots lets waiting statements run while slots are free. The caller holds mu.
func (p *Pool) grantSlots() {
	for p.running < p.limits.maxRunning {
		w, ok := p.slotWaiters.Pop(p.clock(), p.gate.ServiceTime())
		if !ok {
			return
		}
		p.running++
		close(w.granted)
	}
}

// letNextWaiterDial lets the next waiting request open a connection if the limit allows. The caller holds mu.
func (p *Pool) letNextWaiterDial() {
	if p.open >= p.limits.maxOpen || p.closed {
		return
	}
	if w, ok := p.connWaiters.Pop(p.clock(), p.gate.ServiceTime()); ok {
		p.open++
		w.granted <- nil
	}
}

func (p *Pool) release(c *Conn) {
	c.releasedAt = p.clock()
	p.mu.Lock()
	p.gate.RecordHoldTime(c.releasedAt.Sub(c.acquiredAt))
	if c.broken || p.closed || p.open > p.limits.maxOpen {
		p.open--
		p.letNextWaiterDial()
		p.mu.Unlock()
		_ = c.Close()
		return
	}
	if w, ok := p.connWaiters.Pop(c.releasedAt, p.gate.ServiceTime()); ok {
		c.acquiredAt = c.releasedAt
		p.mu.Unlock()
		w.granted <- c
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// setLimits sets the limits of the pool.
func (p *Pool) setLimits(l limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l
	p.letNextWaiterDial()
	p.grantSlots()
}

// trim closes the idle connections that have reached the idle timeout, and those beyond the connection limit.
func (p *Pool) trim(now time.Time) {
	p.mu.Lock()
	var expired []*Conn
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		timeout := p.limits.idle
		if c.forStatus {
			timeout = max(timeout, statusIdleTime)
		}
		if now.Sub(c.releasedAt) < timeout && p.open <= p.limits.maxOpen {
			return false
		}
		expired = append(expired, c)
		p.open--
		return true
	})
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// dropIdle closes all idle connections, for instance after one of them was found broken.
func (p *Pool) dropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
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
	// Owners are the VMs that may hold the connections for other VMs, the owner first; empty if there are none.
	Owners []string `json:"owners,omitempty"`
}

// State returns a copy of the pool's state.
func (p *Pool) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{
		Server: p.server.ID(), Limit: p.limits.maxOpen, Open: p.open, Idle: len(p.idle), Waiting: p.connWaiters.Len(),
		Running: p.running, MaxRunning: p.limits.maxRunning, Shared: p.limits.shared, Queue: p.slotWaiters.Len(),
	}
}

func notRegisteredError(id string) error {
	return result.New(result.NoServer, "server %s is not registered any more", id)
}
