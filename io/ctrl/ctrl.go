// Package ctrl reads and changes the replication state of a database server, and ends connections to it, over a PostgreSQL
// connection.
package ctrl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/joomcode/errorx"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
)

// closeTimeout is the timeout for sending the Terminate message when a connection is closed.
const closeTimeout = 200 * time.Millisecond

// staleTermSQLState is the SQLSTATE with which a server refuses a request of a term below its promised term.
const staleTermSQLState = "55000"

// Client controls one server over a single connection, which it opens at the first call and reopens after a failure. It
// implements port.Endpoint, port.Fencer and port.Evictor. It is safe for concurrent use; calls run one at a time.
type Client struct {
	address  string
	database string
	login    svcdef.Login
	vm       string
	// connToken holds one token while conn is unused. A call takes the token before it uses conn.
	connToken chan struct{}
	conn      *pgconn.PgConn
	closed    chan struct{}
}

var (
	_ port.Endpoint = (*Client)(nil)
	_ port.Fencer   = (*Client)(nil)
	_ port.Evictor  = (*Client)(nil)
)

// New returns the client with which the VM vm controls the server at address. It opens no connection yet.
func New(address, database string, login svcdef.Login, vm string) *Client {
	c := &Client{
		address: address, database: database, login: login, vm: vm, connToken: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	c.connToken <- struct{}{}
	return c
}

// Address returns the server's host and port.
func (c *Client) Address() string { return c.address }

// Status returns the server's current state. If the server does not answer on a connection that an earlier call opened, the
// request is sent once more on a new connection, since the server may have been restarted in between.
func (c *Client) Status(ctx context.Context) (port.Status, error) {
	return c.callFunction(ctx, "SELECT * FROM verbena_status()", true)
}

// Promote makes the server the primary of term.
func (c *Client) Promote(ctx context.Context, term uint64) (port.Status, error) {
	return c.callFunction(ctx, fmt.Sprintf("SELECT * FROM verbena_promote(%d)", term), false)
}

// Fence makes the server refuse all requests of terms below term.
func (c *Client) Fence(ctx context.Context, term uint64) (port.Status, error) {
	return c.callFunction(ctx, fmt.Sprintf("SELECT * FROM verbena_fence(%d)", term), false)
}

// Follow makes the server a replica of the primary at address in term.
func (c *Client) Follow(ctx context.Context, term uint64, address string) (port.Status, error) {
	if strings.ContainsAny(address, "'\\\x00") {
		return port.Status{}, result.New(result.InvalidConfig,
			"address %q of the primary contains a quote, a backslash or a NUL character", address)
	}
	return c.callFunction(ctx, fmt.Sprintf("SELECT * FROM verbena_follow(%d, '%s')", term, address), false)
}

// Evict ends all connections of a VM to the server and returns their number. The server finds them by their application name.
func (c *Client) Evict(ctx context.Context, vm string) (int, error) {
	if strings.ContainsAny(vm, "'\\\x00") {
		return 0, result.New(result.InvalidConfig, "VM id %q contains a quote, a backslash or a NUL character", vm)
	}
	sql := fmt.Sprintf("SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name = '%s'", ApplicationName(vm))
	ended := 0
	err := c.withConn(ctx, func() error {
		results, err := c.exec(ctx, sql, true)
		for _, r := range results {
			ended += len(r.Rows)
		}
		return err
	})
	return ended, err
}

// Close waits for a running call to end and closes the connection. Later calls fail with result.ShuttingDown.
func (c *Client) Close() {
	select {
	case <-c.closed:
		return
	case <-c.connToken:
	}
	close(c.closed)
	c.closeConn()
}

// IsConnectionRefused reports whether err means that the connection was refused, so that no process listens at the
// address. It returns false for a server that does not answer.
func IsConnectionRefused(err error) bool {
	for err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		x := errorx.Cast(err)
		if x == nil {
			return false
		}
		err = x.Cause()
	}
	return false
}

// Connect opens a connection of a VM to a server, over TCP without TLS.
func Connect(ctx context.Context, address, database string, login svcdef.Login, vm string) (*pgconn.PgConn, error) {
	cfg, err := ConnectionConfig(address, database, login, vm)
	if err != nil {
		return nil, err
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, result.Wrap(result.ConnectFailed, err, "cannot connect to server %s", address)
	}
	return conn, nil
}

// ApplicationName returns the application_name of a VM's connections.
func ApplicationName(vm string) string { return "verbenagate/" + vm }

// ConnectionConfig returns the settings of a VM's connections to a server. The application name contains the VM's id,
// so that the server's own views show which VM holds a connection. The environment variables and files of libpq have no
// effect on the settings.
func ConnectionConfig(address, database string, login svcdef.Login, vm string) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, result.Wrap(result.InvalidConfig, err, "address %q is not host:port", address)
	}
	portNumber, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, result.Wrap(result.InvalidConfig, err, "port of address %q is not a number from 0 to 65535", address)
	}
	// pgconn accepts only a Config made by ParseConfig. The fields are set afterwards, so that no value needs quoting.
	cfg, err := pgconn.ParseConfig("host=127.0.0.1 sslmode=disable user=u password=p")
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "cannot create the default connection settings")
	}
	cfg.Host, cfg.Port = host, uint16(portNumber)
	cfg.Database, cfg.User, cfg.Password = database, login.User(), login.Password()
	cfg.TLSConfig, cfg.Fallbacks, cfg.ValidateConnect, cfg.AfterConnect = nil, nil, nil, nil
	cfg.RuntimeParams = map[string]string{"application_name": ApplicationName(vm)}
	return cfg, nil
}

