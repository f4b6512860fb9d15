// Package fresh keeps the positions that a primary was seen at, and derives from them the position that a read must see so
// that its data are no older than a stated age.
package fresh

import (
	"time"

	"verbenagate/core/point"
)

const (
	// spacing is the least distance of two marks; finer ones would not let more replicas serve a read.
	spacing = 40 * time.Millisecond
	// keep bounds the history. An age that is stated longer than this needs a younger position than it could have.
	keep = 6 * time.Second
)

// History holds marks: at the time a mark was asked for, every acknowledged commit lay at or below its position. It is not
// safe for concurrent use.
type History struct {
	marks  []mark
	latest mark
}

type mark struct {
	asked time.Time
	point point.Point
}

// Observe notes a position that the primary gave in answer to a request sent at asked. The caller vouches that the server
// was the primary when it answered.
func (h *History) Observe(asked time.Time, p point.Point) {
	if !asked.After(h.latest.asked) {
		return
	}
	h.latest = mark{asked: asked, point: p}
	if n := len(h.marks); n > 0 && asked.Sub(h.marks[n-1].asked) < spacing {
		return
	}
	h.marks = append(h.marks, h.latest)
	first := 0
	for first < len(h.marks)-1 && asked.Sub(h.marks[first].asked) > keep {
		first++
	}
	h.marks = append(h.marks[:0], h.marks[first:]...)
}

// Required returns the lowest known position that covers every commit acknowledged earlier than age before now. It is
// false if no mark is young enough.
func (h *History) Required(now time.Time, age time.Duration) (point.Point, bool) {
	oldest := now.Add(-age)
	for _, m := range h.marks {
		if !m.asked.Before(oldest) {
			return m.point, true
		}
	}
	return h.latest.point, !h.latest.asked.IsZero() && !h.latest.asked.Before(oldest)
}

// Reset drops all marks, as positions of another primary's history do not compare.
func (h *History) Reset() { *h = History{} }
