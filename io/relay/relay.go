// Package relay lets the VMs of a data centre share their calls to the platform's store. A few VMs, the agents, renew the leases
// and follow the tables on behalf of all. If an agent does not answer or cannot reach the store, a VM asks the next agent, and
// finally calls the store itself. The rows that an agent returns are only as recent as its last call to the store, so they must
// not be used where the newest state is required. Leases are safe: they are granted by conditional writes to the store,
// whichever VM makes the call.
package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/eras"
	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/notice"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/io/link"
	"verbenagate/io/logs"
)

const (
	// listTimeout is the time limit for a list by an agent.
	listTimeout = 2 * time.Second
	// changesGrace is added to the requested wait of a call for changes to get the time limit for the agent's reply.
	changesGrace = 2 * time.Second
	// otherAgentWait bounds a call for changes at another agent than the first one. As long as such a call waits, two agents follow
	// the table in the store.
	otherAgentWait = 5 * time.Second
	// failedAgentPause is how long an agent is not called after a failure.
	failedAgentPause = 3 * time.Second
	// agentsWaitTimeout is how long List waits after the start for SetAgents to name the agents. VMs that start together would
	// otherwise each follow the tables in the store themselves while all servers register.
	agentsWaitTimeout = 1200 * time.Millisecond
)

// Granter renews leases in the store for this VM and for others.
type Granter interface {
	// Grant renews the lease of a VM, or gives it up if leave is set, and returns how long until the next renewal shares a
	// transaction with those of other VMs. It returns port.ErrConflict if the VM has not seen the newest epoch.
	Grant(ctx context.Context, m lead.Member, leave bool) (next time.Duration, err error)
	// ReadFleet returns the live VMs as of at most maxAge ago.
	ReadFleet(ctx context.Context, maxAge time.Duration) (lead.Fleet, error)
}

// Relay makes the shared calls of one VM, and serves the calls of other VMs if this VM is an agent. It is safe for concurrent
// use.
type Relay struct {
	self    string
	store   port.RowReader
	hub     *hub
	clients *link.Clients
	clock   func() time.Time
	log     logs.Logger

	mu            sync.Mutex
	agents        []lead.Member
	failedUntil   map[string]time.Time
	granter       Granter
	eras          port.Eras          // nil if the store has none
	endAgentsWait context.CancelFunc // ends agentsWait
	agentsWait    context.Context
	fleet         lead.Fleet                       // the last one received from an agent
	calls         map[string]map[*pendingCall]bool // by agent, this VM included
	doubted       map[string]bool                  // agents whose doubt has not led to a direct read yet
}

// pendingCall is a call that waits for the reply of an agent, or for changes on this VM.
type pendingCall struct {
	cancel  context.CancelFunc
	waits   bool // for changes of a table
	urgent  bool // the table has an urgent row
	direct  bool // of the store, not of the hub, which proves that no change was missed
	moved   bool // canceled since another agent has become the first one; guarded by Relay.mu
	inDoubt bool // canceled since the agent is in doubt; guarded by Relay.mu
}

// New returns the relay of the VM self. Until SetAgents names other VMs, it calls the store itself. Tables says how the VM follows
// tables on behalf of others. It follows none any more when ctx ends.
func New(ctx context.Context, self string, store port.RowReader, tables map[string]Table, clients *link.Clients,
	clock func() time.Time, log logs.Logger,
) *Relay {
	r := &Relay{
		self: self, store: store, hub: newHub(ctx, store, tables, clock), clients: clients, clock: clock, log: log,
		failedUntil: make(map[string]time.Time), calls: make(map[string]map[*pendingCall]bool), doubted: make(map[string]bool),
	}
	r.agentsWait, r.endAgentsWait = context.WithTimeout(ctx, agentsWaitTimeout)
	return r
}

