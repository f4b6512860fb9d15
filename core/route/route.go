// Package route chooses the server of a group that runs a unit of work.
//
// What a VM has learned about a server comes from earlier answers and may be stale, so a choice may be wrong. The VM that owns
// the server therefore checks each unit, and refuses one that the server must not run.
package route

import (
	"math"
	"slices"
	"time"

	"verbenagate/core/even"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/work"
)

// Need is what a unit requires of its server: Primary, AtLeast or MaxAge.
type Need interface{ need() }

// Primary requires the primary.
type Primary struct{}

// AtLeast requires a server that has applied the log up to a point.
type AtLeast struct{ point point.Point }

// MaxAge requires a server whose data are no older than a stated age.
type MaxAge struct{ age time.Duration }

func (Primary) need() {}
func (AtLeast) need() {}
func (MaxAge) need()  {}

// NewAtLeast returns the need for a server that has applied the log up to p.
func NewAtLeast(p point.Point) AtLeast { return AtLeast{point: p} }

// NewMaxAge returns the need for data no older than age.
func NewMaxAge(age time.Duration) MaxAge { return MaxAge{age: age} }

// Point returns the required point.
func (n AtLeast) Point() point.Point { return n.point }

// Age returns the greatest age accepted.
func (n MaxAge) Age() time.Duration { return n.age }

const (
	// maxHistorySamples bounds the kept positions of the primary. With one sample per historyInterval they cover a replication
	// lag of 3.2 s.
	maxHistorySamples = 64
	historyInterval   = 50 * time.Millisecond
	// initialFailureBackoff and maxFailureBackoff bound how long a server gets no reads after a failure.
	initialFailureBackoff = 100 * time.Millisecond
	maxFailureBackoff     = 2 * time.Second
	// lagMargin is added to the estimated lag, because a refusal costs an extra hop.
	lagMargin = 5 * time.Millisecond
	// unknownLagRetryInterval is how often a replica of unknown lag is tried, and laggingProbeInterval how often one that is
	// expected to lag behind. Without these probes, an estimate that is too high would never be corrected while writes keep
	// coming.
	unknownLagRetryInterval = 25 * time.Millisecond
	laggingProbeInterval    = 250 * time.Millisecond
)

// Costs are penalties that weigh the load of a server against its distance and its role.
type Costs struct {
	remotePenalty  float64
	primaryPenalty float64
}

// NewCosts returns costs in units of work per slot. A server in another data centre counts as if it had remotePenalty more
// units per slot. The primary counts as if it had primaryPenalty more, which leaves room for work that only the primary can do.
func NewCosts(remotePenalty, primaryPenalty float64) Costs {
	return Costs{remotePenalty: remotePenalty, primaryPenalty: primaryPenalty}
}

// Table holds what a VM has learned about the servers of one group. It is not safe for concurrent use.
type Table struct {
	localDataCentre string
	costs           Costs
	servers         []server
	primaryHistory  []positionSample
	latestPrimary   positionSample
	term            uint64
	primary         string
}

type server struct {
	address             string
	local               bool
	slots               int
	info                work.ServerInfo
	reportedAt          time.Time
	lastTriedAt         time.Time
	estimatedLag        time.Duration
	lagKnown            bool
	inFlight            int
	consecutiveFailures int
	blockedUntil        time.Time
	estimate            even.Estimate
	credit              float64 // by how many reads the server has had fewer than its shares since
	chosen              uint64
}

// positionSample records when this VM learned that the primary had reached a point.
type positionSample struct {
	learnedAt time.Time
	point     point.Point
}

// Member is a server of the group as configured.
type Member struct {
	address    string
	dataCentre string
	slots      int
}

// NewMember returns a server of the group that runs up to slots units of work at once.
func NewMember(address, dataCentre string, slots int) Member {
	return Member{address: address, dataCentre: dataCentre, slots: slots}
}

