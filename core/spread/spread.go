// Package spread puts configuration revisions into force in the same order on every VM.
//
// A StateMachine does no input or output itself. Its inputs are the store's head revision, the revisions that
// arrived, and the revision numbers in force on other VMs. Its actions say what to fetch from which source, what to apply, and
// which revisions to write back to a store that has lost them. A revision is applied only after the one before it, and only
// once.
package spread

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"verbenagate/core/owner"
)

const (
	// pollersPerDataCentre is how many VMs of each data centre poll the store.
	pollersPerDataCentre = 2
	// fetchTimeout is how long a fetch may take before another source is asked, and how long a failed source is not asked again.
	fetchTimeout = 2 * time.Second
	// writeBackInterval is the time between two attempts of a VM to restore the store, and the delay of each VM that polls after
	// the one ranked before it.
	writeBackInterval = 5 * time.Second
	// snapshotFallbackDelay is how long a VM without configuration tries the store and other VMs before it fetches the snapshot,
	// and the time between two such fetches.
	snapshotFallbackDelay = 5 * time.Second
	// snapshotTimeout bounds how long a starting VM waits for the snapshot before it replays the log.
	snapshotTimeout = 10 * time.Second
	// maxLogRevisions bounds the revisions kept for other VMs and for restoring the store: about four hours of 3,100 changes a
	// day.
	maxLogRevisions = 512
	// MaxFetchRevisions is the largest number of revisions in one fetch.
	MaxFetchRevisions = 100
)

// Revision is one change of the configuration. Its body is opaque to this package.
type Revision struct {
	number uint64
	body   []byte
}

// NewRevision returns the revision with this number. The body must not be changed afterwards.
func NewRevision(number uint64, body []byte) Revision { return Revision{number, body} }

// Number returns the revision's number; the first one is 1.
func (r Revision) Number() uint64 { return r.number }

// Body returns the encoded revision. The caller must not change it.
func (r Revision) Body() []byte { return r.body }

// Source is where revisions come from: the store or a VM. The zero Source is the store.
type Source struct{ vm string }

// Store returns the platform's table service as a source.
func Store() Source { return Source{} }

// VM returns the VM with this id as a source.
func VM(id string) Source { return Source{id} }

// IsStore reports whether the source is the store.
func (s Source) IsStore() bool { return s.vm == "" }

// ID returns the id of the VM, "" for the store.
func (s Source) ID() string { return s.vm }

// Action is an instruction to the VM: Poll, Fetch, FetchSnapshot, Apply, LoadSnapshot, Rebuild, Conflict, StoreBehind or
// WriteBack.
type Action interface{ action() }

// Poll asks for the store's head revision; the answer goes to PollSucceeded or PollFailed.
type Poll struct{ applied uint64 }

// Fetch asks a source for the revisions after a number; the answer goes to HandleRevisions or FetchFailed.
type Fetch struct {
	source Source
	after  uint64
}

// Source returns the source to ask.
func (f Fetch) Source() Source { return f.source }

// After returns the number after which the requested revisions start.
func (f Fetch) After() uint64 { return f.after }

// FetchSnapshot asks for the snapshot in the object store; the answer goes to HandleSnapshot or SnapshotFailed.
type FetchSnapshot struct{}

// Apply puts a revision into force.
type Apply struct {
	revision Revision
	source   Source
}

// Revision returns the revision to apply.
func (a Apply) Revision() Revision { return a.revision }

// Source returns where the revision came from.
func (a Apply) Source() Source { return a.source }

// LoadSnapshot puts the contents of a snapshot into force.
type LoadSnapshot struct{ snapshot Snapshot }

// Snapshot returns the snapshot to load.
func (l LoadSnapshot) Snapshot() Snapshot { return l.snapshot }

// Rebuild says that the store accepted another revision under a number that is in force here. The configuration must be rebuilt
// from Log.
type Rebuild struct{ revision Revision }

// Revision returns the revision that the store accepted.
func (r Rebuild) Revision() Revision { return r.revision }

// Conflict reports that a source has a different revision under a number that is in force here.
type Conflict struct {
	number uint64
	source Source
}

// Number returns the number of the revision.
func (c Conflict) Number() uint64 { return c.number }

// Source returns the source that has the different revision.
func (c Conflict) Source() Source { return c.source }

// StoreBehind reports that the store's head is lower than the revision in force here: the store has lost revisions.
type StoreBehind struct{ head, applied uint64 }

