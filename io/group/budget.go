package group

import (
	"sync"
	"time"

	"verbenagate/core/failov"
)

// Budget sets the pace of all groups that a VM watches. A nil Budget keeps the shortest interval.
type Budget struct {
	mu              sync.Mutex
	groups, servers int
}

// add counts groups and servers that are watched from now on, or no longer.
func (b *Budget) add(groups, servers int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.groups += groups
	b.servers += servers
}

func (b *Budget) pace(shortest time.Duration) failov.Pace {
	if b == nil {
		return failov.NewPace(shortest, 0, 0)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return failov.NewPace(shortest, b.groups, b.servers)
}
