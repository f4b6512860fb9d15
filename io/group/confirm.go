package group

import (
	"context"
	"slices"
	"time"

	"verbenagate/core/failov"
	"verbenagate/core/point"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
)

// confirmedPosition says that every write acknowledged before acknowledgedBefore lies at or before point.
type confirmedPosition struct {
	acknowledgedBefore time.Time
	point              point.Point
}

// Barrier returns a point that covers every write acknowledged before the call.
//
// Concurrent calls share the polls, so the number of calls does not change the load on the servers.
func (g *Group) Barrier(ctx context.Context) (point.Point, error) {
	since := g.cfg.Now()
	var p point.Point
	err := g.awaitObservations(ctx, func(obs []failov.Observation) bool {
		var ok bool
		p, ok = failov.Barrier(obs, since)
		return ok
	})
	if err != nil {
		return point.Point{}, result.Wrap(result.PositionUnknown, err,
			"service %q: a majority of its servers did not confirm the primary's position", g.cfg.Service.Name())
	}
	return p, nil
}

// Confirm waits until the commit at p may be acknowledged under the service's acknowledgement mode, and then returns nil. It
// returns an error with code QuorumNotReached if ctx ends first or a server has promised a newer term.
func (g *Group) Confirm(ctx context.Context, p point.Point) error {
	if g.cfg.Service.Ack() == svcdef.AckPrimary {
		return g.confirmTerm(ctx, p)
	}
	superseded := false
	err := g.awaitObservations(ctx, func(obs []failov.Observation) bool {
		superseded = failov.Superseded(obs, p.Term())
		return superseded || failov.QuorumHolds(obs, p)
	})
	if err != nil || superseded {
		return result.New(result.QuorumNotReached,
			"service %q: commit %v was not confirmed by a majority of the servers", g.cfg.Service.Name(), p)
	}
	return nil
}

// confirmTerm waits until a majority of the servers has confirmed, after the commit, that they have promised no newer term.
func (g *Group) confirmTerm(ctx context.Context, p point.Point) error {
	since := g.cfg.Now()
	limit := min(g.cfg.Settings.StatusTimeout, g.cfg.Settings.Limits.Silence())
	superseded := false
	err := g.awaitObservations(ctx, func(obs []failov.Observation) bool {
		superseded = failov.Superseded(obs, p.Term())
		return superseded || failov.TermConfirmed(obs, p.Term(), since, g.cfg.Now(), limit)
	})
	if err != nil || superseded {
		return result.New(result.QuorumNotReached,
			"service %q: a majority of the servers did not confirm term %d after the commit", g.cfg.Service.Name(), p.Term())
	}
	return nil
}

// addConfirmedPosition records the primary's position if a majority of the servers has promised no newer term. The caller holds
// the lock.
//
// The recorded time is that of the oldest status needed for the majority. The entry therefore stays correct in a data centre
// that is cut off together with a primary that has been replaced elsewhere.
func (g *Group) addConfirmedPosition(obs []failov.Observation) {
	primary, found := failov.Primary(obs)
	if !found {
		return
	}
	var askedTimes []time.Time
	for _, o := range obs {
		if !o.AskedAt().IsZero() && o.Status().Promised <= primary.Status().Term {
			askedTimes = append(askedTimes, o.AskedAt())
		}
	}
	majority := failov.Majority(len(obs))
	if len(askedTimes) < majority {
		return
	}
	slices.SortFunc(askedTimes, func(a, b time.Time) int { return b.Compare(a) })
	acknowledgedBefore := askedTimes[majority-1]
	if primary.AskedAt().Before(acknowledgedBefore) {
		acknowledgedBefore = primary.AskedAt()
	}
	if n := len(g.confirmedPositions); n > 0 &&
		acknowledgedBefore.Sub(g.confirmedPositions[n-1].acknowledgedBefore) < minConfirmedPositionGap {
		return
	}
	if len(g.confirmedPositions) == maxConfirmedPositions {
		g.confirmedPositions = append(g.confirmedPositions[:0], g.confirmedPositions[1:]...)
	}
	g.confirmedPositions = append(g.confirmedPositions, confirmedPosition{
		acknowledgedBefore: acknowledgedBefore, point: primary.Status().ReceivedPoint(),
	})
}

// Age returns an upper bound on the age of the data that reads on the server at address see, and whether a bound is known.
func (g *Group) Age(now time.Time, address string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.servers {
		if w.address != address || w.obs.AskedAt().IsZero() {
			continue
		}
		applied := w.obs.Status().AppliedPoint()
		for i := len(g.confirmedPositions) - 1; i >= 0; i-- {
			if applied.Covers(g.confirmedPositions[i].point) {
				return now.Sub(g.confirmedPositions[i].acknowledgedBefore), true
			}
		}
	}
	return 0, false
}

// RefreshAge polls the primary and the server at address and waits briefly for their statuses, which may lower the bound that
// Age returns. It does nothing if both were polled within the shortest interval.
func (g *Group) RefreshAge(ctx context.Context, address string) {
	since := g.cfg.Now()
	primary, _ := g.Primary()
	bothAskedAfter := func(obs []failov.Observation, after time.Time) bool {
		for _, o := range obs {
			if (o.Address() == address || o.Address() == primary) && !o.AskedAt().After(after) {
				return false
			}
		}
		return true
	}
	if bothAskedAfter(g.Observations(), since.Add(-g.cfg.Settings.Interval)) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshAgeTimeout)
	defer cancel()
	// A timeout needs no handling: Age then returns the old bound.
	_ = g.awaitObservations(ctx, func(obs []failov.Observation) bool { return bothAskedAfter(obs, since) })
}
