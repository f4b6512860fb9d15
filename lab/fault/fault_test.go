package fault_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"verbenagate/lab/fault"
)

// newEchoLink starts a server that sends back what it receives, and returns a link to it.
func newEchoLink(t testing.TB) *fault.Link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	l, err := fault.New(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.Close()
		_ = ln.Close()
	})
	return l
}

func dial(t testing.TB, l *fault.Link) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// exchange sends a byte and returns a channel that receives the error of reading it back.
func exchange(c net.Conn) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte{7})
		if err == nil {
			_, err = io.ReadFull(c, make([]byte, 1))
		}
		done <- err
	}()
	return done
}

// Guards against bytes that are changed, reordered or lost, and against an end of stream that overtakes data in transit.
func TestForwardsEverything(t *testing.T) {
	g := NewWithT(t)
	l := newEchoLink(t)
	l.SetDelay(fault.ToServer, 2*time.Millisecond)
	l.SetLoss(fault.ToClient, 0.05, 1)
	c := dial(t, l)
	want := bytes.Repeat([]byte("drawer 17, sheet 4; "), 50_000)
	go func() {
		_, _ = c.Write(want)
		_ = c.CloseWrite()
	}()
	got, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(got, want)).To(BeTrue())
}

// Guards against a delay that is applied in only one direction or in none.
func TestDelay(t *testing.T) {
	g := NewWithT(t)
	l := newEchoLink(t)
	c := dial(t, l)
	l.SetDelay(fault.ToServer, 30*time.Millisecond)
	l.SetDelay(fault.ToClient, 30*time.Millisecond)
	start := time.Now()
	g.Expect(<-exchange(c)).To(Succeed())
	g.Expect(time.Since(start)).To(BeNumerically(">=", 60*time.Millisecond))
}

// Guards against a cut that stops the wrong direction, loses the bytes held back, or also ends the connection.
func TestCut(t *testing.T) {
	g := NewWithT(t)
	for _, d := range []fault.Direction{fault.ToServer, fault.ToClient} {
		l := newEchoLink(t)
		c := dial(t, l)
		g.Expect(<-exchange(c)).To(Succeed())
		l.Cut(d, true)
		done := exchange(c)
		g.Consistently(done, "50ms").ShouldNot(Receive())
		l.Cut(d, false)
		g.Eventually(done, "10s").Should(Receive(BeNil()))
	}
}

// Guards against a black hole that refuses connections or forwards them to the target.
func TestBlackHole(t *testing.T) {
	g := NewWithT(t)
	l := newEchoLink(t)
	l.BlackHole(true)
	done := exchange(dial(t, l))
	g.Consistently(done, "50ms").ShouldNot(Receive())
	g.Expect(l.Opened()).To(BeZero())
	l.BlackHole(false)
	g.Eventually(done, "10s").Should(Receive(BeNil()))
	g.Expect(l.Opened()).To(Equal(1))
}

// Guards against a silent link that delivers the bytes after its end, ends its connections, or leaves new ones silent.
func TestSilence(t *testing.T) {
	l := newEchoLink(t)
	c := dial(t, l)
	if err := <-exchange(c); err != nil {
		t.Fatal(err)
	}
	l.Silence(true)
	meanwhile := dial(t, l)
	pending, opened := exchange(c), exchange(meanwhile)
	time.Sleep(50 * time.Millisecond)
	l.Silence(false)
	if err := <-exchange(dial(t, l)); err != nil {
		t.Fatalf("a new connection after the silence: %v", err)
	}
	select {
	case err := <-pending:
		t.Fatalf("a connection from before the silence ended or delivered: %v", err)
	case err := <-opened:
		t.Fatalf("a connection from the silence ended or delivered: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
}

// Guards against a reset or a refusal that the client sees as an orderly end of the stream.
func TestResetAndRefuse(t *testing.T) {
	g := NewWithT(t)
	l := newEchoLink(t)
	c := dial(t, l)
	g.Expect(<-exchange(c)).To(Succeed())
	g.Expect(l.Refuse(true)).To(Succeed())
	_, err := net.Dial("tcp", l.Addr())
	g.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue())
	g.Expect(<-exchange(c)).To(Succeed(), "an open connection continues")
	l.Reset()
	_, err = c.Read(make([]byte, 1))
	g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue())
	g.Expect(l.Refuse(false)).To(Succeed())
	g.Expect(<-exchange(dial(t, l))).To(Succeed())
}

// Guards against a Listen that fails because a child process that is being started still holds a copy of the old listener.
func TestListenWaitsForAddress(t *testing.T) {
	g := NewWithT(t)
	first, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	time.AfterFunc(50*time.Millisecond, func() { _ = first.Close() })
	second, err := fault.Listen(first.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Close()).To(Succeed())
}
