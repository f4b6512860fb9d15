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

	mu          sync.Mutex
	txOpen      bool  // a transaction is open; used only by the running unit
	holdsLocks  bool  // the open transaction has written; used only by the running unit
	heldConn    *conn // held between units; nil outside a transaction unless the last unit asked to keep it
	activeConn  *conn // the connection of the running unit
	sessionLost bool  // the connection was lost with session state that the caller relies on; used only by the running unit
	running     bool
	cancelled   bool
	cancelWait  context.CancelFunc // ends the wait of the queued unit
	closed      bool
}

// Run implements work.Stream.
func (t *stream) Run(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	f := t.run(ctx, u, sink)
	f.Info, f.Cost, f.StreamLost = t.s.serverInfo(), t.s.expectedCost(u.Fingerprint), t.sessionLost
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
	waitCtx, cancelWait := context.WithCancel(ctx)
	defer cancelWait()
	if err := t.beginUnit(cancelWait); err != nil {
		return work.FinalFromError(err)
	}
	defer t.endUnit()
	if t.sessionLost {
		// On another connection, the unit would run outside its transaction or without the session's settings.
		return work.FinalFromError(result.New(result.RolledBack, "the connection to server %s was lost", t.s.Address()))
	}
	frames, err := splitFrames(u.Frames)
	if err != nil {
		return t.unsentFinal(err)
	}
	w, err := t.acquireSlot(waitCtx, u, deadline)
	if err != nil {
		return t.unsentFinal(err)
	}
	return t.execute(ctx, u, frames, w.item, sink)
}

// beginUnit marks the stream as running. cancelWait ends the wait of the unit in the queue.
func (t *stream) beginUnit(cancelWait context.CancelFunc) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return result.New(result.ShuttingDown, "the stream is closed")
	}
	if t.running {
		return result.New(result.Internal, "a unit of this stream is already running")
	}
	t.running, t.cancelled, t.cancelWait = true, false, cancelWait
	return nil
}

// endUnit marks the stream as idle. If Close was called meanwhile, it releases the held connection.
func (t *stream) endUnit() {
	t.mu.Lock()
	t.running, t.activeConn, t.cancelWait = false, nil, nil
	closed := t.closed
	t.mu.Unlock()
	if closed {
		t.releaseHeldConn()
	}
}

// txStatus returns the transaction status of the connection that the stream holds.
func (t *stream) txStatus() work.TxStatus {
	if t.heldConn == nil {
		return work.TxIdle
	}
	return t.heldConn.status
}

// unsentFinal returns the Final of a unit that was not sent.
func (t *stream) unsentFinal(err error) work.Final {
	f := work.FinalFromError(err)
	f.Status = t.txStatus()
	return f
}

// acquireSlot waits for a slot and, if the stream holds no connection, for a connection. It sets t.activeConn to the
// connection.
func (t *stream) acquireSlot(ctx context.Context, u work.Unit, deadline time.Time) (*waiter, error) {
	for {
		held := t.heldConn
		inTx := held != nil && held.status != work.TxIdle
		if !inTx {
			if err := t.s.awaitEligible(ctx, u); err != nil {
				return nil, err
			}
		}
		w, err := t.s.submit(t.caller, u, deadline, t.schedKind(), inTx)
		if err != nil {
			return nil, err
		}
		g, err := t.awaitGrant(ctx, w)
		if err != nil {
			return nil, err
		}
		c := g.conn
		if held != nil {
			c = held
		}
		if err = t.recheck(c, u, held != nil, inTx); err == nil {
			if err = t.setActiveConn(c); err == nil {
				return w, nil
			}
		}
		t.s.freeSlot(w.item, false)
		if held == nil {
			t.s.returnConn(c)
		}
		if !errors.Is(err, errIdleConnClosed) {
			return nil, err
		}
		// The server had closed the idle connection; try again with another one.
	}
}

func (t *stream) schedKind() sched.Kind {
	switch {
	case t.holdsLocks:
		return sched.HoldsLocks
	case t.heldConn != nil:
		return sched.HoldsConnection
	}
	return sched.NeedsConnection
}

