// Package elect maintains the records of the groups' primaries in the platform's store and renews this VM's lease, without which
// it may not use them. It replaces a primary that is unreachable, draining or unregistered, or whose replicas lag too far
// behind. The decisions follow the rules in core/lead.
package elect

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/eras"
	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/notice"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/retry"
	"verbenagate/io/every"
	"verbenagate/io/logs"
	"verbenagate/io/pool"
	"verbenagate/io/reach"
	"verbenagate/io/watch"
)

const (
	// checkInterval is how often the state of each primary is checked.
	checkInterval = 50 * time.Millisecond
	// probeAfter is how long a primary may go without an answer before its status is requested.
	probeAfter = 400 * time.Millisecond
	// probeTimeout bounds a status request to a primary.
	probeTimeout = 400 * time.Millisecond
	// memberReadInterval is how often the list of VMs is read on average; suspectReadInterval applies while a watched primary is suspected.
	memberReadInterval  = 2500 * time.Millisecond
	suspectReadInterval = 100 * time.Millisecond
	// freshReadInterval applies while this VM holds portions of quotas.
	freshReadInterval = time.Second
	// maxProofReads is how often a process tries to read from the store since when leases of its VM have been valid.
	maxProofReads = 3
	// fleetMaxAge is how old the list of VMs may be while no primary is suspected. It is changedFleetMaxAge after this VM has
	// granted a lease that changes the list.
	fleetMaxAge        = 4 * time.Second
	changedFleetMaxAge = time.Second
	// startupReadInterval applies while the list names at most one VM: after a start it may lack most of them.
	startupReadInterval = 800 * time.Millisecond
	// rankDelay staggers the VMs that may act on a group, so that normally only one of them acts.
	rankDelay = 200 * time.Millisecond
	// minRenewRetryDelay is the shortest delay after a failed renewal. Jitter at most doubles it.
	minRenewRetryDelay = 250 * time.Millisecond
	// surveyInterval is how often the servers of a group are asked for their log positions.
	surveyInterval = 700 * time.Millisecond
	// surveyTimeout bounds the answer to a survey; an overloaded server takes long.
	surveyTimeout = 800 * time.Millisecond
	// startupGrace is how long a VM may take to obtain its first lease before it counts as cut off for callers.
	startupGrace = 2 * time.Second
	// failedMoveDelay is how long a VM that failed to replace a primary, or to write a mark, waits before it tries again, so that other VMs can.
	failedMoveDelay = time.Second
)

// Clock returns the time of a clock that also advances while the process or its VM is suspended.
type Clock func() time.Time

// groupState is this VM's state of one group and its primary.
type groupState struct {
	record           lead.Record
	row              eras.Position // of the newest state of the record's row
	lost             bool          // the row lacks the record since the store came back from a copy
	rewrittenFrom    uint64        // servingVersion before the record was written again without a change; 0 if it wasn't
	recordSeen       time.Time     // when this version of the record was first seen
	stableVersion    uint64        // version of the last stable record
	servingVersion   uint64        // version of the record under which the primary may be used; 0 after this VM confirmed a move
	detector         lead.FailureDetector
	quiet            bool // nothing is to be done until a record, the view or the list of VMs changes or the primary does not answer
	probing          bool
	suspected        bool
	actionDueSince   time.Time // since when the group has needed an action; zero if it needs none
	actionRunning    bool
	moveBlockedUntil time.Time // end of failedMoveDelay after this VM failed to replace the primary
	activeUses       int       // transactions and statements that use the primary
	confirmDeadline  time.Time
	backlog          lead.BacklogDetector
	surveying        bool
	lastSurvey       time.Time
	promotionHeld    bool          // see GroupState.Held
	backlogMoveDue   bool          // the primary is to be replaced because its replicas lag far behind
	backlogSince     time.Duration // since when, on the store's clock, such a replacement has been intended; 0 if it is not
}

