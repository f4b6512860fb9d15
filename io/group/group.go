// Package group watches the servers of one database group, confirms positions and replaces a failed primary.
//
// A VM runs one Group for each service of which it owns a server.
package group

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/failov"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/metric"
)

const (
	// pollGap limits how fast a server is polled while a commit or a barrier waits for its status.
	pollGap = 500 * time.Microsecond
	// errorGap limits it for a server that does not answer. Without it a VM whose callers waited for a crashed primary opened
	// thousands of connections a second to it.
	errorGap = 25 * time.Millisecond
	// marksKept and markStep bound the history of confirmed positions to 10 s.
	marksKept = 400
	markStep  = 25 * time.Millisecond
	// alertTime is how long a group is watched closely after its primary stopped answering; a failover takes at most 9 s.
	alertTime = 10 * time.Second
	// renewWait bounds the wait for news that may prove that a server is as recent as a read demands.
	renewWait = 50 * time.Millisecond
	// defaultControlTimeout adds to the gap of a failover if a server does not answer.
	defaultControlTimeout = 500 * time.Millisecond
)

// Server controls one database server; it may also be a port.Fencer.
type Server interface {
	port.Endpoint
	Close()
}

// Logger takes numbered events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

// Settings are the times that a Group works with.
type Settings struct {
	// Interval is the shortest time between two polls of a server that nobody waits for.
	Interval time.Duration
	// Budget lengthens the interval with the number of servers that the VM watches; nil keeps it.
	Budget *Budget
	// StatusTimeout bounds one poll.
	StatusTimeout time.Duration
	// ControlTimeout bounds one control call of a promotion; 0 for 500 ms.
	ControlTimeout time.Duration
	// Limits are the times of failure detection.
	Limits failov.DetectionLimits
}

// Config describes a Group and the VM around it.
type Config struct {
	Service  svcdef.Service
	Settings Settings
	// VM is the id of this VM.
	VM string
	// Dial returns the control of the server at an address, without connecting yet.
	Dial func(address string) Server
	// Refused says whether an error means that the server's host refused the connection.
	Refused func(error) bool
	// Table keeps the record of terms.
	Table port.KeyValueStore
	// Others asks the other watchers of the group for their judgement of the primary.
	Others func(ctx context.Context) []failov.Health
	// Rank returns this VM's place among the watchers, which staggers promotions.
	Rank func() int
	// Quiesce waits until no unit runs on a leaving primary that this VM owns; it reports false if it does not own it.
	Quiesce func(ctx context.Context, address string) bool
	// Changed is called with each new primary.
	Changed func(address string, term uint64)
	// Metrics keeps the counts of promotions; nil for none.
	Metrics *metric.Set
	Logger  Logger
	Now     func() time.Time
}

// Group watches the servers of one service.
type Group struct {
	cfg     Config
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	servers []*watched
	started time.Time
	retired atomic.Bool

	mu              sync.Mutex
	arrived         chan struct{}
	marks           []mark
	primary         string
	term            uint64
	reserved        uint64
	asking          bool
	since           time.Time
	recordScheduler failov.RecordScheduler
	alert           time.Time // the group is watched closely until then
	changes         int
}

type watched struct {
	address string
	control Server
	kick    chan struct{}
	obs     failov.Observation
	down    bool
	// interval is the interval of the poll after the last status, which says how long a silence may be.
	interval time.Duration
}

// New starts watching.
func New(cfg Config) *Group {
	if cfg.Settings.ControlTimeout == 0 {
		cfg.Settings.ControlTimeout = defaultControlTimeout
	}
	cfg.Settings.Budget.add(1, len(cfg.Service.Servers()))
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{cfg: cfg, cancel: cancel, started: cfg.Now(), arrived: make(chan struct{})}
	g.alert = g.started.Add(alertTime) // until the primary is known
	for _, s := range cfg.Service.Servers() {
		g.servers = append(g.servers, &watched{
			address: s.Address(), control: cfg.Dial(s.Address()), kick: make(chan struct{}, 1),
			obs: failov.NewObservation(s.Address(), port.Status{}, time.Time{}, 0),
		})
	}
	for _, w := range g.servers {
		g.start(func() { g.poll(ctx, w) })
	}
	g.start(func() { g.supervise(ctx) })
	return g
}

