// Package commit tells which position a new session of a caller must see, from the commits that an owner of the primary
// has carried out.
package commit

import (
	"slices"
	"time"

	"verbenagate/core/point"
)

const (
	// generation is how long a caller's last commit is kept at least. Replicas have applied it long before.
	generation = 15 * time.Second
	// maxCallers bounds the callers of one generation.
	maxCallers = 16 << 10
	// maxRuns bounds the remembered runs of positions. Each commit of another owner, and each answer that was lost, begins
	// a new one.
	maxRuns = 256
)

// Tracker records the commits that one owner of a primary has carried out on it. It is not safe for concurrent use.
//
// Each commit has a position of its own in the log of its term. A position that is not that of a commit recorded here may
// therefore hold a commit of any caller through another VM, which owns the server by a different view of the members, was
// paused, or owned it before. Required covers all such positions, so it needs no agreement on who the owner is.
type Tracker struct {
	term      uint64
	runs      []run // ascending, with gaps between them
	callers   callers
	before    callers
	floor     uint64 // the highest position that was forgotten
	rotated   time.Time
	ambiguous bool
}

// run is a range of positions that all belong to commits recorded here.
type run struct{ first, last uint64 }

// callers holds the position of each caller's last commit within a generation.
type callers struct {
	last map[string]uint64
	top  uint64
}

// Note records a commit that the server reported for a unit of a caller. It must be called before the caller is told.
func (t *Tracker) Note(now time.Time, caller string, p point.Point) {
	switch {
	case p.Term() < t.term:
		return // its position stays one of unknown origin
	case p.Term() > t.term:
		*t = Tracker{term: p.Term(), rotated: now}
	}
	t.rotate(now)
	if t.callers.last == nil {
		t.callers.last = map[string]uint64{}
	}
	t.callers.last[caller] = max(t.callers.last[caller], p.Position())
	t.callers.top = max(t.callers.top, p.Position())
	t.add(p.Position())
}

// rotate forgets the commits of the generation before the last one.
func (t *Tracker) rotate(now time.Time) {
	if now.Sub(t.rotated) < generation && len(t.callers.last) < maxCallers {
		return
	}
	t.floor = max(t.floor, t.before.top)
	t.before, t.callers = t.callers, callers{}
	t.rotated = now
}

// add adds a position to the runs.
func (t *Tracker) add(position uint64) {
	i := len(t.runs)
	for i > 0 && t.runs[i-1].first > position {
		i--
	}
	// The run at i-1 begins at or before the position, the one at i after it.
	if i > 0 && position <= t.runs[i-1].last {
		// Two commits at one position: the server does not report the positions of the commits themselves.
		t.ambiguous = true
		return
	}
	joinsLeft := i > 0 && t.runs[i-1].last+1 == position
	joinsRight := i < len(t.runs) && t.runs[i].first == position+1
	switch {
	case joinsLeft && joinsRight:
		t.runs[i-1].last = t.runs[i].last
		t.runs = slices.Delete(t.runs, i, i+1)
	case joinsLeft:
		t.runs[i-1].last = position
	case joinsRight:
		t.runs[i].first = position
	default:
		t.runs = slices.Insert(t.runs, i, run{position, position})
	}
	if len(t.runs) > maxRuns {
		t.runs = slices.Delete(t.runs, 0, len(t.runs)-maxRuns)
	}
}

// Required returns a point that covers every commit of the caller that was acknowledged before the primary was asked for its
// status. Newest is the position in that status, and confirmed by a majority as a barrier is. The result is newest itself
// if nothing better is known.
func (t *Tracker) Required(caller string, newest point.Point) point.Point {
	if t.ambiguous || newest.Term() != t.term {
		return newest
	}
	required := max(t.foreign(newest.Position()), t.floor, t.callers.last[caller], t.before.last[caller])
	return point.New(t.term, required)
}

// foreign returns the highest position up to newest that may hold a commit of another owner.
func (t *Tracker) foreign(newest uint64) uint64 {
	for _, r := range slices.Backward(t.runs) {
		if r.first <= newest && newest <= r.last {
			return r.first - 1
		}
	}
	return newest
}

// Complete reports whether the newest position is that of a commit recorded here, so that Required may lie below it.
func (t *Tracker) Complete(newest point.Point) bool {
	return newest.Term() != t.term || t.ambiguous || t.foreign(newest.Position()) < newest.Position()
}

// Size returns how many callers and runs are remembered.
func (t *Tracker) Size() int { return len(t.callers.last) + len(t.before.last) + len(t.runs) }
