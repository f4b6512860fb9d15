package entry

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"verbenagate/core/budget"
	"verbenagate/core/event"
	"verbenagate/core/query"
	"verbenagate/core/result"
	"verbenagate/io/bounds"
)

const (
	// overdueCheckInterval is how often connections are closed whose callers let the VM wait too long.
	overdueCheckInterval = time.Second
	// candidatesInterval is how often connections that may be closed for new callers are looked for.
	candidatesInterval = 100 * time.Millisecond
	// refusalLogInterval is the least time between two log lines about callers that were turned away.
	refusalLogInterval = 200 * time.Millisecond
	// freeAnswerBytes of an answer are not counted; the buffer of the socket holds most answers.
	freeAnswerBytes = 8 << 10
	// answerCopies is how often the bytes of an answer are held while it is sent.
	answerCopies = 2
	// maxLoggedText bounds what a log line or an error shows of a text from a caller.
	maxLoggedText = 200
	// nameOverhead is what a session value or a prepared statement takes besides its texts.
	nameOverhead = 64
)

// Reasons for turning a caller away, as label of the metric.
const (
	refusedConnections = "connections"
	refusedMemory      = "memory"
	refusedTooLarge    = "too_large"
	refusedState       = "session_state"
)

// Bounds are the limits of what callers may use. The zero value has none.
type Bounds struct {
	// Account counts the bytes that are held for callers.
	Account *bounds.Account
	// Limits are the limits of the VM.
	Limits budget.Limits
}

// clip returns the start of a text from a caller for a log line or an error.
func clip(text string) string {
	if len(text) <= maxLoggedText {
		return text
	}
	return strings.ToValidUTF8(text[:maxLoggedText], "") + "..."
}

// control returns the function that sets the buffers of the listening socket, which the sockets of callers inherit. An unread byte
// and an unsent byte then take memory up to a bound.
func (b Bounds) control() func(network, address string, c syscall.RawConn) error {
	size := b.Limits.SocketBuffer()
	if size == 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// The kernel doubles the size for its own bookkeeping. Without these options its own, larger bounds apply.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, size)
		})
	}
}

// callers are the open connections of callers.
type callers struct {
	mu         sync.Mutex
	open       map[*boundedConn]struct{}
	candidates []*boundedConn // that may be closed for new callers, the first one first
	lookedAt   time.Time

	refusalMu  sync.Mutex
	loggedAt   time.Time
	suppressed int
}

// boundedConn is a caller's connection whose bytes are counted.
type boundedConn struct {
	Conn
	entry   *Server
	address string
	opened  time.Time
	holding *bounds.Holding
	session atomic.Pointer[session] // nil until the session has started
	served  atomic.Bool             // a server has answered a request of the session
	evicted atomic.Bool             // it was closed to make room, and counted
	closing atomic.Bool             // its session ends when it is next idle, since another caller has its place
}

// admit registers a new connection. If there are too many, it closes one that may be closed for it, or refuses the new one.
func (s *Server) admit(conn net.Conn) (*boundedConn, bool) {
	c := &boundedConn{Conn: s.deps.Wrap(conn), entry: s, address: conn.RemoteAddr().String(), opened: time.Now()}
	limit := s.deps.Bounds.Limits.Callers()
	s.callers.mu.Lock()
	if limit > 0 && len(s.callers.open) >= limit && !s.makeRoom(c.opened) {
		s.callers.mu.Unlock()
		s.turnedAway(c.address, refusedConnections, "all connections for callers are in use")
		_ = c.Conn.Refuse(result.TooManyCallers, "all connections for callers are in use")
		_ = c.Conn.Close()
		return nil, false
	}
	s.callers.open[c] = struct{}{}
	s.callers.mu.Unlock()
	c.holding = s.deps.Bounds.Account.Open(c.address, func(reason string) {
		c.evicted.Store(true)
		s.turnedAway(c.address, refusedMemory, reason)
		_ = c.Conn.Close()
	})
	c.SetMemory(c.holding)
	return c, true
}

