package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/exec"
	"verbenagate/core/layout"
	"verbenagate/core/point"
	"verbenagate/core/query"
	"verbenagate/core/result"
	"verbenagate/core/retry"
	"verbenagate/core/route"
	"verbenagate/io/elect"
	"verbenagate/io/every"
	"verbenagate/io/pool"
)

const (
	// answerReserve is the part of a statement's timeout that is kept for sending the answer to the caller.
	answerReserve = 20 * time.Millisecond
	// retryDelay and maxRetryDelay bound the time between attempts while no server can take a statement, unless the primary or the lease
	// changes. 500 statements that wait so take half of the time of a VM of a fifth of a core.
	retryDelay    = 15 * time.Millisecond
	maxRetryDelay = 480 * time.Millisecond
	// maxSlotDelay is the longest time between attempts at a statement of a transaction on an overloaded server. The transaction holds
	// locks there.
	maxSlotDelay = 30 * time.Millisecond
	// rollbackTimeout bounds the rollback of a transaction on its server.
	rollbackTimeout = 500 * time.Millisecond
	// replicaReadTimeShare is the share of a read's remaining time that one attempt on a replica may take, so that time is left
	// for another server if the answer is lost.
	replicaReadTimeShare = 0.6
	// primaryReadTimeShare is the same share for a read on the primary, where another attempt can only use another connection.
	primaryReadTimeShare = 0.9
	// maxAttempts bounds how often a statement outside a transaction, or the begin of a transaction, is sent to a server.
	maxAttempts = 4
)

var (
	// retryBackoff is that of a statement that no server can take.
	retryBackoff = retry.NewBackoff(retryDelay, maxRetryDelay)
	// slotBackoff is that of a statement of a transaction on an overloaded server.
	slotBackoff = retry.NewBackoff(retryDelay, maxSlotDelay)
)

// Attempts returns how often a server is looked for within d, at most, for a statement that none can take while nothing changes.
func Attempts(d time.Duration) int { return retryBackoff.Attempts(d) }

// statement is a caller's read or write.
type statement struct {
	id       string
	text     string // the arguments if the statement is prepared
	writes   bool
	prepared bool
	shape    query.Shape
}

// target is a server chosen for a statement or a transaction.
type target struct {
	group      *pool.Group
	server     string
	conn       pool.Session
	primaryUse elect.PrimaryUse
	onPrimary  bool
	required   point.Point
	maxAge     time.Duration // by which a position was to be found out; 0 if none was
}

// release gives back the connection and the right to use the primary.
func (t target) release() {
	t.conn.Release()
	if t.onPrimary {
		t.primaryUse.Release()
	}
}

// rollbackAndRelease rolls the transaction back on its server and gives back its connection and its right to use the primary. It
// does nothing if the transaction holds no connection.
func rollbackAndRelease(t transaction) {
	if t.conn == nil {
		return
	}
	if !t.conn.Broken() {
		r, _, err := t.conn.Do(rollbackTimeout, exec.Rollback{})
		if err != nil || r.State() != query.Idle {
			t.conn.MarkBroken()
		}
	}
	t.group.Finished(t.conn.Server(), false)
	t.conn.Release()
	if t.onPrimary {
		t.primaryUse.Release()
	}
}

// runStatement runs a read or a write, in the open transaction if there is one.
func (ss *session) runStatement(st statement, now time.Time) answer {
	if ss.state == query.Open {
		return ss.runInTransaction(st, now)
	}
	r, err := ss.admitOperation(now)
	if err != nil {
		return answerFromError(err)
	}
	deadline := now.Add(r.Timeout() - answerReserve)
	a := errorAnswer(result.NoServer, "no server can take the statement")
	var tried triedServers
	tries := newAttempts(deadline)
	for n, limit := 1, maxAttempts; n <= limit; n++ {
		t, err := ss.acquireTarget(r, st.writes, now, tried.all(), tries)
		if err != nil {
			if a.tries == 0 {
				a = answerFromError(err)
			}
			return a
		}
		var retry bool
		a, retry = ss.runOnce(t, r, st, deadline)
		a.tries = n
		if !retry {
			return a
		}
		ss.entry.deps.Log.Event(event.RouteRetry, zap.String("id", clip(st.id)), zap.String("server", a.server),
			zap.String("message", a.message))
		switch {
		case t.onPrimary:
			ss.waitForPrimaryChange(tries)
		case a.sentBack:
			tried.sentBack, limit = a.server, limit+1
		case a.code == result.AgeNotMet:
			tried.failed = t.group.Replicas() // No position is known, so only the primary can run the read.
		default:
			tried.add(a.server)
		}
	}
	return a
}

