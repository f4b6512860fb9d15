package endpt

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"verbenagate/core/once"
	"verbenagate/core/point"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/work"
)

const (
	// resultLimit bounds the stored result of a declared statement in bytes. Of a larger one, only the message that
	// ends it is stored.
	resultLimit = 64 << 10

	uniqueViolation = "23505"
	undefinedTable  = "42P01"

	textOID = 25
	int8OID = 20

	savepoint = "verbenagate_once"

	// expiryInterval is the time between two deletions of expired records, and expiryTimeout bounds one.
	expiryInterval = time.Minute
	expiryTimeout  = 10 * time.Second
	// expiryCaller is the name under which deletions wait in the queue.
	expiryCaller = "verbenagate"
)

var (
	expireOIDs = []uint32{int8OID, textOID, textOID}
	insertOIDs = []uint32{textOID, textOID, int8OID}
	updateOIDs = []uint32{textOID, textOID, textOID}
	selectOIDs = []uint32{textOID, textOID}
)

// once runs a declared non-idempotent unit together with its outcome record.
//
// Outside a transaction, the record and the unit share a transaction of their own, so that nothing has taken effect
// until its COMMIT is sent. Within the caller's transaction, the record becomes part of that.
func (j *job) once(ctx context.Context) work.Final {
	o := j.insertRecord(ctx)
	if o.err == nil && o.state == undefinedTable {
		if o = j.createTable(ctx); o.err == nil && o.state == "" {
			o = j.insertRecord(ctx)
		}
	}
	switch {
	case o.err != nil:
		return j.lostAs(ctx, o, j.codeBeforeCommit(o))
	case o.state == uniqueViolation:
		return j.repeat(ctx)
	case o.state != "":
		return j.recordRefused(ctx, o)
	}
	return j.runRecorded(ctx)
}

// codeBeforeCommit says what is known of a unit whose connection was lost before a COMMIT was sent.
func (j *job) codeBeforeCommit(o outcome) result.Code {
	if o.sent || j.inTx {
		return result.RolledBack
	}
	return result.NoServer
}

// script runs statements in one exchange and returns their messages. A statement without parameters is given by its
// text alone.
func (j *job) script(ctx context.Context, add func(r *request) error) (outcome, []byte) {
	var r request
	if err := add(&r); err != nil {
		return outcome{err: err}, nil
	}
	r.sync()
	a := newAnswer(nil, false)
	a.collect = true
	o := j.exchange(ctx, r, a, false)
	return o, a.buf
}

func (j *job) insertRecord(ctx context.Context) outcome {
	created := strconv.FormatInt(j.t.s.cfg.Now().UnixMilli(), 10)
	o, _ := j.script(ctx, func(r *request) error {
		open := "BEGIN"
		if j.inTx {
			open = "SAVEPOINT " + savepoint
		}
		if err := r.statement(open, nil); err != nil {
			return err
		}
		err := r.statement(once.InsertSQL, insertOIDs, []byte(j.t.caller), []byte(j.u.IdempotencyKey.Key), []byte(created))
		if err != nil || !j.inTx {
			return err
		}
		return r.statement("RELEASE SAVEPOINT "+savepoint, nil)
	})
	return o
}

// undo takes back a failed insertRecord.
func (j *job) undo(ctx context.Context) outcome {
	o, _ := j.script(ctx, func(r *request) error {
		if !j.inTx {
			return r.statement("ROLLBACK", nil)
		}
		if err := r.statement("ROLLBACK TO SAVEPOINT "+savepoint, nil); err != nil {
			return err
		}
		return r.statement("RELEASE SAVEPOINT "+savepoint, nil)
	})
	return o
}

// createTable makes the table of records when the first record finds none.
func (j *job) createTable(ctx context.Context) outcome {
	if o := j.undo(ctx); o.err != nil || o.state != "" {
		return o
	}
	o, _ := j.script(ctx, func(r *request) error { return r.statement(once.CreateSQL, nil) })
	if o.err == nil && o.state == uniqueViolation && !j.inTx {
		// Two VMs created it at the same time.
		o.state = ""
	}
	return o
}

// recordRefused ends a unit whose record could not be written; the unit itself was not sent.
func (j *job) recordRefused(ctx context.Context, refusal outcome) work.Final {
	if o := j.undo(ctx); o.err != nil {
		return j.lostAs(ctx, o, j.codeBeforeCommit(o))
	}
	if refusal.state == readOnlyState && j.fresh {
		j.finish(false)
		return work.FinalFromError(j.notPrimary())
	}
	return j.refuse(result.New(result.NotPermitted,
		"server %s refused the outcome record of a declared statement with SQLSTATE %s", j.t.s.Address(), refusal.state))
}

