// Package layout holds the active configuration and the registered database servers.
package layout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Kind is the freshness that the reads of a route require.
type Kind uint8

// The kinds of routes.
const (
	// Primary reads see every acknowledged commit.
	Primary Kind = iota + 1
	// Bounded reads accept data up to the route's maximum age.
	Bounded
	// OwnWrites reads accept data up to the route's maximum age if the data include the session's own commits.
	OwnWrites
)

// String returns the name of the kind that log lines use.
func (k Kind) String() string {
	switch k {
	case Primary:
		return "primary"
	case Bounded:
		return "bounded"
	case OwnWrites:
		return "own_writes"
	}
	return "invalid"
}

// Route is the configuration for the sessions of one database.
type Route struct {
	database      string
	group         string
	kind          Kind
	maxAge        time.Duration
	timeout       time.Duration
	targetLatency time.Duration
	priority      int
	public        bool
}

// NewRoute returns a route. The timeout applies to a statement, targetLatency is the intended latency of an operation, and
// priority 0 is the highest.
func NewRoute(database, group string, kind Kind, maxAge, timeout, targetLatency time.Duration, priority int) Route {
	return Route{
		database: database, group: group, kind: kind, maxAge: maxAge, timeout: timeout, targetLatency: targetLatency,
		priority: priority,
	}
}

// WithPublic returns the route, open to callers without a key if public is true.
func (r Route) WithPublic(public bool) Route {
	r.public = public
	return r
}

// Public reports whether the route admits callers without a key.
func (r Route) Public() bool { return r.public }

// Database returns the database name that callers connect with.
func (r Route) Database() string { return r.database }

// Group returns the name of the group whose servers serve the route.
func (r Route) Group() string { return r.group }

// Kind returns the freshness that the reads require.
func (r Route) Kind() Kind { return r.kind }

// MaxAge returns the maximum age of the data that reads may return.
func (r Route) MaxAge() time.Duration { return r.maxAge }

// Timeout returns the statement timeout.
func (r Route) Timeout() time.Duration { return r.timeout }

// TargetLatency returns the intended latency of an operation.
func (r Route) TargetLatency() time.Duration { return r.targetLatency }

// Priority returns the priority; 0 is the highest.
func (r Route) Priority() int { return r.priority }

// Config is one immutable version of the operators' configuration.
type Config struct {
	version            uint64
	routes             map[string]Route
	limits             map[string]int
	groups             []string // in ascending order
	syncReplicas       map[string]int
	maxTransactionIdle time.Duration
	byKey              map[string]Workspace // by key; nil if callers need no key
	workspaces         map[string]Workspace // by name
}

// NewConfig returns a version of the configuration. The map limits holds the connection limit of each server, by group.
func NewConfig(version uint64, routes []Route, limits map[string]int, maxTransactionIdle time.Duration) Config {
	c := Config{
		version: version, routes: make(map[string]Route, len(routes)), limits: maps.Clone(limits),
		groups: slices.Sorted(maps.Keys(limits)), maxTransactionIdle: maxTransactionIdle,
	}
	for _, r := range routes {
		c.routes[r.database] = r
	}
	return c
}

// WithSyncReplicas returns the configuration with the number of replicas, by group, that must have received a commit before it is
// acknowledged.
func (c Config) WithSyncReplicas(byGroup map[string]int) Config {
	c.syncReplicas = maps.Clone(byGroup)
	return c
}

// Version returns the configuration's version, or 0 for the zero Config, which means that none has been received yet.
func (c Config) Version() uint64 { return c.version }

// Route returns the route of a database.
func (c Config) Route(database string) (Route, bool) {
	r, ok := c.routes[database]
	return r, ok
}

// RouteCount returns the number of routes.
func (c Config) RouteCount() int { return len(c.routes) }

// Limit returns the connection limit of each server of a group.
func (c Config) Limit(group string) int { return c.limits[group] }

// SyncReplicas returns how many replicas of a group must have received a commit before it is acknowledged. With 0, replication is
// asynchronous, and a promotion may lose the newest commits.
func (c Config) SyncReplicas(group string) int { return c.syncReplicas[group] }

// Groups returns the names of the groups in ascending order. The caller must not change them.
func (c Config) Groups() []string { return c.groups }

// MaxTransactionIdle returns how long a transaction may be idle between statements.
func (c Config) MaxTransactionIdle() time.Duration { return c.maxTransactionIdle }

