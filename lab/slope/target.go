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
	// targetGroups is the number of groups that the VM watches. The VM owns one server of each.
	targetGroups = 3
	// targetDCs is the number of data centres.
	targetDCs = 9
	// targetDuration is the period over which the CPU time is measured and the memory is sampled.
	targetDuration = 30 * time.Second
	// targetSettleDuration passes twice before that, so that the Go runtime returns the memory used by applying all
	// definitions to the system.
	targetSettleDuration = 45 * time.Second
	// sampleInterval is the time between two memory samples.
	sampleInterval = 500 * time.Millisecond
)

// smallGCPercent is a value of limits.gc_percent that halves the memory above the live heap, compared with the default.
const smallGCPercent = 50

var target = Measurement{
	name: "target", x: "connections", sizes: []int{20, 60, 100}, tiny: 2,
	run: func(ctx context.Context, n int) ([]Value, error) { return measureTarget(ctx, n, defaultGCPercent) },
	help: fmt.Sprintf("an idle VM in its own process with %d definitions, %d watched groups and connections to other VMs",
		targetServices, targetGroups),
}

var targetSmall = Measurement{
	name: "target-gc50", x: "connections", sizes: []int{20, 60, 100}, tiny: 2,
	run:  func(ctx context.Context, n int) ([]Value, error) { return measureTarget(ctx, n, smallGCPercent) },
	help: fmt.Sprintf("as target, with limits.gc_percent at %d", smallGCPercent),
}

// measureTarget measures a VM that runs in its own process with n connections to other VMs. The other VMs are meshes in
// this process that only hold connections.
func measureTarget(ctx context.Context, n, gcPercent int) ([]Value, error) {
	d := &deployment{}
	defer d.close()
	if err := d.startLab(plan{slots: 5}); err != nil {
		return nil, err
	}
	specs, closeGroups, err := d.startGroups(definitionCount(ctx))
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
	p, err := d.startProcesses(ctx, 0)
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return nil, err
	}
	id := chooseOwnerID(specs, list)
	if err := p.startVM(d, id, "dc0", p.operators, gcPercent); err != nil {
		return nil, err
	}
	if err := p.awaitOthersLive(ctx, d, id, meshes, list); err != nil {
		return nil, err
	}
	if err := p.applyDefinitions(ctx, specs); err != nil {
		return nil, err
	}
	for range 2 {
		if err := callVMFromAll(ctx, id, meshes); err != nil {
			return nil, err
		}
		if err := sleep(ctx, scaledDuration(ctx, targetSettleDuration)); err != nil {
			return nil, err
		}
	}
	if err := callVMFromAll(ctx, id, meshes); err != nil {
		return nil, err
	}
	return p.sample(ctx, id, meshes)
}

// callVMFromAll sends a request to the VM from each mesh, because a VM closes connections that are idle for a minute.
func callVMFromAll(ctx context.Context, id string, meshes []*peer.Mesh) error {
	for _, m := range meshes {
		if _, err := m.Call(ctx, id, peer.PrimaryNews{Service: "none", Term: 1, Address: "127.0.0.1:1"}); err != nil {
			return err
		}
	}
	return nil
}

// definitionCount returns the number of definitions: targetServices, or a few in a quick run.
func definitionCount(ctx context.Context) int {
	if ctx.Value(quickKey{}) != nil {
		return targetGroups + 2
	}
	return targetServices
}

// startGroups starts the groups that the VM watches. It returns n definitions, those of the started groups first, and
// a function that stops the groups, which must be called even with an error.
func (d *deployment) startGroups(n int) (specs []svcdef.Spec, stop func(), err error) {
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
		spec := definition(i, callersPerService, d.spec.Callers[0].Verifier)
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

// chooseOwnerID returns a VM id that is the first choice as owner of the first server of each watched group.
func chooseOwnerID(specs []svcdef.Spec, others []port.VM) string {
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

// awaitOthersLive seeds the meshes with the VM and waits until the VM lists all of them.
func (p *vmProcesses) awaitOthersLive(ctx context.Context, d *deployment, id string, meshes []*peer.Mesh, list []port.VM) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	platform := platf.New("http://"+d.platformRelay.addr(), time.Second)
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
		if waitErr := sleep(ctx, 50*time.Millisecond); waitErr != nil {
			return errors.Join(err, callErr, fmt.Errorf("VM %s lists %d of %d VMs: %w", id, len(known), len(meshes)+1, waitErr))
		}
	}
}

// applyDefinitions applies all definitions, and then a change to each of the first svcdef.HistoryLimit ones, so that the
// VM has old revisions to keep.
func (p *vmProcesses) applyDefinitions(ctx context.Context, specs []svcdef.Spec) error {
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
			return fmt.Errorf("apply definition %d: %w", i, err)
		}
		revision = rev.Number()
	}
	return nil
}

// sample measures the CPU time of the VM and samples its memory for targetDuration.
func (p *vmProcesses) sample(ctx context.Context, id string, meshes []*peer.Mesh) ([]Value, error) {
	before, err := p.cpuTimes()
	if err != nil {
		return nil, err
	}
	from, samples := time.Now(), 0.0
	var mean, most float64
	for end := from.Add(scaledDuration(ctx, targetDuration)); time.Now().Before(end); {
		if err := sleep(ctx, scaledDuration(ctx, sampleInterval)); err != nil {
			return nil, err
		}
		anon := p.statusField(0, "RssAnon")
		mean, most, samples = mean+anon, max(most, anon), samples+1
	}
	after, err := p.cpuTimes()
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
		{"resident", "KB", p.statusField(0, "VmRSS")},
		{"connections of the VM to others", "", float64(connected)},
	}, nil
}
