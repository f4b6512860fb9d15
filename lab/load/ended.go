package load

import (
	"net"
	"syscall"
)

// endedByPeer reports whether the peer of an idle connection has closed it or sent data, which on an idle connection can
// only announce its end. It peeks without consuming data, at the cost of one system call.
func endedByPeer(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	found := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peek := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = peek != syscall.EAGAIN
	})
	return found || err != nil
}
