// Package caller speaks PostgreSQL protocol 3 with callers and groups their messages into units of work.
//
// The package does no routing. It authenticates a caller, opens a Session of the Backend for it, passes each unit to
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

// Backend gives this package access to the rest of the VM. Its methods are called concurrently.
type Backend interface {
	// Service returns the service with the database name that a caller connects to, and false if there is none.
	Service(name string) (svcdef.Service, bool)
	// Open starts a session of an authenticated caller. If it fails, the caller gets the error with the SQLSTATE of its
	// code, and the connection is closed.
	Open(ctx context.Context, service, user string) (Session, error)
	// ForwardCancel forwards a cancel request that matches no session of this VM to the other VMs.
	ForwardCancel(processID uint32, secret []byte)
}

// Session is the backend's side of one caller's connection. Run, Err and Close are called by one goroutine. Cancel is
// called by other goroutines at any time before Close.
type Session interface {
	// Run executes a unit. It passes the backend frames of the answer to sink, in whole messages and without
	// ReadyForQuery, which this package makes from the Final's status.
	//
	// A Final that is not OK reaches the caller as an error. If the answer is shorter than 256 KiB by then, the caller
	// gets only the error. The sink doesn't report whether frames have reached the caller: once it has been called, a
	// backend must treat the answer as delivered and must not run the unit again.
	//
	// The request, and everything in it, is valid only during the call.
	Run(ctx context.Context, r Request, sink work.Sink) work.Final
	// Err returns an error if the session can't continue, for example because the server connection that held its
	// settings is lost. It is called after each unit. If it fails, the caller gets the error and its connection is closed.
	Err() error
	// Cancel requests the cancellation of the running unit and returns without waiting. It does nothing if no unit is
	// running.
	Cancel()
	// Close ends the session and rolls back an open transaction.
	Close()
}

// Request is a unit of work with the parser's description of its statements.
type Request struct {
	unit    work.Unit
	infos   []stmt.Info
	args    [][]byte
	formats []int16
}

// NewRequest returns a request. It is exported for the tests of backends.
func NewRequest(u work.Unit, infos []stmt.Info, args [][]byte, formats []int16) Request {
	return Request{unit: u, infos: infos, args: args, formats: formats}
}

// Unit returns the unit. Service, Caller, Class, Fingerprint, Remaining, Frames and Prepared are set.
func (r Request) Unit() work.Unit { return r.unit }

// Infos describes the unit's statements. A statement that is only parsed or described, not executed, appears as a read
// or as Unknown without an effect.
func (r Request) Infos() []stmt.Info { return r.infos }

// Args returns the parameter values of the unit's first Bind as the caller sent them, with nil for NULL. It returns nil
// if the unit has no Bind.
func (r Request) Args() [][]byte { return r.args }

// Formats returns the format codes of the first Bind: 0 is text and 1 is binary. No code means that all parameters are
// text, a single code applies to all parameters, and otherwise there is one for each.
func (r Request) Formats() []int16 { return r.formats }

// Logger writes log events. io/logs implements it.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

type noLogger struct{}

func (noLogger) Event(event.ID, ...zap.Field) {}

// halfCloser is implemented by TCP and TLS connections, which can close their writing side alone.
type halfCloser interface{ CloseWrite() error }

var (
	_ halfCloser = (*net.TCPConn)(nil)
	_ Logger     = noLogger{}
)
