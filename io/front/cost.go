package front

import (
	"context"
	"time"

	"verbenagate/core/route"
)

const (
	// worthWaiting is the least service time for which a read waits for a replica instead of going to the primary.
	// Shorter reads cost the primary less than they would lose by waiting.
	worthWaiting = 20 * time.Millisecond
	// maxCosts bounds the table of long statements of a service.
	maxCosts = 1024
)

// costs are the service times of statements that are worth waiting for, by fingerprint.
type costs map[uint64]time.Duration

// learn takes the service time that an owner expects of a fingerprint.
func (c costs) learn(fingerprint uint64, cost time.Duration) {
	if cost < worthWaiting {
		delete(c, fingerprint)
		return
	}
	if _, known := c[fingerprint]; !known && len(c) >= maxCosts {
		for old := range c {
			delete(c, old)
			break
		}
	}
	c[fingerprint] = cost
}

// awaitReplica lets a long read wait until a replica has what it needs, if that takes less time than the read itself.
// On the primary, which alone can take the writes, it would hold a slot for all that time.
func (s *Session) awaitReplica(ctx context.Context, a *attempt) {
	need, ok := a.need.(route.AtLeast)
	if !ok || a.waited {
		return
	}
	wait, worth := s.replicaWait(s.front.cfg.Now(), a, need)
	if !worth {
		return
	}
	a.waited = true
	sleep(ctx, wait)
}

// replicaWait returns how long a read that would go to the primary has to wait for a replica, and whether that is worth it.
func (s *Session) replicaWait(now time.Time, a *attempt, need route.AtLeast) (time.Duration, bool) {
	a.svc.mu.Lock()
	defer a.svc.mu.Unlock()
	cost, long := a.svc.costs[a.unit.Fingerprint]
	if !long {
		return 0, false
	}
	server, found := s.choose(now, a)
	if !found || server != a.svc.table.Primary() {
		return 0, false
	}
	wait, known := a.svc.table.CatchUpDelay(now, need.Point())
	return wait, known && wait > 0 && wait <= cost
}
