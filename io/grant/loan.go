package grant

import (
	"context"
	"time"

	"verbenagate/core/quota"
	"verbenagate/io/link"
	"verbenagate/io/logs"
)

// loan is a key to borrow, and the key for which it is borrowed.
type loan struct{ borrower, wanted quota.Key }

// borrow asks for the portions above those that this VM holds.
func (d *Desk) borrow() {
	if d.self.Address() == "" || !d.Limited() {
		return
	}
	for address, loans := range d.wantedLoans(d.clock()) {
		if address == d.self.Address() {
			d.borrowFrom(address, loans)
			continue
		}
		d.background.Go(func() {
			defer logs.RecoverPanic(d.log, "loan of portions")
			d.borrowFrom(address, loans)
		})
	}
}

// wantedLoans returns the loans to ask for, by the address of the holder.
func (d *Desk) wantedLoans(now time.Time) map[string][]loan {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.SetPresence(d.presence())
	wanted := make(map[string][]loan)
	for shard := range quota.Shards() {
		borrower, ok := d.holder.Borrowing(shard, now)
		if !ok {
			continue
		}
		for _, k := range quota.Wanted(borrower) {
			if m, ok := d.asker.FirstCandidate(k); ok {
				wanted[m.Address()] = append(wanted[m.Address()], loan{borrower, k})
			}
		}
	}
	return wanted
}

// borrowFrom borrows keys from the VM at address.
func (d *Desk) borrowFrom(address string, loans []loan) {
	q := loanCall{VM: d.self.Name()}
	for _, l := range loans {
		q.Keys = append(q.Keys, key{Shard: l.wanted.Shard(), Portion: l.wanted.Portion(), Borrower: l.borrower.Portion()})
	}
	sent := d.clock()
	var r loanReply
	if address == d.self.Address() {
		r = d.lend(q)
	} else {
		ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
		defer cancel()
		if _, err := d.clients.Call(ctx, address, link.Loans, q, &r, link.Options{Timeout: callTimeout, Ping: link.SlowPing}); err != nil {
			return // The loan ends, and the holder grants the tokens of the portions itself.
		}
	}
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, life := range r.Lives[:min(len(r.Lives), len(loans))] {
		if life > 0 {
			d.borrower.Record(loans[i].borrower, loans[i].wanted, sent, life, now)
		}
	}
}

// lend lends keys that this VM holds.
func (d *Desk) lend(q loanCall) loanReply {
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.SetPresence(d.presence())
	var r loanReply
	for _, k := range q.Keys {
		life, _ := d.holder.Lend(quota.NewKey(k.Shard, k.Portion), q.VM, quota.NewKey(k.Shard, k.Borrower), now)
		r.Lives = append(r.Lives, life)
	}
	return r
}
