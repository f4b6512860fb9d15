package remote

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/drain"
	"verbenagate/core/event"
	"verbenagate/core/exec"
	"verbenagate/core/point"
	"verbenagate/core/query"
	"verbenagate/core/result"
	"verbenagate/io/bounds"
	"verbenagate/io/every"
	"verbenagate/io/link"
	"verbenagate/io/logs"
	"verbenagate/io/pool"
)

const (
	// minTimeLeft is the time that a forwarded request must have left to be worth starting.
	minTimeLeft = 2 * time.Millisecond
	// idleCheckInterval is how often the owner checks that the VMs of idle transactions still answer, and idleCheckTimeout the time
	// for the answer. A VM that has lost power does not close its connections.
	idleCheckInterval = time.Second
	idleCheckTimeout  = time.Second
	// callCopies and replyCopies are how often the bytes of a long request and of a long answer are held at the same time.
	callCopies  = 3
	replyCopies = 3
	// freeBytes of a request and of an answer are not counted.
	freeBytes = 8 << 10
	// settleInterval is how often a VM that has become the owner of a server asks it how many connections it has, until the VM may open
	// all connections of the owner. settleTimeout is the time for the answer.
	settleInterval = 300 * time.Millisecond
	settleTimeout  = 250 * time.Millisecond
)

// Elector tells which primary is certain, and learns from answers of servers.
type Elector interface {
	// RecordPosition records the log position in a server's answer to a request sent at sent.
	RecordPosition(pg *pool.Group, group, server string, sent time.Time, p point.Point)
	// RecordAnswer records whether the server answered a request sent at sent.
	RecordAnswer(group, server string, sent time.Time, ok bool)
}

// Owner runs the forwarded statements of other VMs. It is safe for concurrent use.
type Owner struct {
	ctx       context.Context
	pools     *pool.Set
	elector   Elector
	positions *positions
	clock     func() time.Time
	log       logs.Logger
	account   *bounds.Account // nil if bytes are not counted

	mu           sync.Mutex
	stop         drain.Plan
	running      int
	transactions map[*link.Inbound]map[uint64]*transaction // by the connection of the VM that began them
	background   sync.WaitGroup
}

// transaction holds the connection to a server of a forwarded transaction. Its mu is held while a request runs.
type transaction struct {
	mu       sync.Mutex
	conn     *pool.Conn // nil once it has been given back
	lastUsed time.Time
}

// NewOwner returns an owner of the servers in pools. It ends when ctx ends.
func NewOwner(ctx context.Context, pools *pool.Set, elector Elector, caller *Caller, clock func() time.Time, log logs.Logger) *Owner {
	o := &Owner{
		ctx: ctx, pools: pools, elector: elector, clock: clock, log: log, transactions: make(map[*link.Inbound]map[uint64]*transaction),
	}
	o.positions = newPositions(pools, elector, caller, clock)
	o.background.Go(func() { every.Interval(ctx, idleCheckInterval, func() { o.checkIdle(ctx) }) })
	o.background.Go(func() { every.Interval(ctx, settleInterval, o.settle) })
	return o
}

// SetAccount makes the owner count the bytes of long requests and answers of other VMs. It must be called before Register.
func (o *Owner) SetAccount(a *bounds.Account) { o.account = a }

// holdBytes counts the bytes of a long request until its reply has been sent.
func (o *Owner) holdBytes(c link.Call) (*bounds.Holding, error) {
	if o.account == nil {
		return nil, nil
	}
	h := o.account.Open("another VM", nil)
	c.AfterReply(h.Close)
	if c.Size() <= freeBytes {
		return h, nil
	}
	return h, h.GrowAnswer(callCopies * c.Size())
}

