package server

import (
	"context"
	"crypto/rand"
	"database/sql"
	"errors"
	"maps"
	"net"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"verbenagate/core/point"
)

const serverVersion = "16.0"

// reported lists the settings whose values the server announces to the client.
var reported = map[string]string{
	"application_name": "application_name", "client_encoding": "client_encoding", "datestyle": "DateStyle", "timezone": "TimeZone",
	"server_version": "server_version", "server_encoding": "server_encoding", "integer_datetimes": "integer_datetimes",
	"standard_conforming_strings": "standard_conforming_strings", "intervalstyle": "IntervalStyle",
}

func defaultSettings() map[string]string {
	return map[string]string{
		"application_name": "", "client_encoding": "UTF8", "datestyle": "ISO, MDY", "timezone": "UTC", "server_version": serverVersion,
		"server_encoding": "UTF8", "integer_datetimes": "on", "standard_conforming_strings": "on", "intervalstyle": "postgres",
		"search_path": `"$user", public`, "transaction_isolation": "read committed", "default_transaction_isolation": "read committed",
		"transaction_read_only": "off", "default_transaction_read_only": "off", "statement_timeout": "0", "lock_timeout": "0",
		"extra_float_digits": "1", "idle_in_transaction_session_timeout": "0", "max_connections": "100",
	}
}

// session is one client connection.
type session struct {
	srv    *Server
	ctx    context.Context // until the session is terminated or the server stops
	stop   context.CancelFunc
	conn   net.Conn
	be     *pgproto3.Backend
	pid    uint32
	secret []byte
	types  *pgtype.Map
	user   string
	// application is the application name at the start.
	application string

	settings map[string]string
	local    map[string]string // SET LOCAL, until the transaction ends
	before   map[string]string // settings at the start of the transaction
	prepared map[string]*prepared
	portals  map[string]*portal
	skip     bool // after an error, until Sync

	explicit   bool // inside BEGIN ... COMMIT
	failed     bool
	readOnly   bool
	tx         *writeTx
	snapshot   *sql.Conn // of a transaction with repeatable reads
	snapStore  *store
	savepoints []savepoint

	mu     sync.Mutex
	cancel context.CancelFunc
}

// savepoint remembers the length of the transaction's log entry.
type savepoint struct {
	name string
	n    int
}

// serve handles one accepted connection.
func (s *Server) serve(r *run, conn net.Conn) {
	be := pgproto3.NewBackend(conn, conn)
	for {
		msg, err := be.ReceiveStartupMessage()
		if err != nil || s.awake(r.ctx) != nil {
			return
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return
			}
		case *pgproto3.CancelRequest:
			s.cancelSession(m.ProcessID, m.SecretKey)
			return
		case *pgproto3.StartupMessage:
			if m.Parameters[replicationParameter] != "" {
				s.serveReplica(r, conn)
				return
			}
			s.serveClient(r, conn, be, m)
			return
		}
	}
}

func (s *Server) cancelSession(pid uint32, secret []byte) {
	s.mu.Lock()
	c := s.sessions[pid]
	s.mu.Unlock()
	if c == nil || string(c.secret) != string(secret) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

func (s *Server) serveClient(r *run, conn net.Conn, be *pgproto3.Backend, m *pgproto3.StartupMessage) {
	ctx, stop := context.WithCancel(r.ctx)
	defer stop()
	c := &session{
		srv: s, ctx: ctx, stop: stop, conn: conn, be: be, types: pgtype.NewMap(), settings: defaultSettings(), local: map[string]string{},
		prepared: map[string]*prepared{}, portals: map[string]*portal{}, secret: make([]byte, 4), user: m.Parameters["user"],
	}
	_, _ = rand.Read(c.secret)
	c.application = m.Parameters["application_name"]
	for k, v := range m.Parameters {
		if k != "user" && k != "database" {
			c.settings[strings.ToLower(k)] = v
		}
	}
	if !s.admit(r, c) {
		c.refuse(newError("53300", "sorry, too many clients already"))
		return
	}
	defer func() {
		c.endTransaction()
		s.set(func() { delete(s.sessions, c.pid) })
	}()
	pause(ctx, s.cfg.OpenDelay)
	if err := c.authenticate(); err != nil {
		var own *sqlError
		if errors.As(err, &own) {
			c.refuse(err)
		}
		return
	}
	be.Send(&pgproto3.AuthenticationOk{})
	for k, name := range reported {
		be.Send(&pgproto3.ParameterStatus{Name: name, Value: c.settings[k]})
	}
	be.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	if c.ready() != nil {
		return
	}
	for {
		msg, err := be.Receive()
		if err != nil || s.awake(ctx) != nil || !c.handle(msg) {
			return
		}
	}
}

// admit registers the session unless the connection limit is reached.
func (s *Server) admit(r *run, c *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.run != r {
		return false
	}
	if s.cfg.MaxConnections > 0 && len(s.sessions) >= s.cfg.MaxConnections {
		s.refused++
		return false
	}
	s.nextPID++
	c.pid = s.nextPID
	s.sessions[c.pid] = c
	s.maxConns = max(s.maxConns, len(s.sessions))
	s.notify()
	return true
}

func (c *session) refuse(err error) {
	c.be.Send(asSQLError(err).response("FATAL"))
	_ = c.flush()
}

// flush sends what is buffered, unless the server is frozen.
func (c *session) flush() error {
	if err := c.srv.awake(c.ctx); err != nil {
		return err
	}
	return c.be.Flush()
}

func (c *session) authenticate() error {
	denied := newError("28P01", "password authentication failed for user %q", c.user)
	switch {
	case c.srv.cfg.Password == "":
		return nil
	case !c.srv.cfg.Scram:
		c.be.Send(&pgproto3.AuthenticationCleartextPassword{})
		if err := c.flush(); err != nil {
			return err
		}
		if err := c.be.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
			return err
		}
		msg, err := c.be.Receive()
		if err != nil {
			return err
		}
		if p, ok := msg.(*pgproto3.PasswordMessage); !ok || p.Password != c.srv.cfg.Password || c.user != c.srv.cfg.User {
			return denied
		}
		return nil
	}
	return c.authenticateScram(denied)
}

