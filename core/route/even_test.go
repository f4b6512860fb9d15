package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/even"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/work"
)

const (
	// maxBusiest bounds the arrivals of the busiest of equal servers, over the mean.
	maxBusiest = 1.15
	// maxSkewedBusiest is the same bound where VMs near one replica have three times the demand of the others. A server in another
	// data centre counts as more loaded than it is, so that some unevenness remains.
	maxSkewedBusiest = 1.25
	// maxTail bounds the p99 latency over that of a central queue for all replicas.
	maxTail = 1.35
)

// Guards against VMs that overrun a server while another one idles, since what they know of the load is old, or since each of them
// knows only its own statements. Without reports, the first case fails with 1.42 for the busiest server, and with a p99 of 2.7 times
// that of a central queue. With the choice by the last report, queues swing between nothing and hundreds of reads.
func TestEvenLoad(t *testing.T) {
	base := trial{vms: 300, groups: 6, groupSize: 3, dataCentres: 3, load: 0.7, skew: 3, seed: 1}
	with := func(change func(*trial)) trial { tr := base; change(&tr); return tr }
	for _, c := range []struct {
		name string
		trial
		busiest float64
		// halved is the policy at whose swing that of shares may be at most half; nil if that is not required.
		halved *policy
	}{
		{"uneven demand", with(func(t *trial) { t.groups = 20 }), maxSkewedBusiest, &ownCounts},
		{"uneven demand, high load", with(func(t *trial) { t.load = 0.85 }), maxSkewedBusiest, &ownCounts},
		{"even demand", with(func(t *trial) { t.skew = 1 }), maxBusiest, nil},
		{"30 VMs", with(func(t *trial) { t.vms, t.groups, t.skew = 30, 3, 1 }), maxBusiest, nil},
		{"30 VMs, high load", with(func(t *trial) { t.vms, t.groups, t.load = 30, 3, 0.85 }), maxSkewedBusiest, nil},
		{"3 VMs", with(func(t *trial) { t.vms, t.groups, t.skew = 3, 1, 1 }), maxBusiest, nil},
		{"all VMs far", with(func(t *trial) { t.groups, t.dataCentres, t.skew, t.load = 3, 1, 1, 0.85 }), maxBusiest, nil},
		{"twelve replicas", with(func(t *trial) { t.groups, t.groupSize, t.skew = 1, 13, 1 }), maxBusiest, nil},
		{"five data centres", with(func(t *trial) { t.groups, t.dataCentres, t.load = 2, 5, 0.85 }), maxSkewedBusiest, nil},
		{"one server at a fifth of its speed", with(func(t *trial) { t.groups, t.slow, t.skew = 3, 5, 1 }), 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			play := func(p policy, age time.Duration) figures {
				tr := c.trial
				tr.policy, tr.age = p, age
				f := tr.run()
				t.Logf("%5s %-40s %s", age, p.name, f)
				return f
			}
			best := play(centralQueue, 0)
			before := map[string]figures{}
			for _, p := range []policy{ownCounts, random, lastReport, twoChoices, decayingReport, shares} {
				if c.halved != nil && p.name == c.halved.name || testing.Verbose() {
					before[p.name] = play(p, 2*time.Second)
				}
			}
			for _, age := range []time.Duration{50 * time.Millisecond, 2 * time.Second} {
				f := play(sharesAndSentBack, age)
				if c.busiest > 0 {
					g.Expect(f.busiest).To(gomega.BeNumerically("<=", c.busiest), "busiest over mean, %s", age)
				}
				g.Expect(f.p99.Seconds()).To(gomega.BeNumerically("<=", maxTail*best.p99.Seconds()), "p99, %s", age)
				if c.halved != nil {
					g.Expect(f.swing).To(gomega.BeNumerically("<=", before[c.halved.name].swing/2), "swing of a queue, %s", age)
				}
			}
		})
	}
}

// Guards against VMs that double their calls when all replicas are overloaded, since each owner sends reads to the others.
func TestOverloadedReplicasSendFewReadsBack(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, age := range []time.Duration{50 * time.Millisecond, 2 * time.Second} {
		f := trial{
			vms: 300, groups: 2, groupSize: 3, dataCentres: 3, load: 1.2, skew: 1, seed: 1, age: age, policy: sharesAndSentBack,
		}.run()
		t.Logf("%5s %s", age, f)
		g.Expect(f.again).To(gomega.BeNumerically("<", 0.2), age.String())
	}
}

