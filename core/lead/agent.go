package lead

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenagate/core/owner"
)

// mostAgents is how many VMs of a data centre may act as agents, one after the other: the next one does when those before it do
// not answer or cannot reach the store.
const mostAgents = 3

// At returns the member with its place: its data centre and the address at which other VMs reach it, "" if they cannot.
func (m Member) At(dataCentre, address string) Member {
	m.dataCentre, m.address = dataCentre, address
	return m
}

// DataCentre returns the VM's data centre.
func (m Member) DataCentre() string { return m.dataCentre }

// Address returns the address at which other VMs reach the VM; "" if they cannot.
func (m Member) Address() string { return m.address }

// Agents returns the VMs that make the store's calls for a data centre, in the order in which they are asked. VMs with the same list
// come to the same order, and it changes little when VMs come and go.
func Agents(live []Member, dataCentre string) []Member {
	byName := make(map[string]Member)
	for _, m := range live {
		if m.dataCentre == dataCentre && m.address != "" {
			byName[m.name] = m
		}
	}
	agents := make([]Member, 0, mostAgents)
	for _, name := range owner.Top(dataCentre, slices.Sorted(maps.Keys(byName)), mostAgents) {
		agents = append(agents, byName[name])
	}
	return agents
}

// Merge returns one member for each VM from rows of several agents. A VM that has seen an epoch relies on no record of before, so the
// entry with the newest epoch holds, of several the one that lasts longest.
func Merge(members []Member) []Member {
	slices.SortStableFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(b.epoch, a.epoch), cmp.Compare(b.until, a.until))
	})
	return slices.CompactFunc(members, func(a, b Member) bool { return a.name == b.name })
}

// Grants are the leases that a VM has asked the store for, its own and those of other VMs. An entry stays until its lease has
// certainly ended, since the row that names it is replaced as a whole. It does not change.
type Grants struct{ members map[string]Member }

// NewGrants returns the grants of a stored row.
func NewGrants(members []Member) Grants {
	g := Grants{members: make(map[string]Member, len(members))}
	for _, m := range members {
		g.members[m.name] = m
	}
	return g
}

// With returns the grants with leases until a time on the store's clock for those in renew and none for those in leave. Heard
// is a time that the store's clock has shown.
func (g Grants) With(renew, leave []Member, until, heard time.Duration) Grants {
	next := make(map[string]Member, len(g.members)+len(renew))
	for name, m := range g.members {
		if m.until+drift > heard {
			next[name] = m
		}
	}
	for _, m := range renew {
		m.until = max(until, next[m.name].until)
		next[m.name] = m
	}
	for _, m := range leave {
		delete(next, m.name)
	}
	return Grants{members: next}
}

// Union returns the grants of g and older; of two entries of a VM that of g counts, for as long as the longer one lasts.
func (g Grants) Union(older Grants) Grants {
	next := maps.Clone(older.members)
	if next == nil {
		next = make(map[string]Member)
	}
	for name, m := range g.members {
		m.until = max(m.until, next[name].until)
		next[name] = m
	}
	return Grants{members: next}
}

// Members returns the entries ordered by name.
func (g Grants) Members() []Member {
	var all []Member
	for _, name := range slices.Sorted(maps.Keys(g.members)) {
		all = append(all, g.members[name])
	}
	return all
}

// Urgent reports whether a renewal tells something new, for which others may be waiting.
func (g Grants) Urgent(m Member) bool {
	have, ok := g.members[m.name]
	return !ok || have.epoch != m.epoch || !slices.Equal(have.suspect, m.suspect)
}
