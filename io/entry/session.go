package entry

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/layout"
	"verbenagate/core/point"
	"verbenagate/core/query"
	"verbenagate/core/result"
	"verbenagate/io/elect"
	"verbenagate/io/pool"
)

// Phases of a session, as seen by a stop of the VM.
const (
	busy int32 = iota
	waitingIdle
	waitingOpen
)

// txIdleDefault bounds the rest of a transaction if the configuration gives no bound.
const txIdleDefault = 10 * time.Second

// session is one caller connection. Only phase and moving are used by other goroutines.
type session struct {
	s        *Server
	conn     Conn
	database string
	phase    atomic.Int32
	moving   atomic.Bool // the session ends because the VM is cut off

	state    query.State
	values   map[string]string
	prepared map[string]query.Shape
	required point.Point // what the session's own commits need a read to see
	version  uint64      // of the leader's record when required was noted
	leave    bool        // the session is better served by another VM

	tx tx
}

// tx is an open transaction.
type tx struct {
	readOnly bool
	route    layout.Route
	began    time.Time
	conn     *pool.Conn
	group    *pool.Group
	use      elect.Use
	primary  bool // the transaction holds use
	wrote    bool
	expired  bool
}

func newSession(s *Server, conn Conn, database string) *session {
	return &session{s: s, conn: conn, database: database, state: query.Idle, prepared: make(map[string]query.Shape)}
}

// resting reports whether the session waits for a request, inside a transaction only if that counts.
func (ss *session) resting(transactions bool) bool {
	p := ss.phase.Load()
	return p == waitingIdle || (transactions && p == waitingOpen)
}

// run serves the session's requests until it ends.
func (ss *session) run() {
	for {
		id, st, err := ss.next()
		if err != nil {
			if code := result.CodeOf(err); code == result.ProtocolError {
				ss.s.p.Log.Event(event.CallerProtocol, zap.String("database", ss.database), zap.Error(err))
			}
			return
		}
		began := ss.s.p.Clock()
		a := ss.handle(id, st, began)
		ss.report(id, a, began)
		if err := ss.answer(a); err != nil {
			return
		}
		if a.after != nil {
			a.after()
		}
		if ss.leave && ss.state == query.Idle {
			return
		}
	}
}

// next waits for a request. A transaction that rests for too long loses its server connection, but the session goes on.
func (ss *session) next() (string, query.Statement, error) {
	for {
		ss.rest()
		id, st, err := ss.conn.Next()
		ss.phase.Store(busy)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return id, st, err
		}
		if ss.s.stopping.Load() || ss.conn.Pending() || ss.tx.conn == nil {
			return "", nil, err
		}
		ss.abandon()
		ss.tx.expired = true
	}
}

// rest prepares the wait for a request.
func (ss *session) rest() {
	if ss.state == query.Idle {
		if ss.s.stopping.Load() {
			_ = ss.conn.SetReadDeadline(time.Unix(1, 0))
			return
		}
		_ = ss.conn.SetReadDeadline(time.Time{})
		ss.moving.Store(false)
		ss.phase.Store(waitingIdle)
		return
	}
	limit := ss.s.p.View().Config().MaxTransactionIdle()
	if limit <= 0 {
		limit = txIdleDefault
	}
	if ss.tx.conn == nil {
		limit = time.Hour
	}
	_ = ss.conn.SetReadDeadline(time.Now().Add(limit))
	ss.phase.Store(waitingOpen)
}

// answer is what a request leads to. After runs once the answer has been sent.
type answer struct {
	rows      []string
	signature string
	code      result.Code
	message   string
	server    string
	leader    uint64 // version of the primary's record that the statement relied on
	tries     int
	after     func()
}

func ok() answer { return answer{code: result.OK} }

func failed(code result.Code, message string) answer { return answer{code: code, message: message} }

func failedWith(err error) answer { return failed(result.CodeOf(err), result.Message(err)) }

func (ss *session) answer(a answer) error {
	if a.code == result.OK {
		return ss.conn.Done(a.rows, a.signature, ss.state)
	}
	return ss.conn.Fail(a.code, a.message, ss.state)
}

