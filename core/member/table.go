// Package member keeps track of the VMs: which are live, leaving, suspect or dead.
//
// A Table is pure state driven by the time that its callers pass in. Each VM exchanges heartbeats with partners in its
// own data centre and with a few contacts in each other one, and passes on changed records. Direct evidence (a message
// from the VM itself, a refused connection, silence of a partner) counts more than second-hand reports. A VM that learns
// that others suspect it raises its incarnation number, which overrides the suspicion.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenagate/core/owner"
	"verbenagate/core/port"

	"github.com/cespare/xxhash/v2"
)

// Config describes the own VM.
type Config struct {
	ID         string
	DataCentre string
	Addr       string
	// Incarnation must be higher than in earlier lives of the VM; a clock reading in milliseconds serves.
	Incarnation uint64
}

// Event is a change of the state that this VM assumes for a member.
type Event struct {
	id       string
	old, new State
}

// ID returns the id of the VM.
func (e Event) ID() string { return e.id }

// Old returns the state before the change, 0 for a VM that was not known.
func (e Event) Old() State { return e.old }

// New returns the state after the change, 0 for a VM that was forgotten.
func (e Event) New() State { return e.new }

// Beat is a heartbeat that is due.
type Beat struct {
	id    string
	probe bool
}

// ID returns the id of the VM that the heartbeat goes to.
func (b Beat) ID() string { return b.id }

// Probe says that the heartbeat asks for an immediate acknowledgement.
func (b Beat) Probe() bool { return b.probe }

type entry struct {
	record Record
	known  time.Time // when the entry was made
	heard  time.Time // last direct evidence of life; zero if there was none
	// heardOf is the incarnation that the last direct evidence came from, and said is the state that it stated.
	heardOf uint64
	said    State
	fresh   bool // the direct evidence is recent
	cut     bool // silent as a contact, or refused a connection, since it was last heard
	refused bool
	listed  time.Time // last time that the platform's list named the VM
	// leaving says that the platform's list has the VM as leaving. It applies to the incarnation leavingOf alone, since the
	// list lags behind a restart.
	leaving   bool
	leavingOf uint64

	contact  bool
	since    time.Time // start of the present silence as a contact
	lastBeat time.Time
	stateAt  time.Time // last change of state or record
	state    State     // as in the current view
	changed  uint64    // value of Table.changes at the last change of record
	sent     uint64    // value of Table.changes up to which the VM was told of changes
	differs  time.Time // start of the time during which its digest has differed; zero if it did not
}

// Table holds the members. It is not safe for concurrent use.
type Table struct {
	self     *entry
	entries  map[string]*entry
	start    time.Time
	lastTick time.Time
	changes  uint64
	timing   Timing
	// heardDC is the last direct evidence from any VM of another data centre.
	heardDC map[string]time.Time
	lost    map[string]bool // data centres without recent direct evidence
	seeded  bool
	reprobe string // id that was probed last among the VMs thought dead
	nextTry time.Time
	synced  time.Time // last exchange of digests that this VM began
	dirty   bool
	view    View
	events  []Event
}

// New returns a table that knows only the own VM.
func New(cfg Config, now time.Time) *Table {
	t := &Table{
		entries: map[string]*entry{}, start: now, lastTick: now,
		heardDC: map[string]time.Time{}, lost: map[string]bool{}, dirty: true,
	}
	t.self = t.add(now, Record{cfg.ID, cfg.DataCentre, cfg.Addr, max(cfg.Incarnation, 1), Live})
	t.refresh(now)
	return t
}

func (t *Table) add(now time.Time, r Record) *entry {
	e := &entry{record: r, known: now, stateAt: now, since: now}
	t.entries[r.ID] = e
	if _, ok := t.heardDC[r.DataCentre]; !ok {
		t.heardDC[r.DataCentre] = now
	}
	t.touch(now, e)
	return e
}

// touch notes that the record of e has changed and is to be passed on.
func (t *Table) touch(now time.Time, e *entry) {
	t.changes++
	e.changed = t.changes
	e.stateAt = now
	t.dirty = true
}

func (t *Table) set(now time.Time, e *entry, incarnation uint64, s State) {
	if e.record.Incarnation == incarnation && e.record.State == s {
		return
	}
	e.record.Incarnation, e.record.State = incarnation, s
	t.touch(now, e)
}

