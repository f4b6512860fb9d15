package elect

import (
	"context"
	"sync"

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
	persists := false
	if g.record.Server() == leader && !primary.IsZero() {
		g.backlog.Surveyed(primary, replicas, complete)
		persists = g.backlog.Persists(e.clock(), g.seen)
	}
	e.mu.Unlock()
	if !persists || !e.prompt(ctx) {
		return
	}
	e.log.Event(event.ReplicasBehind, zap.String("group", group), zap.String("primary", leader),
		zap.String("position", primary.String()))
	e.mu.Lock()
	defer e.mu.Unlock()
	g.relieve = g.record.Server() == leader && g.record.Phase() == lead.Stable
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
			status, _, err := pg.Status(s.ID(), statusLimit)
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

// prompt reports whether all VMs would confirm a change of primary without delay.
func (e *Elector) prompt(ctx context.Context) bool {
	s, err := e.rows.List(ctx, memberTable)
	if err != nil {
		return false
	}
	members, err := decodeMembers(s.Rows)
	return err == nil && lead.Prompt(members, s.Clock)
}
