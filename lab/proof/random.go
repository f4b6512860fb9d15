package proof

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"verbenagate/core/port"
	"verbenagate/core/svcdef"
	"verbenagate/io/admin"
	"verbenagate/io/config"
	"verbenagate/io/logs"
	"verbenagate/io/node"
	"verbenagate/lab/audit"
	"verbenagate/lab/fault"
	"verbenagate/lab/load"
	"verbenagate/lab/server"
	"verbenagate/lab/site"
)

const (
	// service is the name of the service under test.
	service = "dues"
	// staleAge is the default max_age of browses in scripts.
	staleAge = time.Second
	// answerLossProbability is the probability that the platform's answer to a write is lost.
	answerLossProbability = 0.5
	// pollInterval is the interval at which a run checks its schedule and the VMs, and at which the waiting functions poll.
	pollInterval = 10 * time.Millisecond
	// drainMargin is added to the request timeout to get the time limit for the graceful stop of a VM.
	drainMargin = 5 * time.Second
	// settleTimeout limits the time from the lifting of the last fault until all servers and VMs work normally again.
	settleTimeout = 30 * time.Second
	// applyInterval is the time between two configuration changes by one operator.
	applyInterval = 300 * time.Millisecond
	// loadTail is how long the load continues after the time with faults.
	loadTail = time.Second
)

// Options configures a randomised run.
type Options struct {
	// Length is the time within which all faults start and end.
	Length time.Duration
	// Servers and VMs are the numbers of servers and VMs, which are spread over three data centres.
	Servers, VMs int
	// Links adds faults of the links between VMs and isolation of whole data centres. A seed yields another schedule then.
	Links bool
	// Rate is the number of requests per second.
	Rate float64
	// Log receives the log lines of all VMs.
	Log *logs.Log
}

// Result is the outcome of a run.
type Result struct {
	Faults []Fault
	Audit  *audit.Report
	Load   load.Summary
	// AcceptedChanges is the number of configuration changes that were accepted.
	AcceptedChanges int
	// TermChanges is the number of term changes, that is of terms that a majority of the servers promised.
	TermChanges int
}

// run is the state of one randomised run.
type run struct {
	site    *site.Site
	choices Choices
	net     *network
	proxies []*proxy
	faults  []Fault
	// conditions holds the network condition of each network fault that was started.
	conditions map[Fault]*condition
	// vmStopped has a channel for each VM that a fault has stopped; the channel is closed once the VM has ended.
	vmStopped map[int]chan struct{}
	// vmDown is true for VMs that are stopping or stopped.
	vmDown map[int]bool
	// drainFailures describes the graceful stops that did not complete in time.
	drainFailures []string
	// addressErr joins the errors of setAddresses, which can't return them.
	addressErr error

	mu           sync.Mutex // guards the nodes of the site and the following fields
	lastRevision map[*node.Node]uint64
	reverts      []string
	accepted     map[uint64][]string
}

// Run starts a deployment, applies and lifts the faults of the seed under load, and audits the answers that callers got. An
// error means that the deployment could not be started or did not return to normal after the faults.
func Run(ctx context.Context, seed uint64, o Options) (*Result, error) {
	r := &run{
		net: newNetwork(), choices: Choose(seed), faults: o.schedule(seed), conditions: map[Fault]*condition{}, vmStopped: map[int]chan struct{}{},
		vmDown: map[int]bool{}, lastRevision: map[*node.Node]uint64{}, accepted: map[uint64][]string{},
	}
	defer r.net.close()
	var err error
	r.site, err = site.New(ctx, r.spec(o), o.Log)
	if err != nil {
		return nil, err
	}
	defer r.site.Close()
	if err := errors.Join(r.addressErr, r.net.addServers(r.site.Group(service), r.proxies, dataCentres)); err != nil {
		return nil, err
	}
	return r.run(ctx, seed, o)
}

