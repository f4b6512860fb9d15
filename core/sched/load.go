package sched

import (
	"math"
	"time"
)

const (
	// loadMemory is how far back the load of short work is measured: long enough to average over bursts of a few hundred
	// units, short enough to follow a swing of demand within seconds.
	loadMemory = 2 * time.Second
	// waitShare is the share of short work that may have to wait for a slot while long work runs. With 5% the 99th
	// percentile of short work stays within 1.3 times its value without long work.
	waitShare = 0.05
)

// load measures the slots that a kind of work keeps busy, as an exponentially decaying average.
type load struct {
	busy float64 // seconds
	at   time.Time
}

func (l *load) add(now time.Time, took time.Duration) {
	l.decay(now)
	l.busy += took.Seconds()
}

func (l *load) decay(now time.Time) {
	if dt := now.Sub(l.at); dt > 0 {
		l.busy *= math.Exp(-dt.Seconds() / loadMemory.Seconds())
		l.at = now
	}
}

// slots returns the mean number of busy slots.
func (l *load) slots(now time.Time) float64 {
	l.decay(now)
	return l.busy / loadMemory.Seconds()
}

// reserve returns how many of the slots short work of a load needs for itself, at least one and at most all but one.
func reserve(slots int, load float64) int {
	n := 1
	for n < slots-1 && waitProbability(n, load) > waitShare {
		n++
	}
	return n
}

// waitProbability is Erlang's C formula: the probability that an arrival finds all n servers busy at a load in Erlang.
func waitProbability(n int, load float64) float64 {
	if load >= float64(n) {
		return 1
	}
	// Erlang's B by its recurrence, which stays accurate where factorials overflow.
	b := 1.0
	for i := 1; i <= n; i++ {
		b = load * b / (float64(i) + load*b)
	}
	return b / (1 - load/float64(n)*(1-b))
}
