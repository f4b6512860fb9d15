package opcli_test

import (
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"verbenagate/io/admin"
	"verbenagate/io/certs"
	"verbenagate/io/logs"
)

// Guards against generated keys with which no operator can call a VM, and against a VM that accepts calls without a
// client certificate.
func TestKeysAndCallsWithTLS(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	code, out, errs := runApp("keys", "make", "--ca", dir, "--vm", "a1", "--ip", "127.0.0.1", "--operator", "ann")
	g.Expect(code).To(Equal(0), errs)
	g.Expect(out).To(Equal(filepath.Join(dir, "ca.pem") + "\n" + filepath.Join(dir, "ca.key") + "\n" +
		filepath.Join(dir, "a1.pem") + "\n" + filepath.Join(dir, "a1.key") + "\n" +
		filepath.Join(dir, "ann.pem") + "\n" + filepath.Join(dir, "ann.key") + "\n"))
	code, out, errs = runApp("--output=json", "keys", "make", "--ca", dir, "--out", filepath.Join(dir, "vms"), "--vm", "a2", "--vm", "a3")
	g.Expect(code).To(Equal(0), errs)
	g.Expect(out).NotTo(ContainSubstring("ca.pem"), "the authority must be created only once")
	code, _, _ = runApp("keys", "make", "--ca", dir, "--vm", "a2", "--vm", "a3", "--ip", "127.0.0.1")
	g.Expect(code).To(Equal(3))

	keys, err := certs.Open(certs.Files{
		Cert: certs.CertFile(dir, "a1"), Key: certs.KeyFile(dir, "a1"), CA: certs.CertFile(dir, "ca"),
	}, logs.Nop(), time.Now)
	g.Expect(err).NotTo(HaveOccurred())
	srv, err := admin.Listen(t.Context(), "127.0.0.1:0", &fakeControl{}, logs.Nop(), admin.WithTLS(keys.Server(admin.ALPNProtocol)))
	g.Expect(err).NotTo(HaveOccurred())
	defer srv.Close()
	server := "--server=" + srv.Addr().String()
	ca := "--tls-ca=" + certs.CertFile(dir, "ca")
	operatorKeys := []string{"--tls-cert=" + certs.CertFile(dir, "ann"), "--tls-key=" + certs.KeyFile(dir, "ann")}
	for _, c := range []struct {
		args []string
		code int
	}{
		{append(operatorKeys, server, ca), 0},
		{append(operatorKeys, server, ca, "--tls-name=a1"), 0},
		{append(operatorKeys, server, ca, "--tls-name=b1"), 6},
		{[]string{server, ca}, 6},
		{[]string{server}, 6},
		{append(operatorKeys, server), 3},
	} {
		code, _, errs := runApp(append(c.args, "vm", "list")...)
		g.Expect(code).To(Equal(c.code), "%v: %s", c.args, errs)
	}
}
