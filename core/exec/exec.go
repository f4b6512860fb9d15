// Package exec defines the requests sent on a connection to a database server, and the server's answers.
package exec

import (
	"time"

	"verbenagate/core/point"
	"verbenagate/core/query"
	"verbenagate/core/result"
)

// Operation is one request to a server: Begin, Rollback, Run, Execute, Prepare, Set, Reset, Status or Demote.
type Operation interface{ operation() }

// Begin opens a transaction on a server whose log holds everything up to a point. The zero point sets no requirement.
type Begin struct {
	readOnly bool
	after    point.Point
}

// Rollback rolls back the open transaction.
type Rollback struct{}

// Run forwards a caller's statement with its id and text.
type Run struct {
	id, text string
	after    point.Point
	commits  bool
}

// Execute runs a prepared statement for a caller, under the statement's name on this connection.
type Execute struct {
	id, name, arguments string
	after               point.Point
}

// Prepare prepares a statement shape on this connection.
type Prepare struct {
	name  string
	shape query.Shape
}

// Set assigns a session value on this connection.
type Set struct{ name, value string }

// Reset clears all session values and prepared statements of this connection.
type Reset struct{}

// Status asks for the server's ServerStatus.
type Status struct{}

// Demote turns a primary whose term is lower than this one into a replica.
type Demote struct{ term uint64 }

func (Begin) operation()    {}
func (Rollback) operation() {}
func (Run) operation()      {}
func (Execute) operation()  {}
func (Prepare) operation()  {}
func (Set) operation()      {}
func (Reset) operation()    {}
func (Status) operation()   {}
func (Demote) operation()   {}

// NewBegin returns the request to begin a transaction.
func NewBegin(readOnly bool, after point.Point) Begin { return Begin{readOnly: readOnly, after: after} }

// ReadOnly reports whether the transaction may not write.
func (o Begin) ReadOnly() bool { return o.readOnly }

// After returns the point that the log must hold.
func (o Begin) After() point.Point { return o.after }

// NewRun returns the request to run a caller's statement.
func NewRun(id, text string, after point.Point) Run { return Run{id: id, text: text, after: after} }

// NewCommit returns the request to run a caller's commit.
func NewCommit(id, text string) Run { return Run{id: id, text: text, commits: true} }

// Commits reports whether the statement is a commit.
func (o Run) Commits() bool { return o.commits }

// ID returns the id that the caller gave the statement.
func (o Run) ID() string { return o.id }

// Text returns the statement's text as the caller sent it.
func (o Run) Text() string { return o.text }

// After returns the point that the log must hold.
func (o Run) After() point.Point { return o.after }

// NewExecute returns the request to run a prepared statement.
func NewExecute(id, name, arguments string, after point.Point) Execute {
	return Execute{id: id, name: name, arguments: arguments, after: after}
}

// ID returns the id that the caller gave the statement.
func (o Execute) ID() string { return o.id }

// Name returns the statement's name on this connection.
func (o Execute) Name() string { return o.name }

// Arguments returns the text that the caller sent after the statement's name.
func (o Execute) Arguments() string { return o.arguments }

// After returns the point that the log must hold.
func (o Execute) After() point.Point { return o.after }

// NewPrepare returns the request to prepare a shape under a name.
func NewPrepare(name string, shape query.Shape) Prepare { return Prepare{name: name, shape: shape} }

// Name returns the statement's name on this connection.
func (o Prepare) Name() string { return o.name }

// Shape returns the statement shape to prepare.
func (o Prepare) Shape() query.Shape { return o.shape }

// NewSet returns the request to assign a session value.
func NewSet(name, value string) Set { return Set{name: name, value: value} }

// Name returns the name of the session value.
func (o Set) Name() string { return o.name }

// Value returns the value to assign.
func (o Set) Value() string { return o.value }

// NewDemote returns the request to demote a primary whose term is lower than term.
func NewDemote(term uint64) Demote { return Demote{term: term} }

// Term returns the lowest term whose primary is not demoted.
func (o Demote) Term() uint64 { return o.term }

// Result is a server's complete answer to a request.
type Result struct {
	rows      []string
	signature string
	code      result.Code
	message   string
	state     query.State
	point     point.Point
}

// NewResult returns an answer. Code is result.OK or the reason why the server refused the request or why it failed. P is
// zero if the server sent no log position.
func NewResult(rows []string, signature string, code result.Code, message string, state query.State, p point.Point) Result {
	return Result{rows: rows, signature: signature, code: code, message: message, state: state, point: p}
}

// Rows returns the rows, as the server sent them.
func (r Result) Rows() []string { return r.rows }

// Signature returns the server's signature for the answer.
func (r Result) Signature() string { return r.signature }

// Code returns result.OK or the reason for a refusal or failure.
func (r Result) Code() result.Code { return r.code }

// Message returns the server's error text for a refusal or failure.
func (r Result) Message() string { return r.message }

// State returns the connection's transaction state.
func (r Result) State() query.State { return r.state }

// Point returns the server's log position, zero if it sent none.
func (r Result) Point() point.Point { return r.point }

// ServerStatus is the role, term and log position that a server reports.
type ServerStatus struct {
	primary  bool
	term     uint64
	received point.Point
	lag      time.Duration
	conns    int
}

// NewServerStatus returns a status. Received is the newest log position that the server has received.
func NewServerStatus(primary bool, term uint64, received point.Point, lag time.Duration) ServerStatus {
	return ServerStatus{primary: primary, term: term, received: received, lag: lag}
}

// Primary reports whether the server claims to be the primary. A deposed primary may still do so.
func (s ServerStatus) Primary() bool { return s.primary }

// Term returns the newest term that the server has seen.
func (s ServerStatus) Term() uint64 { return s.term }

// Received returns the newest log position that the server has received.
func (s ServerStatus) Received() point.Point { return s.received }

// WithConnections returns the status with the number of connections that the server has, from all VMs.
func (s ServerStatus) WithConnections(n int) ServerStatus {
	s.conns = n
	return s
}

// Connections returns the number of connections that the server has, from all VMs, or 0 if it is not known.
func (s ServerStatus) Connections() int { return s.conns }

// Lag returns the replication lag: how far the server's reads are behind the log that it has received.
func (s ServerStatus) Lag() time.Duration { return s.lag }
