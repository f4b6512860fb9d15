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
	// staleAge is the declared age of its browses in scripts.
	staleAge = time.Second
	// answerLoss is the probability that the platform's answer to a write is lost.
	answerLoss = 0.5
	// step is the interval at which the run looks at its schedule and at the VMs.
	step = 10 * time.Millisecond
	// drainMargin is the time for the graceful stop of a VM beyond the time limit of a request.
	drainMargin = 5 * time.Second
	// settleLimit bounds the return to normal once all faults are lifted.
	settleLimit = 30 * time.Second
	// applyInterval is the time between two changes of one operator.
	applyInterval = 300 * time.Millisecond
	// tail is how long the load goes on after the last fault.
	tail = time.Second
)

// Options describe a randomised run.
type Options struct {
	// Length is the time during which faults occur.
	Length time.Duration
	// Servers and VMs are the sizes of the deployment, which has three data centres.
	Servers, VMs int
	// Links adds faults on the links between VMs and cuts of whole data centres; seeds then mean other schedules.
	Links bool
	// Rate is the number of requests per second.
	Rate float64
	// Log is the log of all VMs.
	Log *logs.Log
}

// Result is what a run found.
type Result struct {
	Faults []Fault
	Audit  *audit.Report
	Load   load.Summary
	// Accepted is the number of changes of configuration that were accepted.
	Accepted int
	// Changes is the number of times that a majority of the servers promised a newer term.
	Changes int
}

// run is one randomised run.
type run struct {
	site    *site.Site
	choices Choices
	net     *network
	proxies []*proxy
	faults  []Fault
	// conditions are those in force on the network.
	conditions map[Fault]*condition
	// ended holds a channel for each VM that is stopping or stopped; it is closed once the VM has ended.
	ended map[int]chan struct{}
	// down tells which VMs are stopping or stopped.
	down map[int]bool
	left []string
	// placing is an error of place.
	placing error

	mu       sync.Mutex // guards the nodes of the site and what follows
	revision map[*node.Node]uint64
	reverts  []string
	accepted map[uint64][]string
}

// Run starts a deployment, exposes it to the faults of the seed, lifts them and audits the load. An error means that
// the deployment did not return to normal.
func Run(ctx context.Context, seed uint64, o Options) (*Result, error) {
	r := &run{
		net: newNetwork(), choices: Choose(seed), faults: o.schedule(seed), conditions: map[Fault]*condition{}, ended: map[int]chan struct{}{},
		down: map[int]bool{}, revision: map[*node.Node]uint64{}, accepted: map[uint64][]string{},
	}
	defer r.net.close()
	var err error
	r.site, err = site.New(ctx, r.spec(o), o.Log)
	if err != nil {
		return nil, err
	}
	defer r.site.Close()
	if err := errors.Join(r.placing, r.net.addServers(r.site.Group(service), r.proxies, dataCentres)); err != nil {
		return nil, err
	}
	return r.run(ctx, seed, o)
}

