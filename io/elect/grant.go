package elect

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/eras"
	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/notice"
	"verbenagate/core/port"
)

const (
	// urgentBatchWindow is how long renewals are collected for one transaction once one of them is urgent, instead of notice.BatchWindow.
	urgentBatchWindow = 15 * time.Millisecond
)

// renewRequest asks this VM to renew a member's lease, or to remove it if leave is set.
type renewRequest struct {
	member lead.Member
	leave  bool
	done   chan error
}

// minNextRenewal is the shortest time from a renewal to the next one.
const minNextRenewal = 20 * time.Millisecond

// Grant implements relay.Granter. It waits until the transaction with the renewal has ended. VMs that renew their leases when the
// next regular batch begins share its transaction, whenever their first renewals were.
func (e *Elector) Grant(ctx context.Context, m lead.Member, leave bool) (next time.Duration, err error) {
	if err := e.grant(ctx, m, leave); err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.nextBatch.Sub(e.clock()), minNextRenewal), nil
}

func (e *Elector) grant(ctx context.Context, m lead.Member, leave bool) error {
	r := &renewRequest{member: m, leave: leave, done: make(chan error, 1)}
	select {
	case e.renewRequests <- r:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// grantBatch collects a batch of renewals and writes them in one transaction.
func (e *Elector) grantBatch(ctx context.Context) {
	batch := e.collectBatch(ctx)
	if len(batch) == 0 {
		return
	}
	if err := e.loadForCommit(ctx, batch); err != nil {
		finishRequests(batch, err)
		return
	}
	current := e.rejectOutdated(batch)
	if len(current) == 0 {
		return
	}
	err := e.commitLeases(ctx, current)
	finishRequests(current, err)
	if errors.Is(err, port.ErrConflict) {
		if err := e.reloadRecords(ctx); err != nil {
			e.log.Event(event.StoreDown, zap.String("table", leadTable), zap.Error(err))
		}
	}
}

func finishRequests(batch []*renewRequest, err error) {
	for _, r := range batch {
		r.done <- err
	}
}

// collectBatch waits for a renewal and returns it with those that arrive within notice.BatchWindow, or within urgentBatchWindow if one
// of them is urgent. It returns nil when ctx ends.
func (e *Elector) collectBatch(ctx context.Context) []*renewRequest {
	var batch []*renewRequest
	var firstReceived time.Time
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			return batch
		case r := <-e.renewRequests:
			now := e.clock()
			if len(batch) == 0 {
				firstReceived = now
				t.Reset(notice.BatchWindow)
			}
			batch = append(batch, r)
			e.scheduleNextBatch(now)
			if e.isUrgent(r) {
				e.fleetChanged.Store(true)
				t.Reset(max(urgentBatchWindow-now.Sub(firstReceived), 0))
			}
		}
	}
}

// scheduleNextBatch sets when the next regular batch begins, if that time has come. A batch in between, of VMs that were late or of
// urgent renewals, does not change it.
func (e *Elector) scheduleNextBatch(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !now.Before(e.nextBatch) {
		e.nextBatch = now.Add(notice.BatchWindow + lead.RenewInterval)
	}
}

func (e *Elector) isUrgent(r *renewRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.leave || e.grants.Urgent(r.member)
}

// loadForCommit reads what the transaction needs and this VM does not know yet: the version of its own row and the leases in
// it, the store's clock, and the newest epoch that a VM of the batch has seen.
func (e *Elector) loadForCommit(ctx context.Context, batch []*renewRequest) error {
	e.mu.Lock()
	ownRowVersion := e.ownRowVersion
	_, clockKnown := e.storeClock.UpperBound(e.clock())
	upToDate := e.recordsRead && clockKnown
	for _, r := range batch {
		upToDate = upToDate && r.member.Epoch() <= e.epoch
	}
	e.mu.Unlock()
	if ownRowVersion == 0 {
		if err := e.readOwnRow(ctx); err != nil {
			return err
		}
	}
	if upToDate {
		return nil
	}
	return e.reloadRecords(ctx)
}

// readOwnRow reads this VM's row after a start and after a transaction that failed or whose outcome is unknown. The next
// transaction has the row's version as a condition, so that a transaction that the store executes late cannot replace a newer
// row. The leases that the row lists are kept. Before this VM's first transaction, the last list of VMs serves as well.
func (e *Elector) readOwnRow(ctx context.Context) error {
	rows, err := e.membersForCommit(ctx)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, row := range rows {
		if row.Key != e.name {
			continue
		}
		members, err := decodeMemberRow(row)
		if err != nil {
			e.log.Event(event.MembersRefused, zap.Error(err))
			if e.clock().Sub(e.started) < lead.LeaseDuration {
				return err // The row may have held leases that this VM granted before it was started again.
			}
		}
		e.ownRowVersion = row.Version
		e.grants = e.grants.Union(lead.NewGrants(members))
	}
	return nil
}

