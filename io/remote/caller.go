// Package remote runs statements on servers through the VMs that own the servers.
//
// Where there are many VMs for each slot of a server, connections and slots cannot be shared out in equal parts: each VM would
// get less than one. Instead one VM, the owner, holds the connections to a server and the queue for its slots, and the other VMs
// forward their statements to it. The forwarding VM still decides where a statement runs, whether it may be sent again and what
// its caller is told. A VM that reaches no owner uses connections of its own.
package remote

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/exec"
	"verbenagate/core/lead"
	"verbenagate/core/point"
	"verbenagate/core/query"
	"verbenagate/core/result"
	"verbenagate/io/link"
	"verbenagate/io/logs"
	"verbenagate/io/pool"
)

const (
	// failedOwnerPause is how long an owner gets no statements after it did not answer.
	failedOwnerPause = time.Second
	// stoppingOwnerPause is how long an owner gets no statements after it has said that it is stopping. The list of VMs no longer
	// contains it after that.
	stoppingOwnerPause = 10 * time.Second
)

// Caller forwards statements to owners. It implements pool.Forwarder and is safe for concurrent use.
type Caller struct {
	ctx         context.Context
	clients     *link.Clients
	clock       func() time.Time
	log         logs.Logger
	paths       Paths
	lastSession atomic.Uint64

	mu          sync.Mutex
	pausedUntil map[string]time.Time // by VM
}

// Paths learns from the calls of other VMs which data centres can be reached.
type Paths interface {
	// RecordAnswer records that a VM answered a call.
	RecordAnswer(vm lead.Member)
	// RecordFailure records that a VM did not answer a call sent at sent.
	RecordFailure(vm lead.Member, sent time.Time)
}

// NewCaller returns a Caller that uses the connections of clients.
func NewCaller(ctx context.Context, clients *link.Clients, paths Paths, clock func() time.Time, log logs.Logger) *Caller {
	return &Caller{ctx: ctx, clients: clients, paths: paths, clock: clock, log: log, pausedUntil: make(map[string]time.Time)}
}

// Forward implements pool.Forwarder.
func (c *Caller) Forward(owner lead.Member, group *pool.Group, server string, request pool.AcquireRequest) (pool.Session, bool) {
	c.mu.Lock()
	until, paused := c.pausedUntil[owner.Name()]
	c.mu.Unlock()
	if paused && c.clock().Before(until) {
		return nil, false
	}
	return &session{caller: c, owner: owner, group: group, server: server, request: request, acquiredAt: c.clock()}, true
}

// pause stops forwarding to an owner for a while.
func (c *Caller) pause(owner lead.Member, d time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	if until, paused := c.pausedUntil[owner.Name()]; !paused || now.After(until) {
		c.log.Event(event.OwnerFailed, zap.String("owner", owner.Name()), zap.Error(err))
	}
	c.pausedUntil[owner.Name()] = now.Add(d)
}

// position asks the owner of a group's primary for the primary's log position. SentAt is when the call was made.
func (c *Caller) position(ctx context.Context, owner lead.Member, group string, timeout time.Duration) (positionReply, error) {
	var r positionReply
	_, err := c.clients.Call(ctx, owner.Address(), link.Position, positionCall{Group: group}, &r,
		link.Options{Timeout: timeout, Ping: link.PromptPing})
	return r, err
}

// session is the use of a server by one statement or transaction through the server's owner. It is not safe for concurrent use.
type session struct {
	caller     *Caller
	owner      lead.Member
	group      *pool.Group
	server     string
	request    pool.AcquireRequest
	acquiredAt time.Time
	values     map[string]string
	sentValues map[string]string // those that the owner has set for the transaction
	shape      query.Shape
	id         uint64 // of the transaction that may be open at the owner; 0 if none is
	lost       bool   // the owner did not reply
	broken     bool   // the connection to the server failed
}

var _ pool.Session = (*session)(nil)

// Server implements pool.Session.
func (s *session) Server() string { return s.server }

// Owner implements pool.Session.
func (s *session) Owner() string { return s.owner.Name() }

// SetSessionValues implements pool.Session. The values are sent with the next request.
func (s *session) SetSessionValues(_ time.Duration, values map[string]string) error {
	s.values = values
	return nil
}