// spec returns the specification of the deployment under test.
func (r *run) spec(o Options) site.Spec {
	return site.Spec{
		DataCentres: dataCentres, VMs: o.VMs, OpenDelay: 2 * time.Millisecond,
		ServiceTime: time.Millisecond, Lag: r.choices.lag, NetDelay: time.Millisecond, Links: true,
		NewLink: r.newServerProxy, NewAddress: freePort, Adjust: r.setAddresses,
		Services: []site.ServiceSpec{{
			Name: service, Servers: o.Servers, Slots: 5, Connections: 35, Callers: callers, MaxAge: r.choices.maxAge,
			Timeout: r.choices.timeout, MaxWait: r.choices.maxWait, Ack: r.choices.ack,
		}},
	}
}

func (o Options) schedule(seed uint64) []Fault {
	if o.Links {
		return LinkSchedule(seed, o.Length, o.Servers, o.VMs, len(dataCentres))
	}
	return Schedule(seed, o.Length, o.Servers, o.VMs)
}

func (r *run) newServerProxy() (site.Link, error) {
	p, err := newServerProxy()
	if err == nil {
		r.proxies = append(r.proxies, p)
	}
	return p, err
}

// setAddresses sets the addresses of a VM before it starts, so that its connections pass through links of its own. All its
// ports come from freePort, so that no other process takes them while the VM is down: without that, callers of one run were
// admitted by a VM of a run in another process.
func (r *run) setAddresses(cfg *config.Settings) {
	listen, err := freePort()
	for _, a := range []*string{&cfg.Listen.Callers, &cfg.Listen.Operators} {
		if err == nil {
			*a, err = freePort()
		}
	}
	if err == nil {
		var up *fault.Link
		var p *proxy
		up, p, err = r.net.addVM(cfg.VM.ID, cfg.VM.DataCentre, listen, strings.TrimPrefix(cfg.Platform.URL, "http://"))
		if err == nil {
			cfg.Listen.Peers, cfg.Listen.PeersAnnounce, cfg.Platform.URL = listen, p.Addr(), "http://"+up.Addr()
		}
	}
	r.addressErr = errors.Join(r.addressErr, err)
}

// vmName returns the id that the site gives to VM i, counted from 0.
func vmName(i int) string { return fmt.Sprintf("vm%d", i+1) }

// refusePeers makes the proxy in front of VM i refuse connections from other VMs, as the kernel does for a process that has
// ended, or accept them again.
func (r *run) refusePeers(i int, on bool) error {
	r.net.mu.Lock()
	p := r.net.peers[vmName(i)]
	r.net.mu.Unlock()
	return p.Refuse(on)
}

// callers is the number of callers of a run.
const callers = 40

// dataCentres names the data centres of the deployment. VMs and servers are placed in them round robin.
var dataCentres = []string{"east", "west", "north"}

func (r *run) run(ctx context.Context, seed uint64, o Options) (*Result, error) {
	p := r.choices.profile()
	p.Duration, p.Rate, p.Callers = o.Length+loadTail, o.Rate, callers
	record := load.NewRecord(nil)
	target := r.site.Target(service)
	begin := time.Now()
	ctx, stop := context.WithCancel(ctx)
	var operators, callers sync.WaitGroup
	defer operators.Wait()
	defer stop()
	for _, name := range []string{"anna", "berta"} {
		operators.Go(func() { r.runOperator(ctx, name) })
	}
	callers.Go(func() { load.Run(ctx, p, load.Plan(p, seed), target, record, begin) })
	err := r.runSchedule(begin, o.Length)
	callers.Wait()
	stop()
	operators.Wait()
	if err != nil {
		return nil, err
	}
	return r.verify(context.WithoutCancel(ctx), record, begin)
}

