package caller

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/result"
	"verbenagate/core/sess"
	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
)

// drainGrace is how long a connection that is about to be closed waits for a request that is already in flight. It waits
// only once: otherwise a caller that sends each request within this time of the previous answer would never be closed.
const drainGrace = 20 * time.Millisecond

var (
	errDrained = result.New(result.ShuttingDown, "this VM is stopping; connect again")
	// errPartialMessage closes a connection on which only a part of a message was written. The caller would read an error
	// message as the rest of it.
	errPartialMessage = errors.New("the answer ended in the middle of a message")
	errQuit           = errors.New("caller closed the connection")
)

// conn is one caller's connection. Its goroutine owns all fields except those below mu, which hold a copy of its state
// for the state dump.
type conn struct {
	srv            *Server
	raw            net.Conn // as accepted
	net            net.Conn // raw, or TLS over it
	in             reader
	builder        *unitBuilder
	svc            svcdef.Service
	user           string
	pid            uint32
	secret         [4]byte
	session        Session
	settingsQuery  []byte // Query message that applies the startup packet's settings; nil if there are none
	status         work.TxStatus
	txLost         bool // no server has the transaction any more, but the caller has not ended it yet
	inDrainGrace   bool // waiting for drainGrace for a request in flight
	drainGraceUsed bool // a request arrived during drainGrace
	reserved       bool // counted in Server.sessions
	acceptedAt     time.Time

	mu               sync.Mutex
	running          bool
	runningChangedAt time.Time
	publishedStatus  work.TxStatus
	preparedCount    int
}

// write sends bytes to the caller. It fails if that takes longer than the write timeout.
func (c *conn) write(b []byte) error {
	if err := c.net.SetWriteDeadline(time.Now().Add(c.srv.opts.writeTimeout)); err != nil {
		return err
	}
	_, err := c.net.Write(b)
	return err
}

func (c *conn) send(msgs ...pgproto3.BackendMessage) error {
	var b []byte
	for _, m := range msgs {
		b = encode(b, m)
	}
	return c.write(b)
}

// onReadTimeout is called when the read deadline has passed. Drain sets a deadline in the past to wake connections that
// wait for a message. An error ends the connection.
func (c *conn) onReadTimeout() error {
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if !c.srv.draining.Load() || !c.atTransactionBoundary() || !c.in.betweenMessages() {
		return nil
	}
	if c.inDrainGrace {
		return errDrained
	}
	c.inDrainGrace = true
	return c.net.SetReadDeadline(time.Now().Add(drainGrace))
}

// atTransactionBoundary reports whether no transaction is open and no unit is incomplete, so that the connection may be
// closed.
func (c *conn) atTransactionBoundary() bool { return c.status == work.TxIdle && c.builder.empty() }

// serve reads messages until the connection ends.
func (c *conn) serve(ctx context.Context) error {
	for {
		if c.srv.draining.Load() && c.atTransactionBoundary() && c.in.betweenMessages() && !c.inDrainGrace {
			if c.drainGraceUsed {
				return errDrained
			}
			c.inDrainGrace = true
			if err := c.net.SetReadDeadline(time.Now().Add(drainGrace)); err != nil {
				return err
			}
		}
		c.in.releaseBuffer()
		typ, body, err := c.in.readMessage(c.srv.opts.maxMessage)
		if err != nil {
			return err
		}
		c.drainGraceUsed = c.drainGraceUsed || c.inDrainGrace
		c.inDrainGrace = false
		next, err := c.builder.feed(typ, body)
		if err != nil {
			return err
		}
		if err := c.perform(ctx, next); err != nil {
			return err
		}
	}
}

// perform carries out the action that follows from a message. An error ends the connection.
func (c *conn) perform(ctx context.Context, next action) error {
	switch next := next.(type) {
	case runUnit:
		return c.run(ctx, next)
	case sendReply:
		b := next.frames
		if !next.flush {
			b = c.ready(b)
		}
		return c.write(b)
	case sendError:
		if err := c.abortTx(ctx); err != nil {
			return err
		}
		b := encode(nil, errorResponse(severityError, next.err))
		if !next.skipToSync {
			b = c.ready(b)
		}
		return c.write(b)
	case endConnection:
		return errQuit
	}
	return nil
}

