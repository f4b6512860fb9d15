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

	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/port"
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
	// catchUpTimeout is how long a replica may take to receive all that a still reachable primary has committed.
	catchUpTimeout = 1200 * time.Millisecond
	// oldPrimaryPollInterval is how often a primary that was unreachable is asked again while VMs confirm that it is being replaced.
	oldPrimaryPollInterval = 200 * time.Millisecond
	// minReturnWait is how long the confirmation must have taken for the old primary to be kept because it answers again. Within a
	// shorter time the reasons to replace it have hardly changed.
	minReturnWait = time.Second
	// maxReturnAge is how long ago the old primary may have answered then.
	maxReturnAge = 500 * time.Millisecond
	// promotionTimeout is how long an ordered promotion may take to take effect before it is ordered again.
	promotionTimeout = 2500 * time.Millisecond
)

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
		mayReturn: old.Phase() == lead.Stable && !keepPrimary && e.isSuspected(group),
	}
	server, err := m.run(ctx)
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

// primaryMove is the replacement of one group's primary in progress.
type primaryMove struct {
	e                *Elector
	pg               *pool.Group
	group            string
	oldPrimary       string
	oldTerm          uint64
	keepPrimary      bool
	mayReturn        bool // the old primary was unreachable, and no promotion can have been ordered yet
	promotionOrdered bool // a promotion has been ordered and may take effect late
	record           lead.Record
	recordWritten    time.Time // when the request that last wrote the record was sent
}

// run carries out the move and returns the id of the primary in the new stable record.
func (m *primaryMove) run(ctx context.Context) (string, error) {
	if err := m.writeRecord(ctx, lead.NewRecord(lead.Moving, m.oldPrimary, m.record.Term(), m.e.name), true); err != nil {
		return "", err
	}
	epoch := m.record.Version()
	returned, err := m.confirmAndPollOldPrimary(ctx, epoch)
	if err != nil {
		return "", err
	}
	if returned {
		if err := m.writeRecord(ctx, lead.NewRecord(lead.Stable, m.oldPrimary, m.oldTerm, m.e.name), false); err != nil {
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
			if err := m.writeRecord(ctx, lead.NewRecord(lead.Moving, m.oldPrimary, m.record.Term(), m.e.name), false); err != nil {
				return "", err
			}
			if !lead.MayOrderPromotion(m.e.clock(), m.recordWritten) {
				return "", errTakenOver
			}
			m.promotionOrdered = true
			err = m.e.promoter.Promote(ctx, m.group, best.ID(), m.e.name, m.record.Version())
			if err != nil {
				m.e.log.Event(event.PromotionFailed, zap.String("group", m.group), zap.String("server", best.ID()), zap.Error(err))
			}
		}
		if term, ok := m.awaitLeadership(ctx, best.ID(), isOldPrimary); ok {
			if err := m.writeRecord(ctx, lead.NewRecord(lead.Stable, best.ID(), term, m.e.name), false); err != nil {
				return "", err
			}
			m.demoteOldPrimary(term)
			return best.ID(), nil
		}
	}
	return "", ctx.Err()
}

// writeRecord replaces the group's record. With changeEpoch it also changes the epoch, so that the VMs have to confirm the
// record. It returns errTakenOver if another VM has written the record or, with changeEpoch, the epoch.
func (m *primaryMove) writeRecord(ctx context.Context, r lead.Record, changeEpoch bool) error {
	row, err := encodeRecord(m.group, r)
	if err != nil {
		return err
	}
	expect := []port.Row{{Table: leadTable, Key: row.Key, Version: m.record.Version()}}
	put := []port.Row{row}
	if changeEpoch {
		m.e.mu.Lock()
		expect = append(expect, port.Row{Table: leadTable, Key: epochKey, Version: m.e.epoch})
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
	m.record, m.recordWritten = r.WithVersion(s.Version), sent
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
			m.e.sleep(pollCtx, oldPrimaryPollInterval)
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
	listed := false
	var version uint64
	for ctx.Err() == nil {
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
			members, err := decodeMembers(slices.Collect(maps.Values(rows)))
			if err != nil {
				return err
			}
			if len(lead.PendingMembers(members, epoch, s.Clock)) == 0 {
				return nil
			}
		}
		if sent.Sub(m.recordWritten) > recordRefreshInterval {
			r := lead.NewRecord(lead.Moving, m.oldPrimary, m.record.Term(), m.e.name)
			if err := m.writeRecord(ctx, r, false); errors.Is(err, errTakenOver) {
				return err
			}
		}
		m.e.sleep(ctx, confirmPollInterval)
	}
	return ctx.Err()
}