func (c *session) authenticateScram(denied error) error {
	conv := c.srv.scram.NewConversation()
	c.be.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	if err := c.flush(); err != nil {
		return err
	}
	_ = c.be.SetAuthType(pgproto3.AuthTypeSASL)
	msg, err := c.be.Receive()
	if err != nil {
		return err
	}
	first, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok {
		return newError("08P01", "expected a SASL initial response")
	}
	answer, err := conv.Step(string(first.Data))
	if err != nil {
		return denied
	}
	c.be.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	if err := c.flush(); err != nil {
		return err
	}
	_ = c.be.SetAuthType(pgproto3.AuthTypeSASLContinue)
	if msg, err = c.be.Receive(); err != nil {
		return err
	}
	final, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return newError("08P01", "expected a SASL response")
	}
	answer, err = conv.Step(string(final.Data))
	if err != nil || !conv.Valid() || c.user != c.srv.cfg.User {
		return denied
	}
	c.be.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	return nil
}

// handle processes one message and reports whether the connection continues.
func (c *session) handle(msg pgproto3.FrontendMessage) bool {
	switch m := msg.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Sync:
		c.skip = false
		if err := c.endImplicit(); err != nil {
			c.fail(err)
		}
		return c.ready() == nil
	case *pgproto3.Flush:
		return c.flush() == nil
	case *pgproto3.Query:
		c.simple(m.String)
		return c.ready() == nil
	}
	if c.skip {
		return true
	}
	var err error
	switch m := msg.(type) {
	case *pgproto3.Parse:
		err = c.parse(m)
	case *pgproto3.Bind:
		err = c.bind(m)
	case *pgproto3.Describe:
		err = c.describe(m)
	case *pgproto3.Execute:
		err = c.execute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.prepared, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.be.Send(&pgproto3.CloseComplete{})
	default:
		err = newError("0A000", "message %T is not supported", msg)
	}
	if err != nil {
		c.fail(err)
		c.skip = true
	}
	return c.ctx.Err() == nil
}

func (c *session) status() byte {
	switch {
	case c.failed:
		return 'E'
	case c.explicit:
		return 'T'
	}
	return 'I'
}

func (c *session) ready() error {
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: c.status()})
	return c.flush()
}

// fail reports an error and marks or ends the transaction.
func (c *session) fail(err error) {
	c.be.Send(asSQLError(err).response("ERROR"))
	switch {
	case !c.explicit:
		c.endTransaction()
	case len(c.savepoints) == 0:
		// Without a savepoint to return to, nothing of the transaction can be kept.
		c.failed = true
		c.rollbackWork()
	default:
		c.failed = true
	}
}

// statement returns a context that a cancel request or the end of the session ends, for the duration of one statement.
func (c *session) statement() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		c.cancel = nil
		c.mu.Unlock()
		cancel()
	}
}

// rollbackWork discards what the transaction wrote and releases its connections.
func (c *session) rollbackWork() {
	if c.tx != nil {
		c.tx.mu.Lock()
		c.tx.end()
		c.tx.mu.Unlock()
		c.tx = nil
	}
	if c.snapshot != nil {
		_, _ = c.snapshot.ExecContext(context.Background(), "ROLLBACK")
		_ = c.snapshot.Close()
		c.snapStore.inUse.RUnlock()
		c.snapshot, c.snapStore = nil, nil
	}
}

