package peer

import (
	"context"
	"sync"
	"time"
)

const (
	// quiesceLinger is how long no unit of another VM may arrive before a leaving VM closes its mesh. A unit that was sent
	// before the news of the leaving arrived is on its way for a few network latencies.
	quiesceLinger   = 300 * time.Millisecond
	quiesceInterval = 10 * time.Millisecond
)

// inflight counts the units of other VMs whose answers have not been queued yet.
type inflight struct {
	mu      sync.Mutex
	running int
	last    time.Time
}

func (f *inflight) arrived() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running++
	f.last = time.Now()
}

func (f *inflight) ended() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	f.last = time.Now()
}

func (f *inflight) quiet(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running == 0 && now.Sub(f.last) >= quiesceLinger
}

// Quiesce waits until the answers to all units of other VMs are queued and no further unit has arrived for a short time.
// It follows Leave, after which other VMs send no new units.
func (m *Mesh) Quiesce(ctx context.Context) error {
	m.inflight.mu.Lock()
	m.inflight.last = time.Now()
	m.inflight.mu.Unlock()
	t := time.NewTicker(quiesceInterval)
	defer t.Stop()
	for !m.inflight.quiet(time.Now()) {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
