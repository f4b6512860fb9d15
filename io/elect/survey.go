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

// surveyGroup requests the log positions of all servers of a group, and sets backlogMoveDue if the primary is to be replaced
// because its replicas lag far behind.
func (e *Elector) surveyGroup(ctx context.Context, pg *pool.Group, group, primaryID string) {
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.group(group).surveying = false
	}()
	primary, replicas, complete := readPositions(pg, primaryID)
	e.mu.Lock()
	g := e.group(group)
	if g.record.Server() != primaryID || primary.IsZero() {
		e.mu.Unlock()
		return // An overloaded primary often does not answer in time. That says nothing about its replicas.
	}
	g.backlog.AddSurvey(primary, replicas, complete)
	replacementDue := g.backlog.ReplacementDue(e.clock(), g.recordSeen)
	if !replacementDue {
		g.backlogSince = 0
	}
	since := g.backlogSince
	e.mu.Unlock()
	if !replacementDue {
		return
	}
	allRenewed, since := e.allRenewedSince(ctx, since)
	e.mu.Lock()
	g.backlogSince = since
	e.mu.Unlock()
	if !allRenewed {
		return
	}
	e.log.Event(event.ReplicasBehind, zap.String("group", group), zap.String("primary", primaryID),
		zap.String("position", primary.String()))
	e.mu.Lock()
	defer e.mu.Unlock()
	g.backlogMoveDue, g.backlogSince = g.record.Server() == primaryID && g.record.Phase() == lead.Stable, 0
}

// readPositions returns the log position of the server primaryID, zero if it did not answer as the primary, and the state of the
// other servers that answered. It skips draining servers. Complete says that there is a replica and all replicas answered.
func readPositions(pg *pool.Group, primaryID string) (primary point.Point, replicas []lead.Replica, complete bool) {
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
			status, _, err := pg.Status(s.ID(), surveyTimeout)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case s.ID() != primaryID && err == nil:
				replicas = append(replicas, lead.NewReplica(status.Received(), status.Lag()))
			case s.ID() != primaryID:
				complete = false
			case err == nil && status.Primary():
				primary = status.Received()
			}
		}()
	}
	wg.Wait()
	return primary, replicas, complete && len(replicas) > 0
}

// allRenewedSince reports whether all VMs have renewed their lease after since, a time on the store's clock. They would then
// confirm a change of the primary without delay, whereas a VM that has just stopped delays it until its lease expires. It
// returns since as well. If since is 0, it returns false and the store's current time.
func (e *Elector) allRenewedSince(ctx context.Context, since time.Duration) (bool, time.Duration) {
	s, err := e.rows.List(ctx, memberTable)
	if err != nil {
		return false, since
	}
	members := e.decodeMembers(s.Rows)
	if since == 0 {
		return false, s.Clock
	}
	return lead.AllRenewedSince(members, since, s.Clock), since
}
