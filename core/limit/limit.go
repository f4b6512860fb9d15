// Package limit decides how many connections an owner may open to a server and how many requests may be retried.
package limit

import "time"

// ControlReserve is the number of connections of each server that are left to control connections.
const ControlReserve = 4

// ReportPeriod is how long an owner opens connections by one report of the server before it takes the next one. An owner
// that wants more connections asks for the status every 100 ms.
const ReportPeriod = 300 * time.Millisecond

// share is the part of the room shown by a report that an owner takes. Two owners may act on reports that differ by
// one period: with a half each, the owner with the newer report took a half and then a half of the rest, and the limit
// was exceeded. A third is the greatest simple fraction f with 3f - f*f <= 1.
const share = 3

// Budget decides how many connections one owner may open to a server. Two VMs may own a server at the same time; with
// both following their budgets, the server stays within its limit. It is not safe for concurrent use.
type Budget struct {
	limit    int
	known    bool
	reported int
	adopted  time.Time
	taken    int
}

// NewBudget returns the budget of a server that accepts limit connections in all.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// Limit returns how many connections the server accepts in all.
func (b *Budget) Limit() int { return b.limit }

// Free returns how many connections an owner may have while the server reports no count: half of the limit without the
// control reserve.
func (b *Budget) Free() int { return max(1, (b.limit-ControlReserve)/2) }

// Report tells the budget the server's own count of connections, of all VMs and including control connections, as
// asked for at the time asked. Count 0 says that the server does not report it. Pending counts the owner's connections
// that are being opened, which the server may not have counted.
func (b *Budget) Report(count, pending int, asked time.Time) {
	if count <= 0 || (b.known && asked.Sub(b.adopted) < ReportPeriod) {
		return
	}
	b.known, b.reported, b.adopted, b.taken = true, count, asked, pending
}

// Room returns how many more connections an owner with own connections, pending ones included, may open now.
func (b *Budget) Room(own int, now time.Time) int {
	if !b.known {
		return max(0, b.Free()-own)
	}
	if now.Sub(b.adopted) > ReportPeriod {
		return 0
	}
	return max(0, min((b.limit-b.reported)/share-b.taken, b.limit-ControlReserve-own))
}

// Take counts n connections that the owner starts to open.
func (b *Budget) Take(n int) { b.taken += n }

// Retry is a budget of retries: a fraction of the successes of the last one to two windows, and a small number that is
// always allowed so that a caller with little traffic can retry as well. It is not safe for concurrent use.
type Retry struct {
	fraction float64
	least    float64
	window   time.Duration
	start    time.Time
	current  tally
	previous tally
}

type tally struct{ successes, retries float64 }

// NewRetry returns a budget that allows fraction retries per success and at least least retries per window.
func NewRetry(fraction float64, least int, window time.Duration) *Retry {
	return &Retry{fraction: fraction, least: float64(least), window: window}
}

// Success counts a request that succeeded.
func (r *Retry) Success(now time.Time) {
	r.roll(now)
	r.current.successes++
}

// Take reports whether a request may be retried now, and counts the retry.
func (r *Retry) Take(now time.Time) bool {
	r.roll(now)
	allowed := max(r.least, r.fraction*(r.current.successes+r.previous.successes))
	if r.current.retries+r.previous.retries+1 > allowed {
		return false
	}
	r.current.retries++
	return true
}

func (r *Retry) roll(now time.Time) {
	passed := now.Sub(r.start)
	switch {
	case passed < r.window:
		return
	case passed < 2*r.window:
		r.previous, r.start = r.current, r.start.Add(r.window)
	default:
		r.previous, r.start = tally{}, now
	}
	r.current = tally{}
}
