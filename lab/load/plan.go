// Package load plays callers: it sends requests at times fixed beforehand, through unmodified PostgreSQL clients, and
// records what each caller was told.
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
	// Read asks for the caller's own newest payment, which must be there.
	Read Kind = iota
	// Pay is a declared non-idempotent payment in a statement of its own.
	Pay
	// Transfer writes two rows in one transaction.
	Transfer
	// Browse reads data of a stated age.
	Browse
	// Straggler runs many times longer than the other reads.
	Straggler
	kinds
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

// Step changes the rate of arrivals from a time on.
type Step struct {
	At     time.Duration `json:"at" yaml:"at"`
	Factor float64       `json:"factor" yaml:"factor"`
}

// Profile describes a load. It is read from experiment files, so its fields are exported.
type Profile struct {
	// Duration is how long requests arrive.
	Duration time.Duration `json:"duration" yaml:"duration"`
	// Rate is the number of requests per second of all kinds but Straggler at factor 1.
	Rate float64 `json:"rate" yaml:"rate"`
	// Steps change the rate; each holds until the next.
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
	// MaxAge is the age that browses accept; it must be the one declared in the service.
	MaxAge time.Duration `json:"max_age,omitempty" yaml:"max_age,omitempty"`
	// Lag is the lag of the replicas, from which the record counts the reads that an oracle could send to a replica.
	Lag time.Duration `json:"lag,omitempty" yaml:"lag,omitempty"`
	// Turns makes the callers take turns in place of drawing one for each request, so that no request waits for the one
	// before it of the same caller, as long as requests take less than Callers/Rate.
	Turns bool `json:"turns,omitempty" yaml:"turns,omitempty"`
	// Connected makes all callers connect before the first request is due, so that no request waits for a connection.
	Connected bool `json:"connected,omitempty" yaml:"connected,omitempty"`
}

// Request is one planned request.
type Request struct {
	at     time.Duration
	kind   Kind
	caller int
	roam   bool
	target float64
}

// At returns the time of arrival from the start of the load.
func (r Request) At() time.Duration { return r.at }

// Kind returns the kind of the request.
func (r Request) Kind() Kind { return r.kind }

// Caller returns the number of the caller.
func (r Request) Caller() int { return r.caller }

// Roams reports whether the caller reconnects to another VM before the request.
func (r Request) Roams() bool { return r.roam }

// VM returns the VM that a caller reconnects to, of n VMs, if it used the VM from before.
func (r Request) VM(from, n int) int { return (from + 1 + int(r.target*float64(n-1))) % n }

// Plan returns the requests of a profile in order of arrival. The same seed gives the same plan.
func Plan(p Profile, seed uint64) []Request {
	rnd := rand.New(rand.NewPCG(seed, 0))
	var plan []Request
	for t := next(rnd, p.Rate*p.factor(0)); t < p.Duration; t += next(rnd, p.Rate*p.factor(t)) {
		q := p.request(rnd, t)
		if p.Turns {
			q.caller = len(plan) % p.Callers
		}
		plan = append(plan, q)
	}
	if p.Stragglers > 0 {
		plan = merge(plan, p.stragglers(rnd))
	}
	return plan
}

// next returns the time to the next arrival of a Poisson process of rate arrivals per second.
func next(rnd *rand.Rand, rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 4
	}
	return time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
}

func (p Profile) factor(t time.Duration) float64 {
	f := 1.0
	for _, s := range p.Steps {
		if t >= s.At {
			f = s.Factor
		}
	}
	return f
}

func (p Profile) request(rnd *rand.Rand, t time.Duration) Request {
	r := Request{at: t, kind: Read, caller: rnd.IntN(p.Callers), roam: rnd.Float64() < p.Roam, target: rnd.Float64()}
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

// stragglers come from callers of their own, numbered after the others.
func (p Profile) stragglers(rnd *rand.Rand) []Request {
	end := p.StragglersTo
	if end == 0 {
		end = p.Duration
	}
	var list []Request
	for t := p.StragglersFrom + next(rnd, p.Stragglers); t < end; t += next(rnd, p.Stragglers) {
		list = append(list, Request{at: t, kind: Straggler, caller: p.Callers + len(list), target: rnd.Float64()})
	}
	return list
}

func merge(a, b []Request) []Request {
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
