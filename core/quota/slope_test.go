package quota

import (
	"testing"
	"time"
)

// Guards against calls for tokens that grow faster than the operations. docs/CAPACITY.md has the figures.
func TestCallsPerVM(t *testing.T) {
	const length = 5 * time.Second
	for _, c := range []struct {
		vms, workspaces int
		perVM           float64
	}{{30, 82, 10}, {100, 82, 10}, {300, 82, 10}, {300, 10000, 10}, {30, 82, 100}, {30, 1000, 100}} {
		s := newSim(5, c.vms, 4)
		begin := s.now.Add(warmUp)
		rate := float64(c.vms) * c.perVM / float64(c.workspaces)
		for i := range c.workspaces {
			s.demand(s.workspace(i, 1.6*rate+10, 1.6*rate+10), begin.Add(length), func(now time.Time) float64 {
				if now.Before(begin) {
					return 0
				}
				return rate
			}, s.anyVM)
		}
		s.runUntil(begin.Add(length))
		operations := 0
		for _, w := range s.workspaces {
			operations += w.asked
		}
		each := length.Seconds() * float64(c.vms)
		t.Logf("%d VMs, %d workspaces, %.1f operations/s at a VM: %.2f calls/s with %.2f asks/s for each VM, %.0f loans/s in all", c.vms,
			c.workspaces, float64(operations)/each, float64(s.messages)/each, float64(s.asks)/each, float64(s.loans)/(warmUp+length).Seconds())
		if float64(s.messages) > 1.1*float64(operations) {
			t.Errorf("%d calls for %d operations", s.messages, operations)
		}
	}
}