// Agents calls the store through the agents, the VMs that make the store calls for all VMs of a data centre.
type Agents interface {
	port.RowReader
	// ReadFleet returns the live VMs as of at most maxAge ago.
	ReadFleet(ctx context.Context, maxAge time.Duration) (lead.Fleet, error)
	// Renew renews this VM's lease, or gives it up if leave is set. It returns when the next renewal is due, 0 if that is unknown.
	Renew(ctx context.Context, m lead.Member, leave bool) (next time.Duration, err error)
	// UrgentRows returns the rows whose changes this VM must not miss, as it knows them, if it follows their tables for others.
	UrgentRows() []port.Row
	// RecheckUrgent makes this VM ask the store again for changes of these rows, since it has missed one.
	RecheckUrgent()
	// SetAgents sets the VMs that act as agents.
	SetAgents(agents []lead.Member)
}

// Elector holds this VM's lease and decides which primaries it may use and which it replaces. It is safe for concurrent use.
type Elector struct {
	self          lead.Member
	name          string
	rows          port.RowStore
	agents        Agents
	promoter      port.Promoter
	pools         *pool.Set
	paths         *reach.Monitor
	view          func() *watch.View
	clock         Clock
	log           logs.Logger
	renewSignal   chan struct{}
	renewRequests chan *renewRequest

	started    time.Time
	background sync.WaitGroup

	fleetMu     sync.Mutex // held while the list of VMs is read, so that concurrent calls share one read
	fleet       lead.Fleet
	fleetReadAt time.Time  // when the call that returned fleet was made
	memberRows  []port.Row // the rows of that call until the first transaction of this VM
	committed   bool       // this VM has begun a transaction of leases

	fleetChanged atomic.Bool // this VM has granted or ended a lease that changes the list of VMs since the list was read

	mu          sync.Mutex
	groups      map[string]*groupState
	era         uint64 // the newest of the store of which this VM has heard
	restore     lead.Restore
	waitLogged  bool          // that no primary may be used yet, see logWait
	mark        lead.EraMark  // the newest one in the store
	markRow     eras.Position // of the row with it
	markRunning bool
	markDue     time.Time     // from when on the VMs write a mark of this era in turn, zero if they have not noticed that it has none
	heardAt     time.Duration // the store's clock in the first answer of this era to a call of this VM, 0 before
	eraBegan    time.Time     // by when this era had begun, zero if that is not known
	inEra       time.Time     // since when this VM has had a lease of this era, zero before
	listedEra   uint64        // of the newest list of VMs
	roster      lead.Roster
	epoch       uint64
	recordsRead bool // all records have been read at least once in this era
	lease       lead.Lease
	leaseHeld   bool
	leaseSince  time.Time // from when on the lease has been valid without a gap
	onMembers   func(present []lead.Member, asOf time.Time)
	needsFresh  func() bool // whether the list of VMs must be read every freshReadInterval
	// needsContinuity says whether rows of leases contain since when these have been valid without a gap.
	needsContinuity func() bool
	provenSince     time.Time // from when on a lease of this VM has been valid without a gap, also of an earlier process; zero if unknown
	proofsLeft      int       // how often provenSince may still be read from the store
	storeClock      lead.StoreClock
	nextBatch       time.Time     // when the next regular batch of renewals begins
	ownRowVersion   eras.Position // version of this VM's row; 0 if unknown
	grants          lead.Grants
	members         []lead.Member
	listed          bool                     // members contains this VM; before, VMs that start together would all act on each group
	fleetHash       uint64                   // of the fleet with members, 0 before the first one
	watchRanking    lead.Watchers            // derived from members
	watchers        map[string][]lead.Member // by group; cache derived from watchRanking
	checkedView     *watch.View              // the view of the last check of the primaries
	due             []string                 // the groups that are not quiet
	dueOutdated     bool                     // due is to be determined again
	changed         chan struct{}            // closed and replaced when a record or the lease changes
	stopping        bool
}

// New returns the elector of the VM self. It does nothing until Start is called.
func New(self lead.Member, rows port.RowStore, agents Agents, promoter port.Promoter, pools *pool.Set, paths *reach.Monitor,
	view func() *watch.View, clock Clock, log logs.Logger,
) *Elector {
	return &Elector{
		self: self, name: self.Name(), rows: rows, agents: agents, promoter: promoter, pools: pools, paths: paths, view: view, clock: clock, log: log,
		renewSignal: make(chan struct{}, 1), renewRequests: make(chan *renewRequest), groups: make(map[string]*groupState),
		changed: make(chan struct{}), started: clock(), proofsLeft: maxProofReads,
	}
}

