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
	// tick is the interval at which running work is reclassified and waiting work is shed.
	tick = 10 * time.Millisecond
	// quietTick replaces tick while nothing runs or waits.
	quietTick = 100 * time.Millisecond
	// demandMemory is how long connections are kept ready after the last unit.
	demandMemory = 30 * time.Second
	// surplusInterval is the time between the closings of two connections that are no longer needed.
	surplusInterval = time.Second
	// spare is the number of connections kept open beyond those that can run or are held, since opening one takes 12 ms.
	spare = 1
	// minBackoff and maxBackoff bound the pause after a failed opening of a connection.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// freshStatus is the age from which a server in use is asked for its status. Sources ask a server at rest less often,
	// but callers' reads are routed by the status, and connections are opened only within 300 ms of a report.
	freshStatus = 100 * time.Millisecond
	// resetTimeout bounds the reset of a session before its connection is reused.
	resetTimeout = 2 * time.Second
)

// Server runs units of work on one database server. It is safe for concurrent use.
type Server struct {
	cfg   Config
	meter meter

	mu          sync.Mutex
	queue       *sched.Queue
	maxWait     time.Duration
	budget      *limit.Budget
	waiting     map[*waiter]struct{}
	idle        []*conn // the one used last at the end
	open        int     // connections established, also those in use
	pending     int     // connections being opened
	held        int     // connections that streams hold between units
	units       int     // units from the grant of their slot to the end of their answer
	writing     int     // those of them that may commit
	lockHolders int     // open transactions that have written
	// transactions counts the open ones between their units.
	transactions int
	opened       []time.Time
	lastUse      time.Time
	lastClose    time.Time
	fails        int
	retryAt      time.Time
	failure      error
	leaving      bool
	committed    point.Point
	commits      commit.Tracker
	recorded     chan struct{} // closed with the next commit or end of a writing unit; nil if nobody waits
	draining     bool
	closed       bool
	quiet        []chan struct{}

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// waiter is a unit in the queue.
type waiter struct {
	item  *sched.Item
	since time.Time
	ch    chan grant
}

// grant ends the wait of a unit: it holds a slot, or err says why it does not run.
type grant struct {
	conn *conn
	err  error
}

// New returns a Server that opens its first connection at once. Close ends it.
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
		s.watch()
	}()
	if cfg.Once != nil {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.expire()
		}()
	}
	return s
}

// SetMaxWait sets the expected wait from which new short work is refused.
func (s *Server) SetMaxWait(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxWait = d
	s.queue.SetMaxWait(d)
}

// Address returns the server's host and port.
func (s *Server) Address() string { return s.cfg.Server.Address() }

// Open returns a stream of a caller on this server.
func (s *Server) Open(caller string) work.Stream {
	ctx, cancel := context.WithCancel(s.ctx)
	return &stream{s: s, caller: caller, ctx: ctx, stop: cancel}
}

// Drain stops taking new units, which end as NotOwner, and waits until open transactions and running units have ended.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	done := make(chan struct{})
	s.quiet = append(s.quiet, done)
	s.signalQuiet()
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
			s.settle(w, grant{err: s.notOwner()})
		}
	}
	idle := s.idle
	s.idle = nil
	s.open -= len(idle)
	s.mu.Unlock()
	s.stop()
	for _, c := range idle {
		c.close()
	}
	s.wg.Wait()
}

func (s *Server) notOwner() error {
	return result.New(result.NotOwner, "this VM gives up server %s", s.Address())
}

// watch does what is due with time alone.
func (s *Server) watch() {
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
		s.maintain(now)
		busy := len(s.waiting) > 0 || s.running() > 0
		s.mu.Unlock()
		if busy {
			t.Reset(tick)
		} else {
			t.Reset(quietTick)
		}
	}
}

func (s *Server) running() int {
	short, long := s.queue.Active()
	return short + long
}

// dispatch starts what may run and sheds what cannot. The caller holds mu.
func (s *Server) dispatch(now time.Time) {
	start, shed := s.queue.Next(now, len(s.idle))
	for _, it := range shed {
		s.meter.shed.Inc(1)
		err := result.New(result.DeadlineTooClose, "the deadline passed in the queue of server %s", s.Address())
		s.settle(it.Value().(*waiter), grant{err: err})
	}
	for _, it := range start {
		w := it.Value().(*waiter)
		s.meter.started(it.Class(), now.Sub(w.since))
		if it.Kind() != sched.NeedsConnection {
			s.settle(w, grant{})
			continue
		}
		last := len(s.idle) - 1
		c := s.idle[last]
		s.idle[last] = nil
		s.idle = s.idle[:last]
		s.settle(w, grant{conn: c})
	}
	s.signalQuiet()
}

