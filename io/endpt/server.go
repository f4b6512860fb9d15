package endpt

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/zap"

	"verbenagate/core/commit"
	"verbenagate/core/event"
	"verbenagate/core/limit"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/sched"
	"verbenagate/core/work"
)

const (
	// busyTickInterval is the interval at which running work is reclassified and waiting work is shed.
	busyTickInterval = 10 * time.Millisecond
	// idleTickInterval replaces busyTickInterval while nothing runs or waits.
	idleTickInterval = 100 * time.Millisecond
	// keepReadyDuration is how long connections for all slots are kept open after the last unit.
	keepReadyDuration = 30 * time.Second
	// surplusCloseInterval is the minimum time between closing one surplus connection and the next.
	surplusCloseInterval = time.Second
	// spareConnections is the number of connections kept open beyond those that can run or are held, since opening
	// one takes 12 ms.
	spareConnections = 1
	// minBackoff and maxBackoff bound the pause after a connection could not be opened.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// statusRefreshAge is the age from which the status of a server in use is refreshed. Sources poll an idle server
	// less often, but callers' reads are routed by the status, and connections are opened only within 300 ms of a
	// report.
	statusRefreshAge = 100 * time.Millisecond
	// resetTimeout bounds the reset of a session before its connection is reused.
	resetTimeout = 2 * time.Second
)

// Server runs units of work on one database server. It is safe for concurrent use.
type Server struct {
	cfg   Config
	meter meter

	mu             sync.Mutex
	queue          *sched.Queue
	maxWait        time.Duration
	budget         *limit.Budget
	waiting        map[*waiter]struct{}
	idle           []*conn // the most recently used one last
	openConns      int     // established connections, including those in use
	pendingConns   int     // connections being opened
	heldConns      int     // connections that streams hold between units
	inFlight       int     // units from the grant of their slot to the end of their answer
	inFlightWrites int     // units in flight that may commit
	lockHolders    int     // open transactions that have written
	// openTransactions counts the open transactions; it is updated at the end of each unit.
	openTransactions int
	openTimes        []time.Time // of the connections that the latest status may not count yet
	lastUnitAt       time.Time
	lastSurplusClose time.Time
	dialFailures     int
	retryAt          time.Time
	dialErr          error
	leaving          bool
	newestCommit     point.Point
	commitTracker    commit.Tracker
	// commitsChanged is closed at the next commit, or when a unit that may commit starts or ends; nil if nobody waits.
	commitsChanged chan struct{}
	draining       bool
	closed         bool
	drainWaiters   []chan struct{}

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// waiter is a unit in the queue.
type waiter struct {
	item     *sched.Item
	queuedAt time.Time
	granted  chan grant
}

// grant ends the wait of a unit. If err is nil, the unit has a slot, and conn is its connection if it needs one;
// otherwise err is the reason why it does not run.
type grant struct {
	conn *conn
	err  error
}

// New returns a Server, which opens its first connection at once. Close stops it.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		cfg: cfg, queue: sched.New(cfg.Server.Slots(), cfg.QueueLimit), budget: limit.NewBudget(cfg.Server.Connections()),
		waiting: map[*waiter]struct{}{}, ctx: ctx, stop: stop,
		meter: newMeter(cfg.Metrics, cfg.Service.Name(), cfg.Server.Address()),
	}
	s.SetMaxWait(cfg.Service.MaxWait())
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.runMaintenance()
	}()
	if cfg.OnceRules != nil {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.deleteExpiredPeriodically()
		}()
	}
	return s
}

// SetMaxWait sets the expected wait above which new short work is refused.
func (s *Server) SetMaxWait(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxWait = d
	s.queue.SetMaxWait(d)
}

// Address returns the server's host and port.
func (s *Server) Address() string { return s.cfg.Server.Address() }

// Open returns a stream for a caller's units on this server.
func (s *Server) Open(caller string) work.Stream {
	ctx, cancel := context.WithCancel(s.ctx)
	return &stream{s: s, caller: caller, ctx: ctx, stop: cancel}
}

// Drain refuses new units, which end as NotOwner, and waits until open transactions and running units have ended.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	done := make(chan struct{})
	s.drainWaiters = append(s.drainWaiters, done)
	s.signalDrained()
	s.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends all units and closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed, s.draining = true, true
	for w := range s.waiting {
		if s.queue.Remove(w.item) {
			s.deliverGrant(w, grant{err: s.notOwnerError()})
		}
	}
	idle := s.idle
	s.idle = nil
	s.openConns -= len(idle)
	s.mu.Unlock()
	s.stop()
	for _, c := range idle {
		c.close()
	}
	s.wg.Wait()
}

