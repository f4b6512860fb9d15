package budget

import "time"

const (
	// fileDescriptors are the descriptors that the platform keeps for files; sockets and pipes share the others.
	fileDescriptors = 200
	// ownShare is the part of the sockets that is kept for servers, other VMs and the store: a quarter, and at least minOwnSockets.
	ownShare      = 4
	minOwnSockets = 64
	// minCallers callers are admitted by the smallest VM.
	minCallers = 16
	// memoryShare is the part of the memory that callers' messages, answers and session state may take, that unread bytes in
	// sockets may take, and that open sessions may take: a quarter each. The last quarter is for the VM itself.
	memoryShare = 4
	// minBytes lets the smallest VM carry out messages of the greatest length.
	minBytes = 8 << 20
	// sessionBytes is what an open session that holds no message takes: its goroutine, read buffer and bookkeeping.
	sessionBytes = 16 << 10
	// The least and the greatest size of the buffers of a caller's socket. The greatest is enough for 4 MB/s at a round trip of 15 ms.
	minSocketBuffer = 4 << 10
	maxSocketBuffer = 64 << 10
)

// Limits of the state of one session. A session can hold a value of the greatest length that a message allows.
const (
	// MaxSessionNames is how many session values, and how many prepared statements, a session may have.
	MaxSessionNames = 1000
	// MaxSessionBytes bounds the bytes of all of them.
	MaxSessionBytes = 2 << 20
	// FreeSessionBytes of them are not counted in the account of the VM.
	FreeSessionBytes = 4 << 10
)

// Limits are the limits of a VM that follow from its memory and its descriptors. Each is 0 if there is none.
type Limits struct {
	bytes, heap           int64
	callers, socketBuffer int
}

// NewLimits returns the limits of a VM with the given bytes of memory and file descriptors, 0 if unknown.
func NewLimits(memory int64, descriptors int) Limits {
	var l Limits
	if descriptors > 0 {
		sockets := descriptors - fileDescriptors
		if sockets < minOwnSockets+minCallers {
			sockets = descriptors // too few for the rule of the platform to apply
		}
		l.callers = max(sockets-max(sockets/ownShare, minOwnSockets), minCallers)
	}
	if memory > 0 {
		l.bytes = max(memory/memoryShare, minBytes)
		l.heap = memory - memory/memoryShare
		fitting := max(int(memory/memoryShare/sessionBytes), minCallers)
		if l.callers == 0 || fitting < l.callers {
			l.callers = fitting
		}
		l.socketBuffer = min(max(int(memory/memoryShare)/l.callers, minSocketBuffer), maxSocketBuffer)
	}
	return l
}

// Bytes returns the limit of the account of callers' and servers' bytes.
func (l Limits) Bytes() int64 { return l.bytes }

// Heap returns the size of the heap from which on memory is collected more eagerly.
func (l Limits) Heap() int64 { return l.heap }

// Callers returns the limit of callers' connections.
func (l Limits) Callers() int { return l.callers }

// SocketBuffer returns the size of each of the two buffers of a caller's socket.
func (l Limits) SocketBuffer() int { return l.socketBuffer }

// Connection describes a caller's connection when there are no more connections for a new caller.
type Connection struct {
	Age     time.Duration
	Started bool // it has opened a session
	Idle    bool // the session waits for a request, outside a transaction
	Served  bool // a server has answered a request of the session
}

// MayClose reports whether the connection may be closed for a new caller. A session that has used a server is never closed.
func (c Connection) MayClose() bool {
	if !c.Started {
		return c.Age >= Patience
	}
	return c.Idle && !c.Served && c.Age >= IdlePatience
}

// MaySet reports whether a session may have names names that take bytes bytes together.
func MaySet(names, bytes int) bool { return names <= MaxSessionNames && bytes <= MaxSessionBytes }
