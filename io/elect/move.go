package elect

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/eras"
	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/io/every"
	"verbenagate/io/pool"
)

const (
	// recordRefreshInterval is how often the moving record is rewritten during a long move, so that no other VM takes it over.
	recordRefreshInterval = 2 * time.Second
	// confirmPollInterval is the shortest time between two reads of the leases while VMs confirm a record, and confirmWait how long
	// a read waits for a change. The lease of a VM that does not confirm expires without a change.
	confirmPollInterval = 40 * time.Millisecond
	confirmWait         = 200 * time.Millisecond
	// statusTimeout bounds a status or demotion request to a server.
	statusTimeout = 400 * time.Millisecond
	// minStatusRounds is how many times all servers are asked before one is chosen although others reported no position.
	minStatusRounds = 3
	// statusRoundDelay is the time between two rounds.
	statusRoundDelay = 30 * time.Millisecond
	// catchUpTimeout is how long a replica may take to receive all that a still reachable primary has committed.
	catchUpTimeout = 1200 * time.Millisecond
	// oldPrimaryPollInterval is how often a primary that was unreachable is asked again while VMs confirm that it is being replaced.
	oldPrimaryPollInterval = 200 * time.Millisecond
	// minReturnWait is how long the confirmation must have taken for the old primary to be kept because it answers again. Within a
	// shorter time the reasons to replace it have hardly changed.
	minReturnWait = time.Second
	// maxReturnAge is how long ago the old primary may have answered then.
	maxReturnAge = 500 * time.Millisecond
	// maxHoldTime is how long a VM waits for a server that it may promote before it leaves the move to another VM, which may reach
	// more servers.
	maxHoldTime = 10 * time.Second
	// promotionTimeout is how long an ordered promotion may take to take effect before it is ordered again.
	promotionTimeout = 2500 * time.Millisecond
)

// errNoCandidate means that this VM reaches no server that it may promote.
var errNoCandidate = errors.New("no server that this VM reaches may be promoted")

// errTakenOver means that another VM has written the record, or may already have done so.
var errTakenOver = errors.New("another VM has taken over the replacement of the primary")

// movePrimary replaces a group's primary. It fails when another VM takes the replacement over. With keepPrimary, the old primary
// is still serving, and it stays the primary unless a replica has received all that it committed.
//
// A primary that was unreachable also stays the primary if it answers again while other VMs still have to confirm the replacement, as
// after a partition that is shorter than their leases.
func (e *Elector) movePrimary(ctx context.Context, pg *pool.Group, group string, old lead.Record, keepPrimary bool) {
	began := e.clock()
	e.log.Event(event.PromotionStarted, zap.String("group", group), zap.String("server", old.Server()),
		zap.Uint64("version", old.Version()), zap.Bool("resumed", old.Phase() == lead.Moving),
		zap.Bool("keep", keepPrimary))
	m := &primaryMove{
		e: e, pg: pg, group: group, record: old, oldPrimary: old.Server(), oldTerm: old.Term(), keepPrimary: keepPrimary,
		mayReturn:  old.Phase() == lead.Stable && !keepPrimary && e.isSuspected(group),
		promotedAt: old.PromotedAt(), row: e.rowOf(group, old), promotionOrdered: old.Phase() == lead.Moving && old.PromotionOrdered(),
	}
	server, err := m.run(ctx)
	e.setPromotionHeld(group, false)
	if err != nil {
		e.log.Event(event.PromotionFailed, zap.String("group", group), zap.Error(err))
		_ = e.reloadRecords(ctx) // A failed call may have taken effect; if the reload fails, the follower reads the record.
		e.mu.Lock()
		defer e.mu.Unlock()
		e.group(group).moveBlockedUntil = e.clock().Add(failedMoveDelay)
		return
	}
	e.log.Event(event.PromotionDone, zap.String("group", group), zap.String("server", server),
		zap.Duration("took", e.clock().Sub(began)))
}

