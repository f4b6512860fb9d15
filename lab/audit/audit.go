// Package audit compares the outcomes that callers received with the rows in the database.
package audit

import (
	"context"
	"fmt"
	"sort"
	"time"

	"verbenagate/lab/load"
)

// Database runs queries on the current primary, bypassing the proxy.
type Database interface {
	Query(ctx context.Context, query string, args ...any) ([][]any, error)
}

// ServerUsage holds the highest numbers of connections and of running statements that a server reported, and their
// limits.
type ServerUsage struct {
	Server      string `json:"server"`
	Connections int    `json:"connections"`
	Allowed     int    `json:"allowed"`
	Running     int    `json:"running"`
	Slots       int    `json:"slots"`
}

// Finding is one violation of a promise, with the name of the promise.
type Finding struct {
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}

// Report is the result of an audit. Looked counts what each check compared; a required check that compared nothing fails.
type Report struct {
	Looked   map[string]int64 `json:"looked"`
	Findings []Finding        `json:"findings"`

	allowedLosses *Losses
	lostByRef     map[string]load.Payment
	present       []load.Payment
}

// maxFindingsPerPromise is the maximum number of findings that a report holds for one promise.
const maxFindingsPerPromise = 20

// OK reports whether there are no findings.
func (r *Report) OK() bool { return len(r.Findings) == 0 }

// Add adds a finding, unless the report already has maxFindingsPerPromise findings of this promise.
func (r *Report) Add(promise, format string, args ...any) {
	n := 0
	for _, f := range r.Findings {
		if f.Promise == promise {
			n++
		}
	}
	if n < maxFindingsPerPromise {
		r.Findings = append(r.Findings, Finding{Promise: promise, Detail: fmt.Sprintf(format, args...)})
	}
}

// Names of the checks, as in reports.
const (
	CheckPayments  = "payments"
	CheckTransfers = "transfers"
	CheckReads     = "reads"
	CheckLimits    = "connection limits"
)

// AllowedLosses is the key in Report.Looked of the number of lost acknowledged writes that Losses allows.
const AllowedLosses = "allowed losses"

// Losses defines which acknowledged writes a failure of the primary may lose when the service's acknowledgement mode is
// "primary". A nil *Losses allows none.
//
// A write may be lost only if its last attempt was sent before FailedAt, the time at which the primary failed, and ended
// before ReachableAgainAt, the time at which the failed primary became reachable again. Lost writes must be a suffix of
// the log: a write that was sent after the acknowledgement of a lost write, and acknowledged before FailedAt, must be
// lost too. A read may miss exactly one payment of its caller that was lost in this way. Times count from the start of
// the load.
//
// After several failures, TermChanges replaces FailedAt and ReachableAgainAt. It holds, in ascending order, the times at
// which a majority of the servers had promised a newer term. From such a time on, the old primary cannot get writes
// confirmed. A write may be lost only if its last attempt was sent before one of these times; the first time after that
// attempt replaces FailedAt.
type Losses struct {
	FailedAt, ReachableAgainAt time.Duration
	TermChanges                []time.Duration
}

// allows reports whether the acknowledged write p may be lost.
func (l *Losses) allows(p load.Payment) bool {
	if l == nil {
		return false
	}
	if l.TermChanges != nil {
		return l.failureAfter(p) > 0
	}
	return p.Last() < l.FailedAt && p.Ended() < l.ReachableAgainAt
}

// failureAfter returns the time of the first failure after the last attempt of p was sent, 0 if there was none. Without
// TermChanges it returns FailedAt.
func (l *Losses) failureAfter(p load.Payment) time.Duration {
	if l.TermChanges == nil {
		return l.FailedAt
	}
	for _, at := range l.TermChanges {
		if p.Last() < at {
			return at
		}
	}
	return 0
}

// Checks lists the names of checks that must compare something.
type Checks []string

// Run audits a load that allows no losses. db must be the primary, after all replicas have caught up.
func Run(ctx context.Context, record *load.Record, db Database, limits []ServerUsage, required Checks) (*Report, error) {
	return RunWithLosses(ctx, record, db, limits, required, nil)
}

// RunWithLosses is like Run, but acknowledged writes may be lost as allowedLosses defines; nil allows none.
func RunWithLosses(
	ctx context.Context, record *load.Record, db Database, limits []ServerUsage, required Checks, allowedLosses *Losses,
) (*Report, error) {
	r := &Report{Looked: map[string]int64{}, allowedLosses: allowedLosses, lostByRef: map[string]load.Payment{}}
	if err := r.checkPayments(ctx, record, db); err != nil {
		return nil, err
	}
	if err := r.checkTransfers(ctx, record, db); err != nil {
		return nil, err
	}
	r.checkOnlyLastLost()
	r.checkReads(record.Summary())
	r.checkLimits(limits)
	for _, c := range required {
		if r.Looked[c] == 0 {
			r.Add("audit", "the check %q had nothing to compare", c)
		}
	}
	sort.SliceStable(r.Findings, func(i, j int) bool { return r.Findings[i].Promise < r.Findings[j].Promise })
	return r, nil
}