// triedServers are the servers that the next attempt must not choose.
type triedServers struct {
	failed   []string
	sentBack string // the server whose owner has sent the statement back, until another server has been tried
}

// all returns the servers that the next attempt must not choose.
func (t *triedServers) all() []string {
	if t.sentBack == "" {
		return t.failed
	}
	return append(slices.Clone(t.failed), t.sentBack)
}

// add adds a server that cannot run the statement now. One whose owner has sent it back may be chosen again, since waiting there is
// better than a refusal.
func (t *triedServers) add(server string) { t.failed, t.sentBack = append(t.failed, server), "" }

// attempts is the loop of a statement that looks for a server.
type attempts struct {
	loop     retry.Loop
	deadline time.Time
	changed  <-chan struct{} // closed when the primary or the lease has changed since the last attempt began
}

func newAttempts(deadline time.Time) *attempts {
	return &attempts{loop: retry.NewLoop(retryBackoff, deadline), deadline: deadline}
}

// waitForPrimaryChange waits until the primary or the lease has changed since the last attempt began, at most until the next attempt is due
// or the statement must be answered. It reports whether the loop goes on.
func (ss *session) waitForPrimaryChange(a *attempts) bool {
	now := ss.entry.deps.Clock()
	d, ok := a.loop.Next(now, retry.Jitter())
	if ok {
		every.Wait(context.Background(), min(d, max(ss.entry.plan().AnswerBy(a.deadline).Sub(now), 0)), a.changed)
	}
	return ok
}

// acquireTarget chooses a server and acquires a connection to it. It tries again until the deadline, unless the VM is cut off or the
// primary is overloaded. It tries again at once only if that leaves out one more server, and else waits for a change of the primary.
func (ss *session) acquireTarget(r layout.Route, writes bool, began time.Time, tried []string, a *attempts) (target, error) {
	err := result.New(result.NoServer, "no server of group %s can take the statement", r.Group())
	for {
		now := ss.entry.deps.Clock()
		if !now.Before(ss.entry.plan().AnswerBy(a.deadline)) {
			return target{}, err
		}
		ss.choices++
		a.changed = ss.entry.deps.Elector.Changed()
		t, e := ss.tryAcquire(r, writes, began, a.deadline, tried)
		if e == nil {
			return t, nil
		}
		err = e
		switch code := result.CodeOf(e); {
		case code == result.StoreUnavailable, code == result.Overloaded && t.onPrimary:
			return target{}, err
		case code == result.Overloaded:
			tried = append(slices.Clone(tried), t.server)
			continue
		case code == result.AgeNotMet && !t.onPrimary:
			// No position is known, so no replica can run the read, nor a former primary that was chosen in their place.
			tried = append(t.group.Replicas(), t.server)
			continue
		}
		tried = nil
		if !ss.waitForPrimaryChange(a) {
			return target{}, err
		}
	}
}

