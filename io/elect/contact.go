package elect

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
)

const (
	// pingInterval lies between two calls to VMs of other data centres, and pingLimit is how long an answer may take.
	pingInterval = 250 * time.Millisecond
	pingLimit    = 300 * time.Millisecond
)

// keepContact asks one VM of another data centre for an answer, and notes when the first again or none of them can be reached any more.
func (e *Elector) keepContact(ctx context.Context, n int) {
	e.mu.Lock()
	if len(e.contacts) == 0 {
		e.mu.Unlock()
		return
	}
	vm := e.contacts[n%len(e.contacts)]
	e.mu.Unlock()
	asked := e.clock()
	err := e.agents.Ping(ctx, vm.Address(), pingLimit)
	if ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		e.contact.RecordAnswer()
	} else {
		e.contact.RecordFailure(vm.Name(), asked)
	}
	if lost := e.contact.CutOff(e.clock()); lost != e.apart {
		e.apart = lost
		id := event.ContactRegained
		if lost {
			id = event.ContactLost
		}
		e.log.Event(id, zap.String("vm", vm.Name()), zap.Error(err))
		e.notify()
	}
}

// near reports whether a group's primary is in this VM's data centre. The caller holds mu.
func (e *Elector) near(g *groupState) bool {
	s, ok := e.view().Server(g.record.Server())
	return ok && s.DataCentre() == e.self.DataCentre()
}
