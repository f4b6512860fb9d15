package elect

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
)

const (
	// pingInterval is the time between two pings of VMs in other data centres, pingTimeout the time for an answer.
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 300 * time.Millisecond
)

// pingContact pings one VM of another data centre, the n-th of the contacts in turn. When this VM becomes cut off from the
// other data centres, or is no longer, pingContact logs it and notifies the waiters.
func (e *Elector) pingContact(ctx context.Context, n int) {
	e.mu.Lock()
	if len(e.contacts) == 0 {
		e.mu.Unlock()
		return
	}
	vm := e.contacts[n%len(e.contacts)]
	e.mu.Unlock()
	sent := e.clock()
	err := e.agents.Ping(ctx, vm.Address(), pingTimeout)
	if ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		e.isolation.RecordAnswer()
	} else {
		e.isolation.RecordFailure(vm.Name(), sent)
	}
	if cutOff := e.isolation.CutOff(e.clock()); cutOff != e.cutOff {
		e.cutOff = cutOff
		id := event.ContactRegained
		if cutOff {
			id = event.ContactLost
		}
		e.log.Event(id, zap.String("vm", vm.Name()), zap.Error(err))
		e.notifyChanged()
	}
}

// isPrimaryNearby reports whether the group's primary is in this VM's data centre. The caller holds mu.
func (e *Elector) isPrimaryNearby(g *groupState) bool {
	s, ok := e.view().Server(g.record.Server())
	return ok && s.DataCentre() == e.self.DataCentre()
}
