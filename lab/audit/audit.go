// Package audit compares what callers were told with what the database holds.
package audit

import (
	"context"
	"fmt"
	"sort"
	"time"

	"verbenagate/lab/load"
)

// Database answers queries on the present primary, without the proxy.
type Database interface {
	Query(ctx context.Context, query string, args ...any) ([][]any, error)
}

// Limits are what a server reported of its own use.
type Limits struct {
	Server      string `json:"server"`
	Connections int    `json:"connections"`
	Allowed     int    `json:"allowed"`
	Running     int    `json:"running"`
	Slots       int    `json:"slots"`
}

// Finding is one broken promise.
type Finding struct {
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}

// Report is the result of an audit. Looked counts what each check compared; a check that compared nothing fails.
type Report struct {
	Looked   map[string]int64 `json:"looked"`
	Findings []Finding        `json:"findings"`

	losses *Losses
	lost   map[string]load.Payment
	kept   []load.Payment
}

// maxFindings bounds the findings kept of one promise.
const maxFindings = 20

// OK reports whether nothing was found.
func (r *Report) OK() bool { return len(r.Findings) == 0 }

// Add notes a broken promise.
func (r *Report) Add(promise, format string, args ...any) {
	n := 0
	for _, f := range r.Findings {
		if f.Promise == promise {
			n++
		}
	}
	if n < maxFindings {
		r.Findings = append(r.Findings, Finding{Promise: promise, Detail: fmt.Sprintf(format, args...)})
	}
}

// The checks, by the names that appear in reports.
const (
	CheckPayments  = "payments"
	CheckTransfers = "transfers"
	CheckReads     = "reads"
	CheckLimits    = "connection limits"
)

// AllowedLosses is the name in Report.Looked of the acknowledged writes that are missing and may be, see Losses.
const AllowedLosses = "allowed losses"

// Losses say which acknowledged writes a failure of the primary may lose when the service's mode of acknowledgement is
// "primary". Without them none may be lost.
//
// A write may be lost only if its last attempt was sent before Fault, the time at which the primary failed, and ended
// before Back, the time at which the failed primary could be reached again. What is lost must be the last part of what
// was written: a write that was sent after the acknowledgement of a lost one, and acknowledged before Fault, must be lost
// too. A read may miss exactly a payment of its caller that was lost in this way. Times count from the start of the load.
//
// Changes replaces Fault and Back after several failures: the times, in rising order, at which a majority of the servers
// had promised a newer term, from which on the old primary can have nothing confirmed. A write may be lost only if its last
// attempt was sent before such a time, and the first one after that takes the place of Fault.
type Losses struct {
	Fault, Back time.Duration
	Changes     []time.Duration
}

// allow reports whether the acknowledged write may be lost.
func (l *Losses) allow(p load.Payment) bool {
	if l == nil {
		return false
	}
	if l.Changes != nil {
		return l.failure(p) > 0
	}
	return p.Last() < l.Fault && p.Ended() < l.Back
}

// failure returns the time of the first failure after the last attempt of a write was sent, 0 if there was none.
func (l *Losses) failure(p load.Payment) time.Duration {
	if l.Changes == nil {
		return l.Fault
	}
	for _, at := range l.Changes {
		if p.Last() < at {
			return at
		}
	}
	return 0
}

// Checks names the checks that a load must give work to.
type Checks []string

// Run audits a load. The database must be that of the primary after replication has settled.
func Run(ctx context.Context, record *load.Record, db Database, limits []Limits, required Checks) (*Report, error) {
	return RunWithLosses(ctx, record, db, limits, required, nil)
}

// RunWithLosses is Run for a load during which acknowledged writes may have been lost, nil for none.
func RunWithLosses(
	ctx context.Context, record *load.Record, db Database, limits []Limits, required Checks, losses *Losses,
) (*Report, error) {
	r := &Report{Looked: map[string]int64{}, losses: losses, lost: map[string]load.Payment{}}
	if err := r.payments(ctx, record, db); err != nil {
		return nil, err
	}
	if err := r.transfers(ctx, record, db); err != nil {
		return nil, err
	}
	r.lastOnly()
	r.reads(record.Summary())
	r.limits(limits)
	for _, c := range required {
		if r.Looked[c] == 0 {
			r.Add("audit", "the check of %s had nothing to compare", c)
		}
	}
	sort.SliceStable(r.Findings, func(i, j int) bool { return r.Findings[i].Promise < r.Findings[j].Promise })
	return r, nil
}