// runSchedule starts and lifts each fault at its time, and checks that no VM's revision decreases. It returns once length has
// passed and all faults are lifted.
func (r *run) runSchedule(begin time.Time, length time.Duration) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	next, inForce := 0, []Fault(nil)
	for {
		now := time.Since(begin)
		for ; next < len(r.faults) && r.faults[next].At() <= now; next++ {
			if r.isVMDown(r.faults[next]) {
				continue
			}
			r.startFault(r.faults[next])
			inForce = append(inForce, r.faults[next])
		}
		var rest []Fault
		for _, f := range inForce {
			if f.End() > now || !r.canBeLifted(f) {
				rest = append(rest, f)
				continue
			}
			if err := r.liftFault(f); err != nil {
				return fmt.Errorf("lift %v: %w", f, err)
			}
		}
		inForce = rest
		r.recordReverts()
		if now > length && len(inForce) == 0 && next == len(r.faults) {
			return nil
		}
		<-tick.C
	}
}

func (r *run) startFault(f Fault) {
	switch f.Kind() {
	case PlatformDown:
		r.site.Platform().SetDown(true)
	case PlatformSlow:
		r.site.Platform().SetDelay(f.Amount())
	case LoseAnswers:
		r.site.Platform().SetLoss(answerLossProbability, uint64(f.At()))
	case StaleVMList:
		r.site.Platform().SetListLag(f.Amount())
	case KillVM, DrainVM:
		r.stopVM(f)
	case CrashServer, FreezeServer, ResetServer, ServerLag, ServerLeaving, CutReplication:
		r.startServerFault(f)
	case ResetVMs:
		r.net.resetConnections(bothWays(vmName(f.Target()), vmName(f.Other())))
	default:
		c := r.conditionOf(f)
		r.conditions[f] = c
		r.net.addCondition(c)
		if f.Kind() == IsolateServer {
			r.site.Group(service)[f.Target()].CutReplication(true)
		}
	}
}

// conditionOf returns the network condition that a fault causes.
func (r *run) conditionOf(f Fault) *condition {
	c := &condition{cut: true, delay: f.Amount(), loss: f.Loss()}
	one, other := vmName(f.Target()), vmName(f.Other())
	switch f.Kind() {
	case CutServer, IsolateServer:
		c.affects = bothWays(serverName(f.Target()), "all")
	case IsolateDataCentre:
		c.affects = r.net.crossingDataCentre(dataCentres[f.Target()])
	case CutOneWay:
		c.affects = oneWay(one, other)
	case DelayVMs, LossVMs:
		c.cut, c.affects = false, bothWays(one, other)
	default:
		c.affects = bothWays(one, other)
	}
	return c
}

func (r *run) startServerFault(f Fault) {
	srv, link := r.site.Group(service)[f.Target()], r.proxies[f.Target()]
	switch f.Kind() {
	case CrashServer:
		_ = link.Refuse(true) // fails only if the listener is closed already
		srv.Crash()
		link.Reset()
	case FreezeServer:
		srv.Freeze()
	case CutReplication:
		srv.CutReplication(true)
	case ResetServer:
		link.Reset()
	case ServerLag:
		srv.SetLag(f.Amount())
	case ServerLeaving:
		srv.SetLeaving(true)
	}
}

// stopVM stops a VM in the background, abruptly (KillVM) or gracefully (DrainVM).
func (r *run) stopVM(f Fault) {
	r.vmDown[f.Target()] = true
	done := make(chan struct{})
	r.vmStopped[f.Target()] = done
	go func() {
		defer close(done)
		defer func() { _ = r.refusePeers(f.Target(), true) }() // an error only means that the listener is closed already
		if f.Kind() == KillVM {
			r.site.CrashVM(f.Target())
			return
		}
		limit := r.choices.timeout + drainMargin
		if left := r.site.StopVM(f.Target(), limit); left > 0 {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.drainFailures = append(r.drainFailures, fmt.Sprintf("%v: %d callers still had work in progress after %v", f, left, limit))
		}
	}()
}

// isVMDown reports whether f is to stop a VM that an earlier fault has stopped and that has not been restarted yet.
func (r *run) isVMDown(f Fault) bool {
	return (f.Kind() == KillVM || f.Kind() == DrainVM) && r.vmDown[f.Target()]
}

