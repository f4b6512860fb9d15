// Package query defines the statements of a session in the line protocol, and the transaction state that they leave.
//
// A statement that a server runs keeps the text that the caller sent, since the server's signature covers it.
package query

// Statement is one request of a session: Begin, Commit, Rollback, Read, Write, Set, Prepare, Execute, Forget or Invalid.
type Statement interface{ statement() }

// Begin opens a transaction.
type Begin struct{ readOnly bool }

// Commit ends a transaction and keeps its writes.
type Commit struct{ text string }

// Rollback ends a transaction and drops its writes.
type Rollback struct{}

// Read reads one item.
type Read struct{ text string }

// Write changes one item.
type Write struct{ text string }

// Set assigns a session value.
type Set struct{ name, value string }

// Prepare names a statement shape for the rest of the session.
type Prepare struct {
	name  string
	shape Shape
}

// Execute runs a prepared statement.
type Execute struct{ name, arguments string }

// Forget drops a prepared statement.
type Forget struct{ name string }

// Invalid is a text that the protocol does not define.
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

// NewBegin returns the start of a transaction.
func NewBegin(readOnly bool) Begin { return Begin{readOnly: readOnly} }

// ReadOnly reports whether the transaction may not write.
func (s Begin) ReadOnly() bool { return s.readOnly }

// NewCommit returns the end of a transaction, with the caller's text.
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

// NewSet returns the assignment of a session value.
func NewSet(name, value string) Set { return Set{name: name, value: value} }

// Name returns the name of the session value.
func (s Set) Name() string { return s.name }

// Value returns the value assigned.
func (s Set) Value() string { return s.value }

// NewPrepare returns the naming of a statement shape.
func NewPrepare(name string, shape Shape) Prepare { return Prepare{name: name, shape: shape} }

// Name returns the name that the caller gave.
func (s Prepare) Name() string { return s.name }

// Shape returns what the name stands for.
func (s Prepare) Shape() Shape { return s.shape }

// NewExecute returns the run of a prepared statement; arguments is the rest of the caller's text.
func NewExecute(name, arguments string) Execute { return Execute{name: name, arguments: arguments} }

// Name returns the name that the caller gave.
func (s Execute) Name() string { return s.name }

// Arguments returns the text after the name.
func (s Execute) Arguments() string { return s.arguments }

// NewForget returns the end of a prepared statement.
func NewForget(name string) Forget { return Forget{name: name} }

// Name returns the name that the caller gave.
func (s Forget) Name() string { return s.name }

// NewInvalid returns a statement that cannot be run, with the reason.
func NewInvalid(reason string) Invalid { return Invalid{reason: reason} }

// Reason returns why the text is not valid.
func (s Invalid) Reason() string { return s.reason }

// Shape is what a prepared statement does. It is comparable, and two sessions with the same shape share one prepared
// statement of a server connection.
type Shape struct {
	writes bool
	text   string
}

// NewShape returns the shape of a prepared statement.
func NewShape(writes bool, text string) Shape { return Shape{writes: writes, text: text} }

// Writes reports whether the statement writes.
func (s Shape) Writes() bool { return s.writes }

// Text returns the shape's own text.
func (s Shape) Text() string { return s.text }

// State is the transaction state of a session or of a server connection.
type State uint8

// The transaction states.
const (
	// Idle is outside a transaction.
	Idle State = iota + 1
	// Open is inside a transaction.
	Open
	// Failed is inside a transaction that can only be ended.
	Failed
)

// String returns the name of the state in log lines.
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
