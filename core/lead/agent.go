package lead

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenagate/core/owner"
)

// MaxAgents is how many VMs of a data centre may act as agents. The next one is used when those before it do not answer or
// cannot reach the store.
const MaxAgents = 3

// WithLocation returns a copy of the member with its location: its data centre and the address at which other VMs reach it, ""
// if they cannot.
func (m Member) WithLocation(dataCentre, address string) Member {
	m.dataCentre, m.address = dataCentre, address
	return m
}

// WithCores returns a copy of the member with the processor cores of its VM.
func (m Member) WithCores(n float64) Member {
	m.cores = n
	return m
}

// Cores returns the processor cores of the VM, 0 if unknown.
func (m Member) Cores() float64 { return m.cores }

// defaultCores is assumed for a VM of unknown size.
const defaultCores = 1

// weighted returns the member with its weight for work that is shared out by size.
func (m Member) weighted() owner.Weighted {
	w := owner.Weighted{Name: m.name, Weight: m.cores}
	if w.Weight <= 0 {
		w.Weight = defaultCores
	}
	return w
}

// sizeRanking orders VMs for keys, larger VMs first for more keys.
type sizeRanking struct {
	members []Member
	ranking owner.Ranking
}

func newSizeRanking(members []Member) sizeRanking {
	weighted := make([]owner.Weighted, 0, len(members))
	for _, m := range members {
		weighted = append(weighted, m.weighted())
	}
	return sizeRanking{members: members, ranking: owner.NewRanking(weighted)}
}

// top returns the first n members for key.
func (r sizeRanking) top(key string, n int) []Member {
	indices := r.ranking.Top(key, n)
	top := make([]Member, 0, len(indices))
	for _, i := range indices {
		top = append(top, r.members[i])
	}
	return top
}

// DataCentre returns the VM's data centre.
func (m Member) DataCentre() string { return m.dataCentre }

// Address returns the address at which other VMs reach the VM; "" if they cannot.
func (m Member) Address() string { return m.address }

// Agents returns the VMs that call the store on behalf of a data centre, in the order in which they are tried. They are among the
// largest VMs, since an agent passes all tables on to the others. VMs with the same list compute the same order, and the order
// changes little when VMs join or leave.
func Agents(live []Member, dataCentre string) []Member {
	largest := 0.0
	for _, m := range live {
		if m.dataCentre == dataCentre && m.address != "" {
			largest = max(largest, m.weighted().Weight)
		}
	}
	var large, others []Member
	for _, m := range live {
		switch {
		case m.dataCentre != dataCentre || m.address == "":
		case m.weighted().Weight >= largest:
			large = append(large, m)
		default:
			others = append(others, m)
		}
	}
	agents := newSizeRanking(large).top(dataCentre, MaxAgents)
	return append(agents, newSizeRanking(others).top(dataCentre, MaxAgents-len(agents))...)
}

// Merge returns one member for each VM from the rows of several agents. A VM that has seen an epoch uses no record from before
// it, so the entry with the newest epoch wins. Of several such entries, the one that ends last wins.
func Merge(members []Member) []Member {
	slices.SortStableFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(b.epoch, a.epoch), cmp.Compare(b.PresentUntil(), a.PresentUntil()))
	})
	return slices.CompactFunc(members, func(a, b Member) bool { return a.name == b.name })
}

// WithContinuity returns a copy of the member whose lease has been valid without a gap since a time on the store's clock, if the write that
// extended it took effect before provenUntil, the end of the lease until then.
func (m Member) WithContinuity(since, provenUntil time.Duration) Member {
	m.since, m.provenUntil = since, provenUntil
	return m
}

// WithLeft returns a copy of the member whose VM has given up its lease. It counts as present as long as if it had not.
func (m Member) WithLeft() Member { return m.WithPresentUntil(m.PresentUntil()) }

// WithPresentUntil returns a copy of the member whose VM has given up its lease and is present until a time on the store's clock.
func (m Member) WithPresentUntil(until time.Duration) Member {
	m.presentUntil, m.until = until, 0
	return m
}

// Left reports whether the VM has given up its lease.
func (m Member) Left() bool { return m.presentUntil != 0 }

// PresentUntil returns the time on the store's clock until which the VM is present: Linger after the end of its lease.
func (m Member) PresentUntil() time.Duration {
	if m.Left() {
		return m.presentUntil
	}
	return m.until + Linger
}

// Continuity returns the values of WithContinuity.
func (m Member) Continuity() (since, provenUntil time.Duration) { return m.since, m.provenUntil }

// ValidSince returns since when on the store's clock the VM has been present without a gap, its lease valid or ended less than Linger ago,
// for a member that was read when the clock showed storeTime at most. It returns false if it is not known to have been present earlier.
func (m Member) ValidSince(storeTime time.Duration) (time.Duration, bool) {
	if storeTime >= m.provenUntil+Linger || storeTime >= m.PresentUntil() || m.since >= storeTime {
		return 0, false
	}
	return m.since, true
}

// ordersAlike reports whether two entries of a VM put it at the same place in orders of VMs by size. If they do not, a VM that was not the
// first one for some work may have become it, so that its presence under the other entry says nothing.
func (m Member) ordersAlike(other Member) bool {
	return m.cores == other.cores && (m.address == "") == (other.address == "")
}

