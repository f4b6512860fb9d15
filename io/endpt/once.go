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
	"verbenagate/io/every"
)

const (
	// storedResultLimit bounds the stored result of a declared statement in bytes. Of a larger result, only the
	// message that ends it is stored.
	storedResultLimit = 64 << 10

	uniqueViolation = "23505"
	undefinedTable  = "42P01"

	textOID = 25
	int8OID = 20

	savepoint = "verbenagate_once"

	// expiryInterval is the time between two deletions of expired records, and expiryTimeout bounds each statement of
	// a deletion.
	expiryInterval = time.Minute
	expiryTimeout  = 10 * time.Second
	// expiryCaller is the caller name under which deletions wait in the queue.
	expiryCaller = "verbenagate"
)

var (
	expireOIDs = []uint32{int8OID, textOID, textOID}
	insertOIDs = []uint32{textOID, textOID, int8OID}
	updateOIDs = []uint32{textOID, textOID, textOID}
	selectOIDs = []uint32{textOID, textOID}
)

// runOnce runs a declared non-idempotent unit together with its outcome record.
//
// Outside a transaction, the record and the unit share a transaction that is opened for them, so that nothing takes
// effect before its COMMIT is sent. Within the caller's transaction, the record becomes part of that transaction.
func (j *job) runOnce(ctx context.Context) work.Final {
	o := j.insertRecord(ctx)
	if o.err == nil && o.sqlState == undefinedTable {
		if o = j.createTable(ctx); o.err == nil && o.sqlState == "" {
			o = j.insertRecord(ctx)
		}
	}
	switch {
	case o.err != nil:
		return j.finishLostAs(ctx, o, j.lossCodeBeforeCommit(o))
	case o.sqlState == uniqueViolation:
		return j.answerRepeated(ctx)
	case o.sqlState != "":
		return j.finishRecordRefused(ctx, o)
	}
	return j.runWithRecord(ctx)
}

// lossCodeBeforeCommit returns the result code of a unit whose connection was lost before a COMMIT was sent.
func (j *job) lossCodeBeforeCommit(o outcome) result.Code {
	if o.sent || j.inTx {
		return result.RolledBack
	}
	return result.NoServer
}

// runStatements runs the statements that add puts into a request, in one exchange, and returns the messages of the
// answer.
func (j *job) runStatements(ctx context.Context, add func(r *request) error) (outcome, []byte) {
	var r request
	if err := add(&r); err != nil {
		return outcome{err: err}, nil
	}
	r.addSync()
	a := newAnswer(nil, false)
	a.collect = true
	o := j.exchange(ctx, r, a, false)
	return o, a.buf
}

func (j *job) insertRecord(ctx context.Context) outcome {
	created := strconv.FormatInt(j.t.s.cfg.Now().UnixMilli(), 10)
	o, _ := j.runStatements(ctx, func(r *request) error {
		open := "BEGIN"
		if j.inTx {
			open = "SAVEPOINT " + savepoint
		}
		if err := r.addStatement(open, nil); err != nil {
			return err
		}
		err := r.addStatement(once.InsertSQL, insertOIDs, []byte(j.t.caller), []byte(j.u.IdempotencyKey.Key), []byte(created))
		if err != nil || !j.inTx {
			return err
		}
		return r.addStatement("RELEASE SAVEPOINT "+savepoint, nil)
	})
	return o
}

// undoInsertRecord rolls back a failed insertRecord.
func (j *job) undoInsertRecord(ctx context.Context) outcome {
	o, _ := j.runStatements(ctx, func(r *request) error {
		if !j.inTx {
			return r.addStatement("ROLLBACK", nil)
		}
		if err := r.addStatement("ROLLBACK TO SAVEPOINT "+savepoint, nil); err != nil {
			return err
		}
		return r.addStatement("RELEASE SAVEPOINT "+savepoint, nil)
	})
	return o
}

// createTable creates the table of outcome records after an insert found none.
func (j *job) createTable(ctx context.Context) outcome {
	if o := j.undoInsertRecord(ctx); o.err != nil || o.sqlState != "" {
		return o
	}
	o, _ := j.runStatements(ctx, func(r *request) error { return r.addStatement(once.CreateSQL, nil) })
	if o.err == nil && o.sqlState == uniqueViolation && !j.inTx {
		// Another VM created the table at the same time.
		o.sqlState = ""
	}
	return o
}

