// Package evict decides which connections to a server are kept, opened and closed for the workspaces that share them.
//
// A connection belongs to the workspace for which it was opened, a server accepts a limited number of them, and opening one takes a
// slot of the server for a while. The connections are therefore a cache with a hard limit, whose misses cost slots. The owner of a
// server and a VM that uses a server directly decide alike; only their limits differ. A deployment without workspaces is the case of
// one workspace.
package evict

import (
	"cmp"
	"maps"
	"math"
	"time"
)

const (
	// halfLife is the time in which a use of a connection loses half of its weight. TestHalfLives compares it with others.
	halfLife = 30 * time.Second
	// maxPassedOver is how often a request that needs a new connection is passed over for one that does not. It bounds the wait, while
	// the requests of other workspaces make use of the slots.
	maxPassedOver = 8
	// reserveDivisor is the part of the limit that is kept for workspaces that use no connection yet. Below reserveDivisor connections,
	// nothing is kept.
	reserveDivisor = 8
	// historyPerConnection bounds the number of workspaces, for each connection of the limit, whose use is remembered.
	historyPerConnection = 8
	// maxWeight is more than any workspace's use of a connection weighs.
	maxWeight = 1 << 30
)

// Limits are the limits of a VM's connections to one server.
type Limits struct {
	open     int // connections
	opening  int // connections that are being opened
	starting int // connections that have been granted and whose statement has no slot yet
	reserve  int // connections that only workspaces without one may use
}

// unlimited is the limit of what is not limited.
const unlimited = math.MaxInt

// NewLimits returns the limits of a pool of open connections without workspaces.
func NewLimits(open int) Limits { return Limits{open: open, opening: unlimited, starting: unlimited} }

// NewWorkspaceLimits returns the limits of a pool that workspaces share, of a VM that may run this number of statements on the server.
// Connections are opened in no more than half of those slots, so that statements that have a connection go on while many workspaces
// want their first one. Connections are granted to no more statements than are about to run; if each waiting statement held one, no
// connection would be left to keep for others while the server is overloaded.
func NewWorkspaceLimits(open, running int) Limits {
	return Limits{open: open, opening: max(running/2, 1), starting: max(running, 1), reserve: open / reserveDivisor}
}

// Open returns how many connections may be open.
func (l Limits) Open() int { return l.open }

// Action is what a request for a connection does next.
type Action int

// Actions.
const (
	Wait    Action = iota // for another request to end
	Reuse                 // an idle connection of the workspace
	Open                  // a connection
	Replace               // closes the idle connection of Victim and opens one
)

// Room says which connections a server is believed to accept.
type Room int

// Rooms.
const (
	RoomForMore        Room = iota
	RoomForReplacement      // it has refused a connection because it has too many, so one is accepted only in place of another
	NoRoom                  // it has refused a connection for another reason
)

// Request is a request that waits for a connection.
type Request struct {
	workspace string
	priority  int
	late      bool // it cannot be answered in time any more
	passed    int  // how often it was passed over
}

// NewRequest returns a request. Lower numbers of priority go first.
func NewRequest(workspace string, priority int) Request {
	return Request{workspace: workspace, priority: priority}
}

// Workspace returns the workspace of the caller.
func (r *Request) Workspace() string { return r.workspace }

// SetLate sets whether the request cannot be answered in time any more.
func (r *Request) SetLate(late bool) { r.late = late }

// holding counts the open connections of a workspace.
type holding struct{ idle, inUse int }

// use is how often the n-th connection of a workspace was needed besides the n-1 others that were in use, each time weighted by its age.
type use struct {
	weight float64
	last   time.Time
}

func (u use) at(now time.Time) float64 {
	return u.weight * math.Exp2(-float64(now.Sub(u.last))/float64(halfLife))
}

