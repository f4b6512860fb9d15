// Package entry serves callers: it accepts their connections, keeps the state of their sessions, and has their statements
// run on servers that give them the data they must see.
package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/layout"
	"verbenagate/core/query"
	"verbenagate/core/result"
	"verbenagate/io/elect"
	"verbenagate/io/logs"
	"verbenagate/io/metric"
	"verbenagate/io/pool"
	"verbenagate/io/watch"
)

const (
	// startLimit is how long a caller may take to open a session after it has connected.
	startLimit = 5 * time.Second
	// startWait is how long a session waits for a configuration that names its database, which another VM may know already.
	startWait = 300 * time.Millisecond
	// cutInterval is how often a VM looks whether it is cut off; its idle sessions end when it is twice in a row.
	cutInterval = 250 * time.Millisecond
)

// Conn is a caller's connection.
type Conn interface {
	// Start reads the opening of the session and returns the database.
	Start() (string, error)
	// Next reads the next request.
	Next() (id string, s query.Statement, err error)
	// Ready says that the session may begin.
	Ready(state query.State) error
	// Done sends a whole answer; signature is empty for an answer of the proxy's own.
	Done(rows []string, signature string, state query.State) error
	// Fail sends an error as the answer of a request.
	Fail(code result.Code, message string, state query.State) error
	// Refuse sends an error instead of a session.
	Refuse(code result.Code, message string) error
	// Pending reports whether bytes of a further request have been read.
	Pending() bool
	// SetReadDeadline bounds Start and Next.
	SetReadDeadline(t time.Time) error
	Close() error
}

// Parts are what the sessions work with.
type Parts struct {
	Wrap    func(net.Conn) Conn
	View    func() *watch.View
	Groups  *pool.Set
	Elector *elect.Elector
	Clock   func() time.Time
	Log     logs.Logger
	Metrics *metric.Set
}

// Server accepts callers.
type Server struct {
	p        Parts
	listener net.Listener
	stopping atomic.Bool

	mu       sync.Mutex
	sessions map[*session]struct{}
	wg       sync.WaitGroup
}

// Listen starts to accept callers at address. It ends with Stop.
func Listen(ctx context.Context, address string, p Parts) (*Server, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, result.Wrap(result.ConnectFailed, err, "listening for callers at %s", address)
	}
	s := &Server{p: p, listener: l, sessions: make(map[*session]struct{})}
	go func() {
		t := time.NewTicker(cutInterval)
		defer t.Stop()
		last := false
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			cut := p.Elector.Cut()
			if cut && last {
				s.moveIdle()
			}
			last = cut
		}
	}()
	go func() {
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				p.Log.Event(event.CallerRefused, zap.Error(err))
				time.Sleep(10 * time.Millisecond)
				continue
			}
			s.wg.Add(1)
			go func() {
				defer s.wg.Done()
				s.serve(p.Wrap(conn))
			}()
		}
	}()
	return s, nil
}

func (s *Server) serve(conn Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(startLimit))
	database, err := conn.Start()
	if err != nil {
		s.p.Log.Event(event.CallerClosed, zap.Error(err))
		return
	}
	if _, ok := s.route(database); !ok {
		s.p.Log.Event(event.CallerRefused, zap.String("database", database),
			zap.Uint64("config", s.p.View().Config().Version()))
		_ = conn.Refuse(result.UnknownService, "no database "+database)
		return
	}
	if err := conn.Ready(query.Idle); err != nil {
		return
	}
	ss := newSession(s, conn, database)
	s.mu.Lock()
	s.sessions[ss] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, ss)
		s.mu.Unlock()
		ss.drop()
	}()
	ss.run()
}

// route returns the route of a database. One that is not known yet may be in a configuration that is on its way.
func (s *Server) route(database string) (layout.Route, bool) {
	end := time.Now().Add(startWait)
	for {
		if r, ok := s.p.View().Config().Route(database); ok {
			return r, true
		}
		if time.Now().After(end) {
			return layout.Route{}, false
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Stop ends the sessions: idle ones after linger, those with an open transaction when it has ended or after transactions. It
// returns when all have ended or at limit, with the number of sessions that were cut off.
func (s *Server) Stop(linger, transactions, limit time.Duration) int {
	begin := time.Now()
	time.Sleep(linger)
	s.stopping.Store(true)
	for time.Since(begin) < limit {
		s.endIdle(time.Since(begin) > transactions)
		if s.Sessions() == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	_ = s.listener.Close()
	return s.Sessions()
}

// moveIdle ends the sessions that wait for a request, so that their callers reach a VM that can serve them.
func (s *Server) moveIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		if ss.phase.Load() == waitingIdle && ss.moving.CompareAndSwap(false, true) {
			_ = ss.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// endIdle ends the sessions that wait for a request; with transactions, also those inside one.
func (s *Server) endIdle(transactions bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		if ss.resting(transactions) {
			_ = ss.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}