// Register makes the server s carry out the calls of other VMs.
func (r *Relay) Register(s *link.Server) {
	s.Handle(link.Renew, func(ctx context.Context, _ *link.Inbound, c link.Call) (any, error) {
		var q renewCall
		if err := c.Decode(&q); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, notice.RenewTimeout)
		defer cancel()
		next, err := r.granterOf().Grant(ctx, q.member(), q.Leave)
		answer := newReply(port.Snapshot{Version: eras.At(r.newestEra(), 0)}, err)
		answer.NextRenewal = next
		return answer, nil
	})
	s.Handle(link.List, func(ctx context.Context, _ *link.Inbound, c link.Call) (any, error) {
		var q listCall
		if err := c.Decode(&q); err != nil {
			return nil, err
		}
		return r.hub.EncodedList(ctx, q.Table)
	})
	s.Handle(link.Fleet, func(ctx context.Context, _ *link.Inbound, c link.Call) (any, error) {
		var q fleetCall
		if err := c.Decode(&q); err != nil {
			return nil, err
		}
		f, err := r.granterOf().ReadFleet(ctx, q.MaxAge)
		return newFleetReply(f, err, q.Known, r.newestEra()), nil
	})
	s.Handle(link.Changes, func(ctx context.Context, _ *link.Inbound, c link.Call) (any, error) {
		var q changesCall
		if err := c.Decode(&q); err != nil {
			return nil, err
		}
		wait := q.Wait
		r.observe(q.After)
		if !r.isFirstAgent(r.self) {
			wait = min(wait, otherAgentWait)
		}
		return newReply(r.localChanges(ctx, r.hub, q.Table, q.After, wait)), nil
	})
}

// SetEras sets what is told of the positions in the replies of other VMs. It must be called before the first call.
func (r *Relay) SetEras(e port.Eras) { r.eras = e }

// observe reports whether a reply of another VM with this position may be used: not if its era has ended. A reply without a position says
// nothing of an era.
func (r *Relay) observe(p eras.Position) bool { return p == 0 || r.eras == nil || r.eras.Observe(p) }

func (r *Relay) newestEra() uint64 {
	if r.eras == nil {
		return 0
	}
	return r.eras.Era()
}

// Wait waits until the relay follows no tables any more. Call it when the context passed to New has ended and no call of another
// VM is served.
func (r *Relay) Wait() { r.hub.following.Wait() }

// SetGranter sets the Granter that renews leases on this VM. It must be called before the first renewal.
func (r *Relay) SetGranter(g Granter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.granter = g
}

// SetAgents sets the agents of the data centre, in the order in which they are called.
func (r *Relay) SetAgents(agents []lead.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(agents) > 0 && (len(r.agents) == 0 || r.agents[0].Name() != agents[0].Name()) {
		r.log.Event(event.AgentChanged, zap.String("agent", agents[0].Name()), zap.String("address", agents[0].Address()))
		for name, calls := range r.calls {
			for c := range calls {
				if c.waits && (name != agents[0].Name() || c.direct) {
					c.moved = true
					c.cancel()
				}
			}
		}
	}
	r.agents = agents
	if len(agents) > 0 {
		r.endAgentsWait()
	}
}

func (r *Relay) granterOf() Granter {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.granter
}

// Renew renews the lease of this VM through an agent, or gives it up if leave is set. It returns when the next renewal is due, 0 if
// that is unknown.
func (r *Relay) Renew(ctx context.Context, m lead.Member, leave bool) (next time.Duration, err error) {
	return callFirstAvailable(ctx, r, func() (time.Duration, error) {
		return r.granterOf().Grant(ctx, m, leave)
	}, func(a lead.Member) (time.Duration, error) {
		defer r.doubtAfter(notice.DoubtAfter, a.Name())()
		answer, err := r.call(ctx, a, agentCall{method: link.Renew, args: newRenewCall(m, leave), timeout: notice.RenewTimeout})
		if err == nil && !r.observe(answer.Version) {
			err = endedEraError(a, answer.Version)
		}
		if err == nil {
			_, err = answer.snapshot("")
		}
		return answer.NextRenewal, err
	})
}

// List implements port.RowReader. The rows may be older than the call if an agent follows the table.
func (r *Relay) List(ctx context.Context, table string) (port.Snapshot, error) {
	<-r.agentsWait.Done()
	return callFirstAvailable(ctx, r, func() (port.Snapshot, error) {
		return r.localReader().List(ctx, table)
	}, r.snapshotCall(ctx, agentCall{method: link.List, args: listCall{Table: table}, table: table, timeout: listTimeout}))
}

