package peer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/work"
)

const (
	// window is how many bytes of an answer may be on their way to the caller's VM without having been passed on.
	window = 256 << 10
	// chunk is the size at which parts of an answer are sent; smaller parts are collected.
	chunk = 32 << 10
	// maxPart bounds the frames in one message, so that a long answer does not delay the other streams.
	maxPart = 64 << 10
	// maxUnitPart bounds the frames of a unit in one message.
	maxUnitPart = 512 << 10
	// maxWhole bounds a unit, and a piece of an answer that the owner passed on as a whole.
	maxWhole = 64 << 20
	// cancelGrace is how long a unit whose deadline has passed waits for the owner's answer to the cancellation.
	cancelGrace = 500 * time.Millisecond
)

var (
	errCancelled = errors.New("unit was cancelled before it left")
	errTooLong   = fmt.Errorf("piece of an answer exceeds the limit of %d bytes", maxWhole)
)

// remote is a stream to a server that another VM owns.
type remote struct {
	mesh *Mesh
	vm   string

	mu     sync.Mutex
	conn   *conn
	id     uint64
	number uint64
	ended  error   // the stream cannot be used any more
	quiet  error   // the VM is suspected, so that a read is better run elsewhere
	item   *item   // the unit under way
	items  []*item // the messages of the unit under way, which end with item
	parts  []Answer
	queued int // bytes of frames in parts
	seq    uint64
	wake   chan struct{}

	passed, told uint64
	partial      []byte
}

// Stream returns a stream to the VM. It opens with the first unit. When its connection is lost the stream has ended,
// and its later units are answered "not run".
func (m *Mesh) Stream(vm string) work.Stream {
	return &remote{mesh: m, vm: vm, wake: make(chan struct{}, 1)}
}

// Run implements work.Stream.
func (s *remote) Run(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	f := s.run(ctx, u, sink)
	f.StreamLost = f.StreamLost || s.closed() != nil
	return f
}

func (s *remote) run(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	c, err := s.open(ctx)
	if err != nil {
		return s.notRun(err)
	}
	if d, ok := ctx.Deadline(); ok {
		if left := time.Until(d); u.Remaining == 0 || left < u.Remaining {
			u.Remaining = max(left, time.Millisecond)
		}
	}
	i, err := s.submit(ctx, c, u)
	if err != nil {
		s.end(err)
		return s.notRun(err)
	}
	r := run{s: s, c: c, item: i, unit: u, sink: sink}
	return r.wait(ctx)
}

func (s *remote) notRun(err error) work.Final {
	code := result.PeerUnreachable
	if errors.Is(err, errCancelled) {
		code = result.Cancelled
	} else if c := result.CodeOf(err); c != result.Internal {
		code = c
	}
	return work.FinalFromError(result.Wrap(code, err, "unit was not sent to VM %s", s.vm))
}

// open returns the stream's connection, and chooses it for the first unit.
func (s *remote) open(ctx context.Context) (*conn, error) {
	s.mu.Lock()
	c, ended := s.conn, s.ended
	s.mu.Unlock()
	if ended != nil || c != nil {
		return c, ended
	}
	c, err := s.mesh.connection(ctx, s.vm)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		return nil, s.ended
	}
	s.conn, s.id = c, s.mesh.ids.Add(1)
	c.smu.Lock()
	c.streams[s.id] = s
	c.smu.Unlock()
	return c, nil
}

// submit queues the messages of a unit. After an error the owner does not run it.
func (s *remote) submit(ctx context.Context, c *conn, u work.Unit) (*item, error) {
	if len(u.Frames) > maxWhole {
		return nil, result.New(result.TooLarge, "unit of %d bytes exceeds the limit of %d", len(u.Frames), maxWhole)
	}
	s.mu.Lock()
	s.number++
	s.seq, s.parts, s.queued, s.partial = 0, nil, 0, nil
	s.item, s.items = nil, nil
	number := s.number
	s.mu.Unlock()
	for len(u.Frames) > maxUnitPart {
		if _, err := s.queue(ctx, c, UnitPart{s.id, u.Frames[:maxUnitPart]}); err != nil {
			return nil, err
		}
		u.Frames = u.Frames[maxUnitPart:]
	}
	i, err := s.queue(ctx, c, Unit{s.id, number, u})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.item = i
	s.mu.Unlock()
	return i, nil
}

func (s *remote) queue(ctx context.Context, c *conn, m Message) (*item, error) {
	i, err := c.sendData(ctx, m)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, i)
	return i, nil
}

// run is the wait for the answer to one unit.
type run struct {
	s         *remote
	c         *conn
	item      *item
	unit      work.Unit
	sink      work.Sink
	delivered bool
}

