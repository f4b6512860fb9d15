package caller

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/work"
	"verbenagate/io/metric"
)

const (
	shards = 64
	// acceptPause keeps a failing Accept, for example without file descriptors, from using a whole core.
	acceptPause = 10 * time.Millisecond
)

// Server accepts callers on a listener.
type Server struct {
	ln       net.Listener
	backend  Backend
	parser   stmt.Parser
	opts     options
	hash     uint16
	mockKey  [32]byte
	serial   atomic.Uint32
	sessions atomic.Int64
	starting atomic.Int64
	draining atomic.Bool
	stop     context.CancelFunc
	wg       sync.WaitGroup
	shards   [shards]shard
	begun    sync.Mutex // guards unnamed, the connections that are not yet sessions
	unnamed  map[*conn]struct{}
	closed   bool
}

// shard holds a part of the sessions.
type shard struct {
	mu       sync.Mutex
	conns    map[uint32]*conn
	services map[string]int // number of sessions
}

// New serves callers on ln until Close. The VM's id goes into the process ids of its sessions.
func New(ln net.Listener, b Backend, p stmt.Parser, vmID string, opts ...Option) *Server {
	s := &Server{
		ln: ln, backend: b, parser: p, opts: defaults(), hash: VMHash(vmID), unnamed: make(map[*conn]struct{}),
	}
	for _, f := range opts {
		f(&s.opts)
	}
	for i := range s.shards {
		s.shards[i].conns, s.shards[i].services = make(map[uint32]*conn), make(map[string]int)
	}
	_, _ = rand.Read(s.mockKey[:])
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.wg.Go(func() { s.accept(ctx) })
	return s
}

// Addr returns the address that callers connect to.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

func (s *Server) accept(ctx context.Context) {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		c := &conn{srv: s, raw: nc, since: time.Now()}
		c.setNet(nc)
		if s.starting.Add(1) > int64(s.opts.maxStarting) {
			s.starting.Add(-1)
			s.refused(result.TooManyCallers)
			_ = nc.Close()
			continue
		}
		if !s.begin(c) {
			s.starting.Add(-1)
			_ = nc.Close()
			return
		}
		s.wg.Go(func() { s.handle(ctx, c) })
	}
}

// refused counts a connection that did not become a session.
func (s *Server) refused(code result.Code) {
	s.opts.metrics.Counter(metric.CallersRefused, code.String()).Inc(1)
}

func (c *conn) setNet(nc net.Conn) {
	c.net = nc
	c.in.src = nc
}

// begin notes a connection that is not yet a session, so that Close reaches it.
func (s *Server) begin(c *conn) bool {
	s.begun.Lock()
	defer s.begun.Unlock()
	if s.closed {
		return false
	}
	s.unnamed[c] = struct{}{}
	return true
}

func (s *Server) begunDone(c *conn) {
	s.begun.Lock()
	defer s.begun.Unlock()
	delete(s.unnamed, c)
}

func (s *Server) handle(ctx context.Context, c *conn) {
	defer func() {
		s.unregister(c)
		if c.session != nil {
			c.session.Close()
		}
		_ = c.raw.Close()
		if c.reserved {
			s.sessions.Add(-1)
		}
	}()
	err := c.start(ctx)
	s.begunDone(c)
	if err != nil {
		// A refused caller that does not close its end keeps its connection for a second, and counts until then: callers
		// that come back at once would otherwise use up the open files.
		c.end(err)
		_ = c.raw.Close()
		s.starting.Add(-1)
		return
	}
	s.starting.Add(-1)
	c.end(c.serve(ctx))
}

func (s *Server) shard(pid uint32) *shard { return &s.shards[pid%shards] }

// reserve counts an authenticated connection as a session.
func (s *Server) reserve(c *conn) error {
	if s.draining.Load() {
		return errDrained
	}
	if n := s.sessions.Add(1); n > int64(s.opts.maxCallers) {
		s.sessions.Add(-1)
		return result.New(result.TooManyCallers, "this VM has %d callers, which is its limit", s.opts.maxCallers)
	}
	c.reserved = true
	return nil
}

// register gives a session a process id that no other session of this VM has, and lets Cancel and Drain find it.
func (s *Server) register(c *conn) {
	_, _ = rand.Read(c.secret[:])
	for {
		pid := processID(s.hash, s.serial.Add(1))
		if pid == 0 {
			continue
		}
		sh := s.shard(pid)
		sh.mu.Lock()
		_, taken := sh.conns[pid]
		if !taken {
			c.pid = pid
			sh.conns[pid] = c
			sh.services[c.svc.Name()]++
		}
		sh.mu.Unlock()
		if !taken {
			return
		}
	}
}

