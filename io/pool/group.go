package pool

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/admit"
	"verbenagate/core/event"
	"verbenagate/core/exec"
	"verbenagate/core/fresh"
	"verbenagate/core/layout"
	"verbenagate/core/lead"
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
	// remotePenalty is the additional cost of a server in another data centre, in units of work per slot. Traffic between data
	// centres is expensive, and its latency is higher.
	remotePenalty = 0.5
	// primaryPenalty is the additional cost of the primary, in units of work per slot. It keeps reads that a replica could serve
	// off the primary.
	primaryPenalty = 0.5
)

// Group holds this VM's state of one group of servers: a connection pool for each server, the routing table, the primary and the
// history of the primary's log positions.
type Group struct {
	name            string
	vm              string
	localDataCentre string
	clock           func() time.Time
	dialer          port.Dialer
	log             logs.Logger
	counts          *counts

	mu            sync.Mutex
	pools         map[string]*Pool
	members       []layout.Server
	table         *route.Table
	history       fresh.PositionHistory
	probe         fresh.Probe
	leader        string
	leaderVersion uint64                   // version of the record that names the leader
	owners        map[string][]lead.Member // by server; empty if each VM uses connections of its own
	forwarder     Forwarder
	paths         Paths
	departures    map[string]departure // by id of a server that is not registered any more
	basis         basis                // of the last update
	shareLog      *shareLog            // of all groups of the VM
}

// basis identifies what the limits and owners of a group's servers are derived from, apart from the servers.
type basis struct {
	config    uint64 // version of the configuration, 0 before the first update
	vmsChange uint64 // number of the change of the list of VMs
}

// Paths tells which data centres this VM cannot reach.
type Paths interface {
	// Unreachable reports whether no VM of a data centre answers this VM.
	Unreachable(dataCentre string) bool
}

// Pool returns the pool of a server, or false if the server is not registered any more.
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

// HasMembers reports whether the group has servers.
func (g *Group) HasMembers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members) > 0
}

// update sets the members of the group, the limits of their pools, and the owners of those servers that have one.
func (g *Group) update(members []layout.Server, limitsOf func(layout.Server) limits, owners map[string][]lead.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	present := make(map[string]bool, len(members))
	unchanged := len(members) == len(g.members)
	for i, s := range members {
		present[s.ID()] = true
		unchanged = unchanged && g.members[i] == s
		p, ok := g.pools[s.ID()]
		if ok && (p.server.Address() != s.Address() || p.server.StartMillis() != s.StartMillis()) {
			p.close()
			ok = false
		}
		if !ok {
			p = newPool(s, g.dialer, g.clock, g.log, g.counts)
			g.pools[s.ID()] = p
		}
		p.setLimits(limitsOf(s))
	}
	for id, p := range g.pools {
		if !present[id] {
			p.close()
			delete(g.pools, id)
			g.recordDeparture(p.server)
		}
	}
	g.endDepartures(members)
	g.owners = owners
	if !unchanged {
		g.members = append([]layout.Server(nil), members...)
		g.rebuildTable()
	}
}

// beginUpdate reports whether the servers or the basis of their limits and owners differ from those of the last update, and records
// the basis. Most changes of the servers concern one group of many. It returns the owners by server if they were determined for the
// last list of VMs but one.
func (g *Group) beginUpdate(members []layout.Server, b basis) (old map[string][]lead.Member, needed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	same := slices.Equal(members, g.members)
	if same && b == g.basis {
		return nil, false
	}
	if same && b.vmsChange == g.basis.vmsChange+1 {
		old = g.owners
	}
	g.basis = b
	return old, true
}

// rebuildTable makes a new routing table. Each VM has its own order of preference among servers of the same cost. If all VMs had
// the same order, those in data centres without a replica would all read from the same replica. The caller holds mu.
func (g *Group) rebuildTable() {
	ids := make([]string, 0, len(g.members))
	byID := make(map[string]layout.Server, len(g.members))
	for _, s := range g.members {
		ids = append(ids, s.ID())
		byID[s.ID()] = s
	}
	members := make([]route.Member, 0, len(ids))
	for _, id := range owner.Order(g.vm, ids) {
		members = append(members, route.NewMember(id, byID[id].DataCentre(), byID[id].Slots()))
	}
	g.table = route.NewTable(g.localDataCentre, members, route.NewCosts(remotePenalty, primaryPenalty))
	for _, s := range g.members {
		info := work.ServerInfo{Address: s.ID(), Leaving: s.Draining(), Role: port.RoleReplica}
		if s.ID() == g.leader {
			info.Role = port.RolePrimary
		}
		g.table.RecordReport(g.clock(), info)
	}
}

