package site

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/onsi/gomega"

	"verbenagate/io/admin"
	"verbenagate/io/certs"
	"verbenagate/io/config"
	"verbenagate/io/node"
)

// keyring manages the directory that holds the keys and certificates of a test.
type keyring struct {
	g   gomega.Gomega
	dir string
}

func (k keyring) authority(name string) *certs.Authority {
	a, _, err := certs.OpenAuthority(filepath.Join(k.dir, name), time.Now(), 24*time.Hour)
	k.g.Expect(err).NotTo(gomega.HaveOccurred())
	return a
}

// writeTrusted makes all VMs trust exactly the named authorities, by writing trusted.pem.
func (k keyring) writeTrusted(names ...string) {
	var all []byte
	for _, n := range names {
		pem, err := os.ReadFile(certs.CertFile(filepath.Join(k.dir, n), "ca"))
		k.g.Expect(err).NotTo(gomega.HaveOccurred())
		all = append(all, pem...)
	}
	k.g.Expect(os.WriteFile(filepath.Join(k.dir, "trusted.pem"), all, 0o600)).To(gomega.Succeed())
}

func (k keyring) adjust(cfg *config.Settings) {
	cert, key := certs.CertFile(k.dir, cfg.VM.ID), certs.KeyFile(k.dir, cfg.VM.ID)
	ca := filepath.Join(k.dir, "trusted.pem")
	cfg.TLS.Callers = config.CallerTLS{Cert: cert, Key: key, Required: true}
	cfg.TLS.Peers = config.PeerTLS{Cert: cert, Key: key, CA: ca}
	cfg.TLS.Operators = config.OperatorTLS{Cert: cert, Key: key, CA: ca}
}

// operatorTLS returns the TLS configuration of an operator whose certificate the named authority issues and who trusts the
// authorities in trusted.pem.
func (k keyring) operatorTLS(name string) *tls.Config {
	dir := filepath.Join(k.dir, name)
	k.g.Expect(k.authority(name).Operator(dir, "ann", time.Now(), time.Hour)).To(gomega.Succeed())
	pair, err := tls.LoadX509KeyPair(certs.CertFile(dir, "ann"), certs.KeyFile(dir, "ann"))
	k.g.Expect(err).NotTo(gomega.HaveOccurred())
	pool, err := certs.Pool(filepath.Join(k.dir, "trusted.pem"))
	k.g.Expect(err).NotTo(gomega.HaveOccurred())
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, ServerName: "vm1"}
}

// exampleOperatorTLS returns the TLS configuration of the operator whose keys the handbook's commands created.
func (k keyring) exampleOperatorTLS() *tls.Config {
	pair, err := tls.LoadX509KeyPair(certs.CertFile(k.dir, "ann"), certs.KeyFile(k.dir, "ann"))
	k.g.Expect(err).NotTo(gomega.HaveOccurred())
	pool, err := certs.Pool(filepath.Join(k.dir, "trusted.pem"))
	k.g.Expect(err).NotTo(gomega.HaveOccurred())
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool}
}

// connect opens a caller's connection to the VM and verifies the VM's certificate for id against the authority roots.
func (k keyring) connect(ctx context.Context, n *node.Node, id, roots string) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/dues?sslmode=verify-full&sslrootcert=%s", User(0),
		Password, n.CallerAddr(), certs.CertFile(filepath.Join(k.dir, roots), "ca")))
	if err != nil {
		return nil, err
	}
	cfg.TLSConfig.ServerName = id
	return pgconn.ConnectConfig(ctx, cfg)
}

