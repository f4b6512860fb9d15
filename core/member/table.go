// Package member tracks the membership of the VMs: which are live, leaving, suspect or dead.
//
// A Table does no I/O and reads no clock; its callers pass in the time. Each VM exchanges heartbeats with its heartbeat peers,
// which are partners in its own data centre and a few contacts in each other one, and passes on changed records. Direct
// evidence (a message from the VM itself, a refused connection, silence of a heartbeat peer) takes precedence over reports
// from other VMs. A VM that learns that others suspect it raises its incarnation number, which overrides the suspicion.
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

// Config describes the VM that owns the table.
type Config struct {
	ID         string
	DataCentre string
	Addr       string
	// Incarnation must be higher than at earlier starts of the VM; the clock in milliseconds is suitable.
	Incarnation uint64
}

// Event is a change of the state that this VM assumes for another VM or for itself.
type Event struct {
	id       string
	old, new State
}

// ID returns the id of the VM.
func (e Event) ID() string { return e.id }

// Old returns the state before the change, or 0 if the VM was not known.
func (e Event) Old() State { return e.old }

// New returns the state after the change, or 0 if the VM was forgotten.
func (e Event) New() State { return e.new }

// Heartbeat is a heartbeat that is due for sending.
type Heartbeat struct {
	id    string
	probe bool
}

// ID returns the id of the VM to send the heartbeat to.
func (b Heartbeat) ID() string { return b.id }

// Probe reports whether the heartbeat asks for an immediate acknowledgement.
func (b Heartbeat) Probe() bool { return b.probe }

type entry struct {
	record    Record
	createdAt time.Time
	lastHeard time.Time // last message from the VM; zero if there was none
	// heardIncarnation is the incarnation that sent the last message, and reportedState is the state that it reported.
	heardIncarnation  uint64
	reportedState     State
	recentlyHeard     bool // lastHeard is recent, and no connection was refused since
	unreachable       bool // silent as a heartbeat peer, or refused a connection, since it was last heard
	connectionRefused bool
	lastListed        time.Time // last time that the platform's list named the VM
	// listedLeaving says that the platform's list has the VM as leaving. It applies to listedLeavingIncarnation alone, since
	// the list lags behind a restart.
	listedLeaving            bool
	listedLeavingIncarnation uint64

	heartbeatPeer      bool      // this VM sends it heartbeats, as a partner or a contact
	silentSince        time.Time // start of its present silence as a heartbeat peer
	lastHeartbeat      time.Time // last heartbeat sent to it
	changedAt          time.Time // last change of state or record
	state              State     // as in the current view
	changeNumber       uint64    // value of Table.changeCount at the last change of record; 0 if it is not to be passed on
	sentUpTo           uint64    // value of Table.changeCount up to which changes were sent to the VM
	digestDiffersSince time.Time // start of the present digest mismatch; zero if there is none
}

// Table holds the members as this VM sees them. It is not safe for concurrent use.
type Table struct {
	self        *entry
	entries     map[string]*entry
	start       time.Time
	lastTick    time.Time
	changeCount uint64
	timing      Timing
	// lastHeardByDC holds the time of the last message from any VM of a data centre. It starts with the time at which the
	// data centre became known.
	lastHeardByDC  map[string]time.Time
	unreachableDCs map[string]bool // other data centres without a recent message
	seeded         bool            // the platform's list has been received
	lastReprobed   string          // id of the last probed VM among those considered suspect or dead
	nextReprobe    time.Time
	lastDigestSync time.Time // last exchange of digests that this VM began
	dirty          bool      // the view is out of date
	view           View
	events         []Event
}

// New returns a table that knows only the VM that owns it.
func New(cfg Config, now time.Time) *Table {
	t := &Table{
		entries: map[string]*entry{}, start: now, lastTick: now,
		lastHeardByDC: map[string]time.Time{}, unreachableDCs: map[string]bool{}, dirty: true,
	}
	t.self = t.add(now, Record{cfg.ID, cfg.DataCentre, cfg.Addr, max(cfg.Incarnation, 1), Live})
	t.refreshView(now)
	return t
}

func (t *Table) add(now time.Time, r Record) *entry {
	e := &entry{record: r, createdAt: now, changedAt: now, silentSince: now}
	t.entries[r.ID] = e
	if _, ok := t.lastHeardByDC[r.DataCentre]; !ok {
		t.lastHeardByDC[r.DataCentre] = now
	}
	t.markChanged(now, e)
	return e
}

// markChanged records that the record of e has changed and must be passed on.
func (t *Table) markChanged(now time.Time, e *entry) {
	t.changeCount++
	e.changeNumber = t.changeCount
	e.changedAt = now
	t.dirty = true
}