// tryAcquire makes one attempt to choose a server and acquire a connection to it. On an error, the target may still name the
// server that was chosen.
func (ss *session) tryAcquire(r layout.Route, writes bool, began, deadline time.Time, tried []string) (target, error) {
	g, known := ss.entry.deps.Groups.Group(r.Group())
	if !known {
		return target{}, result.New(result.NoServer, "server group %s is not known to this VM", r.Group())
	}
	t := target{group: g}
	id, sendBackAt := "", 0
	use, usable := ss.entry.deps.Elector.AcquirePrimary(r.Group())
	if !writes {
		id, t.required, t.maxAge, sendBackAt = ss.chooseReadServer(g, r, began, tried, usable)
	}
	if id == "" || (usable && id == use.Server()) {
		if !usable {
			return target{}, ss.noPrimaryError(r)
		}
		if id == "" {
			g.Started(use.Server())
		}
		t.primaryUse, t.onPrimary, t.required, t.maxAge, id, sendBackAt = use, true, point.Point{}, 0, use.Server(), 0
	} else if usable {
		use.Release()
	}
	t.server = id
	requestedAt := ss.entry.deps.Clock()
	var err error
	t.conn, err = g.Acquire(id, pool.AcquireRequest{
		Timeout: ss.attemptTimeout(ss.entry.plan().AnswerBy(deadline), t.onPrimary), AnswerWithin: usefulTimeLeft(r, deadline.Sub(requestedAt)),
		Priority: r.Priority(), SessionValues: ss.values, MaxAge: t.maxAge, ReadOnly: !writes && ss.state != query.Open,
		Workspace: ss.workspace, SendBackAt: sendBackAt,
	})
	if err == nil && !writes && !t.onPrimary && !g.MayRead(id) {
		t.conn.Release()
		err = result.New(result.NoServer, "server %s is leaving", id)
	}
	if err == nil && t.maxAge > 0 {
		err = t.requirePosition(began)
	}
	if err == nil {
		return t, nil
	}
	code := result.CodeOf(err)
	if code == result.ConnectFailed {
		ss.entry.deps.Elector.RecordAnswer(r.Group(), id, requestedAt, false)
	}
	g.Finished(id, code != result.QueueFull && code != result.Overloaded && code != result.AgeNotMet)
	if t.onPrimary {
		t.primaryUse.Release()
	}
	return t, err
}

// requirePosition sets the position that a read which began at began must see for its data to be no older than its age limit, if the
// read runs on a connection of this VM. Otherwise the server's owner finds out the position. It releases the connection if it
// returns an error.
func (t *target) requirePosition(began time.Time) error {
	c, local := t.conn.(*pool.Conn)
	if !local {
		return nil
	}
	required, known := t.group.Required(began, t.maxAge)
	t.group.RecordPositionKnown(t.maxAge, known)
	if !known {
		c.Release()
		return result.New(result.AgeNotMet, "no position of the primary of the group of server %s is known", t.server)
	}
	t.required = t.required.Max(required)
	return nil
}

// recordPositionKnown records whether the owner of the server has found a position for a read that needs one, if the answer says so.
func (t *target) recordPositionKnown(r exec.Result, err error) {
	if t.maxAge == 0 {
		return
	}
	switch {
	case err == nil && r.Code() == result.OK:
		t.group.RecordPositionKnown(t.maxAge, true)
	case err == nil && r.Code() == result.AgeNotMet, err != nil && result.CodeOf(err) == result.AgeNotMet:
		t.group.RecordPositionKnown(t.maxAge, false)
	}
}

// usefulTimeLeft returns how much longer an answer is useful to the caller if left remains of the statement's timeout. An answer
// after the route's target latency is worth little.
func usefulTimeLeft(r layout.Route, left time.Duration) time.Duration {
	if r.TargetLatency() <= 0 {
		return left
	}
	elapsed := r.Timeout() - answerReserve - left
	return min(r.TargetLatency()-elapsed, left)
}

// noPrimaryError returns the reason why the primary cannot be used. A VM that is cut off stays so for long: the caller gets
// StoreUnavailable at once and can connect to another VM, since the session is closed once it is idle. The replacement of a
// primary and the first lease of a VM take so little time that a statement waits for them.
func (ss *session) noPrimaryError(r layout.Route) error {
	if ss.entry.deps.Elector.Isolated() && !ss.entry.deps.Elector.Starting() {
		ss.closeWhenIdle = true
		if ss.entry.deps.Elector.Waits() {
			return result.New(result.StoreUnavailable,
				"the store has come back from a copy, and leases of the time before may go on, so the primary of group %s cannot be used", r.Group())
		}
		return result.New(result.StoreUnavailable,
			"this VM has no lease or cannot reach most primaries, so it cannot use the primary of group %s", r.Group())
	}
	return result.New(result.NoServer, "the primary of group %s cannot be reached or is being replaced", r.Group())
}

