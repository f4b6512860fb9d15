package proof

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"verbenagate/core/svcdef"
	"verbenagate/lab/load"
	"verbenagate/lab/server"
)

// Bounds of what a seed chooses. With short time limits a request ends during a fault, with long ones after several.
const (
	minTimeout, maxTimeout = time.Second, 30 * time.Second
	maxLag                 = 2 * time.Second
	minAge, maxAge         = 100 * time.Millisecond, 3 * time.Second
	minMaxWait, maxMaxWait = 50 * time.Millisecond, 5 * time.Second
	// The audit needs payments, transfers and reads, so each has a least share.
	minPay, maxPay           = 0.1, 0.5
	minTransfer, maxTransfer = 0.05, 0.25
	maxBrowse, maxRoam       = 0.2, 0.4
)

// Choices are the settings of a run that its seed chooses.
type Choices struct {
	ack                          svcdef.Ack
	timeout, maxWait, maxAge     time.Duration
	lag                          time.Duration
	pay, transfer, browse, roams float64
}

// Choose returns the choices of a seed. They are drawn apart from the schedule, so that they don't change it.
func Choose(seed uint64) Choices {
	rnd := rand.New(rand.NewPCG(seed, 3))
	c := Choices{ack: svcdef.AckQuorum}
	if rnd.IntN(2) == 0 {
		c.ack = svcdef.AckPrimary
	}
	c.timeout = logUniform(rnd, minTimeout, maxTimeout)
	c.maxWait = logUniform(rnd, minMaxWait, maxMaxWait)
	c.maxAge = logUniform(rnd, minAge, maxAge)
	c.lag = time.Duration(rnd.Int64N(int64(maxLag))).Round(time.Millisecond)
	c.pay = minPay + (maxPay-minPay)*rnd.Float64()
	c.transfer = minTransfer + (maxTransfer-minTransfer)*rnd.Float64()
	c.browse, c.roams = maxBrowse*rnd.Float64(), maxRoam*rnd.Float64()
	if c.ack == svcdef.AckPrimary {
		// The counter that browses read may go back with lost writes, which the audit has no rule for.
		c.browse = 0
	}
	return c
}

// logUniform draws whole milliseconds such that each factor between the bounds is equally likely.
func logUniform(rnd *rand.Rand, low, high time.Duration) time.Duration {
	d := float64(low) * math.Pow(float64(high)/float64(low), rnd.Float64())
	return time.Duration(d).Round(time.Millisecond)
}

// String describes the choices.
func (c Choices) String() string {
	return fmt.Sprintf("ack %s, timeout %v, max_wait %v, max_age %v, lag %v, pay %.2f, transfer %.2f, browse %.2f, roam %.2f",
		c.ack, c.timeout, c.maxWait, c.maxAge, c.lag, c.pay, c.transfer, c.browse, c.roams)
}

func (c Choices) profile() load.Profile {
	return load.Profile{Pay: c.pay, Transfer: c.transfer, Browse: c.browse, Roam: c.roams, MaxAge: c.maxAge}
}

// termChanges returns the times from begin, in rising order, at which a majority of the servers had promised a term newer
// than the ones before.
func termChanges(servers [][]server.Promise, begin time.Time) []time.Duration {
	first := map[uint64][]time.Time{} // by term, when each server first promised it or a newer one
	for _, list := range servers {
		for _, p := range list {
			first[p.Term()] = nil
		}
	}
	out := []time.Duration{}
	for term := range first {
		for _, list := range servers {
			if i := slices.IndexFunc(list, func(p server.Promise) bool { return p.Term() >= term }); i >= 0 {
				first[term] = append(first[term], list[i].At())
			}
		}
		at := first[term]
		slices.SortFunc(at, time.Time.Compare)
		if n := len(servers) / 2; len(at) > n {
			out = append(out, at[n].Sub(begin))
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