// canBeLifted reports whether f can be lifted. A fault that stops a VM can be lifted only once the VM has ended: a graceful stop
// waits for the requests in progress, which may wait for another fault to be lifted.
func (r *run) canBeLifted(f Fault) bool {
	if f.Kind() != KillVM && f.Kind() != DrainVM {
		return true
	}
	select {
	case <-r.vmStopped[f.Target()]:
		return true
	default:
		return false
	}
}

func (r *run) liftFault(f Fault) error {
	switch f.Kind() {
	case PlatformDown:
		r.site.Platform().SetDown(false)
	case PlatformSlow:
		r.site.Platform().SetDelay(0)
	case LoseAnswers:
		r.site.Platform().SetLoss(0, 0)
	case StaleVMList:
		r.site.Platform().SetListLag(0)
	case KillVM, DrainVM:
		r.mu.Lock()
		defer r.mu.Unlock()
		if err := r.refusePeers(f.Target(), false); err != nil {
			return err
		}
		_, err := r.site.RestartVM(f.Target())
		r.vmDown[f.Target()] = false
		return err
	case CrashServer, FreezeServer, ResetServer, ServerLag, ServerLeaving, CutReplication:
		return r.liftServerFault(f)
	case ResetVMs:
	default:
		r.net.removeCondition(r.conditions[f])
		if f.Kind() == IsolateServer {
			r.site.Group(service)[f.Target()].CutReplication(r.outlastedBy(f, CutReplication))
		}
	}
	return nil
}

func (r *run) liftServerFault(f Fault) error {
	srv, link := r.site.Group(service)[f.Target()], r.proxies[f.Target()]
	switch f.Kind() {
	case CrashServer:
		return errors.Join(srv.Restart(), link.Refuse(false))
	case FreezeServer:
		srv.Unfreeze()
	case CutReplication:
		srv.CutReplication(r.outlastedBy(f, IsolateServer))
	case ServerLag:
		srv.SetLag(r.choices.lag)
	case ServerLeaving:
		srv.SetLeaving(false)
	}
	return nil
}

// outlastedBy reports whether another fault of one of the kinds on the same server starts before f ends and ends after it.
func (r *run) outlastedBy(f Fault, kinds ...Kind) bool {
	for _, o := range r.faults {
		for _, k := range kinds {
			if o.Kind() == k && o.Target() == f.Target() && o.At() < f.End() && o.End() > f.End() {
				return true
			}
		}
	}
	return false
}

// recordReverts records each VM whose revision has decreased since the last call.
func (r *run) recordReverts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, n := range r.site.Nodes() {
		now := n.State().Revision
		if before := r.lastRevision[n]; now < before {
			r.reverts = append(r.reverts, fmt.Sprintf("VM %d went from revision %d back to %d", i+1, before, now))
		}
		r.lastRevision[n] = now
	}
}

// runOperator changes the service every applyInterval until ctx ends, through each VM in turn. Several operators do so
// concurrently, so that their changes may conflict.
func (r *run) runOperator(ctx context.Context, name string) {
	t := time.NewTicker(applyInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		r.mu.Lock()
		address := r.site.Nodes()[n%len(r.site.Nodes())].OperatorAddr()
		r.mu.Unlock()
		if number, err := r.applyChange(ctx, address, name, n); err == nil {
			r.mu.Lock()
			r.accepted[number] = append(r.accepted[number], name)
			r.mu.Unlock()
		}
	}
}

func (r *run) applyChange(ctx context.Context, address, name string, n int) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	c, err := admin.Dial(address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_, current, err := c.List(ctx)
	if err != nil {
		return 0, err
	}
	spec := r.site.Definition(service)
	spec.Timeout = r.choices.timeout + time.Duration(n)*time.Millisecond
	rev, _, err := c.Apply(ctx, spec, current, name)
	if err != nil {
		return 0, err
	}
	return rev.Number(), nil
}

