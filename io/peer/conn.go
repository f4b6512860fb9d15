package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/member"
)

const (
	// maxQueuedData limits the bytes of data messages in the queue of one connection. Senders of data block while it is
	// full.
	maxQueuedData = 4 << 20
	// maxQueuedControl limits the queued control messages, whose senders never block. The connection is closed if the queue
	// is full, since the other VM then does not read.
	maxQueuedControl = 4096
	// writeTimeout is how long writing one message may take before the connection is closed.
	writeTimeout = 10 * time.Second
	// maxReadBuffer limits the size of the read buffer that a connection keeps between messages.
	maxReadBuffer = 128 << 10
	// maxCalls limits the requests that are served at the same time for one connection.
	maxCalls = 256
)

var (
	errIdle       = errors.New("idle connection was closed")
	errMeshClosed = errors.New("mesh is closed")
)

// The status of a queuedMessage is first statusQueued, and then either statusWriting or statusWithdrawn.
const (
	statusQueued int32 = iota
	statusWriting
	statusWithdrawn
)

// queuedMessage is an encoded message in the queue of a connection.
type queuedMessage struct {
	buf       []byte
	kindIndex int
	status    atomic.Int32
}

// withdraw prevents the message from being sent, unless the writer has already taken it. It reports whether the message is
// certainly not sent.
func (q *queuedMessage) withdraw() bool {
	return q.status.CompareAndSwap(statusQueued, statusWithdrawn) || q.status.Load() == statusWithdrawn
}

// messageQueue is a FIFO queue that reuses its memory once it is empty.
type messageQueue struct {
	messages []*queuedMessage
	head     int
}

func (q *messageQueue) len() int { return len(q.messages) - q.head }

func (q *messageQueue) push(queued *queuedMessage) { q.messages = append(q.messages, queued) }

func (q *messageQueue) pop() *queuedMessage {
	queued := q.messages[q.head]
	q.messages[q.head] = nil
	q.head++
	if q.head == len(q.messages) {
		q.messages, q.head = q.messages[:0], 0
	}
	return queued
}

// conn is one connection with another VM. It has a reader goroutine, and a writer goroutine only while messages are queued:
// most connections are idle most of the time, and the stack of a goroutine takes as much memory as their buffers.
type conn struct {
	mesh         *Mesh
	ws           *websocket.Conn
	vm           string
	dialled      bool
	ctx          context.Context
	cancel       context.CancelFunc
	done         chan struct{}
	closeOnce    sync.Once
	err          error        // set before done is closed
	lastReceived atomic.Int64 // time of the last message received in Unix nanoseconds
	writeStarted atomic.Int64 // start of the write in progress in Unix nanoseconds, 0 if none

	queueMu         sync.Mutex
	controlQueue    messageQueue
	dataQueue       messageQueue
	queuedDataBytes int
	writerRunning   bool
	spaceFreed      chan struct{} // closed and replaced when a data message leaves the queue

	streamsMu      sync.Mutex
	remoteStreams  map[uint64]*remoteStream
	inboundStreams map[uint64]*inboundStream
	pendingCalls   map[uint64]chan Return
	servingSlots   chan struct{}
}

