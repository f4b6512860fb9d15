// Package grant limits the operations of workspaces over all VMs. It gets tokens for the operations of this VM's callers from the VMs
// that hold the portions of the workspaces, and grants tokens for the portions that this VM holds. The decisions are those of core/quota.
package grant

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/layout"
	"verbenagate/core/lead"
	"verbenagate/core/quota"
	"verbenagate/core/result"
	"verbenagate/io/every"
	"verbenagate/io/link"
	"verbenagate/io/logs"
	"verbenagate/io/metric"
)

const (
	// admitTimeout bounds the time in which an operation gets a token or is refused, and maxWait the part of it in which the operation
	// waits for the refill of a portion that has no token left. callTimeout bounds the wait for the reply of one VM.
	admitTimeout = 250 * time.Millisecond
	maxWait      = 150 * time.Millisecond
	callTimeout  = 100 * time.Millisecond
	// batchDelay is the time between two calls to the same VM. Operations that arrive meanwhile share the next call.
	batchDelay = 5 * time.Millisecond
	// probeInterval is how often VMs that did not reply are asked whether they answer again.
	probeInterval = 400 * time.Millisecond
	// sweepInterval is how often unused state is dropped and refusals are logged.
	sweepInterval = time.Second
	// maxLineIdle is how long the state for calls to a VM is kept after the last one.
	maxLineIdle = time.Minute
	// maxTokens bounds the tokens of one answer.
	maxTokens = 1_000_000
)

// Presence returns the presence of this VM.
type Presence func() lead.Presence

// Config returns the configuration in force.
type Config func() layout.Config

// Desk admits the operations of this VM's callers, and grants tokens to all VMs for the portions that it holds. It is safe for concurrent
// use.
type Desk struct {
	ctx      context.Context
	started  time.Time
	self     lead.Member
	clients  *link.Clients
	presence Presence
	config   Config
	clock    func() time.Time
	log      logs.Logger
	refused  map[reason]metric.Counter
	asked    metric.Counter

	wallets [lockShards]walletShard
	ledgers [lockShards]ledgerShard

	mu       sync.Mutex
	holder   quota.Holder
	borrower quota.Borrower
	asker    *quota.Asker
	lines    map[string]*line       // by address
	terms    map[quota.Key]bool     // keys that this VM held at the last sweep
	refusals map[string]*refusalLog // by workspace, since the last sweep
	dropped  int                    // refusals of workspaces that refusals has no room for

	background sync.WaitGroup
}

const lockShards = 16

// walletShard holds the wallets of some workspaces.
type walletShard struct {
	mu      sync.Mutex
	wallets map[string]*quota.Wallet
}

// ledgerShard holds the ledgers of some workspaces.
type ledgerShard struct {
	mu    sync.Mutex
	books quota.Books
}

// reason says why an operation was refused.
type reason string

// The reasons.
const (
	reasonLimit  reason = "limit"
	reasonSilent reason = "no_holder"
)

// New returns the desk of the VM self. Without an address, a VM grants all tokens to itself. The desk ends with ctx.
func New(ctx context.Context, self lead.Member, clients *link.Clients, presence Presence, config Config, metrics *metric.Set,
	clock func() time.Time, log logs.Logger,
) *Desk {
	d := &Desk{
		ctx: ctx, started: clock(), self: self, clients: clients, presence: presence, config: config, clock: clock, log: log,
		refused: map[reason]metric.Counter{
			reasonLimit:  metrics.Counter(Refused, string(reasonLimit)),
			reasonSilent: metrics.Counter(Refused, string(reasonSilent)),
		},
		asked: metrics.Counter(Calls),
		asker: quota.NewAsker(self), lines: make(map[string]*line), terms: make(map[quota.Key]bool),
		refusals: make(map[string]*refusalLog),
	}
	for i := range lockShards {
		d.wallets[i].wallets = make(map[string]*quota.Wallet)
	}
	d.background.Go(func() { every.Interval(ctx, sweepInterval, d.sweep) })
	d.background.Go(func() { every.Interval(ctx, quota.LoanInterval, d.borrow) })
	d.background.Go(func() { every.Interval(ctx, probeInterval, d.probeFailed) })
	return d
}

// Register makes the server s grant tokens to other VMs.
func (d *Desk) Register(s *link.Server) {
	s.Handle(link.Tokens, func(_ context.Context, _ *link.Inbound, c link.Call) (any, error) {
		var q call
		if err := c.Decode(&q); err != nil {
			return nil, err
		}
		return d.grant(q), nil
	})
	s.Handle(link.Loans, func(_ context.Context, _ *link.Inbound, c link.Call) (any, error) {
		var q loanCall
		if err := c.Decode(&q); err != nil {
			return nil, err
		}
		return d.lend(q), nil
	})
}

// Wait waits until the desk has ended. Call it when the context passed to New has ended.
func (d *Desk) Wait() { d.background.Wait() }

// Limited reports whether the configuration in force limits a workspace.
func (d *Desk) Limited() bool { return d.config().Limited() }

