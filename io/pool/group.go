package pool

import (
	"math/rand/v2"
	"sync"
	"time"

	"verbenagate/core/admit"
	"verbenagate/core/exec"
	"verbenagate/core/fresh"
	"verbenagate/core/layout"
	"verbenagate/core/owner"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/route"
	"verbenagate/core/work"
	"verbenagate/io/logs"
	"verbenagate/io/watch"
)

const (
	// remoteCost is what a server of another data centre costs more, in units of work for each slot: bytes between data
	// centres are dear, and the way is longer.
	remoteCost = 0.5
	// primaryCost keeps reads that a replica could serve off the primary.
	primaryCost = 0.5
)

// Group is what this VM knows of one group of servers.
type Group struct {
	name   string
	vm     string
	home   string
	clock  func() time.Time
	dialer port.Dialer
	log    logs.Logger

	mu      sync.Mutex
	pools   map[string]*Pool
	members []layout.Server
	table   *route.Table
	history fresh.PositionHistory
	leader  string
	version uint64 // of the record that names the leader
	share   int
}

// Pool returns the pool of a server; false if the server is not known any more.
func (g *Group) Pool(id string) (*Pool, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.pools[id]
	return p, ok
}

// Members returns the servers of the group.
func (g *Group) Members() []layout.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]layout.Server(nil), g.members...)
}

// update takes in the servers of the group, how many connections each pool may have, how many VMs share the servers, and whether
// these are more than the servers accept connections.
func (g *Group) update(members []layout.Server, share, vms int, overcommitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	present := make(map[string]bool, len(members))
	same := len(members) == len(g.members)
	for i, s := range members {
		present[s.ID()] = true
		same = same && g.members[i] == s
		p, ok := g.pools[s.ID()]
		if ok && (p.server.Address() != s.Address() || p.server.StartMillis() != s.StartMillis()) {
			p.close()
			ok = false
		}
		if !ok {
			p = &Pool{server: s, dialer: g.dialer, clock: g.clock, log: g.log}
			g.pools[s.ID()] = p
		}
		p.setLimits(share, admit.MaxRunning(s.Slots(), vms), overcommitted)
	}
	for id, p := range g.pools {
		if !present[id] {
			p.close()
			delete(g.pools, id)
		}
	}
	g.share = share
	if !same {
		g.members = append([]layout.Server(nil), members...)
		g.rebuild()
	}
}

// rebuild makes a new routing table. Each VM has its own order of preference among servers that cost the same: with one order
// for all, the VMs of data centres without a replica would all read from the same one. The caller holds mu.
func (g *Group) rebuild() {
	ids := make([]string, 0, len(g.members))
	known := make(map[string]layout.Server, len(g.members))
	for _, s := range g.members {
		ids = append(ids, s.ID())
		known[s.ID()] = s
	}
	members := make([]route.Member, 0, len(ids))
	for _, id := range owner.Order(g.vm, ids) {
		members = append(members, route.NewMember(id, known[id].DataCentre(), known[id].Slots()))
	}
	g.table = route.NewTable(g.home, members, route.NewCosts(remoteCost, primaryCost))
	for _, s := range g.members {
		info := work.ServerInfo{Address: s.ID(), Leaving: s.Draining(), Role: port.RoleReplica}
		if s.ID() == g.leader {
			info.Role = port.RolePrimary
		}
		g.table.RecordReport(g.clock(), info)
	}
}

// Lead notes which server leads the group by the record with this version. What was known of another leader's log does not
// hold for the new one.
func (g *Group) Lead(id string, version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version <= g.version {
		return
	}
	g.version = version
	if id == g.leader {
		return
	}
	g.leader = id
	g.history.Reset()
	g.rebuild()
}

// Choose returns the server for a statement with this need, leaving out those in tried, and counts it as running there.
func (g *Group) Choose(need route.Need, tried []string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	id, ok := g.table.Choose(now, need, tried)
	if ok {
		g.table.Started(now, id)
	}
	return id, ok
}

// Started counts a statement that was not placed by Choose.
func (g *Group) Started(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Started(g.clock(), id)
}

// Finished notes the end of a statement and whether the server failed it.
func (g *Group) Finished(id string, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Finished(g.clock(), id, failed, rand.Float64())
}

// Required returns the position that a read must see so that its data are no older than age at now.
func (g *Group) Required(now time.Time, age time.Duration) (point.Point, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.history.Required(now, age)
}

// Learn notes the position of a server that answered a request sent at asked. Leader says that the server was certainly the
// primary when it answered.
func (g *Group) Learn(id string, asked time.Time, p point.Point, leader bool) {
	if p.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	info := work.ServerInfo{Address: id, Term: p.Term(), Applied: p.Position(), Role: port.RoleReplica}
	if id == g.leader {
		info.Role = port.RolePrimary
		if leader {
			g.history.Observe(asked, p)
		}
	}
	for _, s := range g.members {
		if s.ID() == id {
			info.Leaving = s.Draining()
		}
	}
	g.table.RecordReport(g.clock(), info)
}

