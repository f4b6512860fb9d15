// Package group polls the servers of one database group, confirms commits and log positions, and replaces a failed primary.
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
	// minPollInterval is the shortest time between two polls of a server, also while a commit or a barrier waits for its
	// status.
	minPollInterval = 500 * time.Microsecond
	// minPollIntervalAfterError applies after a poll that failed. Without it, a VM whose callers waited for a crashed primary
	// opened thousands of connections a second to it.
	minPollIntervalAfterError = 25 * time.Millisecond
	// maxConfirmedPositions and minConfirmedPositionGap bound the history of confirmed positions to 10 s.
	maxConfirmedPositions   = 400
	minConfirmedPositionGap = 25 * time.Millisecond
	// closeWatchDuration is how long all servers are polled at the shortest interval after the primary stopped answering; a
	// failover takes at most 9 s.
	closeWatchDuration = 10 * time.Second
	// refreshAgeTimeout bounds the wait of RefreshAge for statuses that may prove that a server is as recent as a read requires.
	refreshAgeTimeout = 50 * time.Millisecond
	// defaultControlTimeout bounds a control call of a promotion. A server that does not answer lengthens the failover by this
	// time.
	defaultControlTimeout = 500 * time.Millisecond
)

// Server sends control requests to one database server. It may also implement port.Fencer and port.Evictor.
type Server interface {
	port.Endpoint
	Close()
}

// Logger writes numbered events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

// Settings are the intervals and timeouts of a Group.
type Settings struct {
	// Interval is the shortest time between two polls of a server while no request waits for its status.
	Interval time.Duration
	// Budget lengthens the interval as the VM watches more servers. If nil, Interval is used as it is.
	Budget *PollBudget
	// StatusTimeout bounds one poll.
	StatusTimeout time.Duration
	// ControlTimeout bounds one control call of a promotion; 0 means 500 ms.
	ControlTimeout time.Duration
	// Limits are the thresholds of failure detection.
	Limits failov.DetectionLimits
}

// Config holds what a Group needs from the VM that runs it.
type Config struct {
	Service  svcdef.Service
	Settings Settings
	// VM is the id of this VM.
	VM string
	// Dial returns a Server for an address. It does not connect yet.
	Dial func(address string) Server
	// IsRefused reports whether an error means that the server's host refused the connection.
	IsRefused func(error) bool
	// Table stores the group's term record.
	Table port.KeyValueStore
	// PeerAssessments asks the other watchers of the group for their assessment of the primary.
	PeerAssessments func(ctx context.Context) []failov.Health
	// Rank returns this VM's index among the watchers, counted from 0. Promotions are staggered by it.
	Rank func() int
	// Quiesce waits until no unit of work runs on a leaving primary, and reports whether that was reached. It returns false if
	// this VM does not own the primary.
	Quiesce func(ctx context.Context, address string) bool
	// OnPrimaryChange is called in a goroutine of its own for each new primary; it may be nil.
	OnPrimaryChange func(address string, term uint64)
	// Metrics counts promotions; it may be nil.
	Metrics *metric.Set
	Logger  Logger
	Now     func() time.Time
}

// Group watches the servers of one service. It is safe for concurrent use.
type Group struct {
	cfg                Config
	cancel             context.CancelFunc
	wg                 sync.WaitGroup
	servers            []*watchedServer
	started            time.Time
	supervisionStopped atomic.Bool

	mu                 sync.Mutex
	pollDone           chan struct{}
	confirmedPositions []confirmedPosition
	primary            string
	term               uint64
	reservedTerm       uint64
	reserving          bool
	failedSince        time.Time
	recordScheduler    failov.RecordScheduler
	closeWatchUntil    time.Time // all servers are polled at the shortest interval until then
	primaryChanges     int
}

type watchedServer struct {
	address       string
	control       Server
	pollRequested chan struct{}
	obs           failov.Observation
	down          bool
	// interval is the current polling interval. A failed poll leaves it unchanged, because failure detection derives from it
	// how long the server may give no status.
	interval time.Duration
}

// New returns a Group and starts polling its servers.
func New(cfg Config) *Group {
	if cfg.Settings.ControlTimeout == 0 {
		cfg.Settings.ControlTimeout = defaultControlTimeout
	}
	cfg.Settings.Budget.add(1, len(cfg.Service.Servers()))
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{cfg: cfg, cancel: cancel, started: cfg.Now(), pollDone: make(chan struct{})}
	g.closeWatchUntil = g.started.Add(closeWatchDuration) // ends earlier if the primary becomes known
	for _, s := range cfg.Service.Servers() {
		g.servers = append(g.servers, &watchedServer{
			address: s.Address(), control: cfg.Dial(s.Address()), pollRequested: make(chan struct{}, 1),
			obs: failov.NewObservation(s.Address(), port.Status{}, time.Time{}, 0),
		})
	}
	for _, w := range g.servers {
		g.startGoroutine(func() { g.poll(ctx, w) })
	}
	g.startGoroutine(func() { g.supervise(ctx) })
	return g
}

