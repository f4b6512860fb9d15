package server

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/onsi/gomega"
)

// Guards against a statement that was received before its session was terminated but starts afterwards. It could acquire
// the lock that the termination had released, and write.
func TestTerminatedSessionBeginsNoStatement(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := New(Config{Primary: true, Term: 1, Schema: "CREATE TABLE sheet (id bigint PRIMARY KEY)"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	conn, err := pgx.Connect(ctx, "postgres://lab@"+s.Addr()+"/lab?sslmode=disable&application_name=dead")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = conn.Close(context.Background()) })

	sessions := s.terminateApplication("dead")
	g.Expect(sessions).To(gomega.HaveLen(1))

	stmt, done := sessions[0].statementContext()
	defer done()
	g.Expect(stmt.Err()).To(gomega.MatchError(context.Canceled))
}