// EnsurePrepared implements pool.Session. The owner prepares the statement, under a name of its own.
func (s *session) EnsurePrepared(_ time.Duration, shape query.Shape, name func(n int) string) (string, error) {
	s.shape = shape
	return name(0), nil
}

// Run implements pool.Session.
func (s *session) Run(timeout time.Duration, priority int, op exec.Operation) (exec.Result, bool, error) {
	answerWithin := s.request.AnswerWithin - s.caller.clock().Sub(s.acquiredAt)
	if s.id != 0 {
		answerWithin = timeout
	}
	return s.call(timeout, answerWithin, priority, op)
}

// Do implements pool.Session.
func (s *session) Do(timeout time.Duration, op exec.Operation) (exec.Result, bool, error) {
	switch op.(type) {
	case exec.Begin:
		s.id = s.caller.lastSession.Add(1)
		return s.call(timeout, s.request.AnswerWithin, s.request.Priority, op)
	case exec.Rollback:
		if s.lost {
			return exec.Result{}, false, result.New(result.PeerUnreachable, "VM %s did not reply", s.owner.Name())
		}
		if s.id == 0 {
			return exec.NewResult(nil, "", result.OK, "", query.Idle, point.Point{}), false, nil
		}
	}
	return s.call(timeout, timeout, s.request.Priority, op)
}

// call sends an operation to the owner and returns the server's answer. Sent reports whether it may have reached the server.
func (s *session) call(timeout, answerWithin time.Duration, priority int, op exec.Operation) (exec.Result, bool, error) {
	if timeout <= 0 {
		return exec.Result{}, false, result.New(result.DeadlineTooClose, "no time left for a request to server %s", s.server)
	}
	q, err := newRunCall(op, s.shape)
	if err != nil {
		return exec.Result{}, false, err
	}
	q.Group, q.Server, q.Session, q.Priority = s.group.Name(), s.server, s.id, priority
	q.Timeout, q.AnswerWithin, q.Workspace = timeout, answerWithin, s.request.Workspace
	if s.id == 0 || q.Kind == kindBegin {
		q.MaxAge, q.Place, q.SendBackAt = s.request.MaxAge, s.group.Place(), s.request.SendBackAt
	}
	if s.id == 0 || s.sentValues == nil || !maps.Equal(s.values, s.sentValues) {
		q.Values, s.sentValues = s.values, maps.Clone(s.values)
		if s.sentValues == nil {
			s.sentValues = map[string]string{}
		}
	}
	var r runReply
	calledAt := s.caller.clock()
	sent, err := s.caller.clients.Call(s.caller.ctx, s.owner.Address(), link.Run, q, &r, link.Options{
		Timeout: timeout, Ping: link.PromptPing, Persist: s.id != 0 || !s.request.ReadOnly,
	})
	if err != nil {
		if !result.HasCause(err, link.ErrTimeout) {
			s.caller.pause(s.owner, failedOwnerPause, err)
		}
		if link.Silent(err) {
			s.caller.paths.RecordFailure(s.owner, calledAt)
		}
		s.lost = true
		return exec.Result{}, sent, err
	}
	s.caller.paths.RecordAnswer(s.owner)
	s.group.RecordLoad(s.server, r.Load.report())
	if r.Error != 0 {
		if r.Error == result.ShuttingDown {
			s.caller.pause(s.owner, stoppingOwnerPause, result.New(r.Error, "%s", r.Message))
		}
		if r.SentBack {
			return exec.Result{}, false, result.Wrap(r.Error, pool.ErrSentBack, "%s", r.Message)
		}
		s.broken = s.broken || r.ServerFailed
		return exec.Result{}, r.Sent, result.New(r.Error, "%s", r.Message)
	}
	if r.State == query.Idle {
		s.id = 0
	}
	return r.result(), true, nil
}

// MarkBroken implements pool.Session.
func (s *session) MarkBroken() { s.broken = true }

// Broken implements pool.Session.
func (s *session) Broken() bool { return s.broken }

// Release implements pool.Session. A transaction that is still open at the owner is rolled back.
func (s *session) Release() {
	if s.id == 0 {
		return
	}
	s.caller.clients.Notify(s.caller.ctx, s.owner.Address(), link.Release, releaseCall{Session: s.id})
	s.id = 0
}