func (g *Group) startGoroutine(f func()) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f()
	}()
}

// StopSupervising ends the failure detection and promotions of this VM; the other watchers go on with them. Barriers and
// confirmations work until Close.
func (g *Group) StopSupervising() { g.supervisionStopped.Store(true) }

// Close ends all polling, closes the servers' connections and waits for the goroutines of the Group.
func (g *Group) Close() {
	g.cancel()
	for _, w := range g.servers {
		w.control.Close()
	}
	g.wg.Wait()
	g.cfg.Settings.Budget.add(-1, -len(g.servers))
}

// poll requests the status of one server at its polling interval, and at once after requestPoll.
func (g *Group) poll(ctx context.Context, w *watchedServer) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-w.pollRequested:
		}
		askedAt := g.cfg.Now()
		pollCtx, cancel := context.WithTimeout(ctx, g.cfg.Settings.StatusTimeout)
		lateTimer := time.AfterFunc(g.cfg.Settings.StatusTimeout/2, func() { g.handleUnansweredPoll(w) })
		st, err := w.control.Status(pollCtx)
		lateTimer.Stop()
		cancel()
		if ctx.Err() != nil {
			return
		}
		g.handleAnswer(w, askedAt, st, err)
		minInterval := minPollInterval
		if err != nil {
			minInterval = minPollIntervalAfterError
		}
		if remaining := minInterval - g.cfg.Now().Sub(askedAt); remaining > 0 {
			time.Sleep(remaining)
		}
		timer.Reset(g.nextPollDelay(w, err == nil))
	}
}

// nextPollDelay returns the time until the next poll of a server. Answered reports whether the last poll succeeded.
func (g *Group) nextPollDelay(w *watchedServer, answered bool) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.cfg.Settings
	interval := s.Interval
	if !g.cfg.Now().Before(g.closeWatchUntil) {
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

// handleUnansweredPoll starts the close watch if the server whose poll is late or failed is the primary. At the shortest
// interval, other servers that this VM cannot reach count as silent before the primary does, so that a VM that is cut off does
// not take the primary for failed.
func (g *Group) handleUnansweredPoll(w *watchedServer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.address == g.primary {
		g.startCloseWatch(w)
	}
}

// startCloseWatch begins to poll all servers at the shortest interval, starting at once with all but the given one, which has
// just been polled. The close watch lasts for closeWatchDuration and starts again only after a primary has served in between.
// The caller holds the lock.
func (g *Group) startCloseWatch(except *watchedServer) {
	if !g.closeWatchUntil.IsZero() {
		return
	}
	g.closeWatchUntil = g.cfg.Now().Add(closeWatchDuration)
	for _, w := range g.servers {
		if w != except {
			w.interval = g.cfg.Settings.Interval
			w.requestPoll()
		}
	}
}

// updateCloseWatch ends the close watch when the primary answers. It starts one when no server serves as primary, as during a
// promotion by another VM. The caller holds the lock.
func (g *Group) updateCloseWatch(w *watchedServer, obs []failov.Observation) {
	p, found := failov.Primary(obs)
	switch {
	case !found || p.Status().Term < failov.HighestTerm(obs):
		if g.primary != "" {
			g.startCloseWatch(w)
		}
	case w.address == p.Address():
		g.closeWatchUntil = time.Time{}
	}
}

// requestPoll causes a poll of the server without waiting for the answer.
func (w *watchedServer) requestPoll() {
	select {
	case w.pollRequested <- struct{}{}:
	default: // a poll is already requested
	}
}

// RequestPoll causes a poll of the server at address without waiting for the answer.
func (g *Group) RequestPoll(address string) {
	if w := g.serverByAddress(address); w != nil {
		w.requestPoll()
	}
}

// RequestPolls causes a poll of every server without waiting for the answers.
func (g *Group) RequestPolls() {
	for _, w := range g.servers {
		w.requestPoll()
	}
}

// handleAnswer records the status that a server returned for a request of askedAt, or the error, and wakes everyone who waits
// for a new observation.
func (g *Group) handleAnswer(w *watchedServer, askedAt time.Time, st port.Status, err error) {
	if err != nil {
		g.handleUnansweredPoll(w)
	}
	g.mu.Lock()
	wasDown := w.down
	if err == nil {
		if askedAt.After(w.obs.AskedAt()) {
			w.obs = failov.NewObservation(w.address, st, askedAt, 0)
		}
		w.down = false
		obs := g.observations()
		g.updatePrimary(obs)
		g.updateCloseWatch(w, obs)
		g.addConfirmedPosition(obs)
	} else {
		refusals := 0
		if g.cfg.IsRefused(err) {
			refusals = w.obs.Refusals() + 1
		}
		w.obs = failov.NewObservation(w.address, w.obs.Status(), w.obs.AskedAt(), refusals)
		w.down = true
	}
	down := w.down
	close(g.pollDone)
	g.pollDone = make(chan struct{})
	g.mu.Unlock()
	if down && !wasDown {
		g.cfg.Logger.Event(event.EndptDown, zap.String("server", w.address), zap.Error(err))
	} else if wasDown && !down {
		g.cfg.Logger.Event(event.EndptUp, zap.String("server", w.address))
	}
}

// updatePrimary adopts and announces a newly seen primary, unless its term is out of date. The caller holds the lock.
func (g *Group) updatePrimary(obs []failov.Observation) {
	p, found := failov.Primary(obs)
	if !found || p.Status().Term < g.term || (p.Status().Term == g.term && p.Address() == g.primary) {
		return
	}
	if p.Status().Term < failov.HighestTerm(obs) {
		return
	}
	g.primary, g.term = p.Address(), p.Status().Term
	g.recordScheduler.SetPrimary(g.cfg.Now(), g.primary, g.term, false)
	g.closeWatchUntil = time.Time{}
	g.primaryChanges++
	if w := g.serverByAddress(g.primary); w != nil {
		w.requestPoll() // its polling timer still has the interval of a replica
	}
	if g.cfg.OnPrimaryChange != nil {
		addr, term := g.primary, g.term
		go g.cfg.OnPrimaryChange(addr, term)
	}
}

// observations returns a copy of the last observation of each server. The caller holds the lock.
func (g *Group) observations() []failov.Observation {
	obs := make([]failov.Observation, len(g.servers))
	for i, w := range g.servers {
		obs[i] = w.obs.WithInterval(w.interval)
	}
	return obs
}

// Observations returns the last observation of each server.
func (g *Group) Observations() []failov.Observation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.observations()
}

