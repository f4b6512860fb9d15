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
	// evictInterval is the time between two looks at the former owner of a server, and between two attempts to end its
	// connections.
	evictInterval = 250 * time.Millisecond
	// evictTries bounds these attempts to about 30 s. A server that is out of reach for longer, as when a whole data centre is
	// lost, would otherwise be dialled for as long as the VM is dead.
	evictTries = 120
)

// evictFormer ends the connections of the VM that owned a server before, once that VM counts as dead. The caller holds the
// lock.
//
// A VM that is paused, or whose host has lost its power, leaves its connections and transactions open on the server, with
// their locks: the writes of all others waited until a pause of 10 s was over. A VM that is only cut off from other VMs loses
// what it has in progress on the server, once, and connects again.
func (h *Host) evictFormer(s *hosted, server svcdef.Server, before owner.Live) {
	if before == nil {
		return
	}
	former, ok := owner.Of(server.Address(), server.DataCentre(), before)
	if !ok || former == h.cfg.VM {
		return
	}
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		h.evict(s, server.Address(), former, evictInterval)
	}()
}

// evict waits while the VM is suspect, and ends its connections if it counts as dead then. It gives up when this VM no longer
// owns the server.
func (h *Host) evict(s *hosted, address, vm string, interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for tries := 0; tries < evictTries; {
		suspect, dead := h.former(s, address, vm)
		if !suspect && !dead {
			return
		}
		if dead {
			if h.evictOnce(s, address, vm) {
				return
			}
			tries++
		}
		select {
		case <-t.C:
		case <-h.ctx.Done():
			return
		}
	}
}

// evictOnce reports whether the matter is settled: the connections are ended, or the server does not end them.
func (h *Host) evictOnce(s *hosted, address, vm string) bool {
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

// former reports what this VM thinks of the former owner of a server, if it still owns the server itself.
func (h *Host) former(s *hosted, address, vm string) (suspect, dead bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	v, ok := h.live.(owner.FailureDetector)
	if !ok || s.servers[address] == nil || h.hosted[s.svc.Name()] != s {
		return false, false
	}
	return v.IsSuspect(vm), v.IsDead(vm)
}
