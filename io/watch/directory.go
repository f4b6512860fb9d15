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
	"verbenagate/io/logs"
)

// returnTime is how long after an outage of the store servers may take to register again. One that is missing after that
// is gone.
const returnTime = 2300 * time.Millisecond

// gather is how long changes of the configuration and of the servers may come together; they have seconds to be in force.
const gather = 250 * time.Millisecond

// Source names the tables of the configuration and of the servers and reads their rows.
type Source struct {
	ConfigTable, ConfigKey string
	ServerTable            string
	ParseConfig            func(value []byte) (layout.Config, error)
	ParseServer            func(id string, value []byte) (layout.Server, error)
}

// View is the configuration in force and the servers known. It does not change.
type View struct {
	config  layout.Config
	servers map[string]layout.Server
}

// Config returns the configuration in force.
func (v *View) Config() layout.Config { return v.config }

// Server returns a server.
func (v *View) Server(id string) (layout.Server, bool) {
	s, ok := v.servers[id]
	return s, ok
}

// Group returns the servers of a group, ordered by id.
func (v *View) Group(name string) []layout.Server { return layout.Servers(v.servers, name) }

// Servers returns the number of servers.
func (v *View) Servers() int { return len(v.servers) }

// Directory keeps the current View.
type Directory struct {
	source  Source
	clock   func() time.Time
	log     logs.Logger
	view    atomic.Pointer[View]
	changed func(*View)

	mu       sync.Mutex
	config   layout.Config
	servers  map[string]layout.Server
	missing  map[string]time.Time // servers whose entry lapsed during an outage, and when they are gone
	listed   bool
	down     bool
	returned time.Time
}

// NewDirectory starts to follow the tables. Changed is called with each new view, one call at a time.
func NewDirectory(ctx context.Context, rows port.RowReader, source Source, clock func() time.Time, log logs.Logger,
	changed func(*View),
) *Directory {
	d := &Directory{
		source: source, clock: clock, log: log, changed: changed,
		servers: make(map[string]layout.Server), missing: make(map[string]time.Time),
	}
	d.view.Store(&View{servers: map[string]layout.Server{}})
	go Follow(ctx, rows, source.ConfigTable, gather, clock, (*configFollower)(d))
	go Follow(ctx, rows, source.ServerTable, gather, clock, (*serverFollower)(d))
	go func() {
		for ctx.Err() == nil {
			pause(ctx, 200*time.Millisecond)
			d.expire()
		}
	}()
	return d
}

// View returns the current view.
func (d *Directory) View() *View { return d.view.Load() }

// Ready reports whether the configuration and the servers have been read.
func (d *Directory) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed && d.config.Version() > 0
}

// publish makes the state the current view. The caller holds mu.
func (d *Directory) publish() {
	v := &View{config: d.config, servers: maps.Clone(d.servers)}
	d.view.Store(v)
	d.changed(v)
}

// expire removes the servers that did not come back after an outage.
func (d *Directory) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, removed := d.clock(), false
	for id, at := range d.missing {
		if !d.down && now.After(at) {
			delete(d.missing, id)
			d.remove(id)
			removed = true
		}
	}
	if removed {
		d.publish()
	}
}

func (d *Directory) remove(id string) {
	if s, ok := d.servers[id]; ok {
		d.log.Event(event.ServerGone, zap.String("server", id), zap.String("group", s.Group()))
		delete(d.servers, id)
	}
}

type configFollower Directory

// Reset implements Follower.
func (f *configFollower) Reset(_ time.Time, s port.Snapshot) { f.take(s) }

// Change implements Follower.
func (f *configFollower) Change(_ time.Time, s port.Snapshot) { f.take(s) }

// Down implements Follower.
func (f *configFollower) Down(err error) {
	f.log.Event(event.StoreDown, zap.String("table", f.source.ConfigTable), zap.Error(err))
}

func (f *configFollower) take(s port.Snapshot) {
	for _, row := range s.Rows {
		if row.Key != f.source.ConfigKey || row.Deleted {
			continue
		}
		c, err := f.source.ParseConfig(row.Value)
		if err != nil {
			f.log.Event(event.ConfigRefused, zap.Error(err))
			continue
		}
		f.apply(c)
	}
}

func (f *configFollower) apply(c layout.Config) {
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

// Reset implements Follower. Servers that are not listed any more are removed.
func (f *serverFollower) Reset(_ time.Time, s port.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.up()
	present := make(map[string]bool, len(s.Rows))
	for _, row := range s.Rows {
		present[row.Key] = true
		f.take(row)
	}
	for id := range f.servers {
		if !present[id] {
			f.lapsed(id)
		}
	}
	f.listed = true
	(*Directory)(f).publish()
}

// Change implements Follower.
func (f *serverFollower) Change(_ time.Time, s port.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.up()
	for _, row := range s.Rows {
		if row.Deleted {
			f.lapsed(row.Key)
			continue
		}
		f.take(row)
	}
	if len(s.Rows) > 0 {
		(*Directory)(f).publish()
	}
}

// Down implements Follower.
func (f *serverFollower) Down(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.down {
		f.log.Event(event.StoreDown, zap.String("table", f.source.ServerTable), zap.Error(err))
	}
	f.down = true
}

// up notes that the store answers. The caller holds mu.
func (f *serverFollower) up() {
	if f.down {
		f.down, f.returned = false, f.clock()
		f.log.Event(event.StoreUp, zap.String("table", f.source.ServerTable))
	}
}

// lapsed removes a server whose entry is missing, after an outage only when it had time to come back.
func (f *serverFollower) lapsed(id string) {
	if _, known := f.servers[id]; !known {
		return
	}
	if until := f.returned.Add(returnTime); !f.returned.IsZero() && f.clock().Before(until) {
		if _, waiting := f.missing[id]; !waiting {
			f.missing[id] = until
		}
		return
	}
	(*Directory)(f).remove(id)
}

// take notes a server's entry.
func (f *serverFollower) take(row port.Row) {
	delete(f.missing, row.Key)
	s, err := f.source.ParseServer(row.Key, row.Value)
	if err != nil {
		f.log.Event(event.ServerRefused, zap.Error(err))
		(*Directory)(f).remove(row.Key)
		return
	}
	old, known := f.servers[row.Key]
	if !known || old != s {
		f.log.Event(event.ServerSeen, zap.String("server", s.ID()), zap.String("group", s.Group()),
			zap.String("address", s.Address()), zap.Bool("draining", s.Draining()), zap.Bool("primary", s.Primary()))
	}
	f.servers[row.Key] = s
}
