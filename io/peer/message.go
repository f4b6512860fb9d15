package peer

import (
	"time"

	"verbenagate/core/member"
	"verbenagate/core/work"
)

// Message is what VMs send each other. The set is closed; kinds lists it. The fields are exported for the codec.
type Message interface{ message() }

// Hello opens a connection, in both directions.
type Hello struct {
	Protocol uint64        `cbor:"1,keyasint"`
	VM       member.Record `cbor:"2,keyasint"`
}

// Heartbeat tells that a VM is alive.
type Heartbeat struct {
	Incarnation uint64       `cbor:"1,keyasint"`
	State       member.State `cbor:"2,keyasint"`
	// Revision is the number of the configuration revision in force.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// Digest is that of the sender's view of the members.
	Digest uint64 `cbor:"4,keyasint"`
	// Probe asks for an acknowledgement.
	Probe bool `cbor:"5,keyasint,omitempty"`
}

// HeartbeatAck answers a Heartbeat that asked for it.
type HeartbeatAck struct {
	Incarnation uint64       `cbor:"1,keyasint"`
	State       member.State `cbor:"2,keyasint"`
	Revision    uint64       `cbor:"3,keyasint,omitempty"`
	Digest      uint64       `cbor:"4,keyasint"`
}

// Members carries records of VMs, or digests of data centres for comparison.
type Members struct {
	Records []member.Record `cbor:"1,keyasint,omitempty"`
	// Bulk marks all records of a data centre, sent because the digests differed.
	Bulk    bool              `cbor:"2,keyasint,omitempty"`
	Digests map[string]uint64 `cbor:"3,keyasint,omitempty"`
}

// Unit carries one unit of work to the owner of its server.
type Unit struct {
	Stream uint64 `cbor:"1,keyasint"`
	// Number counts the units of the stream from 1.
	Number uint64    `cbor:"2,keyasint"`
	Work   work.Unit `cbor:"3,keyasint"`
}

// UnitPart carries the first part of the frames of a unit that does not fit into one message. The Unit follows.
type UnitPart struct {
	Stream uint64 `cbor:"1,keyasint"`
	Frames []byte `cbor:"2,keyasint"`
}

// Answer carries a part of the answer to a unit. The last part has Final set.
type Answer struct {
	Stream uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// Seq counts the answers to the unit from 0.
	Seq    uint64      `cbor:"3,keyasint"`
	Frames []byte      `cbor:"4,keyasint,omitempty"`
	Final  *work.Final `cbor:"5,keyasint,omitempty"`
	// More says that the next part continues a piece that the owner's stream passed on as a whole.
	More bool `cbor:"6,keyasint,omitempty"`
}

// Window tells how many bytes of frames the caller's VM has passed on since the stream began.
type Window struct {
	Stream uint64 `cbor:"1,keyasint"`
	Passed uint64 `cbor:"2,keyasint"`
}

// Close ends a stream.
type Close struct {
	Stream uint64 `cbor:"1,keyasint"`
}

// Cancel cancels the running unit of a stream.
type Cancel struct {
	Stream uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Call carries a request.
type Call struct {
	ID uint64 `cbor:"1,keyasint"`
	// Left is the time that remains of the request's deadline; 0 for none.
	Left time.Duration `cbor:"2,keyasint,omitempty"`
	// Body is an encoded Request.
	Body []byte `cbor:"3,keyasint"`
}

// Return carries the reply to a call or its error.
type Return struct {
	ID      uint64 `cbor:"1,keyasint"`
	Code    uint16 `cbor:"2,keyasint"`
	Message string `cbor:"3,keyasint,omitempty"`
	// Body is an encoded Reply; empty with an error.
	Body []byte `cbor:"4,keyasint,omitempty"`
}

// Request is a message that asks another VM for a Reply.
type Request interface {
	Message
	request()
}

// Reply answers a Request.
type Reply interface {
	Message
	reply()
}

// BarrierRequest asks a watcher of the service's group for a confirmed point; the reply is a BarrierAnswer.
type BarrierRequest struct {
	Service string `cbor:"1,keyasint"`
	// Callers are the user names of the sessions that wait for it.
	Callers []string `cbor:"2,keyasint,omitempty"`
}

// BarrierAnswer is a point that covers every write acknowledged before the request.
type BarrierAnswer struct {
	Term     uint64 `cbor:"1,keyasint"`
	Position uint64 `cbor:"2,keyasint"`
	// Servers is what the answering VM knows of the group's servers.
	Servers []work.ServerInfo `cbor:"3,keyasint,omitempty"`
	// Required are positions of the same term that cover the writes of the callers in the request, in their order. It is
	// empty if the answering VM does not own the primary.
	Required []uint64 `cbor:"4,keyasint,omitempty"`
}

// ViewRequest asks a watcher for its judgement of a group's primary; the reply is a ViewAnswer.
type ViewRequest struct {
	Group string `cbor:"1,keyasint"`
}

// ViewAnswer is a watcher's judgement of a group's primary.
type ViewAnswer struct {
	// Health is a failov.Health.
	Health  uint8        `cbor:"1,keyasint"`
	Primary string       `cbor:"2,keyasint,omitempty"`
	Term    uint64       `cbor:"3,keyasint,omitempty"`
	Servers []ServerSeen `cbor:"4,keyasint,omitempty"`
}

// ServerSeen is what a watcher last saw of a server.
type ServerSeen struct {
	Address string `cbor:"1,keyasint"`
	// Age is the time since the last status; it means nothing unless Known.
	Age     time.Duration `cbor:"2,keyasint,omitempty"`
	Known   bool          `cbor:"3,keyasint,omitempty"`
	Refused int           `cbor:"4,keyasint,omitempty"`
}

// RevisionRequest asks for the configuration revisions after a number, up to Limit; the reply is Revisions.
type RevisionRequest struct {
	After uint64 `cbor:"1,keyasint"`
	Limit int    `cbor:"2,keyasint"`
	// Part asks for a later part of a snapshot, counted from 0.
	Part int `cbor:"3,keyasint,omitempty"`
}

// Revisions carries consecutive configuration revisions.
type Revisions struct {
	// Head is the highest revision in force at the sender.
	Head uint64     `cbor:"1,keyasint"`
	List []Revision `cbor:"2,keyasint,omitempty"`
	// Snapshot replaces revisions that the sender no longer keeps.
	Snapshot []byte `cbor:"3,keyasint,omitempty"`
	// Parts is the number of parts of a snapshot that does not fit into one message.
	Parts int `cbor:"4,keyasint,omitempty"`
}

// Revision is one encoded configuration revision.
type Revision struct {
	Number uint64 `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}

// CancelForward carries a cancel request of a caller to a VM that may hold the caller's session; the reply is Done.
type CancelForward struct {
	ProcessID uint32 `cbor:"1,keyasint"`
	Secret    []byte `cbor:"2,keyasint"`
}

// PrimaryNews announces a new primary; the reply is Done.
type PrimaryNews struct {
	Service string `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
}

// DrainRequest asks a VM to stop gracefully; the reply is Done.
type DrainRequest struct{}

// DumpRequest asks a VM for its state dump; the reply is a DumpAnswer.
type DumpRequest struct{}

// DumpAnswer is a state dump in JSON.
type DumpAnswer struct {
	JSON []byte `cbor:"1,keyasint"`
}

// Done confirms a request that has no other answer.
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