// membersForCommit returns the rows of memberTable as of after the last transaction of this VM.
func (e *Elector) membersForCommit(ctx context.Context) ([]port.Row, error) {
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	if rows := e.memberRows; rows != nil && !e.committed {
		e.committed, e.memberRows = true, nil
		return rows, nil
	}
	e.committed = true
	return e.listMembers(ctx)
}

// rejectOutdated returns the requests to leave and the renewals of VMs that have seen the newest epoch. It rejects the other
// renewals with port.ErrConflict.
func (e *Elector) rejectOutdated(batch []*renewRequest) []*renewRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	var current []*renewRequest
	for _, r := range batch {
		if r.leave || r.member.Epoch() == e.epoch {
			current = append(current, r)
		} else {
			r.done <- port.ErrConflict
		}
	}
	return current
}

// commitLeases writes the requested leases. The transaction fails if this VM's row has changed or, with renewals, the epoch.
func (e *Elector) commitLeases(ctx context.Context, batch []*renewRequest) error {
	var renew, leave []lead.Member
	for _, r := range batch {
		if r.leave {
			leave = append(leave, r.member)
		} else {
			renew = append(renew, r.member)
		}
	}
	e.mu.Lock()
	now := e.clock()
	storeTime, _ := e.storeClock.UpperBound(now)
	epoch, ownRowVersion := e.epoch, e.ownRowVersion
	// The transaction may take effect even if its answer is lost, so its leases count as granted from now on.
	continuity, linger := e.needsContinuity != nil && e.needsContinuity(), time.Duration(0)
	if continuity {
		linger = lead.Linger
	}
	e.grants = e.grants.WithKept(renew, leave, storeTime+lead.LeaseDuration, e.storeClock.LowerBound(), linger)
	members := e.grants.Members()
	e.mu.Unlock()
	expect := []port.Row{{Table: memberTable, Key: e.name, Version: ownRowVersion}}
	if len(renew) > 0 {
		expect = append(expect, port.Row{Table: leadTable, Key: epochKey, Version: eras.Position(epoch)})
	}
	var put, remove []port.Row
	if len(members) == 0 {
		remove = append(remove, port.Row{Table: memberTable, Key: e.name})
	} else {
		row, err := encodeMembers(e.name, members, continuity)
		if err != nil {
			return err
		}
		put = append(put, row)
	}
	s, err := e.commitWithUrgentRows(ctx, expect, put, remove)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordStoreClock(now, s)
	e.ownRowVersion = 0
	if err == nil && len(put) > 0 {
		e.ownRowVersion = s.Version
		renewed := make([]string, 0, len(renew))
		for _, m := range renew {
			renewed = append(renewed, m.Name())
		}
		e.grants = e.grants.Confirm(renewed, s.Clock)
	}
	if err != nil && !errors.Is(err, port.ErrConflict) {
		e.log.Event(event.StoreAnswerLost, zap.String("table", memberTable), zap.Int("leases", len(renew)), zap.Error(err))
	}
	return err
}

// commitWithUrgentRows commits a transaction of leases that also proves that this VM has missed no change of the urgent rows: a call that
// waits for changes on a connection that has gone silent does not show it. If one was missed, the transaction is made again without that
// condition, so that no lease depends on rows that others write.
func (e *Elector) commitWithUrgentRows(ctx context.Context, expect, put, remove []port.Row) (port.Snapshot, error) {
	urgent := e.agents.UrgentRows()
	s, err := e.rows.Commit(ctx, slices.Concat(expect, urgent), put, remove)
	if !errors.Is(err, port.ErrConflict) || !notice.Missed(urgent, s.Rows) {
		return s, err
	}
	e.agents.RecheckUrgent()
	return e.rows.Commit(ctx, expect, put, remove)
}

// observeLeases records the continuity of the leases in all rows of memberTable, where that is needed. Before the first transaction of
// this VM, which replaces one of the rows, the configuration may not say yet whether it is needed. The caller holds mu.
func (e *Elector) observeLeases(s port.Snapshot, beforeFirstCommit bool) {
	if beforeFirstCommit || e.needsContinuity != nil && e.needsContinuity() {
		entries, _ := decodeAllMembers(s.Rows)
		e.grants = e.grants.Observe(entries, s.Clock)
	}
}