// Cache holds the numbers of a VM's connections to one server and how much the workspaces use them. A Cache is not safe for concurrent
// use.
type Cache struct {
	limits   Limits
	open     int // connections, including those that are being opened
	inUse    int // connections that are not idle
	opening  int
	starting int
	holdings map[string]*holding
	uses     map[string][]use // by workspace; the element n-1 is of its n-th connection
}

// NewCache returns a cache without connections.
func NewCache(l Limits) *Cache {
	return &Cache{limits: l, holdings: make(map[string]*holding), uses: make(map[string][]use)}
}

// SetLimits sets the limits. If there are more connections than the new limits allow, the caller closes idle ones while Excess is true.
func (c *Cache) SetLimits(l Limits) { c.limits = l }

// Limits returns the limits.
func (c *Cache) Limits() Limits { return c.limits }

// Open returns the number of connections, including those that are being opened.
func (c *Cache) Open() int { return c.open }

// Opening returns the number of connections that are being opened.
func (c *Cache) Opening() int { return c.opening }

// Starting returns the number of granted connections whose statement has no slot yet.
func (c *Cache) Starting() int { return c.starting }

// Excess reports whether more connections are open than the limit allows.
func (c *Cache) Excess() bool { return c.open > c.limits.open }

// ByWorkspace returns the number of connections of each workspace that has some, including those that are being opened.
func (c *Cache) ByWorkspace() map[string]int {
	n := make(map[string]int, len(c.holdings))
	for workspace, h := range c.holdings {
		n[workspace] = h.idle + h.inUse
	}
	return n
}

// Exhausted reports whether a request of a workspace that uses connections must wait until another one is released.
func (c *Cache) Exhausted() bool { return c.limits.open-c.inUse <= c.limits.reserve }

// Has reports whether a workspace has a connection.
func (c *Cache) Has(workspace string) bool { return c.holdings[workspace] != nil }

// Ask returns what a request of a workspace may do now.
func (c *Cache) Ask(workspace string, room Room) Action {
	h := c.holdings[workspace]
	switch {
	case c.starting >= c.limits.starting:
		return Wait
	case h != nil && h.inUse > 0 && c.limits.reserve > 0 && c.Exhausted():
		return Wait
	case h != nil && h.idle > 0:
		return Reuse
	case c.opening >= c.limits.opening || room == NoRoom:
		return Wait
	case c.open < c.limits.open && room == RoomForMore:
		return Open
	case c.open <= c.limits.open && c.inUse < c.open:
		return Replace
	}
	return Wait
}

// Next returns the index of the request that is to have a connection next, and how; Wait if none may have one now. The requests are
// those for which at returns an element, n of them in the order of their urgency.
//
// Of the requests of the first priority that may go on, those of workspaces that dominate the server go last, so that no workspace waits
// behind one that has all connections. A request that needs a new connection lets others go first that need none, but only maxPassedOver
// times.
func (c *Cache) Next(n int, at func(i int) *Request, room Room) (int, Action) {
	var first, reuse choice
	for i := range n {
		r := at(i)
		if first.found && !r.sameClass(at(first.i)) {
			break
		}
		a := c.Ask(r.workspace, room)
		if a == Wait {
			continue
		}
		dominates := c.dominates(r.workspace)
		first.offer(i, a, dominates)
		if a == Reuse {
			reuse.offer(i, a, dominates)
		}
	}
	if !first.found {
		return 0, Wait
	}
	if first.action == Reuse || !reuse.found || at(first.i).passed >= maxPassedOver {
		return first.i, first.action
	}
	for i := range n {
		if at(i).sameClass(at(first.i)) && !c.dominates(at(i).workspace) {
			at(i).passed++
		}
	}
	return reuse.i, Reuse
}

// choice is the first request of those that were offered, or the first one whose workspace does not dominate the server.
type choice struct {
	i         int
	action    Action
	dominates bool
	found     bool
}

func (c *choice) offer(i int, a Action, dominates bool) {
	if !c.found || c.dominates && !dominates {
		*c = choice{i: i, action: a, dominates: dominates, found: true}
	}
}

