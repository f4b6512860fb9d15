package quota

import "time"

const (
	// loanLife is how long a portion is lent at a time. The portions that a VM has borrowed when it fails can be used again after that.
	loanLife = 800 * time.Millisecond
	// LoanInterval is how often the holder of the lowest portion that it can use asks for the others.
	LoanInterval = 200 * time.Millisecond
	// loanMargin is how much longer the lender counts a portion as lent than the borrower: the clocks of two VMs may run at rates that differ
	// a little.
	loanMargin = 10 * time.Millisecond
	// never is longer than any process runs.
	never = 100 * 365 * 24 * time.Hour
)

// lent is a portion that this VM has lent.
type lent struct {
	to    string
	until time.Time
}

// Lend lends a key to the VM that holds the key borrower, a lower portion of the same shard. It returns for how long from now on, and false
// if this VM does not hold the key or has lent it for another one. While a key is lent, this VM does not hold it; its next term begins when
// the loan ends.
func (h *Holder) Lend(k Key, vm string, borrower Key, now time.Time) (time.Duration, bool) {
	to := vm + " " + borrower.String()
	_, end, ok := h.termOf(k, now)
	current := h.lent[k]
	if !ok || borrower.shard != k.shard || borrower.portion >= k.portion || current.to != to && now.Before(current.until) {
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

// Borrowing returns the key of a shard for which this VM borrows: the lowest portion that it holds and has not lent. So the holder of the
// main portion gets all portions that it can reach, and while it fails the next one does.
func (h *Holder) Borrowing(shard int, now time.Time) (Key, bool) {
	for portion := range maxPortions {
		k := Key{shard: shard, portion: portion}
		if _, ok := h.Term(k, now); ok {
			return k, true
		}
	}
	return Key{}, false
}

// Borrower keeps the portions that this VM has borrowed. It is not safe for concurrent use.
type Borrower struct {
	loans map[Key]*Loans // by the key for which they were borrowed
}

// Record records that a key was lent to the holder of the key borrower for life, in reply to a call that was sent at sent.
func (b *Borrower) Record(borrower, k Key, sent time.Time, life time.Duration, now time.Time) {
	if b.loans == nil {
		b.loans = make(map[Key]*Loans)
	}
	all := b.loans[borrower]
	if all == nil {
		all = &Loans{}
		b.loans[borrower] = all
	}
	loan := &all[k.portion]
	if !now.Before(loan.Until) {
		loan.Since = now
	}
	if end := sent.Add(life); end.After(loan.Until) {
		loan.Until = end
	}
}

// Loans returns the loans that were made for a key.
func (b *Borrower) Loans(borrower Key) Loans {
	if all := b.loans[borrower]; all != nil {
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

// Wanted returns the keys that are borrowed for a key.
func Wanted(borrower Key) []Key {
	var keys []Key
	for portion := borrower.portion + 1; portion < maxPortions; portion++ {
		keys = append(keys, Key{shard: borrower.shard, portion: portion})
	}
	return keys
}

// MainKey returns the key of the main portion of a shard.
func MainKey(shard int) Key { return Key{shard: shard, portion: mainPortion} }

// Shards returns the number of shards.
func Shards() int { return shards }
