package quota

import (
	"time"

	"verbenagate/core/lead"
	"verbenagate/core/owner"
)

const (
	// failureDelay is how long a VM that did not reply is not asked, and notHolderDelay the same for a key that a VM does not hold.
	failureDelay   = time.Second
	notHolderDelay = 300 * time.Millisecond
)

// Asker decides which VM is asked for tokens. It is not safe for concurrent use.
type Asker struct {
	self       lead.Member
	live       []string
	candidates map[Key][]lead.Member
	order      map[int][]int // by shard: the order in which this VM asks the portions
	failed     map[string]time.Time
	notHolder  map[candidate]time.Time
}

type candidate struct {
	key     Key
	address string
}

// NewAsker returns the asker of the VM self.
func NewAsker(self lead.Member) *Asker {
	return &Asker{
		self: self, candidates: make(map[Key][]lead.Member), order: make(map[int][]int), failed: make(map[string]time.Time),
		notHolder: make(map[candidate]time.Time),
	}
}

// SetMembers sets the live VMs. It returns the keys of which this VM is the first candidate.
func (a *Asker) SetMembers(live []lead.Member) []Key {
	if !a.sameMembers(live) {
		a.live = a.live[:0]
		for _, m := range live {
			a.live = append(a.live, identity(m))
		}
		byShard := make(map[int][]Key)
		for _, k := range Keys() {
			a.candidates[k] = Candidates(live, k)
			byShard[k.shard] = append(byShard[k.shard], k)
		}
		for shard, keys := range byShard {
			a.order[shard] = a.askOrder(keys)
		}
	}
	var named []Key
	for k, c := range a.candidates {
		if len(c) > 0 && c[0].Name() == a.self.Name() {
			named = append(named, k)
		}
	}
	return named
}

func (a *Asker) sameMembers(live []lead.Member) bool {
	if len(a.live) != len(live) {
		return false
	}
	for i, m := range live {
		if a.live[i] != identity(m) {
			return false
		}
	}
	return true
}

func identity(m lead.Member) string { return m.Name() + " " + m.Address() }

// askOrder returns the order in which this VM asks the portions of a shard: the main one first, then those held in its data centre, and the
// others in an order of its own.
func (a *Asker) askOrder(keys []Key) []int {
	names := make([]string, 0, len(keys))
	byName := make(map[string]Key, len(keys))
	for _, k := range keys {
		if k.portion != mainPortion {
			names = append(names, k.String())
			byName[k.String()] = k
		}
	}
	order := []int{mainPortion}
	var far []int
	for _, name := range owner.Order(a.self.Name(), names) {
		k := byName[name]
		if c := a.candidates[k]; len(c) > 0 && c[0].DataCentre() == a.self.DataCentre() {
			order = append(order, k.portion)
		} else {
			far = append(far, k.portion)
		}
	}
	return append(order, far...)
}

// Next returns the portion of the workspace to ask next at now, and the address of the VM to ask. Asked has a bit for each portion that was
// asked already, and w knows which portions have no tokens. It returns false if no portion is left.
func (a *Asker) Next(workspace string, limit Limit, w *Wallet, asked uint, now time.Time) (portion int, address string, ok bool) {
	for _, portion := range a.order[ShardOf(workspace)] {
		if portion >= limit.Portions() || asked&(1<<uint(portion)) != 0 || !w.MayAsk(portion, now) {
			continue
		}
		key := KeyOf(workspace, portion)
		for _, c := range a.candidates[key] {
			if !now.Before(a.failed[c.Address()]) && !now.Before(a.notHolder[candidate{key, c.Address()}]) {
				return portion, c.Address(), true
			}
		}
	}
	return 0, "", false
}

// FirstCandidate returns the first candidate for a key.
func (a *Asker) FirstCandidate(k Key) (lead.Member, bool) {
	c := a.candidates[k]
	if len(c) == 0 {
		return lead.Member{}, false
	}
	return c[0], true
}

// Failed records that the VM at address did not reply. It returns false if that is known.
func (a *Asker) Failed(address string, now time.Time) bool {
	known := now.Before(a.failed[address])
	a.failed[address] = now.Add(failureDelay)
	return !known
}

// NotHolder records that the VM at address does not hold the key of a portion.
func (a *Asker) NotHolder(workspace string, portion int, address string, now time.Time) {
	a.notHolder[candidate{KeyOf(workspace, portion), address}] = now.Add(notHolderDelay)
}

// Sweep drops what does not matter any more.
func (a *Asker) Sweep(now time.Time) {
	for address, until := range a.failed {
		if !now.Before(until) {
			delete(a.failed, address)
		}
	}
	for c, until := range a.notHolder {
		if !now.Before(until) {
			delete(a.notHolder, c)
		}
	}
}