// attemptTimeout returns how long an attempt on one server may take. The primary gets all the time that is left, since no other
// server can do its work.
func (ss *session) attemptTimeout(deadline time.Time, onPrimary bool) time.Duration {
	left := deadline.Sub(ss.entry.deps.Clock())
	if onPrimary {
		return left
	}
	return time.Duration(float64(left) * replicaReadTimeShare)
}

// chooseReadServer chooses a server for a read. It returns the server's id and the log position that it must have applied, or ""
// if only the primary can run the read. If maxAge is not 0, the server must besides have a position that is to be found out. No server
// is chosen for that while other reads find none, unless the primary can be used. For sendBackAt, see pool.AcquireRequest.
func (ss *session) chooseReadServer(g *pool.Group, r layout.Route, began time.Time, tried []string, primaryUsable bool,
) (id string, required point.Point, maxAge time.Duration, sendBackAt int) {
	if r.Kind() == layout.Primary {
		return "", point.Point{}, 0, 0
	}
	if !ss.required.IsZero() && ss.leaderVersion != ss.entry.deps.Elector.PrimaryVersion(r.Group()) {
		// The position of the session's last commit lies in the log of an earlier primary. A read on the new primary returns a
		// position in its log.
		return "", point.Point{}, 0, 0
	}
	if g.Shared() {
		maxAge, required = r.MaxAge(), ss.required
	} else {
		known := false
		if required, known = g.Required(began, r.MaxAge()); !known {
			return "", point.Point{}, 0, 0
		}
		required = required.Max(ss.required)
	}
	var need route.Need = route.NewAtLeast(required)
	if required.IsZero() {
		need = route.NewMaxAge(maxAge)
	}
	if maxAge > 0 && !primaryUsable && !g.MayAskPosition(maxAge) {
		return "", point.Point{}, 0, 0
	}
	id, ok := g.Choose(need, tried)
	if !ok {
		return "", point.Point{}, 0, 0
	}
	return id, required, maxAge, g.SendBackAt(need, id, tried)
}

// runOnce runs a statement outside a transaction on one server. Retry reports whether the statement has had no effect and may be
// sent again.
func (ss *session) runOnce(t target, r layout.Route, st statement, deadline time.Time) (a answer, retry bool) {
	defer t.release()
	a = answer{server: t.conn.Server(), owner: t.conn.Owner()}
	timeout := ss.attemptTimeout(deadline, t.onPrimary)
	if t.onPrimary {
		a.leaderVersion = t.primaryUse.Version()
	}
	if !st.writes && t.onPrimary {
		timeout = time.Duration(float64(timeout) * primaryReadTimeShare)
	}
	res, requestedAt, sent, err := ss.send(t.conn, st, t.required, r.Priority(), timeout)
	now := ss.entry.deps.Clock()
	requestFailed := err != nil
	t.group.Finished(t.conn.Server(), t.conn.Broken())
	t.recordPositionKnown(res, err)
	if requestFailed && !sent && !t.conn.Broken() {
		a.code, a.message, a.sentBack = result.CodeOf(err), result.Message(err), result.HasCause(err, pool.ErrSentBack)
		return a, (!t.onPrimary || ownerChanged(a.code)) && now.Before(deadline)
	}
	if t.onPrimary && (sent || t.conn.Broken()) && !ownerLost(err) {
		ss.entry.deps.Elector.RecordAnswer(r.Group(), t.conn.Server(), requestedAt, err == nil)
	}
	if requestFailed {
		if t.conn.Broken() {
			t.group.CloseIdleConns(t.conn.Server())
		}
		a.code, a.message = result.ConnectionLost, err.Error()
		if st.writes && sent {
			return a, false
		}
		a.code = result.ConnectFailed
		return a, now.Before(deadline)
	}
	stillPrimary := t.onPrimary && t.primaryUse.Valid()
	t.group.RecordPosition(t.conn.Server(), requestedAt, res.Point(), stillPrimary)
	a.rows, a.signature, a.code, a.message = res.Rows(), res.Signature(), res.Code(), res.Message()
	switch {
	case res.Code() != result.OK:
		return a, ss.canRetry(res.Code(), st.writes) && now.Before(deadline)
	case st.writes && !stillPrimary:
		return answer{
			server: a.server, owner: a.owner, code: result.ConnectionLost,
			message: "the primary was replaced while the write ran, so its outcome is unknown",
		}, false
	case t.onPrimary && stillPrimary:
		ss.recordRequired(res.Point(), t.primaryUse.Version(), st.writes)
	}
	return a, false
}