func (s *Server) unregister(c *conn) {
	if c.pid != 0 {
		sh := s.shard(c.pid)
		sh.mu.Lock()
		delete(sh.conns, c.pid)
		if sh.services[c.svc.Name()]--; sh.services[c.svc.Name()] == 0 {
			delete(sh.services, c.svc.Name())
		}
		sh.mu.Unlock()
	}
}

// Cancel cancels the running unit of a session of this VM and reports whether the session exists with this secret.
func (s *Server) Cancel(processID uint32, secret []byte) bool {
	sh := s.shard(processID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	c, ok := sh.conns[processID]
	if !ok || subtle.ConstantTimeCompare(c.secret[:], secret) != 1 {
		return false
	}
	// Under the lock the session can't be closed meanwhile.
	c.session.Cancel()
	return true
}

func (s *Server) cancel(processID uint32, secret []byte) {
	if !s.Cancel(processID, secret) {
		s.backend.CancelForward(processID, secret)
	}
}

// defaultSetting reports whether a setting has this value without being set.
func (s *Server) defaultSetting(name, value string) bool {
	for k, v := range s.opts.params {
		if strings.EqualFold(k, name) {
			return strings.EqualFold(v, strings.Trim(value, "'"))
		}
	}
	return false
}

// Len returns the number of sessions.
func (s *Server) Len() int { return int(s.sessions.Load()) }

// Services returns the number of sessions of each service. It takes the same time for any number of sessions, so that the
// metrics can ask for it each second.
func (s *Server) Services() map[string]int {
	sum := make(map[string]int)
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for name, n := range sh.services {
			sum[name] += n
		}
		sh.mu.Unlock()
	}
	return sum
}

// Sessions describes the sessions in the order of their process ids.
func (s *Server) Sessions() []SessionState {
	var states []SessionState
	for _, c := range s.all() {
		states = append(states, c.state())
	}
	slices.SortFunc(states, func(a, b SessionState) int { return cmp.Compare(a.processID, b.processID) })
	return states
}

func (s *Server) all() []*conn {
	var conns []*conn
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for _, c := range sh.conns {
			conns = append(conns, c)
		}
		sh.mu.Unlock()
	}
	return conns
}

// Drain accepts no more callers, lets running units and open transactions finish, and closes each session at its next
// transaction boundary. It returns when no session is left, or with the sessions that are left when ctx ends; Close
// then ends these.
func (s *Server) Drain(ctx context.Context) []SessionState {
	s.draining.Store(true)
	_ = s.ln.Close()
	for _, c := range s.all() {
		// Wakes the connection's goroutine if it waits for a message.
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
	tick := time.NewTicker(drainGrace)
	defer tick.Stop()
	for s.sessions.Load() > 0 {
		select {
		case <-ctx.Done():
			left := s.Sessions()
			s.opts.log.Event(event.DrainTimeout, zap.Int("sessions", len(left)))
			return left
		case <-tick.C:
		}
	}
	return nil
}

// Close stops accepting callers, closes all connections at once and waits for their goroutines.
func (s *Server) Close() {
	_ = s.ln.Close()
	s.stop()
	s.begun.Lock()
	s.closed = true
	for c := range s.unnamed {
		_ = c.raw.Close()
	}
	s.begun.Unlock()
	for _, c := range s.all() {
		_ = c.raw.Close()
	}
	s.wg.Wait()
}

// SessionState describes a session for the state dump.
type SessionState struct {
	processID uint32
	service   string
	user      string
	remote    string
	since     time.Time
	running   bool
	changed   time.Time
	status    work.TxStatus
	prepared  int
}

// ProcessID returns the process id that the caller was given.
func (s SessionState) ProcessID() uint32 { return s.processID }

// Service returns the service's name.
func (s SessionState) Service() string { return s.service }

// User returns the caller's user name.
func (s SessionState) User() string { return s.user }

// Remote returns the caller's address.
func (s SessionState) Remote() string { return s.remote }

// Since returns when the connection was accepted.
func (s SessionState) Since() time.Time { return s.since }

// Running reports whether a unit is running.
func (s SessionState) Running() bool { return s.running }

// Changed returns when the last unit started or ended.
func (s SessionState) Changed() time.Time { return s.changed }

// Status returns the transaction status after the last unit.
func (s SessionState) Status() work.TxStatus { return s.status }

// Prepared returns the number of prepared statements.
func (s SessionState) Prepared() int { return s.prepared }
