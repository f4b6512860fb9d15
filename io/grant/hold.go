package grant

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/quota"
	"verbenagate/io/link"
	"verbenagate/io/logs"
	"verbenagate/io/metric"
)

// Names of the metrics of quotas.
const (
	Refused = "quota_refused_total"
	Calls   = "quota_calls_total"
)

// Catalog registers the metrics of quotas in r, and returns r.
func Catalog(r *metric.Registry) *metric.Registry {
	return r.Counter(Refused, "operations", "Operations refused for the quota of their workspace, by reason.", "reason").
		Counter(Calls, "calls", "Calls to other VMs for tokens of workspaces.")
}

const (
	// maxRefusalLogs is how many workspaces have a line of their own in the log of refusals of one sweepInterval.
	maxRefusalLogs = 8
	// maxDumpedLedgers bounds the ledgers in a state dump.
	maxDumpedLedgers = 200
)

// refusalLog sums up the refusals of a workspace since the last sweep.
type refusalLog struct {
	limit     quota.Limit
	overLimit int
	noHolder  int // no holder answered
}

func (r *refusalLog) add(limit quota.Limit, why reason) {
	r.limit = limit
	if why == reasonSilent {
		r.noHolder++
	} else {
		r.overLimit++
	}
}

// grant grants tokens for the portions that this VM holds.
func (d *Desk) grant(q call) reply {
	r := reply{Answers: make([]answer, 0, len(q.Asks))}
	config := d.config()
	for _, a := range q.Asks {
		limit := quota.NewLimit(a.Rate, a.Burst, a.Version)
		if w, ok := config.Workspace(a.Workspace); ok && w.Limited() && config.Version() >= a.Version {
			limit = quota.NewLimit(w.Rate(), w.Burst(), config.Version())
		}
		r.Answers = append(r.Answers, d.grantOne(a, limit, q.VM))
	}
	return r
}

// grantOne grants tokens for one portion of a workspace to a VM.
func (d *Desk) grantOne(a ask, limit quota.Limit, vm string) answer {
	s := &d.ledgers[lockShard(a.Workspace)]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := d.clock()
	term, loans, ok := d.term(quota.KeyOf(a.Workspace, a.Portion), now)
	if !ok {
		return answer{NotHolder: true}
	}
	return newAnswer(s.books.Grant(quota.Ask{
		Workspace: a.Workspace, Portion: a.Portion, Need: min(a.Need, maxTokens), Spare: min(a.Spare, maxTokens), Life: a.Life,
	}, limit, term, loans, now, vm))
}

