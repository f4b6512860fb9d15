package elect

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/eras"
	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/port"
)

// applyEraMark stores the mark of an era in a row of leadTable. The caller holds mu.
func (e *Elector) applyEraMark(row port.Row) {
	if row.Version < e.markRow {
		return
	}
	e.markRow = row.Version
	if row.Deleted {
		e.markRow, e.mark = 0, lead.EraMark{}
		return
	}
	m, err := decodeEraMark(row.Value)
	if err != nil {
		e.log.Event(event.InvariantViolated, zap.Error(err))
	}
	e.mark = m
}

// learnEraAge derives from an answer of the store, and from the mark, by when the era had begun. The mark is of no use with the clock of
// another era, nor with a clock that another VM has read. The caller holds mu.
func (e *Elector) learnEraAge(s port.Snapshot) {
	if s.Relayed || e.era == 0 || e.mark.Era() != e.era || s.Version.Era() != e.era {
		return
	}
	began := e.clock().Add(-e.mark.Age(s.Clock))
	if e.eraBegan.IsZero() || began.Before(e.eraBegan) {
		e.eraBegan = began
		e.restore.Began(began)
	}
}

// markEra writes a mark of the era if the store has none and it is this VM's turn.
func (e *Elector) markEra(ctx context.Context, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.era == 0 || e.mark.Era() == e.era || e.markRunning || e.stopping || !e.recordsRead || !e.listed || e.heardAt == 0 || !e.lease.Valid(now) {
		return
	}
	if e.markDue.IsZero() {
		e.markDue = now
	}
	if now.Sub(e.markDue) < time.Duration(e.rankAmong(e.watchersOf(eraKey)))*rankDelay {
		return
	}
	e.markRunning = true
	mark, row := lead.NewEraMark(e.era, e.heardAt), e.markRow
	if row.Era() != e.era {
		row = 0 // The rows of this era have been read without it.
	}
	e.background.Go(func() { e.writeEraMark(ctx, mark, row) })
}

// writeEraMark writes a mark in place of the row with version expected.
func (e *Elector) writeEraMark(ctx context.Context, mark lead.EraMark, expected eras.Position) {
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.markRunning, e.markDue = false, e.clock().Add(failedMoveDelay)
	}()
	row, err := encodeEraMark(mark)
	if err != nil {
		e.log.Event(event.InvariantViolated, zap.Error(err))
		return
	}
	sent := e.clock()
	s, err := e.rows.Commit(ctx, []port.Row{{Table: leadTable, Key: eraKey, Version: expected}}, []port.Row{row}, nil)
	if err != nil {
		_ = e.reloadRecords(ctx) // Another VM may have written it; if the reload fails, the follower reads it.
		return
	}
	row.Version = s.Version
	e.applyRows(sent, port.Snapshot{Rows: []port.Row{row}, Version: s.Version, Clock: s.Clock}, false)
}

// rankAmong returns how many of the watching VMs come before this one in turn.
func (e *Elector) rankAmong(watching []lead.Member) int {
	rank := slices.IndexFunc(watching, func(m lead.Member) bool { return m.Name() == e.name })
	if rank < 0 {
		return len(watching)
	}
	return rank
}