// NewTable returns a table for a VM in localDataCentre. Of servers with equal costs, the first in members is chosen.
func NewTable(localDataCentre string, members []Member, costs Costs) *Table {
	t := &Table{localDataCentre: localDataCentre, costs: costs}
	for _, m := range members {
		t.servers = append(t.servers, server{
			address: m.address, local: m.dataCentre == localDataCentre, slots: max(m.slots, 1),
		})
	}
	return t
}

func (t *Table) serverByAddress(address string) *server {
	for i := range t.servers {
		if t.servers[i].address == address {
			return &t.servers[i]
		}
	}
	return nil
}

// RecordReport records what the owner of a server reported about it. A report of an older term is ignored.
func (t *Table) RecordReport(now time.Time, info work.ServerInfo) {
	s := t.serverByAddress(info.Address)
	if s == nil || info.Term < s.info.Term {
		return
	}
	s.info, s.reportedAt = info, now
	if info.Role == port.RolePrimary {
		if info.Term < t.term {
			return
		}
		t.term, t.primary = info.Term, info.Address
		t.RecordPrimaryPosition(now, info.AppliedPoint())
		return
	}
	t.estimateLag(now, s)
}

// estimateLag moves the estimated lag into the bounds that the replica's applied position proves. The lower bound is the age of
// the oldest primary position that the replica has not applied, the upper bound the age of the newest that it has applied.
func (t *Table) estimateLag(now time.Time, s *server) {
	if t.latestPrimary.learnedAt.IsZero() {
		return
	}
	applied := s.info.AppliedPoint()
	if applied.Covers(t.latestPrimary.point) {
		t.markCaughtUp(s, now.Sub(t.latestPrimary.learnedAt))
		return
	}
	upper := time.Duration(-1)
	for _, m := range t.primaryHistory {
		if !applied.Covers(m.point) {
			t.clampLag(s, now.Sub(m.learnedAt), upper)
			return
		}
		upper = now.Sub(m.learnedAt)
	}
	t.clampLag(s, now.Sub(t.latestPrimary.learnedAt), upper)
}

// clampLag moves the estimate into [lower, upper]. A negative upper means that there is no upper bound.
//
// An estimate that has to rise overshoots the lower bound: by a quarter while it is far off, so that few refusals are needed
// to reach the true lag, and by a sixteenth while it follows a known lag.
func (t *Table) clampLag(s *server, lower, upper time.Duration) {
	overshoot := lower / 4
	if s.lagKnown && s.estimatedLag > lower*4/5 {
		overshoot = lower / 16
	}
	if s.estimatedLag < lower || !s.lagKnown {
		s.estimatedLag = lower + overshoot
	}
	if upper >= 0 {
		s.estimatedLag = min(s.estimatedLag, max(upper, lower+overshoot))
	}
	s.lagKnown = true
}

// markCaughtUp records that the replica has applied everything that the primary is known to have, so that its lag is at most
// upper. The estimate falls a little below that, so that the next write shows whether the lag has become shorter.
func (t *Table) markCaughtUp(s *server, upper time.Duration) {
	if !s.lagKnown || upper <= s.estimatedLag+s.estimatedLag/16+lagMargin {
		s.estimatedLag = min(s.estimatedLag, upper) * 15 / 16
	}
	s.lagKnown = true
}

// RecordPrimaryPosition records that the primary has reached p, for instance through a commit.
func (t *Table) RecordPrimaryPosition(now time.Time, p point.Point) {
	if t.latestPrimary.point.Covers(p) {
		return
	}
	t.latestPrimary = positionSample{learnedAt: now, point: p}
	if n := len(t.primaryHistory); n > 0 && now.Sub(t.primaryHistory[n-1].learnedAt) < historyInterval {
		return
	}
	if len(t.primaryHistory) == maxHistorySamples {
		t.primaryHistory = append(t.primaryHistory[:0], t.primaryHistory[1:]...)
	}
	t.primaryHistory = append(t.primaryHistory, t.latestPrimary)
}

// Primary returns the address of the primary, or "" if it is not known.
func (t *Table) Primary() string { return t.primary }