// Head returns the store's head revision.
func (s StoreBehind) Head() uint64 { return s.head }

// Applied returns the revision that was in force here when the poll was sent.
func (s StoreBehind) Applied() uint64 { return s.applied }

// WriteBack restores revisions that the store has lost. Each is written only if its number is still free.
type WriteBack struct{ revisions []Revision }

// Revisions returns the revisions in ascending order.
func (w WriteBack) Revisions() []Revision { return w.revisions }

func (Poll) action()          {}
func (Fetch) action()         {}
func (FetchSnapshot) action() {}
func (Apply) action()         {}
func (LoadSnapshot) action()  {}
func (Rebuild) action()       {}
func (Conflict) action()      {}
func (StoreBehind) action()   {}
func (WriteBack) action()     {}

// StateMachine holds the state of one VM and decides its actions. It is not safe for concurrent use.
type StateMachine struct {
	vm, localDataCentre string
	pollInterval        time.Duration
	startedAt           time.Time

	applied uint64
	log     []Revision // consecutive; the last one is applied
	actions []Action

	pollRank       int // rank among the VMs of the data centre that poll, -1 if this VM does not poll
	liveVMs        []string
	peerRevisions  map[string]uint64 // revision in force on each other VM
	lastPollAt     time.Time
	storeHead      uint64
	storeHeadKnown bool

	pendingAccepted     []Revision // accepted through this VM, not in force yet because of a gap, in ascending order
	currentFetch        *Fetch
	fetchStartedAt      time.Time
	sourceFailedAt      map[Source]time.Time // when a source last gave no usable answer
	verifyFrom          uint64               // compare the store's revisions from this number on; 0 for none
	storeBehind         bool
	storeBehindSince    time.Time
	lastWriteBackAt     time.Time
	snapshotRequestedAt time.Time
	awaitingSnapshot    bool // the log is not replayed while the snapshot is awaited
	snapshotRequested   bool
	reportedConflicts   map[Conflict]bool
}

// New returns the state machine of a VM without configuration. A VM that polls reads the store's head every pollInterval.
// Together with the push between VMs, this interval determines when a change is in force everywhere.
func New(vm, dataCentre string, pollInterval time.Duration, now time.Time) *StateMachine {
	return &StateMachine{
		vm: vm, localDataCentre: dataCentre, pollInterval: pollInterval, startedAt: now, pollRank: -1,
		peerRevisions: map[string]uint64{}, sourceFailedAt: map[Source]time.Time{}, reportedConflicts: map[Conflict]bool{},
	}
}

// Applied returns the number of the revision in force.
func (s *StateMachine) Applied() uint64 { return s.applied }

// Log returns the revisions that the VM keeps, in ascending order.
func (s *StateMachine) Log() []Revision { return slices.Clone(s.log) }

// After returns up to n of the kept revisions that follow number. It returns false if they are no longer kept.
func (s *StateMachine) After(number uint64, n int) ([]Revision, bool) {
	if number >= s.applied {
		return nil, true
	}
	i, ok := s.logIndex(number + 1)
	if !ok {
		return nil, false
	}
	return slices.Clone(s.log[i:min(i+n, len(s.log))]), true
}

// logIndex returns the index of a revision in the log. It returns false if the log does not hold it.
func (s *StateMachine) logIndex(number uint64) (int, bool) {
	if len(s.log) == 0 || number < s.log[0].number || number > s.applied {
		return 0, false
	}
	return int(number - s.log[0].number), true
}

// Polls reports whether this VM polls the store.
func (s *StateMachine) Polls() bool { return s.pollRank >= 0 }

// SetMembers sets the live VMs. They determine which VMs poll the store, and which can be asked for revisions.
func (s *StateMachine) SetMembers(live owner.Live) {
	s.liveVMs = live.Live()
	s.pollRank = slices.Index(owner.Top("config/head", live.LiveIn(s.localDataCentre), pollersPerDataCentre), s.vm)
	for vm := range s.peerRevisions {
		if !slices.Contains(s.liveVMs, vm) {
			delete(s.peerRevisions, vm)
		}
	}
}

// SetPeerRevision records the number of the revision in force on another VM.
func (s *StateMachine) SetPeerRevision(vm string, number uint64) { s.peerRevisions[vm] = number }

// NewestKnown returns the highest revision that is known to be in force on this VM or on another live one.
func (s *StateMachine) NewestKnown() uint64 {
	newest := s.applied
	for _, n := range s.peerRevisions {
		newest = max(newest, n)
	}
	return newest
}

