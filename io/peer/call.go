package peer

import (
	"context"
	"fmt"
	"time"

	"verbenagate/core/result"
)

// envelopeRoom is what a Call or a Return adds to the message inside at most.
const envelopeRoom = 256

// Call sends a request to a VM and returns its reply, or the error that the VM returned, with its code. If the request
// certainly did not leave, the code is PeerUnreachable; if the reply was lost, AnswerLost.
func (m *Mesh) Call(ctx context.Context, vm string, req Request) (Reply, error) {
	if vm == m.cfg.ID {
		return m.answer(ctx, vm, req)
	}
	body, err := encodeInner(req)
	if err != nil {
		return nil, result.Wrap(result.TooLarge, err, "request for VM %s", vm)
	}
	c, err := m.connection(ctx, vm)
	if err != nil {
		return nil, result.Wrap(result.PeerUnreachable, err, "VM %s cannot be reached", vm)
	}
	call := Call{ID: m.ids.Add(1), Body: body}
	if d, ok := ctx.Deadline(); ok {
		call.Left = max(time.Until(d), time.Millisecond)
	}
	back := make(chan Return, 1)
	c.smu.Lock()
	c.calls[call.ID] = back
	c.smu.Unlock()
	defer func() {
		c.smu.Lock()
		delete(c.calls, call.ID)
		c.smu.Unlock()
	}()
	i := c.sendItem(call)
	if i == nil {
		return nil, result.New(result.PeerUnreachable, "VM %s takes no messages", vm)
	}
	select {
	case r := <-back:
		return r.result()
	case <-c.done:
		err = c.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if i.withdraw() {
		return nil, result.Wrap(result.PeerUnreachable, err, "request was not sent to VM %s", vm)
	}
	return nil, result.Wrap(result.AnswerLost, err, "reply of VM %s was lost", vm)
}

// encodeInner encodes a message that another one carries.
func encodeInner(m Message) ([]byte, error) {
	body, err := Encode(m)
	if err == nil && len(body) > MaxMessage-envelopeRoom {
		err = fmt.Errorf("%T of %d bytes exceeds the limit of %d", m, len(body), MaxMessage-envelopeRoom)
	}
	return body, err
}

func (r Return) result() (Reply, error) {
	if code := result.Code(r.Code); code != result.OK {
		return nil, result.New(code, "%s", r.Message)
	}
	reply, err := decodeAs[Reply](r.Body)
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "decode reply")
	}
	return reply, nil
}

// answer runs the handler of requests.
func (m *Mesh) answer(ctx context.Context, from string, req Request) (Reply, error) {
	if m.cfg.Serve == nil {
		return nil, result.New(result.Unsupported, "VM %s answers no requests", m.cfg.ID)
	}
	return m.cfg.Serve(ctx, from, req)
}

// serve answers a call in a goroutine of its own.
func (c *conn) serve(call Call) error {
	req, err := decodeAs[Request](call.Body)
	if err != nil {
		c.send(failure(call.ID, result.Wrap(result.ProtocolError, err, "request")))
		return nil
	}
	select {
	case c.serving <- struct{}{}:
	default:
		c.send(failure(call.ID, result.New(result.QueueFull, "VM %s serves %d requests", c.mesh.cfg.ID, maxCalls)))
		return nil
	}
	c.mesh.start(func() {
		defer func() { <-c.serving }()
		ctx, cancel := c.ctx, context.CancelFunc(func() {})
		if call.Left > 0 {
			ctx, cancel = context.WithTimeout(c.ctx, call.Left)
		}
		defer cancel()
		c.send(c.mesh.reply(ctx, c.vm, call.ID, req))
	})
	return nil
}

func (m *Mesh) reply(ctx context.Context, from string, id uint64, req Request) Return {
	reply, err := m.answer(ctx, from, req)
	if err != nil {
		return failure(id, err)
	}
	body, err := encodeInner(reply)
	if err != nil {
		return failure(id, result.Wrap(result.TooLarge, err, "reply"))
	}
	return Return{ID: id, Code: uint16(result.OK), Body: body}
}

func failure(id uint64, err error) Return {
	return Return{ID: id, Code: uint16(result.CodeOf(err)), Message: result.Message(err)}
}
