// Package demo shows a whole deployment at work in one process and checks what it shows.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"verbenagate/core/point"
	"verbenagate/io/logs"
	"verbenagate/lab/audit"
	"verbenagate/lab/load"
	"verbenagate/lab/server"
	"verbenagate/lab/site"
)

const (
	service = "dues"
	// lag is long enough that a read directly after a write finds no replica that has it.
	lag = 300 * time.Millisecond
	// callers is the number of callers of the load; one more is the member of the first part.
	callers = 40
	member  = callers
	// loadTime leaves room for a failover, which takes about 1.5 s, before the rolling stop.
	loadTime = 7 * time.Second
	crashAt  = 1 * time.Second
	stopAt   = 4 * time.Second
	// inFlight is how long before the stop a request may have arrived that is in progress at the stop.
	inFlight = 500 * time.Millisecond
	// stopLimit bounds the graceful stop of the VM; the load's requests take milliseconds.
	stopLimit = 5 * time.Second
	// graceTime is how long requests may take after the last arrival; then the load is cut off, so that the demo ends.
	graceTime = 3 * time.Second
	// settleTime bounds each wait for replication.
	settleTime = 5 * time.Second
)

// Run runs the demo and writes what happens to w. It returns an error if anything is not as it should be.
func Run(ctx context.Context, w io.Writer, log *logs.Log, seed uint64) error {
	d := &demo{w: w, begun: time.Now(), seed: seed}
	s, err := site.New(ctx, spec(), log)
	if err != nil {
		return fmt.Errorf("start the deployment: %w", err)
	}
	defer s.Close()
	d.site = s
	d.say("3 data centres, 3 VMs, service %q with 3 servers, replicas lag %v", service, lag)
	for i, srv := range s.Group(service) {
		d.say("  server %d %s: %s", i+1, srv.Addr(), srv.Status().Role)
	}
	for _, part := range []func(context.Context) error{d.roam, d.load} {
		if err := part(ctx); err != nil {
			return err
		}
	}
	d.summary()
	return errors.Join(d.wrong...)
}

func spec() site.Spec {
	return site.Spec{
		DataCentres: []string{"north", "south", "east"}, VMs: 3, OpenDelay: server.DefaultOpenDelay,
		ServiceTime: time.Millisecond, Lag: lag, NetDelay: time.Millisecond,
		Services: []site.ServiceSpec{{
			Name: service, Servers: 3, Slots: 5, Connections: 35, Callers: callers + 1, MaxAge: time.Second,
			Timeout: 20 * time.Second,
		}},
	}
}

type demo struct {
	w     io.Writer
	begun time.Time
	seed  uint64
	site  *site.Site
	shown []string
	wrong []error
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.w, "%5.1f s  %s\n", time.Since(d.begun).Seconds(), fmt.Sprintf(format, args...))
}

// check records one line of the summary.
func (d *demo) check(ok bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	mark := "ok   "
	if !ok {
		mark = "WRONG"
		d.wrong = append(d.wrong, errors.New(text))
	}
	d.shown = append(d.shown, mark+"  "+text)
	d.say("%s", text)
}

func (d *demo) summary() {
	fmt.Fprintf(d.w, "\nSummary (seed %d, %.1f s):\n", d.seed, time.Since(d.begun).Seconds())
	for _, s := range d.shown {
		fmt.Fprintln(d.w, "  "+s)
	}
}

func (d *demo) connect(ctx context.Context, vm int) (*pgconn.PgConn, error) {
	t := d.site.Target(service)
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", t.User(member), t.Password, t.VMs[vm], service))
}

func exec(ctx context.Context, c *pgconn.PgConn, sql string, args ...string) (string, error) {
	params := make([][]byte, len(args))
	for i, a := range args {
		params[i] = []byte(a)
	}
	r := c.ExecParams(ctx, sql, params, nil, nil, nil).Read()
	if r.Err != nil || len(r.Rows) == 0 {
		return "", r.Err
	}
	return string(r.Rows[0][0]), nil
}

// roam pays on one VM and reads through another one.
func (d *demo) roam(ctx context.Context) error {
	first, err := d.connect(ctx, 0)
	if err != nil {
		return fmt.Errorf("connect to VM 1: %w", err)
	}
	_, err = exec(ctx, first, load.PaySQL, "demo-payment", strconv.Itoa(member), "1")
	_ = first.Close(ctx)
	if err != nil {
		return fmt.Errorf("pay on VM 1: %w", err)
	}
	paid := d.site.Primary(service).Status().AppliedPoint()
	d.say("a member paid through VM 1; the primary is at position %v", paid)
	second, err := d.connect(ctx, 1)
	if err != nil {
		return fmt.Errorf("connect to VM 2: %w", err)
	}
	defer func() { _ = second.Close(ctx) }()
	before := d.site.Counts()
	got, err := exec(ctx, second, load.ReadSQL, strconv.Itoa(member))
	if err != nil {
		return fmt.Errorf("read on VM 2: %w", err)
	}
	now := d.site.Counts().Less(before)
	d.check(got == "1", "read through VM 2 at once: payment %s seen, answered by %s", got, role(now))
	return d.replicaRead(ctx, second, paid)
}

func role(c site.Counts) string {
	switch {
	case c.ReplicaReads > 0:
		return "a replica"
	case c.PrimaryReads > 0:
		return "the primary, as no replica had it yet"
	}
	return "no server"
}

