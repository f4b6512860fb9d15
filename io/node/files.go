package node

import (
	"math"
	"syscall"

	"go.uber.org/zap"

	"verbenagate/core/event"
)

const (
	// reservedFiles is the number of open files reserved for everything except callers' sessions. At the target size a VM has
	// about 790 connections to other VMs, 130 to servers and 256 from callers that are logging in. The rest is for operators,
	// the platform and servers that the VM takes over from other data centres.
	reservedFiles = 1536
	// One in startingDivisor of the reserved files, but at most maxStarting, may be used by callers that are logging in.
	startingDivisor = 6
	maxStarting     = 256
)

// bounds holds the maximum number of callers' sessions and the maximum number of further callers that are logging in.
type bounds struct{ callers, starting int }

// boundsFor derives the bounds from the callers setting and the limit of open files. It reserves at most half of the files.
// Without the reserve, callers could use up the files that the VM needs for its servers, the other VMs and the platform.
func boundsFor(callers int, files uint64) bounds {
	reserved := min(reservedFiles, files/2)
	available := int(min(files-reserved, math.MaxInt32))
	return bounds{callers: min(callers, available), starting: min(maxStarting, int(reserved)/startingDivisor)}
}

// callerBounds returns the bounds for this process's limit of open files, and logs an event if the limit lowers the callers
// setting.
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
