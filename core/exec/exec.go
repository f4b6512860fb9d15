// Package exec defines what can be asked of a connection to a database server, and what comes back.
package exec

import (
	"time"

	"verbenagate/core/point"
	"verbenagate/core/query"
	"verbenagate/core/result"
)

// Operation is one request to a server: Begin, Rollback, Run, Execute, Prepare, Set, Reset, Status or Demote.
type Operation interface{ operation() }

// Begin opens a transaction on a log that holds everything up to a point; the zero point requires nothing.
type Begin struct {
	readOnly bool
	after    point.Point
}

// Rollback drops the open transaction.
type Rollback struct{}

// Run passes on a caller's statement with its id and text.
type Run struct {
	id, text string
	after    point.Point
}

// Execute passes on a caller's run of a prepared statement under the name that it has on this connection.
type Execute struct {
	id, name, arguments string
	after               point.Point
}

// Prepare prepares a shape on this connection.
type Prepare struct {
	name  string
	shape query.Shape
}

// Set assigns a session value on this connection.
type Set struct{ name, value string }

// Reset drops all session values and prepared statements of this connection.
type Reset struct{}

// Status asks for the server's Status.
type Status struct{}

// Demote makes a primary of a term below this one a replica.
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

// NewBegin returns the start of a transaction.
func NewBegin(readOnly bool, after point.Point) Begin { return Begin{readOnly: readOnly, after: after} }

// ReadOnly reports whether the transaction may not write.
func (o Begin) ReadOnly() bool { return o.readOnly }

// After returns the point that the log must hold.
func (o Begin) After() point.Point { return o.after }

// NewRun returns the run of a caller's statement.
func NewRun(id, text string, after point.Point) Run { return Run{id: id, text: text, after: after} }

// ID returns the caller's id of the statement.
func (o Run) ID() string { return o.id }

// Text returns the caller's text.
func (o Run) Text() string { return o.text }

// After returns the point that the log must hold.
func (o Run) After() point.Point { return o.after }

// NewExecute returns the run of a prepared statement.
func NewExecute(id, name, arguments string, after point.Point) Execute {
	return Execute{id: id, name: name, arguments: arguments, after: after}
}

// ID returns the caller's id of the statement.
func (o Execute) ID() string { return o.id }

// Name returns the statement's name on this connection.
func (o Execute) Name() string { return o.name }

// Arguments returns the caller's text after the name.
func (o Execute) Arguments() string { return o.arguments }

// After returns the point that the log must hold.
func (o Execute) After() point.Point { return o.after }

// NewPrepare returns the preparing of a shape under a name.
func NewPrepare(name string, shape query.Shape) Prepare { return Prepare{name: name, shape: shape} }

// Name returns the statement's name on this connection.
func (o Prepare) Name() string { return o.name }

// Shape returns what is prepared.
func (o Prepare) Shape() query.Shape { return o.shape }

// NewSet returns the assignment of a session value.
func NewSet(name, value string) Set { return Set{name: name, value: value} }

// Name returns the name of the session value.
func (o Set) Name() string { return o.name }

// Value returns the value assigned.
func (o Set) Value() string { return o.value }

// NewDemote returns the demotion of primaries below term.
func NewDemote(term uint64) Demote { return Demote{term: term} }

// Term returns the lowest term that stays primary.
func (o Demote) Term() uint64 { return o.term }

// Result is a server's whole answer.
type Result struct {
	rows      []string
	signature string
	code      result.Code
	message   string
	state     query.State
	point     point.Point
}

// NewResult returns an answer. Code is result.OK or says why the server refused or failed the request; point is zero if the
// server gave none.
func NewResult(rows []string, signature string, code result.Code, message string, state query.State, p point.Point) Result {
	return Result{rows: rows, signature: signature, code: code, message: message, state: state, point: p}
}

// Rows returns the rows, as the server sent them.
func (r Result) Rows() []string { return r.rows }

// Signature returns the server's signature for the answer.
func (r Result) Signature() string { return r.signature }

// Code returns result.OK or the reason of a refusal or failure.
func (r Result) Code() result.Code { return r.code }

// Message returns the server's text of a refusal or failure.
func (r Result) Message() string { return r.message }

// State returns the connection's transaction state.
func (r Result) State() query.State { return r.state }

// Point returns the position of the server's log.
func (r Result) Point() point.Point { return r.point }

// ServerStatus is what a server says of itself.
type ServerStatus struct {
	primary  bool
	term     uint64
	received point.Point
	lag      time.Duration
}

// NewServerStatus returns a status.
func NewServerStatus(primary bool, term uint64, received point.Point, lag time.Duration) ServerStatus {
	return ServerStatus{primary: primary, term: term, received: received, lag: lag}
}

// Primary reports whether the server takes itself for the primary.
func (s ServerStatus) Primary() bool { return s.primary }

// Term returns the newest term that the server knows.
func (s ServerStatus) Term() uint64 { return s.term }

// Received returns the newest position that the server has received.
func (s ServerStatus) Received() point.Point { return s.received }

// Lag returns how far the server's reads are behind what it has received.
func (s ServerStatus) Lag() time.Duration { return s.lag }
