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
	ListLife = lead.PresentFor
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
// A VM holds a key while it is present and has been so for ListLife without a gap, it has renewed its lease since then, and one of the lists
// of present VMs of the last ListLife names it as the first candidate. Two VMs cannot both hold a key: the one that comes first in the
// order of the key has been present for ListLife, so it is in each list on which the other one could rely.
//
// A list of a new era of the store may lack a VM that has been present throughout. But a VM that held keys, or could have, had renewed its
// lease ListLife after it became present, before the store came back. So it is in every list that is younger than ListLife when
// the store comes back, and lead.Roster keeps it. A VM with such a list goes on with its roster. One without counts no list until all
// presences of earlier eras have ended; and a VM that had not renewed its lease in that way waits as if it had just become present.
type Holder struct {
	presence lead.Presence
	claimed  time.Time // the proof of presence as it was reported
	proven   time.Time // what of it is certain

	named map[Key]naming
	lent  map[Key]lent
	terms map[Key]time.Time // the starts of the terms that Term returned last

	newest  time.Time // as of when the newest list was that counts
	newFrom time.Time // as of when lists count without those from before the store came back, zero if it never did
	goesOn  bool      // lists count before newFrom, too
	joins   bool      // the VM counts as present only since it has had a lease of this era
}

// naming says that lists of live VMs named this VM as holder.
type naming struct {
	since time.Time // from when on it has held the key without a gap, if its lease was valid
	asOf  time.Time // of the last list
}

// SetPresence sets the presence of this VM.
func (h *Holder) SetPresence(p lead.Presence) {
	if began := p.EraBegan(); !began.IsZero() && began.Add(ListLife+clockMargin).Before(h.newFrom) {
		h.newFrom = began.Add(ListLife + clockMargin)
	}
	if !p.Since().Equal(h.presence.Since()) || !p.Proven().Equal(h.claimed) {
		h.claimed, h.proven = p.Proven(), h.certain(p.Proven())
	}
	h.presence = p
}

// certain returns since when the VM has certainly been present if the store's rows say that it has been so since proven. Rows of a copy may
// lack a gap in the seconds that were lost; those about the time after all presences of earlier eras do not.
func (h *Holder) certain(proven time.Time) time.Time {
	if proven.IsZero() {
		return proven
	}
	return latest(proven, h.newFrom)
}

// joined returns since when this process has been present for all other VMs, zero if it isn't yet.
func (h *Holder) joined() time.Time {
	if !h.joins {
		return h.presence.Since()
	}
	if h.presence.InEra().IsZero() {
		return time.Time{}
	}
	return latest(h.presence.Since(), h.presence.InEra())
}

// listed returns from when on this VM is in all lists that count for another one, and false if that is not known yet.
func (h *Holder) listed() (time.Time, bool) {
	since := h.joined()
	if since.IsZero() || !h.proven.IsZero() && h.proven.Before(since) {
		since = h.proven
	}
	return since.Add(ListLife + clockMargin), !since.IsZero()
}

// confirmed reports whether this VM has renewed its lease since it has been in all lists that count.
func (h *Holder) confirmed() bool {
	from, ok := h.listed()
	return ok && !h.presence.Until().Add(-ListLife).Before(from)
}

// ready returns from when on this VM may hold keys, and false if that is not known yet. An earlier process of the VM may have lent keys, of
// which this one knows nothing.
func (h *Holder) ready() (time.Time, bool) {
	from, ok := h.listed()
	return latest(from, h.presence.Since().Add(loanLife+loanMargin)), ok
}

// Restored records at now that the store has come back from a copy.
func (h *Holder) Restored(now time.Time) {
	h.joins = !h.confirmed()
	if h.joins {
		h.proven = time.Time{}
	}
	h.goesOn = !h.newest.IsZero() && now.Before(h.newest.Add(ListLife))
	h.newFrom = now.Add(ListLife + clockMargin)
}

// Settling reports whether lists of a new era of the store are to be read often.
func (h *Holder) Settling(now time.Time) bool { return now.Before(h.newFrom.Add(ListLife)) }

// SetNamed records a list of live VMs as of asOf, in which this VM is the first candidate of keys. After the store has come back from a copy,
// the list is that of a lead.Roster.
func (h *Holder) SetNamed(keys []Key, asOf, now time.Time) {
	if asOf.Before(h.newFrom) && !h.goesOn {
		return
	}
	h.newest = latest(h.newest, asOf)
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
	if t, ok := h.terms[k]; ok && !t.Before(h.presence.Since()) && !t.Before(h.named[k].since) && !t.Before(lent.until) {
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
	n, named := h.named[k]
	ready, known := h.ready()
	until = n.asOf.Add(ListLife)
	if end := h.presence.Until(); end.Before(until) {
		until = end
	}
	if !named || !known || !h.confirmed() || now.Before(ready) || !now.Before(until) {
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