// PollSucceeded handles the answer to a poll.
func (s *StateMachine) PollSucceeded(now time.Time, p Poll, head uint64) {
	s.storeHead, s.storeHeadKnown = head, true
	delete(s.sourceFailedAt, Store())
	// An answer without the revisions that were applied after the poll was sent does not mean that the store lost them.
	if head >= p.applied {
		s.storeBehind = false
		return
	}
	if !s.storeBehind {
		s.storeBehind, s.storeBehindSince, s.lastWriteBackAt = true, now, time.Time{}
		s.actions = append(s.actions, StoreBehind{head, p.applied})
	}
}

// PollFailed handles a poll that got no answer.
func (s *StateMachine) PollFailed(now time.Time) {
	s.sourceFailedAt[Store()] = now
	s.storeHeadKnown = false
}

// FetchFailed handles a fetch that got no answer, or one without the requested revisions.
func (s *StateMachine) FetchFailed(now time.Time, f Fetch) {
	s.sourceFailedAt[f.source] = now
	s.clearFetch(f.source)
}

func (s *StateMachine) clearFetch(source Source) {
	if s.currentFetch != nil && s.currentFetch.source == source {
		s.currentFetch = nil
	}
}

// HandleRevisions handles revisions that arrived from source. Those after a gap are ignored. Those with a number that is in
// force already are only compared with the ones in force.
func (s *StateMachine) HandleRevisions(now time.Time, source Source, revisions []Revision) {
	s.clearFetch(source)
	before := s.applied
	for _, r := range revisions {
		switch {
		case r.number == s.applied+1:
			s.apply(r, source)
			s.applyAccepted()
		case r.number <= s.applied:
			s.checkConflict(r, source)
		}
	}
	if source.IsStore() {
		s.verifyFrom = 0
		s.storeHead = max(s.storeHead, s.applied)
	}
	if s.applied == before && len(revisions) > 0 {
		s.sourceFailedAt[source] = now // the source has no revision that can be applied next
	} else {
		delete(s.sourceFailedAt, source)
	}
}

// RevisionAccepted handles a revision that the store has accepted from this VM. Without it, an accepted change would be held
// back by a store that goes down, or lost by one that returns to an older state, before any VM has read the revision. A
// revision after a gap comes into force with the one before it, which may arrive from another VM.
func (s *StateMachine) RevisionAccepted(r Revision) {
	if r.number > s.applied && len(s.pendingAccepted) < maxLogRevisions {
		i, found := slices.BinarySearchFunc(s.pendingAccepted, r.number, func(a Revision, n uint64) int { return cmp.Compare(a.number, n) })
		if found {
			s.pendingAccepted[i] = r // the store returned to an older state in between, and the later one is valid
		} else {
			s.pendingAccepted = slices.Insert(s.pendingAccepted, i, r)
		}
	}
	s.applyAccepted()
	s.storeHead, s.storeHeadKnown = max(s.storeHead, r.number), true
}

// applyAccepted applies the pending accepted revisions that follow without a gap, and drops those that are in force already.
func (s *StateMachine) applyAccepted() {
	for len(s.pendingAccepted) > 0 && s.pendingAccepted[0].number <= s.applied+1 {
		r := s.pendingAccepted[0]
		s.pendingAccepted = slices.Delete(s.pendingAccepted, 0, 1)
		if r.number == s.applied+1 {
			s.apply(r, Store())
		}
	}
}

func (s *StateMachine) apply(r Revision, source Source) {
	s.applied = r.number
	s.log = append(s.log, r)
	if len(s.log) > maxLogRevisions {
		s.log = slices.Delete(s.log, 0, len(s.log)-maxLogRevisions)
	}
	s.actions = append(s.actions, Apply{r, source})
}

// checkConflict detects a different revision under a number that is in force. The store's revision is authoritative. Another
// VM's revision only causes a comparison with the store.
func (s *StateMachine) checkConflict(r Revision, source Source) {
	i, ok := s.logIndex(r.number)
	if !ok || bytes.Equal(s.log[i].body, r.body) {
		return
	}
	if c := (Conflict{r.number, source}); !s.reportedConflicts[c] {
		s.reportedConflicts[c] = true
		s.actions = append(s.actions, c)
	}
	if source.IsStore() {
		s.log[i] = r
		s.actions = append(s.actions, Rebuild{r})
		return
	}
	if s.verifyFrom == 0 || r.number < s.verifyFrom {
		s.verifyFrom = r.number
	}
}

