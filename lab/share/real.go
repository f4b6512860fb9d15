package share

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"verbenagate/core/svcdef"
	"verbenagate/io/admin"
	"verbenagate/io/logs"
	"verbenagate/lab/exper"
	"verbenagate/lab/fault"
	"verbenagate/lab/load"
	"verbenagate/lab/site"
)

const (
	service = "dues"
	// connectionLimit is the connection limit of the server. Each share has the whole limit, because an owner compares its limit with
	// the connections of all VMs as counted by the server. With a divided limit, a share could not replace a lost connection.
	connectionLimit = 40
	// readyTimeout bounds the definition of the shares and the wait until all VMs serve them.
	readyTimeout = 20 * time.Second
)

// Measure runs a plan on real VMs with one server that has the slots of the case. Each VM is in a separate data centre. The delay
// between data centres is not emulated.
//
// Each share is a separate service definition. It names the server by the address of a separate link and assigns it to the data
// centre of one VM. That VM then owns a pool and a queue with the slots of the share, and the other VMs forward to it. Owner is
// measured as a single share with all slots.
func Measure(ctx context.Context, c Case, strategy Strategy, plan []load.Request, log *logs.Log) (Result, error) {
	spec := site.Spec{
		VMs: c.vms, OpenDelay: 12 * time.Millisecond, ServiceTime: c.serviceTime,
		Services: []site.ServiceSpec{{
			Name: service, Servers: 1, Slots: c.slots, Connections: connectionLimit, Callers: callerCount(plan), Timeout: c.timeout,
		}},
	}
	for i := range c.vms {
		spec.DataCentres = append(spec.DataCentres, dataCentreName(i))
	}
	readsPerSecond, err := exper.Capacity(ctx, spec, spec.Services[0])
	if err != nil {
		return Result{}, err
	}
	s, err := site.New(ctx, spec, log)
	if err != nil {
		return Result{}, err
	}
	defer s.Close()
	target := s.Target(service)
	shares := 1
	if strategy == Fixed {
		shares = c.slots
	}
	links, err := defineShares(ctx, s, c, shares)
	for _, l := range links {
		defer l.Close()
	}
	if err != nil {
		return Result{}, err
	}
	target.DatabaseOf = func(caller int) string { return shareService(c.shareVMOf(caller) % shares) }
	if c.entryVM >= 0 {
		target.VMs = target.VMs[c.entryVM : c.entryVM+1]
	}
	record := load.NewRecord(c.phases)
	load.RunWith(ctx, load.Options{Profile: c.profile, Plan: plan, Target: target, Record: record})
	r := c.result(strategy, record, plan, readsPerSecond)
	r.MaxSlotsInUse = s.Group(service)[0].MaxRunning()
	return r, ctx.Err()
}

func dataCentreName(i int) string { return "dc" + strconv.Itoa(i) }

func shareService(i int) string { return service + strconv.Itoa(i) }

// callerCount returns the number of callers in a plan: the highest caller number plus one.
func callerCount(plan []load.Request) int {
	n := 0
	for _, q := range plan {
		n = max(n, q.Caller()+1)
	}
	return n
}

// defineShares applies a service definition for each share of the server, and waits until all VMs serve it. The caller closes the
// returned links, also after an error.
func defineShares(ctx context.Context, s *site.Site, c Case, shares int) (links []*fault.Link, err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	op, err := admin.Dial(s.Nodes()[0].OperatorAddr())
	if err != nil {
		return nil, err
	}
	defer func() { _ = op.Close() }()
	_, basedOn, err := op.Get(ctx, service)
	if err != nil {
		return nil, err
	}
	for i := range shares {
		l, err := fault.New(s.Group(service)[0].Addr())
		if err != nil {
			return links, err
		}
		links = append(links, l)
		spec := s.Definition(service)
		spec.Name = shareService(i)
		spec.Servers = []svcdef.ServerSpec{{
			Address: l.Addr(), DataCentre: dataCentreName(i), Slots: c.slots / shares, Connections: connectionLimit,
		}}
		rev, _, err := op.Apply(ctx, spec, basedOn, "lab")
		if err != nil {
			return links, fmt.Errorf("apply the definition of share %d: %w", i, err)
		}
		basedOn = rev.Number()
	}
	for _, n := range s.Nodes() {
		for i := range shares {
			for !n.Serves(ctx, shareService(i)) {
				if !load.Pause(ctx, 20*time.Millisecond) {
					return links, fmt.Errorf("wait until VM %s serves share %d: %w", n.CallerAddr(), i, ctx.Err())
				}
			}
		}
	}
	return links, nil
}

// result evaluates the record of a load. ReadsPerSecond is the number of short reads that the slots execute per second without a
// proxy.
func (c Case) result(strategy Strategy, record *load.Record, plan []load.Request, readsPerSecond float64) Result {
	busy := c.phases[1]
	requests, work := c.offered(plan)
	long := record.Histogram(phaseBusy, load.Straggler).TotalCount()
	short := record.Completed(busy.From, busy.To) - int(long)
	slotTimePerRead := time.Duration(float64(c.slots) / readsPerSecond * float64(time.Second)) // with the overhead of the stand-in server
	work += time.Duration(requests) * (slotTimePerRead - c.serviceTime)
	quietReads, busyReads := record.Histogram(phaseQuiet, load.Read), record.Histogram(phaseBusy, load.Read)
	return Result{
		Strategy: strategy, Case: c.name,
		Goodput:  c.goodput(time.Duration(short)*slotTimePerRead+time.Duration(long)*c.profile.StragglerTime, work),
		QuietP99: micros(quietReads.ValueAtQuantile(99)), P50: micros(busyReads.ValueAtQuantile(50)), P99: micros(busyReads.ValueAtQuantile(99)),
		NotInTime: float64(record.Undone(busy.From, busy.To)) / float64(requests),
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
