package lead

import (
	"slices"
	"time"
)

// PresentFor is how long a VM is present after the last renewal of its lease.
const PresentFor = LeaseDuration + Linger

// Roster is the list of VMs that a VM goes by. A list that is read from a copy of the store lacks VMs that have been live throughout, until
// they renew their leases. So the VMs of the last list from before stay on the roster: as live ones until they have had time to renew, and as
// present ones until no presence of an earlier era can go on. It is not safe for concurrent use.
type Roster struct {
	current   Fleet // with the VMs that were kept
	before    Fleet // the current one when the store came back
	liveUntil time.Time
	until     time.Time
}

// renewedAfter is how long after it has heard of a new era a live VM that the store answers has renewed its lease.
const renewedAfter = 2 * RenewInterval

// Restored records that the VM has heard at now of a new era of the store.
func (r *Roster) Restored(now time.Time) {
	r.before, r.liveUntil, r.until = r.current, now.Add(renewedAfter), now.Add(PresentFor+maxClockDrift)
}

// Update returns the roster at now with a list of VMs as of asOf.
func (r *Roster) Update(f Fleet, asOf, now time.Time) Fleet {
	if asOf.Before(r.until) {
		f = f.with(r.before, now.Before(r.liveUntil))
	} else {
		r.before = Fleet{}
	}
	r.current = f
	return f
}

// with returns the fleet with the VMs of an older one that it lacks. They are present, and live too if that is set and they were.
func (f Fleet) with(older Fleet, live bool) Fleet {
	if older.Size() == 0 {
		return f
	}
	known := make(map[string]bool)
	for _, m := range f.live {
		known[m.name] = true
	}
	all := Fleet{live: slices.Clone(f.live), holders: max(f.holders, older.holders)}
	for _, m := range older.live {
		if live && !known[m.name] {
			known[m.name] = true
			all.live = append(all.live, m)
		}
	}
	for _, m := range slices.Concat(f.lingering, older.live, older.lingering) {
		if !known[m.name] {
			known[m.name] = true
			all.lingering = append(all.lingering, m)
		}
	}
	slices.SortFunc(all.live, compareNames)
	slices.SortFunc(all.lingering, compareNames)
	all.hash = all.computeHash()
	return all
}
