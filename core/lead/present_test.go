package lead

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const second = time.Second

// renewed returns the grants after the lease of vm was renewed in a write that took effect at a time on the store's clock.
func renewed(g Grants, vm string, at time.Duration) Grants {
	g = g.WithKept([]Member{NewMember(vm, 0, 0, nil)}, nil, at+LeaseDuration, at, Linger)
	return g.Confirm([]string{vm}, at)
}

// Guards against a VM that is taken for present without a gap although lists of VMs lacked it: it would do work that another VM does too.
func TestPresence(t *testing.T) {
	g := gomega.NewWithT(t)
	since := func(grants Grants, at time.Duration) any {
		from, ok := PresentSince(grants.Members(), "a", at)
		if !ok {
			return "unknown"
		}
		return from
	}
	first := renewed(Grants{}, "a", 10*second)
	g.Expect(since(first, 11*second)).To(gomega.Equal("unknown"), "the write may have taken effect at any time until now")
	again := renewed(first, "a", 12*second)
	g.Expect(since(again, 13*second)).To(gomega.Equal(10 * second))
	late := renewed(again, "a", 22*second)
	g.Expect(since(renewed(late, "a", 23*second), 24*second)).To(gomega.Equal(10*second), "within Linger of the lease's end")
	gap := renewed(again, "a", 23500*time.Millisecond)
	g.Expect(since(gap, 24*second)).To(gomega.Equal("unknown"))
	g.Expect(since(renewed(gap, "a", 25*second), 26*second)).To(gomega.Equal(23500 * time.Millisecond))

	unconfirmed := again.WithKept([]Member{NewMember("a", 0, 0, nil)}, nil, 22*second, 16*second, Linger)
	unconfirmed = renewed(unconfirmed, "a", 24*second)
	g.Expect(since(unconfirmed, 25*second)).To(gomega.Equal("unknown"), "the write of 16 s may not have taken effect")

	other := renewed(Grants{}.Observe(again.Members(), 14*second), "a", 15*second)
	g.Expect(since(other, 16*second)).To(gomega.Equal(10*second), "renewed through another agent")
}

// Guards against a VM that leaves and still holds a lease, and against a gap in its presence when it comes back at once.
func TestLeaving(t *testing.T) {
	g := gomega.NewWithT(t)
	grants := renewed(renewed(Grants{}, "a", 10*second), "a", 12*second)
	left := grants.WithKept(nil, []Member{NewMember("a", 0, 0, nil)}, 19*second, 13*second, Linger)
	f := FleetOf(left.Members(), 13*second)
	g.Expect(f.Live()).To(gomega.BeEmpty())
	g.Expect(f.Present()).To(gomega.HaveLen(1))
	g.Expect(FleetOf(left.Members(), 22900*time.Millisecond).Present()).To(gomega.HaveLen(1))
	g.Expect(FleetOf(left.Members(), 23*second).Present()).To(gomega.BeEmpty())
	g.Expect(PendingMembers(left.Members(), 5, 13*second)).To(gomega.BeEmpty())
	g.Expect(left.Urgent(NewMember("a", 0, 0, nil))).To(gomega.BeTrue())
	back := renewed(left, "a", 15*second)
	from, ok := PresentSince(back.Members(), "a", 16*second)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(from).To(gomega.Equal(10 * second))
	g.Expect(FleetOf(back.Members(), 16*second).Live()).To(gomega.HaveLen(1))
	unkept := grants.With(nil, []Member{NewMember("a", 0, 0, nil)}, 19*second, 13*second)
	g.Expect(unkept.Members()).To(gomega.BeEmpty(), "where no quotas need the presence")
	g.Expect(Merge(append(left.Members(), NewMember("a", 0, 17*second, nil)))).To(gomega.HaveLen(1))
}

// Guards against a VM that restarts with another size and is taken for present without a gap: larger VMs go first in the order of the
// holders of quotas, so the VM that held its keys until then goes on while the restarted one begins.
func TestOtherSizeIsAGap(t *testing.T) {
	g := gomega.NewWithT(t)
	renew := func(grants Grants, cores float64, at time.Duration) Grants {
		a := NewMember("a", 0, 0, nil).WithLocation("dc", "a:1").WithCores(cores)
		return grants.WithKept([]Member{a}, nil, at+LeaseDuration, at, Linger).Confirm([]string{"a"}, at)
	}
	since := func(at time.Duration, entries ...Member) any {
		from, ok := PresentSince(entries, "a", at)
		if !ok {
			return "unknown"
		}
		return from
	}
	small := renew(renew(Grants{}, 1, 10*second), 1, 12*second)
	g.Expect(since(13*second, small.Members()...)).To(gomega.Equal(10 * second))
	large := renew(small, 8, 14*second)
	g.Expect(since(15*second, large.Members()...)).To(gomega.Equal("unknown"))
	large = renew(large, 8, 16*second)
	g.Expect(since(17*second, large.Members()...)).To(gomega.Equal(14 * second))

	other := renew(Grants{}.Observe(small.Members(), 13*second), 8, 14*second)
	g.Expect(since(15*second, append(small.Members(), other.Members()...)...)).To(gomega.Equal("unknown"), "through another agent")
	other = renew(other.Observe(small.Members(), 15*second), 8, 16*second)
	g.Expect(since(17*second, other.Members()...)).NotTo(gomega.Equal(10 * second))
}
