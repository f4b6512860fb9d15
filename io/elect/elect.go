// Package elect keeps the records of the groups' primaries current in the platform's store, holds this VM's lease on them,
// and replaces a primary that cannot be reached or is leaving. The rules are those of core/lead.
package elect

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/retry"
	"verbenagate/io/logs"
	"verbenagate/io/pool"
	"verbenagate/io/watch"
)

const (
	// tick is how often the primaries are judged.
	tick = 50 * time.Millisecond
	// probeAfter is how long a primary may go without an answer before it is asked for one.
	probeAfter = 400 * time.Millisecond
	// probeLimit is how long a status may take.
	probeLimit = 400 * time.Millisecond
	// memberInterval is how often the list of VMs is read while no primary is suspected, suspectInterval while one is.
	memberInterval  = 5 * time.Second
	suspectInterval = 100 * time.Millisecond
	// firstMembers is how soon the list of VMs is read again after a start, when it may lack most of them.
	firstMembers = 800 * time.Millisecond
	// rankDelay lies between the VMs that may act, so that one of them does.
	rankDelay = 200 * time.Millisecond
	// retryFirst is the shortest delay after a renewal that failed, and half of the longest one.
	retryFirst = 250 * time.Millisecond
	// surveyInterval is how often the servers of a group are asked how far they are.
	surveyInterval = 700 * time.Millisecond
	// surveyLimit is how long a server may take to tell it; an overloaded one takes long.
	surveyLimit = 800 * time.Millisecond
	// startTime is how long a VM may take to obtain its first lease before it tells callers that it is cut off.
	startTime = 2 * time.Second
	// failurePause is how long a VM that failed to replace a primary leaves that to others.
	failurePause = time.Second
	// settle is how long transactions on a primary that is to be replaced may go on before this VM confirms the change.
	settle = 400 * time.Millisecond
)

// Clock returns the time of a clock that also counts while the process or its VM is suspended.
type Clock func() time.Time

// groupState is what this VM knows of one group's primary.
type groupState struct {
	record    lead.Record
	seen      time.Time // when this version of the record was first seen
	stable    uint64    // version of the last record that named a primary
	serving   uint64    // version of the record that running work relies on; 0 after a change was confirmed
	watch     lead.FailureDetector
	probing   bool
	suspect   bool
	noticed   time.Time // since when the primary is gone or agreed to be unreachable
	driving   bool
	barred    time.Time // until then this VM replaces no primary of the group, since it has just failed to
	users     int       // transactions and statements that use the primary
	confirmBy time.Time
	backlog   lead.BacklogDetector
	surveying bool
	surveyed  time.Time
	relieve   bool          // the primary is to be replaced because its replicas are far behind
	relieved  time.Duration // on the store's clock: since when that has been intended; 0 if it is not
}

// Agents share the calls of the store among the VMs of a data centre.
type Agents interface {
	port.RowReader
	// Recent returns the rows of a table as of a moment ago.
	Recent(ctx context.Context, table string) (port.Snapshot, error)
	// Renew has this VM's lease renewed, or given up if leave is set.
	Renew(ctx context.Context, m lead.Member, leave bool) error
	// SetAgents names the VMs that make the calls.
	SetAgents(agents []lead.Member)
	// Ping asks a VM for a reply.
	Ping(ctx context.Context, address string, limit time.Duration) error
}

// Elector is safe for concurrent use.
type Elector struct {
	self   lead.Member
	name   string
	rows   port.RowStore
	agents Agents
	orders port.Promoter
	set    *pool.Set
	view   func() *watch.View
	clock  Clock
	log    logs.Logger
	renew  chan struct{}
	asked  chan *request

	started time.Time

	mu       sync.Mutex
	groups   map[string]*groupState
	epoch    uint64
	known    bool // the records have been read
	lease    lead.Lease
	held     bool
	store    lead.StoreClock
	own      uint64 // version of this VM's row; 0 if it is not known
	grants   lead.Grants
	members  []lead.Member
	watching map[string][]lead.Member // by group; made from members
	contacts []lead.Member            // VMs of other data centres that are asked in turn
	contact  lead.IsolationDetector
	apart    bool          // this VM is cut off from all other data centres
	changed  chan struct{} // closed and replaced when a record or the lease changes
	stopping bool
}

// New starts the elector of the VM self; it ends with ctx. Start must follow.
func New(self lead.Member, rows port.RowStore, agents Agents, orders port.Promoter, set *pool.Set, view func() *watch.View,
	clock Clock, log logs.Logger,
) *Elector {
	return &Elector{
		self: self, name: self.Name(), rows: rows, agents: agents, orders: orders, set: set, view: view, clock: clock, log: log,
		renew: make(chan struct{}, 1), asked: make(chan *request), groups: make(map[string]*groupState),
		changed: make(chan struct{}), started: clock(),
	}
}

