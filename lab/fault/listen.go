package fault

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// inUseLimit bounds the wait for an address that is in use, and inUseStep is the time between two attempts.
	inUseLimit = 2 * time.Second
	inUseStep  = 5 * time.Millisecond
)

// Listen listens on an address that this process may have just closed. A process that is being started keeps a copy of
// each of its parent's listeners until it runs its own program, so the address may be in use for some milliseconds more.
func Listen(address string) (net.Listener, error) {
	for end := time.Now().Add(inUseLimit); ; time.Sleep(inUseStep) {
		ln, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return ln, err
		}
	}
}