// SetLeader records that the server id leads the group according to the leader record with this version. A version that is not
// newer than the latest one is ignored. If the leader changes, the position history is dropped, because positions in the logs of
// different leaders cannot be compared.
func (g *Group) SetLeader(id string, version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version <= g.leaderVersion {
		return
	}
	g.leaderVersion = version
	if id == g.leader {
		return
	}
	g.leader = id
	g.history.Reset()
	g.probe.Reset()
	g.rebuildTable()
}

// Choose returns the server for a statement with this need, other than those in excluded, and counts the statement as running
// there. Servers in data centres that cannot be reached are chosen last. It returns false if there is none, or only a primary that is
// leaving, which serves no more reads than must run there.
func (g *Group) Choose(need route.Need, excluded []string) (string, bool) {
	id, ok, shares := g.choose(need, excluded)
	if len(shares) > 0 {
		g.log.Event(event.RouteShares, zap.String("group", g.name), zap.String("server", id), zap.Any("shares", shares))
	}
	return id, ok
}

// choose does what Choose does. Now and then it also returns what the choice was made by, for the log, if servers have owners, which
// report loads.
func (g *Group) choose(need route.Need, excluded []string) (id string, ok bool, shares []route.Share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordOwnLoads()
	now := g.clock()
	unreachable := g.unreachableServers()
	if len(unreachable) > 0 {
		id, ok = g.table.Choose(now, need, append(unreachable, excluded...))
	}
	if !ok {
		id, ok = g.table.Choose(now, need, excluded)
	}
	if ok && !g.table.MayRead(id) {
		return "", false, nil
	}
	if ok {
		if len(g.owners) > 0 && g.shareLog.allows(now) {
			shares = g.table.Shares(now)
		}
		g.table.Started(now, id)
	}
	return id, ok, shares
}

// MayRead reports whether a read that need not run on the primary may be sent to a server now.
func (g *Group) MayRead(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.MayRead(id)
}

// unreachableServers returns the ids of the servers in data centres that this VM cannot reach. The caller holds mu.
func (g *Group) unreachableServers() []string {
	if g.paths == nil {
		return nil
	}
	var ids []string
	for _, s := range g.members {
		if g.paths.Unreachable(s.DataCentre()) {
			ids = append(ids, s.ID())
		}
	}
	return ids
}

// Started counts a statement as running on the server id. It is for statements whose server was not chosen by Choose.
func (g *Group) Started(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Started(g.clock(), id)
}

// Finished records the end of a statement that Choose or Started counted. The parameter failed says that the server failed.
func (g *Group) Finished(id string, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Finished(g.clock(), id, failed, rand.Float64())
}

// Required returns the position that a read must see so that its data are no older than age at the time now. It returns false if
// no such position is known.
func (g *Group) Required(now time.Time, age time.Duration) (point.Point, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.history.Required(now, age)
}

// MayAskPosition reports whether a read with this age limit may be sent although this VM cannot use the primary, so that its owner may
// find no position for it.
func (g *Group) MayAskPosition(age time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.probe.Allows(g.clock(), age)
}

// RecordPositionKnown records whether a position was known for a read with this age limit.
func (g *Group) RecordPositionKnown(age time.Duration, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known {
		g.probe.Reset()
	} else {
		g.probe.Failed(g.clock(), age)
	}
}

// RecordPosition records the log position that a server returned to a request sent at requestedAt. The parameter isPrimary says
// that the server was certainly the primary when it answered.
func (g *Group) RecordPosition(id string, requestedAt time.Time, p point.Point, isPrimary bool) {
	if p.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	info := work.ServerInfo{Address: id, Term: p.Term(), Applied: p.Position(), Role: port.RoleReplica}
	if id == g.leader {
		info.Role = port.RolePrimary
		if isPrimary {
			g.history.Observe(requestedAt, p)
		}
	}
	g.verifyDepartures(id, requestedAt, p, isPrimary)
	for _, s := range g.members {
		if s.ID() == id {
			info.Leaving = s.Draining()
		}
	}
	g.table.RecordReport(g.clock(), info)
}

