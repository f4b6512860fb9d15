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
	// maxPooled keeps the buffers of exceptionally long frames out of the pool.
	maxPooled = maxHeld + 64<<10
	fatal     = "FATAL"
	plain     = "ERROR"
)

var answers = sync.Pool{New: func() any { b := make([]byte, 0, bufferSize); return &b }}

// answer collects what goes to the caller for one unit. Up to maxHeld bytes are held back, so that a unit that fails
// early yields nothing but an error.
type answer struct {
	write   func([]byte) error
	buf     *[]byte
	scan    scanner
	flushed bool
	err     error
}

func newAnswer(write func([]byte) error) *answer {
	return &answer{write: write, buf: answers.Get().(*[]byte)}
}

// sink takes frames of the backend.
func (a *answer) sink(frames []byte) error {
	if a.err != nil {
		return a.err
	}
	a.scan.add(frames)
	if len(*a.buf)+len(frames) > maxHeld {
		if a.flush(); a.err == nil && len(frames) > maxHeld {
			a.err = a.write(frames)
			return a.err
		}
	}
	*a.buf = append(*a.buf, frames...)
	return a.err
}

func (a *answer) flush() {
	if a.err == nil && len(*a.buf) > 0 {
		a.err = a.write(*a.buf)
	}
	a.flushed = true
	*a.buf = (*a.buf)[:0]
}

// discard drops what has not been written.
func (a *answer) discard() { *a.buf = (*a.buf)[:0] }

func (a *answer) send(m pgproto3.BackendMessage) { *a.buf = encode(*a.buf, m) }

// finish writes the rest and gives the buffer back.
func (a *answer) finish() error {
	a.flush()
	if cap(*a.buf) <= maxPooled {
		answers.Put(a.buf)
	}
	a.buf = nil
	return a.err
}

// scanner follows the message boundaries in an answer.
type scanner struct {
	header   [5]byte
	n        int // bytes of header
	left     int // bytes of the body to come
	confirms int // ParseComplete and CloseComplete messages
	failed   bool
}

// within reports whether the answer so far ends within a message.
func (s *scanner) within() bool { return s.left > 0 || s.n > 0 }

func (s *scanner) add(b []byte) {
	for len(b) > 0 {
		if s.left > 0 {
			k := min(s.left, len(b))
			s.left -= k
			b = b[k:]
			continue
		}
		k := copy(s.header[s.n:], b)
		s.n += k
		b = b[k:]
		if s.n < len(s.header) {
			return
		}
		s.n = 0
		s.left = max(int(binary.BigEndian.Uint32(s.header[1:]))-4, 0)
		switch s.header[0] {
		case '1', '3':
			s.confirms++
		case 'E':
			s.failed = true
		}
	}
}

// report makes the error message for a caller. The detail names the numbered code and the outcome.
func report(severity string, err error) *pgproto3.ErrorResponse {
	info := result.Lookup(result.CodeOf(err))
	state := info.SQLState()
	var f fault
	if errors.As(err, &f) {
		state, err = f.state, f.error
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