// finishRecordRefused ends a unit whose record the server refused. The unit itself was not sent.
func (j *job) finishRecordRefused(ctx context.Context, refusal outcome) work.Final {
	if o := j.undoInsertRecord(ctx); o.err != nil {
		return j.finishLostAs(ctx, o, j.lossCodeBeforeCommit(o))
	}
	if refusal.sqlState == readOnlySQLState && j.freshConn {
		j.release(false)
		return work.FinalFromError(j.notPrimaryError())
	}
	return j.finishUnsent(result.New(result.NotPermitted,
		"server %s refused the outcome record of a declared statement with SQLSTATE %s", j.t.s.Address(), refusal.sqlState))
}

// runWithRecord runs the unit after its record was inserted.
func (j *job) runWithRecord(ctx context.Context) work.Final {
	r, err := j.c.buildRequest(injectDescribes(j.frames), j.u.Prepared)
	if err != nil {
		if o := j.rollbackOwnTx(ctx); o.err != nil {
			return j.finishLostAs(ctx, o, j.lossCodeBeforeCommit(o))
		}
		return j.finishUnsent(err)
	}
	// The record must be complete before any of the answer is forwarded.
	j.a.collect = true
	o := j.exchange(ctx, r, j.a, j.u.KeepConnection || j.inTx)
	switch {
	case o.err != nil && j.inTx:
		return j.finishLost(ctx, o)
	case errors.Is(o.err, errCollectedTooLarge):
		return j.finishLostAs(ctx, o, result.TooLarge)
	case o.err != nil:
		return j.finishLostAs(ctx, o, result.RolledBack)
	case o.sqlState != "" && j.inTx:
		return j.deliver(ctx, o)
	case o.sqlState != "":
		return j.finishRefused(ctx, o)
	}
	return j.storeAndCommit(ctx, o)
}

// rollbackOwnTx rolls back the transaction that was opened for the unit. Within the caller's transaction it does
// nothing.
func (j *job) rollbackOwnTx(ctx context.Context) outcome {
	if j.inTx {
		return outcome{}
	}
	o, _ := j.runStatements(ctx, func(r *request) error { return r.addStatement("ROLLBACK", nil) })
	return o
}

// finishRefused ends a unit that the server refused. It rolls back the record, so that the unit may be tried again.
func (j *job) finishRefused(ctx context.Context, o outcome) work.Final {
	if o := j.rollbackOwnTx(ctx); o.err != nil {
		return j.finishLostAs(ctx, o, result.RolledBack)
	}
	if o.sqlState == readOnlySQLState && j.freshConn {
		j.release(false)
		return work.FinalFromError(j.notPrimaryError())
	}
	o.txStatus = work.TxIdle
	return j.deliver(ctx, o)
}

// storeAndCommit stores the answer in the record and, outside the caller's transaction, commits.
func (j *job) storeAndCommit(ctx context.Context, unit outcome) work.Final {
	answer := j.a.buf
	if j.a.rowDescription != nil {
		answer = slices.Concat(j.a.rowDescription, messagesExceptKind(answer, 'T'))
	}
	stored := base64.StdEncoding.EncodeToString(storedResult(answer))
	o, messages := j.runStatements(ctx, func(r *request) error {
		err := r.addStatement(once.UpdateSQL, updateOIDs, []byte(stored), []byte(j.t.caller), []byte(j.u.IdempotencyKey.Key))
		if err != nil || j.inTx {
			return err
		}
		return r.addStatement("COMMIT", nil)
	})
	if o.err != nil {
		code := result.ConnectionLost
		if j.inTx || !o.sent {
			code = result.RolledBack
		}
		return j.finishLostAs(ctx, o, code)
	}
	if o.sqlState != "" {
		// The unit did not commit, so the caller gets the server's error instead of the answer.
		j.a.buf = messagesOfKind(messages, 'E')
		if !j.inTx && o.txStatus != work.TxIdle {
			if undone := j.rollbackOwnTx(ctx); undone.err != nil {
				return j.finishLostAs(ctx, undone, result.RolledBack)
			}
			o.txStatus = work.TxIdle
		}
		if o.sqlState == readOnlySQLState && j.freshConn && !j.inTx {
			j.release(false)
			return work.FinalFromError(j.notPrimaryError())
		}
		return j.deliver(ctx, o)
	}
	o.commit = o.commit.Max(unit.commit)
	return j.deliver(ctx, o)
}

