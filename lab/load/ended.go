package load

import (
	"net"
	"syscall"
)

// ended reports whether the peer of an idle connection has sent something or closed it. On an idle connection, both mean
// that the VM ended it. It reads nothing, so that it costs one system call.
func ended(c net.Conn) bool {
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
