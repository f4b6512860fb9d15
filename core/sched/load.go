package sched

import (
	"math"
	"time"
)

const (
	// loadTimeConstant is the time constant of the average load of short work. It is long enough to average over bursts of a
	// few hundred units, and short enough to follow a change of demand within seconds.
	loadTimeConstant = 2 * time.Second
	// maxWaitProbability is the share of short work that may have to wait for a slot while long work runs. At 5%, the p99
	// latency of short work stays within 1.3 times its value without long work.
	maxWaitProbability = 0.05
)

// load measures how many slots a class of work keeps busy, as an exponentially decaying average.
type load struct {
	busy    float64 // decayed sum of service times, in seconds
	updated time.Time
}

func (l *load) add(now time.Time, took time.Duration) {
	l.decay(now)
	l.busy += took.Seconds()
}

func (l *load) decay(now time.Time) {
	if dt := now.Sub(l.updated); dt > 0 {
		l.busy *= math.Exp(-dt.Seconds() / loadTimeConstant.Seconds())
		l.updated = now
	}
}

// slots returns the average number of busy slots.
func (l *load) slots(now time.Time) float64 {
	l.decay(now)
	return l.busy / loadTimeConstant.Seconds()
}

// reservedSlots returns how many of the slots are reserved for short work with this load: at least one, and at most all but
// one if there are several.
func reservedSlots(slots int, load float64) int {
	n := 1
	for n < slots-1 && waitProbability(n, load) > maxWaitProbability {
		n++
	}
	return n
}

// waitProbability is Erlang's C formula. It returns the probability that an arrival finds all n slots busy, at a load in erlangs.
func waitProbability(n int, load float64) float64 {
	if load >= float64(n) {
		return 1
	}
	// Compute Erlang's B formula by its recurrence, since the factorials of the closed form overflow.
	b := 1.0
	for i := 1; i <= n; i++ {
		b = load * b / (float64(i) + load*b)
	}
	return b / (1 - load/float64(n)*(1-b))
}
