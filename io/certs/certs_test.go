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
	ca, made, _ := certs.OpenAuthority(dir, now, 240*time.Hour)
	_ = ca.VM(dir, "a1", []net.IP{net.IPv4(10, 0, 0, 1)}, now, 24*time.Hour)
	keys, _ := certs.Open(certs.Files{
		Cert: certs.CertFile(dir, "a1"), Key: certs.KeyFile(dir, "a1"), CA: certs.CertFile(dir, "ca"),
	}, logs.Nop(), time.Now)
	leaf := keys.Config().Certificates[0].Leaf
	fmt.Println(made, leaf.DNSNames, leaf.IPAddresses)
	// Output: true [a1] [10.0.0.1]
}

// handshake returns the error of either side.
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
		// With TLS 1.3 the client learns only by reading that its certificate was refused.
		_, _ = c.Read(make([]byte, 1))
		err = <-done
	}
	return err
}

// Guards against a rotation that needs a restart, that is seen later than a second after it, or that ends the use of keys
// while the new files are incomplete.
func TestRotation(t *testing.T) {
	g := NewWithT(t)
	dir, next := t.TempDir(), t.TempDir()
	now := time.Now()
	issue := func(dir, id string) *certs.Authority {
		ca, _, err := certs.OpenAuthority(dir, now, 24*time.Hour)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ca.VM(dir, id, nil, now, time.Hour)).To(Succeed())
		return ca
	}
	issue(dir, "a1")
	issue(dir, "b1")
	issue(next, "b1")
	log := &logs.Record{}
	open := func(dir, id string) *certs.Source {
		s, err := certs.Open(certs.Files{
			Cert: certs.CertFile(dir, id), Key: certs.KeyFile(dir, id), CA: certs.CertFile(dir, "ca"),
		}, log, func() time.Time { return now })
		g.Expect(err).NotTo(HaveOccurred())
		return s
	}
	a := open(dir, "a1")
	server := a.Server()
	try := func(s *certs.Source) error {
		c := s.Config().Clone()
		c.ServerName = "a1"
		return handshake(c, server)
	}
	old, fresh := open(dir, "b1"), open(next, "b1")
	g.Expect(try(old)).To(Succeed())
	g.Expect(try(fresh)).NotTo(Succeed())

	bundle := func(dirs ...string) {
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
	bundle(dir, next)
	before := a.Config()
	g.Expect(a.Config()).To(BeIdenticalTo(before), "the files are looked at once a second at most")
	now = now.Add(certs.CheckInterval)
	g.Expect(try(old)).To(Succeed())
	c := fresh.Config().Clone()
	c.ServerName = "a1"
	pool, err := certs.Pool(certs.CertFile(dir, "ca"))
	g.Expect(err).NotTo(HaveOccurred())
	c.RootCAs = pool
	g.Expect(handshake(c, server)).To(Succeed(), "the bundle admits certificates of both authorities")

	g.Expect(os.WriteFile(certs.CertFile(dir, "a1"), []byte("half"), 0o600)).To(Succeed())
	now = now.Add(certs.CheckInterval)
	g.Expect(try(old)).To(Succeed())
	g.Expect(log.Events()).To(ContainElement(event.KeysRefused))
	nextCA, _, err := certs.OpenAuthority(next, now, time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(nextCA.VM(dir, "a1", nil, now, time.Hour)).To(Succeed())
	bundle(next)
	now = now.Add(certs.CheckInterval)
	g.Expect(try(fresh)).To(Succeed())
	g.Expect(os.WriteFile(certs.CertFile(dir, "ca"), oldCA, 0o600)).To(Succeed())
	g.Expect(log.Events()).To(ContainElement(event.KeysLoaded))
	g.Expect(try(old)).NotTo(Succeed(), "certificates of the removed authority are refused")
}

// Guards against an operator's certificate that passes for a VM, a key that others can read, and names that overwrite the
// authority or leave the directory.
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
	g.Expect(pair.Leaf.NotAfter).To(BeTemporally("<=", now.Add(time.Hour)), "no certificate outlives its authority")
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
	g.Expect(result.CodeOf(err)).To(Equal(result.InvalidConfig), "a lost key must not lead to a new authority unasked")
}
