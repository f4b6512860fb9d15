// Package relay lets the VMs of a data centre share their calls to the platform's store. A few VMs, the agents, renew the leases
// and follow the tables on behalf of all. If an agent does not answer or cannot reach the store, a VM asks the next agent, and
// finally calls the store itself. The rows that an agent returns are only as recent as its last call to the store, so they must
// not be used where the newest state is required. Leases are safe: they are granted by conditional writes to the store,
// whichever VM makes the call.
package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/port"
	"verbenagate/io/logs"
)

const (
	// renewTimeout is the time limit for a renewal by an agent, which batches the renewals of several VMs into one write.
	renewTimeout = time.Second
	// listTimeout is the time limit for a list by an agent.
	listTimeout = 2 * time.Second
	// changesGrace is added to the requested wait of a call for changes to get the time limit for the agent's reply.
	changesGrace = 2 * time.Second
	// failedAgentPause is how long an agent is not called after a failure.
	failedAgentPause = 3 * time.Second
	// agentsWaitTimeout is how long List waits after the start for SetAgents to name the agents. VMs that start together would
	// otherwise each follow the tables in the store themselves while all servers register.
	agentsWaitTimeout = 1200 * time.Millisecond
	readHeaderTimeout = 2 * time.Second
)

// Granter renews leases in the store for this VM and for others.
type Granter interface {
	// Grant renews the lease of a VM, or gives it up if leave is set. It returns port.ErrConflict if the VM has not seen the
	// newest epoch.
	Grant(ctx context.Context, m lead.Member, leave bool) error
}

// Relay makes the shared calls of one VM, and serves the calls of other VMs if this VM is an agent. It is safe for concurrent
// use.
type Relay struct {
	self  string
	store port.RowReader
	hub   *hub
	clock func() time.Time
	log   logs.Logger
	ended chan struct{} // closed when the relay has closed its connections

	mu            sync.Mutex
	agents        []lead.Member
	failedUntil   map[string]time.Time
	clients       map[string]*client // by address
	granter       Granter
	server        *http.Server
	closed        bool
	serving       sync.WaitGroup     // connections of other VMs, and the goroutine that accepts them
	endAgentsWait context.CancelFunc // ends agentsWait
	agentsWait    context.Context
}

// New returns the relay of the VM self. Until SetAgents names other VMs, it calls the store itself. It closes its connections
// when ctx ends.
func New(ctx context.Context, self string, store port.RowReader, clock func() time.Time, log logs.Logger) *Relay {
	r := &Relay{
		self: self, store: store, hub: newHub(ctx, store, clock), clock: clock, log: log,
		failedUntil: make(map[string]time.Time), clients: make(map[string]*client), ended: make(chan struct{}),
	}
	context.AfterFunc(ctx, func() {
		defer close(r.ended)
		r.close()
	})
	r.agentsWait, r.endAgentsWait = context.WithTimeout(ctx, agentsWaitTimeout)
	return r
}

// Serve serves the calls of other VMs on l until the relay ends. It does not block.
func (r *Relay) Serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+relayPath, r.serveConnection)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	r.mu.Lock()
	r.server = srv
	r.mu.Unlock()
	r.serving.Go(func() { _ = srv.Serve(l) })
}

// Wait waits until the relay serves no calls and follows no tables any more. Call it when the context passed to New has ended.
func (r *Relay) Wait() {
	<-r.ended
	r.serving.Wait()
	r.hub.following.Wait()
}

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
	}
	r.agents = agents
	if slices.ContainsFunc(agents, func(m lead.Member) bool { return m.Name() != r.self }) {
		r.endAgentsWait()
	}
}

// Renew renews the lease of this VM through an agent, or gives it up if leave is set.
func (r *Relay) Renew(ctx context.Context, m lead.Member, leave bool) error {
	_, err := r.callFirstAvailable(ctx, func() (port.Snapshot, error) {
		r.mu.Lock()
		g := r.granter
		r.mu.Unlock()
		return port.Snapshot{}, g.Grant(ctx, m, leave)
	}, "", renewTimeout, call{Renew: newRenewCall(m, leave)})
	return err
}

// List implements port.RowReader. The rows may be older than the call if an agent follows the table.
func (r *Relay) List(ctx context.Context, table string) (port.Snapshot, error) {
	<-r.agentsWait.Done()
	return r.callFirstAvailable(ctx, func() (port.Snapshot, error) {
		return r.tableReader().List(ctx, table)
	}, table, listTimeout, call{List: &listCall{Table: table}})
}

// ListRecent returns the rows of a table without following it. They may be up to maxRecentAge old.
func (r *Relay) ListRecent(ctx context.Context, table string) (port.Snapshot, error) {
	return r.callFirstAvailable(ctx, func() (port.Snapshot, error) {
		return r.hub.ListRecent(ctx, table)
	}, table, listTimeout, call{List: &listCall{Table: table, Recent: true}})
}

// Changes implements port.RowReader.
func (r *Relay) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (port.Snapshot, error) {
	return r.callFirstAvailable(ctx, func() (port.Snapshot, error) {
		return r.tableReader().Changes(ctx, table, after, wait)
	}, table, wait+changesGrace, call{Changes: &changesCall{Table: table, After: after, Wait: wait}})
}

// Ping asks the VM at address for a reply and returns an error if none arrives within timeout.
func (r *Relay) Ping(ctx context.Context, address string, timeout time.Duration) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := r.connection(timeoutCtx, address)
	if err != nil {
		return err
	}
	_, err = c.do(ctx, timeout, call{Ping: true})
	return err
}

// tableReader returns what this VM reads tables from when it makes a call itself: the hub if the VM is an agent, else the store.
func (r *Relay) tableReader() port.RowReader {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.agents {
		if a.Name() == r.self {
			return r.hub
		}
	}
	return r.store
}

