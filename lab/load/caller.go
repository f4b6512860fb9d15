package load

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// requestTimeout is how long a caller waits for one answer.
	requestTimeout = 60 * time.Second
	// reconnectPause is the pause before a caller whose connection failed tries another VM.
	reconnectPause = 20 * time.Millisecond
	// resubmissions bounds how often a caller repeats a payment whose outcome it was not told.
	resubmissions = 50
)

// Schema creates the tables that the load uses. The reference of a payment has no unique index, so that a payment that
// took effect twice shows.
const Schema = `
CREATE TABLE payment(ref TEXT, member INTEGER, seq INTEGER);
CREATE INDEX payment_member ON payment(member, seq);
CREATE INDEX payment_ref ON payment(ref);
CREATE TABLE half(ref TEXT, side INTEGER);
CREATE INDEX half_ref ON half(ref);
CREATE TABLE tick(id INTEGER PRIMARY KEY, n INTEGER);
INSERT INTO tick VALUES (1, 0);
`

// Statements of the load. PaySQL and TickSQL are written as a service declares them.
const (
	ReadSQL      = `SELECT coalesce(max(seq), 0) FROM payment WHERE member = $1`
	PaySQL       = `INSERT INTO payment(ref, member, seq) VALUES ($1, $2, $3)`
	HalfSQL      = `INSERT INTO half(ref, side) VALUES ($1, $2)`
	BrowseSQL    = `SELECT n FROM tick WHERE id = 1`
	TickSQL      = `UPDATE tick SET n = $1 WHERE id = 1`
	StragglerSQL = `SELECT pg_sleep($1), count(*) FROM payment`
)

// Target tells callers where to connect.
type Target struct {
	// VMs are the addresses of the VMs' caller listeners.
	VMs []string
	// Database is the service's name.
	Database string
	// DatabaseOf replaces Database if callers use different services.
	DatabaseOf func(caller int) string
	// User returns the user name of a caller.
	User     func(caller int) string
	Password string
}

// caller is one terminal: it has one connection and one request at a time.
type caller struct {
	number int
	target Target
	record *Record
	ticks  *ticker
	begin  time.Time
	sleep  time.Duration
	maxAge time.Duration
	lag    time.Duration

	requests chan Request
	started  bool

	vm    int
	conn  *pgconn.PgConn
	seq   int
	paid  int64
	wrote time.Time // the end of the last write that may have taken effect
}

func (c *caller) close() {
	if c.conn != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = c.conn.Close(ctx)
		c.conn = nil
	}
}

// connect opens a connection through the present VM, and tries the next VMs if that fails.
func (c *caller) connect(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	c.conn = nil
	database := c.target.Database
	if c.target.DatabaseOf != nil {
		database = c.target.DatabaseOf(c.number)
	}
	var last error
	for range 3 * len(c.target.VMs) {
		cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&connect_timeout=5",
			c.target.User(c.number), c.target.Password, c.target.VMs[c.vm], database))
		if err != nil {
			return err
		}
		if c.conn, last = pgconn.ConnectConfig(ctx, cfg); last == nil {
			return nil
		}
		c.vm = (c.vm + 1) % len(c.target.VMs)
		if !Pause(ctx, reconnectPause) {
			break
		}
	}
	return fmt.Errorf("no VM accepted caller %d: %w", c.number, last)
}

// Pause waits for d and reports whether it did so before ctx ended.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// run carries out one request and records its end.
func (c *caller) run(ctx context.Context, q Request) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if q.roam && len(c.target.VMs) > 1 {
		c.close()
		c.vm = q.VM(c.vm, len(c.target.VMs))
		c.record.roamed()
	}
	if c.conn != nil && ended(c.conn.Conn()) {
		// The VM ended the connection between two requests, as a stopping VM does; a terminal connects again.
		c.close()
		c.vm = (c.vm + 1) % len(c.target.VMs)
		c.record.moved()
	}
	if err := c.connect(ctx); err != nil {
		c.record.failure(err.Error())
		c.record.done(q, time.Since(c.begin), NotRun)
		return
	}
	c.record.readable(q.kind, c.eligible(q.kind))
	var o Outcome
	switch q.kind {
	case Read:
		o = c.read(ctx)
	case Pay:
		o = c.pay(ctx)
	case Transfer:
		o = c.transfer(ctx)
	case Browse:
		o = c.browse(ctx)
	case Straggler:
		_, o = c.exec(ctx, StragglerSQL, strconv.FormatFloat(c.sleep.Seconds(), 'f', 3, 64))
	}
	c.record.done(q, time.Since(c.begin), o)
}

