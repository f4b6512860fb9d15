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
	// maxQueuedData bounds the bytes that wait to be written to one VM; senders of data wait for room.
	maxQueuedData = 4 << 20
	// maxQueuedControl bounds control messages, whose senders never wait. More of them mean that the VM reads nothing.
	maxQueuedControl = 4096
	// writeTimeout is how long one message may take to be written before the connection is given up.
	writeTimeout = 10 * time.Second
	// maxReadBuffer bounds the buffer that a connection keeps between messages.
	maxReadBuffer = 128 << 10
	// maxCalls bounds the requests of one VM that are served at the same time.
	maxCalls = 256
)

var (
	errIdle   = errors.New("connection was idle")
	errClosed = errors.New("mesh is closed")
)

// The states of an item: queued, then either being written or withdrawn.
const (
	itemQueued int32 = iota
	itemWriting
	itemWithdrawn
)

// item is an encoded message on its way to the writer.
type item struct {
	buf   []byte
	kind  int
	state atomic.Int32
}

// withdraw reports whether the message has not left this VM, and makes sure that it never does.
func (i *item) withdraw() bool {
	return i.state.CompareAndSwap(itemQueued, itemWithdrawn) || i.state.Load() == itemWithdrawn
}

// queue is a list of items that keeps its memory.
type queue struct {
	items []*item
	head  int
}

func (q *queue) len() int { return len(q.items) - q.head }

func (q *queue) push(i *item) { q.items = append(q.items, i) }

func (q *queue) pop() *item {
	i := q.items[q.head]
	q.items[q.head] = nil
	q.head++
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
	}
	return i
}

// conn is one connection with another VM. A reader goroutine serves it, and a writer while messages are queued, because most
// connections are at rest most of the time and the stack of a goroutine takes as much memory as their buffers.
type conn struct {
	mesh    *Mesh
	ws      *websocket.Conn
	vm      string
	dialled bool
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	once    sync.Once
	err     error // set before done is closed
	used    atomic.Int64
	started atomic.Int64 // start of the write under way in Unix nanoseconds, 0 if none

	qmu     sync.Mutex
	control queue
	data    queue
	bytes   int
	writing bool          // a writer runs
	room    chan struct{} // closed when data has left the queue

	smu     sync.Mutex
	streams map[uint64]*remote
	inbound map[uint64]*inbound
	calls   map[uint64]chan Return
	serving chan struct{}
}

func newConn(m *Mesh, ws *websocket.Conn, vm string, dialled bool) *conn {
	c := &conn{
		mesh: m, ws: ws, vm: vm, dialled: dialled, done: make(chan struct{}), room: make(chan struct{}),
		streams: map[uint64]*remote{}, inbound: map[uint64]*inbound{}, calls: map[uint64]chan Return{}, serving: make(chan struct{}, maxCalls),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.used.Store(time.Now().UnixNano())
	return c
}

// preferred says that both VMs send over this connection if they have two.
func (c *conn) preferred() bool { return c.dialled == (c.mesh.cfg.ID < c.vm) }

func (c *conn) alive() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

// close ends the connection; units under way learn of it through done.
func (c *conn) close(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.done)
		c.cancel()
		c.ws.CloseNow()
		c.mesh.lost(c)
	})
}

// busy reports whether a stream or a call uses the connection.
func (c *conn) busy() bool {
	c.smu.Lock()
	defer c.smu.Unlock()
	return len(c.streams)+len(c.inbound)+len(c.calls)+len(c.serving) > 0
}

// send queues a control message. It never waits.
func (c *conn) send(m Message) { c.sendItem(m) }

// sendItem queues a control message and returns it; nil if it was not queued.
func (c *conn) sendItem(m Message) *item {
	i, err := c.encode(m)
	if err != nil {
		c.mesh.refused(c.vm, err)
		return nil
	}
	c.qmu.Lock()
	full := c.control.len() >= maxQueuedControl
	if !full {
		c.control.push(i)
		c.startWriter()
	}
	c.qmu.Unlock()
	if full {
		// Not in this goroutine: it may hold a lock that the end of the connection needs.
		c.mesh.start(func() { c.close(fmt.Errorf("VM %s takes no messages: %d are queued", c.vm, maxQueuedControl)) })
		return nil
	}
	return i
}

// sendData queues a data message and waits for room if the queue is full. After an error the message has not left.
func (c *conn) sendData(ctx context.Context, m Message) (*item, error) {
	i, err := c.encode(m)
	if err != nil {
		return nil, err
	}
	for {
		c.qmu.Lock()
		if c.bytes == 0 || c.bytes+len(i.buf) <= maxQueuedData {
			c.data.push(i)
			c.bytes += len(i.buf)
			c.startWriter()
			c.qmu.Unlock()
			return i, nil
		}
		room := c.room
		c.qmu.Unlock()
		select {
		case <-room:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-c.done:
			return nil, c.err
		}
	}
}

func (c *conn) encode(m Message) (*item, error) {
	buf, err := Encode(m)
	if err != nil {
		return nil, err
	}
	return &item{buf: buf, kind: kindIndex(m)}, nil
}

// startWriter makes sure that a writer runs. The caller holds qmu. A closed mesh writes nothing any more.
func (c *conn) startWriter() {
	if !c.writing {
		c.writing = c.mesh.start(c.write)
	}
}