// ready appends a ReadyForQuery with the transaction status.
func (c *conn) ready(b []byte) []byte {
	return encode(b, &pgproto3.ReadyForQuery{TxStatus: byte(c.status)})
}

// run runs a unit and writes its answer. An error ends the connection.
func (c *conn) run(ctx context.Context, u runUnit) error {
	infos := c.builder.statementInfos()
	a := newAnswer(c.write)
	c.publishState(true)
	var err, abortErr error
	if c.txLost {
		err = c.answerLostTx(a)
	} else if err = c.refuseWhileStopping(infos, time.Now()); err != nil {
		abortErr = c.abortTx(ctx)
	} else if err = c.runInSession(ctx, a, infos); err != nil {
		abortErr = c.abortTx(ctx)
	}
	if a.writeErr == nil && (a.flushed || err == nil) {
		c.builder.confirmNameChanges(a.scanner.confirmations)
	}
	c.builder.reset()
	if err != nil {
		if !a.flushed {
			a.discard()
		} else if a.scanner.inMessage() {
			return errPartialMessage
		}
		a.appendMessage(errorResponse(severityError, err))
	}
	if u.flush {
		c.builder.skipToSync = err != nil || a.scanner.hasError
	} else {
		*a.buf = c.ready(*a.buf)
	}
	if err := a.finish(); err != nil {
		return err
	}
	c.publishState(false)
	if abortErr != nil {
		return abortErr
	}
	return asCallerError(c.session.Err())
}

// refuseWhileStopping returns an error if the VM is being stopped and open transactions have had their time. Units that only end the
// transaction are still accepted.
func (c *conn) refuseWhileStopping(infos []stmt.Info, now time.Time) error {
	plan := c.srv.plan.Load()
	if plan == nil || c.status != work.TxActive || !plan.EndsTransactions(now) {
		return nil
	}
	for _, i := range infos {
		switch i.Class() {
		case stmt.Commit, stmt.Rollback, stmt.Empty:
		default:
			return result.New(result.RolledBack, "this VM is stopping, and the transaction was rolled back")
		}
	}
	return nil
}

// runInSession runs the unit in the session. An error is reported to the caller and doesn't end the connection.
func (c *conn) runInSession(ctx context.Context, a *answer, infos []stmt.Info) error {
	class, fp := sess.Summary(infos)
	args, formats := c.builder.args()
	final := c.session.Run(ctx, Request{
		unit: work.Unit{
			Service: c.svc.Name(), Caller: c.user, Class: class, Fingerprint: fp, Remaining: c.svc.Timeout(),
			Frames: c.builder.frames, Prepared: c.builder.prepared,
		},
		infos: infos, args: args, formats: formats,
	}, a.sink)
	before := c.status
	if final.Status != 0 {
		c.status = final.Status
	} else {
		c.status = work.TxIdle
	}
	if err := final.Err(); err != nil {
		if c.status == work.TxIdle && leavesTxOpen(before, infos) {
			// The caller assumes that its transaction is still open. Without this, its next statements would run and
			// commit one by one.
			c.markTxLost()
		}
		return err
	}
	if !a.scanner.hasError && hasReset(infos) {
		c.builder.sessionStatements.Clear()
		return c.applySettings(ctx)
	}
	return nil
}

// leavesTxOpen reports whether a transaction is open after a unit with these statements if all of them succeed.
func leavesTxOpen(before work.TxStatus, infos []stmt.Info) bool {
	open := before != work.TxIdle
	for n, i := range infos {
		switch i.Class() {
		case stmt.Commit, stmt.Rollback:
			open = false
		case stmt.Begin, stmt.BeginReadOnly:
			// A failed BEGIN opens no transaction if it is the unit's last statement.
			open = open || n < len(infos)-1
		}
	}
	return open
}

