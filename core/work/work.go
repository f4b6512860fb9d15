// Package work defines units of work: what a VM asks of the owner of a database server, and the answer.
//
// The protocol frames inside are opaque here. Unit, Final and ServerInfo have exported fields because they travel
// between VMs through a codec.
package work

import (
	"context"
	"time"

	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
)

// Unit is what a caller sends up to one point where it waits for the answer: a simple query, or extended-query messages
// up to and including a Sync.
type Unit struct {
	// Service and Server name the service and the address of the server that the unit is to run on.
	Service string `cbor:"1,keyasint"`
	Server  string `cbor:"2,keyasint"`
	// Caller is the user name of the caller.
	Caller string `cbor:"3,keyasint"`
	// Term and Position are the point that the server must have applied; zero for no requirement.
	Term     uint64 `cbor:"4,keyasint,omitempty"`
	Position uint64 `cbor:"5,keyasint,omitempty"`
	// NeedsPrimary says that only the primary of Term may run the unit.
	NeedsPrimary bool `cbor:"6,keyasint,omitempty"`
	// Class and Fingerprint describe the unit's statements; Class is the most demanding one.
	Class       stmt.Class `cbor:"7,keyasint"`
	Fingerprint uint64     `cbor:"8,keyasint"`
	// Left is the time that remains of the unit's deadline.
	Left time.Duration `cbor:"9,keyasint"`
	// Frames are the frontend messages. Statement names in them are the Name values of Prepared.
	Frames []byte `cbor:"10,keyasint"`
	// Prepared defines statements that the frames use and that earlier units prepared.
	Prepared []Prepared `cbor:"11,keyasint,omitempty"`
	// Keep says that the stream keeps its server connection after the unit although no transaction is open.
	Keep bool `cbor:"12,keyasint,omitempty"`
	// Once is set for a declared non-idempotent request.
	Once *OnceKey `cbor:"13,keyasint,omitempty"`
	// MaxAge is the greatest age of the data that a read accepts; zero for no limit besides the required point.
	MaxAge time.Duration `cbor:"14,keyasint,omitempty"`
	// Deferred says that the unit has waited for a server that could run it. Such units come in bursts that say nothing about
	// the demand.
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

// OnceKey identifies a declared non-idempotent request of a caller.
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

// ServerInfo is what an owner tells about its server with each answer.
type ServerInfo struct {
	Address string    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Applied uint64    `cbor:"3,keyasint"`
	Role    port.Role `cbor:"4,keyasint"`
	Leaving bool      `cbor:"5,keyasint,omitempty"`
	// Queue counts the short units that wait. Long ones wait for a smaller number of slots, and do not delay short ones.
	Queue int `cbor:"6,keyasint,omitempty"`
	// Running counts the units that use a slot.
	Running  int           `cbor:"9,keyasint,omitempty"`
	Age      time.Duration `cbor:"7,keyasint,omitempty"`
	AgeKnown bool          `cbor:"8,keyasint,omitempty"`
}

// AppliedPoint returns the point that reads on the server see.
func (i ServerInfo) AppliedPoint() point.Point { return point.New(i.Term, i.Applied) }

// Confirmed is the answer to a barrier request: a point that covers every write acknowledged before the request, and what
// the answering VM knows of the group's servers.
type Confirmed struct {
	point    point.Point
	required map[string]point.Point
	servers  []ServerInfo
}

// NewConfirmed returns the answer to a barrier request. Required holds lower points for some callers, each of which covers the
// writes of that caller.
func NewConfirmed(p point.Point, required map[string]point.Point, servers []ServerInfo) Confirmed {
	return Confirmed{point: p, required: required, servers: servers}
}

// Point returns the point that covers the writes of all callers.
func (c Confirmed) Point() point.Point { return c.point }

// Required returns a point that covers the writes of a caller.
func (c Confirmed) Required(caller string) point.Point {
	if p, ok := c.required[caller]; ok {
		return p
	}
	return c.point
}

// Callers returns the points of the callers that have one of their own.
func (c Confirmed) Callers() map[string]point.Point { return c.required }

// Servers returns what the answering VM knows of the group's servers.
func (c Confirmed) Servers() []ServerInfo { return c.servers }

// Final ends the answer to a unit.
type Final struct {
	// Code is OK if the frames passed to the sink are the whole answer, also when they hold an error response of the
	// server. Otherwise the caller gets an error made from Code and Message after the frames passed so far.
	Code    result.Code `cbor:"1,keyasint"`
	Message string      `cbor:"2,keyasint,omitempty"`
	// Term and Position are the point of the unit's commit; zero if it committed nothing.
	Term     uint64 `cbor:"3,keyasint,omitempty"`
	Position uint64 `cbor:"4,keyasint,omitempty"`
	// Status is the transaction status after the unit.
	Status TxStatus `cbor:"5,keyasint"`
	// Info describes the server at the end of the unit; nil if it is not known.
	Info *ServerInfo `cbor:"6,keyasint,omitempty"`
	// Cost is the service time that the owner expects of the unit's fingerprint; zero if it is not known.
	Cost time.Duration `cbor:"7,keyasint,omitempty"`
	// Gone says that the stream has lost its server connection, with the transaction and the session state in it. No later
	// unit may run on the stream.
	Gone bool `cbor:"8,keyasint,omitempty"`
}

// Committed returns the point of the unit's commit, zero if it committed nothing.
func (f Final) Committed() point.Point { return point.New(f.Term, f.Position) }

// Err returns nil for OK and otherwise an error with the code.
func (f Final) Err() error {
	if f.Code == result.OK {
		return nil
	}
	return result.New(f.Code, "%s", f.Message)
}

// Fail returns a Final for err; the transaction status is idle.
func Fail(err error) Final {
	return Final{Code: result.CodeOf(err), Message: result.Message(err), Status: TxIdle}
}

// Sink takes the backend messages of an answer as they arrive, without ReadyForQuery. The slice is valid during the call.
type Sink func(frames []byte) error

// Stream is one caller's use of one server: a single unit, or the units of a transaction.
type Stream interface {
	// Run carries out one unit. Units of a stream run one after the other. A Final with outcome NotRun guarantees that
	// nothing of the unit took effect and that the sink was not called.
	Run(ctx context.Context, u Unit, sink Sink) Final
	// Cancel asks the server to cancel the running unit.
	Cancel()
	// Close ends the stream. An open transaction is rolled back.
	Close()
}