// Started records that a unit was sent to the server. A call of Finished must follow.
func (t *Table) Started(now time.Time, address string) {
	if s := t.serverByAddress(address); s != nil {
		s.inFlight++
		s.lastTriedAt = now
		s.chosen++
		s.estimate.SetOwn(now, s.inFlight)
	}
}

// Finished records that a unit sent to the server has ended. The parameter failed says that the server or its owner failed;
// random, in [0,1), is the jitter of the backoff that follows.
func (t *Table) Finished(now time.Time, address string, failed bool, random float64) {
	s := t.serverByAddress(address)
	if s == nil {
		return
	}
	s.inFlight--
	s.estimate.SetOwn(now, s.inFlight)
	if !failed {
		s.consecutiveFailures, s.blockedUntil = 0, time.Time{}
		return
	}
	s.consecutiveFailures++
	d := min(initialFailureBackoff<<min(s.consecutiveFailures-1, 10), maxFailureBackoff)
	s.blockedUntil = now.Add(d/2 + time.Duration(random*float64(d/2)))
	if t.primary == address && s.consecutiveFailures > 1 {
		t.primary = ""
	}
}

// Place returns the place of the VM among those that choose servers of this group: that of its data centre if a replica is there.
func (t *Table) Place() even.Place {
	if slices.ContainsFunc(t.servers, func(s server) bool { return s.local && s.address != t.primary }) {
		return even.PlaceOf(t.localDataCentre)
	}
	return 0
}

// RecordLoad records what the owner of a server reported about its load. Ended is how many of this VM's units had ended on the
// server by then for which Finished has not been called yet.
func (t *Table) RecordLoad(now time.Time, address string, r even.Report, ended int) {
	if s := t.serverByAddress(address); s != nil {
		s.estimate.RecordReport(now, r, ended)
	}
}

// Choose returns the server for a unit with need n, other than those in excluded. It returns false if there is none.
//
// Replicas are preferred to the primary, which alone can run writes, until all their slots are in use. Where owners report the
// load of servers, reads are spread over the replicas by the shares of package even; without reports, a read goes to the server
// with the lowest cost.
func (t *Table) Choose(now time.Time, n Need, excluded []string) (string, bool) {
	switch n.(type) {
	case Primary:
		return t.choosePrimary(excluded)
	case AtLeast, MaxAge:
		return t.chooseForRead(now, n, excluded)
	}
	return "", false
}

// MayRead reports whether a read that need not run on the primary may be sent to a server: it belongs to the group and is not leaving.
// Choose may name a primary that is leaving, and a server may leave after it was chosen, so whoever sends the read asks at last.
func (t *Table) MayRead(address string) bool {
	s := t.serverByAddress(address)
	return s != nil && !s.info.Leaving
}

// replicasFor returns the replicas, other than those in excluded, that can probably run a unit with need n.
func (t *Table) replicasFor(now time.Time, n Need, excluded []string) []*server {
	var replicas []*server
	for i := range t.servers {
		s := &t.servers[i]
		if s.address == t.primary || s.info.Leaving || now.Before(s.blockedUntil) || contains(excluded, s.address) {
			continue
		}
		if t.expectedToMeet(now, s, n) {
			replicas = append(replicas, s)
		}
	}
	return replicas
}

// expectedToMeet reports whether the replica probably meets a need.
func (t *Table) expectedToMeet(now time.Time, s *server, n Need) bool {
	switch n := n.(type) {
	case AtLeast:
		return t.expectedToCover(now, s, n.point)
	case MaxAge:
		return !s.lagKnown || s.estimatedLag <= n.age || isProbeDue(now, s)
	}
	return false
}

func (t *Table) choosePrimary(excluded []string) (string, bool) {
	if t.primary == "" || contains(excluded, t.primary) {
		return "", false
	}
	return t.primary, true
}