// setHoldsLocks records whether the open transaction holds locks.
func (t *stream) setHoldsLocks(locks bool) {
	switch {
	case locks && !t.holdsLocks:
		t.s.addLockHolders(1)
	case !locks && t.holdsLocks:
		t.s.addLockHolders(-1)
	}
	t.holdsLocks = locks
}

// setTxOpen records whether a transaction is open.
func (t *stream) setTxOpen(open bool) {
	switch {
	case open && !t.txOpen:
		t.s.addOpenTransactions(1)
	case !open && t.txOpen:
		t.s.addOpenTransactions(-1)
	}
	t.txOpen = open
}

var errIdleConnClosed = errors.New("idle connection closed by the server")

// recheck checks again, after the slot was granted, whether the unit may run on c.
func (t *stream) recheck(c *conn, u work.Unit, held, inTx bool) error {
	alive := c.alive
	if held {
		alive = c.aliveWhileHeld
	}
	if !alive() {
		c.broken = true
		if !held {
			return errIdleConnClosed
		}
		t.sessionLost = c.dirty
		t.releaseHeldConn()
		if inTx {
			return result.New(result.RolledBack, "server %s closed the connection of the transaction", t.s.Address())
		}
		return result.New(result.NoServer, "server %s closed the connection of the session", t.s.Address())
	}
	if inTx {
		return nil
	}
	return t.s.checkEligible(u)
}

// setActiveConn makes c the connection that Cancel refers to. It fails if the unit was cancelled.
func (t *stream) setActiveConn(c *conn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelled {
		return result.New(result.Cancelled, "the request was cancelled before it ran")
	}
	t.activeConn = c
	return nil
}

// releaseActiveConn ends the use of the connection by a unit. The stream holds the connection for its next unit or
// returns it. A later cancel request finds nothing to cancel.
func (t *stream) releaseActiveConn(keepConn, wrote bool) {
	t.mu.Lock()
	c := t.activeConn
	t.activeConn = nil
	t.mu.Unlock()
	heldBefore := t.heldConn != nil
	t.sessionLost = c.broken && (keepConn || heldBefore && c.dirty)
	keepConn = keepConn && !c.broken
	open := keepConn && c.status != work.TxIdle
	t.setHoldsLocks(open && (t.holdsLocks || wrote))
	t.setTxOpen(open)
	switch {
	case keepConn && !heldBefore:
		t.heldConn = c
		t.s.addHeldConns(1)
	case !keepConn && heldBefore:
		t.releaseHeldConn()
	case !keepConn:
		t.s.resetAndReturnConn(c)
	}
}

// awaitGrant waits until the unit is granted a slot or its wait ends.
func (t *stream) awaitGrant(ctx context.Context, w *waiter) (grant, error) {
	select {
	case g := <-w.granted:
		return g, g.err
	case <-ctx.Done():
	}
	if t.s.withdraw(w) {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.s.meter.shed.Inc(1)
		}
	} else if g := <-w.granted; g.err == nil { // the grant had already been sent
		t.s.freeSlot(w.item, false)
		if g.conn != nil {
			t.s.returnConn(g.conn)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelled {
		return grant{}, result.New(result.Cancelled, "the request was cancelled before it ran")
	}
	return grant{}, result.New(result.DeadlineTooClose, "the request ended while it waited in the queue of server %s",
		t.s.Address())
}

// Cancel implements work.Stream.
func (t *stream) Cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running {
		return
	}
	t.cancelled = true
	if t.activeConn == nil {
		t.cancelWait()
		return
	}
	// The cancel request may arrive after the unit has ended and cancel a statement of the connection's next user.
	t.activeConn.closeAfterUse.Store(true)
	c := t.activeConn
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
		t.releaseHeldConn()
	}
}

// releaseHeldConn returns the connection that the stream holds, if any.
func (t *stream) releaseHeldConn() {
	c := t.heldConn
	if c == nil {
		return
	}
	t.heldConn = nil
	t.setHoldsLocks(false)
	t.setTxOpen(false)
	t.s.addHeldConns(-1)
	t.s.resetAndReturnConn(c)
}
