package quota

import (
	"maps"
	"slices"
	"time"

	"verbenagate/core/lead"
)

// notHolderDelay is how long a VM is not asked for a key that it does not hold.
const notHolderDelay = 300 * time.Millisecond

// Asker decides which VM is asked for tokens. It is not safe for concurrent use.
type Asker struct {
	self       lead.Member
	live       []identity
	candidates map[Key][]lead.Member
	failed     map[string]bool // by address: VMs that did not reply, until they are found to answer
	notHolder  map[candidate]time.Time
}

type candidate struct {
	key     Key
	address string
}

// NewAsker returns the asker of the VM self.
func NewAsker(self lead.Member) *Asker {
	return &Asker{
		self: self, candidates: make(map[Key][]lead.Member), failed: make(map[string]bool),
		notHolder: make(map[candidate]time.Time),
	}
}

// SetMembers sets the live VMs. It returns the keys of which this VM is the first candidate.
func (a *Asker) SetMembers(live []lead.Member) []Key {
	if !a.sameMembers(live) {
		a.live = a.live[:0]
		for _, m := range live {
			a.live = append(a.live, identityOf(m))
		}
		for _, k := range Keys() {
			a.candidates[k] = Candidates(live, k)
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
		if a.live[i] != identityOf(m) {
			return false
		}
	}
	return true
}

// identity is what the candidates for keys depend on.
type identity struct {
	name, address string
	cores         float64
}

func identityOf(m lead.Member) identity {
	return identity{name: m.Name(), address: m.Address(), cores: m.Cores()}
}

// Next returns the portion of the workspace to ask next at now, and the address of the VM to ask. Asked has a bit for each portion that was
// asked already, and w knows which portions have no tokens. It returns false if no portion is left.
func (a *Asker) Next(workspace string, limit Limit, w *Wallet, asked uint, now time.Time) (portion int, address string, ok bool) {
	for portion := range limit.Portions() {
		if asked&(1<<uint(portion)) != 0 || !w.MayAsk(portion, now) {
			continue
		}
		key := KeyOf(workspace, portion)
		for _, c := range a.candidates[key] {
			if !a.failed[c.Address()] && !now.Before(a.notHolder[candidate{key, c.Address()}]) {
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

// Failed records that the VM at address did not reply. It is not asked for tokens until Recovered is called, so that operations do not wait
// for it in vain. Failed returns false if that is known.
func (a *Asker) Failed(address string) bool {
	known := a.failed[address]
	a.failed[address] = true
	return !known
}

// Recovered records that the VM at address answers.
func (a *Asker) Recovered(address string) { delete(a.failed, address) }

// FailedVMs returns the addresses of the VMs that did not reply, without those that are not candidates any more.
func (a *Asker) FailedVMs() []string {
	if len(a.failed) == 0 {
		return nil
	}
	known := make(map[string]bool)
	for _, c := range a.candidates {
		for _, m := range c {
			known[m.Address()] = true
		}
	}
	maps.DeleteFunc(a.failed, func(address string, _ bool) bool { return !known[address] })
	return slices.Sorted(maps.Keys(a.failed))
}

// NotHolder records that the VM at address does not hold the key of a portion.
func (a *Asker) NotHolder(workspace string, portion int, address string, now time.Time) {
	a.notHolder[candidate{KeyOf(workspace, portion), address}] = now.Add(notHolderDelay)
}

// Sweep drops what does not matter any more.
func (a *Asker) Sweep(now time.Time) {
	for c, until := range a.notHolder {
		if !now.Before(until) {
			delete(a.notHolder, c)
		}
	}
}