// Guards against a server that fails fast and attracts reads by that, against one that hangs and holds up the reads of all VMs,
// against a healed one that stays without reads, and against a group that loses its servers since all of them fail alike.
func TestFailingServerLosesItsShare(t *testing.T) {
	const (
		fair       = 0.5 // of two replicas
		trialSeeds = 10
	)
	for _, c := range []struct {
		name         string
		fails        float64
		alike, hangs bool
	}{
		{"fails two fifths", 0.4, false, false},
		{"fails all", 1, false, false},
		{"hangs for two fifths", 0.4, false, true},
		{"both fail two fifths", 0.4, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			timeline := make([]float64, trialLength/bucket)
			for seed := range uint64(trialSeeds) {
				f := trial{
					vms: 30, groups: 1, groupSize: 3, dataCentres: 3, load: 0.4, skew: 1, seed: seed, age: 50 * time.Millisecond,
					fails: c.fails, alike: c.alike, hangs: c.hangs, policy: sharesAndSentBack,
				}.run()
				for i, share := range f.timeline {
					timeline[i] += share / trialSeeds
				}
			}
			t.Logf("shares in steps of %s: %.2f", bucket, timeline)
			during := timeline[(failsFrom+3*bucket)/bucket : failsUntil/bucket]
			if c.alike {
				g.Expect(slices.Min(during)).To(gomega.BeNumerically(">", fair/2))
				return
			}
			sum := 0.0
			for _, share := range during {
				sum += share
			}
			g.Expect(sum/float64(len(during))).To(gomega.BeNumerically("<", fair/5), "from 1.5 s after the first failure on")
			g.Expect(slices.Min(timeline[(failsUntil+3*time.Second)/bucket:])).To(gomega.BeNumerically(">", fair*0.8), "healed")
		})
	}
}

// String returns the figures in one line.
func (f figures) String() string {
	return fmt.Sprintf("busiest %.2f swing %6.2f mean %6.1f ms p99 %7.1f ms far %.2f again %.2f slow %.2f", f.busiest, f.swing,
		f.mean.Seconds()*1e3, f.p99.Seconds()*1e3, f.remote, f.again, f.slowShare)
}

// newReportingGroup returns the table of a VM in dc0 for the primary s0 and the replicas s1 and s2, all in other data centres.
func newReportingGroup() *Table {
	var members []Member
	for n := range 3 {
		members = append(members, NewMember(serverName(n), "dc1", 4))
	}
	t := NewTable("dc0", members, NewCosts(0.5, 0.5))
	for n, role := range []port.Role{port.RolePrimary, port.RoleReplica, port.RoleReplica} {
		t.RecordReport(start, work.ServerInfo{Address: serverName(n), Term: 1, Applied: 1, Role: role})
	}
	return t
}

// count chooses a server for n reads that end at once, and returns how many each server gets.
func count(t *Table, now time.Time, n int) map[string]int {
	chosen := map[string]int{}
	for range n {
		id, _ := t.Choose(now, NewAtLeast(point.New(1, 1)), nil)
		t.Started(now, id)
		t.Finished(now, id, false, 0)
		chosen[id]++
	}
	return chosen
}

// Guards against reports that change the choice where there are none, where they are too old to say anything, or of which the
// latest is taken for the present load.
func TestReportsDecideByAge(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newReportingGroup()
	g.Expect(count(tab, start, 100)).To(gomega.Equal(map[string]int{"s1": 100}), "without reports, the first of equal cost")
	tab.RecordLoad(start, "s1", even.NewReport(12, 1.5, 1, 10*time.Millisecond), 0)
	tab.RecordLoad(start, "s2", even.NewReport(2, 1.5, 1, 10*time.Millisecond), 0)
	g.Expect(count(tab, start, 100)).To(gomega.Equal(map[string]int{"s2": 100}), "a report of this moment")
	later := start.Add(time.Second)
	g.Expect(count(tab, later, 100)).To(gomega.Equal(map[string]int{"s1": 50, "s2": 50}), "reports of loads that have ended")
	tab.RecordLoad(later, "s2", even.NewReport(2, 1.5, 1, 40*time.Millisecond), 0)
	chosen := count(tab, later.Add(time.Second), 1000)
	g.Expect(chosen["s2"]).To(gomega.BeNumerically("~", 200, 10), "a server at a quarter of the speed")
	g.Expect(count(tab, start.Add(time.Hour), 100)).To(gomega.Equal(map[string]int{"s1": 100}), "reports of an hour ago")
}

