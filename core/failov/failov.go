// Package failov decides when the primary of a group has failed and which server replaces it.
//
// The decisions rest on the statuses that several VMs read from the servers. Their safety rests on terms alone: a server
// that promised a term refuses every older one, so a wrong decision costs a needless change of primary and nothing else.
package failov

import (
	"time"

	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
)

// Observation is what one VM last saw of one server.
type Observation struct {
	address string
	status  port.Status
	at      time.Time
	refused int
	every   time.Duration
}

// NewObservation returns an observation of a status that was asked for at the time at, after which the server refused
// connections refused times in a row. The time of asking, and not of arrival, proves that the status is newer than an
// event before it.
func NewObservation(address string, status port.Status, at time.Time, refused int) Observation {
	return Observation{address: address, status: status, at: at, refused: refused}
}

// Every returns o for a server that is polled at this interval, which lengthens the silence that its failure takes.
func (o Observation) Every(interval time.Duration) Observation {
	o.every = interval
	return o
}

// Interval returns the interval at which the server is polled, 0 if it does not matter.
func (o Observation) Interval() time.Duration { return o.every }

// Address returns the server's address.
func (o Observation) Address() string { return o.address }

// Status returns the last status, the zero Status if there was none.
func (o Observation) Status() port.Status { return o.status }

// At returns when the last status that arrived was asked for, the zero time if there was none.
func (o Observation) At() time.Time { return o.at }

// Refused returns how often in a row the server has refused a connection since the last status.
func (o Observation) Refused() int { return o.refused }

// Limits are the times of detection.
type Limits struct {
	silence  time.Duration
	stagger  time.Duration
	refusals int
}

// absentGrace is how long no server has to serve as primary before a promotion starts. Another VM's promotion leaves the
// group without a primary for a few round trips, and a second one would fence it.
const absentGrace = 300 * time.Millisecond

// NewLimits returns limits: a primary without a status for silence, or that refused a connection refusals times in a
// row, has failed; each further candidate waits stagger longer than the one before it.
func NewLimits(silence, stagger time.Duration, refusals int) Limits {
	return Limits{silence: silence, stagger: stagger, refusals: refusals}
}

// Silence returns after how long without a status a primary has failed that is polled often enough.
func (l Limits) Silence() time.Duration { return l.silence }

// silent reports whether a server gave no status for the time of a silence and for several polls.
func (l Limits) silent(now time.Time, o Observation) bool {
	return now.Sub(o.at) >= max(l.silence, missedPolls*o.every)
}

// Health is one VM's judgement of the group's primary.
type Health uint8

// Judgements of the primary.
const (
	// Healthy means that a primary serves under the highest promised term seen.
	Healthy Health = iota + 1
	// Silent means that the primary gave no status for too long.
	Silent
	// Absent means that no server serves as primary under the highest promised term.
	Absent
	// Blind means that the VM sees less than a majority of the servers and cannot judge.
	Blind
	// Leaving means that the primary serves and wants to be replaced.
	Leaving
)

// String returns the judgement's name.
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
		if o.at.IsZero() || !o.status.IsServingPrimary() {
			continue
		}
		if !found || o.status.Term > best.status.Term {
			best, found = o, true
		}
	}
	return best, found
}

// HighestTerm returns the highest term that any server follows or has promised.
func HighestTerm(obs []Observation) uint64 {
	var t uint64
	for _, o := range obs {
		t = max(t, o.status.Term, o.status.Promised)
	}
	return t
}

// Judge returns one VM's judgement of the primary from its own observations of all servers of the group, which it has made
// since started. A server that was not seen yet may be the primary, so nothing is judged before it had the time in which
// a silent one would have been noticed.
func Judge(now, started time.Time, obs []Observation, l Limits) Health {
	visible := 0
	for _, o := range obs {
		if o.at.IsZero() && now.Sub(started) < l.silence {
			return Blind
		}
		if !o.at.IsZero() && !l.silent(now, o) && o.refused < l.refusals {
			visible++
		}
	}
	primary, found := Primary(obs)
	switch {
	case visible < Majority(len(obs)):
		return Blind
	case !found || primary.status.Term < HighestTerm(obs):
		return Absent
	case primary.refused >= l.refusals || l.silent(now, primary):
		return Silent
	case primary.status.Leaving:
		return Leaving
	}
	return Healthy
}

