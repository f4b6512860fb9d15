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
	// superviseInterval is the time between two assessments of the primary.
	superviseInterval = 50 * time.Millisecond
	// healthQueryTimeout bounds the query to the other watchers for their assessments. A watcher that does not answer does not
	// count.
	healthQueryTimeout = 300 * time.Millisecond
	// fenceGracePeriod is how long a promotion waits for the remaining servers once a majority has promised the term.
	fenceGracePeriod = 30 * time.Millisecond
	// reserveInterval is the time between attempts to reserve a term. termRecordTimeout bounds one update of the term record.
	reserveInterval   = time.Second
	termRecordTimeout = 2 * time.Second
	// quiesceTimeout bounds the wait for running units before a planned change of primary.
	quiesceTimeout = 10 * time.Second
	// repairInterval is the time between attempts to make a server that follows an old term a replica of the primary.
	repairInterval = 500 * time.Millisecond
)

// supervise assesses the primary periodically, promotes another server when the primary has failed, and keeps a term reserved.
// It returns when ctx ends or after StopSupervising.
func (g *Group) supervise(ctx context.Context) {
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	var nextReserve, nextRepair time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if g.supervisionStopped.Load() {
			return
		}
		now := g.cfg.Now()
		if now.After(nextReserve) && g.needsReservation() {
			nextReserve = now.Add(reserveInterval)
			g.startReservation(ctx)
		}
		if now.After(nextRepair) {
			nextRepair = now.Add(repairInterval)
			g.repairStaleServers(ctx)
		}
		g.recordPrimaryIfDue(ctx, now)
		g.checkPrimary(ctx, now)
	}
}

func (g *Group) checkPrimary(ctx context.Context, now time.Time) {
	health := g.Health(now)
	switch health {
	case failov.Silent, failov.Absent:
		if g.promotionDue(now, health) && g.shouldPromote(ctx, health) {
			g.promote(ctx)
		}
	case failov.Leaving:
		g.replaceLeavingPrimary(ctx)
	default:
		g.mu.Lock()
		g.failedSince = time.Time{}
		g.mu.Unlock()
	}
}

// promotionDue records when the primary was first assessed as failed, and reports whether this VM's delay before a promotion is
// over.
func (g *Group) promotionDue(now time.Time, h failov.Health) bool {
	g.mu.Lock()
	first := g.failedSince.IsZero()
	if first {
		g.failedSince = now
	}
	since, primary := g.failedSince, g.primary
	g.mu.Unlock()
	if first {
		g.cfg.Logger.Event(event.PrimarySilent, zap.String("service", g.cfg.Service.Name()), zap.String("server", primary))
	}
	return !now.Before(failov.PromotionStart(since, h, g.cfg.Rank(), g.cfg.Settings.Limits))
}

func (g *Group) shouldPromote(ctx context.Context, own failov.Health) bool {
	askCtx, cancel := context.WithTimeout(ctx, healthQueryTimeout)
	defer cancel()
	return failov.ShouldPromote(own, g.cfg.PeerAssessments(askCtx))
}

// replaceLeavingPrimary promotes another server once no unit runs on the leaving primary, which accepts no new units, and a
// server that is not leaving holds its whole log.
func (g *Group) replaceLeavingPrimary(ctx context.Context) {
	address, _ := g.Primary()
	quiesceCtx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	if !g.cfg.Quiesce(quiesceCtx, address) {
		return
	}
	if g.awaitObservations(quiesceCtx, failov.Replaceable) == nil {
		g.promote(ctx)
	}
}