// Guards against reads on a primary that has less room than the replicas, and against waiting for replicas beside an idle primary.
func TestPrimaryTakesReadsByItsLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newReportingGroup()
	for _, id := range []string{"s1", "s2"} {
		tab.RecordLoad(start, id, even.NewReport(20, 4, 1, 10*time.Millisecond), 0)
	}
	tab.RecordLoad(start, "s0", even.NewReport(21, 4, 1, 10*time.Millisecond), 0)
	g.Expect(count(tab, start, 100)).NotTo(gomega.HaveKey("s0"))
	tab.RecordLoad(start, "s0", even.NewReport(1, 4, 1, 10*time.Millisecond), 0)
	g.Expect(count(tab, start, 100)).To(gomega.Equal(map[string]int{"s0": 100}))
	for _, id := range []string{"s1", "s2"} {
		tab.RecordLoad(start, id, even.NewReport(3, 4, 1, 10*time.Millisecond), 0)
	}
	g.Expect(count(tab, start, 100)).NotTo(gomega.HaveKey("s0"), "replicas with free slots")
}

// Guards against reads that owners send back although no other replica has room, or more than once.
func TestSendBackAt(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newReportingGroup()
	need := NewAtLeast(point.New(1, 1))
	g.Expect(tab.SendBackAt(start, need, "s1", nil)).To(gomega.BeZero(), "the load of the other replica is not known")
	tab.RecordLoad(start, "s2", even.NewReport(2, 2, 1, 10*time.Millisecond), 0)
	g.Expect(tab.SendBackAt(start, need, "s1", nil)).To(gomega.Equal(4 * minSendBackLoad))
	g.Expect(tab.SendBackAt(start, need, "s1", []string{"s2"})).To(gomega.BeZero(), "the other replica cannot be used")
	g.Expect(tab.SendBackAt(start, need, "s0", nil)).To(gomega.BeZero(), "the primary's work")
	tab.RecordLoad(start, "s2", even.NewReport(6, 3.5, 1, 10*time.Millisecond), 0)
	g.Expect(tab.SendBackAt(start, need, "s1", nil)).To(gomega.Equal(11), "one a slot more than the other replica then has")
	tab.RecordLoad(start, "s2", even.NewReport(6, 4.5, 1, 10*time.Millisecond), 0)
	g.Expect(tab.SendBackAt(start, need, "s1", nil)).To(gomega.BeZero(), "the other replica is overloaded, too")
	tab.RecordLoad(start, "s2", even.NewReport(2, 2, 1, 10*time.Millisecond), 0)
	tab.Started(start, "s2")
	tab.Finished(start, "s2", true, 0)
	g.Expect(tab.SendBackAt(start, need, "s1", nil)).To(gomega.BeZero(), "the other replica has failed")
}

// Guards against a dump that misses what the choices were made by.
func TestSharesAreDumped(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := newReportingGroup()
	tab.RecordLoad(start, "s1", even.NewReport(12, 3, 0.5, 10*time.Millisecond), 0)
	tab.Started(start, "s1")
	g.Expect(tab.Shares(start.Add(20 * time.Millisecond))).To(gomega.ContainElements(
		Share{
			Server: "s1", Chosen: 1, InFlight: 1, Load: 12, Demand: 3, Near: 0.5, ServiceMS: 10, AgeMS: 20, Reported: true,
		},
		Share{Server: "s2"},
	))
}

// Guards against a VM that crashes by the report of another one whose figures are too large for the arithmetic of shares.
func TestImpossibleReport(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newReportingGroup()
	for n := 1; n < 3; n++ {
		table.RecordLoad(start, serverName(n), even.NewReport(1, 1e17, 0, time.Millisecond), 0)
	}
	chosen, ok := table.Choose(start.Add(time.Second), NewAtLeast(point.New(1, 1)), []string{serverName(0)})
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(chosen).NotTo(gomega.BeEmpty())
}
