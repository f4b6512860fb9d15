package site

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jackc/pgx/v5/stdlib" // the driver pgx of database/sql
	"github.com/lib/pq"
	"github.com/onsi/gomega"
)

// drivers are the names under which unmodified PostgreSQL drivers are registered with database/sql.
var drivers = []string{"pgx", "postgres"}

// sqlStateOf returns the SQLSTATE of an error of either driver, or "" if the error has none.
func sqlStateOf(err error) string {
	var a *pgconn.PgError
	var b *pq.Error
	switch {
	case errors.As(err, &a):
		return a.Code
	case errors.As(err, &b):
		return string(b.Code)
	}
	return ""
}

// Guards against a part of the protocol that unmodified clients need and that is lost on the path from the caller to the server:
// parameters, prepared statements, transactions, errors, large rows and cancel requests. It connects through every VM.
func TestClients(t *testing.T) {
	s := open(t, smallSpec())
	for i, address := range s.Target("dues").VMs {
		for _, driver := range drivers {
			t.Run(fmt.Sprintf("%s through VM %d", driver, i+1), func(t *testing.T) {
				source := fmt.Sprintf("postgres://%s:%s@%s/dues?sslmode=disable", User(i), Password, address)
				db, err := sql.Open(driver, source)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = db.Close() }()
				exerciseClient(t, db, fmt.Sprint(driver, i))
			})
		}
	}
}

func exerciseClient(t *testing.T, db *sql.DB, tag string) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	conn, err := db.Conn(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()

	var one int
	g.Expect(conn.QueryRowContext(ctx, "SELECT 1").Scan(&one)).To(gomega.Succeed())
	g.Expect(one).To(gomega.Equal(1))

	insert := "INSERT INTO half(ref, side) VALUES ($1, $2)"
	count := "SELECT count(*) FROM half WHERE ref = $1"
	prepared, err := conn.PrepareContext(ctx, insert)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for side := range 3 {
		res, err := prepared.ExecContext(ctx, tag, side)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		n, err := res.RowsAffected()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.Equal(int64(1)))
	}
	g.Expect(prepared.Close()).To(gomega.Succeed())
	var n int
	g.Expect(conn.QueryRowContext(ctx, count, tag).Scan(&n)).To(gomega.Succeed())
	g.Expect(n).To(gomega.Equal(3), "the session's own writes")

	for _, commit := range []bool{true, false} {
		tx, err := conn.BeginTx(ctx, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = tx.ExecContext(ctx, insert, tag, 9)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(tx.QueryRowContext(ctx, count, tag).Scan(&n)).To(gomega.Succeed())
		g.Expect(n).To(gomega.Equal(4 + map[bool]int{true: 0, false: 1}[commit]))
		if commit {
			g.Expect(tx.Commit()).To(gomega.Succeed())
		} else {
			g.Expect(tx.Rollback()).To(gomega.Succeed())
		}
	}
	g.Expect(conn.QueryRowContext(ctx, count, tag).Scan(&n)).To(gomega.Succeed())
	g.Expect(n).To(gomega.Equal(4))

	_, err = conn.ExecContext(ctx, "SELEC 1")
	g.Expect(sqlStateOf(err)).To(gomega.Equal("42601"))
	_, err = conn.ExecContext(ctx, "COPY half FROM STDIN")
	g.Expect(sqlStateOf(err)).To(gomega.Equal("0A000"))

	large := strings.Repeat("x", 2<<20)
	var received string
	g.Expect(conn.QueryRowContext(ctx, "SELECT $1::text", large).Scan(&received)).To(gomega.Succeed())
	g.Expect(received == large).To(gomega.BeTrue(), "a value of 2 MiB arrives whole")

	short, stop := context.WithTimeout(ctx, 200*time.Millisecond)
	defer stop()
	begun := time.Now()
	_, err = conn.ExecContext(short, "SELECT pg_sleep(30)")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 10*time.Second), "the statement was cancelled")
}

// Guards against a cancel request without effect when the load balancer sends it to another VM than that of the session.
func TestCancelThroughAnotherVM(t *testing.T) {
	g := gomega.NewWithT(t)
	s := open(t, smallSpec())
	vms := s.Target("dues").VMs
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	connect := func(address string) *pgx.Conn {
		c, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/dues?sslmode=disable", User(1), Password, address))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return c
	}
	c := connect(vms[0])
	defer func() { _ = c.Close(ctx) }()
	failed := make(chan error, 1)
	go func() {
		_, err := c.Exec(ctx, "SELECT pg_sleep(30)")
		failed <- err
	}()
	other := connect(vms[1])
	defer func() { _ = other.Close(ctx) }()
	g.Eventually(func() string {
		// A cancel request that arrives before the statement runs has no effect, as with PostgreSQL itself, so it is repeated.
		if err := cancelThrough(ctx, vms[1], c.PgConn().PID(), c.PgConn().SecretKey()); err != nil {
			return err.Error()
		}
		select {
		case err := <-failed:
			return sqlStateOf(err)
		case <-time.After(100 * time.Millisecond):
			return ""
		}
	}, 20*time.Second).Should(gomega.Equal("57014"))
}

// cancelThrough sends a cancel request for a session to a VM over a separate connection, as clients do.
func cancelThrough(ctx context.Context, address string, pid uint32, secret []byte) error {
	c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	body, err := (&pgproto3.CancelRequest{ProcessID: pid, SecretKey: secret}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := c.Write(body); err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 1))
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// BenchmarkStatement measures the time and the allocations of one read on an open connection: directly on a server, through the
// VM that owns the server, and through a VM that forwards to the owner. The results include the client and the simulated server.
func BenchmarkStatement(b *testing.B) {
	spec := smallSpec()
	spec.DataCentres, spec.ServiceTime, spec.OpenDelay = []string{"east"}, 0, 0
	spec.Services[0].Servers = 1
	s := openFor(b, spec)
	direct := fmt.Sprintf("postgres://%s:%s@%s/dues?sslmode=disable", loginUser, loginPassword, s.Primary("dues").Addr())
	paths := map[string]string{"direct": direct}
	for _, n := range s.Nodes() {
		name := "forwarded"
		if len(n.State().Hosted) > 0 && len(n.State().Hosted[0].Owned) > 0 {
			name = "owner"
		}
		paths[name] = fmt.Sprintf("postgres://%s:%s@%s/dues?sslmode=disable", User(1), Password, n.CallerAddr())
	}
	for _, name := range []string{"direct", "owner", "forwarded"} {
		b.Run(name, func(b *testing.B) {
			ctx := context.Background()
			c, err := pgx.Connect(ctx, paths[name])
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close(ctx) }()
			took := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ReportAllocs()
			for b.Loop() {
				begun := time.Now()
				var n int64
				if err := c.QueryRow(ctx, "SELECT coalesce(max(seq), 0) FROM payment WHERE member = $1", 1).Scan(&n); err != nil {
					b.Fatal(err)
				}
				_ = took.RecordValue(int64(time.Since(begun)))
			}
			b.ReportMetric(float64(took.ValueAtQuantile(50)), "p50-ns")
			b.ReportMetric(float64(took.ValueAtQuantile(99)), "p99-ns")
		})
	}
}