func (t *Table) setState(now time.Time, e *entry, incarnation uint64, s State) {
	if e.record.Incarnation == incarnation && e.record.State == s {
		return
	}
	e.record.Incarnation, e.record.State = incarnation, s
	t.markChanged(now, e)
}

// Self returns the record of the VM that owns the table.
func (t *Table) Self() Record { return t.self.record }

// Leave marks the VM that owns the table as leaving.
func (t *Table) Leave(now time.Time) {
	if t.self.record.State == Live {
		t.setState(now, t.self, t.self.record.Incarnation, Leaving)
		t.refreshView(now)
	}
}

// Seed applies the platform's list. Because the list lags, Seed adds unknown VMs and marks leaving ones but removes none.
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
		e.lastListed = now
		if e.record.Addr != vm.PeerAddr && (e.record.Incarnation == 0 || e.state == Dead) {
			e.record.Addr = vm.PeerAddr // the VM restarted at another address and cannot announce it
			t.dirty = true
		}
		if e.listedLeaving == vm.Leaving {
			continue
		}
		e.listedLeaving, e.listedLeavingIncarnation = vm.Leaving, e.record.Incarnation
		t.dirty = true
		if vm.Leaving && e.record.State == Live {
			t.setState(now, e, e.record.Incarnation, Leaving)
		}
	}
	t.refreshView(now)
}

// ObserveHello applies the record with which a VM introduces itself on a new connection, as direct evidence. The result is
// that of ObserveHeartbeat.
func (t *Table) ObserveHello(now time.Time, r Record) (sendRecord bool) {
	if r.ID == t.self.record.ID {
		return false
	}
	e := t.entries[r.ID]
	if e == nil {
		e = t.add(now, r)
	} else if r.Incarnation > e.record.Incarnation {
		e.record.DataCentre, e.record.Addr = r.DataCentre, r.Addr
	}
	return t.ObserveHeartbeat(now, r.ID, r.Incarnation, r.State)
}

// ObserveHeartbeat applies a heartbeat or an acknowledgement from the VM itself, which is direct evidence. The result
// sendRecord says that the caller should send the VM the record that Record returns, because others suspect the VM or have
// seen a later incarnation.
func (t *Table) ObserveHeartbeat(now time.Time, id string, incarnation uint64, said State) (sendRecord bool) {
	e := t.entries[id]
	if e == nil || e == t.self {
		return false
	}
	if incarnation < e.record.Incarnation {
		return true
	}
	if t.unreachableDCs[e.record.DataCentre] {
		t.markReachable(now, e.record.DataCentre)
	}
	t.lastHeardByDC[e.record.DataCentre] = now
	if incarnation > e.record.Incarnation {
		t.setState(now, e, incarnation, said)
	} else if said == Leaving && e.record.State == Live || said == Dead {
		t.setState(now, e, incarnation, said)
	}
	if !e.recentlyHeard || e.unreachable || e.reportedState != said {
		t.dirty = true
	}
	if !e.recentlyHeard && !e.heartbeatPeer {
		e.sentUpTo, e.digestDiffersSince = t.changeCount, time.Time{}
	}
	e.lastHeard, e.silentSince, e.heardIncarnation, e.reportedState = now, now, incarnation, said
	e.recentlyHeard, e.unreachable, e.connectionRefused = true, false, false
	t.refreshView(now)
	return e.record.State > said
}

// markReachable resets the VMs of a data centre that was unreachable, so that their silence is measured from now.
func (t *Table) markReachable(now time.Time, dc string) {
	for _, e := range t.entries {
		if e.record.DataCentre == dc && e.unreachable {
			e.unreachable, e.connectionRefused, e.silentSince = false, false, now
		}
	}
	delete(t.unreachableDCs, dc)
	t.dirty = true
}

// ObserveRefusedConnection applies direct evidence: the VM's address refused a connection.
func (t *Table) ObserveRefusedConnection(now time.Time, id string) {
	e := t.entries[id]
	if e == nil || e == t.self {
		return
	}
	e.unreachable, e.connectionRefused, e.recentlyHeard = true, true, false
	t.dirty = true
	if t.isLocal(e) {
		t.setState(now, e, e.record.Incarnation, Dead)
	}
	t.refreshView(now)
}

// MergeRecords merges records from another VM and returns the records that are newer in this table, for the answer. If bulk
// is set, the records are those of whole data centres, and changes are not passed on one by one, because most VMs have them
// already.
func (t *Table) MergeRecords(now time.Time, records []Record, bulk bool) (newer []Record) {
	if changes := t.changeCount; bulk {
		defer func() { t.suppressChangesAfter(changes) }()
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
			t.adoptRecord(now, e, r)
		case e.record != r:
			newer = append(newer, e.record)
		}
	}
	t.refreshView(now)
	return newer
}

