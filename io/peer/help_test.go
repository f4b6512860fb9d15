package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/onsi/gomega"

	"verbenagate/core/member"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/work"
)

// ownerStream is a local stream on the owner's VM. The test sets what it does.
type ownerStream struct {
	run    func(ctx context.Context, u work.Unit, sink work.Sink) work.Final
	cancel func()
	closed chan struct{}
}

func newOwnerStream(run func(ctx context.Context, u work.Unit, sink work.Sink) work.Final) *ownerStream {
	return &ownerStream{run: run, cancel: func() {}, closed: make(chan struct{})}
}

func (o *ownerStream) Run(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	return o.run(ctx, u, sink)
}
func (o *ownerStream) Cancel() { o.cancel() }
func (o *ownerStream) Close()  { close(o.closed) }

// openStream implements Config.OpenStream for a test with a single stream.
func (o *ownerStream) openStream(string, work.Unit) (work.Stream, error) { return o, nil }

var okFinal = work.Final{Code: result.OK, Status: work.TxIdle}

// runEcho answers with the frames of the unit.
func runEcho(_ context.Context, u work.Unit, sink work.Sink) work.Final {
	if err := sink(u.Frames); err != nil {
		return work.FinalFromError(err)
	}
	return okFinal
}

// openEchoStream implements Config.OpenStream. It returns a new echo stream for each remote stream.
func openEchoStream(string, work.Unit) (work.Stream, error) { return newOwnerStream(runEcho), nil }

// startMesh starts a mesh in the data centre with this number.
func startMesh(t testing.TB, cfg Config, dc int) *Mesh {
	t.Helper()
	cfg.Listen = "127.0.0.1:0"
	cfg.DataCentre = fmt.Sprintf("dc%d", dc)
	m, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.stop)
	return m
}

// platformVMs returns the list of VMs that the platform would return for the meshes.
func platformVMs(meshes ...*Mesh) []port.VM {
	var out []port.VM
	for _, m := range meshes {
		out = append(out, port.VM{ID: m.cfg.ID, DataCentre: m.cfg.DataCentre, PeerAddr: m.Addr()})
	}
	return out
}

// seedAndWait seeds all meshes with each other and waits until each sees all as live.
func seedAndWait(t testing.TB, meshes ...*Mesh) {
	t.Helper()
	for _, m := range meshes {
		m.Seed(platformVMs(meshes...))
	}
	gomega.NewWithT(t).Eventually(func() error {
		for _, m := range meshes {
			if v := m.View(); len(v.Live()) != len(meshes) || !v.DiscoveryDone() {
				return fmt.Errorf("%s sees %v", v.Self(), v.Live())
			}
		}
		return nil
	}).WithTimeout(20 * time.Second).Should(gomega.Succeed())
}

// startPair starts the caller's VM a and the owner's VM b, and waits until they see each other as live.
func startPair(t testing.TB, o *ownerStream) (*Mesh, *Mesh) {
	t.Helper()
	a := startMesh(t, Config{ID: "a"}, 0)
	b := startMesh(t, Config{ID: "b", OpenStream: o.openStream}, 0)
	seedAndWait(t, a, b)
	return a, b
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// testCA is the CA of a deployment.
type testCA struct {
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t testing.TB) testCA {
	a := testCA{t: t}
	a.cert, a.key = a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "CA"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour),
	}, nil, nil)
	return a
}

func (a testCA) sign(c, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	if parent == nil {
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

// tlsConfig returns the TLS configuration of a VM whose certificate has this DNS name.
func (a testCA) tlsConfig(name string) *tls.Config {
	cert, key := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, a.key)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{cert.Raw}, PrivateKey: key}}, RootCAs: pool,
		MinVersion: tls.VersionTLS13,
	}
}

// currentConn returns the connection of the stream, nil before its first unit.
func (s *remoteStream) currentConn() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// connCount returns the number of connections with a VM.
func (m *Mesh) connCount(vm string) int {
	p := m.peer(vm)
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func mustEncode(t testing.TB, m Message) []byte {
	frame, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

// connectFakeVM connects to a mesh as a VM that sends nothing by itself and reads nothing after the exchange of Hello
// messages.
func connectFakeVM(t testing.TB, m *Mesh, id string) *websocket.Conn {
	t.Helper()
	ctx := testContext(t)
	ws, _, err := websocket.Dial(ctx, "ws://"+m.Addr()+webSocketPath, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ws.CloseNow() })
	hello := Hello{protocolVersion, member.Record{ID: id, DataCentre: "dc9", Addr: "127.0.0.1:1", Incarnation: 1, State: member.Live}}
	if err := ws.Write(ctx, websocket.MessageBinary, mustEncode(t, hello)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := ws.Read(ctx); err != nil {
		t.Fatal(err)
	}
	gomega.NewWithT(t).Eventually(func() bool { return m.currentConn(id) != nil }).Should(gomega.BeTrue())
	return ws
}
