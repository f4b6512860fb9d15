// Package relay lets the VMs of a data centre share their calls of the platform's store. A few of them, the agents, renew the
// leases and follow the tables for all; a VM asks the next agent, and in the end the store itself, when one does not answer or
// cannot reach the store. What an agent tells is only as fresh as its last call, so nothing that needs the newest state goes
// through it: leases are granted by conditional writes of the store, whoever makes the call.
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
	// renewLimit is how long an agent may take for a renewal. It gathers those of several VMs and writes them once.
	renewLimit = time.Second
	// listLimit is how long an agent may take for a list.
	listLimit = 2 * time.Second
	// changesGrace is how much later than asked for an agent may answer that nothing has changed.
	changesGrace = 2 * time.Second
	// failurePause is how long an agent that failed is not asked again.
	failurePause = 3 * time.Second
	// firstAgents is how long reads of tables wait after the start for the names of the agents. VMs that start together would
	// otherwise follow the store one by one while all servers register.
	firstAgents = 1200 * time.Millisecond
	readHeader  = 2 * time.Second
)

// Granter obtains leases from the store for this VM and for others.
type Granter interface {
	// Grant has a VM's lease renewed, or given up if leave is set. It returns port.ErrConflict if the VM has not seen the newest epoch.
	Grant(ctx context.Context, m lead.Member, leave bool) error
}

// Relay is one VM's part in sharing calls. It is safe for concurrent use.
type Relay struct {
	self  string
	store port.RowReader
	hub   *hub
	clock func() time.Time
	log   logs.Logger

	mu      sync.Mutex
	agents  []lead.Member
	failed  map[string]time.Time
	clients map[string]*client // by address
	granter Granter
	server  *http.Server
	known   context.CancelFunc // ends the wait for the names of agents
	waiting context.Context
}

// New returns the relay of the VM self. Until SetAgents names others, it makes its own calls. Its connections end with ctx.
func New(ctx context.Context, self string, store port.RowReader, clock func() time.Time, log logs.Logger) *Relay {
	r := &Relay{
		self: self, store: store, hub: newHub(ctx, store, clock), clock: clock, log: log,
		failed: make(map[string]time.Time), clients: make(map[string]*client),
	}
	context.AfterFunc(ctx, r.close)
	r.waiting, r.known = context.WithTimeout(ctx, firstAgents)
	return r
}

// Serve takes calls of other VMs at l, until the relay ends.
func (r *Relay) Serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, r.accept)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: readHeader}
	r.mu.Lock()
	r.server = srv
	r.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
}

// SetGranter names what renews leases on this VM.
func (r *Relay) SetGranter(g Granter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.granter = g
}

// SetAgents names the agents of the data centre in the order in which they are asked.
func (r *Relay) SetAgents(agents []lead.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(agents) > 0 && (len(r.agents) == 0 || r.agents[0].Name() != agents[0].Name()) {
		r.log.Event(event.AgentChanged, zap.String("agent", agents[0].Name()), zap.String("address", agents[0].Address()))
	}
	r.agents = agents
	if slices.ContainsFunc(agents, func(m lead.Member) bool { return m.Name() != r.self }) {
		r.known()
	}
}

// Renew has the lease of this VM renewed, or given up if leave is set.
func (r *Relay) Renew(ctx context.Context, m lead.Member, leave bool) error {
	_, err := r.each(ctx, func() (port.Snapshot, error) {
		r.mu.Lock()
		g := r.granter
		r.mu.Unlock()
		return port.Snapshot{}, g.Grant(ctx, m, leave)
	}, "", renewLimit, call{Renew: newRenewCall(m, leave)})
	return err
}

// List implements port.RowReader. The rows may be those of a moment ago.
func (r *Relay) List(ctx context.Context, table string) (port.Snapshot, error) {
	<-r.waiting.Done()
	return r.each(ctx, func() (port.Snapshot, error) {
		return r.feed().List(ctx, table)
	}, table, listLimit, call{List: &listCall{Table: table}})
}

// Recent returns the rows of a table that is not followed; they may be those of a moment ago.
func (r *Relay) Recent(ctx context.Context, table string) (port.Snapshot, error) {
	return r.each(ctx, func() (port.Snapshot, error) {
		return r.hub.Recent(ctx, table)
	}, table, listLimit, call{List: &listCall{Table: table, Recent: true}})
}

// Changes implements port.RowReader.
func (r *Relay) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (port.Snapshot, error) {
	return r.each(ctx, func() (port.Snapshot, error) {
		return r.feed().Changes(ctx, table, after, wait)
	}, table, wait+changesGrace, call{Changes: &changesCall{Table: table, After: after, Wait: wait}})
}

// Ping asks the VM at address for a reply within limit.
func (r *Relay) Ping(ctx context.Context, address string, limit time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c, err := r.client(limited, address)
	if err != nil {
		return err
	}
	_, err = c.do(ctx, limit, call{Ping: true})
	return err
}

