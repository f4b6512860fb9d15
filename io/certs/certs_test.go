package certs_test

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"verbenagate/core/event"
	"verbenagate/core/result"
	"verbenagate/io/certs"
	"verbenagate/io/logs"
)

func Example() {
	dir, _ := os.MkdirTemp("", "keys")
	defer os.RemoveAll(dir)
	now := time.Now()
	ca, created, _ := certs.OpenAuthority(dir, now, 240*time.Hour)
	_ = ca.VM(dir, "a1", []net.IP{net.IPv4(10, 0, 0, 1)}, now, 24*time.Hour)
	keys, _ := certs.Open(certs.Files{
		Cert: certs.CertFile(dir, "a1"), Key: certs.KeyFile(dir, "a1"), CA: certs.CertFile(dir, "ca"),
	}, logs.Nop(), time.Now)
	leaf := keys.Config().Certificates[0].Leaf
	fmt.Println(created, leaf.DNSNames, leaf.IPAddresses)
	// Output: true [a1] [10.0.0.1]
}

// handshake performs a TLS handshake over a pipe and returns the error of the client or the server.
func handshake(client, server *tls.Config) error {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	done := make(chan error, 1)
	go func() {
		done <- tls.Server(b, server).Handshake()
		b.Close()
	}()
	c := tls.Client(a, client)
	err := c.Handshake()
	if err == nil {
		// With TLS 1.3 a client sees that the server refused its certificate only when it reads.
		_, _ = c.Read(make([]byte, 1))
		err = <-done
	}
	return err
}

// Guards against a key rotation that needs a restart, that takes effect more than CheckInterval (a second) later, or that breaks
// TLS while the new files are incomplete.
func TestRotation(t *testing.T) {
	g := NewWithT(t)
	dir, newDir := t.TempDir(), t.TempDir()
	now := time.Now()
	issue := func(dir, id string) *certs.Authority {
		ca, _, err := certs.OpenAuthority(dir, now, 24*time.Hour)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ca.VM(dir, id, nil, now, time.Hour)).To(Succeed())
		return ca
	}
	issue(dir, "a1")
	issue(dir, "b1")
	issue(newDir, "b1")
	log := &logs.Recorder{}
	openSource := func(dir, id string) *certs.Source {
		s, err := certs.Open(certs.Files{
			Cert: certs.CertFile(dir, id), Key: certs.KeyFile(dir, id), CA: certs.CertFile(dir, "ca"),
		}, log, func() time.Time { return now })
		g.Expect(err).NotTo(HaveOccurred())
		return s
	}
	a := openSource(dir, "a1")
	server := a.Server()
	connect := func(s *certs.Source) error {
		c := s.Config().Clone()
		c.ServerName = "a1"
		return handshake(c, server)
	}
	oldClient, newClient := openSource(dir, "b1"), openSource(newDir, "b1")
	g.Expect(connect(oldClient)).To(Succeed())
	g.Expect(connect(newClient)).NotTo(Succeed())

	writeBundle := func(dirs ...string) {
		var all []byte
		for _, d := range dirs {
			pem, err := os.ReadFile(certs.CertFile(d, "ca"))
			g.Expect(err).NotTo(HaveOccurred())
			all = append(all, pem...)
		}
		g.Expect(os.WriteFile(filepath.Join(dir, "ca.pem"), all, 0o600)).To(Succeed())
	}
	oldCA, err := os.ReadFile(certs.CertFile(dir, "ca"))
	g.Expect(err).NotTo(HaveOccurred())
	writeBundle(dir, newDir)
	before := a.Config()
	g.Expect(a.Config()).To(BeIdenticalTo(before), "the files are checked at most once a second")
	now = now.Add(certs.CheckInterval)
	g.Expect(connect(oldClient)).To(Succeed())
	c := newClient.Config().Clone()
	c.ServerName = "a1"
	pool, err := certs.Pool(certs.CertFile(dir, "ca"))
	g.Expect(err).NotTo(HaveOccurred())
	c.RootCAs = pool
	g.Expect(handshake(c, server)).To(Succeed(), "certificates of both authorities in the bundle are accepted")

	g.Expect(os.WriteFile(certs.CertFile(dir, "a1"), []byte("half"), 0o600)).To(Succeed())
	now = now.Add(certs.CheckInterval)
	g.Expect(connect(oldClient)).To(Succeed())
	g.Expect(log.Events()).To(ContainElement(event.KeysRefused))
	newCA, _, err := certs.OpenAuthority(newDir, now, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(newCA.VM(dir, "a1", nil, now, time.Hour)).To(Succeed())
	writeBundle(newDir)
	now = now.Add(certs.CheckInterval)
	g.Expect(connect(newClient)).To(Succeed())
	g.Expect(os.WriteFile(certs.CertFile(dir, "ca"), oldCA, 0o600)).To(Succeed())
	g.Expect(log.Events()).To(ContainElement(event.KeysLoaded))
	g.Expect(connect(oldClient)).NotTo(Succeed(), "certificates of the removed authority are refused")
}

// Guards against an operator's certificate that is accepted as that of a VM, against key files that other users can read, and
// against names that overwrite the authority or lead out of the directory.
func TestIssue(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	now := time.Now()
	ca, _, err := certs.OpenAuthority(dir, now, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ca.Operator(dir, "ann", now, 24*time.Hour)).To(Succeed())
	pair, err := tls.LoadX509KeyPair(certs.CertFile(dir, "ann"), certs.KeyFile(dir, "ann"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(pair.Leaf.DNSNames).To(BeEmpty())
	g.Expect(pair.Leaf.NotAfter).To(BeTemporally("<=", now.Add(time.Hour)), "a certificate expires no later than its authority")
	for _, name := range []string{"ca", "ann"} {
		info, err := os.Stat(certs.KeyFile(dir, name))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
	}
	for _, name := range []string{"ca", "../x", ".x", ""} {
		g.Expect(result.CodeOf(ca.VM(dir, name, nil, now, time.Hour))).To(Equal(result.InvalidConfig), name)
	}
	g.Expect(os.Remove(certs.KeyFile(dir, "ca"))).To(Succeed())
	_, _, err = certs.OpenAuthority(dir, now, time.Hour)
	g.Expect(result.CodeOf(err)).To(Equal(result.InvalidConfig), "a missing ca.key must not silently create a new authority")
}
