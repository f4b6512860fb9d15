package entry

import (
	"errors"
	"os"
	"strings"
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

// Phases of a session. They decide which sessions are closed when the VM stops or is cut off.
const (
	phaseBusy int32 = iota
	phaseIdle
	phaseIdleInTransaction
	phaseAnswering // the answer to the request is being sent
)

// manyChoices is from how many attempts to get a server on a statement is logged: it has waited for most of a second.
const manyChoices = 50

// defaultTransactionIdleTimeout bounds how long a transaction may be idle if the configuration sets no bound.
const defaultTransactionIdleTimeout = 10 * time.Second

// session is the session on a caller's connection. Other goroutines use only phase, closingOnIsolation, lastRequest, and the read deadline
// of conn; after claimAnswer also the rest of conn.
type session struct {
	entry              *Server
	conn               Conn
	database           string
	key                string // presented by the caller; it must not be logged
	phase              atomic.Int32
	closingOnIsolation atomic.Bool // the session is being closed because the VM is cut off
	lastRequest        atomic.Bool // the wait for the next request is bounded since the VM is stopping

	state         query.State
	values        map[string]string
	prepared      map[string]query.Shape
	bytes         sessionBytes // of values and prepared
	required      point.Point  // position that a read must see, so that it sees the session's own commits
	leaderVersion uint64       // version of the record that named the primary when required was recorded
	closeWhenIdle bool         // the session cannot be served here any more
	workspace     string       // of the operation that runs; "" if callers need no key
	choices       int          // attempts of the request that runs to get a server

	tx         transaction
	rolledBack transaction // rolled back by the caller, but not yet on its server
}

// transaction is the state of an open or failed transaction.
type transaction struct {
	readOnly   bool
	route      layout.Route
	began      time.Time
	conn       pool.Session
	group      *pool.Group
	primaryUse elect.PrimaryUse
	onPrimary  bool // the transaction holds primaryUse
	wrote      bool
	expired    bool
}

// newSession returns a session. It does not keep the message that opened it, which may be long.
func newSession(entry *Server, conn Conn, database, key string) *session {
	return &session{
		entry: entry, conn: conn, database: strings.Clone(database), key: strings.Clone(key), state: query.Idle,
		prepared: make(map[string]query.Shape),
	}
}

// run serves the session's requests until it ends.
func (ss *session) run() {
	for {
		id, st, err := ss.nextRequest()
		if err != nil {
			if code := result.CodeOf(err); code == result.ProtocolError {
				ss.entry.deps.Log.Event(event.CallerProtocol, zap.String("database", ss.database), zap.Error(err))
			}
			return
		}
		began := ss.entry.deps.Clock()
		a := ss.handle(id, st, began)
		ss.recordResult(id, a, began)
		if !ss.claimAnswer() {
			return
		}
		err = ss.sendAnswer(a)
		ss.releaseRolledBack()
		if err != nil {
			return
		}
		if ss.closeWhenIdle && ss.state == query.Idle {
			return
		}
	}
}

// nextRequest waits for a request. A transaction that is idle for too long is rolled back on its server, but the session goes on.
func (ss *session) nextRequest() (string, query.Statement, error) {
	for {
		ss.startWaiting()
		id, st, err := ss.conn.ReadRequest()
		if err == nil {
			ss.phase.Store(phaseBusy)
			return id, st, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return "", nil, err
		}
		if ss.entry.plan().ClosesIdle(ss.entry.deps.Clock()) || ss.conn.HasBufferedInput() || ss.tx.conn == nil {
			return "", nil, err
		}
		ss.abandonOnServer()
		ss.tx.expired = true
	}
}

// startWaiting sets the read deadline and the phase for the wait for a request.
func (ss *session) startWaiting() {
	now, plan := ss.entry.deps.Clock(), ss.entry.plan()
	if ss.state == query.Idle {
		if plan.ClosesIdle(now) {
			_ = ss.conn.SetReadDeadline(time.Unix(1, 0))
			return
		}
		_ = ss.conn.SetReadDeadline(time.Time{})
		ss.closingOnIsolation.Store(false)
		ss.phase.Store(phaseIdle)
		return
	}
	timeout := ss.entry.deps.View().Config().MaxTransactionIdle()
	if timeout <= 0 {
		timeout = defaultTransactionIdleTimeout
	}
	if ss.tx.conn == nil {
		timeout = time.Hour
	}
	if plan.EndsTransactions(now) {
		timeout = plan.RequestWait(now)
	}
	_ = ss.conn.SetReadDeadline(time.Now().Add(timeout))
	ss.phase.Store(phaseIdleInTransaction)
}

// answer is the outcome of a request.
type answer struct {
	rows          []string
	signature     string
	code          result.Code
	message       string
	server        string
	owner         string // VM through which the server was used, if any
	leaderVersion uint64 // version of the record that named the primary used by the statement
	tries         int
	sentBack      bool // the server's owner refused the statement because another server can run it sooner
}

func okAnswer() answer { return answer{code: result.OK} }

func errorAnswer(code result.Code, message string) answer {
	return answer{code: code, message: message}
}

func answerFromError(err error) answer { return errorAnswer(result.CodeOf(err), result.Message(err)) }

// claimAnswer reports whether the caller may be sent the answer to the request that runs. It may not if the VM has given up on the request
// and answered it.
func (ss *session) claimAnswer() bool { return ss.phase.CompareAndSwap(phaseBusy, phaseAnswering) }

func (ss *session) sendAnswer(a answer) error {
	if a.code == result.OK {
		return ss.conn.SendAnswer(a.rows, a.signature, ss.state)
	}
	return ss.conn.SendError(a.code, a.message, ss.state)
}

// recordResult logs and counts a request that went to a server or failed.
func (ss *session) recordResult(id string, a answer, began time.Time) {
	choices := ss.choices
	ss.choices = 0
	if a.server == "" && a.code == result.OK {
		return
	}
	ss.entry.deps.Metrics.Counter(Choices).Inc(int64(choices))
	if choices > manyChoices {
		ss.entry.deps.Log.Event(event.ManyChoices, zap.String("id", clip(id)), zap.String("database", ss.database),
			zap.Int("choices", choices), zap.String("message", clip(a.message)))
	}
	took := ss.entry.deps.Clock().Sub(began)
	if ss.tx.onPrimary {
		a.leaderVersion = ss.tx.primaryUse.Version()
	}
	name := result.Lookup(a.code).Name()
	ss.entry.deps.Metrics.Counter(Statements, name).Inc(1)
	ss.entry.deps.Metrics.Histogram(StatementSeconds).Observe(took.Seconds())
	ss.entry.deps.Log.Event(event.StatementDone, zap.String("id", clip(id)), zap.String("database", ss.database),
		zap.String("workspace", ss.workspace), zap.String("result", name), zap.String("message", clip(a.message)),
		zap.String("server", a.server), zap.String("owner", a.owner), zap.Int("tries", a.tries), zap.Duration("took", took), zap.String("state", ss.state.String()),
		zap.Uint64("config", ss.entry.deps.View().Config().Version()), zap.Uint64("leader", a.leaderVersion),
		zap.String("required", ss.required.String()))
}

// handle runs one request and returns its answer.
func (ss *session) handle(id string, st query.Statement, now time.Time) answer {
	if ss.state == query.Failed {
		return ss.handleInFailedTransaction(st)
	}
	if ss.tx.expired {
		ss.state, ss.tx.expired = query.Failed, false
		if _, isRollback := st.(query.Rollback); isRollback {
			return ss.handleInFailedTransaction(st)
		}
		return errorAnswer(result.RolledBack, "the transaction was idle for too long")
	}
	if ss.state == query.Open && !ss.stillAdmitted() {
		ss.state, ss.closeWhenIdle = query.Failed, true
		ss.abandonOnServer()
		if _, isCommit := st.(query.Commit); isCommit {
			return ss.handleInFailedTransaction(st)
		}
		return errorAnswer(result.RolledBack, "the key of the caller is not valid any more")
	}
	if ss.state == query.Open && !endsTransaction(st) && ss.entry.plan().EndsTransactions(now) {
		return ss.failTransaction(errorAnswer(result.RolledBack, "this VM is stopping"))
	}
	switch st := st.(type) {
	case query.Set:
		return ss.setValue(st)
	case query.Prepare:
		return ss.prepare(st)
	case query.Forget:
		return ss.forget(st)
	case query.Begin:
		return ss.begin(st, now)
	case query.Rollback:
		return ss.rollback()
	case query.Commit:
		return ss.commit(id, st, now)
	case query.Read:
		return ss.runStatement(statement{id: id, text: st.Text()}, now)
	case query.Write:
		return ss.runStatement(statement{id: id, text: st.Text(), writes: true}, now)
	case query.Execute:
		shape, known := ss.prepared[st.Name()]
		if !known {
			return ss.failTransaction(errorAnswer(result.NotFound, "unknown prepared statement "+clip(st.Name())))
		}
		return ss.runStatement(statement{
			id: id, text: st.Arguments(), writes: shape.Writes(), prepared: true, shape: shape,
		}, now)
	case query.Invalid:
		return ss.failTransaction(errorAnswer(result.ProtocolError, st.Reason()))
	}
	return ss.failTransaction(errorAnswer(result.ProtocolError, "unsupported kind of statement"))
}

// endsTransaction reports whether a statement ends the open transaction.
func endsTransaction(st query.Statement) bool {
	switch st.(type) {
	case query.Commit, query.Rollback:
		return true
	}
	return false
}

// admitOperation checks that the configuration in force admits the caller, and counts an operation that begins at now for the caller's
// workspace. It is the only check of an operation: nothing has been reserved for the operation, and none of it has run.
func (ss *session) admitOperation(now time.Time) (layout.Route, error) {
	r, w, err := admitCaller(ss.entry.deps.View().Config(), ss.database, ss.key)
	if err != nil {
		ss.closeWhenIdle = ss.closeWhenIdle || result.CodeOf(err) == result.AuthFailed
		return layout.Route{}, err
	}
	if w.Limited() && ss.entry.deps.Quota != nil {
		if err := ss.entry.deps.Quota.Admit(w, now, now.Add(r.Timeout()-answerReserve)); err != nil {
			return layout.Route{}, err
		}
	}
	ss.workspace = w.Name()
	return r, nil
}

// stillAdmitted reports whether the key of the caller still belongs to the workspace for which the open transaction began. A route that
// was removed does not end the transaction.
func (ss *session) stillAdmitted() bool {
	config := ss.entry.deps.View().Config()
	if !config.NeedsKeys() {
		return true
	}
	w, ok := config.WorkspaceOf(ss.key)
	return w.Name() == ss.workspace && (ok || ss.tx.route.Public())
}

// handleInFailedTransaction answers a request in a failed transaction. Only a rollback or a commit ends that transaction.
func (ss *session) handleInFailedTransaction(st query.Statement) answer {
	switch st.(type) {
	case query.Rollback:
		ss.endTransaction()
		return okAnswer()
	case query.Commit:
		ss.endTransaction()
		return errorAnswer(result.RolledBack, "the transaction had failed and was rolled back")
	default:
		return errorAnswer(result.ProtocolError, "the transaction has failed and accepts only a rollback or a commit")
	}
}

// failTransaction marks the open transaction, if there is one, as failed and rolls it back on its server. It returns a.
func (ss *session) failTransaction(a answer) answer {
	if ss.state == query.Open {
		ss.state = query.Failed
		ss.abandonOnServer()
	}
	return a
}

func (ss *session) begin(st query.Begin, now time.Time) answer {
	if ss.state == query.Open {
		return ss.failTransaction(errorAnswer(result.ProtocolError, "a transaction is already open"))
	}
	r, err := ss.admitOperation(now)
	if err != nil {
		return answerFromError(err)
	}
	ss.state = query.Open
	ss.tx = transaction{readOnly: st.ReadOnly(), route: r, began: now}
	return okAnswer()
}

// rollback ends the open transaction. The server rolls back after the answer, since nothing can commit the transaction any more.
func (ss *session) rollback() answer {
	if ss.state != query.Open {
		return errorAnswer(result.ProtocolError, "no transaction is open")
	}
	ss.rolledBack, ss.tx, ss.state = ss.tx, transaction{}, query.Idle
	return okAnswer()
}

// releaseRolledBack rolls the transaction that the caller has rolled back also back on its server, and gives up what it holds.
func (ss *session) releaseRolledBack() {
	rollbackAndRelease(ss.rolledBack)
	ss.rolledBack = transaction{}
}

// endTransaction rolls the transaction back on its server and removes it from the session.
func (ss *session) endTransaction() {
	rollbackAndRelease(ss.tx)
	ss.tx, ss.state = transaction{}, query.Idle
}

// abandonOnServer rolls the transaction back on its server and gives the connection back. The session stays in the transaction.
func (ss *session) abandonOnServer() {
	rollbackAndRelease(ss.tx)
	ss.tx.conn, ss.tx.onPrimary = nil, false
}

// closeSession rolls back the open transaction, if there is one, and releases what it holds.
func (ss *session) closeSession() {
	ss.releaseRolledBack()
	rollbackAndRelease(ss.tx)
	ss.tx = transaction{}
}
