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
	// requestTimeout bounds the run of one request, including reconnecting and repeated attempts.
	requestTimeout = 60 * time.Second
	// reconnectPause is the wait between two attempts to connect or to submit a payment.
	reconnectPause = 20 * time.Millisecond
	// maxPayAttempts bounds how often a caller submits a payment whose outcome is unknown.
	maxPayAttempts = 50
)

// Schema creates the tables that the load uses. The reference of a payment has no unique index, so that a payment
// applied twice leaves two rows that an audit can find.
const Schema = `
CREATE TABLE payment(ref TEXT, member INTEGER, seq INTEGER);
CREATE INDEX payment_member ON payment(member, seq);
CREATE INDEX payment_ref ON payment(ref);
CREATE TABLE half(ref TEXT, side INTEGER);
CREATE INDEX half_ref ON half(ref);
CREATE TABLE tick(id INTEGER PRIMARY KEY, n INTEGER);
INSERT INTO tick VALUES (1, 0);
`

// Statements of the load. PaySQL and TickSQL must match the texts that the service declares.
const (
	ReadSQL      = `SELECT coalesce(max(seq), 0) FROM payment WHERE member = $1`
	PaySQL       = `INSERT INTO payment(ref, member, seq) VALUES ($1, $2, $3)`
	HalfSQL      = `INSERT INTO half(ref, side) VALUES ($1, $2)`
	BrowseSQL    = `SELECT n FROM tick WHERE id = 1`
	TickSQL      = `UPDATE tick SET n = $1 WHERE id = 1`
	StragglerSQL = `SELECT pg_sleep($1), count(*) FROM payment`
)

// Target is where and as whom callers connect.
type Target struct {
	// VMs are the addresses of the caller listeners of the VMs.
	VMs []string
	// Database is the service's name.
	Database string
	// DatabaseOf returns the name of a caller's service and takes precedence over Database; nil if all callers use one service.
	DatabaseOf func(caller int) string
	// User returns the user name of a caller.
	User     func(caller int) string
	Password string
}

// caller simulates one terminal, with one connection and one request at a time.
type caller struct {
	number        int
	target        Target
	record        *Record
	counterAcks   *counterAckLog
	loadStart     time.Time
	stragglerTime time.Duration
	maxAge        time.Duration
	replicaLag    time.Duration

	requests chan Request
	started  bool

	vm           int
	conn         *pgconn.PgConn
	seq          int
	lastPaidSeq  int64
	lastWriteEnd time.Time // when the last write that may have taken effect ended
}

func (c *caller) close() {
	if c.conn != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = c.conn.Close(ctx)
		c.conn = nil
	}
}

// connect opens a connection through the caller's current VM, or through the next VMs if that fails.
func (c *caller) connect(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	c.conn = nil
	database := c.target.Database
	if c.target.DatabaseOf != nil {
		database = c.target.DatabaseOf(c.number)
	}
	var lastErr error
	for range 3 * len(c.target.VMs) {
		cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&connect_timeout=5",
			c.target.User(c.number), c.target.Password, c.target.VMs[c.vm], database))
		if err != nil {
			return err
		}
		if c.conn, lastErr = pgconn.ConnectConfig(ctx, cfg); lastErr == nil {
			return nil
		}
		c.vm = (c.vm + 1) % len(c.target.VMs)
		if !Pause(ctx, reconnectPause) {
			break
		}
	}
	return fmt.Errorf("caller %d could not connect through any VM: %w", c.number, lastErr)
}

// Pause waits for d and returns true, or returns false as soon as ctx ends.
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

// runRequest runs one request and records its outcome and end.
func (c *caller) runRequest(ctx context.Context, q Request) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if q.roam && len(c.target.VMs) > 1 {
		c.close()
		c.vm = q.VM(c.vm, len(c.target.VMs))
		c.record.countRoam()
	}
	if c.conn != nil && endedByPeer(c.conn.Conn()) {
		// The VM closed the idle connection, as it does when it shuts down. Like a terminal, reconnect through another VM.
		c.close()
		c.vm = (c.vm + 1) % len(c.target.VMs)
		c.record.countMove()
	}
	if err := c.connect(ctx); err != nil {
		c.record.countError(err.Error())
		c.record.recordEnd(q, time.Since(c.loadStart), NotRun)
		return
	}
	c.record.countOracleRead(q.kind, c.replicaEligible(q.kind))
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
		_, o = c.exec(ctx, StragglerSQL, strconv.FormatFloat(c.stragglerTime.Seconds(), 'f', 3, 64))
	}
	c.record.recordEnd(q, time.Since(c.loadStart), o)
}

