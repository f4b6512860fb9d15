package quota

import "time"

const (
	// loanLife is how long a portion is lent at a time. The portions that a VM has borrowed when it fails can be used again after that.
	loanLife = 800 * time.Millisecond
	// LoanInterval is how often the holder of the main portion asks for the others.
	LoanInterval = 200 * time.Millisecond
	// loanMargin is how much longer the lender counts a portion as lent than the borrower: the clocks of two VMs may run at rates that differ
	// a little.
	loanMargin = 10 * time.Millisecond
	// never is longer than a process runs.
	never = 100 * 365 * 24 * time.Hour
)

// lent is a portion that this VM has lent.
type lent struct {
	to    string
	until time.Time
}

// Lend lends a key to the VM that holds the main portion of the shard. It returns for how long from now on, and false if this VM does not hold
// the key or has lent it to another VM. While a key is lent, this VM does not hold it; its next term begins when the loan ends.
func (h *Holder) Lend(k Key, to string, now time.Time) (time.Duration, bool) {
	_, end, ok := h.termOf(k, now)
	current := h.lent[k]
	if !ok || k.portion == mainPortion || current.to != to && now.Before(current.until) {
		return 0, false
	}
	if e := now.Add(loanLife); e.Before(end) {
		end = e
	}
	if h.lent == nil {
		h.lent = make(map[Key]lent)
	}
	until := end.Add(loanMargin)
	if until.Before(current.until) {
		until = current.until
	}
	h.lent[k] = lent{to: to, until: until}
	return end.Sub(now), true
}

// Borrower keeps the portions that this VM has borrowed as the holder of main portions. It is not safe for concurrent use.
type Borrower struct {
	loans map[int]*Loans
}

// Record records that a key was lent for life, in reply to a call that was sent at sent.
func (b *Borrower) Record(k Key, sent time.Time, life time.Duration, now time.Time) {
	if b.loans == nil {
		b.loans = make(map[int]*Loans)
	}
	all := b.loans[k.shard]
	if all == nil {
		all = &Loans{}
		b.loans[k.shard] = all
	}
	loan := &all[k.portion]
	if !now.Before(loan.Until) {
		loan.Since = now
	}
	if end := sent.Add(life); end.After(loan.Until) {
		loan.Until = end
	}
}

// Loans returns the loans of the portions of a shard.
func (b *Borrower) Loans(shard int) Loans {
	if all := b.loans[shard]; all != nil {
		return *all
	}
	return Loans{}
}

// AllPortions returns the loans of a VM that has held all portions of a shard since start and has no other VMs.
func AllPortions(start time.Time) Loans {
	var l Loans
	for portion := range l {
		if portion != mainPortion {
			l[portion] = Loan{Since: start, Until: start.Add(never)}
		}
	}
	return l
}

// Wanted returns the keys that the holder of the main portion of a shard borrows.
func Wanted(shard int) []Key {
	var keys []Key
	for portion := range maxPortions {
		if portion != mainPortion {
			keys = append(keys, Key{shard: shard, portion: portion})
		}
	}
	return keys
}

// MainKey returns the key of the main portion of a shard.
func MainKey(shard int) Key { return Key{shard: shard, portion: mainPortion} }

// Shards returns the number of shards.
func Shards() int { return shards }