// setPromotionHeld records whether a promotion of the group waits for a missing server, and reports whether that is a change.
func (e *Elector) setPromotionHeld(group string, held bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.group(group)
	changed := g.promotionHeld != held
	g.promotionHeld = held
	return changed
}

// primaryMove is the replacement of one group's primary in progress.
type primaryMove struct {
	e                *Elector
	pg               *pool.Group
	group            string
	oldPrimary       string
	oldTerm          uint64
	keepPrimary      bool
	mayReturn        bool // the old primary was unreachable, and no promotion can have been ordered yet
	promotionOrdered bool // a promotion may have been ordered, by this VM or an earlier one, and may take effect late
	record           lead.Record
	row              eras.Position // of the record
	recordWritten    time.Time     // when the request that last wrote the record was sent
	promotedAt       point.Point   // see lead.Record; of oldPrimary until another server leads
	positions        string        // those that were logged last
	handedOver       bool          // oldPrimary is a draining server that this move has promoted
}

// newRecord returns a record to be written, with what a VM that resumes the move must know.
func (m *primaryMove) newRecord(phase lead.Phase, server string, term uint64) lead.Record {
	r := lead.NewRecord(phase, server, term, m.e.name).WithPromotedAt(m.promotedAt)
	return r.WithPromotionOrdered(phase == lead.Moving && m.promotionOrdered)
}

// eraEnded reports whether the store may have lost the record of the move.
func (m *primaryMove) eraEnded() bool { return m.row != 0 && m.row.Era() != m.e.newestEra() }

// rowOf returns the version of the row with a record, which is that of the record unless the store has come back from a copy since.
func (e *Elector) rowOf(group string, r lead.Record) eras.Position {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.group(group); g.record.Version() == r.Version() {
		return g.row
	}
	return eras.Position(r.Version())
}

// syncReplicas returns how many replicas must have received a commit of the group before it is acknowledged.
func (m *primaryMove) syncReplicas() int { return m.e.view().Config().SyncReplicas(m.group) }

// run carries out the move and returns the id of the primary in the new stable record.
func (m *primaryMove) run(ctx context.Context) (string, error) {
	if err := m.writeRecord(ctx, m.newRecord(lead.Moving, m.oldPrimary, m.record.Term()), true); err != nil {
		return "", err
	}
	epoch := m.record.Version()
	returned, err := m.confirmAndPollOldPrimary(ctx, epoch)
	if err != nil {
		return "", err
	}
	if returned {
		if err := m.writeRecord(ctx, m.newRecord(lead.Stable, m.oldPrimary, m.oldTerm), false); err != nil {
			return "", err
		}
		return m.oldPrimary, nil
	}
	for ctx.Err() == nil {
		best, err := m.choosePrimary(ctx)
		if err != nil {
			return "", err
		}
		isOldPrimary := best.ID() == m.oldPrimary
		if !best.Primary() {
			m.promotionOrdered = true
			if err := m.writeRecord(ctx, m.newRecord(lead.Moving, m.oldPrimary, m.record.Term()), false); err != nil {
				return "", err
			}
			if !lead.MayOrderPromotion(m.e.clock(), m.recordWritten) || m.eraEnded() {
				return "", errTakenOver
			}
			err = m.e.promoter.Promote(ctx, m.group, best.ID(), m.e.name, m.record.Version())
			if err != nil {
				m.e.log.Event(event.PromotionFailed, zap.String("group", m.group), zap.String("server", best.ID()), zap.Error(err))
			}
		}
		if term, ok := m.awaitLeadership(ctx, best.ID(), isOldPrimary); ok {
			if !isOldPrimary {
				m.recordPromotion(best)
			}
			if best.Draining() {
				if err := m.handOver(ctx, best.ID(), term); err != nil {
					return "", err
				}
				continue
			}
			if err := m.writeRecord(ctx, m.newRecord(lead.Stable, best.ID(), term), false); err != nil {
				return "", err
			}
			m.demoteOldPrimary(m.oldPrimary, term)
			return best.ID(), nil
		}
	}
	return "", ctx.Err()
}

