package load

import (
	"context"
	"strconv"
	"sync"
	"time"
)

// tickInterval is the time between two updates of the counter that browses read.
const tickInterval = 50 * time.Millisecond

// queued bounds the requests of one caller that wait for its connection.
const queued = 1 << 14

// Options are the parts of a load.
type Options struct {
	Profile Profile
	Plan    []Request
	Target  Target
	Record  *Record
	// Stop ends the arrivals early when it is closed; requests in progress end as usual. It may be nil.
	Stop <-chan struct{}
	// Begun is called with the time from which arrivals count, after the callers of a Connected profile have connected.
	// It may be nil.
	Begun func(time.Time)
}

// Run sends the planned requests and returns when all have ended. Begin is the time of the start.
//
// Arrivals do not wait for answers; requests of one caller run one after the other, and the wait counts as latency.
func Run(ctx context.Context, p Profile, plan []Request, target Target, record *Record, begin time.Time) {
	r := newRunner(ctx, Options{Profile: p, Plan: plan, Target: target, Record: record})
	r.run(begin)
}

// RunWith is Run with the start at the time when all callers are ready.
func RunWith(ctx context.Context, o Options) {
	r := newRunner(ctx, o)
	if o.Profile.Connected {
		r.connectAll()
	}
	begin := time.Now()
	if o.Begun != nil {
		o.Begun(begin)
	}
	r.run(begin)
}

// runner is one load in progress. Only the goroutine of the caller of Run uses it.
type runner struct {
	ctx     context.Context // Ends the requests of all callers.
	o       Options
	ticks   *ticker
	wg      sync.WaitGroup
	callers map[int]*caller
}

func newRunner(ctx context.Context, o Options) *runner {
	return &runner{ctx: ctx, o: o, ticks: &ticker{}, callers: map[int]*caller{}}
}

func (r *runner) caller(n int) *caller {
	if c := r.callers[n]; c != nil {
		return c
	}
	p := r.o.Profile
	c := &caller{
		number: n, target: r.o.Target, record: r.o.Record, ticks: r.ticks, sleep: p.StragglerTime, maxAge: p.MaxAge,
		lag: p.Lag, vm: max(n, 0) % len(r.o.Target.VMs), requests: make(chan Request, queued),
	}
	r.callers[n] = c
	return c
}

// connecting bounds the callers that connect at the same time, so that the start does not overload the machine.
const connecting = 32

func (r *runner) connectAll() {
	slots := make(chan struct{}, connecting)
	var wg sync.WaitGroup
	for _, q := range r.o.Plan {
		if r.callers[q.caller] != nil {
			continue
		}
		c := r.caller(q.caller)
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			if err := c.connect(r.ctx); err != nil {
				r.o.Record.failure(err.Error())
			}
			<-slots
		}()
	}
	wg.Wait()
}

func (r *runner) start(c *caller, begin time.Time) {
	c.begin, c.started = begin, true
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer c.close()
		for q := range c.requests {
			c.run(r.ctx, q)
		}
	}()
}

func (r *runner) run(begin time.Time) {
	tickCtx, stop := context.WithCancel(r.ctx)
	defer stop()
	if r.o.Profile.Browse > 0 {
		tick := r.caller(-1)
		tick.begin = begin
		delete(r.callers, -1)
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer tick.close()
			tick.count(r.ctx, tickCtx, r.ticks)
		}()
	}
	for _, q := range r.o.Plan {
		if !r.await(begin.Add(q.at)) {
			break
		}
		c := r.caller(q.caller)
		if !c.started {
			r.start(c, begin)
		}
		c.requests <- q
	}
	for _, c := range r.callers {
		close(c.requests)
		if !c.started {
			c.close()
		}
	}
	stop()
	r.wg.Wait()
}

// await waits until at and reports whether arrivals go on.
func (r *runner) await(at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		select {
		case <-r.o.Stop:
			return false
		default:
			return r.ctx.Err() == nil
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.o.Stop:
		return false
	case <-r.ctx.Done():
		return false
	}
}

// count updates the counter until the end of the second context and notes when each value was acknowledged. A value whose outcome is unknown is written
// again, which an update to a fixed value allows.
func (c *caller) count(ctx, until context.Context, ticks *ticker) {
	for n := 1; Pause(until, tickInterval); {
		if c.conn != nil && ended(c.conn.Conn()) {
			c.close()
			c.vm = (c.vm + 1) % len(c.target.VMs)
		}
		if c.connect(ctx) != nil {
			continue
		}
		// The last update is not interrupted, so that the end of the load does not count as an error.
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		_, o := c.exec(call, TickSQL, strconv.Itoa(n))
		cancel()
		if o == Done {
			ticks.add(time.Now())
			n++
		}
	}
}