// term returns since when this VM holds a key, and the loans of the shard. A VM without an address has all portions for itself.
func (d *Desk) term(k quota.Key, now time.Time) (time.Time, quota.Loans, bool) {
	if d.self.Address() == "" {
		return d.started, quota.AllPortions(d.started), true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.SetPresence(d.presence())
	term, ok := d.holder.Term(k, now)
	return term, d.borrower.Loans(k), ok
}

// holds reports whether this VM holds a key, lent or not.
func (d *Desk) holds(k quota.Key, now time.Time) bool {
	if d.self.Address() == "" {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.SetPresence(d.presence())
	return d.holder.Holds(k, now)
}

// Holds reports whether this VM may hold portions now, or once it knows its first configuration. It then needs a fresh list of VMs.
func (d *Desk) Holds() bool {
	if d.config().Version() != 0 && !d.Limited() {
		return false
	}
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.holder.Named(now)) > 0 || d.holder.Settling(now)
}

// sweep logs what has changed since the last sweep, and drops what is not used any more.
func (d *Desk) sweep() {
	now := d.clock()
	if d.Limited() {
		d.logTerms(now)
	}
	d.logRefusals()
	for i := range lockShards {
		ws := &d.wallets[i]
		ws.mu.Lock()
		for name, w := range ws.wallets {
			if w.Idle(now) {
				delete(ws.wallets, name)
			}
		}
		ws.mu.Unlock()
		s := &d.ledgers[i]
		s.mu.Lock()
		s.books.Sweep(now)
		s.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asker.Sweep(now)
	maps.DeleteFunc(d.lines, func(_ string, l *line) bool { return !l.scheduled && now.Sub(l.lastCall) > maxLineIdle })
}

// probeFailed checks whether VMs that did not reply answer again.
func (d *Desk) probeFailed() {
	d.mu.Lock()
	failed := d.asker.FailedVMs()
	d.mu.Unlock()
	for _, address := range failed {
		d.background.Go(func() { d.probe(address) })
	}
}

// probe checks whether the VM at address, which did not reply, answers again.
func (d *Desk) probe(address string) {
	defer logs.RecoverPanic(d.log, "probe of a holder")
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	var r reply
	q := call{VM: d.self.Name()}
	if _, err := d.clients.Call(ctx, address, link.Tokens, q, &r, link.Options{Timeout: callTimeout, Ping: link.SlowPing}); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asker.Recovered(address)
}

// logTerms logs the keys that this VM has begun or ceased to hold.
func (d *Desk) logTerms(now time.Time) {
	if d.self.Address() == "" {
		return
	}
	var began, ended []string
	for _, k := range quota.Keys() {
		holds := d.holds(k, now)
		if holds == d.terms[k] {
			continue
		}
		d.terms[k] = holds
		if holds {
			began = append(began, k.String())
		} else {
			ended = append(ended, k.String())
		}
	}
	if len(began)+len(ended) > 0 {
		d.log.Event(event.HolderChanged, zap.Strings("began", began), zap.Strings("ended", ended))
	}
}

func (d *Desk) logRefusals() {
	d.mu.Lock()
	refusals, dropped := d.refusals, d.dropped
	d.refusals, d.dropped = make(map[string]*refusalLog), 0
	d.mu.Unlock()
	for workspace, r := range refusals {
		d.log.Event(event.QuotaRefused, zap.String("workspace", workspace), zap.Float64("rate", r.limit.Rate()),
			zap.Float64("burst", r.limit.Burst()), zap.Uint64("config", r.limit.Version()), zap.Int("over_limit", r.overLimit),
			zap.Int("no_holder", r.noHolder))
	}
	if dropped > 0 {
		d.log.Event(event.QuotaRefused, zap.Int("others", dropped))
	}
}

// LedgerState describes a portion that this VM holds in a state dump.
type LedgerState struct {
	Workspace string        `json:"workspace"`
	Portion   int           `json:"portion"`
	Rate      float64       `json:"rate"`
	Burst     float64       `json:"burst"`
	Config    uint64        `json:"config"`
	Used      float64       `json:"used"`    // tokens that were used and are not refilled yet
	Usable    float64       `json:"usable"`  // tokens that were granted and may still be used
	Granted   int64         `json:"granted"` // since this VM has held the portion, or since the portion was last idle
	LastVM    string        `json:"last_vm"` // that got tokens last
	LastAge   time.Duration `json:"last_age"`
}

// State describes the quotas in a state dump.
type State struct {
	Holds   []string      `json:"holds"` // shard and portion
	Ledgers []LedgerState `json:"ledgers"`
}

// State returns the current state.
func (d *Desk) State() State {
	now := d.clock()
	var s State
	for _, k := range quota.Keys() {
		if d.holds(k, now) {
			s.Holds = append(s.Holds, k.String())
		}
	}
	for i := range lockShards {
		shard := &d.ledgers[i]
		shard.mu.Lock()
		for _, a := range shard.books.Accounts(now) {
			s.Ledgers = append(s.Ledgers, LedgerState{
				Workspace: a.Workspace, Portion: a.Portion, Rate: a.Limit.Rate(), Burst: a.Limit.Burst(), Config: a.Limit.Version(),
				Used: a.Used, Usable: a.Usable, Granted: a.Granted, LastVM: a.LastVM, LastAge: now.Sub(a.LastAt),
			})
		}
		shard.mu.Unlock()
	}
	slices.SortFunc(s.Ledgers, func(a, b LedgerState) int {
		return cmp.Or(cmp.Compare(b.Used+b.Usable, a.Used+a.Usable), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Portion, b.Portion))
	})
	s.Ledgers = s.Ledgers[:min(len(s.Ledgers), maxDumpedLedgers)]
	return s
}
