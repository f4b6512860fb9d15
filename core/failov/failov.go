// Package failov decides when the primary of a group has failed and which server replaces it.
//
// The decisions are based on the statuses that several VMs read from the servers. Their safety depends on terms alone: a server
// that has promised a term refuses every older one, so a wrong decision costs a needless change of primary and nothing else.
package failov

import (
	"time"

	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
)

// Observation is the last status that one VM has read from one server.
type Observation struct {
	address  string
	status   port.Status
	askedAt  time.Time
	refusals int
	interval time.Duration
}

// NewObservation returns an observation of a status that was requested at askedAt, after which the server refused connections
// refusals times in a row. The time of the request, and not that of the answer, proves that the status is newer than an event
// before the request.
func NewObservation(address string, status port.Status, askedAt time.Time, refusals int) Observation {
	return Observation{address: address, status: status, askedAt: askedAt, refusals: refusals}
}

// WithInterval returns a copy of o for a server that is polled at this interval. A long interval lengthens the time without a
// status after which the server counts as silent.
func (o Observation) WithInterval(interval time.Duration) Observation {
	o.interval = interval
	return o
}

// Interval returns the interval at which the server is polled, 0 if it does not affect failure detection.
func (o Observation) Interval() time.Duration { return o.interval }

// Address returns the server's address.
func (o Observation) Address() string { return o.address }

// Status returns the last status, the zero Status if there was none.
func (o Observation) Status() port.Status { return o.status }

// AskedAt returns when the last status that arrived was requested, the zero time if there was none.
func (o Observation) AskedAt() time.Time { return o.askedAt }

// Refusals returns how many connections in a row the server has refused since the last status.
func (o Observation) Refusals() int { return o.refusals }

// DetectionLimits are the thresholds of failure detection and the stagger between promotions.
type DetectionLimits struct {
	silenceTimeout time.Duration
	stagger        time.Duration
	minRefusals    int
}

// absentGracePeriod is how long a group must have no serving primary before a promotion starts. Another VM's promotion leaves
// the group without a primary for a few round trips, and a second promotion would fence the first.
const absentGracePeriod = 300 * time.Millisecond

// NewLimits returns limits: a primary has failed if it gave no status for silenceTimeout or refused minRefusals connections in
// a row. Each VM that may promote waits stagger longer than the one ranked before it.
func NewLimits(silenceTimeout, stagger time.Duration, minRefusals int) DetectionLimits {
	return DetectionLimits{silenceTimeout: silenceTimeout, stagger: stagger, minRefusals: minRefusals}
}

// Silence returns how long a primary that is polled often enough must give no status to count as failed.
func (l DetectionLimits) Silence() time.Duration { return l.silenceTimeout }

// isSilent reports whether a server gave no status for the silence limit and for minMissedPolls polling intervals.
func (l DetectionLimits) isSilent(now time.Time, o Observation) bool {
	return now.Sub(o.askedAt) >= max(l.silenceTimeout, minMissedPolls*o.interval)
}

// Health is one VM's assessment of the group's primary.
type Health uint8

// Assessments of the primary.
const (
	// Healthy means that a primary serves under the highest promised term seen.
	Healthy Health = iota + 1
	// Silent means that the primary gave no status for too long or refuses connections.
	Silent
	// Absent means that no server serves as primary under the highest promised term.
	Absent
	// Unknown means that the VM reaches less than a majority of the servers and cannot assess the primary. String returns
	// "blind" for it.
	Unknown
	// Leaving means that the primary serves and asks to be replaced.
	Leaving
)

// String returns the assessment's name.
func (h Health) String() string {
	names := [...]string{"", "healthy", "silent", "absent", "blind", "leaving"}
	if int(h) < len(names) {
		return names[h]
	}
	return "invalid"
}

// Majority returns how many of a group's servers are a majority.
func Majority(servers int) int { return servers/2 + 1 }

// Primary returns the server that serves as primary under the highest term seen, if any, whether or not it answers now.
func Primary(obs []Observation) (Observation, bool) {
	var best Observation
	found := false
	for _, o := range obs {
		if o.askedAt.IsZero() || !o.status.IsServingPrimary() {
			continue
		}
		if !found || o.status.Term > best.status.Term {
			best, found = o, true
		}
	}
	return best, found
}

// HighestTerm returns the highest term that any observed server follows or has promised.
func HighestTerm(obs []Observation) uint64 {
	var t uint64
	for _, o := range obs {
		t = max(t, o.status.Term, o.status.Promised)
	}
	return t
}

// AssessPrimary returns one VM's assessment of the primary from its own observations of all servers of the group, which it has
// polled since started. A server that has not answered yet may be the primary, so the result is Unknown until the VM has polled
// for as long as it takes to detect a silent server.
func AssessPrimary(now, started time.Time, obs []Observation, l DetectionLimits) Health {
	visible := 0
	for _, o := range obs {
		if o.askedAt.IsZero() && now.Sub(started) < l.silenceTimeout {
			return Unknown
		}
		if !o.askedAt.IsZero() && !l.isSilent(now, o) && o.refusals < l.minRefusals {
			visible++
		}
	}
	primary, found := Primary(obs)
	switch {
	case visible < Majority(len(obs)):
		return Unknown
	case !found || primary.status.Term < HighestTerm(obs):
		return Absent
	case primary.refusals >= l.minRefusals || l.isSilent(now, primary):
		return Silent
	case primary.status.Leaving:
		return Leaving
	}
	return Healthy
}

