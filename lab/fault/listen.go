package fault

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// addressInUseTimeout bounds the wait for an address that is in use, with an attempt every listenRetryInterval.
	addressInUseTimeout = 2 * time.Second
	listenRetryInterval = 5 * time.Millisecond
)

// Listen listens on an address whose previous listener this process may have just closed. A child process that is being started
// holds copies of its parent's listeners until it calls exec, so the address can stay in use for some milliseconds. Listen
// retries for up to addressInUseTimeout.
func Listen(address string) (net.Listener, error) {
	for deadline := time.Now().Add(addressInUseTimeout); ; time.Sleep(listenRetryInterval) {
		ln, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return ln, err
		}
	}
}
