// Package ctrl controls one database server over a PostgreSQL connection.
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

// closeTimeout bounds the Terminate message to a server when a connection is closed.
const closeTimeout = 200 * time.Millisecond

// tooOldTerm is the SQLSTATE with which a server refuses a term below its promised one.
const tooOldTerm = "55000"

// Client controls one server over a single connection, which it opens when it is first needed and again after a
// failure. It implements port.Endpoint and port.Fencer, and is safe for concurrent use; calls run one at a time.
type Client struct {
	address  string
	database string
	login    svcdef.Login
	vm       string
	// turn holds one token; whoever has it owns conn.
	turn chan struct{}
	conn *pgconn.PgConn
	done chan struct{}
}

var (
	_ port.Endpoint = (*Client)(nil)
	_ port.Fencer   = (*Client)(nil)
	_ port.Evictor  = (*Client)(nil)
)

// New returns a client of a VM for the server at address. It opens no connection yet.
func New(address, database string, login svcdef.Login, vm string) *Client {
	c := &Client{
		address: address, database: database, login: login, vm: vm, turn: make(chan struct{}, 1), done: make(chan struct{}),
	}
	c.turn <- struct{}{}
	return c
}

// Address returns the server's host and port.
func (c *Client) Address() string { return c.address }

// Status returns the server's present state. An unanswered request is repeated once if the connection was opened by an
// earlier call, since the server may have been restarted in between.
func (c *Client) Status(ctx context.Context) (port.Status, error) {
	return c.call(ctx, "SELECT * FROM verbena_status()", true)
}

// Promote makes the server primary under term.
func (c *Client) Promote(ctx context.Context, term uint64) (port.Status, error) {
	return c.call(ctx, fmt.Sprintf("SELECT * FROM verbena_promote(%d)", term), false)
}

// Fence makes the server refuse everything below term.
func (c *Client) Fence(ctx context.Context, term uint64) (port.Status, error) {
	return c.call(ctx, fmt.Sprintf("SELECT * FROM verbena_fence(%d)", term), false)
}

// Follow makes the server a replica of the primary at address under term.
func (c *Client) Follow(ctx context.Context, term uint64, address string) (port.Status, error) {
	if strings.ContainsAny(address, "'\\\x00") {
		return port.Status{}, result.New(result.InvalidConfig, "address %q of the primary contains a quote", address)
	}
	return c.call(ctx, fmt.Sprintf("SELECT * FROM verbena_follow(%d, '%s')", term, address), false)
}

// Evict ends the connections of a VM, which the server finds by their application name.
func (c *Client) Evict(ctx context.Context, vm string) (int, error) {
	if strings.ContainsAny(vm, "'\\\x00") {
		return 0, result.New(result.InvalidConfig, "id %q of a VM contains a quote", vm)
	}
	sql := fmt.Sprintf("SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name = '%s'", ApplicationName(vm))
	ended := 0
	err := c.use(ctx, func() error {
		results, err := c.try(ctx, sql, true)
		for _, r := range results {
			ended += len(r.Rows)
		}
		return err
	})
	return ended, err
}

// Close closes the connection. A running call ends first.
func (c *Client) Close() {
	select {
	case <-c.done:
		return
	case <-c.turn:
	}
	close(c.done)
	c.drop()
}

// Refused reports whether err came from an address that refuses connections, so that no process listens there, as
// opposed to a server that stays silent.
func Refused(err error) bool {
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

// Connect logs a VM in to a server with a plain TCP connection.
func Connect(ctx context.Context, address, database string, login svcdef.Login, vm string) (*pgconn.PgConn, error) {
	cfg, err := Settings(address, database, login, vm)
	if err != nil {
		return nil, err
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, result.Wrap(result.ConnectFailed, err, "cannot connect to server %s", address)
	}
	return conn, nil
}

// ApplicationName returns the application name of a VM's connections.
func ApplicationName(vm string) string { return "verbenagate/" + vm }

// Settings returns the connection settings of a VM for a server. The VM's id is part of the application name, so that the
// server's own views show which VM holds a connection. Environment variables and files of libpq have no effect on
// them.
func Settings(address, database string, login svcdef.Login, vm string) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, result.Wrap(result.InvalidConfig, err, "address %q is not host:port", address)
	}
	number, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, result.Wrap(result.InvalidConfig, err, "port of address %q is not a number", address)
	}
	// pgconn accepts only a Config made by ParseConfig; the fields are set here, so that no value needs quoting.
	cfg, err := pgconn.ParseConfig("host=127.0.0.1 sslmode=disable user=u password=p")
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "connection settings")
	}
	cfg.Host, cfg.Port = host, uint16(number)
	cfg.Database, cfg.User, cfg.Password = database, login.User(), login.Password()
	cfg.TLSConfig, cfg.Fallbacks, cfg.ValidateConnect, cfg.AfterConnect = nil, nil, nil, nil
	cfg.RuntimeParams = map[string]string{"application_name": ApplicationName(vm)}
	return cfg, nil
}