// Start starts to renew the lease and to judge the primaries, until ctx ends.
func (e *Elector) Start(ctx context.Context) {
	go watch.Follow(ctx, e.agents, leadTable, 0, e.clock, (*follower)(e))
	go func() {
		for ctx.Err() == nil {
			e.grantBatch(ctx)
		}
	}()
	go func() {
		// The first lease needs the records; reading them at once, the VMs that start together soon know their agents.
		for ctx.Err() == nil && e.reload(ctx) != nil {
			e.pause(ctx, retryFirst)
		}
		for ctx.Err() == nil {
			e.renewOnce(ctx)
		}
	}()
	go func() {
		for n := 0; ctx.Err() == nil; n++ {
			e.keepContact(ctx, n)
			e.pause(ctx, pingInterval)
		}
	}()
	go func() {
		t := time.NewTicker(tick)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				e.judge(ctx)
			}
		}
	}()
	go func() {
		for ctx.Err() == nil {
			e.readMembers(ctx)
			e.pause(ctx, e.memberPause())
		}
	}()
}

// Use is the right to use a group's primary.
type Use struct {
	e       *Elector
	group   string
	server  string
	version uint64
}

// Server returns the primary's id.
func (u Use) Server() string { return u.server }

// Version returns the version of the record that names the primary.
func (u Use) Version() uint64 { return u.version }

// Valid reports whether the server is certainly still the primary: no promotion has taken effect.
func (u Use) Valid() bool {
	u.e.mu.Lock()
	defer u.e.mu.Unlock()
	g := u.e.groups[u.group]
	return g != nil && g.serving == u.version && u.e.lease.Valid(u.e.clock())
}

// End gives the right back.
func (u Use) End() {
	u.e.mu.Lock()
	defer u.e.mu.Unlock()
	if g := u.e.groups[u.group]; g != nil {
		g.users--
	}
}

// Use returns the right to use the group's primary; false if there is none or this VM cannot know. End must follow.
func (e *Elector) Use(group string) (Use, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.groups[group]
	if g == nil || g.record.Phase() != lead.Stable || g.serving == 0 || g.suspect || !e.lease.Valid(e.clock()) {
		return Use{}, false
	}
	if e.apart && !e.near(g) {
		return Use{}, false
	}
	g.users++
	return Use{e: e, group: group, server: g.record.Server(), version: g.serving}, true
}

// Cut reports whether this VM is cut off: without a lease, or from most primaries. Its callers are better served by another VM.
func (e *Elector) Cut() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.lease.Valid(e.clock()) {
		return true
	}
	n, all := 0, 0
	for _, g := range e.groups {
		if g.record.Version() == 0 {
			continue
		}
		all++
		if g.suspect || (e.apart && !e.near(g)) {
			n++
		}
	}
	return lead.Isolated(n, all)
}

// Starting reports whether this VM has started a moment ago and waits for its first lease.
func (e *Elector) Starting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Until().IsZero() && e.clock().Sub(e.started) < startTime
}

// Version returns the version of the last record that named a primary of the group, 0 if there is none. Positions that were
// noted with the same version lie in one history.
func (e *Elector) Version(group string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.groups[group]; g != nil {
		return g.stable
	}
	return 0
}

// Refresh tells the groups of their leaders again, after the groups or their servers have changed.
func (e *Elector) Refresh() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, g := range e.groups {
		if g.record.Phase() != lead.Stable {
			continue
		}
		if pg, ok := e.set.Group(name); ok {
			pg.Lead(g.record.Server(), g.record.Version())
		}
	}
}

// Changed returns a channel that is closed with the next change of a record or the lease.
func (e *Elector) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// Answered notes that a primary answered a request sent at asked, or that it did not.
func (e *Elector) Answered(group, server string, asked time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.groups[group]
	if g == nil || g.record.Server() != server {
		return
	}
	if ok {
		g.watch.RecordSuccess(asked)
	} else {
		g.watch.RecordFailure(asked)
	}
}

// notify wakes those that wait for a change. The caller holds mu.
func (e *Elector) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Elector) wake() {
	select {
	case e.renew <- struct{}{}:
	default:
	}
}

func (e *Elector) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

type follower Elector

// Reset implements watch.Follower.
func (f *follower) Reset(sent time.Time, s port.Snapshot) { (*Elector)(f).take(sent, s, true) }

