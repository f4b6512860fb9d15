package peer

import (
	"context"
	"fmt"
	"sync"

	"verbenagate/core/result"
	"verbenagate/core/work"
)

// maxInboundStreams limits the streams that another VM may have open on one connection.
const maxInboundStreams = 1 << 16

// inboundStream is the owner's side of a stream. It runs the received units on a local stream and sends the answers.
type inboundStream struct {
	conn       *conn
	id         uint64
	ctx        context.Context
	cancel     context.CancelFunc
	units      chan Unit
	unitFrames []byte // frames of the next unit from its UnitParts; used by the connection's reader alone

	mu          sync.Mutex
	localStream work.Stream
	runningUnit uint64 // number of the unit that is queued or runs, 0 if none
	// cancelledUnit is the number of a unit that was cancelled before the local stream was open.
	cancelledUnit uint64
	limitRaised   chan struct{} // wakes sendPart
	sendLimit     uint64        // total bytes that may be sent

	// The fields below are used by the stream's goroutine alone.
	sentBytes uint64
	nextSeq   uint64
	collected []byte
}

func (c *conn) findInbound(id uint64) *inboundStream {
	c.streamsMu.Lock()
	defer c.streamsMu.Unlock()
	return c.inboundStreams[id]
}

// openInbound returns the stream with this id. If there is none, it opens the stream and starts its goroutine.
func (c *conn) openInbound(id uint64) (*inboundStream, error) {
	c.streamsMu.Lock()
	defer c.streamsMu.Unlock()
	if in := c.inboundStreams[id]; in != nil {
		return in, nil
	}
	if len(c.inboundStreams) >= maxInboundStreams {
		return nil, fmt.Errorf("peer VM already has %d streams open", len(c.inboundStreams))
	}
	in := &inboundStream{conn: c, id: id, units: make(chan Unit, 1), limitRaised: make(chan struct{}, 1), sendLimit: windowBytes}
	in.ctx, in.cancel = context.WithCancel(c.ctx)
	c.inboundStreams[id] = in
	if !c.mesh.startGoroutine(in.runUnits) {
		return nil, errMeshClosed
	}
	return in, nil
}

func (c *conn) handleUnitPart(p UnitPart) error {
	in, err := c.openInbound(p.Stream)
	if err != nil {
		return err
	}
	if len(in.unitFrames)+len(p.Frames) > maxWholeBytes {
		return fmt.Errorf("unit exceeds the limit of %d bytes", maxWholeBytes)
	}
	in.unitFrames = append(in.unitFrames, p.Frames...)
	return nil
}

func (c *conn) handleUnit(u Unit) error {
	in, err := c.openInbound(u.Stream)
	if err != nil {
		return err
	}
	if len(in.unitFrames) > 0 {
		u.Work.Frames = append(in.unitFrames, u.Work.Frames...)
		in.unitFrames = nil
	}
	in.setRunningUnit(u.Number)
	c.streamsMu.Lock()
	defer c.streamsMu.Unlock()
	if c.inboundStreams[u.Stream] != in {
		return nil // the stream was closed meanwhile
	}
	c.mesh.inboundUnits.unitArrived()
	select {
	case in.units <- u:
		return nil
	default:
		c.mesh.inboundUnits.unitEnded()
		return fmt.Errorf("unit %d of stream %d arrived before the previous unit ended", u.Number, u.Stream)
	}
}

// runUnits runs the stream's units until the stream is closed or its connection is lost.
func (in *inboundStream) runUnits() {
	defer func() {
		in.cancel()
		in.conn.streamsMu.Lock()
		delete(in.conn.inboundStreams, in.id)
		if len(in.units) > 0 {
			in.conn.mesh.inboundUnits.unitEnded() // for a unit that was queued and will not run
		}
		in.conn.streamsMu.Unlock()
		if in.localStream != nil {
			in.localStream.Close()
		}
	}()
	for {
		select {
		case <-in.ctx.Done():
			return
		case u := <-in.units:
			in.runUnit(u)
			in.conn.mesh.inboundUnits.unitEnded()
		}
	}
}

