package elect

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/port"
)

const (
	// gatherCalm is how long renewals are gathered for one transaction, and gatherUrgent it is while one of them tells something new.
	gatherCalm   = 300 * time.Millisecond
	gatherUrgent = 15 * time.Millisecond
)

// request is a renewal that this VM is asked for.
type request struct {
	m     lead.Member
	leave bool
	done  chan error
}

// Grant implements relay.Granter.
func (e *Elector) Grant(ctx context.Context, m lead.Member, leave bool) error {
	r := &request{m: m, leave: leave, done: make(chan error, 1)}
	select {
	case e.asked <- r:
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

// grantBatch waits for renewals and writes them together.
func (e *Elector) grantBatch(ctx context.Context) {
	batch := e.gather(ctx)
	if len(batch) == 0 {
		return
	}
	if err := e.prepare(ctx, batch); err != nil {
		finish(batch, err)
		return
	}
	current := e.current(batch)
	if len(current) == 0 {
		return
	}
	err := e.commit(ctx, current)
	finish(current, err)
	if errors.Is(err, port.ErrConflict) {
		if err := e.reload(ctx); err != nil {
			e.log.Event(event.StoreDown, zap.String("table", leadTable), zap.Error(err))
		}
	}
}

func finish(batch []*request, err error) {
	for _, r := range batch {
		r.done <- err
	}
}

// gather returns the renewals that come within a short while, a very short one if one of them tells something new.
func (e *Elector) gather(ctx context.Context) []*request {
	var batch []*request
	var first time.Time
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			return batch
		case r := <-e.asked:
			now := e.clock()
			if len(batch) == 0 {
				first = now
				t.Reset(gatherCalm)
			}
			batch = append(batch, r)
			if e.urgent(r) {
				t.Reset(max(gatherUrgent-now.Sub(first), 0))
			}
		}
	}
}

func (e *Elector) urgent(r *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.leave || e.grants.Urgent(r.m)
}

// prepare makes known what a transaction needs: the version of this VM's row with the leases that it names, the store's clock, and
// the epoch that the VMs have seen.
func (e *Elector) prepare(ctx context.Context, batch []*request) error {
	e.mu.Lock()
	own := e.own
	_, clock := e.store.UpperBound(e.clock())
	known := e.known && clock
	for _, r := range batch {
		known = known && r.m.Epoch() <= e.epoch
	}
	e.mu.Unlock()
	if own == 0 {
		if err := e.readOwn(ctx); err != nil {
			return err
		}
	}
	if known {
		return nil
	}
	return e.reload(ctx)
}

// readOwn learns this VM's row after a start and after a transaction whose outcome is not known. With its version as a condition,
// a transaction that the store carries out late cannot replace a newer row; and the leases that the row names are kept.
func (e *Elector) readOwn(ctx context.Context) error {
	sent := e.clock()
	s, err := e.rows.List(ctx, memberTable)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard(sent, s)
	for _, row := range s.Rows {
		if row.Key != e.name {
			continue
		}
		members, err := decodeRow(row)
		if err != nil {
			return err
		}
		e.own = row.Version
		e.grants = e.grants.Union(lead.NewGrants(members))
	}
	return nil
}

// current returns the renewals of VMs that have seen the newest epoch, and turns the others away.
func (e *Elector) current(batch []*request) []*request {
	e.mu.Lock()
	defer e.mu.Unlock()
	var current []*request
	for _, r := range batch {
		if r.leave || r.m.Epoch() == e.epoch {
			current = append(current, r)
		} else {
			r.done <- port.ErrConflict
		}
	}
	return current
}

// commit writes the leases asked for, on condition that the epoch is still the newest.
func (e *Elector) commit(ctx context.Context, batch []*request) error {
	var renew, leave []lead.Member
	for _, r := range batch {
		if r.leave {
			leave = append(leave, r.m)
		} else {
			renew = append(renew, r.m)
		}
	}
	e.mu.Lock()
	now := e.clock()
	latest, _ := e.store.UpperBound(now)
	epoch, own := e.epoch, e.own
	// The transaction may take effect even if its answer is lost, so what it names counts from now on.
	e.grants = e.grants.With(renew, leave, latest+lead.LeaseDuration, e.store.LowerBound())
	members := e.grants.Members()
	e.mu.Unlock()
	expect := []port.Row{{Table: memberTable, Key: e.name, Version: own}}
	if len(renew) > 0 {
		expect = append(expect, port.Row{Table: leadTable, Key: epochKey, Version: epoch})
	}
	var put, remove []port.Row
	if len(members) == 0 {
		remove = append(remove, port.Row{Table: memberTable, Key: e.name})
	} else {
		row, err := encodeMembers(e.name, members)
		if err != nil {
			return err
		}
		put = append(put, row)
	}
	s, err := e.rows.Commit(ctx, expect, put, remove)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard(now, s)
	e.own = 0
	if err == nil && len(put) > 0 {
		e.own = s.Version
	}
	if err != nil && !errors.Is(err, port.ErrConflict) {
		e.log.Event(event.StoreAnswerLost, zap.String("table", memberTable), zap.Int("leases", len(renew)), zap.Error(err))
	}
	return err
}
