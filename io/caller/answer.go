package caller

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"verbenagate/core/result"
)

const (
	// maxPooledBuffer is the largest capacity of a buffer that goes back to the pool, in bytes. It keeps out the buffers
	// of exceptionally long frames.
	maxPooledBuffer = maxBufferedAnswer + 64<<10
	severityFatal   = "FATAL"
	severityError   = "ERROR"
)

var answerBuffers = sync.Pool{New: func() any { b := make([]byte, 0, bufferSize); return &b }}

// answer collects the messages that a unit sends to the caller. The first maxBufferedAnswer bytes are buffered, so that
// the caller gets only the error if a unit fails early.
type answer struct {
	write    func([]byte) error
	buf      *[]byte
	scanner  scanner
	flushed  bool // something may have been written to the caller
	writeErr error
}

func newAnswer(write func([]byte) error) *answer {
	return &answer{write: write, buf: answerBuffers.Get().(*[]byte)}
}

// sink is the work.Sink of the unit: it appends frames of the backend to the answer.
func (a *answer) sink(frames []byte) error {
	if a.writeErr != nil {
		return a.writeErr
	}
	a.scanner.scan(frames)
	if len(*a.buf)+len(frames) > maxBufferedAnswer {
		if a.flush(); a.writeErr == nil && len(frames) > maxBufferedAnswer {
			a.writeErr = a.write(frames)
			return a.writeErr
		}
	}
	*a.buf = append(*a.buf, frames...)
	return a.writeErr
}

func (a *answer) flush() {
	if a.writeErr == nil && len(*a.buf) > 0 {
		a.writeErr = a.write(*a.buf)
	}
	a.flushed = true
	*a.buf = (*a.buf)[:0]
}

// discard drops the buffered bytes.
func (a *answer) discard() { *a.buf = (*a.buf)[:0] }

func (a *answer) appendMessage(m pgproto3.BackendMessage) { *a.buf = encode(*a.buf, m) }

// finish writes the buffered bytes and returns the buffer to the pool.
func (a *answer) finish() error {
	a.flush()
	if cap(*a.buf) <= maxPooledBuffer {
		answerBuffers.Put(a.buf)
	}
	a.buf = nil
	return a.writeErr
}

// scanner tracks the message boundaries in an answer and notes the messages that change the session's state.
type scanner struct {
	header        [5]byte
	headerLen     int  // bytes of header that have arrived
	bodyLeft      int  // bytes of the body that have not arrived
	confirmations int  // number of ParseComplete and CloseComplete messages
	hasError      bool // an ErrorResponse has arrived
}

// inMessage reports whether the answer so far ends in the middle of a message.
func (s *scanner) inMessage() bool { return s.bodyLeft > 0 || s.headerLen > 0 }

func (s *scanner) scan(b []byte) {
	for len(b) > 0 {
		if s.bodyLeft > 0 {
			k := min(s.bodyLeft, len(b))
			s.bodyLeft -= k
			b = b[k:]
			continue
		}
		k := copy(s.header[s.headerLen:], b)
		s.headerLen += k
		b = b[k:]
		if s.headerLen < len(s.header) {
			return
		}
		s.headerLen = 0
		s.bodyLeft = max(int(binary.BigEndian.Uint32(s.header[1:]))-4, 0)
		switch s.header[0] {
		case '1', '3':
			s.confirmations++
		case 'E':
			s.hasError = true
		}
	}
}

// errorResponse returns the ErrorResponse for err. Its detail contains the result code and the outcome.
func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	info := result.Lookup(result.CodeOf(err))
	state := info.SQLState()
	var stateErr sqlStateError
	if errors.As(err, &stateErr) {
		state, err = stateErr.sqlState, stateErr.error
	}
	if state == "" {
		state = "XX000"
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                state,
		Message:             result.Message(err),
		Detail: fmt.Sprintf("verbenagate code %d (%s), outcome: %s.",
			info.Code(), info.Name(), info.Outcome()),
	}
}
