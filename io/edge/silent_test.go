package edge_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"verbenagate/core/eras"
	"verbenagate/core/port"
	"verbenagate/platform"
)

// silentFeeds is a store on whose connections the calls for changes of the configuration that are open at a call of silence get no answer.
type silentFeeds struct {
	port.RowStore

	mu     sync.Mutex
	silent chan struct{} // closed when the open calls go silent
	open   int           // calls that wait
}

func (f *silentFeeds) Changes(ctx context.Context, table string, after eras.Position, wait time.Duration) (port.Snapshot, error) {
	if table != platform.ConfigTable || wait == 0 {
		return f.RowStore.Changes(ctx, table, after, wait)
	}
	f.mu.Lock()
	silent := f.silent
	f.open++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.open--
	}()
	s, err := f.RowStore.Changes(ctx, table, after, wait)
	select {
	case <-silent:
		<-ctx.Done()
		return port.Snapshot{}, ctx.Err()
	default:
		return s, err
	}
}

// silence makes the open calls go silent. It reports whether there are any.
func (f *silentFeeds) silence() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == 0 {
		return false
	}
	close(f.silent)
	f.silent = make(chan struct{})
	return true
}

// Guards against a VM, and against one behind it, that keeps an old configuration since the connection on which the agent waits for changes
// has gone silent, although the agent's other calls are answered.
func TestSilentCallForConfiguration(t *testing.T) {
	s := newDeployment(t)
	defer s.close()
	feeds := make(map[string]*silentFeeds)
	for _, name := range []string{"a", "b"} {
		store := platform.NewStore(s.store.Addr(), s.store.Addr())
		feeds[name] = &silentFeeds{RowStore: store, silent: make(chan struct{})}
		s.launchVMWith(name, s.adapters(name, feeds[name], store))
	}
	for name, vm := range s.vms {
		s.waitFor("agents known at VM "+name, func() bool { return vm.Ready() && len(vm.State().Agents.Agents) == len(s.vms) })
	}
	for range 3 {
		s.waitFor("a call for changes of the configuration", func() bool {
			a, b := feeds["a"].silence(), feeds["b"].silence()
			return a || b
		})
		s.configure()
	}
}
