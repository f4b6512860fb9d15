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

	"verbenagate/core/drain"
	"verbenagate/core/event"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/work"
	"verbenagate/io/metric"
)

const (
	shardCount = 64
	// acceptRetryDelay keeps repeated failures of Accept, for example for lack of file descriptors, from using a whole
	// core.
	acceptRetryDelay = 10 * time.Millisecond
)

// Server accepts callers on a listener.
type Server struct {
	ln            net.Listener
	backend       Backend
	parser        stmt.Parser
	opts          options
	vmHash        uint16
	mockKey       [32]byte
	lastSerial    atomic.Uint32
	sessions      atomic.Int64
	starting      atomic.Int64
	draining      atomic.Bool
	plan          atomic.Pointer[drain.Plan] // nil unless Drain has a time limit
	stop          context.CancelFunc
	wg            sync.WaitGroup
	shards        [shardCount]shard
	startingMu    sync.Mutex         // guards startingConns and closed
	startingConns map[*conn]struct{} // the connections that are not yet sessions
	closed        bool
}

// shard holds the sessions whose process ids fall into it.
type shard struct {
	mu            sync.Mutex
	conns         map[uint32]*conn // by process id
	sessionCounts map[string]int   // by service name
}

// New starts a Server that serves callers on ln until Close. The process ids of its sessions contain a hash of the VM's
// id.
func New(ln net.Listener, b Backend, p stmt.Parser, vmID string, opts ...Option) *Server {
	s := &Server{
		ln: ln, backend: b, parser: p, opts: defaultOptions(), vmHash: VMHash(vmID), startingConns: make(map[*conn]struct{}),
	}
	for _, f := range opts {
		f(&s.opts)
	}
	for i := range s.shards {
		s.shards[i].conns, s.shards[i].sessionCounts = make(map[uint32]*conn), make(map[string]int)
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &conn{srv: s, raw: nc, acceptedAt: time.Now()}
		c.setNet(nc)
		if s.starting.Add(1) > int64(s.opts.maxStarting) {
			s.starting.Add(-1)
			s.countRefused(result.TooManyCallers)
			_ = nc.Close()
			continue
		}
		if !s.addStarting(c) {
			s.starting.Add(-1)
			_ = nc.Close()
			return
		}
		s.wg.Go(func() { s.serveConn(ctx, c) })
	}
}

// countRefused counts a connection that did not become a session.
func (s *Server) countRefused(code result.Code) {
	s.opts.metrics.Counter(metric.CallersRefused, code.String()).Inc(1)
}

func (c *conn) setNet(nc net.Conn) {
	c.net = nc
	c.in.src = nc
}

// addStarting records a connection that is not yet a session, so that Close can close it. It returns false after Close.
func (s *Server) addStarting(c *conn) bool {
	s.startingMu.Lock()
	defer s.startingMu.Unlock()
	if s.closed {
		return false
	}
	s.startingConns[c] = struct{}{}
	return true
}

func (s *Server) removeStarting(c *conn) {
	s.startingMu.Lock()
	defer s.startingMu.Unlock()
	delete(s.startingConns, c)
}

func (s *Server) serveConn(ctx context.Context, c *conn) {
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
	err := c.startSession(ctx)
	s.removeStarting(c)
	if err != nil {
		// reportEnd waits up to a second for a refused caller to close its end. The connection counts as starting until
		// then: callers that reconnect at once would otherwise use up the file descriptors.
		c.reportEnd(err)
		_ = c.raw.Close()
		s.starting.Add(-1)
		return
	}
	s.starting.Add(-1)
	c.reportEnd(c.serve(ctx))
}

func (s *Server) shard(pid uint32) *shard { return &s.shards[pid%shardCount] }

// reserve counts an authenticated connection as a session, or returns an error if the limit is reached.
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

