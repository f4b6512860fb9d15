// Package lead decides which server of a group is its primary, and when a VM may rely on that.
//
// The platform's table holds one Record for each group, one Member for each VM, and an epoch. A VM relies on a record only
// while its own lease lasts. It renews the lease with a transaction that writes its Member and fails if the epoch has
// changed. Whoever replaces a primary first marks the group's record as moving and changes the epoch in the same
// transaction, then waits until every Member has seen that epoch or its lease has ended, and only then has a server
// promoted. So no VM uses a replaced primary, also one that is paused or cut off and does not know of the change.
package lead

import (
	"slices"
	"time"

	"verbenagate/core/owner"
	"verbenagate/core/point"
)

const (
	// Length is how long a lease lasts. An outage of the store that is shorter than Length less Renewal stops no service,
	// and a change of primary waits at most this long for a VM that cannot be reached.
	Length = 6 * time.Second
	// Renewal is the interval of renewals.
	Renewal = 1250 * time.Millisecond
	// drift allows for clocks that run at slightly different rates.
	drift = 100 * time.Millisecond
	// orderWindow is how long after its own record a VM may still order the promotion, and takeover how long the others
	// wait before one of them starts again. The difference covers an order that is on its way.
	orderWindow = 3 * time.Second
	takeover    = 5 * time.Second
)

// Phase says whether a group's primary may be used.
type Phase uint8

// The phases.
const (
	// Stable means that the record's server is the primary.
	Stable Phase = iota + 1
	// Moving means that the primary is being replaced, and none may be used.
	Moving
)

// Record says which server leads a group.
type Record struct {
	phase   Phase
	server  string
	term    uint64
	holder  string
	version uint64
}

// NewRecord returns a record as it is to be written; holder is the VM that writes it.
func NewRecord(phase Phase, server string, term uint64, holder string) Record {
	return Record{phase: phase, server: server, term: term, holder: holder}
}

// WithVersion returns the record with the version that the table gave it.
func (r Record) WithVersion(v uint64) Record {
	r.version = v
	return r
}

// Phase returns the record's phase.
func (r Record) Phase() Phase { return r.phase }

// Server returns the primary's id, while the group is moving that of the old primary.
func (r Record) Server() string { return r.server }

// Term returns the primary's term; 0 if it was not known.
func (r Record) Term() uint64 { return r.term }

// Holder returns the VM that wrote the record.
func (r Record) Holder() string { return r.holder }

// Version returns the table's version of the record, which grows with each change of any record. It fences orders.
func (r Record) Version() uint64 { return r.version }

// Member is what the table holds of one VM.
type Member struct {
	name    string
	epoch   uint64
	until   time.Duration
	suspect []string

	dataCentre string
	address    string
}

// NewMember returns the entry of a VM that has seen epoch and whose lease ends at until on the store's clock. Suspect are
// the primaries that the VM cannot reach.
func NewMember(name string, epoch uint64, until time.Duration, suspect []string) Member {
	return Member{name: name, epoch: epoch, until: until, suspect: slices.Clone(suspect)}
}

// Name returns the VM's name.
func (m Member) Name() string { return m.name }

// Epoch returns the epoch that the VM has seen.
func (m Member) Epoch() uint64 { return m.epoch }

// Until returns the end of the VM's lease on the store's clock.
func (m Member) Until() time.Duration { return m.until }

// Suspects reports whether the VM cannot reach primary.
func (m Member) Suspects(primary string) bool { return slices.Contains(m.suspect, primary) }

// Suspect returns the primaries that the VM cannot reach.
func (m Member) Suspect() []string { return slices.Clone(m.suspect) }

// Pending returns the VMs that may still rely on records of before epoch, at the time store on the store's clock.
func Pending(members []Member, epoch uint64, store time.Duration) []string {
	var names []string
	for _, m := range members {
		if m.epoch < epoch && m.until+drift > store {
			names = append(names, m.name)
		}
	}
	return names
}

