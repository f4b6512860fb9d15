package server_test

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/lib/pq"
	. "github.com/onsi/gomega"

	"verbenagate/core/port"
	"verbenagate/lab/server"
)

const schema = "CREATE TABLE sheet (id bigint PRIMARY KEY, title text NOT NULL, drawer int, weight float8, shelved boolean)"

func startServer(t *testing.T, cfg server.Config) *server.Server {
	t.Helper()
	if cfg.Schema == "" {
		cfg.Schema = schema
	}
	s, err := server.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func startPrimary(t *testing.T) *server.Server {
	return startServer(t, server.Config{Primary: true, Term: 1})
}

func dsn(s *server.Server) string {
	return "postgres://lab:secret@" + s.Addr() + "/lab?sslmode=disable"
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func connect(t *testing.T, s *server.Server) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(testContext(t), dsn(s))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func sqlState(err error) string {
	var pg *pgconn.PgError
	var lib *pq.Error
	switch {
	case errors.As(err, &pg):
		return pg.Code
	case errors.As(err, &lib):
		return string(lib.Code)
	}
	return fmt.Sprint(err)
}

// Guards against clients that cannot log in. Each authentication method must accept the right password and reject a wrong
// one.
func TestAuthentication(t *testing.T) {
	g := NewWithT(t)
	for _, scram := range []bool{false, true} {
		s := startServer(t, server.Config{Primary: true, Term: 1, User: "lab", Password: "secret", Scram: scram})
		g.Expect(connect(t, s).Ping(testContext(t))).To(Succeed())
		_, err := pgx.Connect(testContext(t), "postgres://lab:wrong@"+s.Addr()+"/lab?sslmode=disable")
		g.Expect(sqlState(err)).To(Equal("28P01"))
		db, err := sql.Open("postgres", dsn(s))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(db.PingContext(testContext(t))).To(Succeed())
		g.Expect(db.Close()).To(Succeed())
	}
}

// Guards against wrong types or formats of parameters and results in each query execution mode of pgx.
func TestTypesThroughPgx(t *testing.T) {
	g := NewWithT(t)
	c := connect(t, startPrimary(t))
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	}
	for i, mode := range modes {
		tag, err := c.Exec(testContext(t), "INSERT INTO sheet (id, title, drawer, weight, shelved) VALUES ($1, $2, $3, $4, $5)",
			mode, int64(i), "Elbe's mouth", int32(7), 2.5, true)
		g.Expect(err).NotTo(HaveOccurred(), mode.String())
		g.Expect(tag.String()).To(Equal("INSERT 0 1"))
		var id, n int64
		var title string
		var drawer *int32
		var weight float64
		var shelved, heavy bool
		row := c.QueryRow(testContext(t), "SELECT id, title, drawer, weight, shelved, weight > 2 AS heavy, (SELECT count(*) FROM sheet) FROM sheet WHERE id = $1", mode, int64(i))
		g.Expect(row.Scan(&id, &title, &drawer, &weight, &shelved, &heavy, &n)).To(Succeed(), mode.String())
		g.Expect([]any{id, title, *drawer, weight, shelved, heavy, n}).To(Equal([]any{int64(i), "Elbe's mouth", int32(7), 2.5, true, true, int64(i + 1)}))
		var back int64
		g.Expect(c.QueryRow(testContext(t), "UPDATE sheet SET drawer = $1, weight = NULL WHERE id = $2 RETURNING drawer + 1", mode, 8, i).Scan(&back)).To(Succeed())
		g.Expect(back).To(Equal(int64(9)))
		var sum int64
		var at time.Time
		var text string
		g.Expect(c.QueryRow(testContext(t), "SELECT $1::int8 + 1, now(), $2::text", mode, int64(41), "x").Scan(&sum, &at, &text)).To(Succeed(), mode.String())
		g.Expect(sum).To(Equal(int64(42)))
		g.Expect(at).To(BeTemporally("~", time.Now(), time.Minute))
	}
}

// Guards against wrong types or formats with lib/pq, which, unlike pgx, sends text parameters and describes every
// statement.
func TestTypesThroughLibPQ(t *testing.T) {
	g := NewWithT(t)
	s := startPrimary(t)
	for _, suffix := range []string{"", "&binary_parameters=yes"} {
		db, err := sql.Open("postgres", dsn(s)+suffix)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = db.Exec("INSERT INTO sheet (id, title, weight, shelved) VALUES ($1, $2, $3, $4)", 3, "Alster", 1.25, false)
		g.Expect(err).NotTo(HaveOccurred())
		var title string
		var weight float64
		var shelved bool
		var drawer sql.NullInt64
		g.Expect(db.QueryRow("SELECT title, weight, shelved, drawer FROM sheet WHERE id = $1 AND title LIKE $2", 3, "Al%").Scan(&title, &weight, &shelved, &drawer)).To(Succeed())
		g.Expect([]any{title, weight, shelved, drawer.Valid}).To(Equal([]any{"Alster", 1.25, false, false}))
		tx, err := db.Begin()
		g.Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec("DELETE FROM sheet WHERE id = $1", 3)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(tx.Commit()).To(Succeed())
		g.Expect(db.Close()).To(Succeed())
	}
}

// Guards against wrong SQLSTATEs and against a wrong transaction status after errors.
func TestErrorsAndTransactions(t *testing.T) {
	g := NewWithT(t)
	s := startPrimary(t)
	c, other := connect(t, s), connect(t, s)
	_, err := c.Exec(testContext(t), "SELEC 1")
	g.Expect(sqlState(err)).To(Equal("42601"))
	_, err = c.Exec(testContext(t), "SELECT FROM WHERE", pgx.QueryExecModeSimpleProtocol)
	g.Expect(sqlState(err)).To(Equal("42601"))
	_, err = c.Exec(testContext(t), "SELECT * FROM missing")
	g.Expect(sqlState(err)).To(Equal("42P01"))

	tx, err := c.Begin(testContext(t))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.PgConn().TxStatus()).To(Equal(byte('T')))
	_, err = tx.Exec(testContext(t), "INSERT INTO sheet (id, title) VALUES (1, 'a')")
	g.Expect(err).NotTo(HaveOccurred())
	var n int
	g.Expect(other.QueryRow(testContext(t), "SELECT count(*) FROM sheet").Scan(&n)).To(Succeed())
	g.Expect(n).To(BeZero(), "an uncommitted row is visible to another session")
	_, err = tx.Exec(testContext(t), "INSERT INTO sheet (id, title) VALUES (1, 'b')")
	g.Expect(sqlState(err)).To(Equal("23505"))
	g.Expect(c.PgConn().TxStatus()).To(Equal(byte('E')))
	_, err = tx.Exec(testContext(t), "SELECT 1")
	g.Expect(sqlState(err)).To(Equal("25P02"))
	g.Expect(tx.Rollback(testContext(t))).To(Succeed())
	g.Expect(c.PgConn().TxStatus()).To(Equal(byte('I')))
	g.Expect(s.Log()).To(BeEmpty())

	err = pgx.BeginFunc(testContext(t), c, func(tx pgx.Tx) error {
		if _, err := tx.Exec(testContext(t), "INSERT INTO sheet (id, title) VALUES (1, 'a')"); err != nil {
			return err
		}
		inner, err := tx.Begin(testContext(t))
		if err != nil {
			return err
		}
		if _, err = inner.Exec(testContext(t), "INSERT INTO sheet (id, title) VALUES (1, 'b')"); err == nil {
			return errors.New("the duplicate was accepted")
		}
		return inner.Rollback(testContext(t))
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Log()).To(HaveLen(1))
	g.Expect(s.Log()[0].Stmts).To(HaveLen(1), "the log holds a statement that was rolled back to a savepoint")
	g.Expect(c.PgConn().ParameterStatus("verbena.position")).To(Equal("1/1"))

	// A simple query with several statements runs as one transaction.
	_, err = c.Exec(testContext(t), "INSERT INTO sheet (id, title) VALUES (2, 'c'); INSERT INTO sheet (id, title) VALUES (2, 'd')", pgx.QueryExecModeSimpleProtocol)
	g.Expect(sqlState(err)).To(Equal("23505"))
	g.Expect(s.Log()).To(HaveLen(1))
}

// Guards against settings that leak into another session or survive DISCARD ALL.
func TestSettings(t *testing.T) {
	g := NewWithT(t)
	s := startPrimary(t)
	c, other := connect(t, s), connect(t, s)
	show := func(c *pgx.Conn) (v string) {
		g.Expect(c.QueryRow(testContext(t), "SHOW search_path").Scan(&v)).To(Succeed())
		return v
	}
	initial := show(other)
	_, err := c.Exec(testContext(t), "SET search_path TO archive, public")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(show(c)).To(Equal("archive, public"))
	g.Expect(show(other)).To(Equal(initial))
	_, err = c.Exec(testContext(t), "DISCARD ALL", pgx.QueryExecModeSimpleProtocol)
	g.Expect(err).NotTo(HaveOccurred())
	var v string
	g.Expect(c.QueryRow(testContext(t), "SHOW search_path", pgx.QueryExecModeSimpleProtocol).Scan(&v)).To(Succeed())
	g.Expect(v).To(Equal(initial))
	_, err = c.Exec(testContext(t), "SHOW no_such_setting")
	g.Expect(sqlState(err)).To(Equal("42704"))
}

// Guards against times that are stored in different formats and therefore compare wrongly.
func TestTimes(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, server.Config{Primary: true, Term: 1, Schema: "CREATE TABLE visit (id int, at timestamptz)"})
	c := connect(t, s)
	at := time.Now().Add(-time.Minute).Truncate(time.Microsecond)
	db, err := sql.Open("postgres", dsn(s))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = db.Exec("INSERT INTO visit VALUES (1, $1)", at)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(db.Close()).To(Succeed())
	_, err = c.Exec(testContext(t), "INSERT INTO visit VALUES (2, $1), (3, now())", at.Truncate(time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	rows, err := c.Query(testContext(t), "SELECT at FROM visit WHERE at > now() - interval '1 hour' AND at < now() + interval '1 second' ORDER BY at")
	g.Expect(err).NotTo(HaveOccurred())
	got, err := pgx.CollectRows(rows, pgx.RowTo[time.Time])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(3))
	g.Expect(got[0]).To(BeTemporally("==", at.Truncate(time.Second)))
	g.Expect(got[1]).To(BeTemporally("==", at))
	var n int
	g.Expect(c.QueryRow(testContext(t), "SELECT count(*) FROM visit WHERE at < $1", at.Add(time.Microsecond)).Scan(&n)).To(Succeed())
	g.Expect(n).To(Equal(2))
}

// Guards against a statement that cannot be cancelled, and against a control function that waits for a statement slot.
func TestCancel(t *testing.T) {
	g := NewWithT(t)
	srv := startServer(t, server.Config{Primary: true, Term: 1, Slots: 1})
	c, watcher := connect(t, srv), connect(t, srv)
	var pid uint32
	g.Expect(c.QueryRow(testContext(t), "SELECT pg_backend_pid()").Scan(&pid)).To(Succeed())
	g.Expect(pid).To(Equal(c.PgConn().PID()))
	// Prepares the statement beforehand, so that the cancel request arrives during its execution.
	_, err := c.Exec(testContext(t), "SELECT pg_sleep($1)", 0.001)
	g.Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "SELECT pg_sleep($1)", 60.0)
		done <- err
	}()
	var got error
	g.Eventually(srv.Running, "10s").Should(Equal(1))
	_, _, err = callControl(t, watcher, "verbena_status()")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(srv.Running()).To(Equal(1), "the status was returned only after the statement had ended")
	g.Eventually(func() bool {
		g.Expect(c.PgConn().CancelRequest(testContext(t))).To(Succeed())
		select {
		case got = <-done:
			return true
		default:
			return false
		}
	}, "10s").Should(BeTrue())
	g.Expect(sqlState(got)).To(Equal("57014"), fmt.Sprint(got))
	g.Expect(c.Ping(testContext(t))).To(Succeed())
}