// recordPromotion records the position at which a server has been promoted, if later promotions must not fall behind it.
func (m *primaryMove) recordPromotion(c lead.Candidate) {
	m.promotedAt = point.Point{}
	if m.syncReplicas() > 0 {
		m.promotedAt = c.Received()
	}
}

// handOver continues the move with a draining server as the primary to be replaced. It alone had all acknowledged commits, so it
// had to lead, and the other servers now receive its log. VMs do not use it, since it stops soon.
func (m *primaryMove) handOver(ctx context.Context, server string, term uint64) error {
	if err := m.writeRecord(ctx, m.newRecord(lead.Moving, server, term), false); err != nil {
		return err
	}
	replaced := m.oldPrimary
	m.e.background.Go(func() { m.demoteOldPrimary(replaced, term) })
	m.oldPrimary, m.oldTerm, m.keepPrimary, m.handedOver = server, term, false, true
	return nil
}

// writeRecord replaces the group's record. With changeEpoch it also changes the epoch, so that the VMs have to confirm the
// record. It returns errTakenOver if another VM has written the record or, with changeEpoch, the epoch.
func (m *primaryMove) writeRecord(ctx context.Context, r lead.Record, changeEpoch bool) error {
	row, err := encodeRecord(m.group, r, m.e.newestEra())
	if err != nil {
		return err
	}
	expect := []port.Row{{Table: leadTable, Key: row.Key, Version: m.row}}
	put := []port.Row{row}
	if changeEpoch {
		m.e.mu.Lock()
		expect = append(expect, port.Row{Table: leadTable, Key: epochKey, Version: eras.Position(m.e.epoch)})
		m.e.mu.Unlock()
		put = append(put, port.Row{Table: leadTable, Key: epochKey, Value: []byte(m.group)})
	}
	sent := m.e.clock()
	s, err := m.e.rows.Commit(ctx, expect, put, nil)
	if errors.Is(err, port.ErrConflict) {
		return errTakenOver
	}
	if err != nil {
		return err
	}
	m.record, m.row, m.recordWritten = r.WithVersion(uint64(s.Version)), s.Version, sent
	for i := range put {
		put[i].Version = s.Version
	}
	m.e.applyRows(sent, port.Snapshot{Rows: put, Version: s.Version, Clock: s.Clock}, false)
	return nil
}

// confirmAndPollOldPrimary waits like awaitConfirmation, and reports whether the old primary serves again at the end.
func (m *primaryMove) confirmAndPollOldPrimary(ctx context.Context, epoch uint64) (returned bool, err error) {
	if !m.mayReturn {
		return false, m.awaitConfirmation(ctx, epoch)
	}
	pollCtx, stop := context.WithCancel(ctx)
	var lastAnswer atomic.Pointer[time.Time]
	m.e.background.Go(func() {
		for pollCtx.Err() == nil {
			sent := m.e.clock()
			if m.oldPrimaryServes() {
				lastAnswer.Store(&sent)
			}
			every.Sleep(pollCtx, oldPrimaryPollInterval)
		}
	})
	began := m.e.clock()
	err = m.awaitConfirmation(ctx, epoch)
	stop()
	now, last := m.e.clock(), lastAnswer.Load()
	return err == nil && now.Sub(began) >= minReturnWait && last != nil && now.Sub(*last) <= maxReturnAge, err
}

// oldPrimaryServes reports whether the old primary answers and still leads the term of the record.
func (m *primaryMove) oldPrimaryServes() bool {
	for _, s := range m.pg.Members() {
		if s.ID() == m.oldPrimary && s.Draining() {
			return false
		}
	}
	status, _, err := m.pg.Status(m.oldPrimary, statusTimeout)
	return err == nil && status.Primary() && status.Term() == m.oldTerm
}