// Start renews the lease and checks the primaries in the background until ctx ends.
func (e *Elector) Start(ctx context.Context) {
	e.background.Go(func() { watch.Follow(ctx, e.agents, leadTable, 0, e.clock, (*follower)(e)) })
	e.background.Go(func() {
		for ctx.Err() == nil {
			e.grantBatch(ctx)
		}
	})
	e.background.Go(func() {
		// The first lease needs the records. Reading them at once lets VMs that start together find their agents soon.
		for ctx.Err() == nil && e.reloadRecords(ctx) != nil {
			every.Sleep(ctx, minRenewRetryDelay)
		}
		for ctx.Err() == nil {
			e.renewAndWait(ctx)
		}
	})
	e.paths.Start(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.notifyChanged()
	})
	e.background.Go(func() { every.Interval(ctx, checkInterval, func() { e.checkPrimaries(ctx) }) })
	e.background.Go(func() {
		for ctx.Err() == nil {
			e.readMembers(ctx)
			every.Sleep(ctx, e.memberReadDelay())
		}
	})
}

// OnMembers makes the elector call f with each list of present VMs that it reads, and with a time as of which the list is valid. It reads
// the list every freshReadInterval while needsFresh returns true, and keeps account of the continuity of leases while needsContinuity does.
// It must be called before Start.
func (e *Elector) OnMembers(f func(present []lead.Member, asOf time.Time), needsFresh, needsContinuity func() bool) {
	e.onMembers, e.needsFresh, e.needsContinuity = f, needsFresh, needsContinuity
}

// Presence returns the presence of this VM, the zero Presence if it never had a lease.
func (e *Elector) Presence() lead.Presence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease.Until().IsZero() {
		return lead.Presence{}.WithEra(time.Time{}, e.eraBegan)
	}
	return lead.NewPresence(e.leaseSince, e.lease.Until().Add(lead.Linger), e.provenSince).WithEra(e.inEra, e.eraBegan)
}

// proveContinuity reads from the store since when leases of this VM have been valid without a gap. A VM whose process was started again
// within its lease then need not wait until other VMs have certainly seen the lease.
func (e *Elector) proveContinuity(ctx context.Context) {
	sent := e.clock()
	e.mu.Lock()
	due := e.proofsLeft > 0 && e.lease.Valid(sent) && e.provenSince.IsZero() && sent.Sub(e.leaseSince) < lead.LeaseDuration+lead.Linger
	if due {
		e.proofsLeft--
	}
	since := e.leaseSince
	e.mu.Unlock()
	if !due {
		return
	}
	s, err := e.rows.List(ctx, memberTable)
	if err != nil {
		return
	}
	received := e.clock()
	entries, _ := decodeAllMembers(s.Rows)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaseSince != since || !e.lease.Valid(received) {
		return
	}
	if from, ok := lead.PresentSince(entries, e.name, s.Clock); ok {
		e.provenSince = received.Add(from - s.Clock)
	}
}

// Wait waits until the elector has ended all that Start began. Call it when the context passed to Start has ended.
func (e *Elector) Wait() {
	e.paths.Wait()
	e.background.Wait()
}

// PrimaryUse is permission to use a group's primary for one transaction or statement.
type PrimaryUse struct {
	e       *Elector
	group   string
	server  string
	version uint64
}

// Server returns the primary's id.
func (u PrimaryUse) Server() string { return u.server }

// Version returns the version of the record that named the primary.
func (u PrimaryUse) Version() uint64 { return u.version }

// Valid reports whether the server is certainly still the primary: this VM's lease is valid and it has confirmed no change of the
// primary, so no promotion can have taken effect.
func (u PrimaryUse) Valid() bool {
	u.e.mu.Lock()
	defer u.e.mu.Unlock()
	g := u.e.groups[u.group]
	return g != nil && (g.servingVersion == u.version || g.rewrittenFrom == u.version) && u.e.mayUsePrimaries(u.e.clock())
}

