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

// reportedSettings maps the settings that the server reports in ParameterStatus messages to their names there.
var reportedSettings = map[string]string{
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

// session is the state of one client connection.
type session struct {
	srv    *Server
	ctx    context.Context // ends when the session is terminated or the server stops
	stop   context.CancelFunc
	conn   net.Conn
	be     *pgproto3.Backend
	pid    uint32
	secret []byte
	types  *pgtype.Map
	user   string
	// applicationName is the application name from the startup message; SET does not change it.
	applicationName string

	settings         map[string]string
	localSettings    map[string]string // values of SET LOCAL, which last until the transaction ends
	settingsBeforeTx map[string]string // settings at the start of the transaction
	prepared         map[string]*prepared
	portals          map[string]*portal
	skipUntilSync    bool // messages are ignored after an error until the next Sync

	inTransactionBlock bool // between BEGIN and COMMIT or ROLLBACK
	transactionFailed  bool
	readOnly           bool
	tx                 *writeTx
	snapshotConn       *sql.Conn // connection of a repeatable-read transaction that cannot write
	snapshotStore      *store
	savepoints         []savepoint

	mu              sync.Mutex
	cancelStatement context.CancelFunc
}

// savepoint records how many statements the transaction's log entry had when the savepoint was set.
type savepoint struct {
	name           string
	statementCount int
}

// serveConn serves one accepted connection, which is a client session, a replication link or a cancel request.
func (s *Server) serveConn(r *run, conn net.Conn) {
	be := pgproto3.NewBackend(conn, conn)
	for {
		msg, err := be.ReceiveStartupMessage()
		if err != nil || s.waitUnfrozen(r.ctx) != nil {
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
	if c.cancelStatement != nil {
		c.cancelStatement()
	}
}

func (s *Server) serveClient(r *run, conn net.Conn, be *pgproto3.Backend, m *pgproto3.StartupMessage) {
	ctx, stop := context.WithCancel(r.ctx)
	defer stop()
	c := &session{
		srv: s, ctx: ctx, stop: stop, conn: conn, be: be, types: pgtype.NewMap(), settings: defaultSettings(), localSettings: map[string]string{},
		prepared: map[string]*prepared{}, portals: map[string]*portal{}, secret: make([]byte, 4), user: m.Parameters["user"],
	}
	_, _ = rand.Read(c.secret)
	c.applicationName = m.Parameters["application_name"]
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
		s.updateState(func() { delete(s.sessions, c.pid) })
	}()
	pause(ctx, s.cfg.OpenDelay)
	if err := c.authenticate(); err != nil {
		var sqlErr *sqlError
		if errors.As(err, &sqlErr) {
			c.refuse(err)
		}
		return
	}
	be.Send(&pgproto3.AuthenticationOk{})
	for k, name := range reportedSettings {
		be.Send(&pgproto3.ParameterStatus{Name: name, Value: c.settings[k]})
	}
	be.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	if c.sendReadyForQuery() != nil {
		return
	}
	for {
		msg, err := be.Receive()
		if err != nil || s.waitUnfrozen(ctx) != nil || !c.handleMessage(msg) {
			return
		}
	}
}

// admit registers the session. It returns false if the connection limit is reached or the server has stopped.
func (s *Server) admit(r *run, c *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.run != r {
		return false
	}
	if s.cfg.MaxConnections > 0 && len(s.sessions) >= s.cfg.MaxConnections {
		s.refusedConnections++
		return false
	}
	s.nextPID++
	c.pid = s.nextPID
	s.sessions[c.pid] = c
	s.peakConnections = max(s.peakConnections, len(s.sessions))
	s.notify()
	return true
}

func (c *session) refuse(err error) {
	c.be.Send(asSQLError(err).response("FATAL"))
	_ = c.flush()
}

// flush sends the buffered messages. While the server is frozen, it waits.
func (c *session) flush() error {
	if err := c.srv.waitUnfrozen(c.ctx); err != nil {
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

// handleMessage processes one message and reports whether the connection stays open.
func (c *session) handleMessage(msg pgproto3.FrontendMessage) bool {
	switch m := msg.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Sync:
		c.skipUntilSync = false
		if err := c.endImplicit(); err != nil {
			c.handleError(err)
		}
		return c.sendReadyForQuery() == nil
	case *pgproto3.Flush:
		return c.flush() == nil
	case *pgproto3.Query:
		c.simpleQuery(m.String)
		return c.sendReadyForQuery() == nil
	}
	if c.skipUntilSync {
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
		err = newError("0A000", "protocol message %T is not supported", msg)
	}
	if err != nil {
		c.handleError(err)
		c.skipUntilSync = true
	}
	return c.ctx.Err() == nil
}

func (c *session) txStatus() byte {
	switch {
	case c.transactionFailed:
		return 'E'
	case c.inTransactionBlock:
		return 'T'
	}
	return 'I'
}

func (c *session) sendReadyForQuery() error {
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus()})
	return c.flush()
}

// handleError sends err to the client. It marks an explicit transaction as failed and rolls back an implicit one.
func (c *session) handleError(err error) {
	c.be.Send(asSQLError(err).response("ERROR"))
	switch {
	case !c.inTransactionBlock:
		c.endTransaction()
	case len(c.savepoints) == 0:
		// Without a savepoint to roll back to, the whole transaction is lost, so its locks are released now.
		c.transactionFailed = true
		c.rollbackWork()
	default:
		c.transactionFailed = true
	}
}

// statementContext returns the context of one statement. It ends on a cancel request, at the end of the session, or when
// the caller calls the returned function.
func (c *session) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.cancelStatement = cancel
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		c.cancelStatement = nil
		c.mu.Unlock()
		cancel()
	}
}