// Guards against a terminated session that keeps its lock, and against the termination of another application's session.
func TestTerminate(t *testing.T) {
	g := NewWithT(t)
	srv := startPrimary(t)
	as := func(application string) *pgx.Conn {
		c, err := pgx.Connect(testContext(t), dsn(srv)+"&application_name="+application)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = c.Close(context.Background()) })
		return c
	}
	dead, second, alive := as("dead"), as("dead"), as("alive")
	_, err := dead.Exec(testContext(t), "BEGIN")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = dead.Exec(testContext(t), "INSERT INTO sheet (id, title) VALUES (1, 'held')")
	g.Expect(err).NotTo(HaveOccurred())
	waiting := make(chan error, 1)
	go func() {
		_, err := second.Exec(context.Background(), "INSERT INTO sheet (id, title) VALUES (2, 'waits')")
		waiting <- err
	}()
	results, err := alive.PgConn().Exec(testContext(t),
		"SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name = 'dead'").ReadAll()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(results[0].Rows).To(HaveLen(2))
	g.Expect(<-waiting).To(HaveOccurred())
	_, err = alive.Exec(testContext(t), "INSERT INTO sheet (id, title) VALUES (3, 'free')")
	g.Expect(err).NotTo(HaveOccurred())
	rows, err := srv.Query(testContext(t), "SELECT id FROM sheet")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(Equal([][]any{{int64(3)}}))
}