// awaitConfirmation waits until every VM has seen epoch or its lease has expired, so that none uses the old primary any more. It
// lists the leases once and then follows their changes, since the list of a large fleet is long.
func (m *primaryMove) awaitConfirmation(ctx context.Context, epoch uint64) error {
	rows := make(map[string]port.Row)
	began, listed := m.e.clock(), false
	var version eras.Position
	for ctx.Err() == nil {
		if m.eraEnded() {
			return errTakenOver
		}
		sent := m.e.clock()
		var s port.Snapshot
		var err error
		if listed {
			s, err = m.e.rows.Changes(ctx, memberTable, version, confirmWait)
		} else {
			s, err = m.e.rows.List(ctx, memberTable)
		}
		switch {
		case errors.Is(err, port.ErrHistoryGone):
			listed = false
		case err == nil:
			if !listed {
				clear(rows)
			}
			listed, version = true, max(version, s.Version)
			for _, row := range s.Rows {
				rows[row.Key] = row
				if row.Deleted {
					delete(rows, row.Key)
				}
			}
			members, invalid := decodeMembers(slices.Collect(maps.Values(rows)))
			// A row that cannot be decoded may be that of a VM. The leases in it end within the duration of a lease.
			mayHoldLease := len(invalid) > 0 && sent.Sub(began) <= lead.LeaseDuration+confirmWait
			if len(lead.PendingMembers(members, epoch, s.Clock)) == 0 && !mayHoldLease {
				return nil
			}
		}
		if sent.Sub(m.recordWritten) > recordRefreshInterval {
			r := m.newRecord(lead.Moving, m.oldPrimary, m.record.Term())
			if err := m.writeRecord(ctx, r, false); errors.Is(err, errTakenOver) {
				return err
			}
		}
		every.Sleep(ctx, confirmPollInterval)
	}
	return ctx.Err()
}

// choosePrimary returns the server whose promotion loses the fewest commits, or a server that already leads a newer term. It
// returns the old primary if that still serves and no other server may replace it. If the group replicates synchronously, it waits
// for a server that has all acknowledged commits. A draining server is returned only if it alone has them.
func (m *primaryMove) choosePrimary(ctx context.Context) (lead.Candidate, error) {
	began := m.e.clock()
	suspected := m.e.isSuspected(m.group) && !m.handedOver
	for try := 1; ctx.Err() == nil; try++ {
		syncReplicas := m.syncReplicas()
		poll, promotable := m.pollServers(!suspected || m.e.clock().Sub(began) > catchUpTimeout, syncReplicas > 0)
		catchUpOver := m.e.clock().Sub(began) > catchUpTimeout
		old := poll.Primary()
		best, ok := poll.SafeCandidate(m.promotedAt, syncReplicas, false)
		if (!ok || m.keepPrimary) && !m.promotionOrdered && old.Primary() && catchUpOver {
			return old, nil // The old primary serves, and no other server may replace it.
		}
		for _, c := range poll.Candidates() {
			if c.Primary() {
				return c, nil
			}
		}
		caughtUp := best.Received().Covers(old.Received()) && (!m.keepPrimary || old.Primary())
		if ok && (len(poll.Candidates()) == promotable || try >= minStatusRounds) && (caughtUp || catchUpOver) {
			return best, nil
		}
		if !ok && !poll.PrimaryAnswered() && try >= minStatusRounds {
			if c, found := poll.SafeCandidate(m.promotedAt, syncReplicas, true); found {
				return c, nil
			}
			m.logHeld(poll)
		}
		if !ok && m.e.clock().Sub(began) > maxHoldTime {
			return lead.Candidate{}, errNoCandidate
		}
		if m.e.clock().Sub(m.recordWritten) > recordRefreshInterval {
			if err := m.writeRecord(ctx, m.newRecord(lead.Moving, m.oldPrimary, m.record.Term()), false); err != nil {
				return lead.Candidate{}, err
			}
		}
		every.Sleep(ctx, statusRoundDelay)
	}
	return lead.Candidate{}, ctx.Err()
}