// eligible reports whether an oracle that knows the caller's last write and the lag would send the request to a replica.
func (c *caller) eligible(k Kind) bool {
	return time.Since(c.wrote) >= c.lag || k == Browse && c.maxAge > c.lag
}

// exec runs a statement and returns the first column of the first row as a number.
func (c *caller) exec(ctx context.Context, sql string, args ...string) (int64, Outcome) {
	params := make([][]byte, len(args))
	for i, a := range args {
		params[i] = []byte(a)
	}
	res := c.conn.ExecParams(ctx, sql, params, nil, nil, nil).Read()
	if res.Err != nil {
		return 0, c.failed(res.Err)
	}
	if len(res.Rows) == 0 {
		return 0, Done
	}
	n, _ := strconv.ParseInt(string(res.Rows[0][0]), 10, 64)
	return n, Done
}

func (c *caller) failed(err error) Outcome {
	c.record.failure(err.Error())
	return OutcomeOf(err)
}

// OutcomeOf classifies an error by its SQLSTATE, as a caller that knows PostgreSQL alone would.
func OutcomeOf(err error) Outcome {
	var pg *pgconn.PgError
	if err == nil {
		return Done
	}
	if !errors.As(err, &pg) {
		return Unknown
	}
	return outcomeOf(pg.Code)
}

func outcomeOf(sqlState string) Outcome {
	switch sqlState {
	case "08007", "XX000":
		return Unknown
	case "40001", "57P03", "57P01", "08001", "53000", "53300", "53400", "57014", "0A000":
		return NotRun
	}
	return Failed
}

func (c *caller) read(ctx context.Context) Outcome {
	want := c.paid
	got, o := c.exec(ctx, ReadSQL, strconv.Itoa(c.number))
	if o == Done {
		c.record.Compared(Read, c.number, want, got)
	}
	return o
}

// pay repeats a payment until the caller knows its outcome. The service declares the payment, so that a repetition
// returns the first result. That a repetition did not run says nothing of the attempt before it.
func (c *caller) pay(ctx context.Context) Outcome {
	c.seq++
	p := NewPayment(PaymentRef(c.number, int64(c.seq)), Pay, Unknown)
	uncertain := false
	first := time.Since(c.begin)
	last := first
	for range resubmissions {
		last = time.Since(c.begin)
		_, p.outcome = c.exec(ctx, PaySQL, p.ref, strconv.Itoa(c.number), strconv.Itoa(c.seq))
		uncertain = uncertain || p.outcome == Unknown
		if p.outcome == Done || !uncertain || ctx.Err() != nil {
			break
		}
		if !Pause(ctx, reconnectPause) || c.connect(ctx) != nil {
			break
		}
	}
	if uncertain && p.outcome != Done {
		p.outcome = Unknown
	}
	if p.outcome == Done {
		c.paid = int64(c.seq)
	}
	c.record.Paid(p.At(first, last, time.Since(c.begin)))
	c.written(p.outcome)
	return p.outcome
}

func (c *caller) written(o Outcome) {
	if o == Done || o == Unknown {
		c.wrote = time.Now()
	}
}

// transfer writes two rows in one transaction; its commit may end with an unknown outcome.
func (c *caller) transfer(ctx context.Context) Outcome {
	c.seq++
	p := NewPayment(fmt.Sprintf("t%d-%d", c.number, c.seq), Transfer, Unknown)
	sent := time.Since(c.begin)
	p.outcome = c.transaction(ctx, p.ref)
	c.record.Paid(p.At(sent, sent, time.Since(c.begin)))
	c.written(p.outcome)
	return p.outcome
}

func (c *caller) transaction(ctx context.Context, ref string) Outcome {
	for _, s := range [][]string{{"BEGIN"}, {HalfSQL, ref, "1"}, {HalfSQL, ref, "2"}} {
		if _, o := c.exec(ctx, s[0], s[1:]...); o != Done {
			// Nothing was committed, and a connection that is not in a known state is given up.
			c.close()
			return NotRun
		}
	}
	_, o := c.exec(ctx, "COMMIT")
	if o != Done {
		c.close()
	}
	return o
}

func (c *caller) browse(ctx context.Context) Outcome {
	want := c.ticks.before(time.Now().Add(-c.maxAge))
	got, o := c.exec(ctx, BrowseSQL)
	if o == Done {
		c.record.Compared(Browse, c.number, want, got)
	}
	return o
}

// ticker remembers when counter values were acknowledged, as the measure of the age of data.
type ticker struct {
	mu    sync.Mutex
	acked []time.Time
}

func (t *ticker) add(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acked = append(t.acked, at)
}

// before returns the last counter value that was acknowledged before at.
func (t *ticker) before(at time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.acked)
	for n > 0 && t.acked[n-1].After(at) {
		n--
	}
	return int64(n)
}
