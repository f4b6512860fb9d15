package endpt

import (
	"context"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/point"
	"verbenagate/core/result"
	"verbenagate/core/sched"
	"verbenagate/core/stmt"
	"verbenagate/core/work"
)

// readOnlySQLState is the SQLSTATE with which a server refuses a write because it is not, or no longer, the primary.
const readOnlySQLState = "25006"

// job is a unit that holds a slot and a connection.
type job struct {
	t         *stream
	u         work.Unit
	frames    []frame
	item      *sched.Item
	c         *conn
	inTx      bool
	freshConn bool // the stream held no connection before this unit
	a         *answer
}

// execute runs a unit on t.activeConn, and releases the connection and the slot at its end.
func (t *stream) execute(ctx context.Context, u work.Unit, frames []frame, item *sched.Item, sink work.Sink) work.Final {
	t.s.countInFlight(1, u.Class)
	defer t.s.countInFlight(-1, u.Class)
	t.mu.Lock()
	c := t.activeConn
	t.mu.Unlock()
	j := &job{
		t: t, u: u, frames: frames, item: item, c: c, inTx: c.status != work.TxIdle, freshConn: t.heldConn == nil,
		a: newAnswer(sink, u.Class.MayCommit()),
	}
	if u.KeepConnection {
		c.dirty = true
	}
	if u.IdempotencyKey != nil && c.status != work.TxFailed {
		return j.runOnce(ctx)
	}
	r, err := c.buildRequest(frames, u.Prepared)
	if err != nil {
		return j.finishUnsent(err)
	}
	o := j.exchange(ctx, r, j.a, u.KeepConnection || j.inTx)
	if o.err != nil {
		return j.finishLost(ctx, o)
	}
	if o.sqlState == readOnlySQLState && j.freshConn && !j.a.forwarded && o.commit.IsZero() && !j.inCallerReadOnlyTx(ctx, o) {
		j.release(false)
		return work.FinalFromError(j.notPrimaryError())
	}
	return j.deliver(ctx, o)
}

// exchange sends a request of the unit and records the commits in the answer before the answer is forwarded.
func (j *job) exchange(ctx context.Context, r request, a *answer, forwardSession bool) outcome {
	o := j.c.exchange(ctx, r, a, forwardSession)
	if len(o.commits) > 0 {
		j.t.s.recordCommits(j.t.caller, o.commits)
	}
	return o
}

// inCallerReadOnlyTx reports whether the caller itself opened the read-only transaction in which a write was refused.
// That is so if a transaction is open and the refreshed status shows that the server still serves as primary.
func (j *job) inCallerReadOnlyTx(ctx context.Context, o outcome) bool {
	r, ok := j.t.s.cfg.Status.(Refresher)
	if !ok || o.txStatus == work.TxIdle || r.Refresh(ctx) != nil {
		return false
	}
	st, ok := j.t.s.status()
	return ok && st.IsServingPrimary()
}

// release frees the slot and the connection. With keepConn, the stream keeps the connection for its next unit.
func (j *job) release(keepConn bool) {
	complete := !j.c.broken // releaseActiveConn may pass the connection to another unit
	j.t.releaseActiveConn(keepConn, j.u.Class.MayCommit())
	j.t.s.freeSlot(j.item, complete)
}

// finishUnsent ends a unit of which nothing was sent.
func (j *job) finishUnsent(err error) work.Final {
	j.release(!j.freshConn)
	return j.t.unsentFinal(err)
}

func (j *job) notPrimaryError() error {
	return result.New(result.NotPrimary, "server %s is not, or no longer, the primary", j.t.s.Address())
}

// deliver has the unit's commit confirmed and then forwards the answer. During the wait, the slot and, outside a
// transaction, the connection are free for other units.
func (j *job) deliver(ctx context.Context, o outcome) work.Final {
	j.release(j.u.KeepConnection || o.txStatus != work.TxIdle)
	f := work.Final{Code: result.OK, Status: o.txStatus}
	if !o.commit.IsZero() {
		if err := j.t.s.confirmCommit(ctx, o.commit); err != nil {
			f.Code, f.Message = result.QuorumNotReached, result.Message(err)
			return f
		}
		f.Term, f.Position = o.commit.Term(), o.commit.Position()
	}
	if err := j.a.flush(); err != nil {
		return work.Final{Code: result.ConnectionLost, Message: "the answer could not be forwarded to the caller", Status: o.txStatus}
	}
	return f
}

// countInFlight adds n to the number of units in flight, which lasts from the grant of the slot to the end of the
// answer. A unit frees its slot before its commit is confirmed, so the slots in use do not tell whether a unit is in
// flight.
func (s *Server) countInFlight(n int, c stmt.Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += n
	if c.MayCommit() {
		s.inFlightWrites += n
		s.wakeCommitWaiters()
	}
	s.signalDrained()
}

// quiescent reports whether no unit runs or waits and no transaction is open. It ignores a connection that a stream
// holds for its session settings alone, since its caller may send nothing for days. The caller holds mu.
func (s *Server) quiescent() bool {
	return len(s.waiting) == 0 && s.running() == 0 && s.openTransactions == 0 && s.inFlight == 0
}

// confirmCommit records a commit and calls Config.ConfirmCommit for it.
func (s *Server) confirmCommit(ctx context.Context, commit point.Point) error {
	s.recordNewestCommit(commit)
	if s.cfg.ConfirmCommit == nil {
		return nil
	}
	began := s.cfg.Now()
	err := s.cfg.ConfirmCommit(ctx, commit)
	if err == nil {
		s.meter.quorumWait.Observe(s.cfg.Now().Sub(began).Seconds())
	}
	return err
}

// finishLost ends a unit whose answer is incomplete, and marks its connection as broken.
func (j *job) finishLost(ctx context.Context, o outcome) work.Final {
	return j.finishLostAs(ctx, o, j.lossCode(ctx, o))
}

func (j *job) finishLostAs(ctx context.Context, o outcome, code result.Code) work.Final {
	if o.sent && ctx.Err() != nil {
		// Otherwise the server would go on with the statement and occupy a slot.
		go func() { j.c.cancel() }()
	}
	j.c.broken = true
	if ctx.Err() == nil {
		j.t.s.closeIdleConns()
	}
	j.release(false)
	j.t.s.meter.poisonedConns.Inc(1)
	j.t.s.cfg.Logger.Event(event.EndptPoisoned, zap.String("server", j.t.s.Address()), zap.Error(o.err))
	err := result.Wrap(code, o.err, "the connection to server %s failed: %v", j.t.s.Address(), o.err)
	return work.FinalFromError(err)
}

// lossCode returns the result code of a unit whose answer is incomplete. A unit that cannot commit has taken no
// effect, since the server rolls back its transaction when the connection ends.
func (j *job) lossCode(ctx context.Context, o outcome) result.Code {
	switch {
	case j.a.forwarded || (o.sent && j.u.Class.MayCommit()):
		return result.ConnectionLost
	case j.inTx:
		return result.RolledBack
	case ctx.Err() != nil:
		return result.DeadlineTooClose
	}
	return result.NoServer
}