func (t *Table) chooseForRead(now time.Time, n Need, excluded []string) (string, bool) {
	replicas := t.replicasFor(now, n, excluded)
	primary := t.serverByAddress(t.primary)
	if primary != nil && contains(excluded, t.primary) {
		primary = nil
	}
	if len(replicas) == 0 {
		if primary == nil {
			return "", false
		}
		return primary.address, true
	}
	if s := t.chooseByShare(now, replicas, primary); s != nil {
		return s.address, true
	}
	best := replicas[0]
	for _, s := range replicas[1:] {
		if t.cost(s) < t.cost(best) {
			best = s
		}
	}
	if primary != nil && load(best) >= 1 && load(primary)+t.costs.primaryPenalty < load(best) {
		return primary.address, true
	}
	return best.address, true
}

// chooseByShare chooses one of the replicas, or the primary if all their slots are in use, so that each gets its share of the
// reads. It returns nil if no owner has reported a usable load of a replica.
func (t *Table) chooseByShare(now time.Time, replicas []*server, primary *server) *server {
	candidates := make([]even.Candidate, 0, len(replicas)+1)
	for _, s := range replicas {
		candidates = append(candidates, even.NewCandidate(&s.estimate, s.slots, t.penalty(s)))
	}
	if !even.Spread(now, candidates) {
		return nil
	}
	if primary != nil && !slices.ContainsFunc(candidates, func(c even.Candidate) bool { return c.Load() < 1 }) {
		replicas = append(replicas, primary)
		candidates = append(candidates, even.NewCandidate(&primary.estimate, primary.slots, t.costs.primaryPenalty).WithFixedLoad())
		even.Spread(now, candidates)
	}
	return takeByShare(replicas, candidates)
}

const (
	// minSendBackLoad is the load per slot below which a unit is not worth a second hop: about as much work runs as waits.
	minSendBackLoad = 2
	// sendBackMargin is by how much the load per slot must exceed that of another replica. The load of that one is an estimate, and
	// all VMs whose units are sent back come to it.
	sendBackMargin = 1
)

// SendBackAt returns from how much load on, in units that run or wait ahead, the owner of the chosen server should send a unit with
// need n back, so that it goes to another replica. Only the owner knows the load exactly, and the choice may prove wrong. It
// returns 0 if the unit must not be sent back, since no other replica, beside those in excluded, is known to have room for it.
func (t *Table) SendBackAt(now time.Time, n Need, chosen string, excluded []string) int {
	s := t.serverByAddress(chosen)
	if s == nil || chosen == t.primary {
		return 0
	}
	candidates := []even.Candidate{even.NewCandidate(&s.estimate, s.slots, 0)}
	for _, r := range t.replicasFor(now, n, append([]string{chosen}, excluded...)) {
		if report, _, known := r.estimate.Latest(now); known && report.Demand() < float64(r.slots) {
			candidates = append(candidates, even.NewCandidate(&r.estimate, r.slots, 0))
		}
	}
	if len(candidates) == 1 || !even.Spread(now, candidates) {
		return 0
	}
	least := math.Inf(1)
	for _, c := range candidates[1:] {
		least = min(least, c.LoadWithOneMore())
	}
	return int(math.Round(float64(s.slots) * max(minSendBackLoad, least+sendBackMargin)))
}

// maxCredit bounds what a server may be owed, so that it gets no burst of reads after a time in which it could not have any.
const maxCredit = 1

// takeByShare adds each server's share to its credit, and takes the one with the fewest units of this VM, in proportion to its share,
// where credit counts as units fewer. A VM's own reads are thus spread more evenly than by chance, and away from a server at which
// they are held up. It returns nil if no server has a share: the loads that other VMs reported are too large for the arithmetic.
func takeByShare(servers []*server, candidates []even.Candidate) *server {
	var best *server
	least := math.Inf(1)
	for i, s := range servers {
		share := candidates[i].Share()
		s.credit = min(s.credit+share, maxCredit)
		if share <= 0 {
			continue
		}
		if excess := (float64(s.inFlight) + maxCredit - s.credit) / share; excess < least {
			best, least = s, excess
		}
	}
	if best != nil {
		best.credit = max(best.credit-1, -maxCredit)
	}
	return best
}

