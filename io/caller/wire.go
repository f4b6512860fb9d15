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
	// firstReadSize is the size of the buffer that an idle connection keeps, in bytes. Most messages fit in it.
	firstReadSize = 64
	// initialBodyCapacity is how many bytes are allocated for a long message before its body has arrived.
	initialBodyCapacity = 64 << 10
)

var readBuffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

// reader splits a byte stream into messages. It holds no large buffer while it waits for the first byte of a message.
type reader struct {
	src io.Reader
	// onTimeout is called after a read deadline has passed. Reading continues if it returns nil.
	onTimeout  func() error
	buf        *[]byte
	r, w       int
	inBody     bool // the body of a message is being read
	firstBytes [firstReadSize]byte
}

func (r *reader) buffered() int { return r.w - r.r }

// betweenMessages reports whether no byte of the next message has been read.
func (r *reader) betweenMessages() bool { return !r.inBody && r.buffered() == 0 }

// releaseBuffer returns the buffer to the pool if it is empty.
func (r *reader) releaseBuffer() {
	if r.buf != nil && r.r == r.w {
		readBuffers.Put(r.buf)
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
		if err != nil && r.onTimeout != nil && errors.As(err, &ne) && ne.Timeout() {
			if err = r.onTimeout(); err == nil {
				continue
			}
		}
		if err != nil {
			return 0, err
		}
	}
}

// fill reads until n bytes are buffered; n is at most bufferSize.
func (r *reader) fill(n int) error {
	if r.buf == nil && n > 0 {
		k, err := r.read(r.firstBytes[:])
		if err != nil {
			return err
		}
		r.buf = readBuffers.Get().(*[]byte)
		r.r, r.w = 0, copy(*r.buf, r.firstBytes[:k])
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

// next returns the next n bytes. They stay valid until the next call.
func (r *reader) next(n int) ([]byte, error) {
	if n <= bufferSize {
		if err := r.fill(n); err != nil {
			return nil, err
		}
		if n == 0 {
			return nil, nil
		}
		b := (*r.buf)[r.r : r.r+n]
		r.r += n
		return b, nil
	}
	// The slice grows as bytes arrive, so that a caller can't make the VM allocate memory with a length alone.
	b := make([]byte, 0, initialBodyCapacity)
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

// readMessage returns the type and the body of the next message. The body stays valid until the next call.
func (r *reader) readMessage(limit int) (byte, []byte, error) {
	if err := r.fill(5); err != nil {
		return 0, nil, err
	}
	header := (*r.buf)[r.r : r.r+5]
	typ, n := header[0], int64(binary.BigEndian.Uint32(header[1:]))
	if !isCallerMessageType(typ) {
		return 0, nil, result.New(result.ProtocolError, "invalid message type %d", typ)
	}
	if n < 4 {
		return 0, nil, result.New(result.ProtocolError, "invalid message length %d", n)
	}
	if n-4 > int64(limit) {
		return 0, nil, result.New(result.TooLarge, "message of %d bytes exceeds the limit of %d", n-4, limit)
	}
	r.r += 5
	r.inBody = true
	body, err := r.next(int(n - 4))
	r.inBody = false
	return typ, body, err
}

// readStartupPacket returns the body of a startup packet, which has no message type.
func (r *reader) readStartupPacket() ([]byte, error) {
	if err := r.fill(4); err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32((*r.buf)[r.r:]))
	if n < 8 || n > maxStartupPacket {
		return nil, result.New(result.ProtocolError, "invalid startup packet length %d", n)
	}
	r.r += 4
	return r.next(int(n - 4))
}

// isCallerMessageType reports whether a caller may send a message of this type.
func isCallerMessageType(typ byte) bool {
	switch typ {
	case 'Q', 'P', 'B', 'D', 'E', 'C', 'H', 'S', 'X', 'F', 'd', 'c', 'f', 'p':
		return true
	}
	return false
}
