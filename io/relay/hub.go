package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/io/watch"
)

const (
	// listWait is how long a call waits for the first rows of a table.
	listWait = 1500 * time.Millisecond
	// restTime is how long a table is followed after its last use.
	restTime = 10 * time.Second
	// recentAge is how old a list may be that Recent returns.
	recentAge = time.Second
	// mostTombstones bounds the deleted rows that are remembered in a table.
	mostTombstones = 1000
)

// hub follows tables of the store once for all VMs that ask for them.
type hub struct {
	ctx   context.Context
	store port.RowReader
	clock func() time.Time

	mu     sync.Mutex
	tables map[string]*table
	recent map[string]*recent
}

func newHub(ctx context.Context, store port.RowReader, clock func() time.Time) *hub {
	return &hub{ctx: ctx, store: store, clock: clock, tables: make(map[string]*table), recent: make(map[string]*recent)}
}

// recent is the last list of a table that is not followed.
type recent struct {
	mu   sync.Mutex
	at   time.Time
	list port.Snapshot
}

// Recent returns the rows of a table as of at most recentAge ago.
func (h *hub) Recent(ctx context.Context, name string) (port.Snapshot, error) {
	h.mu.Lock()
	r, ok := h.recent[name]
	if !ok {
		r = &recent{}
		h.recent[name] = r
	}
	h.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := h.clock(); r.at.IsZero() || now.Sub(r.at) > recentAge {
		s, err := h.store.List(ctx, name)
		if err != nil {
			return port.Snapshot{}, err
		}
		r.at, r.list = now, s
		r.list.Relayed = true
	}
	return r.list, nil
}

// List returns the rows of a table that is followed.
func (h *hub) List(ctx context.Context, name string) (port.Snapshot, error) {
	t := h.use(name)
	defer h.done(t)
	return t.wait(ctx, listWait, func() (port.Snapshot, bool, error) {
		var rows []port.Row
		for _, r := range t.rows {
			if !r.Deleted {
				rows = append(rows, r)
			}
		}
		slices.SortFunc(rows, func(a, b port.Row) int { return cmp.Compare(a.Key, b.Key) })
		return port.Snapshot{Rows: rows, Version: t.version, Relayed: true}, true, nil
	})
}

// Changes waits up to limit for rows of a table that were changed after a version, each in its newest state.
func (h *hub) Changes(ctx context.Context, name string, after uint64, limit time.Duration) (port.Snapshot, error) {
	t := h.use(name)
	defer h.done(t)
	return t.wait(ctx, limit, func() (port.Snapshot, bool, error) {
		if after < t.floor {
			return port.Snapshot{}, false, port.ErrHistoryGone
		}
		var rows []port.Row
		for _, r := range t.rows {
			if r.Version > after {
				rows = append(rows, r)
			}
		}
		slices.SortFunc(rows, func(a, b port.Row) int {
			return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
		})
		return port.Snapshot{Rows: rows, Version: max(after, t.version), Relayed: true}, len(rows) > 0, nil
	})
}

// use returns a table and starts to follow it if nobody has used it for a while.
func (h *hub) use(name string) *table {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.tables[name]
	if !ok {
		ctx, cancel := context.WithCancel(h.ctx)
		t = &table{name: name, cancel: cancel, rows: make(map[string]port.Row), changed: make(chan struct{})}
		h.tables[name] = t
		go watch.Follow(ctx, h.store, name, 0, h.clock, t)
	}
	t.users++
	if t.rest != nil {
		t.rest.Stop()
		t.rest = nil
	}
	return t
}

// done notes the end of a use.
func (h *hub) done(t *table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.users--
	if t.users > 0 {
		return
	}
	t.rest = time.AfterFunc(restTime, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if t.users == 0 && h.tables[t.name] == t {
			t.cancel()
			delete(h.tables, t.name)
		}
	})
}

// table is the newest state of a table. It implements watch.Follower.
type table struct {
	name   string
	cancel context.CancelFunc
	users  int         // under the hub's lock
	rest   *time.Timer // under the hub's lock

	mu      sync.Mutex
	rows    map[string]port.Row // deleted rows included
	deleted int
	floor   uint64 // changes up to this version are not known one by one
	version uint64
	listed  bool
	err     error // of the last call, if it failed
	changed chan struct{}
}

// Reset implements watch.Follower.
func (t *table) Reset(_ time.Time, s port.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.rows)
	t.floor, t.deleted, t.listed = s.Version, 0, true
	t.take(s)
}

// Change implements watch.Follower.
func (t *table) Change(_ time.Time, s port.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(s)
}

// Down implements watch.Follower.
func (t *table) Down(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.err = err
	t.notify()
}

// take notes rows of the store. The caller holds mu.
func (t *table) take(s port.Snapshot) {
	t.err = nil
	for _, r := range s.Rows {
		if r.Deleted {
			t.deleted++
		}
		t.rows[r.Key] = r
		t.version = max(t.version, r.Version)
	}
	t.version = max(t.version, s.Version)
	if t.deleted > mostTombstones {
		t.forget()
	}
	t.notify()
}

// forget drops the deleted rows, so that VMs which have not seen them list the table again. The caller holds mu.
func (t *table) forget() {
	for key, r := range t.rows {
		if r.Deleted {
			delete(t.rows, key)
		}
	}
	t.deleted, t.floor = 0, t.version
}

// notify wakes the calls that wait. The caller holds mu.
func (t *table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// wait calls answer, which holds mu, after each change until it has an answer or limit has passed.
func (t *table) wait(ctx context.Context, limit time.Duration, answer func() (port.Snapshot, bool, error),
) (port.Snapshot, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for late := false; ; {
		t.mu.Lock()
		switch {
		case t.err != nil:
			err := t.err
			t.mu.Unlock()
			return port.Snapshot{}, err
		case t.listed:
			s, enough, err := answer()
			if enough || err != nil || late {
				t.mu.Unlock()
				return s, err
			}
		case late:
			t.mu.Unlock()
			return port.Snapshot{}, result.New(result.StoreUnavailable, "table %s has not been read", t.name)
		}
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			late = true
		case <-ctx.Done():
			return port.Snapshot{}, ctx.Err()
		}
	}
}
