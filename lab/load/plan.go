// Package load generates the load of callers: it sends requests at planned times through unmodified PostgreSQL clients
// and records the outcome that each caller saw.
package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind is a kind of request.
type Kind uint8

// The kinds of requests.
const (
	// Read reads the caller's own newest payment, which the result must include.
	Read Kind = iota
	// Pay inserts a payment in a single non-idempotent statement that the service declares.
	Pay
	// Transfer writes two rows in one transaction.
	Transfer
	// Browse reads data that may be as old as Profile.MaxAge.
	Browse
	// Straggler is a read that runs many times longer than the others.
	Straggler
	kindCount
)

// String returns the kind's name.
func (k Kind) String() string {
	names := [...]string{"read", "pay", "transfer", "browse", "straggler"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Read, Pay, Transfer, Browse, Straggler} }

// Step multiplies Profile.Rate by Factor from the time At until the next step.
type Step struct {
	At     time.Duration `json:"at" yaml:"at"`
	Factor float64       `json:"factor" yaml:"factor"`
}

// Profile describes a load. Experiment files contain it.
type Profile struct {
	// Duration is the time during which requests arrive.
	Duration time.Duration `json:"duration" yaml:"duration"`
	// Rate is the arrival rate of all kinds but Straggler at factor 1, in requests per second.
	Rate float64 `json:"rate" yaml:"rate"`
	// Steps change the rate, in order of time.
	Steps []Step `json:"steps,omitempty" yaml:"steps,omitempty"`
	// Callers is the number of callers.
	Callers int `json:"callers" yaml:"callers"`
	// Pay, Transfer and Browse are the shares of these kinds; the rest are reads.
	Pay      float64 `json:"pay" yaml:"pay"`
	Transfer float64 `json:"transfer,omitempty" yaml:"transfer,omitempty"`
	Browse   float64 `json:"browse,omitempty" yaml:"browse,omitempty"`
	// Roam is the probability that a caller reconnects to another VM before a request.
	Roam float64 `json:"roam,omitempty" yaml:"roam,omitempty"`
	// Stragglers is the number of stragglers per second between StragglersFrom and StragglersTo.
	Stragglers     float64       `json:"stragglers,omitempty" yaml:"stragglers,omitempty"`
	StragglersFrom time.Duration `json:"stragglers_from,omitempty" yaml:"stragglers_from,omitempty"`
	StragglersTo   time.Duration `json:"stragglers_to,omitempty" yaml:"stragglers_to,omitempty"`
	// StragglerTime is how long a straggler runs on its server.
	StragglerTime time.Duration `json:"straggler_time,omitempty" yaml:"straggler_time,omitempty"`
	// MaxAge is the greatest age of data that browses accept. It must equal the age that the service declares.
	MaxAge time.Duration `json:"max_age,omitempty" yaml:"max_age,omitempty"`
	// Lag is the replication lag, by which the record counts the reads that an oracle could send to a replica.
	Lag time.Duration `json:"lag,omitempty" yaml:"lag,omitempty"`
	// Turns assigns requests to callers in round-robin order instead of at random. As long as requests take less than
	// Callers/Rate, no request then waits for an earlier one of the same caller.
	Turns bool `json:"turns,omitempty" yaml:"turns,omitempty"`
	// Connected makes all callers connect before the first arrival, so that no request waits for a connection.
	Connected bool `json:"connected,omitempty" yaml:"connected,omitempty"`
}

// Request is one planned request.
type Request struct {
	at     time.Duration
	kind   Kind
	caller int
	roam   bool
	vmDraw float64 // in [0, 1), chooses the VM to reconnect to
}

// At returns the planned arrival, as the time since the start of the load.
func (r Request) At() time.Duration { return r.at }

// Kind returns the kind of the request.
func (r Request) Kind() Kind { return r.kind }

// Caller returns the number of the caller.
func (r Request) Caller() int { return r.caller }

// Roams reports whether the caller reconnects to another VM before the request.
func (r Request) Roams() bool { return r.roam }

// VM returns the index of the VM, out of n, to which a caller reconnects from the VM with index from.
func (r Request) VM(from, n int) int { return (from + 1 + int(r.vmDraw*float64(n-1))) % n }

// Plan returns the requests of a profile in order of arrival. The plan depends only on the profile and the seed.
func Plan(p Profile, seed uint64) []Request {
	rnd := rand.New(rand.NewPCG(seed, 0))
	var plan []Request
	for t := timeToNext(rnd, p.Rate*p.rateFactor(0)); t < p.Duration; t += timeToNext(rnd, p.Rate*p.rateFactor(t)) {
		q := p.drawRequest(rnd, t)
		if p.Turns {
			q.caller = len(plan) % p.Callers
		}
		plan = append(plan, q)
	}
	if p.Stragglers > 0 {
		plan = mergeByArrival(plan, p.planStragglers(rnd))
	}
	return plan
}

// timeToNext draws the time to the next arrival of a Poisson process with the given rate per second.
func timeToNext(rnd *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 4
	}
	return time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
}

func (p Profile) rateFactor(t time.Duration) float64 {
	f := 1.0
	for _, s := range p.Steps {
		if t >= s.At {
			f = s.Factor
		}
	}
	return f
}

func (p Profile) drawRequest(rnd *rand.Rand, t time.Duration) Request {
	r := Request{at: t, kind: Read, caller: rnd.IntN(p.Callers), roam: rnd.Float64() < p.Roam, vmDraw: rnd.Float64()}
	switch x := rnd.Float64(); {
	case x < p.Pay:
		r.kind = Pay
	case x < p.Pay+p.Transfer:
		r.kind = Transfer
	case x < p.Pay+p.Transfer+p.Browse:
		r.kind = Browse
	}
	return r
}

// planStragglers plans the stragglers, each from a caller of its own numbered after the other callers.
func (p Profile) planStragglers(rnd *rand.Rand) []Request {
	end := p.StragglersTo
	if end == 0 {
		end = p.Duration
	}
	var list []Request
	for t := p.StragglersFrom + timeToNext(rnd, p.Stragglers); t < end; t += timeToNext(rnd, p.Stragglers) {
		list = append(list, Request{at: t, kind: Straggler, caller: p.Callers + len(list), vmDraw: rnd.Float64()})
	}
	return list
}

func mergeByArrival(a, b []Request) []Request {
	out := make([]Request, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].at <= b[0].at {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	return append(append(out, a...), b...)
}
