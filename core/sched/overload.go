package sched

import "time"

const (
	// stallFactor times the median service time of short work, and at least minStall, is how long no item has started or
	// ended before the server counts as stalled. A wait that a stall causes is no sign of too much demand.
	stallFactor = 4
	minStall    = 20 * time.Millisecond
)

// exceedsMaxWait reports whether an item that needs a connection is short work that would wait longer than the longest wait.
// Such items are refused, so that excess demand leads to early refusals instead of waits up to the deadline of every unit.
// Deferred items are exempt: otherwise most of the units that have waited for a change of primary would be refused after it.
func (q *Queue) exceedsMaxWait(it *Item, wait time.Duration) bool {
	return q.maxWait > 0 && it.class == Short && !it.deferred && wait > q.maxWait
}

// stalled reports whether the server makes no progress. Items that exceed the longest wait during a stall become deferred
// instead of being refused.
func (q *Queue) stalled(now time.Time) bool {
	return now.Sub(q.lastProgress) >= max(minStall, stallFactor*q.times.shortMedian())
}
