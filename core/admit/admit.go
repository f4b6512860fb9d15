// Package admit is the admission control of statements that need a connection to a server.
//
// It handles overloads that last for seconds, such as when the replicas of a group lag and all reads go to the primary. If
// only timeouts bounded the queue, every caller would then wait for nearly its whole timeout. Admission control instead
// refuses a statement at once, as not run, if its expected wait exceeds the time within which its caller can use an answer.
// The admitted statements are then served in time.
package admit

import "time"

const (
	// newestWeight is the share of the newest sample in an average. The average follows a change within some ten statements.
	newestWeight = 0.08
	// deviationsAboveMean is how many mean deviations a statement is expected to take above the mean at most.
	deviationsAboveMean = 2
	// waitMargin of an expected wait is added to it before it is compared with the time that a caller has, since waits vary.
	waitMargin = 0.5
	// initialHoldTime is the hold time that is assumed until the first one has been measured.
	initialHoldTime = 20 * time.Millisecond
)

// Gate admits or refuses statements for one server. It averages how long the connections to the server are held and how long
// the server takes for a statement. The zero value is ready to use. A Gate is not safe for concurrent use.
type Gate struct {
	meanHoldTime time.Duration
	service      serviceTime
}

// serviceTime averages how long statements take.
type serviceTime struct {
	mean      time.Duration
	deviation time.Duration // mean of the differences between service times and their mean
}

func (s *serviceTime) add(d time.Duration) {
	if s.mean > 0 {
		difference := max(d-s.mean, s.mean-d)
		s.deviation += time.Duration(newestWeight * float64(difference-s.deviation))
	}
	s.mean = updateAverage(s.mean, d)
}

// most returns the time within which most statements end.
func (s *serviceTime) most() time.Duration { return s.mean + deviationsAboveMean*s.deviation }

// meanOr returns the mean, or d if no statement has ended.
func (s *serviceTime) meanOr(d time.Duration) time.Duration {
	if s.mean == 0 {
		return d
	}
	return s.mean
}

// usualOr returns the time that a statement usually takes at most, or d if none has ended. It is one mean deviation above the mean. With a
// wider margin, a slow server would refuse statements of which half can be answered in time, and run less urgent ones instead.
func (s *serviceTime) usualOr(d time.Duration) time.Duration {
	if s.mean == 0 {
		return d
	}
	return s.mean + s.deviation
}

// RecordHoldTime records how long a connection was held for a statement or a transaction.
func (g *Gate) RecordHoldTime(d time.Duration) {
	g.meanHoldTime = updateAverage(g.meanHoldTime, d)
}

// RecordServiceTime records how long the server took for a statement, including the time in the server's own queue.
func (g *Gate) RecordServiceTime(d time.Duration) { g.service.add(d) }

// ServiceTime returns the time within which the server ends most statements.
func (g *Gate) ServiceTime() time.Duration { return g.service.most() }

func updateAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(newestWeight*float64(sample-mean))
}

// ExpectedWait returns the expected wait for one of n connections, all of which are in use, if ahead statements wait already.
func (g *Gate) ExpectedWait(ahead, n int) time.Duration {
	hold := g.meanHoldTime
	if hold == 0 {
		hold = initialHoldTime
	}
	return hold * time.Duration(ahead+1) / time.Duration(max(n, 1))
}

// Admits reports whether a statement may wait for one of n connections behind ahead others. It may if its answer, which takes
// the expected wait and the server's time for a statement, is expected within timeout.
func (g *Gate) Admits(ahead, n int, timeout time.Duration) bool {
	return g.ExpectedWait(ahead, n)+g.service.mean <= timeout
}

// AdmitsToSlot reports whether a statement may wait for one of n slots of the server. Ahead is how many statements are ahead of it
// in the queue, negative if a slot is free. It may wait if its answer is expected within timeout.
func (g *Gate) AdmitsToSlot(ahead, n int, timeout time.Duration) bool {
	if ahead < 0 {
		return true
	}
	return g.SlotWait(ahead, n)+g.service.mean <= timeout
}

// SlotWait returns the expected wait for one of n slots, all of which are in use, if ahead statements wait already.
func (g *Gate) SlotWait(ahead, n int) time.Duration {
	return g.service.mean * time.Duration(ahead+1) / time.Duration(max(n, 1))
}

// AdmitsPlace reports whether a statement may wait for one of n slots at this place of the queue. Ahead is how many statements are ahead
// of it, negative if a slot is free. For a statement of a workspace, the wait is also expected from the pace at which the queue is served,
// with a margin, and the statement counts as taking what its priority usually takes: one that is admitted and cannot be answered in time is
// refused later than necessary.
func (g *Gate) AdmitsPlace(p Place, ahead, n int, timeout time.Duration) bool {
	if !p.named || ahead < 0 {
		return g.AdmitsToSlot(ahead, n, timeout)
	}
	return max(g.SlotWait(ahead, n), p.cautiousWait())+p.service <= timeout
}

// AdmitsPlaceForConn reports the same for one of n connections, all of which are in use.
func (g *Gate) AdmitsPlaceForConn(p Place, n int, timeout time.Duration) bool {
	if !p.named {
		return g.Admits(p.ahead, n, timeout)
	}
	return max(g.ExpectedWait(p.ahead, n), p.cautiousWait())+p.service <= timeout
}

func (p Place) cautiousWait() time.Duration {
	return p.wait + time.Duration(waitMargin*float64(p.wait))
}

const (
	// minRunning lets a VM use a second slot while its first one runs long work.
	minRunning = 2
	// runningPerSlot is how many statements all VMs together may have running on a server, per slot of the server. Callers are
	// spread unevenly over the VMs, so a lower number would leave slots idle.
	runningPerSlot = 4
)

// MaxRunning returns how many statements each of n VMs may have running at a time on a server with this many slots. The bound
// keeps the server's own queue short, since that queue has no priorities and refuses statements when it is full.
func MaxRunning(slots, n int) int {
	n = max(n, 1)
	return max((runningPerSlot*slots+n-1)/n, minRunning)
}
