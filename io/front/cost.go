package front

import (
	"context"
	"time"

	"verbenagate/core/route"
	"verbenagate/io/every"
)

const (
	// minServiceTimeToWait is the minimum service time of a read that waits for a replica to catch up. A shorter read goes to
	// the primary, since waiting would delay the read more than running it costs the primary.
	minServiceTimeToWait = 20 * time.Millisecond
	// maxServiceTimes is the maximum number of statements in serviceTimes.
	maxServiceTimes = 1024
)

// serviceTimes maps the fingerprints of long statements to their service times, which are at least minServiceTimeToWait.
type serviceTimes map[uint64]time.Duration

// record stores the service time that an owner has estimated for a fingerprint.
func (c serviceTimes) record(fingerprint uint64, serviceTime time.Duration) {
	if serviceTime < minServiceTimeToWait {
		delete(c, fingerprint)
		return
	}
	if _, known := c[fingerprint]; !known && len(c) >= maxServiceTimes {
		for old := range c {
			delete(c, old)
			break
		}
	}
	c[fingerprint] = serviceTime
}

// awaitReplica delays a long read until a replica is expected to reach the required point, if that takes no longer than the
// read itself. On the primary, the only server that accepts writes, the read would occupy a slot for its whole service time.
func (s *Session) awaitReplica(ctx context.Context, a *attemptState) {
	need, ok := a.need.(route.AtLeast)
	if !ok || a.waitedForReplica {
		return
	}
	wait, worthwhile := s.replicaWait(s.front.cfg.Now(), a, need)
	if !worthwhile {
		return
	}
	a.waitedForReplica = true
	every.Sleep(ctx, wait)
}

// replicaWait returns how long a read that would go to the primary has to wait for a replica to catch up, and whether it
// should wait.
func (s *Session) replicaWait(now time.Time, a *attemptState, need route.AtLeast) (time.Duration, bool) {
	a.svc.mu.Lock()
	defer a.svc.mu.Unlock()
	serviceTime, long := a.svc.serviceTimes[a.unit.Fingerprint]
	if !long {
		return 0, false
	}
	server, found := s.chooseServer(now, a)
	if !found || server != a.svc.table.Primary() {
		return 0, false
	}
	wait, known := a.svc.table.CatchUpDelay(now, need.Point())
	return wait, known && wait > 0 && wait <= serviceTime
}
