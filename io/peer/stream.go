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
	// windowBytes is the flow-control window of a stream: how many bytes of answers the owner may send before the caller's
	// VM reports that it has delivered them to the caller.
	windowBytes = 256 << 10
	// minPartBytes is the size from which frames of an answer are sent at once. Smaller pieces are collected into one
	// message.
	minPartBytes = 32 << 10
	// maxPartBytes limits the frames in one Answer, so that a long answer does not delay the other streams.
	maxPartBytes = 64 << 10
	// maxUnitPartBytes limits the frames in one Unit or UnitPart.
	maxUnitPartBytes = 512 << 10
	// maxWholeBytes limits the frames of a whole unit, and a piece of an answer after its parts are reassembled.
	maxWholeBytes = 64 << 20
	// cancelGracePeriod is how long a unit still waits for the owner's answer after its deadline has passed and a Cancel
	// was sent.
	cancelGracePeriod = 500 * time.Millisecond
)

var (
	errCancelled    = errors.New("unit was cancelled before it was sent")
	errPieceTooLong = fmt.Errorf("piece of an answer exceeds the limit of %d bytes", maxWholeBytes)
)

// remoteStream is the calling side of a stream to a server that another VM owns. It implements work.Stream.
type remoteStream struct {
	mesh *Mesh
	vm   string

	mu           sync.Mutex
	conn         *conn
	id           uint64
	unitNumber   uint64
	endErr       error            // why the stream can no longer be used, nil while it can
	suspectErr   error            // set when the VM is suspected, so that reads can be run elsewhere
	lastMessage  *queuedMessage   // the Unit message of the running unit, nil until it is queued
	unitMessages []*queuedMessage // all messages of the running unit in order; the last is lastMessage
	parts        []Answer
	queuedBytes  int // size of the frames in parts
	nextSeq      uint64
	wake         chan struct{}

	deliveredBytes, reportedBytes uint64
	partialPiece                  []byte
}

// Stream returns a stream to a VM. It is opened with the first unit. It ends when its connection is lost; later units on it
// fail with an outcome of "not run".
func (m *Mesh) Stream(vm string) work.Stream {
	return &remoteStream{mesh: m, vm: vm, wake: make(chan struct{}, 1)}
}

// Run implements work.Stream.
func (s *remoteStream) Run(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	f := s.runUnit(ctx, u, sink)
	f.StreamLost = f.StreamLost || s.endError() != nil
	return f
}

func (s *remoteStream) runUnit(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	c, err := s.ensureOpen(ctx)
	if err != nil {
		return s.notRunFinal(err)
	}
	if d, ok := ctx.Deadline(); ok {
		if left := time.Until(d); u.Remaining == 0 || left < u.Remaining {
			u.Remaining = max(left, time.Millisecond)
		}
	}
	queued, err := s.queueUnit(ctx, c, u)
	if err != nil {
		s.end(err)
		return s.notRunFinal(err)
	}
	r := unitRun{stream: s, conn: c, lastMessage: queued, unit: u, sink: sink}
	return r.waitForFinal(ctx)
}

func (s *remoteStream) notRunFinal(err error) work.Final {
	code := result.PeerUnreachable
	if errors.Is(err, errCancelled) {
		code = result.Cancelled
	} else if c := result.CodeOf(err); c != result.Internal {
		code = c
	}
	return work.FinalFromError(result.Wrap(code, err, "unit was not sent to VM %s", s.vm))
}

// ensureOpen returns the stream's connection. For the first unit it gets a connection and registers the stream with it.
func (s *remoteStream) ensureOpen(ctx context.Context) (*conn, error) {
	s.mu.Lock()
	c, endErr := s.conn, s.endErr
	s.mu.Unlock()
	if endErr != nil || c != nil {
		return c, endErr
	}
	c, err := s.mesh.connectionTo(ctx, s.vm)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endErr != nil {
		return nil, s.endErr
	}
	s.conn, s.id = c, s.mesh.lastID.Add(1)
	c.streamsMu.Lock()
	c.remoteStreams[s.id] = s
	c.streamsMu.Unlock()
	return c, nil
}