// Self returns the own record.
func (t *Table) Self() Record { return t.self.record }

// Leave marks the own VM as leaving.
func (t *Table) Leave(now time.Time) {
	if t.self.record.State == Live {
		t.set(now, t.self, t.self.record.Incarnation, Leaving)
		t.refresh(now)
	}
}

// Seed takes the platform's list, which lags: it adds VMs that are not known and marks leaving ones, and removes none.
func (t *Table) Seed(now time.Time, list []port.VM) {
	t.seeded = true
	for _, vm := range list {
		if vm.ID == t.self.record.ID {
			if vm.Leaving {
				t.Leave(now)
			}
			continue
		}
		e := t.entries[vm.ID]
		if e == nil {
			e = t.add(now, Record{vm.ID, vm.DataCentre, vm.PeerAddr, 0, Live})
		}
		e.listed = now
		if e.record.Addr != vm.PeerAddr && (e.record.Incarnation == 0 || e.state == Dead) {
			e.record.Addr = vm.PeerAddr // the VM came back elsewhere and cannot tell
			t.dirty = true
		}
		if e.leaving == vm.Leaving {
			continue
		}
		e.leaving, e.leavingOf = vm.Leaving, e.record.Incarnation
		t.dirty = true
		if vm.Leaving && e.record.State == Live {
			t.set(now, e, e.record.Incarnation, Leaving)
		}
	}
	t.refresh(now)
}

// Hello takes direct evidence of a VM that introduces itself on a new connection.
func (t *Table) Hello(now time.Time, r Record) (correct bool) {
	if r.ID == t.self.record.ID {
		return false
	}
	e := t.entries[r.ID]
	if e == nil {
		e = t.add(now, r)
	} else if r.Incarnation > e.record.Incarnation {
		e.record.DataCentre, e.record.Addr = r.DataCentre, r.Addr
	}
	return t.Heard(now, r.ID, r.Incarnation, r.State)
}

// Heard takes direct evidence: a heartbeat or an acknowledgement that the VM sent. The result says that the VM should be
// told the record that Record returns, because others suspect it or know a later incarnation.
func (t *Table) Heard(now time.Time, id string, incarnation uint64, said State) (correct bool) {
	e := t.entries[id]
	if e == nil || e == t.self {
		return false
	}
	if incarnation < e.record.Incarnation {
		return true
	}
	if t.lost[e.record.DataCentre] {
		t.regain(now, e.record.DataCentre)
	}
	t.heardDC[e.record.DataCentre] = now
	if incarnation > e.record.Incarnation {
		t.set(now, e, incarnation, said)
	} else if said == Leaving && e.record.State == Live || said == Dead {
		t.set(now, e, incarnation, said)
	}
	if !e.fresh || e.cut || e.said != said {
		t.dirty = true
	}
	if !e.fresh && !e.contact {
		e.sent, e.differs = t.changes, time.Time{}
	}
	e.heard, e.since, e.heardOf, e.said = now, now, incarnation, said
	e.fresh, e.cut, e.refused = true, false, false
	t.refresh(now)
	return e.record.State > said
}

// regain gives the VMs of a data centre that was out of reach another chance.
func (t *Table) regain(now time.Time, dc string) {
	for _, e := range t.entries {
		if e.record.DataCentre == dc && e.cut {
			e.cut, e.refused, e.since = false, false, now
		}
	}
	delete(t.lost, dc)
	t.dirty = true
}

// Refused takes direct evidence: the VM's address refused a connection.
func (t *Table) Refused(now time.Time, id string) {
	e := t.entries[id]
	if e == nil || e == t.self {
		return
	}
	e.cut, e.refused, e.fresh = true, true, false
	t.dirty = true
	if t.local(e) {
		t.set(now, e, e.record.Incarnation, Dead)
	}
	t.refresh(now)
}