// verify waits until all VMs are ready and all servers have applied the primary's log, and then audits the load.
func (r *run) verify(ctx context.Context, record *load.Record, begin time.Time) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := r.site.AwaitReady(ctx); err != nil {
		return nil, err
	}
	primary, err := r.awaitReplicated(ctx)
	if err != nil {
		return nil, err
	}
	var promises [][]server.Promise
	for _, srv := range r.site.Group(service) {
		promises = append(promises, srv.Promises())
	}
	changes := termChanges(promises, begin)
	var losses *audit.Losses
	if r.choices.ack == svcdef.AckPrimary {
		losses = &audit.Losses{TermChanges: changes}
	}
	report, err := audit.RunWithLosses(ctx, record, primary, r.site.Limits(), audit.Checks{
		audit.CheckPayments, audit.CheckTransfers, audit.CheckReads, audit.CheckLimits,
	}, losses)
	if err != nil {
		return nil, err
	}
	res := &Result{Faults: r.faults, Audit: report, Load: record.Summary(), AcceptedChanges: len(r.accepted), TermChanges: len(changes)}
	for _, text := range r.reverts {
		report.Add("no configuration reverts", "%s", text)
	}
	for _, text := range r.drainFailures {
		report.Add("a planned stop interrupts nothing", "%s", text)
	}
	return res, r.verifyRevisions(ctx, report)
}

// awaitReplicated waits until every server has applied the whole log of the primary, which it returns.
func (r *run) awaitReplicated(ctx context.Context) (*server.Server, error) {
	return awaitReplicated(ctx, r.site.Group(service))
}

func awaitReplicated(ctx context.Context, group []*server.Server) (*server.Server, error) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		var primary *server.Server
		for _, srv := range group {
			if st := srv.Status(); st.IsServingPrimary() && (primary == nil || st.Term > primary.Status().Term) {
				primary = srv
			}
		}
		if primary != nil && isReplicated(primary.Status(), group) {
			return primary, nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			text := ""
			for _, srv := range group {
				text += fmt.Sprintf("\n%s %+v", srv.Addr(), srv.Status())
			}
			return nil, fmt.Errorf("not every server applied the log of a primary: %w%s", ctx.Err(), text)
		}
	}
}

func isReplicated(primary port.Status, group []*server.Server) bool {
	for _, srv := range group {
		if st := srv.Status(); st.Term != primary.Term || st.Applied != primary.Received {
			return false
		}
	}
	return true
}

// verifyRevisions checks that every VM has the newest accepted revision, and that no revision was accepted from two operators.
func (r *run) verifyRevisions(ctx context.Context, report *audit.Report) error {
	newest := uint64(0)
	for number, names := range r.accepted {
		report.Looked["revisions"]++
		newest = max(newest, number)
		if len(names) > 1 {
			report.Add("one operator wins", "revision %d was accepted from several operators: %v", number, names)
		}
	}
	for i, n := range r.site.Nodes() {
		if err := r.awaitRevision(ctx, n, newest); err != nil {
			report.Add("no configuration reverts", "VM %d has revision %d, although revision %d was accepted", i+1, n.State().Revision,
				newest)
			continue
		}
		if err := r.verifyHistory(ctx, i, n, report); err != nil {
			return err
		}
	}
	if report.Looked["revisions"] == 0 {
		report.Add("audit", "no configuration change was accepted")
	}
	return nil
}

func (r *run) awaitRevision(ctx context.Context, n *node.Node, newest uint64) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for n.State().Revision < newest {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// verifyHistory checks that the revisions in the history of a VM have the authors whose changes were accepted.
func (r *run) verifyHistory(ctx context.Context, i int, n *node.Node, report *audit.Report) error {
	c, err := admin.Dial(n.OperatorAddr())
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	history, err := c.History(ctx, service)
	if err != nil {
		return fmt.Errorf("history of VM %d: %w", i+1, err)
	}
	for _, rev := range history {
		if names := r.accepted[rev.Number()]; len(names) > 0 && names[0] != rev.Author() {
			report.Add("one operator wins", "revision %d was accepted from %s, but VM %d has that of %s", rev.Number(), names[0],
				i+1, rev.Author())
		}
	}
	return nil
}
