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
	name: "nodes", x: "VMs", help: "complete idle VMs in nine data centres, with one service", sizes: []int{9, 18, 36, 72},
	tiny: 3, run: measureIdleVMs,
}

func meshesOf(nodes []*node.Node) []*peer.Mesh {
	var list []*peer.Mesh
	for _, n := range nodes {
		list = append(list, n.Mesh())
	}
	return list
}

// connectionCounts returns the mean and the greatest number of connections that a VM has to others.
func connectionCounts(meshes []*peer.Mesh) (mean, most float64) {
	for _, m := range meshes {
		n := float64(len(m.Dump().Connections))
		mean, most = mean+n/float64(len(meshes)), max(most, n)
	}
	return mean, most
}

// idleVMsDuration is how long idle VMs are measured, long enough for several reads of the platform's list of VMs.
const idleVMsDuration = 15 * time.Second

func measureIdleVMs(ctx context.Context, n int) ([]Value, error) {
	before := memoryInUse()
	d, err := startDeployment(ctx, plan{vms: spread(n, 9), servers: spread(3, 9), slots: 5})
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := sleep(ctx, scaledDuration(ctx, settleDuration)); err != nil {
		return nil, err
	}
	var begin, end usage
	var from, to []traffic
	links, most := connectionCounts(meshesOf(d.nodes))
	reads, writes := d.platform.Counts()
	bytes := d.platformRelay.wireBytes()
	roles, err := cpuByRole(func() error {
		from, begin = countTraffic(meshesOf(d.nodes)), currentUsage()
		err := sleep(ctx, scaledDuration(ctx, idleVMsDuration))
		to, end = countTraffic(meshesOf(d.nodes)), currentUsage()
		return err
	})
	if err != nil {
		return nil, err
	}
	secs := end.at.Sub(begin.at).Seconds()
	bytes = d.platformRelay.wireBytes() - bytes
	readsAfter, writesAfter := d.platform.Counts()
	t := perVM(from, to, secs)
	return []Value{
		{"reads of the platform", "1/s", float64(readsAfter-reads) / secs},
		{"writes of the platform", "1/s", float64(writesAfter-writes) / secs},
		{"platform traffic of a VM", "B/s", bytes / secs / float64(n)},
		{"sent to VMs with TLS, TCP, IP", "B/s", t.sent + overheadPerMessage*t.messages},
		{"CPU of a VM", "% of a core", 100 * roles[roleVM] / secs / float64(n)},
		{"connections of a VM", "", links},
		{"connections, most of all VMs", "", most},
		{"memory of a VM, lab included", "KB", (memoryInUse() - before) / 1e3 / float64(n)},
	}, nil
}

var changes = Measurement{
	name: "changes", x: "VMs", help: "time until a change of configuration is in force on all VMs, in nine data centres",
	sizes: []int{9, 18, 36, 72}, tiny: 3, run: measureChanges,
}

// changesSlow and changesDown measure changes while the platform is slow or down, at the size of today's deployments.
var (
	changesSlow = Measurement{
		name: "changes-slow", x: "VMs", help: "as changes, with 500 ms for each request to the platform",
		sizes: []int{9}, tiny: 3, run: func(ctx context.Context, n int) ([]Value, error) {
			return measureChangesUnder(ctx, n, func(p *plat.Platform) { p.SetDelay(scaledDuration(ctx, slowPlatformDelay)) }, false)
		},
	}
	changesDown = Measurement{
		name: "changes-down", x: "VMs", help: "as changes, with the platform down from the commit of each change until all VMs have it",
		sizes: []int{9}, tiny: 3, run: func(ctx context.Context, n int) ([]Value, error) {
			return measureChangesUnder(ctx, n, func(*plat.Platform) {}, true)
		},
	}
)

const (
	// changeCount is the number of changes that are timed, quickChangeCount the number in a quick run.
	changeCount      = 120
	quickChangeCount = 3
	// slowPlatformDelay is how long each request to a slow platform takes.
	slowPlatformDelay = 500 * time.Millisecond
)

func measureChanges(ctx context.Context, n int) ([]Value, error) {
	return measureChangesUnder(ctx, n, func(*plat.Platform) {}, false)
}

// measureChangesUnder applies fault to the platform, and then measures changes that the VMs accept in turn. A change is timed
// both from when it is sent and from its commit on the platform. If down is true, the platform goes down at the commit,
// until every VM has the change.
func measureChangesUnder(ctx context.Context, n int, fault func(*plat.Platform), down bool) ([]Value, error) {
	d, err := startDeployment(ctx, plan{vms: spread(n, 9), servers: spread(3, 9), slots: 5})
	if err != nil {
		return nil, err
	}
	defer d.close()
	fault(d.platform)
	changes, total := changeCount, float64(changeCount)
	if ctx.Value(quickKey{}) != nil {
		changes, total = quickChangeCount, quickChangeCount
	}
	reads, writes := d.platform.Counts()
	from, bytes := currentUsage(), countTraffic(meshesOf(d.nodes))
	var sinceAccepted, sinceSent []float64
	for i := range changes {
		d.spec.Timeout = time.Duration(i+1) * time.Second
		began, accepted := time.Now(), d.platform.NextCommit(revlog.HeadKey, down)
		inForce := make(chan error, 1)
		go func() { inForce <- d.awaitDefinition(ctx) }()
		if err := d.applyThrough(ctx, d.nodes[i%n]); err != nil {
			return nil, err
		}
		if err := <-inForce; err != nil {
			return nil, err
		}
		now := time.Now()
		sinceAccepted = append(sinceAccepted, float64(now.Sub(<-accepted))/1e6)
		sinceSent = append(sinceSent, float64(now.Sub(began))/1e6)
		if down {
			d.platform.SetDown(false)
		}
	}
	to := currentUsage()
	readsAfter, writesAfter := d.platform.Counts()
	t := perVM(bytes, countTraffic(meshesOf(d.nodes)), to.at.Sub(from.at).Seconds())
	slices.Sort(sinceAccepted)
	slices.Sort(sinceSent)
	return []Value{
		{"accepted to in force on all, median", "ms", sinceAccepted[len(sinceAccepted)/2]},
		{"accepted to in force on all, longest", "ms", sinceAccepted[len(sinceAccepted)-1]},
		{"sent to in force on all, median", "ms", sinceSent[len(sinceSent)/2]},
		{"sent to in force on all, longest", "ms", sinceSent[len(sinceSent)-1]},
		{"changes", "", total},
		{"platform reads, one change", "", float64(readsAfter-reads) / total},
		{"platform writes, one change", "", float64(writesAfter-writes) / total},
		{"CPU of one change, all VMs", "ms", float64(to.cpu-from.cpu) / 1e6 / total},
		{"sent by a VM, one change", "B", t.sent * to.at.Sub(from.at).Seconds() / total},
	}, nil
}

// applyThrough sends the service definition to a VM, as an operator would.
func (d *deployment) applyThrough(ctx context.Context, n *node.Node) error {
	c, err := admin.Dial(n.OperatorAddr())
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	rev, _, err := c.Apply(ctx, d.spec, d.revision, "lab")
	if err == nil {
		d.revision = rev.Number()
	}
	return err
}

// awaitDefinition waits until the last change, which it recognises by its timeout, is in force on all VMs.
func (d *deployment) awaitDefinition(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range d.nodes {
		for {
			if svc, ok := n.Service(service); ok && svc.Timeout() == d.spec.Timeout {
				break
			}
			if err := sleep(ctx, time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}
