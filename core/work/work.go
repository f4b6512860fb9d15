// Package work defines units of work, which a VM sends to the VM that owns a database server, and their answers.
//
// This package does not interpret the protocol frames in them. Unit, Final and ServerInfo have exported fields because a
// codec encodes them for the connections between VMs.
package work

import (
	"context"
	"time"

	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
)

// Unit is the input that a caller sends before it waits for the answer: a simple query, or extended-query messages up to and
// including a Sync.
type Unit struct {
	// Service is the name of the service, and Server the address of the server that is to run the unit.
	Service string `cbor:"1,keyasint"`
	Server  string `cbor:"2,keyasint"`
	// Caller is the user name of the caller.
	Caller string `cbor:"3,keyasint"`
	// Term and Position form the point that the server must have applied; zero for no requirement.
	Term     uint64 `cbor:"4,keyasint,omitempty"`
	Position uint64 `cbor:"5,keyasint,omitempty"`
	// NeedsPrimary is set if only the primary of Term may run the unit.
	NeedsPrimary bool `cbor:"6,keyasint,omitempty"`
	// Class is the most demanding class of the unit's statements, and Fingerprint identifies them; see sess.Summary.
	Class       stmt.Class `cbor:"7,keyasint"`
	Fingerprint uint64     `cbor:"8,keyasint"`
	// Remaining is the time left until the unit's deadline.
	Remaining time.Duration `cbor:"9,keyasint"`
	// Frames are the frontend messages. They refer to prepared statements by the Name of their Prepared.
	Frames []byte `cbor:"10,keyasint"`
	// Prepared defines the statements that the frames use and that earlier units prepared.
	Prepared []Prepared `cbor:"11,keyasint,omitempty"`
	// KeepConnection is set if the stream must keep its server connection after the unit even if no transaction is open.
	KeepConnection bool `cbor:"12,keyasint,omitempty"`
	// IdempotencyKey is the idempotency key of a request that the service declares as non-idempotent, otherwise nil.
	IdempotencyKey *OnceKey `cbor:"13,keyasint,omitempty"`
	// MaxAge is the maximum age of the data that a read accepts; zero for no limit besides the required point.
	MaxAge time.Duration `cbor:"14,keyasint,omitempty"`
	// Deferred is set if the unit has waited for a server that could run it. Such units arrive in bursts, which are no
	// measure of the demand.
	Deferred bool `cbor:"15,keyasint,omitempty"`
}

// Required returns the point that the server must have applied.
func (u Unit) Required() point.Point { return point.New(u.Term, u.Position) }

// Prepared is the definition of a prepared statement. Name is derived from SQL and ParamOIDs, so that connections can
// share it.
type Prepared struct {
	Name      string   `cbor:"1,keyasint"`
	SQL       string   `cbor:"2,keyasint"`
	ParamOIDs []uint32 `cbor:"3,keyasint,omitempty"`
}

// OnceKey identifies one request of a caller that is declared as non-idempotent. Its outcome is kept for the duration Keep.
type OnceKey struct {
	Key  string        `cbor:"1,keyasint"`
	Keep time.Duration `cbor:"2,keyasint"`
}

// TxStatus is the transaction status of a server connection, with the values of ReadyForQuery.
type TxStatus byte

// The transaction statuses.
const (
	TxIdle   TxStatus = 'I'
	TxActive TxStatus = 'T'
	TxFailed TxStatus = 'E'
)

// ServerInfo is the state of a server that the owning VM adds to each answer.
type ServerInfo struct {
	Address string    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Applied uint64    `cbor:"3,keyasint"`
	Role    port.Role `cbor:"4,keyasint"`
	Leaving bool      `cbor:"5,keyasint,omitempty"`
	// Queue is the number of short units that wait for a slot. Long units wait for a separate, smaller number of slots and
	// do not delay short ones.
	Queue int `cbor:"6,keyasint,omitempty"`
	// Running is the number of units that occupy a slot.
	Running int `cbor:"9,keyasint,omitempty"`
	// Age is the age of the server's data; it is valid only if AgeKnown is set.
	Age      time.Duration `cbor:"7,keyasint,omitempty"`
	AgeKnown bool          `cbor:"8,keyasint,omitempty"`
}

