package member_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"verbenagate/core/member"
	"verbenagate/core/port"
)

// Guards against VMs that do not discover each other from the platform's list within 5 s.
func TestAllFindEachOther(t *testing.T) {
	for _, c := range []struct{ dcs, perDC int }{{1, 1}, {1, 2}, {4, 2}, {3, 3}, {1, 30}, {9, 10}} {
		t.Run(fmt.Sprintf("%dx%d", c.dcs, c.perDC), func(t *testing.T) {
			g := NewWithT(t)
			n := newNetwork(1, c.dcs, c.perDC)
			n.run(5*time.Second, nil)
			g.Expect(n.checkAgreement()).To(Succeed())
		})
	}
}

// Guards against late detection of a crash: it must be immediate if the address refuses connections, and take the time for
// a dead VM if the whole machine is silent.
func TestCrash(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent=%v", silent), func(t *testing.T) {
			g := NewWithT(t)
			n := newNetwork(1, 3, 3)
			n.run(5*time.Second, nil)
			gone := n.nodes[4]
			gone.down = true
			if silent {
				n.cut = func(from, to *node) bool { return from == gone || to == gone }
			}
			n.run(time.Second, nil)
			for _, v := range n.nodes {
				if v.dc == gone.dc && v != gone {
					g.Expect(v.table.View().IsLive(gone.id)).To(Equal(silent), v.id)
				}
			}
			n.run(5*time.Second, nil)
			g.Expect(n.checkAgreement()).To(Succeed())
			m, _ := n.nodes[0].table.View().Member(gone.id)
			g.Expect(m.State()).To(Equal(member.Dead))
			n.cut = func(_, _ *node) bool { return false }
			n.start(gone)
			n.run(5*time.Second, nil)
			g.Expect(n.checkAgreement()).To(Succeed())
		})
	}
}

// Guards against data centres that count each other's VMs as live during a partition, or do not rejoin after it.
func TestPartition(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(1, 3, 3)
	n.run(5*time.Second, nil)
	n.cut = func(from, to *node) bool { return (from.dc == "dc0") != (to.dc == "dc0") }
	n.run(10*time.Second, nil)
	isolated, other := n.nodes[0].table.View(), n.nodes[8].table.View()
	g.Expect(isolated.Live()).To(HaveLen(3))
	g.Expect(other.Live()).To(HaveLen(6))
	g.Expect(other.Reachable("dc0")).To(BeFalse())
	g.Expect(other.Reachable("dc1")).To(BeTrue())
	g.Expect(other.LiveIn("dc0")).To(BeEmpty())
	n.run(5*time.Minute, nil)
	n.cut = func(_, _ *node) bool { return false }
	n.run(15*time.Second, nil)
	g.Expect(n.checkAgreement()).To(Succeed())
}

// Guards against flapping in the whole data centre when only the path between two VMs is broken: VMs that hear a member
// directly must keep it as live.
func TestBrokenPathBetweenTwo(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(1, 1, 5)
	n.run(5*time.Second, nil)
	a, b := n.nodes[0], n.nodes[1]
	n.cut = func(from, to *node) bool { return from == a && to == b || from == b && to == a }
	for _, v := range n.nodes {
		v.events = nil
	}
	n.run(time.Minute, nil)
	g.Expect(a.table.View().IsLive(b.id)).To(BeFalse())
	for _, v := range n.nodes[2:] {
		g.Expect(v.events).To(BeEmpty(), v.id)
		g.Expect(v.table.View().Live()).To(HaveLen(5))
	}
}

