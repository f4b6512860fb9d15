package spread

import (
	"slices"
	"time"

	"verbenagate/core/owner"
)

const (
	// snapshotWriters is how many VMs write the snapshot regardless of which VM accepted a change, each only if the ones ranked
	// before it do not. The VM that accepted the change comes last, in case none of them reaches the object store.
	snapshotWriters = 3
	// saveInterval is the shortest time between two attempts of a VM to write the snapshot. A starting VM reads changes that are
	// not in the snapshot yet from the table.
	saveInterval = 30 * time.Second
	// saveDelayPerRank is how much longer each VM waits than the one ranked before it. It is twice the time between two writes,
	// so that a VM finds a newer snapshot if the one ranked before it works.
	saveDelayPerRank = 2 * saveInterval
)

// Saver decides when a VM writes the snapshot that all VMs share. The VMs do not coordinate: usually the first live VM in
// rendezvous order writes it, and another one only if the snapshot is overdue. Two VMs that both write do no harm. A Saver is
// not safe for concurrent use.
type Saver struct {
	vm             string
	rank           int
	applied        uint64
	objectRevision uint64 // of the snapshot in the object store, as far as known
	dueRevision    uint64 // the snapshot is overdue while its revision is lower
	dueSince       time.Time
	lastAttemptAt  time.Time
	attemptRunning bool
	lastAccepted   uint64 // the highest revision that was accepted through this VM
}

// NewSaver returns the Saver of a VM without configuration.
func NewSaver(vm string) *Saver { return &Saver{vm: vm, rank: snapshotWriters} }

// SetMembers sets the live VMs, which determine the rank of this VM.
func (s *Saver) SetMembers(live owner.Live) {
	s.rank = slices.Index(owner.Top("config/snapshot", live.Live(), snapshotWriters), s.vm)
	if s.rank < 0 {
		s.rank = snapshotWriters
	}
}

// RevisionApplied records the number of the revision in force.
func (s *Saver) RevisionApplied(now time.Time, number uint64) {
	if s.applied <= s.objectRevision {
		s.dueRevision, s.dueSince = number, now
	}
	s.applied = max(s.applied, number)
}

// RevisionAccepted records the number of a revision that was accepted through this VM.
func (s *Saver) RevisionAccepted(number uint64) { s.lastAccepted = max(s.lastAccepted, number) }

// BeginIfDue reports whether the VM must start an attempt: read the revision of the snapshot in the object store, and write the
// snapshot if ShouldWrite says so. The caller ends the attempt with Done.
func (s *Saver) BeginIfDue(now time.Time) bool {
	if s.attemptRunning || s.applied <= s.objectRevision || s.rank == snapshotWriters && s.lastAccepted <= s.objectRevision {
		return false
	}
	if now.Before(s.dueSince.Add(time.Duration(s.rank)*saveDelayPerRank)) || now.Before(s.lastAttemptAt.Add(saveInterval)) {
		return false
	}
	s.attemptRunning, s.lastAttemptAt = true, now
	return true
}

// ShouldWrite reports whether this VM must write the snapshot when the one in the object store has the revision object. The
// first VM replaces any older snapshot. The others replace one that lacks a revision which has been in force here for the time
// that they wait.
func (s *Saver) ShouldWrite(object uint64) bool {
	if s.rank == 0 {
		return object < s.applied
	}
	return object < s.dueRevision
}

// Done ends an attempt. Object is the revision of the snapshot in the object store, 0 if it is not known.
func (s *Saver) Done(now time.Time, object uint64) {
	s.attemptRunning = false
	if object == 0 {
		return
	}
	s.objectRevision = object
	if object >= s.dueRevision {
		s.dueRevision, s.dueSince = s.applied, now
	}
}
