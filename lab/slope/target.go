package slope

import (
	"context"
	"errors"
	"fmt"
	"time"

	"verbenagate/core/owner"
	"verbenagate/core/port"
	"verbenagate/core/svcdef"
	"verbenagate/io/admin"
	"verbenagate/io/peer"
	"verbenagate/io/platf"
	"verbenagate/lab/server"
)

const (
	// targetServices is the number of definitions, each with callersPerService users.
	targetServices = 820
	// targetGroups is the number of groups that the VM watches; it owns one server of each.
	targetGroups = 3
	// targetDCs is the number of data centres.
	targetDCs = 9
	// targetTime is how long the CPU time is counted and the memory is sampled.
	targetTime = 30 * time.Second
	// targetSettle passes twice before that, so that the runtime returns the memory that the burst of definitions took.
	targetSettle = 45 * time.Second
	// sampleEvery is the time between two samples of the memory.
	sampleEvery = 500 * time.Millisecond
)

// smallGC is the collector's setting that halves the memory above the live heap.
const smallGC = 50

var target = Measurement{
	name: "target", x: "connections", sizes: []int{20, 60, 100}, tiny: 2,
	run: func(ctx context.Context, n int) ([]Value, error) { return atTarget(ctx, n, defaultGC) },
	help: fmt.Sprintf("a VM at rest in a process of its own with %d definitions, %d watched groups and connections to other VMs",
		targetServices, targetGroups),
}

var targetSmall = Measurement{
	name: "target-gc50", x: "connections", sizes: []int{20, 60, 100}, tiny: 2,
	run:  func(ctx context.Context, n int) ([]Value, error) { return atTarget(ctx, n, smallGC) },
	help: fmt.Sprintf("the same with limits.gc_percent at %d", smallGC),
}

// atTarget measures the process of one VM. The other VMs are meshes in this process, and do nothing but hold connections.
func atTarget(ctx context.Context, n, gcPercent int) ([]Value, error) {
	b := &bench{}
	defer b.close()
	if err := b.startLab(plan{slots: 5}); err != nil {
		return nil, err
	}
	specs, closeGroups, err := b.startGroups(services(ctx))
	defer closeGroups()
	if err != nil {
		return nil, err
	}
	var list []port.VM
	var meshes []*peer.Mesh
	defer func() { closeAll(meshes) }()
	for i, dc := range spread(n, targetDCs) {
		m, err := peer.New(peer.Config{
			Listen: "127.0.0.1:0", ID: fmt.Sprintf("other%03d", i), DataCentre: dc, IdleTimeout: time.Hour,
			HandleRequest: func(context.Context, string, peer.Request) (peer.Reply, error) { return peer.Done{}, nil },
		})
		if err != nil {
			return nil, err
		}
		meshes = append(meshes, m)
		list = append(list, port.VM{ID: fmt.Sprintf("other%03d", i), DataCentre: dc, PeerAddr: m.Addr()})
	}
	p, err := b.startProcesses(ctx, 0)
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return nil, err
	}
	id := ownerOf(specs, list)
	if err := p.startVM(b, id, "dc0", p.operators, gcPercent); err != nil {
		return nil, err
	}
	if err := p.meet(ctx, b, id, meshes, list); err != nil {
		return nil, err
	}
	if err := p.define(ctx, specs); err != nil {
		return nil, err
	}
	for range 2 {
		if err := useAll(ctx, id, meshes); err != nil {
			return nil, err
		}
		if err := wait(ctx, span(ctx, targetSettle)); err != nil {
			return nil, err
		}
	}
	if err := useAll(ctx, id, meshes); err != nil {
		return nil, err
	}
	return p.sample(ctx, id, meshes)
}

// useAll uses a connection between the VM and each other one, because a VM closes those without use after a minute.
func useAll(ctx context.Context, id string, meshes []*peer.Mesh) error {
	for _, m := range meshes {
		if _, err := m.Call(ctx, id, peer.PrimaryNews{Service: "none", Term: 1, Address: "127.0.0.1:1"}); err != nil {
			return err
		}
	}
	return nil
}

// services returns the number of definitions.
func services(ctx context.Context) int {
	if ctx.Value(quickKey{}) != nil {
		return targetGroups + 2
	}
	return targetServices
}

