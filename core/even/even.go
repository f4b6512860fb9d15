// Package even spreads work over servers whose load is known only from reports that are a little old.
//
// A report says how much work a server had when it was made. The older it is, the more of that work has ended, and the more has
// come from VMs that chose by similar reports. If all of them send their next statement to the server that looked least loaded,
// they overrun it, and then the next one. A VM therefore estimates what has come since from the VMs that choose like itself, and
// gives each server the share of its own statements with which the loads become equal if all of them do the same.
package even

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// averagingTime is the time constant of averages. It covers hundreds of statements of a busy server, and follows a change of
	// demand within seconds.
	averagingTime = time.Second
	// newestWeight is the least share of the newest statement in the mean service time and in the share of failures. The mean
	// varies by a tenth of the deviation of single statements, and follows a server that has become slow within some 50 statements.
	newestWeight = 0.02
	// serviceMemory and failureMemory are after how long they follow a server that gets few statements. A VM also goes by a reported
	// share of failures no longer than that, and then tries the server again now and then, so that one that has healed gets its share
	// back.
	serviceMemory = 2 * time.Second
	failureMemory = 2 * time.Second
	// failureCost is how many statements of the server's time a failure counts as. A failed read costs its caller another try, and
	// often a time limit. A server that fails each time gets one read for about 100 of its neighbour.
	failureCost = 100
	// failureTolerance is the share of failures that does not count. Lost answers and refusals at the limit of a queue occur at sound
	// servers too, and differ by chance.
	failureTolerance = 0.05
	// maxReportAge is how old a report may be. What it says of the demand and of the speed of a server lasts much longer than the
	// load at the moment of the report.
	maxReportAge = 10 * time.Second
)

// Average is the average of a quantity over time. Recent times count more. The zero value is an average of 0.
type Average struct {
	mean, current float64
	updated       time.Time
}

// Set records that the quantity is v from now on.
func (a *Average) Set(now time.Time, v float64) {
	a.mean, a.current, a.updated = a.Mean(now), v, now
}

// Mean returns the average until now.
func (a *Average) Mean(now time.Time) float64 {
	dt := now.Sub(a.updated)
	if a.updated.IsZero() || dt <= 0 {
		return a.mean
	}
	return a.current + (a.mean-a.current)*math.Exp(-dt.Seconds()/averagingTime.Seconds())
}

// Report is the load of a server as its owner knows it.
type Report struct {
	load    int
	demand  float64
	near    float64
	service time.Duration
	failed  float64
}

// NewReport returns a report. Load is the number of statements that run or wait. Demand is how many slots the statements of the
// last second or so need on average, whether or not the server has them. Near, in [0,1], is the share of the statements that come
// from the place of the VM for which the report is made. Service is the mean time that the server takes for a statement.
func NewReport(load int, demand, near float64, service time.Duration) Report {
	return Report{load: max(load, 0), demand: max(demand, 0), near: min(max(near, 0), 1), service: service}
}

// WithFailures returns the report of a server that fails a share of its statements, in [0,1].
func (r Report) WithFailures(share float64) Report {
	r.failed = min(max(share, 0), 1)
	return r
}

// Failed returns the share of the statements that fail.
func (r Report) Failed() float64 { return r.failed }

// cost returns the time that a statement counts as at the server, with the failures, if the report is of this age.
func (r Report) cost(age time.Duration) float64 {
	failed := r.failed * math.Exp(-max(age, 0).Seconds()/failureMemory.Seconds())
	return r.service.Seconds() * (1 + failureCost*max(failed-failureTolerance, 0))
}

// Load returns the number of statements that run or wait.
func (r Report) Load() int { return r.load }

// Demand returns how many slots the statements need on average.
func (r Report) Demand() float64 { return r.demand }

// Near returns the share of the statements that come from the place of the VM for which the report is made.
func (r Report) Near() float64 { return r.near }

// Service returns the mean time that the server takes for a statement.
func (r Report) Service() time.Duration { return r.service }

// Known reports whether the report says anything. The zero Report does not.
func (r Report) Known() bool { return r.service > 0 }

// Place stands for the VMs that choose alike. See PlaceOf.
type Place uint16

