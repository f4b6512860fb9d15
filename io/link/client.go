package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"verbenagate/core/result"
)

const (
	// dialTimeout is the time limit for opening a connection.
	dialTimeout = 400 * time.Millisecond
	// pingTimeout is how long a VM may take to answer a ping before its connection counts as silent.
	pingTimeout = 400 * time.Millisecond
)

// Pings of the two kinds of calls. A call that has waited this long makes the connection send a ping. The time limit of the call
// does not suffice: the connections of a VM that has stopped responding stay open.
const (
	// PromptPing is for calls that are answered soon.
	PromptPing = 200 * time.Millisecond
	// SlowPing is for calls that wait long by design.
	SlowPing = 700 * time.Millisecond
)

// Causes of errors of calls.
var (
	// ErrTimeout means that the other VM did not reply in time, but was not found to be silent.
	ErrTimeout = errors.New("no reply in time")
	errSilent  = errors.New("a ping was not answered")
)

// Silent reports whether a call failed because nothing came from the other VM: neither an answer to a ping, nor to the attempt to
// connect to it. A VM that refuses a connection is not silent.
func Silent(err error) bool {
	return result.HasCause(err, errSilent) || result.HasCause(err, os.ErrDeadlineExceeded) || result.HasCause(err, context.DeadlineExceeded)
}

// Options say how a call waits for its reply.
type Options struct {
	// Timeout is the time limit for the reply.
	Timeout time.Duration
	// Ping is PromptPing or SlowPing.
	Ping time.Duration
	// Persist makes the call wait for its reply even if the other VM does not answer pings. It is for calls that must not be made
	// again: the VM may only be slow.
	Persist bool
}

// Clients holds the connections to other VMs. It is safe for concurrent use.
type Clients struct {
	ctx   context.Context
	clock func() time.Time

	mu     sync.Mutex
	conns  map[string]*client // by address
	dials  map[string]*dialing
	closed bool
}

// dialing is a connection that is being opened. Its conn and err are set before done is closed.
type dialing struct {
	done chan struct{}
	conn *client
	err  error
}

// NewClients returns a set of connections, which are closed when ctx ends.
func NewClients(ctx context.Context, clock func() time.Time) *Clients {
	c := &Clients{ctx: ctx, clock: clock, conns: make(map[string]*client), dials: make(map[string]*dialing)}
	context.AfterFunc(ctx, c.close)
	return c
}

// Call calls the VM at address and decodes its reply into out. Sent reports whether the call may have reached the VM.
func (c *Clients) Call(ctx context.Context, address string, m Method, args, out any, o Options) (sent bool, err error) {
	body, err := cbor.Marshal(args)
	if err != nil {
		return false, err
	}
	conn, err := c.connection(ctx, address)
	if err != nil {
		return false, err
	}
	reply, sent, err := conn.do(ctx, m, body, o)
	if err != nil || out == nil {
		return sent, err
	}
	if err := Decode(reply, out); err != nil {
		conn.close(err)
		return true, result.Wrap(result.AnswerLost, err, "the reply of the VM at %s cannot be decoded", address)
	}
	return true, nil
}

// Notify sends a call without waiting for its reply. It does nothing if there is no open connection.
func (c *Clients) Notify(ctx context.Context, address string, m Method, args any) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if !ok || !conn.usable() {
		return
	}
	if body, err := cbor.Marshal(args); err == nil {
		_ = conn.send(ctx, request{Method: m, Body: body}, dialTimeout)
	}
}

// Ping checks that the VM at address answers within timeout.
func (c *Clients) Ping(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.connection(ctx, address)
	if err != nil {
		return err
	}
	if _, _, err = conn.do(ctx, methodPing, nil, Options{Timeout: timeout, Ping: SlowPing}); err != nil {
		conn.retire(err)
	}
	return err
}

// Open returns the addresses of the open connections.
func (c *Clients) Open() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	for address, conn := range c.conns {
		if conn.usable() {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all
}

// connection returns the usable connection to the VM at address, or opens one. Concurrent calls share one attempt.
func (c *Clients) connection(ctx context.Context, address string) (*client, error) {
	c.mu.Lock()
	if conn, ok := c.conns[address]; ok && conn.usable() {
		c.mu.Unlock()
		return conn, nil
	}
	if c.closed {
		c.mu.Unlock()
		return nil, result.New(result.PeerUnreachable, "this VM is stopping")
	}
	d, ok := c.dials[address]
	if !ok {
		d = &dialing{done: make(chan struct{})}
		c.dials[address] = d
		go c.dial(address, d)
	}
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, result.Wrap(result.PeerUnreachable, ctx.Err(), "no connection to the VM at %s in time", address)
	}
}

// dial opens a connection to the VM at address and ends the attempt d.
func (c *Clients) dial(address string, d *dialing) {
	conn, err := dial(c.ctx, address, c.clock)
	c.mu.Lock()
	delete(c.dials, address)
	if err == nil && c.closed {
		go conn.close(net.ErrClosed)
		err = result.New(result.PeerUnreachable, "this VM is stopping")
	}
	if err == nil {
		c.conns[address] = conn
	} else {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	d.conn, d.err = conn, err
	close(d.done)
}

func (c *Clients) close() {
	c.mu.Lock()
	conns := c.conns
	c.conns, c.closed = make(map[string]*client), true
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close(net.ErrClosed)
	}
}

