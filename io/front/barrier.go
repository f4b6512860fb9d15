package front

import (
	"context"
	"sync"
	"time"

	"verbenagate/core/work"
)

// Query asks for a barrier.
type Query struct {
	Service string
	// Primary is the address of the primary, and empty if it is not known.
	Primary string
	// Callers are the user names of sessions that have just been opened. Each may get a lower point that covers its own writes.
	Callers []string
}

// maxCallers bounds the callers of a query; the sessions of others get the point that covers all writes.
const maxCallers = 1000

// round is one barrier request that several sessions wait for.
type round struct {
	callers []string
	done    chan struct{}
	got     work.BarrierConfirmation
	err     error
}

// barriers shares barrier requests: sessions that ask while a request is under way wait together for the next one,
// because only a request that begins after they asked covers what was acknowledged before.
type barriers struct {
	ask func(ctx context.Context, callers []string) (work.BarrierConfirmation, error)

	mu      sync.Mutex
	running bool
	next    *round
	asked   int64
	shared  int64
}

func newBarriers(ask func(ctx context.Context, callers []string) (work.BarrierConfirmation, error)) *barriers {
	return &barriers{ask: ask}
}

// request returns the result of a barrier request that began after the call, with the point of a caller unless that is empty.
func (b *barriers) request(ctx context.Context, caller string, timeout time.Duration) (work.BarrierConfirmation, error) {
	b.mu.Lock()
	if b.next == nil {
		b.next = &round{done: make(chan struct{})}
	} else {
		b.shared++
	}
	r := b.next
	if caller != "" && len(r.callers) < maxCallers {
		r.callers = append(r.callers, caller)
	}
	if !b.running {
		b.running = true
		go b.run(timeout)
	}
	b.mu.Unlock()
	select {
	case <-r.done:
		return r.got, r.err
	case <-ctx.Done():
		return work.BarrierConfirmation{}, ctx.Err()
	}
}

// run carries out rounds until nobody waits for another one.
func (b *barriers) run(timeout time.Duration) {
	for {
		b.mu.Lock()
		r := b.next
		b.next = nil
		if r == nil {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.asked++
		b.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		r.got, r.err = b.ask(ctx, r.callers)
		cancel()
		close(r.done)
	}
}

// counts returns how many requests were made and how many callers shared one.
func (b *barriers) counts() (asked, shared int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.asked, b.shared
}