// hasReset reports whether a statement resets the session, as DISCARD ALL does.
func hasReset(infos []stmt.Info) bool {
	for _, i := range infos {
		if i.Effect() == stmt.EffectReset {
			return true
		}
	}
	return false
}

// markTxLost makes the caller see a failed transaction until it ends it.
func (c *conn) markTxLost() {
	c.txLost = true
	c.status = work.TxFailed
}

// abortTx ends an open transaction after an error that the proxy raised and no server has seen. As PostgreSQL does after
// any error, the caller sees a failed transaction until it ends it; the server rolls back at once. An error means that
// the transaction is still open on the server. The connection must then end, because later statements would run in the
// transaction.
func (c *conn) abortTx(ctx context.Context) error {
	if c.status != work.TxActive {
		return nil
	}
	c.markTxLost()
	rollback := []stmt.Info{stmt.NewInfo(stmt.Rollback, stmt.EffectNone, 0, nil, "")}
	final := c.session.Run(ctx, Request{
		unit: work.Unit{
			Service: c.svc.Name(), Caller: c.user, Class: stmt.Rollback, Remaining: c.svc.Timeout(),
			Frames: encodeQuery("ROLLBACK"),
		},
		infos: rollback,
	}, func([]byte) error { return nil })
	if final.Status == work.TxIdle {
		return nil
	}
	return result.New(result.ConnectionLost, "transaction could not be rolled back after an error: %s", final.Message)
}

func encodeQuery(text string) []byte {
	return appendMessage(nil, 'Q', append([]byte(text), 0))
}

// answerLostTx answers a unit without a server while the transaction is lost. Only COMMIT and ROLLBACK are accepted.
func (c *conn) answerLostTx(a *answer) error {
	in := c.builder.frames
	for len(in) > 0 {
		n := messageLen(in)
		typ, body := in[0], in[5:n]
		in = in[n:]
		if err := c.answerLostTxMessage(a, typ, body); err != nil {
			return err
		}
	}
	return nil
}

func (c *conn) answerLostTxMessage(a *answer, typ byte, body []byte) error {
	send := func(m pgproto3.BackendMessage) error { return a.sink(encode(nil, m)) }
	switch typ {
	case 'Q':
		if err := c.requireTxEnd(string(body[:len(body)-1])); err != nil {
			return err
		}
		return c.endLostTx(a)
	case 'P':
		var m pgproto3.Parse
		if err := m.Decode(body); err != nil {
			return err
		}
		if err := c.requireTxEnd(m.Query); err != nil {
			return err
		}
		return send(&pgproto3.ParseComplete{})
	case 'B':
		var m pgproto3.Bind
		if err := m.Decode(body); err != nil {
			return err
		}
		if err := c.requireTxEnd(c.builder.statementText(m.PreparedStatement)); err != nil {
			return err
		}
		return send(&pgproto3.BindComplete{})
	case 'D':
		if body[0] == 'S' {
			if err := c.requireTxEnd(c.builder.statementText(string(body[1 : len(body)-1]))); err != nil {
				return err
			}
			if err := send(&pgproto3.ParameterDescription{}); err != nil {
				return err
			}
		}
		return send(&pgproto3.NoData{})
	case 'C':
		return send(&pgproto3.CloseComplete{})
	case 'E':
		return c.endLostTx(a)
	}
	return nil
}

// requireTxEnd returns an error unless the text is a single COMMIT or ROLLBACK statement.
func (c *conn) requireTxEnd(text string) error {
	infos, err := c.srv.parser.Parse(text)
	if err != nil {
		return err
	}
	if len(infos) == 1 && (infos[0].Class() == stmt.Commit || infos[0].Class() == stmt.Rollback) {
		return nil
	}
	return statementError("25P02", "current transaction is aborted, commands ignored until end of transaction block")
}

