package group

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/failov"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/io/metric"
)

const (
	// superviseInterval is how often the primary is judged.
	superviseInterval = 50 * time.Millisecond
	// opinionTimeout bounds the question to the other watchers; one that does not answer does not count.
	opinionTimeout = 300 * time.Millisecond
	// fenceGrace is the wait for the remaining servers once a majority has promised the term.
	fenceGrace = 30 * time.Millisecond
	// reserveInterval is the time between attempts to reserve a term; reserveTimeout bounds one.
	reserveInterval = time.Second
	reserveTimeout  = 2 * time.Second
	// quiesceTimeout bounds the wait for running units before a planned change of primary.
	quiesceTimeout = 10 * time.Second
	// repairInterval is the time between attempts to bring back a server that follows an old term.
	repairInterval = 500 * time.Millisecond
)

// supervise judges the primary again and again, promotes another server when it has failed, and keeps a term in reserve.
func (g *Group) supervise(ctx context.Context) {
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	var reserveAt, repairAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if g.retired.Load() {
			return
		}
		now := g.cfg.Now()
		if now.After(reserveAt) && g.needsReserve() {
			reserveAt = now.Add(reserveInterval)
			g.reserve(ctx)
		}
		if now.After(repairAt) {
			repairAt = now.Add(repairInterval)
			g.repair(ctx)
		}
		g.notePrimary(ctx, now)
		g.check(ctx, now)
	}
}

func (g *Group) check(ctx context.Context, now time.Time) {
	health := g.Health(now)
	switch health {
	case failov.Silent, failov.Absent:
		if g.sinceFailure(now, health) && g.shouldPromote(ctx, health) {
			g.promote(ctx)
		}
	case failov.Leaving:
		g.replaceLeaving(ctx)
	default:
		g.mu.Lock()
		g.since = time.Time{}
		g.mu.Unlock()
	}
}

// sinceFailure notes when the primary was first judged failed, and reports whether this VM's turn has come.
func (g *Group) sinceFailure(now time.Time, h failov.Health) bool {
	g.mu.Lock()
	first := g.since.IsZero()
	if first {
		g.since = now
	}
	since, primary := g.since, g.primary
	g.mu.Unlock()
	if first {
		g.cfg.Logger.Event(event.PrimarySilent, zap.String("service", g.cfg.Service.Name()), zap.String("server", primary))
	}
	return !now.Before(failov.PromotionStart(since, h, g.cfg.Rank(), g.cfg.Settings.Limits))
}

func (g *Group) shouldPromote(ctx context.Context, own failov.Health) bool {
	askCtx, cancel := context.WithTimeout(ctx, opinionTimeout)
	defer cancel()
	return failov.ShouldPromote(own, g.cfg.Others(askCtx))
}

// replaceLeaving promotes another server once nothing runs any more on the leaving primary, which takes no new units, and
// a server that stays holds its whole log.
func (g *Group) replaceLeaving(ctx context.Context) {
	address, _ := g.Primary()
	quietCtx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	if !g.cfg.Quiesce(quietCtx, address) {
		return
	}
	if g.await(quietCtx, failov.Replaceable) == nil {
		g.promote(ctx)
	}
}

// promote fences a majority of the servers under a new term and promotes the one with the newest log.
func (g *Group) promote(ctx context.Context) {
	started := g.cfg.Now()
	lastSeen := g.primarySeen(started)
	term, err := g.takeTerm(ctx)
	if err == nil {
		g.cfg.Logger.Event(event.PromotionStarted, zap.String("service", g.cfg.Service.Name()), zap.Uint64("term", term))
		err = g.promoteUnder(ctx, term)
	}
	if err != nil {
		g.cfg.Logger.Event(event.PromotionFailed, zap.String("service", g.cfg.Service.Name()),
			zap.Uint64("term", term), zap.Error(err))
		g.cfg.Metrics.Counter(metric.Promotions, g.cfg.Service.Name(), "failed").Inc(1)
		return
	}
	g.cfg.Metrics.Counter(metric.Promotions, g.cfg.Service.Name(), "done").Inc(1)
	g.cfg.Metrics.Histogram(metric.PromotionSeconds, g.cfg.Service.Name()).Observe(g.cfg.Now().Sub(lastSeen).Seconds())
	address, _ := g.Primary()
	g.cfg.Logger.Event(event.PromotionDone, zap.String("service", g.cfg.Service.Name()), zap.Uint64("term", term),
		zap.String("server", address), zap.Duration("took", g.cfg.Now().Sub(started)))
}

// primarySeen returns the time of the last status of the primary, or now if there was none.
func (g *Group) primarySeen(now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.watched(g.primary); w != nil && !w.obs.AskedAt().IsZero() {
		return w.obs.AskedAt()
	}
	return now
}

func (g *Group) promoteUnder(ctx context.Context, term uint64) error {
	promised := g.fence(ctx, term)
	address, err := failov.ChoosePrimary(promised, len(g.servers))
	if err != nil {
		return err
	}
	w := g.watched(address)
	callCtx, cancel := context.WithTimeout(ctx, g.cfg.Settings.ControlTimeout)
	defer cancel()
	asked := g.cfg.Now()
	st, err := w.control.Promote(callCtx, term)
	if err != nil {
		return err
	}
	g.take(w, asked, st, nil)
	g.mu.Lock()
	g.since = time.Time{}
	g.recordScheduler.SetPrimary(asked, address, term, true)
	g.mu.Unlock()
	g.follow(ctx, term, address)
	g.notePrimary(ctx, asked)
	return nil
}

