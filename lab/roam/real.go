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

// ConnectTimes holds measurements of opening sessions on real VMs, with a delay between the VMs and the servers. The delay between
// VMs is not emulated.
type ConnectTimes struct {
	// BarrierOnWatcher are the durations of barriers on VMs that watch the group, BarrierElsewhere those on VMs that ask a watcher.
	BarrierOnWatcher, BarrierElsewhere []time.Duration
	// FirstRead and SecondRead are the durations of the first and the second read of a connection.
	FirstRead, SecondRead []time.Duration
	// Sharing has one element for each rate given to MeasureConnects.
	Sharing []Sharing
}

// Sharing tells how many reconnects to one service on one VM share a barrier request to another VM.
type Sharing struct {
	Rate                 int
	Reconnects, Requests float64
	Elapsed              time.Duration
}

// connectBench measures one deployment and collects the results.
type connectBench struct {
	site   *site.Site
	result ConnectTimes
}

// MeasureConnects measures about n barriers, then n connections one after the other, and then reconnects at each rate (per second)
// for timePerRate. The delay between VMs and servers is serverDelay in each direction.
func MeasureConnects(ctx context.Context, serverDelay time.Duration, n int, rates []int, timePerRate time.Duration, log *logs.Log) (ConnectTimes, error) {
	s, err := site.New(ctx, site.Spec{
		DataCentres: []string{"north", "south", "east", "west"}, VMs: 9, OpenDelay: 12 * time.Millisecond,
		ServiceTime: time.Millisecond, Lag: 200 * time.Millisecond, NetDelay: serverDelay, Links: true,
		Services: []site.ServiceSpec{{Name: service, Servers: 3, Slots: 5, Connections: 35, Callers: 1, Timeout: 30 * time.Second}},
	}, log)
	if err != nil {
		return ConnectTimes{}, err
	}
	defer s.Close()
	for _, l := range s.Links(service) {
		l.SetDelay(fault.ToServer, serverDelay)
		l.SetDelay(fault.ToClient, serverDelay)
	}
	c := &connectBench{site: s}
	nonWatcher := -1
	for i, vm := range s.Nodes() {
		before := peerCalls(vm)
		took, err := timeBarriers(ctx, vm, n/len(s.Nodes())+1)
		if err != nil {
			return c.result, err
		}
		if peerCalls(vm) > before {
			c.result.BarrierElsewhere = append(c.result.BarrierElsewhere, took...)
			nonWatcher = i
		} else {
			c.result.BarrierOnWatcher = append(c.result.BarrierOnWatcher, took...)
		}
	}
	if err := c.measureReads(ctx, n); err != nil {
		return c.result, err
	}
	for _, rate := range rates {
		if err := c.measureSharing(ctx, nonWatcher, rate, timePerRate); err != nil {
			return c.result, err
		}
	}
	return c.result, ctx.Err()
}

// peerCalls returns how many requests a VM has sent to other VMs.
func peerCalls(vm *node.Node) float64 {
	for _, k := range vm.Mesh().Stats().Kinds() {
		if k.Name() == "Call" {
			return float64(k.Sent())
		}
	}
	return 0
}

// barrierPause is the pause between two barriers. Without it each barrier waited for the poll started by the previous barrier, which
// doubled its duration.
const barrierPause = 20 * time.Millisecond

func timeBarriers(ctx context.Context, vm *node.Node, n int) ([]time.Duration, error) {
	var took []time.Duration
	for load.Pause(ctx, barrierPause) && len(took) < n {
		start := time.Now()
		if !vm.Serves(ctx, service) {
			return nil, fmt.Errorf("barrier for service %q on VM %s failed", service, vm.CallerAddr())
		}
		took = append(took, time.Since(start))
	}
	return took, ctx.Err()
}

func (c *connectBench) connect(ctx context.Context, vm int) (*pgconn.PgConn, error) {
	t := c.site.Target(service)
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", t.User(0), t.Password, t.VMs[vm], t.Database))
}

func timeRead(ctx context.Context, conn *pgconn.PgConn) (time.Duration, error) {
	start := time.Now()
	err := conn.ExecParams(ctx, load.ReadSQL, [][]byte{[]byte(strconv.Itoa(0))}, nil, nil, nil).Read().Err
	return time.Since(start), err
}

// measureReads opens n connections, to the VMs in round robin, and reads twice on each.
func (c *connectBench) measureReads(ctx context.Context, n int) error {
	for i := 0; i < n && load.Pause(ctx, barrierPause); i++ {
		conn, err := c.connect(ctx, i%len(c.site.Nodes()))
		if err != nil {
			return err
		}
		first, err1 := timeRead(ctx, conn)
		second, err2 := timeRead(ctx, conn)
		_ = conn.Close(ctx)
		if err := errors.Join(err1, err2); err != nil {
			return fmt.Errorf("read on a new connection: %w", err)
		}
		c.result.FirstRead, c.result.SecondRead = append(c.result.FirstRead, first), append(c.result.SecondRead, second)
	}
	return ctx.Err()
}

// measureSharing opens connections to one VM at a rate per second. Connections that are not opened because the machine cannot keep up
// are not counted.
func (c *connectBench) measureSharing(ctx context.Context, vm, rate int, timePerRate time.Duration) error {
	if vm < 0 {
		return fmt.Errorf("cannot measure barrier requests between VMs: every VM watches service %q", service)
	}
	const workers = 64
	connectSignals := make(chan struct{})
	errs := make(chan error, workers)
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range connectSignals {
				conn, err := c.connect(ctx, vm)
				if err == nil {
					_, err = timeRead(ctx, conn)
					_ = conn.Close(ctx)
				}
				if err != nil {
					errs <- err
					return
				}
			}
		}()
	}
	before, begin, n := peerCalls(c.site.Nodes()[vm]), time.Now(), 0
	var connectErr error
	for connectErr == nil && time.Since(begin) < timePerRate && load.Pause(ctx, time.Until(begin.Add(time.Second*time.Duration(n)/time.Duration(rate)))) {
		select {
		case connectSignals <- struct{}{}:
			n++
		case connectErr = <-errs:
		}
	}
	close(connectSignals)
	wg.Wait()
	c.result.Sharing = append(c.result.Sharing, Sharing{rate, float64(n), peerCalls(c.site.Nodes()[vm]) - before, time.Since(begin)})
	return connectErr
}

// Quantile returns the quantile q, from 0 to 1, of the durations, or 0 if there are none.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[int(q*float64(len(sorted)-1))]
}
