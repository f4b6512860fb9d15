package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenagate/core/lead"
	"verbenagate/core/owner"
)

const (
	// maxCandidates is how many VMs may be asked for a key. All but the first are asked while those before it do not hold the key.
	maxCandidates = 3
	// ListLife is how long a list of live VMs that names a VM as holder of a key lets it grant tokens. A VM that has just got its lease
	// waits as long, until all others have seen it. It is as long as a VM is present after the last renewal of its lease, so that a
	// holder outlasts the same outages of the store with its list as with its lease.
	ListLife = lead.LeaseDuration + lead.Linger
	// clockMargin is added to the wait: the clocks of two VMs may run at rates that differ a little.
	clockMargin = 100 * time.Millisecond
)

// Candidates returns the VMs that may hold a key, the holder first. For each key there is one fixed order of all VMs that could ever
// live, and the holder is the first one that is live; Holder relies on that. Larger VMs come first. Of equal ones, each portion prefers
// others, so that the portions of a workspace are seldom held by the same VM.
func Candidates(live []lead.Member, k Key) []lead.Member {
	byName := make(map[string]lead.Member, len(live))
	names := make([]string, 0, len(live))
	for _, m := range live {
		if m.Address() != "" {
			byName[m.Name()] = m
			names = append(names, m.Name())
		}
	}
	order := owner.Order("quota/"+k.String(), names)
	ranks := make([]rank, 0, len(order))
	for i, name := range order {
		ranks = append(ranks, rank{cores: byName[name].Cores(), distance: colourDistance(name, k.portion), place: i})
	}
	slices.SortFunc(ranks, rank.compare)
	var top []lead.Member
	for _, r := range ranks[:min(len(ranks), maxCandidates)] {
		top = append(top, byName[order[r.place]])
	}
	return top
}

// rank orders the VMs for a key.
type rank struct {
	cores    float64
	distance int
	place    int // in the order of the key among equal VMs
}

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(other.cores, r.cores), cmp.Compare(r.distance, other.distance), cmp.Compare(r.place, other.place))
}

// colourDistance is 0 for the VMs that a portion prefers and 1 for the others.
func colourDistance(vm string, portion int) int {
	if int(xxhash.Sum64String(vm)%maxPortions) == portion {
		return 0
	}
	return 1
}

// Holder decides which keys this VM holds. It is not safe for concurrent use.
//
// A VM holds a key while it is present (it has a lease, or had one less than lead.Linger ago) and has been so for ListLife without a gap, and
// while one of the lists of present VMs of the last ListLife names it as the first candidate. Two VMs cannot both hold a key: the one that
// comes first in the order of the key has been present for ListLife, so it is in each list on which the other one could rely.
type Holder struct {
	leaseSince, leaseUntil, provenSince time.Time

	named map[Key]naming
	lent  map[Key]lent
	terms map[Key]time.Time // the starts of the terms that Term returned last

	restored time.Time // when this VM heard that the store had come back from a copy, zero if it hasn't
	newFrom  time.Time // as of when lists count again
}

// naming says that lists of live VMs named this VM as holder.
type naming struct {
	since time.Time // from when on it has held the key without a gap, if its lease was valid
	asOf  time.Time // of the last list
}

// SetLease sets since when the lease of this process has been valid without a gap, and its end. Proven is since when leases of this VM,
// also those of an earlier process, have been valid without a gap, zero if that is not known. A proof that was read from a copy of the store
// counts for nothing, as it may lack a gap.
func (h *Holder) SetLease(since, until, proven time.Time) {
	isNew := !since.Equal(h.leaseSince) || h.provenSince.IsZero()
	if isNew && proven.Before(h.restored) {
		proven = time.Time{}
	}
	h.leaseSince, h.leaseUntil, h.provenSince = since, until, proven
}

// ready returns from when on this VM may hold keys. An earlier process of the VM may have lent keys, of which this one knows nothing.
func (h *Holder) ready() time.Time {
	ready := h.leaseSince.Add(ListLife + clockMargin)
	if h.provenSince.IsZero() {
		return ready
	}
	proven := h.provenSince.Add(ListLife + clockMargin)
	proven = latest(proven, h.leaseSince.Add(loanLife+loanMargin))
	if proven.Before(ready) {
		return proven
	}
	return ready
}

// Restored records at now that the store has come back from a copy. For ListLife, its lists may lack a VM that has been present throughout,
// so none as of that time counts: a VM holds a key only as long as the last list from before lets it, and anew with the first one from after.
func (h *Holder) Restored(now time.Time) { h.restored, h.newFrom = now, now.Add(ListLife+clockMargin) }

// Settling reports whether lists count again soon, after the store has come back from a copy. They are then to be read often.
func (h *Holder) Settling(now time.Time) bool { return now.Before(h.newFrom.Add(ListLife)) }

// SetNamed records a list of live VMs as of asOf, in which this VM is the first candidate of keys.
func (h *Holder) SetNamed(keys []Key, asOf, now time.Time) {
	if asOf.Before(h.newFrom) {
		return
	}
	if h.named == nil {
		h.named = make(map[Key]naming)
	}
	for _, k := range keys {
		n, ok := h.named[k]
		if !ok || !now.Before(n.asOf.Add(ListLife)) {
			n = naming{since: now}
		}
		if asOf.After(n.asOf) {
			n.asOf = asOf
		}
		h.named[k] = n
	}
}

// Term returns since when this VM has held a key without a gap. It returns false if it does not hold it at now.
func (h *Holder) Term(k Key, now time.Time) (time.Time, bool) {
	since, _, ok := h.termOf(k, now)
	lent := h.lent[k]
	if !ok || now.Before(lent.until) {
		return time.Time{}, false
	}
	// A term that goes on keeps its start, also if it is proven later that it could have begun earlier.
	if t, ok := h.terms[k]; ok && !t.Before(h.leaseSince) && !t.Before(h.named[k].since) && !t.Before(lent.until) {
		return t, true
	}
	if h.terms == nil {
		h.terms = make(map[Key]time.Time)
	}
	h.terms[k] = latest(since, lent.until)
	return h.terms[k], true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Holds reports whether this VM holds a key at now, lent or not.
func (h *Holder) Holds(k Key, now time.Time) bool {
	_, _, ok := h.termOf(k, now)
	return ok
}

// termOf returns since when this VM has held a key without a gap, lent or not, and until when at least it will.
func (h *Holder) termOf(k Key, now time.Time) (since, until time.Time, ok bool) {
	n, ok := h.named[k]
	ready := h.ready()
	until = n.asOf.Add(ListLife)
	if h.leaseUntil.Before(until) {
		until = h.leaseUntil
	}
	if !ok || h.leaseSince.IsZero() || now.Before(ready) || !now.Before(until) {
		return time.Time{}, time.Time{}, false
	}
	return latest(ready, n.since), until, true
}

// Named returns the keys of which lists of the last ListLife name this VM as holder.
func (h *Holder) Named(now time.Time) []Key {
	var keys []Key
	for k, n := range h.named {
		if now.Before(n.asOf.Add(ListLife)) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Or(cmp.Compare(a.shard, b.shard), cmp.Compare(a.portion, b.portion)) })
	return keys
}