// PlaceOf returns the place of the VMs of a data centre to which some servers of the group are nearer than others. For all other
// VMs the servers are equally far, and their place is 0. Two data centres may get the same place, which makes their VMs share out
// more carefully than needed.
func PlaceOf(dataCentre string) Place { return Place(xxhash.Sum64String(dataCentre) | 1) }

// Meter measures the load of a server at its owner. The zero value is ready to use. A Meter is not safe for concurrent use.
type Meter struct {
	service                  float64 // mean, in seconds
	failed                   float64
	lastSuccess, lastOutcome time.Time
	counted                  time.Time         // until when the counts have been decayed
	statements               float64           // decayed
	origins                  map[Place]float64 // decayed numbers of statements and transactions
}

// RecordStatement records a statement that is to run on the server.
func (m *Meter) RecordStatement(now time.Time) {
	m.decay(now)
	m.statements++
}

// RecordSuccess records a statement for which the server took d.
func (m *Meter) RecordSuccess(now time.Time, d time.Duration) {
	w := 1.0
	if m.service > 0 {
		w = weight(now.Sub(m.lastSuccess), serviceMemory)
	}
	m.lastSuccess = now
	m.service += w * (d.Seconds() - m.service)
	m.recordOutcome(now, 0)
}

// RecordFailure records a statement that the server refused, failed or left without an answer. How long that took says nothing about
// its speed.
func (m *Meter) RecordFailure(now time.Time) { m.recordOutcome(now, 1) }

func (m *Meter) recordOutcome(now time.Time, failed float64) {
	if !m.lastOutcome.IsZero() {
		m.failed += weight(now.Sub(m.lastOutcome), failureMemory) * (failed - m.failed)
	}
	m.lastOutcome = now
}

// weight returns the weight of the newest of the samples of a mean, of which the one before is dt old.
func weight(dt, memory time.Duration) float64 {
	return max(newestWeight, 1-math.Exp(-dt.Seconds()/memory.Seconds()))
}

// RecordOrigin records from which place a statement or a transaction comes.
func (m *Meter) RecordOrigin(now time.Time, p Place) {
	m.decay(now)
	if m.origins == nil {
		m.origins = make(map[Place]float64)
	}
	m.origins[p]++
}

// decay reduces the counts by their age. Places from which nothing has come for long are dropped.
func (m *Meter) decay(now time.Time) {
	dt := now.Sub(m.counted)
	if dt <= 0 {
		return
	}
	m.counted = now
	left := math.Exp(-dt.Seconds() / averagingTime.Seconds())
	m.statements *= left
	for place, n := range m.origins {
		if n *= left; n < 1e-3 {
			delete(m.origins, place)
			continue
		}
		m.origins[place] = n
	}
}

// Report returns a report for a VM at a place, if load statements run or wait now. It is not Known before the first statement has
// ended.
func (m *Meter) Report(now time.Time, load int, p Place) Report {
	m.decay(now)
	all, near := 0.0, 0.0
	for _, n := range m.origins {
		all += n
	}
	if all > 0 {
		near = m.origins[p] / all
	}
	service := time.Duration(m.service * float64(time.Second))
	return NewReport(load, m.statements/averagingTime.Seconds()*m.service, near, service).WithFailures(m.failed)
}

// Estimate is what a VM knows of the load of one server: its own statements there, and the latest report. The zero value is ready
// to use. An Estimate is not safe for concurrent use.
type Estimate struct {
	report     Report
	reportedAt time.Time
	others     int // statements of other VMs at the time of the report
	own        int
	ownAverage Average
}

// SetOwn records how many statements of this VM are at the server from now on.
func (e *Estimate) SetOwn(now time.Time, n int) {
	e.own = n
	e.ownAverage.Set(now, float64(n))
}

// RecordReport records a report that was made just before now, after ended of this VM's own statements had ended at the server
// whose end SetOwn has not been told yet.
func (e *Estimate) RecordReport(now time.Time, r Report, ended int) {
	if r.Known() {
		e.report, e.reportedAt, e.others = r, now, max(r.load-max(e.own-ended, 0), 0)
	}
}

// Latest returns the latest report and its age. It returns false if there is none, or if it is too old to be used.
func (e *Estimate) Latest(now time.Time) (Report, time.Duration, bool) {
	age := now.Sub(e.reportedAt)
	return e.report, age, e.report.Known() && age <= maxReportAge
}