// Grants are the leases that a VM has requested from the store, for itself and for other VMs. An entry stays until its lease
// has certainly expired, because each write replaces the whole row of entries. Grants is immutable.
type Grants struct {
	members   map[string]Member
	confirmed map[string]Member // entries of this and other agents that the store is known to have held
}

// NewGrants returns the grants read from a stored row.
func NewGrants(members []Member) Grants {
	g := Grants{members: make(map[string]Member, len(members))}
	for _, m := range members {
		g.members[m.name] = m
	}
	return g
}

// With returns the grants with the leases of renew extended to until on the store's clock and the leases of leave removed.
// StoreTime is a time that the store's clock has shown.
func (g Grants) With(renew, leave []Member, until, storeTime time.Duration) Grants {
	return g.WithKept(renew, leave, until, storeTime, 0)
}

// WithKept returns the same as With, but keeps entries for linger after the end of their lease. If linger is not 0, those of VMs that leave
// are kept as such, so that a lease that is renewed soon after continues their presence.
func (g Grants) WithKept(renew, leave []Member, until, storeTime, linger time.Duration) Grants {
	next := make(map[string]Member, len(g.members)+len(renew))
	for name, m := range g.members {
		if m.until+maxClockDrift+linger > storeTime || m.Left() && m.presentUntil+maxClockDrift > storeTime {
			next[name] = m
		}
	}
	for _, m := range renew {
		m.until = max(until, next[m.name].until)
		m.since, m.provenUntil = m.until, 0
		if c, ok := g.confirmed[m.name]; ok && c.ordersAlike(m) {
			m.since, m.provenUntil = c.since, c.until
		}
		next[m.name] = m
	}
	for _, m := range leave {
		if current, ok := next[m.name]; ok && linger > 0 {
			next[m.name] = current.WithLeft()
			continue
		}
		delete(next, m.name)
	}
	return Grants{members: next, confirmed: g.confirmed}
}

// Confirm returns the grants after the store is known to hold the entries of names, at a time when its clock showed storeTime at most.
func (g Grants) Confirm(names []string, storeTime time.Duration) Grants {
	var entries []Member
	for _, name := range names {
		if m, ok := g.members[name]; ok {
			entries = append(entries, m)
		}
	}
	return g.Observe(entries, storeTime)
}

// Observe returns the grants after entries, also of other agents, were read from the store when its clock showed storeTime at most. So the
// continuity of a lease is known to an agent that has not renewed it before.
func (g Grants) Observe(entries []Member, storeTime time.Duration) Grants {
	confirmed := make(map[string]Member, len(g.confirmed)+len(entries))
	for name, c := range g.confirmed {
		if c.PresentUntil() > storeTime {
			confirmed[name] = c
		}
	}
	for _, m := range entries {
		if m.PresentUntil() <= storeTime {
			continue
		}
		if _, ok := m.ValidSince(storeTime); !ok {
			m.since = storeTime
		}
		m.until, m.presentUntil = m.PresentUntil()-Linger, 0
		// The VM was present at storeTime by either entry. With entries of two sizes, it counts from now on with that of the later one.
		switch c, ok := confirmed[m.name]; {
		case ok && c.ordersAlike(m):
			m.since, m.until = min(m.since, c.since), max(m.until, c.until)
		case ok && c.until > m.until:
			m = c
			m.since = storeTime
		case ok:
			m.since = storeTime
		}
		confirmed[m.name] = m
	}
	return Grants{members: g.members, confirmed: confirmed}
}

// PresentSince returns since when the VM name has been present without a gap according to any of the entries, which were read when the
// store's clock showed storeTime at most. It returns false if it is not known to have been present earlier, or if entries of two sizes are
// left.
func PresentSince(entries []Member, name string, storeTime time.Duration) (time.Duration, bool) {
	since, found := storeTime, false
	var first *Member
	for i, m := range entries {
		if m.name != name || m.PresentUntil() <= storeTime {
			continue
		}
		if first == nil {
			first = &entries[i]
		}
		if !m.ordersAlike(*first) {
			return storeTime, false
		}
		if from, ok := m.ValidSince(storeTime); ok && from < since {
			since, found = from, true
		}
	}
	return since, found
}

// Union returns the grants of g and older. For a VM in both, the entry of g is kept, with the later of the two lease ends.
func (g Grants) Union(older Grants) Grants {
	next := maps.Clone(older.members)
	if next == nil {
		next = make(map[string]Member)
	}
	for name, m := range g.members {
		if !m.Left() {
			m.until = max(m.until, next[name].until)
		}
		next[name] = m
	}
	return Grants{members: next, confirmed: g.confirmed}
}

// Members returns the entries ordered by name.
func (g Grants) Members() []Member {
	var all []Member
	for _, name := range slices.Sorted(maps.Keys(g.members)) {
		all = append(all, g.members[name])
	}
	return all
}

// Urgent reports whether a renewal is the VM's first or changes its epoch or suspected primaries. Other VMs may be waiting for
// such a change.
func (g Grants) Urgent(m Member) bool {
	granted, ok := g.members[m.name]
	return !ok || granted.Left() || granted.epoch != m.epoch || !slices.Equal(granted.suspected, m.suspected)
}