// Hear takes records from another VM and returns the records that are newer here, for the answer. Records of a whole
// data centre (bulk) are not passed on one by one, because most VMs know them already.
func (t *Table) Hear(now time.Time, records []Record, bulk bool) (newer []Record) {
	if changes := t.changes; bulk {
		defer func() { t.skip(changes) }()
	}
	for _, r := range records {
		e := t.entries[r.ID]
		switch {
		case r.ID == "" || r.State < Live || r.State > Dead:
		case e == t.self:
			t.refute(now, r)
		case e == nil:
			if r.State != Dead {
				t.add(now, r)
			}
		case r.overrides(e.record):
			t.adopt(now, e, r)
		case e.record != r:
			newer = append(newer, e.record)
		}
	}
	t.refresh(now)
	return newer
}

// skip keeps the changes after a point from being passed on.
func (t *Table) skip(after uint64) {
	for _, e := range t.entries {
		if e != t.self && e.changed > after {
			e.changed = 0
		}
	}
}

// refute raises the own incarnation if another VM has wrong knowledge of this one.
func (t *Table) refute(now time.Time, r Record) {
	own := t.self.record
	if r.Incarnation == own.Incarnation && r.State == Leaving {
		t.set(now, t.self, own.Incarnation, Leaving) // the platform's list says so
		return
	}
	if r.overrides(own) && (r.Incarnation > own.Incarnation || r.State != own.State) {
		t.set(now, t.self, max(r.Incarnation, own.Incarnation)+1, own.State)
	}
}

func (t *Table) adopt(now time.Time, e *entry, r Record) {
	if r.Incarnation > e.record.Incarnation {
		// The VM was alive after this one lost it, so its silence is counted anew.
		e.cut, e.refused, e.since = false, false, now
		e.record.DataCentre, e.record.Addr = r.DataCentre, r.Addr
	}
	t.set(now, e, r.Incarnation, r.State)
}

func (t *Table) local(e *entry) bool { return e.record.DataCentre == t.self.record.DataCentre }