// Release ends the use. It must be called exactly once.
func (u PrimaryUse) Release() {
	u.e.mu.Lock()
	defer u.e.mu.Unlock()
	if g := u.e.groups[u.group]; g != nil {
		g.activeUses--
	}
}

// AcquirePrimary permits the use of the group's primary. It returns false if there is no usable primary or if this VM cannot be
// sure of it, for example without a valid lease. The caller must call Release on the result.
func (e *Elector) AcquirePrimary(group string) (PrimaryUse, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.groups[group]
	if g == nil || g.record.Phase() != lead.Stable || g.servingVersion == 0 || g.suspected || !e.mayUsePrimaries(e.clock()) {
		return PrimaryUse{}, false
	}
	if e.paths.CutOff() && !e.isPrimaryNearby(g) {
		return PrimaryUse{}, false
	}
	g.activeUses++
	return PrimaryUse{e: e, group: group, server: g.record.Server(), version: g.servingVersion}, true
}

// Isolated reports whether this VM is cut off: it has no valid lease or cannot reach most primaries. Another VM serves its callers
// better.
func (e *Elector) Isolated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.mayUsePrimaries(e.clock()) {
		return true
	}
	n, total := 0, 0
	cutOff := e.paths.CutOff()
	for _, g := range e.groups {
		if g.record.Version() == 0 {
			continue
		}
		total++
		if g.suspected || (cutOff && !e.isPrimaryNearby(g)) {
			n++
		}
	}
	return lead.Isolated(n, total)
}

// Waits reports whether this VM has a lease and may use no primary yet, since the store has come back from a copy.
func (e *Elector) Waits() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	return e.lease.Valid(now) && !e.restore.MayUse(now)
}

// Starting reports whether this VM started less than startupGrace ago and has not obtained its first lease yet.
func (e *Elector) Starting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Until().IsZero() && e.clock().Sub(e.started) < startupGrace
}

// PrimaryVersion returns the version of the group's last stable record, 0 if there is none. Log positions recorded under the same
// version belong to the same history.
func (e *Elector) PrimaryVersion(group string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.groups[group]; g != nil {
		return g.stableVersion
	}
	return 0
}

// ReapplyPrimaries sets the primaries of the connection pool groups again, after groups or their servers have changed.
func (e *Elector) ReapplyPrimaries() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, g := range e.groups {
		if g.record.Phase() != lead.Stable {
			continue
		}
		if pg, ok := e.pools.Group(name); ok {
			pg.SetLeader(g.record.Server(), g.record.Version())
		}
	}
}

// Changed returns a channel that is closed when a record or the lease next changes.
func (e *Elector) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// RecordAnswer records whether the server answered a request sent at sent. It ignores servers that are not the group's primary.
func (e *Elector) RecordAnswer(group, server string, sent time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.groups[group]
	if g == nil || g.record.Server() != server {
		return
	}
	if ok {
		g.detector.RecordSuccess(sent)
	} else {
		g.detector.RecordFailure(sent)
		e.setQuiet(g, false)
	}
}

// notifyChanged closes the channel returned by Changed and replaces it. The caller holds mu.
func (e *Elector) notifyChanged() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Elector) requestRenewal() {
	select {
	case e.renewSignal <- struct{}{}:
	default:
	}
}

type follower Elector

// Reset implements watch.Follower.
func (f *follower) Reset(sent time.Time, s port.Snapshot) { (*Elector)(f).applyRows(sent, s, true) }

// Change implements watch.Follower.
func (f *follower) Change(sent time.Time, s port.Snapshot) { (*Elector)(f).applyRows(sent, s, false) }

// CallFailed implements watch.Follower.
func (f *follower) CallFailed(err error) {
	f.log.Event(event.StoreDown, zap.String("table", leadTable), zap.Error(err))
}