// SetMembers sets the live VMs as of asOf.
func (d *Desk) SetMembers(live []lead.Member, asOf time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.SetNamed(d.asker.SetMembers(live), asOf, d.clock())
}

// EraChanged records that the store has come back from a copy.
func (d *Desk) EraChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.Restored(d.clock())
}

// Admit implements entry.Quota.
func (d *Desk) Admit(w layout.Workspace, now, deadline time.Time) error {
	if deadline = minTime(deadline, now.Add(admitTimeout)); !now.Before(deadline) {
		return result.New(result.DeadlineTooClose, "no time is left to count the operation")
	}
	config := d.config()
	if current, ok := config.Workspace(w.Name()); ok {
		w = current // The limit must be that of the version that is sent along.
	}
	if !w.Limited() {
		return nil
	}
	limit := quota.NewLimit(w.Rate(), w.Burst(), config.Version())
	ws := &d.wallets[lockShard(w.Name())]
	if ws.take(w.Name(), now, true) {
		return nil
	}
	asked := uint(0)
	overLimit := false
	waitUntil := minTime(deadline, now.Add(maxWait))
	for now.Before(deadline) {
		portion, address, ok := d.nextPortion(ws, w.Name(), limit, asked, now)
		if !ok && d.waitForRefill(ws, w.Name(), limit, now, waitUntil) {
			asked, now = 0, d.clock()
			continue
		}
		if !ok {
			break
		}
		asked |= 1 << uint(portion)
		o := d.ask(address, w.Name(), portion, limit)
		now = d.clock()
		switch o.kind {
		case granted:
			if now.Before(o.end) {
				return nil // A token that has ended meanwhile may not be used: its holder has granted another one in its place.
			}
		case noReply:
			asked &^= 1 << uint(portion) // The next candidate for the portion may hold it.
		case notHolding:
			asked &^= 1 << uint(portion)
		case refused:
			overLimit = true
		}
		if ws.take(w.Name(), now, false) {
			return nil
		}
	}
	why := reasonSilent
	if overLimit || d.blocked(ws, w.Name(), limit, now) {
		why = reasonLimit
	}
	return d.refuse(w.Name(), limit, why)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (d *Desk) refuse(workspace string, limit quota.Limit, why reason) error {
	d.refused[why].Inc(1)
	d.mu.Lock()
	r := d.refusals[workspace]
	switch {
	case r == nil && len(d.refusals) < maxRefusalLogs:
		r = &refusalLog{}
		d.refusals[workspace] = r
		fallthrough
	case r != nil:
		r.add(limit, why)
	default:
		d.dropped++
	}
	d.mu.Unlock()
	if why == reasonSilent {
		return result.New(result.OverQuota, "no VM grants operations of workspace %s", workspace)
	}
	return result.New(result.OverQuota, "workspace %s has reached its limit of %g operations per second and %g at once", workspace,
		limit.Rate(), limit.Burst())
}

// nextPortion returns the portion to ask next and the address of the VM to ask. It returns false if no portion may have tokens.
func (d *Desk) nextPortion(ws *walletShard, workspace string, limit quota.Limit, asked uint, now time.Time) (int, string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.self.Address() == "" {
		return 0, "", asked == 0
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return d.asker.Next(workspace, limit, ws.wallet(workspace), asked, now)
}

// waitForRefill waits until a portion of the workspace may have tokens again. It returns false at once if that is not before until.
func (d *Desk) waitForRefill(ws *walletShard, workspace string, limit quota.Limit, now, until time.Time) bool {
	ws.mu.Lock()
	next := ws.wallet(workspace).NextAsk(limit.Portions())
	ws.mu.Unlock()
	if !next.After(now) || !next.Before(until) {
		return false
	}
	t := time.NewTimer(next.Sub(now))
	defer t.Stop()
	select {
	case <-d.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// blocked reports whether a portion of the workspace has refused tokens and is not to be asked yet.
func (d *Desk) blocked(ws *walletShard, workspace string, limit quota.Limit, now time.Time) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for portion := range limit.Portions() {
		if !ws.wallet(workspace).MayAsk(portion, now) {
			return true
		}
	}
	return false
}

// markFailed records that the VM at address did not reply.
func (d *Desk) markFailed(address string, err error) {
	d.mu.Lock()
	first := d.asker.Failed(address)
	d.mu.Unlock()
	if first {
		d.log.Event(event.HolderFailed, zap.String("address", address), zap.Error(err))
	}
}

func lockShard(workspace string) int {
	h := uint32(2166136261)
	for i := range len(workspace) {
		h = (h ^ uint32(workspace[i])) * 16777619
	}
	return int(h % lockShards)
}

// wallet returns the wallet of a workspace. The caller holds mu.
func (ws *walletShard) wallet(workspace string) *quota.Wallet {
	w := ws.wallets[workspace]
	if w == nil {
		w = &quota.Wallet{}
		ws.wallets[workspace] = w
	}
	return w
}

// take takes a spare token. With arrived, it counts an operation as asked for.
func (ws *walletShard) take(workspace string, now time.Time, arrived bool) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.wallet(workspace)
	if arrived {
		w.Arrived(now)
	}
	return w.Take(now)
}