// runRecorded runs the unit after its record was inserted.
func (j *job) runRecorded(ctx context.Context) work.Final {
	r, err := j.c.build(shaped(j.list), j.u.Prepared)
	if err != nil {
		if o := j.rollbackOwn(ctx); o.err != nil {
			return j.lostAs(ctx, o, j.codeBeforeCommit(o))
		}
		return j.refuse(err)
	}
	// The record must be complete before anything of the answer is passed on.
	j.a.collect = true
	o := j.exchange(ctx, r, j.a, j.u.KeepConnection || j.inTx)
	switch {
	case o.err != nil && j.inTx:
		return j.lost(ctx, o)
	case errors.Is(o.err, errCollectedTooLarge):
		return j.lostAs(ctx, o, result.TooLarge)
	case o.err != nil:
		return j.lostAs(ctx, o, result.RolledBack)
	case o.state != "" && j.inTx:
		return j.deliver(ctx, o)
	case o.state != "":
		return j.failRecorded(ctx, o)
	}
	return j.complete(ctx, o)
}

// rollbackOwn ends the transaction that was opened for the unit.
func (j *job) rollbackOwn(ctx context.Context) outcome {
	if j.inTx {
		return outcome{}
	}
	o, _ := j.script(ctx, func(r *request) error { return r.statement("ROLLBACK", nil) })
	return o
}

// failRecorded ends a unit that the server refused; its record is taken back, so that it may be tried again.
func (j *job) failRecorded(ctx context.Context, o outcome) work.Final {
	if o := j.rollbackOwn(ctx); o.err != nil {
		return j.lostAs(ctx, o, result.RolledBack)
	}
	if o.state == readOnlyState && j.fresh {
		j.finish(false)
		return work.FinalFromError(j.notPrimary())
	}
	o.ready = work.TxIdle
	return j.deliver(ctx, o)
}

// complete stores the answer in the record and, outside the caller's transaction, commits.
func (j *job) complete(ctx context.Context, unit outcome) work.Final {
	answer := j.a.buf
	if j.a.shape != nil {
		answer = slices.Concat(j.a.shape, without(answer, 'T'))
	}
	stored := base64.StdEncoding.EncodeToString(resultOf(answer))
	o, messages := j.script(ctx, func(r *request) error {
		err := r.statement(once.UpdateSQL, updateOIDs, []byte(stored), []byte(j.t.caller), []byte(j.u.IdempotencyKey.Key))
		if err != nil || j.inTx {
			return err
		}
		return r.statement("COMMIT", nil)
	})
	if o.err != nil {
		code := result.ConnectionLost
		if j.inTx || !o.sent {
			code = result.RolledBack
		}
		return j.lostAs(ctx, o, code)
	}
	if o.state != "" {
		// The unit did not commit: the caller gets the server's reason instead of its answer.
		j.a.buf = only(messages, 'E')
		if !j.inTx && o.ready != work.TxIdle {
			if undone := j.rollbackOwn(ctx); undone.err != nil {
				return j.lostAs(ctx, undone, result.RolledBack)
			}
			o.ready = work.TxIdle
		}
		if o.state == readOnlyState && j.fresh && !j.inTx {
			j.finish(false)
			return work.FinalFromError(j.notPrimary())
		}
		return j.deliver(ctx, o)
	}
	o.commit = o.commit.Max(unit.commit)
	return j.deliver(ctx, o)
}

// repeat answers a unit that has run before with its stored result.
func (j *job) repeat(ctx context.Context) work.Final {
	before, _ := j.t.s.status()
	term := before.Term
	if o := j.undo(ctx); o.err != nil {
		return j.lostAs(ctx, o, j.codeBeforeCommit(o))
	}
	o, stored, found := j.readRecord(ctx)
	if o.err != nil {
		return j.lostAs(ctx, o, j.codeBeforeCommit(o))
	}
	if !found {
		// It was deleted, or its transaction was rolled back, between the two statements.
		return j.refuse(result.New(result.RolledBack, "the outcome record changed while it was read"))
	}
	if o = j.replay(ctx, stored); o.err != nil {
		return j.lostAs(ctx, o, j.codeBeforeCommit(o))
	}
	j.t.s.meter.replays.Inc(1)
	// The first run may have committed without its acknowledgement being confirmed, so that its position, which is not
	// above the present one, must be confirmed now.
	if !j.inTx {
		p, err := j.present(ctx, term)
		if err != nil {
			j.finish(j.u.KeepConnection)
			return work.FinalFromError(result.Wrap(result.QuorumNotReached, err, "the position of the first run is not known"))
		}
		o.commit = o.commit.Max(p)
	}
	return j.deliver(ctx, o)
}