// report logs and counts the end of a request that went to a server or failed.
func (ss *session) report(id string, a answer, began time.Time) {
	if a.server == "" && a.code == result.OK {
		return
	}
	took := ss.s.p.Clock().Sub(began)
	if ss.tx.primary {
		a.leader = ss.tx.use.Version()
	}
	name := result.Lookup(a.code).Name()
	ss.s.p.Metrics.Counter(Statements, name).Inc(1)
	ss.s.p.Metrics.Histogram(StatementSeconds).Observe(took.Seconds())
	ss.s.p.Log.Event(event.StatementDone, zap.String("id", id), zap.String("database", ss.database),
		zap.String("result", name), zap.String("message", a.message), zap.String("server", a.server),
		zap.Int("tries", a.tries), zap.Duration("took", took), zap.String("state", ss.state.String()),
		zap.Uint64("config", ss.s.p.View().Config().Version()), zap.Uint64("leader", a.leader),
		zap.String("required", ss.required.String()))
}

// handle carries out one request.
func (ss *session) handle(id string, st query.Statement, now time.Time) answer {
	if ss.state == query.Failed {
		return ss.handleFailed(st)
	}
	if ss.tx.expired {
		ss.state, ss.tx.expired = query.Failed, false
		if _, end := st.(query.Rollback); end {
			return ss.handleFailed(st)
		}
		return failed(result.RolledBack, "the transaction rested for too long")
	}
	switch st := st.(type) {
	case query.Set:
		values := make(map[string]string, len(ss.values)+1)
		for name, value := range ss.values {
			values[name] = value
		}
		values[st.Name()] = st.Value()
		ss.values = values
		return ok()
	case query.Prepare:
		ss.prepared[st.Name()] = st.Shape()
		return ok()
	case query.Forget:
		delete(ss.prepared, st.Name())
		return ok()
	case query.Begin:
		return ss.begin(st, now)
	case query.Rollback:
		return ss.rollback()
	case query.Commit:
		return ss.commit(id, st, now)
	case query.Read:
		return ss.statement(statement{id: id, text: st.Text()}, now)
	case query.Write:
		return ss.statement(statement{id: id, text: st.Text(), writes: true}, now)
	case query.Execute:
		shape, known := ss.prepared[st.Name()]
		if !known {
			return ss.fail(failed(result.NotFound, "no prepared statement "+st.Name()))
		}
		return ss.statement(statement{
			id: id, text: st.Arguments(), writes: shape.Writes(), prepared: true, shape: shape,
		}, now)
	case query.Invalid:
		return ss.fail(failed(result.ProtocolError, st.Reason()))
	}
	return ss.fail(failed(result.ProtocolError, "the statement is not known"))
}

// handleFailed answers inside a failed transaction, which only its end leaves.
func (ss *session) handleFailed(st query.Statement) answer {
	switch st.(type) {
	case query.Rollback:
		ss.end()
		return ok()
	case query.Commit:
		ss.end()
		return failed(result.RolledBack, "the transaction had failed")
	default:
		return failed(result.ProtocolError, "the transaction has failed and must be ended")
	}
}

// fail ends what an error ends: inside a transaction, the server's part of it.
func (ss *session) fail(a answer) answer {
	if ss.state == query.Open {
		ss.state = query.Failed
		ss.abandon()
	}
	return a
}

func (ss *session) begin(st query.Begin, now time.Time) answer {
	if ss.state == query.Open {
		return ss.fail(failed(result.ProtocolError, "a transaction is open"))
	}
	r, known := ss.s.p.View().Config().Route(ss.database)
	if !known {
		return failed(result.UnknownService, "no database "+ss.database)
	}
	ss.state = query.Open
	ss.tx = tx{readOnly: st.ReadOnly(), route: r, began: now}
	return ok()
}

// rollback answers first: nothing of the transaction can be kept any more.
func (ss *session) rollback() answer {
	if ss.state != query.Open {
		return failed(result.ProtocolError, "no transaction is open")
	}
	t := ss.tx
	ss.tx, ss.state = tx{}, query.Idle
	a := ok()
	a.after = func() { release(t) }
	return a
}

// end forgets the transaction.
func (ss *session) end() {
	release(ss.tx)
	ss.tx, ss.state = tx{}, query.Idle
}

// abandon gives back the server's part of the transaction, which rolls it back.
func (ss *session) abandon() {
	release(ss.tx)
	ss.tx.conn, ss.tx.primary = nil, false
}

// drop ends the session.
func (ss *session) drop() {
	release(ss.tx)
	ss.tx = tx{}
}