// answerRepeated answers a unit that has run before with its stored result.
func (j *job) answerRepeated(ctx context.Context) work.Final {
	before, _ := j.t.s.status()
	term := before.Term
	if o := j.undoInsertRecord(ctx); o.err != nil {
		return j.finishLostAs(ctx, o, j.lossCodeBeforeCommit(o))
	}
	o, stored, found := j.readRecord(ctx)
	if o.err != nil {
		return j.finishLostAs(ctx, o, j.lossCodeBeforeCommit(o))
	}
	if !found {
		// The record was deleted, or its transaction was rolled back, between the insert and the select.
		return j.finishUnsent(result.New(result.RolledBack, "the outcome record of the request was removed while it was read"))
	}
	if o = j.replay(ctx, stored); o.err != nil {
		return j.finishLostAs(ctx, o, j.lossCodeBeforeCommit(o))
	}
	j.t.s.meter.onceReplays.Inc(1)
	// The first run may have committed without a confirmation by the quorum. Its position, which is not above the current
	// one, must therefore be confirmed now.
	if !j.inTx {
		p, err := j.currentPoint(ctx, term)
		if err != nil {
			j.release(j.u.KeepConnection)
			return work.FinalFromError(result.Wrap(result.QuorumNotReached, err, "the commit position of the first run is unknown"))
		}
		o.commit = o.commit.Max(p)
	}
	return j.deliver(ctx, o)
}

// currentPoint returns the server's current position. It fails unless the server has been the primary of the term
// throughout, since a server that was replaced may have lost the record that was read.
func (j *job) currentPoint(ctx context.Context, term uint64) (point.Point, error) {
	if r, ok := j.t.s.cfg.Status.(Refresher); ok {
		if err := r.Refresh(ctx); err != nil {
			return point.Point{}, err
		}
	}
	st, ok := j.t.s.status()
	if !ok || !st.IsServingPrimary() || st.Term != term {
		return point.Point{}, j.notPrimaryError()
	}
	return st.AppliedPoint(), nil
}

func (j *job) readRecord(ctx context.Context) (o outcome, stored []byte, found bool) {
	o, messages := j.runStatements(ctx, func(r *request) error {
		return r.addStatement(once.SelectSQL, selectOIDs, []byte(j.t.caller), []byte(j.u.IdempotencyKey.Key))
	})
	if o.err != nil || o.sqlState != "" {
		return o, nil, false
	}
	stored, found, o.err = decodeRecord(messages)
	return o, stored, found
}

// decodeRecord decodes the row that SelectSQL returned.
func decodeRecord(messages []byte) (stored []byte, found bool, err error) {
	row := messagesOfKind(messages, 'D')
	if len(row) == 0 {
		return nil, false, nil
	}
	var d pgproto3.DataRow
	if err := d.Decode(row[5:]); err != nil || len(d.Values) != 1 {
		return nil, false, result.New(result.ProtocolError, "the row of the outcome record is malformed")
	}
	stored, err = base64.StdEncoding.DecodeString(string(d.Values[0]))
	if err != nil {
		return nil, false, result.Wrap(result.ProtocolError, err, "the outcome record is not valid base64")
	}
	return stored, true, nil
}

// replay builds the answer of the repeated unit in j.a. The server carries out the unit's Parse, Bind and Describe
// messages but executes nothing. The stored rows and CommandComplete take the place of the execution.
func (j *job) replay(ctx context.Context, stored []byte) outcome {
	var list []frame
	simple, executed, repliesAfterExecute := false, false, 0
	for _, f := range j.frames {
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
			repliesAfterExecute += f.replyCount()
		}
	}
	j.a.collect = true
	stored = j.dropUnreadableRows(stored)
	if simple {
		j.a.buf = append(j.a.buf, stored...)
		return outcome{txStatus: j.c.status}
	}
	rows := messagesExceptKind(stored, 'T')
	if len(list) == 0 {
		j.a.buf = append(j.a.buf, rows...)
		return outcome{txStatus: j.c.status}
	}
	r, err := j.c.buildRequest(list, j.u.Prepared)
	if err != nil {
		return outcome{err: err}
	}
	o := j.exchange(ctx, r, j.a, false)
	if o.err == nil && o.sqlState == "" {
		insertAt := offsetOfLast(j.a.buf, repliesAfterExecute)
		j.a.buf = slices.Insert(j.a.buf, insertAt, rows...)
	}
	return o
}

// injectDescribes adds a Describe before each Execute, so that the columns and formats are stored with the rows.
func injectDescribes(frames []frame) []frame {
	var out []frame
	for _, f := range frames {
		if f.kind == 'E' {
			name, _ := cstring(f.body())
			m := pgproto3.Describe{ObjectType: 'P', Name: name}
			if raw, err := m.Encode(nil); err == nil {
				out = append(out, frame{kind: 'D', raw: raw, injected: true})
			}
		}
		out = append(out, f)
	}
	return out
}