// Status asks a server for its status. Answered says that the server answered, also if it was too busy to tell its status.
func (g *Group) Status(id string, limit time.Duration) (s exec.ServerStatus, answered bool, err error) {
	p, ok := g.Pool(id)
	if !ok {
		return exec.ServerStatus{}, false, errGone
	}
	end := g.clock().Add(limit)
	c, err := p.Visit(limit)
	if err != nil {
		// A server that has too many connections runs.
		return exec.ServerStatus{}, result.CodeOf(err) == result.TooManyCallers, err
	}
	defer c.Release()
	s, err = c.Status(max(end.Sub(g.clock()), time.Millisecond))
	switch {
	case err == nil:
		return s, true, nil
	case result.CodeOf(err) == result.Overloaded:
		return s, true, err
	}
	c.Break()
	return s, false, err
}

// Demote has a server stop leading any term below term.
func (g *Group) Demote(id string, term uint64, limit time.Duration) error {
	p, ok := g.Pool(id)
	if !ok {
		return errGone
	}
	c, err := p.Visit(limit)
	if err != nil {
		return err
	}
	defer c.Release()
	return c.simple(limit, exec.NewDemote(term))
}

// Refused reports whether the machine of a server refused the last connection.
func (g *Group) Refused(id string) bool {
	p, ok := g.Pool(id)
	return ok && p.Refused()
}

// Suspect closes the idle connections to a server, since one of them was found broken.
func (g *Group) Suspect(id string) {
	if p, ok := g.Pool(id); ok {
		p.dropIdle()
	}
}

// Set holds all groups.
type Set struct {
	vm     string
	home   string
	dialer port.Dialer
	clock  func() time.Time
	log    logs.Logger

	mu     sync.Mutex
	groups map[string]*Group
	vms    int
	view   *watch.View
}

// NewSet returns the groups as seen by a VM in the data centre home. Vms is the number of VMs that share the servers until
// SetVMs tells it.
func NewSet(vm, home string, dialer port.Dialer, vms int, clock func() time.Time, log logs.Logger) *Set {
	return &Set{vm: vm, home: home, dialer: dialer, clock: clock, log: log, groups: make(map[string]*Group), vms: vms}
}

// Group returns a group of the configuration.
func (s *Set) Group(name string) (*Group, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[name]
	return g, ok
}

// Groups returns all groups.
func (s *Set) Groups() []*Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*Group
	for _, g := range s.groups {
		all = append(all, g)
	}
	return all
}

// Update takes in a view of the configuration and the servers.
func (s *Set) Update(v *watch.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	for _, name := range v.Config().Groups() {
		g, ok := s.groups[name]
		if !ok {
			g = &Group{
				name: name, vm: s.vm, home: s.home, clock: s.clock, dialer: s.dialer, log: s.log, pools: make(map[string]*Pool),
				table: route.NewTable(s.home, nil, route.NewCosts(remoteCost, primaryCost)),
			}
			s.groups[name] = g
		}
		limit := v.Config().Limit(name)
		g.update(v.Group(name), layout.Share(limit, s.vms), s.vms, layout.Overcommitted(limit, s.vms))
	}
}

// SetVMs tells how many VMs share the servers' connections.
func (s *Set) SetVMs(n int) {
	s.mu.Lock()
	changed := n > 0 && n != s.vms
	if changed {
		s.vms = n
	}
	view := s.view
	s.mu.Unlock()
	if changed && view != nil {
		s.Update(view)
	}
}

// Trim closes connections that have been idle for long.
func (s *Set) Trim() {
	for _, g := range s.Groups() {
		g.mu.Lock()
		pools := make([]*Pool, 0, len(g.pools))
		for _, p := range g.pools {
			pools = append(pools, p)
		}
		g.mu.Unlock()
		for _, p := range pools {
			p.trim(g.clock())
		}
	}
}

// GroupState describes a group for a dump.
type GroupState struct {
	Name    string  `json:"name"`
	Leader  string  `json:"leader"`
	Version uint64  `json:"version"`
	Pools   []State `json:"pools"`
}

// State returns a copy of the state of all groups.
func (s *Set) State() []GroupState {
	var all []GroupState
	for _, g := range s.Groups() {
		g.mu.Lock()
		state := GroupState{Name: g.name, Leader: g.leader, Version: g.version}
		for _, m := range g.members {
			if p, ok := g.pools[m.ID()]; ok {
				state.Pools = append(state.Pools, p.State())
			}
		}
		g.mu.Unlock()
		all = append(all, state)
	}
	return all
}
