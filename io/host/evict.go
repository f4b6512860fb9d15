package host

import (
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/owner"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
)

const (
	// evictInterval is the time between two checks of a server's former owner, and between two attempts to end its connections.
	evictInterval = 250 * time.Millisecond
	// maxEvictAttempts bounds these attempts to about 30 s. A server that is unreachable for longer, as when a whole data
	// centre is lost, would otherwise be dialled for as long as the VM is dead.
	maxEvictAttempts = 120
)

// evictFormerOwner ends the connections of the VM that owned a server before, once that VM counts as dead. The caller holds the
// lock.
//
// A VM that is paused, or whose host has lost power, leaves its connections and transactions open on the server, with their
// locks: in a pause of 10 s, all other writes waited until it was over. A VM that is only cut off from other VMs loses its
// transactions in progress on the server once, and connects again.
func (h *Host) evictFormerOwner(s *hostedService, server svcdef.Server, liveBefore owner.Live) {
	if liveBefore == nil {
		return
	}
	former, ok := owner.Of(server.Address(), server.DataCentre(), liveBefore)
	if !ok || former == h.cfg.VM {
		return
	}
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		h.evictWhenDead(s, server.Address(), former, evictInterval)
	}()
}

// evictWhenDead waits while the VM is suspect and then ends its connections if it counts as dead. It gives up when this VM no
// longer owns the server, or after maxEvictAttempts attempts.
func (h *Host) evictWhenDead(s *hostedService, address, vm string, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for attempts := 0; attempts < maxEvictAttempts; {
		suspect, dead := h.formerOwnerState(s, address, vm)
		if !suspect && !dead {
			return
		}
		if dead {
			if h.tryEvict(s, address, vm) {
				return
			}
			attempts++
		}
		select {
		case <-ticker.C:
		case <-h.ctx.Done():
			return
		}
	}
}

// tryEvict reports whether no further attempt is needed: the connections are ended, or the server refuses to end them.
func (h *Host) tryEvict(s *hostedService, address, vm string) bool {
	ended, err := s.group.Evict(h.ctx, address, vm)
	fields := []zap.Field{zap.String("server", address), zap.String("vm", vm)}
	switch result.CodeOf(err) {
	case result.OK:
		if ended > 0 {
			h.cfg.Logger.Event(event.EndptEvicted, append(fields, zap.Int("connections", ended))...)
		}
		return true
	case result.Unsupported, result.StatementFailed, result.InvalidConfig:
		h.cfg.Logger.Event(event.EndptNotEvicted, append(fields, zap.Error(err))...)
		return true
	}
	return false // the server did not answer
}

// formerOwnerState reports whether this VM considers the former owner of a server suspect or dead. Both are false if this VM no
// longer owns the server.
func (h *Host) formerOwnerState(s *hostedService, address, vm string) (suspect, dead bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	detector, ok := h.live.(owner.FailureDetector)
	if !ok || s.servers[address] == nil || h.hosted[s.svc.Name()] != s {
		return false, false
	}
	return detector.IsSuspect(vm), detector.IsDead(vm)
}
