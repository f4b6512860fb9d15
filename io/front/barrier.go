package front

import (
	"context"
	"sync"
	"time"

	"verbenagate/core/work"
)

// BarrierQuery is a request for a barrier, which confirms the log position that later reads have to see.
type BarrierQuery struct {
	Service string
	// Primary is the address of the primary, empty if it is not known.
	Primary string
	// Callers are the user names of sessions that have just been opened. The answer may give a user name a lower required
	// point, which covers only that caller's own writes.
	Callers []string
}

// maxCallersPerBarrier is the maximum number of callers in a BarrierQuery. The sessions of further callers get the
// point that covers all writes.
const maxCallersPerBarrier = 1000

// sharedBarrier is one barrier request and its result, for which several sessions wait. The result is set before done is
// closed.
type sharedBarrier struct {
	callers      []string
	done         chan struct{}
	confirmation work.BarrierConfirmation
	err          error
}

// barrierCoalescer merges the barrier requests of sessions. Sessions that call while a request is in flight share the next
// request: only a request that starts after the call covers all writes acknowledged before the call.
type barrierCoalescer struct {
	requestBarrier func(ctx context.Context, callers []string) (work.BarrierConfirmation, error)

	mu           sync.Mutex
	running      bool
	next         *sharedBarrier
	requestCount int64
	sharedCount  int64
}

func newBarrierCoalescer(
	requestBarrier func(ctx context.Context, callers []string) (work.BarrierConfirmation, error),
) *barrierCoalescer {
	return &barrierCoalescer{requestBarrier: requestBarrier}
}

// request waits for the result of a barrier request that starts after the call. Unless caller is empty, the request asks for
// that caller's own required point, too.
func (b *barrierCoalescer) request(ctx context.Context, caller string, timeout time.Duration) (work.BarrierConfirmation, error) {
	b.mu.Lock()
	if b.next == nil {
		b.next = &sharedBarrier{done: make(chan struct{})}
	} else {
		b.sharedCount++
	}
	r := b.next
	if caller != "" && len(r.callers) < maxCallersPerBarrier {
		r.callers = append(r.callers, caller)
	}
	if !b.running {
		b.running = true
		go b.run(timeout)
	}
	b.mu.Unlock()
	select {
	case <-r.done:
		return r.confirmation, r.err
	case <-ctx.Done():
		return work.BarrierConfirmation{}, ctx.Err()
	}
}

// run sends barrier requests one after the other until no session waits for a further one.
func (b *barrierCoalescer) run(timeout time.Duration) {
	for {
		b.mu.Lock()
		r := b.next
		b.next = nil
		if r == nil {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.requestCount++
		b.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		r.confirmation, r.err = b.requestBarrier(ctx, r.callers)
		cancel()
		close(r.done)
	}
}

// counts returns the number of requests sent, and the number of calls that joined a request of an earlier call.
func (b *barrierCoalescer) counts() (requests, shared int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requestCount, b.sharedCount
}
