package front

import (
	"context"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/retry"
	"verbenagate/core/route"
	"verbenagate/core/sess"
	"verbenagate/core/stmt"
	"verbenagate/core/work"
	"verbenagate/io/caller"
)

// Session is one caller's connection. Its units run one after the other; only Cancel may be called meanwhile.
type Session struct {
	front   *Front
	service string
	user    string
	meter   *meter
	state   sess.State
	lost    error

	first     chan struct{}
	firstGot  work.BarrierConfirmation
	firstErr  error
	firstUsed bool
	confirmed bool // the required point was known once

	mu        sync.Mutex
	stream    work.Stream
	server    string
	running   work.Stream
	again     work.Stream // of the second run of the unit, if there is one
	cancelled bool
}

// attempt is one unit on its way through attempts.
type attempt struct {
	svc      *service
	unit     work.Unit
	need     route.Need
	deadline time.Time
	sink     work.Sink
	answered bool
	waited   bool
	tried    []string
	number   int
	// uncertain is the end of the first attempt that may have taken effect, and nil if there was none.
	uncertain *work.Final
}

// Run carries out a unit and returns its end. Frames of the answer go to sink.
func (s *Session) Run(ctx context.Context, r caller.Request, sink work.Sink) work.Final {
	began := s.front.cfg.Now()
	f := s.run(ctx, r, sink)
	s.meter.ended(r.Unit().Class, result.Lookup(f.Code).Outcome(), s.front.cfg.Now().Sub(began))
	return f
}

func (s *Session) run(ctx context.Context, r caller.Request, sink work.Sink) work.Final {
	u, infos := r.Unit(), r.Infos()
	svc, ok := s.front.lookup(s.service)
	if !ok {
		return s.end(infos, work.FinalFromError(result.New(result.UnknownService, "service %q was removed", s.service)))
	}
	for _, i := range infos {
		if i.Effect() == stmt.EffectRefused {
			return s.refuse(infos, result.New(result.Unsupported, "statement is not supported: %s", i.Reason()))
		}
	}
	s.mu.Lock()
	s.cancelled = false
	s.mu.Unlock()
	now := s.front.cfg.Now()
	deadline := now.Add(svc.def.Timeout())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	u.Service, u.Caller, u.KeepConnection = s.service, s.user, s.state.PinnedAfter(infos)
	var err error
	if u.IdempotencyKey, err = svc.requests.Key(r); err != nil {
		return s.refuse(infos, err)
	}
	a := &attempt{svc: svc, unit: u, deadline: deadline}
	a.sink = func(frames []byte) error {
		a.answered = true
		return sink(frames)
	}
	need := s.state.Decide(infos, s.user, svc.rules)
	if _, unknown := need.(sess.NeedBarrier); unknown {
		if err := s.awaitPoint(ctx, svc); err != nil {
			return s.end(infos, work.FinalFromError(err))
		}
		a.unit.Deferred = s.front.cfg.Now().Sub(now) > deferredAfter
		need = s.state.Decide(infos, s.user, svc.rules)
	}
	return s.end(infos, s.dispatch(ctx, a, need))
}

// refuse ends a unit that must not run; an open transaction stays open.
func (s *Session) refuse(infos []stmt.Info, err error) work.Final {
	f := work.FinalFromError(err)
	f.Status = s.state.Status()
	return s.end(infos, f)
}