// checkReply replaces a reply that is too long to be sent, or for which there is no room, by an error.
func checkReply(r runReply, h *bounds.Holding) runReply {
	size := 0
	for _, row := range r.Rows {
		size += len(row)
	}
	err := error(nil)
	switch {
	case size > link.MaxReply:
		err = result.New(result.AnswerLost, "the answer of %d bytes is too long to be forwarded", size)
	case size > freeBytes && h != nil:
		if h.GrowAnswer(replyCopies*size) != nil {
			err = result.New(result.AnswerLost, "this VM has no memory for an answer of %d bytes", size)
		}
	}
	if err != nil {
		return errorReply(err, true, false)
	}
	return r
}

// Register makes the server s pass the calls of other VMs to the owner.
func (o *Owner) Register(s *link.Server) {
	s.Handle(link.Run, func(ctx context.Context, from *link.Inbound, c link.Call) (any, error) {
		var q runCall
		if err := c.Decode(&q); err != nil {
			return nil, err
		}
		if q.Timeout -= c.Age(); q.Timeout < minTimeLeft {
			// The calling VM no longer waits, for instance since this VM was suspended.
			return errorReply(result.New(result.DeadlineTooClose, "the request is %s old", c.Age()), false, false), nil
		}
		if err := o.begin(from, q); err != nil {
			return errorReply(err, false, false), nil
		}
		defer o.end()
		h, err := o.holdBytes(c)
		if err != nil {
			return errorReply(err, false, false), nil
		}
		reply := checkReply(o.run(ctx, from, q), h)
		reply.Load = o.load(q)
		if reply.Error != 0 && !reply.SentBack {
			o.log.Event(event.ForwardFailed, zap.String("id", q.ID), zap.String("server", q.Server),
				zap.String("result", result.Lookup(reply.Error).Name()), zap.String("message", reply.Message),
				zap.Bool("sent", reply.Sent), zap.Duration("age", c.Age()))
		}
		return reply, nil
	})
	s.Handle(link.Release, func(_ context.Context, from *link.Inbound, c link.Call) (any, error) {
		var q releaseCall
		if err := c.Decode(&q); err != nil {
			return nil, err
		}
		o.release(from, q.Session)
		return struct{}{}, nil
	})
	s.Handle(link.Position, func(_ context.Context, _ *link.Inbound, c link.Call) (any, error) {
		var q positionCall
		if err := c.Decode(&q); err != nil {
			return nil, err
		}
		return o.positions.answer(q.Group), nil
	})
}

// Wait waits until the owner's goroutines have ended. Call it when the context passed to NewOwner has ended.
func (o *Owner) Wait() {
	o.background.Wait()
	o.positions.refreshes.Wait()
}

// Stop makes the owner refuse new work, as not run, so that the other VMs turn to the next owner. Open transactions go on until the plan
// ends them.
func (o *Owner) Stop(p drain.Plan) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stop = p
}

// Drain waits until no request runs and no transaction is open, for at most limit. It returns the number of open transactions.
func (o *Owner) Drain(limit time.Duration) int {
	for end := o.clock().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		o.mu.Lock()
		running, open := o.running, 0
		for _, all := range o.transactions {
			open += len(all)
		}
		o.mu.Unlock()
		if running+open == 0 || !o.clock().Before(end) {
			return open
		}
	}
}

// begin registers a request, or returns why it is refused: the owner is stopping, and the request belongs to no open transaction or the
// transaction has had its time.
func (o *Owner) begin(from *link.Inbound, q runCall) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stop.Began() {
		_, open := o.transactions[from][q.Session]
		if !open {
			return result.New(result.ShuttingDown, "this VM is stopping")
		}
		if o.stop.EndsTransactions(o.clock()) && !q.Commits && q.Kind != kindRollback {
			return result.New(result.RolledBack, "the VM that runs the transaction is stopping")
		}
	}
	o.running++
	return nil
}

func (o *Owner) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running--
}

// load returns the load of the server of a request whose answer is ready, nil if it is not known here. Within a transaction the
// calling VM has no server to choose.
func (o *Owner) load(q runCall) *load {
	g, ok := o.pools.Group(q.Group)
	if !ok || q.Session != 0 && q.Kind != kindBegin {
		return nil
	}
	return newLoad(g.Load(q.Server, q.Place))
}