// suppressChangesAfter keeps the changes after the given change number from being passed on.
func (t *Table) suppressChangesAfter(after uint64) {
	for _, e := range t.entries {
		if e != t.self && e.changeNumber > after {
			e.changeNumber = 0
		}
	}
}

// refute raises the own incarnation if r, another VM's record of this VM, is wrong.
func (t *Table) refute(now time.Time, r Record) {
	own := t.self.record
	if r.Incarnation == own.Incarnation && r.State == Leaving {
		t.setState(now, t.self, own.Incarnation, Leaving) // the platform's list has this VM as leaving
		return
	}
	if r.overrides(own) && (r.Incarnation > own.Incarnation || r.State != own.State) {
		t.setState(now, t.self, max(r.Incarnation, own.Incarnation)+1, own.State)
	}
}

func (t *Table) adoptRecord(now time.Time, e *entry, r Record) {
	if r.Incarnation > e.record.Incarnation {
		// The VM was alive after it became unreachable from here, so its silence is measured from now.
		e.unreachable, e.connectionRefused, e.silentSince = false, false, now
		e.record.DataCentre, e.record.Addr = r.DataCentre, r.Addr
	}
	t.setState(now, e, r.Incarnation, r.State)
}

func (t *Table) isLocal(e *entry) bool { return e.record.DataCentre == t.self.record.DataCentre }

