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
	// connections is the limit of the server. Each share has it as well, because an owner compares it with the server's count
	// of the connections of all VMs: shares that divided it among them could not replace a lost connection.
	connections = 40
	// readyTimeout bounds the wait for the definitions of fixed shares.
	readyTimeout = 20 * time.Second
)

// Measure runs a plan through real VMs with a server of the case's slots. Each VM is in a data centre of its own; the
// delay between them is not emulated.
//
// A share is a definition of its own, which names the server by the address of a link of its own and gives it to the data
// centre of one VM. That VM then owns a pool and a queue with the slots of the share; the other VMs forward to it. One
// owner is a single share of all slots.
func Measure(ctx context.Context, c Case, way Way, plan []load.Request, log *logs.Log) (Result, error) {
	spec := site.Spec{
		VMs: c.vms, OpenDelay: 12 * time.Millisecond, ServiceTime: c.service,
		Services: []site.ServiceSpec{{
			Name: service, Servers: 1, Slots: c.slots, Connections: connections, Callers: users(plan), Timeout: c.timeout,
		}},
	}
	for i := range c.vms {
		spec.DataCentres = append(spec.DataCentres, centre(i))
	}
	rate, err := exper.Capacity(ctx, spec, spec.Services[0])
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
	if way == Fixed {
		shares = c.slots
	}
	links, err := divide(ctx, s, c, shares)
	for _, l := range links {
		defer l.Close()
	}
	if err != nil {
		return Result{}, err
	}
	target.DatabaseOf = func(caller int) string { return part(c.shareOf(caller) % shares) }
	if c.entry >= 0 {
		target.VMs = target.VMs[c.entry : c.entry+1]
	}
	record := load.NewRecord(c.phases)
	load.RunWith(ctx, load.Options{Profile: c.profile, Plan: plan, Target: target, Record: record})
	r := c.result(way, record, plan, rate)
	r.MostInUse = s.Group(service)[0].MaxRunning()
	return r, ctx.Err()
}

func centre(i int) string { return "dc" + strconv.Itoa(i) }

func part(i int) string { return service + strconv.Itoa(i) }

// users returns the number of callers of a plan.
func users(plan []load.Request) int {
	n := 0
	for _, q := range plan {
		n = max(n, q.Caller()+1)
	}
	return n
}

// divide defines a service for each share of the server.
func divide(ctx context.Context, s *site.Site, c Case, shares int) (links []*fault.Link, err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	op, err := admin.Dial(s.Nodes()[0].OperatorAddr())
	if err != nil {
		return nil, err
	}
	defer func() { _ = op.Close() }()
	_, based, err := op.Get(ctx, service)
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
		spec.Name = part(i)
		spec.Servers = []svcdef.ServerSpec{{
			Address: l.Addr(), DataCentre: centre(i), Slots: c.slots / shares, Connections: connections,
		}}
		rev, _, err := op.Apply(ctx, spec, based, "lab")
		if err != nil {
			return links, fmt.Errorf("apply share %d: %w", i, err)
		}
		based = rev.Number()
	}
	for _, n := range s.Nodes() {
		for i := range shares {
			for !n.Serves(ctx, part(i)) {
				if !load.Pause(ctx, 20*time.Millisecond) {
					return links, fmt.Errorf("VM on %s does not serve share %d: %w", n.CallerAddr(), i, ctx.Err())
				}
			}
		}
	}
	return links, nil
}

// result evaluates a record. Rate is the number of short reads that the slots executed in a second without a proxy.
func (c Case) result(way Way, record *load.Record, plan []load.Request, rate float64) Result {
	busy := c.phases[1]
	requests, work := c.offered(plan)
	long := record.Histogram(phaseBusy, load.Straggler).TotalCount()
	short := record.Completed(busy.From, busy.To) - int(long)
	served := time.Duration(float64(c.slots) / rate * float64(time.Second)) // of one read, with what the stand-in adds
	work += time.Duration(requests) * (served - c.service)
	quiet, h := record.Histogram(phaseQuiet, load.Read), record.Histogram(phaseBusy, load.Read)
	return Result{
		Way: way, Case: c.name,
		Goodput:  c.goodput(time.Duration(short)*served+time.Duration(long)*c.profile.StragglerTime, work),
		QuietP99: micros(quiet.ValueAtQuantile(99)), P50: micros(h.ValueAtQuantile(50)), P99: micros(h.ValueAtQuantile(99)),
		Refused: float64(record.Undone(busy.From, busy.To)) / float64(requests),
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
