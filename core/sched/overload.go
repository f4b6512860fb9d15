package sched

import "time"

const (
	// stallFactor times the typical service time, and at least minStall, without the start or end of an item means that the
	// server has stalled. A wait that a stall causes says nothing about the demand.
	stallFactor = 4
	minStall    = 20 * time.Millisecond
)

// tooLong reports whether a fresh item is short work that would wait longer than the longest wait. Such items are refused, so
// that an excess of demand shows as early refusals and not as waits up to the deadline of every unit. Deferred items are
// exempt: a change of primary would otherwise refuse most of the units that have waited for it.
func (q *Queue) tooLong(it *Item, wait time.Duration) bool {
	return q.maxWait > 0 && it.class == Short && !it.deferred && wait > q.maxWait
}

// stalled reports whether the server makes no progress. Items that come meanwhile become deferred.
func (q *Queue) stalled(now time.Time) bool {
	return now.Sub(q.moved) >= max(minStall, stallFactor*q.times.typical())
}
