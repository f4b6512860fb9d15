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
	"verbenagate/io/every"
)

// Session is the session of one caller's connection. Calls must not overlap, except that Cancel may be called at any time.
type Session struct {
	front   *Front
	service string
	user    string
	meter   *meter
	state   sess.State
	lostErr error

	openBarrierDone  chan struct{}
	openBarrier      work.BarrierConfirmation
	openBarrierErr   error
	openBarrierUsed  bool
	hadRequiredPoint bool // the required point was known at some time

	mu            sync.Mutex
	heldStream    work.Stream
	heldServer    string
	runningStream work.Stream
	hedgeStream   work.Stream // the second run of a hedged read, or nil
	cancelled     bool
}

// attemptState holds a unit and its state across all its attempts.
type attemptState struct {
	svc              *service
	unit             work.Unit
	need             route.Need
	deadline         time.Time
	sink             work.Sink
	answerStarted    bool
	waitedForReplica bool
	triedServers     []string
	number           int
	// firstUnknown is the outcome of the first attempt that may have taken effect, or nil if there was none.
	firstUnknown *work.Final
}

// Run runs a unit and returns its outcome. It passes the frames of the answer to sink.
func (s *Session) Run(ctx context.Context, r caller.Request, sink work.Sink) work.Final {
	began := s.front.cfg.Now()
	f := s.run(ctx, r, sink)
	s.meter.unitEnded(r.Unit().Class, result.Lookup(f.Code).Outcome(), s.front.cfg.Now().Sub(began))
	return f
}

