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

// owner is a local stream whose behaviour a test sets.
type owner struct {
	run    func(ctx context.Context, u work.Unit, sink work.Sink) work.Final
	cancel func()
	closed chan struct{}
}

func newOwner(run func(ctx context.Context, u work.Unit, sink work.Sink) work.Final) *owner {
	return &owner{run: run, cancel: func() {}, closed: make(chan struct{})}
}

func (o *owner) Run(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	return o.run(ctx, u, sink)
}
func (o *owner) Cancel() { o.cancel() }
func (o *owner) Close()  { close(o.closed) }

// open returns an OpenStream for one stream.
func (o *owner) open(string, work.Unit) (work.Stream, error) { return o, nil }

var okFinal = work.Final{Code: result.OK, Status: work.TxIdle}

// echo answers with the frames of the unit.
func echo(_ context.Context, u work.Unit, sink work.Sink) work.Final {
	if err := sink(u.Frames); err != nil {
		return work.FinalFromError(err)
	}
	return okFinal
}

// openEcho opens a stream of its own for each remote stream.
func openEcho(string, work.Unit) (work.Stream, error) { return newOwner(echo), nil }

// start starts one mesh in data centre dc.
func start(t testing.TB, cfg Config, dc int) *Mesh {
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

// list is the platform's list of the meshes.
func list(meshes ...*Mesh) []port.VM {
	var out []port.VM
	for _, m := range meshes {
		out = append(out, port.VM{ID: m.cfg.ID, DataCentre: m.cfg.DataCentre, PeerAddr: m.Addr()})
	}
	return out
}

// seed introduces the meshes to each other and waits until all see all as live.
func seed(t testing.TB, meshes ...*Mesh) {
	t.Helper()
	for _, m := range meshes {
		m.Seed(list(meshes...))
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

// pair starts a caller's VM and an owner's VM that know each other.
func pair(t testing.TB, o *owner) (*Mesh, *Mesh) {
	t.Helper()
	a := start(t, Config{ID: "a"}, 0)
	b := start(t, Config{ID: "b", OpenStream: o.open}, 0)
	seed(t, a, b)
	return a, b
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// authority is a deployment's CA.
type authority struct {
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t testing.TB) authority {
	a := authority{t: t}
	a.cert, a.key = a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "CA"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour),
	}, nil, nil)
	return a
}

func (a authority) sign(c, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
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

// config returns the settings of a VM whose certificate has the name.
func (a authority) config(name string) *tls.Config {
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

// connections returns how many connections there are with a VM.
func (m *Mesh) connections(vm string) int {
	p := m.peer(vm)
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func encoded(t testing.TB, m Message) []byte {
	frame, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

// connect connects to a mesh as a VM that does nothing of its own, and reads nothing after the greeting.
func connect(t testing.TB, m *Mesh, id string) *websocket.Conn {
	t.Helper()
	ctx := testContext(t)
	ws, _, err := websocket.Dial(ctx, "ws://"+m.Addr()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ws.CloseNow() })
	hello := Hello{version, member.Record{ID: id, DataCentre: "dc9", Addr: "127.0.0.1:1", Incarnation: 1, State: member.Live}}
	if err := ws.Write(ctx, websocket.MessageBinary, encoded(t, hello)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := ws.Read(ctx); err != nil {
		t.Fatal(err)
	}
	gomega.NewWithT(t).Eventually(func() bool { return m.current(id) != nil }).Should(gomega.BeTrue())
	return ws
}