// spec returns the deployment of the run.
func (r *run) spec(o Options) site.Spec {
	return site.Spec{
		DataCentres: dataCentres, VMs: o.VMs, OpenDelay: 2 * time.Millisecond,
		ServiceTime: time.Millisecond, Lag: r.choices.lag, NetDelay: time.Millisecond, Links: true,
		NewLink: r.newServerProxy, NewAddress: freePort, Adjust: r.place,
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

// place puts a VM that is about to start behind links of its own. All its ports are such that nobody else takes them while it
// is down: callers of one run were admitted by a VM of another run in a second process.
func (r *run) place(cfg *config.Settings) {
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
	r.placing = errors.Join(r.placing, err)
}

// vmName returns the id that the site gives to a VM.
func vmName(i int) string { return fmt.Sprintf("vm%d", i+1) }

// refusePeers stands for the kernel, which refuses connections to the address of a process that has ended.
func (r *run) refusePeers(i int, on bool) error {
	r.net.mu.Lock()
	p := r.net.peers[vmName(i)]
	r.net.mu.Unlock()
	return p.Refuse(on)
}

// callers is the number of callers of a run.
const callers = 40

// dataCentres are those of the deployment, in which VMs and servers are placed in turn.
var dataCentres = []string{"east", "west", "north"}

func (r *run) run(ctx context.Context, seed uint64, o Options) (*Result, error) {
	p := r.choices.profile()
	p.Duration, p.Rate, p.Callers = o.Length+tail, o.Rate, callers
	record := load.NewRecord(nil)
	target := r.site.Target(service)
	begin := time.Now()
	ctx, stop := context.WithCancel(ctx)
	var operators, callers sync.WaitGroup
	defer operators.Wait()
	defer stop()
	for _, name := range []string{"anna", "berta"} {
		operators.Go(func() { r.operate(ctx, name) })
	}
	callers.Go(func() { load.Run(ctx, p, load.Plan(p, seed), target, record, begin) })
	err := r.follow(begin, o.Length)
	callers.Wait()
	stop()
	operators.Wait()
	if err != nil {
		return nil, err
	}
	return r.judge(context.WithoutCancel(ctx), record, begin)
}

// follow starts and lifts each fault at its time, and watches the revisions of the VMs.
func (r *run) follow(begin time.Time, length time.Duration) error {
	tick := time.NewTicker(step)
	defer tick.Stop()
	next, inForce := 0, []Fault(nil)
	for {
		now := time.Since(begin)
		for ; next < len(r.faults) && r.faults[next].At() <= now; next++ {
			if r.stopped(r.faults[next]) {
				continue
			}
			r.start(r.faults[next])
			inForce = append(inForce, r.faults[next])
		}
		var rest []Fault
		for _, f := range inForce {
			if f.End() > now || !r.hasEnded(f) {
				rest = append(rest, f)
				continue
			}
			if err := r.lift(f); err != nil {
				return fmt.Errorf("lift %v: %w", f, err)
			}
		}
		inForce = rest
		r.watch()
		if now > length && len(inForce) == 0 && next == len(r.faults) {
			return nil
		}
		<-tick.C
	}
}

func (r *run) start(f Fault) {
	switch f.Kind() {
	case Down:
		r.site.Platform().SetDown(true)
	case Slow:
		r.site.Platform().SetDelay(f.Amount())
	case Lose:
		r.site.Platform().SetLoss(answerLoss, uint64(f.At()))
	case StaleList:
		r.site.Platform().SetListLag(f.Amount())
	case Kill, Drain:
		r.end(f)
	case Crash, Freeze, Reset, Lag, Leave, NoCopy:
		r.startServer(f)
	case ResetVMs:
		r.net.reset(bothWays(vmName(f.Target()), vmName(f.Other())))
	default:
		c := r.condition(f)
		r.conditions[f] = c
		r.net.impose(c)
		if f.Kind() == Isolate {
			r.site.Group(service)[f.Target()].CutReplication(true)
		}
	}
}

// condition returns the state of the network that a fault means.
func (r *run) condition(f Fault) *condition {
	c := &condition{cut: true, delay: f.Amount(), loss: f.Loss()}
	one, other := vmName(f.Target()), vmName(f.Other())
	switch f.Kind() {
	case Cut, Isolate:
		c.affects = bothWays(serverName(f.Target()), "all")
	case CutOff:
		c.affects = r.net.crossing(dataCentres[f.Target()])
	case OneWay:
		c.affects = oneWay(one, other)
	case DelayVMs, LossVMs:
		c.cut, c.affects = false, bothWays(one, other)
	default:
		c.affects = bothWays(one, other)
	}
	return c
}

func (r *run) startServer(f Fault) {
	srv, link := r.site.Group(service)[f.Target()], r.proxies[f.Target()]
	switch f.Kind() {
	case Crash:
		_ = link.Refuse(true) // fails for a listener that is closed, which is what is wanted
		srv.Crash()
		link.Reset()
	case Freeze:
		srv.Freeze()
	case NoCopy:
		srv.CutReplication(true)
	case Reset:
		link.Reset()
	case Lag:
		srv.SetLag(f.Amount())
	case Leave:
		srv.SetLeaving(true)
	}
}

// end ends a VM at once or gracefully.
func (r *run) end(f Fault) {
	r.down[f.Target()] = true
	done := make(chan struct{})
	r.ended[f.Target()] = done
	go func() {
		defer close(done)
		defer func() { _ = r.refusePeers(f.Target(), true) }() // closes a listener
		if f.Kind() == Kill {
			r.site.CrashVM(f.Target())
			return
		}
		limit := r.choices.timeout + drainMargin
		if left := r.site.StopVM(f.Target(), limit); left > 0 {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.left = append(r.left, fmt.Sprintf("%v: %d callers were still at work after %v", f, left, limit))
		}
	}()
}

// stopped reports whether the VM that f is to stop has not come back from the fault before.
func (r *run) stopped(f Fault) bool {
	return (f.Kind() == Kill || f.Kind() == Drain) && r.down[f.Target()]
}

// hasEnded reports whether a VM that a fault stops has ended, if f is such a fault. A graceful stop lasts as long as the
// requests in progress, which may wait for another fault to be lifted.
func (r *run) hasEnded(f Fault) bool {
	if f.Kind() != Kill && f.Kind() != Drain {
		return true
	}
	select {
	case <-r.ended[f.Target()]:
		return true
	default:
		return false
	}
}

func (r *run) lift(f Fault) error {
	switch f.Kind() {
	case Down:
		r.site.Platform().SetDown(false)
	case Slow:
		r.site.Platform().SetDelay(0)
	case Lose:
		r.site.Platform().SetLoss(0, 0)
	case StaleList:
		r.site.Platform().SetListLag(0)
	case Kill, Drain:
		r.mu.Lock()
		defer r.mu.Unlock()
		if err := r.refusePeers(f.Target(), false); err != nil {
			return err
		}
		_, err := r.site.RestartVM(f.Target())
		r.down[f.Target()] = false
		return err
	case Crash, Freeze, Reset, Lag, Leave, NoCopy:
		return r.liftServer(f)
	case ResetVMs:
	default:
		r.net.lift(r.conditions[f])
		if f.Kind() == Isolate {
			r.site.Group(service)[f.Target()].CutReplication(r.inForce(f, NoCopy))
		}
	}
	return nil
}

func (r *run) liftServer(f Fault) error {
	srv, link := r.site.Group(service)[f.Target()], r.proxies[f.Target()]
	switch f.Kind() {
	case Crash:
		return errors.Join(srv.Restart(), link.Refuse(false))
	case Freeze:
		srv.Unfreeze()
	case NoCopy:
		srv.CutReplication(r.inForce(f, Isolate))
	case Lag:
		srv.SetLag(r.choices.lag)
	case Leave:
		srv.SetLeaving(false)
	}
	return nil
}

// inForce reports whether another fault of one of the kinds lasts beyond f on the same server and has started.
func (r *run) inForce(f Fault, kinds ...Kind) bool {
	for _, o := range r.faults {
		for _, k := range kinds {
			if o.Kind() == k && o.Target() == f.Target() && o.At() < f.End() && o.End() > f.End() {
				return true
			}
		}
	}
	return false
}

// watch notes a VM whose revision fell.
func (r *run) watch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, n := range r.site.Nodes() {
		now := n.State().Revision
		if before := r.revision[n]; now < before {
			r.reverts = append(r.reverts, fmt.Sprintf("VM %d went from revision %d back to %d", i+1, before, now))
		}
		r.revision[n] = now
	}
}

// operate changes the service again and again, through one VM after the other and in competition with other operators.
func (r *run) operate(ctx context.Context, name string) {
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
		if number, err := r.change(ctx, address, name, n); err == nil {
			r.mu.Lock()
			r.accepted[number] = append(r.accepted[number], name)
			r.mu.Unlock()
		}
	}
}