// countByRef runs a query whose rows are a reference and a count, and returns the counts by reference.
func countByRef(ctx context.Context, db Database, query string) (map[string]int64, error) {
	rows, err := db.Query(ctx, query)
	if err != nil {
		return nil, fmt.Errorf("audit query %q: %w", query, err)
	}
	m := make(map[string]int64, len(rows))
	for _, row := range rows {
		ref, ok := row[0].(string)
		n, isInt := row[1].(int64)
		if !ok || !isInt {
			return nil, fmt.Errorf("audit query %q returned columns of type %T and %T instead of string and int64", query, row[0], row[1])
		}
		m[ref] = n
	}
	return m, nil
}

// checkPayments checks that each acknowledged payment took effect exactly once, each payment that was reported as not run or
// as failed never, and each payment of unknown outcome at most once.
func (r *Report) checkPayments(ctx context.Context, record *load.Record, db Database) error {
	found, err := countByRef(ctx, db, "SELECT ref, count(*) FROM payment GROUP BY ref")
	if err != nil {
		return err
	}
	for _, p := range record.Payments() {
		if p.Kind() != load.Pay {
			continue
		}
		r.Looked[CheckPayments]++
		r.checkEffect(p, found[p.Ref()], 1)
		delete(found, p.Ref())
	}
	for ref := range found {
		r.Add("no payment from nowhere", "payment %s is in the database but no caller sent it", ref)
	}
	return nil
}

// checkTransfers checks that the database holds both rows of each transaction or neither.
func (r *Report) checkTransfers(ctx context.Context, record *load.Record, db Database) error {
	found, err := countByRef(ctx, db, "SELECT ref, count(*) FROM half GROUP BY ref")
	if err != nil {
		return err
	}
	for _, p := range record.Payments() {
		if p.Kind() != load.Transfer {
			continue
		}
		r.Looked[CheckTransfers]++
		if n := found[p.Ref()]; n != 0 && n != 2 {
			r.Add("transactions are whole", "transaction %s left %d of 2 rows", p.Ref(), n)
		}
		r.checkEffect(p, found[p.Ref()]/2, 1)
		delete(found, p.Ref())
	}
	for ref := range found {
		r.Add("no payment from nowhere", "transaction %s is in the database but no caller sent it", ref)
	}
	return nil
}

// checkEffect compares the outcome of a payment or transaction with n, the number of times that it took effect.
func (r *Report) checkEffect(p load.Payment, n, expected int64) {
	if p.Outcome() == load.Done && n >= expected {
		r.present = append(r.present, p)
	}
	switch {
	case n > expected:
		r.Add("at most once", "%s %s took effect %d times", p.Kind(), p.Ref(), n)
	case p.Outcome() == load.Done && n != expected && r.allowedLosses.allows(p):
		r.Looked[AllowedLosses]++
		r.lostByRef[p.Ref()] = p
	case p.Outcome() == load.Done && n != expected:
		r.Add("no acknowledged write is lost", "%s %s was acknowledged but is not in the database", p.Kind(), p.Ref())
	case (p.Outcome() == load.NotRun || p.Outcome() == load.Failed) && n != 0:
		r.Add("not run means not run", "%s %s was reported as %s but is in the database", p.Kind(), p.Ref(), p.Outcome())
	}
}

// checkOnlyLastLost checks that the database holds no write that followed a lost write on the failed primary.
func (r *Report) checkOnlyLastLost() {
	firstLostByFailure := map[time.Duration]load.Payment{}
	for _, p := range r.lostByRef {
		at := r.allowedLosses.failureAfter(p)
		if e, ok := firstLostByFailure[at]; !ok || p.Ended() < e.Ended() {
			firstLostByFailure[at] = p
		}
	}
	for failedAt, firstLost := range firstLostByFailure {
		for _, p := range r.present {
			if p.First() > firstLost.Ended() && p.Ended() < failedAt {
				r.Add("only the last writes are lost", "%s %s is in the database, but %s, which was acknowledged before it was sent, is not",
					p.Kind(), p.Ref(), firstLost.Ref())
			}
		}
	}
}

// checkReads checks that each read returned all writes that it had to see, except for allowed losses.
func (r *Report) checkReads(s load.Summary) {
	r.Looked[CheckReads] = s.Checked
	present := map[string]bool{}
	for _, p := range r.present {
		present[p.Ref()] = true
	}
	for _, v := range s.Stale {
		if v.Kind == load.Read.String() && r.missedOnlyLost(present, v) {
			continue
		}
		r.Add("read-your-writes", "%s of caller %d saw %d instead of at least %d", v.Kind, v.Caller, v.Got, v.Want)
	}
}

// missedOnlyLost reports whether the read missed a payment whose loss is allowed, and no older payment that is present.
func (r *Report) missedOnlyLost(present map[string]bool, v load.Stale) bool {
	if _, lost := r.lostByRef[load.PaymentRef(v.Caller, v.Want)]; !lost {
		return false
	}
	for seq := v.Got + 1; seq < v.Want; seq++ {
		if present[load.PaymentRef(v.Caller, seq)] {
			return false
		}
	}
	return true
}

// checkLimits checks that no server ever had more connections than allowed.
func (r *Report) checkLimits(limits []ServerUsage) {
	for _, l := range limits {
		r.Looked[CheckLimits] += int64(l.Connections)
		if l.Connections > l.Allowed {
			r.Add("connection limit", "server %s had %d connections; %d are allowed", l.Server, l.Connections, l.Allowed)
		}
	}
}
