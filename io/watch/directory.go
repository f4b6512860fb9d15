package watch

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/layout"
	"verbenagate/core/port"
	"verbenagate/io/every"
	"verbenagate/io/logs"
)

// reregisterGrace is how long servers may take to register again after an outage of the store. A server that is still missing
// after that is removed.
const reregisterGrace = 2900 * time.Millisecond

// departureMemory is how long a server that has left is remembered. A copy of the store is some seconds old.
const departureMemory = time.Minute

// directoryBatchDelay is how long changes of the configuration and of the servers are batched. A change may take seconds until
// it is in force.
const directoryBatchDelay = 250 * time.Millisecond

// Source names the tables that hold the configuration and the servers, and the functions that parse their rows.
type Source struct {
	ConfigTable, ConfigKey string
	ServerTable            string
	ParseConfig            func(value []byte) (layout.Config, error)
	ParseServer            func(id string, value []byte) (layout.Server, error)
}

// ServerMeaning returns what the value of a server's row says of the server, nil if it cannot be decoded.
func (s Source) ServerMeaning(value []byte) any {
	server, err := s.ParseServer("", value)
	if err != nil {
		return nil
	}
	return server
}

// View is an immutable snapshot of the configuration in force and of the registered servers.
type View struct {
	config  layout.Config
	servers map[string]layout.Server
	groups  map[string][]layout.Server
}

// NewView returns a view of a configuration and of the registered servers by id.
func NewView(c layout.Config, servers map[string]layout.Server) *View {
	return &View{config: c, servers: maps.Clone(servers), groups: layout.ByGroup(servers)}
}

// Config returns the configuration in force.
func (v *View) Config() layout.Config { return v.config }

// Server returns the server with this id, and false if it is not registered.
func (v *View) Server(id string) (layout.Server, bool) {
	s, ok := v.servers[id]
	return s, ok
}

// Group returns the servers of a group, ordered by id.
func (v *View) Group(name string) []layout.Server { return v.groups[name] }

// ServerCount returns the number of registered servers.
func (v *View) ServerCount() int { return len(v.servers) }

// Directory maintains the current View from the tables of the store. It is safe for concurrent use.
type Directory struct {
	source   Source
	clock    func() time.Time
	log      logs.Logger
	view     atomic.Pointer[View]
	onChange func(*View)

	background sync.WaitGroup

	mu            sync.Mutex
	config        layout.Config
	servers       map[string]layout.Server
	removeAfter   map[string]time.Time // servers whose entry is missing after an outage, with the time at which they are removed
	serversListed bool
	storeDown     bool
	storeUpSince  time.Time // end of the last outage, zero before the first one
	serversEra    uint64    // of the store, when the servers were listed last
	departed      map[string]departure
}

// departure is a server that is registered no more. Its entry may come back with a copy of the store.
type departure struct {
	server layout.Server
	at     time.Time
}

// NewDirectory starts to follow the tables until ctx ends. It calls onChange with each new view, one call at a time.
func NewDirectory(ctx context.Context, rows port.RowReader, source Source, clock func() time.Time, log logs.Logger,
	onChange func(*View),
) *Directory {
	d := &Directory{
		source: source, clock: clock, log: log, onChange: onChange,
		servers: make(map[string]layout.Server), removeAfter: make(map[string]time.Time),
		departed: make(map[string]departure),
	}
	d.view.Store(&View{servers: map[string]layout.Server{}})
	d.background.Go(func() {
		Follow(ctx, rows, source.ConfigTable, directoryBatchDelay, clock, (*configFollower)(d))
	})
	d.background.Go(func() {
		Follow(ctx, rows, source.ServerTable, directoryBatchDelay, clock, (*serverFollower)(d))
	})
	d.background.Go(func() {
		for ctx.Err() == nil {
			every.Sleep(ctx, 200*time.Millisecond)
			d.removeExpired()
		}
	})
	return d
}

// Wait waits until the directory no longer follows the tables. Call it when the context passed to NewDirectory has ended.
func (d *Directory) Wait() { d.background.Wait() }

// View returns the current view.
func (d *Directory) View() *View { return d.view.Load() }

// Ready reports whether both the configuration and the servers have been read from the store.
func (d *Directory) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.serversListed && d.config.Version() > 0
}

// publish makes a copy of the configuration and the servers the current view. The caller holds mu.
func (d *Directory) publish() {
	v := NewView(d.config, d.servers)
	d.view.Store(v)
	d.onChange(v)
}

// removeExpired removes the servers that did not register again within reregisterGrace after an outage.
func (d *Directory) removeExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, removed := d.clock(), false
	maps.DeleteFunc(d.departed, func(_ string, gone departure) bool { return now.Sub(gone.at) > departureMemory })
	for id, at := range d.removeAfter {
		if !d.storeDown && now.After(at) {
			delete(d.removeAfter, id)
			d.removeServer(id)
			removed = true
		}
	}
	if removed {
		d.publish()
	}
}

func (d *Directory) removeServer(id string) {
	if s, ok := d.servers[id]; ok {
		d.log.Event(event.ServerGone, zap.String("server", id), zap.String("group", s.Group()))
		delete(d.servers, id)
		d.departed[id] = departure{server: s, at: d.clock()}
	}
}