// logHeld logs once that servers answer, but none of them certainly has all acknowledged commits.
func (m *primaryMove) logHeld(poll lead.Poll) {
	if len(poll.Candidates()) == 0 || !m.e.setPromotionHeld(m.group, true) {
		return
	}
	m.e.log.Event(event.PromotionHeld, zap.String("group", m.group), zap.String("positions", m.positions),
		zap.String("required", m.promotedAt.String()), zap.Int("missing", poll.Silent()))
}

// pollServers requests the status of all servers. The candidates of the poll are the servers that can be promoted and answered,
// draining ones only with includeDraining. The old primary is asked only with includeOld, because a request to a crashed server
// lasts until its timeout. Promotable is the number of servers that can be promoted, including those that did not answer.
func (m *primaryMove) pollServers(includeOld, includeDraining bool) (poll lead.Poll, promotable int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var positions []string
	var candidates []lead.Candidate
	var old lead.Candidate
	oldAnswered, oldMayReturn := false, false
	for _, s := range m.pg.Members() {
		canBePromoted := s.ID() != m.oldPrimary && (includeDraining || !s.Draining())
		if canBePromoted {
			promotable++
		}
		if s.ID() == m.oldPrimary {
			oldMayReturn = true
			if !includeOld {
				continue
			}
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, _, err := m.pg.Status(s.ID(), statusTimeout)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				positions = append(positions, s.ID()+": "+err.Error())
				return
			}
			positions = append(positions, s.ID()+": "+status.Received().String())
			switch {
			case canBePromoted:
				leadsNewerTerm := status.Primary() && lead.LeadsNewerTerm(status.Term(), m.record)
				candidates = append(candidates, lead.NewCandidate(s.ID(), status.Received(), leadsNewerTerm).WithDraining(s.Draining()))
			case s.ID() == m.oldPrimary:
				old = lead.NewCandidate(s.ID(), status.Received(), status.Primary() && !s.Draining())
				oldAnswered = status.Term() >= m.oldTerm
				oldMayReturn = oldAnswered // A server of an older term has been started again without its log.
			}
		}()
	}
	wg.Wait()
	left := 0
	for _, id := range m.pg.Departed() {
		if id == m.oldPrimary {
			oldMayReturn = true
		} else {
			left++
		}
	}
	slices.Sort(positions)
	if text := strings.Join(positions, ", "); text != m.positions {
		m.positions = text
		m.e.log.Event(event.LeadersKnown, zap.String("group", m.group), zap.String("servers", text), zap.Int("left", left))
	}
	poll = lead.NewPoll(candidates, promotable-len(candidates)+left)
	if oldAnswered {
		return poll.WithPrimary(old), promotable
	}
	return poll.WithSilentPrimary(oldMayReturn), promotable
}

// awaitLeadership waits for at most promotionTimeout until a server leads, and returns its term. The term must be newer than that
// of the record, unless the server is the old primary, which keeps its term. It returns false early if the server is no longer
// registered.
func (m *primaryMove) awaitLeadership(ctx context.Context, id string, isOldPrimary bool) (uint64, bool) {
	end := m.e.clock().Add(promotionTimeout)
	for ctx.Err() == nil && m.e.clock().Before(end) {
		s, _, err := m.pg.Status(id, statusTimeout)
		if err == nil && s.Primary() && (isOldPrimary || lead.LeadsNewerTerm(s.Term(), m.record)) {
			return s.Term(), true
		}
		if _, known := m.pg.Pool(id); !known {
			return 0, false
		}
		every.Sleep(ctx, statusRoundDelay)
	}
	return 0, false
}

// demoteOldPrimary makes a replaced primary a replica. A failure is harmless, because no VM uses that server as a primary any more.
func (m *primaryMove) demoteOldPrimary(server string, term uint64) {
	if err := m.pg.Demote(server, term, statusTimeout); err != nil {
		m.e.log.Event(event.EndptDown, zap.String("server", server), zap.Error(err))
	}
}