func (s *Server) notOwnerError() error {
	return result.New(result.NotOwner, "this VM no longer accepts units for server %s", s.Address())
}

// runMaintenance periodically reclassifies running units, dispatches or sheds waiting ones, and opens and closes
// connections.
func (s *Server) runMaintenance() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
		s.mu.Lock()
		now := s.cfg.Now()
		s.queue.ReclassifyLong(now)
		s.dispatch(now)
		s.maintainConns(now)
		busy := len(s.waiting) > 0 || s.running() > 0
		s.mu.Unlock()
		if busy {
			t.Reset(busyTickInterval)
		} else {
			t.Reset(idleTickInterval)
		}
	}
}

func (s *Server) running() int {
	short, long := s.queue.Active()
	return short + long
}

// dispatch starts the units that may run and sheds those that cannot run in time. The caller holds mu.
func (s *Server) dispatch(now time.Time) {
	start, shed := s.queue.Next(now, len(s.idle))
	for _, it := range shed {
		s.meter.shed.Inc(1)
		err := result.New(result.DeadlineTooClose, "the deadline passed while the request waited in the queue of server %s",
			s.Address())
		s.deliverGrant(it.Value().(*waiter), grant{err: err})
	}
	for _, it := range start {
		w := it.Value().(*waiter)
		s.meter.observeQueueWait(it.Class(), now.Sub(w.queuedAt))
		if it.Kind() != sched.NeedsConnection {
			s.deliverGrant(w, grant{})
			continue
		}
		last := len(s.idle) - 1
		c := s.idle[last]
		s.idle[last] = nil
		s.idle = s.idle[:last]
		s.deliverGrant(w, grant{conn: c})
	}
	s.signalDrained()
}

func (s *Server) deliverGrant(w *waiter, g grant) {
	delete(s.waiting, w)
	w.granted <- g
}

// signalDrained wakes Drain when the server is quiescent. The caller holds mu.
func (s *Server) signalDrained() {
	if !s.draining || !s.quiescent() {
		return
	}
	for _, ch := range s.drainWaiters {
		close(ch)
	}
	s.drainWaiters = nil
}

// submit queues a unit. The channel of the returned waiter receives exactly one grant, unless the waiter is withdrawn.
func (s *Server) submit(caller string, u work.Unit, deadline time.Time, kind sched.Kind, inTx bool) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	s.lastUnitAt = now
	if s.closed || (s.draining && !inTx) {
		return nil, s.notOwnerError()
	}
	if kind == sched.NeedsConnection && s.openConns == 0 && s.pendingConns == 0 && now.Before(s.retryAt) {
		return nil, result.Wrap(result.ConnectFailed, s.dialErr, "server %s cannot be reached", s.Address())
	}
	w := &waiter{queuedAt: now, granted: make(chan grant, 1)}
	w.item = sched.NewItem(caller, u.Fingerprint, deadline, kind, u.Class.MayCommit(), w)
	if u.Deferred {
		w.item.MarkDeferred()
	}
	switch code := s.queue.Submit(w.item, now); code {
	case result.OK:
	case result.QueueFull:
		return nil, result.New(code, "%d units wait for server %s", s.queue.Len(), s.Address())
	case result.Overloaded:
		s.meter.shed.Inc(1)
		return nil, result.New(code, "the expected wait for server %s exceeds the limit of %s", s.Address(),
			s.maxWait)
	default:
		s.meter.shed.Inc(1)
		return nil, result.New(code, "the expected wait for server %s exceeds the time left until the deadline", s.Address())
	}
	s.waiting[w] = struct{}{}
	s.dispatch(now)
	if len(s.idle) == 0 {
		s.maintainConns(now)
	}
	return w, nil
}

// withdraw removes a unit from the queue, and reports whether it was still waiting for a slot.
func (s *Server) withdraw(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.Remove(w.item) {
		return false
	}
	delete(s.waiting, w)
	s.signalDrained()
	return true
}

// freeSlot frees the slot of a unit. complete is false if the unit was interrupted.
func (s *Server) freeSlot(it *sched.Item, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	if complete {
		s.queue.Done(it, now)
	} else {
		s.queue.Abort(it, now)
	}
	s.dispatch(now)
}

// expectedCost returns the expected service time of a fingerprint.
func (s *Server) expectedCost(fingerprint uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, _ := s.queue.Estimate(fingerprint)
	return d
}

// addHeldConns adds n to the number of connections that streams hold between units.
func (s *Server) addHeldConns(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldConns += n
	s.signalDrained()
	if n > 0 {
		s.maintainConns(s.cfg.Now())
	}
}