// dropUnreadableRows removes the stored rows if the caller would misread them because it asks for other formats than
// in the first run. The caller then only learns that the request is done, as with rows that are too large to be
// stored.
func (j *job) dropUnreadableRows(stored []byte) []byte {
	formats, simple := []int16(nil), false
	for _, f := range j.frames {
		var m pgproto3.Bind
		if f.kind == 'B' && m.Decode(f.body()) == nil {
			formats = m.ResultFormatCodes
		}
		simple = simple || f.kind == 'Q'
	}
	var d pgproto3.RowDescription
	rowDescription := messagesOfKind(stored, 'T')
	described := len(rowDescription) > 0 && d.Decode(rowDescription[5:]) == nil
	same := described || !simple // a record of an earlier version has no row description
	for i, f := range d.Fields {
		same = same && f.Format == columnFormat(formats, i)
	}
	if same {
		return stored
	}
	return messagesExceptKind(messagesExceptKind(stored, 'T'), 'D')
}

// columnFormat returns the format of a column given the codes of a Bind: no code means text, one code applies to all
// columns.
func columnFormat(codes []int16, column int) int16 {
	switch {
	case len(codes) == 1:
		return codes[0]
	case column < len(codes):
		return codes[column]
	}
	return pgproto3.TextFormat
}

// offsetOfLast returns the offset at which the last n messages begin.
func offsetOfLast(messages []byte, n int) int {
	var starts []int
	at := 0
	forEachMessage(messages, func(m []byte) {
		starts = append(starts, at)
		at += len(m)
	})
	if n == 0 || n > len(starts) {
		return at
	}
	return starts[len(starts)-n]
}

// storedResult returns the part of an answer that is stored.
func storedResult(messages []byte) []byte {
	var all, tag []byte
	forEachMessage(messages, func(m []byte) {
		switch m[0] {
		case 'C', 's':
			tag = m
			fallthrough
		case 'T', 'D', 'I':
			all = append(all, m...)
		}
	})
	if len(all) > storedResultLimit {
		return tag
	}
	return all
}

func messagesOfKind(messages []byte, kind byte) []byte {
	var out []byte
	forEachMessage(messages, func(m []byte) {
		if m[0] == kind {
			out = append(out, m...)
		}
	})
	return out
}

func messagesExceptKind(messages []byte, kind byte) []byte {
	var out []byte
	forEachMessage(messages, func(m []byte) {
		if m[0] != kind {
			out = append(out, m...)
		}
	})
	return out
}

func forEachMessage(messages []byte, f func(m []byte)) {
	for len(messages) >= 5 {
		n := int(binary.BigEndian.Uint32(messages[1:])) + 1
		f(messages[:n])
		messages = messages[n:]
	}
}

// Lookup reads the outcome record of a request from a primary of at least minTerm, to resolve an unknown outcome. If
// no record is found under a term newer than that of the lost request, the request did not take effect. stored holds
// the rows and the CommandComplete of the first run.
func (s *Server) Lookup(ctx context.Context, caller, key string, minTerm uint64) (found bool, stored []byte, err error) {
	u := work.Unit{Caller: caller, Term: minTerm, NeedsPrimary: true}
	var r request
	if err := r.addStatement(once.SelectSQL, selectOIDs, []byte(caller), []byte(key)); err != nil {
		return false, nil, err
	}
	r.addSync()
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
	if refusal := messagesOfKind(answer.Bytes(), 'E'); refusal != nil {
		if _, state := errorFields(refusal); state != undefinedTable {
			return false, nil, result.New(result.StatementFailed, "server %s refused to read an outcome record with SQLSTATE %s",
				s.Address(), state)
		}
		return false, nil, nil
	}
	stored, found, err = decodeRecord(answer.Bytes())
	return found, stored, err
}

// deleteExpiredPeriodically deletes expired records every expiryInterval.
func (s *Server) deleteExpiredPeriodically() {
	// After a failure, the next round deletes the records, on whichever server is the primary then.
	every.Interval(s.ctx, expiryInterval, func() { _ = s.DeleteExpired(s.ctx) })
}

// DeleteExpired deletes the outcome records whose retention has expired. It does nothing unless the server is the
// primary.
func (s *Server) DeleteExpired(ctx context.Context) error {
	if s.cfg.OnceRules == nil {
		return nil
	}
	t := s.Open(expiryCaller)
	defer t.Close()
	for _, e := range s.cfg.OnceRules.Expiries() {
		var r request
		before := strconv.FormatInt(e.CreatedBefore(s.cfg.Now()), 10)
		err := r.addStatement(once.ExpireSQL, expireOIDs, []byte(before), []byte(e.From()), []byte(e.To()))
		if err != nil {
			return err
		}
		r.addSync()
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