// promote fences a majority of the servers with a new term and promotes the one with the newest log.
func (g *Group) promote(ctx context.Context) {
	started := g.cfg.Now()
	lastSeen := g.primaryLastSeen(started)
	term, err := g.acquireTerm(ctx)
	if err == nil {
		g.cfg.Logger.Event(event.PromotionStarted, zap.String("service", g.cfg.Service.Name()), zap.Uint64("term", term))
		err = g.promoteInTerm(ctx, term)
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

// primaryLastSeen returns when the last status of the primary was requested, or now if there is none.
func (g *Group) primaryLastSeen(now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.serverByAddress(g.primary); w != nil && !w.obs.AskedAt().IsZero() {
		return w.obs.AskedAt()
	}
	return now
}

func (g *Group) promoteInTerm(ctx context.Context, term uint64) error {
	promised := g.fence(ctx, term)
	address, err := failov.ChoosePrimary(promised, len(g.servers))
	if err != nil {
		return err
	}
	w := g.serverByAddress(address)
	callCtx, cancel := context.WithTimeout(ctx, g.cfg.Settings.ControlTimeout)
	defer cancel()
	askedAt := g.cfg.Now()
	st, err := w.control.Promote(callCtx, term)
	if err != nil {
		return err
	}
	g.handleAnswer(w, askedAt, st, nil)
	g.mu.Lock()
	g.failedSince = time.Time{}
	g.recordScheduler.SetPrimary(askedAt, address, term, true)
	g.mu.Unlock()
	g.makeReplicas(ctx, term, address)
	g.recordPrimaryIfDue(ctx, askedAt)
	return nil
}

// recordPrimaryIfDue starts writing the primary into the group's record if the schedule says so. A failed attempt is repeated
// later.
func (g *Group) recordPrimaryIfDue(ctx context.Context, now time.Time) {
	g.mu.Lock()
	pending := g.recordScheduler.Pending()
	g.mu.Unlock()
	if !pending {
		return
	}
	rank := g.cfg.Rank() // called without the lock: it takes locks of the VM and hashes all live VMs
	g.mu.Lock()
	address, term, due := g.recordScheduler.Due(now, rank)
	g.mu.Unlock()
	if !due {
		return
	}
	g.startGoroutine(func() {
		callCtx, cancel := context.WithTimeout(ctx, termRecordTimeout)
		defer cancel()
		err := recordPrimary(callCtx, g.cfg.Table, g.cfg.Service.Name(), address, term, newAttemptID())
		g.mu.Lock()
		g.recordScheduler.EndAttempt(g.cfg.Now(), term, err == nil)
		g.mu.Unlock()
		if err != nil {
			g.cfg.Logger.Event(event.StoreAnswerLost, zap.String("record", TermKey(g.cfg.Service.Name())), zap.Error(err))
		}
	})
}

func (g *Group) serverByAddress(address string) *watchedServer {
	for _, w := range g.servers {
		if w.address == address {
			return w
		}
	}
	return nil
}

// fence asks all servers to promise the term and returns the observations of those that did.
func (g *Group) fence(ctx context.Context, term uint64) []failov.Observation {
	callCtx, cancel := context.WithTimeout(ctx, g.cfg.Settings.ControlTimeout)
	defer cancel()
	answers := make(chan failov.Observation, len(g.servers))
	for _, w := range g.servers {
		g.startGoroutine(func() {
			askedAt := g.cfg.Now()
			st, err := fenceServer(callCtx, w.control, term)
			if err == nil && st.Promised == term {
				answers <- failov.NewObservation(w.address, st, askedAt, 0)
				return
			}
			answers <- failov.Observation{}
		})
	}
	var promised []failov.Observation
	var graceEnded <-chan time.Time
	for range g.servers {
		select {
		case o := <-answers:
			if o.Address() != "" {
				promised = append(promised, o)
			}
			if graceEnded == nil && len(promised) >= failov.Majority(len(g.servers)) {
				graceEnded = time.After(fenceGracePeriod)
			}
		case <-graceEnded:
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
		return port.Status{}, result.New(result.Unsupported, "the server does not support fencing and cannot promise a term")
	}
	return f.Fence(ctx, term)
}

// makeReplicas makes all other servers replicas of the primary. repairStaleServers retries for servers that cannot be reached
// now.
func (g *Group) makeReplicas(ctx context.Context, term uint64, primary string) {
	for _, w := range g.servers {
		if w.address == primary {
			continue
		}
		g.startGoroutine(func() {
			callCtx, cancel := context.WithTimeout(ctx, g.cfg.Settings.ControlTimeout)
			defer cancel()
			askedAt := g.cfg.Now()
			if st, err := w.control.Follow(callCtx, term, primary); err == nil {
				g.handleAnswer(w, askedAt, st, nil)
			}
		})
	}
}

// repairStaleServers makes servers that follow an older term than the primary's, such as a replaced primary, replicas of the
// primary. Only the watcher of rank 0 does so.
func (g *Group) repairStaleServers(ctx context.Context) {
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
		g.makeReplicas(ctx, term, primary)
	}
}

// needsReservation reports whether a term must be reserved: no reservation is in progress and the reserved term is too low to
// win a promotion.
func (g *Group) needsReservation() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	highest := failov.HighestTerm(g.observations())
	return !g.reserving && highest > 0 && g.reservedTerm <= highest
}

// startReservation reserves a term before a failure, so that a promotion does not depend on the store.
func (g *Group) startReservation(ctx context.Context) {
	g.mu.Lock()
	g.reserving = true
	g.mu.Unlock()
	g.startGoroutine(func() {
		callCtx, cancel := context.WithTimeout(ctx, termRecordTimeout)
		defer cancel()
		rec, err := reserveTermInRecord(callCtx, g.cfg.Table, g.cfg.Service.Name(), g.highestTerm(), newAttemptID())
		term := rec.LastTerm
		g.mu.Lock()
		g.reserving = false
		if err == nil {
			g.reservedTerm = max(g.reservedTerm, term)
			g.recordScheduler.SetRecordedTerm(rec.PrimaryTerm)
		}
		g.mu.Unlock()
		if err == nil {
			g.cfg.Logger.Event(event.TermReserved, zap.String("service", g.cfg.Service.Name()), zap.Uint64("term", term))
		}
	})
}

func (g *Group) highestTerm() uint64 { return failov.HighestTerm(g.Observations()) }

// acquireTerm returns the reserved term if it is high enough to win, otherwise a new one from the store. A term is used only
// once.
func (g *Group) acquireTerm(ctx context.Context) (uint64, error) {
	g.mu.Lock()
	highest := failov.HighestTerm(g.observations())
	if term := g.reservedTerm; term > highest {
		g.reservedTerm = 0
		g.mu.Unlock()
		return term, nil
	}
	g.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, termRecordTimeout)
	defer cancel()
	term, err := reserveTerm(callCtx, g.cfg.Table, g.cfg.Service.Name(), highest, newAttemptID())
	if err != nil {
		return 0, result.Wrap(result.NoTerm, err, "service %q: could not reserve a term for a promotion", g.cfg.Service.Name())
	}
	return term, nil
}