// present returns the server's present position. It fails unless the server has been the primary of the term all the time,
// since a server that was replaced may have lost the record that was read.
func (j *job) present(ctx context.Context, term uint64) (point.Point, error) {
	if r, ok := j.t.s.cfg.Status.(Refresher); ok {
		if err := r.Refresh(ctx); err != nil {
			return point.Point{}, err
		}
	}
	st, ok := j.t.s.status()
	if !ok || !st.IsServingPrimary() || st.Term != term {
		return point.Point{}, j.notPrimary()
	}
	return st.AppliedPoint(), nil
}

func (j *job) readRecord(ctx context.Context) (o outcome, stored []byte, found bool) {
	o, messages := j.script(ctx, func(r *request) error {
		return r.statement(once.SelectSQL, selectOIDs, []byte(j.t.caller), []byte(j.u.IdempotencyKey.Key))
	})
	if o.err != nil || o.state != "" {
		return o, nil, false
	}
	stored, found, o.err = recordOf(messages)
	return o, stored, found
}

// recordOf reads the row that SelectSQL returned.
func recordOf(messages []byte) (stored []byte, found bool, err error) {
	row := only(messages, 'D')
	if len(row) == 0 {
		return nil, false, nil
	}
	var d pgproto3.DataRow
	if err := d.Decode(row[5:]); err != nil || len(d.Values) != 1 {
		return nil, false, result.New(result.ProtocolError, "the outcome record is malformed")
	}
	stored, err = base64.StdEncoding.DecodeString(string(d.Values[0]))
	if err != nil {
		return nil, false, result.Wrap(result.ProtocolError, err, "the outcome record is malformed")
	}
	return stored, true, nil
}

// replay builds the answer of the repeated unit in j.a. The server parses, binds and describes as the unit asks, but
// executes nothing; the stored rows and CommandComplete take the place of the execution.
func (j *job) replay(ctx context.Context, stored []byte) outcome {
	var list []frame
	simple, executed, after := false, false, 0
	for _, f := range j.list {
		switch f.kind {
		case 'Q':
			simple = true
			continue
		case 'E':
			executed = true
			continue
		}
		list = append(list, f)
		if executed {
			after += f.replies()
		}
	}
	j.a.collect = true
	stored = j.readable(stored)
	if simple {
		j.a.buf = append(j.a.buf, stored...)
		return outcome{ready: j.c.status}
	}
	rows := without(stored, 'T')
	if len(list) == 0 {
		j.a.buf = append(j.a.buf, rows...)
		return outcome{ready: j.c.status}
	}
	r, err := j.c.build(list, j.u.Prepared)
	if err != nil {
		return outcome{err: err}
	}
	o := j.exchange(ctx, r, j.a, false)
	if o.err == nil && o.state == "" {
		at := before(j.a.buf, after)
		j.a.buf = slices.Insert(j.a.buf, at, rows...)
	}
	return o
}

// shaped adds a Describe before each Execute, so that the stored rows have their columns and formats with them.
func shaped(list []frame) []frame {
	var out []frame
	for _, f := range list {
		if f.kind == 'E' {
			name, _ := cstring(f.body())
			m := pgproto3.Describe{ObjectType: 'P', Name: name}
			if raw, err := m.Encode(nil); err == nil {
				out = append(out, frame{kind: 'D', raw: raw, shape: true})
			}
		}
		out = append(out, f)
	}
	return out
}

// readable leaves out the stored rows if the caller would misread them, because it asks for other formats than the first
// time. It learns then that the request is done, as with rows that are too large to be stored.
func (j *job) readable(stored []byte) []byte {
	codes, simple := []int16(nil), false
	for _, f := range j.list {
		var m pgproto3.Bind
		if f.kind == 'B' && m.Decode(f.body()) == nil {
			codes = m.ResultFormatCodes
		}
		simple = simple || f.kind == 'Q'
	}
	var d pgproto3.RowDescription
	shape := only(stored, 'T')
	known := len(shape) > 0 && d.Decode(shape[5:]) == nil
	same := known || !simple // a record of an earlier version has no shape
	for i, f := range d.Fields {
		same = same && f.Format == formatOf(codes, i)
	}
	if same {
		return stored
	}
	return without(without(stored, 'T'), 'D')
}