// queueUnit queues the messages of a unit and returns the last one. After an error the owner does not run the unit.
func (s *remoteStream) queueUnit(ctx context.Context, c *conn, u work.Unit) (*queuedMessage, error) {
	if len(u.Frames) > maxWholeBytes {
		return nil, result.New(result.TooLarge, "unit of %d bytes exceeds the limit of %d bytes", len(u.Frames), maxWholeBytes)
	}
	s.mu.Lock()
	s.unitNumber++
	s.nextSeq, s.parts, s.queuedBytes, s.partialPiece = 0, nil, 0, nil
	s.lastMessage, s.unitMessages = nil, nil
	number := s.unitNumber
	s.mu.Unlock()
	for len(u.Frames) > maxUnitPartBytes {
		if _, err := s.queueMessage(ctx, c, UnitPart{s.id, u.Frames[:maxUnitPartBytes]}); err != nil {
			return nil, err
		}
		u.Frames = u.Frames[maxUnitPartBytes:]
	}
	queued, err := s.queueMessage(ctx, c, Unit{s.id, number, u})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.lastMessage = queued
	s.mu.Unlock()
	return queued, nil
}

func (s *remoteStream) queueMessage(ctx context.Context, c *conn, m Message) (*queuedMessage, error) {
	queued, err := c.queueData(ctx, m)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unitMessages = append(s.unitMessages, queued)
	return queued, nil
}

// unitRun waits for the answer to one unit and delivers it to the sink.
type unitRun struct {
	stream      *remoteStream
	conn        *conn
	lastMessage *queuedMessage
	unit        work.Unit
	sink        work.Sink
	delivered   bool
}

func (r *unitRun) waitForFinal(ctx context.Context) work.Final {
	expired := ctx.Done()
	var grace <-chan time.Time
	for {
		if f := r.deliverParts(); f != nil {
			return *f
		}
		select {
		case <-r.stream.wake:
			if r.lastMessage.status.Load() == statusWithdrawn {
				r.stream.end(errCancelled)
				return r.stream.notRunFinal(errCancelled)
			}
			if err := r.stream.endError(); err != nil {
				return r.failUnit(err)
			}
			if err := r.abandonError(); err != nil {
				if f := r.deliverParts(); f != nil {
					return *f
				}
				if !r.delivered {
					r.stream.end(err)
					return work.FinalFromError(result.Wrap(result.PeerUnreachable, err,
						"read was abandoned because VM %s is suspected", r.stream.vm))
				}
			}
		case <-r.conn.done:
			if f := r.deliverParts(); f != nil {
				return *f
			}
			return r.failUnit(r.conn.err)
		case <-expired:
			if r.lastMessage.withdraw() {
				r.stream.end(ctx.Err())
				return work.FinalFromError(result.Wrap(result.DeadlineTooClose, ctx.Err(),
					"unit was still queued for VM %s when its context ended", r.stream.vm))
			}
			expired = nil
			r.stream.Cancel()
			t := time.NewTimer(cancelGracePeriod)
			defer t.Stop()
			grace = t.C
		case <-grace:
			return r.failUnit(ctx.Err())
		}
	}
}

// abandonError returns an error if the VM is suspected and the unit need not wait for it. This holds for a read that is not
// bound to its stream by a transaction or a pinned session.
func (r *unitRun) abandonError() error {
	r.stream.mu.Lock()
	defer r.stream.mu.Unlock()
	if r.unit.Class != stmt.Read || r.unit.KeepConnection || r.stream.unitNumber > 1 {
		return nil
	}
	return r.stream.suspectErr
}

// abandonReads sets suspectErr on all streams to a suspected VM. It wakes their units, so that reads without a part of an
// answer end.
func (c *conn) abandonReads(err error) {
	c.streamsMu.Lock()
	defer c.streamsMu.Unlock()
	for _, s := range c.remoteStreams {
		s.mu.Lock()
		if s.suspectErr == nil {
			s.suspectErr = err
			s.wakeWaiter()
		}
		s.mu.Unlock()
	}
}

// failUnit ends the stream and returns the final of a unit whose answer is incomplete.
func (r *unitRun) failUnit(err error) work.Final {
	r.stream.end(err)
	if r.lastMessage.withdraw() {
		return r.stream.notRunFinal(err)
	}
	code := result.AnswerLost
	if r.unit.Class == stmt.Read && !r.delivered {
		code = result.PeerUnreachable
	}
	return work.FinalFromError(result.Wrap(code, err, "answer from VM %s was lost", r.stream.vm))
}

