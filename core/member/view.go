package member

import (
	"maps"
	"slices"
)

// Member is one VM as this VM sees it. Its state can differ from the one in the records that VMs exchange: direct
// evidence of this VM counts more than what others say.
type Member struct {
	record Record
	state  State
}

// ID returns the VM's id.
func (m Member) ID() string { return m.record.ID }

// DataCentre returns the VM's data centre.
func (m Member) DataCentre() string { return m.record.DataCentre }

// Addr returns the address where the VM listens for other VMs.
func (m Member) Addr() string { return m.record.Addr }

// Incarnation returns the VM's incarnation number.
func (m Member) Incarnation() uint64 { return m.record.Incarnation }

// State returns the state that this VM assumes, from its own evidence and from what others say.
func (m Member) State() State { return m.state }

// Record returns what the VMs tell each other about the member.
func (m Member) Record() Record { return m.record }

// View is an immutable snapshot of the members.
type View struct {
	self    string
	members []Member // in order of id
	index   map[string]int
	live    []string
	liveIn  map[string][]string
	reach   map[string]bool
	digest  uint64
	version uint64
	settled bool
}

// Self returns the id of the VM that the view belongs to.
func (v View) Self() string { return v.self }

// Members returns all known VMs, dead ones included, in order of their ids.
func (v View) Members() []Member { return slices.Clone(v.members) }

// Member returns the VM with this id.
func (v View) Member(id string) (Member, bool) {
	i, ok := v.index[id]
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// IsLive reports whether the VM is live: neither leaving, suspect nor dead.
func (v View) IsLive(id string) bool {
	m, ok := v.Member(id)
	return ok && m.state == Live
}

// IsSuspect reports whether the VM has stopped answering and does not count as dead yet.
func (v View) IsSuspect(id string) bool {
	m, ok := v.Member(id)
	return ok && m.state == Suspect
}

// IsDead reports whether the VM is known and counts as dead.
func (v View) IsDead(id string) bool {
	m, ok := v.Member(id)
	return ok && m.state == Dead
}

// Live returns the ids of the live VMs in ascending order. The caller must not change the slice.
func (v View) Live() []string { return v.live }

// LiveIn returns the ids of the live VMs of a data centre in ascending order. The caller must not change the slice.
func (v View) LiveIn(dataCentre string) []string { return v.liveIn[dataCentre] }

// DataCentres returns the names of all known data centres in ascending order.
func (v View) DataCentres() []string { return slices.Sorted(maps.Keys(v.reach)) }

// Reachable reports whether this VM has recently heard from a VM of the data centre.
func (v View) Reachable(dataCentre string) bool { return v.reach[dataCentre] }

// Records returns what this VM would tell another one about all VMs that are not dead.
func (v View) Records() []Record {
	var out []Record
	for _, m := range v.members {
		if m.record.State != Dead {
			out = append(out, m.record)
		}
	}
	return out
}

// Digest is equal for two views with equal Records.
func (v View) Digest() uint64 { return v.digest }

// Version rises with every change of the view.
func (v View) Version() uint64 { return v.version }

// Settled reports whether every VM of the own data centre that the platform's list named at the start has been heard of,
// has refused a connection or has been silent for the time of a suspicion. Before that, the view lacks live VMs.
func (v View) Settled() bool { return v.settled }
