// Package route chooses the server of a group that a unit of work goes to.
//
// A VM knows of a server only what came with earlier answers, so a choice may be wrong: the owner of the server checks
// it, and refuses a unit that the server must not run.
package route

import (
	"time"

	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/work"
)

// Need is what a unit requires of its server: Primary, AtLeast or NoOlder.
type Need interface{ need() }

// Primary requires the primary.
type Primary struct{}

// AtLeast requires a server that has applied everything up to a point.
type AtLeast struct{ point point.Point }

// NoOlder requires a server whose data are no older than a stated age.
type NoOlder struct{ age time.Duration }

func (Primary) need() {}
func (AtLeast) need() {}
func (NoOlder) need() {}

// NewAtLeast returns the need for a server that has applied everything up to p.
func NewAtLeast(p point.Point) AtLeast { return AtLeast{point: p} }

// NewNoOlder returns the need for data no older than age.
func NewNoOlder(age time.Duration) NoOlder { return NoOlder{age: age} }

// Point returns the required point.
func (n AtLeast) Point() point.Point { return n.point }

// Age returns the greatest age accepted.
func (n NoOlder) Age() time.Duration { return n.age }

const (
	// historyLength bounds the remembered positions of the primary; at one a historyStep it covers 3.2 s of lag.
	historyLength = 64
	historyStep   = 50 * time.Millisecond
	// failureFirst and failureMost bound how long a server is left alone after a failure.
	failureFirst = 100 * time.Millisecond
	failureMost  = 2 * time.Second
	// lagMargin is added to the estimated lag, since a refusal costs a whole hop.
	lagMargin = 5 * time.Millisecond
	// retryUnknown is how often a server of unknown lag is tried, and probeInterval one that is expected to be behind: an
	// estimate that is too high would otherwise never be corrected while writes keep coming.
	retryUnknown  = 25 * time.Millisecond
	probeInterval = 250 * time.Millisecond
)

// Costs weigh the load of a server against its distance.
type Costs struct {
	remote float64
	writes float64
}

// NewCosts returns costs where a server of another data centre counts like remote units of work more for each slot, and
// the primary like writes units more for each slot, which keeps room for what only the primary can do.
func NewCosts(remote, writes float64) Costs { return Costs{remote: remote, writes: writes} }

// Table is what a VM knows of the servers of one group. It is not safe for concurrent use.
type Table struct {
	home    string
	costs   Costs
	servers []server
	history []mark
	latest  mark
	term    uint64
	primary string
}

type server struct {
	address  string
	local    bool
	slots    int
	info     work.ServerInfo
	heard    time.Time
	tried    time.Time
	lag      time.Duration
	lagKnown bool
	running  int
	failures int
	blocked  time.Time
}

// mark says that the primary had reached a point at a time.
type mark struct {
	at    time.Time
	point point.Point
}

// Member is a server as the service definition gives it.
type Member struct {
	address    string
	dataCentre string
	slots      int
}

// NewMember returns a server of the group.
func NewMember(address, dataCentre string, slots int) Member {
	return Member{address: address, dataCentre: dataCentre, slots: slots}
}

// NewTable returns a table for a VM in the data centre home. Of servers that cost the same, the one that comes first in members
// is chosen.
func NewTable(home string, members []Member, costs Costs) *Table {
	t := &Table{home: home, costs: costs}
	for _, m := range members {
		t.servers = append(t.servers, server{
			address: m.address, local: m.dataCentre == home, slots: max(m.slots, 1),
		})
	}
	return t
}

func (t *Table) find(address string) *server {
	for i := range t.servers {
		if t.servers[i].address == address {
			return &t.servers[i]
		}
	}
	return nil
}

// Learn takes in what an owner told of its server.
func (t *Table) Learn(now time.Time, info work.ServerInfo) {
	s := t.find(info.Address)
	if s == nil || info.Term < s.info.Term {
		return
	}
	s.info, s.heard = info, now
	if info.Role == port.RolePrimary {
		if info.Term < t.term {
			return
		}
		t.term, t.primary = info.Term, info.Address
		t.Reached(now, info.AppliedPoint())
		return
	}
	t.estimateLag(now, s)
}

// estimateLag keeps the estimate between what the replica's position proves: the replica has not applied what the primary
// reached lower ago, and has applied what the primary reached upper ago.
func (t *Table) estimateLag(now time.Time, s *server) {
	if t.latest.at.IsZero() {
		return
	}
	applied := s.info.AppliedPoint()
	if applied.Covers(t.latest.point) {
		t.caughtUp(s, now.Sub(t.latest.at))
		return
	}
	upper := time.Duration(-1)
	for _, m := range t.history {
		if !applied.Covers(m.point) {
			t.clampLag(s, now.Sub(m.at), upper)
			return
		}
		upper = now.Sub(m.at)
	}
	t.clampLag(s, now.Sub(t.latest.at), upper)
}

// clampLag moves the estimate into [lower, upper]; a negative upper is no bound.
//
// Beyond the lower bound it steps ahead, by a quarter while the estimate is far off, so that few refusals are needed to
// reach the true lag, and by a sixteenth while it follows a lag that it knows.
func (t *Table) clampLag(s *server, lower, upper time.Duration) {
	step := lower / 4
	if s.lagKnown && s.lag > lower*4/5 {
		step = lower / 16
	}
	if s.lag < lower || !s.lagKnown {
		s.lag = lower + step
	}
	if upper >= 0 {
		s.lag = min(s.lag, max(upper, lower+step))
	}
	s.lagKnown = true
}