// addOpenTransactions adds n to the number of open transactions.
func (s *Server) addOpenTransactions(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openTransactions += n
	s.signalDrained()
}

// addLockHolders adds n to the number of open transactions that have written.
func (s *Server) addLockHolders(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lockHolders += n
	s.queue.SetLockHolders(s.lockHolders)
	if n < 0 {
		s.dispatch(s.cfg.Now())
	}
}

// returnConn makes a connection idle, or closes it if it must not be reused.
func (s *Server) returnConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	if c.broken || c.closeAfterUse.Load() || s.closed {
		s.openConns--
		c.close()
		s.maintainConns(now)
		return
	}
	c.idleSince = now
	s.idle = append(s.idle, c)
	s.dispatch(now)
}

// closeIdleConns closes the idle connections after another connection was lost. The server's process has probably
// ended. If a unit were sent on an idle connection before its end is detected, the outcome of the unit would be
// unknown.
func (s *Server) closeIdleConns() {
	s.mu.Lock()
	idle := s.idle
	s.idle = nil
	s.openConns -= len(idle)
	s.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// resetAndReturnConn returns a connection that a caller has used, after resetting its session if a transaction is open
// or session state may be left.
func (s *Server) resetAndReturnConn(c *conn) {
	if c.broken || c.closeAfterUse.Load() || (c.status == work.TxIdle && !c.dirty) {
		s.returnConn(c)
		return
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		s.returnConn(c)
		return
	}
	s.wg.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.wg.Done()
		ctx, cancel := context.WithTimeout(s.ctx, resetTimeout)
		defer cancel()
		c.reset(ctx)
		s.returnConn(c)
	}()
}

// maintainConns opens and closes connections towards the target number. The caller holds mu.
func (s *Server) maintainConns(now time.Time) {
	if s.closed {
		return
	}
	st, asked, ok := s.cfg.Status.Status()
	if ok {
		s.openTimes = slices.DeleteFunc(s.openTimes, func(t time.Time) bool { return t.Before(asked) })
		s.budget.Report(st.Connections, s.pendingConns+len(s.openTimes), asked)
		s.setLeaving(st.Leaving)
	}
	ownConns := s.openConns + s.pendingConns
	want := s.targetConns(now)
	if ownConns > want {
		s.closeSurplusConn(now)
		return
	}
	if now.Before(s.retryAt) {
		return
	}
	if ok && ownConns < want {
		s.refreshStatusIfOld(now, asked)
	}
	room := s.budget.Room(ownConns, now)
	if !ok {
		room = min(room, 1-ownConns) // other owners' connections may have filled the server
	}
	for range min(want-ownConns, room) {
		s.budget.Take(1)
		s.pendingConns++
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.connect()
		}()
	}
}

// targetConns returns the number of connections that should be open.
func (s *Server) targetConns(now time.Time) int {
	if s.lastUnitAt.IsZero() || now.Sub(s.lastUnitAt) > keepReadyDuration {
		return s.heldConns + 1
	}
	return s.heldConns + s.queue.Slots() + spareConnections
}

// closeSurplusConn closes the connection that has been idle longest, at most one per surplusCloseInterval.
func (s *Server) closeSurplusConn(now time.Time) {
	if len(s.idle) == 0 || now.Sub(s.lastSurplusClose) < surplusCloseInterval {
		return
	}
	c := s.idle[0]
	s.idle = slices.Delete(s.idle, 0, 1)
	s.openConns--
	s.lastSurplusClose = now
	c.close()
}

// connect opens one connection and makes it idle.
func (s *Server) connect() {
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.DialTimeout)
	defer cancel()
	c, err := dial(ctx, s.cfg.Service, s.Address(), s.cfg.VM, s.cfg.MaxPrepared)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	s.pendingConns--
	if err != nil {
		s.handleDialFailure(err, now)
		return
	}
	if s.closed {
		c.close()
		return
	}
	if s.dialFailures > 0 {
		s.cfg.Logger.Event(event.EndptUp, zap.String("server", s.Address()))
	}
	s.dialFailures, s.retryAt = 0, time.Time{}
	s.meter.connectionsOpened.Inc(1)
	s.openConns++
	s.openTimes = append(s.openTimes, now)
	c.idleSince = now
	s.idle = append(s.idle, c)
	s.dispatch(now)
}

