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

// startDial returns the connection to a VM, or the dial in progress. It starts a dial if there is neither, and returns the
// last error while the backoff after a failed dial lasts.
func (m *Mesh) startDial(id string) (*conn, *dialAttempt, error) {
	p := m.peer(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.bestConn(); c != nil {
		return c, nil, nil
	}
	if p.attempt != nil {
		return nil, p.attempt, nil
	}
	if p.dialErr != nil && time.Now().Before(p.nextDial) {
		return nil, nil, p.dialErr
	}
	t := &dialAttempt{done: make(chan struct{})}
	if !m.startGoroutine(func() { m.runDial(id, p, t) }) {
		return nil, nil, errMeshClosed
	}
	p.attempt = t
	return nil, t, nil
}

// connectionTo returns a connection to a VM, and opens one if there is none.
func (m *Mesh) connectionTo(ctx context.Context, id string) (*conn, error) {
	c, t, err := m.startDial(id)
	if c != nil || err != nil {
		return c, err
	}
	select {
	case <-t.done:
		return t.conn, t.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-m.ctx.Done():
		return nil, errMeshClosed
	}
}

func (m *Mesh) runDial(id string, p *peer, t *dialAttempt) {
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	t.conn, t.err = m.openConn(ctx, id)
	p.mu.Lock()
	p.attempt = nil
	p.dialErr = t.err
	if t.err != nil {
		backoff := min(minDialBackoff<<min(p.dialFailures, 10), maxDialBackoff)
		p.nextDial = time.Now().Add(backoff/2 + rand.N(backoff/2+1))
		p.dialFailures++
	} else {
		p.dialFailures = 0
	}
	p.mu.Unlock()
	close(t.done)
	if provesNotRunning(t.err) {
		m.tableMu.Lock()
		m.table.ObserveRefusedConnection(time.Now(), id)
		m.tableMu.Unlock()
		m.wakeIfViewChanged()
	}
}

// wrongVMError reports that another VM answered at the address.
type wrongVMError struct{ actualID, wantID string }

func (e wrongVMError) Error() string {
	return fmt.Sprintf("address belongs to VM %q, not to VM %q", e.actualID, e.wantID)
}

// provesNotRunning reports whether a dial error proves that the VM does not run at its address.
func provesNotRunning(err error) bool {
	var s wrongVMError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &s)
}

func (m *Mesh) openConn(ctx context.Context, id string) (*conn, error) {
	m.tableMu.Lock()
	record, ok := m.table.Record(id)
	m.tableMu.Unlock()
	if !ok {
		return nil, fmt.Errorf("VM %q is not in the membership table", id)
	}
	var tlsConfig *tls.Config
	if m.cfg.CurrentTLS != nil {
		tlsConfig = m.cfg.CurrentTLS().Clone()
		tlsConfig.ServerName = id
	}
	ws, err := m.dialWebSocket(ctx, record.Addr, tlsConfig)
	if err != nil {
		return nil, err
	}
	hello, err := m.exchangeHello(ctx, ws, true)
	if err == nil && hello.VM.ID != id {
		err = wrongVMError{hello.VM.ID, id}
	}
	if err != nil {
		ws.CloseNow()
		return nil, err
	}
	c := newConn(m, ws, id, true)
	if !m.addConn(c, hello) {
		c.close(errMeshClosed)
		return nil, errMeshClosed
	}
	return c, nil
}

// dialWebSocket opens a WebSocket to another VM, without TLS if tlsConfig is nil.
func (m *Mesh) dialWebSocket(ctx context.Context, address string, tlsConfig *tls.Config) (*websocket.Conn, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	scheme := "ws"
	if tlsConfig != nil {
		scheme = "wss"
		tlsConfig.NextProtos = []string{"http/1.1"}
		transport.TLSClientConfig = tlsConfig
	}
	ws, resp, err := websocket.Dial(ctx, scheme+"://"+address+webSocketPath, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport}, HTTPHeader: http.Header{VMHeader: {m.cfg.ID}},
	})
	if resp != nil && resp.Body != nil {
		resp.Body.Close()
	}
	return ws, err
}

