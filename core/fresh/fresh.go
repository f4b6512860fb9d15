// Package fresh implements bounded staleness. It records the log positions that a primary reported over time, and derives from
// them the position that a server must have applied for its data to be no older than a stated age.
package fresh

import (
	"time"

	"verbenagate/core/point"
)

const (
	// minSampleInterval is the shortest time between two kept samples. A shorter one would not let more replicas serve a read.
	minSampleInterval = 40 * time.Millisecond
	// maxSampleAge bounds the history. A read with a longer stated age is held to a newer position than it needs.
	maxSampleAge = 6 * time.Second
)

// PositionHistory holds samples of the primary's log position. When a sample was requested, every commit acknowledged until
// then was at or below the sample's position. The zero PositionHistory is empty. It is not safe for concurrent use.
type PositionHistory struct {
	samples []sample
	latest  sample
}

type sample struct {
	requestedAt time.Time
	point       point.Point
}

// Observe records the position that the primary returned to a request sent at requestedAt. The caller must be certain that the
// server was the primary when it answered. A sample that was not requested later than the latest one is ignored.
func (h *PositionHistory) Observe(requestedAt time.Time, p point.Point) {
	if !requestedAt.After(h.latest.requestedAt) {
		return
	}
	h.latest = sample{requestedAt: requestedAt, point: p}
	if n := len(h.samples); n > 0 && requestedAt.Sub(h.samples[n-1].requestedAt) < minSampleInterval {
		return
	}
	h.samples = append(h.samples, h.latest)
	first := 0
	for first < len(h.samples)-1 && requestedAt.Sub(h.samples[first].requestedAt) > maxSampleAge {
		first++
	}
	h.samples = append(h.samples[:0], h.samples[first:]...)
}

// Required returns the lowest known position that covers every commit acknowledged before now minus age. It returns false if
// no sample was requested since then.
func (h *PositionHistory) Required(now time.Time, age time.Duration) (point.Point, bool) {
	cutoff := now.Add(-age)
	for _, s := range h.samples {
		if !s.requestedAt.Before(cutoff) {
			return s.point, true
		}
	}
	return h.latest.point, !h.latest.requestedAt.IsZero() && !h.latest.requestedAt.Before(cutoff)
}

// Latest returns the newest sample, and false if there is none.
func (h *PositionHistory) Latest() (requestedAt time.Time, p point.Point, ok bool) {
	return h.latest.requestedAt, h.latest.point, !h.latest.requestedAt.IsZero()
}

// Reset drops all samples. It must be called when the primary changes, because positions in the logs of different primaries
// cannot be compared.
func (h *PositionHistory) Reset() { *h = PositionHistory{} }