func newConn(m *Mesh, ws *websocket.Conn, vm string, dialled bool) *conn {
	c := &conn{
		mesh: m, ws: ws, vm: vm, dialled: dialled, done: make(chan struct{}), spaceFreed: make(chan struct{}),
		remoteStreams: map[uint64]*remoteStream{}, inboundStreams: map[uint64]*inboundStream{}, pendingCalls: map[uint64]chan Return{},
		servingSlots: make(chan struct{}, maxCalls),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.lastReceived.Store(time.Now().UnixNano())
	return c
}

// isPreferred reports whether both VMs send over this connection if they have two: the VM with the lower id dialled it.
func (c *conn) isPreferred() bool { return c.dialled == (c.mesh.cfg.ID < c.vm) }

func (c *conn) isOpen() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

// close closes the connection with a reason. Units in flight notice it by the closed channel done.
func (c *conn) close(err error) {
	c.closeOnce.Do(func() {
		c.err = err
		close(c.done)
		c.cancel()
		c.ws.CloseNow()
		c.mesh.removeConn(c)
	})
}

// inUse reports whether a stream or a call uses the connection.
func (c *conn) inUse() bool {
	c.streamsMu.Lock()
	defer c.streamsMu.Unlock()
	return len(c.remoteStreams)+len(c.inboundStreams)+len(c.pendingCalls)+len(c.servingSlots) > 0
}

// sendControl queues a control message. It never blocks.
func (c *conn) sendControl(m Message) { c.queueControl(m) }

// queueControl queues a control message and returns it, or nil if it was not queued. It never blocks.
func (c *conn) queueControl(m Message) *queuedMessage {
	queued, err := c.encode(m)
	if err != nil {
		c.mesh.countRefusedMessage(c.vm, err)
		return nil
	}
	c.queueMu.Lock()
	full := c.controlQueue.len() >= maxQueuedControl
	if !full {
		c.controlQueue.push(queued)
		c.startWriter()
	}
	c.queueMu.Unlock()
	if full {
		// Close the connection from another goroutine, since this one may hold a lock that close needs.
		c.mesh.startGoroutine(func() { c.close(fmt.Errorf("control queue to VM %s is full with %d messages", c.vm, maxQueuedControl)) })
		return nil
	}
	return queued
}

// queueData queues a data message, and blocks while the queue is full. After an error the message is not sent.
func (c *conn) queueData(ctx context.Context, m Message) (*queuedMessage, error) {
	queued, err := c.encode(m)
	if err != nil {
		return nil, err
	}
	for {
		c.queueMu.Lock()
		if c.queuedDataBytes == 0 || c.queuedDataBytes+len(queued.buf) <= maxQueuedData {
			c.dataQueue.push(queued)
			c.queuedDataBytes += len(queued.buf)
			c.startWriter()
			c.queueMu.Unlock()
			return queued, nil
		}
		spaceFreed := c.spaceFreed
		c.queueMu.Unlock()
		select {
		case <-spaceFreed:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-c.done:
			return nil, c.err
		}
	}
}

func (c *conn) encode(m Message) (*queuedMessage, error) {
	buf, err := Encode(m)
	if err != nil {
		return nil, err
	}
	return &queuedMessage{buf: buf, kindIndex: kindIndex(m)}, nil
}

// startWriter starts a writer unless one runs. The caller holds queueMu. After the mesh is closed, no writer is started.
func (c *conn) startWriter() {
	if !c.writerRunning {
		c.writerRunning = c.mesh.startGoroutine(c.writeQueued)
	}
}

// dequeue returns the next message to write, control messages first. If it returns nil, the writer must end.
func (c *conn) dequeue() *queuedMessage {
	c.queueMu.Lock()
	defer c.queueMu.Unlock()
	if c.controlQueue.len() > 0 {
		return c.controlQueue.pop()
	}
	if c.dataQueue.len() == 0 {
		c.writerRunning = false
		return nil
	}
	queued := c.dataQueue.pop()
	c.queuedDataBytes -= len(queued.buf)
	close(c.spaceFreed)
	c.spaceFreed = make(chan struct{})
	return queued
}

// writeQueued writes the queued messages. Closing the connection interrupts a write; a context of its own would have to be
// registered for each message.
func (c *conn) writeQueued() {
	for c.isOpen() {
		queued := c.dequeue()
		if queued == nil {
			return
		}
		if !queued.status.CompareAndSwap(statusQueued, statusWriting) {
			continue
		}
		c.writeStarted.Store(time.Now().UnixNano())
		err := c.ws.Write(context.Background(), websocket.MessageBinary, queued.buf)
		c.writeStarted.Store(0)
		if err != nil {
			c.close(fmt.Errorf("write to connection: %w", err))
			return
		}
		c.mesh.stats.countSent(queued.kindIndex, len(queued.buf))
	}
}

// flush waits until the queues are empty and written, for at most d.
func (c *conn) flush(d time.Duration) {
	for deadline := time.Now().Add(d); time.Now().Before(deadline) && c.isOpen(); time.Sleep(time.Millisecond) {
		c.queueMu.Lock()
		empty := c.controlQueue.len()+c.dataQueue.len() == 0 && !c.writerRunning
		c.queueMu.Unlock()
		if empty {
			return
		}
	}
}

// readMessages reads and handles messages until the connection is closed.
func (c *conn) readMessages() {
	var buf bytes.Buffer
	for {
		_, r, err := c.ws.Reader(context.Background())
		if err == nil {
			buf.Reset()
			_, err = io.Copy(&buf, r)
		}
		if err != nil {
			c.close(fmt.Errorf("read from connection: %w", err))
			return
		}
		size := buf.Len()
		m, i, err := decode(buf.Bytes())
		if buf.Cap() > maxReadBuffer {
			buf = bytes.Buffer{}
		}
		if err == nil {
			c.mesh.stats.countReceived(i, size)
			err = c.handleMessage(m)
		}
		if err != nil {
			c.mesh.countRefusedMessage(c.vm, err)
			c.close(err)
			return
		}
	}
}

// handleMessage handles a received message. It must not block, since all streams of the connection share the reader.
func (c *conn) handleMessage(m Message) error {
	c.lastReceived.Store(time.Now().UnixNano())
	switch m := m.(type) {
	case Heartbeat:
		c.handleHeartbeat(HeartbeatAck{m.Incarnation, m.State, m.Revision, m.Digest}, m.Probe)
	case HeartbeatAck:
		c.handleHeartbeat(m, false)
	case Members:
		c.handleMembers(m)
	case Unit:
		return c.handleUnit(m)
	case UnitPart:
		return c.handleUnitPart(m)
	case Answer:
		return c.handleAnswer(m)
	case Window:
		if in := c.findInbound(m.Stream); in != nil {
			in.raiseSendLimit(m.Delivered)
		}
	case Close:
		if in := c.findInbound(m.Stream); in != nil {
			in.cancel()
		}
	case Cancel:
		if in := c.findInbound(m.Stream); in != nil {
			in.cancelUnit(m.Number)
		}
	case Call:
		return c.handleCall(m)
	case Return:
		c.streamsMu.Lock()
		ch := c.pendingCalls[m.ID]
		delete(c.pendingCalls, m.ID)
		c.streamsMu.Unlock()
		if ch == nil {
			c.mesh.stats.lateAnswers.Add(1)
			return nil
		}
		ch <- m
	default:
		return fmt.Errorf("message %T is not expected after the exchange of Hello messages", m)
	}
	return nil
}

// handleHeartbeat handles a heartbeat or its acknowledgement. It answers a probe, and sends records or digests if the other
// VM's view of the members differs.
func (c *conn) handleHeartbeat(b HeartbeatAck, probe bool) {
	m, now := c.mesh, time.Now()
	m.tableMu.Lock()
	sendRecord := m.table.ObserveHeartbeat(now, c.vm, b.Incarnation, b.State)
	record, known := m.table.Record(c.vm)
	needsDigestSync := m.table.NeedsDigestSync(now, c.vm, b.Digest)
	var digests map[string]uint64
	if needsDigestSync {
		digests = m.table.Digests()
	}
	own := m.heartbeatAck()
	m.tableMu.Unlock()
	if probe {
		c.sendControl(own)
	}
	if sendRecord && known {
		c.sendControl(Members{Records: []member.Record{record}})
	}
	if needsDigestSync {
		c.sendControl(Members{Digests: digests})
	}
	m.wakeIfViewChanged()
	if b.Revision > own.Revision {
		m.queueHeardRevision(c.vm, b.Revision)
	}
}

func (c *conn) handleMembers(b Members) {
	m, now := c.mesh, time.Now()
	var replies []Members
	m.tableMu.Lock()
	if b.Digests != nil {
		if r := m.table.DifferingRecords(b.Digests); len(r) > 0 {
			replies = append(replies, Members{Records: r, Bulk: true})
		}
	}
	if newer := m.table.MergeRecords(now, b.Records, b.Bulk); len(newer) > 0 {
		replies = append(replies, Members{Records: newer})
	}
	m.tableMu.Unlock()
	for _, a := range replies {
		c.sendControl(a)
	}
	m.wakeIfViewChanged()
}

// isWriteStuck reports whether the write in progress has taken longer than writeTimeout.
func (c *conn) isWriteStuck(now time.Time) bool {
	started := c.writeStarted.Load()
	return started != 0 && now.Sub(time.Unix(0, started)) > writeTimeout
}

func (c *conn) idleTime(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.lastReceived.Load()))
}

// countRefusedMessage counts and logs a message or connection that was refused as invalid.
func (m *Mesh) countRefusedMessage(vm string, err error, fields ...zap.Field) {
	m.stats.refusedMessages.Add(1)
	m.cfg.Logger.Event(event.PeerBadMessage, append(fields, zap.String("vm", vm), zap.Error(err))...)
}
