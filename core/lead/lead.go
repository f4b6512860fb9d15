// Package lead decides which server of a group is its primary, and how long a VM may use that decision.
//
// The platform's table holds one Record for each group, one Member for each VM, and an epoch. A VM uses a record only while its
// own lease is valid. It renews the lease with a transaction that writes its Member and fails if the epoch has changed. A VM
// that replaces a primary first marks the group's record as moving and changes the epoch, both in one transaction. It then
// waits until every Member has seen that epoch or its lease has expired. Only then does it have a server promoted. So no VM
// uses a replaced primary, not even a VM that is paused or cut off and has not learned of the change.
package lead

import (
	"slices"
	"time"

	"verbenagate/core/eras"
	"verbenagate/core/owner"
	"verbenagate/core/point"
)

const (
	// LeaseDuration is the duration of a lease. A store outage that is shorter than LeaseDuration minus RenewInterval
	// interrupts no service, and a change of primary waits at most LeaseDuration for an unreachable VM.
	LeaseDuration = 6 * time.Second
	// RenewInterval is the interval between lease renewals.
	RenewInterval = 1250 * time.Millisecond
	// Linger is how long after the end of its lease a VM still counts as present for work that only must not pass to two VMs at once.
	// With it, such work outlasts longer outages of the store than the use of primaries.
	Linger = 5 * time.Second
	// maxClockDrift allows for clocks that run at slightly different rates.
	maxClockDrift = 100 * time.Millisecond
	// promotionOrderWindow is how long after writing a moving record a VM may still order the promotion. takeoverDelay is how
	// long the other VMs wait before one of them starts the promotion again. The difference covers an order that is still in
	// flight.
	promotionOrderWindow = 3 * time.Second
	takeoverDelay        = 5 * time.Second
)

// Phase says whether a group's primary may be used.
type Phase uint8

// The phases of a record.
const (
	// Stable means that the record's server is the primary.
	Stable Phase = iota + 1
	// Moving means that the primary is being replaced, and none may be used.
	Moving
)

// Record states which server is the primary of a group and whether it may be used.
type Record struct {
	phase   Phase
	server  string
	term    uint64
	writer  string
	version uint64
	// promotedAt is the position of the server when it was promoted, zero if it is unknown or the group does not require it.
	promotedAt point.Point
	ordered    bool // see PromotionOrdered
}

// NewRecord returns a record to be written to the table; writer is the VM that writes it.
func NewRecord(phase Phase, server string, term uint64, writer string) Record {
	return Record{phase: phase, server: server, term: term, writer: writer}
}

// WithVersion returns the record with the version that the table assigned to it.
func (r Record) WithVersion(v uint64) Record {
	r.version = v
	return r
}

// WithPromotedAt returns the record with the position that the server had when it was promoted.
func (r Record) WithPromotedAt(p point.Point) Record {
	r.promotedAt = p
	return r
}

// PromotedAt returns the position that the server had when it was promoted: every commit that was acknowledged earlier is at or
// below it. It is zero if the position is unknown.
func (r Record) PromotedAt() point.Point { return r.promotedAt }

// WithPromotionOrdered returns the record of a move in which a promotion has been or is about to be ordered.
func (r Record) WithPromotionOrdered(ordered bool) Record {
	r.ordered = ordered
	return r
}

// PromotionOrdered reports whether a promotion may have been ordered in this move. It may take effect late, so the old primary must
// not be used again.
func (r Record) PromotionOrdered() bool { return r.ordered }

// Phase returns the record's phase.
func (r Record) Phase() Phase { return r.phase }

// Server returns the primary's id. While the group is moving, this is the id of the old primary.
func (r Record) Server() string { return r.server }

// Term returns the primary's term, 0 if it was unknown.
func (r Record) Term() uint64 { return r.term }

// Writer returns the VM that wrote the record.
func (r Record) Writer() string { return r.writer }

// Rewrites reports whether r says the same as old, and was written in a later era of the store, which had lost old.
func (r Record) Rewrites(old Record) bool {
	return r.phase == Stable && old.phase == Stable && r.server == old.server && r.term == old.term &&
		eras.Position(r.version).Era() > eras.Position(old.version).Era()
}

// Version returns the table's version of the record, which grows with each change of any record, and from one era of the store to the next.
// It is the fencing token of promotion orders.
func (r Record) Version() uint64 { return r.version }

// Member is the table's entry for one VM: its lease, the epoch that it has seen and the primaries that it cannot reach.
type Member struct {
	name      string
	epoch     uint64
	until     time.Duration
	suspected []string

	dataCentre string
	address    string
	cores      float64

	// since and provenUntil say how long the lease has been valid without a gap; see ValidSince.
	since, provenUntil time.Duration
	presentUntil       time.Duration // of a VM that has left; see WithLeft
}