// ownerChanged reports whether a statement failed before it was sent because the owner of its server does not answer or is
// stopping. It may be sent again, through another owner.
func ownerChanged(code result.Code) bool {
	return code == result.PeerUnreachable || code == result.ShuttingDown || code == result.NoServer
}

// ownerLost reports whether a request failed because the owner of its server did not reply, which says nothing about the server.
func ownerLost(err error) bool {
	code := result.CodeOf(err)
	return err != nil && (code == result.PeerUnreachable || code == result.AnswerLost)
}

// recordRequired records p as the position that later reads of the session must see, if the session wrote, or if the position
// recorded so far lies in the log of an earlier primary.
func (ss *session) recordRequired(p point.Point, leaderVersion uint64, wrote bool) {
	if wrote || (!ss.required.IsZero() && ss.leaderVersion != leaderVersion) {
		ss.required, ss.leaderVersion = p, leaderVersion
	}
}

// canRetry reports whether a statement that ended with code may be sent again. A failed read may, since it has no effect that
// could happen twice.
func (ss *session) canRetry(code result.Code, writes bool) bool {
	if result.Lookup(code).Outcome() == result.NotRun {
		return code != result.ProtocolError
	}
	return !writes
}

// send gives the connection the session's values, prepares the statement there if needed, and runs it. Sent reports whether the
// statement itself may have reached the server, no earlier than requestedAt.
func (ss *session) send(c pool.Session, st statement, required point.Point, priority int, timeout time.Duration,
) (r exec.Result, requestedAt time.Time, sent bool, err error) {
	deadline := ss.entry.deps.Clock().Add(timeout)
	requestedAt = ss.entry.deps.Clock()
	if err := c.SetSessionValues(timeout, ss.values); err != nil {
		return r, requestedAt, false, err
	}
	var op exec.Operation = exec.NewRun(st.id, st.text, required)
	if st.prepared {
		name, err := c.EnsurePrepared(deadline.Sub(ss.entry.deps.Clock()), st.shape, func(n int) string { return fmt.Sprint("p", n) })
		if err != nil {
			return r, requestedAt, false, err
		}
		op = exec.NewExecute(st.id, name, st.text, required)
	}
	requestedAt = ss.entry.deps.Clock()
	r, sent, err = c.Run(deadline.Sub(requestedAt), ss.queuePriority(priority), op)
	if err == nil && (r.Code() == result.NotFound || r.State() != query.Idle && ss.state != query.Open) {
		c.MarkBroken()
	}
	return r, requestedAt, sent, err
}

// queuePriority returns the priority of a statement in the queue for a slot of the server. Statements of a transaction come first,
// because a transaction holds a connection, and perhaps locks, until it ends.
func (ss *session) queuePriority(priority int) int {
	if ss.state == query.Open {
		return -1
	}
	return priority
}

