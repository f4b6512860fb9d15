package exper

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"

	"verbenagate/lab/load"
	"verbenagate/lab/server"
	"verbenagate/lab/site"
)

const (
	// capacityDuration is the duration of the capacity measurement.
	capacityDuration = 1500 * time.Millisecond
	// connectionsPerSlot is the number of connections per slot that keep every slot busy.
	connectionsPerSlot = 3
	directUser         = "direct"
)

// newStandaloneServer starts a primary with the slots and delays of a service's servers, without replication.
func newStandaloneServer(spec site.Spec, svc site.ServiceSpec) (*server.Server, error) {
	return server.New(server.Config{
		User: directUser, Primary: true, Term: 1, Slots: svc.Slots, OpenDelay: spec.OpenDelay,
		ServiceTime: spec.ServiceTime, Schema: load.Schema,
	})
}

func connectDirect(ctx context.Context, srv *server.Server) (*pgconn.PgConn, error) {
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://%s@%s/direct?sslmode=disable", directUser, srv.Addr()))
}

// Capacity returns how many reads per second the slots of all servers of a service can execute. It measures one server without a
// proxy, over more connections than slots, and multiplies the rate by the number of servers.
func Capacity(ctx context.Context, spec site.Spec, svc site.ServiceSpec) (float64, error) {
	srv, err := newStandaloneServer(spec, svc)
	if err != nil {
		return 0, err
	}
	defer srv.Close()
	var conns []*pgconn.PgConn
	for range connectionsPerSlot * svc.Slots {
		c, err := connectDirect(ctx, srv)
		if err != nil {
			return 0, err
		}
		defer func() { _ = c.Close(context.WithoutCancel(ctx)) }()
		conns = append(conns, c)
	}
	var done atomic.Int64
	var wg sync.WaitGroup
	begin := time.Now()
	for i, c := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(begin) < capacityDuration {
				if c.ExecParams(ctx, load.ReadSQL, [][]byte{[]byte(strconv.Itoa(i))}, nil, nil, nil).Read().Err != nil {
					return
				}
				done.Add(1)
			}
		}()
	}
	wg.Wait()
	return float64(done.Load()) / time.Since(begin).Seconds() * float64(svc.Servers), nil
}

// firstComeBaseline sends a load to replicas without a proxy, through one first-come, first-served queue for each replica. Each queue
// has as many workers as the replica has slots.
type firstComeBaseline struct {
	queues         []chan load.Request
	mu             sync.Mutex
	latencyByPhase map[string]*hdrhistogram.Histogram
	phases         []load.Phase
	stragglerTime  time.Duration
	begin          time.Time
}

// runBaseline runs the reads and stragglers of a plan through first-come queues and returns the p99 of the reads in milliseconds by
// phase.
func runBaseline(ctx context.Context, spec site.Spec, svc site.ServiceSpec, st Stage, plan []load.Request) (map[string]float64, error) {
	b := &firstComeBaseline{latencyByPhase: map[string]*hdrhistogram.Histogram{}, phases: st.Phases, stragglerTime: st.Load.StragglerTime}
	for _, p := range st.Phases {
		b.latencyByPhase[p.Name] = load.NewHistogram()
	}
	var wg sync.WaitGroup
	for range svc.Servers - 1 {
		srv, err := newStandaloneServer(spec, svc)
		if err != nil {
			return nil, err
		}
		defer srv.Close()
		q := make(chan load.Request, len(plan))
		b.queues = append(b.queues, q)
		for range svc.Slots {
			c, err := connectDirect(ctx, srv)
			if err != nil {
				return nil, err
			}
			defer func() { _ = c.Close(context.WithoutCancel(ctx)) }()
			wg.Add(1)
			go func() {
				defer wg.Done()
				b.runWorker(ctx, c, q)
			}()
		}
	}
	b.begin = time.Now()
	n := 0
	for _, r := range plan {
		if r.Kind() == load.Pay || r.Kind() == load.Transfer {
			continue
		}
		if !load.Pause(ctx, time.Until(b.begin.Add(r.At()))) {
			break
		}
		b.queues[n%len(b.queues)] <- r
		n++
	}
	for _, q := range b.queues {
		close(q)
	}
	wg.Wait()
	p99 := map[string]float64{}
	for name, h := range b.latencyByPhase {
		p99[name] = p99Millis(h)
	}
	return p99, nil
}

func (b *firstComeBaseline) runWorker(ctx context.Context, c *pgconn.PgConn, q chan load.Request) {
	for r := range q {
		sql, arg := load.ReadSQL, strconv.Itoa(r.Caller())
		if r.Kind() == load.Straggler {
			sql, arg = load.StragglerSQL, strconv.FormatFloat(b.stragglerTime.Seconds(), 'f', 3, 64)
		}
		if c.ExecParams(ctx, sql, [][]byte{[]byte(arg)}, nil, nil, nil).Read().Err != nil || r.Kind() == load.Straggler {
			continue
		}
		b.recordLatency(r.At(), time.Since(b.begin)-r.At())
	}
}

func (b *firstComeBaseline) recordLatency(at, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.phases {
		if at >= p.From && at < p.To {
			// RecordValue fails only for latencies above 5 minutes, which cannot occur in a load of seconds.
			_ = b.latencyByPhase[p.Name].RecordValue(took.Microseconds())
		}
	}
}

// p99Millis returns the p99 of a histogram in milliseconds.
func p99Millis(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(99)) / 1000 }