// expectedToCover reports whether the replica has probably applied p: it reported so, or the primary reached p longer ago than
// the estimated lag. It also returns true when the replica is due for a probe.
func (t *Table) expectedToCover(now time.Time, s *server, p point.Point) bool {
	if s.info.AppliedPoint().Covers(p) {
		return true
	}
	if !s.lagKnown {
		return now.Sub(s.lastTriedAt) > unknownLagRetryInterval
	}
	if isProbeDue(now, s) {
		return true
	}
	reached, found := t.reachedAt(p)
	return found && now.Sub(reached) > s.estimatedLag+lagMargin
}

// isProbeDue reports whether a replica that is expected to lag behind is to be tried again: its lag may have ended since it last
// answered this VM.
func isProbeDue(now time.Time, s *server) bool {
	return now.Sub(s.lastTriedAt) > laggingProbeInterval && now.Sub(s.reportedAt) > laggingProbeInterval
}

// CatchUpDelay returns how long it takes until a replica is expected to have applied p, and false if that cannot be estimated.
func (t *Table) CatchUpDelay(now time.Time, p point.Point) (time.Duration, bool) {
	reached, found := t.reachedAt(p)
	if !found {
		return 0, false
	}
	best, known := time.Duration(0), false
	for i := range t.servers {
		s := &t.servers[i]
		if s.address == t.primary || s.info.Leaving || now.Before(s.blockedUntil) || !s.lagKnown {
			continue
		}
		if d := reached.Add(s.estimatedLag + lagMargin).Sub(now); !known || d < best {
			best, known = d, true
		}
	}
	return max(best, 0), known
}

// reachedAt returns when this VM learned that the primary had reached p. It returns false if it has not learned that.
func (t *Table) reachedAt(p point.Point) (time.Time, bool) {
	for _, m := range t.primaryHistory {
		if m.point.Covers(p) {
			return m.learnedAt, true
		}
	}
	return t.latestPrimary.learnedAt, t.latestPrimary.point.Covers(p)
}

// load returns the units of work on a server per slot. From 1 on, a new unit has to wait.
func load(s *server) float64 {
	return float64(max(s.info.Queue+s.info.Running, s.inFlight)) / float64(s.slots)
}

func (t *Table) cost(s *server) float64 { return load(s) + t.penalty(s) }

func (t *Table) penalty(s *server) float64 {
	if s.local {
		return 0
	}
	return t.costs.remotePenalty
}

// Share is what a table knows of the load of one server, for a diagnostic dump.
type Share struct {
	Server string `json:"server"`
	// Chosen is the number of units sent to the server since the table was made, InFlight that of those that have not ended.
	Chosen   uint64 `json:"chosen"`
	InFlight int    `json:"in_flight"`
	// Load, Demand, Near, ServiceMS and Failed are those of the latest report, which is AgeMS old; see even.NewReport. Without a report
	// they are 0.
	Load      int     `json:"load"`
	Demand    float64 `json:"demand"`
	Near      float64 `json:"near"`
	ServiceMS float64 `json:"service_ms"`
	Failed    float64 `json:"failed"`
	AgeMS     float64 `json:"age_ms"`
	// Reported says whether there is a report that is young enough to be used.
	Reported bool `json:"reported"`
}

// Shares returns what the table knows of the load of each server.
func (t *Table) Shares(now time.Time) []Share {
	all := make([]Share, 0, len(t.servers))
	for i := range t.servers {
		s := &t.servers[i]
		d := Share{Server: s.address, Chosen: s.chosen, InFlight: s.inFlight}
		if r, age, ok := s.estimate.Latest(now); ok {
			d.Load, d.Demand, d.Near, d.Failed, d.Reported = r.Load(), r.Demand(), r.Near(), r.Failed(), true
			d.ServiceMS, d.AgeMS = float64(r.Service())/float64(time.Millisecond), float64(age)/float64(time.Millisecond)
		}
		all = append(all, d)
	}
	return all
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
