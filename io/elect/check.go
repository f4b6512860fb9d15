package elect

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/port"
	"verbenagate/io/logs"
	"verbenagate/io/pool"
	"verbenagate/io/watch"
)

// action is the result of checking a group's primary.
type action uint8

const (
	actionNone           action = iota
	actionProbe                 // request the primary's status
	actionWriteFirst            // write the first record of the group
	actionMove                  // replace the primary
	actionResumeMove            // take over a replacement that another VM has abandoned
	actionSurvey                // request the log positions of all servers
	actionRewrite               // write the record again that the store has lost
	actionMoveForBacklog        // replace a primary that serves all reads because its replicas lag far behind
)

// checkPrimaries checks each group's primary and starts the action that it needs.
func (e *Elector) checkPrimaries(ctx context.Context) {
	view := e.view()
	e.logLeaseLoss()
	now := e.clock()
	e.logWait(now)
	e.markEra(ctx, now)
	for _, name := range e.groupsToCheck(view, now) {
		pg, ok := e.pools.Group(name)
		if !ok {
			continue
		}
		a, r := e.decideAction(view, pg, name, now)
		switch a {
		case actionProbe:
			e.background.Go(func() { e.probe(pg, name, r.Server()) })
		case actionWriteFirst:
			e.background.Go(func() { e.runAction(name, func() { e.writeFirstRecord(ctx, pg, name) }) })
		case actionRewrite:
			e.background.Go(func() { e.runAction(name, func() { e.rewriteRecord(ctx, name) }) })
		case actionMove, actionResumeMove:
			e.background.Go(func() { e.runAction(name, func() { e.movePrimary(ctx, pg, name, r, false) }) })
		case actionMoveForBacklog:
			e.background.Go(func() { e.runAction(name, func() { e.movePrimary(ctx, pg, name, r, true) }) })
		case actionSurvey:
			e.background.Go(func() { e.surveyGroup(ctx, pg, name, r.Server()) })
		case actionNone:
		}
	}
}

// groupsToCheck returns the groups that may need an action of this VM, none if the VM may not act at all.
func (e *Elector) groupsToCheck(view *watch.View, now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if view != e.checkedView {
		e.checkedView = view
		e.checkAll()
	}
	if e.stopping || !e.recordsRead || !e.lease.Valid(now) || !e.listed {
		return nil
	}
	if e.dueOutdated {
		e.due, e.dueOutdated = nil, false
		for _, name := range view.Config().Groups() {
			if !e.group(name).quiet {
				e.due = append(e.due, name)
			}
		}
	}
	return e.due
}

// checkAll makes the next check include all groups. The caller holds mu.
func (e *Elector) checkAll() {
	e.dueOutdated = true
	for _, g := range e.groups {
		g.quiet = false
	}
}

// setQuiet sets whether checks leave a group out. The caller holds mu.
func (e *Elector) setQuiet(g *groupState, quiet bool) {
	e.dueOutdated = e.dueOutdated || g.quiet != quiet
	g.quiet = quiet
}

// logLeaseLoss logs once that the lease has expired.
func (e *Elector) logLeaseLoss() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaseHeld && !e.lease.Valid(e.clock()) {
		e.leaseHeld = false
		e.log.Event(event.LeaseLost, zap.Time("until", e.lease.Until()))
	}
}

// logWait logs once that this VM has a lease and may use no primary yet, since the store has come back from a copy, and once that it may.
func (e *Elector) logWait(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	waits := e.lease.Valid(now) && !e.restore.MayUse(now)
	switch {
	case waits && !e.waitLogged:
		e.log.Event(event.PrimariesWait, zap.Duration("left", e.restore.Until().Sub(now)), zap.Uint64("era", e.era))
	case !waits && e.waitLogged && e.lease.Valid(now):
		e.log.Event(event.PrimariesUsable, zap.Uint64("era", e.era))
		e.notifyChanged()
	}
	e.waitLogged = waits || e.waitLogged && !e.lease.Valid(now)
}

// runAction runs an action started by startInTurn and then allows the group's next action.
func (e *Elector) runAction(group string, run func()) {
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		g := e.group(group)
		g.actionRunning, g.actionDueSince = false, time.Time{}
	}()
	defer logs.RecoverPanic(e.log, "action on a primary")
	run()
}

// decideAction returns the action that a group needs now, with the record on which the decision is based.
func (e *Elector) decideAction(view *watch.View, pg *pool.Group, name string, now time.Time) (action, lead.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.group(name)
	if g.actionRunning || e.stopping {
		return actionNone, lead.Record{}
	}
	if !pg.HasMembers() {
		return actionNone, lead.Record{}
	}
	switch {
	case g.lost:
		return e.startInTurn(name, g, now, actionRewrite), lead.Record{}
	case !e.restore.MayReplace(now):
		return actionNone, lead.Record{}
	case g.record.Version() == 0:
		return e.startInTurn(name, g, now, actionWriteFirst), lead.Record{}
	case g.record.Phase() == lead.Moving:
		if !lead.MayTakeOverPromotion(now, g.recordSeen) {
			return actionNone, lead.Record{}
		}
		return e.startInTurn(name, g, now, actionResumeMove), g.record
	}
	server, registered := view.Server(g.record.Server())
	if !registered || server.Draining() {
		return e.startInTurn(name, g, now, actionMove), g.record
	}
	if a := e.detectFailure(g, now, pg.LastDialRefused(g.record.Server()), name); a != actionNone {
		return a, g.record
	}
	watches := e.isWatcher(name)
	e.setQuiet(g, !watches && !g.suspected && !g.detector.Failing())
	if !g.probing && now.Sub(g.detector.LastSuccess()) > probeAfter && (g.suspected || watches) {
		g.probing = true
		return actionProbe, g.record
	}
	return e.decideBacklogAction(g, now, name), g.record
}