func (r *run) change(ctx context.Context, address, name string, n int) (uint64, error) {
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

// judge waits until the deployment has settled and audits the load.
func (r *run) judge(ctx context.Context, record *load.Record, begin time.Time) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	if err := r.site.AwaitReady(ctx); err != nil {
		return nil, err
	}
	primary, err := r.settle(ctx)
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
	res := &Result{Faults: r.faults, Audit: report, Load: record.Summary(), Accepted: len(r.accepted), Changes: len(changes)}
	for _, text := range r.reverts {
		report.Add("no configuration reverts", "%s", text)
	}
	for _, text := range r.left {
		report.Add("a planned stop interrupts nothing", "%s", text)
	}
	return res, r.judgeRevisions(ctx, report)
}

// settle waits until every server has applied the whole log of the primary.
func (r *run) settle(ctx context.Context) (*server.Server, error) {
	return settle(ctx, r.site.Group(service))
}

func settle(ctx context.Context, group []*server.Server) (*server.Server, error) {
	t := time.NewTicker(step)
	defer t.Stop()
	for {
		var primary *server.Server
		for _, srv := range group {
			if st := srv.Status(); st.IsServingPrimary() && (primary == nil || st.Term > primary.Status().Term) {
				primary = srv
			}
		}
		if primary != nil && equal(primary.Status(), group) {
			return primary, nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			text := ""
			for _, srv := range group {
				text += fmt.Sprintf("\n%s %+v", srv.Addr(), srv.Status())
			}
			return nil, fmt.Errorf("the servers did not settle: %w%s", ctx.Err(), text)
		}
	}
}

func equal(primary port.Status, group []*server.Server) bool {
	for _, srv := range group {
		if st := srv.Status(); st.Term != primary.Term || st.Applied != primary.Received {
			return false
		}
	}
	return true
}

// judgeRevisions checks that each accepted change is in force on every VM, and that no revision has two winners.
func (r *run) judgeRevisions(ctx context.Context, report *audit.Report) error {
	newest := uint64(0)
	for number, names := range r.accepted {
		report.Looked["revisions"]++
		newest = max(newest, number)
		if len(names) > 1 {
			report.Add("one operator wins", "revision %d was accepted from %v", number, names)
		}
	}
	for i, n := range r.site.Nodes() {
		if err := r.awaitRevision(ctx, n, newest); err != nil {
			report.Add("no configuration reverts", "VM %d has revision %d; revision %d was accepted", i+1, n.State().Revision,
				newest)
			continue
		}
		if err := r.judgeHistory(ctx, i, n, report); err != nil {
			return err
		}
	}
	if report.Looked["revisions"] == 0 {
		report.Add("audit", "no change of configuration was accepted")
	}
	return nil
}

func (r *run) awaitRevision(ctx context.Context, n *node.Node, newest uint64) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	t := time.NewTicker(step)
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

// judgeHistory compares the accepted changes with the revisions that a VM has.
func (r *run) judgeHistory(ctx context.Context, i int, n *node.Node, report *audit.Report) error {
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
			report.Add("one operator wins", "revision %d was accepted from %s and VM %d has that of %s", rev.Number(), names[0],
				i+1, rev.Author())
		}
	}
	return nil
}
