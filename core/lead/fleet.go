package lead

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet is what the VMs need to know of each other: which of them are live, where they are, and which primaries they cannot
// reach. It leaves out what changes with each renewal, so that a VM needs a new Fleet only when another VM starts, ends or
// changes its suspicion. Fleet is immutable.
type Fleet struct {
	live      []Member
	lingering []Member
	holders   int
	hash      uint64
}

// NewFleet returns the fleet of live VMs. Holders is how many VMs may hold connections to servers.
func NewFleet(live []Member, holders int) Fleet {
	f := Fleet{live: live, holders: holders}
	f.hash = f.computeHash()
	return f
}

// FleetOf returns the fleet of the members when the store's clock shows storeTime.
func FleetOf(members []Member, storeTime time.Duration) Fleet {
	f := NewFleet(LiveMembers(members, storeTime), ConnectionHolders(members, storeTime))
	var lingering []Member
	for _, m := range members {
		if m.until <= storeTime && m.PresentUntil() > storeTime {
			lingering = append(lingering, m)
		}
	}
	slices.SortFunc(lingering, compareNames)
	return f.WithLingering(lingering)
}

// WithLingering returns the fleet with the VMs that are present without a lease.
func (f Fleet) WithLingering(lingering []Member) Fleet {
	f.lingering = lingering
	f.hash = f.computeHash()
	return f
}

// Lingering returns the VMs that are present without a lease.
func (f Fleet) Lingering() []Member { return f.lingering }

// Present returns the live VMs and those that are present without a lease, ordered by name.
func (f Fleet) Present() []Member {
	all := slices.Concat(f.live, f.lingering)
	slices.SortFunc(all, compareNames)
	return all
}

// Size returns the number of present VMs.
func (f Fleet) Size() int { return len(f.live) + len(f.lingering) }

func compareNames(a, b Member) int { return cmp.Compare(a.name, b.name) }

// Live returns the live VMs, ordered by name. Their epochs and lease ends are not part of the fleet.
func (f Fleet) Live() []Member { return f.live }

// Holders returns how many VMs may hold connections to servers.
func (f Fleet) Holders() int { return f.holders }

// Hash returns a hash of the fleet, 0 for the zero Fleet. Fleets with the same hash can be taken for equal.
func (f Fleet) Hash() uint64 { return f.hash }

func (f Fleet) computeHash() uint64 {
	h := xxhash.New()
	write := func(s string) {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	for i, m := range slices.Concat(f.live, f.lingering) {
		if i >= len(f.live) {
			write("lingering")
		}
		write(m.name)
		write(m.dataCentre)
		write(m.address)
		write(strconv.FormatFloat(m.cores, 'g', -1, 64))
		for _, s := range m.suspected {
			write(s)
		}
		_, _ = h.Write([]byte{1})
	}
	_, _ = h.Write([]byte{byte(f.holders), byte(f.holders >> 8), byte(f.holders >> 16)})
	return h.Sum64()
}
