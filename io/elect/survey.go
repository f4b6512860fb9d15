package elect

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/point"
	"verbenagate/io/pool"
)

// survey asks all servers of a group how far they are, and notes if the primary is to be replaced for the sake of its replicas.
func (e *Elector) survey(ctx context.Context, pg *pool.Group, group, leader string) {
	primary, replicas, complete := ask(pg, leader)
	e.mu.Lock()
	g := e.group(group)
	g.surveying = false
	if g.record.Server() != leader || primary.IsZero() {
		e.mu.Unlock()
		return // An overloaded primary often does not answer in time. That says nothing of its replicas.
	}
	g.backlog.AddSurvey(primary, replicas, complete)
	persists := g.backlog.ReplacementDue(e.clock(), g.seen)
	if !persists {
		g.relieved = 0
	}
	since := g.relieved
	e.mu.Unlock()
	if !persists {
		return
	}
	prompt, since := e.prompt(ctx, since)
	e.mu.Lock()
	g.relieved = since
	e.mu.Unlock()
	if !prompt {
		return
	}
	e.log.Event(event.ReplicasBehind, zap.String("group", group), zap.String("primary", leader),
		zap.String("position", primary.String()))
	e.mu.Lock()
	defer e.mu.Unlock()
	g.relieve, g.relieved = g.record.Server() == leader && g.record.Phase() == lead.Stable, 0
}

// ask returns the primary's position and how far its replicas are. Complete says that all replicas answered.
func ask(pg *pool.Group, leader string) (primary point.Point, replicas []lead.Replica, complete bool) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	complete = true
	for _, s := range pg.Members() {
		if s.Draining() {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, _, err := pg.Status(s.ID(), surveyLimit)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case s.ID() != leader && err == nil:
				replicas = append(replicas, lead.NewReplica(status.Received(), status.Lag()))
			case s.ID() != leader:
				complete = false
			case err == nil && status.Primary():
				primary = status.Received()
			}
		}()
	}
	wg.Wait()
	return primary, replicas, complete && len(replicas) > 0
}

// prompt reports whether all VMs have renewed their lease after since, a time on the store's clock, so that they would confirm a
// change of primary without delay; one that has just ended would hold it up until its lease ends. A since of 0 stands for now,
// and is returned as what it stands for.
func (e *Elector) prompt(ctx context.Context, since time.Duration) (bool, time.Duration) {
	s, err := e.rows.List(ctx, memberTable)
	if err != nil {
		return false, since
	}
	members, err := decodeMembers(s.Rows)
	if err != nil {
		e.log.Event(event.InvariantViolated, zap.Error(err))
		return false, since
	}
	if since == 0 {
		return false, s.Clock
	}
	return lead.AllRenewedSince(members, since, s.Clock), since
}
