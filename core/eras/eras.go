// Package eras orders what the platform's store says across its eras. A store that comes back from a copy begins a new era: what was written
// since the copy is gone, and versions are given out again, so a version has a meaning only together with its era.
package eras

import "fmt"

// versionBits is the size of a version within a Position. A store that changes 10,000 rows a second reaches it after three years.
const versionBits = 40

// Position is a version of the store in an era. Positions are ordered by era, then by version. The zero Position is that of a row that does
// not exist.
type Position uint64

// At returns the position of a version in an era.
func At(era, version uint64) Position { return Position(era<<versionBits | version&(1<<versionBits-1)) }

// Era returns the era.
func (p Position) Era() uint64 { return uint64(p) >> versionBits }

// Version returns the version that the store gave.
func (p Position) Version() uint64 { return uint64(p) & (1<<versionBits - 1) }

func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era(), p.Version()) }

// Event says how an answer relates to what was heard before: Current, Older or Changed.
type Event interface{ event() }

// Current says that an answer is of the newest era.
type Current struct{}

// Older says that an answer is of an era that has ended. It must not be applied.
type Older struct{ newest Position }

// Changed says that a new era has begun. Each holder of state handles it: it keeps what it knows, reads the store in full, and takes
// nothing that it has written for held until it has read it again.
type Changed struct{ from, to Position }

func (Current) event() {}
func (Older) event()   {}
func (Changed) event() {}

// Newest returns the newest position heard of.
func (o Older) Newest() Position { return o.newest }

// From returns the newest position heard of before, 0 if there was none.
func (c Changed) From() Position { return c.from }

// To returns the first position heard of in the new era.
func (c Changed) To() Position { return c.to }

// Tracker holds the newest position of which a process has heard, from the store or from another VM. The zero Tracker has heard of none,
// which counts as the era 0. It is not safe for concurrent use.
type Tracker struct {
	newest     Position
	lastChange Changed
}

// Observe records that an answer with this position was received.
func (t *Tracker) Observe(p Position) Event {
	before := t.newest
	switch {
	case p.Era() < before.Era():
		return Older{newest: before}
	case p.Era() > before.Era():
		t.newest, t.lastChange = p, Changed{from: before, to: p}
		return t.lastChange
	}
	t.newest = max(before, p)
	return Current{}
}

// LastChange returns the beginning of the newest era, and false if no era has begun since the first one.
func (t *Tracker) LastChange() (Changed, bool) { return t.lastChange, t.newest.Era() > 0 }

// Era returns the newest era heard of.
func (t *Tracker) Era() uint64 { return t.newest.Era() }