func (g *Group) start(f func()) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f()
	}()
}

// Retire leaves the judgement of the primary to the other watchers. Barriers and confirmations go on until Close.
func (g *Group) Retire() { g.retired.Store(true) }

// Close ends the watch.
func (g *Group) Close() {
	g.cancel()
	for _, w := range g.servers {
		w.control.Close()
	}
	g.wg.Wait()
	g.cfg.Settings.Budget.add(-1, -len(g.servers))
}

// poll asks one server for its status at every interval, and at once while somebody waits for news.
func (g *Group) poll(ctx context.Context, w *watched) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-w.kick:
		}
		asked := g.cfg.Now()
		pollCtx, cancel := context.WithTimeout(ctx, g.cfg.Settings.StatusTimeout)
		late := time.AfterFunc(g.cfg.Settings.StatusTimeout/2, func() { g.unanswered(w) })
		st, err := w.control.Status(pollCtx)
		late.Stop()
		cancel()
		if ctx.Err() != nil {
			return
		}
		g.take(w, asked, st, err)
		gap := pollGap
		if err != nil {
			gap = errorGap
		}
		if rest := gap - g.cfg.Now().Sub(asked); rest > 0 {
			time.Sleep(rest)
		}
		timer.Reset(g.schedule(w, err == nil))
	}
}

// schedule returns the time until the next poll of a server.
func (g *Group) schedule(w *watched, answered bool) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.cfg.Settings
	interval := s.Interval
	if !g.cfg.Now().Before(g.alert) {
		intervals := s.Budget.pollIntervals(s.Interval)
		interval = intervals.Replica()
		if w.address == g.primary {
			interval = intervals.Primary()
		}
	}
	if answered {
		w.interval = interval
	}
	return interval
}

// unanswered has all servers watched closely if the poll that is late is one of the primary. With the shortest interval, a
// server that this VM cannot reach either counts as unseen before the primary counts as silent.
func (g *Group) unanswered(w *watched) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.address == g.primary {
		g.watchClosely(w)
	}
}

// watchClosely begins to poll all servers at the shortest interval, except for a server that has just been asked. It
// lasts for alertTime, and begins anew only after a primary has served in between. The caller holds the lock.
func (g *Group) watchClosely(except *watched) {
	if !g.alert.IsZero() {
		return
	}
	g.alert = g.cfg.Now().Add(alertTime)
	for _, w := range g.servers {
		if w != except {
			w.interval = g.cfg.Settings.Interval
			w.ask()
		}
	}
}

// noticeServing ends the close watch when the primary answers, and begins it when no server serves as primary, as during
// the promotion of another VM. The caller holds the lock.
func (g *Group) noticeServing(w *watched, obs []failov.Observation) {
	p, found := failov.Primary(obs)
	switch {
	case !found || p.Status().Term < failov.HighestTerm(obs):
		if g.primary != "" {
			g.watchClosely(w)
		}
	case w.address == p.Address():
		g.alert = time.Time{}
	}
}

// ask has a server polled at once.
func (w *watched) ask() {
	select {
	case w.kick <- struct{}{}:
	default: // it is about to be polled
	}
}

// Ask has a server polled at once, without waiting for the answer.
func (g *Group) Ask(address string) {
	if w := g.watched(address); w != nil {
		w.ask()
	}
}

// AskAll has all servers polled at once.
func (g *Group) AskAll() {
	for _, w := range g.servers {
		w.ask()
	}
}

