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

// readOnlyState is the SQLSTATE with which a server refuses a write because it is not, or no longer, the primary.
const readOnlyState = "25006"

// job is a unit that holds a slot and a connection.
type job struct {
	t     *stream
	u     work.Unit
	list  []frame
	item  *sched.Item
	c     *conn
	inTx  bool
	fresh bool // the stream held no connection before
	a     *answer
}

// execute runs a unit on t.active and settles the connection and the slot.
func (t *stream) execute(ctx context.Context, u work.Unit, list []frame, item *sched.Item, sink work.Sink) work.Final {
	t.s.executing(1, u.Class)
	defer t.s.executing(-1, u.Class)
	t.mu.Lock()
	c := t.active
	t.mu.Unlock()
	j := &job{
		t: t, u: u, list: list, item: item, c: c, inTx: c.status != work.TxIdle, fresh: t.conn == nil,
		a: newAnswer(sink, u.Class.MayCommit()),
	}
	if u.KeepConnection {
		c.soiled = true
	}
	if u.IdempotencyKey != nil && c.status != work.TxFailed {
		return j.once(ctx)
	}
	r, err := c.build(list, u.Prepared)
	if err != nil {
		return j.refuse(err)
	}
	o := j.exchange(ctx, r, j.a, u.KeepConnection || j.inTx)
	if o.err != nil {
		return j.lost(ctx, o)
	}
	if o.state == readOnlyState && j.fresh && !j.a.passed && o.commit.IsZero() && !j.ownReadOnly(ctx, o) {
		j.finish(false)
		return work.FinalFromError(j.notPrimary())
	}
	return j.deliver(ctx, o)
}

// exchange sends a request of the unit and notes the commits in the answer, before anybody is told of them.
func (j *job) exchange(ctx context.Context, r request, a *answer, keep bool) outcome {
	o := j.c.exchange(ctx, r, a, keep)
	if len(o.commits) > 0 {
		j.t.s.recordCommits(j.t.caller, o.commits)
	}
	return o
}

// ownReadOnly reports whether the caller opened the read-only transaction itself in which a write was refused, since the
// server still serves as primary.
func (j *job) ownReadOnly(ctx context.Context, o outcome) bool {
	r, ok := j.t.s.cfg.Status.(Refresher)
	if !ok || o.ready == work.TxIdle || r.Refresh(ctx) != nil {
		return false
	}
	st, ok := j.t.s.status()
	return ok && st.IsServingPrimary()
}

// finish gives back the slot and settles the connection.
func (j *job) finish(hold bool) {
	complete := !j.c.broken // settle may give the connection to another unit
	j.t.settle(hold, j.u.Class.MayCommit())
	j.t.s.free(j.item, complete)
}

// refuse ends a unit before anything was sent.
func (j *job) refuse(err error) work.Final {
	j.finish(!j.fresh)
	return j.t.refuse(err)
}

func (j *job) notPrimary() error {
	return result.New(result.NotPrimary, "server %s refused to write", j.t.s.Address())
}

// deliver confirms the unit's commit and passes the answer on. The slot and, outside a transaction, the connection are
// free for others in the meantime.
func (j *job) deliver(ctx context.Context, o outcome) work.Final {
	j.finish(j.u.KeepConnection || o.ready != work.TxIdle)
	f := work.Final{Code: result.OK, Status: o.ready}
	if !o.commit.IsZero() {
		if err := j.t.s.confirm(ctx, o.commit); err != nil {
			f.Code, f.Message = result.QuorumNotReached, result.Message(err)
			return f
		}
		f.Term, f.Position = o.commit.Term(), o.commit.Position()
	}
	if err := j.a.flush(); err != nil {
		return work.Final{Code: result.ConnectionLost, Message: "the answer could not be passed on", Status: o.ready}
	}
	return f
}

// executing counts the units from the grant of their slot to the end of their answer. A unit gives back its slot before
// its commit is confirmed, so the slots in use do not tell whether a unit is in progress.
func (s *Server) executing(n int, c stmt.Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.units += n
	if c.MayCommit() {
		s.writing += n
		s.signalRecorded()
	}
	s.signalQuiet()
}

// quiescent reports whether no unit runs or waits and no transaction is open. A connection that a stream holds for its
// settings alone is not waited for: its caller may do nothing for days. The caller holds mu.
func (s *Server) quiescent() bool {
	return len(s.waiting) == 0 && s.running() == 0 && s.transactions == 0 && s.units == 0
}

// confirm notes a commit and has it confirmed.
func (s *Server) confirm(ctx context.Context, commit point.Point) error {
	s.noteCommit(commit)
	if s.cfg.Confirm == nil {
		return nil
	}
	began := s.cfg.Now()
	err := s.cfg.Confirm(ctx, commit)
	if err == nil {
		s.meter.quorum.Observe(s.cfg.Now().Sub(began).Seconds())
	}
	return err
}

// lost ends a unit whose answer is incomplete. The connection is in doubt.
func (j *job) lost(ctx context.Context, o outcome) work.Final {
	return j.lostAs(ctx, o, j.codeOfLoss(ctx, o))
}

func (j *job) lostAs(ctx context.Context, o outcome, code result.Code) work.Final {
	if o.sent && ctx.Err() != nil {
		// The server would go on with the statement and occupy a slot.
		go func() { j.c.cancel() }()
	}
	j.c.broken = true
	if ctx.Err() == nil {
		j.t.s.dropIdle()
	}
	j.finish(false)
	j.t.s.meter.poisoned.Inc(1)
	j.t.s.cfg.Logger.Event(event.EndptPoisoned, zap.String("server", j.t.s.Address()), zap.Error(o.err))
	err := result.Wrap(code, o.err, "the connection to server %s failed: %v", j.t.s.Address(), o.err)
	return work.FinalFromError(err)
}

// codeOfLoss says what is known of a unit whose answer is incomplete. A unit that cannot commit has taken no effect,
// since the server ends its transaction with the connection.
func (j *job) codeOfLoss(ctx context.Context, o outcome) result.Code {
	switch {
	case j.a.passed || (o.sent && j.u.Class.MayCommit()):
		return result.ConnectionLost
	case j.inTx:
		return result.RolledBack
	case ctx.Err() != nil:
		return result.DeadlineTooClose
	}
	return result.NoServer
}
