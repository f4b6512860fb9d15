package slope

import (
	"context"
	"slices"
	"time"

	"verbenagate/io/admin"
	"verbenagate/io/node"
	"verbenagate/io/peer"
	"verbenagate/io/revlog"
	"verbenagate/lab/plat"
)

var nodes = Measurement{
	name: "nodes", x: "VMs", help: "whole VMs at rest in nine data centres, with one service", sizes: []int{9, 18, 36, 72},
	tiny: 3, run: restAndPlatform,
}

func meshes(nodes []*node.Node) []*peer.Mesh {
	var list []*peer.Mesh
	for _, n := range nodes {
		list = append(list, n.Mesh())
	}
	return list
}

// connections returns how many connections to others the VMs have, on average and at most.
func connections(meshes []*peer.Mesh) (mean, most float64) {
	for _, m := range meshes {
		n := float64(len(m.Dump().Connections))
		mean, most = mean+n/float64(len(meshes)), max(most, n)
	}
	return mean, most
}

// restTime covers several reads of the platform's list of VMs.
const restTime = 15 * time.Second

func restAndPlatform(ctx context.Context, n int) ([]Value, error) {
	before := memory()
	b, err := start(ctx, plan{vms: spread(n, 9), servers: spread(3, 9), slots: 5})
	if err != nil {
		return nil, err
	}
	defer b.close()
	if err := wait(ctx, span(ctx, settleTime)); err != nil {
		return nil, err
	}
	var begin, end usage
	var from, to []traffic
	links, most := connections(meshes(b.nodes))
	reads, writes := b.platform.Counts()
	bytes := b.toStore.wire()
	roles, err := byRole(func() error {
		from, begin = count(meshes(b.nodes)), used()
		err := wait(ctx, span(ctx, restTime))
		to, end = count(meshes(b.nodes)), used()
		return err
	})
	if err != nil {
		return nil, err
	}
	secs := end.at.Sub(begin.at).Seconds()
	bytes = b.toStore.wire() - bytes
	readsAfter, writesAfter := b.platform.Counts()
	t := perVM(from, to, secs)
	return []Value{
		{"reads of the platform", "1/s", float64(readsAfter-reads) / secs},
		{"writes of the platform", "1/s", float64(writesAfter-writes) / secs},
		{"platform traffic of a VM", "B/s", bytes / secs / float64(n)},
		{"sent to VMs with TLS, TCP, IP", "B/s", t.sent + perMessage*t.messages},
		{"CPU of a VM", "% of a core", 100 * roles[roleVM] / secs / float64(n)},
		{"connections of a VM", "", links},
		{"connections, most of all VMs", "", most},
		{"memory of a VM, lab included", "KB", (memory() - before) / 1e3 / float64(n)},
	}, nil
}

var changes = Measurement{
	name: "changes", x: "VMs", help: "time until a change of configuration is in force on all VMs, in nine data centres",
	sizes: []int{9, 18, 36, 72}, tiny: 3, run: changeConfig,
}

// changesSlow and changesDown time changes under faults of the store, at the size of today's deployments.
var (
	changesSlow = Measurement{
		name: "changes-slow", x: "VMs", help: "the same with 500 ms for each request to the platform",
		sizes: []int{9}, tiny: 3, run: func(ctx context.Context, n int) ([]Value, error) {
			return changeConfigUnder(ctx, n, func(p *plat.Platform) { p.SetDelay(span(ctx, slowStore)) }, false)
		},
	}
	changesDown = Measurement{
		name: "changes-down", x: "VMs", help: "the same, and the platform goes down directly after each acceptance until all VMs have it",
		sizes: []int{9}, tiny: 3, run: func(ctx context.Context, n int) ([]Value, error) {
			return changeConfigUnder(ctx, n, func(*plat.Platform) {}, true)
		},
	}
)

const (
	// changeCount is how many changes are timed, quickChanges how many in a quick run.
	changeCount  = 120
	quickChanges = 3
	// slowStore is the time that each request to a slow platform takes.
	slowStore = 500 * time.Millisecond
)

func changeConfig(ctx context.Context, n int) ([]Value, error) {
	return changeConfigUnder(ctx, n, func(*plat.Platform) {}, false)
}

// changeConfigUnder times changes that are accepted by one VM after the other, from the time at which a change takes effect
// in the store, after fault was applied to the platform. With down, the platform is down from then on until every VM has
// the change.
func changeConfigUnder(ctx context.Context, n int, fault func(*plat.Platform), down bool) ([]Value, error) {
	b, err := start(ctx, plan{vms: spread(n, 9), servers: spread(3, 9), slots: 5})
	if err != nil {
		return nil, err
	}
	defer b.close()
	fault(b.platform)
	changes, total := changeCount, float64(changeCount)
	if ctx.Value(quickKey{}) != nil {
		changes, total = quickChanges, quickChanges
	}
	reads, writes := b.platform.Counts()
	from, bytes := used(), count(meshes(b.nodes))
	var times, whole []float64
	for i := range changes {
		b.spec.Timeout = time.Duration(i+1) * time.Second
		began, accepted := time.Now(), b.platform.NextCommit(revlog.HeadKey, down)
		inForce := make(chan error, 1)
		go func() { inForce <- b.awaitTimeout(ctx) }()
		if err := b.applyThrough(ctx, b.nodes[i%n]); err != nil {
			return nil, err
		}
		if err := <-inForce; err != nil {
			return nil, err
		}
		now := time.Now()
		times = append(times, float64(now.Sub(<-accepted))/1e6)
		whole = append(whole, float64(now.Sub(began))/1e6)
		if down {
			b.platform.SetDown(false)
		}
	}
	to := used()
	readsAfter, writesAfter := b.platform.Counts()
	t := perVM(bytes, count(meshes(b.nodes)), to.at.Sub(from.at).Seconds())
	slices.Sort(times)
	slices.Sort(whole)
	return []Value{
		{"accepted to in force on all, median", "ms", times[len(times)/2]},
		{"accepted to in force on all, longest", "ms", times[len(times)-1]},
		{"sent to in force on all, median", "ms", whole[len(whole)/2]},
		{"sent to in force on all, longest", "ms", whole[len(whole)-1]},
		{"changes", "", total},
		{"platform reads, one change", "", float64(readsAfter-reads) / total},
		{"platform writes, one change", "", float64(writesAfter-writes) / total},
		{"CPU of one change, all VMs", "ms", float64(to.cpu-from.cpu) / 1e6 / total},
		{"sent by a VM, one change", "B", t.sent * to.at.Sub(from.at).Seconds() / total},
	}, nil
}

// applyThrough sends the definition to a VM as an operator would.
func (b *bench) applyThrough(ctx context.Context, n *node.Node) error {
	c, err := admin.Dial(n.OperatorAddr())
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	rev, _, err := c.Apply(ctx, b.spec, b.revision, "lab")
	if err == nil {
		b.revision = rev.Number()
	}
	return err
}

// awaitTimeout waits until the last definition is in force on all VMs.
func (b *bench) awaitTimeout(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range b.nodes {
		for {
			if svc, ok := n.Service(service); ok && svc.Timeout() == b.spec.Timeout {
				break
			}
			if err := wait(ctx, time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}
