package member

import (
	"maps"
	"slices"
)

// Member is a VM as this VM sees it. Its state can differ from the state in its record, because direct evidence of this VM
// takes precedence over what other VMs report.
type Member struct {
	record Record
	state  State
}

// ID returns the VM's id.
func (m Member) ID() string { return m.record.ID }

// DataCentre returns the VM's data centre.
func (m Member) DataCentre() string { return m.record.DataCentre }

// Addr returns the address on which the VM listens for other VMs.
func (m Member) Addr() string { return m.record.Addr }

// Incarnation returns the VM's incarnation number.
func (m Member) Incarnation() uint64 { return m.record.Incarnation }

// State returns the state that this VM assumes, based on its own evidence and on other VMs' reports.
func (m Member) State() State { return m.state }

// Record returns the record of the member that the VMs exchange.
func (m Member) Record() Record { return m.record }

// View is an immutable snapshot of all members.
type View struct {
	self          string
	members       []Member // in order of id
	index         map[string]int
	live          []string
	liveIn        map[string][]string
	reachableDC   map[string]bool
	digest        uint64
	version       uint64
	discoveryDone bool
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

// IsSuspect reports whether the VM has stopped answering but is not considered dead yet.
func (v View) IsSuspect(id string) bool {
	m, ok := v.Member(id)
	return ok && m.state == Suspect
}

// IsDead reports whether the VM is known and considered dead.
func (v View) IsDead(id string) bool {
	m, ok := v.Member(id)
	return ok && m.state == Dead
}

// Live returns the ids of the live VMs in ascending order. The caller must not change the slice.
func (v View) Live() []string { return v.live }

// LiveIn returns the ids of the live VMs of a data centre in ascending order. The caller must not change the slice.
func (v View) LiveIn(dataCentre string) []string { return v.liveIn[dataCentre] }

// DataCentres returns the names of all known data centres in ascending order.
func (v View) DataCentres() []string { return slices.Sorted(maps.Keys(v.reachableDC)) }

// Reachable reports whether this VM has recently heard from a VM of the data centre.
func (v View) Reachable(dataCentre string) bool { return v.reachableDC[dataCentre] }

// Records returns the records of all VMs that are not dead, as this VM sends them to others.
func (v View) Records() []Record {
	var out []Record
	for _, m := range v.members {
		if m.record.State != Dead {
			out = append(out, m.record)
		}
	}
	return out
}

// Digest returns a hash of Records. Views with equal Records have equal digests.
func (v View) Digest() uint64 { return v.digest }

// Version returns a number that increases with every change of the view.
func (v View) Version() uint64 { return v.version }

// DiscoveryDone reports whether the initial discovery is done: each VM of the own data centre that the platform's list named
// at the start has been heard from, has refused a connection or is considered dead, or the time after which a silent VM is
// suspected has passed. Before that, the view lacks live VMs.
func (v View) DiscoveryDone() bool { return v.discoveryDone }
