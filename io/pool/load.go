package pool

import (
	"errors"
	"sync/atomic"
	"time"

	"verbenagate/core/admit"
	"verbenagate/core/even"
	"verbenagate/core/result"
	"verbenagate/core/route"
)

// ErrSentBack is the cause of the refusal of a statement whose AcquireRequest.SendBackAt was reached.
var ErrSentBack = errors.New("another server can run the statement sooner")

// shareLogInterval is the least time between two log lines with the shares of a group. It bounds the lines of a VM, however many
// groups it has.
const shareLogInterval = 5 * time.Second

// shareLog limits the rate of the log lines with shares.
type shareLog struct{ last atomic.Int64 } // Unix time of the last line, in nanoseconds

// allows reports whether a line may be logged now, and takes it as logged.
func (l *shareLog) allows(now time.Time) bool {
	last := l.last.Load()
	return now.UnixNano()-last >= int64(shareLogInterval) && l.last.CompareAndSwap(last, now.UnixNano())
}

// recordOrigin records from which place a statement or a transaction comes that uses the server through this VM.
func (p *Pool) recordOrigin(place even.Place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meter.RecordOrigin(p.clock(), place)
}

// recordEnd records the end of a statement that took a slot for a time, with the server's answer or the error for which there is
// none. Refusals for reasons that lie in the statement, or in the log that the server has applied, count neither way.
func (p *Pool) recordEnd(took time.Duration, code result.Code, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	switch {
	case err == nil && code == result.OK:
		p.meter.RecordSuccess(now, took)
	case err != nil, code == result.StatementFailed, code == result.Overloaded, code == result.AnswerLost, code == result.Internal:
		p.meter.RecordFailure(now)
	}
}

// load returns the load of the server as far as statements use it through this VM, for a VM at a place.
func (p *Pool) load(place even.Place) even.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meter.Report(p.clock(), p.running+p.slotWaiters.Len()+p.connWaiters.Len(), place)
}

// Ahead returns how many statements run on the server through this VM, or wait ahead of a new one.
func (p *Pool) Ahead(priority int, answerWithin time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, service := p.clock(), p.gate.ServiceTime()
	rank := admit.NewRank(priority, now.Add(answerWithin))
	return p.running + p.slotWaiters.Ahead(rank, now, service) + p.connWaiters.Ahead(rank, now, service)
}

// owns reports whether all statements for a server go through this VM, as long as VMs reach it. The caller holds mu.
func (g *Group) owns(server string) bool {
	list := g.owners[server]
	return len(list) > 0 && list[0].Name() == g.vm
}

// Place returns the place of this VM among those that choose servers of the group.
func (g *Group) Place() even.Place {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Place()
}

// RecordOrigin records that a statement or a transaction of a VM at a place uses a server through this VM.
func (g *Group) RecordOrigin(server string, place even.Place) {
	if p, ok := g.Pool(server); ok {
		p.recordOrigin(place)
	}
}

// Load returns the load of a server for a VM at a place. It is not Known unless this VM owns the server, since only the owner sees
// the statements of all VMs.
func (g *Group) Load(server string, place even.Place) even.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p, ok := g.pools[server]; ok && g.owns(server) {
		return p.load(place)
	}
	return even.Report{}
}

// RecordLoad records the load of a server that its owner reported with the answer to a statement, which has not been counted as
// finished yet.
func (g *Group) RecordLoad(server string, r even.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordLoad(g.clock(), server, r, 1)
}

// SendBackAt returns from how many statements ahead on the owner of the chosen server should send a statement with this need back,
// 0 for never; see route.Table.SendBackAt. It is 0 on the owner itself, whose choice was made with the present load, and for a
// statement that has been tried on another server.
func (g *Group) SendBackAt(need route.Need, chosen string, tried []string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.owners[chosen]) == 0 || g.owns(chosen) || len(tried) > 0 {
		return 0
	}
	return g.table.SendBackAt(g.clock(), need, chosen, g.unreachableServers())
}

// recordOwnLoads records the present loads of the servers that this VM owns. The caller holds mu.
func (g *Group) recordOwnLoads() {
	now, place := g.clock(), g.table.Place()
	for _, s := range g.members {
		if p, ok := g.pools[s.ID()]; ok && g.owns(s.ID()) {
			g.table.RecordLoad(now, s.ID(), p.load(place), 0)
		}
	}
}
