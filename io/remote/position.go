package remote

import (
	"context"
	"sync"
	"time"

	"verbenagate/core/point"
	"verbenagate/core/result"
	"verbenagate/io/pool"
)

const (
	// freshPosition is the age up to which a known position of a primary is passed on. An older one is replaced by asking the
	// primary.
	freshPosition = 100 * time.Millisecond
	// refreshAfter is the age from which a newer position is requested while reads use the known ones.
	refreshAfter = 200 * time.Millisecond
	// positionTimeout is the time limit for a position.
	positionTimeout = 400 * time.Millisecond
)

// positions finds out what log position a server must have for its data to be no older than a stated age. The owner of a
// replica asks the owner of the group's primary, at most a few times a second for all reads of the replica: without that, each
// VM would need reads of its own on the primary to learn positions. It is safe for concurrent use.
type positions struct {
	pools     *pool.Set
	elector   Elector
	caller    *Caller
	clock     func() time.Time
	refreshes sync.WaitGroup

	mu       sync.Mutex
	inFlight map[string]chan struct{} // by kind of request and group; closed when the request ends
}

func newPositions(pools *pool.Set, elector Elector, caller *Caller, clock func() time.Time) *positions {
	return &positions{pools: pools, elector: elector, caller: caller, clock: clock, inFlight: make(map[string]chan struct{})}
}

// required returns the lowest known position that covers every commit acknowledged before now minus age. If none is known it
// requests one.
func (p *positions) required(ctx context.Context, g *pool.Group, age time.Duration, deadline time.Time) (point.Point, error) {
	now := p.clock()
	required, known := g.Required(now, age)
	if _, latest, _, found := g.LatestPosition(); !known || !found || now.Sub(latest) > refreshAfter {
		refreshed := p.refresh(g, "", func() { p.request(context.WithoutCancel(ctx), g) })
		if !known {
			t := time.NewTimer(min(positionTimeout, deadline.Sub(now)))
			defer t.Stop()
			select {
			case <-refreshed:
			case <-t.C:
			}
			required, known = g.Required(now, age)
		}
	}
	if !known {
		return point.Point{}, result.New(result.AgeNotMet, "no position of the primary of group %s is known to be at most %s old",
			g.Name(), age)
	}
	return required, nil
}

// refresh runs request for a group unless a request of the same kind is under way. The channel is closed when it has ended.
func (p *positions) refresh(g *pool.Group, requestKind string, request func()) <-chan struct{} {
	key := requestKind + "/" + g.Name()
	p.mu.Lock()
	defer p.mu.Unlock()
	if done, ok := p.inFlight[key]; ok {
		return done
	}
	done := make(chan struct{})
	p.inFlight[key] = done
	p.refreshes.Go(func() {
		defer func() {
			p.mu.Lock()
			delete(p.inFlight, key)
			p.mu.Unlock()
			close(done)
		}()
		request()
	})
	return done
}

// request records a position of the group's primary, from the primary's owner or, if this VM is the owner, from the primary.
func (p *positions) request(ctx context.Context, g *pool.Group) {
	for _, owner := range g.Owners(g.Leader()) {
		if owner.Name() == g.VM() {
			break
		}
		sent := p.clock()
		r, err := p.caller.position(ctx, owner, g.Name(), positionTimeout)
		if err == nil && r.Known {
			g.RecordRelayedPosition(r.Version, sent.Add(-r.Age), point.New(r.Term, r.Number))
			return
		}
	}
	p.requestFromPrimary(g)
}

// requestFromPrimary records the position that the group's primary reports.
func (p *positions) requestFromPrimary(g *pool.Group) {
	primary := g.Leader()
	sent := p.clock()
	if s, _, err := g.Status(primary, positionTimeout); err == nil && s.Primary() {
		p.elector.RecordPosition(g, g.Name(), primary, sent, s.Received())
	}
}

// answer returns the latest position of the group's primary to another VM.
func (p *positions) answer(group string) positionReply {
	g, ok := p.pools.Group(group)
	if !ok {
		return positionReply{}
	}
	if _, latest, _, known := g.LatestPosition(); !known || p.clock().Sub(latest) > freshPosition {
		done := p.refresh(g, "primary", func() { p.requestFromPrimary(g) })
		t := time.NewTimer(positionTimeout)
		defer t.Stop()
		select {
		case <-done:
		case <-t.C:
		}
	}
	version, at, position, known := g.LatestPosition()
	age := p.clock().Sub(at)
	if !known || age > positionTimeout {
		return positionReply{}
	}
	return positionReply{Known: true, Version: version, Age: age, Term: position.Term(), Number: position.Position()}
}