// HandleSnapshot handles a snapshot that arrived from source. One that is not newer than the configuration in force is ignored.
func (s *StateMachine) HandleSnapshot(source Source, snap Snapshot) {
	s.clearFetch(source)
	if source.IsStore() {
		s.awaitingSnapshot = false
	}
	if snap.number <= s.applied {
		return
	}
	s.applied, s.log = snap.number, slices.Clone(snap.log)
	s.actions = append(s.actions, LoadSnapshot{snap})
	if source.IsStore() && s.storeHeadKnown && s.storeHead >= snap.number && len(snap.log) > 0 {
		s.verifyFrom = snap.number // a store that returned to an older state may hold a different revision under this number
	}
	s.applyAccepted()
}

// SnapshotFailed handles that no usable snapshot could be read from the object store.
func (s *StateMachine) SnapshotFailed() { s.awaitingSnapshot = false }

// startFromSnapshot reports whether a VM without configuration waits for the snapshot, which it requests once. After a year of
// 3,100 changes a day, replaying the log instead takes 11,300 requests. Also, a store that returned to an older state may lack
// revisions that the snapshot has.
func (s *StateMachine) startFromSnapshot(now time.Time) bool {
	if s.applied == 0 && s.storeHeadKnown && !s.snapshotRequested {
		s.snapshotRequested, s.awaitingSnapshot, s.snapshotRequestedAt = true, true, now
		s.actions = append(s.actions, FetchSnapshot{})
	}
	return s.awaitingSnapshot && now.Sub(s.snapshotRequestedAt) < snapshotTimeout
}

// Step returns the actions to carry out now. It must be called after each input, and every few hundred milliseconds.
func (s *StateMachine) Step(now time.Time) []Action {
	if (s.Polls() || s.applied == 0) && now.Sub(s.lastPollAt) >= s.pollInterval {
		s.lastPollAt = now
		s.actions = append(s.actions, Poll{s.applied})
	}
	if s.currentFetch != nil && now.Sub(s.fetchStartedAt) >= fetchTimeout {
		s.FetchFailed(now, *s.currentFetch)
	}
	if s.currentFetch == nil && !s.startFromSnapshot(now) {
		if f, ok := s.chooseFetch(now); ok {
			s.currentFetch, s.fetchStartedAt = &f, now
			s.actions = append(s.actions, f)
		}
	}
	s.restoreStore(now)
	if s.applied == 0 && !s.storeHeadKnown && len(s.peerRevisions) == 0 && now.Sub(s.startedAt) >= snapshotFallbackDelay &&
		now.Sub(s.snapshotRequestedAt) >= snapshotFallbackDelay {
		s.snapshotRequestedAt = now
		s.actions = append(s.actions, FetchSnapshot{})
	}
	out := s.actions
	s.actions = nil
	return out
}

// chooseFetch returns the next fetch, and false if none is possible or needed. VMs that know the store's head ask the store. The
// others spread their requests over the VMs that have newer revisions.
func (s *StateMachine) chooseFetch(now time.Time) (Fetch, bool) {
	usable := func(src Source) bool {
		at, bad := s.sourceFailedAt[src]
		return !bad || now.Sub(at) >= fetchTimeout
	}
	if s.verifyFrom > 0 && usable(Store()) {
		return Fetch{Store(), s.verifyFrom - 1}, true
	}
	if s.storeHeadKnown && s.storeHead > s.applied && usable(Store()) {
		return Fetch{Store(), s.applied}, true
	}
	var ahead []string
	for vm, n := range s.peerRevisions {
		if n > s.applied && usable(VM(vm)) {
			ahead = append(ahead, vm)
		}
	}
	if vm, ok := owner.First(s.vm, ahead); ok {
		return Fetch{VM(vm), s.applied}, true
	}
	return Fetch{}, false
}

// restoreStore writes back the revisions that the store has lost. The VMs that poll start one after the other, by rank, so that
// usually only one of them writes.
func (s *StateMachine) restoreStore(now time.Time) {
	if !s.storeBehind || !s.Polls() || now.Sub(s.lastWriteBackAt) < writeBackInterval ||
		now.Sub(s.storeBehindSince) < time.Duration(s.pollRank)*writeBackInterval {
		return
	}
	if revs, ok := s.After(s.storeHead, maxLogRevisions); ok && len(revs) > 0 {
		s.lastWriteBackAt = now
		s.actions = append(s.actions, WriteBack{revs})
	}
}
