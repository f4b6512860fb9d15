// Package owner decides which VM owns a database server, by rendezvous hashing over the live VMs.
//
// All functions are pure: VMs with equal views of the members compute the same owner without communicating.
package owner

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenagate/core/svcdef"
)

// Live lists the live VMs, which are the possible owners of servers. core/member.View implements it.
type Live interface {
	// Live returns the ids of all live VMs.
	Live() []string
	// LiveIn returns the ids of the live VMs of a data centre.
	LiveIn(dataCentre string) []string
}

// FailureDetector is implemented by a Live that distinguishes a VM that has stopped answering from one that is leaving.
type FailureDetector interface {
	// IsSuspect reports whether a VM has stopped answering but is not considered dead yet.
	IsSuspect(id string) bool
	// IsDead reports whether a VM is considered dead.
	IsDead(id string) bool
}

// score returns the rendezvous weight of a member for a key, both given as hashes. They are mixed by the finalizer of
// MurmurHash3, because their plain sum would order the members almost the same way for every key.
func score(key, member uint64) uint64 {
	x := key ^ (member * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Order returns the members in rendezvous order for key, the preferred one first. Removing a member does not change the
// relative order of the others.
func Order(key string, members []string) []string {
	type ranked struct {
		id    string
		score uint64
	}
	h := xxhash.Sum64String(key)
	all := make([]ranked, len(members))
	for i, m := range members {
		all[i] = ranked{m, score(h, xxhash.Sum64String(m))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
	out := make([]string, len(all))
	for i, r := range all {
		out[i] = r.id
	}
	return out
}

// First returns the first member in the rendezvous order for key, or false if there are no members.
func First(key string, members []string) (string, bool) {
	h := xxhash.Sum64String(key)
	best, bestScore := "", uint64(0)
	for i, m := range members {
		s := score(h, xxhash.Sum64String(m))
		if i == 0 || s > bestScore || s == bestScore && m < best {
			best, bestScore = m, s
		}
	}
	return best, len(members) > 0
}

// Top returns the first n members in the rendezvous order for key, or all members if there are fewer than n.
func Top(key string, members []string, n int) []string {
	order := Order(key, members)
	return order[:min(n, len(order))]
}

// Weighted is a member that gets keys in proportion to its weight, which must be positive.
type Weighted struct {
	Name   string
	Weight float64
}

// Ranking orders weighted members for keys. It hashes the names of the members once, for use with many keys.
type Ranking struct {
	members []Weighted
	hashes  []uint64
}

// NewRanking returns a ranking of the members.
func NewRanking(members []Weighted) Ranking {
	r := Ranking{members: members, hashes: make([]uint64, len(members))}
	for i, m := range members {
		r.hashes[i] = xxhash.Sum64String(m.Name)
	}
	return r
}

// Top returns the indices of the first n members in the weighted rendezvous order for key, or of all if there are fewer. A member
// comes first for a share of the keys in proportion to its weight.
func (r Ranking) Top(key string, n int) []int {
	h := xxhash.Sum64String(key)
	top := make([]int, 0, n+1)
	scores := make([]float64, 0, n+1)
	for i, m := range r.members {
		// The score is uniform; its 53 upper bits give a number between 0 and 1, without the ends.
		u := (float64(score(h, r.hashes[i])>>11) + 0.5) / (1 << 53)
		s := -m.Weight / math.Log(u)
		at := len(top)
		for at > 0 && (s > scores[at-1] || s == scores[at-1] && m.Name < r.members[top[at-1]].Name) {
			at--
		}
		if at >= n {
			continue
		}
		top, scores = slices.Insert(top, at, i), slices.Insert(scores, at, s)
		top, scores = top[:min(n, len(top))], scores[:min(n, len(scores))]
	}
	return top
}

// Names orders members for keys as Order does. It hashes the names of the members once, for use with many keys.
type Names struct {
	names  []string
	hashes []uint64
}

// NewNames returns the order of the members, which must be distinct.
func NewNames(members []string) Names {
	o := Names{names: members, hashes: make([]uint64, len(members))}
	for i, m := range members {
		o.hashes[i] = xxhash.Sum64String(m)
	}
	return o
}

// Top returns the indices of the first n members in the rendezvous order for key, or of all if there are fewer.
func (o Names) Top(key string, n int) []int {
	h := xxhash.Sum64String(key)
	top := make([]int, 0, n+1)
	scores := make([]uint64, 0, n+1)
	for i, m := range o.names {
		s := score(h, o.hashes[i])
		at := len(top)
		for at > 0 && (s > scores[at-1] || s == scores[at-1] && m < o.names[top[at-1]]) {
			at--
		}
		if at >= n {
			continue
		}
		top, scores = slices.Insert(top, at, i), slices.Insert(scores, at, s)
		top, scores = top[:min(n, len(top))], scores[:min(n, len(scores))]
	}
	return top
}

// Of returns the VM that owns the server at address: the first live VM of the server's data centre in rendezvous order,
// or of all data centres if the server's data centre has no live VM. It returns false if no VM is live.
func Of(address, dataCentre string, live Live) (string, bool) {
	if id, ok := First(address, live.LiveIn(dataCentre)); ok {
		return id, true
	}
	return First(address, live.Live())
}

// Candidates returns the VMs that own a server of the group, in the rendezvous order for the group's name. These VMs
// watch the group, and the first of them that is able to do so promotes a new primary.
func Candidates(group string, servers []svcdef.Server, live Live) []string {
	var ids []string
	for _, s := range servers {
		if id, ok := Of(s.Address(), s.DataCentre(), live); ok && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return Order(group, ids)
}
