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

var errOutrun = errors.New("the other run of the read has answered")

// race is a read that another VM was asked to run, and its second run on another server if that VM is silent. The run that
// first passes on a part of its answer, or ends well, wins; nothing of the other one reaches the caller.
type race struct {
	s     *Session
	ctx   context.Context
	a     *attempt
	unit  work.Unit // as the first run has it
	sink  work.Sink
	timer *time.Timer

	mu     sync.Mutex
	read   hedge.Read
	over   bool // the first run has ended
	winner *lane
	first  *lane
	second *lane    // nil unless the read runs on a second server
	failed []string // servers that could not run it, as replicas that are behind
}

// lane is one run of a read.
type lane struct {
	server, owner string
	stream        work.Stream
	stop          context.CancelFunc
	began         time.Time
	done          chan struct{}
	final         work.Final // set before done is closed
}

// repeatable reports whether a second run of the unit could do no harm. A read of a transaction or of a pinned session has
// to stay on its connection, and does not come here or sets KeepConnection.
func (a *attempt) repeatable() bool {
	return a.unit.Class == stmt.Read && !a.unit.NeedsPrimary && !a.unit.KeepConnection && a.unit.IdempotencyKey == nil
}

// choose returns the server for the next attempt. Reads avoid servers of VMs in doubt as long as there are others. The
// caller holds the service's lock.
func (s *Session) choose(now time.Time, a *attempt) (string, bool) {
	if a.repeatable() && a.svc.hedge.AnySuspected(now) {
		if server, found := a.svc.table.Choose(now, a.need, s.avoid(now, a, a.tried)); found {
			return server, true
		}
	}
	return a.svc.table.Choose(now, a.need, a.tried)
}

// avoid adds the servers of VMs in doubt to those that were tried. The caller holds the service's lock.
func (s *Session) avoid(now time.Time, a *attempt, tried []string) []string {
	out := append([]string(nil), tried...)
	for _, server := range a.svc.def.Servers() {
		if a.svc.hedge.Suspected(now, s.front.cfg.Owners.Owner(s.service, server.Address())) {
			out = append(out, server.Address())
		}
	}
	return out
}

// runRace runs a read on a server of another VM, and again on another server if that VM falls silent. It returns the end
// of the run that counts, and its stream.
func (s *Session) runRace(ctx context.Context, a *attempt, owner string, stream work.Stream) (work.Final, work.Stream) {
	firstCtx, stop := context.WithCancel(ctx)
	defer stop()
	now := s.front.cfg.Now()
	r := &race{s: s, ctx: ctx, a: a, unit: a.unit, sink: a.sink}
	r.first = &lane{server: a.unit.Server, owner: owner, stream: stream, stop: stop, began: now}
	a.svc.mu.Lock()
	r.read = a.svc.hedge.RecordSent(now, owner, a.unit.Fingerprint)
	a.svc.mu.Unlock()
	r.mu.Lock()
	r.timer = time.AfterFunc(r.read.NextCheck().Sub(now), r.check)
	r.mu.Unlock()
	a.sink = r.pass(r.first)
	f := s.runOn(firstCtx, a, stream)
	a.sink = r.sink
	return r.finish(f)
}

// pass returns a sink that passes on the answer of a run unless the other one has won.
func (r *race) pass(l *lane) work.Sink {
	return func(frames []byte) error {
		if !r.claim(l) {
			return errOutrun
		}
		return r.sink(frames)
	}
}

// claim makes a run the winner if there is none, and ends the other run.
func (r *race) claim(l *lane) bool {
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
		other.stop()
	}
	return true
}

