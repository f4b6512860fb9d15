package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/result"
)

const testTimeout = 20 * time.Second

type discardLogger struct{}

func (discardLogger) Event(event.ID, ...zap.Field) {}

type echo struct {
	Text string `cbor:"1,keyasint"`
}

// newServer starts a server that answers List with the caller's text, and returns its address.
func newServer(t testing.TB, clock func() time.Time, configure func(*Server)) string {
	ctx, cancel := context.WithCancel(t.Context())
	s := NewServer(ctx, clock, discardLogger{})
	t.Cleanup(func() {
		cancel()
		s.Wait()
	})
	s.Handle(List, func(_ context.Context, _ *Inbound, c Call) (any, error) {
		var q echo
		return &q, c.Decode(&q)
	})
	if configure != nil {
		configure(s)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Serve(l)
	return l.Addr().String()
}

func newClients(t testing.TB) *Clients {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	return NewClients(ctx, time.Now)
}

func callEcho(c *Clients, address, text string) (string, error) {
	var r echo
	_, err := c.Call(context.Background(), address, List, echo{Text: text}, &r, Options{Timeout: testTimeout, Ping: PromptPing})
	return r.Text, err
}

// Guards against replies that reach another call, and against several connections to one VM.
func TestConcurrentCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	var accepted atomic.Int64
	address := newServer(t, time.Now, nil)
	c := newClients(t)
	var calls sync.WaitGroup
	for i := range 50 {
		calls.Go(func() {
			text := strings.Repeat("x", i)
			if got, err := callEcho(c, address, text); err != nil || got != text {
				accepted.Add(-1000)
			}
			accepted.Add(1)
		})
	}
	calls.Wait()
	g.Expect(accepted.Load()).To(gomega.BeEquivalentTo(50))
	g.Expect(c.Open()).To(gomega.Equal([]string{address}))
}

// silentVM accepts calls but never answers, like a VM that has stopped responding. It counts its connections.
func silentVM(t *testing.T, connections *atomic.Int64) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		connections.Add(1)
		for err == nil {
			_, _, err = ws.Read(r.Context())
		}
	}))
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.Listener.Addr().String()
}

// Guards against a call that hangs at a VM which has stopped responding, against a call that must not be repeated and is given up
// although the VM may only be slow, and against new calls on a connection that has gone silent.
func TestSilentVM(t *testing.T) {
	g := gomega.NewWithT(t)
	var connections atomic.Int64
	address := silentVM(t, &connections)
	c := newClients(t)
	persisting := make(chan error, 1)
	go func() {
		_, err := c.Call(t.Context(), address, List, echo{}, nil, Options{Timeout: 3 * time.Second, Ping: PromptPing, Persist: true})
		persisting <- err
	}()
	g.Eventually(c.Open, testTimeout).Should(gomega.HaveLen(1))
	start := time.Now()
	sent, err := c.Call(t.Context(), address, List, echo{}, nil, Options{Timeout: testTimeout, Ping: PromptPing})
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.AnswerLost))
	g.Expect(result.HasCause(err, ErrTimeout)).To(gomega.BeFalse())
	g.Expect(Silent(err)).To(gomega.BeTrue())
	g.Expect(sent).To(gomega.BeTrue())
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", testTimeout/2))
	g.Expect(c.Open()).To(gomega.BeEmpty())
	g.Expect(persisting).NotTo(gomega.Receive())
	_, err = c.Call(t.Context(), address, List, echo{}, nil, Options{Timeout: 10 * time.Millisecond, Ping: PromptPing})
	g.Expect(result.HasCause(err, ErrTimeout)).To(gomega.BeTrue())
	g.Expect(Silent(err)).To(gomega.BeFalse(), "the VM had no time to answer a ping")
	g.Expect(connections.Load()).To(gomega.BeEquivalentTo(2), "a new connection is opened beside the silent one")
	g.Eventually(persisting, testTimeout).Should(gomega.Receive(gomega.Satisfy(func(err error) bool {
		return result.HasCause(err, ErrTimeout)
	})))
}