// leave removes a connection that has ended.
func (s *Server) leave(c *boundedConn) {
	c.holding.Close()
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	delete(s.callers.open, c)
}

// makeRoom closes a connection that may be closed for a new caller. It returns false if there is none. The caller holds callers.mu.
func (s *Server) makeRoom(now time.Time) bool {
	k := &s.callers
	if len(k.candidates) == 0 && now.Sub(k.lookedAt) >= candidatesInterval {
		k.lookedAt = now
		for c := range k.open {
			if c.describe(now).MayClose() {
				k.candidates = append(k.candidates, c)
			}
		}
		slices.SortFunc(k.candidates, func(a, b *boundedConn) int {
			return cmp.Or(cmp.Compare(a.rank(), b.rank()), a.opened.Compare(b.opened))
		})
	}
	for len(k.candidates) > 0 {
		c := k.candidates[0]
		k.candidates = k.candidates[1:]
		if _, open := k.open[c]; !open || !c.describe(now).MayClose() {
			continue
		}
		delete(k.open, c)
		s.turnedAway(c.address, refusedConnections, "the connection had used no server, and another caller needed one")
		if c.session.Load() == nil {
			_ = c.Conn.Close()
		} else {
			c.closing.Store(true)
			_ = c.SetReadDeadline(time.Unix(1, 0)) // A request that arrives now is still answered.
		}
		return true
	}
	return false
}

// rank is 0 for connections that are closed first.
func (c *boundedConn) rank() int {
	if c.session.Load() == nil {
		return 0
	}
	return 1
}

func (c *boundedConn) describe(now time.Time) budget.Connection {
	ss := c.session.Load()
	return budget.Connection{
		Age: now.Sub(c.opened), Started: ss != nil, Idle: ss != nil && ss.phase.Load() == phaseIdle, Served: c.served.Load(),
	}
}

// turnedAway counts and logs that a caller was refused or its connection closed. The log lines are limited in rate.
func (s *Server) turnedAway(address, cause, reason string) {
	s.deps.Metrics.Counter(CallersTurnedAway, cause).Inc(1)
	k := &s.callers
	now := time.Now()
	k.refusalMu.Lock()
	if now.Sub(k.loggedAt) < refusalLogInterval {
		k.suppressed++
		k.refusalMu.Unlock()
		return
	}
	others := k.suppressed
	k.loggedAt, k.suppressed = now, 0
	k.refusalMu.Unlock()
	s.deps.Log.Event(event.CallerTurnedAway, zap.String("address", address), zap.String("cause", cause), zap.String("reason", reason),
		zap.Int("others", others), zap.Int64("bytes", s.deps.Bounds.Account.Used()))
}

// SetReadDeadline implements Conn. While the session is to end, no deadline means that it has passed, so that the session does not wait for
// another request.
func (c *boundedConn) SetReadDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil || !t.IsZero() || !c.closing.Load() {
		return err
	}
	return c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// noteReadError logs an error that says that a message was refused.
func (c *boundedConn) noteReadError(err error) {
	if c.evicted.Load() {
		return
	}
	switch result.CodeOf(err) {
	case result.TooLarge:
		c.entry.turnedAway(c.address, refusedTooLarge, "a message is over the limit")
	case result.Overloaded:
		c.entry.turnedAway(c.address, refusedMemory, "there was no memory for a message")
	}
}

// ReadStart implements Conn.
func (c *boundedConn) ReadStart() (database, key string, err error) {
	database, key, err = c.Conn.ReadStart()
	if err != nil {
		c.noteReadError(err)
	}
	return database, key, err
}

// ReadRequest implements Conn.
func (c *boundedConn) ReadRequest() (string, query.Statement, error) {
	id, st, err := c.Conn.ReadRequest()
	if err != nil {
		c.noteReadError(err)
	}
	return id, st, err
}

// SendReady implements Conn.
func (c *boundedConn) SendReady(state query.State) error {
	defer c.holding.Settle()
	return c.Conn.SendReady(state)
}

