// Package pool keeps this VM's connections to the database servers, and what it knows of each group of them.
package pool

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/admit"
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
	// idleLimit closes a connection before the server does, which ends those that rest for a minute.
	idleLimit = 40 * time.Second
	// crowdedLimit is how long a connection rests where there are more VMs than a server accepts connections, so that those in
	// use go round.
	crowdedLimit = 250 * time.Millisecond
	// fullPause is how long no connection is opened after the server said that it has too many.
	fullPause = 150 * time.Millisecond
)

// Conn is a connection to a database server together with the session state that it carries.
type Conn struct {
	port.ServerConn
	pool     *Pool
	values   map[string]string
	prepared map[query.Shape]string
	names    int
	used     time.Time
	taken    time.Time // when the statement or transaction got it
	broken   bool
}

// Server returns the id of the server.
func (c *Conn) Server() string { return c.pool.server.ID() }

// Do sends one request. The connection is closed on release if its state is uncertain afterwards.
func (c *Conn) Do(limit time.Duration, op exec.Operation) (exec.Result, bool, error) {
	if limit <= 0 {
		return exec.Result{}, false, result.New(result.DeadlineTooClose, "no time left")
	}
	r, sent, err := c.ServerConn.Do(limit, op)
	if err != nil {
		c.broken = true
	}
	return r, sent, err
}

// Run sends a statement that occupies a slot of the server, once this VM has fewer running there than it may. Statements of a
// lower priority number come first.
func (c *Conn) Run(limit time.Duration, priority int, op exec.Operation) (exec.Result, bool, error) {
	began := c.pool.clock()
	if !c.pool.enter(limit, priority) {
		return exec.Result{}, false, result.New(result.QueueFull, "no slot of server %s became free", c.Server())
	}
	entered := c.pool.clock()
	r, sent, err := c.Do(limit-entered.Sub(began), op)
	c.pool.leave(c.pool.clock().Sub(entered))
	return r, sent, err
}

// Adopt makes the connection carry a session's values.
func (c *Conn) Adopt(limit time.Duration, values map[string]string) error {
	if !subset(c.values, values) {
		if err := c.simple(limit, exec.Reset{}); err != nil {
			return err
		}
		c.values, c.prepared = make(map[string]string), make(map[query.Shape]string)
	}
	for name, value := range values {
		if have, ok := c.values[name]; ok && have == value {
			continue
		}
		if err := c.simple(limit, exec.NewSet(name, value)); err != nil {
			return err
		}
		c.values[name] = value
	}
	return nil
}

// subset reports whether have names no value that want lacks. A value that differs is assigned again.
func subset(have, want map[string]string) bool {
	for name := range have {
		if _, ok := want[name]; !ok {
			return false
		}
	}
	return true
}

// Prepared returns the name that a shape has on this connection, and prepares it first if it has none.
func (c *Conn) Prepared(limit time.Duration, shape query.Shape, name func(n int) string) (string, error) {
	if n, ok := c.prepared[shape]; ok {
		return n, nil
	}
	c.names++
	n := name(c.names)
	if err := c.simple(limit, exec.NewPrepare(n, shape)); err != nil {
		return "", err
	}
	c.prepared[shape] = n
	return n, nil
}

// simple runs an operation of the VM's own, whose failure makes the connection's state uncertain.
func (c *Conn) simple(limit time.Duration, op exec.Operation) error {
	r, _, err := c.Do(limit, op)
	if err == nil && r.Code() != result.OK {
		c.broken = true
		err = result.New(r.Code(), "%s", r.Message())
	}
	return err
}

// Break has the connection closed when it is released.
func (c *Conn) Break() { c.broken = true }

// Broken reports whether the connection will be closed when it is released.
func (c *Conn) Broken() bool { return c.broken }

// Release gives the connection back. It must be outside a transaction, or broken.
func (c *Conn) Release() { c.pool.release(c) }

// waiter is a request for a connection. It gets a connection, or nil when it may open one itself.
type waiter struct {
	priority int
	got      chan *Conn
}

// runner is a statement that waits until it may run.
type runner struct {
	priority int
	run      chan struct{}
}

