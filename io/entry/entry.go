// Package entry serves callers. It accepts their connections, keeps the state of their sessions, and runs their statements on
// servers whose data is recent enough for the session.
package entry

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/drain"
	"verbenagate/core/event"
	"verbenagate/core/layout"
	"verbenagate/core/port"
	"verbenagate/core/query"
	"verbenagate/core/result"
	"verbenagate/io/bounds"
	"verbenagate/io/elect"
	"verbenagate/io/every"
	"verbenagate/io/logs"
	"verbenagate/io/metric"
	"verbenagate/io/pool"
	"verbenagate/io/watch"
)

const (
	// sessionStartTimeout bounds the time from a caller's connection to its request to start a session.
	sessionStartTimeout = 5 * time.Second
	// routeLookupTimeout is how long a new session waits for a configuration that contains its database. Another VM may have
	// received that configuration already.
	routeLookupTimeout = 300 * time.Millisecond
	// firstConfigTimeout is how long a new session waits for the first configuration after the VM has started.
	firstConfigTimeout = 1800 * time.Millisecond
	// maxKeyBytes bounds the keys that callers may present.
	maxKeyBytes = 256
	// isolationCheckInterval is how often a VM checks whether it is cut off. It closes its idle sessions after two positive
	// checks in a row.
	isolationCheckInterval = 250 * time.Millisecond
	// drainCheckInterval is how often a stopping VM looks for idle sessions.
	drainCheckInterval = 20 * time.Millisecond
)

// Conn is the proxy's side of a caller's connection.
type Conn interface {
	// ReadStart reads the request to start a session and returns the name of its database and the key that the caller presents.
	ReadStart() (database, key string, err error)
	// ReadRequest reads the next request and returns its id and its statement.
	ReadRequest() (id string, s query.Statement, err error)
	// SendReady tells the caller that the session has started.
	SendReady(state query.State) error
	// SendAnswer sends the complete answer to a request. The signature is empty if the proxy, not a server, produced the answer.
	SendAnswer(rows []string, signature string, state query.State) error
	// SendError answers a request with an error.
	SendError(code result.Code, message string, state query.State) error
	// Refuse answers the request to start a session with an error.
	Refuse(code result.Code, message string) error
	// HasBufferedInput reports whether bytes of the next request have been read already.
	HasBufferedInput() bool
	// SetReadDeadline sets the deadline of ReadStart and ReadRequest. The zero time means no deadline.
	SetReadDeadline(t time.Time) error
	// SetMemory sets what counts the bytes of requests.
	SetMemory(m port.Memory)
	Close() error
}

// Dependencies holds what a Server and its sessions depend on.
type Dependencies struct {
	Wrap    func(net.Conn) Conn
	View    func() *watch.View
	Groups  *pool.Set
	Elector *elect.Elector
	Clock   func() time.Time
	Log     logs.Logger
	Metrics *metric.Set
	// Quota limits the operations of workspaces. There is no limit if it is nil.
	Quota  Quota
	Bounds Bounds
}

// Quota limits the operations of workspaces over all VMs.
type Quota interface {
	// Admit counts an operation of a workspace that begins at now. It returns an error with code result.OverQuota if the operation would
	// exceed the limit of the workspace, no later than deadline.
	Admit(w layout.Workspace, now, deadline time.Time) error
}

// Server accepts callers' connections and runs their sessions.
type Server struct {
	deps     Dependencies
	listener net.Listener
	stop     atomic.Pointer[drain.Plan] // nil unless the server is stopping
	callers  callers

	mu         sync.Mutex
	sessions   map[*session]struct{}
	background sync.WaitGroup
}

// Listen starts to accept callers at address and returns the running Server. Stop ends it.
func Listen(ctx context.Context, address string, deps Dependencies) (*Server, error) {
	if deps.Bounds.Account == nil {
		deps.Bounds.Account = bounds.NewAccount(0)
	}
	l, err := (&net.ListenConfig{Control: deps.Bounds.control()}).Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, result.Wrap(result.ConnectFailed, err, "listening for callers at %s", address)
	}
	s := &Server{deps: deps, listener: l, sessions: make(map[*session]struct{})}
	s.callers.open = make(map[*boundedConn]struct{})
	s.background.Go(func() {
		every.Interval(ctx, overdueCheckInterval, func() { deps.Bounds.Account.CloseOverdue(time.Now()) })
	})
	s.background.Go(func() {
		wasIsolated := false
		every.Interval(ctx, isolationCheckInterval, func() {
			isolated := deps.Elector.Isolated()
			if isolated && wasIsolated {
				s.closeIdleOnIsolation()
			}
			wasIsolated = isolated
		})
	})
	s.background.Go(func() {
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				deps.Log.Event(event.CallerRefused, zap.Error(err))
				time.Sleep(10 * time.Millisecond)
				continue
			}
			if c, ok := s.admit(conn); ok {
				s.background.Go(func() {
					defer s.leave(c)
					s.serve(c)
				})
			}
		}
	})
	return s, nil
}

