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

// mark says that everything acknowledged before the time at lies at or before point.
type mark struct {
	at    time.Time
	point point.Point
}

// Barrier returns a point that covers every write acknowledged before the call.
//
// Calls that overlap share the polls, so their number does not change the load on the servers.
func (g *Group) Barrier(ctx context.Context) (point.Point, error) {
	since := g.cfg.Now()
	var p point.Point
	err := g.await(ctx, func(obs []failov.Observation) bool {
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

// Confirm returns nil when the commit at p may be acknowledged under the service's mode.
func (g *Group) Confirm(ctx context.Context, p point.Point) error {
	if g.cfg.Service.Ack() == svcdef.AckPrimary {
		return g.confirmTerm(ctx, p)
	}
	superseded := false
	err := g.await(ctx, func(obs []failov.Observation) bool {
		superseded = failov.Superseded(obs, p.Term())
		return superseded || failov.QuorumHolds(obs, p)
	})
	if err != nil || superseded {
		return result.New(result.QuorumNotReached,
			"service %q: commit %v was not confirmed by a majority of the servers", g.cfg.Service.Name(), p)
	}
	return nil
}

// confirmTerm waits until a majority has confirmed, after the commit, that no newer term was promised.
func (g *Group) confirmTerm(ctx context.Context, p point.Point) error {
	since := g.cfg.Now()
	limit := min(g.cfg.Settings.StatusTimeout, g.cfg.Settings.Limits.Silence())
	superseded := false
	err := g.await(ctx, func(obs []failov.Observation) bool {
		superseded = failov.Superseded(obs, p.Term())
		return superseded || failov.TermConfirmed(obs, p.Term(), since, g.cfg.Now(), limit)
	})
	if err != nil || superseded {
		return result.New(result.QuorumNotReached,
			"service %q: a majority of the servers did not confirm term %d after the commit", g.cfg.Service.Name(), p.Term())
	}
	return nil
}

// addMark notes a position that a majority confirms as the newest acknowledged one. The caller holds the lock.
//
// The time of a mark is that of the oldest status that the confirmation needs, so the mark stays true in a data centre
// that is cut off together with a primary that has been replaced elsewhere.
func (g *Group) addMark(obs []failov.Observation) {
	primary, found := failov.Primary(obs)
	if !found {
		return
	}
	var asked []time.Time
	for _, o := range obs {
		if !o.AskedAt().IsZero() && o.Status().Promised <= primary.Status().Term {
			asked = append(asked, o.AskedAt())
		}
	}
	majority := failov.Majority(len(obs))
	if len(asked) < majority {
		return
	}
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	at := asked[majority-1]
	if primary.AskedAt().Before(at) {
		at = primary.AskedAt()
	}
	if n := len(g.marks); n > 0 && at.Sub(g.marks[n-1].at) < markStep {
		return
	}
	if len(g.marks) == marksKept {
		g.marks = append(g.marks[:0], g.marks[1:]...)
	}
	g.marks = append(g.marks, mark{at: at, point: primary.Status().ReceivedPoint()})
}

// Age returns a bound on the age of the data that reads on the server see, and whether one is known.
func (g *Group) Age(now time.Time, address string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.servers {
		if w.address != address || w.obs.AskedAt().IsZero() {
			continue
		}
		applied := w.obs.Status().AppliedPoint()
		for i := len(g.marks) - 1; i >= 0; i-- {
			if applied.Covers(g.marks[i].point) {
				return now.Sub(g.marks[i].at), true
			}
		}
	}
	return 0, false
}

// Renew asks the primary and a server for their status, which may prove that the server's data is more recent than the last
// polls could show. It does nothing if both were asked within the shortest interval.
func (g *Group) Renew(ctx context.Context, address string) {
	since := g.cfg.Now()
	primary, _ := g.Primary()
	known := func(obs []failov.Observation, from time.Time) bool {
		for _, o := range obs {
			if (o.Address() == address || o.Address() == primary) && !o.AskedAt().After(from) {
				return false
			}
		}
		return true
	}
	if known(g.Observations(), since.Add(-g.cfg.Settings.Interval)) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewWait)
	defer cancel()
	// Whether news came in time shows in Age.
	_ = g.await(ctx, func(obs []failov.Observation) bool { return known(obs, since) })
}
