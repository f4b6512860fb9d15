package elect

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/port"
	"verbenagate/io/pool"
	"verbenagate/io/watch"
)

// action is what a judgement leads to.
type action uint8

const (
	nothing action = iota
	probe          // ask the primary for its status
	found          // write the first record of a group
	replace        // replace the primary
	resume         // go on where another VM has stopped replacing it
	survey         // ask all servers how far they are
	relieve        // replace a primary that does the work of replicas which are far behind
)

// judge looks at each group's primary and starts what is needed.
func (e *Elector) judge(ctx context.Context) {
	view := e.view()
	e.noticeLease()
	for _, name := range view.Config().Groups() {
		pg, ok := e.set.Group(name)
		if !ok {
			continue
		}
		a, r := e.decide(view, pg, name)
		switch a {
		case probe:
			go e.probe(pg, name, r.Server())
		case found:
			go e.drive(name, func() { e.writeFirst(ctx, pg, name) })
		case replace, resume:
			go e.drive(name, func() { e.move(ctx, pg, name, r, false) })
		case relieve:
			go e.drive(name, func() { e.move(ctx, pg, name, r, true) })
		case survey:
			go e.survey(ctx, pg, name, r.Server())
		case nothing:
		}
	}
}

// noticeLease logs the end of the lease.
func (e *Elector) noticeLease() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held && !e.lease.Valid(e.clock()) {
		e.held = false
		e.log.Event(event.LeaseLost, zap.Time("until", e.lease.Until()))
	}
}

// drive runs what replaces a primary and lets the next judgement of the group start something again.
func (e *Elector) drive(group string, run func()) {
	run()
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.group(group)
	g.driving, g.noticed = false, time.Time{}
}

func (e *Elector) decide(view *watch.View, pg *pool.Group, name string) (action, lead.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.group(name)
	now := e.clock()
	if g.driving || e.stopping || !e.known || !e.lease.Valid(now) {
		return nothing, lead.Record{}
	}
	members := pg.Members()
	if len(members) == 0 {
		return nothing, lead.Record{}
	}
	switch {
	case g.record.Version() == 0:
		return e.start(name, g, now, found), lead.Record{}
	case g.record.Phase() == lead.Moving:
		if !lead.MayTakeOverPromotion(now, g.seen) {
			return nothing, lead.Record{}
		}
		return e.start(name, g, now, resume), g.record
	}
	server, registered := view.Server(g.record.Server())
	if !registered || server.Draining() {
		return e.start(name, g, now, replace), g.record
	}
	if a := e.suspect(g, now, pg.Refused(g.record.Server()), name); a != nothing {
		return a, g.record
	}
	if !g.probing && now.Sub(g.watch.LastSuccess()) > probeAfter && (g.suspect || e.watches(name)) {
		g.probing = true
		return probe, g.record
	}
	return e.attend(g, now, name), g.record
}

// attend has the first of the VMs that watch a primary survey its replicas, and replace the primary if that relieves it. The
// caller holds mu.
func (e *Elector) attend(g *groupState, now time.Time, name string) action {
	switch {
	case g.suspect || g.surveying || !e.first(name):
		return nothing
	case g.relieve:
		g.relieve = false
		g.backlog.Reset()
		return e.start(name, g, now, relieve)
	case now.Sub(g.surveyed) >= surveyInterval:
		g.surveying, g.surveyed = true, now
		return survey
	}
	return nothing
}

// first reports whether this VM is the first of those that watch the primary of a group. The caller holds mu.
func (e *Elector) first(group string) bool {
	watching := e.watchersOf(group)
	return len(watching) > 0 && watching[0].Name() == e.name
}

// suspect publishes that the primary cannot be reached, and replaces it once most of those that watch it have said so. The caller
// holds mu.
func (e *Elector) suspect(g *groupState, now time.Time, refused bool, name string) action {
	unreachable := g.watch.Unreachable(now, refused)
	if unreachable != g.suspect {
		g.suspect = unreachable
		if unreachable {
			e.log.Event(event.PrimarySilent, zap.String("group", name), zap.String("server", g.record.Server()),
				zap.Bool("refused", refused), zap.Time("last_answer", g.watch.LastSuccess()))
		} else {
			g.noticed = time.Time{}
		}
		if e.watches(name) {
			e.wake()
		}
	}
	if !unreachable || !e.watches(name) || !lead.MajoritySuspects(e.watchersOf(name), g.record.Server()) {
		return nothing
	}
	return e.start(name, g, now, replace)
}

// unreachable reports whether this VM suspects the primary of a group.
func (e *Elector) unreachable(group string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group(group).suspect
}

// start lets this VM act after those that come before it. The caller holds mu.
func (e *Elector) start(name string, g *groupState, now time.Time, a action) action {
	if g.noticed.IsZero() {
		g.noticed = now
	}
	watching := e.watchersOf(name)
	rank := slices.IndexFunc(watching, func(m lead.Member) bool { return m.Name() == e.name })
	if rank < 0 {
		rank = len(watching)
	}
	if now.Sub(g.noticed) < time.Duration(rank)*rankDelay || now.Before(g.barred) {
		return nothing
	}
	g.driving = true
	return a
}

// probe asks a primary for its status.
func (e *Elector) probe(pg *pool.Group, group, server string) {
	asked := e.clock()
	s, answered, err := pg.Status(server, probeLimit)
	if err == nil {
		e.observe(pg, group, server, asked, s.Received())
	}
	e.Answered(group, server, asked, answered)
	e.mu.Lock()
	e.group(group).probing = false
	e.mu.Unlock()
}

// writeFirst writes the first record of a group, whose primary is the server that takes itself for it.
func (e *Elector) writeFirst(ctx context.Context, pg *pool.Group, group string) {
	var leader string
	var term uint64
	for _, s := range pg.Members() {
		status, _, err := pg.Status(s.ID(), probeLimit)
		if err == nil && status.Primary() && status.Term() >= term {
			leader, term = s.ID(), status.Term()
		}
	}
	if leader == "" {
		return
	}
	row, err := encodeRecord(group, lead.NewRecord(lead.Stable, leader, term, e.name))
	if err != nil {
		e.log.Event(event.PromotionFailed, zap.String("group", group), zap.Error(err))
		return
	}
	if _, err := e.rows.Commit(ctx, []port.Row{{Table: leadTable, Key: row.Key}}, []port.Row{row}, nil); err != nil {
		_ = e.reload(ctx) // The record may have been written after all; the follower learns of it too.
	}
}