// applyRows applies rows of leadTable. Complete says that s holds the whole table.
func (e *Elector) applyRows(sent time.Time, s port.Snapshot, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Version.Era() < e.era {
		return
	}
	e.recordStoreClock(sent, s)
	epochChanged := false
	for _, row := range s.Rows {
		if row.Key == epochKey {
			epochChanged = epochChanged || uint64(row.Version) > e.epoch
			e.epoch = max(e.epoch, uint64(row.Version))
			continue
		}
		if row.Key == eraKey {
			e.applyEraMark(row)
			continue
		}
		group, r, ok, err := decodeRecord(row)
		if err != nil {
			e.log.Event(event.InvariantViolated, zap.Error(err))
		}
		if ok {
			e.applyRow(group, row.Version, r)
		}
	}
	if complete {
		e.recordsRead = true
		e.findLostRecords(s)
	}
	e.learnEraAge(s)
	if epochChanged || complete {
		e.requestRenewal()
	}
	e.notifyChanged()
}

// recordStoreClock records the store's clock from the answer to a request sent at sent. It ignores relayed answers. The caller
// holds mu.
func (e *Elector) recordStoreClock(sent time.Time, s port.Snapshot) {
	if s.Relayed || s.Version == 0 {
		return
	}
	e.storeClock.RecordAnswer(sent, s.Clock)
	if e.heardAt == 0 && s.Version.Era() == e.era {
		e.heardAt = s.Clock
	}
	e.learnEraAge(s)
}

// applyRow applies the record of a group in the row with this version. A row of a copy may hold a record that this VM knows to have been
// replaced: that record stays, and is to be written again. The caller holds mu.
func (e *Elector) applyRow(group string, row eras.Position, r lead.Record) {
	g := e.group(group)
	if row < g.row {
		return
	}
	g.row, g.lost = row, r.Version() < g.record.Version()
	if g.lost {
		e.setQuiet(g, false)
		return
	}
	e.applyRecord(group, r)
}

// findLostRecords marks the records to be written again that the store listed no more. The caller holds mu.
func (e *Elector) findLostRecords(s port.Snapshot) {
	for _, g := range e.groups {
		if g.record.Version() != 0 && g.row.Era() < s.Version.Era() {
			g.row, g.lost = 0, true
			e.setQuiet(g, false)
		}
	}
}

// EraChanged makes the elector read all that it knows from the store again. Until then it renews no lease and starts no replacement, and
// those under way end without an order.
func (e *Elector) EraChanged(c eras.Changed) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	e.restore.Begin(now, e.lease.Valid(now))
	e.roster.Restored(now)
	e.era, e.epoch, e.ownRowVersion, e.recordsRead, e.storeClock = c.To().Era(), 0, 0, false, lead.StoreClock{}
	e.heardAt, e.markDue, e.eraBegan, e.inEra = 0, time.Time{}, time.Time{}, time.Time{}
	e.fleetChanged.Store(true)
	e.checkAll()
	e.notifyChanged()
}

// newestEra returns the newest era of the store of which this VM has heard.
func (e *Elector) newestEra() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

// mayUsePrimaries reports whether this VM may use primaries at now. The caller holds mu.
func (e *Elector) mayUsePrimaries(now time.Time) bool {
	return e.lease.Valid(now) && e.restore.MayUse(now)
}

// applyRecord stores a record if it is newer than the known one. The caller holds mu.
func (e *Elector) applyRecord(group string, r lead.Record) {
	g := e.group(group)
	if r.Version() <= g.record.Version() {
		return
	}
	now := e.clock()
	e.log.Event(event.LeaderChanged, zap.String("group", group), zap.String("server", r.Server()),
		zap.Uint64("term", r.Term()), zap.Bool("moving", r.Phase() == lead.Moving), zap.String("by", r.Writer()),
		zap.Uint64("version", r.Version()))
	if r.Phase() == lead.Moving && g.record.Phase() == lead.Stable {
		g.confirmDeadline = now.Add(notice.MaxRenewalDelay)
	}
	if r.Phase() == lead.Stable {
		if r.Server() != g.record.Server() || g.record.Phase() != lead.Stable {
			g.detector, g.suspected, g.actionDueSince = lead.FailureDetector{}, false, time.Time{}
			g.backlogMoveDue = false
			g.backlog.Reset()
		}
		g.rewrittenFrom = 0
		if r.Rewrites(g.record) {
			g.rewrittenFrom = g.servingVersion
		}
		g.stableVersion, g.servingVersion = r.Version(), r.Version()
	}
	g.record, g.recordSeen = r, now
	e.setQuiet(g, false)
	if r.Phase() == lead.Stable {
		if pg, ok := e.pools.Group(group); ok {
			pg.SetLeader(r.Server(), r.Version())
		}
	}
}