// run runs a request on its server.
func (o *Owner) run(ctx context.Context, from *link.Inbound, q runCall) runReply {
	deadline := o.clock().Add(q.Timeout)
	g, ok := o.pools.Group(q.Group)
	if !ok {
		return errorReply(result.New(result.NoServer, "server group %s is not known to this VM", q.Group), false, false)
	}
	if q.Session != 0 && q.Kind != kindBegin {
		return o.runInTransaction(g, from, q, deadline)
	}
	p, ok := g.Pool(q.Server)
	if !ok {
		return errorReply(result.New(result.NoServer, "server %s is not registered at this VM", q.Server), false, false)
	}
	if q.SendBackAt > 0 {
		if ahead := p.Ahead(q.Priority, q.AnswerWithin); ahead >= q.SendBackAt {
			reply := errorReply(result.New(result.Overloaded, "%d statements are ahead at server %s", ahead, q.Server), false, false)
			reply.SentBack = true
			return reply
		}
	}
	after := q.after()
	if q.MaxAge > 0 {
		required, err := o.positions.required(ctx, g, q.MaxAge, deadline)
		if err != nil {
			return errorReply(err, false, false)
		}
		after = after.Max(required)
	}
	requestedAt := o.clock()
	c, err := p.Acquire(pool.AcquireRequest{
		Timeout: deadline.Sub(requestedAt), AnswerWithin: q.AnswerWithin, Priority: q.Priority, SessionValues: q.Values,
		Workspace: q.Workspace,
	})
	if err != nil {
		failed := result.CodeOf(err) == result.ConnectFailed
		if failed {
			o.elector.RecordAnswer(q.Group, q.Server, requestedAt, false)
		}
		return errorReply(err, false, failed)
	}
	if q.MaxAge > 0 && !g.MayRead(q.Server) {
		c.Release()
		return errorReply(result.New(result.NoServer, "server %s is leaving", q.Server), false, false)
	}
	g.RecordOrigin(q.Server, q.Place)
	reply := o.runOn(g, c, q, after, deadline)
	if q.Kind == kindBegin && reply.Error == 0 && reply.State == query.Open {
		o.hold(from, q.Session, c)
		return reply
	}
	if reply.Error == 0 && reply.State != query.Idle {
		c.MarkBroken()
	}
	c.Release()
	return reply
}

// hold keeps the connection of a transaction that has begun, until the transaction or the connection of its VM ends.
func (o *Owner) hold(from *link.Inbound, id uint64, c *pool.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.transactions[from] == nil {
		o.transactions[from] = make(map[uint64]*transaction)
		from.OnClose(func() { o.releaseAll(from) })
	}
	o.transactions[from][id] = &transaction{conn: c, lastUsed: o.clock()}
}

// runInTransaction runs a request of an open transaction.
func (o *Owner) runInTransaction(g *pool.Group, from *link.Inbound, q runCall, deadline time.Time) runReply {
	o.mu.Lock()
	t, ok := o.transactions[from][q.Session]
	o.mu.Unlock()
	if ok {
		t.mu.Lock()
		defer t.mu.Unlock()
	}
	if !ok || t.conn == nil {
		return errorReply(result.New(result.RolledBack, "the transaction is not open at this VM any more"), false, false)
	}
	reply := o.runOn(g, t.conn, q, q.after(), deadline)
	t.lastUsed = o.clock()
	if reply.Error != 0 || reply.State == query.Idle {
		t.giveBack(reply.Error != 0)
		o.mu.Lock()
		delete(o.transactions[from], q.Session)
		o.mu.Unlock()
	}
	return reply
}

// giveBack gives the connection back. A broken one is closed, which rolls the transaction back. The caller holds mu.
func (t *transaction) giveBack(broken bool) {
	if t.conn == nil {
		return
	}
	if broken {
		t.conn.MarkBroken()
	}
	t.conn.Release()
	t.conn = nil
}