// endTransaction rolls back and returns to the idle state.
func (c *session) endTransaction() {
	c.rollbackWork()
	c.explicit, c.failed, c.readOnly, c.savepoints = false, false, false, nil
	clear(c.local)
}

// endImplicit commits what ran outside of BEGIN ... COMMIT.
func (c *session) endImplicit() error {
	if c.explicit {
		return nil
	}
	for name := range c.portals {
		delete(c.portals, name)
	}
	return c.commitWork()
}

// commitWork commits and reports the point of the commit to the client.
func (c *session) commitWork() error {
	tx := c.tx
	c.tx = nil
	var p point.Point
	if tx != nil {
		if err := c.srv.awake(c.ctx); err != nil {
			c.tx = tx
			return err
		}
		var err error
		if p, err = c.srv.commit(tx); err != nil {
			c.endTransaction()
			return err
		}
	}
	c.endTransaction()
	if !p.IsZero() {
		c.be.Send(&pgproto3.ParameterStatus{Name: "verbena.position", Value: p.String()})
	}
	return nil
}

// begin starts an explicit transaction. A transaction with repeatable reads takes its snapshot at once.
func (c *session) begin(ctx context.Context, toks []token) error {
	if c.explicit {
		return nil // PostgreSQL answers with a warning only
	}
	text := strings.ToLower(render(toks))
	strict := strings.Contains(text, "repeatable read") || strings.Contains(text, "serializable")
	c.readOnly = strings.Contains(text, "read only")
	if strict && c.tx == nil {
		if err := c.takeSnapshot(ctx); err != nil {
			return err
		}
	}
	c.explicit = true
	c.before = maps.Clone(c.settings)
	return nil
}

func (c *session) takeSnapshot(ctx context.Context) error {
	if !c.readOnly {
		tx, err := c.srv.beginWrite(ctx, true)
		if err == nil {
			c.tx = tx
			return nil
		}
		if asSQLError(err).state != "25006" {
			return err
		}
	}
	st := c.srv.acquireStore()
	conn, err := st.reader.Conn(ctx)
	if err == nil {
		if _, err = conn.ExecContext(ctx, "BEGIN"); err == nil {
			_, err = conn.ExecContext(ctx, "SELECT count(*) FROM sqlite_master")
		}
	}
	if err != nil {
		if conn != nil {
			_ = conn.Close()
		}
		st.inUse.RUnlock()
		return err
	}
	c.snapshot, c.snapStore = conn, st
	return nil
}

// simple runs the statements of a simple query in one implicit transaction.
func (c *session) simple(text string) {
	ctx, done := c.statement()
	defer done()
	toks, err := scan(text)
	if err != nil {
		c.fail(err)
		return
	}
	list := splitStatements(toks)
	if len(list) == 0 {
		c.be.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, stmt := range list {
		res, err := c.runStatement(ctx, stmt, nil)
		var wire []pgproto3.BackendMessage
		if err == nil {
			wire, err = c.encodeResult(res)
		}
		// The answer to the last statement follows the commit, so that a failed commit is not preceded by it.
		if err == nil && i == len(list)-1 {
			err = c.endImplicit()
		}
		if err != nil {
			c.fail(err)
			return
		}
		for _, m := range wire {
			c.be.Send(m)
		}
	}
}

func (c *session) encodeResult(res *result) ([]pgproto3.BackendMessage, error) {
	var out []pgproto3.BackendMessage
	if res.cols != nil {
		out = append(out, rowDescription(res.cols, nil))
		for _, row := range res.rows {
			m, err := c.dataRow(res.cols, nil, row)
			if err != nil {
				return nil, err
			}
			out = append(out, m)
		}
	}
	return append(out, &pgproto3.CommandComplete{CommandTag: []byte(res.tag)}), nil
}

func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return pgtype.TextFormatCode
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return pgtype.TextFormatCode
}

func rowDescription(cols []column, formats []int16) *pgproto3.RowDescription {
	m := &pgproto3.RowDescription{}
	for i, col := range cols {
		m.Fields = append(m.Fields, pgproto3.FieldDescription{
			Name: []byte(col.name), DataTypeOID: col.typ, DataTypeSize: -1, TypeModifier: -1, Format: formatOf(formats, i),
		})
	}
	return m
}

func (c *session) dataRow(cols []column, formats []int16, row []any) (*pgproto3.DataRow, error) {
	m := &pgproto3.DataRow{Values: make([][]byte, len(row))}
	for i, v := range row {
		if i >= len(cols) {
			return nil, newError("XX000", "the row has more columns than its description")
		}
		var err error
		if m.Values[i], err = encode(c.types, cols[i].typ, formatOf(formats, i), v); err != nil {
			return nil, err
		}
	}
	return m, nil
}