func (s *Server) serve(conn Conn) {
	defer logs.RecoverPanic(s.deps.Log, "session of a caller")
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(sessionStartTimeout))
	database, key, err := conn.ReadStart()
	if err != nil {
		s.deps.Log.Event(event.CallerClosed, zap.Error(err))
		return
	}
	if len(key) > maxKeyBytes {
		key = "" // No workspace has such a key, and the session would keep it.
	}
	if err := s.waitForAdmission(database, key); err != nil {
		version := s.deps.View().Config().Version()
		s.deps.Log.Event(event.CallerRefused, zap.String("database", clip(database)), zap.Uint64("config", version), zap.Error(err))
		if version != 0 {
			_ = conn.Refuse(result.CodeOf(err), result.Message(err))
		}
		return // Before the first configuration, the caller may well be admitted. Without an answer, it tries another VM.
	}
	if err := conn.SendReady(query.Idle); err != nil {
		return
	}
	ss := newSession(s, conn, database, key)
	if c, ok := conn.(*boundedConn); ok {
		c.session.Store(ss)
	}
	s.mu.Lock()
	s.sessions[ss] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, ss)
		s.mu.Unlock()
		ss.closeSession()
	}()
	ss.run()
}

// waitForAdmission returns nil once the configuration admits a caller with this key to a database. It waits up to routeLookupTimeout for
// a configuration that does, and up to firstConfigTimeout for the first one.
func (s *Server) waitForAdmission(database, key string) error {
	start := time.Now()
	for {
		config := s.deps.View().Config()
		_, _, err := admitCaller(config, database, key)
		if err == nil {
			return nil
		}
		timeout := routeLookupTimeout
		if config.Version() == 0 {
			timeout = firstConfigTimeout
		}
		if time.Since(start) > timeout {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// admitCaller returns the route of a database and the workspace of the caller, or why the configuration does not admit a caller with this
// key.
func admitCaller(config layout.Config, database, key string) (layout.Route, layout.Workspace, error) {
	r, ok := config.Route(database)
	if !ok {
		return layout.Route{}, layout.Workspace{}, result.New(result.UnknownService, "unknown database %s", clip(database))
	}
	w, ok := config.Admit(r, key)
	if !ok {
		return layout.Route{}, layout.Workspace{}, result.New(result.AuthFailed, "the key of the caller is not valid")
	}
	return r, w, nil
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// notStopping is the plan of a server that is not being stopped.
var notStopping drain.Plan

// plan returns the plan of the stop.
func (s *Server) plan() *drain.Plan {
	if p := s.stop.Load(); p != nil {
		return p
	}
	return &notStopping
}

// Stop shuts the server down gracefully. It accepts connections until it returns. A session is closed according to the plan: while it
// waits for a request outside of a transaction, when its transaction has ended, or when its caller does not end the transaction. Stop
// returns when no session is open or when the plan closes those that are left, with their number.
func (s *Server) Stop(p drain.Plan) int {
	s.stop.Store(&p)
	time.Sleep(p.IdleUntil().Sub(s.deps.Clock()))
	for now := s.deps.Clock(); now.Before(p.CloseAt()); now = s.deps.Clock() {
		s.drainIdle(p, now)
		if s.Sessions() == 0 {
			break
		}
		time.Sleep(drainCheckInterval)
	}
	_ = s.listener.Close()
	return s.Sessions()
}

// Close closes the connections of the sessions that are still open, and tells their callers that the outcome of a request that still
// runs is unknown, as far as they read that within timeout. Call it after Stop.
func (s *Server) Close(timeout time.Duration) {
	s.mu.Lock()
	open := slices.Collect(maps.Keys(s.sessions))
	s.mu.Unlock()
	var answers sync.WaitGroup
	for _, ss := range open {
		if ss.claimAnswer() {
			s.deps.Log.Event(event.StatementCut, zap.String("database", ss.database))
			answers.Go(func() {
				_ = ss.conn.SendError(result.ConnectionLost, "this VM has stopped, and the outcome of the request is unknown", query.Idle)
			})
		}
	}
	answered := make(chan struct{})
	go func() {
		answers.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(timeout):
	}
	for _, ss := range open {
		_ = ss.conn.Close()
	}
}

// Wait waits until no goroutine of the server runs. Call it after Close, when the context passed to Listen has ended.
func (s *Server) Wait() { s.background.Wait() }

// closeIdleOnIsolation closes the idle sessions, so that their callers connect to a VM that can serve them.
func (s *Server) closeIdleOnIsolation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		if ss.phase.Load() == phaseIdle && ss.closingOnIsolation.CompareAndSwap(false, true) {
			_ = ss.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// drainIdle closes the idle sessions. Once transactions have had their time, it also bounds how long sessions in a transaction wait for
// the next request.
func (s *Server) drainIdle(p drain.Plan, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		switch ss.phase.Load() {
		case phaseIdle:
			_ = ss.conn.SetReadDeadline(time.Unix(1, 0))
		case phaseIdleInTransaction:
			if p.EndsTransactions(now) && ss.lastRequest.CompareAndSwap(false, true) {
				_ = ss.conn.SetReadDeadline(time.Now().Add(p.RequestWait(now)))
			}
		}
	}
}