// Guards against more connections than the limit, and against statement slots that are exceeded or never released.
func TestLimits(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, server.Config{Primary: true, Term: 1, MaxConnections: 6, Slots: 2, ServiceTime: 5 * time.Millisecond})
	conns := make([]*pgx.Conn, 6)
	for i := range conns {
		conns[i] = connect(t, s)
	}
	_, err := pgx.Connect(testContext(t), dsn(s))
	g.Expect(sqlState(err)).To(Equal("53300"))
	g.Expect(s.MaxConnections()).To(Equal(6))
	g.Expect(s.RefusedConnections()).To(Equal(1))
	done := make(chan error, len(conns))
	for i, c := range conns {
		go func() { // a write transaction that waits must not hold a slot that the open one needs to finish
			done <- pgx.BeginFunc(context.Background(), c, func(tx pgx.Tx) error {
				for j := range 3 {
					if _, err := tx.Exec(context.Background(), "INSERT INTO sheet (id, title) VALUES ($1, 'x')", i*10+j); err != nil {
						return err
					}
				}
				return nil
			})
		}()
	}
	for range conns {
		g.Eventually(done, "20s").Should(Receive(BeNil()))
	}
	g.Expect(s.MaxRunning()).To(Equal(2))
	g.Expect(conns[0].Close(testContext(t))).To(Succeed())
	_, err = s.Await(testContext(t), func(st port.Status) bool { return st.Connections == 5 })
	g.Expect(err).NotTo(HaveOccurred())
	connect(t, s)
}

// Guards against portals that ignore the row limit, and against pipelines that do not run as one transaction up to Sync.
func TestPipelineAndPortals(t *testing.T) {
	g := NewWithT(t)
	s := startPrimary(t)
	c := connect(t, s)
	b := &pgx.Batch{}
	b.Queue("INSERT INTO sheet (id, title) VALUES ($1, 'a')", 1)
	b.Queue("INSERT INTO sheet (id, title) VALUES ($1, 'b')", 1)
	g.Expect(sqlState(c.SendBatch(testContext(t), b).Close())).To(Equal("23505"))
	g.Expect(s.Log()).To(BeEmpty())
	for i := range 5 {
		_, err := c.Exec(testContext(t), "INSERT INTO sheet (id, title) VALUES ($1, 'a')", i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(portalChunks(t, s)).To(Equal([]int{2, 2, 1}))
}