// counts returns how often each reference occurs.
func counts(ctx context.Context, db Database, query string) (map[string]int64, error) {
	rows, err := db.Query(ctx, query)
	if err != nil {
		return nil, fmt.Errorf("audit query %q: %w", query, err)
	}
	m := make(map[string]int64, len(rows))
	for _, row := range rows {
		ref, ok := row[0].(string)
		n, isInt := row[1].(int64)
		if !ok || !isInt {
			return nil, fmt.Errorf("audit query %q returned %T and %T", query, row[0], row[1])
		}
		m[ref] = n
	}
	return m, nil
}

// payments checks that each acknowledged payment took effect once, each other one at most once, and none that was
// reported as not run.
func (r *Report) payments(ctx context.Context, record *load.Record, db Database) error {
	found, err := counts(ctx, db, "SELECT ref, count(*) FROM payment GROUP BY ref")
	if err != nil {
		return err
	}
	for _, p := range record.Payments() {
		if p.Kind() != load.Pay {
			continue
		}
		r.Looked[CheckPayments]++
		r.effect(p, found[p.Ref()], 1)
		delete(found, p.Ref())
	}
	for ref := range found {
		r.Add("no payment from nowhere", "payment %s is in the database but no caller sent it", ref)
	}
	return nil
}

// transfers checks that the two rows of each transaction are there together or not at all.
func (r *Report) transfers(ctx context.Context, record *load.Record, db Database) error {
	found, err := counts(ctx, db, "SELECT ref, count(*) FROM half GROUP BY ref")
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
		r.effect(p, found[p.Ref()]/2, 1)
		delete(found, p.Ref())
	}
	for ref := range found {
		r.Add("no payment from nowhere", "transaction %s is in the database but no caller sent it", ref)
	}
	return nil
}

func (r *Report) effect(p load.Payment, n, once int64) {
	if p.Outcome() == load.Done && n >= once {
		r.kept = append(r.kept, p)
	}
	switch {
	case n > once:
		r.Add("at most once", "%s %s took effect %d times", p.Kind(), p.Ref(), n)
	case p.Outcome() == load.Done && n != once && r.losses.allow(p):
		r.Looked[AllowedLosses]++
		r.lost[p.Ref()] = p
	case p.Outcome() == load.Done && n != once:
		r.Add("no acknowledged write is lost", "%s %s was acknowledged and is not in the database", p.Kind(), p.Ref())
	case (p.Outcome() == load.NotRun || p.Outcome() == load.Failed) && n != 0:
		r.Add("not run means not run", "%s %s was reported as %s and is in the database", p.Kind(), p.Ref(), p.Outcome())
	}
}

// lastOnly checks that no write is kept that followed a lost one on the failed primary.
func (r *Report) lastOnly() {
	earliest := map[time.Duration]load.Payment{}
	for _, p := range r.lost {
		at := r.losses.failure(p)
		if e, ok := earliest[at]; !ok || p.Ended() < e.Ended() {
			earliest[at] = p
		}
	}
	for at, e := range earliest {
		for _, p := range r.kept {
			if p.First() > e.Ended() && p.Ended() < at {
				r.Add("only the last writes are lost", "%s %s is in the database, and %s, acknowledged before it was sent, is not",
					p.Kind(), p.Ref(), e.Ref())
			}
		}
	}
}

// reads checks that no read missed what it must see.
func (r *Report) reads(s load.Summary) {
	r.Looked[CheckReads] = s.Checked
	kept := map[string]bool{}
	for _, p := range r.kept {
		kept[p.Ref()] = true
	}
	for _, v := range s.Stale {
		if v.Kind == load.Read.String() && r.missedLost(kept, v) {
			continue
		}
		r.Add("read-your-writes", "%s of caller %d saw %d instead of at least %d", v.Kind, v.Caller, v.Got, v.Want)
	}
}

// missedLost reports whether a read missed a payment that may be lost, and no older one that is there.
func (r *Report) missedLost(kept map[string]bool, v load.Stale) bool {
	if _, lost := r.lost[load.PaymentRef(v.Caller, v.Want)]; !lost {
		return false
	}
	for seq := v.Got + 1; seq < v.Want; seq++ {
		if kept[load.PaymentRef(v.Caller, seq)] {
			return false
		}
	}
	return true
}

// limits checks that no server ever had more connections than it allows.
func (r *Report) limits(limits []Limits) {
	for _, l := range limits {
		r.Looked[CheckLimits] += int64(l.Connections)
		if l.Connections > l.Allowed {
			r.Add("connection limit", "server %s had %d connections; %d are allowed", l.Server, l.Connections, l.Allowed)
		}
	}
}