// end records the outcome of a unit.
func (s *Session) end(infos []stmt.Info, f work.Final) work.Final {
	s.state.UnitEnded(infos, f)
	switch result.Lookup(f.Code).Outcome() {
	case result.NotRun:
		s.front.counts.notRun.Add(1)
	case result.Unknown:
		s.front.counts.unknown.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream != nil && !s.state.HoldsStream() {
		s.stream.Close()
		s.stream = nil
	}
	return f
}

// awaitPoint waits until the session's required point is known.
func (s *Session) awaitPoint(ctx context.Context, svc *service) error {
	ctx, cancel := context.WithTimeout(ctx, s.front.cfg.BarrierWait)
	defer cancel()
	if s.opened(ctx) {
		return nil
	}
	// A write of unknown outcome must be visible if it has taken effect, also when it was not acknowledged.
	caller := s.user
	if s.confirmed {
		caller = ""
	}
	for n := 1; ctx.Err() == nil; n++ {
		got, err := svc.barriers.request(ctx, caller, barrierRound)
		if err == nil {
			s.confirm(got.RequiredFor(caller))
			return nil
		}
		s.pause(ctx, n)
	}
	s.front.cfg.Logger.Event(event.RouteNoBarrier, zap.String("service", s.service))
	return result.New(result.PositionUnknown,
		"service %q: no majority of its servers confirms which writes the session must see", s.service)
}

// opened takes in the barrier that began when the session opened. It serves once: a point that has become unknown since
// needs a newer barrier.
func (s *Session) opened(ctx context.Context) bool {
	if s.firstUsed {
		return false
	}
	s.firstUsed = true
	select {
	case <-s.first:
		if s.firstErr == nil {
			s.confirm(s.firstGot.RequiredFor(s.user))
			return true
		}
	case <-ctx.Done():
	}
	return false
}

func (s *Session) confirm(p point.Point) {
	s.state.BarrierPassed(p)
	s.confirmed = true
}

// dispatch sends the unit where its need says.
func (s *Session) dispatch(ctx context.Context, a *attempt, need sess.Need) work.Final {
	switch n := need.(type) {
	case sess.KeepStream:
		return s.continueStream(ctx, a)
	case sess.NeedPrimary:
		a.need, a.unit.NeedsPrimary = route.Primary{}, true
		a.unit.Term, a.unit.Position = n.Point().Term(), n.Point().Position()
	case sess.NeedAtLeast:
		a.need = route.NewAtLeast(n.Point())
		a.unit.Term, a.unit.Position = n.Point().Term(), n.Point().Position()
	case sess.NeedAge:
		a.need, a.unit.MaxAge = route.NewMaxAge(n.MaxAge()), n.MaxAge()
		a.unit.Term, a.unit.Position = n.LastCommit().Term(), n.LastCommit().Position()
	}
	return s.attempts(ctx, a)
}

// continueStream runs a unit of an open transaction or a pinned session on the connection that it holds. Such a unit is
// never repeated: its transaction is gone with its connection.
func (s *Session) continueStream(ctx context.Context, a *attempt) work.Final {
	s.mu.Lock()
	stream, server := s.stream, s.server
	s.mu.Unlock()
	if stream == nil {
		s.state.StreamLost()
		return work.FinalFromError(result.New(result.RolledBack, "the connection of the transaction was lost; it was rolled back"))
	}
	a.unit.Server = server
	f := s.runOn(ctx, a, stream)
	if !f.StreamLost && result.Lookup(f.Code).Outcome() != result.Unknown && !s.refusedForGood(f.Code) {
		return f
	}
	s.dropStream()
	if s.state.Pinned() {
		s.lost = result.New(result.ConnectionLost, "the server connection that held the session's settings was lost")
	}
	s.state.StreamLost()
	if f.Code != result.OK {
		f.Status = work.TxIdle
	}
	return f
}

// refusedForGood reports whether no later unit can run on the stream either. Only a transaction may go on at an owner that
// hands over its server, and on a server that leaves.
func (s *Session) refusedForGood(code result.Code) bool {
	switch code {
	case result.PeerUnreachable:
		return true
	case result.NotOwner, result.ServerLeaving:
		return !s.state.InTransaction()
	}
	return false
}

// Err returns an error if the server connection that held the session's settings is lost, so that the session cannot go
// on as the caller expects.
func (s *Session) Err() error { return s.lost }

func (s *Session) dropStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stream != nil {
		s.stream.Close()
		s.stream = nil
	}
}

