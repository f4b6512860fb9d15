package lead

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func vmsIn(dataCentres ...string) []Member {
	var all []Member
	for i, dc := range dataCentres {
		all = append(all, NewMember(fmt.Sprint("vm-", i), 1, time.Hour, nil).WithLocation(dc, fmt.Sprint("address-", i)))
	}
	return all
}

func ExampleOwners_Of() {
	live := vmsIn("dc1", "dc2", "dc1", "dc2", "dc2")
	for _, m := range NewOwners(live).Of("server", "dc1") {
		fmt.Println(m.Name(), m.DataCentre())
	}
	fmt.Println(len(NewOwners(live).Of("server", "dc3")), "of other data centres")
	// Output:
	// vm-2 dc1
	// vm-0 dc1
	// 2 of other data centres
}

// Guards against owners that all change when one VM leaves, and against servers that are all owned by few VMs.
func TestOwnersAreSpreadAndStable(t *testing.T) {
	var dcs []string
	for range 50 {
		dcs = append(dcs, "dc")
	}
	live := vmsIn(dcs...)
	const servers = 500
	owned := make(map[string]int)
	moved := 0
	ownersBefore, ownersAfter := NewOwners(live), NewOwners(live[1:])
	for i := range servers {
		server := fmt.Sprint("server-", i)
		before := ownersBefore.Of(server, "dc")
		after := ownersAfter.Of(server, "dc")
		owned[before[0].Name()]++
		switch {
		case before[0].Name() != live[0].Name() && before[0].Name() != after[0].Name():
			moved++
		case before[0].Name() == live[0].Name() && before[1].Name() != after[0].Name():
			t.Fatalf("the second VM in order did not take server %s over", server)
		}
	}
	if moved > 0 {
		t.Fatalf("%d servers of other VMs changed their owner", moved)
	}
	for vm, n := range owned {
		if n > 4*servers/len(live) {
			t.Errorf("VM %s owns %d of %d servers", vm, n, servers)
		}
	}
}

// Guards against owners without an address, to which nothing can be forwarded.
func TestOwnersHaveAddresses(t *testing.T) {
	live := append(vmsIn("dc"), NewMember("without", 1, time.Hour, nil).WithLocation("dc", ""))
	if got := NewOwners(live).Of("server", "dc"); len(got) != 1 || got[0].Name() != "vm-0" {
		t.Fatalf("owners %v", got)
	}
}

// Guards against small VMs that own as many servers as large ones, and against an agent that is a small VM: it passes all tables on
// to the VMs of its data centre, at the latest when all of them start at once.
func TestLargeVMsDoMore(t *testing.T) {
	var live []Member
	for i, m := range vmsIn("dc", "dc", "dc", "dc", "dc", "dc", "dc", "dc", "dc", "dc") {
		cores := 0.2
		if i < 2 {
			cores = 0.8
		}
		live = append(live, m.WithCores(cores))
	}
	large := 0
	owners := NewOwners(live)
	const servers = 4000
	for i := range servers {
		if owners.Of(fmt.Sprint("server-", i), "dc")[0].Cores() == 0.8 {
			large++
		}
	}
	// 2 VMs of 0.8 cores have half of the 3.2 cores.
	if large < servers*45/100 || large > servers*55/100 {
		t.Errorf("the large VMs own %d of %d servers", large, servers)
	}
	agents := Agents(live, "dc")
	if len(agents) != 3 || agents[0].Cores() != 0.8 || agents[1].Cores() != 0.8 {
		t.Errorf("agents %v", agents)
	}
}

// fleetOf returns n VMs in nine data centres.
func fleetOf(n int) []Member {
	var dcs []string
	for i := range n {
		dcs = append(dcs, fmt.Sprint("dc-", i%9))
	}
	return vmsIn(dcs...)
}

// Guards against a change of the list of VMs that costs a pass over all VMs, with memory for each, for every server: with hundreds
// of VMs that start together, each of them spent most of its processor time on that.
func TestOwnersOfManyServersAreCheap(t *testing.T) {
	owners := NewOwners(fleetOf(790))
	allocations := testing.AllocsPerRun(10, func() { owners.Of("server-1", "dc-1") })
	if allocations > 8 {
		t.Errorf("%v allocations for a server, want them independent of the VMs", allocations)
	}
}

// BenchmarkOwners determines the owners of 2,460 servers among 790 VMs, as after a change of the list of VMs.
func BenchmarkOwners(b *testing.B) {
	live := fleetOf(790)
	for b.Loop() {
		owners := NewOwners(live)
		for i := range 2460 {
			owners.Of(fmt.Sprint("server-", i), fmt.Sprint("dc-", i%9))
		}
	}
}

// BenchmarkWatchers determines the watchers of as many groups as there are VMs, as after a change of the list of VMs.
func BenchmarkWatchers(b *testing.B) {
	for _, n := range []int{30, 100, 300, 790} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			live := fleetOf(n)
			for b.Loop() {
				w := NewWatchers(live)
				for i := range n {
					w.Of(fmt.Sprint("group-", i))
				}
			}
		})
	}
}

// Guards against owners that differ between VMs, some of which determined them anew and others from the last list of VMs: statements
// would go to VMs that do not own the server.
func TestRevisedOwnersAreTheOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawList := func(label string) []Member {
			var live []Member
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 11), 0, 10, rapid.ID[int]).Draw(t, label) {
				address := rapid.SampledFrom([]string{"", "1", "1", "1", "2"}).Draw(t, "address")
				cores := rapid.SampledFrom([]float64{0, 0.2, 0.2, 0.8}).Draw(t, "cores")
				live = append(live, NewMember(fmt.Sprint("vm", i), 0, 0, nil).WithLocation(fmt.Sprint("dc", i%3), address).WithCores(cores))
			}
			return live
		}
		describe := func(all []Member) string {
			var text string
			for _, m := range all {
				text += fmt.Sprint(m.name, m.dataCentre, m.address, m.cores, " ")
			}
			return text
		}
		owners := NewOwners(drawList("first list"))
		for range 4 {
			next := owners.Next(drawList("list"))
			for i := range 20 {
				server, dc := fmt.Sprint("server", i), fmt.Sprint("dc", i%4)
				want, got := next.Of(server, dc), next.Revise(server, dc, owners.Of(server, dc))
				if describe(got) != describe(want) {
					t.Fatalf("owners of %s in %s: %s, want %s", server, dc, describe(got), describe(want))
				}
			}
			owners = next
		}
	})
}
