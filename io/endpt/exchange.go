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
	// positionParameter is the parameter that reports the position of a commit.
	positionParameter = "verbena.position"
	// writeAside is the size in bytes above which a request is sent while the answer is read already. A server that
	// waits for its answer to be read would otherwise not read the rest of the request.
	writeAside = 32 << 10
)

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	errFatal      = errors.New("the server ended the connection")
)

// outcome is what is known after a request was sent to the server.
type outcome struct {
	// sent says that some of the request may have reached the server.
	sent bool
	// err says why the answer is incomplete; the connection is in doubt.
	err error
	// ready is the transaction status after the request.
	ready work.TxStatus
	// commit is the last commit that the server reported, and zero for none; commits are all of them.
	commit  point.Point
	commits []point.Point
	// state is the SQLSTATE of the first error response, and empty for none.
	state string
}

// exchange sends a request and reads the answer up to the last ReadyForQuery. With keep, messages about the session's
// parameters and notifications are passed on. Nothing is released from the answer at the end.
func (c *conn) exchange(ctx context.Context, r request, a *answer, keep bool) outcome {
	var o outcome
	if err := ctx.Err(); err != nil {
		o.err = err
		return o
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	o.sent = true
	var written chan error
	if len(r.out) > writeAside {
		written = make(chan error, 1)
		go func() {
			_, err := c.nc.Write(r.out)
			written <- err
		}()
	} else if _, err := c.nc.Write(r.out); err != nil {
		o.err = err
	}
	if o.err == nil {
		o.err = c.read(r.steps, a, keep, &o)
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
		// The deadline was set after the answer was complete, so that only the connection is lost.
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

// reading is the state of reading one answer.
type reading struct {
	c     *conn
	a     *answer
	o     *outcome
	steps []step
	keep  bool
}

func (c *conn) read(steps []step, a *answer, keep bool, o *outcome) error {
	rd := reading{c: c, a: a, o: o, steps: steps, keep: keep}
	for len(rd.steps) > 0 {
		kind, buf, err := c.receive(c.scratch[:0])
		if cap(buf) <= holdLimit {
			c.scratch = buf
		}
		if err != nil {
			return err
		}
		if err := rd.message(kind, buf); err != nil {
			return err
		}
	}
	return nil
}

// message handles one message of the server.
func (rd *reading) message(kind byte, m []byte) error {
	switch kind {
	case 'N':
		return rd.a.add(m)
	case 'S':
		return rd.parameter(m)
	case 'A':
		if rd.keep {
			return rd.a.add(m)
		}
		return nil
	}
	if err := rd.supply(); err != nil {
		return err
	}
	switch kind {
	case '1', '2', '3', 'n', 't', 'T', 's':
		return rd.plain(kind, m)
	case 'C':
		return rd.complete(m)
	case 'D', 'I':
		if kind == 'I' {
			rd.end(stepExecute)
		}
		return rd.a.add(m)
	case 'E':
		return rd.failure(m)
	case 'Z':
		return rd.ready(m)
	}
	return fmt.Errorf("message %q of the server is not expected", kind)
}

// supply answers the Parse messages that were left out before the current step.
func (rd *reading) supply() error {
	for len(rd.steps) > 0 && rd.steps[0].kind == stepSupplied {
		rd.steps = rd.steps[1:]
		if err := rd.a.add(parseComplete); err != nil {
			return err
		}
	}
	return nil
}

// end goes on to the next step if the current one is of this kind.
func (rd *reading) end(kind stepKind) {
	if len(rd.steps) > 0 && rd.steps[0].kind == kind {
		rd.steps = rd.steps[1:]
	}
}

// plain handles the messages that end steps of the extended protocol. Those of steps that the caller did not ask for
// are dropped.
func (rd *reading) plain(kind byte, m []byte) error {
	at := rd.steps[0]
	switch {
	case kind == '1' && (at.kind == stepPrepare || at.kind == stepParse):
		if at.name != "" {
			rd.c.addPrepared(at.name)
		}
	case kind == '3' && (at.kind == stepEvict || at.kind == stepClose):
		if at.kind == stepClose {
			rd.c.dropPrepared(at.name)
		}
	case kind == '2' && at.kind == stepBind, kind == 's' && at.kind == stepExecute:
	case (kind == 'n' || kind == 'T') && at.kind == stepDescribe:
	case (kind == 'n' || kind == 'T') && at.kind == stepShape:
		rd.a.shape = bytes.Clone(m)
		rd.steps = rd.steps[1:]
		return nil
	case kind == 't' && at.kind == stepDescribe, kind == 'T' && at.kind == stepQuery:
		return rd.a.add(m) // more follows for the same step
	default:
		return fmt.Errorf("message %q of the server does not answer what was sent", kind)
	}
	rd.steps = rd.steps[1:]
	if at.kind == stepPrepare || at.kind == stepEvict {
		return nil
	}
	return rd.a.add(m)
}

func (rd *reading) complete(m []byte) error {
	switch rd.steps[0].kind {
	case stepExecute:
		rd.steps = rd.steps[1:]
	case stepQuery:
	default:
		return errors.New("CommandComplete of the server does not answer what was sent")
	}
	tag, _ := cstring(m[5:])
	if tag == "DISCARD ALL" || tag == "DEALLOCATE ALL" {
		rd.c.clearPrepared()
	}
	return rd.a.add(m)
}

// failure handles an ErrorResponse, after which the server skips everything up to the next Sync.
func (rd *reading) failure(m []byte) error {
	severity, state := errorFields(m)
	if rd.o.state == "" {
		rd.o.state = state
	}
	if severity == "FATAL" || severity == "PANIC" {
		return fmt.Errorf("%w with SQLSTATE %s", errFatal, state)
	}
	if state == "26000" || state == "0A000" {
		rd.c.expired.Store(true) // the prepared statements on the connection may be out of date
	}
	for len(rd.steps) > 0 && rd.steps[0].kind != stepSync && rd.steps[0].kind != stepQuery {
		rd.steps = rd.steps[1:]
	}
	return rd.a.add(m)
}

func (rd *reading) ready(m []byte) error {
	if at := rd.steps[0].kind; at != stepSync && at != stepQuery {
		return errors.New("ReadyForQuery of the server does not answer what was sent")
	}
	if len(m) != 6 {
		return errors.New("ReadyForQuery of the server is malformed")
	}
	rd.o.ready = work.TxStatus(m[5])
	rd.c.status = rd.o.ready
	rd.steps = rd.steps[1:]
	return nil
}

// parameter takes the position of a commit out of the answer.
func (rd *reading) parameter(m []byte) error {
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
	rd.c.soiled = true // a function may have changed it for the whole session
	if rd.keep {
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
		case 'V': // the severity that is never translated
			severity = string(field[1:])
		case 'C':
			state = strings.ToUpper(string(field[1:]))
		}
	}
	return severity, state
}