// group returns the state of a group and creates it if needed. The caller holds mu.
func (e *Elector) group(name string) *groupState {
	g, ok := e.groups[name]
	if !ok {
		g = &groupState{}
		e.groups[name] = g
	}
	return g
}

// reloadRecords reads all records from the store itself, not through an agent.
func (e *Elector) reloadRecords(ctx context.Context) error {
	sent := e.clock()
	s, err := e.rows.List(ctx, leadTable)
	if err != nil {
		return err
	}
	e.applyRows(sent, s, true)
	return nil
}

// renewAndWait renews the lease and waits until the next renewal is due or requested.
func (e *Elector) renewAndWait(ctx context.Context) {
	next, err := e.renewLease(ctx)
	switch {
	case err == nil && next <= 0:
		next = lead.RenewInterval
	case err != nil:
		next = minRenewRetryDelay + time.Duration(retry.Jitter()*float64(minRenewRetryDelay))
		if !errors.Is(err, port.ErrConflict) {
			e.log.Event(event.StoreDown, zap.String("table", memberTable), zap.Error(err))
		}
	}
	every.Wait(ctx, next, e.renewSignal)
}

// renewLease confirms the newest epoch that this VM has seen and extends the lease. It returns when the next renewal is due, 0 if
// that is unknown.
func (e *Elector) renewLease(ctx context.Context) (next time.Duration, err error) {
	if !e.awaitPrimaryUses(ctx) {
		return 0, nil
	}
	e.mu.Lock()
	sent, epoch, inEra := e.clock(), e.epoch, e.era
	var suspected []string
	for _, g := range e.groups {
		if g.record.Phase() == lead.Moving {
			g.servingVersion, g.rewrittenFrom = 0, 0
		}
		if g.suspected {
			suspected = append(suspected, g.record.Server())
		}
	}
	e.mu.Unlock()
	slices.Sort(suspected)
	m := lead.NewMember(e.name, epoch, 0, suspected).WithLocation(e.self.DataCentre(), e.self.Address()).WithCores(e.self.Cores())
	next, err = e.agents.Renew(ctx, m, false)
	if err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.era != inEra {
		return 0, port.ErrConflict // The renewal may be of the new era, of which this VM has not read the records yet.
	}
	if now := e.clock(); !now.Before(e.lease.Until().Add(lead.Linger)) {
		e.leaseSince, e.provenSince = now, time.Time{}
	}
	if !e.lease.Valid(e.clock()) {
		e.restore.Lapsed()
	}
	e.lease.Renew(sent, epoch)
	if e.inEra.IsZero() {
		e.inEra = e.clock()
	}
	if !e.leaseHeld {
		e.leaseHeld = true
		e.log.Event(event.LeaseRenewed, zap.Uint64("epoch", epoch))
		e.notifyChanged()
	}
	return next, nil
}

// awaitPrimaryUses waits until no work uses a primary that is being replaced, but at most notice.MaxRenewalDelay from when this VM saw
// the moving record. It reports whether the records have been read.
func (e *Elector) awaitPrimaryUses(ctx context.Context) bool {
	for ctx.Err() == nil {
		e.mu.Lock()
		busy, recordsRead := false, e.recordsRead
		now := e.clock()
		for _, g := range e.groups {
			busy = busy || (g.record.Phase() == lead.Moving && g.activeUses > 0 && g.servingVersion != 0 && now.Before(g.confirmDeadline))
		}
		e.mu.Unlock()
		if !busy {
			return recordsRead
		}
		every.Sleep(ctx, 10*time.Millisecond)
	}
	return false
}

