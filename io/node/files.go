package node

import (
	"math"
	"syscall"

	"go.uber.org/zap"

	"verbenagate/core/event"
)

const (
	// ownFiles is how many open files are kept for everything but callers' sessions. At the target size a VM has about 790
	// connections to other VMs, 130 to servers and 256 of callers that log in; the rest is for operators, the platform and
	// for servers of other data centres that a VM takes over.
	ownFiles = 1536
	// startingShare is the share of these files for callers that log in, maxStarting their number where files abound.
	startingShare = 6
	maxStarting   = 256
)

// bounds is how many callers a VM serves, and how many more may be logging in.
type bounds struct{ callers, starting int }

// boundsFor derives the bounds from the settings and the limit of open files. At most half of the files are kept back.
// Without this, callers could take the files that the VM needs for its servers, the other VMs and the platform.
func boundsFor(callers int, files uint64) bounds {
	own := min(ownFiles, files/2)
	room := int(min(files-own, math.MaxInt32))
	return bounds{callers: min(callers, room), starting: min(maxStarting, int(own)/startingShare)}
}

// callerBounds returns the bounds of this process and reports a limit of open files that lowers the setting.
func (n *Node) callerBounds() bounds {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return bounds{callers: n.cfg.Limits.Callers, starting: maxStarting}
	}
	b := boundsFor(n.cfg.Limits.Callers, files.Cur)
	if b.callers < n.cfg.Limits.Callers {
		n.log.Event(event.FilesLimit, zap.Uint64("files", files.Cur), zap.Int("setting", n.cfg.Limits.Callers),
			zap.Int("callers", b.callers))
	}
	return b
}