// deliverParts passes the received parts to the sink, and returns the final if it has arrived.
func (r *unitRun) deliverParts() *work.Final {
	for {
		a, ok := r.stream.nextPart()
		if !ok {
			return nil
		}
		frames := a.Frames
		if a.More || len(r.stream.partialPiece) > 0 {
			r.stream.partialPiece = append(r.stream.partialPiece, frames...)
			frames = nil
			if !a.More {
				frames, r.stream.partialPiece = r.stream.partialPiece, nil
			}
		}
		if len(r.stream.partialPiece) > maxWholeBytes {
			r.stream.Cancel()
			f := r.failUnit(errPieceTooLong)
			return &f
		}
		if len(frames) > 0 && r.sink != nil {
			r.delivered = true
			if err := r.sink(frames); err != nil {
				// The caller has disconnected. Receive and discard the rest of the answer, so that the stream's state stays
				// known.
				r.sink = nil
				r.stream.Cancel()
			}
		}
		r.stream.reportDelivered(len(a.Frames))
		if a.Final != nil {
			return a.Final
		}
	}
}

func (s *remoteStream) nextPart() (Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.parts) == 0 {
		return Answer{}, false
	}
	a := s.parts[0]
	s.parts = s.parts[1:]
	s.queuedBytes -= len(a.Frames)
	return a, true
}

// reportDelivered counts delivered bytes, and sends a Window after each half window so that the owner can send more.
func (s *remoteStream) reportDelivered(n int) {
	s.deliveredBytes += uint64(n)
	if s.deliveredBytes-s.reportedBytes >= windowBytes/2 {
		s.reportedBytes = s.deliveredBytes
		s.conn.sendControl(Window{s.id, s.deliveredBytes})
	}
}

// handleAnswer queues a part of an answer for its stream. It never blocks, since the window limits the queued bytes.
func (c *conn) handleAnswer(a Answer) error {
	c.streamsMu.Lock()
	s := c.remoteStreams[a.Stream]
	c.streamsMu.Unlock()
	if s == nil {
		c.mesh.stats.lateAnswers.Add(1)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Number != s.unitNumber {
		c.mesh.stats.lateAnswers.Add(1)
		return nil
	}
	if a.Seq != s.nextSeq {
		return fmt.Errorf("part %d of an answer arrived, expected part %d", a.Seq, s.nextSeq)
	}
	if s.queuedBytes += len(a.Frames); s.queuedBytes > windowBytes+maxPartBytes {
		return fmt.Errorf("answer exceeds the window of %d bytes", windowBytes)
	}
	s.nextSeq++
	s.parts = append(s.parts, a)
	s.wakeWaiter()
	return nil
}

func (s *remoteStream) wakeWaiter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *remoteStream) endError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endErr
}

// Cancel implements work.Stream.
func (s *remoteStream) Cancel() {
	s.mu.Lock()
	c, queued, m := s.conn, s.lastMessage, Cancel{s.id, s.unitNumber}
	s.mu.Unlock()
	if queued == nil {
		return
	}
	if queued.withdraw() {
		s.wakeWaiter()
		return
	}
	c.sendControl(m)
}

// Close implements work.Stream.
func (s *remoteStream) Close() { s.end(errors.New("stream is closed")) }

// end makes the stream unusable, withdraws its unsent messages and sends a Close to the owner.
func (s *remoteStream) end(err error) {
	s.mu.Lock()
	c, first := s.conn, s.endErr == nil
	if first {
		s.endErr = err
	}
	// A message of the unit that arrives after the Close would open the stream again. Withdraw the last message first,
	// since the owner runs the unit when that message arrives.
	for _, queued := range slices.Backward(s.unitMessages) {
		queued.withdraw()
	}
	s.wakeWaiter()
	s.mu.Unlock()
	if !first || c == nil {
		return
	}
	c.streamsMu.Lock()
	delete(c.remoteStreams, s.id)
	c.streamsMu.Unlock()
	if c.isOpen() {
		c.sendControl(Close{s.id})
	}
}
