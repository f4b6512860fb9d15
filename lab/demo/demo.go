// Package demo runs a whole deployment in one process, prints what happens and checks the results.
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
	// replicaLag is so long that directly after a write no replica has applied it.
	replicaLag = 300 * time.Millisecond
	// callers is the number of callers of the load. One more caller, roamingCaller, is used only by checkRoamingReads.
	callers       = 40
	roamingCaller = callers
	// loadDuration leaves time for a failover, which takes about 1.5 s, before the VM is stopped.
	loadDuration = 7 * time.Second
	crashAt      = 1 * time.Second
	vmStopAt     = 4 * time.Second
	// inFlightWindow is how long before the stop a request that is in flight at the stop may have arrived.
	inFlightWindow = 500 * time.Millisecond
	// vmStopTimeout bounds the graceful shutdown of the VM. The requests of the load take milliseconds.
	vmStopTimeout = 5 * time.Second
	// drainTimeout is how long requests may take after the last arrival. Then the load is cancelled, so that the demo ends.
	drainTimeout = 3 * time.Second
	// replicationTimeout bounds each wait for replication.
	replicationTimeout = 5 * time.Second
)

// Run runs the demo and writes what happens to w. It returns an error if a check fails.
func Run(ctx context.Context, w io.Writer, log *logs.Log, seed uint64) error {
	d := &demo{w: w, startTime: time.Now(), seed: seed}
	s, err := site.New(ctx, spec(), log)
	if err != nil {
		return fmt.Errorf("start the deployment: %w", err)
	}
	defer s.Close()
	d.site = s
	d.logf("3 data centres, 3 VMs, service %q with 3 servers, replicas lag %v", service, replicaLag)
	for i, srv := range s.Group(service) {
		d.logf("  server %d %s: %s", i+1, srv.Addr(), srv.Status().Role)
	}
	for _, part := range []func(context.Context) error{d.checkRoamingReads, d.checkFaultsUnderLoad} {
		if err := part(ctx); err != nil {
			return err
		}
	}
	d.printSummary()
	return errors.Join(d.failures...)
}

func spec() site.Spec {
	return site.Spec{
		DataCentres: []string{"north", "south", "east"}, VMs: 3, OpenDelay: server.DefaultOpenDelay,
		ServiceTime: time.Millisecond, Lag: replicaLag, NetDelay: time.Millisecond,
		Services: []site.ServiceSpec{{
			Name: service, Servers: 3, Slots: 5, Connections: 35, Callers: callers + 1, MaxAge: time.Second,
			Timeout: 20 * time.Second,
		}},
	}
}

type demo struct {
	w            io.Writer
	startTime    time.Time
	seed         uint64
	site         *site.Site
	summaryLines []string
	failures     []error
}

func (d *demo) logf(format string, args ...any) {
	fmt.Fprintf(d.w, "%5.1f s  %s\n", time.Since(d.startTime).Seconds(), fmt.Sprintf(format, args...))
}

// check adds a line to the summary and prints it. If ok is false, it also records a failure.
func (d *demo) check(ok bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	mark := "ok   "
	if !ok {
		mark = "WRONG"
		d.failures = append(d.failures, errors.New(text))
	}
	d.summaryLines = append(d.summaryLines, mark+"  "+text)
	d.logf("%s", text)
}

func (d *demo) printSummary() {
	fmt.Fprintf(d.w, "\nSummary (seed %d, %.1f s):\n", d.seed, time.Since(d.startTime).Seconds())
	for _, s := range d.summaryLines {
		fmt.Fprintln(d.w, "  "+s)
	}
}