// NewMember returns the entry of a VM that has seen epoch and whose lease ends at until on the store's clock. Suspected lists
// the primaries that the VM cannot reach.
func NewMember(name string, epoch uint64, until time.Duration, suspected []string) Member {
	return Member{name: name, epoch: epoch, until: until, suspected: slices.Clone(suspected)}
}

// Name returns the VM's name.
func (m Member) Name() string { return m.name }

// Epoch returns the epoch that the VM has seen.
func (m Member) Epoch() uint64 { return m.epoch }

// Until returns the end of the VM's lease on the store's clock.
func (m Member) Until() time.Duration { return m.until }

// Suspects reports whether the VM cannot reach primary.
func (m Member) Suspects(primary string) bool { return slices.Contains(m.suspected, primary) }

// Suspected returns the primaries that the VM cannot reach.
func (m Member) Suspected() []string { return slices.Clone(m.suspected) }

// PendingMembers returns the names of the VMs that may still use records from before epoch when the store's clock shows
// storeTime.
func PendingMembers(members []Member, epoch uint64, storeTime time.Duration) []string {
	var names []string
	for _, m := range members {
		if m.epoch < epoch && m.until+maxClockDrift > storeTime {
			names = append(names, m.name)
		}
	}
	return names
}

// LiveMembers returns the members whose lease is valid when the store's clock shows storeTime, ordered by name.
func LiveMembers(members []Member, storeTime time.Duration) []Member {
	var live []Member
	for _, m := range members {
		if m.until > storeTime {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, compareNames)
	return live
}

// connectionRetention is how long after its lease has expired a VM still counts as holding connections: it may be cut off from
// the store and still use the servers.
const connectionRetention = time.Minute

// ConnectionHolders returns how many VMs may hold connections to servers when the store's clock shows storeTime.
func ConnectionHolders(members []Member, storeTime time.Duration) int {
	n := 0
	for _, m := range members {
		if m.until+connectionRetention > storeTime {
			n++
		}
	}
	return n
}

// maxWatchers is how many VMs watch a primary. More watchers would not make failure detection safer, but each of them takes a
// connection and queries the server several times a second.
const maxWatchers = 7

// Watchers determines which VMs watch the primaries of groups, for one list of live VMs. Every VM with the same list gets the same
// result. Watchers is immutable.
type Watchers struct {
	live  []Member
	order owner.Names
}

// NewWatchers returns the watchers for the live VMs.
func NewWatchers(live []Member) Watchers {
	names := make([]string, 0, len(live))
	for _, m := range live {
		names = append(names, m.name)
	}
	return Watchers{live: live, order: owner.NewNames(names)}
}

// Of returns the live VMs that watch the primary of group, in the order of the list.
func (w Watchers) Of(group string) []Member {
	top := w.order.Top(group, maxWatchers)
	slices.Sort(top)
	chosen := make([]Member, 0, len(top))
	for _, i := range top {
		chosen = append(chosen, w.live[i])
	}
	return chosen
}

// LeadsNewerTerm reports whether a server that leads term has replaced the primary of the record old. A server that leads the
// same term or an older one was itself replaced and has not learned of it yet.
func LeadsNewerTerm(term uint64, old Record) bool { return term > old.term }

// MajoritySuspects reports whether a majority of the watching VMs cannot reach the server primary. A single VM may itself be
// cut off. Reports are counted for the server, not for its group: a report about the previous primary says nothing about the
// new one.
func MajoritySuspects(watching []Member, primary string) bool {
	n := 0
	for _, m := range watching {
		if m.Suspects(primary) {
			n++
		}
	}
	return 2*n > len(watching)
}

// Isolated reports whether a VM that cannot reach the primaries of unreachable of its groups is itself cut off. The
// alternative, that all those primaries have failed, is unlikely: primaries seldom fail together, but a data centre that is cut
// off loses all primaries outside it at once.
func Isolated(unreachable, groups int) bool { return unreachable > 1 && 2*unreachable > groups }

// MayOrderPromotion reports whether the VM that wrote a moving record at written may still order the promotion.
func MayOrderPromotion(now, written time.Time) bool { return now.Sub(written) < promotionOrderWindow }

// MayTakeOverPromotion reports whether a VM that has seen a moving record unchanged since seen may take the promotion over from
// its holder.
func MayTakeOverPromotion(now, seen time.Time) bool { return now.Sub(seen) > takeoverDelay }

// Lease is the period in which this VM may use the records that it has read. It is not safe for concurrent use.
type Lease struct {
	epoch uint64
	until time.Time
}

// Renew extends the lease after a successful renewal for epoch whose request was sent at sent.
func (l *Lease) Renew(sent time.Time, epoch uint64) {
	if end := sent.Add(LeaseDuration); end.After(l.until) {
		l.until = end
	}
	l.epoch = epoch
}

// Valid reports whether the lease is valid at now.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.until) }

// Until returns the end of the lease.
func (l *Lease) Until() time.Time { return l.until }

// Epoch returns the epoch of the last successful renewal.
func (l *Lease) Epoch() uint64 { return l.epoch }

// StoreClock bounds the time on the store's clock from the times in the store's answers. It is not safe for concurrent use.
type StoreClock struct {
	sent  time.Time
	value time.Duration
}

// RecordAnswer records an answer in which the store's clock showed value, to a request sent at sent.
func (c *StoreClock) RecordAnswer(sent time.Time, value time.Duration) {
	if sent.After(c.sent) {
		c.sent, c.value = sent, value
	}
}

// LowerBound returns a lower bound of the store's clock: the time in the answer to the newest request, 0 before the first
// answer.
func (c *StoreClock) LowerBound() time.Duration { return c.value }

// UpperBound returns an upper bound of the store's clock at now; false before the first answer.
func (c *StoreClock) UpperBound(now time.Time) (time.Duration, bool) {
	if c.sent.IsZero() {
		return 0, false
	}
	return c.value + now.Sub(c.sent), true
}

// Candidate is a server that could be promoted.
type Candidate struct {
	id       string
	received point.Point
	primary  bool
	draining bool
}

// NewCandidate returns a server that has received the log up to received; primary says whether it already leads.
func NewCandidate(id string, received point.Point, primary bool) Candidate {
	return Candidate{id: id, received: received, primary: primary}
}

// WithDraining returns the candidate as a server that is about to stop.
func (c Candidate) WithDraining(draining bool) Candidate {
	c.draining = draining
	return c
}

// Draining reports whether the server is about to stop, so that it can lead only until another server has its log.
func (c Candidate) Draining() bool { return c.draining }

// isBehind reports whether the log of o is newer than that of c.
func (c Candidate) isBehind(o Candidate) bool {
	if c.received.Term() != o.received.Term() {
		return c.received.Term() < o.received.Term()
	}
	return c.received.Position() < o.received.Position()
}

// ID returns the server's id.
func (c Candidate) ID() string { return c.id }

// Received returns the newest log position that the server holds.
func (c Candidate) Received() point.Point { return c.received }

// Primary reports whether the server already leads.
func (c Candidate) Primary() bool { return c.primary }

// BestCandidate returns the candidate whose promotion loses the fewest commits: the one with the newest position of the newest
// term, of several one that is not draining, of several the one with the lowest id. It returns false if there are no candidates.
func BestCandidate(candidates []Candidate) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	return slices.MaxFunc(candidates, func(a, b Candidate) int {
		switch {
		case a.isBehind(b), !b.isBehind(a) && a.draining && !b.draining:
			return -1
		case b.isBehind(a), b.draining && !a.draining, a.id < b.id:
			return 1
		default:
			return -1
		}
	}), true
}

