package slope

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"verbenagate/io/node"
)

// statementCallers is the number of callers that send statements concurrently, and the slots of each server.
const statementCallers = 16

var statements = Measurement{
	name: "statements", x: "reads", help: "reads through a VM that forwards them to the VM that owns the servers",
	sizes: []int{5000, 10000, 20000, 40000}, tiny: 50,
	run: func(ctx context.Context, n int) ([]Value, error) {
		return measureForwarding(ctx, n, func(int) string { return "SELECT n FROM tick WHERE id = 1" })
	},
}

var writes = Measurement{
	name: "writes", x: "writes", help: "writes, acknowledged by a majority, through a VM that forwards them to the VM that owns the servers",
	sizes: []int{1000, 2000, 4000, 8000}, tiny: 20,
	run: func(ctx context.Context, n int) ([]Value, error) {
		return measureForwarding(ctx, n, func(i int) string { return fmt.Sprintf("UPDATE tick SET n = %d WHERE id = 1", i) })
	},
}

// latencyCount is the most statements that a single caller sends to measure its latency.
const latencyCount = 3000

// measureForwarding runs n statements in a deployment in which one VM has the callers and another one owns all servers, and
// compares the cost with that of a deployment in which a single VM does both.
func measureForwarding(ctx context.Context, n int, sql func(int) string) ([]Value, error) {
	two := plan{
		vms: []string{"front", "back"}, roles: []string{roleCaller, roleOwner}, servers: []string{"back", "back", "back"},
		slots: statementCallers,
	}
	forwarded, err := runStatements(ctx, two, n, sql)
	if err != nil {
		return nil, err
	}
	one := plan{vms: []string{"back"}, roles: []string{roleOwner}, servers: two.servers, slots: statementCallers}
	direct, err := runStatements(ctx, one, n, sql)
	if err != nil {
		return nil, err
	}
	return []Value{
		{"CPU, callers' VM", "ms", forwarded.roles[roleCaller] * 1e3},
		{"CPU, owner VM", "ms", forwarded.roles[roleOwner] * 1e3},
		{"CPU, one VM as both", "ms", direct.roles[roleOwner] * 1e3},
		{"CPU, callers and servers", "ms", forwarded.roles[roleLab] * 1e3},
		{"CPU, process by getrusage", "ms", forwarded.cpu * 1e3},
		{"allocations added by forwarding", "", forwarded.mallocs - direct.mallocs},
		{"bytes allocated by forwarding", "KB", (forwarded.bytes - direct.bytes) / 1e3},
		{"bytes between the VMs", "KB", forwarded.peer / 1e3},
		{"bytes to and from the servers", "KB", forwarded.server / 1e3},
	}, nil
}

// statementCost is the total cost of a number of statements: CPU seconds by role and of the process, allocations, and bytes
// allocated, sent between the VMs, and sent to and from the servers.
type statementCost struct {
	roles                             map[string]float64
	cpu, mallocs, bytes, peer, server float64
	p50, p99                          float64 // latency of a single caller, in milliseconds
}

func runStatements(ctx context.Context, p plan, n int, sql func(int) string) (statementCost, error) {
	d, err := startDeployment(ctx, p)
	if err != nil {
		return statementCost{}, err
	}
	defer d.close()
	l, err := newLogin()
	if err != nil {
		return statementCost{}, err
	}
	var s statementCost
	withRole(ctx, roleLab, func() {
		var open []*client
		defer func() {
			for _, c := range open {
				c.close()
			}
		}()
		for range statementCallers {
			var c *client
			if c, err = l.open(ctx, d.nodes[0].CallerAddr(), p.encrypted); err != nil {
				return
			}
			open = append(open, c)
		}
		if err = queryAll(open, 10*statementCallers, sql); err != nil {
			return
		}
		from, peer, server := currentUsage(), peerBytes(d.nodes), d.serverBytes()
		s.roles, err = cpuByRole(func() error { return queryAll(open, n, sql) })
		to := currentUsage()
		s.cpu = (to.cpu - from.cpu).Seconds()
		s.mallocs, s.bytes = float64(to.mallocs-from.mallocs), float64(to.bytes-from.bytes)
		s.peer, s.server = peerBytes(d.nodes)-peer, d.serverBytes()-server
		if err == nil {
			s.p50, s.p99, err = latencyQuantiles(open[0], min(n, latencyCount), sql)
		}
	})
	return s, err
}

// queryAll runs n statements in total, divided among the connections.
func queryAll(open []*client, n int, sql func(int) string) error {
	var next atomic.Int64
	errs := make([]error, len(open))
	var wg sync.WaitGroup
	for k, c := range open {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := int(next.Add(1)); i <= n && errs[k] == nil; i = int(next.Add(1)) {
				errs[k] = c.query(sql(i))
			}
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// peerBytes returns the bytes that the VMs have sent each other.
func peerBytes(nodes []*node.Node) float64 {
	var n int64
	for _, node := range nodes {
		for _, k := range node.Mesh().Stats().Kinds() {
			n += k.SentBytes()
		}
	}
	return float64(n)
}
