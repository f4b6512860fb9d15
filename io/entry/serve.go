package entry

import (
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
	"verbenagate/core/route"
	"verbenagate/io/elect"
	"verbenagate/io/pool"
)

const (
	// reserve is kept of a statement's time to tell the caller of its end.
	reserve = 20 * time.Millisecond
	// retryPause lies between tries while no server can take a statement.
	retryPause = 15 * time.Millisecond
	// rollbackLimit bounds the rollback of a transaction whose caller has ended it.
	rollbackLimit = 500 * time.Millisecond
	// firstShare is the share of a read's time that its first server gets, so that a lost answer leaves time for a second.
	firstShare = 0.6
	// primaryShare is that of a read on the primary, where a second try can only use another connection.
	primaryShare = 0.9
	// mostServers bounds the servers that a statement is sent to.
	mostServers = 4
)

// statement is a read or a write of a caller.
type statement struct {
	id       string
	text     string // for a prepared statement its arguments
	writes   bool
	prepared bool
	shape    query.Shape
}

// target is a server chosen for a statement or a transaction.
type target struct {
	group   *pool.Group
	server  string
	conn    *pool.Conn
	use     elect.Use
	primary bool
	after   point.Point
}

// release gives the connection and the right to use the primary back.
func (t target) release() {
	t.conn.Release()
	if t.primary {
		t.use.End()
	}
}

// release gives back what a transaction holds; an open one is rolled back.
func release(t tx) {
	if t.conn == nil {
		return
	}
	if !t.conn.Broken() {
		r, _, err := t.conn.Do(rollbackLimit, exec.Rollback{})
		if err != nil || r.State() != query.Idle {
			t.conn.Break()
		}
	}
	t.group.Finished(t.conn.Server(), false)
	t.conn.Release()
	if t.primary {
		t.use.End()
	}
}

// statement runs a read or a write, inside the open transaction if there is one.
func (ss *session) statement(st statement, now time.Time) answer {
	if ss.state == query.Open {
		return ss.inside(st, now)
	}
	r, known := ss.s.p.View().Config().Route(ss.database)
	if !known {
		return failed(result.UnknownService, "no database "+ss.database)
	}
	end := now.Add(r.Timeout() - reserve)
	a := failed(result.NoServer, "no server can take the statement")
	var tried []string
	for n := 1; n <= mostServers; n++ {
		t, err := ss.acquire(r, st.writes, now, end, tried)
		if err != nil {
			if a.tries == 0 {
				a = failedWith(err)
			}
			return a
		}
		var again bool
		a, again = ss.once(t, r, st, end)
		a.tries = n
		if !again {
			return a
		}
		ss.s.p.Log.Event(event.RouteRetry, zap.String("id", st.id), zap.String("server", a.server), zap.String("message", a.message))
		if t.primary {
			ss.pause(end)
		} else {
			tried = append(tried, a.server)
		}
	}
	return a
}

// pause waits a moment for a change of the primary.
func (ss *session) pause(end time.Time) {
	t := time.NewTimer(min(retryPause, max(end.Sub(ss.s.p.Clock()), 0)))
	defer t.Stop()
	select {
	case <-ss.s.p.Elector.Changed():
	case <-t.C:
	}
}

// acquire chooses a server and obtains a connection to it, by end.
func (ss *session) acquire(r layout.Route, writes bool, began, end time.Time, tried []string) (target, error) {
	err := result.New(result.NoServer, "no server of %s can take the statement", r.Group())
	for {
		now := ss.s.p.Clock()
		if !now.Before(end) {
			return target{}, err
		}
		t, e := ss.try(r, writes, began, end, tried)
		if e == nil {
			return t, nil
		}
		err = e
		switch code := result.CodeOf(e); {
		case code == result.StoreUnavailable, code == result.Overloaded && t.primary:
			return target{}, err
		case code == result.Overloaded:
			tried = append(slices.Clone(tried), t.server)
			continue
		}
		tried = nil
		ss.pause(end)
	}
}

