// Package query defines the requests that a session can send in the line protocol, and the session's transaction state.
//
// A request that is forwarded to a server keeps the text that the caller sent, because the server's signature covers that text.
package query

// Statement is one request of a session: Begin, Commit, Rollback, Read, Write, Set, Prepare, Execute, Forget or Invalid.
type Statement interface{ statement() }

// Begin opens a transaction, which may be read-only.
type Begin struct{ readOnly bool }

// Commit commits the open transaction.
type Commit struct{ text string }

// Rollback rolls the open transaction back.
type Rollback struct{}

// Read reads one item.
type Read struct{ text string }

// Write changes one item.
type Write struct{ text string }

// Set assigns a value to a session variable.
type Set struct{ name, value string }

// Prepare defines a named prepared statement for the rest of the session.
type Prepare struct {
	name  string
	shape Shape
}

// Execute runs a prepared statement.
type Execute struct{ name, arguments string }

// Forget drops a prepared statement.
type Forget struct{ name string }

// Invalid is a request that the line protocol does not define.
type Invalid struct{ reason string }

func (Begin) statement()    {}
func (Commit) statement()   {}
func (Rollback) statement() {}
func (Read) statement()     {}
func (Write) statement()    {}
func (Set) statement()      {}
func (Prepare) statement()  {}
func (Execute) statement()  {}
func (Forget) statement()   {}
func (Invalid) statement()  {}

// NewBegin returns a request that opens a transaction.
func NewBegin(readOnly bool) Begin { return Begin{readOnly: readOnly} }

// ReadOnly reports whether the transaction may not write.
func (s Begin) ReadOnly() bool { return s.readOnly }

// NewCommit returns a commit with the caller's text.
func NewCommit(text string) Commit { return Commit{text: text} }

// Text returns the caller's text.
func (s Commit) Text() string { return s.text }

// NewRead returns a read with the caller's text.
func NewRead(text string) Read { return Read{text: text} }

// Text returns the caller's text.
func (s Read) Text() string { return s.text }

// NewWrite returns a write with the caller's text.
func NewWrite(text string) Write { return Write{text: text} }

// Text returns the caller's text.
func (s Write) Text() string { return s.text }

// NewSet returns the assignment of value to the session variable name.
func NewSet(name, value string) Set { return Set{name: name, value: value} }

// Name returns the name of the session variable.
func (s Set) Name() string { return s.name }

// Value returns the value assigned.
func (s Set) Value() string { return s.value }

// NewPrepare returns the definition of a prepared statement.
func NewPrepare(name string, shape Shape) Prepare { return Prepare{name: name, shape: shape} }

// Name returns the caller's name for the prepared statement.
func (s Prepare) Name() string { return s.name }

// Shape returns the definition of the prepared statement.
func (s Prepare) Shape() Shape { return s.shape }

// NewExecute returns the execution of a prepared statement. The arguments are the caller's text after the name.
func NewExecute(name, arguments string) Execute { return Execute{name: name, arguments: arguments} }

// Name returns the caller's name for the prepared statement.
func (s Execute) Name() string { return s.name }

// Arguments returns the caller's text after the name.
func (s Execute) Arguments() string { return s.arguments }

// NewForget returns a request to drop a prepared statement.
func NewForget(name string) Forget { return Forget{name: name} }

// Name returns the caller's name for the prepared statement.
func (s Forget) Name() string { return s.name }

// NewInvalid returns an invalid request; reason says what is wrong with it.
func NewInvalid(reason string) Invalid { return Invalid{reason: reason} }

// Reason returns why the request is not valid.
func (s Invalid) Reason() string { return s.reason }

// Shape is the definition of a prepared statement without its name: its access mode and text. Shapes are comparable, and
// sessions with equal shapes share one prepared statement on a server connection.
type Shape struct {
	writes bool
	text   string
}

// NewShape returns the shape of a prepared statement.
func NewShape(writes bool, text string) Shape { return Shape{writes: writes, text: text} }

// Writes reports whether the statement writes.
func (s Shape) Writes() bool { return s.writes }

// Text returns the text of the statement as defined by the caller.
func (s Shape) Text() string { return s.text }

// State is the transaction state of a session or of a server connection. The zero value is not a valid state.
type State uint8

// The transaction states.
const (
	// Idle means that no transaction is open.
	Idle State = iota + 1
	// Open means that a transaction is open.
	Open
	// Failed means that the open transaction has failed and can only be ended.
	Failed
)

// String returns the state's name for log lines.
func (s State) String() string {
	switch s {
	case Idle:
		return "idle"
	case Open:
		return "open"
	case Failed:
		return "failed"
	}
	return "invalid"
}
