package watch

import (
	"context"
	"sync"
	"testing"
	"time"

	"verbenagate/core/port"
)

// feed is a table that changes without end.
type feed struct {
	mu    sync.Mutex
	lists int
	calls int
	gone  bool // the next call for changes finds no history
}

func (f *feed) List(context.Context, string) (port.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	return port.Snapshot{Version: 1}, nil
}

func (f *feed) Changes(_ context.Context, _ string, after uint64, _ time.Duration) (port.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.gone {
		f.gone = false
		return port.Snapshot{}, port.ErrHistoryGone
	}
	return port.Snapshot{Rows: []port.Row{{Key: "k", Version: after + 1}}, Version: after + 1}, nil
}

func (*feed) Commit(context.Context, []port.Row, []port.Row, []port.Row) (port.Snapshot, error) {
	return port.Snapshot{}, nil
}

// counter counts what a follower is told.
type counter struct{ resets, changes chan struct{} }

func (c counter) Reset(time.Time, port.Snapshot)  { c.resets <- struct{}{} }
func (c counter) Change(time.Time, port.Snapshot) { c.changes <- struct{}{} }
func (c counter) Down(error)                      {}

// Guards against a call of the store for each of many changes that come together.
func TestChangesAreGathered(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f, c := &feed{}, counter{make(chan struct{}, 9), make(chan struct{}, 9)}
	go Follow(ctx, f, "t", time.Hour, time.Now, c)
	<-c.resets
	<-c.changes
	select {
	case <-c.changes:
		t.Fatal("a second call followed at once")
	case <-time.After(20 * time.Millisecond):
	}
}

// Guards against changes that are missed after the store has dropped its history.
func TestListedAgainWithoutHistory(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f, c := &feed{gone: true}, counter{make(chan struct{}, 9), make(chan struct{})}
	go Follow(ctx, f, "t", 0, time.Now, c)
	<-c.resets
	<-c.resets
	<-c.changes
}
