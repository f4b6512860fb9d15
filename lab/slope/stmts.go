package slope

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"verbenagate/io/node"
)

// sessions is the number of callers that send the statements.
const sessions = 16

var statements = Measurement{
	name: "statements", x: "reads", help: "reads through a VM that forwards them to the owner of the servers",
	sizes: []int{5000, 10000, 20000, 40000}, tiny: 50,
	run: func(ctx context.Context, n int) ([]Value, error) {
		return forward(ctx, n, func(int) string { return "SELECT n FROM tick WHERE id = 1" })
	},
}

var writes = Measurement{
	name: "writes", x: "writes", help: "writes, acknowledged by a majority, through a VM that forwards them to the owner",
	sizes: []int{1000, 2000, 4000, 8000}, tiny: 20,
	run: func(ctx context.Context, n int) ([]Value, error) {
		return forward(ctx, n, func(i int) string { return fmt.Sprintf("UPDATE tick SET n = %d WHERE id = 1", i) })
	},
}

// aloneCount is how many statements a single caller sends for its latency.
const aloneCount = 3000

// forward runs statements in a deployment in which one VM has the callers, another one owns all servers, and compares
// with a deployment in which one VM does both.
func forward(ctx context.Context, n int, sql func(int) string) ([]Value, error) {
	two := plan{
		vms: []string{"front", "back"}, roles: []string{roleCaller, roleOwner}, servers: []string{"back", "back", "back"},
		slots: sessions,
	}
	far, err := runStatements(ctx, two, n, sql)
	if err != nil {
		return nil, err
	}
	one := plan{vms: []string{"back"}, roles: []string{roleOwner}, servers: two.servers, slots: sessions}
	near, err := runStatements(ctx, one, n, sql)
	if err != nil {
		return nil, err
	}
	return []Value{
		{"CPU, callers' VM", "ms", far.roles[roleCaller] * 1e3},
		{"CPU, owner VM", "ms", far.roles[roleOwner] * 1e3},
		{"CPU, one VM as both", "ms", near.roles[roleOwner] * 1e3},
		{"CPU, callers and servers", "ms", far.roles[roleLab] * 1e3},
		{"CPU, process by getrusage", "ms", far.cpu * 1e3},
		{"allocations added by forwarding", "", far.mallocs - near.mallocs},
		{"bytes allocated by forwarding", "KB", (far.bytes - near.bytes) / 1e3},
		{"bytes between the VMs", "KB", far.peer / 1e3},
		{"bytes to and from the servers", "KB", far.server / 1e3},
	}, nil
}

// spent is what a number of statements cost.
type spent struct {
	roles                             map[string]float64
	cpu, mallocs, bytes, peer, server float64
	p50, p99                          float64 // of one caller alone, in milliseconds
}

func runStatements(ctx context.Context, p plan, n int, sql func(int) string) (spent, error) {
	b, err := start(ctx, p)
	if err != nil {
		return spent{}, err
	}
	defer b.close()
	l, err := newLogin()
	if err != nil {
		return spent{}, err
	}
	var s spent
	as(ctx, roleLab, func() {
		var open []*client
		defer func() {
			for _, c := range open {
				c.close()
			}
		}()
		for range sessions {
			var c *client
			if c, err = l.open(ctx, b.nodes[0].CallerAddr(), p.encrypted); err != nil {
				return
			}
			open = append(open, c)
		}
		if err = queryAll(open, 10*sessions, sql); err != nil {
			return
		}
		from, peer, server := used(), peerBytes(b.nodes), b.serverBytes()
		s.roles, err = byRole(func() error { return queryAll(open, n, sql) })
		to := used()
		s.cpu = (to.cpu - from.cpu).Seconds()
		s.mallocs, s.bytes = float64(to.mallocs-from.mallocs), float64(to.bytes-from.bytes)
		s.peer, s.server = peerBytes(b.nodes)-peer, b.serverBytes()-server
		if err == nil {
			s.p50, s.p99, err = latency(open[0], min(n, aloneCount), sql)
		}
	})
	return s, err
}

// queryAll runs n statements on all connections.
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
