package peer

import (
	"context"
	"fmt"
	"sync"

	"verbenagate/core/result"
	"verbenagate/core/work"
)

// maxInbound bounds the streams that one VM has open here.
const maxInbound = 1 << 16

// inbound is the owner's side of a stream: it runs the units that arrive and sends the answers.
type inbound struct {
	conn   *conn
	id     uint64
	ctx    context.Context
	cancel context.CancelFunc
	units  chan Unit
	frames []byte // parts of the next unit; used by the reader alone

	mu     sync.Mutex
	local  work.Stream
	number uint64 // unit under way, 0 if none
	// cancelled is the number of a unit that was cancelled before it began.
	cancelled uint64
	credit    chan struct{}
	limit     uint64 // bytes that may have been sent

	// used by the stream's goroutine alone
	sent uint64
	seq  uint64
	buf  []byte
}

func (c *conn) inboundOf(id uint64) *inbound {
	c.smu.Lock()
	defer c.smu.Unlock()
	return c.inbound[id]
}

// openInbound returns the stream with this id, and starts it if it is new.
func (c *conn) openInbound(id uint64) (*inbound, error) {
	c.smu.Lock()
	defer c.smu.Unlock()
	if in := c.inbound[id]; in != nil {
		return in, nil
	}
	if len(c.inbound) >= maxInbound {
		return nil, fmt.Errorf("VM has %d streams open", len(c.inbound))
	}
	in := &inbound{conn: c, id: id, units: make(chan Unit, 1), credit: make(chan struct{}, 1), limit: window}
	in.ctx, in.cancel = context.WithCancel(c.ctx)
	c.inbound[id] = in
	if !c.mesh.start(in.serve) {
		return nil, errClosed
	}
	return in, nil
}

func (c *conn) unitPart(p UnitPart) error {
	in, err := c.openInbound(p.Stream)
	if err != nil {
		return err
	}
	if len(in.frames)+len(p.Frames) > maxWhole {
		return fmt.Errorf("unit exceeds the limit of %d bytes", maxWhole)
	}
	in.frames = append(in.frames, p.Frames...)
	return nil
}

func (c *conn) unit(u Unit) error {
	in, err := c.openInbound(u.Stream)
	if err != nil {
		return err
	}
	if len(in.frames) > 0 {
		u.Work.Frames = append(in.frames, u.Work.Frames...)
		in.frames = nil
	}
	in.setNumber(u.Number)
	c.smu.Lock()
	defer c.smu.Unlock()
	if c.inbound[u.Stream] != in {
		return nil // the stream was closed meanwhile
	}
	c.mesh.inflight.arrived()
	select {
	case in.units <- u:
		return nil
	default:
		c.mesh.inflight.ended()
		return fmt.Errorf("unit %d of stream %d arrived before the one before it ended", u.Number, u.Stream)
	}
}

// serve runs the units until the stream is closed or its connection is lost.
func (in *inbound) serve() {
	defer func() {
		in.cancel()
		in.conn.smu.Lock()
		delete(in.conn.inbound, in.id)
		if len(in.units) > 0 {
			in.conn.mesh.inflight.ended() // of a unit that does not begin
		}
		in.conn.smu.Unlock()
		if in.local != nil {
			in.local.Close()
		}
	}()
	for {
		select {
		case <-in.ctx.Done():
			return
		case u := <-in.units:
			in.run(u)
			in.conn.mesh.inflight.ended()
		}
	}
}

func (in *inbound) run(u Unit) {
	in.seq, in.buf = 0, in.buf[:0]
	if in.local == nil {
		local, err := in.openLocal(u.Work)
		if err != nil {
			in.finish(u.Number, work.FinalFromError(err))
			return
		}
		in.mu.Lock()
		in.local = local
		in.mu.Unlock()
	}
	if in.wasCancelled(u.Number) {
		in.finish(u.Number, work.FinalFromError(result.New(result.Cancelled, "unit was cancelled before it began")))
		return
	}
	ctx, cancel := in.ctx, context.CancelFunc(func() {})
	if u.Work.Remaining > 0 {
		ctx, cancel = context.WithTimeout(in.ctx, u.Work.Remaining)
	}
	defer cancel()
	f := in.local.Run(ctx, u.Work, func(frames []byte) error { return in.pass(u.Number, frames) })
	in.setNumber(0)
	in.finish(u.Number, f)
}

func (in *inbound) openLocal(u work.Unit) (work.Stream, error) {
	if in.conn.mesh.cfg.OpenStream == nil {
		return nil, result.New(result.NotOwner, "VM %s owns no servers", in.conn.mesh.cfg.ID)
	}
	return in.conn.mesh.cfg.OpenStream(in.conn.vm, u)
}

func (in *inbound) setNumber(n uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.number = n
}

func (in *inbound) wasCancelled(number uint64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cancelled == number
}

// cancelUnit cancels the unit if it is under way.
func (in *inbound) cancelUnit(number uint64) {
	in.mu.Lock()
	local, running := in.local, in.number == number
	if running && local == nil {
		in.cancelled = number
	}
	in.mu.Unlock()
	if running && local != nil {
		// Not in the reader, because a cancellation may open a connection to the server.
		in.conn.mesh.start(local.Cancel)
	}
}

// pass takes frames of the answer. Small pieces are collected; the pieces that arrive at the caller's VM consist of whole
// pieces here.
func (in *inbound) pass(number uint64, frames []byte) error {
	if len(in.buf)+len(frames) > chunk {
		if err := in.flush(number); err != nil {
			return err
		}
	}
	if len(frames) < chunk {
		in.buf = append(in.buf, frames...)
		return nil
	}
	for len(frames) > maxPart {
		if err := in.send(Answer{Number: number, Frames: frames[:maxPart], More: true}); err != nil {
			return err
		}
		frames = frames[maxPart:]
	}
	return in.send(Answer{Number: number, Frames: frames})
}

func (in *inbound) flush(number uint64) error {
	if len(in.buf) == 0 {
		return nil
	}
	err := in.send(Answer{Number: number, Frames: in.buf})
	in.buf = in.buf[:0]
	return err
}

// finish sends the end of the answer. It fails only if the stream is closed.
func (in *inbound) finish(number uint64, f work.Final) {
	if err := in.send(Answer{Number: number, Frames: in.buf, Final: &f}); err != nil && in.ctx.Err() == nil {
		in.conn.mesh.refused(in.conn.vm, err)
		in.conn.close(err)
	}
}

// send waits until the window admits the part.
func (in *inbound) send(a Answer) error {
	for {
		in.mu.Lock()
		limit := in.limit
		in.mu.Unlock()
		if len(a.Frames) == 0 || in.sent+uint64(len(a.Frames)) <= limit {
			break
		}
		select {
		case <-in.credit:
		case <-in.ctx.Done():
			return in.ctx.Err()
		}
	}
	a.Stream, a.Seq = in.id, in.seq
	if _, err := in.conn.sendData(in.ctx, a); err != nil {
		return err
	}
	in.sent += uint64(len(a.Frames))
	in.seq++
	return nil
}

// passed takes the count of bytes that the caller's VM has passed on.
func (in *inbound) passed(n uint64) {
	in.mu.Lock()
	in.limit = max(in.limit, n+window)
	in.mu.Unlock()
	select {
	case in.credit <- struct{}{}:
	default:
	}
}
