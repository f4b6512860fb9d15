// Package spread brings configuration revisions into force in the same order on every VM.
//
// A Spread is a state machine without input or output of its own. It is told which head revision the store shows, which
// revisions arrived and which numbers other VMs have in force, and says what to fetch from whom, what to apply, and when
// the store has lost revisions. A revision is applied only after the one before it, and never again.
package spread

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"verbenagate/core/owner"
)

const (
	// pollers is how many VMs of each data centre poll the store.
	pollers = 2
	// fetchTimeout is how long an answer to a fetch may take before another source is asked.
	fetchTimeout = 2 * time.Second
	// writeBackEvery is the time between two attempts to restore the store, and the lead of each VM over the next one.
	writeBackEvery = 5 * time.Second
	// snapshotAfter is how long a VM without configuration looks for one before it reads the snapshot.
	snapshotAfter = 5 * time.Second
	// snapshotTimeout bounds the wait of a VM that starts for an answer about the snapshot.
	snapshotTimeout = 10 * time.Second
	// logSize bounds the revisions kept for other VMs and for the store: about four hours of 3,100 changes a day.
	logSize = 512
	// Limit is the greatest number of revisions in one fetch.
	Limit = 100
)

// Revision is one change of the configuration. Its body is opaque here.
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

// Source is where revisions come from: the store or a VM.
type Source struct{ vm string }

// Store is the platform's table service.
func Store() Source { return Source{} }

// VM is another VM.
func VM(id string) Source { return Source{id} }

// IsStore reports whether the source is the store.
func (s Source) IsStore() bool { return s.vm == "" }

// ID returns the id of the VM, "" for the store.
func (s Source) ID() string { return s.vm }

// Action is something that the VM has to do. The set is closed.
type Action interface{ action() }

// Poll asks for the store's head revision; the answer goes to Head or PollFailed.
type Poll struct{ applied uint64 }

// Fetch asks a source for the revisions after a number; the answer goes to Offer or FetchFailed.
type Fetch struct {
	source Source
	after  uint64
}

// Source returns whom to ask.
func (f Fetch) Source() Source { return f.source }

// After returns the number that the first revision follows.
func (f Fetch) After() uint64 { return f.after }

// FetchSnapshot asks for the snapshot in the object store; the answer goes to OfferSnapshot or SnapshotFailed.
type FetchSnapshot struct{}

// Apply brings a revision into force.
type Apply struct {
	revision Revision
	source   Source
}

// Revision returns what to apply.
func (a Apply) Revision() Revision { return a.revision }

// Source returns where it came from.
func (a Apply) Source() Source { return a.source }

// Load brings the contents of a snapshot into force.
type Load struct{ snapshot Snapshot }

// Snapshot returns what to load.
func (l Load) Snapshot() Snapshot { return l.snapshot }

// Replace says that the store accepted another revision under a number that is in force here. The configuration is to be
// built anew from Log.
type Replace struct{ revision Revision }

// Revision returns the revision that the store accepted.
func (r Replace) Revision() Revision { return r.revision }

// Conflict reports that a source has another revision under a number that is in force here.
type Conflict struct {
	number uint64
	source Source
}

// Number returns the number of the revision.
func (c Conflict) Number() uint64 { return c.number }

// Source returns who has the other revision.
func (c Conflict) Source() Source { return c.source }

// Older reports that the store shows a lower revision than the one in force here.
type Older struct{ head, applied uint64 }

// Head returns the store's head revision.
func (o Older) Head() uint64 { return o.head }

// Applied returns the revision that was in force here when the store was asked.
func (o Older) Applied() uint64 { return o.applied }

// WriteBack restores revisions that the store lacks, each on the condition that its number is free.
type WriteBack struct{ revisions []Revision }

// Revisions returns the revisions in ascending order.
func (w WriteBack) Revisions() []Revision { return w.revisions }

func (Poll) action()          {}
func (Fetch) action()         {}
func (FetchSnapshot) action() {}
func (Apply) action()         {}
func (Load) action()          {}
func (Replace) action()       {}
func (Conflict) action()      {}
func (Older) action()         {}
func (WriteBack) action()     {}

// Spread is the state of one VM. It is not safe for concurrent use.
type Spread struct {
	vm, dc string
	poll   time.Duration
	start  time.Time

	applied uint64
	log     []Revision // consecutive, ends with applied
	actions []Action

	rank     int // place among the VMs of the data centre that poll, -1 for none
	live     []string
	heard    map[string]uint64 // revisions in force on other VMs
	polled   time.Time
	head     uint64 // of the store
	headSeen bool

	accepted  []Revision // accepted through this VM, not in force yet because of a gap, in ascending order
	fetch     *Fetch
	fetched   time.Time
	failed    map[Source]time.Time // sources that gave no answer lately
	verify    uint64               // ask the store for revisions from this number on; 0 for none
	older     bool
	olderFrom time.Time
	wrote     time.Time
	snapshot  time.Time // when the snapshot was asked for
	awaited   bool      // it is waited for instead of a replay of the log
	tried     bool
	reported  map[Conflict]bool
}