func (d *demo) connect(ctx context.Context, vm int) (*pgconn.PgConn, error) {
	t := d.site.Target(service)
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", t.User(roamingCaller), t.Password, t.VMs[vm], service))
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

// checkRoamingReads writes a payment through one VM and checks that a read through another VM sees it.
func (d *demo) checkRoamingReads(ctx context.Context) error {
	first, err := d.connect(ctx, 0)
	if err != nil {
		return fmt.Errorf("connect to VM 1: %w", err)
	}
	_, err = exec(ctx, first, load.PaySQL, "demo-payment", strconv.Itoa(roamingCaller), "1")
	_ = first.Close(ctx)
	if err != nil {
		return fmt.Errorf("pay on VM 1: %w", err)
	}
	paid := d.site.Primary(service).Status().AppliedPoint()
	d.logf("a member paid through VM 1; the primary is at position %v", paid)
	second, err := d.connect(ctx, 1)
	if err != nil {
		return fmt.Errorf("connect to VM 2: %w", err)
	}
	defer func() { _ = second.Close(ctx) }()
	before := d.site.Counts()
	got, err := exec(ctx, second, load.ReadSQL, strconv.Itoa(roamingCaller))
	if err != nil {
		return fmt.Errorf("read on VM 2: %w", err)
	}
	delta := d.site.Counts().Less(before)
	d.check(got == "1", "read through VM 2 at once: payment %s seen, answered by %s", got, answeredBy(delta))
	return d.checkReplicaRead(ctx, second, paid)
}

func answeredBy(c site.Counts) string {
	switch {
	case c.ReplicaReads > 0:
		return "a replica"
	case c.PrimaryReads > 0:
		return "the primary, because no replica had applied it yet"
	}
	return "no server"
}

// checkReplicaRead waits until the replicas have applied the payment, and repeats the read until a replica has answered. The VM
// learns the replicas' positions from their answers and status polls, so that the first reads may still go to the primary.
func (d *demo) checkReplicaRead(ctx context.Context, c *pgconn.PgConn, paid point.Point) error {
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	for _, srv := range d.site.Group(service) {
		if err := awaitApplied(ctx, srv, paid); err != nil {
			return fmt.Errorf("wait for replication to %s: %w", srv.Addr(), err)
		}
	}
	for n := 1; ctx.Err() == nil; n++ {
		countsBefore, unitsBefore := d.site.Counts(), d.unitsRun()
		got, err := exec(ctx, c, load.ReadSQL, strconv.Itoa(roamingCaller))
		if err != nil {
			return fmt.Errorf("read on VM 2: %w", err)
		}
		if got != "1" {
			d.check(false, "read through VM 2 after the lag missed the payment: %s", got)
			return nil
		}
		if d.site.Counts().Less(countsBefore).ReplicaReads == 1 {
			d.check(true, "read %d through VM 2 after the lag: payment 1 seen, answered by replica %s", n, d.serverUsedSince(unitsBefore))
			return nil
		}
	}
	d.check(false, "no replica answered the member's reads within %v", replicationTimeout)
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

// unitsRun returns how many units of work each server has run, by its address. The owner of the server counts them.
func (d *demo) unitsRun() map[string]uint64 {
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

func (d *demo) serverUsedSince(before map[string]uint64) string {
	for addr, n := range d.unitsRun() {
		if n > before[addr] {
			return addr
		}
	}
	return "(unknown)"
}

// checkFaultsUnderLoad crashes the primary and stops a VM under load, and then audits the answers that the callers received.
func (d *demo) checkFaultsUnderLoad(ctx context.Context) error {
	p := load.Profile{
		Duration: loadDuration, Rate: 200, Callers: callers, Pay: 0.2, Transfer: 0.05, Browse: 0.1, Roam: 0.05,
		MaxAge: time.Second, Lag: replicaLag,
	}
	record := load.NewRecord(nil)
	begin := time.Now()
	loadDone := make(chan struct{})
	loadCtx, cancel := context.WithDeadline(ctx, begin.Add(loadDuration+drainTimeout))
	defer cancel()
	go func() {
		defer close(loadDone)
		load.Run(loadCtx, p, load.Plan(p, d.seed), d.site.Target(service), record, begin)
	}()
	oldPrimary := d.site.Primary(service)
	waitUntil(ctx, begin.Add(crashAt))
	crashed := time.Since(begin)
	oldPrimary.Crash()
	d.logf("crashed the primary %s under load", oldPrimary.Addr())
	waitUntil(ctx, begin.Add(vmStopAt))
	gap, ok := record.Recovery(crashed, time.Since(begin))
	d.check(ok && d.site.Primary(service) != oldPrimary, "writes resumed %.1f s after the crash, on %s, term %d", gap.Seconds(),
		d.site.Primary(service).Addr(), d.site.Primary(service).Status().Term)
	if err := oldPrimary.Restart(); err != nil {
		return fmt.Errorf("restart %s: %w", oldPrimary.Addr(), err)
	}
	unfinished := d.site.StopVM(2, vmStopTimeout)
	d.logf("stopped VM 3 gracefully; its callers connect to the other VMs")
	select {
	case <-loadDone:
	case <-time.After(time.Until(begin.Add(loadDuration + drainTimeout/2))):
		d.showPendingRequests()
		<-loadDone
	}
	// Commits whose outcome was unknown after the crash end seconds later. Requests are therefore counted by their arrival.
	interrupted := unfinished + record.Undone(vmStopAt-inFlightWindow, loadDuration)
	d.check(interrupted == 0, "stopping VM 3 under load interrupted %d requests; %d requests were done", interrupted,
		record.Progress().Done)
	if loadCtx.Err() != nil {
		d.check(false, "requests were still in flight %v after the last arrival", drainTimeout)
	}
	if len(d.failures) > 0 {
		for text, n := range record.Summary().Errors {
			d.logf("  %d times: %s", n, text)
		}
	}
	return d.runAudit(ctx, record)
}

// showPendingRequests prints the state of the servers, sessions and pools, to show where requests are stuck.
func (d *demo) showPendingRequests() {
	for _, srv := range d.site.Group(service) {
		st := srv.Status()
		d.logf("  server %s: %s, term %d, promised %d, received %d, applied %d, running %d", srv.Addr(), st.Role, st.Term,
			st.Promised, st.Received, st.Applied, srv.Running())
	}
	for _, n := range d.site.Nodes() {
		st := n.State()
		for _, s := range st.Sessions {
			if s.Running {
				d.logf("  %s: session of %s has been running for more than %v, transaction status %q", st.VM, s.User, drainTimeout/2, s.Status)
			}
		}
		for _, g := range st.Hosted {
			d.logf("  %s watches %s: primary %s, term %d, health %s", st.VM, g.Service, g.Primary, g.Term, g.Health)
			for _, o := range g.Owned {
				d.logf("  %s owns %s: %d queued, %d short and %d long running, %d connections, %d idle, %d held, draining %v",
					st.VM, o.Address, o.Queued, o.RunningShort, o.RunningLong, o.OpenConnections, o.IdleConnections,
					o.HeldConnections, o.Draining)
			}
		}
	}
}

func waitUntil(ctx context.Context, at time.Time) {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (d *demo) runAudit(ctx context.Context, record *load.Record) error {
	record.Paid(load.NewPayment("demo-payment", load.Pay, load.Done))
	r, err := audit.Run(ctx, record, d.site.Primary(service), d.site.Limits(),
		audit.Checks{audit.CheckPayments, audit.CheckTransfers, audit.CheckReads, audit.CheckLimits})
	if err != nil {
		return err
	}
	d.check(r.OK(), "audit: %d payments, %d transactions and %d reads compared, %d broken promises",
		r.Looked[audit.CheckPayments], r.Looked[audit.CheckTransfers], r.Looked[audit.CheckReads], len(r.Findings))
	for _, f := range r.Findings {
		d.logf("  %s: %s", f.Promise, f.Detail)
	}
	return nil
}