// replicaEligible reports whether an oracle could send the request to a replica. The oracle has exact knowledge of the
// caller's last write and of the replication lag.
func (c *caller) replicaEligible(k Kind) bool {
	return time.Since(c.lastWriteEnd) >= c.replicaLag || k == Browse && c.maxAge > c.replicaLag
}

// exec runs a statement and returns the first column of its first row as a number, or 0 without rows.
func (c *caller) exec(ctx context.Context, sql string, args ...string) (int64, Outcome) {
	params := make([][]byte, len(args))
	for i, a := range args {
		params[i] = []byte(a)
	}
	res := c.conn.ExecParams(ctx, sql, params, nil, nil, nil).Read()
	if res.Err != nil {
		return 0, c.recordError(res.Err)
	}
	if len(res.Rows) == 0 {
		return 0, Done
	}
	n, _ := strconv.ParseInt(string(res.Rows[0][0]), 10, 64)
	return n, Done
}

// recordError counts the error in the record and returns its outcome.
func (c *caller) recordError(err error) Outcome {
	c.record.countError(err.Error())
	return OutcomeOf(err)
}

// OutcomeOf classifies an error by its SQLSTATE alone, as a client without knowledge of verbenagate would. An error
// without a SQLSTATE is Unknown.
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
	want := c.lastPaidSeq
	got, o := c.exec(ctx, ReadSQL, strconv.Itoa(c.number))
	if o == Done {
		c.record.Compared(Read, c.number, want, got)
	}
	return o
}

// pay submits a payment until its outcome is known. The service declares the payment, so a repeated submission returns
// the result of the first. After an attempt with an unknown outcome, a repeated attempt that did not run leaves the
// payment's outcome unknown.
func (c *caller) pay(ctx context.Context) Outcome {
	c.seq++
	p := NewPayment(PaymentRef(c.number, int64(c.seq)), Pay, Unknown)
	mayHaveRun := false
	firstSent := time.Since(c.loadStart)
	lastSent := firstSent
	for range maxPayAttempts {
		lastSent = time.Since(c.loadStart)
		_, p.outcome = c.exec(ctx, PaySQL, p.ref, strconv.Itoa(c.number), strconv.Itoa(c.seq))
		mayHaveRun = mayHaveRun || p.outcome == Unknown
		if p.outcome == Done || !mayHaveRun || ctx.Err() != nil {
			break
		}
		if !Pause(ctx, reconnectPause) || c.connect(ctx) != nil {
			break
		}
	}
	if mayHaveRun && p.outcome != Done {
		p.outcome = Unknown
	}
	if p.outcome == Done {
		c.lastPaidSeq = int64(c.seq)
	}
	c.record.Paid(p.At(firstSent, lastSent, time.Since(c.loadStart)))
	c.recordWriteEnd(p.outcome)
	return p.outcome
}

// recordWriteEnd sets the time of the last write unless the write certainly had no effect.
func (c *caller) recordWriteEnd(o Outcome) {
	if o == Done || o == Unknown {
		c.lastWriteEnd = time.Now()
	}
}

// transfer writes two rows in one transaction. If the outcome of the commit is unknown, it does not retry.
func (c *caller) transfer(ctx context.Context) Outcome {
	c.seq++
	p := NewPayment(fmt.Sprintf("t%d-%d", c.number, c.seq), Transfer, Unknown)
	sent := time.Since(c.loadStart)
	p.outcome = c.runTransaction(ctx, p.ref)
	c.record.Paid(p.At(sent, sent, time.Since(c.loadStart)))
	c.recordWriteEnd(p.outcome)
	return p.outcome
}

func (c *caller) runTransaction(ctx context.Context, ref string) Outcome {
	for _, s := range [][]string{{"BEGIN"}, {HalfSQL, ref, "1"}, {HalfSQL, ref, "2"}} {
		if _, o := c.exec(ctx, s[0], s[1:]...); o != Done {
			// Nothing was committed. The transaction state of the connection is unknown, so it is closed.
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
	want := c.counterAcks.lastBefore(time.Now().Add(-c.maxAge))
	got, o := c.exec(ctx, BrowseSQL)
	if o == Done {
		c.record.Compared(Browse, c.number, want, got)
	}
	return o
}

// counterAckLog has the time at which each counter value was acknowledged, from which browses check the age of data.
type counterAckLog struct {
	mu    sync.Mutex
	times []time.Time // times[n-1] is that of value n
}

func (t *counterAckLog) add(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.times = append(t.times, at)
}

// lastBefore returns the highest counter value acknowledged no later than at, or 0.
func (t *counterAckLog) lastBefore(at time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.times)
	for n > 0 && t.times[n-1].After(at) {
		n--
	}
	return int64(n)
}