// ReadFleet returns the live VMs as of at most maxAge ago. Mostly the agent only confirms that nothing has changed.
func (r *Relay) ReadFleet(ctx context.Context, maxAge time.Duration) (lead.Fleet, error) {
	return callFirstAvailable(ctx, r, func() (lead.Fleet, error) {
		return r.granterOf().ReadFleet(ctx, maxAge)
	}, func(a lead.Member) (lead.Fleet, error) {
		r.mu.Lock()
		known := r.fleet
		r.mu.Unlock()
		ctx, end := r.startCall(ctx, a.Name(), &pendingCall{})
		defer end()
		var answer fleetReply
		_, err := r.clients.Call(ctx, a.Address(), link.Fleet, fleetCall{Known: known.Hash(), MaxAge: maxAge}, &answer,
			link.Options{Timeout: listTimeout, Ping: link.SlowPing})
		if err != nil {
			return lead.Fleet{}, err
		}
		if answer.Error == "" && r.eras != nil && !r.eras.Observe(eras.At(answer.Era, 0)) {
			return lead.Fleet{}, endedEraError(a, eras.At(answer.Era, 0))
		}
		f, err := answer.fleet(known)
		if err == nil {
			r.mu.Lock()
			r.fleet = f
			r.mu.Unlock()
		}
		return f, err
	})
}

// Changes implements port.RowReader.
func (r *Relay) Changes(ctx context.Context, table string, after eras.Position, wait time.Duration) (port.Snapshot, error) {
	return callFirstAvailable(ctx, r, func() (port.Snapshot, error) {
		return r.localChanges(ctx, r.localReader(), table, after, wait)
	}, func(a lead.Member) (port.Snapshot, error) {
		wait := wait
		if !r.isFirstAgent(a.Name()) {
			wait = min(wait, otherAgentWait)
		}
		urgent := r.hub.tables[table].UrgentKey != ""
		if urgent && r.takeDoubt(a.Name()) {
			return r.changesWithoutAgent(ctx, a, table, after, errInDoubt)
		}
		s, err := r.snapshotCall(ctx, agentCall{
			method: link.Changes, args: changesCall{Table: table, After: after, Wait: wait}, table: table, timeout: wait + changesGrace,
			waits: true, urgent: urgent,
		})(a)
		if urgent && !isStoreOutcome(err) && ctx.Err() == nil {
			return r.changesWithoutAgent(ctx, a, table, after, err)
		}
		return s, err
	})
}

// localChanges waits for changes on this VM. It returns none if another VM becomes the first agent meanwhile.
func (r *Relay) localChanges(ctx context.Context, rows port.RowReader, table string, after eras.Position, wait time.Duration,
) (port.Snapshot, error) {
	c := &pendingCall{waits: true, direct: rows == r.store}
	ctx, end := r.startCall(ctx, r.self, c)
	defer end()
	s, err := rows.Changes(ctx, table, after, wait)
	if err != nil && r.hasMoved(c) {
		return port.Snapshot{}, nil
	}
	return s, err
}

func (r *Relay) isFirstAgent(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.agents) > 0 && r.agents[0].Name() == vm
}

// agentCall is a call to an agent.
type agentCall struct {
	method  link.Method
	args    any
	table   string // whose rows the call returns, if any
	timeout time.Duration
	waits   bool // for changes
	urgent  bool // see Table.UrgentKey
}

// UrgentRows returns the rows whose changes this VM must not miss, as it knows them, if it follows their tables for others.
func (r *Relay) UrgentRows() []port.Row { return r.hub.urgentRows() }

// RecheckUrgent makes this VM ask the store again for changes of the tables with an urgent row, since it has missed one.
func (r *Relay) RecheckUrgent() {
	r.log.Event(event.ChangeMissed)
	r.hub.recheckUrgent()
}

// localReader returns what this VM reads tables from when it makes a call itself: the hub if the VM is an agent, else the store.
func (r *Relay) localReader() port.RowReader {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.agents {
		if a.Name() == r.self {
			return r.hub
		}
	}
	return r.store
}

