// Package caller speaks PostgreSQL protocol 3 with callers and cuts their messages into units of work.
//
// The package owns no routing: it authenticates a caller, opens a Session of the Backend for it, hands each unit to
// the session and writes the answer.
package caller

import (
	"context"
	"net"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
)

// Backend connects callers with the rest of the VM. Its methods are called concurrently.
type Backend interface {
	// Service returns the service that a caller names as its database.
	Service(name string) (svcdef.Service, bool)
	// Open starts a session; it is called after authentication. An error goes to the caller with the SQLSTATE of its
	// code, and the connection is closed.
	Open(ctx context.Context, service, user string) (Session, error)
	// CancelForward passes a cancel request that belongs to no session of this VM.
	CancelForward(processID uint32, secret []byte)
}

// Session is the backend's side of one caller's connection. Run, Err and Close are called by one goroutine, and Cancel
// by others at any time before Close.
type Session interface {
	// Run carries out a unit. The backend frames of the answer go to sink, in whole messages and without
	// ReadyForQuery, which is made from the Final's status.
	//
	// A Final that is not OK reaches the caller as an error. If it comes before the answer's first 256 KiB, the caller
	// gets only the error. The sink doesn't report whether frames have reached the caller: once it has been called, a
	// backend must treat the answer as delivered and must not run the unit again.
	//
	// The request, and everything in it, is valid only during the call.
	Run(ctx context.Context, r Request, sink work.Sink) work.Final
	// Err returns an error if the session can't go on, for example because the server connection that held its
	// settings is lost. It is called after each unit; the caller gets the error and its connection is closed.
	Err() error
	// Cancel asks for the cancellation of the running unit, without waiting; without a unit it does nothing.
	Cancel()
	// Close ends the session. An open transaction is rolled back.
	Close()
}

// Request is a unit of work with what the parser found out about it.
type Request struct {
	unit    work.Unit
	infos   []stmt.Info
	args    [][]byte
	formats []int16
}

// NewRequest returns a request. The caller package makes the requests; a backend's tests make their own.
func NewRequest(u work.Unit, infos []stmt.Info, args [][]byte, formats []int16) Request {
	return Request{unit: u, infos: infos, args: args, formats: formats}
}

// Unit returns the unit. Service, Caller, Class, Fingerprint, Left, Frames and Prepared are set.
func (r Request) Unit() work.Unit { return r.unit }

// Infos describes the unit's statements. A statement that is only parsed or described, not executed, appears as a read
// or as Unknown without an effect.
func (r Request) Infos() []stmt.Info { return r.infos }

// Args returns the parameter values of the unit's first Bind as the caller sent them; NULL is nil. It returns nil if
// the unit has no Bind.
func (r Request) Args() [][]byte { return r.args }

// Formats returns the format codes of the first Bind: none for all text, one for all parameters, or one for each; 0 is
// text and 1 is binary.
func (r Request) Formats() []int16 { return r.formats }

// Logger takes log events. io/logs implements it.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

type noLogger struct{}

func (noLogger) Event(event.ID, ...zap.Field) {}

// halfCloser is the ability of TCP and TLS connections to end one direction.
type halfCloser interface{ CloseWrite() error }

var (
	_ halfCloser = (*net.TCPConn)(nil)
	_ Logger     = noLogger{}
)