// Status returns the last status of a server, the time at which it was requested, and whether the last poll succeeded.
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

// Refresh polls a server and returns its first status that was requested after the call.
func (g *Group) Refresh(ctx context.Context, address string) (port.Status, error) {
	since := g.cfg.Now()
	var st port.Status
	err := g.awaitObservations(ctx, func(obs []failov.Observation) bool {
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

// Evict ends the connections of a VM to a server and returns their number.
func (g *Group) Evict(ctx context.Context, address, vm string) (int, error) {
	w := g.serverByAddress(address)
	if w == nil {
		return 0, result.New(result.NotFound, "service %q has no server %s", g.cfg.Service.Name(), address)
	}
	e, ok := w.control.(port.Evictor)
	if !ok {
		return 0, result.New(result.Unsupported, "server %s does not support ending the connections of a VM", address)
	}
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Settings.ControlTimeout)
	defer cancel()
	return e.Evict(ctx, vm)
}

// Primary returns the address of the primary of the highest term seen, and that term. The address is empty if none was seen.
func (g *Group) Primary() (string, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary, g.term
}

// Health returns this VM's assessment of the primary.
func (g *Group) Health(now time.Time) failov.Health {
	return failov.AssessPrimary(now, g.started, g.Observations(), g.cfg.Settings.Limits)
}

// Service returns the service definition that the Group was made with.
func (g *Group) Service() svcdef.Service { return g.cfg.Service }

// ReservedTerm returns the term that is reserved for the next promotion, 0 if there is none.
func (g *Group) ReservedTerm() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reservedTerm
}

// awaitObservations polls all servers until accept returns true for their observations, or returns the error of ctx when it
// ends.
func (g *Group) awaitObservations(ctx context.Context, accept func([]failov.Observation) bool) error {
	for {
		g.mu.Lock()
		pollDone, obs := g.pollDone, g.observations()
		g.mu.Unlock()
		if accept(obs) {
			return nil
		}
		for _, w := range g.servers {
			w.requestPoll()
		}
		select {
		case <-pollDone:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
