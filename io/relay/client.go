package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"verbenagate/core/result"
)

const (
	// relayPath is the HTTP path at which an agent accepts websocket connections.
	relayPath = "/relay"
	// dialTimeout is the time limit for opening a connection to an agent in the same data centre.
	dialTimeout = 400 * time.Millisecond
	// pingInterval is how often a client pings its agent while calls are pending, and pingTimeout is the time limit for the reply.
	// The time limits of the calls don't suffice: calls for changes wait long by design, and the connections of a VM that has
	// stopped responding stay open.
	pingInterval = 700 * time.Millisecond
	pingTimeout  = 700 * time.Millisecond
	// maxMessageBytes is several times the size of the operators' configuration and of all servers' entries.
	maxMessageBytes = 8 << 20
)

// client is a connection to an agent. It carries any number of concurrent calls.
type client struct {
	ws     *websocket.Conn
	cancel context.CancelFunc

	mu       sync.Mutex
	lastID   uint64
	pending  map[uint64]chan reply
	closeErr error
}

// dial opens a connection to the agent at address.
func dial(ctx context.Context, address string) (*client, error) {
	ctx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	ws, resp, err := websocket.Dial(ctx, "ws://"+address+relayPath, &websocket.DialOptions{HTTPClient: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true},
	}})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, result.Wrap(result.StoreUnavailable, err, "cannot connect to the agent at %s", address)
	}
	ws.SetReadLimit(maxMessageBytes)
	connectionCtx, cancel := context.WithCancel(context.Background())
	c := &client{ws: ws, cancel: cancel, pending: make(map[uint64]chan reply)}
	go func() {
		for {
			_, data, err := ws.Read(connectionCtx)
			if err != nil {
				c.close(err)
				return
			}
			var r reply
			if err := decMode.Unmarshal(data, &r); err != nil {
				c.close(err)
				return
			}
			c.deliver(r)
		}
	}()
	go func() {
		t := time.NewTicker(pingInterval)
		defer t.Stop()
		for {
			select {
			case <-connectionCtx.Done():
				return
			case <-t.C:
			}
			if c.hasPending() {
				_, _ = c.do(connectionCtx, pingTimeout, call{Ping: true}) // do closes the connection if the reply does not arrive.
			}
		}
	}()
	return c, nil
}

// hasPending reports whether calls are waiting for a reply.
func (c *client) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// deliver passes a reply to the call that waits for it. It drops a reply that no call waits for.
func (c *client) deliver(r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.pending[r.ID]; ok {
		delete(c.pending, r.ID)
		ch <- r
	}
}

// close closes the connection with the error err and fails the pending calls. Only the first call has an effect.
func (c *client) close(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return
	}
	c.closeErr = result.Wrap(result.StoreUnavailable, err, "the connection to the agent ended")
	for id, ch := range c.pending {
		delete(c.pending, id)
		close(ch)
	}
	c.cancel()
	_ = c.ws.CloseNow()
}

// closeError returns the error that ended the connection, and nil while it is open.
func (c *client) closeError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeErr
}

// do sends a call and waits up to timeout for its reply. If no reply arrives in time, it closes the connection, because the
// agent has stopped responding.
func (c *client) do(ctx context.Context, timeout time.Duration, q call) (reply, error) {
	ch := make(chan reply, 1)
	c.mu.Lock()
	if c.closeErr != nil {
		defer c.mu.Unlock()
		return reply{}, c.closeErr
	}
	c.lastID++
	q.ID = c.lastID
	c.pending[q.ID] = ch
	c.mu.Unlock()
	data, err := cbor.Marshal(q)
	if err != nil {
		return reply{}, err
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.ws.Write(timeoutCtx, websocket.MessageBinary, data); err != nil {
		c.close(err)
		return reply{}, c.closeError()
	}
	select {
	case r, ok := <-ch:
		if !ok {
			return reply{}, c.closeError()
		}
		return r, nil
	case <-timeoutCtx.Done():
		if ctx.Err() == nil {
			c.close(timeoutCtx.Err())
		}
		return reply{}, timeoutCtx.Err()
	}
}