// holdsBack reports whether an entry from a copy of the store is older than what this VM knows of the server, so that it is not applied:
// the server has left since, has been started again or leaves. The caller holds mu.
func (d *Directory) holdsBack(s layout.Server) bool {
	if known, ok := d.servers[s.ID()]; ok {
		return s.Precedes(known)
	}
	gone, ok := d.departed[s.ID()]
	return ok && s.StartMillis() <= gone.server.StartMillis()
}

type configFollower Directory

// Reset implements Follower.
func (f *configFollower) Reset(_ time.Time, s port.Snapshot) { f.applyRows(s) }

// Change implements Follower.
func (f *configFollower) Change(_ time.Time, s port.Snapshot) { f.applyRows(s) }

// CallFailed implements Follower.
func (f *configFollower) CallFailed(err error) {
	f.log.Event(event.StoreDown, zap.String("table", f.source.ConfigTable), zap.Error(err))
}

func (f *configFollower) applyRows(s port.Snapshot) {
	for _, row := range s.Rows {
		if row.Key != f.source.ConfigKey || row.Deleted {
			continue
		}
		c, err := f.source.ParseConfig(row.Value)
		if err != nil {
			f.log.Event(event.ConfigRefused, zap.Error(err))
			continue
		}
		f.applyConfig(c)
	}
}

func (f *configFollower) applyConfig(c layout.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Version() < f.config.Version() {
		f.log.Event(event.ConfigOlder, zap.Uint64("version", c.Version()), zap.Uint64("in_force", f.config.Version()))
		return
	}
	if c.Version() > f.config.Version() {
		f.log.Event(event.ConfigApplied, zap.Uint64("version", c.Version()), zap.Int("routes", c.RouteCount()))
	}
	f.config = c
	(*Directory)(f).publish()
}

type serverFollower Directory

// Reset implements Follower. It removes the servers that are no longer listed. In a new era of the store, the list is a copy some seconds
// old: of servers that are known better, the known entries stay until they write theirs again, and those that it lacks have
// reregisterGrace for that.
func (f *serverFollower) Reset(_ time.Time, s port.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markStoreUp()
	isCopy := s.Version.Era() > f.serversEra
	if isCopy {
		f.serversEra, f.storeUpSince = s.Version.Era(), f.clock()
	}
	listed := make(map[string]bool, len(s.Rows))
	for _, row := range s.Rows {
		listed[row.Key] = true
		f.applyRow(row, isCopy)
	}
	for id := range f.servers {
		if !listed[id] {
			f.handleMissing(id)
		}
	}
	f.serversListed = true
	(*Directory)(f).publish()
}

// Change implements Follower.
func (f *serverFollower) Change(_ time.Time, s port.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markStoreUp()
	changed := false
	for _, row := range s.Rows {
		if row.Deleted {
			changed = f.handleMissing(row.Key) || changed
			continue
		}
		changed = f.applyRow(row, false) || changed
	}
	if changed {
		(*Directory)(f).publish()
	}
}

// CallFailed implements Follower.
func (f *serverFollower) CallFailed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.storeDown {
		f.log.Event(event.StoreDown, zap.String("table", f.source.ServerTable), zap.Error(err))
	}
	f.storeDown = true
}

// markStoreUp records that the store answers. The caller holds mu.
func (f *serverFollower) markStoreUp() {
	if f.storeDown {
		f.storeDown, f.storeUpSince = false, f.clock()
		f.log.Event(event.StoreUp, zap.String("table", f.source.ServerTable))
	}
}

// handleMissing removes a server whose entry is missing. Within reregisterGrace after an outage, it only schedules the removal,
// because the server may still register again. It reports whether it has removed the server. The caller holds mu.
func (f *serverFollower) handleMissing(id string) bool {
	if _, known := f.servers[id]; !known {
		return false
	}
	if until := f.storeUpSince.Add(reregisterGrace); !f.storeUpSince.IsZero() && f.clock().Before(until) {
		if _, scheduled := f.removeAfter[id]; !scheduled {
			f.removeAfter[id] = until
		}
		return false
	}
	(*Directory)(f).removeServer(id)
	return true
}

// applyRow stores a server's entry, or removes the server if the entry is invalid. It reports whether that changed anything: most
// entries only show that the server is alive. An entry from a copy of the store may be held back. The caller holds mu.
func (f *serverFollower) applyRow(row port.Row, isCopy bool) bool {
	delete(f.removeAfter, row.Key)
	s, err := f.source.ParseServer(row.Key, row.Value)
	if err != nil {
		f.log.Event(event.ServerRefused, zap.Error(err))
		_, known := f.servers[row.Key]
		(*Directory)(f).removeServer(row.Key)
		return known
	}
	if isCopy && (*Directory)(f).holdsBack(s) {
		f.log.Event(event.EntryHeldBack, zap.String("server", s.ID()), zap.Bool("draining", s.Draining()))
		return false
	}
	delete(f.departed, row.Key)
	old, known := f.servers[row.Key]
	changed := !known || old != s
	if changed {
		f.log.Event(event.ServerSeen, zap.String("server", s.ID()), zap.String("group", s.Group()),
			zap.String("address", s.Address()), zap.Bool("draining", s.Draining()), zap.Bool("primary", s.Primary()))
	}
	f.servers[row.Key] = s
	return changed
}
