package peer

import (
	"time"

	"verbenagate/core/member"
	"verbenagate/core/work"
)

// Message is implemented by all messages that VMs exchange; kinds lists their types. The codec needs exported fields.
type Message interface{ message() }

// Hello is the first message in each direction of a connection.
type Hello struct {
	Protocol uint64        `cbor:"1,keyasint"`
	VM       member.Record `cbor:"2,keyasint"`
}

// Heartbeat reports that the sender is alive.
type Heartbeat struct {
	Incarnation uint64       `cbor:"1,keyasint"`
	State       member.State `cbor:"2,keyasint"`
	// Revision is the number of the configuration revision in force at the sender.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// Digest is the digest of the sender's view of the members.
	Digest uint64 `cbor:"4,keyasint"`
	// Probe asks the receiver for a HeartbeatAck.
	Probe bool `cbor:"5,keyasint,omitempty"`
}

// HeartbeatAck answers a Heartbeat whose Probe is set.
type HeartbeatAck struct {
	Incarnation uint64       `cbor:"1,keyasint"`
	State       member.State `cbor:"2,keyasint"`
	Revision    uint64       `cbor:"3,keyasint,omitempty"`
	Digest      uint64       `cbor:"4,keyasint"`
}

// Members carries records of VMs, or one digest per data centre so that the receiver can send the records that differ.
type Members struct {
	Records []member.Record `cbor:"1,keyasint,omitempty"`
	// Bulk is set if Records holds all records of the data centres whose digests differed.
	Bulk    bool              `cbor:"2,keyasint,omitempty"`
	Digests map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// Unit carries one unit of work to the VM that owns its server.
type Unit struct {
	Stream uint64 `cbor:"1,keyasint"`
	// Number numbers the units of the stream from 1.
	Number uint64    `cbor:"2,keyasint"`
	Work   work.Unit `cbor:"3,keyasint"`
}

// UnitPart carries leading frames of a unit that does not fit into one message. The Unit with the remaining frames follows.
type UnitPart struct {
	Stream uint64 `cbor:"1,keyasint"`
	Frames []byte `cbor:"2,keyasint"`
}

// Answer carries one part of the answer to a unit. Final is set in the last part.
type Answer struct {
	Stream uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// Seq numbers the parts of the answer from 0.
	Seq    uint64      `cbor:"3,keyasint"`
	Frames []byte      `cbor:"4,keyasint,omitempty"`
	Final  *work.Final `cbor:"5,keyasint,omitempty"`
	// More is set if the next part continues the same piece. The owner's stream delivered the piece in one call of its
	// sink, and the receiver reassembles it.
	More bool `cbor:"6,keyasint,omitempty"`
}

// Window reports how many bytes of frames the caller's VM has delivered to the caller since the stream was opened. The
// owner may then send more.
type Window struct {
	Stream    uint64 `cbor:"1,keyasint"`
	Delivered uint64 `cbor:"2,keyasint"`
}

// Close closes a stream.
type Close struct {
	Stream uint64 `cbor:"1,keyasint"`
}

// Cancel cancels the unit with this number if it is queued or running.
type Cancel struct {
	Stream uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Call carries a request to another VM.
type Call struct {
	ID uint64 `cbor:"1,keyasint"`
	// Remaining is the time until the request's deadline; 0 if it has none.
	Remaining time.Duration `cbor:"2,keyasint,omitempty"`
	// Body is an encoded Request.
	Body []byte `cbor:"3,keyasint"`
}

// Return carries the reply to a Call, or the error code and message.
type Return struct {
	ID      uint64 `cbor:"1,keyasint"`
	Code    uint16 `cbor:"2,keyasint"`
	Message string `cbor:"3,keyasint,omitempty"`
	// Body is an encoded Reply; empty if Code is an error.
	Body []byte `cbor:"4,keyasint,omitempty"`
}

// Request is a message that another VM answers with a Reply.
type Request interface {
	Message
	request()
}

// Reply answers a Request.
type Reply interface {
	Message
	reply()
}

// BarrierRequest asks a watcher of the service's group for a confirmed log position; the reply is a BarrierAnswer.
type BarrierRequest struct {
	Service string `cbor:"1,keyasint"`
	// Callers are the user names of the sessions that wait for the position.
	Callers []string `cbor:"2,keyasint,omitempty"`
}

// BarrierAnswer carries a term and log position that cover every write acknowledged before the request.
type BarrierAnswer struct {
	Term     uint64 `cbor:"1,keyasint"`
	Position uint64 `cbor:"2,keyasint"`
	// Servers describes the group's servers as the answering VM last saw them.
	Servers []work.ServerInfo `cbor:"3,keyasint,omitempty"`
	// Required holds, for each caller in the request and in the same order, a position of the same term that covers the
	// caller's writes. It is empty if the answering VM does not own the primary.
	Required []uint64 `cbor:"4,keyasint,omitempty"`
}

// ViewRequest asks a watcher for its health verdict on a group's primary; the reply is a ViewAnswer.
type ViewRequest struct {
	Group string `cbor:"1,keyasint"`
}

// ViewAnswer is a watcher's health verdict on a group's primary.
type ViewAnswer struct {
	// Health is a failov.Health.
	Health  uint8               `cbor:"1,keyasint"`
	Primary string              `cbor:"2,keyasint,omitempty"`
	Term    uint64              `cbor:"3,keyasint,omitempty"`
	Servers []ServerObservation `cbor:"4,keyasint,omitempty"`
}

// ServerObservation is what a watcher last saw of a server.
type ServerObservation struct {
	Address string `cbor:"1,keyasint"`
	// StatusAge is the time since the server's last status; it is valid only if StatusKnown is set.
	StatusAge   time.Duration `cbor:"2,keyasint,omitempty"`
	StatusKnown bool          `cbor:"3,keyasint,omitempty"`
	Refused     int           `cbor:"4,keyasint,omitempty"`
}

// RevisionRequest asks for up to Limit configuration revisions that follow revision After; the reply is Revisions.
type RevisionRequest struct {
	After uint64 `cbor:"1,keyasint"`
	Limit int    `cbor:"2,keyasint"`
	// Part is the part of a snapshot to return, counted from 0.
	Part int `cbor:"3,keyasint,omitempty"`
}

// Revisions carries consecutive configuration revisions.
type Revisions struct {
	// Head is the highest revision in force at the sender.
	Head uint64     `cbor:"1,keyasint"`
	List []Revision `cbor:"2,keyasint,omitempty"`
	// Snapshot replaces the revisions that the sender no longer keeps.
	Snapshot []byte `cbor:"3,keyasint,omitempty"`
	// Parts is the number of parts of a snapshot that does not fit into one message.
	Parts int `cbor:"4,keyasint,omitempty"`
}

// Revision is one encoded configuration revision.
type Revision struct {
	Number uint64 `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}

// CancelForward forwards a caller's cancel request to a VM that may have the caller's session; the reply is Done.
type CancelForward struct {
	ProcessID uint32 `cbor:"1,keyasint"`
	Secret    []byte `cbor:"2,keyasint"`
}

// PrimaryNews announces a new primary of a service; the reply is Done.
type PrimaryNews struct {
	Service string `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
}

// DrainRequest asks a VM to shut down gracefully; the reply is Done.
type DrainRequest struct{}

// DumpRequest asks a VM for its state dump; the reply is a DumpAnswer.
type DumpRequest struct{}

// DumpAnswer is a state dump in JSON.
type DumpAnswer struct {
	JSON []byte `cbor:"1,keyasint"`
}

// Done is the reply to a request that returns no data.
type Done struct{}

func (Hello) message()           {}
func (Heartbeat) message()       {}
func (HeartbeatAck) message()    {}
func (Members) message()         {}
func (Unit) message()            {}
func (UnitPart) message()        {}
func (Answer) message()          {}
func (Window) message()          {}
func (Close) message()           {}
func (Cancel) message()          {}
func (Call) message()            {}
func (Return) message()          {}
func (BarrierRequest) message()  {}
func (BarrierAnswer) message()   {}
func (ViewRequest) message()     {}
func (ViewAnswer) message()      {}
func (RevisionRequest) message() {}
func (Revisions) message()       {}
func (CancelForward) message()   {}
func (PrimaryNews) message()     {}
func (DrainRequest) message()    {}
func (DumpRequest) message()     {}
func (DumpAnswer) message()      {}
func (Done) message()            {}

func (BarrierRequest) request()  {}
func (ViewRequest) request()     {}
func (RevisionRequest) request() {}
func (CancelForward) request()   {}
func (PrimaryNews) request()     {}
func (DrainRequest) request()    {}
func (DumpRequest) request()     {}

func (BarrierAnswer) reply() {}
func (ViewAnswer) reply()    {}
func (Revisions) reply()     {}
func (DumpAnswer) reply()    {}
func (Done) reply()          {}