// Status requests the status of a server. The result answered says that the server answered, even if it was too busy to return its
// status.
func (g *Group) Status(id string, timeout time.Duration) (s exec.ServerStatus, answered bool, err error) {
	p, ok := g.Pool(id)
	if !ok {
		return exec.ServerStatus{}, false, notRegisteredError(id)
	}
	deadline := g.clock().Add(timeout)
	c, err := p.AcquireBeyondLimit(timeout)
	if err != nil {
		// A server that refuses a connection because it has too many is running.
		return exec.ServerStatus{}, result.CodeOf(err) == result.TooManyCallers, err
	}
	defer c.Release()
	s, err = c.Status(max(deadline.Sub(g.clock()), time.Millisecond))
	switch {
	case err == nil:
		p.recordConnCount(s.Connections())
		return s, true, nil
	case result.CodeOf(err) == result.Overloaded:
		return s, true, err
	}
	c.MarkBroken()
	return s, false, err
}

// Unsettled returns the servers of which this VM has become the owner, and may not be the only one yet. The answer to Status tells.
func (g *Group) Unsettled() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for _, s := range g.members {
		if p, ok := g.pools[s.ID()]; ok && p.unsettled() {
			ids = append(ids, s.ID())
		}
	}
	return ids
}

// Demote makes a server stop being the primary of any term below term.
func (g *Group) Demote(id string, term uint64, timeout time.Duration) error {
	p, ok := g.Pool(id)
	if !ok {
		return notRegisteredError(id)
	}
	c, err := p.AcquireBeyondLimit(timeout)
	if err != nil {
		return err
	}
	defer c.Release()
	return c.doInternal(timeout, exec.NewDemote(term))
}

// LastDialRefused reports whether the machine of a server refused the last connection, which means that the server process is not
// running.
func (g *Group) LastDialRefused(id string) bool {
	p, ok := g.Pool(id)
	return ok && p.LastDialRefused()
}

// CloseIdleConns closes the idle connections to a server unless they are known to work. It is called after one of them was found broken.
func (g *Group) CloseIdleConns(id string) {
	if p, ok := g.Pool(id); ok {
		p.dropSuspects()
	}
}

// Set holds the groups of the configuration.
type Set struct {
	vm              string
	localDataCentre string
	dialer          port.Dialer
	clock           func() time.Time
	log             logs.Logger
	counts          counts

	mu        sync.Mutex
	groups    map[string]*Group
	vmCount   int
	live      []lead.Member
	owners    lead.Owners // derived from live
	vmsChange uint64      // number of the last change of vmCount and live
	forwarder Forwarder
	paths     Paths
	view      *watch.View
	shareLog  shareLog
}

// NewSet returns an empty Set for a VM in localDataCentre. The parameter vmCount is the number of VMs that share the servers, until
// SetMembers changes it.
func NewSet(vm, localDataCentre string, dialer port.Dialer, vmCount int, clock func() time.Time, log logs.Logger) *Set {
	return &Set{
		vm: vm, localDataCentre: localDataCentre, dialer: dialer, clock: clock, log: log, groups: make(map[string]*Group),
		vmCount: vmCount,
	}
}

// SetForwarder sets how statements are forwarded to the owners of servers. Without a Forwarder, servers have no owners. It must be
// called before the first Update.
func (s *Set) SetForwarder(f Forwarder) { s.forwarder = f }

// SetPaths sets what tells which data centres cannot be reached. It must be called before the first Update.
func (s *Set) SetPaths(p Paths) { s.paths = p }

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

// Update applies a new view of the configuration and of the registered servers.
func (s *Set) Update(v *watch.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	weights := v.Config().Weights()
	for _, name := range v.Config().Groups() {
		g, ok := s.groups[name]
		if !ok {
			g = &Group{
				name: name, vm: s.vm, localDataCentre: s.localDataCentre, clock: s.clock, dialer: s.dialer, log: s.log, counts: &s.counts,
				pools: make(map[string]*Pool), forwarder: s.forwarder, paths: s.paths,
				shareLog: &s.shareLog,
				table:    route.NewTable(s.localDataCentre, nil, route.NewCosts(remotePenalty, primaryPenalty)),
			}
			s.groups[name] = g
		}
		members, b := v.Group(name), basis{config: v.Config().Version(), vmsChange: s.vmsChange}
		old, needed := g.beginUpdate(members, b)
		if !needed {
			continue
		}
		owners := make(map[string][]lead.Member)
		for _, m := range members {
			if list := s.ownersOf(m, old[m.ID()]); len(list) > 0 {
				owners[m.ID()] = list
			}
		}
		limit := v.Config().Limit(name)
		g.update(members, func(m layout.Server) limits {
			l := s.limitsFor(m, limit, owners[m.ID()])
			l.weights = weights
			return l
		}, owners)
	}
}