// acceptsPeer reports whether the VM accepts a peer connection with the certificate of the VM id.
func (k keyring) acceptsPeer(n *node.Node, id string) bool {
	pair, err := tls.LoadX509KeyPair(certs.CertFile(k.dir, id), certs.KeyFile(k.dir, id))
	k.g.Expect(err).NotTo(gomega.HaveOccurred())
	c, err := tls.Dial("tcp", n.PeerAddr(), &tls.Config{Certificates: []tls.Certificate{pair}, InsecureSkipVerify: true})
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	// With TLS 1.3 the rejection of a client certificate arrives after the handshake.
	_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err = c.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// members returns the IDs and states of the VMs in the member list of the node.
func members(n *node.Node) string {
	var all []string
	for _, m := range n.State().Members {
		all = append(all, m.ID+" "+m.State)
	}
	return strings.Join(all, ", ")
}

// Guards against keys that cannot be rotated while callers are connected, against old keys that stay valid after the rotation,
// and against callers, VMs or operators that are admitted without TLS.
func TestKeyRotation(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	k := keyring{g, t.TempDir()}
	ids := []string{"vm1", "vm2", "vm3"}
	issue := func(authority string, ids ...string) {
		for _, id := range ids {
			g.Expect(k.authority(authority).VM(k.dir, id, nil, time.Now(), time.Hour)).To(gomega.Succeed())
		}
	}
	issue("old", ids...)
	k.writeTrusted("old")
	spec := smallSpec()
	spec.Adjust, spec.OperatorTLS = k.adjust, k.operatorTLS("old")
	s := open(t, spec)
	openConn, err := k.connect(ctx, s.Nodes()[0], "vm1", "old")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = openConn.Close(ctx) }()
	expectServed := func() {
		res := openConn.ExecParams(ctx, "SELECT n FROM tick WHERE id = 1", nil, nil, nil, nil).Read()
		g.Expect(res.Err).NotTo(gomega.HaveOccurred())
		g.Expect(res.Rows).To(gomega.HaveLen(1))
	}
	expectServed()
	_, err = pgconn.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/dues?sslmode=disable", User(0), Password,
		s.Nodes()[0].CallerAddr()))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("SQLSTATE 28000")))

	k.authority("new")
	k.writeTrusted("old", "new")
	for _, id := range ids {
		issue("new", id)
		expectServed()
	}
	// Every VM must have loaded the new trusted.pem before a VM starts whose only certificate is from the new authority.
	for i, n := range s.Nodes() {
		g.Eventually(func() error {
			c, err := k.connect(ctx, n, ids[i], "new")
			if err == nil {
				_ = c.Close(ctx)
			}
			return err
		}, "10s", "100ms").Should(gomega.Succeed())
	}
	issue("new", "vm4")
	_, err = s.StartVM("vm4", "east")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, n := range s.Nodes() {
		g.Eventually(func() string { return members(n) }, "10s").Should(
			gomega.Equal("vm1 live, vm2 live, vm3 live, vm4 live"))
	}
	expectServed()

	k.writeTrusted("new")
	oldOperatorTLS := s.spec.OperatorTLS
	for _, c := range []struct {
		tls *tls.Config
		ok  bool
	}{{k.operatorTLS("new"), true}, {oldOperatorTLS, false}, {nil, false}} {
		g.Eventually(func() bool { return canDump(ctx, s.Nodes()[0], c.tls) }, "10s", "200ms").Should(gomega.Equal(c.ok))
	}
	issue("old", "vm5")
	for _, n := range s.Nodes() {
		g.Eventually(func() bool { return k.acceptsPeer(n, "vm5") }, "10s", "200ms").Should(gomega.BeFalse())
	}
	_, err = s.StartVM("vm5", "west")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, n := range s.Nodes()[:4] {
		g.Eventually(func() string { return members(n) }, "10s").Should(gomega.ContainSubstring("vm5 dead"))
	}
	expectServed()
}

// canDump reports whether an operator with the TLS configuration can request a dump of the VM.
func canDump(ctx context.Context, n *node.Node, cfg *tls.Config) bool {
	c, err := admin.Dial(n.OperatorAddr(), admin.WithTLS(cfg))
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_, err = c.Dump(ctx)
	return err == nil
}