// endLostTx answers the caller's COMMIT or ROLLBACK of a lost transaction.
func (c *conn) endLostTx(a *answer) error {
	c.txLost = false
	c.status = work.TxIdle
	return a.sink(encode(nil, &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}))
}

// applySettings runs settingsQuery, which applies the settings of the caller's startup packet.
func (c *conn) applySettings(ctx context.Context) error {
	if c.settingsQuery == nil {
		return nil
	}
	infos, err := c.srv.parser.Parse(string(c.settingsQuery[5 : len(c.settingsQuery)-1]))
	if err != nil {
		return err
	}
	class, fp := sess.Summary(infos)
	var settingsErr error
	final := c.session.Run(ctx, Request{
		unit: work.Unit{
			Service: c.svc.Name(), Caller: c.user, Class: class, Fingerprint: fp, Remaining: c.svc.Timeout(),
			Frames: c.settingsQuery,
		},
		infos: infos,
	}, func(frames []byte) error {
		settingsErr = errors.Join(settingsErr, firstServerError(frames))
		return nil
	})
	if err := final.Err(); err != nil {
		return err
	}
	return settingsErr
}

// firstServerError returns the first error in whole frames of a server, or nil.
func firstServerError(frames []byte) error {
	for len(frames) >= 5 {
		n := messageLen(frames)
		if n < 5 || n > len(frames) {
			return nil
		}
		if frames[0] == 'E' {
			var m pgproto3.ErrorResponse
			if m.Decode(frames[5:n]) == nil {
				return statementError(m.Code, "%s", m.Message)
			}
		}
		frames = frames[n:]
	}
	return nil
}

// publishState copies the state to the fields below mu for the state dump.
func (c *conn) publishState(running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = running
	c.runningChangedAt = time.Now()
	c.publishedStatus = c.status
	c.preparedCount = c.builder.sessionStatements.Len()
}

func (c *conn) state() SessionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return SessionState{
		processID: c.pid, service: c.svc.Name(), user: c.user, remote: c.net.RemoteAddr().String(), acceptedAt: c.acceptedAt,
		running: c.running, runningChangedAt: c.runningChangedAt, txStatus: c.publishedStatus, preparedCount: c.preparedCount,
	}
}

// asCallerError gives an error without a result code an SQLSTATE. reportEnd then sends it to the caller; without one it
// would count as a failure of the caller's connection.
func asCallerError(err error) error {
	if err == nil || result.CodeOf(err) != result.Internal {
		return err
	}
	return sqlStateError{error: err, sqlState: result.Lookup(result.Internal).SQLState()}
}

// reportEnd logs why a connection ends and sends the reason to the caller, unless the connection failed or the caller
// closed it.
func (c *conn) reportEnd(err error) {
	code := result.CodeOf(err)
	var stateErr sqlStateError
	if code == result.Internal && !errors.As(err, &stateErr) {
		return // the connection failed or was closed
	}
	id := event.CallerRefused
	switch code {
	case result.ProtocolError, result.TooLarge:
		id = event.CallerProtocol
	case result.ShuttingDown:
		id = event.CallerClosed
	}
	if c.session == nil {
		c.srv.countRefused(code)
	}
	c.srv.opts.log.Event(id, zap.String("remote", c.net.RemoteAddr().String()), zap.String("user", c.user),
		zap.String("service", c.svc.Name()), zap.Stringer("code", code), zap.String("error", result.Message(err)))
	if c.send(errorResponse(severityFatal, err)) == nil {
		linger(c.net)
	}
}

// linger waits until the caller has read the error. Closing a connection with unread input would reset it, and the
// caller could lose the error.
func linger(nc net.Conn) {
	const (
		maxWait  = time.Second
		maxBytes = 64 << 10
	)
	h, ok := nc.(halfCloser)
	if !ok || h.CloseWrite() != nil || nc.SetReadDeadline(time.Now().Add(maxWait)) != nil {
		return
	}
	var b [512]byte
	for n := 0; n < maxBytes; {
		k, err := nc.Read(b[:])
		if err != nil {
			return
		}
		n += k
	}
}