// readMembers reads the list of VMs and updates all that is derived from it. While a watched primary is suspected, the list must
// be fresh.
func (e *Elector) readMembers(ctx context.Context) {
	maxAge := fleetMaxAge
	switch {
	case e.isWatchedPrimarySuspected():
		maxAge = suspectReadInterval
	case !e.isListed():
		maxAge = startupReadInterval
	case e.readsFreshLists():
		maxAge = freshReadInterval
	}
	sent := e.clock()
	fleet, err := e.agents.ReadFleet(ctx, maxAge)
	if err != nil {
		return
	}
	asOf := sent.Add(-maxAge)
	fleet = e.updateRoster(fleet, asOf)
	e.applyFleet(fleet)
	if e.onMembers != nil {
		e.onMembers(fleet.Present(), asOf)
	}
	if e.readsFreshLists() && e.needsContinuity() {
		e.proveContinuity(ctx)
	}
}

// updateRoster returns the VMs that this VM goes by after a list of VMs as of asOf.
func (e *Elector) updateRoster(list lead.Fleet, asOf time.Time) lead.Fleet {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.roster.Update(list, asOf, e.clock())
	if len(e.members) > 0 && e.listedEra != e.era {
		e.log.Event(event.FirstList, zap.Uint64("era", e.era), zap.Int("live", len(list.Live())), zap.Int("kept", f.Size()-list.Size()),
			zap.Int("before", len(e.members)))
	}
	e.listedEra = e.era
	return f
}

// applyFleet updates all that is derived from the list of VMs, if the list has changed.
func (e *Elector) applyFleet(fleet lead.Fleet) {
	e.mu.Lock()
	if fleet.Hash() == e.fleetHash {
		e.mu.Unlock()
		return
	}
	e.fleetHash, e.members = fleet.Hash(), fleet.Live()
	e.watchRanking, e.watchers = lead.NewWatchers(e.members), make(map[string][]lead.Member)
	e.checkAll()
	e.listed = slices.ContainsFunc(e.members, func(m lead.Member) bool { return m.Name() == e.name })
	agents := lead.Agents(e.members, e.self.DataCentre())
	e.mu.Unlock()
	e.paths.SetMembers(fleet.Live())
	e.pools.SetMembers(fleet.Live(), fleet.Holders())
	e.agents.SetAgents(agents)
}

// ReadFleet implements relay.Granter: it returns the live VMs as of at most maxAge ago, from the store if need be.
func (e *Elector) ReadFleet(ctx context.Context, maxAge time.Duration) (lead.Fleet, error) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	sent := e.clock()
	if e.fleetChanged.Load() {
		maxAge = min(maxAge, changedFleetMaxAge)
	}
	if !e.fleetReadAt.IsZero() && sent.Sub(e.fleetReadAt) < maxAge {
		return e.fleet, nil
	}
	if _, err := e.listMembers(ctx); err != nil {
		return lead.Fleet{}, err
	}
	return e.fleet, nil
}

// listMembers reads memberTable from the store and derives the fleet from it. The caller holds fleetMu.
func (e *Elector) listMembers(ctx context.Context) ([]port.Row, error) {
	e.fleetChanged.Store(false)
	sent := e.clock()
	s, err := e.rows.List(ctx, memberTable)
	if err != nil {
		e.fleetChanged.Store(true)
		return nil, err
	}
	members := e.decodeMembers(s.Rows)
	e.mu.Lock()
	e.recordStoreClock(sent, s)
	e.observeLeases(s, !e.committed)
	e.mu.Unlock()
	e.fleet, e.fleetReadAt, e.memberRows = lead.FleetOf(members, s.Clock), sent, nil
	if !e.committed {
		e.memberRows = s.Rows
	}
	return s.Rows, nil
}

// decodeMembers returns the members of all rows, and logs the rows that cannot be decoded.
func (e *Elector) decodeMembers(rows []port.Row) []lead.Member {
	members, invalid := decodeMembers(rows)
	for _, err := range invalid {
		e.log.Event(event.MembersRefused, zap.Error(err))
	}
	return members
}

// isListed reports whether the list of VMs names this VM and another one.
func (e *Elector) isListed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed && len(e.members) > 1
}

// readsFreshLists reports whether this VM needs a list of VMs every freshReadInterval.
func (e *Elector) readsFreshLists() bool { return e.needsFresh != nil && e.needsFresh() }