// call carries out a control function, which returns the status.
func (c *Client) call(ctx context.Context, sql string, repeat bool) (st port.Status, err error) {
	err = c.use(ctx, func() error {
		reused := c.conn != nil
		st, err = c.status(ctx, sql, repeat)
		if repeat && reused && result.CodeOf(err) == result.ConnectFailed && ctx.Err() == nil {
			st, err = c.status(ctx, sql, repeat)
		}
		return err
	})
	return st, err
}

// use calls f while no other call uses the connection.
func (c *Client) use(ctx context.Context, f func() error) error {
	select {
	case <-c.done:
		return result.New(result.ShuttingDown, "control of server %s is closed", c.address)
	case <-ctx.Done():
		return result.Wrap(result.ConnectFailed, ctx.Err(), "control of server %s is busy", c.address)
	case <-c.turn:
	}
	defer func() { c.turn <- struct{}{} }()
	select {
	case <-c.done:
		return result.New(result.ShuttingDown, "control of server %s is closed", c.address)
	default:
	}
	return f()
}

// status carries out one control function. If the answer is no status, it drops the connection.
func (c *Client) status(ctx context.Context, sql string, readOnly bool) (port.Status, error) {
	results, err := c.try(ctx, sql, readOnly)
	if err != nil {
		return port.Status{}, err
	}
	st, err := decode(results)
	if err != nil {
		c.drop()
		return port.Status{}, result.Wrap(result.ProtocolError, err, "server %s answered %s", c.address, sql)
	}
	return st, nil
}

// try carries out one statement. If the answer is incomplete, it drops the connection.
func (c *Client) try(ctx context.Context, sql string, readOnly bool) ([]*pgconn.Result, error) {
	if c.conn == nil {
		conn, err := Connect(ctx, c.address, c.database, c.login, c.vm)
		if err != nil {
			return nil, err
		}
		c.conn = conn
	}
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, c.failed(err, sql, readOnly)
	}
	return results, nil
}

func (c *Client) failed(err error, sql string, readOnly bool) error {
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) && refusal.Severity == "ERROR" {
		if refusal.Code == tooOldTerm {
			return result.Wrap(result.NoMajority, err, "server %s refused %s", c.address, sql)
		}
		return result.Wrap(result.StatementFailed, err, "server %s refused %s", c.address, sql)
	}
	safe := pgconn.SafeToRetry(err)
	c.drop()
	if readOnly || safe {
		return result.Wrap(result.ConnectFailed, err, "server %s did not answer %s", c.address, sql)
	}
	return result.Wrap(result.ConnectionLost, err, "server %s did not answer %s", c.address, sql)
}

func (c *Client) drop() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// replica is one element of the column replicas.
type replica struct {
	Address  string `json:"address"`
	Term     uint64 `json:"term"`
	Received uint64 `json:"received"`
}

// decode reads the row that each control function returns. Columns are found by name; received defaults to applied.
func decode(results []*pgconn.Result) (port.Status, error) {
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return port.Status{}, errors.New("the answer is not a single row")
	}
	row := map[string][]byte{}
	for i, f := range results[0].FieldDescriptions {
		row[f.Name] = results[0].Rows[0][i]
	}
	var st port.Status
	var err error
	number := func(name string, required bool) uint64 {
		v, ok := row[name]
		if (!ok || v == nil) && !required {
			return 0
		}
		n, e := strconv.ParseUint(string(v), 10, 63)
		if e != nil && err == nil {
			err = fmt.Errorf("column %q is %q", name, v)
		}
		return n
	}
	st.Term, st.Applied = number("term", true), number("applied", true)
	st.Promised = max(number("promised", false), st.Term)
	st.Received = st.Applied
	if row["received"] != nil {
		st.Received = number("received", true)
	}
	st.Connections = int(number("connections", false))
	if err != nil {
		return port.Status{}, err
	}
	switch string(row["role"]) {
	case "primary":
		st.Role = port.RolePrimary
	case "replica":
		st.Role = port.RoleReplica
	default:
		return port.Status{}, fmt.Errorf("column \"role\" is %q", row["role"])
	}
	switch string(row["leaving"]) {
	case "t", "true", "1":
		st.Leaving = true
	}
	if v := row["replicas"]; len(v) > 0 {
		var list []replica
		if err := json.Unmarshal(v, &list); err != nil {
			return port.Status{}, fmt.Errorf("column \"replicas\": %w", err)
		}
		for _, r := range list {
			st.Replicas = append(st.Replicas, port.ReplicaStatus{Address: r.Address, Term: r.Term, Received: r.Received})
		}
	}
	return st, nil
}