// expected returns how much work of others the server is expected to have: fixed work, and work that VMs which choose like this
// one spread over the servers. Of the reported work as much is left as has not been replaced by newer work. Of newer work there is
// taken to be as much as the demand, which, unlike an average of the load, grows only in proportion to the statements sent: with
// an average, the corrections of all VMs together would be too large at high load.
func (e *Estimate) expected(now time.Time, slots int) (fixed, movable float64) {
	r, age, known := e.Latest(now)
	if !known {
		return 0, 0
	}
	stay := r.service.Seconds() * max(1, float64(r.load)/float64(slots))
	left := math.Exp(-max(age, 0).Seconds() / stay)
	fixed = left*float64(e.others) + (1-left)*r.demand*(1-r.near)
	movable = (1 - left) * max(r.demand*r.near-e.ownAverage.Mean(now), 0)
	return fixed, movable
}

// Candidate is a server that may run a statement.
type Candidate struct {
	estimate *Estimate
	slots    int
	penalty  float64
	fixed    bool
	level    float64 // expected load per slot in work of a server of full speed, and the penalty
	slope    float64 // by how much a statement raises level
	spread   float64 // work that is spread to the server, in statements
	share    float64
}

// NewCandidate returns a candidate with the estimate of its load. The penalty is in units of work per slot.
func NewCandidate(e *Estimate, slots int, penalty float64) Candidate {
	return Candidate{estimate: e, slots: max(slots, 1), penalty: penalty}
}

// WithFixedLoad returns the candidate of a server whose work VMs do not spread, such as that of a primary.
func (c Candidate) WithFixedLoad() Candidate {
	c.fixed = true
	return c
}

// Share returns the share of the statements that the candidate gets, as Spread has determined it.
func (c Candidate) Share() float64 { return c.share }

// LoadWithOneMore returns Load with one more statement.
func (c Candidate) LoadWithOneMore() float64 { return c.Load() + c.slope }

// Load returns the expected load per slot without the penalty, as Spread has determined it, with the work that it has spread. A
// statement of a server at a fifth of the speed of the fastest candidate counts five times.
func (c Candidate) Load() float64 { return c.level - c.penalty + c.spread*c.slope }

// Spread determines the share of each candidate. It returns false if no candidate has a report, so that there is nothing to go by.
//
// Speed and failures count only in comparison with the other candidates. If all are slow or fail alike, none loses its share.
func Spread(now time.Time, candidates []Candidate) bool {
	least, known := math.Inf(1), false
	for _, c := range candidates {
		if r, age, ok := c.estimate.Latest(now); ok {
			least, known = min(least, r.cost(age)), true
		}
	}
	if !known {
		return false
	}
	amount := 0.0
	for i := range candidates {
		c := &candidates[i]
		slowness := 1.0
		if r, age, ok := c.estimate.Latest(now); ok {
			slowness = r.cost(age) / least
		}
		fixed, movable := c.estimate.expected(now, c.slots)
		if c.fixed {
			fixed, movable = fixed+movable, 0
		}
		c.slope = slowness / float64(c.slots)
		c.level = (float64(c.estimate.own)+fixed)*c.slope + c.penalty
		amount += movable
	}
	fill(candidates, amount)
	return true
}

// minAmount is the least work that is spread, in statements. It makes candidates of equal level share alike.
const minAmount = 1e-6

// fill distributes amount over the candidates by water-filling: the lowest levels are raised to a common one, the surface, and candidates
// above it get nothing.
func fill(candidates []Candidate, amount float64) {
	amount = max(amount, minAmount)
	order := make([]*Candidate, len(candidates))
	for i := range candidates {
		order[i] = &candidates[i]
		order[i].share, order[i].spread = 0, 0
	}
	slices.SortStableFunc(order, func(a, b *Candidate) int {
		switch {
		case a.level < b.level:
			return -1
		case a.level > b.level:
			return 1
		}
		return 0
	})
	// With n candidates below the surface, it is at (amount + sum of level/slope) / (sum of 1/slope).
	width, volume, surface := 0.0, amount, 0.0
	for i, c := range order {
		width += 1 / c.slope
		volume += c.level / c.slope
		surface = volume / width
		if i+1 == len(order) || surface <= order[i+1].level {
			break
		}
	}
	for _, c := range order {
		if c.level < surface {
			c.spread = (surface - c.level) / c.slope
			c.share = c.spread / amount
		}
	}
}