// take records the result of a poll and wakes everyone who waits for one.
func (g *Group) take(w *watched, asked time.Time, st port.Status, err error) {
	if err != nil {
		g.unanswered(w)
	}
	g.mu.Lock()
	wasDown := w.down
	if err == nil {
		if asked.After(w.obs.AskedAt()) {
			w.obs = failov.NewObservation(w.address, st, asked, 0)
		}
		w.down = false
		obs := g.observations()
		g.noticePrimary(obs)
		g.noticeServing(w, obs)
		g.addMark(obs)
	} else {
		refusals := 0
		if g.cfg.Refused(err) {
			refusals = w.obs.Refusals() + 1
		}
		w.obs = failov.NewObservation(w.address, w.obs.Status(), w.obs.AskedAt(), refusals)
		w.down = true
	}
	down := w.down
	close(g.arrived)
	g.arrived = make(chan struct{})
	g.mu.Unlock()
	if down && !wasDown {
		g.cfg.Logger.Event(event.EndptDown, zap.String("server", w.address), zap.Error(err))
	} else if wasDown && !down {
		g.cfg.Logger.Event(event.EndptUp, zap.String("server", w.address))
	}
}

// noticePrimary reports a primary of a newer term. The caller holds the lock.
func (g *Group) noticePrimary(obs []failov.Observation) {
	p, found := failov.Primary(obs)
	if !found || p.Status().Term < g.term || (p.Status().Term == g.term && p.Address() == g.primary) {
		return
	}
	if p.Status().Term < failov.HighestTerm(obs) {
		return
	}
	g.primary, g.term = p.Address(), p.Status().Term
	g.recordScheduler.SetPrimary(g.cfg.Now(), g.primary, g.term, false)
	g.alert = time.Time{}
	g.changes++
	if w := g.watched(g.primary); w != nil {
		w.ask() // its timer is that of a replica
	}
	if g.cfg.Changed != nil {
		addr, term := g.primary, g.term
		go g.cfg.Changed(addr, term)
	}
}

// observations returns a copy. The caller holds the lock.
func (g *Group) observations() []failov.Observation {
	obs := make([]failov.Observation, len(g.servers))
	for i, w := range g.servers {
		obs[i] = w.obs.WithInterval(w.interval)
	}
	return obs
}

// Observations returns what this VM last saw of each server.
func (g *Group) Observations() []failov.Observation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.observations()
}

// Status returns the last status of a server, when it was asked for, and whether the server answers now.
func (g *Group) Status(address string) (port.Status, time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.servers {
		if w.address == address {
			return w.obs.Status(), w.obs.AskedAt(), !w.down && !w.obs.AskedAt().IsZero()
		}
	}
	return port.Status{}, time.Time{}, false
}

// Refresh asks a server for its status and waits until one asked for after the call has arrived.
func (g *Group) Refresh(ctx context.Context, address string) (port.Status, error) {
	since := g.cfg.Now()
	var st port.Status
	err := g.await(ctx, func(obs []failov.Observation) bool {
		for _, o := range obs {
			if o.Address() == address && o.AskedAt().After(since) {
				st = o.Status()
				return true
			}
		}
		return false
	})
	return st, err
}

// Evict ends the connections of a VM to a server.
func (g *Group) Evict(ctx context.Context, address, vm string) (int, error) {
	w := g.watched(address)
	if w == nil {
		return 0, result.New(result.NotFound, "service %q has no server %s", g.cfg.Service.Name(), address)
	}
	e, ok := w.control.(port.Evictor)
	if !ok {
		return 0, result.New(result.Unsupported, "server %s cannot end connections", address)
	}
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Settings.ControlTimeout)
	defer cancel()
	return e.Evict(ctx, vm)
}

// Primary returns the address and term of the newest primary seen.
func (g *Group) Primary() (string, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary, g.term
}

// Health returns this VM's judgement of the primary.
func (g *Group) Health(now time.Time) failov.Health {
	return failov.AssessPrimary(now, g.started, g.Observations(), g.cfg.Settings.Limits)
}

// Service returns the definition that the Group was made for.
func (g *Group) Service() svcdef.Service { return g.cfg.Service }

// Reserved returns the term number held for a promotion, 0 for none.
func (g *Group) Reserved() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reserved
}

// await polls all servers until ok accepts the observations or ctx ends.
func (g *Group) await(ctx context.Context, ok func([]failov.Observation) bool) error {
	for {
		g.mu.Lock()
		arrived, obs := g.arrived, g.observations()
		g.mu.Unlock()
		if ok(obs) {
			return nil
		}
		for _, w := range g.servers {
			w.ask()
		}
		select {
		case <-arrived:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
