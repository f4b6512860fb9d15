package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"verbenagate/core/hedge"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/work"
)

var errOtherRunWon = errors.New("the other run of the hedged read has already answered")

// hedgedRead is a read that was sent to another VM, with a second run on another server if that VM does not answer. The first
// run that sends a part of its answer or succeeds wins; no frame of the other run reaches the caller.
type hedgedRead struct {
	session    *Session
	ctx        context.Context
	attempt    *attemptState
	firstUnit  work.Unit // as sent in the first run
	sink       work.Sink
	checkTimer *time.Timer

	mu            sync.Mutex
	tracked       hedge.Read
	firstEnded    bool // the first run is finished
	winner        *readRun
	first         *readRun
	second        *readRun // nil before a second run starts, and after it failed while the first one was running
	failedServers []string // servers whose second run failed, for instance replicas that lag behind
}

// readRun is one run of a hedged read on one server.
type readRun struct {
	server, owner string
	stream        work.Stream
	cancel        context.CancelFunc
	startedAt     time.Time
	done          chan struct{}
	final         work.Final // set before done is closed
}

// hedgeable reports whether the unit may safely run a second time on another server. A read in a transaction or a pinned
// session has to stay on its connection: it is run by runOnHeldStream, or has KeepConnection set.
func (a *attemptState) hedgeable() bool {
	return a.unit.Class == stmt.Read && !a.unit.NeedsPrimary && !a.unit.KeepConnection && a.unit.IdempotencyKey == nil
}

// chooseServer returns the server for the next attempt, or false if there is none. Reads avoid the servers of suspected VMs if
// there are others. The caller must hold the service's lock.
func (s *Session) chooseServer(now time.Time, a *attemptState) (string, bool) {
	if a.hedgeable() && a.svc.hedge.AnySuspected(now) {
		if server, found := a.svc.table.Choose(now, a.need, s.withSuspectedServers(now, a, a.triedServers)); found {
			return server, true
		}
	}
	return a.svc.table.Choose(now, a.need, a.triedServers)
}

// withSuspectedServers returns the tried servers and all servers of suspected VMs. The caller must hold the service's lock.
func (s *Session) withSuspectedServers(now time.Time, a *attemptState, tried []string) []string {
	excluded := append([]string(nil), tried...)
	for _, server := range a.svc.def.Servers() {
		if a.svc.hedge.Suspected(now, s.front.cfg.Owners.Owner(s.service, server.Address())) {
			excluded = append(excluded, server.Address())
		}
	}
	return excluded
}

// runHedged runs a read on a server of another VM, and a second time on another server if that VM stops answering. It returns
// the outcome and the stream of the run that counts.
func (s *Session) runHedged(ctx context.Context, a *attemptState, owner string, stream work.Stream) (work.Final, work.Stream) {
	firstCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	now := s.front.cfg.Now()
	r := &hedgedRead{session: s, ctx: ctx, attempt: a, firstUnit: a.unit, sink: a.sink}
	r.first = &readRun{server: a.unit.Server, owner: owner, stream: stream, cancel: cancel, startedAt: now}
	a.svc.mu.Lock()
	r.tracked = a.svc.hedge.RecordSent(now, owner, a.unit.Fingerprint)
	a.svc.mu.Unlock()
	r.mu.Lock()
	r.checkTimer = time.AfterFunc(r.tracked.NextCheck().Sub(now), r.checkFirstRun)
	r.mu.Unlock()
	a.sink = r.sinkFor(r.first)
	f := s.runOnStream(firstCtx, a, stream)
	a.sink = r.sink
	return r.finishFirst(f)
}

// sinkFor returns a sink that forwards the answer of a run to the caller, and returns errOtherRunWon if the other run has won.
func (r *hedgedRead) sinkFor(l *readRun) work.Sink {
	return func(frames []byte) error {
		if !r.claim(l) {
			return errOtherRunWon
		}
		return r.sink(frames)
	}
}

// claim makes a run the winner if there is no winner yet, and cancels the other run. It reports whether the run is the winner.
func (r *hedgedRead) claim(l *readRun) bool {
	r.mu.Lock()
	if r.winner != nil {
		defer r.mu.Unlock()
		return r.winner == l
	}
	r.winner = l
	other := r.first
	if l == r.first {
		other = r.second
	}
	r.mu.Unlock()
	if other == r.first {
		other.stream.Close()
	}
	if other != nil {
		other.cancel()
	}
	return true
}

