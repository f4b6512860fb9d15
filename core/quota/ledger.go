package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// maxTokenLife is how long a token for an operation that waits may be used, minTokenLife the same for limits whose burst is small
	// compared to the rate: tokens that may still be used are not refilled.
	maxTokenLife = 150 * time.Millisecond
	minTokenLife = 40 * time.Millisecond
	// spareLife is how long a token for an expected operation may be used.
	spareLife = 500 * time.Millisecond
	// holdMargin is how much longer the holder counts a token than the VM that got it may use it: the clocks of two VMs may run at
	// rates that differ a little.
	holdMargin = 5 * time.Millisecond
	// MaxHold is how long after it was granted a token may still be counted as usable.
	MaxHold = spareLife + holdMargin
	// maxRetryDelay bounds how long a VM that was refused tokens does not ask again.
	maxRetryDelay = 250 * time.Millisecond
	// tolerance absorbs rounding errors of sums of tokens.
	tolerance = 1e-9
)

// hold is a number of tokens that may be used until end.
type hold struct {
	n   float64
	end time.Time
}

// Ledger is the account of a slot of a workspace at its holder. A token counts as usable from when it is granted until its end, and as
// used at its end. Used tokens are worked off at the rate of the limit. A token is granted only if usable and used ones together stay
// within the burst. A window of length d then holds at most rate x d + burst uses, whenever the tokens are used before their ends.
// It is not safe for concurrent use.
type Ledger struct {
	limit   Limit
	used    float64
	at      time.Time // the time of used
	holds   []hold    // in the order of their ends
	usable  float64   // the sum of holds
	waiting float64   // tokens that were refused lately and will be asked for again
}

// NewLedger returns the ledger of a holder that took over at start. The holder before it may have granted the whole burst until then.
func NewLedger(limit Limit, start time.Time) *Ledger {
	return &Ledger{limit: limit, at: start, holds: []hold{{limit.burst, start.Add(MaxHold)}}, usable: limit.burst}
}

// Limit returns the limit in force.
func (l *Ledger) Limit() Limit { return l.limit }

// SetLimit replaces the limit from now on, unless it is from an older configuration.
func (l *Ledger) SetLimit(limit Limit, now time.Time) {
	if limit.version < l.limit.version || limit == l.limit {
		return
	}
	l.advance(now)
	l.limit = limit
}

// advance accounts for the time until now.
func (l *Ledger) advance(now time.Time) {
	for len(l.holds) > 0 && !l.holds[0].end.After(now) {
		h := l.holds[0]
		l.holds = l.holds[1:]
		l.drain(h.end)
		l.used += h.n
		l.usable -= h.n
	}
	if len(l.holds) == 0 {
		l.usable = 0
	}
	l.drain(now)
}

func (l *Ledger) drain(until time.Time) {
	if d := until.Sub(l.at); d > 0 {
		l.used = max(l.used-l.limit.rate*d.Seconds(), 0)
		l.waiting = max(l.waiting-l.limit.rate*d.Seconds(), 0)
		l.at = until
	}
}

// Grant is the answer to a VM that asks for tokens.
type Grant struct {
	// Tokens for operations that wait may be used for Life, counted from when the VM asked.
	Tokens int
	Life   time.Duration
	// Spare tokens may be used for SpareLife, counted in the same way.
	Spare     int
	SpareLife time.Duration
	// Retry is how long the VM is not to ask again for this workspace and slot. It is 0 if all tokens needed were granted.
	Retry time.Duration
}

// Grant grants up to need tokens for operations that wait, and up to spare for expected ones as long as more than half of the burst is
// left.
func (l *Ledger) Grant(now time.Time, need, spare int) Grant {
	l.advance(now)
	free := max(math.Floor(l.limit.burst-l.used-l.usable+tolerance), 0)
	n := min(float64(max(need, 0)), free)
	g := Grant{Tokens: int(n), Life: l.tokenLife()}
	l.hold(n, now.Add(g.Life+holdMargin))
	if extra := min(float64(spare), math.Floor(free-n-l.limit.burst/2)); extra > 0 {
		g.Spare, g.SpareLife = int(extra), spareLife
		l.hold(extra, now.Add(MaxHold))
	}
	if missing := need - g.Tokens; missing > 0 {
		g.Retry = l.retryDelay(now)
		l.waiting += float64(missing)
	}
	return g
}

func (l *Ledger) hold(n float64, end time.Time) {
	if n <= 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(l.holds, end, func(h hold, t time.Time) int { return h.end.Compare(t) })
	l.holds = slices.Insert(l.holds, i, hold{n, end})
	l.usable += n
}

// tokenLife returns the life of a token for an operation that waits: as many tokens as the rate brings meanwhile are unusable for
// others, which must be a small part of the burst.
func (l *Ledger) tokenLife() time.Duration {
	if l.limit.rate <= 0 {
		return minTokenLife
	}
	return min(max(seconds(l.limit.burst/l.limit.rate/4), minTokenLife), maxTokenLife)
}

// retryDelay returns when a VM that was refused a token may ask again: when the refill has reached it, if the VMs that were refused
// earlier are served before it. It is short enough that the bucket does not fill up meanwhile.
func (l *Ledger) retryDelay(now time.Time) time.Duration {
	if l.limit.rate <= 0 {
		return maxRetryDelay
	}
	longest := min(max(seconds(l.limit.burst/l.limit.rate/4), minTokenLife), maxRetryDelay)
	d := seconds((max(1+l.used+l.usable-l.limit.burst, 0) + l.waiting) / l.limit.rate)
	if l.used < 1 && len(l.holds) > 0 {
		d = max(d, l.holds[0].end.Sub(now))
	}
	return min(max(d, time.Millisecond), longest)
}

// Idle reports whether the ledger holds nothing that a new one for the same holder would not assume.
func (l *Ledger) Idle(now time.Time) bool {
	l.advance(now)
	return l.used == 0 && l.usable == 0
}

// Usable returns how many granted tokens may still be used, and Used how many count against the burst as used.
func (l *Ledger) Usable() float64 { return l.usable }

// Used returns how many used tokens still count against the burst.
func (l *Ledger) Used() float64 { return l.used }

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e6) * float64(time.Second))
}