// release rolls back a transaction that is still open by closing its connection to the server.
func (o *Owner) release(from *link.Inbound, id uint64) {
	o.mu.Lock()
	t, ok := o.transactions[from][id]
	delete(o.transactions[from], id)
	o.mu.Unlock()
	if ok {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.giveBack(true)
	}
}

// releaseAll rolls back the open transactions of a VM whose connection has ended.
func (o *Owner) releaseAll(from *link.Inbound) {
	o.mu.Lock()
	open := o.transactions[from]
	delete(o.transactions, from)
	o.mu.Unlock()
	for _, t := range open {
		t.mu.Lock()
		t.giveBack(true)
		t.mu.Unlock()
	}
}

// checkIdle checks the connections of VMs with a transaction that has been idle for idleCheckInterval.
func (o *Owner) checkIdle(ctx context.Context) {
	idle := make(map[*link.Inbound]bool)
	now := o.clock()
	o.mu.Lock()
	for from, open := range o.transactions {
		for _, t := range open {
			if t.mu.TryLock() {
				idle[from] = idle[from] || now.Sub(t.lastUsed) >= idleCheckInterval
				t.mu.Unlock()
			}
		}
	}
	o.mu.Unlock()
	for from, check := range idle {
		if !check {
			continue
		}
		o.background.Go(func() { from.CheckAlive(ctx, idleCheckTimeout) })
	}
}

// settle asks the servers of which this VM has become the owner how many connections they have. The pools learn the answers.
func (o *Owner) settle() {
	if !o.pools.Settling() {
		return
	}
	var calls sync.WaitGroup
	for _, g := range o.pools.Groups() {
		for _, id := range g.Unsettled() {
			calls.Go(func() { _, _, _ = g.Status(id, settleTimeout) })
		}
	}
	calls.Wait()
}

// runOn runs a request on a connection to its server.
func (o *Owner) runOn(g *pool.Group, c *pool.Conn, q runCall, after point.Point, deadline time.Time) runReply {
	requestedAt := o.clock()
	left := func() time.Duration { return deadline.Sub(o.clock()) }
	if q.Values != nil || q.Session == 0 || q.Kind == kindBegin {
		if err := c.SetSessionValues(left(), q.Values); err != nil {
			return errorReply(err, false, true)
		}
	}
	var r exec.Result
	var sent bool
	var err error
	switch q.Kind {
	case kindRun:
		r, sent, err = c.Run(left(), q.Priority, exec.NewRun(q.ID, q.Text, after))
	case kindExecute:
		var name string
		if name, err = c.EnsurePrepared(left(), query.NewShape(q.Writes, q.Shape), statementName); err != nil {
			return errorReply(err, false, true)
		}
		r, sent, err = c.Run(left(), q.Priority, exec.NewExecute(q.ID, name, q.Text, after))
	case kindBegin:
		r, sent, err = c.Do(left(), exec.NewBegin(q.ReadOnly, after))
	case kindRollback:
		r, sent, err = c.Do(left(), exec.Rollback{})
	default:
		return errorReply(result.New(result.Unsupported, "unknown kind of request %d", q.Kind), false, false)
	}
	if sent || err == nil {
		o.elector.RecordAnswer(q.Group, q.Server, requestedAt, err == nil)
	}
	if err != nil {
		if c.Broken() {
			g.CloseIdleConns(q.Server)
		}
		return errorReply(err, sent, c.Broken())
	}
	if r.Code() == result.NotFound {
		c.MarkBroken() // The server has lost the prepared statement.
	}
	o.elector.RecordPosition(g, q.Group, q.Server, requestedAt, r.Point())
	return newRunReply(r)
}

// statementName returns the name of the n-th statement that is prepared on a connection.
func statementName(n int) string { return fmt.Sprint("p", n) }
