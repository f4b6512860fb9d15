package roam

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"verbenagate/io/logs"
	"verbenagate/io/node"
	"verbenagate/lab/fault"
	"verbenagate/lab/load"
	"verbenagate/lab/site"
)

const service = "dues"

// Connects is what real VMs show of sessions that open, with a delay between the VMs and the servers. The delay between
// VMs is not emulated.
type Connects struct {
	// Watcher and Other are the times of a barrier on a VM that watches the group and on one that asks a watcher.
	Watcher, Other []time.Duration
	// First and Second are the times of the first and the second read of a connection.
	First, Second []time.Duration
	// Shared are the reconnects for each barrier request between VMs, at the rates given.
	Shared []Sharing
}

// Sharing is how many reconnects of a service on one VM share a barrier request.
type Sharing struct {
	Rate               int
	Reconnects, Rounds float64
	Took               time.Duration
}

// connects measures one deployment.
type connects struct {
	site   *site.Site
	result Connects
}

// MeasureConnects opens n connections one after the other, and then some at each rate for the time given.
func MeasureConnects(ctx context.Context, hop time.Duration, n int, rates []int, lasts time.Duration, log *logs.Log) (Connects, error) {
	s, err := site.New(ctx, site.Spec{
		DataCentres: []string{"north", "south", "east", "west"}, VMs: 9, OpenDelay: 12 * time.Millisecond,
		ServiceTime: time.Millisecond, Lag: 200 * time.Millisecond, NetDelay: hop, Links: true,
		Services: []site.ServiceSpec{{Name: service, Servers: 3, Slots: 5, Connections: 35, Callers: 1, Timeout: 30 * time.Second}},
	}, log)
	if err != nil {
		return Connects{}, err
	}
	defer s.Close()
	for _, l := range s.Links(service) {
		l.SetDelay(fault.ToServer, hop)
		l.SetDelay(fault.ToClient, hop)
	}
	c := &connects{site: s}
	other := -1
	for i, vm := range s.Nodes() {
		before := calls(vm)
		took, err := barriers(ctx, vm, n/len(s.Nodes())+1)
		if err != nil {
			return c.result, err
		}
		if calls(vm) > before {
			c.result.Other = append(c.result.Other, took...)
			other = i
		} else {
			c.result.Watcher = append(c.result.Watcher, took...)
		}
	}
	if err := c.reads(ctx, n); err != nil {
		return c.result, err
	}
	for _, rate := range rates {
		if err := c.share(ctx, other, rate, lasts); err != nil {
			return c.result, err
		}
	}
	return c.result, ctx.Err()
}

// calls returns how many requests a VM has sent to others.
func calls(vm *node.Node) float64 {
	for _, k := range vm.Mesh().Stats().Kinds() {
		if k.Name() == "Call" {
			return float64(k.Sent())
		}
	}
	return 0
}

// idle is the pause between two barriers. Without it each one waits for a poll that the one before it has begun, which
// doubled its time.
const idle = 20 * time.Millisecond

func barriers(ctx context.Context, vm *node.Node, n int) ([]time.Duration, error) {
	var took []time.Duration
	for load.Pause(ctx, idle) && len(took) < n {
		began := time.Now()
		if !vm.Serves(ctx, service) {
			return nil, fmt.Errorf("VM on %s got no barrier", vm.CallerAddr())
		}
		took = append(took, time.Since(began))
	}
	return took, ctx.Err()
}

func (c *connects) connect(ctx context.Context, vm int) (*pgconn.PgConn, error) {
	t := c.site.Target(service)
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", t.User(0), t.Password, t.VMs[vm], t.Database))
}

func read(ctx context.Context, conn *pgconn.PgConn) (time.Duration, error) {
	began := time.Now()
	err := conn.ExecParams(ctx, load.ReadSQL, [][]byte{[]byte(strconv.Itoa(0))}, nil, nil, nil).Read().Err
	return time.Since(began), err
}

// reads connects to the VMs in turn and reads twice.
func (c *connects) reads(ctx context.Context, n int) error {
	for i := 0; i < n && load.Pause(ctx, idle); i++ {
		conn, err := c.connect(ctx, i%len(c.site.Nodes()))
		if err != nil {
			return err
		}
		first, err1 := read(ctx, conn)
		second, err2 := read(ctx, conn)
		_ = conn.Close(ctx)
		if err := errors.Join(err1, err2); err != nil {
			return fmt.Errorf("read after connecting: %w", err)
		}
		c.result.First, c.result.Second = append(c.result.First, first), append(c.result.Second, second)
	}
	return ctx.Err()
}

// share connects to one VM at a rate. Reconnects that the machine cannot keep up with are left out of the count.
func (c *connects) share(ctx context.Context, vm, rate int, lasts time.Duration) error {
	if vm < 0 {
		return fmt.Errorf("every VM watches service %q", service)
	}
	const workers = 64
	due := make(chan struct{})
	errs := make(chan error, workers)
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range due {
				conn, err := c.connect(ctx, vm)
				if err == nil {
					_, err = read(ctx, conn)
					_ = conn.Close(ctx)
				}
				if err != nil {
					errs <- err
					return
				}
			}
		}()
	}
	before, begin, n := calls(c.site.Nodes()[vm]), time.Now(), 0
	var failure error
	for failure == nil && time.Since(begin) < lasts && load.Pause(ctx, time.Until(begin.Add(time.Second*time.Duration(n)/time.Duration(rate)))) {
		select {
		case due <- struct{}{}:
			n++
		case failure = <-errs:
		}
	}
	close(due)
	wg.Wait()
	c.result.Shared = append(c.result.Shared, Sharing{rate, float64(n), calls(c.site.Nodes()[vm]) - before, time.Since(begin)})
	return failure
}

// Quantile returns a quantile of times.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[int(q*float64(len(sorted)-1))]
}
