package route

import (
	"os"
	"testing"
	"time"
)

// Prints the figures of all policies, for docs/design/even-load.md.
func TestPolicyTable(t *testing.T) {
	if os.Getenv("POLICIES") == "" {
		t.Skip("set POLICIES=1")
	}
	base := trial{vms: 30, groups: 3, groupSize: 3, dataCentres: 3, load: 0.7, skew: 1, seed: 1}
	with := func(change func(*trial)) trial { tr := base; change(&tr); return tr }
	for _, s := range []struct {
		name string
		tr   trial
	}{
		{"3 VMs, 3 servers, skew 3 .85", with(func(t *trial) { t.vms, t.groups, t.skew, t.load = 3, 1, 3, .85 })},
		{"30 VMs, 9 servers, skew 3 .7", with(func(t *trial) { t.skew, t.load = 3, .7 })},
		{"30 VMs, 9 servers, skew 3 .85", with(func(t *trial) { t.skew, t.load = 3, .85 })},
		{"300 VMs, 60 servers, skew 3 .7", with(func(t *trial) { t.vms, t.groups, t.skew, t.load = 300, 20, 3, .7 })},
		{"300 VMs, 60 servers, skew 3 .85", with(func(t *trial) { t.vms, t.groups, t.skew, t.load = 300, 20, 3, .85 })},
		{"300 VMs, one slow", with(func(t *trial) { t.vms, t.slow = 300, 5 })},
		{"300 VMs, overload 1.2", with(func(t *trial) { t.vms, t.load = 300, 1.2 })},
		{"30 VMs, 12 replicas", with(func(t *trial) { t.groups, t.groupSize, t.load = 1, 13, .85 })},
		{"30 VMs, one slow", with(func(t *trial) { t.slow = 5 })},
		{"30 VMs, one DC .85", with(func(t *trial) { t.dataCentres, t.load = 1, .85 })},
		{"300 VMs, one DC .85", with(func(t *trial) { t.vms, t.dataCentres, t.load = 300, 1, .85 })},
	} {
		for _, age := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			for _, p := range []policy{ownCounts, byShare, sharesAndSentBack, centralQueue} {
				if age > 100*time.Millisecond && p.report == nil {
					continue
				}
				tr := s.tr
				tr.age, tr.policy = age, p
				f := tr.run()
				t.Logf("%-30s %4s %-40s busiest %.2f swing %6.2f mean %6.1f p99 %7.1f remote %.2f slow %.2f again %.2f", s.name, age, p.name,
					f.busiest, f.swing, float64(f.mean)/1e6, float64(f.p99)/1e6, f.remote, f.slowShare, f.again)
			}
		}
	}
}
