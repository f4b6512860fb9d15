// Package link carries calls between VMs over WebSocket connections with CBOR messages. A connection carries any number of
// concurrent calls in one direction.
package link

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/io/logs"
)

const (
	// linkPath is the HTTP path at which a VM accepts connections of other VMs.
	linkPath          = "/link"
	readHeaderTimeout = 2 * time.Second
	// maxMessageBytes is several times the size of the operators' configuration and of all servers' entries.
	maxMessageBytes = 8 << 20
	// MaxReply is the greatest size of the texts of a reply. A larger message would end the connection, and all calls on it.
	MaxReply = maxMessageBytes - 1<<20
	// replyTimeout is how long another VM may take to receive a reply. One that does not read would make the replies to its calls
	// pile up.
	replyTimeout = 10 * time.Second
	// maxHeaderBytes is the greatest size of the request for a connection.
	maxHeaderBytes = 16 << 10
)

// Handler carries out a call. The returned value is encoded as the reply. An error closes the connection; errors that the caller
// is to see are part of the reply.
type Handler func(ctx context.Context, from *Inbound, call Call) (reply any, err error)

// Call is a call of another VM.
type Call struct {
	body    []byte
	age     time.Duration
	replied *[]func()
}

// Size returns the size of the arguments of the call.
func (c Call) Size() int { return len(c.body) }

// AfterReply calls f when the reply has been sent. It must be called by the goroutine of the handler, before the handler returns.
func (c Call) AfterReply(f func()) { *c.replied = append(*c.replied, f) }

// Decode decodes the arguments of the call into v.
func (c Call) Decode(v any) error { return Decode(c.body, v) }

// Age returns how long ago the caller sent the call. A call is old if this VM or its network path was suspended. The time that
// the fastest message on the connection took is not included.
func (c Call) Age() time.Duration { return c.age }

// Server accepts connections of other VMs and passes their calls to handlers. It is safe for concurrent use.
type Server struct {
	ctx      context.Context
	clock    func() time.Time
	log      logs.Logger
	handlers map[Method]Handler
	ended    chan struct{} // closed when the server has closed its listener

	mu      sync.Mutex
	server  *http.Server
	closed  bool
	serving sync.WaitGroup // connections of other VMs, and the goroutine that accepts them
}

// NewServer returns a server whose connections are closed when ctx ends.
func NewServer(ctx context.Context, clock func() time.Time, log logs.Logger) *Server {
	s := &Server{ctx: ctx, clock: clock, log: log, handlers: make(map[Method]Handler), ended: make(chan struct{})}
	context.AfterFunc(ctx, func() {
		defer close(s.ended)
		s.close()
	})
	return s
}

// Handle sets the handler of a method. It must not be called after Serve.
func (s *Server) Handle(m Method, h Handler) { s.handlers[m] = h }

// Serve serves the connections that l accepts, until the context of the server ends. It does not block.
func (s *Server) Serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+linkPath, s.serveConnection)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	s.mu.Lock()
	s.server = srv
	s.mu.Unlock()
	s.serving.Go(func() { _ = srv.Serve(l) })
}

// Wait waits until no call is served any more. Call it when the context of the server has ended.
func (s *Server) Wait() {
	<-s.ended
	s.serving.Wait()
}

func (s *Server) close() {
	s.mu.Lock()
	srv := s.server
	s.closed = true
	s.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// startServing registers a connection. It returns false if the server is closed.
func (s *Server) startServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.serving.Add(1)
	}
	return !s.closed
}

// Inbound is a connection of another VM.
type Inbound struct {
	ws    *websocket.Conn
	clock func() time.Time

	mu        sync.Mutex
	offset    time.Duration // smallest difference between the time of arrival and the time of sending of a message
	hasOffset bool
	onClose   []func()
}

// OnClose calls f when the connection has ended and its calls have been carried out. It must be called by a handler.
func (c *Inbound) OnClose(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onClose = append(c.onClose, f)
}

// CheckAlive closes the connection if the other VM does not answer a ping within timeout.
func (c *Inbound) CheckAlive(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.ws.Ping(ctx); err != nil {
		_ = c.ws.CloseNow()
	}
}

// age returns how long a message that was sent at sentAt, on the clock of the other VM, took longer than the fastest one.
func (c *Inbound) age(sentAt int64, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	offset := time.Duration(now.UnixNano() - sentAt)
	if !c.hasOffset || offset < c.offset {
		c.offset, c.hasOffset = offset, true
	}
	return offset - c.offset
}

// serveConnection carries out the calls on a connection of another VM concurrently, until it fails.
func (s *Server) serveConnection(w http.ResponseWriter, req *http.Request) {
	if !s.startServing() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.serving.Done()
	defer logs.RecoverPanic(s.log, "connection of another VM")
	ws, err := websocket.Accept(w, req, nil)
	if err != nil {
		return // Accept has answered the request.
	}
	ws.SetReadLimit(maxMessageBytes)
	c := &Inbound{ws: ws, clock: s.clock}
	var calls sync.WaitGroup
	ctx, cancel := context.WithCancel(s.ctx)
	defer func() {
		cancel()
		_ = ws.CloseNow()
		calls.Wait()
		for _, f := range c.onClose {
			f()
		}
	}()
	for {
		_, data, err := ws.Read(ctx)
		if err != nil {
			return
		}
		var q request
		if err := decMode.Unmarshal(data, &q); err != nil {
			s.log.Event(event.PeerBadMessage, zap.Error(err))
			return
		}
		call := Call{body: q.Body, age: c.age(q.SentAt, s.clock())}
		calls.Go(func() { s.answer(ctx, cancel, c, q, call) })
	}
}

// answer carries out a call and sends the reply. It closes the connection if there is none, since the other VM would wait for it.
func (s *Server) answer(ctx context.Context, closeConn context.CancelFunc, c *Inbound, q request, call Call) {
	answered := false
	var replied []func()
	call.replied = &replied
	defer func() {
		if !answered {
			closeConn()
		}
		for _, f := range replied {
			f()
		}
	}()
	defer logs.RecoverPanic(s.log, "call of another VM")
	r := response{ID: q.ID}
	if q.Method != methodPing {
		h, ok := s.handlers[q.Method]
		if !ok {
			s.log.Event(event.PeerBadMessage, zap.Uint8("method", uint8(q.Method)))
			return
		}
		reply, err := h(ctx, c, call)
		if err != nil {
			s.log.Event(event.PeerBadMessage, zap.Uint8("method", uint8(q.Method)), zap.Error(err))
			return
		}
		if r.Body, err = cbor.Marshal(reply); err != nil {
			s.log.Event(event.PeerBadMessage, zap.Uint8("method", uint8(q.Method)), zap.Error(err))
			return
		}
	}
	data, err := cbor.Marshal(r)
	if err == nil {
		writeCtx, cancel := context.WithTimeout(ctx, replyTimeout)
		defer cancel()
		err = c.ws.Write(writeCtx, websocket.MessageBinary, data)
	}
	answered = err == nil
}