// Change implements watch.Follower.
func (f *follower) Change(sent time.Time, s port.Snapshot) { (*Elector)(f).take(sent, s, false) }

// Down implements watch.Follower.
func (f *follower) Down(err error) {
	f.log.Event(event.StoreDown, zap.String("table", leadTable), zap.Error(err))
}

// take applies rows of the table of records.
func (e *Elector) take(sent time.Time, s port.Snapshot, all bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard(sent, s)
	moved := false
	for _, row := range s.Rows {
		if row.Key == epochKey {
			moved = moved || row.Version > e.epoch
			e.epoch = max(e.epoch, row.Version)
			continue
		}
		group, r, ok, err := decodeRecord(row)
		if err != nil {
			e.log.Event(event.InvariantViolated, zap.Error(err))
		}
		if ok {
			e.apply(group, r)
		}
	}
	if all {
		e.known = true
	}
	if moved || all {
		e.wake()
	}
	e.notify()
}

// heard notes the store's clock in an answer to a request sent at sent. The caller holds mu.
func (e *Elector) heard(sent time.Time, s port.Snapshot) {
	if !s.Relayed && s.Version > 0 {
		e.store.RecordAnswer(sent, s.Clock)
	}
}

// apply takes in a record. The caller holds mu.
func (e *Elector) apply(group string, r lead.Record) {
	g := e.group(group)
	if r.Version() <= g.record.Version() {
		return
	}
	now := e.clock()
	e.log.Event(event.LeaderChanged, zap.String("group", group), zap.String("server", r.Server()),
		zap.Uint64("term", r.Term()), zap.Bool("moving", r.Phase() == lead.Moving), zap.String("by", r.Writer()),
		zap.Uint64("version", r.Version()))
	if r.Phase() == lead.Moving && g.record.Phase() == lead.Stable {
		g.confirmBy = now.Add(settle)
	}
	if r.Phase() == lead.Stable {
		if r.Server() != g.record.Server() || g.record.Phase() != lead.Stable {
			g.watch, g.suspect, g.noticed = lead.FailureDetector{}, false, time.Time{}
			g.relieve = false
			g.backlog.Reset()
		}
		g.stable, g.serving = r.Version(), r.Version()
	}
	g.record, g.seen = r, now
	if r.Phase() == lead.Stable {
		if pg, ok := e.set.Group(group); ok {
			pg.Lead(r.Server(), r.Version())
		}
	}
}

// group returns the state of a group. The caller holds mu.
func (e *Elector) group(name string) *groupState {
	g, ok := e.groups[name]
	if !ok {
		g = &groupState{}
		e.groups[name] = g
	}
	return g
}

// reload reads the records anew.
func (e *Elector) reload(ctx context.Context) error {
	sent := e.clock()
	s, err := e.rows.List(ctx, leadTable)
	if err != nil {
		return err
	}
	e.take(sent, s, true)
	return nil
}

// renewOnce renews the lease and waits until it is to be renewed again.
func (e *Elector) renewOnce(ctx context.Context) {
	next := lead.RenewInterval
	if err := e.renewNow(ctx); err != nil {
		next = retryFirst + time.Duration(retry.Jitter()*float64(retryFirst))
		if !errors.Is(err, port.ErrConflict) {
			e.log.Event(event.StoreDown, zap.String("table", memberTable), zap.Error(err))
		}
	}
	t := time.NewTimer(next)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-e.renew:
	case <-t.C:
	}
}

// renewNow confirms the epoch and extends the lease.
func (e *Elector) renewNow(ctx context.Context) error {
	if !e.ready(ctx) {
		return nil
	}
	e.mu.Lock()
	sent, epoch := e.clock(), e.epoch
	var suspect []string
	for _, g := range e.groups {
		if g.record.Phase() == lead.Moving {
			g.serving = 0
		}
		if g.suspect {
			suspect = append(suspect, g.record.Server())
		}
	}
	e.mu.Unlock()
	slices.Sort(suspect)
	m := lead.NewMember(e.name, epoch, 0, suspect).WithLocation(e.self.DataCentre(), e.self.Address())
	if err := e.agents.Renew(ctx, m, false); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.Renew(sent, epoch)
	if !e.held {
		e.held = true
		e.log.Event(event.LeaseRenewed, zap.Uint64("epoch", epoch))
		e.notify()
	}
	return nil
}