// Tick moves the state on to now. It must be called a few times in each heartbeat interval.
func (t *Table) Tick(now time.Time) {
	// A gap between two ticks means that this VM itself was paused: the others' silence during that time says nothing.
	if gap := now.Sub(t.lastTick); gap > maxTickGap {
		for _, e := range t.entries {
			e.since = earlier(now, e.since.Add(gap))
			if !e.heard.IsZero() {
				e.heard = earlier(now, e.heard.Add(gap))
			}
		}
		for dc, at := range t.heardDC {
			t.heardDC[dc] = earlier(now, at.Add(gap))
		}
	}
	t.lastTick = now
	for _, e := range t.entries {
		if e != t.self {
			t.age(now, e)
		}
	}
	for dc, at := range t.heardDC {
		if lost := dc != t.self.record.DataCentre && now.Sub(at) >= t.timing.farLost; lost && !t.lost[dc] {
			t.lost[dc] = true
			t.dirty = true
		}
	}
	if !t.view.settled && t.settled(now) {
		t.dirty = true
	}
	t.refresh(now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// age applies the passage of time to one member.
func (t *Table) age(now time.Time, e *entry) {
	suspectAfter, deadAfter := t.timing.limits(t.local(e))
	silent := now.Sub(e.since)
	if e.fresh && now.Sub(e.heard) >= suspectAfter {
		e.fresh = false
		t.dirty = true
	}
	if e.contact && silent >= suspectAfter {
		if !e.cut {
			e.cut = true
			t.dirty = true
		}
		t.claim(now, e, silent, suspectAfter, deadAfter)
		if silent >= deadAfter && e.state != Dead {
			t.dirty = true
		}
	}
	// The VM that claimed the suspicion may have died before it could say more.
	if e.record.State == Suspect && now.Sub(e.stateAt) >= 2*deadAfter && t.local(e) && !e.fresh {
		t.set(now, e, e.record.Incarnation, Dead)
	}
	if t.forgettable(now, e) {
		delete(t.entries, e.record.ID)
		t.events = append(t.events, Event{e.record.ID, e.state, 0})
		t.dirty = true
	}
}

// claim tells the others of a silent member. Only VMs of the member's own data centre do, and one that never heard from
// this incarnation waits longer, because a path that is broken only between the two is the likelier reason.
func (t *Table) claim(now time.Time, e *entry, silent, suspectAfter, deadAfter time.Duration) {
	if !t.local(e) {
		return
	}
	if e.record.Incarnation > 0 && e.heardOf != e.record.Incarnation {
		suspectAfter, deadAfter = strangerFactor*suspectAfter, strangerFactor*deadAfter
	}
	if silent >= suspectAfter && e.record.State < Suspect {
		t.set(now, e, e.record.Incarnation, Suspect)
	}
	if silent >= deadAfter && e.record.State < Dead {
		t.set(now, e, e.record.Incarnation, Dead)
	}
}

func (t *Table) forgettable(now time.Time, e *entry) bool {
	if now.Sub(e.stateAt) < forgetAfter || now.Sub(e.listed) < forgetAfter && e.record.State != Dead {
		return false
	}
	return e.state == Dead || t.lost[e.record.DataCentre] && now.Sub(e.since) >= forgetAfter
}

func (t *Table) settled(now time.Time) bool {
	suspectAfter, _ := t.timing.limits(true)
	if now.Sub(t.start) >= suspectAfter {
		return true
	}
	if !t.seeded {
		return false
	}
	for _, e := range t.entries {
		if e != t.self && t.local(e) && e.heard.IsZero() && !e.refused && e.record.State != Dead {
			return false
		}
	}
	return true
}

// assumed returns the state that this VM assumes for a member.
func (t *Table) assumed(now time.Time, e *entry) State {
	_, deadAfter := t.timing.limits(t.local(e))
	switch {
	case e == t.self:
		return e.record.State
	case e.fresh && e.heardOf == e.record.Incarnation:
		return t.marked(e, e.said)
	case e.cut && (e.refused || now.Sub(e.since) >= deadAfter):
		return Dead
	case e.cut, e.record.Incarnation == 0, t.lost[e.record.DataCentre]:
		return max(e.record.State, Suspect)
	}
	return t.marked(e, e.record.State)
}

// marked applies the mark of the platform's list.
func (t *Table) marked(e *entry, s State) State {
	if e.leaving && e.leavingOf == e.record.Incarnation {
		return max(s, Leaving)
	}
	return s
}

// refresh makes a new view, and chooses partners and contacts, if something has changed.
func (t *Table) refresh(now time.Time) {
	if !t.dirty {
		return
	}
	t.dirty = false
	v := View{
		self: t.self.record.ID, version: t.view.version + 1, settled: t.view.settled || t.settled(now),
		index: make(map[string]int, len(t.entries)), liveIn: map[string][]string{}, reach: map[string]bool{},
	}
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[id]
		s := t.assumed(now, e)
		if s != e.state {
			t.events = append(t.events, Event{id, e.state, s})
			e.state, e.stateAt = s, now
		}
		v.index[id] = len(v.members)
		v.members = append(v.members, Member{e.record, s})
		if s == Live {
			v.live = append(v.live, id)
			v.liveIn[e.record.DataCentre] = append(v.liveIn[e.record.DataCentre], id)
		}
		v.reach[e.record.DataCentre] = !t.lost[e.record.DataCentre]
		v.digest ^= e.record.hash()
	}
	t.view = v
	t.choose(now)
}

// choose sets the partners and contacts, and the timing that follows from their number.
func (t *Table) choose(now time.Time) {
	own := []string{t.self.record.ID}
	far := map[string][]string{}
	chosen := map[string]bool{}
	for id, e := range t.entries {
		dc := e.record.DataCentre
		switch {
		case e == t.self || e.state == Dead:
		case t.local(e):
			own = append(own, id)
		case e.cut:
			chosen[id] = e.contact // until it counts as dead
		default:
			far[dc] = append(far[dc], id)
		}
	}
	partners := ring(own, t.self.record.ID)
	t.timing = timing(len(partners), len(t.view.reach)-1)
	for _, id := range partners {
		chosen[id] = true
	}
	for _, ids := range far {
		for _, id := range owner.Top(t.self.record.ID, ids, t.timing.fan) {
			chosen[id] = true
		}
	}
	for id, e := range t.entries {
		if c := chosen[id]; c != e.contact {
			e.contact = c
			if c {
				e.since, e.lastBeat = now, time.Time{}
				e.sent, e.differs = t.changes, time.Time{}
			}
		}
	}
}

// ring returns the neighbours of self when all ids are placed on a circle by hash, so that partnership is mutual.
func ring(ids []string, self string) []string {
	if len(ids)-1 <= maxPartners {
		return slices.DeleteFunc(ids, func(id string) bool { return id == self })
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	at := slices.Index(ids, self)
	var out []string
	for d := 1; d <= maxPartners/2; d++ {
		out = append(out, ids[(at+d)%len(ids)], ids[(at-d+len(ids))%len(ids)])
	}
	return out
}

// Due returns the heartbeats to send now.
func (t *Table) Due(now time.Time) []Beat {
	var out []Beat
	var lost []string
	for id, e := range t.entries {
		switch {
		case e.contact:
			if period, probe := t.timing.period(t.local(e), now.Sub(e.since)); now.Sub(e.lastBeat) >= period {
				out = append(out, Beat{id, probe})
				e.lastBeat = now
			}
		case e != t.self && e.state >= Suspect:
			lost = append(lost, id)
		}
	}
	// VMs thought dead are tried in turn, so that both sides of a healed partition find each other again.
	if len(lost) > 0 && !now.Before(t.nextTry) {
		t.nextTry = now.Add(reprobeEvery)
		slices.Sort(lost)
		i, found := slices.BinarySearch(lost, t.reprobe)
		if found {
			i++
		}
		t.reprobe = lost[i%len(lost)]
		out = append(out, Beat{t.reprobe, true})
	}
	slices.SortFunc(out, func(a, b Beat) int { return cmp.Compare(a.id, b.id) })
	return out
}

// IsContact reports whether this VM exchanges heartbeats with the VM, so that its connection is to be kept.
func (t *Table) IsContact(id string) bool {
	e := t.entries[id]
	return e != nil && e.contact
}

// Timing returns the intervals in force.
func (t *Table) Timing() Timing { return t.timing }

// View returns the current snapshot.
func (t *Table) View() View { return t.view }

// Record returns the record of one VM.
func (t *Table) Record(id string) (Record, bool) {
	e := t.entries[id]
	if e == nil {
		return Record{}, false
	}
	return e.record, true
}

// Events returns the changes of state since the last call.
func (t *Table) Events() []Event {
	out := t.events
	t.events = nil
	return out
}

// Changes returns a number that grows with each change that Pending passes on.
func (t *Table) Changes() uint64 { return t.changes }

// Pending returns up to n changed records that the VM has not been told of. Only partners, contacts and VMs that have
// chosen this one as a contact are told.
func (t *Table) Pending(id string, n int) []Record {
	e := t.entries[id]
	if e == nil || !e.contact && !e.fresh || e.sent >= t.changes {
		return nil
	}
	var changed []*entry
	for _, o := range t.entries {
		if o.changed > e.sent && o != e {
			changed = append(changed, o)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changed, b.changed) })
	e.sent = t.changes
	if len(changed) > n {
		changed = changed[:n]
		e.sent = changed[n-1].changed
	}
	out := make([]Record, len(changed))
	for i, o := range changed {
		out[i] = o.record
	}
	return out
}

// Compare takes the digest that a VM sent and reports whether to send it Digests in return. Digests that differ for a
// moment only are left to the passing on of changes, and one VM is asked at a time, as its answer may settle the rest.
func (t *Table) Compare(now time.Time, id string, digest uint64) bool {
	e := t.entries[id]
	if e == nil {
		return false
	}
	if digest == t.view.digest {
		e.differs = time.Time{}
		return false
	}
	first := t.synced.IsZero()
	if e.differs.IsZero() {
		e.differs = now
	}
	if !first && (now.Sub(e.differs) < syncAfter || now.Sub(t.synced) < syncEvery) {
		return false
	}
	t.synced = now
	return true
}

// Digests returns a digest for each data centre, for VMs whose views differ.
func (t *Table) Digests() map[string]uint64 {
	out := map[string]uint64{}
	for _, e := range t.entries {
		out[e.record.DataCentre] ^= e.record.hash()
	}
	return out
}

// Differing returns the records of the data centres whose digest differs from the given one.
func (t *Table) Differing(digests map[string]uint64) []Record {
	own := t.Digests()
	var out []Record
	for _, m := range t.view.members {
		dc := m.DataCentre()
		if d, ok := digests[dc]; m.record.State != Dead && (!ok || d != own[dc]) {
			out = append(out, m.record)
		}
	}
	return out
}
