package spread

import (
	"slices"
	"time"

	"verbenagate/core/owner"
)

const (
	// savers is how many VMs write the snapshot by themselves, one after the other. The VM that accepted a change follows
	// them as the last, in case that none of them reaches the object store.
	savers = 3
	// saveEvery is the least time between two attempts of a VM to write the snapshot. A change that is not in it yet is in
	// the table, from which a VM that starts lists what is newer.
	saveEvery = 30 * time.Second
	// saveLag is the lead of each VM over the next one. With twice the time between two writes, the next one finds a newer
	// snapshot if the one before it works.
	saveLag = 2 * saveEvery
)

// Saver decides when a VM writes the snapshot for all, without an agreement: in the usual case the first of the live VMs
// in rendezvous order does it, and another one only if it is overdue. Two VMs that both write do no harm. It is not safe
// for concurrent use.
type Saver struct {
	vm       string
	rank     int
	applied  uint64
	saved    uint64 // of the object, as far as it is known
	target   uint64 // the snapshot is overdue while it is older than this
	since    time.Time
	tried    time.Time
	busy     bool
	accepted uint64 // the last revision that was accepted through this VM
}

// NewSaver returns the state of a VM without configuration.
func NewSaver(vm string) *Saver { return &Saver{vm: vm, rank: savers} }

// Members takes the live VMs.
func (s *Saver) Members(live owner.Live) {
	s.rank = slices.Index(owner.Top("config/snapshot", live.Live(), savers), s.vm)
	if s.rank < 0 {
		s.rank = savers
	}
}

// Applied takes the number of the revision in force.
func (s *Saver) Applied(now time.Time, number uint64) {
	if s.applied <= s.saved {
		s.target, s.since = number, now
	}
	s.applied = max(s.applied, number)
}

// Accepted takes the number of a revision that was accepted through this VM.
func (s *Saver) Accepted(number uint64) { s.accepted = max(s.accepted, number) }

// Due reports whether the VM is to find out the revision of the object, and to write the snapshot if Overdue says so. The
// attempt ends with Done.
func (s *Saver) Due(now time.Time) bool {
	if s.busy || s.applied <= s.saved || s.rank == savers && s.accepted <= s.saved {
		return false
	}
	if now.Before(s.since.Add(time.Duration(s.rank)*saveLag)) || now.Before(s.tried.Add(saveEvery)) {
		return false
	}
	s.busy, s.tried = true, now
	return true
}

// Overdue reports whether this VM is to write the snapshot when the object's has this revision. The first VM replaces any
// older one, the others one that lacks what they have had in force for the time of their lag.
func (s *Saver) Overdue(object uint64) bool {
	if s.rank == 0 {
		return object < s.applied
	}
	return object < s.target
}

// Done ends an attempt: the object has this revision, 0 if that is not known.
func (s *Saver) Done(now time.Time, object uint64) {
	s.busy = false
	if object == 0 {
		return
	}
	s.saved = object
	if object >= s.target {
		s.target, s.since = s.applied, now
	}
}
