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

// drainGrace is how long a connection that is about to be closed waits for a request that is already on its way. It does so
// once: a caller that sends each request within this time of the answer before would never be closed otherwise.
const drainGrace = 20 * time.Millisecond

var (
	errDrained = result.New(result.ShuttingDown, "this VM is stopping; connect again")
	// errCut ends a connection to which a part of a message was written: the caller would take an error for the rest of it.
	errCut  = errors.New("the answer ended within a message")
	errQuit = errors.New("caller ended the connection")
)

// conn is one caller's connection. Its goroutine owns everything but the fields below mu.
type conn struct {
	srv      *Server
	raw      net.Conn // as accepted
	net      net.Conn // raw, or TLS over it
	in       reader
	cut      *cutter
	svc      svcdef.Service
	user     string
	pid      uint32
	secret   [4]byte
	session  Session
	settings []byte // a query that sets what the caller asked for at the start; nil if that is nothing
	status   work.TxStatus
	lost     bool // the transaction is gone, and the caller has not ended it yet
	grace    bool // waits for a request on its way
	graced   bool // has got one
	reserved bool // counted as a session
	since    time.Time

	mu      sync.Mutex
	running bool
	changed time.Time
	tx      work.TxStatus
	names   int
}

// write sends bytes to the caller within the time limit.
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

// wake is called when the read deadline has passed, which Drain sets to reach connections that wait for a message.
func (c *conn) wake() error {
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if !c.srv.draining.Load() || !c.boundary() || !c.in.between() {
		return nil
	}
	if c.grace {
		return errDrained
	}
	c.grace = true
	return c.net.SetReadDeadline(time.Now().Add(drainGrace))
}

// boundary reports whether the connection may be closed without interrupting anything.
func (c *conn) boundary() bool { return c.status == work.TxIdle && c.cut.empty() }

// serve reads messages until the connection ends.
func (c *conn) serve(ctx context.Context) error {
	for {
		if c.srv.draining.Load() && c.boundary() && c.in.between() && !c.grace {
			if c.graced {
				return errDrained
			}
			c.grace = true
			if err := c.net.SetReadDeadline(time.Now().Add(drainGrace)); err != nil {
				return err
			}
		}
		c.in.release()
		typ, body, err := c.in.message(c.srv.opts.maxMessage)
		if err != nil {
			return err
		}
		c.graced = c.graced || c.grace
		c.grace = false
		s, err := c.cut.feed(typ, body)
		if err != nil {
			return err
		}
		if err := c.step(ctx, s); err != nil {
			return err
		}
	}
}

func (c *conn) step(ctx context.Context, s step) error {
	switch s := s.(type) {
	case unit:
		return c.run(ctx, s)
	case reply:
		b := s.frames
		if !s.flush {
			b = c.ready(b)
		}
		return c.write(b)
	case fail:
		if err := c.abort(ctx); err != nil {
			return err
		}
		b := encode(nil, report(plain, s.err))
		if !s.skip {
			b = c.ready(b)
		}
		return c.write(b)
	case quit:
		return errQuit
	}
	return nil
}

func (c *conn) ready(b []byte) []byte {
	return encode(b, &pgproto3.ReadyForQuery{TxStatus: byte(c.status)})
}

// run hands a unit to the session and writes the answer.
func (c *conn) run(ctx context.Context, u unit) error {
	infos := c.cut.statements()
	a := newAnswer(c.write)
	c.mark(true)
	var err, broken error
	if c.lost {
		err = c.emulate(a)
	} else if err = c.remote(ctx, a, infos); err != nil {
		broken = c.abort(ctx)
	}
	if a.err == nil && (a.flushed || err == nil) {
		c.cut.confirm(a.scan.confirms)
	}
	c.cut.reset()
	if err != nil {
		if !a.flushed {
			a.discard()
		} else if a.scan.within() {
			return errCut
		}
		a.send(report(plain, err))
	}
	if u.flush {
		c.cut.skip = err != nil || a.scan.failed
	} else {
		*a.buf = c.ready(*a.buf)
	}
	if err := a.finish(); err != nil {
		return err
	}
	c.mark(false)
	if broken != nil {
		return broken
	}
	return forCaller(c.session.Err())
}

