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
	// path is where an agent takes calls.
	path = "/relay"
	// dialTimeout bounds the opening of a connection inside a data centre.
	dialTimeout = 400 * time.Millisecond
	// aliveInterval is how often an agent is asked for a sign of life while calls wait for its reply, and aliveLimit how long that may
	// take. Calls for changes wait long by design, and a VM that stands still keeps its connections.
	aliveInterval = 700 * time.Millisecond
	aliveLimit    = 700 * time.Millisecond
	// mostBytes bounds a message: the operators' configuration and the servers' entries fit several times.
	mostBytes = 8 << 20
)

// client is a connection to an agent that carries any number of calls at a time.
type client struct {
	ws     *websocket.Conn
	cancel context.CancelFunc

	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan reply
	err     error
}

// dial opens a connection to the agent at address.
func dial(ctx context.Context, address string) (*client, error) {
	ctx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	ws, resp, err := websocket.Dial(ctx, "ws://"+address+path, &websocket.DialOptions{HTTPClient: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true},
	}})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, result.Wrap(result.StoreUnavailable, err, "agent at %s", address)
	}
	ws.SetReadLimit(mostBytes)
	life, cancel := context.WithCancel(context.Background())
	c := &client{ws: ws, cancel: cancel, pending: make(map[uint64]chan reply)}
	go func() {
		for {
			_, data, err := ws.Read(life)
			if err != nil {
				c.close(err)
				return
			}
			var r reply
			if err := decMode.Unmarshal(data, &r); err != nil {
				c.close(err)
				return
			}
			c.answered(r)
		}
	}()
	go func() {
		t := time.NewTicker(aliveInterval)
		defer t.Stop()
		for {
			select {
			case <-life.Done():
				return
			case <-t.C:
			}
			if c.waits() {
				_, _ = c.do(life, aliveLimit, call{Ping: true}) // A call without a reply ends the connection.
			}
		}
	}()
	return c, nil
}

// waits reports whether calls wait for a reply.
func (c *client) waits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// answered hands a reply to the call that waits for it.
func (c *client) answered(r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.pending[r.ID]; ok {
		delete(c.pending, r.ID)
		ch <- r
	}
}

// close ends the connection and fails the calls that wait.
func (c *client) close(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = result.Wrap(result.StoreUnavailable, err, "connection to the agent")
	for id, ch := range c.pending {
		delete(c.pending, id)
		close(ch)
	}
	c.cancel()
	_ = c.ws.CloseNow()
}

// closed returns the error that ended the connection.
func (c *client) closed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// do sends a call and waits up to limit for its reply. A call without a reply ends the connection: the agent is silent.
func (c *client) do(ctx context.Context, limit time.Duration, q call) (reply, error) {
	ch := make(chan reply, 1)
	c.mu.Lock()
	if c.err != nil {
		defer c.mu.Unlock()
		return reply{}, c.err
	}
	c.next++
	q.ID = c.next
	c.pending[q.ID] = ch
	c.mu.Unlock()
	data, err := cbor.Marshal(q)
	if err != nil {
		return reply{}, err
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := c.ws.Write(limited, websocket.MessageBinary, data); err != nil {
		c.close(err)
		return reply{}, c.closed()
	}
	select {
	case r, ok := <-ch:
		if !ok {
			return reply{}, c.closed()
		}
		return r, nil
	case <-limited.Done():
		if ctx.Err() == nil {
			c.close(limited.Err())
		}
		return reply{}, limited.Err()
	}
}
