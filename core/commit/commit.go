// Package commit determines which position a new session of a caller must see, from the commits that an owner of the primary
// has carried out.
package commit

import (
	"slices"
	"time"

	"verbenagate/core/point"
)

const (
	// generationDuration is the minimum time for which a caller's last commit is kept. Replicas have applied the commit long
	// before.
	generationDuration = 15 * time.Second
	// maxCallersPerGeneration limits the callers of one generation.
	maxCallersPerGeneration = 16 << 10
	// maxRanges limits the ranges of positions that are kept. Each commit of another owner, and each answer that was lost,
	// begins a new range.
	maxRanges = 256
)

// Tracker records the commits that one owner of a primary has carried out on it. It is not safe for concurrent use.
//
// Each commit has a position of its own in the log of its term. A position that is not that of a commit recorded here may
// therefore hold a commit of any caller through another VM. That VM may own the server by a different view of the members, may
// have been paused, or may have owned it before. RequiredPoint covers all such positions, so the VMs need not agree on the
// owner.
type Tracker struct {
	term           uint64
	ranges         []positionRange // ascending, with gaps between them
	current        callerCommits
	previous       callerCommits
	highestEvicted uint64 // the highest position among the commits that were dropped
	rotatedAt      time.Time
	sharedPosition bool
}

// positionRange is a range of positions that all belong to commits recorded here.
type positionRange struct{ first, last uint64 }

// callerCommits holds the position of each caller's last commit within a generation, and the highest of these positions.
type callerCommits struct {
	lastCommit map[string]uint64
	highest    uint64
}

// RecordCommit records a commit of a caller at the position that the server reported. It must be called before the commit is
// acknowledged to the caller.
func (t *Tracker) RecordCommit(now time.Time, caller string, p point.Point) {
	switch {
	case p.Term() < t.term:
		return // RequiredPoint treats the position as one of another owner
	case p.Term() > t.term:
		*t = Tracker{term: p.Term(), rotatedAt: now}
	}
	t.rotate(now)
	if t.current.lastCommit == nil {
		t.current.lastCommit = map[string]uint64{}
	}
	t.current.lastCommit[caller] = max(t.current.lastCommit[caller], p.Position())
	t.current.highest = max(t.current.highest, p.Position())
	t.addPosition(p.Position())
}

// rotate drops the previous generation and begins a new one when the current one is old enough or full.
func (t *Tracker) rotate(now time.Time) {
	if now.Sub(t.rotatedAt) < generationDuration && len(t.current.lastCommit) < maxCallersPerGeneration {
		return
	}
	t.highestEvicted = max(t.highestEvicted, t.previous.highest)
	t.previous, t.current = t.current, callerCommits{}
	t.rotatedAt = now
}

// addPosition adds a position to the ranges and joins adjacent ranges.
func (t *Tracker) addPosition(position uint64) {
	i := len(t.ranges)
	for i > 0 && t.ranges[i-1].first > position {
		i--
	}
	// The range at i-1 begins at or before the position, the one at i after it.
	if i > 0 && position <= t.ranges[i-1].last {
		// Two commits at one position: the server does not report the positions of the commits themselves.
		t.sharedPosition = true
		return
	}
	joinsLeft := i > 0 && t.ranges[i-1].last+1 == position
	joinsRight := i < len(t.ranges) && t.ranges[i].first == position+1
	switch {
	case joinsLeft && joinsRight:
		t.ranges[i-1].last = t.ranges[i].last
		t.ranges = slices.Delete(t.ranges, i, i+1)
	case joinsLeft:
		t.ranges[i-1].last = position
	case joinsRight:
		t.ranges[i].first = position
	default:
		t.ranges = slices.Insert(t.ranges, i, positionRange{position, position})
	}
	if len(t.ranges) > maxRanges {
		t.ranges = slices.Delete(t.ranges, 0, len(t.ranges)-maxRanges)
	}
}

// RequiredPoint returns a point that covers every commit of the caller that was acknowledged before the primary's status was
// requested. Newest is the position in that status, and must be confirmed by a majority like that of a barrier. The result is
// newest itself if no lower point is known to suffice.
func (t *Tracker) RequiredPoint(caller string, newest point.Point) point.Point {
	if t.sharedPosition || newest.Term() != t.term {
		return newest
	}
	required := max(t.highestForeign(newest.Position()), t.highestEvicted, t.current.lastCommit[caller], t.previous.lastCommit[caller])
	return point.New(t.term, required)
}

// highestForeign returns the highest position up to newest that may hold a commit of another owner.
func (t *Tracker) highestForeign(newest uint64) uint64 {
	for _, r := range slices.Backward(t.ranges) {
		if r.first <= newest && newest <= r.last {
			return r.first - 1
		}
	}
	return newest
}

// NewestKnown reports whether the newest position is that of a commit recorded here, so that RequiredPoint may lie below it. It
// is also true if RequiredPoint returns newest in any case, for another term or after commits with a shared position.
func (t *Tracker) NewestKnown(newest point.Point) bool {
	return newest.Term() != t.term || t.sharedPosition || t.highestForeign(newest.Position()) < newest.Position()
}

// Size returns how many callers and position ranges are kept.
func (t *Tracker) Size() int {
	return len(t.current.lastCommit) + len(t.previous.lastCommit) + len(t.ranges)
}