// FailureDetector detects from the results of this VM's own requests whether a primary can be reached. It is not safe for
// concurrent use.
type FailureDetector struct {
	failures     int
	firstFailure time.Time
	lastSuccess  time.Time
}

// Thresholds of failure detection. A refused connection is stronger evidence than a missing answer, which a short pause causes
// as well.
const (
	unreachableTimeout = 600 * time.Millisecond
	refusedTimeout     = 300 * time.Millisecond
	minFailures        = 2
	minRefusedFailures = 2
)

// RecordSuccess records an answer to a request sent at sent.
func (w *FailureDetector) RecordSuccess(sent time.Time) {
	if sent.Before(w.firstFailure) {
		return
	}
	w.failures, w.firstFailure, w.lastSuccess = 0, time.Time{}, sent
}

// RecordFailure records that a request sent at sent got no answer.
func (w *FailureDetector) RecordFailure(sent time.Time) {
	if sent.Before(w.lastSuccess) {
		return
	}
	if w.failures == 0 {
		w.firstFailure = sent
	}
	w.failures++
}

// Unreachable reports whether the primary counts as unreachable at now; refused says that its address refuses connections.
func (w *FailureDetector) Unreachable(now time.Time, refused bool) bool {
	if refused {
		return w.failures >= minRefusedFailures && now.Sub(w.firstFailure) >= refusedTimeout
	}
	return w.failures >= minFailures && now.Sub(w.firstFailure) >= unreachableTimeout
}

// Failing reports whether a request got no answer since the last one that did.
func (w *FailureDetector) Failing() bool { return w.failures > 0 }

// LastSuccess returns when the last answered request was sent.
func (w *FailureDetector) LastSuccess() time.Time { return w.lastSuccess }
