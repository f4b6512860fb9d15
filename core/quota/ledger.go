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
	// maxRetryDelay bounds how long a VM that was refused tokens waits before it asks again.
	maxRetryDelay = 250 * time.Millisecond
	// tolerance absorbs rounding errors of sums of tokens.
	tolerance = 1e-9
)

// hold is a number of tokens that may be used until end.
type hold struct {
	n   float64
	end time.Time
}

// Ledger is the account of a portion of a workspace at its holder, and of the portions that the holder has borrowed. A token counts as
// usable from when it is granted until its end, and as used at its end. Used tokens are refilled at the rate of the limit. A token is
// granted only if usable and used ones together stay within the burst. A window of length d then holds at most rate x d + burst uses,
// whenever the tokens are used before their ends. It is not safe for concurrent use.
//
// A portion that is added brings its part of the burst along as tokens that are usable until MaxHold later, and one that is removed takes
// its part of the usable and used tokens with it. So the sum of usable and used tokens over all ledgers of a workspace falls only by the
// rate of the limit, and the bound holds for all ledgers together.
type Ledger struct {
	whole   Limit // of the workspace
	limit   Limit // of the portions that count here
	parts   [maxPortions]part
	used    float64
	at      time.Time // the time of used
	holds   []hold    // in the order of their ends
	usable  float64   // the sum of holds
	waiting float64   // tokens that were refused lately and will be asked for again
}

// part says whether a portion counts in a ledger.
type part struct {
	in   bool
	loan Loan // zero for the portion that the holder holds itself
}

// Loan is the time for which the holder of a portion has borrowed another one.
type Loan struct {
	Since, Until time.Time
}

// Loans holds the loans of the portions of a shard, by portion.
type Loans [maxPortions]Loan

// NewLedger returns the ledger of a holder of a portion that took over at start. The holder before it may have granted the whole burst
// until then.
func NewLedger(whole Limit, portion int, start time.Time) *Ledger {
	l := &Ledger{whole: whole, at: start}
	if portion >= 0 && portion < maxPortions {
		l.parts[portion].in = true
	}
	l.setLimit()
	l.hold(l.limit.burst, start.Add(MaxHold))
	return l
}

// setLimit adds up the limit of the portions that count here.
func (l *Ledger) setLimit() {
	l.limit = Limit{version: l.whole.version}
	for portion, p := range l.parts {
		if p.in {
			share := l.whole.Portion(portion)
			l.limit.rate += share.rate
			l.limit.burst += share.burst
		}
	}
}

// Set sets the portions that the holder has borrowed and the limit of the workspace, as SetLimit does. The VM that held a new portion until
// now may have granted its burst by either limit, so the portion is added by the higher one.
func (l *Ledger) Set(loans Loans, whole Limit, now time.Time) {
	l.endLoans(loans, now)
	if whole.burst > l.whole.burst {
		l.SetLimit(whole, now)
	}
	l.beginLoans(loans, now)
	l.SetLimit(whole, now)
}

// endLoans takes over the new ends of loans, and removes the portions whose loans have ended.
func (l *Ledger) endLoans(loans Loans, now time.Time) {
	for portion := range l.parts {
		if p := &l.parts[portion]; p.in && !p.loan.Since.IsZero() && p.loan.Since.Equal(loans[portion].Since) {
			p.loan = loans[portion]
		}
	}
	for portion := l.nextEnd(now); portion >= 0; portion = l.nextEnd(now) {
		l.removePortion(portion)
	}
}

// beginLoans adds the portions that have been borrowed.
func (l *Ledger) beginLoans(loans Loans, now time.Time) {
	for portion, loan := range loans {
		if !l.parts[portion].in && now.Before(loan.Until) {
			l.addPortion(portion, loan)
		}
	}
}

// nextEnd returns the portion whose loan ended first, or -1 if none has ended at now.
func (l *Ledger) nextEnd(now time.Time) int {
	first := -1
	for portion, p := range l.parts {
		if p.in && !p.loan.Until.IsZero() && !now.Before(p.loan.Until) && (first < 0 || p.loan.Until.Before(l.parts[first].loan.Until)) {
			first = portion
		}
	}
	return first
}

func (l *Ledger) addPortion(portion int, loan Loan) {
	l.advance(loan.Since)
	l.parts[portion] = part{in: true, loan: loan}
	l.setLimit()
	l.hold(l.whole.Portion(portion).burst, l.at.Add(MaxHold))
}

func (l *Ledger) removePortion(portion int) {
	l.advance(l.parts[portion].loan.Until)
	before := l.limit.burst
	l.parts[portion] = part{}
	l.setLimit()
	if before <= 0 {
		return
	}
	kept := l.limit.burst / before
	l.used *= kept
	l.usable = 0
	for i := range l.holds {
		l.holds[i].n *= kept
		l.usable += l.holds[i].n
	}
}

// SetLimit replaces the limit of the workspace from now on, unless it is from an older configuration.
func (l *Ledger) SetLimit(whole Limit, now time.Time) {
	if whole.version < l.whole.version || whole == l.whole {
		return
	}
	l.advance(now)
	l.whole = whole
	l.setLimit()
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
	// Retry is how long the VM is not to ask again for this workspace and portion. It is 0 if all tokens needed were granted.
	Retry time.Duration
	// Borrowed has a bit for each other portion of which tokens were granted too. It is of no use to ask for them elsewhere.
	Borrowed uint
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
