package caller

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"

	"verbenagate/core/result"
)

const (
	bufferSize = 8 << 10 // bytes
	// firstRead is the size of the buffer that an idle connection keeps. Most messages of a unit fit.
	firstRead = 64
	// growth is how much room a long message gets before its bytes have arrived.
	growth = 64 << 10
)

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

// reader cuts a byte stream into messages. While it waits for the first byte of a message it holds no large buffer.
type reader struct {
	src io.Reader
	// wake decides after a read deadline has passed whether to go on reading.
	wake  func() error
	buf   *[]byte
	r, w  int
	mid   bool // in the body of a message
	first [firstRead]byte
}

func (r *reader) buffered() int { return r.w - r.r }

// between reports whether no byte of a message has been read.
func (r *reader) between() bool { return !r.mid && r.buffered() == 0 }

// release gives the buffer back if nothing is in it.
func (r *reader) release() {
	if r.buf != nil && r.r == r.w {
		buffers.Put(r.buf)
		r.buf, r.r, r.w = nil, 0, 0
	}
}

func (r *reader) read(p []byte) (int, error) {
	for {
		n, err := r.src.Read(p)
		if n > 0 {
			return n, nil
		}
		var ne net.Error
		if err != nil && r.wake != nil && errors.As(err, &ne) && ne.Timeout() {
			if err = r.wake(); err == nil {
				continue
			}
		}
		if err != nil {
			return 0, err
		}
	}
}

// ensure makes the next n bytes available; n is at most bufferSize.
func (r *reader) ensure(n int) error {
	if r.buf == nil && n > 0 {
		k, err := r.read(r.first[:])
		if err != nil {
			return err
		}
		r.buf = buffers.Get().(*[]byte)
		r.r, r.w = 0, copy(*r.buf, r.first[:k])
	}
	if r.buffered() < n && r.r+n > bufferSize {
		r.r, r.w = 0, copy(*r.buf, (*r.buf)[r.r:r.w])
	}
	for r.buffered() < n {
		k, err := r.read((*r.buf)[r.w:])
		if err != nil {
			if err == io.EOF && r.buffered() > 0 {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		r.w += k
	}
	return nil
}

// take returns the next n bytes, which stay valid until the next call.
func (r *reader) take(n int) ([]byte, error) {
	if n <= bufferSize {
		if err := r.ensure(n); err != nil {
			return nil, err
		}
		if n == 0 {
			return nil, nil
		}
		b := (*r.buf)[r.r : r.r+n]
		r.r += n
		return b, nil
	}
	// Room grows with the bytes that arrive, so that a length alone takes no memory.
	b := make([]byte, 0, growth)
	b = append(b, (*r.buf)[r.r:r.w]...)
	r.r, r.w = 0, 0
	for len(b) < n {
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		k, err := r.read(b[len(b):min(cap(b), n)])
		if err != nil {
			return nil, err
		}
		b = b[:len(b)+k]
	}
	return b, nil
}

// message returns the type and the body of the next message. The body stays valid until the next call.
func (r *reader) message(limit int) (byte, []byte, error) {
	if err := r.ensure(5); err != nil {
		return 0, nil, err
	}
	h := (*r.buf)[r.r : r.r+5]
	typ, n := h[0], int64(binary.BigEndian.Uint32(h[1:]))
	if !known(typ) {
		return 0, nil, result.New(result.ProtocolError, "invalid message type %d", typ)
	}
	if n < 4 {
		return 0, nil, result.New(result.ProtocolError, "invalid message length %d", n)
	}
	if n-4 > int64(limit) {
		return 0, nil, result.New(result.TooLarge, "message of %d bytes exceeds the limit of %d", n-4, limit)
	}
	r.r += 5
	r.mid = true
	body, err := r.take(int(n - 4))
	r.mid = false
	return typ, body, err
}

// startup returns the body of a startup packet, which has no type.
func (r *reader) startup() ([]byte, error) {
	if err := r.ensure(4); err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32((*r.buf)[r.r:]))
	if n < 8 || n > maxStartup {
		return nil, result.New(result.ProtocolError, "invalid startup packet length %d", n)
	}
	r.r += 4
	return r.take(int(n - 4))
}

// known reports whether a caller may send a message of this type.
func known(typ byte) bool {
	switch typ {
	case 'Q', 'P', 'B', 'D', 'E', 'C', 'H', 'S', 'X', 'F', 'd', 'c', 'f', 'p':
		return true
	}
	return false
}