// Agree reports whether a promotion should start, given the judgements of this VM and of the other watchers that
// answered. VMs that see less than a majority of the servers do not count: they could not complete a promotion either.
func Agree(own Health, others []Health) bool {
	if own != Silent && own != Absent {
		return false
	}
	failed, counted := 1, 1
	for _, h := range others {
		if h == Blind {
			continue
		}
		counted++
		if h == Silent || h == Absent {
			failed++
		}
	}
	return failed > counted/2
}

// Start returns when the candidate of this rank, counted from 0, starts a promotion for a primary that was judged failed at
// since. Staggering avoids concurrent promotions, which are safe but fence each other.
func Start(since time.Time, h Health, rank int, l Limits) time.Time {
	at := since.Add(time.Duration(rank) * l.stagger)
	if h == Absent {
		at = at.Add(absentGrace)
	}
	return at
}

// Choose returns the address of the server to promote, from the statuses of the servers that promised the new term.
//
// A majority must have promised: an acknowledged commit is held by a majority, so at least one of them holds it, and the
// one with the highest received point holds all of them. A leaving server is chosen only if no other holds as much.
func Choose(promised []Observation, servers int) (string, error) {
	if len(promised) < Majority(servers) {
		return "", result.New(result.NoMajority, "%d of %d servers promised the new term", len(promised), servers)
	}
	best := promised[0]
	for _, o := range promised[1:] {
		if better(o, best) {
			best = o
		}
	}
	return best.address, nil
}

func better(a, b Observation) bool {
	pa, pb := a.status.ReceivedPoint(), b.status.ReceivedPoint()
	if pa != pb {
		return ahead(pa, pb)
	}
	if a.status.Leaving != b.status.Leaving {
		return !a.status.Leaving
	}
	return a.status.Applied > b.status.Applied
}

// ahead orders points by the term of their history first: a longer log of an older term may be a discarded branch.
func ahead(a, b point.Point) bool {
	if a.Term() != b.Term() {
		return a.Term() > b.Term()
	}
	return a.Position() > b.Position()
}

// Replaceable reports whether a server that stays holds the whole log of a leaving primary. It is also true when the
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

// QuorumHolds reports whether a majority of the group's servers hold everything up to p under p's term, so that every
// later promotion finds it. A primary's report of what its replicas acknowledged counts as well as their own status.
func QuorumHolds(obs []Observation, p point.Point) bool {
	holds := make(map[string]bool, len(obs))
	for _, o := range obs {
		if o.at.IsZero() || o.status.Term != p.Term() {
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

// Superseded reports whether a server has promised a term newer than t, after which nothing of t may be acknowledged
// that a majority does not hold.
func Superseded(obs []Observation, t uint64) bool { return HighestTerm(obs) > t }

// Barrier returns the primary's position if a majority of the servers, the primary among them, confirmed in the round
// that began at since that they have promised no term newer than the primary's.
//
// A newer primary needs the promises of a majority, which would share a server with this one. So no write was
// acknowledged under a newer term before since, and the position covers every earlier acknowledgement.
func Barrier(obs []Observation, since time.Time) (point.Point, bool) {
	primary, found := freshPrimary(obs, since)
	if !found {
		return point.Point{}, false
	}
	n := 0
	for _, o := range obs {
		if o.at.After(since) && o.status.Promised <= primary.status.Term {
			n++
		}
	}
	if n < Majority(len(obs)) {
		return point.Point{}, false
	}
	return primary.status.ReceivedPoint(), true
}

// TermConfirmed reports whether a commit of term may be acknowledged at now without a majority that holds it: a majority,
// the primary among them, confirmed after the commit at since that it has promised no newer term.
//
// Confirmations that were asked for longer ago than limit do not count: they may have waited in a connection while this VM
// was paused and another server was promoted. The limit must not exceed the silence that a promotion takes.
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
		if o.at.After(since) {
			fresh = append(fresh, o)
		}
	}
	return Primary(fresh)
}