func (in *inboundStream) runUnit(u Unit) {
	in.nextSeq, in.collected = 0, in.collected[:0]
	if in.localStream == nil {
		local, err := in.openLocal(u.Work)
		if err != nil {
			in.sendFinal(u.Number, work.FinalFromError(err))
			return
		}
		in.mu.Lock()
		in.localStream = local
		in.mu.Unlock()
	}
	if in.wasCancelled(u.Number) {
		in.sendFinal(u.Number, work.FinalFromError(result.New(result.Cancelled, "unit was cancelled before it started")))
		return
	}
	ctx, cancel := in.ctx, context.CancelFunc(func() {})
	if u.Work.Remaining > 0 {
		ctx, cancel = context.WithTimeout(in.ctx, u.Work.Remaining)
	}
	defer cancel()
	f := in.localStream.Run(ctx, u.Work, func(frames []byte) error { return in.sendFrames(u.Number, frames) })
	in.setRunningUnit(0)
	in.sendFinal(u.Number, f)
}

func (in *inboundStream) openLocal(u work.Unit) (work.Stream, error) {
	if in.conn.mesh.cfg.OpenStream == nil {
		return nil, result.New(result.NotOwner, "VM %s owns no servers", in.conn.mesh.cfg.ID)
	}
	return in.conn.mesh.cfg.OpenStream(in.conn.vm, u)
}

func (in *inboundStream) setRunningUnit(n uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.runningUnit = n
}

func (in *inboundStream) wasCancelled(number uint64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cancelledUnit == number
}

// cancelUnit cancels the unit if it is queued or running.
func (in *inboundStream) cancelUnit(number uint64) {
	in.mu.Lock()
	local, running := in.localStream, in.runningUnit == number
	if running && local == nil {
		in.cancelledUnit = number
	}
	in.mu.Unlock()
	if running && local != nil {
		// Cancel from another goroutine, since Cancel may open a connection to the server and must not block the reader.
		in.conn.mesh.startGoroutine(local.Cancel)
	}
}

// sendFrames sends a piece of the answer, or collects it if it is small. A piece is never delivered in fragments at the
// caller's VM: what arrives there is always one or several whole pieces.
func (in *inboundStream) sendFrames(number uint64, frames []byte) error {
	if len(in.collected)+len(frames) > minPartBytes {
		if err := in.flushCollected(number); err != nil {
			return err
		}
	}
	if len(frames) < minPartBytes {
		in.collected = append(in.collected, frames...)
		return nil
	}
	for len(frames) > maxPartBytes {
		if err := in.sendPart(Answer{Number: number, Frames: frames[:maxPartBytes], More: true}); err != nil {
			return err
		}
		frames = frames[maxPartBytes:]
	}
	return in.sendPart(Answer{Number: number, Frames: frames})
}

func (in *inboundStream) flushCollected(number uint64) error {
	if len(in.collected) == 0 {
		return nil
	}
	err := in.sendPart(Answer{Number: number, Frames: in.collected})
	in.collected = in.collected[:0]
	return err
}

// sendFinal sends the collected frames and the final of the unit. An error other than the end of the stream closes the
// connection.
func (in *inboundStream) sendFinal(number uint64, f work.Final) {
	if err := in.sendPart(Answer{Number: number, Frames: in.collected, Final: &f}); err != nil && in.ctx.Err() == nil {
		in.conn.mesh.countRefusedMessage(in.conn.vm, err)
		in.conn.close(err)
	}
}

// sendPart blocks until the window has space for the part, and queues the part.
func (in *inboundStream) sendPart(a Answer) error {
	for {
		in.mu.Lock()
		limit := in.sendLimit
		in.mu.Unlock()
		if len(a.Frames) == 0 || in.sentBytes+uint64(len(a.Frames)) <= limit {
			break
		}
		select {
		case <-in.limitRaised:
		case <-in.ctx.Done():
			return in.ctx.Err()
		}
	}
	a.Stream, a.Seq = in.id, in.nextSeq
	if _, err := in.conn.queueData(in.ctx, a); err != nil {
		return err
	}
	in.sentBytes += uint64(len(a.Frames))
	in.nextSeq++
	return nil
}

// raiseSendLimit raises the send limit after the caller's VM has reported n bytes as delivered since the stream was opened.
func (in *inboundStream) raiseSendLimit(n uint64) {
	in.mu.Lock()
	in.sendLimit = max(in.sendLimit, n+windowBytes)
	in.mu.Unlock()
	select {
	case in.limitRaised <- struct{}{}:
	default:
	}
}