// replicaRead waits until the replicas have applied the payment, and reads until a replica has answered. The VM learns
// the replicas' positions from answers and statuses, so that the first read may still go to the primary.
func (d *demo) replicaRead(ctx context.Context, c *pgconn.PgConn, paid point.Point) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for _, srv := range d.site.Group(service) {
		if err := awaitApplied(ctx, srv, paid); err != nil {
			return fmt.Errorf("replication to %s: %w", srv.Addr(), err)
		}
	}
	for n := 1; ctx.Err() == nil; n++ {
		counts, done := d.site.Counts(), d.done()
		got, err := exec(ctx, c, load.ReadSQL, strconv.Itoa(member))
		if err != nil {
			return fmt.Errorf("read on VM 2: %w", err)
		}
		if got != "1" {
			d.check(false, "read through VM 2 after the lag missed the payment: %s", got)
			return nil
		}
		if d.site.Counts().Less(counts).ReplicaReads == 1 {
			d.check(true, "read %d through VM 2 after the lag: payment 1 seen, answered by replica %s", n, d.served(done))
			return nil
		}
	}
	d.check(false, "no replica answered the member's reads within %v", settleTime)
	return nil
}

func awaitApplied(ctx context.Context, srv *server.Server, p point.Point) error {
	for !srv.Status().AppliedPoint().Covers(p) {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// done returns how many units each server has run, from the state of its owner.
func (d *demo) done() map[string]uint64 {
	m := map[string]uint64{}
	for _, n := range d.site.Nodes() {
		for _, g := range n.State().Hosted {
			for _, o := range g.Owned {
				m[o.Address] += o.ShortCounts.Done + o.LongCounts.Done
			}
		}
	}
	return m
}

func (d *demo) served(before map[string]uint64) string {
	for addr, n := range d.done() {
		if n > before[addr] {
			return addr
		}
	}
	return "(unknown)"
}

// load crashes the primary and stops a VM while callers are at work, and then audits what they were told.
func (d *demo) load(ctx context.Context) error {
	p := load.Profile{
		Duration: loadTime, Rate: 200, Callers: callers, Pay: 0.2, Transfer: 0.05, Browse: 0.1, Roam: 0.05,
		MaxAge: time.Second, Lag: lag,
	}
	record := load.NewRecord(nil)
	begin := time.Now()
	ended := make(chan struct{})
	loadCtx, cancel := context.WithDeadline(ctx, begin.Add(loadTime+graceTime))
	defer cancel()
	go func() {
		defer close(ended)
		load.Run(loadCtx, p, load.Plan(p, d.seed), d.site.Target(service), record, begin)
	}()
	old := d.site.Primary(service)
	wait(ctx, begin.Add(crashAt))
	crashed := time.Since(begin)
	old.Crash()
	d.say("crashed the primary %s under load", old.Addr())
	wait(ctx, begin.Add(stopAt))
	gap, ok := record.Recovery(crashed, time.Since(begin))
	d.check(ok && d.site.Primary(service) != old, "writes went on %.1f s after the crash, on %s, term %d", gap.Seconds(),
		d.site.Primary(service).Addr(), d.site.Primary(service).Status().Term)
	if err := old.Restart(); err != nil {
		return fmt.Errorf("restart %s: %w", old.Addr(), err)
	}
	left := d.site.StopVM(2, stopLimit)
	d.say("stopped VM 3 gracefully; its callers connect to the others")
	select {
	case <-ended:
	case <-time.After(time.Until(begin.Add(loadTime + graceTime/2))):
		d.stuck()
		<-ended
	}
	// Commits that the crash left in doubt end seconds later, so that requests count by their arrival.
	interrupted := left + record.Undone(stopAt-inFlight, loadTime)
	d.check(interrupted == 0, "stopping VM 3 under load interrupted %d requests; %d requests were done", interrupted,
		record.Progress().Done)
	if loadCtx.Err() != nil {
		d.check(false, "requests were still in progress %v after the last arrival", graceTime)
	}
	if len(d.wrong) > 0 {
		for text, n := range record.Summary().Errors {
			d.say("  %d times: %s", n, text)
		}
	}
	return d.audit(ctx, record)
}

// stuck shows where requests wait.
func (d *demo) stuck() {
	for _, srv := range d.site.Group(service) {
		st := srv.Status()
		d.say("  server %s: %s, term %d, promised %d, received %d, applied %d, running %d", srv.Addr(), st.Role, st.Term,
			st.Promised, st.Received, st.Applied, srv.Running())
	}
	for _, n := range d.site.Nodes() {
		st := n.State()
		for _, s := range st.Sessions {
			if s.Running {
				d.say("  %s: %s is running since before %v, transaction status %q", st.VM, s.User, graceTime/2, s.Status)
			}
		}
		for _, g := range st.Hosted {
			d.say("  %s watches %s: primary %s, term %d, health %s", st.VM, g.Service, g.Primary, g.Term, g.Health)
			for _, o := range g.Owned {
				d.say("  %s owns %s: %d queued, %d short and %d long running, %d connections, %d idle, %d held, draining %v",
					st.VM, o.Address, o.Queued, o.Short, o.Long, o.Open, o.Idle, o.Held, o.Draining)
			}
		}
	}
}

func wait(ctx context.Context, at time.Time) {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (d *demo) audit(ctx context.Context, record *load.Record) error {
	record.Paid(load.NewPayment("demo-payment", load.Pay, load.Done))
	r, err := audit.Run(ctx, record, d.site.Primary(service), d.site.Limits(),
		audit.Checks{audit.CheckPayments, audit.CheckTransfers, audit.CheckReads, audit.CheckLimits})
	if err != nil {
		return err
	}
	d.check(r.OK(), "audit: %d payments, %d transactions and %d reads compared, %d broken promises",
		r.Looked[audit.CheckPayments], r.Looked[audit.CheckTransfers], r.Looked[audit.CheckReads], len(r.Findings))
	for _, f := range r.Findings {
		d.say("  %s: %s", f.Promise, f.Detail)
	}
	return nil
}