// finishFirst records the outcome f of the first run, waits for a second run unless the first has won, and returns the outcome
// and the stream of the run that counts.
func (r *hedgedRead) finishFirst(f work.Final) (work.Final, work.Stream) {
	won := f.Code == result.OK && r.claim(r.first)
	r.mu.Lock()
	r.firstEnded = true
	r.checkTimer.Stop()
	second, winner := r.second, r.winner
	r.mu.Unlock()
	if won || winner != r.second || second == nil {
		r.session.recordRun(r.attempt, r.first, f, winner == r.first)
	} else {
		r.session.recordRun(r.attempt, r.first, work.FinalFromError(
			result.Wrap(result.Cancelled, errOtherRunWon, "read on server %s was cancelled", r.first.server)), false)
	}
	if second == nil {
		return f, r.first.stream
	}
	if winner == r.first {
		r.session.meter.hedgedReadEnded("first")
		return f, r.first.stream
	}
	<-second.done
	r.mu.Lock()
	winner = r.winner
	r.mu.Unlock()
	if winner != second {
		r.session.meter.hedgedReadEnded("none")
		r.attempt.triedServers = append(r.attempt.triedServers, second.server)
		return f, r.first.stream
	}
	r.session.meter.hedgedReadEnded("second")
	r.first.stream.Close()
	r.attempt.unit.Server = second.server
	return second.final, second.stream
}

// recordRun records the outcome of a run. A successful run that did not answer the caller is recorded as cancelled, so that it
// does not count as a read.
func (s *Session) recordRun(a *attemptState, l *readRun, f work.Final, answered bool) {
	if answered && f.Code == result.OK {
		a.svc.mu.Lock()
		a.svc.hedge.RecordLatency(a.unit.Fingerprint, s.front.cfg.Now().Sub(l.startedAt))
		a.svc.mu.Unlock()
	} else if f.Code == result.OK {
		f = work.Final{Code: result.Cancelled, Info: f.Info, Status: work.TxIdle}
	}
	s.recordOutcome(a, l.server, l.owner, f)
}

// checkFirstRun starts a second run if the owner of the first server does not answer in time, and otherwise schedules the next
// check. It is called by checkTimer.
func (r *hedgedRead) checkFirstRun() {
	r.mu.Lock()
	if r.firstEnded || r.winner != nil {
		r.mu.Unlock()
		return
	}
	l := r.newSecondRun()
	if l == nil {
		r.checkTimer.Reset(r.tracked.NextCheck().Sub(r.session.front.cfg.Now()))
		r.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	l.cancel = cancel
	r.second = l
	r.mu.Unlock()
	defer close(l.done)
	r.session.front.counts.hedged.Add(1)
	r.runSecond(ctx, l)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner == nil && !r.firstEnded {
		// The first server has still not answered, so the next check may try another server.
		r.session.meter.hedgedReadEnded("none")
		r.failedServers, r.second = append(r.failedServers, l.server), nil
		r.checkTimer.Reset(r.tracked.NextCheck().Sub(r.session.front.cfg.Now()))
	}
}

// newSecondRun returns a second run on a server of a VM that is not suspected, or nil if no second run should start now.
func (r *hedgedRead) newSecondRun() *readRun {
	now, svc := r.session.front.cfg.Now(), r.attempt.svc
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if !svc.hedge.CheckOverdue(now, &r.tracked) {
		return nil
	}
	excluded := r.session.withSuspectedServers(now, r.attempt,
		append(append([]string{r.first.server}, r.failedServers...), r.attempt.triedServers...))
	server, found := svc.table.Choose(now, r.attempt.need, excluded)
	if !found || !svc.hedge.TakeCredit() {
		return nil
	}
	svc.table.Started(now, server)
	return &readRun{
		server: server, owner: r.session.front.cfg.Owners.Owner(r.session.service, server), startedAt: now,
		done: make(chan struct{}),
	}
}

// runSecond runs the read on the server of l, and records the outcome.
func (r *hedgedRead) runSecond(ctx context.Context, l *readRun) {
	u := r.firstUnit
	u.Server, u.Remaining = l.server, r.attempt.deadline.Sub(l.startedAt)
	var err error
	if l.stream, err = r.session.front.cfg.Owners.Stream(r.session.service, l.server); err != nil {
		l.final = work.FinalFromError(err)
		r.session.recordRun(r.attempt, l, l.final, false)
		return
	}
	r.session.mu.Lock()
	r.session.hedgeStream = l.stream
	cancelled := r.session.cancelled
	r.session.mu.Unlock()
	if cancelled {
		l.stream.Cancel()
		l.final = work.FinalFromError(result.New(result.Cancelled, "the request was cancelled before it ran"))
	} else {
		l.final = l.stream.Run(ctx, u, r.sinkFor(l))
	}
	r.session.mu.Lock()
	if r.session.hedgeStream == l.stream {
		r.session.hedgeStream = nil
	}
	r.session.mu.Unlock()
	if l.final.Code == result.OK {
		r.claim(l)
	}
	r.mu.Lock()
	won := r.winner == l
	r.mu.Unlock()
	r.session.recordRun(r.attempt, l, l.final, won)
	if !won {
		l.stream.Close()
	}
}
