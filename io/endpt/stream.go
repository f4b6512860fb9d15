package endpt

import (
	"context"
	"errors"
	"sync"
	"time"

	"verbenagate/core/result"
	"verbenagate/core/sched"
	"verbenagate/core/work"
)

// stream implements work.Stream.
type stream struct {
	s      *Server
	caller string
	ctx    context.Context
	stop   context.CancelFunc

	mu        sync.Mutex
	open      bool  // a transaction is open; used by the unit that runs only
	locks     bool  // the open transaction has written; used by the unit that runs only
	conn      *conn // held between units; nil outside a transaction, unless the last unit asked to keep it
	active    *conn // the connection of the unit that runs
	gone      bool  // the connection is lost with state that the caller relies on; used by the unit that runs only
	running   bool
	cancelled bool
	cancel    context.CancelFunc // ends the wait of the unit that waits
	closed    bool
}

// Run implements work.Stream.
func (t *stream) Run(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	f := t.run(ctx, u, sink)
	f.Info, f.Cost, f.StreamLost = t.s.info(), t.s.cost(u.Fingerprint), t.gone
	return f
}

func (t *stream) run(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	var deadline time.Time
	cancel := context.CancelFunc(func() {})
	if u.Remaining > 0 {
		deadline = t.s.cfg.Now().Add(u.Remaining)
		ctx, cancel = context.WithTimeout(ctx, u.Remaining)
	}
	defer cancel()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(t.ctx, stop)()
	wait, giveUp := context.WithCancel(ctx)
	defer giveUp()
	if err := t.begin(giveUp); err != nil {
		return work.FinalFromError(err)
	}
	defer t.end()
	if t.gone {
		// Another connection would run the unit outside its transaction or without the session's settings.
		return work.FinalFromError(result.New(result.RolledBack, "the connection to server %s was lost", t.s.Address()))
	}
	list, err := split(u.Frames)
	if err != nil {
		return t.refuse(err)
	}
	w, err := t.acquire(wait, u, deadline)
	if err != nil {
		return t.refuse(err)
	}
	return t.execute(ctx, u, list, w.item, sink)
}

// begin marks the stream as running.
func (t *stream) begin(giveUp context.CancelFunc) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return result.New(result.ShuttingDown, "the stream is closed")
	}
	if t.running {
		return result.New(result.Internal, "a unit of this stream runs already")
	}
	t.running, t.cancelled, t.cancel = true, false, giveUp
	return nil
}

// end marks the stream as idle, and does what Close left to do.
func (t *stream) end() {
	t.mu.Lock()
	t.running, t.active, t.cancel = false, nil, nil
	closed := t.closed
	t.mu.Unlock()
	if closed {
		t.letGo()
	}
}

// status is the transaction status of the connection that the stream holds.
func (t *stream) status() work.TxStatus {
	if t.conn == nil {
		return work.TxIdle
	}
	return t.conn.status
}

// refuse is the Final of a unit that was not sent.
func (t *stream) refuse(err error) work.Final {
	f := work.FinalFromError(err)
	f.Status = t.status()
	return f
}

// acquire waits for a slot and, if the stream holds none, for a connection; t.active is the connection then.
func (t *stream) acquire(ctx context.Context, u work.Unit, deadline time.Time) (*waiter, error) {
	for {
		held := t.conn
		inTx := held != nil && held.status != work.TxIdle
		if !inTx {
			if err := t.s.await(ctx, u); err != nil {
				return nil, err
			}
		}
		w, err := t.s.submit(t.caller, u, deadline, t.kind(), inTx)
		if err != nil {
			return nil, err
		}
		g, err := t.wait(ctx, w)
		if err != nil {
			return nil, err
		}
		c := g.conn
		if held != nil {
			c = held
		}
		if err = t.fit(c, u, held != nil, inTx); err == nil {
			if err = t.activate(c); err == nil {
				return w, nil
			}
		}
		t.s.free(w.item, false)
		if held == nil {
			t.s.put(c)
		}
		if !errors.Is(err, errStale) {
			return nil, err
		}
		// The connection had been closed while it was idle; another one serves.
	}
}