// rollbackWork rolls back the transaction and releases its connections.
func (c *session) rollbackWork() {
	if c.tx != nil {
		c.tx.mu.Lock()
		c.tx.end()
		c.tx.mu.Unlock()
		c.tx = nil
	}
	if c.snapshotConn != nil {
		_, _ = c.snapshotConn.ExecContext(context.Background(), "ROLLBACK")
		_ = c.snapshotConn.Close()
		c.snapshotStore.inUse.RUnlock()
		c.snapshotConn, c.snapshotStore = nil, nil
	}
}

// endTransaction rolls back any open transaction and resets the transaction state of the session.
func (c *session) endTransaction() {
	c.rollbackWork()
	c.inTransactionBlock, c.transactionFailed, c.readOnly, c.savepoints = false, false, false, nil
	clear(c.localSettings)
}

// endImplicit commits the implicit transaction, if the session is not inside an explicit one, and closes its portals.
func (c *session) endImplicit() error {
	if c.inTransactionBlock {
		return nil
	}
	for name := range c.portals {
		delete(c.portals, name)
	}
	return c.commitWork()
}

// commitWork commits the transaction and reports its point to the client.
func (c *session) commitWork() error {
	tx := c.tx
	c.tx = nil
	var p point.Point
	if tx != nil {
		if err := c.srv.waitUnfrozen(c.ctx); err != nil {
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

// begin starts an explicit transaction. A repeatable-read or serializable transaction takes its snapshot immediately.
func (c *session) begin(ctx context.Context, toks []token) error {
	if c.inTransactionBlock {
		return nil // PostgreSQL only sends a warning
	}
	text := strings.ToLower(render(toks))
	repeatableRead := strings.Contains(text, "repeatable read") || strings.Contains(text, "serializable")
	c.readOnly = strings.Contains(text, "read only")
	if repeatableRead && c.tx == nil {
		if err := c.takeSnapshot(ctx); err != nil {
			return err
		}
	}
	c.inTransactionBlock = true
	c.settingsBeforeTx = maps.Clone(c.settings)
	return nil
}

func (c *session) takeSnapshot(ctx context.Context) error {
	if !c.readOnly {
		tx, err := c.srv.beginWrite(ctx, true)
		if err == nil {
			c.tx = tx
			return nil
		}
		if asSQLError(err).sqlState != "25006" {
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
	c.snapshotConn, c.snapshotStore = conn, st
	return nil
}

// simpleQuery runs all statements of a Query message in one implicit transaction.
func (c *session) simpleQuery(text string) {
	ctx, done := c.statementContext()
	defer done()
	toks, err := scan(text)
	if err != nil {
		c.handleError(err)
		return
	}
	list := splitStatements(toks)
	if len(list) == 0 {
		c.be.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, stmt := range list {
		res, err := c.runStatement(ctx, stmt, nil)
		var messages []pgproto3.BackendMessage
		if err == nil {
			messages, err = c.encodeResult(res)
		}
		// The result of the last statement is sent after the commit, so that the client sees no success if the commit
		// fails.
		if err == nil && i == len(list)-1 {
			err = c.endImplicit()
		}
		if err != nil {
			c.handleError(err)
			return
		}
		for _, m := range messages {
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
			return nil, newError("XX000", "the result row has more columns than its RowDescription")
		}
		var err error
		if m.Values[i], err = encodeValue(c.types, cols[i].typ, formatOf(formats, i), v); err != nil {
			return nil, err
		}
	}
	return m, nil
}
