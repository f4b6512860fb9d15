package lead

import "slices"

// maxOwners is how many VMs may hold the shared connections to a server: the owner, and the next VM in order, which takes over
// while the owner does not answer.
const maxOwners = 2

// maxRevised is up to how many VMs that joined owners are revised rather than determined again, which is as fast then.
const maxRevised = 8

// Owners determines which VMs hold the shared connections to servers, for one list of live VMs. VMs with the same list determine
// the same owners, and a VM that joins or leaves changes the owner only of the servers that it owns. Large VMs own more servers
// than small ones. Owners is immutable.
type Owners struct {
	byDataCentre map[string]sizeRanking
	all          sizeRanking

	changes   map[string]change // by data centre, since the list of the Owners that Next was called on
	allChange change
}

// change is how a list of VMs differs from an earlier one.
type change struct{ joined, left []Member }

// NewOwners returns the owners for the live VMs. VMs without an address own nothing, as nothing can be forwarded to them.
func NewOwners(live []Member) Owners {
	var all []Member
	local := make(map[string][]Member)
	for _, m := range live {
		if m.address == "" {
			continue
		}
		all = append(all, m)
		local[m.dataCentre] = append(local[m.dataCentre], m)
	}
	o := Owners{byDataCentre: make(map[string]sizeRanking, len(local)), all: newSizeRanking(all)}
	for dc, members := range local {
		o.byDataCentre[dc] = newSizeRanking(members)
	}
	return o
}

// Next returns the owners for a later list of live VMs. Its Revise can use the owners that o determined.
func (o Owners) Next(live []Member) Owners {
	next := NewOwners(live)
	next.changes = make(map[string]change)
	next.allChange = changeOf(o.all.members, next.all.members)
	for dc, r := range next.byDataCentre {
		if old, ok := o.byDataCentre[dc]; ok {
			next.changes[dc] = changeOf(old.members, r.members)
		}
	}
	return next
}

// changeOf returns how the list of VMs after differs from before. A VM with another address or size has left and joined.
func changeOf(before, after []Member) change {
	type place struct {
		name, dataCentre, address string
		cores                     float64
	}
	placeOf := func(m Member) place { return place{m.name, m.dataCentre, m.address, m.cores} }
	known := make(map[place]bool, len(before))
	for _, m := range before {
		known[placeOf(m)] = true
	}
	var c change
	for _, m := range after {
		if !known[placeOf(m)] {
			c.joined = append(c.joined, m)
		}
		delete(known, placeOf(m))
	}
	for _, m := range before {
		if known[placeOf(m)] {
			c.left = append(c.left, m)
		}
	}
	return c
}

// Of returns the VMs that hold the shared connections to a server, the owner first. They are in the server's data centre, so that
// forwarded statements cross a link between data centres only once, or anywhere if no VM lives there.
func (o Owners) Of(server, dataCentre string) []Member {
	if local, ok := o.byDataCentre[dataCentre]; ok {
		return local.top(server, maxOwners)
	}
	return o.all.top(server, maxOwners)
}

// Revise returns the same as Of. Old is what the Owners that Next was called on determined for the server in this data centre. Unless
// one of them has left, only the VMs that joined have to be compared with them.
func (o Owners) Revise(server, dataCentre string, old []Member) []Member {
	_, local := o.byDataCentre[dataCentre]
	c, ok := o.changes[dataCentre]
	if !local {
		c, ok = o.allChange, o.changes != nil && len(old) > 0 && old[0].dataCentre != dataCentre
	}
	hasLeft := func(m Member) bool {
		return slices.ContainsFunc(c.left, func(l Member) bool { return l.name == m.name })
	}
	switch {
	case !ok || len(old) == 0 || len(c.joined) > maxRevised || slices.ContainsFunc(old, hasLeft):
		return o.Of(server, dataCentre)
	case len(c.joined) == 0:
		return old
	}
	return newSizeRanking(slices.Concat(old, c.joined)).top(server, maxOwners)
}
