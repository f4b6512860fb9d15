package endpt

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a check of an idle connection that blocks for ever. The login of pgconn may leave a reader blocked on
// the connection, and a check that took the read lock would wait for that reader.
func TestAliveBesideReader(t *testing.T) {
	g := gomega.NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer nc.Close()
	server, err := ln.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _, _ = nc.Read(make([]byte, 1)) }()
	time.Sleep(50 * time.Millisecond) // until the reader blocks; no event shows that
	c := &conn{nc: nc, r: bufio.NewReader(nc)}
	got := make(chan bool, 1)
	go func() { got <- c.alive() }()
	g.Eventually(got, 5*time.Second).Should(gomega.Receive(gomega.BeTrue()))
	g.Expect(server.Close()).To(gomega.Succeed())
	g.Eventually(c.alive, 5*time.Second).Should(gomega.BeFalse())
}
