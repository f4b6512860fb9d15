package owner_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"verbenagate/core/owner"
	"verbenagate/core/svcdef"
)

type live map[string][]string

func (l live) LiveIn(dc string) []string { return l[dc] }

func (l live) Live() []string {
	var all []string
	for _, ids := range l {
		all = append(all, ids...)
	}
	slices.Sort(all)
	return all
}

func vms(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("vm-%d", i)
	}
	return out
}

// Guards against the removal of one VM moving servers between two other VMs.
func TestRemovalMovesOnlyKeysOfRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringN(1, 12, -1), 1, 40, rapid.ID[string]).Draw(t, "members")
		key := rapid.String().Draw(t, "key")
		removed := rapid.SampledFrom(members).Draw(t, "gone")
		order := owner.Order(key, members)
		remaining := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == removed })
		want := slices.DeleteFunc(slices.Clone(order), func(m string) bool { return m == removed })
		if got := owner.Order(key, remaining); !slices.Equal(got, want) {
			t.Fatalf("without %q the order is %q, want %q", removed, got, want)
		}
		if first, _ := owner.First(key, members); first != order[0] {
			t.Fatalf("First is %q, Order begins with %q", first, order[0])
		}
		slices.Reverse(members)
		if !slices.Equal(owner.Order(key, members), order) {
			t.Fatal("the order depends on the order of the arguments")
		}
	})
}

// Guards against a hash that gives some VMs many more servers than others.
func TestEvenSpread(t *testing.T) {
	for _, n := range []int{3, 9, 90} {
		g := NewWithT(t)
		const perVM = 1000
		count := map[string]int{}
		for i := range n * perVM {
			id, _ := owner.First(fmt.Sprintf("10.0.%d.%d:5432", i/250, i%250), vms(n))
			count[id]++
		}
		// The standard deviation is about 32, so the bound is about six standard deviations on either side.
		for _, id := range vms(n) {
			g.Expect(count[id]).To(BeNumerically("~", perVM, 200), "n=%d id=%s", n, id)
		}
	}
}

// Guards against a server that has no owner because its own data centre has no live VM, although another one has.
func TestOwnerFallsBackToOtherDataCentres(t *testing.T) {
	g := NewWithT(t)
	l := live{"a": {"a1", "a2"}, "b": {"b1"}}
	id, ok := owner.Of("s:1", "b", l)
	g.Expect(ok).To(BeTrue())
	g.Expect(id).To(Equal("b1"))
	delete(l, "b")
	id, ok = owner.Of("s:1", "b", l)
	g.Expect(ok).To(BeTrue())
	g.Expect(l["a"]).To(ContainElement(id))
	_, ok = owner.Of("s:1", "b", live{})
	g.Expect(ok).To(BeFalse())
}

// Guards against a candidate that is listed twice or that owns no server of the group.
func TestCandidatesOwnServers(t *testing.T) {
	g := NewWithT(t)
	l := live{"a": {"a1"}, "b": {"b1", "b2"}, "c": {"c1"}}
	s := svcdef.New(svcdef.Spec{Servers: []svcdef.ServerSpec{
		{Address: "s1", DataCentre: "a"}, {Address: "s2", DataCentre: "a"}, {Address: "s3", DataCentre: "b"},
	}})
	b, _ := owner.Of("s3", "b", l)
	got := owner.Candidates("dues", s.Servers(), l)
	g.Expect(got).To(ConsistOf("a1", b))
	g.Expect(got).To(Equal(owner.Order("dues", []string{"a1", b})))
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{9, 90, 790} {
		members := vms(n)
		b.Run(fmt.Sprintf("Order/%d", n), func(b *testing.B) {
			for b.Loop() {
				owner.Order("10.0.0.1:5432", members)
			}
		})
		b.Run(fmt.Sprintf("First/%d", n), func(b *testing.B) {
			for b.Loop() {
				owner.First("10.0.0.1:5432", members)
			}
		})
	}
}

func ExampleOrder() {
	before := owner.Order("10.0.0.7:5432", []string{"vm-1", "vm-2", "vm-3"})
	after := owner.Order("10.0.0.7:5432", []string{"vm-2", "vm-3"})
	fmt.Println(before)
	fmt.Println(after)
	// Output:
	// [vm-1 vm-3 vm-2]
	// [vm-3 vm-2]
}

// Guards against a VM that ranks names with hashes made beforehand in another order than a VM that ranks them one by one.
func TestNamesOrderLikeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringN(1, 12, -1), 0, 40, rapid.ID[string]).Draw(t, "members")
		key := rapid.String().Draw(t, "key")
		n := rapid.IntRange(1, 9).Draw(t, "n")
		var got []string
		for _, i := range owner.NewNames(members).Top(key, n) {
			got = append(got, members[i])
		}
		if want := owner.Top(key, members, n); !slices.Equal(got, want) {
			t.Fatalf("the order is %q, want %q", got, want)
		}
	})
}