// ready waits until the work that uses a primary which is to be replaced has ended, for a short while, and reports whether
// the records are known.
func (e *Elector) ready(ctx context.Context) bool {
	for ctx.Err() == nil {
		e.mu.Lock()
		busy, known := false, e.known
		now := e.clock()
		for _, g := range e.groups {
			busy = busy || (g.record.Phase() == lead.Moving && g.users > 0 && g.serving != 0 && now.Before(g.confirmBy))
		}
		e.mu.Unlock()
		if !busy {
			return known
		}
		e.pause(ctx, 10*time.Millisecond)
	}
	return false
}

// readMembers reads the list of VMs.
func (e *Elector) readMembers(ctx context.Context) {
	sent := e.clock()
	list := e.agents.Recent
	if e.doubted() {
		list = e.rows.List
	}
	s, err := list(ctx, memberTable)
	if err != nil {
		return
	}
	members, err := decodeMembers(s.Rows)
	if err != nil {
		e.log.Event(event.InvariantViolated, zap.Error(err))
		return
	}
	e.mu.Lock()
	e.heard(sent, s)
	e.members, e.watching = lead.LiveMembers(members, s.Clock), make(map[string][]lead.Member)
	e.contacts = lead.Contacts(e.members, e.name, e.self.DataCentre())
	agents := lead.Agents(e.members, e.self.DataCentre())
	n := lead.ConnectionHolders(members, s.Clock)
	e.mu.Unlock()
	e.set.SetVMs(n)
	e.agents.SetAgents(agents)
}

func (e *Elector) memberPause() time.Duration {
	if e.doubted() {
		return suspectInterval
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.members) <= 1 {
		return firstMembers
	}
	return memberInterval
}

// doubted reports whether a primary that this VM watches is suspected.
func (e *Elector) doubted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, g := range e.groups {
		if (g.suspect || !g.noticed.IsZero()) && e.watches(name) {
			return true
		}
	}
	return false
}

// watchersOf returns the VMs that watch the primary of a group. The caller holds mu.
func (e *Elector) watchersOf(group string) []lead.Member {
	w, ok := e.watching[group]
	if !ok {
		w = lead.Watchers(e.members, group)
		if e.watching != nil {
			e.watching[group] = w
		}
	}
	return w
}

// watches reports whether this VM watches the primary of a group; it does until it has read the list of VMs. The caller holds mu.
func (e *Elector) watches(group string) bool {
	if len(e.members) == 0 {
		return true
	}
	return slices.ContainsFunc(e.watchersOf(group), func(m lead.Member) bool { return m.Name() == e.name })
}

// Stop ends the replacing of primaries by this VM and gives up its lease once its work has ended.
func (e *Elector) Stop(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	m := lead.NewMember(e.name, e.epoch, 0, nil).WithLocation(e.self.DataCentre(), e.self.Address())
	e.lease = lead.Lease{}
	e.mu.Unlock()
	if err := e.agents.Renew(ctx, m, true); err != nil {
		e.log.Event(event.StoreDown, zap.String("table", memberTable), zap.Error(err))
	}
}

// GroupState describes a group's record for a dump.
type GroupState struct {
	Group   string `json:"group"`
	Server  string `json:"server"`
	Term    uint64 `json:"term"`
	Moving  bool   `json:"moving"`
	Holder  string `json:"holder"`
	Version uint64 `json:"version"`
	Suspect bool   `json:"suspect"`
	Users   int    `json:"users"`
}

// State describes the elector for a dump.
type State struct {
	Epoch     uint64        `json:"epoch"`
	Apart     bool          `json:"apart"` // no VM of another data centre answers
	LeaseLeft time.Duration `json:"lease_left"`
	VMs       []string      `json:"vms"`
	Groups    []GroupState  `json:"groups"`
}

// State returns a copy of the state.
func (e *Elector) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := State{Epoch: e.epoch, Apart: e.apart, LeaseLeft: e.lease.Until().Sub(e.clock())}
	for _, m := range e.members {
		s.VMs = append(s.VMs, m.Name())
	}
	for name, g := range e.groups {
		s.Groups = append(s.Groups, GroupState{
			Group: name, Server: g.record.Server(), Term: g.record.Term(), Moving: g.record.Phase() == lead.Moving,
			Holder: g.record.Writer(), Version: g.record.Version(), Suspect: g.suspect, Users: g.users,
		})
	}
	return s
}

// observe passes a position of the primary on, if the server certainly was the primary when it gave it.
func (e *Elector) observe(pg *pool.Group, group, server string, asked time.Time, p point.Point) {
	e.mu.Lock()
	g := e.groups[group]
	valid := g != nil && g.record.Server() == server && g.record.Phase() == lead.Stable && e.lease.Valid(e.clock())
	e.mu.Unlock()
	pg.Learn(server, asked, p, valid)
}
