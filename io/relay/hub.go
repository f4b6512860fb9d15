package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"verbenagate/core/eras"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/io/watch"
)

const (
	// firstListTimeout is how long a call waits until a table has been listed for the first time.
	firstListTimeout = 1500 * time.Millisecond
	// idleFollowDuration is how long a table is still followed after the last call that used it.
	idleFollowDuration = 3 * time.Second
	// maxTombstones is the maximum number of deleted rows that are kept per table.
	maxTombstones = 1000
)

// Table says how an agent follows a table.
type Table struct {
	// BatchDelay is how long changes are collected before the next call of the store. 0 is for changes that VMs wait for.
	BatchDelay time.Duration
	// Meaning returns what the value of a row means to the VMs, which can be compared, or nil if it means nothing known. If it is set,
	// changes between values with the same meaning are not passed on.
	Meaning func(value []byte) any
	// UrgentKey is the key of a row whose changes must reach every VM within the bounds of core/notice, "" if the table has none.
	UrgentKey string
}

// hub follows each table of the store once, on behalf of all VMs that read it.
type hub struct {
	ctx    context.Context
	store  port.RowReader
	tables map[string]Table
	clock  func() time.Time

	following sync.WaitGroup

	mu       sync.Mutex
	followed map[string]*followedTable
}

func newHub(ctx context.Context, store port.RowReader, tables map[string]Table, clock func() time.Time) *hub {
	return &hub{
		ctx: ctx, store: store, tables: tables, clock: clock,
		followed: make(map[string]*followedTable),
	}
}

// List returns the rows of a table and follows the table.
func (h *hub) List(ctx context.Context, name string) (port.Snapshot, error) {
	t := h.acquire(name)
	defer h.release(t)
	return t.list(ctx)
}