// Pool holds the connections to one server.
type Pool struct {
	server layout.Server
	dialer port.Dialer
	clock  func() time.Time
	log    logs.Logger

	mu      sync.Mutex
	limit   int
	open    int
	idle    []*Conn
	waiting []*waiter
	gate    admit.Gate
	running int // statements that occupy a slot
	most    int // bounds running
	rest    time.Duration
	queue   []*runner
	full    time.Time // until then no connection is opened
	closed  bool
	refused bool // the last dial was refused by the server's machine
	failing bool // the last dial failed
}

// Want is a request for a connection. Patience is how long the caller can use to wait; limit is when it gives up.
type Want struct {
	Limit    time.Duration
	Patience time.Duration
	Priority int // requests of a lower number come first
	Values   map[string]string
}

// Acquire returns a connection, for preference one that carries the session values wanted.
func (p *Pool) Acquire(want Want) (*Conn, error) {
	end := p.clock().Add(want.Limit)
	p.mu.Lock()
	switch {
	case p.closed:
		p.mu.Unlock()
		return nil, result.New(result.NoServer, "server %s is gone", p.server.ID())
	case len(p.idle) > 0:
		c := p.take(want.Values)
		p.mu.Unlock()
		return c, nil
	case p.open < p.limit && !p.clock().Before(p.full):
		p.open++
		p.mu.Unlock()
		return p.dial(end.Sub(p.clock()))
	}
	w := &waiter{priority: want.Priority, got: make(chan *Conn, 1)}
	at, _ := slices.BinarySearchFunc(p.waiting, want.Priority+1, func(w *waiter, n int) int { return w.priority - n })
	if !p.gate.Admits(at, p.limit, want.Patience) {
		wait := p.gate.ExpectedWait(at, p.limit)
		p.mu.Unlock()
		return nil, result.New(result.Overloaded, "%d wait for server %s, for %s", at, p.server.ID(), wait)
	}
	p.waiting = slices.Insert(p.waiting, at, w)
	p.mu.Unlock()
	return p.await(w, end)
}

// Visit returns a connection for a request of the VM's own that must not wait behind those of callers: an idle one, or else a new
// one, also beyond the pool's limit. Callers may hold all connections of a server that does not answer any more.
func (p *Pool) Visit(limit time.Duration) (*Conn, error) {
	p.mu.Lock()
	switch {
	case p.closed:
		p.mu.Unlock()
		return nil, result.New(result.NoServer, "server %s is gone", p.server.ID())
	case len(p.idle) > 0:
		c := p.take(nil)
		p.mu.Unlock()
		return c, nil
	}
	p.open++
	p.mu.Unlock()
	return p.dial(limit)
}

func (p *Pool) await(w *waiter, end time.Time) (*Conn, error) {
	t := time.NewTimer(end.Sub(p.clock()))
	defer t.Stop()
	select {
	case c, ok := <-w.got:
		if !ok {
			return nil, result.New(result.NoServer, "server %s is gone", p.server.ID())
		}
		if c != nil {
			return c, nil
		}
		return p.dial(end.Sub(p.clock()))
	case <-t.C:
	}
	p.mu.Lock()
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.mu.Unlock()
		return nil, result.New(result.QueueFull, "no connection to server %s became free", p.server.ID())
	}
	p.mu.Unlock()
	// The request was served at the same moment.
	c, ok := <-w.got
	switch {
	case ok && c != nil:
		p.release(c)
	case ok:
		p.mu.Lock()
		p.open--
		p.next()
		p.mu.Unlock()
	}
	return nil, result.New(result.QueueFull, "no connection to server %s became free", p.server.ID())
}

// take removes the idle connection that fits best: one with the same values, else one without any. The caller holds mu.
func (p *Pool) take(values map[string]string) *Conn {
	best, score := len(p.idle)-1, -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if n := fit(p.idle[i].values, values); n > score {
			best, score = i, n
		}
	}
	c := p.idle[best]
	c.taken = p.clock()
	p.idle = slices.Delete(p.idle, best, best+1)
	return c
}