// client is a connection to another VM.
type client struct {
	ws      *websocket.Conn
	address string
	clock   func() time.Time
	ctx     context.Context // ends with the connection
	cancel  context.CancelFunc

	mu       sync.Mutex
	lastID   uint64
	pending  map[uint64]chan []byte
	pinging  bool
	silence  chan struct{} // closed when the connection is retired
	retired  bool          // takes no new calls, as a ping was not answered; it is closed when its last call has ended
	closeErr error
}

// dial opens a connection to the VM at address.
func dial(ctx context.Context, address string, clock func() time.Time) (*client, error) {
	ctx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	ws, resp, err := websocket.Dial(ctx, "ws://"+address+linkPath, &websocket.DialOptions{HTTPClient: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true},
	}})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, result.Wrap(result.PeerUnreachable, err, "cannot connect to the VM at %s", address)
	}
	ws.SetReadLimit(maxMessageBytes)
	connCtx, cancel := context.WithCancel(context.Background())
	c := &client{
		ws: ws, address: address, clock: clock, ctx: connCtx, cancel: cancel, pending: make(map[uint64]chan []byte),
		silence: make(chan struct{}),
	}
	go func() {
		for {
			_, data, err := ws.Read(connCtx)
			if err != nil {
				c.close(err)
				return
			}
			var r response
			if err := decMode.Unmarshal(data, &r); err != nil {
				c.close(err)
				return
			}
			c.deliver(r)
		}
	}()
	return c, nil
}

// deliver passes a reply to the call that waits for it. It drops a reply that no call waits for.
func (c *client) deliver(r response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.pending[r.ID]; ok {
		delete(c.pending, r.ID)
		ch <- r.Body
	}
}

// close closes the connection with the error err and fails the pending calls. Only the first call has an effect.
func (c *client) close(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return
	}
	c.closeErr = result.Wrap(result.PeerUnreachable, err, "the connection to the VM at %s ended", c.address)
	for id, ch := range c.pending {
		delete(c.pending, id)
		close(ch)
	}
	c.cancel()
	_ = c.ws.CloseNow()
}

// retire makes the connection take no new calls, and fails the pending calls that do not persist.
func (c *client) retire(err error) {
	c.mu.Lock()
	if !c.retired {
		c.retired = true
		close(c.silence)
	}
	unused := len(c.pending) == 0
	c.mu.Unlock()
	if unused {
		c.close(err)
	}
}

// usable reports whether the connection takes new calls.
func (c *client) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeErr == nil && !c.retired
}

// closeError returns the error that ended the connection, and nil while it is open.
func (c *client) closeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeErr
}

// start registers a call and returns its id and the channel of its reply.
func (c *client) start() (uint64, chan []byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return 0, nil, c.closeErr
	}
	c.lastID++
	ch := make(chan []byte, 1)
	c.pending[c.lastID] = ch
	return c.lastID, ch, nil
}

// finish ends a call. It closes a retired connection after its last call.
func (c *client) finish(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	unused := c.retired && len(c.pending) == 0
	c.mu.Unlock()
	if unused {
		c.close(errSilent)
	}
}

// send writes a request. After an error the connection is closed.
func (c *client) send(ctx context.Context, q request, timeout time.Duration) error {
	q.SentAt = c.clock().UnixNano()
	data, err := cbor.Marshal(q)
	if err != nil {
		return err
	}
	writeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.ws.Write(writeCtx, websocket.MessageBinary, data); err != nil {
		c.close(err)
		return err
	}
	return nil
}

// do makes a call and waits for its reply. Sent reports whether the call may have reached the other VM.
func (c *client) do(ctx context.Context, m Method, body []byte, o Options) (reply []byte, sent bool, err error) {
	id, ch, err := c.start()
	if err != nil {
		return nil, false, err
	}
	defer c.finish(id)
	if err := c.send(ctx, request{ID: id, Method: m, Body: body}, o.Timeout); err != nil {
		return nil, true, result.Wrap(result.AnswerLost, err, "the connection to the VM at %s failed", c.address)
	}
	silence := c.silence
	if o.Persist {
		silence = nil
	}
	timeout := time.NewTimer(o.Timeout)
	defer timeout.Stop()
	ping := time.NewTimer(o.Ping)
	defer ping.Stop()
	for {
		select {
		case reply, ok := <-ch:
			if !ok {
				return nil, true, result.Wrap(result.AnswerLost, c.closeError(), "no reply from the VM at %s", c.address)
			}
			return reply, true, nil
		case <-ping.C:
			go c.ping()
			ping.Reset(o.Ping)
		case <-silence:
			return nil, true, result.Wrap(result.AnswerLost, errSilent, "the VM at %s is silent", c.address)
		case <-timeout.C:
			return nil, true, result.Wrap(result.AnswerLost, ErrTimeout, "the VM at %s did not reply within %s", c.address, o.Timeout)
		case <-ctx.Done():
			return nil, true, ctx.Err()
		}
	}
}

// ping retires the connection if the other VM does not answer a ping. It does nothing while another ping is under way.
func (c *client) ping() {
	c.mu.Lock()
	if c.pinging || c.retired || c.closeErr != nil {
		c.mu.Unlock()
		return
	}
	c.pinging = true
	c.mu.Unlock()
	_, _, err := c.do(c.ctx, methodPing, nil, Options{Timeout: pingTimeout, Ping: time.Hour, Persist: true})
	c.mu.Lock()
	c.pinging = false
	c.mu.Unlock()
	if err != nil {
		c.retire(errSilent)
	}
}