// sameClass reports whether no difference of their kind lets one of two requests go before the other.
func (r *Request) sameClass(other *Request) bool {
	return r.priority == other.priority && r.late == other.late
}

// dominates reports whether a workspace uses at least half as many connections as there are slots.
func (c *Cache) dominates(workspace string) bool {
	h := c.holdings[workspace]
	return h != nil && h.inUse > 0 && h.inUse >= c.limits.starting-c.limits.starting/2
}

// Victim returns the workspace of which an idle connection is closed next: the one whose last connection is needed least. It returns
// false if no connection is idle.
func (c *Cache) Victim(now time.Time) (string, bool) {
	victim, found, least := "", false, use{}
	for workspace, h := range c.holdings {
		if h.idle == 0 {
			continue
		}
		var u use
		if uses := c.uses[workspace]; h.idle+h.inUse <= len(uses) {
			u = uses[h.idle+h.inUse-1]
		}
		u.weight = u.at(now)
		order := cmp.Or(cmp.Compare(u.weight, least.weight), u.last.Compare(least.last), cmp.Compare(workspace, victim))
		if !found || order < 0 {
			victim, found, least = workspace, true, u
		}
	}
	return victim, found
}

func (c *Cache) holding(workspace string) *holding {
	h, ok := c.holdings[workspace]
	if !ok {
		h = &holding{}
		c.holdings[workspace] = h
	}
	return h
}

// Take records that a request of a workspace uses an idle connection of it. It counts as starting until Started or Release.
func (c *Cache) Take(workspace string, now time.Time) {
	c.Borrow(workspace)
	c.starting++
	c.recordUse(workspace, now)
}

// Borrow records that the VM itself uses an idle connection of a workspace.
func (c *Cache) Borrow(workspace string) {
	h := c.holding(workspace)
	h.idle--
	h.inUse++
	c.inUse++
}

// Begin records that a request of a workspace opens a connection. It counts as starting until Started or Release.
func (c *Cache) Begin(workspace string, now time.Time) {
	c.BeginBeyond(workspace)
	c.opening++
	c.starting++
	c.recordUse(workspace, now)
}

// BeginBeyond records that the VM itself opens a connection, to which only the limit of Excess applies.
func (c *Cache) BeginBeyond(workspace string) {
	c.holding(workspace).inUse++
	c.inUse++
	c.open++
}

// Opened records that the connection of Begin has been opened or has failed to open. After a failure, Release and Close must
// follow.
func (c *Cache) Opened() { c.opening-- }

// Started records that the statement of a granted connection has a slot, or needs none.
func (c *Cache) Started() { c.starting-- }

// Release records that a connection of a workspace has become idle.
func (c *Cache) Release(workspace string) {
	h := c.holding(workspace)
	h.inUse--
	h.idle++
	c.inUse--
}

// Close records that an idle connection of a workspace has been closed.
func (c *Cache) Close(workspace string) {
	h := c.holding(workspace)
	h.idle--
	c.open--
	if h.idle+h.inUse == 0 {
		delete(c.holdings, workspace)
	}
}

// recordUse records that a workspace needs as many connections as it has in use now.
func (c *Cache) recordUse(workspace string, now time.Time) {
	n := c.holdings[workspace].inUse
	uses := c.uses[workspace]
	for len(uses) < n {
		uses = append(uses, use{})
	}
	u := &uses[n-1]
	*u = use{weight: u.at(now) + 1, last: now}
	c.uses[workspace] = uses
	if len(c.uses) > historyPerConnection*max(c.limits.open, 1) {
		c.forget(now)
	}
}

// forget drops the least used of the workspaces without connections.
func (c *Cache) forget(now time.Time) {
	keep := historyPerConnection * max(c.limits.open, 1)
	for least := 0.5; len(c.uses) > keep && least < maxWeight; least *= 2 {
		maps.DeleteFunc(c.uses, func(workspace string, uses []use) bool {
			return c.holdings[workspace] == nil && uses[0].at(now) < least
		})
	}
}
