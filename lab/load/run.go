package load

import (
	"context"
	"strconv"
	"sync"
	"time"
)

// counterInterval is the pause between two updates of the counter that browses read.
const counterInterval = 50 * time.Millisecond

// callerQueueLength bounds the requests that wait for the connection of one caller. A full queue delays later arrivals.
const callerQueueLength = 1 << 14

// Options are the arguments of RunWith.
type Options struct {
	Profile Profile
	Plan    []Request
	Target  Target
	Record  *Record
	// Stop ends the arrivals early when it is closed; requests that have arrived still run. It may be nil.
	Stop <-chan struct{}
	// Begun is called with the start time of the load, after the callers of a Connected profile have connected. It may be
	// nil.
	Begun func(time.Time)
}

// Run sends the planned requests and returns when all have ended. Arrivals are planned relative to begin.
//
// The load is open-loop: arrivals do not wait for answers. Requests of one caller run one at a time, and their wait for
// the caller counts as latency.
func Run(ctx context.Context, p Profile, plan []Request, target Target, record *Record, begin time.Time) {
	r := newRunner(ctx, Options{Profile: p, Plan: plan, Target: target, Record: record})
	r.run(begin)
}

// RunWith is like Run but starts the load itself: at once, or with a Connected profile when all callers have tried to
// connect.
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

// runner runs one load. Only the goroutine that called Run or RunWith may change it.
type runner struct {
	ctx         context.Context // ends the requests of all callers
	options     Options
	counterAcks *counterAckLog
	wg          sync.WaitGroup
	callers     map[int]*caller
}

func newRunner(ctx context.Context, options Options) *runner {
	return &runner{ctx: ctx, options: options, counterAcks: &counterAckLog{}, callers: map[int]*caller{}}
}

func (r *runner) caller(n int) *caller {
	if c := r.callers[n]; c != nil {
		return c
	}
	p := r.options.Profile
	c := &caller{
		number: n, target: r.options.Target, record: r.options.Record, counterAcks: r.counterAcks,
		stragglerTime: p.StragglerTime, maxAge: p.MaxAge, replicaLag: p.Lag, vm: max(n, 0) % len(r.options.Target.VMs),
		requests: make(chan Request, callerQueueLength),
	}
	r.callers[n] = c
	return c
}

// maxConnecting bounds the callers that connect concurrently before the start, so that they do not overload the machine.
const maxConnecting = 32

func (r *runner) connectAll() {
	slots := make(chan struct{}, maxConnecting)
	var wg sync.WaitGroup
	for _, q := range r.options.Plan {
		if r.callers[q.caller] != nil {
			continue
		}
		c := r.caller(q.caller)
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			if err := c.connect(r.ctx); err != nil {
				r.options.Record.countError(err.Error())
			}
			<-slots
		}()
	}
	wg.Wait()
}

func (r *runner) startCaller(c *caller, begin time.Time) {
	c.loadStart, c.started = begin, true
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer c.close()
		for q := range c.requests {
			c.runRequest(r.ctx, q)
		}
	}()
}

func (r *runner) run(begin time.Time) {
	updaterCtx, stopUpdater := context.WithCancel(r.ctx)
	defer stopUpdater()
	if r.options.Profile.Browse > 0 {
		updater := r.caller(-1)
		updater.loadStart = begin
		delete(r.callers, -1)
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			defer updater.close()
			updater.updateCounter(r.ctx, updaterCtx, r.counterAcks)
		}()
	}
	for _, q := range r.options.Plan {
		if !r.waitForArrival(begin.Add(q.at)) {
			break
		}
		c := r.caller(q.caller)
		if !c.started {
			r.startCaller(c, begin)
		}
		c.requests <- q
	}
	for _, c := range r.callers {
		close(c.requests)
		if !c.started {
			c.close()
		}
	}
	stopUpdater()
	r.wg.Wait()
}

// waitForArrival waits until at and returns true, or returns false as soon as the load is to stop.
func (r *runner) waitForArrival(at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		select {
		case <-r.options.Stop:
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
	case <-r.options.Stop:
		return false
	case <-r.ctx.Done():
		return false
	}
}

// updateCounter updates the counter until stopCtx ends and logs when each value was acknowledged. It repeats an update
// that was not acknowledged, which is safe because the update sets a fixed value.
func (c *caller) updateCounter(ctx, stopCtx context.Context, acks *counterAckLog) {
	for n := 1; Pause(stopCtx, counterInterval); {
		if c.conn != nil && endedByPeer(c.conn.Conn()) {
			c.close()
			c.vm = (c.vm + 1) % len(c.target.VMs)
		}
		if c.connect(ctx) != nil {
			continue
		}
		// The end of the load does not interrupt the last update, which would otherwise be counted as an error.
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		_, o := c.exec(callCtx, TickSQL, strconv.Itoa(n))
		cancel()
		if o == Done {
			acks.add(time.Now())
			n++
		}
	}
}