// callFunction calls a control function and returns the status with which the server answers. If repeat is set, an unanswered
// call on a reused connection is sent once more.
func (c *Client) callFunction(ctx context.Context, sql string, repeat bool) (st port.Status, err error) {
	err = c.withConn(ctx, func() error {
		reused := c.conn != nil
		st, err = c.requestStatus(ctx, sql, repeat)
		if repeat && reused && result.CodeOf(err) == result.ConnectFailed && ctx.Err() == nil {
			st, err = c.requestStatus(ctx, sql, repeat)
		}
		return err
	})
	return st, err
}

// withConn calls f with exclusive use of conn.
func (c *Client) withConn(ctx context.Context, f func() error) error {
	select {
	case <-c.closed:
		return result.New(result.ShuttingDown, "the control client of server %s is closed", c.address)
	case <-ctx.Done():
		return result.Wrap(result.ConnectFailed, ctx.Err(), "gave up waiting for another control call to server %s to end", c.address)
	case <-c.connToken:
	}
	defer func() { c.connToken <- struct{}{} }()
	select {
	case <-c.closed:
		return result.New(result.ShuttingDown, "the control client of server %s is closed", c.address)
	default:
	}
	return f()
}

// requestStatus sends sql, which calls a control function, and decodes the status. It closes the connection if the answer is
// not a valid status.
func (c *Client) requestStatus(ctx context.Context, sql string, readOnly bool) (port.Status, error) {
	results, err := c.exec(ctx, sql, readOnly)
	if err != nil {
		return port.Status{}, err
	}
	st, err := decodeStatus(results)
	if err != nil {
		c.closeConn()
		return port.Status{}, result.Wrap(result.ProtocolError, err, "server %s gave an invalid answer to %s", c.address, sql)
	}
	return st, nil
}

// exec executes one statement, and opens the connection if necessary. It closes the connection if the answer is incomplete.
func (c *Client) exec(ctx context.Context, sql string, readOnly bool) ([]*pgconn.Result, error) {
	if c.conn == nil {
		conn, err := Connect(ctx, c.address, c.database, c.login, c.vm)
		if err != nil {
			return nil, err
		}
		c.conn = conn
	}
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, c.handleExecError(err, sql, readOnly)
	}
	return results, nil
}

func (c *Client) handleExecError(err error, sql string, readOnly bool) error {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && pgErr.Severity == "ERROR" {
		if pgErr.Code == staleTermSQLState {
			return result.Wrap(result.NoMajority, err, "server %s refused %s", c.address, sql)
		}
		return result.Wrap(result.StatementFailed, err, "server %s refused %s", c.address, sql)
	}
	safe := pgconn.SafeToRetry(err)
	c.closeConn()
	if readOnly || safe {
		return result.Wrap(result.ConnectFailed, err, "server %s did not answer %s", c.address, sql)
	}
	return result.Wrap(result.ConnectionLost, err, "server %s did not answer %s", c.address, sql)
}

func (c *Client) closeConn() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// replicaJSON is one element of the JSON array in the column replicas.
type replicaJSON struct {
	Address  string `json:"address"`
	Term     uint64 `json:"term"`
	Received uint64 `json:"received"`
}

// decodeStatus decodes the single row that each control function returns. Columns are found by name; received defaults to
// applied.
func decodeStatus(results []*pgconn.Result) (port.Status, error) {
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return port.Status{}, errors.New("the answer is not exactly one result with one row")
	}
	row := map[string][]byte{}
	for i, f := range results[0].FieldDescriptions {
		row[f.Name] = results[0].Rows[0][i]
	}
	var st port.Status
	var err error
	parseColumn := func(name string, required bool) uint64 {
		v, ok := row[name]
		if (!ok || v == nil) && !required {
			return 0
		}
		n, e := strconv.ParseUint(string(v), 10, 63)
		if e != nil && err == nil {
			err = fmt.Errorf("column %q is %q, not a number from 0 to 2^63-1", name, v)
		}
		return n
	}
	st.Term, st.Applied = parseColumn("term", true), parseColumn("applied", true)
	st.Promised = max(parseColumn("promised", false), st.Term)
	st.Received = st.Applied
	if row["received"] != nil {
		st.Received = parseColumn("received", true)
	}
	st.Connections = int(parseColumn("connections", false))
	if err != nil {
		return port.Status{}, err
	}
	switch string(row["role"]) {
	case "primary":
		st.Role = port.RolePrimary
	case "replica":
		st.Role = port.RoleReplica
	default:
		return port.Status{}, fmt.Errorf("column \"role\" is %q, neither \"primary\" nor \"replica\"", row["role"])
	}
	switch string(row["leaving"]) {
	case "t", "true", "1":
		st.Leaving = true
	}
	if v := row["replicas"]; len(v) > 0 {
		var list []replicaJSON
		if err := json.Unmarshal(v, &list); err != nil {
			return port.Status{}, fmt.Errorf("cannot decode column \"replicas\": %w", err)
		}
		for _, r := range list {
			st.Replicas = append(st.Replicas, port.ReplicaStatus{Address: r.Address, Term: r.Term, Received: r.Received})
		}
	}
	return st, nil
}
