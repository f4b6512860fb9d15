package quota

import (
	"math"
	"time"
)

const (
	// demandPeriod is the period over which a VM averages the demand of a workspace.
	demandPeriod = time.Second
	// spareHorizon is for which time ahead a VM asks for spare tokens. It is shorter than their life, so that most of them are used.
	spareHorizon = 250 * time.Millisecond
)

// Wallet is what a VM has and knows of a workspace whose callers it serves: its spare tokens, the demand, and which portions have refused
// tokens. It is not safe for concurrent use.
type Wallet struct {
	spares  []hold
	refused [maxPortions]time.Time // until when a portion is not asked
	demand  float64                // operations per second
	seen    time.Time              // the time of demand
}

// Arrived records an operation that a caller asks for at now.
func (w *Wallet) Arrived(now time.Time) {
	w.demand = w.demandAt(now) + 1/demandPeriod.Seconds()
	w.seen = now
}

func (w *Wallet) demandAt(now time.Time) float64 {
	if w.seen.IsZero() {
		return 0
	}
	return w.demand * math.Exp(-now.Sub(w.seen).Seconds()/demandPeriod.Seconds())
}

// Add adds spare tokens that may be used until end.
func (w *Wallet) Add(n int, end time.Time) {
	if n > 0 {
		w.spares = append(w.spares, hold{float64(n), end})
	}
}

// Take takes a spare token. It returns false if there is none that may be used at now.
func (w *Wallet) Take(now time.Time) bool {
	for len(w.spares) > 0 {
		h := &w.spares[0]
		if now.Before(h.end) && h.n >= 1 {
			h.n--
			return true
		}
		w.spares = w.spares[1:]
	}
	return false
}

// Spare returns how many spare tokens to ask for at now, besides those for operations that wait.
func (w *Wallet) Spare(now time.Time) int {
	n := 0
	for _, h := range w.spares {
		if now.Before(h.end) {
			n += int(h.n)
		}
	}
	return max(int(w.demandAt(now)*spareHorizon.Seconds())-n, 0)
}

// RecordRefusal records that a portion, and those of which it granted tokens too, have no tokens for the time in g.
func (w *Wallet) RecordRefusal(portion int, g Grant, now time.Time) {
	if g.Retry <= 0 {
		return
	}
	for s := range w.refused {
		if s == portion || g.Borrowed&(1<<s) != 0 {
			w.refused[s] = now.Add(g.Retry)
		}
	}
}

// NextAsk returns when a portion may have tokens again, the earliest of the first n portions.
func (w *Wallet) NextAsk(n int) time.Time {
	first := w.refused[0]
	for _, t := range w.refused[1:min(n, maxPortions)] {
		if t.Before(first) {
			first = t
		}
	}
	return first
}

// MayAsk reports whether a portion may have tokens at now.
func (w *Wallet) MayAsk(portion int, now time.Time) bool { return !now.Before(w.refused[portion]) }

// Idle reports whether the wallet can be dropped at now: it has no tokens and has not been used for some demandPeriods.
func (w *Wallet) Idle(now time.Time) bool {
	return now.Sub(w.seen) > 5*demandPeriod && now.Sub(w.seen) > spareLife
}