// caughtUp notes that the replica has everything that the primary is known to have, since at most upper. The estimate
// falls a little below that, so that a lag which has become shorter is found out by the next write.
func (t *Table) caughtUp(s *server, upper time.Duration) {
	if !s.lagKnown || upper <= s.lag+s.lag/16+lagMargin {
		s.lag = min(s.lag, upper) * 15 / 16
	}
	s.lagKnown = true
}

// Reached notes that the primary has reached p, for instance by a commit.
func (t *Table) Reached(now time.Time, p point.Point) {
	if t.latest.point.Covers(p) {
		return
	}
	t.latest = mark{at: now, point: p}
	if n := len(t.history); n > 0 && now.Sub(t.history[n-1].at) < historyStep {
		return
	}
	if len(t.history) == historyLength {
		t.history = append(t.history[:0], t.history[1:]...)
	}
	t.history = append(t.history, t.latest)
}

// Primary returns the address of the primary, or "" if it is not known.
func (t *Table) Primary() string { return t.primary }

// Started notes that a unit was sent to the server; Finished must follow.
func (t *Table) Started(now time.Time, address string) {
	if s := t.find(address); s != nil {
		s.running++
		s.tried = now
	}
}

// Finished notes that the unit sent to the server has ended, and whether the server or its owner failed.
func (t *Table) Finished(now time.Time, address string, failed bool, random float64) {
	s := t.find(address)
	if s == nil {
		return
	}
	s.running--
	if !failed {
		s.failures, s.blocked = 0, time.Time{}
		return
	}
	s.failures++
	d := min(failureFirst<<min(s.failures-1, 10), failureMost)
	s.blocked = now.Add(d/2 + time.Duration(random*float64(d/2)))
	if t.primary == address && s.failures > 1 {
		t.primary = ""
	}
}

// Choose returns the server for a unit with this need, leaving out those in tried; false if there is none.
//
// Replicas come before the primary, which alone can take the writes, until their slots are all in use.
func (t *Table) Choose(now time.Time, n Need, tried []string) (string, bool) {
	switch n := n.(type) {
	case Primary:
		return t.choosePrimary(tried)
	case AtLeast:
		return t.chooseReader(now, tried, func(s *server) bool { return t.expectedAt(now, s, n.point) })
	case NoOlder:
		return t.chooseReader(now, tried, func(s *server) bool { return !s.lagKnown || s.lag <= n.age })
	}
	return "", false
}

func (t *Table) choosePrimary(tried []string) (string, bool) {
	if t.primary == "" || contains(tried, t.primary) {
		return "", false
	}
	return t.primary, true
}

func (t *Table) chooseReader(now time.Time, tried []string, suits func(*server) bool) (string, bool) {
	var best *server
	for i := range t.servers {
		s := &t.servers[i]
		if s.address == t.primary || s.info.Leaving || now.Before(s.blocked) || contains(tried, s.address) || !suits(s) {
			continue
		}
		if best == nil || t.cost(s) < t.cost(best) {
			best = s
		}
	}
	primary := t.find(t.primary)
	if primary == nil || contains(tried, t.primary) {
		if best == nil {
			return "", false
		}
		return best.address, true
	}
	if best == nil || (load(best) >= 1 && load(primary)+t.costs.writes < load(best)) {
		return primary.address, true
	}
	return best.address, true
}

// expectedAt reports whether the replica has probably applied p: it said so, or p was reached longer ago than its lag.
func (t *Table) expectedAt(now time.Time, s *server, p point.Point) bool {
	if s.info.AppliedPoint().Covers(p) {
		return true
	}
	if !s.lagKnown {
		return now.Sub(s.tried) > retryUnknown
	}
	if now.Sub(s.tried) > probeInterval && now.Sub(s.heard) > probeInterval {
		return true
	}
	reached, found := t.reachedAt(p)
	return found && now.Sub(reached) > s.lag+lagMargin
}

// CatchUp returns how long it takes until a replica is expected to have applied p, and whether that can be told.
func (t *Table) CatchUp(now time.Time, p point.Point) (time.Duration, bool) {
	reached, found := t.reachedAt(p)
	if !found {
		return 0, false
	}
	best, known := time.Duration(0), false
	for i := range t.servers {
		s := &t.servers[i]
		if s.address == t.primary || s.info.Leaving || now.Before(s.blocked) || !s.lagKnown {
			continue
		}
		if d := reached.Add(s.lag + lagMargin).Sub(now); !known || d < best {
			best, known = d, true
		}
	}
	return max(best, 0), known
}

// reachedAt returns when this VM first knew that the primary had reached p.
func (t *Table) reachedAt(p point.Point) (time.Time, bool) {
	for _, m := range t.history {
		if m.point.Covers(p) {
			return m.at, true
		}
	}
	return t.latest.at, t.latest.point.Covers(p)
}

// load returns the units on a server for each of its slots; from 1 on a new one waits.
func load(s *server) float64 {
	return float64(max(s.info.Queue+s.info.Running, s.running)) / float64(s.slots)
}

func (t *Table) cost(s *server) float64 {
	c := load(s)
	if !s.local {
		c += t.costs.remote
	}
	return c
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