// New returns the state of a VM without configuration. Poll is the time between two reads of the store's head by a VM
// that polls; with the push between VMs it determines when a change is in force everywhere.
func New(vm, dataCentre string, poll time.Duration, now time.Time) *Spread {
	return &Spread{
		vm: vm, dc: dataCentre, poll: poll, start: now, rank: -1, heard: map[string]uint64{}, failed: map[Source]time.Time{},
		reported: map[Conflict]bool{},
	}
}

// Applied returns the number of the revision in force.
func (s *Spread) Applied() uint64 { return s.applied }

// Log returns the revisions that the VM keeps, in ascending order.
func (s *Spread) Log() []Revision { return slices.Clone(s.log) }

// After returns up to n kept revisions that follow a number. It returns false if they are no longer kept.
func (s *Spread) After(number uint64, n int) ([]Revision, bool) {
	if number >= s.applied {
		return nil, true
	}
	i, ok := s.index(number + 1)
	if !ok {
		return nil, false
	}
	return slices.Clone(s.log[i:min(i+n, len(s.log))]), true
}

// index returns the place of a revision in the log.
func (s *Spread) index(number uint64) (int, bool) {
	if len(s.log) == 0 || number < s.log[0].number || number > s.applied {
		return 0, false
	}
	return int(number - s.log[0].number), true
}

// Polls reports whether this VM polls the store.
func (s *Spread) Polls() bool { return s.rank >= 0 }

// Members takes the live VMs, which determine who polls and whom to ask.
func (s *Spread) Members(live owner.Live) {
	s.live = live.Live()
	s.rank = slices.Index(owner.Top("config/head", live.LiveIn(s.dc), pollers), s.vm)
	for vm := range s.heard {
		if !slices.Contains(s.live, vm) {
			delete(s.heard, vm)
		}
	}
}

// Heard takes the number of the revision in force on another VM.
func (s *Spread) Heard(vm string, number uint64) { s.heard[vm] = number }

// Newest returns the highest revision that is known to be in force on this VM or on another live one.
func (s *Spread) Newest() uint64 {
	newest := s.applied
	for _, n := range s.heard {
		newest = max(newest, n)
	}
	return newest
}

// Head takes the answer to a poll.
func (s *Spread) Head(now time.Time, p Poll, head uint64) {
	s.head, s.headSeen = head, true
	delete(s.failed, Store())
	// Revisions that arrived after the question are not missing in an answer that does not show them.
	if head >= p.applied {
		s.older = false
		return
	}
	if !s.older {
		s.older, s.olderFrom, s.wrote = true, now, time.Time{}
		s.actions = append(s.actions, Older{head, p.applied})
	}
}

// PollFailed says that a poll got no answer.
func (s *Spread) PollFailed(now time.Time) {
	s.failed[Store()] = now
	s.headSeen = false
}

// FetchFailed says that a fetch got no answer, or one without the revisions asked for.
func (s *Spread) FetchFailed(now time.Time, f Fetch) {
	s.failed[f.source] = now
	s.release(f.source)
}

func (s *Spread) release(source Source) {
	if s.fetch != nil && s.fetch.source == source {
		s.fetch = nil
	}
}

// Offer takes revisions that arrived. Lower ones and those after a gap are refused.
func (s *Spread) Offer(now time.Time, source Source, revisions []Revision) {
	s.release(source)
	before := s.applied
	for _, r := range revisions {
		switch {
		case r.number == s.applied+1:
			s.apply(r, source)
			s.applyAccepted()
		case r.number <= s.applied:
			s.compare(r, source)
		}
	}
	if source.IsStore() {
		s.verify = 0
		s.head = max(s.head, s.applied)
	}
	if s.applied == before && len(revisions) > 0 {
		s.failed[source] = now // it has nothing that follows
	} else {
		delete(s.failed, source)
	}
}

// Accepted takes a revision that the store has accepted from this VM. Without it, a store that goes down or back before a
// VM has read the revision would keep or lose an accepted change. One after a gap comes into force with the revision before
// it, which may arrive from another VM.
func (s *Spread) Accepted(r Revision) {
	if r.number > s.applied && len(s.accepted) < logSize {
		i, found := slices.BinarySearchFunc(s.accepted, r.number, func(a Revision, n uint64) int { return cmp.Compare(a.number, n) })
		if found {
			s.accepted[i] = r // after a restore of the store, the later one counts
		} else {
			s.accepted = slices.Insert(s.accepted, i, r)
		}
	}
	s.applyAccepted()
	s.head, s.headSeen = max(s.head, r.number), true
}