// callFirstAvailable makes a call at the agents in order until one of them can carry it out. It calls local to carry the call out
// on this VM: when the VM is itself the next agent, or when no agent could and local has not been tried.
func callFirstAvailable[T any](ctx context.Context, r *Relay, local func() (T, error), remote func(a lead.Member) (T, error),
) (T, error) {
	triedLocal := false
	var none T
	var err error
	for _, a := range r.availableAgents() {
		var v T
		if a.Name() == r.self {
			triedLocal = true
			v, err = local()
		} else if v, err = remote(a); !isStoreOutcome(err) && ctx.Err() == nil {
			r.markFailed(a.Name(), err)
		}
		if isStoreOutcome(err) || ctx.Err() != nil {
			return v, err
		}
	}
	if triedLocal {
		return none, err
	}
	return local()
}

// endedEraError returns the reason why the reply of an agent is dropped.
func endedEraError(a lead.Member, p eras.Position) error {
	return result.New(result.StoreUnavailable, "agent %s replied from an era of the store that has ended: %s", a.Name(), p)
}

// isStoreOutcome reports whether err is the outcome that the store gave, so that calling another agent is useless.
func isStoreOutcome(err error) bool {
	return err == nil || errors.Is(err, port.ErrConflict) || errors.Is(err, port.ErrHistoryGone)
}

// availableAgents returns the agents without a failure in the last failedAgentPause.
func (r *Relay) availableAgents() []lead.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	var all []lead.Member
	for _, a := range r.agents {
		if until, failed := r.failedUntil[a.Name()]; !failed || now.After(until) {
			all = append(all, a)
		}
	}
	return all
}

// snapshotCall returns the function that makes the call q at an agent.
func (r *Relay) snapshotCall(ctx context.Context, q agentCall) func(a lead.Member) (port.Snapshot, error) {
	return func(a lead.Member) (port.Snapshot, error) {
		answer, err := r.call(ctx, a, q)
		if err != nil {
			return port.Snapshot{}, err
		}
		if !r.observe(answer.Version) {
			return port.Snapshot{}, endedEraError(a, answer.Version)
		}
		return answer.snapshot(q.table)
	}
}

// call makes the call q at an agent. A call for changes that ends since another agent has become the first one returns no changes.
func (r *Relay) call(ctx context.Context, a lead.Member, q agentCall) (reply, error) {
	c := &pendingCall{waits: q.waits, urgent: q.urgent}
	ctx, end := r.startCall(ctx, a.Name(), c)
	defer end()
	var answer reply
	_, err := r.clients.Call(ctx, a.Address(), q.method, q.args, &answer, link.Options{Timeout: q.timeout, Ping: link.SlowPing})
	switch {
	case err != nil && r.hasMoved(c):
		return reply{Code: codeOK}, nil
	case err != nil && r.isInDoubt(c):
		return answer, errInDoubt
	}
	return answer, err
}

func (r *Relay) hasMoved(c *pendingCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.moved
}

// startCall registers a call that waits for the reply of an agent. The returned function must be called at its end.
func (r *Relay) startCall(ctx context.Context, agent string, c *pendingCall) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	c.cancel = cancel
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls[agent] == nil {
		r.calls[agent] = make(map[*pendingCall]bool)
	}
	r.calls[agent][c] = true
	return ctx, func() {
		cancel()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.calls[agent], c)
	}
}

// markFailed records that an agent could not carry out a call, and logs the failure unless the agent is already marked. The other
// calls that wait for the agent end, so that they turn to the next one: an agent that the store does not answer would let calls
// for changes wait for their whole time limit.
func (r *Relay) markFailed(agent string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.calls[agent] {
		c.cancel()
	}
	now := r.clock()
	if until, failed := r.failedUntil[agent]; !failed || now.After(until) {
		r.log.Event(event.AgentFailed, zap.String("agent", agent), zap.Error(err))
	}
	r.failedUntil[agent] = now.Add(failedAgentPause)
}

// State is the state of the relay in a diagnostic dump: the names of the agents in the order of calls, those of them that are
// not called after a failure, and the addresses of the VMs with an open connection.
type State struct {
	Agents      []string `json:"agents"`
	Failed      []string `json:"failed"`
	Connections []string `json:"connections"`
}

// State returns a copy of the state.
func (r *Relay) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := State{Connections: r.clients.Open()}
	for _, a := range r.agents {
		s.Agents = append(s.Agents, a.Name())
		if until, failed := r.failedUntil[a.Name()]; failed && r.clock().Before(until) {
			s.Failed = append(s.Failed, a.Name())
		}
	}
	return s
}
