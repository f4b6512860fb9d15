package caller

import (
	"context"
	"database/sql"
	"errors"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/lib/pq" // the driver "postgres"
	"github.com/onsi/gomega"

	"verbenagate/core/stmt"
)

func connect(t testing.TB, s *Server, extra string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), dsn(s, extra))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// Guards against answers that an unmodified pgx client rejects, in each of its query modes.
func TestPgx(t *testing.T) {
	for _, mode := range []string{"cache_statement", "cache_describe", "describe_exec", "exec", "simple_protocol"} {
		t.Run(mode, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newFakeBackend()
			c := connect(t, startServer(t, b), "sslmode=disable&default_query_exec_mode="+mode)
			for range 3 {
				var v string
				g.Expect(c.QueryRow(t.Context(), "SELECT $1", "drawer 7").Scan(&v)).To(gomega.Succeed())
				if mode != "simple_protocol" {
					g.Expect(v).To(gomega.Equal("drawer 7"))
				}
			}
			tx, err := c.Begin(t.Context())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = tx.Exec(t.Context(), "INSERT INTO plots VALUES ($1)", "a")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(tx.Commit(t.Context())).To(gomega.Succeed())
			g.Expect(c.Ping(t.Context())).To(gomega.Succeed())
			_, err = c.Exec(t.Context(), "SERVERERROR")
			g.Expect(sqlState(err)).To(gomega.Equal("23505"))
			units := b.units()
			g.Expect(units[len(units)-2].Class).To(gomega.Equal(stmt.Commit))
			g.Expect(units[len(units)-3].Class).To(gomega.Equal(stmt.Write))
		})
	}
}

// Guards against answers that an unmodified lib/pq client rejects.
func TestPq(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, newFakeBackend())
	db, err := sql.Open("postgres", dsn(s, "sslmode=disable"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = db.Close() }()
	g.Expect(db.Ping()).To(gomega.Succeed())
	var v string
	g.Expect(db.QueryRow("SELECT $1", "drawer 7").Scan(&v)).To(gomega.Succeed())
	g.Expect(v).To(gomega.Equal("drawer 7"))
	st, err := db.Prepare("SELECT $1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for range 3 {
		g.Expect(st.QueryRow("x").Scan(&v)).To(gomega.Succeed())
	}
	g.Expect(st.Close()).To(gomega.Succeed())
	tx, err := db.Begin()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = tx.Exec("INSERT INTO plots VALUES ($1)", "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(tx.Commit()).To(gomega.Succeed())
}