// Tick applies the passage of time up to now: it detects silent members and forgets old ones. It must be called a few times
// in each heartbeat interval.
func (t *Table) Tick(now time.Time) {
	// A long gap between two ticks means that this VM was paused, so the silence of the others in that time is no evidence.
	if gap := now.Sub(t.lastTick); gap > maxTickGap {
		for _, e := range t.entries {
			e.silentSince = earlier(now, e.silentSince.Add(gap))
			if !e.lastHeard.IsZero() {
				e.lastHeard = earlier(now, e.lastHeard.Add(gap))
			}
		}
		for dc, at := range t.lastHeardByDC {
			t.lastHeardByDC[dc] = earlier(now, at.Add(gap))
		}
	}
	t.lastTick = now
	for _, e := range t.entries {
		if e != t.self {
			t.advanceEntry(now, e)
		}
	}
	for dc, at := range t.lastHeardByDC {
		if silent := dc != t.self.record.DataCentre && now.Sub(at) >= t.timing.unreachableAfter; silent && !t.unreachableDCs[dc] {
			t.unreachableDCs[dc] = true
			t.dirty = true
		}
	}
	if !t.view.discoveryDone && t.discoveryDone(now) {
		t.dirty = true
	}
	t.refreshView(now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// advanceEntry applies the passage of time to one member.
func (t *Table) advanceEntry(now time.Time, e *entry) {
	suspectAfter, deadAfter := t.timing.failureTimeouts(t.isLocal(e))
	silent := now.Sub(e.silentSince)
	if e.recentlyHeard && now.Sub(e.lastHeard) >= suspectAfter {
		e.recentlyHeard = false
		t.dirty = true
	}
	if e.heartbeatPeer && silent >= suspectAfter {
		if !e.unreachable {
			e.unreachable = true
			t.dirty = true
		}
		t.reportSilent(now, e, silent, suspectAfter, deadAfter)
		if silent >= deadAfter && e.state != Dead {
			t.dirty = true
		}
	}
	// The VM that reported the suspicion may have died before it could report the VM as dead.
	if e.record.State == Suspect && now.Sub(e.changedAt) >= 2*deadAfter && t.isLocal(e) && !e.recentlyHeard {
		t.setState(now, e, e.record.Incarnation, Dead)
	}
	if t.canForget(now, e) {
		delete(t.entries, e.record.ID)
		t.events = append(t.events, Event{e.record.ID, e.state, 0})
		t.dirty = true
	}
}

// reportSilent marks the record of a silent member as suspect or dead, which is passed on to the others. Only VMs of the
// member's own data centre do so. A VM that never heard from the member's incarnation waits longer, because a broken path
// between the two VMs is then the more likely cause.
func (t *Table) reportSilent(now time.Time, e *entry, silent, suspectAfter, deadAfter time.Duration) {
	if !t.isLocal(e) {
		return
	}
	if e.record.Incarnation > 0 && e.heardIncarnation != e.record.Incarnation {
		suspectAfter, deadAfter = neverHeardFactor*suspectAfter, neverHeardFactor*deadAfter
	}
	if silent >= suspectAfter && e.record.State < Suspect {
		t.setState(now, e, e.record.Incarnation, Suspect)
	}
	if silent >= deadAfter && e.record.State < Dead {
		t.setState(now, e, e.record.Incarnation, Dead)
	}
}

func (t *Table) canForget(now time.Time, e *entry) bool {
	if now.Sub(e.changedAt) < forgetAfter || now.Sub(e.lastListed) < forgetAfter && e.record.State != Dead {
		return false
	}
	return e.state == Dead || t.unreachableDCs[e.record.DataCentre] && now.Sub(e.silentSince) >= forgetAfter
}

func (t *Table) discoveryDone(now time.Time) bool {
	suspectAfter, _ := t.timing.failureTimeouts(true)
	if now.Sub(t.start) >= suspectAfter {
		return true
	}
	if !t.seeded {
		return false
	}
	for _, e := range t.entries {
		if e != t.self && t.isLocal(e) && e.lastHeard.IsZero() && !e.connectionRefused && e.record.State != Dead {
			return false
		}
	}
	return true
}

// assumedState returns the state that this VM assumes for a member.
func (t *Table) assumedState(now time.Time, e *entry) State {
	_, deadAfter := t.timing.failureTimeouts(t.isLocal(e))
	switch {
	case e == t.self:
		return e.record.State
	case e.recentlyHeard && e.heardIncarnation == e.record.Incarnation:
		return t.withListedLeaving(e, e.reportedState)
	case e.unreachable && (e.connectionRefused || now.Sub(e.silentSince) >= deadAfter):
		return Dead
	case e.unreachable, e.record.Incarnation == 0, t.unreachableDCs[e.record.DataCentre]:
		return max(e.record.State, Suspect)
	}
	return t.withListedLeaving(e, e.record.State)
}

// withListedLeaving returns the greater of s and Leaving if the platform's list has this incarnation as leaving, else s.
func (t *Table) withListedLeaving(e *entry, s State) State {
	if e.listedLeaving && e.listedLeavingIncarnation == e.record.Incarnation {
		return max(s, Leaving)
	}
	return s
}

// refreshView builds a new view and chooses the heartbeat peers if something has changed.
func (t *Table) refreshView(now time.Time) {
	if !t.dirty {
		return
	}
	t.dirty = false
	v := View{
		self: t.self.record.ID, version: t.view.version + 1, discoveryDone: t.view.discoveryDone || t.discoveryDone(now),
		index: make(map[string]int, len(t.entries)), liveIn: map[string][]string{}, reachableDC: map[string]bool{},
	}
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[id]
		s := t.assumedState(now, e)
		if s != e.state {
			t.events = append(t.events, Event{id, e.state, s})
			e.state, e.changedAt = s, now
		}
		v.index[id] = len(v.members)
		v.members = append(v.members, Member{e.record, s})
		if s == Live {
			v.live = append(v.live, id)
			v.liveIn[e.record.DataCentre] = append(v.liveIn[e.record.DataCentre], id)
		}
		v.reachableDC[e.record.DataCentre] = !t.unreachableDCs[e.record.DataCentre]
		v.digest ^= e.record.hash()
	}
	t.view = v
	t.chooseHeartbeatPeers(now)
}

// chooseHeartbeatPeers chooses the partners and contacts, and computes the timing, which depends on their number.
func (t *Table) chooseHeartbeatPeers(now time.Time) {
	localIDs := []string{t.self.record.ID}
	remoteIDs := map[string][]string{}
	chosen := map[string]bool{}
	for id, e := range t.entries {
		dc := e.record.DataCentre
		switch {
		case e == t.self || e.state == Dead:
		case t.isLocal(e):
			localIDs = append(localIDs, id)
		case e.unreachable:
			chosen[id] = e.heartbeatPeer // a contact stays one until it is considered dead
		default:
			remoteIDs[dc] = append(remoteIDs[dc], id)
		}
	}
	partners := ringNeighbours(localIDs, t.self.record.ID)
	t.timing = computeTiming(len(partners), len(t.view.reachableDC)-1)
	for _, id := range partners {
		chosen[id] = true
	}
	for _, ids := range remoteIDs {
		for _, id := range owner.Top(t.self.record.ID, ids, t.timing.contactsPerDC) {
			chosen[id] = true
		}
	}
	for id, e := range t.entries {
		if c := chosen[id]; c != e.heartbeatPeer {
			e.heartbeatPeer = c
			if c {
				e.silentSince, e.lastHeartbeat = now, time.Time{}
				e.sentUpTo, e.digestDiffersSince = t.changeCount, time.Time{}
			}
		}
	}
}

// ringNeighbours returns the neighbours of self when all ids are placed on a ring by hash, so that partnership is mutual. If
// there are at most maxPartners other ids, it returns them all.
func ringNeighbours(ids []string, self string) []string {
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

// DueHeartbeats returns the heartbeats to send now, ordered by id, and assumes that they are sent.
func (t *Table) DueHeartbeats(now time.Time) []Heartbeat {
	var out []Heartbeat
	var failed []string
	for id, e := range t.entries {
		switch {
		case e.heartbeatPeer:
			if period, probe := t.timing.heartbeatPeriod(t.isLocal(e), now.Sub(e.silentSince)); now.Sub(e.lastHeartbeat) >= period {
				out = append(out, Heartbeat{id, probe})
				e.lastHeartbeat = now
			}
		case e != t.self && e.state >= Suspect:
			failed = append(failed, id)
		}
	}
	// Suspect and dead VMs are probed round robin, so that both sides of a healed partition find each other again.
	if len(failed) > 0 && !now.Before(t.nextReprobe) {
		t.nextReprobe = now.Add(reprobeInterval)
		slices.Sort(failed)
		i, found := slices.BinarySearch(failed, t.lastReprobed)
		if found {
			i++
		}
		t.lastReprobed = failed[i%len(failed)]
		out = append(out, Heartbeat{t.lastReprobed, true})
	}
	slices.SortFunc(out, func(a, b Heartbeat) int { return cmp.Compare(a.id, b.id) })
	return out
}

// IsHeartbeatPeer reports whether this VM sends heartbeats to the VM, as a partner or a contact, so that the connection must
// be kept.
func (t *Table) IsHeartbeatPeer(id string) bool {
	e := t.entries[id]
	return e != nil && e.heartbeatPeer
}

// Timing returns the current heartbeat and failure detection times.
func (t *Table) Timing() Timing { return t.timing }

// View returns the current snapshot.
func (t *Table) View() View { return t.view }

// Record returns the record of one VM, or false if it is not known.
func (t *Table) Record(id string) (Record, bool) {
	e := t.entries[id]
	if e == nil {
		return Record{}, false
	}
	return e.record, true
}

// Events returns the state changes since the last call.
func (t *Table) Events() []Event {
	out := t.events
	t.events = nil
	return out
}

// Changes returns a number that increases with each change that PendingRecords returns.
func (t *Table) Changes() uint64 { return t.changeCount }

// PendingRecords returns up to n changed records that were not sent to the VM yet, and assumes that they are sent. There are
// none for VMs other than heartbeat peers and VMs that have chosen this one as a contact.
func (t *Table) PendingRecords(id string, n int) []Record {
	e := t.entries[id]
	if e == nil || !e.heartbeatPeer && !e.recentlyHeard || e.sentUpTo >= t.changeCount {
		return nil
	}
	var changed []*entry
	for _, o := range t.entries {
		if o.changeNumber > e.sentUpTo && o != e {
			changed = append(changed, o)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changeNumber, b.changeNumber) })
	e.sentUpTo = t.changeCount
	if len(changed) > n {
		changed = changed[:n]
		e.sentUpTo = changed[n-1].changeNumber
	}
	out := make([]Record, len(changed))
	for i, o := range changed {
		out[i] = o.record
	}
	return out
}

// NeedsDigestSync compares the digest that a VM sent with the own one and reports whether to send Digests in return. A brief
// mismatch is left to the passing on of changes. Only one VM is asked at a time, because its answer may resolve the other
// mismatches.
func (t *Table) NeedsDigestSync(now time.Time, id string, digest uint64) bool {
	e := t.entries[id]
	if e == nil {
		return false
	}
	if digest == t.view.digest {
		e.digestDiffersSince = time.Time{}
		return false
	}
	first := t.lastDigestSync.IsZero()
	if e.digestDiffersSince.IsZero() {
		e.digestDiffersSince = now
	}
	if !first && (now.Sub(e.digestDiffersSince) < digestMismatchGrace || now.Sub(t.lastDigestSync) < digestSyncInterval) {
		return false
	}
	t.lastDigestSync = now
	return true
}

// Digests returns a digest for each data centre, to find out where two differing views differ.
func (t *Table) Digests() map[string]uint64 {
	out := map[string]uint64{}
	for _, e := range t.entries {
		out[e.record.DataCentre] ^= e.record.hash()
	}
	return out
}

// DifferingRecords returns the records of the data centres whose digests differ from the given ones.
func (t *Table) DifferingRecords(digests map[string]uint64) []Record {
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