// handleDialFailure schedules the next attempt, and fails the waiting units that need a connection if none is open or
// pending.
func (s *Server) handleDialFailure(err error, now time.Time) {
	if s.closed {
		return
	}
	var refusal *pgconn.PgError
	full := errors.As(err, &refusal) && refusal.Code == "53300"
	if s.dialFailures == 0 && !full {
		s.cfg.Logger.Event(event.EndptDown, zap.String("server", s.Address()), zap.Error(err))
	}
	s.dialFailures++
	s.dialErr = err
	s.retryAt = now.Add(min(maxBackoff, minBackoff<<min(s.dialFailures-1, 10)))
	if s.openConns > 0 || s.pendingConns > 0 {
		return
	}
	for w := range s.waiting {
		if w.item.Kind() == sched.NeedsConnection && s.queue.Remove(w.item) {
			s.deliverGrant(w, grant{err: result.Wrap(result.ConnectFailed, err, "server %s cannot be reached", s.Address())})
		}
	}
}

func (s *Server) setLeaving(leaving bool) {
	if leaving && !s.leaving {
		s.cfg.Logger.Event(event.EndptLeaving, zap.String("server", s.Address()))
	}
	s.leaving = leaving
}

// status returns the server's status, advanced by the commits that were seen on its connections since. It is called
// for each unit, so that the status of a server in use is refreshed often.
func (s *Server) status() (port.Status, bool) {
	st, asked, ok := s.cfg.Status.Status()
	if ok {
		s.refreshStatusIfOld(s.cfg.Now(), asked)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A former primary that returns as a replica, for example restored from a backup, may have lost its commits.
	if ok && st.Role == port.RolePrimary && st.Term == s.newestCommit.Term() {
		st.Applied = max(st.Applied, s.newestCommit.Position())
	}
	return st, ok
}

func (s *Server) recordNewestCommit(p point.Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestCommit = s.newestCommit.Max(p)
}

// serverInfo returns the state of the server that is sent back with the result of a unit; nil while the status is
// unknown.
func (s *Server) serverInfo() *work.ServerInfo {
	st, ok := s.status()
	if !ok {
		return nil
	}
	s.mu.Lock()
	queue, running := s.queue.Waiting(sched.Short), s.running()
	s.mu.Unlock()
	i := &work.ServerInfo{
		Address: s.Address(), Term: st.Term, Applied: st.Applied, Role: st.Role, Leaving: st.Leaving, Queue: queue,
		Running: running,
	}
	if a, ok := s.cfg.Status.(DataAger); ok {
		i.Age, i.AgeKnown = a.DataAge()
	}
	return i
}

// refreshStatusIfOld asks the source for a new status if the last one was requested more than statusRefreshAge ago.
func (s *Server) refreshStatusIfOld(now, asked time.Time) {
	if a, ok := s.cfg.Status.(StatusRequester); ok && now.Sub(asked) > statusRefreshAge {
		a.RequestStatus()
	}
}

// checkEligible returns an error if the server may not run a new unit.
func (s *Server) checkEligible(u work.Unit) error {
	st, ok := s.status()
	switch {
	case !ok && (u.NeedsPrimary || !u.Required().IsZero()):
		return result.New(result.NoServer, "the status of server %s is not known", s.Address())
	case !ok:
		return nil
	case st.Leaving:
		return result.New(result.ServerLeaving, "server %s is leaving", s.Address())
	case u.NeedsPrimary && (!st.IsServingPrimary() || st.Term < u.Term):
		return result.New(result.NotPrimary, "server %s is %s of term %d and has promised term %d; term %d is required",
			s.Address(), st.Role, st.Term, st.Promised, u.Term)
	case !st.AppliedPoint().Covers(u.Required()):
		return result.New(result.ServerBehind, "server %s has applied %s; %s is required",
			s.Address(), st.AppliedPoint(), u.Required())
	}
	return nil
}

// awaitEligible is checkEligible that waits up to CatchUpTimeout for a server that lags behind the required point.
func (s *Server) awaitEligible(ctx context.Context, u work.Unit) error {
	err := s.checkEligible(u)
	if result.CodeOf(err) != result.ServerBehind {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CatchUpTimeout)
	defer cancel()
	refresher, _ := s.cfg.Status.(Refresher)
	t := time.NewTicker(max(time.Microsecond, s.cfg.CatchUpTimeout/5))
	defer t.Stop()
	for {
		if refresher != nil {
			_ = refresher.Refresh(ctx)
			if err = s.checkEligible(u); result.CodeOf(err) != result.ServerBehind {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return s.checkEligible(u)
		case <-t.C:
		}
		if err = s.checkEligible(u); result.CodeOf(err) != result.ServerBehind {
			return err
		}
	}
}
