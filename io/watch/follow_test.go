package watch

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenagate/core/eras"
	"verbenagate/core/port"
)

// changingTable is a table that has a new change at every call.
type changingTable struct {
	mu           sync.Mutex
	lists        int
	changesCalls int
	historyGone  bool // the next call of Changes returns port.ErrHistoryGone
}

func (f *changingTable) List(context.Context, string) (port.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	return port.Snapshot{Version: 1}, nil
}

func (f *changingTable) Changes(_ context.Context, _ string, after eras.Position, _ time.Duration) (port.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changesCalls++
	if f.historyGone {
		f.historyGone = false
		return port.Snapshot{}, port.ErrHistoryGone
	}
	return port.Snapshot{Rows: []port.Row{{Key: "k", Version: after + 1}}, Version: after + 1}, nil
}

func (*changingTable) Commit(context.Context, []port.Row, []port.Row, []port.Row) (port.Snapshot, error) {
	return port.Snapshot{}, nil
}

// countingFollower sends a value to a channel for each call of Reset and of Change.
type countingFollower struct{ resets, changes chan struct{} }

func (c countingFollower) Reset(time.Time, port.Snapshot)  { c.resets <- struct{}{} }
func (c countingFollower) Change(time.Time, port.Snapshot) { c.changes <- struct{}{} }
func (c countingFollower) CallFailed(error)                {}

// Guards against one call of the store for each of several changes in quick succession.
func TestChangesAreGathered(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f, c := &changingTable{}, countingFollower{make(chan struct{}, 9), make(chan struct{}, 9)}
	go Follow(ctx, f, "t", time.Hour, time.Now, c)
	<-c.resets
	<-c.changes
	select {
	case <-c.changes:
		t.Fatal("a second call followed without the batch delay")
	case <-time.After(20 * time.Millisecond):
	}
}

// Guards against changes that are missed when the store has dropped its history: the table must be listed again.
func TestListedAgainWithoutHistory(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f, c := &changingTable{historyGone: true}, countingFollower{make(chan struct{}, 9), make(chan struct{})}
	go Follow(ctx, f, "t", 0, time.Now, c)
	<-c.resets
	<-c.resets
	<-c.changes
}

// panickingFollower panics over the first change, as over a malformed row.
type panickingFollower struct {
	countingFollower
	failures chan error
	panicked bool
}

func (p *panickingFollower) Change(sent time.Time, s port.Snapshot) {
	if !p.panicked {
		p.panicked = true
		panic("malformed row")
	}
	p.countingFollower.Change(sent, s)
}

func (p *panickingFollower) CallFailed(err error) { p.failures <- err }

// Guards against a malformed row that ends the process. The table is listed again.
func TestPanicOfFollowerIsAFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := &panickingFollower{countingFollower: countingFollower{make(chan struct{}, 9), make(chan struct{}, 9)}, failures: make(chan error, 9)}
	var following sync.WaitGroup
	defer following.Wait()
	defer cancel()
	following.Go(func() { Follow(ctx, &changingTable{}, "t", time.Hour, time.Now, p) })
	<-p.resets
	<-p.failures
	<-p.resets
	<-p.changes
}

// tableWithMalformedRow always lists the same rows, one of which is malformed.
type tableWithMalformedRow struct{ changingTable }

func (*tableWithMalformedRow) List(context.Context, string) (port.Snapshot, error) {
	return port.Snapshot{Rows: []port.Row{{Key: "a"}, {Key: "malformed"}, {Key: "z"}}, Version: 1}, nil
}

// rowFollower panics over the malformed row, wherever it appears, and passes on the keys of the rows of each list.
type rowFollower struct {
	countingFollower
	lists    chan []string
	failures chan error
}

func (r *rowFollower) keys(s port.Snapshot) (keys []string) {
	for _, row := range s.Rows {
		if row.Key == "malformed" {
			panic("malformed row")
		}
		keys = append(keys, row.Key)
	}
	return keys
}

func (r *rowFollower) Reset(_ time.Time, s port.Snapshot)  { r.lists <- r.keys(s) }
func (r *rowFollower) Change(_ time.Time, s port.Snapshot) { r.keys(s); r.changes <- struct{}{} }
func (r *rowFollower) CallFailed(err error)                { r.failures <- err }

// Guards against one malformed row that keeps a VM from following the table: the other rows must be applied.
func TestMalformedRowIsLeftOut(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	r := &rowFollower{countingFollower{changes: make(chan struct{}, 9)}, make(chan []string, 9), make(chan error, 1000)}
	var following sync.WaitGroup
	defer following.Wait()
	defer cancel()
	following.Go(func() { Follow(ctx, &tableWithMalformedRow{}, "t", time.Hour, time.Now, r) })
	select {
	case keys := <-r.lists:
		if len(keys) != 2 || keys[0] != "a" || keys[1] != "z" {
			t.Errorf("the rows %v of the list were applied, want a and z", keys)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no list was applied")
	}
	for range 3 { // the rows a and z alone, and the change after the list
		<-r.changes
	}
	if err := <-r.failures; err == nil {
		t.Error("the panic was not reported")
	}
	if err := <-r.failures; !strings.Contains(err.Error(), "malformed") {
		t.Errorf("the row that was left out is not named: %v", err)
	}
}