// finish takes the end of the first run, waits for the second one if that is to answer, and returns the end that counts.
func (r *race) finish(f work.Final) (work.Final, work.Stream) {
	won := f.Code == result.OK && r.claim(r.first)
	r.mu.Lock()
	r.over = true
	r.timer.Stop()
	second, winner := r.second, r.winner
	r.mu.Unlock()
	if won || winner != r.second || second == nil {
		r.s.settle(r.a, r.first, f, winner == r.first)
	} else {
		r.s.settle(r.a, r.first, work.FinalFromError(result.Wrap(result.Cancelled, errOutrun, "server %s", r.first.server)), false)
	}
	if second == nil {
		return f, r.first.stream
	}
	if winner == r.first {
		r.s.meter.hedged("first")
		return f, r.first.stream
	}
	<-second.done
	r.mu.Lock()
	winner = r.winner
	r.mu.Unlock()
	if winner != second {
		r.s.meter.hedged("none")
		r.a.tried = append(r.a.tried, second.server)
		return f, r.first.stream
	}
	r.s.meter.hedged("second")
	r.first.stream.Close()
	r.a.unit.Server = second.server
	return second.final, second.stream
}

// settle takes in the end of a run. Only the one that answers counts as a read.
func (s *Session) settle(a *attempt, l *lane, f work.Final, answered bool) {
	if answered && f.Code == result.OK {
		a.svc.mu.Lock()
		a.svc.hedge.RecordLatency(a.unit.Fingerprint, s.front.cfg.Now().Sub(l.began))
		a.svc.mu.Unlock()
	} else if f.Code == result.OK {
		f = work.Final{Code: result.Cancelled, Info: f.Info, Status: work.TxIdle}
	}
	s.learn(a, l.server, l.owner, f)
}

// check starts the second run if the owner of the first server is silent, and otherwise sets the time of the next check.
func (r *race) check() {
	r.mu.Lock()
	if r.over || r.winner != nil {
		r.mu.Unlock()
		return
	}
	l := r.next()
	if l == nil {
		r.timer.Reset(r.read.NextCheck().Sub(r.s.front.cfg.Now()))
		r.mu.Unlock()
		return
	}
	ctx, stop := context.WithCancel(r.ctx)
	defer stop()
	l.stop = stop
	r.second = l
	r.mu.Unlock()
	defer close(l.done)
	r.s.front.counts.hedged.Add(1)
	r.run(ctx, l)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner == nil && !r.over {
		// The first server is still silent, so the read goes on to another one.
		r.s.meter.hedged("none")
		r.failed, r.second = append(r.failed, l.server), nil
		r.timer.Reset(r.read.NextCheck().Sub(r.s.front.cfg.Now()))
	}
}

// next returns the second run, nil if there is to be none now. Its server is none of a VM in doubt.
func (r *race) next() *lane {
	now, svc := r.s.front.cfg.Now(), r.a.svc
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if !svc.hedge.CheckOverdue(now, &r.read) {
		return nil
	}
	tried := r.s.avoid(now, r.a, append(append([]string{r.first.server}, r.failed...), r.a.tried...))
	server, found := svc.table.Choose(now, r.a.need, tried)
	if !found || !svc.hedge.TakeCredit() {
		return nil
	}
	svc.table.Started(now, server)
	return &lane{server: server, owner: r.s.front.cfg.Owners.Owner(r.s.service, server), began: now, done: make(chan struct{})}
}

// run carries out the second run.
func (r *race) run(ctx context.Context, l *lane) {
	u := r.unit
	u.Server, u.Remaining = l.server, r.a.deadline.Sub(l.began)
	var err error
	if l.stream, err = r.s.front.cfg.Owners.Stream(r.s.service, l.server); err != nil {
		l.final = work.FinalFromError(err)
		r.s.settle(r.a, l, l.final, false)
		return
	}
	r.s.mu.Lock()
	r.s.again = l.stream
	cancelled := r.s.cancelled
	r.s.mu.Unlock()
	if cancelled {
		l.stream.Cancel()
		l.final = work.FinalFromError(result.New(result.Cancelled, "the request was cancelled before it ran"))
	} else {
		l.final = l.stream.Run(ctx, u, r.pass(l))
	}
	r.s.mu.Lock()
	if r.s.again == l.stream {
		r.s.again = nil
	}
	r.s.mu.Unlock()
	if l.final.Code == result.OK {
		r.claim(l)
	}
	r.mu.Lock()
	won := r.winner == l
	r.mu.Unlock()
	r.s.settle(r.a, l, l.final, won)
	if !won {
		l.stream.Close()
	}
}