// next returns the next item to write, control messages first. Without one the writer ends.
func (c *conn) next() *item {
	c.qmu.Lock()
	defer c.qmu.Unlock()
	if c.control.len() > 0 {
		return c.control.pop()
	}
	if c.data.len() == 0 {
		c.writing = false
		return nil
	}
	i := c.data.pop()
	c.bytes -= len(i.buf)
	close(c.room)
	c.room = make(chan struct{})
	return i
}

// write writes what is queued. Close ends a write under way; a context would cost a registration for each message.
func (c *conn) write() {
	for c.alive() {
		i := c.next()
		if i == nil {
			return
		}
		if !i.state.CompareAndSwap(itemQueued, itemWriting) {
			continue
		}
		c.started.Store(time.Now().UnixNano())
		err := c.ws.Write(context.Background(), websocket.MessageBinary, i.buf)
		c.started.Store(0)
		if err != nil {
			c.close(fmt.Errorf("write: %w", err))
			return
		}
		c.mesh.stats.sent(i.kind, len(i.buf))
	}
}

// flush waits until the queues are written, for at most d.
func (c *conn) flush(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && c.alive(); time.Sleep(time.Millisecond) {
		c.qmu.Lock()
		empty := c.control.len()+c.data.len() == 0 && !c.writing
		c.qmu.Unlock()
		if empty {
			return
		}
	}
}

// read takes messages until close ends it.
func (c *conn) read() {
	var buf bytes.Buffer
	for {
		_, r, err := c.ws.Reader(context.Background())
		if err == nil {
			buf.Reset()
			_, err = io.Copy(&buf, r)
		}
		if err != nil {
			c.close(fmt.Errorf("read: %w", err))
			return
		}
		size := buf.Len()
		m, i, err := decode(buf.Bytes())
		if buf.Cap() > maxReadBuffer {
			buf = bytes.Buffer{}
		}
		if err == nil {
			c.mesh.stats.received(i, size)
			err = c.take(m)
		}
		if err != nil {
			c.mesh.refused(c.vm, err)
			c.close(err)
			return
		}
	}
}

// take handles a message. It must not wait, since all streams of the connection share the reader.
func (c *conn) take(m Message) error {
	c.used.Store(time.Now().UnixNano())
	switch m := m.(type) {
	case Heartbeat:
		c.beat(HeartbeatAck{m.Incarnation, m.State, m.Revision, m.Digest}, m.Probe)
	case HeartbeatAck:
		c.beat(m, false)
	case Members:
		c.members(m)
	case Unit:
		return c.unit(m)
	case UnitPart:
		return c.unitPart(m)
	case Answer:
		return c.answer(m)
	case Window:
		if in := c.inboundOf(m.Stream); in != nil {
			in.passed(m.Passed)
		}
	case Close:
		if in := c.inboundOf(m.Stream); in != nil {
			in.cancel()
		}
	case Cancel:
		if in := c.inboundOf(m.Stream); in != nil {
			in.cancelUnit(m.Number)
		}
	case Call:
		return c.serve(m)
	case Return:
		c.smu.Lock()
		ch := c.calls[m.ID]
		delete(c.calls, m.ID)
		c.smu.Unlock()
		if ch == nil {
			c.mesh.stats.late.Add(1)
			return nil
		}
		ch <- m
	default:
		return fmt.Errorf("%T is not expected here", m)
	}
	return nil
}

// beat takes a heartbeat or its acknowledgement.
func (c *conn) beat(b HeartbeatAck, probe bool) {
	m, now := c.mesh, time.Now()
	m.tmu.Lock()
	correct := m.table.ObserveHeartbeat(now, c.vm, b.Incarnation, b.State)
	record, known := m.table.Record(c.vm)
	needsDigestSync := m.table.NeedsDigestSync(now, c.vm, b.Digest)
	var digests map[string]uint64
	if needsDigestSync {
		digests = m.table.Digests()
	}
	own := m.ack()
	m.tmu.Unlock()
	if probe {
		c.send(own)
	}
	if correct && known {
		c.send(Members{Records: []member.Record{record}})
	}
	if needsDigestSync {
		c.send(Members{Digests: digests})
	}
	m.changed()
	if b.Revision > own.Revision {
		m.hearRevision(c.vm, b.Revision)
	}
}

func (c *conn) members(b Members) {
	m, now := c.mesh, time.Now()
	var answers []Members
	m.tmu.Lock()
	if b.Digests != nil {
		if r := m.table.DifferingRecords(b.Digests); len(r) > 0 {
			answers = append(answers, Members{Records: r, Bulk: true})
		}
	}
	if newer := m.table.MergeRecords(now, b.Records, b.Bulk); len(newer) > 0 {
		answers = append(answers, Members{Records: newer})
	}
	m.tmu.Unlock()
	for _, a := range answers {
		c.send(a)
	}
	m.changed()
}

// stuck reports whether a write has been under way for too long.
func (c *conn) stuck(now time.Time) bool {
	s := c.started.Load()
	return s != 0 && now.Sub(time.Unix(0, s)) > writeTimeout
}

func (c *conn) idle(now time.Time) time.Duration { return now.Sub(time.Unix(0, c.used.Load())) }

// refused logs a message that was refused.
func (m *Mesh) refused(vm string, err error, fields ...zap.Field) {
	m.stats.bad.Add(1)
	m.cfg.Logger.Event(event.PeerBadMessage, append(fields, zap.String("vm", vm), zap.Error(err))...)
}