// startGroups starts the groups that the VM watches and returns all definitions, those of these groups first.
func (b *bench) startGroups(n int) (specs []svcdef.Spec, stop func(), err error) {
	var servers []*server.Server
	var relays []*relay
	stop = func() {
		for _, r := range relays {
			r.close()
		}
		for _, s := range servers {
			s.Close()
		}
	}
	for i := range n {
		spec := definition(i, callersPerService, b.spec.Callers[0].Verifier)
		for k := range spec.Servers {
			spec.Servers[k].DataCentre = fmt.Sprintf("dc%d", 1+(i+k)%(targetDCs-1))
		}
		if i < targetGroups {
			s, r, err := startServers(len(spec.Servers), 5)
			servers, relays = append(servers, s...), append(relays, r...)
			if err != nil {
				return nil, stop, err
			}
			spec.Servers[0].DataCentre = "dc0"
			for k := range spec.Servers {
				spec.Servers[k].Address = r[k].addr()
			}
		}
		specs = append(specs, spec)
	}
	return specs, stop, nil
}

// ownerOf returns an id under which the VM owns the first server of each watched group.
func ownerOf(specs []svcdef.Spec, others []port.VM) string {
	var local []string
	for _, vm := range others {
		if vm.DataCentre == "dc0" {
			local = append(local, vm.ID)
		}
	}
	for i := 0; ; i++ {
		id, owned := fmt.Sprintf("target%d", i), 0
		for _, spec := range specs[:targetGroups] {
			if first, _ := owner.First(spec.Servers[0].Address, append(local[:len(local):len(local)], id)); first == id {
				owned++
			}
		}
		if owned == targetGroups {
			return id
		}
	}
}

// meet waits until the VM counts all others as live.
func (p *procs) meet(ctx context.Context, b *bench, id string, meshes []*peer.Mesh, list []port.VM) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	platform := platf.New("http://"+b.toStore.addr(), time.Second)
	defer platform.Close()
	c, err := admin.Dial(p.operators)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	for seeded := false; ; {
		vms, err := platform.VMs(ctx)
		if err == nil && len(vms) == 1 && !seeded {
			for _, m := range meshes {
				m.Seed(append(vms, list...))
			}
			seeded = true
		}
		known, callErr := c.VMs(ctx)
		if callErr == nil && len(known) == len(meshes)+1 {
			return nil
		}
		if waitErr := wait(ctx, 50*time.Millisecond); waitErr != nil {
			return errors.Join(err, callErr, fmt.Errorf("VM %s knows %d of %d VMs: %w", id, len(known), len(meshes)+1, waitErr))
		}
	}
}

// define puts the definitions in force, and changes as many again as the VM keeps revisions.
func (p *procs) define(ctx context.Context, specs []svcdef.Spec) error {
	c, err := admin.Dial(p.operators)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	var revision uint64
	for i := range len(specs) + min(len(specs), svcdef.HistoryLimit) {
		spec := specs[i%len(specs)]
		if i >= len(specs) {
			spec.Timeout += time.Duration(i) * time.Millisecond
		}
		rev, _, err := c.Apply(ctx, spec, revision, "lab")
		if err != nil {
			return fmt.Errorf("definition %d: %w", i, err)
		}
		revision = rev.Number()
	}
	return nil
}

// sample counts the CPU time of the VM and samples its memory.
func (p *procs) sample(ctx context.Context, id string, meshes []*peer.Mesh) ([]Value, error) {
	before, err := p.cpu()
	if err != nil {
		return nil, err
	}
	from, samples := time.Now(), 0.0
	var mean, most float64
	for end := from.Add(span(ctx, targetTime)); time.Now().Before(end); {
		if err := wait(ctx, span(ctx, sampleEvery)); err != nil {
			return nil, err
		}
		anon := p.status(0, "RssAnon")
		mean, most, samples = mean+anon, max(most, anon), samples+1
	}
	after, err := p.cpu()
	if err != nil {
		return nil, err
	}
	connected := 0
	for _, m := range meshes {
		for _, vm := range m.ConnectedVMs() {
			if vm == id {
				connected++
			}
		}
	}
	return []Value{
		{"CPU of the VM", "% of a core", 100 * (after[0] - before[0]).Seconds() / time.Since(from).Seconds()},
		{"resident without files", "KB", mean / samples},
		{"the same, most", "KB", most},
		{"resident", "KB", p.status(0, "VmRSS")},
		{"connections of the VM to others", "", float64(connected)},
	}, nil
}