// callFirstAvailable sends the call q to the agents in order until one of them can carry it out. It calls local to carry the call
// out on this VM: when the VM is itself the next agent, or when no agent could and local has not been tried.
func (r *Relay) callFirstAvailable(ctx context.Context, local func() (port.Snapshot, error), table string,
	timeout time.Duration, q call,
) (port.Snapshot, error) {
	triedLocal := false
	var err error
	for _, a := range r.availableAgents() {
		var s port.Snapshot
		if a.Name() == r.self {
			triedLocal = true
			s, err = local()
		} else {
			s, err = r.callAgent(ctx, a, table, timeout, q)
		}
		if isStoreOutcome(err) || ctx.Err() != nil {
			return s, err
		}
	}
	if triedLocal {
		return port.Snapshot{}, err
	}
	return local()
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

// callAgent sends the call q to the agent a. A failure of the agent, but not an answer of the store, marks the agent as failed.
func (r *Relay) callAgent(ctx context.Context, a lead.Member, table string, timeout time.Duration, q call,
) (port.Snapshot, error) {
	c, err := r.connection(ctx, a.Address())
	if err == nil {
		var answer reply
		answer, err = c.do(ctx, timeout, q)
		if err == nil {
			var s port.Snapshot
			if s, err = answer.snapshot(table); isStoreOutcome(err) {
				return s, err
			}
		}
	}
	if ctx.Err() == nil {
		r.markFailed(a.Name(), err)
	}
	return port.Snapshot{}, err
}

// connection returns the open connection to the VM at address, or opens one.
func (r *Relay) connection(ctx context.Context, address string) (*client, error) {
	r.mu.Lock()
	c, ok := r.clients[address]
	r.mu.Unlock()
	if ok && c.closeError() == nil {
		return c, nil
	}
	c, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if other, ok := r.clients[address]; ok && other.closeError() == nil {
		go c.close(net.ErrClosed) // Another call has opened a connection in the meantime.
		return other, nil
	}
	r.clients[address] = c
	return c, nil
}

// markFailed records that an agent could not carry out a call, and logs the failure unless the agent is already marked.
func (r *Relay) markFailed(agent string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if until, failed := r.failedUntil[agent]; !failed || now.After(until) {
		r.log.Event(event.AgentFailed, zap.String("agent", agent), zap.Error(err))
	}
	r.failedUntil[agent] = now.Add(failedAgentPause)
}

// State is the state of the relay in a diagnostic dump: the names of the agents in the order of calls, those of them that are
// not called after a failure, and the addresses of the open connections.
type State struct {
	Agents      []string `json:"agents"`
	Failed      []string `json:"failed"`
	Connections []string `json:"connections"`
}

// State returns a copy of the state.
func (r *Relay) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	var s State
	for _, a := range r.agents {
		s.Agents = append(s.Agents, a.Name())
		if until, failed := r.failedUntil[a.Name()]; failed && r.clock().Before(until) {
			s.Failed = append(s.Failed, a.Name())
		}
	}
	for address, c := range r.clients {
		if c.closeError() == nil {
			s.Connections = append(s.Connections, address)
		}
	}
	slices.Sort(s.Connections)
	return s
}

// close closes all connections and the server.
func (r *Relay) close() {
	r.mu.Lock()
	clients, srv := r.clients, r.server
	r.clients = make(map[string]*client)
	r.closed = true
	r.mu.Unlock()
	for _, c := range clients {
		c.close(net.ErrClosed)
	}
	if srv != nil {
		_ = srv.Close()
	}
}

// startServing registers a connection of another VM. It returns false if the relay is closed.
func (r *Relay) startServing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.serving.Add(1)
	}
	return !r.closed
}

// serveConnection carries out the calls on a connection of another VM concurrently, until it fails.
func (r *Relay) serveConnection(w http.ResponseWriter, req *http.Request) {
	if !r.startServing() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.serving.Done()
	defer logs.RecoverPanic(r.log, "connection of another VM")
	ws, err := websocket.Accept(w, req, nil)
	if err != nil {
		return // Accept has answered the request.
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(r.hub.ctx)
	defer cancel()
	defer func() { _ = ws.CloseNow() }()
	for {
		_, data, err := ws.Read(ctx)
		if err != nil {
			return
		}
		var q call
		if err := decMode.Unmarshal(data, &q); err != nil {
			r.log.Event(event.AgentFailed, zap.String("agent", r.self), zap.Error(err))
			return
		}
		calls.Go(func() {
			answered := false
			defer func() {
				if !answered {
					cancel() // The other VM would wait for the reply; closing the connection tells it that none comes.
				}
			}()
			defer logs.RecoverPanic(r.log, "call of another VM")
			data, err := cbor.Marshal(r.execute(ctx, q))
			if err == nil {
				err = ws.Write(ctx, websocket.MessageBinary, data)
			}
			answered = err == nil
		})
	}
}

// execute carries out a call of another VM and returns the reply.
func (r *Relay) execute(ctx context.Context, q call) reply {
	var s port.Snapshot
	err := errors.New("the call has no action")
	switch {
	case q.Renew != nil:
		r.mu.Lock()
		g := r.granter
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		err = g.Grant(ctx, q.Renew.member(), q.Renew.Leave)
	case q.List != nil && q.List.Recent:
		s, err = r.hub.ListRecent(ctx, q.List.Table)
	case q.List != nil:
		s, err = r.hub.List(ctx, q.List.Table)
	case q.Ping:
		err = nil
	case q.Changes != nil:
		s, err = r.hub.Changes(ctx, q.Changes.Table, q.Changes.After, q.Changes.Wait)
	}
	return newReply(q.ID, s, err)
}