func (r *run) wait(ctx context.Context) work.Final {
	expired := ctx.Done()
	var grace <-chan time.Time
	for {
		if f := r.drain(); f != nil {
			return *f
		}
		select {
		case <-r.s.wake:
			if r.item.state.Load() == itemWithdrawn {
				r.s.end(errCancelled)
				return r.s.notRun(errCancelled)
			}
			if err := r.s.closed(); err != nil {
				return r.lost(err)
			}
			if err := r.leaves(); err != nil {
				if f := r.drain(); f != nil {
					return *f
				}
				if !r.delivered {
					r.s.end(err)
					return work.FinalFromError(result.Wrap(result.PeerUnreachable, err, "read left VM %s, which is suspected", r.s.vm))
				}
			}
		case <-r.c.done:
			if f := r.drain(); f != nil {
				return *f
			}
			return r.lost(r.c.err)
		case <-expired:
			if r.item.withdraw() {
				r.s.end(ctx.Err())
				return work.FinalFromError(result.Wrap(result.DeadlineTooClose, ctx.Err(), "unit waited to be sent to VM %s", r.s.vm))
			}
			expired = nil
			r.s.Cancel()
			t := time.NewTimer(cancelGrace)
			defer t.Stop()
			grace = t.C
		case <-grace:
			return r.lost(ctx.Err())
		}
	}
}

// leaves returns an error if the unit need not wait for a VM that is suspected: a read that no transaction and no pinned
// session binds to its stream.
func (r *run) leaves() error {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	if r.unit.Class != stmt.Read || r.unit.KeepConnection || r.s.number > 1 {
		return nil
	}
	return r.s.quiet
}

// leave ends the reads that a suspected VM has not begun to answer.
func (c *conn) leave(err error) {
	c.smu.Lock()
	defer c.smu.Unlock()
	for _, s := range c.streams {
		s.mu.Lock()
		if s.quiet == nil {
			s.quiet = err
			s.signal()
		}
		s.mu.Unlock()
	}
}

// lost ends a unit without an answer.
func (r *run) lost(err error) work.Final {
	r.s.end(err)
	if r.item.withdraw() {
		return r.s.notRun(err)
	}
	code := result.AnswerLost
	if r.unit.Class == stmt.Read && !r.delivered {
		code = result.PeerUnreachable
	}
	return work.FinalFromError(result.Wrap(code, err, "answer of VM %s was lost", r.s.vm))
}

// drain passes on the parts that have arrived, and returns the end of the answer if it is among them.
func (r *run) drain() *work.Final {
	for {
		a, ok := r.s.take()
		if !ok {
			return nil
		}
		frames := a.Frames
		if a.More || len(r.s.partial) > 0 {
			r.s.partial = append(r.s.partial, frames...)
			frames = nil
			if !a.More {
				frames, r.s.partial = r.s.partial, nil
			}
		}
		if len(r.s.partial) > maxWhole {
			r.s.Cancel()
			f := r.lost(errTooLong)
			return &f
		}
		if len(frames) > 0 && r.sink != nil {
			r.delivered = true
			if err := r.sink(frames); err != nil {
				// The caller is gone. The rest is discarded, so that the stream ends in a known state.
				r.sink = nil
				r.s.Cancel()
			}
		}
		r.s.credit(len(a.Frames))
		if a.Final != nil {
			return a.Final
		}
	}
}

func (s *remote) take() (Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.parts) == 0 {
		return Answer{}, false
	}
	a := s.parts[0]
	s.parts = s.parts[1:]
	s.queued -= len(a.Frames)
	return a, true
}

// credit lets the owner send more.
func (s *remote) credit(n int) {
	s.passed += uint64(n)
	if s.passed-s.told >= window/2 {
		s.told = s.passed
		s.conn.send(Window{s.id, s.passed})
	}
}

// answer takes a part of an answer. It never waits: the window bounds what is queued.
func (c *conn) answer(a Answer) error {
	c.smu.Lock()
	s := c.streams[a.Stream]
	c.smu.Unlock()
	if s == nil {
		c.mesh.stats.late.Add(1)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Number != s.number {
		c.mesh.stats.late.Add(1)
		return nil
	}
	if a.Seq != s.seq {
		return fmt.Errorf("part %d of an answer follows part %d", a.Seq, s.seq)
	}
	if s.queued += len(a.Frames); s.queued > window+maxPart {
		return fmt.Errorf("answer exceeds its window of %d bytes", window)
	}
	s.seq++
	s.parts = append(s.parts, a)
	s.signal()
	return nil
}

func (s *remote) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *remote) closed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// Cancel implements work.Stream.
func (s *remote) Cancel() {
	s.mu.Lock()
	c, i, m := s.conn, s.item, Cancel{s.id, s.number}
	s.mu.Unlock()
	if i == nil {
		return
	}
	if i.withdraw() {
		s.signal()
		return
	}
	c.send(m)
}

// Close implements work.Stream.
func (s *remote) Close() { s.end(errors.New("stream is closed")) }

// end makes the stream unusable and tells the owner.
func (s *remote) end(err error) {
	s.mu.Lock()
	c, first := s.conn, s.ended == nil
	if first {
		s.ended = err
	}
	// Parts of a unit that arrived after the Close would open the stream anew. The last message goes first, since the
	// owner runs a unit when that one arrives.
	for _, i := range slices.Backward(s.items) {
		i.withdraw()
	}
	s.signal()
	s.mu.Unlock()
	if !first || c == nil {
		return
	}
	c.smu.Lock()
	delete(c.streams, s.id)
	c.smu.Unlock()
	if c.alive() {
		c.send(Close{s.id})
	}
}
