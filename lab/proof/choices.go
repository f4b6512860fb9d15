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

// Bounds of the settings that a seed chooses. With a short request timeout a request ends during a fault, with a long one it
// may outlast several faults.
const (
	minTimeout, maxTimeout = time.Second, 30 * time.Second
	maxLag                 = 2 * time.Second
	minMaxAge, maxMaxAge   = 100 * time.Millisecond, 3 * time.Second
	minMaxWait, maxMaxWait = 50 * time.Millisecond, 5 * time.Second
	// The audit needs payments, transfers and reads, so each of them keeps a minimum share of the requests.
	minPay, maxPay           = 0.1, 0.5
	minTransfer, maxTransfer = 0.05, 0.25
	maxBrowse, maxRoam       = 0.2, 0.4
)

// Choices holds the settings of a run that are derived from its seed.
type Choices struct {
	ack                         svcdef.Ack
	timeout, maxWait, maxAge    time.Duration
	lag                         time.Duration
	pay, transfer, browse, roam float64
}

// Choose derives the settings of a run from its seed. It uses a random sequence of its own, so that the schedule of faults
// does not depend on the settings.
func Choose(seed uint64) Choices {
	rnd := rand.New(rand.NewPCG(seed, 3))
	c := Choices{ack: svcdef.AckQuorum}
	if rnd.IntN(2) == 0 {
		c.ack = svcdef.AckPrimary
	}
	c.timeout = logUniform(rnd, minTimeout, maxTimeout)
	c.maxWait = logUniform(rnd, minMaxWait, maxMaxWait)
	c.maxAge = logUniform(rnd, minMaxAge, maxMaxAge)
	c.lag = time.Duration(rnd.Int64N(int64(maxLag))).Round(time.Millisecond)
	c.pay = minPay + (maxPay-minPay)*rnd.Float64()
	c.transfer = minTransfer + (maxTransfer-minTransfer)*rnd.Float64()
	c.browse, c.roam = maxBrowse*rnd.Float64(), maxRoam*rnd.Float64()
	if c.ack == svcdef.AckPrimary {
		// Lost writes may decrease the counter that browses read, and the audit has no rule for that.
		c.browse = 0
	}
	return c
}

// logUniform draws a duration between low and high, in whole milliseconds, whose logarithm is uniformly distributed.
func logUniform(rnd *rand.Rand, low, high time.Duration) time.Duration {
	d := float64(low) * math.Pow(float64(high)/float64(low), rnd.Float64())
	return time.Duration(d).Round(time.Millisecond)
}

// String lists the settings, for logs.
func (c Choices) String() string {
	return fmt.Sprintf("ack %s, timeout %v, max_wait %v, max_age %v, lag %v, pay %.2f, transfer %.2f, browse %.2f, roam %.2f",
		c.ack, c.timeout, c.maxWait, c.maxAge, c.lag, c.pay, c.transfer, c.browse, c.roam)
}

func (c Choices) profile() load.Profile {
	return load.Profile{Pay: c.pay, Transfer: c.transfer, Browse: c.browse, Roam: c.roam, MaxAge: c.maxAge}
}

// termChanges returns, for each term, the time since begin at which a majority of the servers had promised that term or a newer
// one. The times are in ascending order and without duplicates.
func termChanges(servers [][]server.Promise, begin time.Time) []time.Duration {
	promisedAt := map[uint64][]time.Time{} // by term: when each server first promised that term or a newer one
	for _, list := range servers {
		for _, p := range list {
			promisedAt[p.Term()] = nil
		}
	}
	out := []time.Duration{}
	for term := range promisedAt {
		for _, list := range servers {
			if i := slices.IndexFunc(list, func(p server.Promise) bool { return p.Term() >= term }); i >= 0 {
				promisedAt[term] = append(promisedAt[term], list[i].At())
			}
		}
		at := promisedAt[term]
		slices.SortFunc(at, time.Time.Compare)
		if n := len(servers) / 2; len(at) > n {
			out = append(out, at[n].Sub(begin))
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
