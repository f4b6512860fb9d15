package grant

import (
	"context"
	"time"

	"verbenagate/core/quota"
	"verbenagate/core/result"
	"verbenagate/io/link"
	"verbenagate/io/logs"
)

// outcome is what became of an operation's request for a token.
type outcome struct {
	kind outcomeKind
	end  time.Time // of the token
}

type outcomeKind uint8

const (
	granted outcomeKind = iota
	refused
	notHolding
	noReply
	failed // the call panicked
)

// waiter is an operation that waits for a token.
type waiter struct {
	workspace string
	portion   int
	limit     quota.Limit
	done      chan outcome
}

// line collects the requests to one VM. It is guarded by Desk.mu.
type line struct {
	pending   []*waiter
	scheduled bool
	lastCall  time.Time
	replies   quota.ReplyTime
}

// ask asks the VM at address for a token and waits for the outcome. If the address is empty, it is this VM without other VMs.
func (d *Desk) ask(address, workspace string, portion int, limit quota.Limit) outcome {
	w := &waiter{workspace: workspace, portion: portion, limit: limit, done: make(chan outcome, 1)}
	now := d.clock()
	d.mu.Lock()
	l := d.lines[address]
	if l == nil {
		l = &line{}
		d.lines[address] = l
	}
	l.pending = append(l.pending, w)
	scheduled := l.scheduled
	l.scheduled = true
	delay := batchDelay - now.Sub(l.lastCall)
	d.mu.Unlock()
	if !scheduled {
		if address == d.self.Address() {
			delay = 0
		}
		if delay > 0 {
			time.AfterFunc(delay, func() { d.flush(address, l) })
		} else {
			d.flush(address, l)
		}
	}
	return <-w.done
}

// flush sends the pending requests to the VM at address and passes on the outcomes.
func (d *Desk) flush(address string, l *line) {
	sent := d.clock()
	d.mu.Lock()
	pending := l.pending
	l.pending, l.scheduled, l.lastCall = nil, false, sent
	life := l.replies.Life()
	d.mu.Unlock()
	defer func() {
		if p := recover(); p != nil {
			logs.Panic(d.log, "call for tokens", p)
			abandon(pending)
		}
	}()
	q, groups := d.newCall(pending, life, sent)
	if address == d.self.Address() {
		d.settle(address, groups, d.grant(q), sent)
		return
	}
	d.asked.Inc(1)
	var r reply
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	_, err := d.clients.Call(ctx, address, link.Tokens, q, &r, link.Options{Timeout: callTimeout, Ping: link.SlowPing})
	if err == nil && len(r.Answers) != len(groups) {
		err = result.New(result.AnswerLost, "the VM answered %d of %d requests for tokens", len(r.Answers), len(groups))
	}
	if err != nil {
		d.markFailed(address, err)
		for _, w := range pending {
			w.done <- outcome{kind: noReply}
		}
		return
	}
	d.mu.Lock()
	l.replies.Record(d.clock().Sub(sent))
	d.mu.Unlock()
	d.settle(address, groups, r, sent)
}

// newCall returns the call for the pending requests, and the requests by ask.
func (d *Desk) newCall(pending []*waiter, life time.Duration, now time.Time) (call, [][]*waiter) {
	q := call{VM: d.self.Name()}
	var groups [][]*waiter
	type portionOf struct {
		workspace string
		portion   int
	}
	index := make(map[portionOf]int, len(pending))
	for _, w := range pending {
		key := portionOf{w.workspace, w.portion}
		i, ok := index[key]
		if !ok {
			i = len(groups)
			index[key] = i
			groups = append(groups, nil)
			q.Asks = append(q.Asks, ask{Workspace: w.workspace, Portion: w.portion, Life: life})
		}
		a := &q.Asks[i]
		a.Need++
		if v := w.limit.Version(); v >= a.Version {
			a.Version, a.Rate, a.Burst = v, w.limit.Rate(), w.limit.Burst()
		}
		groups[i] = append(groups[i], w)
	}
	for i := range q.Asks {
		q.Asks[i].Spare = d.wallets[lockShard(q.Asks[i].Workspace)].spare(q.Asks[i].Workspace, now)
	}
	return q, groups
}

// settle passes the answers to a call that was sent at sent on to the operations that wait.
func (d *Desk) settle(address string, groups [][]*waiter, r reply, sent time.Time) {
	now := d.clock()
	for i, group := range groups {
		a, first := r.Answers[i], group[0]
		if a.NotHolder {
			d.mu.Lock()
			d.asker.NotHolder(first.workspace, first.portion, address, now)
			d.mu.Unlock()
			finish(group, outcome{kind: notHolding})
			continue
		}
		n := min(max(a.Tokens, 0), len(group))
		d.wallets[lockShard(first.workspace)].record(first, a, sent, now)
		finish(group[:n], outcome{kind: granted, end: sent.Add(a.Life)})
		finish(group[n:], outcome{kind: refused})
	}
}

func finish(group []*waiter, o outcome) {
	for _, w := range group {
		w.done <- o
	}
}

// abandon ends the wait of the operations that have no outcome yet, after a panic.
func abandon(pending []*waiter) {
	for _, w := range pending {
		select {
		case w.done <- outcome{kind: failed}:
		default:
		}
	}
}

// spare returns how many spare tokens a workspace needs.
func (ws *walletShard) spare(workspace string, now time.Time) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.wallet(workspace).Spare(now)
}

// record records the spare tokens and the refusal in the answer to a call that was sent at sent. First is one of the requests.
func (ws *walletShard) record(first *waiter, a answer, sent, now time.Time) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.wallet(first.workspace)
	w.Add(min(a.Spare, maxTokens), sent.Add(a.SpareLife))
	w.RecordRefusal(first.portion, quota.Grant{Retry: a.Retry, Borrowed: a.Borrowed}, now)
}