func (e *Elector) memberReadDelay() time.Duration {
	if e.isWatchedPrimarySuspected() {
		return suspectReadInterval
	}
	if !e.isListed() {
		return startupReadInterval
	}
	if e.readsFreshLists() {
		return freshReadInterval
	}
	return memberReadInterval*3/4 + time.Duration(retry.Jitter()*float64(memberReadInterval)/2)
}

// isPrimaryNearby reports whether the group's primary is in this VM's data centre. The caller holds mu.
func (e *Elector) isPrimaryNearby(g *groupState) bool {
	s, ok := e.view().Server(g.record.Server())
	return ok && s.DataCentre() == e.self.DataCentre()
}

// isWatchedPrimarySuspected reports whether this VM watches a primary that is suspected or to be replaced.
func (e *Elector) isWatchedPrimarySuspected() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, g := range e.groups {
		if (g.suspected || !g.actionDueSince.IsZero()) && e.isWatcher(name) {
			return true
		}
	}
	return false
}

// watchersOf returns the VMs that watch the group's primary. The caller holds mu.
func (e *Elector) watchersOf(group string) []lead.Member {
	w, ok := e.watchers[group]
	if !ok {
		w = e.watchRanking.Of(group)
		if e.watchers != nil {
			e.watchers[group] = w
		}
	}
	return w
}

// isWatcher reports whether this VM watches the group's primary. The caller holds mu.
func (e *Elector) isWatcher(group string) bool {
	return slices.ContainsFunc(e.watchersOf(group), func(m lead.Member) bool { return m.Name() == e.name })
}

// Stop prevents this VM from starting to replace primaries and gives up its lease. Call it when the VM's work has ended.
func (e *Elector) Stop(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	m := lead.NewMember(e.name, e.epoch, 0, nil).WithLocation(e.self.DataCentre(), e.self.Address()).WithCores(e.self.Cores())
	e.lease = lead.Lease{}
	e.mu.Unlock()
	if _, err := e.agents.Renew(ctx, m, true); err != nil {
		e.log.Event(event.StoreDown, zap.String("table", memberTable), zap.Error(err))
	}
}

// GroupState describes one group in a state dump.
type GroupState struct {
	Group   string `json:"group"`
	Server  string `json:"server"`
	Term    uint64 `json:"term"`
	Moving  bool   `json:"moving"`
	Writer  string `json:"holder"`
	Version uint64 `json:"version"`
	Suspect bool   `json:"suspect"`
	Held    bool   `json:"held"` // a promotion by this VM waits for a server that may have acknowledged commits
	Users   int    `json:"users"`
}

// State describes the elector in a state dump.
type State struct {
	Epoch  uint64 `json:"epoch"`
	CutOff bool   `json:"apart"` // no VM of another data centre answers
	// Unreachable are the data centres of which no VM answers.
	Unreachable []string      `json:"unreachable"`
	LeaseLeft   time.Duration `json:"lease_left"`
	VMs         []string      `json:"vms"`
	Groups      []GroupState  `json:"groups"`
}

// State returns the elector's current state.
func (e *Elector) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	paths := e.paths.State()
	s := State{
		Epoch: e.epoch, CutOff: paths.CutOff, Unreachable: paths.Unreachable, LeaseLeft: e.lease.Until().Sub(e.clock()),
	}
	for _, m := range e.members {
		s.VMs = append(s.VMs, m.Name())
	}
	for name, g := range e.groups {
		s.Groups = append(s.Groups, GroupState{
			Group: name, Server: g.record.Server(), Term: g.record.Term(), Moving: g.record.Phase() == lead.Moving,
			Writer: g.record.Writer(), Version: g.record.Version(), Suspect: g.suspected, Held: g.promotionHeld, Users: g.activeUses,
		})
	}
	return s
}

// RecordPosition passes a server's log position from the answer to a request sent at sent to the pool group, and whether the
// server was certainly the primary when it answered.
func (e *Elector) RecordPosition(pg *pool.Group, group, server string, sent time.Time, p point.Point) {
	e.mu.Lock()
	g := e.groups[group]
	valid := g != nil && g.record.Server() == server && g.record.Phase() == lead.Stable && e.lease.Valid(e.clock())
	e.mu.Unlock()
	pg.RecordPosition(server, sent, p, valid)
}