// choosePrimary returns the server whose promotion loses the fewest commits, or a server that already leads a newer term. It
// returns the old primary if that still serves and no other server may replace it.
func (m *primaryMove) choosePrimary(ctx context.Context) (lead.Candidate, error) {
	began := m.e.clock()
	suspected := m.e.isSuspected(m.group)
	for try := 1; ctx.Err() == nil; try++ {
		candidates, old, promotable := m.pollServers(!suspected || m.e.clock().Sub(began) > catchUpTimeout)
		catchUpOver := m.e.clock().Sub(began) > catchUpTimeout
		if (len(candidates) == 0 || m.keepPrimary) && !m.promotionOrdered && old.Primary() && catchUpOver {
			return old, nil // The old primary serves, and no other server may replace it.
		}
		for _, c := range candidates {
			if c.Primary() {
				return c, nil
			}
		}
		best, ok := lead.BestCandidate(candidates)
		caughtUp := best.Received().Covers(old.Received()) && (!m.keepPrimary || old.Primary())
		if ok && (len(candidates) == promotable || try >= minStatusRounds) && (caughtUp || catchUpOver) {
			return best, nil
		}
		if m.e.clock().Sub(m.recordWritten) > recordRefreshInterval {
			if err := m.writeRecord(ctx, lead.NewRecord(lead.Moving, m.oldPrimary, m.record.Term(), m.e.name), false); err != nil {
				return lead.Candidate{}, err
			}
		}
		m.e.sleep(ctx, 30*time.Millisecond)
	}
	return lead.Candidate{}, ctx.Err()
}

// pollServers requests the status of all servers and returns those that can be promoted and answered. The old primary is asked
// only with includeOld, because a request to a crashed server lasts until its timeout. Promotable is the number of servers that
// can be promoted, including those that did not answer.
func (m *primaryMove) pollServers(includeOld bool) (candidates []lead.Candidate, old lead.Candidate, promotable int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var positions []string
	for _, s := range m.pg.Members() {
		canBePromoted := s.ID() != m.oldPrimary && !s.Draining()
		if canBePromoted {
			promotable++
		}
		if s.ID() == m.oldPrimary && !includeOld {
			continue
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
			if canBePromoted {
				leadsNewerTerm := status.Primary() && lead.LeadsNewerTerm(status.Term(), m.record)
				candidates = append(candidates, lead.NewCandidate(s.ID(), status.Received(), leadsNewerTerm))
			} else if s.ID() == m.oldPrimary {
				old = lead.NewCandidate(s.ID(), status.Received(), status.Primary() && !s.Draining())
			}
		}()
	}
	wg.Wait()
	slices.Sort(positions)
	m.e.log.Event(event.LeadersKnown, zap.String("group", m.group), zap.String("servers", strings.Join(positions, ", ")))
	return candidates, old, promotable
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
		m.e.sleep(ctx, 30*time.Millisecond)
	}
	return 0, false
}

// demoteOldPrimary makes the old primary a replica. A failure is harmless, because no VM uses that server as a primary any more.
func (m *primaryMove) demoteOldPrimary(term uint64) {
	if err := m.pg.Demote(m.oldPrimary, term, statusTimeout); err != nil {
		m.e.log.Event(event.EndptDown, zap.String("server", m.oldPrimary), zap.Error(err))
	}
}