// register gives a session a process id that is unique on this VM, and adds it to its shard for Cancel and Drain.
func (s *Server) register(c *conn) {
	_, _ = rand.Read(c.secret[:])
	for {
		pid := processID(s.vmHash, s.lastSerial.Add(1))
		if pid == 0 {
			continue
		}
		sh := s.shard(pid)
		sh.mu.Lock()
		_, taken := sh.conns[pid]
		if !taken {
			c.pid = pid
			sh.conns[pid] = c
			sh.sessionCounts[c.svc.Name()]++
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
		if sh.sessionCounts[c.svc.Name()]--; sh.sessionCounts[c.svc.Name()] == 0 {
			delete(sh.sessionCounts, c.svc.Name())
		}
		sh.mu.Unlock()
	}
}

// Cancel cancels the running unit of a session of this VM. It reports whether a session with this process id and secret
// exists.
func (s *Server) Cancel(processID uint32, secret []byte) bool {
	sh := s.shard(processID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	c, ok := sh.conns[processID]
	if !ok || subtle.ConstantTimeCompare(c.secret[:], secret) != 1 {
		return false
	}
	// The session can't be closed meanwhile, because that requires the lock.
	c.session.Cancel()
	return true
}

func (s *Server) cancelOrForward(processID uint32, secret []byte) {
	if !s.Cancel(processID, secret) {
		s.backend.ForwardCancel(processID, secret)
	}
}

// isDefaultSetting reports whether the value is the servers' default for the setting.
func (s *Server) isDefaultSetting(name, value string) bool {
	for k, v := range s.opts.params {
		if strings.EqualFold(k, name) {
			return strings.EqualFold(v, strings.Trim(value, "'"))
		}
	}
	return false
}

// Len returns the number of sessions.
func (s *Server) Len() int { return int(s.sessions.Load()) }

// SessionCounts returns the number of sessions of each service. Its cost doesn't depend on the number of sessions, so
// that the metrics can call it every second.
func (s *Server) SessionCounts() map[string]int {
	sum := make(map[string]int)
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for name, n := range sh.sessionCounts {
			sum[name] += n
		}
		sh.mu.Unlock()
	}
	return sum
}

// Sessions returns the state of each session, ordered by process id.
func (s *Server) Sessions() []SessionState {
	var states []SessionState
	for _, c := range s.conns() {
		states = append(states, c.state())
	}
	slices.SortFunc(states, func(a, b SessionState) int { return cmp.Compare(a.processID, b.processID) })
	return states
}

func (s *Server) conns() []*conn {
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

// Drain stops accepting callers, lets running units and open transactions finish, and closes each session at its next
// transaction boundary. It returns nil when no session is left. If ctx ends first, it returns the remaining sessions,
// which Close then ends. When half of the time until the deadline of ctx has passed, open transactions accept only their
// commit or rollback, so that no unit is cut off at the deadline.
func (s *Server) Drain(ctx context.Context) []SessionState {
	if deadline, ok := ctx.Deadline(); ok {
		now := time.Now()
		plan := drain.NewPlan(now, deadline.Sub(now))
		s.plan.Store(&plan)
	}
	s.draining.Store(true)
	_ = s.ln.Close()
	for _, c := range s.conns() {
		// A deadline in the past wakes the connection's goroutine if it waits for a message.
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
	ticker := time.NewTicker(drainGrace)
	defer ticker.Stop()
	for s.sessions.Load() > 0 {
		select {
		case <-ctx.Done():
			left := s.Sessions()
			s.opts.log.Event(event.DrainTimeout, zap.Int("sessions", len(left)))
			return left
		case <-ticker.C:
		}
	}
	return nil
}

// Close stops accepting callers, closes all connections at once and waits for their goroutines.
func (s *Server) Close() {
	_ = s.ln.Close()
	s.stop()
	s.startingMu.Lock()
	s.closed = true
	for c := range s.startingConns {
		_ = c.raw.Close()
	}
	s.startingMu.Unlock()
	for _, c := range s.conns() {
		_ = c.raw.Close()
	}
	s.wg.Wait()
}

// SessionState is the state of a session for the state dump.
type SessionState struct {
	processID        uint32
	service          string
	user             string
	remote           string
	acceptedAt       time.Time
	running          bool
	runningChangedAt time.Time
	txStatus         work.TxStatus
	preparedCount    int
}

// ProcessID returns the process id that the caller received in BackendKeyData.
func (s SessionState) ProcessID() uint32 { return s.processID }

// Service returns the service's name.
func (s SessionState) Service() string { return s.service }

// User returns the caller's user name.
func (s SessionState) User() string { return s.user }

// RemoteAddr returns the caller's address.
func (s SessionState) RemoteAddr() string { return s.remote }

// AcceptedAt returns the time at which the connection was accepted.
func (s SessionState) AcceptedAt() time.Time { return s.acceptedAt }

// Running reports whether a unit is running.
func (s SessionState) Running() bool { return s.running }

// RunningChangedAt returns the time at which the last unit started or ended.
func (s SessionState) RunningChangedAt() time.Time { return s.runningChangedAt }

// TxStatus returns the transaction status after the last unit.
func (s SessionState) TxStatus() work.TxStatus { return s.txStatus }

// PreparedCount returns the number of prepared statements.
func (s SessionState) PreparedCount() int { return s.preparedCount }