// ShouldPromote reports whether a promotion should start, given the assessments of this VM and of the other watchers that
// answered. VMs that reach less than a majority of the servers do not count, since they could not complete a promotion either.
func ShouldPromote(own Health, others []Health) bool {
	if own != Silent && own != Absent {
		return false
	}
	failed, counted := 1, 1
	for _, h := range others {
		if h == Unknown {
			continue
		}
		counted++
		if h == Silent || h == Absent {
			failed++
		}
	}
	return failed > counted/2
}

// PromotionStart returns when the VM of this rank, counted from 0, starts a promotion after the primary was found to have
// failed at since. Staggered starts avoid concurrent promotions, which are safe but fence each other.
func PromotionStart(since time.Time, h Health, rank int, l DetectionLimits) time.Time {
	at := since.Add(time.Duration(rank) * l.stagger)
	if h == Absent {
		at = at.Add(absentGracePeriod)
	}
	return at
}

// ChoosePrimary returns the address of the server to promote, from the statuses of the servers that promised the new term.
//
// A majority must have promised. An acknowledged commit is held by a majority, so at least one of the promising servers holds
// it, and the one with the newest received point holds all acknowledged commits. A leaving server is chosen only if no other
// server holds as much.
func ChoosePrimary(promised []Observation, servers int) (string, error) {
	if len(promised) < Majority(servers) {
		return "", result.New(result.NoMajority, "%d of %d servers promised the new term", len(promised), servers)
	}
	best := promised[0]
	for _, o := range promised[1:] {
		if preferred(o, best) {
			best = o
		}
	}
	return best.address, nil
}

func preferred(a, b Observation) bool {
	pa, pb := a.status.ReceivedPoint(), b.status.ReceivedPoint()
	if pa != pb {
		return newer(pa, pb)
	}
	if a.status.Leaving != b.status.Leaving {
		return !a.status.Leaving
	}
	return a.status.Applied > b.status.Applied
}

// newer reports whether a is newer than b. It compares the terms of their histories first: a longer log of an older term may be
// a discarded branch.
func newer(a, b point.Point) bool {
	if a.Term() != b.Term() {
		return a.Term() > b.Term()
	}
	return a.Position() > b.Position()
}

// Replaceable reports whether a server that is not leaving holds the whole log of a leaving primary. It is also true when the
// primary is no longer leaving or no longer known, since then there is nothing to wait for.
func Replaceable(obs []Observation) bool {
	primary, found := Primary(obs)
	if !found || !primary.status.Leaving {
		return true
	}
	for _, o := range obs {
		if o.address != primary.address && !o.status.Leaving && o.status.ReceivedPoint() == primary.status.ReceivedPoint() {
			return true
		}
	}
	return false
}

// QuorumHolds reports whether a majority of the group's servers hold everything up to p under p's term, so that every later
// promotion finds it. A server counts by its own status or by the primary's report of what the server has acknowledged.
func QuorumHolds(obs []Observation, p point.Point) bool {
	holds := make(map[string]bool, len(obs))
	for _, o := range obs {
		if o.askedAt.IsZero() || o.status.Term != p.Term() {
			continue
		}
		if o.status.Received >= p.Position() {
			holds[o.address] = true
		}
		if o.status.Role != port.RolePrimary {
			continue
		}
		for _, r := range o.status.Replicas {
			if r.Term == p.Term() && r.Received >= p.Position() {
				holds[r.Address] = true
			}
		}
	}
	n := 0
	for _, o := range obs {
		if holds[o.address] {
			n++
		}
	}
	return n >= Majority(len(obs))
}

// Superseded reports whether a server has promised a term newer than term. From then on a commit of term may be acknowledged
// only if a majority holds it.
func Superseded(obs []Observation, term uint64) bool { return HighestTerm(obs) > term }

// Barrier returns the primary's position if a majority of the servers, including the primary, have confirmed that they have
// promised no term newer than the primary's. Only statuses that were requested after since count.
//
// A newer primary needs the promises of a majority, which would share a server with this majority. So no write was acknowledged
// under a newer term before since, and the position covers every write that was acknowledged before since.
func Barrier(obs []Observation, since time.Time) (point.Point, bool) {
	primary, found := freshPrimary(obs, since)
	if !found {
		return point.Point{}, false
	}
	n := 0
	for _, o := range obs {
		if o.askedAt.After(since) && o.status.Promised <= primary.status.Term {
			n++
		}
	}
	if n < Majority(len(obs)) {
		return point.Point{}, false
	}
	return primary.status.ReceivedPoint(), true
}

// TermConfirmed reports whether a commit of term may be acknowledged at now although no majority is known to hold it. For this
// a majority, including the primary, must have confirmed after since, the time of the commit, that they have promised no newer
// term.
//
// Confirmations that were requested longer ago than limit do not count: their answers may have waited in a connection while
// this VM was paused and another server was promoted. The limit must not exceed the silence after which a promotion starts.
func TermConfirmed(obs []Observation, term uint64, since, now time.Time, limit time.Duration) bool {
	if oldest := now.Add(-limit); since.Before(oldest) {
		since = oldest
	}
	p, ok := Barrier(obs, since)
	return ok && p.Term() == term
}

func freshPrimary(obs []Observation, since time.Time) (Observation, bool) {
	var fresh []Observation
	for _, o := range obs {
		if o.askedAt.After(since) {
			fresh = append(fresh, o)
		}
	}
	return Primary(fresh)
}