// ownersOf returns the VMs that may hold the shared connections to a server, or none if each VM uses connections of its own. Old is
// what it returned for the last list of VMs but one, none if that is unknown. The caller holds mu.
func (s *Set) ownersOf(server layout.Server, old []lead.Member) []lead.Member {
	if s.forwarder == nil || !layout.NeedsOwner(server.Slots(), s.vmCount) {
		return nil
	}
	return s.owners.Revise(server.ID(), server.DataCentre(), old)
}

// limitsFor returns the limits of this VM's use of a server that accepts limit connections.
func (s *Set) limitsFor(server layout.Server, limit int, owners []lead.Member) limits {
	workspaces := s.view != nil && s.view.Config().NeedsKeys()
	if slices.ContainsFunc(owners, func(m lead.Member) bool { return m.Name() == s.vm }) {
		l := limits{
			maxOpen: layout.OwnerShare(limit), maxRunning: server.Slots(), idle: maxIdleTime, shared: true, workspaces: workspaces,
		}
		if workspaces {
			l.maxOpen = layout.TakeoverShare(limit)
			if owners[0].Name() == s.vm {
				l.settled = layout.SettledShare(limit)
			}
		}
		return l
	}
	l := limits{
		maxOpen: layout.Share(limit, s.vmCount), maxRunning: admit.MaxRunning(server.Slots(), s.vmCount), idle: maxIdleTime,
		workspaces: workspaces,
	}
	if layout.Overcommitted(limit, s.vmCount) {
		l.idle = maxIdleTimeOvercommitted
	}
	return l
}

// SetMembers sets the live VMs and how many VMs share the servers' connections. It ignores an n that is not positive.
func (s *Set) SetMembers(live []lead.Member, n int) {
	s.mu.Lock()
	changed := n > 0 && (n != s.vmCount || !slices.EqualFunc(live, s.live, sameVM))
	if changed {
		s.vmCount, s.live, s.owners = n, live, s.owners.Next(live)
		s.vmsChange++
	}
	view := s.view
	s.mu.Unlock()
	if changed && view != nil {
		s.Update(view)
	}
}

// sameVM reports whether two members are the same VM at the same place.
func sameVM(a, b lead.Member) bool {
	return a.Name() == b.Name() && a.Address() == b.Address() && a.DataCentre() == b.DataCentre()
}

// Trim closes the connections that have reached the idle timeout of their pool or exceed its connection limit. It must be called
// regularly.
func (s *Set) Trim() {
	now := s.clock()
	for _, g := range s.Groups() {
		g.mu.Lock()
		pools := make([]*Pool, 0, len(g.pools))
		for _, p := range g.pools {
			pools = append(pools, p)
		}
		g.mu.Unlock()
		for _, p := range pools {
			p.trim(now)
		}
	}
}

// ConnCounts returns how many connections the VM has opened to servers, and how many idle ones it has closed for another workspace.
func (s *Set) ConnCounts() (opened, replaced int64) {
	return s.counts.opened.Load(), s.counts.replaced.Load()
}

// Settling reports whether some group may have servers that are Unsettled.
func (s *Set) Settling() bool { return s.clock().UnixNano() < s.counts.settledAt.Load() }

// GroupState is the state of a group, for a diagnostic dump.
type GroupState struct {
	Name    string  `json:"name"`
	Leader  string  `json:"leader"`
	Version uint64  `json:"version"`
	Pools   []State `json:"pools"`
	// Shares is how this VM spreads its statements over the servers, and what it knows of their load.
	Shares []route.Share `json:"shares"`
}

// State returns a copy of the state of all groups.
func (s *Set) State() []GroupState {
	var all []GroupState
	for _, g := range s.Groups() {
		g.mu.Lock()
		state := GroupState{Name: g.name, Leader: g.leader, Version: g.leaderVersion}
		for _, m := range g.members {
			if p, ok := g.pools[m.ID()]; ok {
				ps := p.State()
				ps.Draining = m.Draining()
				for _, o := range g.owners[m.ID()] {
					ps.Owners = append(ps.Owners, o.Name())
				}
				state.Pools = append(state.Pools, ps)
			}
		}
		state.Shares = g.table.Shares(g.clock())
		g.mu.Unlock()
		all = append(all, state)
	}
	return all
}