func (s *Session) run(ctx context.Context, r caller.Request, sink work.Sink) work.Final {
	u, infos := r.Unit(), r.Infos()
	svc, ok := s.front.lookup(s.service)
	if !ok {
		return s.endUnit(infos, work.FinalFromError(result.New(result.UnknownService, "service %q was removed", s.service)))
	}
	for _, i := range infos {
		if i.Effect() == stmt.EffectRefused {
			return s.refuseUnit(infos, result.New(result.Unsupported, "statement is not supported: %s", i.Reason()))
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
	if u.IdempotencyKey, err = svc.idempotencyKeys.Key(r); err != nil {
		return s.refuseUnit(infos, err)
	}
	a := &attemptState{svc: svc, unit: u, deadline: deadline}
	a.sink = func(frames []byte) error {
		a.answerStarted = true
		return sink(frames)
	}
	need := s.state.Decide(infos, s.user, svc.rules)
	if _, needsBarrier := need.(sess.NeedBarrier); needsBarrier {
		if err := s.awaitRequiredPoint(ctx, svc); err != nil {
			return s.endUnit(infos, work.FinalFromError(err))
		}
		a.unit.Deferred = s.front.cfg.Now().Sub(now) > minDeferredWait
		need = s.state.Decide(infos, s.user, svc.rules)
	}
	return s.endUnit(infos, s.dispatch(ctx, a, need))
}

// refuseUnit ends a unit that must not run with err. An open transaction stays open.
func (s *Session) refuseUnit(infos []stmt.Info, err error) work.Final {
	f := work.FinalFromError(err)
	f.Status = s.state.Status()
	return s.endUnit(infos, f)
}

// endUnit records the outcome of a unit, and closes the held stream if the session needs it no longer.
func (s *Session) endUnit(infos []stmt.Info, f work.Final) work.Final {
	s.state.UnitEnded(infos, f)
	switch result.Lookup(f.Code).Outcome() {
	case result.NotRun:
		s.front.counts.notRun.Add(1)
	case result.Unknown:
		s.front.counts.unknown.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heldStream != nil && !s.state.HoldsStream() {
		s.heldStream.Close()
		s.heldStream = nil
	}
	return f
}

// awaitRequiredPoint requests barriers until one gives the session's required point, or BarrierWait has passed.
func (s *Session) awaitRequiredPoint(ctx context.Context, svc *service) error {
	ctx, cancel := context.WithTimeout(ctx, s.front.cfg.BarrierWait)
	defer cancel()
	if s.useOpenBarrier(ctx) {
		return nil
	}
	// A required point that was known before became unknown through a write of unknown outcome. If that write took effect, the
	// session must see it. The caller's own point covers only acknowledged writes, so the point of all writes is requested.
	caller := s.user
	if s.hadRequiredPoint {
		caller = ""
	}
	for n := 1; ctx.Err() == nil; n++ {
		confirmation, err := svc.barriers.request(ctx, caller, barrierTimeout)
		if err == nil {
			s.setRequiredPoint(confirmation.RequiredFor(caller))
			return nil
		}
		s.backOff(ctx, n)
	}
	s.front.cfg.Logger.Event(event.RouteNoBarrier, zap.String("service", s.service))
	return result.New(result.PositionUnknown,
		"service %q: no majority of its servers confirms which writes the session must see", s.service)
}

// useOpenBarrier waits for the barrier that Open requested, and reports whether it set the required point. The barrier is used
// only once: if the point becomes unknown later, a newer barrier is needed.
func (s *Session) useOpenBarrier(ctx context.Context) bool {
	if s.openBarrierUsed {
		return false
	}
	s.openBarrierUsed = true
	select {
	case <-s.openBarrierDone:
		if s.openBarrierErr == nil {
			s.setRequiredPoint(s.openBarrier.RequiredFor(s.user))
			return true
		}
	case <-ctx.Done():
	}
	return false
}

func (s *Session) setRequiredPoint(p point.Point) {
	s.state.BarrierPassed(p)
	s.hadRequiredPoint = true
}

// dispatch runs the unit on the held stream or on a server that meets its need.
func (s *Session) dispatch(ctx context.Context, a *attemptState, need sess.Need) work.Final {
	switch n := need.(type) {
	case sess.KeepStream:
		return s.runOnHeldStream(ctx, a)
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
	return s.runAttempts(ctx, a)
}

// runOnHeldStream runs a unit of an open transaction or a pinned session on the held stream. Such a unit is never retried: if
// the connection is lost, so is the transaction.
func (s *Session) runOnHeldStream(ctx context.Context, a *attemptState) work.Final {
	s.mu.Lock()
	stream, server := s.heldStream, s.heldServer
	s.mu.Unlock()
	if stream == nil {
		s.state.StreamLost()
		return work.FinalFromError(result.New(result.RolledBack,
			"the server connection of the transaction was lost; the transaction was rolled back"))
	}
	a.unit.Server = server
	f := s.runOnStream(ctx, a, stream)
	if !f.StreamLost && result.Lookup(f.Code).Outcome() != result.Unknown && !s.streamUnusable(f.Code) {
		return f
	}
	s.closeHeldStream()
	if s.state.Pinned() {
		s.lostErr = result.New(result.ConnectionLost, "the server connection that held the session's settings was lost")
	}
	s.state.StreamLost()
	if f.Code != result.OK {
		f.Status = work.TxIdle
	}
	return f
}

// streamUnusable reports whether code means that no later unit can run on the held stream either. While an owner hands its
// server over, or a server is leaving, only open transactions may continue there.
func (s *Session) streamUnusable(code result.Code) bool {
	switch code {
	case result.PeerUnreachable:
		return true
	case result.NotOwner, result.ServerLeaving:
		return !s.state.InTransaction()
	}
	return false
}

// Err returns an error if the server connection that held the session's settings was lost. The session cannot continue then,
// because the caller relies on these settings.
func (s *Session) Err() error { return s.lostErr }

func (s *Session) closeHeldStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heldStream != nil {
		s.heldStream.Close()
		s.heldStream = nil
	}
}

// runAttempts runs the unit on one server after the other until it succeeds, decideRetry stops it or the deadline passes.
func (s *Session) runAttempts(ctx context.Context, a *attemptState) work.Final {
	for {
		a.number++
		f := s.runAttempt(ctx, a)
		if f.Code == result.OK {
			return f
		}
		if a.firstUnknown == nil && result.Lookup(f.Code).Outcome() == result.Unknown {
			a.firstUnknown = &f
		}
		switch s.decideRetry(a, f) {
		case retry.Stop:
			return a.unitFinal(f)
		case retry.RetryOtherServer:
			a.triedServers = append(a.triedServers, a.unit.Server)
		case retry.RetryAfterBackoff:
			a.triedServers, a.unit.Deferred = nil, true
			s.backOffAndRefresh(ctx, a, f)
		}
		s.front.counts.retries.Add(1)
		s.meter.attemptRetried(f.Code)
		if ctx.Err() != nil {
			return a.unitFinal(f)
		}
	}
}

// unitFinal returns the outcome of a unit whose last attempt ended with f. If an earlier attempt has an unknown outcome, that
// outcome is returned even when the last attempt did not run.
func (a *attemptState) unitFinal(f work.Final) work.Final {
	if a.firstUnknown != nil && result.Lookup(f.Code).Outcome() != result.Unknown {
		return *a.firstUnknown
	}
	return f
}

// decideRetry extends retry.Decide by the idempotency key: a request that has one may be retried although its outcome is
// unknown, since the stored outcome record makes the retry return the first result. No unit is retried once a part of its
// answer has been sent or the caller has cancelled it.
func (s *Session) decideRetry(a *attemptState, f work.Final) retry.Decision {
	if a.answerStarted || s.isCancelled() {
		return retry.Stop
	}
	now := s.front.cfg.Now()
	if a.unit.IdempotencyKey != nil && result.Lookup(f.Code).Outcome() == result.Unknown && now.Before(a.deadline) {
		return retry.RetryAfterBackoff
	}
	v := retry.Decide(now, a.deadline, f.Code)
	if v == retry.RetryOtherServer && (a.unit.NeedsPrimary || len(a.triedServers)+1 >= len(a.svc.def.Servers())) {
		return decideNoOtherServer(f.Code)
	}
	return v
}

// decideNoOtherServer returns the decision for a unit that failed with code when no other server is left to try. A unit that all
// servers have shed ends at once, because a retry would add to the overload.
func decideNoOtherServer(code result.Code) retry.Decision {
	switch code {
	case result.QueueFull, result.DeadlineTooClose, result.Overloaded:
		return retry.Stop
	}
	return retry.RetryAfterBackoff
}

// backOffAndRefresh waits for the backoff delay before the next attempt, and refreshes the server states with a barrier.
func (s *Session) backOffAndRefresh(ctx context.Context, a *attemptState, f work.Final) {
	s.front.cfg.Logger.Event(event.RouteRetry, zap.String("service", s.service), zap.String("server", a.unit.Server),
		zap.Stringer("code", f.Code), zap.Int("attempt", a.number))
	s.backOff(ctx, s.backoffAttempt(a))
	if f.Code == result.ServerBehind || f.Code == result.AgeNotMet {
		return
	}
	wait := barrierTimeout
	if a.unit.MaxAge > 0 {
		wait = maxAgeRefreshTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	// If the barrier fails, the next attempt uses the routing table as it is, and fails if no server suits.
	_, _ = a.svc.barriers.request(ctx, "", barrierTimeout)
}

// backoffAttempt returns the attempt number from which the backoff delay is computed. If a server was tried and the retry budget
// is used up, the delay is the longest: units that wait for a new primary must not fail, but must not add to an overload either.
func (s *Session) backoffAttempt(a *attemptState) int {
	if a.unit.Server == "" {
		return a.number
	}
	a.svc.mu.Lock()
	defer a.svc.mu.Unlock()
	if a.svc.retryBudget.Take(s.front.cfg.Now()) {
		return a.number
	}
	return math.MaxInt
}

func (s *Session) backOff(ctx context.Context, n int) {
	every.Sleep(ctx, s.front.backoff.Delay(n, retry.Jitter()))
}

// runAttempt makes one attempt on the best server according to the routing table.
func (s *Session) runAttempt(ctx context.Context, a *attemptState) work.Final {
	s.awaitReplica(ctx, a)
	now := s.front.cfg.Now()
	a.svc.mu.Lock()
	server, found := s.chooseServer(now, a)
	if found {
		a.svc.table.Started(now, server)
	}
	a.svc.mu.Unlock()
	if !found {
		a.unit.Server = ""
		return work.FinalFromError(result.New(result.NoServer, "service %q: no suitable server is known", s.service))
	}
	a.unit.Server = server
	return s.runOnNewStream(ctx, a)
}

// runOnNewStream runs the unit on a new stream, and holds the stream if a transaction or a pinned session needs it.
func (s *Session) runOnNewStream(ctx context.Context, a *attemptState) work.Final {
	stream, err := s.front.cfg.Owners.Stream(s.service, a.unit.Server)
	if err != nil {
		f := work.FinalFromError(err)
		s.recordOutcome(a, a.unit.Server, "", f)
		return f
	}
	owner := s.front.cfg.Owners.Owner(s.service, a.unit.Server)
	var f work.Final
	if owner != "" && a.hedgeable() {
		f, stream = s.runHedged(ctx, a, owner, stream)
	} else {
		f = s.runOnStream(ctx, a, stream)
		s.recordOutcome(a, a.unit.Server, owner, f)
	}
	if f.Code == result.OK && (f.Status != work.TxIdle || a.unit.KeepConnection) {
		s.mu.Lock()
		s.heldStream, s.heldServer = stream, a.unit.Server
		s.mu.Unlock()
		return f
	}
	stream.Close()
	return f
}

func (s *Session) runOnStream(ctx context.Context, a *attemptState, stream work.Stream) work.Final {
	a.unit.Remaining = a.deadline.Sub(s.front.cfg.Now())
	s.mu.Lock()
	s.runningStream = stream
	cancelled := s.cancelled
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.runningStream = nil
		s.mu.Unlock()
	}()
	if cancelled {
		f := work.FinalFromError(result.New(result.Cancelled, "the request was cancelled before it ran"))
		f.Status = s.state.Status()
		return f
	}
	return stream.Run(ctx, a.unit, a.sink)
}

// recordOutcome updates the routing table, the suspicion against the owner, the retry budget and the counters with the outcome
// of an attempt. owner is "" if this VM owns the server or the owner was not reached.
func (s *Session) recordOutcome(a *attemptState, server, owner string, f work.Final) {
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
	a.svc.retryBudget.Success(now)
	a.svc.serviceTimes.record(a.unit.Fingerprint, f.Cost)
	switch {
	case a.unit.Class != stmt.Read:
		s.front.counts.writes.Add(1)
	case f.Info != nil && f.Info.Role == port.RolePrimary:
		s.front.counts.primaryReads.Add(1)
		s.meter.readAnswered(port.RolePrimary)
	default:
		s.front.counts.replicaReads.Add(1)
		s.meter.readAnswered(port.RoleReplica)
	}
}

// serverFailed reports whether c means that the server or its owner is failing, so that the server should be avoided for a
// while.
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

// Cancel cancels the running unit, if any. It may be called while Run runs.
func (s *Session) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = true
	for _, stream := range []work.Stream{s.runningStream, s.hedgeStream} {
		if stream != nil {
			stream.Cancel()
		}
	}
}

// Close ends the session; an open transaction is rolled back.
func (s *Session) Close() { s.closeHeldStream() }