// feed returns what this VM reads tables from when no other agent does it: as an agent, what it follows for all.
func (r *Relay) feed() port.RowReader {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.agents {
		if a.Name() == r.self {
			return r.hub
		}
	}
	return r.store
}

// each has a call carried out by the first agent that can. Direct carries it out on this VM.
func (r *Relay) each(ctx context.Context, direct func() (port.Snapshot, error), table string, limit time.Duration, q call,
) (port.Snapshot, error) {
	tried := false
	var err error
	for _, a := range r.candidates() {
		var s port.Snapshot
		if a.Name() == r.self {
			tried = true
			s, err = direct()
		} else {
			s, err = r.ask(ctx, a, table, limit, q)
		}
		if final(err) || ctx.Err() != nil {
			return s, err
		}
	}
	if tried {
		return port.Snapshot{}, err
	}
	return direct()
}

// final reports whether the outcome of a call is the store's, so that no other agent need be asked.
func final(err error) bool {
	return err == nil || errors.Is(err, port.ErrConflict) || errors.Is(err, port.ErrHistoryGone)
}

// candidates returns the agents that have not failed lately.
func (r *Relay) candidates() []lead.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	var all []lead.Member
	for _, a := range r.agents {
		if until, failed := r.failed[a.Name()]; !failed || now.After(until) {
			all = append(all, a)
		}
	}
	return all
}

// ask has another VM carry out a call.
func (r *Relay) ask(ctx context.Context, a lead.Member, table string, limit time.Duration, q call) (port.Snapshot, error) {
	c, err := r.client(ctx, a.Address())
	if err == nil {
		var answer reply
		answer, err = c.do(ctx, limit, q)
		if err == nil {
			var s port.Snapshot
			if s, err = answer.snapshot(table); final(err) {
				return s, err
			}
		}
	}
	if ctx.Err() == nil {
		r.fail(a.Name(), err)
	}
	return port.Snapshot{}, err
}

// client returns the connection to an agent.
func (r *Relay) client(ctx context.Context, address string) (*client, error) {
	r.mu.Lock()
	c, ok := r.clients[address]
	r.mu.Unlock()
	if ok && c.closed() == nil {
		return c, nil
	}
	c, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if other, ok := r.clients[address]; ok && other.closed() == nil {
		go c.close(net.ErrClosed) // Another call has opened one meanwhile.
		return other, nil
	}
	r.clients[address] = c
	return c, nil
}

// fail notes that an agent could not carry out a call.
func (r *Relay) fail(agent string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if until, failed := r.failed[agent]; !failed || now.After(until) {
		r.log.Event(event.AgentFailed, zap.String("agent", agent), zap.Error(err))
	}
	r.failed[agent] = now.Add(failurePause)
}

// State describes the relay for a dump.
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
		if until, failed := r.failed[a.Name()]; failed && r.clock().Before(until) {
			s.Failed = append(s.Failed, a.Name())
		}
	}
	for address, c := range r.clients {
		if c.closed() == nil {
			s.Connections = append(s.Connections, address)
		}
	}
	slices.Sort(s.Connections)
	return s
}

// close ends all connections.
func (r *Relay) close() {
	r.mu.Lock()
	clients, srv := r.clients, r.server
	r.clients = make(map[string]*client)
	r.mu.Unlock()
	for _, c := range clients {
		c.close(net.ErrClosed)
	}
	if srv != nil {
		_ = srv.Close()
	}
}

// accept serves the connection of another VM.
func (r *Relay) accept(w http.ResponseWriter, req *http.Request) {
	ws, err := websocket.Accept(w, req, nil)
	if err != nil {
		return // Accept has answered the request.
	}
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
		go func() {
			data, err := cbor.Marshal(r.carryOut(ctx, q))
			if err == nil {
				err = ws.Write(ctx, websocket.MessageBinary, data)
			}
			if err != nil {
				cancel()
			}
		}()
	}
}

// carryOut makes a call of another VM.
func (r *Relay) carryOut(ctx context.Context, q call) reply {
	var s port.Snapshot
	err := errors.New("the call names no action")
	switch {
	case q.Renew != nil:
		r.mu.Lock()
		g := r.granter
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, renewLimit)
		defer cancel()
		err = g.Grant(ctx, q.Renew.member(), q.Renew.Leave)
	case q.List != nil && q.List.Recent:
		s, err = r.hub.Recent(ctx, q.List.Table)
	case q.List != nil:
		s, err = r.hub.List(ctx, q.List.Table)
	case q.Ping:
		err = nil
	case q.Changes != nil:
		s, err = r.hub.Changes(ctx, q.Changes.Table, q.Changes.After, q.Changes.Wait)
	}
	return newReply(q.ID, s, err)
}
