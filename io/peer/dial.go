package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/member"
)

func serverTLS(cfg *tls.Config) *tls.Config {
	c := cfg.Clone()
	c.ClientAuth = tls.RequireAndVerifyClientCert
	if c.ClientCAs == nil {
		c.ClientCAs = c.RootCAs
	}
	c.NextProtos = []string{"http/1.1"}
	return c
}

// dial starts a connection to a VM unless one is under way or the last failure was just now.
func (m *Mesh) dial(id string) (*conn, *try, error) {
	p := m.peer(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.best(); c != nil {
		return c, nil, nil
	}
	if p.try != nil {
		return nil, p.try, nil
	}
	if p.err != nil && time.Now().Before(p.next) {
		return nil, nil, p.err
	}
	t := &try{done: make(chan struct{})}
	if !m.start(func() { m.connect(id, p, t) }) {
		return nil, nil, errClosed
	}
	p.try = t
	return nil, t, nil
}

// connection returns a connection to a VM, and opens one if there is none.
func (m *Mesh) connection(ctx context.Context, id string) (*conn, error) {
	c, t, err := m.dial(id)
	if c != nil || err != nil {
		return c, err
	}
	select {
	case <-t.done:
		return t.conn, t.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-m.ctx.Done():
		return nil, errClosed
	}
}

func (m *Mesh) connect(id string, p *peer, t *try) {
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	t.conn, t.err = m.open(ctx, id)
	p.mu.Lock()
	p.try = nil
	p.err = t.err
	if t.err != nil {
		wait := min(dialFirst<<min(p.failures, 10), dialMost)
		p.next = time.Now().Add(wait/2 + rand.N(wait/2+1))
		p.failures++
	} else {
		p.failures = 0
	}
	p.mu.Unlock()
	close(t.done)
	if refusal(t.err) {
		m.tmu.Lock()
		m.table.ObserveRefusedConnection(time.Now(), id)
		m.tmu.Unlock()
		m.changed()
	}
}

// strangerError says that another VM answered at the address.
type strangerError struct{ got, want string }

func (e strangerError) Error() string {
	return fmt.Sprintf("address belongs to VM %q, not to VM %q", e.got, e.want)
}

// refusal reports whether an error proves that the VM does not run at its address.
func refusal(err error) bool {
	var s strangerError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &s)
}

func (m *Mesh) open(ctx context.Context, id string) (*conn, error) {
	m.tmu.Lock()
	record, ok := m.table.Record(id)
	m.tmu.Unlock()
	if !ok {
		return nil, fmt.Errorf("VM %q is not known", id)
	}
	var secure *tls.Config
	if m.cfg.CurrentTLS != nil {
		secure = m.cfg.CurrentTLS().Clone()
		secure.ServerName = id
	}
	ws, err := m.upgrade(ctx, record.Addr, secure)
	if err != nil {
		return nil, err
	}
	hello, err := m.greet(ctx, ws, true)
	if err == nil && hello.VM.ID != id {
		err = strangerError{hello.VM.ID, id}
	}
	if err != nil {
		ws.CloseNow()
		return nil, err
	}
	c := newConn(m, ws, id, true)
	if !m.join(c, hello) {
		c.close(errClosed)
		return nil, errClosed
	}
	return c, nil
}

// upgrade opens a WebSocket to another VM, without TLS if secure is nil.
func (m *Mesh) upgrade(ctx context.Context, address string, secure *tls.Config) (*websocket.Conn, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	scheme := "ws"
	if secure != nil {
		scheme = "wss"
		secure.NextProtos = []string{"http/1.1"}
		transport.TLSClientConfig = secure
	}
	ws, resp, err := websocket.Dial(ctx, scheme+"://"+address+path, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport}, HTTPHeader: http.Header{VMHeader: {m.cfg.ID}},
	})
	if resp != nil && resp.Body != nil {
		resp.Body.Close()
	}
	return ws, err
}

// greet exchanges Hello messages. The VM that dialled speaks first.
func (m *Mesh) greet(ctx context.Context, ws *websocket.Conn, first bool) (Hello, error) {
	ws.SetReadLimit(MaxMessage)
	m.tmu.Lock()
	own := Hello{Protocol: version, VM: m.table.Self()}
	m.tmu.Unlock()
	frame, err := Encode(own)
	if err != nil {
		return Hello{}, err
	}
	if first {
		if err := ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
			return Hello{}, err
		}
	}
	_, buf, err := ws.Read(ctx)
	if err != nil {
		return Hello{}, err
	}
	h, err := decodeAs[Hello](buf)
	switch {
	case err != nil:
		return Hello{}, err
	case h.Protocol != version:
		return Hello{}, fmt.Errorf("VM %q speaks protocol %d, expected %d", h.VM.ID, h.Protocol, version)
	case h.VM.ID == "" || h.VM.ID == m.cfg.ID:
		return Hello{}, fmt.Errorf("VM names itself %q", h.VM.ID)
	}
	if !first {
		err = ws.Write(ctx, websocket.MessageBinary, frame)
	}
	return h, err
}

// handler accepts connections of other VMs.
func (m *Mesh) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
		hello, err := m.greet(ctx, ws, false)
		cancel()
		if err == nil {
			err = checkName(r.TLS, hello.VM.ID)
		}
		if err != nil {
			claimed := r.Header.Get(VMHeader)
			m.refused(r.RemoteAddr, err, zap.String("claimed_vm", claimed[:min(len(claimed), maxClaimed)]))
			ws.CloseNow()
			return
		}
		c := newConn(m, ws, hello.VM.ID, false)
		if !m.join(c, hello) {
			c.close(errClosed)
		}
	})
	return mux
}

// checkName refuses a VM whose certificate has another name than the VM's id.
func checkName(s *tls.ConnectionState, id string) error {
	if s == nil {
		return nil
	}
	if len(s.PeerCertificates) == 0 || !slices.Contains(s.PeerCertificates[0].DNSNames, id) {
		return fmt.Errorf("certificate does not carry the name of VM %q", id)
	}
	return nil
}

// join makes a connection available and starts its reader. It returns false if the mesh is closed.
func (m *Mesh) join(c *conn, hello Hello) bool {
	now := time.Now()
	m.tmu.Lock()
	correct := m.table.ObserveHello(now, hello.VM)
	record, _ := m.table.Record(c.vm)
	m.tmu.Unlock()
	p := m.peer(c.vm)
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.err, p.failures = nil, 0
	p.mu.Unlock()
	m.rescan.Store(true)
	if correct {
		c.send(Members{Records: []member.Record{record}})
	}
	m.cfg.Logger.Event(event.PeerConnected, zap.String("vm", c.vm), zap.Bool("dialled", c.dialled))
	m.changed()
	return m.start(c.read)
}

// lost forgets a connection. One that was in use is dialled again at once, so that the death of the VM shows as a
// refusal.
func (m *Mesh) lost(c *conn) {
	p := m.peer(c.vm)
	p.mu.Lock()
	p.conns = slices.DeleteFunc(p.conns, func(o *conn) bool { return o == c })
	p.mu.Unlock()
	if errors.Is(c.err, errIdle) || errors.Is(c.err, errClosed) {
		return
	}
	m.cfg.Logger.Event(event.PeerLost, zap.String("vm", c.vm), zap.Error(c.err))
	m.tmu.Lock()
	isHeartbeatPeer := m.table.IsHeartbeatPeer(c.vm)
	m.tmu.Unlock()
	if isHeartbeatPeer || c.busy() {
		m.dial(c.vm)
	}
}
