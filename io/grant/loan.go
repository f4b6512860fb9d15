package grant

import (
	"context"
	"time"

	"verbenagate/core/quota"
	"verbenagate/io/link"
	"verbenagate/io/logs"
)

// borrow asks for the other portions of the shards whose main portion this VM holds.
func (d *Desk) borrow() {
	if d.self.Address() == "" || !d.Limited() {
		return
	}
	for address, keys := range d.wantedLoans(d.clock()) {
		if address == d.self.Address() {
			d.borrowFrom(address, keys)
			continue
		}
		d.background.Go(func() {
			defer logs.RecoverPanic(d.log, "loan of portions")
			d.borrowFrom(address, keys)
		})
	}
}

// wantedLoans returns the keys to borrow, by the address of their holder.
func (d *Desk) wantedLoans(now time.Time) map[string][]quota.Key {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.SetLease(d.lease())
	wanted := make(map[string][]quota.Key)
	for shard := range quota.Shards() {
		if _, ok := d.holder.Term(quota.MainKey(shard), now); !ok {
			continue
		}
		for _, k := range quota.Wanted(shard) {
			if m, ok := d.asker.FirstCandidate(k); ok {
				wanted[m.Address()] = append(wanted[m.Address()], k)
			}
		}
	}
	return wanted
}

// borrowFrom borrows keys from the VM at address.
func (d *Desk) borrowFrom(address string, keys []quota.Key) {
	q := loanCall{VM: d.self.Name()}
	for _, k := range keys {
		q.Keys = append(q.Keys, key{Shard: k.Shard(), Portion: k.Portion()})
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
	for i, life := range r.Lives[:min(len(r.Lives), len(keys))] {
		if life > 0 {
			d.borrower.Record(keys[i], sent, life, now)
		}
	}
}

// lend lends keys that this VM holds.
func (d *Desk) lend(q loanCall) loanReply {
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.SetLease(d.lease())
	var r loanReply
	for _, k := range q.Keys {
		life, _ := d.holder.Lend(quota.NewKey(k.Shard, k.Portion), q.VM, now)
		r.Lives = append(r.Lives, life)
	}
	return r
}
