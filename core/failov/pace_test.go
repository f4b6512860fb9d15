package failov

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against polling traffic that grows with the number of servers, intervals below the setting, and intervals so long that
// a failover or the detection of a leaving server comes too late.
func TestPaceKeepsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shortest := time.Duration(rapid.IntRange(10, 1000).Draw(t, "shortest_ms")) * time.Millisecond
		groups := rapid.IntRange(1, 40).Draw(t, "groups")
		servers := groups * rapid.IntRange(1, 5).Draw(t, "servers of a group")
		p := NewPollIntervals(shortest, groups, servers)
		if p.Primary() < shortest || p.Replica() < p.Primary() {
			t.Fatalf("polling intervals %v and %v, but the shortest allowed is %v", p.Primary(), p.Replica(), shortest)
		}
		if p.Primary() > max(shortest, maxPrimaryInterval) || p.Replica() > max(shortest, maxReplicaInterval) {
			t.Fatalf("polling intervals %v and %v are too long", p.Primary(), p.Replica())
		}
		polls := float64(groups)/p.Primary().Seconds() + float64(servers-groups)/p.Replica().Seconds()
		if polls*bytesPerPoll > 1.001*pollBytesPerSecond && p.Primary() < maxPrimaryInterval {
			t.Fatalf("%.0f B/s of polling traffic for %d servers of %d groups", polls*bytesPerPoll, servers, groups)
		}
	})
}

// Guards against a slow failover at the usual sizes, where a VM watches one to three groups.
func TestPaceToday(t *testing.T) {
	for groups, maxInterval := range map[int]time.Duration{1: 150 * time.Millisecond, 3: 450 * time.Millisecond} {
		if p := NewPollIntervals(100*time.Millisecond, groups, 3*groups); p.Primary() > maxInterval {
			t.Errorf("%d groups: the primary is polled every %v", groups, p.Primary())
		}
	}
}