// exchangeHello sends the own Hello and returns the other VM's. The VM that dialled sends first.
func (m *Mesh) exchangeHello(ctx context.Context, ws *websocket.Conn, dialled bool) (Hello, error) {
	ws.SetReadLimit(MaxMessage)
	m.tableMu.Lock()
	own := Hello{Protocol: protocolVersion, VM: m.table.Self()}
	m.tableMu.Unlock()
	frame, err := Encode(own)
	if err != nil {
		return Hello{}, err
	}
	if dialled {
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
	case h.Protocol != protocolVersion:
		return Hello{}, fmt.Errorf("VM %q speaks protocol %d, expected %d", h.VM.ID, h.Protocol, protocolVersion)
	case h.VM.ID == "" || h.VM.ID == m.cfg.ID:
		return Hello{}, fmt.Errorf("VM sent an empty id or the id of this VM: %q", h.VM.ID)
	}
	if !dialled {
		err = ws.Write(ctx, websocket.MessageBinary, frame)
	}
	return h, err
}

// handler returns the HTTP handler that accepts connections of other VMs.
func (m *Mesh) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(webSocketPath, func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
		hello, err := m.exchangeHello(ctx, ws, false)
		cancel()
		if err == nil {
			err = verifyCertificateName(r.TLS, hello.VM.ID)
		}
		if err != nil {
			claimed := r.Header.Get(VMHeader)
			m.countRefusedMessage(r.RemoteAddr, err, zap.String("claimed_vm", claimed[:min(len(claimed), maxLoggedIDBytes)]))
			ws.CloseNow()
			return
		}
		c := newConn(m, ws, hello.VM.ID, false)
		if !m.addConn(c, hello) {
			c.close(errMeshClosed)
		}
	})
	return mux
}

// verifyCertificateName returns an error unless the certificate contains the VM's id as a DNS name. Without TLS, s is nil
// and any id is accepted.
func verifyCertificateName(s *tls.ConnectionState, id string) error {
	if s == nil {
		return nil
	}
	if len(s.PeerCertificates) == 0 || !slices.Contains(s.PeerCertificates[0].DNSNames, id) {
		return fmt.Errorf("certificate does not contain the DNS name of VM %q", id)
	}
	return nil
}

// addConn registers a connection and starts its reader. It returns false if the mesh is closed. The connection is registered before
// the membership hears of the VM: otherwise the next heartbeat could dial the VM a second time.
func (m *Mesh) addConn(c *conn, hello Hello) bool {
	p := m.peer(c.vm)
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.dialErr, p.dialFailures = nil, 0
	p.mu.Unlock()
	now := time.Now()
	m.tableMu.Lock()
	sendRecord := m.table.ObserveHello(now, hello.VM)
	record, _ := m.table.Record(c.vm)
	m.tableMu.Unlock()
	m.scanRequested.Store(true)
	if sendRecord {
		c.sendControl(Members{Records: []member.Record{record}})
	}
	m.cfg.Logger.Event(event.PeerConnected, zap.String("vm", c.vm), zap.Bool("dialled", c.dialled))
	m.wakeIfViewChanged()
	return m.startGoroutine(c.readMessages)
}

// removeConn unregisters a closed connection. A VM whose connection was in use, or that is a heartbeat partner, is dialled
// again at once: if it has crashed, the refused connection shows this sooner than missing heartbeats.
func (m *Mesh) removeConn(c *conn) {
	p := m.peer(c.vm)
	p.mu.Lock()
	p.conns = slices.DeleteFunc(p.conns, func(o *conn) bool { return o == c })
	p.mu.Unlock()
	if errors.Is(c.err, errIdle) || errors.Is(c.err, errMeshClosed) {
		return
	}
	m.cfg.Logger.Event(event.PeerLost, zap.String("vm", c.vm), zap.Error(c.err))
	m.tableMu.Lock()
	isHeartbeatPeer := m.table.IsHeartbeatPeer(c.vm)
	m.tableMu.Unlock()
	if isHeartbeatPeer || c.inUse() {
		m.startDial(c.vm)
	}
}