// runInTransaction runs a statement in the open transaction.
func (ss *session) runInTransaction(st statement, now time.Time) answer {
	if st.writes && ss.tx.readOnly {
		return ss.failTransaction(errorAnswer(result.Unsupported, "the transaction is read-only"))
	}
	deadline := now.Add(ss.tx.route.Timeout() - answerReserve)
	if err := ss.pinServer(deadline); err != nil {
		return ss.failTransaction(answerFromError(err))
	}
	a := answer{server: ss.tx.conn.Server(), owner: ss.tx.conn.Owner()}
	loop := retry.NewLoop(slotBackoff, deadline.Add(-retryDelay))
	for n := 1; ; n++ {
		a.tries = n
		if ss.tx.onPrimary && !ss.tx.primaryUse.Valid() {
			a.code, a.message = result.RolledBack, "the primary is being replaced"
			return ss.failTransaction(a)
		}
		res, requestedAt, sent, err := ss.send(ss.tx.conn, st, point.Point{}, ss.tx.route.Priority(),
			deadline.Sub(ss.entry.deps.Clock()))
		if ss.tx.onPrimary && sent && !ownerLost(err) {
			ss.entry.deps.Elector.RecordAnswer(ss.tx.route.Group(), a.server, requestedAt, err == nil)
		}
		if err != nil {
			a.code, a.message = result.RolledBack, err.Error()
			return ss.failTransaction(a)
		}
		a.rows, a.signature, a.code, a.message = res.Rows(), res.Signature(), res.Code(), res.Message()
		switch {
		case res.Code() == result.OK:
			ss.tx.wrote = ss.tx.wrote || st.writes
			return a
		case res.Code() == result.Overloaded && res.State() == query.Open && ss.waitForSlot(&loop):
			continue
		}
		if result.Lookup(res.Code()).Outcome() == result.NotRun {
			a.code = result.RolledBack
		}
		return ss.failTransaction(a)
	}
}

// waitForSlot waits before the server of the open transaction, which was overloaded, is asked again. It reports whether the loop goes on.
func (ss *session) waitForSlot(l *retry.Loop) bool {
	d, ok := l.Next(ss.entry.deps.Clock(), retry.Jitter())
	if ok {
		every.Sleep(context.Background(), d)
	}
	return ok
}

// pinServer begins the transaction on a server and keeps the connection for it. It does nothing if the transaction has one.
func (ss *session) pinServer(deadline time.Time) error {
	if ss.tx.conn != nil {
		return nil
	}
	err := result.New(result.NoServer, "no server can take the transaction")
	var tried triedServers
	tries := newAttempts(deadline)
	for n, limit := 1, maxAttempts; n <= limit && ss.entry.deps.Clock().Before(deadline); n++ {
		r := ss.tx.route
		t, e := ss.acquireTarget(r, !ss.tx.readOnly, ss.tx.began, tried.all(), tries)
		if e != nil {
			return e
		}
		err = ss.beginOnServer(t, deadline)
		if err == nil {
			ss.tx.conn, ss.tx.group, ss.tx.primaryUse, ss.tx.onPrimary = t.conn, t.group, t.primaryUse, t.onPrimary
			return nil
		}
		code := result.CodeOf(err)
		switch {
		case result.HasCause(err, pool.ErrSentBack):
			tried.sentBack, limit = t.conn.Server(), limit+1
		case code == result.AgeNotMet:
			tried.failed = t.group.Replicas()
		default:
			tried.add(t.conn.Server())
		}
		t.group.Finished(t.conn.Server(), t.conn.Broken())
		t.release()
		if t.onPrimary && code == result.Overloaded {
			return err
		}
		if t.onPrimary {
			ss.waitForPrimaryChange(tries)
		}
	}
	return err
}

// beginOnServer begins the transaction on the server of t.
func (ss *session) beginOnServer(t target, deadline time.Time) error {
	timeout := ss.attemptTimeout(deadline, t.onPrimary)
	if err := t.conn.SetSessionValues(timeout, ss.values); err != nil {
		t.group.CloseIdleConns(t.conn.Server())
		return result.Wrap(result.ConnectFailed, err, "setting the session values on server %s", t.conn.Server())
	}
	requestedAt := ss.entry.deps.Clock()
	res, sent, err := t.conn.Do(timeout, exec.NewBegin(ss.tx.readOnly, t.required))
	t.recordPositionKnown(res, err)
	if t.onPrimary && (sent || t.conn.Broken()) && !ownerLost(err) {
		ss.entry.deps.Elector.RecordAnswer(ss.tx.route.Group(), t.conn.Server(), requestedAt, err == nil)
	}
	if err != nil && !sent && !t.conn.Broken() {
		return err
	}
	if err != nil {
		t.group.CloseIdleConns(t.conn.Server())
		return result.Wrap(result.ConnectFailed, err, "beginning the transaction on server %s", t.conn.Server())
	}
	t.group.RecordPosition(t.conn.Server(), requestedAt, res.Point(), t.onPrimary && t.primaryUse.Valid())
	if res.Code() != result.OK {
		if res.State() != query.Idle {
			t.conn.MarkBroken()
		}
		return result.New(res.Code(), "%s", res.Message())
	}
	if res.State() != query.Open {
		t.conn.MarkBroken()
		return result.New(result.NoServer, "server %s reports no open transaction after begin", t.conn.Server())
	}
	return nil
}

