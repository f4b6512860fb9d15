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
	// capacityTime is how long the capacity is measured.
	capacityTime = 1500 * time.Millisecond
	// capacityFactor times the slots is the number of connections that keep every slot busy.
	capacityFactor = 3
	directUser     = "direct"
)

// standalone starts a server like those of a service, without replication.
func standalone(spec site.Spec, svc site.ServiceSpec) (*server.Server, error) {
	return server.New(server.Config{
		User: directUser, Primary: true, Term: 1, Slots: svc.Slots, OpenDelay: spec.OpenDelay,
		ServiceTime: spec.ServiceTime, Schema: load.Schema,
	})
}

func connectDirect(ctx context.Context, srv *server.Server) (*pgconn.PgConn, error) {
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://%s@%s/direct?sslmode=disable", directUser, srv.Addr()))
}

// Capacity returns how many reads per second the slots of all servers of a service execute, measured on one server
// without a proxy, with more connections than slots.
func Capacity(ctx context.Context, spec site.Spec, svc site.ServiceSpec) (float64, error) {
	srv, err := standalone(spec, svc)
	if err != nil {
		return 0, err
	}
	defer srv.Close()
	var conns []*pgconn.PgConn
	for range capacityFactor * svc.Slots {
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
			for time.Since(begin) < capacityTime {
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

// firstCome is a baseline: one first-come queue with as many workers as slots for each replica, and no proxy.
type firstCome struct {
	queues []chan load.Request
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
	phases []load.Phase
	sleep  time.Duration
	begin  time.Time
}

// baseline runs the reads and stragglers of a plan against first-come queues and returns the p99 of reads by phase.
func baseline(ctx context.Context, spec site.Spec, svc site.ServiceSpec, st Stage, plan []load.Request) (map[string]float64, error) {
	b := &firstCome{byName: map[string]*hdrhistogram.Histogram{}, phases: st.Phases, sleep: st.Load.StragglerTime}
	for _, p := range st.Phases {
		b.byName[p.Name] = load.NewHistogram()
	}
	var wg sync.WaitGroup
	for range svc.Servers - 1 {
		srv, err := standalone(spec, svc)
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
				b.work(ctx, c, q)
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
	for name, h := range b.byName {
		p99[name] = millis(h)
	}
	return p99, nil
}

func (b *firstCome) work(ctx context.Context, c *pgconn.PgConn, q chan load.Request) {
	for r := range q {
		sql, arg := load.ReadSQL, strconv.Itoa(r.Caller())
		if r.Kind() == load.Straggler {
			sql, arg = load.StragglerSQL, strconv.FormatFloat(b.sleep.Seconds(), 'f', 3, 64)
		}
		if c.ExecParams(ctx, sql, [][]byte{[]byte(arg)}, nil, nil, nil).Read().Err != nil || r.Kind() == load.Straggler {
			continue
		}
		b.record(r.At(), time.Since(b.begin)-r.At())
	}
}

func (b *firstCome) record(at, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.phases {
		if at >= p.From && at < p.To {
			// A latency beyond the histogram's range of 5 minutes cannot occur in a load of seconds.
			_ = b.byName[p.Name].RecordValue(took.Microseconds())
		}
	}
}

// millis returns the p99 of a histogram in milliseconds.
func millis(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(99)) / 1000 }
