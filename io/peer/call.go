package peer

import (
	"context"
	"fmt"
	"time"

	"verbenagate/core/result"
)

// maxEnvelopeOverhead is the greatest number of bytes that a Call or a Return adds to the message it carries.
const maxEnvelopeOverhead = 256

// Call sends a request to a VM and returns its reply, or the error that the VM returned, with its code. The code is
// PeerUnreachable if the request was certainly not sent, and AnswerLost if it may have been sent and no reply arrived.
func (m *Mesh) Call(ctx context.Context, vm string, req Request) (Reply, error) {
	if vm == m.cfg.ID {
		return m.runHandler(ctx, vm, req)
	}
	body, err := encodeBody(req)
	if err != nil {
		return nil, result.Wrap(result.TooLarge, err, "encode request for VM %s", vm)
	}
	c, err := m.connectionTo(ctx, vm)
	if err != nil {
		return nil, result.Wrap(result.PeerUnreachable, err, "VM %s cannot be reached", vm)
	}
	call := Call{ID: m.lastID.Add(1), Body: body}
	if d, ok := ctx.Deadline(); ok {
		call.Remaining = max(time.Until(d), time.Millisecond)
	}
	returned := make(chan Return, 1)
	c.streamsMu.Lock()
	c.pendingCalls[call.ID] = returned
	c.streamsMu.Unlock()
	defer func() {
		c.streamsMu.Lock()
		delete(c.pendingCalls, call.ID)
		c.streamsMu.Unlock()
	}()
	queued := c.queueControl(call)
	if queued == nil {
		return nil, result.New(result.PeerUnreachable, "request to VM %s could not be queued", vm)
	}
	select {
	case r := <-returned:
		return r.unwrap()
	case <-c.done:
		err = c.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if queued.withdraw() {
		return nil, result.Wrap(result.PeerUnreachable, err, "request was not sent to VM %s", vm)
	}
	return nil, result.Wrap(result.AnswerLost, err, "reply from VM %s was lost", vm)
}

// encodeBody encodes a message for the Body of a Call or Return.
func encodeBody(m Message) ([]byte, error) {
	body, err := Encode(m)
	if err == nil && len(body) > MaxMessage-maxEnvelopeOverhead {
		err = fmt.Errorf("%T of %d bytes exceeds the limit of %d bytes", m, len(body), MaxMessage-maxEnvelopeOverhead)
	}
	return body, err
}

func (r Return) unwrap() (Reply, error) {
	if code := result.Code(r.Code); code != result.OK {
		return nil, result.New(code, "%s", r.Message)
	}
	reply, err := decodeAs[Reply](r.Body)
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "decode reply")
	}
	return reply, nil
}

// runHandler passes a request to Config.HandleRequest. A VM calls it for its own requests, too.
func (m *Mesh) runHandler(ctx context.Context, from string, req Request) (Reply, error) {
	if m.cfg.HandleRequest == nil {
		return nil, result.New(result.Unsupported, "VM %s has no request handler", m.cfg.ID)
	}
	return m.cfg.HandleRequest(ctx, from, req)
}

// handleCall runs the request handler in a new goroutine and sends the reply.
func (c *conn) handleCall(call Call) error {
	req, err := decodeAs[Request](call.Body)
	if err != nil {
		c.sendControl(errorReturn(call.ID, result.Wrap(result.ProtocolError, err, "decode request")))
		return nil
	}
	select {
	case c.servingSlots <- struct{}{}:
	default:
		c.sendControl(errorReturn(call.ID, result.New(result.QueueFull,
			"VM %s already serves %d requests of the calling VM", c.mesh.cfg.ID, maxCalls)))
		return nil
	}
	c.mesh.startGoroutine(func() {
		defer func() { <-c.servingSlots }()
		ctx, cancel := c.ctx, context.CancelFunc(func() {})
		if call.Remaining > 0 {
			ctx, cancel = context.WithTimeout(c.ctx, call.Remaining)
		}
		defer cancel()
		c.sendControl(c.mesh.serveRequest(ctx, c.vm, call.ID, req))
	})
	return nil
}

func (m *Mesh) serveRequest(ctx context.Context, from string, id uint64, req Request) Return {
	reply, err := m.runHandler(ctx, from, req)
	if err != nil {
		return errorReturn(id, err)
	}
	body, err := encodeBody(reply)
	if err != nil {
		return errorReturn(id, result.Wrap(result.TooLarge, err, "encode reply"))
	}
	return Return{ID: id, Code: uint16(result.OK), Body: body}
}

func errorReturn(id uint64, err error) Return {
	return Return{ID: id, Code: uint16(result.CodeOf(err)), Message: result.Message(err)}
}