// EncodedList returns the reply to a call for the rows of a table, and follows the table. When the agent of many VMs changes, all of
// them ask for the same rows, which are encoded once.
func (h *hub) EncodedList(ctx context.Context, name string) (cbor.RawMessage, error) {
	t := h.acquire(name)
	defer h.release(t)
	s, err := t.list(ctx)
	if err != nil {
		return cbor.Marshal(newReply(s, err))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.listing != nil && t.listing.Version == s.Version
	if current && t.encoded != nil {
		return t.encoded, nil
	}
	encoded, err := cbor.Marshal(newReply(s, nil))
	if current && err == nil {
		t.encoded = encoded
	}
	return encoded, err
}

// Changes waits up to limit for rows of a table that were changed after the version after, firstListTimeout at least, since the table
// may have to be listed first. It returns each row in its newest state, and port.ErrHistoryGone if the hub does not hold all changes
// since that version.
func (h *hub) Changes(ctx context.Context, name string, after eras.Position, limit time.Duration) (port.Snapshot, error) {
	t := h.acquire(name)
	defer h.release(t)
	return t.waitFor(ctx, max(limit, firstListTimeout), func() (port.Snapshot, bool, error) {
		if after < t.historyFloor {
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

// acquire returns a table for a call, and starts to follow it if it is not followed yet. The call ends with release.
func (h *hub) acquire(name string) *followedTable {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.followed[name]
	if !ok {
		ctx, cancel := context.WithCancel(h.ctx)
		options := h.tables[name]
		t = &followedTable{
			name: name, cancel: cancel, meaning: options.Meaning, rows: make(map[string]port.Row), meanings: make(map[string]any),
			changed: make(chan struct{}),
		}
		h.followed[name] = t
		h.following.Go(func() { watch.Follow(ctx, &tableReader{h.store, t}, name, options.BatchDelay, h.clock, t) })
	}
	t.activeCalls++
	if t.idleTimer != nil {
		t.idleTimer.Stop()
		t.idleTimer = nil
	}
	return t
}

// release ends a call's use of a table. A table without calls is followed for idleFollowDuration longer.
func (h *hub) release(t *followedTable) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.activeCalls--
	if t.activeCalls > 0 {
		return
	}
	t.idleTimer = time.AfterFunc(idleFollowDuration, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if t.activeCalls == 0 && h.followed[t.name] == t {
			t.cancel()
			delete(h.followed, t.name)
		}
	})
}

// urgentRows returns the rows that the urgent keys of the followed tables name, as far as they are known.
func (h *hub) urgentRows() []port.Row {
	var rows []port.Row
	for name, options := range h.tables {
		t := h.followedTable(name)
		if options.UrgentKey == "" || t == nil {
			continue
		}
		if r, ok := t.row(options.UrgentKey); ok {
			rows = append(rows, port.Row{Table: name, Key: r.Key, Version: r.Version})
		}
	}
	return rows
}

// recheckUrgent asks the store again for the changes of the tables with an urgent row.
func (h *hub) recheckUrgent() {
	for name, options := range h.tables {
		if t := h.followedTable(name); options.UrgentKey != "" && t != nil {
			t.recheck()
		}
	}
}

// followedTable returns a table if it is followed, else nil.
func (h *hub) followedTable(name string) *followedTable {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.followed[name]
}

// tableReader reads a followed table from the store. A call for changes that is ended by recheck is made again.
type tableReader struct {
	port.RowReader
	t *followedTable
}

// Changes implements port.RowReader.
func (r *tableReader) Changes(ctx context.Context, table string, after eras.Position, wait time.Duration) (port.Snapshot, error) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.t.setRecheck(cancel)
	s, err := r.RowReader.Changes(waitCtx, table, after, wait)
	r.t.setRecheck(nil)
	if err != nil && waitCtx.Err() != nil && ctx.Err() == nil {
		return r.RowReader.Changes(ctx, table, after, 0)
	}
	return s, err
}

// followedTable holds the newest state of a table that the hub follows. It implements watch.Follower.
type followedTable struct {
	name        string
	cancel      context.CancelFunc
	meaning     func(value []byte) any // may be nil
	activeCalls int                    // guarded by hub.mu
	idleTimer   *time.Timer            // guarded by hub.mu

	mu           sync.Mutex
	rows         map[string]port.Row // deleted rows included; each as of its last change that is passed on
	meanings     map[string]any      // of rows, if meaning is set
	listing      *port.Snapshot      // all rows that are not deleted, nil if not determined since the last change of rows
	encoded      cbor.RawMessage     // the reply with listing, nil if not encoded yet
	tombstones   int
	historyFloor eras.Position // changes up to this version are not held individually
	version      eras.Position
	listed       bool
	lastErr      error // of the last call of the store, nil if it succeeded
	changed      chan struct{}
	endWait      func() // ends the call of the store that waits for changes, nil if there is none
}

// row returns the row with this key as of the last change, and false if it is not known or the last call of the store failed.
func (t *followedTable) row(key string) (port.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[key]
	return r, ok && t.listed && t.lastErr == nil && !r.Deleted
}

// recheck ends the call of the store that waits for changes, so that it is made again on another connection.
func (t *followedTable) recheck() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.endWait != nil {
		t.endWait()
	}
}

// setRecheck sets what recheck does.
func (t *followedTable) setRecheck(endWait func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endWait = endWait
}

// list returns the rows of the table once it has been listed.
func (t *followedTable) list(ctx context.Context) (port.Snapshot, error) {
	return t.waitFor(ctx, firstListTimeout, func() (port.Snapshot, bool, error) {
		if t.listing == nil {
			var rows []port.Row
			for _, r := range t.rows {
				if !r.Deleted {
					rows = append(rows, r)
				}
			}
			slices.SortFunc(rows, func(a, b port.Row) int { return cmp.Compare(a.Key, b.Key) })
			t.listing = &port.Snapshot{Rows: slices.Clip(rows), Version: t.version, Relayed: true}
		}
		return *t.listing, true, nil
	})
}

// Reset implements watch.Follower. A list of a new era of the store is a copy some seconds old, and VMs may hold entries of it back, so the
// next change of each row is passed on even if it means the same.
func (t *followedTable) Reset(_ time.Time, s port.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Version.Era() > t.version.Era() {
		defer clear(t.meanings)
	}
	t.listing, t.encoded = nil, nil
	clear(t.rows)
	clear(t.meanings)
	t.historyFloor, t.tombstones, t.listed = s.Version, 0, false
	t.applyRows(s)
}

// Change implements watch.Follower.
func (t *followedTable) Change(_ time.Time, s port.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyRows(s)
}

// CallFailed implements watch.Follower.
func (t *followedTable) CallFailed(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastErr = err
	t.wakeWaiters()
}

// applyRows stores rows that were received from the store. The caller holds mu.
func (t *followedTable) applyRows(s port.Snapshot) {
	changed := t.lastErr != nil || !t.listed
	t.lastErr, t.listed = nil, true
	for _, r := range s.Rows {
		t.version = max(t.version, r.Version)
		if t.meansTheSame(r) {
			continue
		}
		if r.Deleted {
			t.tombstones++
		}
		t.rows[r.Key] = r
		t.listing, t.encoded = nil, nil
		changed = true
	}
	t.version = max(t.version, s.Version)
	if t.tombstones > maxTombstones {
		t.dropTombstones()
	}
	if changed {
		t.wakeWaiters()
	}
}

// meansTheSame reports whether a row means the same as its last state, and records its meaning. The caller holds mu.
func (t *followedTable) meansTheSame(r port.Row) bool {
	if t.meaning == nil {
		return false
	}
	old := t.meanings[r.Key]
	if r.Deleted {
		delete(t.meanings, r.Key)
		return false
	}
	now := t.meaning(r.Value)
	t.meanings[r.Key] = now
	return now != nil && now == old
}

// dropTombstones drops the deleted rows. VMs that have not received them must list the table again. The caller holds mu.
func (t *followedTable) dropTombstones() {
	for key, r := range t.rows {
		if r.Deleted {
			delete(t.rows, key)
		}
	}
	t.tombstones, t.historyFloor = 0, t.version
	t.listing, t.encoded = nil, nil
}

// wakeWaiters wakes the calls in waitFor. The caller holds mu.
func (t *followedTable) wakeWaiters() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// waitFor calls answer with mu held, at once and after each change, until answer reports a complete result or an error, or limit
// has passed. It then returns the last result. If the last call of the store failed, it returns that error at once.
func (t *followedTable) waitFor(ctx context.Context, limit time.Duration, answer func() (port.Snapshot, bool, error),
) (port.Snapshot, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for timedOut := false; ; {
		t.mu.Lock()
		switch {
		case t.lastErr != nil:
			err := t.lastErr
			t.mu.Unlock()
			return port.Snapshot{}, err
		case t.listed:
			s, complete, err := answer()
			if complete || err != nil || timedOut {
				t.mu.Unlock()
				return s, err
			}
		case timedOut:
			t.mu.Unlock()
			return port.Snapshot{}, result.New(result.StoreUnavailable, "table %s was not read from the store in time", t.name)
		}
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return port.Snapshot{}, ctx.Err()
		}
	}
}