// Live returns the members whose lease lasts, ordered by name.
func Live(members []Member, store time.Duration) []Member {
	var live []Member
	for _, m := range members {
		if m.until > store {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b Member) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return live
}

// forgotten is how long after its lease a VM still counts as one that holds connections: it may be cut off from the store and
// go on with the servers.
const forgotten = time.Minute

// Holders returns how many VMs may hold connections to servers.
func Holders(members []Member, store time.Duration) int {
	n := 0
	for _, m := range members {
		if m.until+forgotten > store {
			n++
		}
	}
	return n
}

// watchers is how many VMs watch a primary. More would not make a judgement safer, but each of them takes a connection and asks the
// server several times a second.
const watchers = 7

// Watchers returns those of the live VMs that watch the primary of group, the same ones on every VM with the same list.
func Watchers(live []Member, group string) []Member {
	names := make([]string, 0, len(live))
	for _, m := range live {
		names = append(names, m.name)
	}
	top := owner.Top(group, names, watchers)
	var chosen []Member
	for _, m := range live {
		if slices.Contains(top, m.name) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// Succeeds reports whether a server that leads a term has replaced the primary of a record. One that leads the same term or an older
// one was replaced itself and does not know it yet.
func Succeeds(term uint64, old Record) bool { return term > old.term }

// Agreed reports whether most of the VMs that watch it cannot reach primary. A VM alone may be the one that is cut off. The server
// counts, not its group: what a VM has said of the primary before says nothing of the new one.
func Agreed(watching []Member, primary string) bool {
	n := 0
	for _, m := range watching {
		if m.Suspects(primary) {
			n++
		}
	}
	return 2*n > len(watching)
}

// Isolated reports whether a VM that cannot reach the primaries of unreachable of its groups is itself cut off, rather than
// all those primaries: primaries seldom fail together, but a data centre loses all that are outside at once.
func Isolated(unreachable, groups int) bool { return unreachable > 1 && 2*unreachable > groups }

// MayOrder reports whether the VM that wrote a moving record at written may still order the promotion.
func MayOrder(now, written time.Time) bool { return now.Sub(written) < orderWindow }

// MayTakeOver reports whether a VM that has seen a moving record unchanged since seen may replace its holder.
func MayTakeOver(now, seen time.Time) bool { return now.Sub(seen) > takeover }

// Lease is the time for which this VM may rely on the records it knows. It is not safe for concurrent use.
type Lease struct {
	epoch uint64
	until time.Time
}

// Renew extends the lease after a renewal that was sent at sent and succeeded for epoch.
func (l *Lease) Renew(sent time.Time, epoch uint64) {
	if end := sent.Add(Length); end.After(l.until) {
		l.until = end
	}
	l.epoch = epoch
}

// Holds reports whether the lease lasts at now.
func (l *Lease) Holds(now time.Time) bool { return now.Before(l.until) }

// Until returns the end of the lease.
func (l *Lease) Until() time.Time { return l.until }

// Epoch returns the epoch of the last renewal.
func (l *Lease) Epoch() uint64 { return l.epoch }

// StoreClock bounds the store's clock from its answers. It is not safe for concurrent use.
type StoreClock struct {
	sent  time.Time
	value time.Duration
}

// Heard notes an answer with the store's clock at value to a request sent at sent.
func (c *StoreClock) Heard(sent time.Time, value time.Duration) {
	if sent.After(c.sent) {
		c.sent, c.value = sent, value
	}
}

// Value returns the last time that the store's clock is known to have shown; 0 before the first answer.
func (c *StoreClock) Value() time.Duration { return c.value }

// Latest returns the latest time that the store's clock can show at now; false before the first answer.
func (c *StoreClock) Latest(now time.Time) (time.Duration, bool) {
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
}

// NewCandidate returns a server with the position that it has received.
func NewCandidate(id string, received point.Point, primary bool) Candidate {
	return Candidate{id: id, received: received, primary: primary}
}

// ID returns the server's id.
func (c Candidate) ID() string { return c.id }

// Received returns the newest position that the server holds.
func (c Candidate) Received() point.Point { return c.received }

// Primary reports whether the server already leads.
func (c Candidate) Primary() bool { return c.primary }

// Best returns the candidate that loses the fewest commits: the one with the newest position of the newest term.
func Best(candidates []Candidate) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	return slices.MaxFunc(candidates, func(a, b Candidate) int {
		switch {
		case a.received.Term() != b.received.Term():
			return compare(a.received.Term(), b.received.Term())
		case a.received.Position() != b.received.Position():
			return compare(a.received.Position(), b.received.Position())
		case a.id < b.id:
			return 1
		default:
			return -1
		}
	}), true
}

func compare(a, b uint64) int {
	if a < b {
		return -1
	}
	return 1
}

// Watch judges from this VM's own attempts whether a primary can be reached. It is not safe for concurrent use.
type Watch struct {
	failures int
	first    time.Time
	success  time.Time
}

// Limits of a judgement. A connection refused says more than a silence, which a short pause causes as well.
const (
	silence         = 600 * time.Millisecond
	refusedSilence  = 300 * time.Millisecond
	leastFailures   = 2
	refusedFailures = 2
)

// Succeeded notes an answer to a request sent at asked.
func (w *Watch) Succeeded(asked time.Time) {
	if asked.Before(w.first) {
		return
	}
	w.failures, w.first, w.success = 0, time.Time{}, asked
}

// Failed notes that a request sent at asked got no answer.
func (w *Watch) Failed(asked time.Time) {
	if asked.Before(w.success) {
		return
	}
	if w.failures == 0 {
		w.first = asked
	}
	w.failures++
}

// Unreachable reports whether the primary counts as unreachable; refused says that its address refuses connections.
func (w *Watch) Unreachable(now time.Time, refused bool) bool {
	if refused {
		return w.failures >= refusedFailures && now.Sub(w.first) >= refusedSilence
	}
	return w.failures >= leastFailures && now.Sub(w.first) >= silence
}

// Success returns when the last answered request was sent.
func (w *Watch) Success() time.Time { return w.success }