// formatOf returns the format of a column by the codes of a Bind: none for text, or one for all columns.
func formatOf(codes []int16, column int) int16 {
	switch {
	case len(codes) == 1:
		return codes[0]
	case column < len(codes):
		return codes[column]
	}
	return pgproto3.TextFormat
}

// before returns the offset of the last n messages.
func before(messages []byte, n int) int {
	var starts []int
	at := 0
	each(messages, func(m []byte) {
		starts = append(starts, at)
		at += len(m)
	})
	if n == 0 || n > len(starts) {
		return at
	}
	return starts[len(starts)-n]
}

// resultOf is the part of an answer that is stored.
func resultOf(messages []byte) []byte {
	var all, tag []byte
	each(messages, func(m []byte) {
		switch m[0] {
		case 'C', 's':
			tag = m
			fallthrough
		case 'T', 'D', 'I':
			all = append(all, m...)
		}
	})
	if len(all) > resultLimit {
		return tag
	}
	return all
}

func only(messages []byte, kind byte) []byte {
	var out []byte
	each(messages, func(m []byte) {
		if m[0] == kind {
			out = append(out, m...)
		}
	})
	return out
}

func without(messages []byte, kind byte) []byte {
	var out []byte
	each(messages, func(m []byte) {
		if m[0] != kind {
			out = append(out, m...)
		}
	})
	return out
}

func each(messages []byte, f func(m []byte)) {
	for len(messages) >= 5 {
		n := int(binary.BigEndian.Uint32(messages[1:])) + 1
		f(messages[:n])
		messages = messages[n:]
	}
}

// Lookup reads the outcome record of a request on a primary of at least minTerm, to resolve an unknown outcome. If none
// is found under a term newer than that of the lost request, the request did not take effect. The result holds the
// rows and the CommandComplete of the first run.
func (s *Server) Lookup(ctx context.Context, caller, key string, minTerm uint64) (found bool, stored []byte, err error) {
	u := work.Unit{Caller: caller, Term: minTerm, NeedsPrimary: true}
	var r request
	if err := r.statement(once.SelectSQL, selectOIDs, []byte(caller), []byte(key)); err != nil {
		return false, nil, err
	}
	r.sync()
	u.Frames = r.out
	if d, ok := ctx.Deadline(); ok {
		u.Remaining = d.Sub(s.cfg.Now())
	}
	u.Class = stmt.Read
	var answer bytes.Buffer
	t := s.Open(caller)
	defer t.Close()
	f := t.Run(ctx, u, func(b []byte) error {
		answer.Write(b)
		return nil
	})
	if err := f.Err(); err != nil {
		return false, nil, err
	}
	if refusal := only(answer.Bytes(), 'E'); refusal != nil {
		if _, state := errorFields(refusal); state != undefinedTable {
			return false, nil, result.New(result.StatementFailed, "server %s refused to read an outcome record with SQLSTATE %s",
				s.Address(), state)
		}
		return false, nil, nil
	}
	stored, found, err = recordOf(answer.Bytes())
	return found, stored, err
}

// expire deletes expired records from time to time.
func (s *Server) expire() {
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
		// A failure is made up for by the next round, on whichever server is the primary then.
		_ = s.DeleteExpired(s.ctx)
	}
}

// DeleteExpired deletes the outcome records whose time has passed. It does nothing unless the server is the primary.
func (s *Server) DeleteExpired(ctx context.Context) error {
	if s.cfg.Once == nil {
		return nil
	}
	t := s.Open(expiryCaller)
	defer t.Close()
	for _, e := range s.cfg.Once.Expiries() {
		var r request
		before := strconv.FormatInt(e.CreatedBefore(s.cfg.Now()), 10)
		err := r.statement(once.ExpireSQL, expireOIDs, []byte(before), []byte(e.From()), []byte(e.To()))
		if err != nil {
			return err
		}
		r.sync()
		u := work.Unit{Caller: expiryCaller, NeedsPrimary: true, Class: stmt.Write, Remaining: expiryTimeout, Frames: r.out}
		f := t.Run(ctx, u, func([]byte) error { return nil })
		if f.Code == result.NotPrimary {
			return nil
		}
		if err := f.Err(); err != nil {
			return err
		}
	}
	return nil
}
