package remote

import (
	"math"
	"time"

	"verbenagate/core/even"
	"verbenagate/core/exec"
	"verbenagate/core/point"
	"verbenagate/core/query"
	"verbenagate/core/result"
)

// runCall asks the owner of a server to run a request there.
type runCall struct {
	Group  string `cbor:"1,keyasint"`
	Server string `cbor:"2,keyasint"`
	// Session identifies a transaction among those of the calling VM on this connection; 0 for a request outside of one.
	Session  uint64            `cbor:"3,keyasint,omitempty"`
	Kind     kind              `cbor:"4,keyasint"`
	ID       string            `cbor:"5,keyasint,omitempty"`
	Text     string            `cbor:"6,keyasint,omitempty"` // arguments if Kind is kindExecute
	Shape    string            `cbor:"7,keyasint,omitempty"` // of the prepared statement
	Writes   bool              `cbor:"8,keyasint,omitempty"` // the prepared statement writes
	ReadOnly bool              `cbor:"9,keyasint,omitempty"` // the transaction that begins
	Term     uint64            `cbor:"10,keyasint,omitempty"`
	Number   uint64            `cbor:"11,keyasint,omitempty"` // with Term, the position that the server must have
	Values   map[string]string `cbor:"12,keyasint,omitempty"` // session values of the caller
	// MaxAge is how old the data of a read may be; 0 if only Term and Number matter.
	MaxAge       time.Duration `cbor:"13,keyasint,omitempty"`
	Timeout      time.Duration `cbor:"14,keyasint"`
	AnswerWithin time.Duration `cbor:"15,keyasint"` // see pool.AcquireRequest
	Priority     int           `cbor:"16,keyasint,omitempty"`
	Workspace    string        `cbor:"17,keyasint,omitempty"` // of the caller
	// Place is that of the calling VM; see even.PlaceOf.
	Place even.Place `cbor:"18,keyasint,omitempty"`
	// SendBackAt is that of pool.AcquireRequest.
	SendBackAt int `cbor:"19,keyasint,omitempty"`
	// Commits is set for a commit. A stopping owner accepts it longer than other statements.
	Commits bool `cbor:"20,keyasint,omitempty"`
}

// kind is the kind of a request.
type kind uint8

const (
	kindRun kind = iota + 1
	kindExecute
	kindBegin
	kindRollback
)

// newRunCall returns the call for an operation, without the fields that do not depend on it. Shape is that of an execution.
func newRunCall(op exec.Operation, shape query.Shape) (runCall, error) {
	q := runCall{}
	var after point.Point
	switch op := op.(type) {
	case exec.Run:
		q.Kind, q.ID, q.Text, q.Commits, after = kindRun, op.ID(), op.Text(), op.Commits(), op.After()
	case exec.Execute:
		q.Kind, q.ID, q.Text, after = kindExecute, op.ID(), op.Arguments(), op.After()
		q.Shape, q.Writes = shape.Text(), shape.Writes()
	case exec.Begin:
		q.Kind, q.ReadOnly, after = kindBegin, op.ReadOnly(), op.After()
	case exec.Rollback:
		q.Kind = kindRollback
	default:
		return q, result.New(result.Unsupported, "a request of type %T cannot be forwarded", op)
	}
	q.Term, q.Number = after.Term(), after.Position()
	return q, nil
}

// after returns the position that the server must have.
func (q runCall) after() point.Point { return point.New(q.Term, q.Number) }

// runReply is the owner's reply to a runCall: the server's answer, or the error for which there is none.
type runReply struct {
	Error        result.Code `cbor:"1,keyasint,omitempty"` // 0 if the server answered
	Message      string      `cbor:"2,keyasint,omitempty"`
	Sent         bool        `cbor:"3,keyasint,omitempty"` // the request may have reached the server
	ServerFailed bool        `cbor:"4,keyasint,omitempty"` // the connection to the server failed
	Rows         []string    `cbor:"5,keyasint,omitempty"`
	Signature    string      `cbor:"6,keyasint,omitempty"`
	Code         result.Code `cbor:"7,keyasint,omitempty"`
	State        query.State `cbor:"8,keyasint,omitempty"`
	Term         uint64      `cbor:"9,keyasint,omitempty"`
	Number       uint64      `cbor:"10,keyasint,omitempty"`
	// Load is the load of the server, nil if the replying VM does not know it. It travels with the answers, so that knowing it
	// takes no calls.
	Load *load `cbor:"11,keyasint,omitempty"`
	// SentBack says that the request was refused because of its SendBackAt.
	SentBack bool `cbor:"12,keyasint,omitempty"`
}

// load is an even.Report in a form that takes few bytes.
type load struct {
	_             struct{} `cbor:",toarray"`
	Statements    uint
	DemandPercent uint
	NearPercent   uint
	ServiceMicros uint
	FailedPercent uint
}

// newLoad returns the message for a report, nil if the report is not known.
func newLoad(r even.Report) *load {
	if !r.Known() {
		return nil
	}
	return &load{
		Statements: uint(r.Load()), DemandPercent: uint(math.Round(100 * r.Demand())), NearPercent: uint(math.Round(100 * r.Near())),
		ServiceMicros: uint(max(r.Service().Microseconds(), 1)), FailedPercent: uint(math.Round(100 * r.Failed())),
	}
}

// report returns the report in the message. It is not Known if there is none. Values that no server can have are cut off.
func (l *load) report() even.Report {
	if l == nil {
		return even.Report{}
	}
	return even.NewReport(int(min(l.Statements, math.MaxInt32)), float64(l.DemandPercent)/100, float64(l.NearPercent)/100,
		time.Duration(min(l.ServiceMicros, math.MaxInt32))*time.Microsecond).WithFailures(float64(l.FailedPercent) / 100)
}

func errorReply(err error, sent, serverFailed bool) runReply {
	return runReply{Error: result.CodeOf(err), Message: result.Message(err), Sent: sent, ServerFailed: serverFailed}
}

func newRunReply(r exec.Result) runReply {
	return runReply{
		Rows: r.Rows(), Signature: r.Signature(), Code: r.Code(), Message: r.Message(), State: r.State(), Term: r.Point().Term(),
		Number: r.Point().Position(),
	}
}

// result returns the server's answer.
func (r runReply) result() exec.Result {
	return exec.NewResult(r.Rows, r.Signature, r.Code, r.Message, r.State, point.New(r.Term, r.Number))
}

// releaseCall ends a transaction without an answer. The owner closes the transaction's connection to the server.
type releaseCall struct {
	Session uint64 `cbor:"1,keyasint"`
}

// positionCall asks the owner of a group's primary for the primary's log position.
type positionCall struct {
	Group string `cbor:"1,keyasint"`
}

// positionReply is a log position of the primary that the record of a version names. Every commit that was acknowledged until Age
// before the reply is at or below it.
type positionReply struct {
	Known   bool          `cbor:"1,keyasint,omitempty"`
	Version uint64        `cbor:"2,keyasint,omitempty"`
	Age     time.Duration `cbor:"3,keyasint,omitempty"`
	Term    uint64        `cbor:"4,keyasint,omitempty"`
	Number  uint64        `cbor:"5,keyasint,omitempty"`
}