// Server is a registered database server.
type Server struct {
	id         string
	group      string
	address    string
	dataCentre string
	slots      int
	draining   bool
	primary    bool
	born       int64 // start time in Unix milliseconds; platform's test prints the fields by name
}

// NewServer returns a server. The flag primary is the server's own claim; born is its start time in Unix milliseconds.
func NewServer(id, group, address, dataCentre string, slots int, draining, primary bool, born int64) Server {
	return Server{
		id: id, group: group, address: address, dataCentre: dataCentre, slots: slots, draining: draining, primary: primary,
		born: born,
	}
}

// ID returns the server's id.
func (s Server) ID() string { return s.id }

// Group returns the server's group.
func (s Server) Group() string { return s.group }

// Address returns the address, host:port.
func (s Server) Address() string { return s.address }

// DataCentre returns the server's data centre.
func (s Server) DataCentre() string { return s.dataCentre }

// Slots returns how many statements the server runs concurrently.
func (s Server) Slots() int { return s.slots }

// Draining reports whether the server accepts no new work.
func (s Server) Draining() bool { return s.draining }

// Primary reports whether the server claims to be the primary of its group.
func (s Server) Primary() bool { return s.primary }

// Precedes reports whether s is an entry that the server wrote before known: of an earlier process, or from before it began to leave.
func (s Server) Precedes(known Server) bool {
	return s.born < known.born || s.born == known.born && known.draining && !s.draining
}

// StartMillis returns the server's start time in Unix milliseconds, or 0 if it is unknown.
func (s Server) StartMillis() int64 { return s.born }

// ByGroup returns the servers of each group, ordered by id.
func ByGroup(all map[string]Server) map[string][]Server {
	groups := make(map[string][]Server)
	for _, s := range all {
		groups[s.group] = append(groups[s.group], s)
	}
	for _, list := range groups {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.id, b.id) })
	}
	return groups
}

const (
	// reservedConnections of each server stay free for VMs that have just started and that other VMs do not count yet.
	reservedConnections = 2
	// minShare is 2 so that a VM can serve other work while a transaction holds one connection during its caller's pauses.
	minShare = 2
)

// Share returns how many connections each of n VMs may open to a server that accepts limit connections in total.
func Share(limit, n int) int { return max((limit-reservedConnections)/max(n, 1), minShare) }

// maxDirectVMsPerSlot is how many VMs may use a slot of a server each with connections of its own. With more VMs, a VM would
// mostly run nothing on the server, and the VMs' choices would meet only in the server's own queue.
const maxDirectVMsPerSlot = 4

// NeedsOwner reports whether n VMs are too many to use a server with this many slots each with connections of its own.
func NeedsOwner(slots, n int) bool { return n > maxDirectVMsPerSlot*slots }

const (
	// otherConnections of each server stay free for VMs that watch it or do not reach its owner.
	otherConnections = 10
	// concurrentOwners is how many VMs may take themselves for the owner while the list of VMs changes.
	concurrentOwners = 2
)

// OwnerShare returns how many connections the owner of a server that accepts limit connections may open.
func OwnerShare(limit int) int { return max((limit-otherConnections)/concurrentOwners, minShare) }

// takeoverDivisor is the part of the owners' connections that a VM may open that is not the only owner for certain. It needs some for
// each slot and for transactions; connections that it would only keep idle are worth more at the owner.
const takeoverDivisor = 3

// TakeoverShare returns how many connections a VM may open, where they belong to workspaces, that takes over from the owner of a server
// that accepts limit connections, or that has just become the owner.
func TakeoverShare(limit int) int { return max((limit-otherConnections)/takeoverDivisor, minShare) }

// SettledShare returns how many connections the owner of a server that accepts limit connections may open, where they belong to
// workspaces, once no other VM takes itself for the owner.
func SettledShare(limit int) int { return max(limit-otherConnections-TakeoverShare(limit), minShare) }

// OnlyOwner reports whether a VM that has become the owner of a server is certainly the only one, as the other VMs have just this number
// of connections to the server.
func OnlyOwner(others int) bool { return others <= otherConnections }

// Overcommitted reports whether n VMs that all open their full share exceed a server's connection limit minus the reserved
// connections. Few VMs open their full share at the same time; the server refuses connections beyond its limit, and idle
// connections must be closed early.
func Overcommitted(limit, n int) bool { return n*Share(limit, n) > limit-reservedConnections }