// SendAnswer implements Conn. A long answer is counted until it has been written to the connection, which is closed if there is no room
// for the answer.
func (c *boundedConn) SendAnswer(rows []string, signature string, state query.State) error {
	defer c.holding.Settle()
	size := 0
	for _, row := range rows {
		size += len(row)
	}
	if size > freeAnswerBytes {
		c.holding.Wait()
		if err := c.holding.GrowAnswer(answerCopies * size); err != nil {
			if !c.evicted.Load() {
				c.entry.turnedAway(c.address, refusedMemory, "there was no memory for an answer")
			}
			return err
		}
	}
	if signature != "" {
		c.noteServed()
	}
	return c.Conn.SendAnswer(rows, signature, state)
}

// noteServed records that a server has answered a request of the session.
func (c *boundedConn) noteServed() {
	if !c.served.Load() {
		c.served.Store(true)
	}
}

// SendError implements Conn.
func (c *boundedConn) SendError(code result.Code, message string, state query.State) error {
	defer c.holding.Settle()
	return c.Conn.SendError(code, message, state)
}

// sessionBytes counts the names and bytes of a session's values and prepared statements.
type sessionBytes struct{ names, bytes, counted int }

// replace counts a value or prepared statement instead of an earlier one, of which it takes the place. Either may take 0 bytes, if there
// is none. It returns the refusal if the session may not have the new one.
func (b *sessionBytes) replace(ss *session, before, after int) (answer, bool) {
	names, total := b.names, b.bytes-before+after
	if before == 0 && after > 0 {
		names++
	}
	if before > 0 && after == 0 {
		names--
	}
	if after > before && !budget.MaySet(names, total) {
		ss.turnedAway("the values and prepared statements of a session are over the limit")
		return errorAnswer(result.TooLarge, "the session has too many or too long values and prepared statements"), false
	}
	counted := max(total-budget.FreeSessionBytes, 0)
	if c, ok := ss.conn.(*boundedConn); ok && counted != b.counted {
		if err := c.holding.GrowState(counted - b.counted); err != nil {
			ss.turnedAway("the memory for values and prepared statements is used up")
			return answerFromError(err), false
		}
	}
	b.names, b.bytes, b.counted = names, total, counted
	return answer{}, true
}

// turnedAway records that a request about the state of the session was refused.
func (ss *session) turnedAway(reason string) {
	if c, ok := ss.conn.(*boundedConn); ok {
		ss.entry.turnedAway(c.address, refusedState, reason)
	}
}

// entryBytes returns the bytes that a value or a prepared statement takes; 0 if there is none.
func entryBytes(name, text string, exists bool) int {
	if !exists {
		return 0
	}
	return len(name) + len(text) + nameOverhead
}

// setValue sets a session value.
func (ss *session) setValue(st query.Set) answer {
	old, exists := ss.values[st.Name()]
	if refusal, ok := ss.bytes.replace(ss, entryBytes(st.Name(), old, exists), entryBytes(st.Name(), st.Value(), true)); !ok {
		return ss.failTransaction(refusal)
	}
	values := make(map[string]string, len(ss.values)+1)
	for name, value := range ss.values {
		values[name] = value
	}
	values[strings.Clone(st.Name())] = strings.Clone(st.Value()) // The message may take more than the value.
	ss.values = values
	return okAnswer()
}

// prepare prepares a statement.
func (ss *session) prepare(st query.Prepare) answer {
	old, exists := ss.prepared[st.Name()]
	if refusal, ok := ss.bytes.replace(ss, entryBytes(st.Name(), old.Text(), exists),
		entryBytes(st.Name(), st.Shape().Text(), true)); !ok {
		return ss.failTransaction(refusal)
	}
	ss.prepared[strings.Clone(st.Name())] = query.NewShape(st.Shape().Writes(), strings.Clone(st.Shape().Text()))
	return okAnswer()
}

// forget drops a prepared statement.
func (ss *session) forget(st query.Forget) answer {
	old, exists := ss.prepared[st.Name()]
	_, _ = ss.bytes.replace(ss, entryBytes(st.Name(), old.Text(), exists), 0)
	delete(ss.prepared, st.Name())
	return okAnswer()
}