// applyAccepted brings the accepted revisions into force that follow without a gap, and forgets those that are in force.
func (s *Spread) applyAccepted() {
	for len(s.accepted) > 0 && s.accepted[0].number <= s.applied+1 {
		r := s.accepted[0]
		s.accepted = slices.Delete(s.accepted, 0, 1)
		if r.number == s.applied+1 {
			s.apply(r, Store())
		}
	}
}

func (s *Spread) apply(r Revision, source Source) {
	s.applied = r.number
	s.log = append(s.log, r)
	if len(s.log) > logSize {
		s.log = slices.Delete(s.log, 0, len(s.log)-logSize)
	}
	s.actions = append(s.actions, Apply{r, source})
}

// compare looks for another revision under a number that is in force. What the store accepted is the truth; another VM's
// revision is a reason to ask the store.
func (s *Spread) compare(r Revision, source Source) {
	i, ok := s.index(r.number)
	if !ok || bytes.Equal(s.log[i].body, r.body) {
		return
	}
	if c := (Conflict{r.number, source}); !s.reported[c] {
		s.reported[c] = true
		s.actions = append(s.actions, c)
	}
	if source.IsStore() {
		s.log[i] = r
		s.actions = append(s.actions, Replace{r})
		return
	}
	if s.verify == 0 || r.number < s.verify {
		s.verify = r.number
	}
}

// OfferSnapshot takes a snapshot. One that is not newer than the configuration in force is refused.
func (s *Spread) OfferSnapshot(source Source, snap Snapshot) {
	s.release(source)
	if source.IsStore() {
		s.awaited = false
	}
	if snap.number <= s.applied {
		return
	}
	s.applied, s.log = snap.number, slices.Clone(snap.log)
	s.actions = append(s.actions, Load{snap})
	if source.IsStore() && s.headSeen && s.head >= snap.number && len(snap.log) > 0 {
		s.verify = snap.number // the table may hold another revision under this number after it came back older
	}
	s.applyAccepted()
}

// SnapshotFailed says that the object store has no usable snapshot.
func (s *Spread) SnapshotFailed() { s.awaited = false }

// startFromSnapshot reports whether a VM without configuration waits for the snapshot. It asks for it once: after a year
// of 3,100 changes a day a replay of the log takes 11,300 requests, and a store that came back older may lack what the
// snapshot has.
func (s *Spread) startFromSnapshot(now time.Time) bool {
	if s.applied == 0 && s.headSeen && !s.tried {
		s.tried, s.awaited, s.snapshot = true, true, now
		s.actions = append(s.actions, FetchSnapshot{})
	}
	return s.awaited && now.Sub(s.snapshot) < snapshotTimeout
}

// Step returns what to do now. It must be called after each input, and every few hundred milliseconds.
func (s *Spread) Step(now time.Time) []Action {
	if (s.Polls() || s.applied == 0) && now.Sub(s.polled) >= s.poll {
		s.polled = now
		s.actions = append(s.actions, Poll{s.applied})
	}
	if s.fetch != nil && now.Sub(s.fetched) >= fetchTimeout {
		s.FetchFailed(now, *s.fetch)
	}
	if s.fetch == nil && !s.startFromSnapshot(now) {
		if f, ok := s.choose(now); ok {
			s.fetch, s.fetched = &f, now
			s.actions = append(s.actions, f)
		}
	}
	s.restore(now)
	if s.applied == 0 && !s.headSeen && len(s.heard) == 0 && now.Sub(s.start) >= snapshotAfter &&
		now.Sub(s.snapshot) >= snapshotAfter {
		s.snapshot = now
		s.actions = append(s.actions, FetchSnapshot{})
	}
	out := s.actions
	s.actions = nil
	return out
}

// choose returns the fetch to make. VMs that poll ask the store; the others spread over the VMs that have the revision.
func (s *Spread) choose(now time.Time) (Fetch, bool) {
	usable := func(src Source) bool {
		at, bad := s.failed[src]
		return !bad || now.Sub(at) >= fetchTimeout
	}
	if s.verify > 0 && usable(Store()) {
		return Fetch{Store(), s.verify - 1}, true
	}
	if s.headSeen && s.head > s.applied && usable(Store()) {
		return Fetch{Store(), s.applied}, true
	}
	var ahead []string
	for vm, n := range s.heard {
		if n > s.applied && usable(VM(vm)) {
			ahead = append(ahead, vm)
		}
	}
	if vm, ok := owner.First(s.vm, ahead); ok {
		return Fetch{VM(vm), s.applied}, true
	}
	return Fetch{}, false
}

// restore writes back what the store has lost. The VMs that poll take turns, so that usually one of them does it.
func (s *Spread) restore(now time.Time) {
	if !s.older || !s.Polls() || now.Sub(s.wrote) < writeBackEvery ||
		now.Sub(s.olderFrom) < time.Duration(s.rank)*writeBackEvery {
		return
	}
	if revs, ok := s.After(s.head, logSize); ok && len(revs) > 0 {
		s.wrote = now
		s.actions = append(s.actions, WriteBack{revs})
	}
}
