// Package limit bounds the connections that an owner opens to a server, and the requests that are retried. An owner is a
// VM that runs the work of a server.
package limit

import "time"

// ControlReserve is the number of connections of each server that are reserved for control connections.
const ControlReserve = 4

// ReportPeriod is how long an owner opens connections on the basis of one connection count reported by the server, before
// it uses a newer report. An owner that wants more connections asks for the status every 100 ms.
const ReportPeriod = 300 * time.Millisecond

// roomDivisor divides the free connections shown by a report: an owner takes a third of them. Two owners may act on
// reports that differ by one period. With a half each, the owner with the newer report took a half and then a half of
// the rest, which exceeded the limit. A third is the greatest simple fraction f with 3f - f*f <= 1.
const roomDivisor = 3

// Budget decides how many connections one owner may open to a server. Two VMs may own a server at the same time. If both
// follow their budgets, the server stays within its limit. A Budget is not safe for concurrent use.
type Budget struct {
	limit         int
	hasReport     bool
	reportedCount int
	reportAsked   time.Time // when the owner asked for the count
	uncounted     int       // connections that the count may not include: pending ones and those opened since
}

// NewBudget returns the budget for a server that accepts limit connections in total.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// Limit returns how many connections the server accepts in total.
func (b *Budget) Limit() int { return b.limit }

// ShareWithoutReport returns how many connections an owner may have while the server reports no count: half of what the
// control reserve leaves of the limit, and at least one.
func (b *Budget) ShareWithoutReport() int { return max(1, (b.limit-ControlReserve)/2) }

// Report passes in the server's own count of its connections. The count covers all VMs and includes control connections.
// Asked is when the owner asked for it. A count of 0 means that the server does not report one. Pending is the number of
// the owner's connections that are being opened, which the server may not have counted. Report ignores a count that was
// asked for less than a ReportPeriod after the one in use.
func (b *Budget) Report(count, pending int, asked time.Time) {
	if count <= 0 || (b.hasReport && asked.Sub(b.reportAsked) < ReportPeriod) {
		return
	}
	b.hasReport, b.reportedCount, b.reportAsked, b.uncounted = true, count, asked, pending
}

// Room returns how many more connections an owner may open now. Own is the number that it has, including pending ones.
func (b *Budget) Room(own int, now time.Time) int {
	if !b.hasReport {
		return max(0, b.ShareWithoutReport()-own)
	}
	if now.Sub(b.reportAsked) > ReportPeriod {
		return 0
	}
	return max(0, min((b.limit-b.reportedCount)/roomDivisor-b.uncounted, b.limit-ControlReserve-own))
}

// Take records that the owner starts to open n connections.
func (b *Budget) Take(n int) { b.uncounted += n }

// RetryBudget limits retries. It allows a fraction of the requests that succeeded in the current and the previous window, but
// always a small minimum, so that a caller with little traffic can retry as well. It is not safe for concurrent use.
type RetryBudget struct {
	retriesPerSuccess float64
	minRetries        float64
	window            time.Duration
	windowStart       time.Time
	current           tally
	previous          tally
}

type tally struct{ successes, retries float64 }

// NewRetryBudget returns a RetryBudget that allows retriesPerSuccess retries per success and at least minRetries retries per
// window.
func NewRetryBudget(retriesPerSuccess float64, minRetries int, window time.Duration) *RetryBudget {
	return &RetryBudget{retriesPerSuccess: retriesPerSuccess, minRetries: float64(minRetries), window: window}
}

// Success records a request that succeeded.
func (r *RetryBudget) Success(now time.Time) {
	r.rotate(now)
	r.current.successes++
}

// Take reports whether a request may be retried now. If so, it charges the retry to the budget.
func (r *RetryBudget) Take(now time.Time) bool {
	r.rotate(now)
	allowed := max(r.minRetries, r.retriesPerSuccess*(r.current.successes+r.previous.successes))
	if r.current.retries+r.previous.retries+1 > allowed {
		return false
	}
	r.current.retries++
	return true
}

// rotate starts a new window if the current one has passed.
func (r *RetryBudget) rotate(now time.Time) {
	passed := now.Sub(r.windowStart)
	switch {
	case passed < r.window:
		return
	case passed < 2*r.window:
		r.previous, r.windowStart = r.current, r.windowStart.Add(r.window)
	default:
		r.previous, r.windowStart = tally{}, now
	}
	r.current = tally{}
}