// commit commits the open transaction.
func (ss *session) commit(id string, st query.Commit, now time.Time) answer {
	if ss.state != query.Open {
		return errorAnswer(result.ProtocolError, "no transaction is open")
	}
	deadline := now.Add(ss.tx.route.Timeout() - answerReserve)
	if err := ss.pinServer(deadline); err != nil {
		ss.endTransaction()
		return errorAnswer(result.RolledBack, result.Message(err))
	}
	a := answer{server: ss.tx.conn.Server(), owner: ss.tx.conn.Owner()}
	loop := retry.NewLoop(slotBackoff, deadline.Add(-retryDelay))
	for n := 1; ; n++ {
		a.tries = n
		if ss.tx.onPrimary && !ss.tx.primaryUse.Valid() {
			a.code, a.message = result.RolledBack, "the primary is being replaced"
			break
		}
		// Values may have been set after the transaction's last statement.
		if err := ss.tx.conn.SetSessionValues(deadline.Sub(ss.entry.deps.Clock()), ss.values); err != nil {
			a.code, a.message = result.RolledBack, err.Error()
			break
		}
		requestedAt := ss.entry.deps.Clock()
		res, sent, err := ss.tx.conn.Run(deadline.Sub(requestedAt), ss.queuePriority(ss.tx.route.Priority()),
			exec.NewCommit(id, st.Text()))
		if ss.tx.onPrimary && sent && !ownerLost(err) {
			ss.entry.deps.Elector.RecordAnswer(ss.tx.route.Group(), a.server, requestedAt, err == nil)
		}
		if err != nil {
			a.code, a.message = ss.unansweredCommitCode(sent), err.Error()
			break
		}
		if res.Code() == result.Overloaded && res.State() == query.Open && ss.waitForSlot(&loop) {
			continue
		}
		a = ss.commitAnswer(a, res, requestedAt)
		break
	}
	ss.endTransaction()
	return a
}

// unansweredCommitCode returns the code for a commit that got no answer. Its outcome is unknown only if it was sent and the
// transaction wrote something.
func (ss *session) unansweredCommitCode(sent bool) result.Code {
	if sent && ss.tx.wrote {
		return result.ConnectionLost
	}
	return result.RolledBack
}

// commitAnswer returns the answer to the caller for a server's answer to a commit. It releases the connection if the transaction
// has ended on the server.
func (ss *session) commitAnswer(a answer, res exec.Result, requestedAt time.Time) answer {
	a.rows, a.signature, a.code, a.message = res.Rows(), res.Signature(), res.Code(), res.Message()
	stillPrimary := ss.tx.onPrimary && ss.tx.primaryUse.Valid()
	ss.tx.group.RecordPosition(a.server, requestedAt, res.Point(), stillPrimary)
	switch {
	case res.Code() != result.OK:
		if res.State() != query.Idle {
			return a
		}
		ss.releaseWithoutRollback()
		return a
	case ss.tx.wrote && !stillPrimary:
		a = answer{
			server: a.server, owner: a.owner, code: result.ConnectionLost,
			message: "the primary was replaced during the commit, so its outcome is unknown",
		}
	case stillPrimary:
		ss.recordRequired(res.Point(), ss.tx.primaryUse.Version(), ss.tx.wrote)
	}
	ss.releaseWithoutRollback()
	return a
}

// releaseWithoutRollback gives back the connection of a transaction that has ended on the server.
func (ss *session) releaseWithoutRollback() {
	ss.tx.group.Finished(ss.tx.conn.Server(), false)
	ss.tx.conn.Release()
	if ss.tx.onPrimary {
		ss.tx.primaryUse.Release()
	}
	ss.tx.conn, ss.tx.onPrimary = nil, false
}
