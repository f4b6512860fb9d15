package quota

import "time"

// Books holds the ledgers of the portions that a VM holds. It is not safe for concurrent use.
type Books struct {
	accounts map[account]*entry
}

// account names the ledger of a portion of a workspace.
type account struct {
	workspace string
	portion   int
}

// entry is a ledger, and the term of the holder for which it counts.
type entry struct {
	ledger  *Ledger
	term    time.Time
	granted int64
	lastVM  string
	lastAt  time.Time
}

// Ask is the need of tokens of one portion of a workspace.
type Ask struct {
	Workspace string
	Portion   int
	Need      int // tokens for operations that wait
	Spare     int // tokens for expected operations
	// Life is how long tokens for operations that wait must be usable, counted from when they are asked for.
	Life time.Duration
}

// Grant grants tokens to vm, for a portion that this VM has held since term, of a workspace with this limit. It grants those of
// the portions that were borrowed for this one too. A ledger of an earlier term is not used: another VM may have granted tokens since.
func (b *Books) Grant(a Ask, limit Limit, term time.Time, loans Loans, now time.Time, vm string) Grant {
	if b.accounts == nil {
		b.accounts = make(map[account]*entry)
	}
	key := account{a.Workspace, a.Portion}
	e := b.accounts[key]
	if e == nil || !e.term.Equal(term) {
		e = &entry{ledger: NewLedger(limit, a.Portion, term), term: term}
		b.accounts[key] = e
	}
	e.ledger.Set(loans, limit, now)
	g := e.ledger.Grant(now, a.Need, a.Spare, a.Life)
	for portion, loan := range loans {
		if now.Before(loan.Until) {
			g.Borrowed |= 1 << portion
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

// Account describes a portion that a VM holds.
type Account struct {
	Workspace string
	Portion   int
	Limit     Limit
	Used      float64 // used tokens that are not refilled yet
	Usable    float64 // granted tokens that may still be used
	Granted   int64   // since the VM has held the portion, or since the ledger was last dropped
	LastVM    string  // that got tokens last
	LastAt    time.Time
}

// Accounts returns all accounts, in no order.
func (b *Books) Accounts(now time.Time) []Account {
	var all []Account
	for key, e := range b.accounts {
		e.ledger.advance(now)
		all = append(all, Account{
			Workspace: key.workspace, Portion: key.portion, Limit: e.ledger.limit, Used: e.ledger.used, Usable: e.ledger.usable,
			Granted: e.granted, LastVM: e.lastVM, LastAt: e.lastAt,
		})
	}
	return all
}
