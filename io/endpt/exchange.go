package endpt

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"verbenagate/core/point"
	"verbenagate/core/work"
)

const (
	// positionParameter is the name of the ParameterStatus in which the server reports the position of a commit.
	positionParameter = "verbena.position"
	// concurrentWriteThreshold is the size in bytes above which a request is written while its answer is read.
	// Otherwise a server that waits for its answer to be read would not read the rest of the request, and both sides
	// would block.
	concurrentWriteThreshold = 32 << 10
)

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	errFatal      = errors.New("the server ended the connection")
)

// outcome describes what happened to a request to the server.
type outcome struct {
	// sent means that some of the request may have reached the server.
	sent bool
	// err is the reason why the answer is incomplete; the connection is then unusable. nil means a complete answer.
	err error
	// txStatus is the transaction status after the request.
	txStatus work.TxStatus
	// commit is the highest commit that the server reported, zero for none; commits lists all of them.
	commit  point.Point
	commits []point.Point
	// sqlState is the SQLSTATE of the first error response; empty for none.
	sqlState string
}

// exchange sends a request and reads the answer up to the last ReadyForQuery. With forwardSession, notifications and
// messages about the session's parameters are added to the answer. exchange does not flush the answer at the end.
func (c *conn) exchange(ctx context.Context, r request, a *answer, forwardSession bool) outcome {
	var o outcome
	if err := ctx.Err(); err != nil {
		o.err = err
		return o
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	o.sent = true
	var written chan error
	if len(r.out) > concurrentWriteThreshold {
		written = make(chan error, 1)
		go func() {
			_, err := c.nc.Write(r.out)
			written <- err
		}()
	} else if _, err := c.nc.Write(r.out); err != nil {
		o.err = err
	}
	if o.err == nil {
		o.err = c.readAnswer(r.steps, a, forwardSession, &o)
	}
	if o.err != nil {
		_ = c.nc.SetDeadline(time.Unix(1, 0))
	}
	if written != nil {
		if err := <-written; o.err == nil {
			o.err = err
		}
	}
	if !stop() && o.err == nil {
		// The deadline was set after the answer was complete, so the answer is valid and only the connection is lost.
		c.broken = true
	}
	if o.err != nil {
		c.broken = true
		if ctx.Err() != nil {
			o.err = fmt.Errorf("%w: %w", ctx.Err(), o.err)
		}
	}
	return o
}

// answerReader is the state of reading the answer to one request.
type answerReader struct {
	c              *conn
	a              *answer
	o              *outcome
	steps          []step
	forwardSession bool
}

func (c *conn) readAnswer(steps []step, a *answer, forwardSession bool, o *outcome) error {
	rd := answerReader{c: c, a: a, o: o, steps: steps, forwardSession: forwardSession}
	for len(rd.steps) > 0 {
		kind, buf, err := c.receive(c.scratch[:0])
		if cap(buf) <= answerBufferLimit {
			c.scratch = buf
		}
		if err != nil {
			return err
		}
		if err := rd.handle(kind, buf); err != nil {
			return err
		}
	}
	return nil
}

// handle processes one message of the server.
func (rd *answerReader) handle(kind byte, m []byte) error {
	switch kind {
	case 'N':
		return rd.a.add(m)
	case 'S':
		return rd.handleParameterStatus(m)
	case 'A':
		if rd.forwardSession {
			return rd.a.add(m)
		}
		return nil
	}
	if err := rd.answerOmittedParses(); err != nil {
		return err
	}
	switch kind {
	case '1', '2', '3', 'n', 't', 'T', 's':
		return rd.handleStepEnd(kind, m)
	case 'C':
		return rd.handleCommandComplete(m)
	case 'D', 'I':
		if kind == 'I' {
			rd.endStep(stepExecute)
		}
		return rd.a.add(m)
	case 'E':
		return rd.handleError(m)
	case 'Z':
		return rd.handleReadyForQuery(m)
	}
	return fmt.Errorf("the server sent the unexpected message %q", kind)
}

// answerOmittedParses adds ParseComplete for the omitted Parse messages that precede the next answered step.
func (rd *answerReader) answerOmittedParses() error {
	for len(rd.steps) > 0 && rd.steps[0].kind == stepOmittedParse {
		rd.steps = rd.steps[1:]
		if err := rd.a.add(parseComplete); err != nil {
			return err
		}
	}
	return nil
}

// endStep moves to the next step if the current one is of this kind.
func (rd *answerReader) endStep(kind stepKind) {
	if len(rd.steps) > 0 && rd.steps[0].kind == kind {
		rd.steps = rd.steps[1:]
	}
}

// handleStepEnd handles the messages that end steps of the extended protocol. Answers to injected steps are not
// forwarded.
func (rd *answerReader) handleStepEnd(kind byte, m []byte) error {
	current := rd.steps[0]
	switch {
	case kind == '1' && (current.kind == stepInjectedParse || current.kind == stepParse):
		if current.name != "" {
			rd.c.addPrepared(current.name)
		}
	case kind == '3' && (current.kind == stepInjectedClose || current.kind == stepClose):
		if current.kind == stepClose {
			rd.c.dropPrepared(current.name)
		}
	case kind == '2' && current.kind == stepBind, kind == 's' && current.kind == stepExecute:
	case (kind == 'n' || kind == 'T') && current.kind == stepDescribe:
	case (kind == 'n' || kind == 'T') && current.kind == stepInjectedDescribe:
		rd.a.rowDescription = bytes.Clone(m)
		rd.steps = rd.steps[1:]
		return nil
	case kind == 't' && current.kind == stepDescribe, kind == 'T' && current.kind == stepQuery:
		return rd.a.add(m) // further messages follow for the same step
	default:
		return fmt.Errorf("message %q of the server does not match the request", kind)
	}
	rd.steps = rd.steps[1:]
	if current.kind == stepInjectedParse || current.kind == stepInjectedClose {
		return nil
	}
	return rd.a.add(m)
}

func (rd *answerReader) handleCommandComplete(m []byte) error {
	switch rd.steps[0].kind {
	case stepExecute:
		rd.steps = rd.steps[1:]
	case stepQuery:
	default:
		return errors.New("CommandComplete of the server does not match the request")
	}
	tag, _ := cstring(m[5:])
	if tag == "DISCARD ALL" || tag == "DEALLOCATE ALL" {
		rd.c.clearPrepared()
	}
	return rd.a.add(m)
}

// handleError handles an ErrorResponse. After it, the server skips all messages up to the next Sync.
func (rd *answerReader) handleError(m []byte) error {
	severity, state := errorFields(m)
	if rd.o.sqlState == "" {
		rd.o.sqlState = state
	}
	if severity == "FATAL" || severity == "PANIC" {
		return fmt.Errorf("%w with SQLSTATE %s", errFatal, state)
	}
	if state == "26000" || state == "0A000" {
		rd.c.closeAfterUse.Store(true) // the prepared statements of the connection may be stale
	}
	for len(rd.steps) > 0 && rd.steps[0].kind != stepSync && rd.steps[0].kind != stepQuery {
		rd.steps = rd.steps[1:]
	}
	return rd.a.add(m)
}

func (rd *answerReader) handleReadyForQuery(m []byte) error {
	if kind := rd.steps[0].kind; kind != stepSync && kind != stepQuery {
		return errors.New("ReadyForQuery of the server does not match the request")
	}
	if len(m) != 6 {
		return errors.New("ReadyForQuery of the server is malformed")
	}
	rd.o.txStatus = work.TxStatus(m[5])
	rd.c.status = rd.o.txStatus
	rd.steps = rd.steps[1:]
	return nil
}

// handleParameterStatus records the position of a commit, which it removes from the answer. Any other parameter marks
// the session as dirty.
func (rd *answerReader) handleParameterStatus(m []byte) error {
	name, ok := cstring(m[5:])
	if !ok {
		return errors.New("ParameterStatus of the server is malformed")
	}
	if name == positionParameter {
		value, _ := cstring(m[5+len(name)+1:])
		p, err := point.Parse(value)
		if err != nil {
			return err
		}
		rd.o.commit, rd.o.commits = rd.o.commit.Max(p), append(rd.o.commits, p)
		return nil
	}
	rd.c.dirty = true // a function may have changed the parameter for the whole session
	if rd.forwardSession {
		return rd.a.add(m)
	}
	return nil
}

// errorFields returns the severity and the SQLSTATE of an ErrorResponse.
func errorFields(m []byte) (severity, state string) {
	for _, field := range bytes.Split(m[5:], []byte{0}) {
		if len(field) == 0 {
			break
		}
		switch field[0] {
		case 'S':
			if severity == "" {
				severity = string(field[1:])
			}
		case 'V': // the severity that is never localised
			severity = string(field[1:])
		case 'C':
			state = strings.ToUpper(string(field[1:]))
		}
	}
	return severity, state
}
