package pool

import (
	"maps"
	"slices"
	"time"

	"verbenagate/core/layout"
	"verbenagate/core/lead"
	"verbenagate/core/point"
)

// departure is a server that has left the group. It may return with its log, or a server at its address may take the log over.
type departure struct {
	address string
	at      time.Time
	// logEnd is a position of the primary after the departure, zero until it is known. A remaining replica that has it has
	// everything that was acknowledged before the departure.
	logEnd point.Point
}

// Departed returns the ids of the servers that left within lead.LogReturnTimeout and may hold acknowledged commits that no
// remaining replica is known to have.
func (g *Group) Departed() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropOldDepartures()
	return slices.Sorted(maps.Keys(g.departures))
}

// dropOldDepartures forgets the servers that have not returned in time. The caller holds mu.
func (g *Group) dropOldDepartures() {
	now := g.clock()
	maps.DeleteFunc(g.departures, func(_ string, left departure) bool { return now.Sub(left.at) >= lead.LogReturnTimeout })
}

// recordDeparture records that a server is not registered any more. The caller holds mu.
func (g *Group) recordDeparture(s layout.Server) {
	g.dropOldDepartures()
	if g.departures == nil {
		g.departures = make(map[string]departure)
	}
	g.departures[s.ID()] = departure{address: s.Address(), at: g.clock()}
}

// endDepartures forgets the departed servers that are registered again or have a successor at their address. The caller holds mu.
func (g *Group) endDepartures(members []layout.Server) {
	maps.DeleteFunc(g.departures, func(id string, left departure) bool {
		return slices.ContainsFunc(members, func(s layout.Server) bool { return s.ID() == id || s.Address() == left.address })
	})
}

// verifyDepartures uses the position that a server returned to a request sent at requestedAt. It forgets the departed servers
// without which nothing is missing. The caller holds mu.
func (g *Group) verifyDepartures(id string, requestedAt time.Time, p point.Point, isPrimary bool) {
	for departed, left := range g.departures {
		switch {
		case isPrimary && id == g.leader && left.logEnd.IsZero() && requestedAt.After(left.at):
			left.logEnd = p
			g.departures[departed] = left
		case id != g.leader && !left.logEnd.IsZero() && p.Covers(left.logEnd):
			delete(g.departures, departed)
		}
	}
}