// Guards against a leaving VM that still counts as live, and against a stale leaving mark in the platform's list that still
// applies after the VM has restarted.
func TestLeaving(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(1, 2, 2)
	n.run(5*time.Second, nil)
	v := n.nodes[1]
	v.table.Leave(n.now)
	n.run(2*time.Second, nil)
	for _, o := range n.nodes {
		m, _ := o.table.View().Member(v.id)
		g.Expect(m.State()).To(Equal(member.Leaving), o.id)
	}
	n.start(v)
	n.run(3*time.Second, nil)
	g.Expect(n.checkAgreement()).To(Succeed())

	marked := n.platformList()
	marked[2].Leaving = true
	n.nodes[0].table.Seed(n.now, marked)
	n.run(2*time.Second, nil)
	for _, o := range n.nodes {
		m, _ := o.table.View().Member(marked[2].ID)
		g.Expect(m.State()).To(Equal(member.Leaving), o.id)
	}
	n.start(n.nodes[2])
	n.run(3*time.Second, nil)
	n.nodes[0].table.Seed(n.now, marked)
	n.run(3*time.Second, nil)
	g.Expect(n.checkAgreement()).To(Succeed())
}

// Guards against a table that grows without bound as VMs are replaced.
func TestForget(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	tab := member.New(member.Config{ID: "a", DataCentre: "x", Addr: "a:1", Incarnation: 5}, now)
	tab.Seed(now, []port.VM{{ID: "b", DataCentre: "x", PeerAddr: "b:1"}})
	tab.ObserveRefusedConnection(now, "b")
	tab.Seed(now, []port.VM{{ID: "b", DataCentre: "x", PeerAddr: "b:2"}})
	b, _ := tab.View().Member("b")
	g.Expect(b.Addr()).To(Equal("b:2"), "the address of a dead VM is taken from the platform's list")
	tab.Tick(now.Add(30 * time.Minute))
	g.Expect(tab.View().Members()).To(HaveLen(2))
	tab.Tick(now.Add(2 * time.Hour))
	g.Expect(tab.View().Members()).To(HaveLen(1))
}

// Guards against heartbeat traffic per VM that grows with the number of VMs beyond its budget.
func TestHeartbeatBytes(t *testing.T) {
	for _, c := range []struct{ dcs, perDC int }{{4, 2}, {1, 9}, {1, 30}, {9, 12}} {
		n := newNetwork(1, c.dcs, c.perDC)
		n.run(3*time.Second, nil)
		for _, v := range n.nodes {
			v.messagesSent = 0
		}
		n.run(5*time.Second, nil)
		most := 0
		for _, v := range n.nodes {
			most = max(most, v.messagesSent)
		}
		tm := n.nodes[0].table.Timing()
		t.Logf("%d x %d VMs: every %v, other data centres every %v, at most %d messages/s per VM",
			c.dcs, c.perDC, tm.Interval(), tm.RemoteInterval(), most/5)
		// The mean load is 4096 B/s at 110 B per message. The contacts that chose a VM vary, so allow twice that.
		NewWithT(t).Expect(most / 5).To(BeNumerically("<=", 2*4096/110))
	}
}

var falsePositiveSpan = flag.Duration("member.span", 20*time.Minute, "simulated time that TestFalsePositiveRate covers")

// Guards against false suspicions. It reports how often a running VM is suspected or considered dead under pauses of up to
// 1 s and 20% loss. D11 allows one suspicion per day of VM-pairs; none may be considered dead.
func TestFalsePositiveRate(t *testing.T) {
	for _, c := range []struct{ dcs, perDC int }{{1, 9}, {4, 2}} {
		g := NewWithT(t)
		n := newNetwork(7, c.dcs, c.perDC)
		n.run(10*time.Second, nil)
		n.loss = 0.2
		for _, v := range n.nodes {
			v.events = nil
		}
		span := *falsePositiveSpan
		pauses := 0
		n.run(span, func() {
			for _, v := range n.nodes {
				if v.pausedUntil.Before(n.now) && n.rnd.IntN(400) == 0 { // on average once in 10 s
					v.pausedUntil = n.now.Add(time.Duration(n.rnd.Int64N(int64(time.Second))))
					pauses++
				}
			}
		})
		suspected, dead := 0, 0
		for _, v := range n.nodes {
			for _, e := range v.events {
				switch e.New() {
				case member.Suspect:
					suspected++
				case member.Dead:
					dead++
				}
			}
		}
		vms := len(n.nodes)
		days := span.Hours() / 24 * float64(vms*(vms-1)/2)
		t.Logf("%d x %d VMs, %.2f days of VM-pairs, %d pauses: %d suspected (%.2f a day), %d dead (%.2f a day)",
			c.dcs, c.perDC, days, pauses, suspected, float64(suspected)/days, dead, float64(dead)/days)
		g.Expect(float64(suspected) / days).To(BeNumerically("<=", 1))
		g.Expect(dead).To(BeZero())
	}
}