func (t *stream) kind() sched.Kind {
	switch {
	case t.locks:
		return sched.HoldsLocks
	case t.conn != nil:
		return sched.HoldsConnection
	}
	return sched.NeedsConnection
}

// setLocks notes whether the stream holds locks in an open transaction.
func (t *stream) setLocks(locks bool) {
	switch {
	case locks && !t.locks:
		t.s.lock(1)
	case !locks && t.locks:
		t.s.lock(-1)
	}
	t.locks = locks
}

// setOpen notes whether a transaction is open.
func (t *stream) setOpen(open bool) {
	switch {
	case open && !t.open:
		t.s.transact(1)
	case !open && t.open:
		t.s.transact(-1)
	}
	t.open = open
}

var errStale = errors.New("idle connection closed by the server")

// fit checks once more, with the slot in hand, whether the unit may run.
func (t *stream) fit(c *conn, u work.Unit, held, inTx bool) error {
	alive := c.alive
	if held {
		alive = c.aliveHeld
	}
	if !alive() {
		c.broken = true
		if !held {
			return errStale
		}
		t.gone = c.soiled
		t.letGo()
		if inTx {
			return result.New(result.RolledBack, "server %s closed the connection of the transaction", t.s.Address())
		}
		return result.New(result.NoServer, "server %s closed the connection of the session", t.s.Address())
	}
	if inTx {
		return nil
	}
	return t.s.check(u)
}

// activate makes c the connection that Cancel refers to.
func (t *stream) activate(c *conn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelled {
		return result.New(result.Cancelled, "the request was cancelled before it ran")
	}
	t.active = c
	return nil
}

// settle ends the use of the connection by a unit: the stream holds it for its next unit or gives it back. A cancel
// request that comes later finds nothing to cancel.
func (t *stream) settle(hold, wrote bool) {
	t.mu.Lock()
	c := t.active
	t.active = nil
	t.mu.Unlock()
	before := t.conn != nil
	t.gone = c.broken && (hold || before && c.soiled)
	hold = hold && !c.broken
	open := hold && c.status != work.TxIdle
	t.setLocks(open && (t.locks || wrote))
	t.setOpen(open)
	switch {
	case hold && !before:
		t.conn = c
		t.s.hold(1)
	case !hold && before:
		t.letGo()
	case !hold:
		t.s.restore(c)
	}
}

// wait waits for the grant of a slot.
func (t *stream) wait(ctx context.Context, w *waiter) (grant, error) {
	select {
	case g := <-w.ch:
		return g, g.err
	case <-ctx.Done():
	}
	if t.s.withdraw(w) {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.s.meter.shed.Inc(1)
		}
	} else if g := <-w.ch; g.err == nil { // the grant was in the channel
		t.s.free(w.item, false)
		if g.conn != nil {
			t.s.put(g.conn)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelled {
		return grant{}, result.New(result.Cancelled, "the request was cancelled before it ran")
	}
	return grant{}, result.New(result.DeadlineTooClose, "the request ended in the queue of server %s", t.s.Address())
}

// Cancel implements work.Stream.
func (t *stream) Cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running {
		return
	}
	t.cancelled = true
	if t.active == nil {
		t.cancel()
		return
	}
	// The request may arrive after the unit has ended and hit the next user of the connection.
	t.active.expired.Store(true)
	c := t.active
	go func() { c.cancel() }()
}

// Close implements work.Stream.
func (t *stream) Close() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	running := t.running
	t.mu.Unlock()
	t.stop()
	if !running {
		t.letGo()
	}
}

// letGo gives back the connection that the stream holds.
func (t *stream) letGo() {
	c := t.conn
	if c == nil {
		return
	}
	t.conn = nil
	t.setLocks(false)
	t.setOpen(false)
	t.s.hold(-1)
	t.s.restore(c)
}