// try makes one attempt to obtain a connection.
func (ss *session) try(r layout.Route, writes bool, began, end time.Time, tried []string) (target, error) {
	g, known := ss.s.p.Groups.Group(r.Group())
	if !known {
		return target{}, result.New(result.NoServer, "no servers of %s are known", r.Group())
	}
	t := target{group: g}
	id := ""
	if !writes {
		id, t.after = ss.place(g, r, began, tried)
	}
	use, usable := ss.s.p.Elector.Use(r.Group())
	if id == "" || (usable && id == use.Server()) {
		if !usable {
			return target{}, ss.noPrimary(r)
		}
		if id == "" {
			g.Started(use.Server())
		}
		t.use, t.primary, t.after, id = use, true, point.Point{}, use.Server()
	} else if usable {
		use.End()
	}
	t.server = id
	p, ok := g.Pool(id)
	err := result.New(result.NoServer, "server %s is gone", id)
	if ok {
		asked := ss.s.p.Clock()
		t.conn, err = p.Acquire(pool.Want{
			Limit: ss.share(end, t.primary), Patience: patience(r, end.Sub(asked)), Priority: r.Priority(), Values: ss.values,
		})
		if err == nil {
			return t, nil
		}
		if code := result.CodeOf(err); code == result.ConnectFailed {
			ss.s.p.Elector.Answered(r.Group(), id, asked, false)
		}
	}
	code := result.CodeOf(err)
	g.Finished(id, code != result.QueueFull && code != result.Overloaded)
	if t.primary {
		t.use.End()
	}
	return t, err
}

// patience returns how much longer a caller can use to wait when left of the statement's time is left: an answer after the latency
// aimed at is worth little.
func patience(r layout.Route, left time.Duration) time.Duration {
	if r.TargetLatency() <= 0 {
		return left
	}
	passed := r.Timeout() - reserve - left
	return min(r.TargetLatency()-passed, left)
}

// noPrimary says why no primary can be used. On a VM that is cut off that lasts for long, so the caller is told at once and can go
// to another VM; a primary that is being replaced and the first lease of a VM are worth waiting for.
func (ss *session) noPrimary(r layout.Route) error {
	if ss.s.p.Elector.Cut() && !ss.s.p.Elector.Starting() {
		ss.leave = true
		return result.New(result.StoreUnavailable, "this VM is cut off from the store or the primary of %s", r.Group())
	}
	return result.New(result.NoServer, "the primary of %s cannot be reached or is being replaced", r.Group())
}

// share returns how long one server may take: the primary all the time that is left, since no other server can do its work.
func (ss *session) share(end time.Time, primary bool) time.Duration {
	left := end.Sub(ss.s.p.Clock())
	if primary {
		return left
	}
	return time.Duration(float64(left) * firstShare)
}

// place returns the server of a read and the position that it must have; "" if only the primary will do.
func (ss *session) place(g *pool.Group, r layout.Route, began time.Time, tried []string) (string, point.Point) {
	if r.Kind() == layout.Primary {
		return "", point.Point{}
	}
	required, known := g.Required(began, r.MaxAge())
	if !known {
		return "", point.Point{}
	}
	if !ss.required.IsZero() {
		if ss.version != ss.s.p.Elector.Version(r.Group()) {
			// The session's commit has a position of another leader's log. The primary tells the new position.
			return "", point.Point{}
		}
		required = required.Max(ss.required)
	}
	id, ok := g.Choose(route.NewAtLeast(required), tried)
	if !ok {
		return "", point.Point{}
	}
	return id, required
}

// once runs a statement outside a transaction on one server. Again says that it did not run and may run elsewhere.
func (ss *session) once(t target, r layout.Route, st statement, end time.Time) (a answer, again bool) {
	defer t.release()
	a = answer{server: t.conn.Server()}
	limit := ss.share(end, t.primary)
	if t.primary {
		a.leader = t.use.Version()
	}
	if !st.writes && t.primary {
		limit = time.Duration(float64(limit) * primaryShare)
	}
	res, asked, sent, err := ss.send(t.conn, st, t.after, r.Priority(), limit)
	now := ss.s.p.Clock()
	broken := err != nil
	t.group.Finished(t.conn.Server(), t.conn.Broken())
	if broken && !sent && !t.conn.Broken() {
		a.code, a.message = result.CodeOf(err), result.Message(err)
		return a, !t.primary && now.Before(end)
	}
	if t.primary && sent {
		ss.s.p.Elector.Answered(r.Group(), t.conn.Server(), asked, err == nil)
	}
	if broken {
		t.group.Suspect(t.conn.Server())
		a.code, a.message = result.ConnectionLost, err.Error()
		if st.writes && sent {
			return a, false
		}
		a.code = result.ConnectFailed
		return a, now.Before(end)
	}
	valid := t.primary && t.use.Valid()
	t.group.Learn(t.conn.Server(), asked, res.Point(), valid)
	a.rows, a.signature, a.code, a.message = res.Rows(), res.Signature(), res.Code(), res.Message()
	switch {
	case res.Code() != result.OK:
		return a, ss.repeatable(res.Code(), st.writes) && now.Before(end)
	case st.writes && !valid:
		return answer{server: a.server, code: result.ConnectionLost, message: "the primary was replaced meanwhile"}, false
	case t.primary && valid:
		ss.see(res.Point(), t.use.Version(), st.writes)
	}
	return a, false
}

