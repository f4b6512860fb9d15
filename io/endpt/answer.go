package endpt

import (
	"encoding/binary"
	"errors"

	"verbenagate/core/work"
)

const (
	// chunkSize bounds one call of the sink, in bytes.
	chunkSize = 64 << 10
	// answerBufferLimit bounds, in bytes, the answer that is held until the commit of its unit is confirmed, and an
	// answer that is collected whole.
	answerBufferLimit = 1 << 20
)

var (
	errHeldTooLarge      = errors.New("the answer of a writing unit exceeds 1 MiB after its first completed statement")
	errCollectedTooLarge = errors.New("the answer of a declared statement exceeds 1 MiB")
)

// answer buffers the server's messages and forwards them to the sink.
//
// The answer of a unit that may commit is held, since nobody may learn of the commit before it is confirmed. When the
// held messages reach the limit, those before the first CommandComplete are forwarded early, because rows do not
// reveal the commit. The first CommandComplete and what follows it are never forwarded early.
type answer struct {
	sink          work.Sink
	hold          bool
	buf           []byte
	firstComplete int  // offset of the first CommandComplete in buf, or -1
	forwarded     bool // the sink was called
	// collect keeps the whole answer in buf, up to answerBufferLimit.
	collect bool
	// rowDescription is the server's answer to a Describe that the caller did not send; nil if there was none.
	rowDescription []byte
}

func newAnswer(sink work.Sink, hold bool) *answer {
	return &answer{sink: sink, hold: hold, firstComplete: -1}
}

// add appends one message of the answer, and forwards what need not be held.
func (a *answer) add(m []byte) error {
	start := len(a.buf)
	a.buf = append(a.buf, m...)
	if a.buf[start] == 'C' && a.firstComplete < 0 {
		a.firstComplete = start
	}
	if a.collect {
		if len(a.buf) > answerBufferLimit {
			return errCollectedTooLarge
		}
		return nil
	}
	if !a.hold {
		if len(a.buf) < chunkSize {
			return nil
		}
		return a.flush()
	}
	if len(a.buf) < answerBufferLimit {
		return nil
	}
	if a.firstComplete < 0 {
		return a.flush()
	}
	if err := a.forward(a.buf[:a.firstComplete]); err != nil {
		return err
	}
	a.buf = append(a.buf[:0], a.buf[a.firstComplete:]...)
	a.firstComplete = 0
	if len(a.buf) >= answerBufferLimit {
		return errHeldTooLarge
	}
	return nil
}

// flush forwards everything that is buffered.
func (a *answer) flush() error {
	err := a.forward(a.buf)
	a.buf, a.firstComplete = a.buf[:0], -1
	return err
}

// forward passes whole messages to the sink, in chunks. Only a message larger than a chunk is split.
func (a *answer) forward(b []byte) error {
	for len(b) > 0 {
		n := 0
		for n < len(b) {
			m := int(binary.BigEndian.Uint32(b[n+1:])) + 1
			if n+m > chunkSize {
				break
			}
			n += m
		}
		if n == 0 {
			return a.forwardLargeMessage(b)
		}
		if err := a.sendChunk(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func (a *answer) forwardLargeMessage(b []byte) error {
	m := int(binary.BigEndian.Uint32(b[1:])) + 1
	large, rest := b[:m], b[m:]
	for len(large) > 0 {
		n := min(chunkSize, len(large))
		if err := a.sendChunk(large[:n]); err != nil {
			return err
		}
		large = large[n:]
	}
	return a.forward(rest)
}

func (a *answer) sendChunk(b []byte) error {
	a.forwarded = true
	if a.sink == nil {
		return nil
	}
	return a.sink(b)
}
