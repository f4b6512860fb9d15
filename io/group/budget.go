package group

import (
	"sync"
	"time"

	"verbenagate/core/failov"
)

// PollBudget determines the polling intervals of all groups that a VM watches. A nil PollBudget always gives the shortest
// interval.
type PollBudget struct {
	mu              sync.Mutex
	groups, servers int
}

// add changes the numbers of watched groups and servers by the given amounts, which may be negative.
func (b *PollBudget) add(groups, servers int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.groups += groups
	b.servers += servers
}

func (b *PollBudget) pollIntervals(shortest time.Duration) failov.PollIntervals {
	if b == nil {
		return failov.NewPollIntervals(shortest, 0, 0)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return failov.NewPollIntervals(shortest, b.groups, b.servers)
}