// remote runs the unit through the session. The error is for the caller.
func (c *conn) remote(ctx context.Context, a *answer, infos []stmt.Info) error {
	class, fp := sess.Summary(infos)
	args, formats := c.cut.args()
	final := c.session.Run(ctx, Request{
		unit: work.Unit{
			Service: c.svc.Name(), Caller: c.user, Class: class, Fingerprint: fp, Remaining: c.svc.Timeout(),
			Frames: c.cut.frames, Prepared: c.cut.prepared,
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
		if c.status == work.TxIdle && leavesOpen(before, infos) {
			// The caller believes that its transaction is open. Without this, its next statements would run and
			// commit one by one.
			c.lose()
		}
		return err
	}
	if !a.scan.failed && resets(infos) {
		c.cut.names.Clear()
		return c.applySettings(ctx)
	}
	return nil
}

// leavesOpen reports whether a unit with these statements leaves a transaction open if all of them run.
func leavesOpen(before work.TxStatus, infos []stmt.Info) bool {
	open := before != work.TxIdle
	for n, i := range infos {
		switch i.Class() {
		case stmt.Commit, stmt.Rollback:
			open = false
		case stmt.Begin, stmt.BeginReadOnly:
			// A single BEGIN that fails opens nothing.
			open = open || n < len(infos)-1
		}
	}
	return open
}

func resets(infos []stmt.Info) bool {
	for _, i := range infos {
		if i.Effect() == stmt.EffectReset {
			return true
		}
	}
	return false
}

func (c *conn) lose() {
	c.lost = true
	c.status = work.TxFailed
}

// abort ends an open transaction after an error that no server knows of, as PostgreSQL does after any error: the
// server rolls back now, and the caller sees a failed transaction until it ends it. An error means that the transaction
// is still open on the server. The connection then has to end, since later statements would run inside it.
func (c *conn) abort(ctx context.Context) error {
	if c.status != work.TxActive {
		return nil
	}
	c.lose()
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

// emulate answers a unit while the transaction is lost: only its end is accepted.
func (c *conn) emulate(a *answer) error {
	in := c.cut.frames
	for len(in) > 0 {
		n := messageLen(in)
		typ, body := in[0], in[5:n]
		in = in[n:]
		if err := c.emulateMessage(a, typ, body); err != nil {
			return err
		}
	}
	return nil
}

func (c *conn) emulateMessage(a *answer, typ byte, body []byte) error {
	reply := func(m pgproto3.BackendMessage) error { return a.sink(encode(nil, m)) }
	switch typ {
	case 'Q':
		if err := c.ending(string(body[:len(body)-1])); err != nil {
			return err
		}
		return c.rolledBack(a)
	case 'P':
		var m pgproto3.Parse
		if err := m.Decode(body); err != nil {
			return err
		}
		if err := c.ending(m.Query); err != nil {
			return err
		}
		return reply(&pgproto3.ParseComplete{})
	case 'B':
		var m pgproto3.Bind
		if err := m.Decode(body); err != nil {
			return err
		}
		if err := c.ending(c.cut.text(m.PreparedStatement)); err != nil {
			return err
		}
		return reply(&pgproto3.BindComplete{})
	case 'D':
		if body[0] == 'S' {
			if err := c.ending(c.cut.text(string(body[1 : len(body)-1]))); err != nil {
				return err
			}
			if err := reply(&pgproto3.ParameterDescription{}); err != nil {
				return err
			}
		}
		return reply(&pgproto3.NoData{})
	case 'C':
		return reply(&pgproto3.CloseComplete{})
	case 'E':
		return c.rolledBack(a)
	}
	return nil
}

// ending returns an error unless the text is a single COMMIT or ROLLBACK.
func (c *conn) ending(text string) error {
	infos, err := c.srv.parser.Parse(text)
	if err != nil {
		return err
	}
	if len(infos) == 1 && (infos[0].Class() == stmt.Commit || infos[0].Class() == stmt.Rollback) {
		return nil
	}
	return failed("25P02", "current transaction is aborted, commands ignored until end of transaction block")
}

func (c *conn) rolledBack(a *answer) error {
	c.lost = false
	c.status = work.TxIdle
	return a.sink(encode(nil, &pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")}))
}

// applySettings sets what the caller asked for in its startup packet.
func (c *conn) applySettings(ctx context.Context) error {
	if c.settings == nil {
		return nil
	}
	infos, err := c.srv.parser.Parse(string(c.settings[5 : len(c.settings)-1]))
	if err != nil {
		return err
	}
	class, fp := sess.Summary(infos)
	var refused error
	final := c.session.Run(ctx, Request{
		unit: work.Unit{
			Service: c.svc.Name(), Caller: c.user, Class: class, Fingerprint: fp, Remaining: c.svc.Timeout(),
			Frames: c.settings,
		},
		infos: infos,
	}, func(frames []byte) error {
		refused = errors.Join(refused, serverError(frames))
		return nil
	})
	if err := final.Err(); err != nil {
		return err
	}
	return refused
}

// serverError returns the error that whole frames of a server hold.
func serverError(frames []byte) error {
	for len(frames) >= 5 {
		n := messageLen(frames)
		if n < 5 || n > len(frames) {
			return nil
		}
		if frames[0] == 'E' {
			var m pgproto3.ErrorResponse
			if m.Decode(frames[5:n]) == nil {
				return failed(m.Code, "%s", m.Message)
			}
		}
		frames = frames[n:]
	}
	return nil
}

// mark publishes the state for dumps.
func (c *conn) mark(running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = running
	c.changed = time.Now()
	c.tx = c.status
	c.names = c.cut.names.Len()
}

func (c *conn) state() SessionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return SessionState{
		processID: c.pid, service: c.svc.Name(), user: c.user, remote: c.net.RemoteAddr().String(), since: c.since,
		running: c.running, changed: c.changed, status: c.tx, prepared: c.names,
	}
}

// forCaller marks an error without a code as one that the caller is told, unlike a failure of its connection.
func forCaller(err error) error {
	if err == nil || result.CodeOf(err) != result.Internal {
		return err
	}
	return fault{error: err, state: result.Lookup(result.Internal).SQLState()}
}

// end tells the caller why its connection ends, unless the caller itself ended it.
func (c *conn) end(err error) {
	code := result.CodeOf(err)
	var f fault
	if code == result.Internal && !errors.As(err, &f) {
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
		c.srv.refused(code)
	}
	c.srv.opts.log.Event(id, zap.String("remote", c.net.RemoteAddr().String()), zap.String("user", c.user),
		zap.String("service", c.svc.Name()), zap.Stringer("code", code), zap.String("error", result.Message(err)))
	if c.send(report(fatal, err)) == nil {
		linger(c.net)
	}
}

// linger lets the caller read the error before the connection closes: closing with unread input would reset it.
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
