package ports_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"verbenagate/lab/ports"
)

// Guards against a reserved port that another socket can take while no listener is open there, against connections that hang
// instead of being refused then, and against a listener that cannot be opened again.
func TestPortStaysReservedBetweenListeners(t *testing.T) {
	r, err := ports.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	for range 3 {
		l, err := net.Listen("tcp4", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp4", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
		_ = l.Close()
		if _, err := net.Dial("tcp4", r.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("a connection without a listener ended with %v", err)
		}
		if err := listenWithoutReuse(r.Addr()); !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatalf("another socket could take the port: %v", err)
		}
	}
}

// listenWithoutReuse opens a listener that does not set SO_REUSEADDR, and closes it.
func listenWithoutReuse(address string) error {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
		})
		return errors.Join(controlErr, err)
	}}
	l, err := cfg.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return err
	}
	return l.Close()
}