// see notes what later reads of the session must see: the session's writes, and once that is asked for, the position in the
// log of a new leader.
func (ss *session) see(p point.Point, version uint64, wrote bool) {
	if wrote || (!ss.required.IsZero() && ss.version != version) {
		ss.required, ss.version = p, version
	}
}

// repeatable reports whether a refused statement may run again. A read that failed has no effect that could be doubled.
func (ss *session) repeatable(code result.Code, writes bool) bool {
	if result.Lookup(code).Outcome() == result.NotRun {
		return code != result.ProtocolError
	}
	return !writes
}

// send brings the connection to the session's state and passes the statement on. Sent says that the statement itself may
// have reached the server, at asked.
func (ss *session) send(c *pool.Conn, st statement, after point.Point, priority int, limit time.Duration,
) (r exec.Result, asked time.Time, sent bool, err error) {
	end := ss.s.p.Clock().Add(limit)
	asked = ss.s.p.Clock()
	if err := c.Adopt(limit, ss.values); err != nil {
		return r, asked, false, err
	}
	var op exec.Operation = exec.NewRun(st.id, st.text, after)
	if st.prepared {
		name, err := c.Prepared(end.Sub(ss.s.p.Clock()), st.shape, func(n int) string { return fmt.Sprint("p", n) })
		if err != nil {
			return r, asked, false, err
		}
		op = exec.NewExecute(st.id, name, st.text, after)
	}
	asked = ss.s.p.Clock()
	r, sent, err = c.Run(end.Sub(asked), ss.urgency(priority), op)
	if err == nil && (r.Code() == result.NotFound || r.State() != query.Idle && ss.state != query.Open) {
		c.Break()
	}
	return r, asked, sent, err
}

// urgency returns the priority of a statement among those that wait for a slot. A transaction holds a connection, and perhaps locks,
// until it ends, so its statements come first.
func (ss *session) urgency(priority int) int {
	if ss.state == query.Open {
		return -1
	}
	return priority
}

// inside runs a statement of the open transaction.
func (ss *session) inside(st statement, now time.Time) answer {
	if st.writes && ss.tx.readOnly {
		return ss.fail(failed(result.Unsupported, "the transaction is read-only"))
	}
	end := now.Add(ss.tx.route.Timeout() - reserve)
	if err := ss.pin(end); err != nil {
		return ss.fail(failedWith(err))
	}
	a := answer{server: ss.tx.conn.Server()}
	for n := 1; ; n++ {
		a.tries = n
		if ss.tx.primary && !ss.tx.use.Valid() {
			a.code, a.message = result.RolledBack, "the primary is being replaced"
			return ss.fail(a)
		}
		res, asked, sent, err := ss.send(ss.tx.conn, st, point.Point{}, ss.tx.route.Priority(), end.Sub(ss.s.p.Clock()))
		if ss.tx.primary && sent {
			ss.s.p.Elector.Answered(ss.tx.route.Group(), a.server, asked, err == nil)
		}
		if err != nil {
			a.code, a.message = result.RolledBack, err.Error()
			return ss.fail(a)
		}
		a.rows, a.signature, a.code, a.message = res.Rows(), res.Signature(), res.Code(), res.Message()
		switch {
		case res.Code() == result.OK:
			ss.tx.wrote = ss.tx.wrote || st.writes
			return a
		case res.Code() == result.Overloaded && res.State() == query.Open && ss.s.p.Clock().Add(retryPause).Before(end):
			time.Sleep(retryPause)
		default:
			if result.Lookup(res.Code()).Outcome() == result.NotRun {
				a.code = result.RolledBack
			}
			return ss.fail(a)
		}
	}
}

// pin gives the transaction a server connection, on which it begins there.
func (ss *session) pin(end time.Time) error {
	if ss.tx.conn != nil {
		return nil
	}
	err := result.New(result.NoServer, "no server can take the transaction")
	var tried []string
	for n := 1; n <= mostServers && ss.s.p.Clock().Before(end); n++ {
		r := ss.tx.route
		t, e := ss.acquire(r, !ss.tx.readOnly, ss.tx.began, end, tried)
		if e != nil {
			return e
		}
		err = ss.open(t, end)
		if err == nil {
			ss.tx.conn, ss.tx.group, ss.tx.use, ss.tx.primary = t.conn, t.group, t.use, t.primary
			return nil
		}
		tried = append(tried, t.conn.Server())
		t.group.Finished(t.conn.Server(), t.conn.Broken())
		t.release()
		if t.primary {
			ss.pause(end)
		}
	}
	return err
}

