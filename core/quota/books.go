package quota

import "time"

// Books holds the ledgers of the slots that a VM holds. It is not safe for concurrent use.
type Books struct {
	accounts map[account]*entry
}

// account names the ledger of a slot of a workspace.
type account struct {
	workspace string
	slot      int
}

// entry is a ledger, and the term of the holder for which it counts.
type entry struct {
	ledger  *Ledger
	term    time.Time
	granted int64
	lastVM  string
	lastAt  time.Time
}

// Ask is the need of tokens of one slot of a workspace.
type Ask struct {
	Workspace string
	Slot      int
	Need      int // tokens for operations that wait
	Spare     int // tokens for expected operations
	// Life is how long tokens for operations that wait must be usable, counted from when they are asked for.
	Life time.Duration
}

// Grant grants tokens to vm, for a slot that this VM has held since term, of a workspace with this limit. The holder of the main slot
// grants those of the slots that it has borrowed too. A ledger of an earlier term is not used: another VM may have granted tokens since.
func (b *Books) Grant(a Ask, limit Limit, term time.Time, loans Loans, now time.Time, vm string) Grant {
	if b.accounts == nil {
		b.accounts = make(map[account]*entry)
	}
	key := account{a.Workspace, a.Slot}
	e := b.accounts[key]
	if e == nil || !e.term.Equal(term) {
		e = &entry{ledger: NewLedger(limit, a.Slot, term), term: term}
		b.accounts[key] = e
	}
	if a.Slot == mainSlot {
		e.ledger.SetLoans(loans, now)
	}
	e.ledger.SetLimit(limit, now)
	g := e.ledger.Grant(now, a.Need, a.Spare, a.Life)
	if a.Slot == mainSlot {
		for slot, loan := range loans {
			if now.Before(loan.Until) {
				g.Borrowed |= 1 << slot
			}
		}
	}
	if n := g.Tokens + g.Spare; n > 0 {
		e.granted += int64(n)
		e.lastVM, e.lastAt = vm, now
	}
	return g
}

// Sweep drops the ledgers that count nothing.
func (b *Books) Sweep(now time.Time) {
	for key, e := range b.accounts {
		if e.ledger.idle(now) {
			delete(b.accounts, key)
		}
	}
}

// Account describes a slot that a VM holds.
type Account struct {
	Workspace string
	Slot      int
	Limit     Limit
	Used      float64 // used tokens that are not refilled yet
	Usable    float64 // granted tokens that may still be used
	Granted   int64   // since the VM has held the slot, or since the ledger was last dropped
	LastVM    string  // that got tokens last
	LastAt    time.Time
}

// Accounts returns all accounts, in no order.
func (b *Books) Accounts(now time.Time) []Account {
	var all []Account
	for key, e := range b.accounts {
		e.ledger.advance(now)
		all = append(all, Account{
			Workspace: key.workspace, Slot: key.slot, Limit: e.ledger.limit, Used: e.ledger.used, Usable: e.ledger.usable,
			Granted: e.granted, LastVM: e.lastVM, LastAt: e.lastAt,
		})
	}
	return all
}
