package lead

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet is what the VMs need to know of each other: which of them are live, where they are, and which primaries they cannot
// reach. It leaves out what changes with each renewal, so that a VM needs a new Fleet only when another VM starts, ends or
// changes its suspicion. Fleet is immutable.
type Fleet struct {
	live    []Member
	holders int
	hash    uint64
}

// NewFleet returns the fleet of live VMs. Holders is how many VMs may hold connections to servers.
func NewFleet(live []Member, holders int) Fleet {
	f := Fleet{live: live, holders: holders}
	f.hash = f.computeHash()
	return f
}

// FleetOf returns the fleet of the members when the store's clock shows storeTime.
func FleetOf(members []Member, storeTime time.Duration) Fleet {
	return NewFleet(LiveMembers(members, storeTime), ConnectionHolders(members, storeTime))
}

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
	for _, m := range f.live {
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