// attempts tries servers until one has run the unit, the deadline has passed or the outcome is not certain.
func (s *Session) attempts(ctx context.Context, a *attempt) work.Final {
	for {
		a.number++
		f := s.try(ctx, a)
		if f.Code == result.OK {
			return f
		}
		if a.uncertain == nil && result.Lookup(f.Code).Outcome() == result.Unknown {
			a.uncertain = &f
		}
		switch s.decide(a, f) {
		case retry.Stop:
			return a.end(f)
		case retry.RetryOtherServer:
			a.tried = append(a.tried, a.unit.Server)
		case retry.RetryAfterBackoff:
			a.tried, a.unit.Deferred = nil, true
			s.refresh(ctx, a, f)
		}
		s.front.counts.retries.Add(1)
		s.meter.retried(f.Code)
		if ctx.Err() != nil {
			return a.end(f)
		}
	}
}

// end returns the end of a unit whose last attempt ended with f. That the last attempt did not run says nothing of an
// earlier one whose outcome is not known.
func (a *attempt) end(f work.Final) work.Final {
	if a.uncertain != nil && result.Lookup(f.Code).Outcome() != result.Unknown {
		return *a.uncertain
	}
	return f
}

// decide adds to the general rule that a declared request may be repeated although its outcome is not known: its
// outcome record makes the repetition return the first result.
func (s *Session) decide(a *attempt, f work.Final) retry.Decision {
	if a.answered || s.isCancelled() {
		return retry.Stop
	}
	now := s.front.cfg.Now()
	if a.unit.IdempotencyKey != nil && result.Lookup(f.Code).Outcome() == result.Unknown && now.Before(a.deadline) {
		return retry.RetryAfterBackoff
	}
	v := retry.Decide(now, a.deadline, f.Code)
	if v == retry.RetryOtherServer && (a.unit.NeedsPrimary || len(a.tried)+1 >= len(a.svc.def.Servers())) {
		return exhausted(f.Code)
	}
	return v
}

// exhausted returns the decision when no other server can take a unit. Work that is shed everywhere ends at once: trying
// again would add to the overload.
func exhausted(code result.Code) retry.Decision {
	switch code {
	case result.QueueFull, result.DeadlineTooClose, result.Overloaded:
		return retry.Stop
	}
	return retry.RetryAfterBackoff
}