// Guards against incarnations that decrease, VMs that answer but stay dead, and equal digests of different views, under
// random crashes, pauses, lost messages and false reports.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "dcs"), rapid.IntRange(1, 4).Draw(t, "perDC"))
		seen := map[string]uint64{}
		check := func() {
			views := map[uint64]member.View{}
			for _, v := range n.nodes {
				view := v.table.View()
				for _, m := range view.Members() {
					key := fmt.Sprintf("%s %s %d", v.id, m.ID(), v.startedAt.UnixMilli())
					if m.Incarnation() < seen[key] {
						t.Fatalf("%s: the incarnation of %s went back from %d to %d", v.id, m.ID(), seen[key], m.Incarnation())
					}
					seen[key] = m.Incarnation()
				}
				if o, ok := views[view.Digest()]; ok && !slices.Equal(o.Records(), view.Records()) {
					t.Fatalf("equal digests of %v and %v", o.Records(), view.Records())
				}
				views[view.Digest()] = view
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"run": func(t *rapid.T) {
				n.run(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond, nil)
			},
			"crash": func(t *rapid.T) { rapid.SampledFrom(n.nodes).Draw(t, "vm").down = true },
			"restart": func(t *rapid.T) {
				if v := rapid.SampledFrom(n.nodes).Draw(t, "vm"); v.down {
					n.run(time.Second, nil) // a restart must get a higher incarnation
					n.start(v)
				}
			},
			"pause": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond
				rapid.SampledFrom(n.nodes).Draw(t, "vm").pausedUntil = n.now.Add(d)
			},
			"cut": func(t *rapid.T) {
				bits := rapid.Uint64().Draw(t, "paths")
				n.cut = func(from, to *node) bool {
					i, j := slices.Index(n.nodes, from), slices.Index(n.nodes, to)
					return bits>>((i*7+j*3)%64)&1 == 1
				}
			},
			"heal": func(*rapid.T) { n.cut = func(_, _ *node) bool { return false } },
			"lie": func(t *rapid.T) {
				v, about := rapid.SampledFrom(n.nodes).Draw(t, "vm"), rapid.SampledFrom(n.nodes).Draw(t, "about")
				r := about.table.Self()
				r.State = rapid.SampledFrom([]member.State{member.Suspect, member.Dead}).Draw(t, "state")
				v.table.MergeRecords(n.now, []member.Record{r}, rapid.Bool().Draw(t, "bulk"))
			},
		})
		n.cut = func(_, _ *node) bool { return false }
		n.loss = 0
		for _, v := range n.nodes {
			if v.down {
				n.start(v)
			}
		}
		n.run(40*time.Second, nil)
		if err := n.checkAgreement(); err != nil {
			t.Fatalf("40 s after the last fault: %v", err)
		}
	})
}

func ExampleTable() {
	now := time.Unix(1_800_000_000, 0)
	t := member.New(member.Config{ID: "vm-1", DataCentre: "north", Addr: "10.0.0.1:7000", Incarnation: 1}, now)
	t.Seed(now, []port.VM{{ID: "vm-2", DataCentre: "north", PeerAddr: "10.0.0.2:7000"}})
	t.ObserveHeartbeat(now, "vm-2", 8, member.Live)
	fmt.Println(t.View().LiveIn("north"))

	t.ObserveRefusedConnection(now.Add(time.Second), "vm-2")
	m, _ := t.View().Member("vm-2")
	fmt.Println(t.View().LiveIn("north"), m.State())
	// Output:
	// [vm-1 vm-2]
	// [vm-1] dead
}