func fit(have, want map[string]string) int {
	if !subset(have, want) {
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

func (p *Pool) dial(limit time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), max(min(limit, dialTimeout), time.Millisecond))
	defer cancel()
	now := p.clock()
	sc, err := p.dialer.Dial(ctx, p.server.Address(), p.server.Group(), p.server.ID())
	if err == nil {
		p.reached()
		return &Conn{
			ServerConn: sc, pool: p, values: make(map[string]string), prepared: make(map[query.Shape]string), taken: now,
		}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.failing {
		p.failing = true
		p.log.Event(event.EndptDown, zap.String("server", p.server.ID()), zap.Error(err))
	}
	p.open--
	p.refused = result.HasCause(err, syscall.ECONNREFUSED)
	if code := result.CodeOf(err); code == result.TooManyCallers || code == result.Overloaded {
		p.full = p.clock().Add(fullPause)
	}
	p.next()
	return nil, err
}

// reached notes that the server took a connection.
func (p *Pool) reached() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failing {
		p.log.Event(event.EndptUp, zap.String("server", p.server.ID()))
	}
	p.refused, p.failing = false, false
}

// Refused reports whether the server's machine refused the last connection, which says that the server does not run.
func (p *Pool) Refused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// enter waits until one more statement may run on the server.
func (p *Pool) enter(limit time.Duration, priority int) bool {
	p.mu.Lock()
	if p.running < p.most {
		p.running++
		p.mu.Unlock()
		return true
	}
	r := &runner{priority: priority, run: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(p.queue, priority+1, func(r *runner, n int) int { return r.priority - n })
	p.queue = slices.Insert(p.queue, at, r)
	p.mu.Unlock()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-r.run:
		return true
	case <-t.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.queue, r); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
		return false
	}
	return true // It was let in at the same moment.
}

// leave notes how long a statement ran and lets the next one run.
func (p *Pool) leave(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.RecordServiceTime(took)
	p.running--
	p.admitNext()
}

// admitNext lets statements run while there is room. The caller holds mu.
func (p *Pool) admitNext() {
	for len(p.queue) > 0 && p.running < p.most {
		p.running++
		close(p.queue[0].run)
		p.queue = slices.Delete(p.queue, 0, 1)
	}
}

// next lets the first waiter open a connection if there is room. The caller holds mu.
func (p *Pool) next() {
	if len(p.waiting) == 0 || p.open >= p.limit || p.closed {
		return
	}
	w := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	p.open++
	w.got <- nil
}

func (p *Pool) release(c *Conn) {
	c.used = p.clock()
	p.mu.Lock()
	p.gate.RecordHoldTime(c.used.Sub(c.taken))
	if c.broken || p.closed || p.open > p.limit {
		p.open--
		p.next()
		p.mu.Unlock()
		_ = c.Close()
		return
	}
	if len(p.waiting) > 0 {
		w := p.waiting[0]
		p.waiting = slices.Delete(p.waiting, 0, 1)
		c.taken = c.used
		p.mu.Unlock()
		w.got <- c
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// setLimits changes how many connections may be open, how many statements may run, and how long connections rest.
func (p *Pool) setLimits(connections, statements int, overcommitted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.most, p.rest = connections, statements, idleLimit
	if overcommitted {
		p.rest = crowdedLimit
	}
	p.next()
	p.admitNext()
}

// trim closes connections that have been idle for long.
func (p *Pool) trim(now time.Time) {
	p.mu.Lock()
	var old []*Conn
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		if now.Sub(c.used) < p.rest && p.open <= p.limit {
			return false
		}
		old = append(old, c)
		p.open--
		return true
	})
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// dropIdle closes the idle connections, for instance after one of them was found broken.
func (p *Pool) dropIdle() {
	p.mu.Lock()
	old := p.idle
	p.idle = nil
	p.open -= len(old)
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// close ends the pool. Connections in use are closed when they are released.
func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	waiting := p.waiting
	p.waiting = nil
	p.mu.Unlock()
	for _, w := range waiting {
		close(w.got)
	}
	p.dropIdle()
}

// State describes the pool for a dump.
type State struct {
	Server  string `json:"server"`
	Limit   int    `json:"limit"`
	Open    int    `json:"open"`
	Idle    int    `json:"idle"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
	Most    int    `json:"most_running"`
	Queue   int    `json:"queue"`
}

// State returns a copy of the pool's state.
func (p *Pool) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{
		Server: p.server.ID(), Limit: p.limit, Open: p.open, Idle: len(p.idle), Waiting: len(p.waiting),
		Running: p.running, Most: p.most, Queue: len(p.queue),
	}
}

// errGone says that a server is not registered any more.
var errGone = result.New(result.NoServer, "the server is not registered any more")
