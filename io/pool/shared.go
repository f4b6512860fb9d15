package pool

import (
	"time"

	"verbenagate/core/exec"
	"verbenagate/core/lead"
	"verbenagate/core/point"
	"verbenagate/core/query"
)

// Session is the use of a server by one statement or transaction: a connection of this VM, or one of the VM that owns the server.
type Session interface {
	// Server returns the id of the server.
	Server() string
	// Owner returns the VM through which the server is used, "" if this VM uses a connection of its own.
	Owner() string
	// SetSessionValues sets the session values for the next request.
	SetSessionValues(timeout time.Duration, values map[string]string) error
	// EnsurePrepared returns the name of the prepared statement for shape. See Conn.EnsurePrepared.
	EnsurePrepared(timeout time.Duration, shape query.Shape, name func(n int) string) (string, error)
	// Run sends a statement that occupies a slot of the server. The second result reports whether it may have reached the server.
	Run(timeout time.Duration, priority int, op exec.Operation) (exec.Result, bool, error)
	// Do sends another request.
	Do(timeout time.Duration, op exec.Operation) (exec.Result, bool, error)
	// MarkBroken makes Release close the connection.
	MarkBroken()
	// Broken reports whether the connection to the server failed.
	Broken() bool
	// Release ends the use.
	Release()
}

var _ Session = (*Conn)(nil)

// Forwarder forwards the requests of a session to the VM that owns its server.
type Forwarder interface {
	// Forward returns a session on a server through its owner, or false if the owner did not answer recently.
	Forward(owner lead.Member, group *Group, server string, request AcquireRequest) (Session, bool)
}

// Name returns the name of the group.
func (g *Group) Name() string { return g.name }

// VM returns the name of this VM.
func (g *Group) VM() string { return g.vm }

// Leader returns the id of the server that leads the group, "" if it is unknown.
func (g *Group) Leader() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// Owners returns the VMs that may hold the shared connections to a server, the owner first. There are none if each VM uses the
// server with connections of its own.
func (g *Group) Owners(server string) []lead.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owners[server]
}

// Shared reports whether the servers of the group are used through their owners.
func (g *Group) Shared() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.owners) > 0
}

// Acquire returns a session on a server: through the server's owner if it has one that answers, else on a connection of this VM.
func (g *Group) Acquire(id string, request AcquireRequest) (Session, error) {
	g.mu.Lock()
	p, ok := g.pools[id]
	owners, forwarder := g.owners[id], g.forwarder
	place := g.table.Place()
	g.mu.Unlock()
	if !ok {
		return nil, notRegisteredError(id)
	}
	for _, o := range owners {
		if o.Name() == g.vm {
			break
		}
		if s, ok := forwarder.Forward(o, g, id, request); ok {
			return s, nil
		}
	}
	c, err := p.Acquire(request)
	if err != nil {
		return nil, err
	}
	p.recordOrigin(place)
	return c, nil
}

// RecordRelayedPosition records a log position that another VM has learned from the primary that the record of this version names.
func (g *Group) RecordRelayedPosition(version uint64, requestedAt time.Time, p point.Point) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version == g.leaderVersion {
		g.history.Observe(requestedAt, p)
		g.table.RecordPrimaryPosition(g.clock(), p)
	}
}

// LatestPosition returns the newest known log position of the primary, when it was requested, and the version of the record that
// names the primary. It returns false if there is none.
func (g *Group) LatestPosition() (version uint64, requestedAt time.Time, p point.Point, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	requestedAt, p, ok = g.history.Latest()
	return g.leaderVersion, requestedAt, p, ok
}

// Replicas returns the ids of the servers that do not lead the group.
func (g *Group) Replicas() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for _, s := range g.members {
		if s.ID() != g.leader {
			ids = append(ids, s.ID())
		}
	}
	return ids
}