func (s *Server) settle(w *waiter, g grant) {
	delete(s.waiting, w)
	w.ch <- g
}

// signalQuiet wakes Drain when nothing is left. The caller holds mu.
func (s *Server) signalQuiet() {
	if !s.draining || !s.quiescent() {
		return
	}
	for _, ch := range s.quiet {
		close(ch)
	}
	s.quiet = nil
}

// submit queues a unit. The returned waiter's channel gets exactly one grant.
func (s *Server) submit(caller string, u work.Unit, deadline time.Time, kind sched.Kind, inTx bool) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	s.lastUse = now
	if s.closed || (s.draining && !inTx) {
		return nil, s.notOwner()
	}
	if kind == sched.NeedsConnection && s.open == 0 && s.pending == 0 && now.Before(s.retryAt) {
		return nil, result.Wrap(result.ConnectFailed, s.failure, "server %s cannot be reached", s.Address())
	}
	w := &waiter{since: now, ch: make(chan grant, 1)}
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
		return nil, result.New(code, "the expected wait for server %s exceeds the longest wait of %s", s.Address(),
			s.maxWait)
	default:
		s.meter.shed.Inc(1)
		return nil, result.New(code, "the expected wait for server %s exceeds the time left", s.Address())
	}
	s.waiting[w] = struct{}{}
	s.dispatch(now)
	if len(s.idle) == 0 {
		s.maintain(now)
	}
	return w, nil
}

// withdraw ends the wait of a unit, and reports whether the unit had no slot yet.
func (s *Server) withdraw(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.Remove(w.item) {
		return false
	}
	delete(s.waiting, w)
	s.signalQuiet()
	return true
}

// free gives back the slot of a unit.
func (s *Server) free(it *sched.Item, complete bool) {
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

// cost returns the expected service time of a fingerprint.
func (s *Server) cost(fingerprint uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, _ := s.queue.Estimate(fingerprint)
	return d
}

// hold counts connections that streams hold between units.
func (s *Server) hold(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held += n
	s.signalQuiet()
	if n > 0 {
		s.maintain(s.cfg.Now())
	}
}

// transact counts open transactions.
func (s *Server) transact(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transactions += n
	s.signalQuiet()
}

// lock counts open transactions that have written.
func (s *Server) lock(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lockHolders += n
	s.queue.SetLockHolders(s.lockHolders)
	if n < 0 {
		s.dispatch(s.cfg.Now())
	}
}

// put takes back a connection.
func (s *Server) put(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	if c.broken || c.expired.Load() || s.closed {
		s.open--
		c.close()
		s.maintain(now)
		return
	}
	c.idleSince = now
	s.idle = append(s.idle, c)
	s.dispatch(now)
}

// dropIdle closes the idle connections after another one was lost. The server's process has probably ended, and a unit
// that is sent on one of them before its end is noticed would end as unknown.
func (s *Server) dropIdle() {
	s.mu.Lock()
	idle := s.idle
	s.idle = nil
	s.open -= len(idle)
	s.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// restore resets the session of a connection that a caller has used for more than a single unit, and takes it back.
func (s *Server) restore(c *conn) {
	if c.broken || c.expired.Load() || (c.status == work.TxIdle && !c.soiled) {
		s.put(c)
		return
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		s.put(c)
		return
	}
	s.wg.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.wg.Done()
		ctx, cancel := context.WithTimeout(s.ctx, resetTimeout)
		defer cancel()
		c.reset(ctx)
		s.put(c)
	}()
}

// maintain opens and closes connections. The caller holds mu.
func (s *Server) maintain(now time.Time) {
	if s.closed {
		return
	}
	st, asked, ok := s.cfg.Status.Status()
	if ok {
		s.opened = slices.DeleteFunc(s.opened, func(t time.Time) bool { return t.Before(asked) })
		s.budget.Report(st.Connections, s.pending+len(s.opened), asked)
		s.noteLeaving(st.Leaving)
	}
	own := s.open + s.pending
	want := s.target(now)
	if own > want {
		s.closeSurplus(now)
		return
	}
	if now.Before(s.retryAt) {
		return
	}
	if ok && own < want {
		s.askIfOld(now, asked)
	}
	room := s.budget.Room(own, now)
	if !ok {
		room = min(room, 1-own) // the server may be full of another owner's connections
	}
	for range min(want-own, room) {
		s.budget.Take(1)
		s.pending++
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.connect()
		}()
	}
}

