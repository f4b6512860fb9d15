package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// minTokenLife and maxTokenLife bound how long a token for an operation that waits may be used. Tokens that may still be used are not
	// refilled, so it is little longer than a reply takes.
	minTokenLife = 15 * time.Millisecond
	maxTokenLife = 150 * time.Millisecond
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
	Life   time.Duration // what the VM asked for, within bounds
	// Spare tokens may be used for SpareLife, counted in the same way.
	Spare     int
	SpareLife time.Duration
	// Retry is how long the VM is not to ask again for this workspace and slot. It is 0 if all tokens needed were granted.
	Retry time.Duration
}

// Grant grants up to need tokens, which may be used for life, for operations that wait, and up to spare for expected ones as long as
// more than half of the burst is left.
func (l *Ledger) Grant(now time.Time, need, spare int, life time.Duration) Grant {
	l.advance(now)
	free := max(math.Floor(l.limit.burst-l.used-l.usable+tolerance), 0)
	n := min(float64(max(need, 0)), free)
	g := Grant{Tokens: int(n), Life: min(max(life, minTokenLife), maxTokenLife)}
	l.hold(n, now.Add(g.Life+holdMargin))
	if extra := min(float64(spare), math.Floor(free-n-l.limit.burst/2)); extra > 0 {
		g.Spare, g.SpareLife = int(extra), spareLife
		l.hold(extra, now.Add(MaxHold))
	}
	if missing := need - g.Tokens; missing > 0 {
		g.Retry = l.retryDelay()
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

// retryDelay returns when a VM that was refused a token may ask again: when the refill has reached it, if the VMs that were refused
// earlier are served before it. It is short enough that the bucket does not fill up meanwhile.
func (l *Ledger) retryDelay() time.Duration {
	if l.limit.rate <= 0 {
		return maxRetryDelay
	}
	longest := min(max(seconds(l.limit.burst/l.limit.rate/4), minTokenLife), maxRetryDelay)
	return min(max(l.untilFree(1+l.waiting), time.Millisecond), longest)
}

// untilFree returns how long it takes until n tokens are free, if none is granted meanwhile.
func (l *Ledger) untilFree(n float64) time.Duration {
	need, used, at := n+l.used+l.usable-l.limit.burst, l.used, l.at
	for _, h := range l.holds {
		if need <= 0 {
			break
		}
		drained := min(used, max(h.end.Sub(at).Seconds(), 0)*l.limit.rate)
		if need <= drained {
			break
		}
		need -= drained
		used += h.n - drained
		at = h.end
	}
	return max(at.Sub(l.at)+seconds(max(need, 0)/l.limit.rate), 0)
}

// idle reports whether the ledger counts nothing. A new one for the same holder comes to the same state unless it is more careful.
func (l *Ledger) idle(now time.Time) bool {
	l.advance(now)
	return l.used == 0 && l.usable == 0
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e6) * float64(time.Second))
}