// open begins the transaction on the chosen server.
func (ss *session) open(t target, end time.Time) error {
	limit := ss.share(end, t.primary)
	if err := t.conn.Adopt(limit, ss.values); err != nil {
		t.group.Suspect(t.conn.Server())
		return result.Wrap(result.ConnectFailed, err, "setting the session's values on server %s", t.conn.Server())
	}
	asked := ss.s.p.Clock()
	res, _, err := t.conn.Do(limit, exec.NewBegin(ss.tx.readOnly, t.after))
	if t.primary {
		ss.s.p.Elector.Answered(ss.tx.route.Group(), t.conn.Server(), asked, err == nil)
	}
	if err != nil {
		t.group.Suspect(t.conn.Server())
		return result.Wrap(result.ConnectFailed, err, "beginning the transaction on server %s", t.conn.Server())
	}
	t.group.Learn(t.conn.Server(), asked, res.Point(), t.primary && t.use.Valid())
	if res.Code() != result.OK {
		if res.State() != query.Idle {
			t.conn.Break()
		}
		return result.New(res.Code(), "%s", res.Message())
	}
	if res.State() != query.Open {
		t.conn.Break()
		return result.New(result.NoServer, "server %s is not in a transaction after its start", t.conn.Server())
	}
	return nil
}

// commit ends the open transaction.
func (ss *session) commit(id string, st query.Commit, now time.Time) answer {
	if ss.state != query.Open {
		return failed(result.ProtocolError, "no transaction is open")
	}
	end := now.Add(ss.tx.route.Timeout() - reserve)
	if err := ss.pin(end); err != nil {
		ss.end()
		return failed(result.RolledBack, result.Message(err))
	}
	a := answer{server: ss.tx.conn.Server()}
	for n := 1; ; n++ {
		a.tries = n
		if ss.tx.primary && !ss.tx.use.Valid() {
			a.code, a.message = result.RolledBack, "the primary is being replaced"
			break
		}
		asked := ss.s.p.Clock()
		res, sent, err := ss.tx.conn.Run(end.Sub(asked), ss.urgency(ss.tx.route.Priority()),
			exec.NewRun(id, st.Text(), point.Point{}))
		if ss.tx.primary && sent {
			ss.s.p.Elector.Answered(ss.tx.route.Group(), a.server, asked, err == nil)
		}
		if err != nil {
			a.code, a.message = ss.lost(sent), err.Error()
			break
		}
		if res.Code() == result.Overloaded && res.State() == query.Open && ss.s.p.Clock().Add(retryPause).Before(end) {
			time.Sleep(retryPause)
			continue
		}
		a = ss.committed(a, res, asked)
		break
	}
	ss.end()
	return a
}

// lost returns the code for a commit without an answer: only one that wrote something can have had an effect.
func (ss *session) lost(sent bool) result.Code {
	if sent && ss.tx.wrote {
		return result.ConnectionLost
	}
	return result.RolledBack
}

// committed turns the server's answer to a commit into the caller's.
func (ss *session) committed(a answer, res exec.Result, asked time.Time) answer {
	a.rows, a.signature, a.code, a.message = res.Rows(), res.Signature(), res.Code(), res.Message()
	valid := ss.tx.primary && ss.tx.use.Valid()
	ss.tx.group.Learn(a.server, asked, res.Point(), valid)
	switch {
	case res.Code() != result.OK:
		if res.State() != query.Idle {
			return a
		}
		ss.idle()
		return a
	case ss.tx.wrote && !valid:
		a = answer{server: a.server, code: result.ConnectionLost, message: "the primary was replaced meanwhile"}
	case valid:
		ss.see(res.Point(), ss.tx.use.Version(), ss.tx.wrote)
	}
	ss.idle()
	return a
}

// idle gives the connection of an ended transaction back without a rollback.
func (ss *session) idle() {
	ss.tx.group.Finished(ss.tx.conn.Server(), false)
	ss.tx.conn.Release()
	if ss.tx.primary {
		ss.tx.use.End()
	}
	ss.tx.conn, ss.tx.primary = nil, false
}