// target is the number of connections that should be open.
func (s *Server) target(now time.Time) int {
	if s.lastUse.IsZero() || now.Sub(s.lastUse) > demandMemory {
		return s.held + 1
	}
	return s.held + s.queue.Slots() + spare
}

// closeSurplus closes the connection that has been idle for longest, one at a time.
func (s *Server) closeSurplus(now time.Time) {
	if len(s.idle) == 0 || now.Sub(s.lastClose) < surplusInterval {
		return
	}
	c := s.idle[0]
	s.idle = slices.Delete(s.idle, 0, 1)
	s.open--
	s.lastClose = now
	c.close()
}

// connect opens one connection.
func (s *Server) connect() {
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.DialTimeout)
	defer cancel()
	c, err := dial(ctx, s.cfg.Service, s.Address(), s.cfg.VM, s.cfg.MaxPrepared)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	s.pending--
	if err != nil {
		s.connectFailed(err, now)
		return
	}
	if s.closed {
		c.close()
		return
	}
	if s.fails > 0 {
		s.cfg.Logger.Event(event.EndptUp, zap.String("server", s.Address()))
	}
	s.fails, s.retryAt = 0, time.Time{}
	s.meter.opened.Inc(1)
	s.open++
	s.opened = append(s.opened, now)
	c.idleSince = now
	s.idle = append(s.idle, c)
	s.dispatch(now)
}

// connectFailed ends the waiting units if no connection is left that could run them.
func (s *Server) connectFailed(err error, now time.Time) {
	if s.closed {
		return
	}
	var refusal *pgconn.PgError
	full := errors.As(err, &refusal) && refusal.Code == "53300"
	if s.fails == 0 && !full {
		s.cfg.Logger.Event(event.EndptDown, zap.String("server", s.Address()), zap.Error(err))
	}
	s.fails++
	s.failure = err
	s.retryAt = now.Add(min(maxBackoff, minBackoff<<min(s.fails-1, 10)))
	if s.open > 0 || s.pending > 0 {
		return
	}
	for w := range s.waiting {
		if w.item.Kind() == sched.NeedsConnection && s.queue.Remove(w.item) {
			s.settle(w, grant{err: result.Wrap(result.ConnectFailed, err, "server %s cannot be reached", s.Address())})
		}
	}
}

func (s *Server) noteLeaving(leaving bool) {
	if leaving && !s.leaving {
		s.cfg.Logger.Event(event.EndptLeaving, zap.String("server", s.Address()))
	}
	s.leaving = leaving
}

// status returns the server's status, with the commits that were seen on its connections since. It is called for each
// unit, so that a server in use is asked often.
func (s *Server) status() (port.Status, bool) {
	st, asked, ok := s.cfg.Status.Status()
	if ok {
		s.askIfOld(s.cfg.Now(), asked)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A primary that comes back as a replica, as after a restore from a backup, may have lost what it committed.
	if ok && st.Role == port.RolePrimary && st.Term == s.committed.Term() {
		st.Applied = max(st.Applied, s.committed.Position())
	}
	return st, ok
}

func (s *Server) noteCommit(p point.Point) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.committed = s.committed.Max(p)
}

// info describes the server for the sender of a unit.
func (s *Server) info() *work.ServerInfo {
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
	if a, ok := s.cfg.Status.(Ager); ok {
		i.Age, i.AgeKnown = a.Age()
	}
	return i
}

// askIfOld has the server asked for its status if the last one was asked for too long ago.
func (s *Server) askIfOld(now, asked time.Time) {
	if a, ok := s.cfg.Status.(Asker); ok && now.Sub(asked) > freshStatus {
		a.Ask()
	}
}

// check returns an error if the server is not fit to run a new unit.
func (s *Server) check(u work.Unit) error {
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

// await is check with a short wait for a server that is just behind.
func (s *Server) await(ctx context.Context, u work.Unit) error {
	err := s.check(u)
	if result.CodeOf(err) != result.ServerBehind {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.BehindWait)
	defer cancel()
	refresher, _ := s.cfg.Status.(Refresher)
	t := time.NewTicker(max(time.Microsecond, s.cfg.BehindWait/5))
	defer t.Stop()
	for {
		if refresher != nil {
			_ = refresher.Refresh(ctx)
			if err = s.check(u); result.CodeOf(err) != result.ServerBehind {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return s.check(u)
		case <-t.C:
		}
		if err = s.check(u); result.CodeOf(err) != result.ServerBehind {
			return err
		}
	}
}