// AppliedPoint returns the point up to which reads on the server see the log.
func (i ServerInfo) AppliedPoint() point.Point { return point.New(i.Term, i.Applied) }

// BarrierConfirmation is the answer to a barrier request: a point that covers every write acknowledged before the request, and
// the states of the group's servers that the answering VM has.
type BarrierConfirmation struct {
	point            point.Point
	requiredByCaller map[string]point.Point
	servers          []ServerInfo
}

// NewBarrierConfirmation returns the answer to a barrier request. RequiredByCaller holds a lower point for some callers, by
// user name, which covers only the writes of that caller.
func NewBarrierConfirmation(p point.Point, requiredByCaller map[string]point.Point, servers []ServerInfo) BarrierConfirmation {
	return BarrierConfirmation{point: p, requiredByCaller: requiredByCaller, servers: servers}
}

// Point returns the point that covers the writes of all callers.
func (c BarrierConfirmation) Point() point.Point { return c.point }

// RequiredFor returns a point that covers the writes of the caller: its own point if it has one, otherwise Point.
func (c BarrierConfirmation) RequiredFor(caller string) point.Point {
	if p, ok := c.requiredByCaller[caller]; ok {
		return p
	}
	return c.point
}

// RequiredByCaller returns the points of the callers that have their own, by user name. The map must not be changed.
func (c BarrierConfirmation) RequiredByCaller() map[string]point.Point { return c.requiredByCaller }

// Servers returns the states of the group's servers that the answering VM has.
func (c BarrierConfirmation) Servers() []ServerInfo { return c.servers }

// Final is the last part of the answer to a unit. It follows the frames that the sink received.
type Final struct {
	// Code is OK if the frames passed to the sink are the complete answer, even if they contain an error response of the
	// server. Otherwise the caller receives an error made from Code and Message after the frames passed so far.
	Code    result.Code `cbor:"1,keyasint"`
	Message string      `cbor:"2,keyasint,omitempty"`
	// Term and Position form the point of the unit's commit; zero if it committed nothing.
	Term     uint64 `cbor:"3,keyasint,omitempty"`
	Position uint64 `cbor:"4,keyasint,omitempty"`
	// Status is the transaction status after the unit.
	Status TxStatus `cbor:"5,keyasint"`
	// Info is the state of the server at the end of the unit; nil if it is not known.
	Info *ServerInfo `cbor:"6,keyasint,omitempty"`
	// Cost is the service time that the owner estimates for the unit's fingerprint; zero if it has no estimate.
	Cost time.Duration `cbor:"7,keyasint,omitempty"`
	// StreamLost is set if the stream has lost its server connection, with its transaction and session state. No further unit
	// may run on the stream.
	StreamLost bool `cbor:"8,keyasint,omitempty"`
}

// Committed returns the point of the unit's commit; zero if it committed nothing.
func (f Final) Committed() point.Point { return point.New(f.Term, f.Position) }

// Err returns nil if Code is OK, otherwise an error with Code and Message.
func (f Final) Err() error {
	if f.Code == result.OK {
		return nil
	}
	return result.New(f.Code, "%s", f.Message)
}

// FinalFromError returns a Final with the result code and message of err and transaction status idle.
func FinalFromError(err error) Final {
	return Final{Code: result.CodeOf(err), Message: result.Message(err), Status: TxIdle}
}

// Sink receives the backend messages of an answer as they arrive, without ReadyForQuery. The slice is valid only during the
// call.
type Sink func(frames []byte) error

// Stream runs units of one caller on one server: a single unit, the units of a transaction, or those of a pinned session.
type Stream interface {
	// Run runs one unit and passes its answer to sink. Units of a stream must run one after the other. A Final whose code
	// has the outcome NotRun guarantees that nothing of the unit took effect and that the sink was not called.
	Run(ctx context.Context, u Unit, sink Sink) Final
	// Cancel asks the server to cancel the running unit.
	Cancel()
	// Close ends the stream. An open transaction is rolled back.
	Close()
}