// notePrimary writes the primary into the group's record if that is due. A failed attempt is repeated later.
func (g *Group) notePrimary(ctx context.Context, now time.Time) {
	g.mu.Lock()
	pending := g.recordScheduler.Pending()
	g.mu.Unlock()
	if !pending {
		return
	}
	rank := g.cfg.Rank() // takes locks of the VM and hashes all live VMs
	g.mu.Lock()
	address, term, due := g.recordScheduler.Due(now, rank)
	g.mu.Unlock()
	if !due {
		return
	}
	g.start(func() {
		callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
		defer cancel()
		err := recordPrimary(callCtx, g.cfg.Table, g.cfg.Service.Name(), address, term, attemptID())
		g.mu.Lock()
		g.recordScheduler.EndAttempt(g.cfg.Now(), term, err == nil)
		g.mu.Unlock()
		if err != nil {
			g.cfg.Logger.Event(event.StoreAnswerLost, zap.String("record", TermKey(g.cfg.Service.Name())), zap.Error(err))
		}
	})
}

func (g *Group) watched(address string) *watched {
	for _, w := range g.servers {
		if w.address == address {
			return w
		}
	}
	return nil
}

// fence asks all servers to promise the term, and returns the observations of those that did.
func (g *Group) fence(ctx context.Context, term uint64) []failov.Observation {
	callCtx, cancel := context.WithTimeout(ctx, g.cfg.Settings.ControlTimeout)
	defer cancel()
	answers := make(chan failov.Observation, len(g.servers))
	for _, w := range g.servers {
		g.start(func() {
			asked := g.cfg.Now()
			st, err := fenceServer(callCtx, w.control, term)
			if err == nil && st.Promised == term {
				answers <- failov.NewObservation(w.address, st, asked, 0)
				return
			}
			answers <- failov.Observation{}
		})
	}
	var promised []failov.Observation
	var grace <-chan time.Time
	for range g.servers {
		select {
		case o := <-answers:
			if o.Address() != "" {
				promised = append(promised, o)
			}
			if grace == nil && len(promised) >= failov.Majority(len(g.servers)) {
				grace = time.After(fenceGrace)
			}
		case <-grace:
			return promised
		case <-callCtx.Done():
			return promised
		}
	}
	return promised
}

func fenceServer(ctx context.Context, s Server, term uint64) (port.Status, error) {
	f, ok := s.(port.Fencer)
	if !ok {
		return port.Status{}, result.New(result.Unsupported, "the server cannot promise a term")
	}
	return f.Fence(ctx, term)
}

// follow makes all other servers replicas of the primary. A server that cannot be reached is repaired later.
func (g *Group) follow(ctx context.Context, term uint64, primary string) {
	for _, w := range g.servers {
		if w.address == primary {
			continue
		}
		g.start(func() {
			callCtx, cancel := context.WithTimeout(ctx, g.cfg.Settings.ControlTimeout)
			defer cancel()
			asked := g.cfg.Now()
			if st, err := w.control.Follow(callCtx, term, primary); err == nil {
				g.take(w, asked, st, nil)
			}
		})
	}
}

// repair brings back servers that follow an older term than the primary's, such as a primary that was replaced.
func (g *Group) repair(ctx context.Context) {
	g.mu.Lock()
	primary, term := g.primary, g.term
	obs := g.observations()
	g.mu.Unlock()
	if primary == "" || failov.HighestTerm(obs) > term || g.cfg.Rank() > 0 {
		return
	}
	stale := false
	for _, o := range obs {
		stale = stale || (o.Address() != primary && !o.AskedAt().IsZero() && o.Status().Term < term)
	}
	if stale {
		g.follow(ctx, term, primary)
	}
}

// needsReserve reports whether the reserved term can no longer win a promotion.
func (g *Group) needsReserve() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	highest := failov.HighestTerm(g.observations())
	return !g.asking && highest > 0 && g.reserved <= highest
}

// reserve takes a term number ahead of a failure, so that a promotion needs no store.
func (g *Group) reserve(ctx context.Context) {
	g.mu.Lock()
	g.asking = true
	g.mu.Unlock()
	g.start(func() {
		callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
		defer cancel()
		rec, err := reserveIn(callCtx, g.cfg.Table, g.cfg.Service.Name(), g.highest(), attemptID())
		term := rec.LastTerm
		g.mu.Lock()
		g.asking = false
		if err == nil {
			g.reserved = max(g.reserved, term)
			g.recordScheduler.SetRecordedTerm(rec.PrimaryTerm)
		}
		g.mu.Unlock()
		if err == nil {
			g.cfg.Logger.Event(event.TermReserved, zap.String("service", g.cfg.Service.Name()), zap.Uint64("term", term))
		}
	})
}

func (g *Group) highest() uint64 { return failov.HighestTerm(g.Observations()) }

// takeTerm returns the reserved term if it can win, and a new one from the store otherwise. A term is used once.
func (g *Group) takeTerm(ctx context.Context) (uint64, error) {
	g.mu.Lock()
	highest := failov.HighestTerm(g.observations())
	if term := g.reserved; term > highest {
		g.reserved = 0
		g.mu.Unlock()
		return term, nil
	}
	g.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	term, err := reserveTerm(callCtx, g.cfg.Table, g.cfg.Service.Name(), highest, attemptID())
	if err != nil {
		return 0, result.Wrap(result.NoTerm, err, "service %q: no term for a promotion", g.cfg.Service.Name())
	}
	return term, nil
}