// decideBacklogAction returns the action against a backlog of the replicas: a survey, or replacing the primary if the surveys
// call for it. Only the first watcher of the group acts. The caller holds mu.
func (e *Elector) decideBacklogAction(g *groupState, now time.Time, name string) action {
	switch {
	case g.suspected || g.surveying || !e.isFirstWatcher(name):
		return actionNone
	case g.backlogMoveDue:
		g.backlogMoveDue = false
		g.backlog.Reset()
		return e.startInTurn(name, g, now, actionMoveForBacklog)
	case now.Sub(g.lastSurvey) >= surveyInterval:
		g.surveying, g.lastSurvey = true, now
		return actionSurvey
	}
	return actionNone
}

// isFirstWatcher reports whether this VM comes first among the watchers of the group's primary. The caller holds mu.
func (e *Elector) isFirstWatcher(group string) bool {
	watching := e.watchersOf(group)
	return len(watching) > 0 && watching[0].Name() == e.name
}

// detectFailure updates whether this VM suspects the primary, and publishes a change with a lease renewal. It returns the action
// to replace the primary once a majority of its watchers suspect it. Refused says that the server refused the last connection.
// The caller holds mu.
func (e *Elector) detectFailure(g *groupState, now time.Time, refused bool, name string) action {
	unreachable := g.detector.Unreachable(now, refused)
	if unreachable != g.suspected {
		g.suspected = unreachable
		if unreachable {
			e.log.Event(event.PrimarySilent, zap.String("group", name), zap.String("server", g.record.Server()),
				zap.Bool("refused", refused), zap.Time("last_answer", g.detector.LastSuccess()))
		} else {
			g.actionDueSince = time.Time{}
		}
		if e.isWatcher(name) {
			e.requestRenewal()
		}
	}
	if !unreachable || !e.isWatcher(name) || !lead.MajoritySuspects(e.watchersOf(name), g.record.Server()) {
		return actionNone
	}
	return e.startInTurn(name, g, now, actionMove)
}

// isSuspected reports whether this VM suspects the group's primary.
func (e *Elector) isSuspected(group string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group(group).suspected
}

// startInTurn returns a if it is this VM's turn to act, and marks an action as running. Each watcher waits for rankDelay per
// watcher before it in the list; a VM that is not a watcher comes last. The caller holds mu.
func (e *Elector) startInTurn(name string, g *groupState, now time.Time, a action) action {
	if g.actionDueSince.IsZero() {
		g.actionDueSince = now
	}
	if now.Sub(g.actionDueSince) < time.Duration(e.rankAmong(e.watchersOf(name)))*rankDelay || now.Before(g.moveBlockedUntil) {
		return actionNone
	}
	g.actionRunning = true
	return a
}

// probe requests a primary's status and records the result for failure detection.
func (e *Elector) probe(pg *pool.Group, group, server string) {
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.group(group).probing = false
	}()
	sent := e.clock()
	s, answered, err := pg.Status(server, probeTimeout)
	if err == nil {
		e.RecordPosition(pg, group, server, sent, s.Received())
	}
	e.RecordAnswer(group, server, sent, answered)
}

// writeFirstRecord writes the first record of a group. Its primary is the server that reports the primary role, in the newest
// term if there are several.
func (e *Elector) writeFirstRecord(ctx context.Context, pg *pool.Group, group string) {
	var primary string
	var term uint64
	for _, s := range pg.Members() {
		status, _, err := pg.Status(s.ID(), probeTimeout)
		if err == nil && status.Primary() && status.Term() >= term {
			primary, term = s.ID(), status.Term()
		}
	}
	if primary == "" {
		return
	}
	row, err := encodeRecord(group, lead.NewRecord(lead.Stable, primary, term, e.name), e.newestEra())
	if err != nil {
		e.log.Event(event.PromotionFailed, zap.String("group", group), zap.Error(err))
		return
	}
	if _, err := e.rows.Commit(ctx, []port.Row{{Table: leadTable, Key: row.Key}}, []port.Row{row}, nil); err != nil {
		_ = e.reloadRecords(ctx) // The record may have been written after all; if the reload fails, the follower reads it.
	}
}

// rewriteRecord writes the group's record, which the store has lost, as this VM knows it.
func (e *Elector) rewriteRecord(ctx context.Context, group string) {
	e.mu.Lock()
	g := e.group(group)
	r, expected, lost, inEra := g.record, g.row, g.lost, e.era
	e.mu.Unlock()
	if !lost {
		return
	}
	row, err := encodeRecord(group, r, inEra)
	if err != nil {
		e.log.Event(event.PromotionFailed, zap.String("group", group), zap.Error(err))
		return
	}
	sent := e.clock()
	s, err := e.rows.Commit(ctx, []port.Row{{Table: leadTable, Key: row.Key, Version: expected}}, []port.Row{row}, nil)
	if err != nil {
		_ = e.reloadRecords(ctx) // Another VM may have written it; if the reload fails, the follower reads it.
		return
	}
	e.log.Event(event.RecordRewritten, zap.String("group", group), zap.String("server", r.Server()), zap.Uint64("term", r.Term()),
		zap.Stringer("position", s.Version))
	row.Version = s.Version
	e.applyRows(sent, port.Snapshot{Rows: []port.Row{row}, Version: s.Version, Clock: s.Clock}, false)
}
