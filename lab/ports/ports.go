// Package ports reserves TCP ports of the loopback address for listeners that open later, or that close and open again. An
// address that is only looked up with a listener on port 0 may be taken by another process before it is used.
package ports

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Reservation is a port that is bound by a socket that does not listen. Connections to the port are refused until a listener is
// opened there. No other process gets the port, since the kernel assigns only ports without a bound socket. Listeners of the
// package net can share it, because they set SO_REUSEADDR too.
type Reservation struct {
	fd   int
	addr string
}

// Reserve reserves a free port of 127.0.0.1.
func Reserve() (*Reservation, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("opening a socket: %w", err)
	}
	r := &Reservation{fd: fd}
	if err := r.bind(); err != nil {
		_ = r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Reservation) bind() error {
	if err := unix.SetsockoptInt(r.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return fmt.Errorf("setting SO_REUSEADDR: %w", err)
	}
	if err := unix.Bind(r.fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return fmt.Errorf("binding a port of 127.0.0.1: %w", err)
	}
	name, err := unix.Getsockname(r.fd)
	if err != nil {
		return fmt.Errorf("reading the address of the socket: %w", err)
	}
	inet, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return fmt.Errorf("the socket has an address of type %T", name)
	}
	r.addr = fmt.Sprintf("127.0.0.1:%d", inet.Port)
	return nil
}

// Addr returns the reserved address, IP:port.
func (r *Reservation) Addr() string { return r.addr }

// Close ends the reservation. It does not affect listeners.
func (r *Reservation) Close() error { return unix.Close(r.fd) }
