package endpt

import (
	"encoding/binary"
	"errors"

	"verbenagate/core/work"
)

const (
	// chunkSize is the most that is passed to the sink at a time, in bytes.
	chunkSize = 64 << 10
	// holdLimit is how much of the answer of a writing unit is held until its commit is confirmed, in bytes.
	holdLimit = 1 << 20
)

var (
	errHeldTooLarge      = errors.New("the answer of a writing unit exceeds 1 MiB after its first completed statement")
	errCollectedTooLarge = errors.New("the answer of a declared statement exceeds 1 MiB")
)

// answer collects the messages for the sink.
//
// The answer of a unit that may commit is held, since nobody may learn that the commit is done before it is confirmed.
// Rows beyond the limit are passed on, because the commit cannot be known from them; what follows the first
// CommandComplete is never passed on early.
type answer struct {
	sink   work.Sink
	hold   bool
	buf    []byte
	mark   int // offset of the first CommandComplete in buf, or -1
	passed bool
	// collect keeps the whole answer in buf, up to holdLimit.
	collect bool
	// shape is the answer to a Describe that the caller did not send.
	shape []byte
}

func newAnswer(sink work.Sink, hold bool) *answer { return &answer{sink: sink, hold: hold, mark: -1} }

// add takes one message of the answer.
func (a *answer) add(m []byte) error {
	start := len(a.buf)
	a.buf = append(a.buf, m...)
	if a.buf[start] == 'C' && a.mark < 0 {
		a.mark = start
	}
	if a.collect {
		if len(a.buf) > holdLimit {
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
	if len(a.buf) < holdLimit {
		return nil
	}
	if a.mark < 0 {
		return a.flush()
	}
	if err := a.pass(a.buf[:a.mark]); err != nil {
		return err
	}
	a.buf = append(a.buf[:0], a.buf[a.mark:]...)
	a.mark = 0
	if len(a.buf) >= holdLimit {
		return errHeldTooLarge
	}
	return nil
}

// flush passes on everything.
func (a *answer) flush() error {
	err := a.pass(a.buf)
	a.buf, a.mark = a.buf[:0], -1
	return err
}

// pass gives whole messages to the sink, in chunks. Only a message larger than a chunk is cut.
func (a *answer) pass(b []byte) error {
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
			return a.passLarge(b)
		}
		if err := a.give(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func (a *answer) passLarge(b []byte) error {
	m := int(binary.BigEndian.Uint32(b[1:])) + 1
	large, rest := b[:m], b[m:]
	for len(large) > 0 {
		n := min(chunkSize, len(large))
		if err := a.give(large[:n]); err != nil {
			return err
		}
		large = large[n:]
	}
	return a.pass(rest)
}

func (a *answer) give(b []byte) error {
	a.passed = true
	if a.sink == nil {
		return nil
	}
	return a.sink(b)
}
