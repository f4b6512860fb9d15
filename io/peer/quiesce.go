package peer

import (
	"context"
	"sync"
	"time"
)

const (
	// quietPeriod is how long no unit of another VM may arrive or end before Quiesce returns. A VM may send a unit before
	// it learns that this VM is leaving; such a unit arrives within a few network latencies.
	quietPeriod         = 300 * time.Millisecond
	quiescePollInterval = 10 * time.Millisecond
)

// unitCounter counts the units of other VMs that are in flight: their answers have not been queued completely.
type unitCounter struct {
	mu         sync.Mutex
	running    int
	lastChange time.Time
}

func (f *unitCounter) unitArrived() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running++
	f.lastChange = time.Now()
}

func (f *unitCounter) unitEnded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	f.lastChange = time.Now()
}

func (f *unitCounter) isQuiet(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running == 0 && now.Sub(f.lastChange) >= quietPeriod
}

// Quiesce waits until the answers to all units of other VMs are queued and no unit has arrived for quietPeriod. Call it
// after Leave, which makes other VMs send no new units to this one.
func (m *Mesh) Quiesce(ctx context.Context) error {
	m.inboundUnits.mu.Lock()
	m.inboundUnits.lastChange = time.Now()
	m.inboundUnits.mu.Unlock()
	t := time.NewTicker(quiescePollInterval)
	defer t.Stop()
	for !m.inboundUnits.isQuiet(time.Now()) {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