// refresh waits and asks for news of the servers before the next attempt.
func (s *Session) refresh(ctx context.Context, a *attempt, f work.Final) {
	s.front.cfg.Logger.Event(event.RouteRetry, zap.String("service", s.service), zap.String("server", a.unit.Server),
		zap.Stringer("code", f.Code), zap.Int("attempt", a.number))
	s.pause(ctx, s.delayNumber(a))
	if f.Code == result.ServerBehind || f.Code == result.AgeNotMet {
		return
	}
	wait := barrierRound
	if a.unit.MaxAge > 0 {
		wait = agedNews
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	// Without a barrier the next attempt runs with what is known, and fails if that is not enough.
	_, _ = a.svc.barriers.request(ctx, "", barrierRound)
}

// delayNumber returns the number of the attempt for the backoff. An attempt beyond the retry budget that reached a server
// waits as long as a late one: units that wait for a new primary must not fail, but must not add to an overload either.
func (s *Session) delayNumber(a *attempt) int {
	if a.unit.Server == "" {
		return a.number
	}
	a.svc.mu.Lock()
	defer a.svc.mu.Unlock()
	if a.svc.budget.Take(s.front.cfg.Now()) {
		return a.number
	}
	return math.MaxInt
}

func (s *Session) pause(ctx context.Context, n int) {
	sleep(ctx, s.front.backoff.Delay(n, retry.Jitter()))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// try makes one attempt on the server that suits best by what is known.
func (s *Session) try(ctx context.Context, a *attempt) work.Final {
	s.awaitReplica(ctx, a)
	now := s.front.cfg.Now()
	a.svc.mu.Lock()
	server, found := s.choose(now, a)
	if found {
		a.svc.table.Started(now, server)
	}
	a.svc.mu.Unlock()
	if !found {
		a.unit.Server = ""
		return work.FinalFromError(result.New(result.NoServer, "service %q: no suitable server is known", s.service))
	}
	a.unit.Server = server
	return s.runFresh(ctx, a)
}

// runFresh runs the unit on a new stream, and keeps the stream if a transaction or a pin needs it.
func (s *Session) runFresh(ctx context.Context, a *attempt) work.Final {
	stream, err := s.front.cfg.Owners.Stream(s.service, a.unit.Server)
	if err != nil {
		f := work.FinalFromError(err)
		s.learn(a, a.unit.Server, "", f)
		return f
	}
	owner := s.front.cfg.Owners.Owner(s.service, a.unit.Server)
	var f work.Final
	if owner != "" && a.repeatable() {
		f, stream = s.runRace(ctx, a, owner, stream)
	} else {
		f = s.runOn(ctx, a, stream)
		s.learn(a, a.unit.Server, owner, f)
	}
	if f.Code == result.OK && (f.Status != work.TxIdle || a.unit.KeepConnection) {
		s.mu.Lock()
		s.stream, s.server = stream, a.unit.Server
		s.mu.Unlock()
		return f
	}
	stream.Close()
	return f
}

func (s *Session) runOn(ctx context.Context, a *attempt, stream work.Stream) work.Final {
	a.unit.Remaining = a.deadline.Sub(s.front.cfg.Now())
	s.mu.Lock()
	s.running = stream
	cancelled := s.cancelled
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running = nil
		s.mu.Unlock()
	}()
	if cancelled {
		f := work.FinalFromError(result.New(result.Cancelled, "the request was cancelled before it ran"))
		f.Status = s.state.Status()
		return f
	}
	return stream.Run(ctx, a.unit, a.sink)
}

// learn takes in what the end of an attempt tells of the server and of the VM that owns it.
func (s *Session) learn(a *attempt, server, owner string, f work.Final) {
	now := s.front.cfg.Now()
	a.svc.mu.Lock()
	defer a.svc.mu.Unlock()
	a.svc.table.Finished(now, server, serverFailed(f.Code), retry.Jitter())
	if owner != "" && (f.Code == result.OK || f.Info != nil) {
		a.svc.hedge.RecordAnswer(now, owner)
	}
	if f.Info != nil {
		a.svc.table.RecordReport(now, *f.Info)
	}
	if p := f.Committed(); !p.IsZero() {
		a.svc.table.RecordPrimaryPosition(now, p)
	}
	if f.Code != result.OK {
		return
	}
	a.svc.budget.Success(now)
	a.svc.costs.learn(a.unit.Fingerprint, f.Cost)
	switch {
	case a.unit.Class != stmt.Read:
		s.front.counts.writes.Add(1)
	case f.Info != nil && f.Info.Role == port.RolePrimary:
		s.front.counts.primaryReads.Add(1)
		s.meter.read(port.RolePrimary)
	default:
		s.front.counts.replicaReads.Add(1)
		s.meter.read(port.RoleReplica)
	}
}

// serverFailed reports whether the code means that the server or its owner is in trouble, so that it is left alone.
func serverFailed(c result.Code) bool {
	switch c {
	case result.PeerUnreachable, result.ConnectFailed, result.ConnectionLost, result.AnswerLost, result.NoServer,
		result.NotPrimary:
		return true
	}
	return false
}

func (s *Session) isCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// Cancel cancels the running unit, if any.
func (s *Session) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = true
	for _, stream := range []work.Stream{s.running, s.again} {
		if stream != nil {
			stream.Cancel()
		}
	}
}

// Close ends the session; an open transaction is rolled back.
func (s *Session) Close() { s.dropStream() }