// Guards against a call to a VM that is not there which is reported as possibly sent.
func TestUnreachableVM(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(l.Close()).To(gomega.Succeed())
	sent, err := newClients(t).Call(t.Context(), l.Addr().String(), List, echo{}, nil, Options{Timeout: testTimeout, Ping: PromptPing})
	g.Expect(sent).To(gomega.BeFalse())
	g.Expect(Silent(err)).To(gomega.BeFalse(), "the VM refused the connection")
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.PeerUnreachable))
}

// Guards against a message of one VM that ends the process or the connections of others: bytes that are no CBOR, a truncated and
// an oversized message, an unknown method, arguments of another type, a handler that fails or panics.
func TestMalformedMessagesEndOneConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	address := newServer(t, time.Now, func(s *Server) {
		s.Handle(Run, func(context.Context, *Inbound, Call) (any, error) { panic("poison") })
		s.Handle(Release, func(context.Context, *Inbound, Call) (any, error) { return nil, errors.New("poison") })
	})
	neighbour := newClients(t)
	_, err := callEcho(neighbour, address, "before")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	valid, err := cbor.Marshal(request{ID: 1, Method: List})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	encode := func(q request) []byte {
		data, err := cbor.Marshal(q)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return data
	}
	for name, data := range map[string][]byte{
		"no CBOR":      {0xff, 0, 0x9f},
		"truncated":    valid[:len(valid)-1],
		"empty":        {},
		"oversized":    make([]byte, maxMessageBytes+1),
		"method":       encode(request{ID: 1, Method: 200}),
		"arguments":    encode(request{ID: 1, Method: List, Body: []byte{0x01}}),
		"failing call": encode(request{ID: 1, Method: Release}),
		"panic":        encode(request{ID: 1, Method: Run}),
	} {
		ws, resp, err := websocket.Dial(t.Context(), "ws://"+address+linkPath, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		g.Expect(resp.Body == nil || resp.Body.Close() == nil).To(gomega.BeTrue())
		_ = ws.Write(t.Context(), websocket.MessageBinary, data)
		_, _, err = ws.Read(t.Context())
		g.Expect(err).To(gomega.HaveOccurred(), name)
		got, err := callEcho(neighbour, address, name)
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		g.Expect(got).To(gomega.Equal(name))
	}
}

// Guards against a reply that cannot be decoded and is waited for, or that ends the calling process.
func TestMalformedReply(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, data := range [][]byte{{0xff}, {}, {0xa1, 0x01}} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if ws, err := websocket.Accept(w, r, nil); err == nil {
				_, _, _ = ws.Read(r.Context())
				_ = ws.Write(r.Context(), websocket.MessageBinary, data)
				_, _, _ = ws.Read(r.Context())
			}
		}))
		_, err := callEcho(newClients(t), srv.Listener.Addr().String(), "x")
		g.Expect(result.CodeOf(err)).To(gomega.Equal(result.AnswerLost))
		srv.CloseClientConnections()
		srv.Close()
	}
}

// Guards against a call that is taken for a new one although it lay in the buffers of a VM that was suspended.
func TestAgeOfCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	var ahead atomic.Int64
	ages := make(chan time.Duration, 1)
	address := newServer(t, func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }, func(s *Server) {
		s.Handle(Run, func(_ context.Context, _ *Inbound, c Call) (any, error) {
			ages <- c.Age()
			return struct{}{}, nil
		})
	})
	c := newClients(t)
	for _, d := range []time.Duration{0, time.Hour, 2 * time.Hour} {
		ahead.Store(int64(d))
		_, err := c.Call(t.Context(), address, Run, struct{}{}, nil, Options{Timeout: testTimeout, Ping: PromptPing})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(<-ages).To(gomega.BeNumerically("~", d, time.Second))
	}
}

// FuzzRequest guards against a message that makes the process panic.
func FuzzRequest(f *testing.F) {
	valid, err := cbor.Marshal(request{ID: 1, Method: Run, SentAt: 1, Body: []byte{0xa0}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var q request
		if decMode.Unmarshal(data, &q) == nil {
			var e echo
			_ = Decode(q.Body, &e)
		}
		var r response
		_ = decMode.Unmarshal(data, &r)
	})
}

func BenchmarkCall(b *testing.B) {
	address := newServer(b, time.Now, nil)
	c := newClients(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := callEcho(c, address, "text"); err != nil {
			b.Fatal(err)
		}
	}
}
