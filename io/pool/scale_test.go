package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/layout"
	"verbenagate/core/lead"
	"verbenagate/io/watch"
	"verbenagate/platform"
)

// fleetSizes are the numbers of VMs of the benchmarks. Each has as many groups of three servers.
var fleetSizes = []int{30, 100, 300, 790}

// scaleDataCentres is how many data centres the VMs and servers are spread over.
const scaleDataCentres = 9

func membersOf(n int) []lead.Member {
	var live []lead.Member
	for i := range n {
		live = append(live, lead.NewMember(fmt.Sprintf("vm-%03d", i), 0, 0, nil).
			WithLocation(fmt.Sprint("dc-", i%scaleDataCentres), fmt.Sprint("10.0.0.1:", i)).WithCores(0.2))
	}
	return live
}

// viewOf returns a view of groups with three servers each. The first server of the first group drains if draining is set.
func viewOf(groups int, version uint64, draining bool) *watch.View {
	servers, limits := make(map[string]layout.Server), make(map[string]int)
	for i := range groups {
		name := fmt.Sprintf("g-%03d", i)
		limits[name] = 100
		for j := range 3 {
			id := fmt.Sprint(name, "-", j)
			servers[id] = layout.NewServer(id, name, fmt.Sprint("10.1.0.1:", 3*i+j), fmt.Sprint("dc-", (i+j)%scaleDataCentres), 5,
				draining && i+j == 0, j == 0, 1)
		}
	}
	return watch.NewView(layout.NewConfig(version, nil, limits, time.Second), servers)
}

func newScaleSet(n int) *Set {
	s := NewSet("vm-000", "dc-0", platform.NewDialer("vm-000"), n, time.Now, nopLogger{})
	s.SetForwarder(noForwarder{})
	s.SetMembers(membersOf(n), n)
	s.Update(viewOf(n, 1, false))
	return s
}

type noForwarder struct{ Forwarder }

// Guards against a group that keeps the owners, limits or servers of an older list of VMs, configuration or view, since only the
// groups that changed are updated.
func TestUpdateOfSomeGroups(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScaleSet(30)
	group, _ := s.Group("g-000")
	other, _ := s.Group("g-001")
	ownersOf := func(g *Group, id string) []lead.Member {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.owners[id]
	}
	g.Expect(ownersOf(other, "g-001-0")).NotTo(gomega.BeEmpty(), "30 VMs are more than 4 for each of 5 slots")
	s.Update(viewOf(30, 1, true))
	g.Expect(group.Members()[0].Draining()).To(gomega.BeTrue())
	g.Expect(other.Members()).To(gomega.HaveLen(3))
	for n := 31; n <= 33; n++ {
		s.SetMembers(membersOf(n), n)
		want := lead.NewOwners(membersOf(n))
		for _, server := range other.Members() {
			g.Expect(ownersOf(other, server.ID())).To(gomega.Equal(want.Of(server.ID(), server.DataCentre())))
		}
	}
	s.SetMembers(membersOf(20), 20)
	g.Expect(ownersOf(other, "g-001-0")).To(gomega.BeEmpty(), "20 VMs use connections of their own")
	p, _ := other.Pool("g-001-0")
	g.Expect(p.limits.maxOpen).To(gomega.Equal(layout.Share(100, 20)))
	servers := map[string]layout.Server{"g-001-0": layout.NewServer("g-001-0", "g-001", "10.1.0.1:3", "dc-1", 5, false, true, 1)}
	s.Update(watch.NewView(layout.NewConfig(2, nil, map[string]int{"g-001": 60}, time.Second), servers))
	g.Expect(p.limits.maxOpen).To(gomega.Equal(layout.Share(60, 20)))
	g.Expect(other.Members()).To(gomega.HaveLen(1))
}

// BenchmarkServerChange applies a view in which one server has changed.
func BenchmarkServerChange(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newScaleSet(n)
			views := []*watch.View{viewOf(n, 1, true), viewOf(n, 1, false)}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Update(views[i%2])
			}
		})
	}
}

// BenchmarkVMChange applies a list of VMs in which one VM has joined or left.
func BenchmarkVMChange(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newScaleSet(n)
			live := membersOf(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.SetMembers(live[:n-i%2], n-i%2)
			}
		})
	}
}

// BenchmarkTrim closes the idle connections of all pools, of which there are none.
func BenchmarkTrim(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newScaleSet(n)
			for b.Loop() {
				s.Trim()
			}
		})
	}
}
