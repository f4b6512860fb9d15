package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"verbenagate/core/port"
	"verbenagate/lab/fault"
	"verbenagate/lab/server"
)

// portalChunks reads all sheets through one portal, two rows per Execute, and returns the number of rows in each chunk.
func portalChunks(t *testing.T, s *server.Server) []int {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	f := pgproto3.NewFrontend(conn, conn)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "lab"}})
	f.Send(&pgproto3.Parse{Query: "SELECT id FROM sheet"})
	f.Send(&pgproto3.Bind{})
	for range 3 {
		f.Send(&pgproto3.Execute{MaxRows: 2})
	}
	f.Send(&pgproto3.Flush{}) // without Sync, as drivers that use cursors do
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	var chunks []int
	n := 0
	for {
		msg, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			n++
		case *pgproto3.PortalSuspended:
			chunks, n = append(chunks, n), 0
		case *pgproto3.CommandComplete:
			return append(chunks, n)
		case *pgproto3.ErrorResponse:
			t.Fatal(m.Message)
		}
	}
}

// startGroup starts a primary of term 1 and two replicas.
func startGroup(t *testing.T) []*server.Server {
	t.Helper()
	a := startPrimary(t)
	list := []*server.Server{a}
	for range 2 {
		list = append(list, startServer(t, server.Config{Term: 1, Follow: a.Addr()}))
	}
	for _, s := range list[1:] {
		awaitStatus(t, s, "term 1", func(st port.Status) bool { return st.Term == 1 })
	}
	return list
}

func awaitStatus(t *testing.T, s *server.Server, what string, cond func(port.Status) bool) port.Status {
	t.Helper()
	st, err := s.Await(testContext(t), cond)
	if err != nil {
		t.Fatalf("the status never met the condition %q: last status %+v, apply error %v", what, st, s.Err())
	}
	return st
}

func insertSheets(t *testing.T, c *pgx.Conn, ids ...int) {
	t.Helper()
	for _, id := range ids {
		if _, err := c.Exec(testContext(t), "INSERT INTO sheet (id, title) VALUES ($1, 'x')", id); err != nil {
			t.Fatal(err)
		}
	}
}

func sheetIDs(t *testing.T, s *server.Server) string {
	t.Helper()
	rows, err := s.Query(testContext(t), "SELECT id FROM sheet ORDER BY id")
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint(rows)
}

// callControl calls a group control function and returns the status and the replicas that it reports.
func callControl(t *testing.T, c *pgx.Conn, call string) (st port.Status, replicas []port.ReplicaStatus, err error) {
	t.Helper()
	var role, list string
	err = c.QueryRow(testContext(t), "SELECT * FROM "+call, pgx.QueryExecModeSimpleProtocol).
		Scan(&st.Term, &st.Promised, &st.Received, &st.Applied, &role, &st.Leaving, &st.Connections, &list)
	if err != nil {
		return st, nil, err
	}
	if role == "primary" {
		st.Role = port.RolePrimary
	}
	return st, replicas, json.Unmarshal([]byte(list), &replicas)
}

// Guards against a replica that makes writes visible before its lag has passed, or never, and against a primary that does
// not learn the received positions of its replicas.
func TestReplicationWithLag(t *testing.T) {
	g := NewWithT(t)
	s := startGroup(t)
	s[1].SetLag(time.Hour)
	insertSheets(t, connect(t, s[0]), 1, 2, 3)
	awaitStatus(t, s[2], "everything applied", func(st port.Status) bool { return st.Applied == 3 })
	st := awaitStatus(t, s[1], "everything received", func(st port.Status) bool { return st.Received == 3 })
	g.Expect(st.Applied).To(BeZero())
	g.Expect(sheetIDs(t, s[1])).To(Equal("[]"))
	g.Expect(sheetIDs(t, s[2])).To(Equal(sheetIDs(t, s[0])))
	c := connect(t, s[0])
	g.Eventually(func(g Gomega) {
		_, replicas, err := callControl(t, c, "verbena_status()")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(replicas).To(ConsistOf(
			port.ReplicaStatus{Address: s[1].Addr(), Term: 1, Received: 3}, port.ReplicaStatus{Address: s[2].Addr(), Term: 1, Received: 3}))
	}, "10s").Should(Succeed())
	s[1].SetLag(0)
	awaitStatus(t, s[1], "everything applied", func(st port.Status) bool { return st.Applied == 3 })
	g.Expect(sheetIDs(t, s[1])).To(Equal(sheetIDs(t, s[0])))
	_, err := connect(t, s[1]).Exec(testContext(t), "DELETE FROM sheet")
	g.Expect(sqlState(err)).To(Equal("25006"))
}

// Guards against the loss of acknowledged writes, and against divergent writes that survive, when a primary is replaced
// while it is isolated.
func TestReplacedPrimaryDiscardsItsSuffix(t *testing.T) {
	g := NewWithT(t)
	s := startGroup(t)
	old := connect(t, s[0])
	insertSheets(t, old, 1, 2)
	for _, r := range s[1:] {
		awaitStatus(t, r, "the first writes", func(st port.Status) bool { return st.Applied == 2 })
	}
	s[0].CutReplication(true)
	insertSheets(t, old, 100, 101)

	c1, c2 := connect(t, s[1]), connect(t, s[2])
	for _, c := range []*pgx.Conn{c1, c2} {
		st, _, err := callControl(t, c, "verbena_fence(5)")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect([]uint64{st.Term, st.Promised, st.Received}).To(Equal([]uint64{1, 5, 2}))
	}
	_, _, err := callControl(t, c1, "verbena_promote(4)")
	g.Expect(sqlState(err)).To(Equal("55000"))
	st, _, err := callControl(t, c1, "verbena_promote(5)")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(st.Role).To(Equal(port.RolePrimary))
	g.Expect(st.Term).To(Equal(uint64(5)))
	_, _, err = callControl(t, c2, fmt.Sprintf("verbena_follow(5, '%s')", s[1].Addr()))
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = callControl(t, c2, "verbena_promote(5)")
	g.Expect(sqlState(err)).To(Equal("55000"), "the term has a primary already")
	insertSheets(t, c1, 3)
	g.Expect(c1.PgConn().ParameterStatus("verbena.position")).To(Equal("5/3"))
	awaitStatus(t, s[2], "the write of term 5", func(st port.Status) bool { return st.Term == 5 && st.Applied == 3 })

	// A transaction that is open when the server promises a newer term must not commit.
	tx, err := old.Begin(testContext(t))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(testContext(t), "INSERT INTO sheet (id, title) VALUES (102, 'x')")
	g.Expect(err).NotTo(HaveOccurred())
	ctl := connect(t, s[0])
	_, _, err = callControl(t, ctl, "verbena_fence(5)")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sqlState(tx.Commit(testContext(t)))).To(Equal("25006"))
	_, err = old.Exec(testContext(t), "INSERT INTO sheet (id, title) VALUES (103, 'x')")
	g.Expect(sqlState(err)).To(Equal("25006"))
	g.Expect(sheetIDs(t, s[0])).To(Equal("[[1] [2] [100] [101]]"))

	_, _, err = callControl(t, ctl, fmt.Sprintf("verbena_follow(5, '%s')", s[1].Addr()))
	g.Expect(err).NotTo(HaveOccurred())
	s[0].CutReplication(false)
	awaitStatus(t, s[0], "the history of term 5", func(st port.Status) bool { return st.Term == 5 && st.Applied == 3 })
	for _, x := range s {
		g.Expect(sheetIDs(t, x)).To(Equal("[[1] [2] [3]]"))
		g.Expect(x.Log()).To(Equal(s[1].Log()))
	}
}

// Guards against the loss of acknowledged writes in an election by (term, received). A replica that follows the primary of
// a new term but still lacks log entries from before that term must not report the new term.
func TestTermIsReportedOnlyWithItsHistory(t *testing.T) {
	g := NewWithT(t)
	s := startGroup(t)
	s[2].CutReplication(true)
	const n = 700 // more entries than fit in one answer of the replication link
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	insertSheets(t, connect(t, s[0]), all...)
	awaitStatus(t, s[1], "all writes", func(st port.Status) bool { return st.Received == n })
	_, err := s[1].Promote(testContext(t), 2)
	g.Expect(err).NotTo(HaveOccurred())
	st, err := s[2].Follow(2, s[1].Addr())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]uint64{st.Term, st.Promised, st.Received}).To(Equal([]uint64{1, 2, 0}))
	s[2].SetNetDelay(50 * time.Millisecond) // makes the state between two answers observable
	s[2].CutReplication(false)
	partial := false
	awaitStatus(t, s[2], "term 2", func(st port.Status) bool {
		partial = partial || st.Received > 0 && st.Received < n
		if st.Term == 2 {
			g.Expect(st.Received).To(Equal(uint64(n)))
		}
		return st.Term == 2
	})
	g.Expect(partial).To(BeTrue(), "no status between two answers was observed")
}

// Guards against reads on a replica that see only part of a transaction, and against a replication link that ignores
// Config.Routes.
func TestReplicaSnapshots(t *testing.T) {
	g := NewWithT(t)
	a := startPrimary(t)
	link, err := fault.New(a.Addr())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(link.Close)
	b := startServer(t, server.Config{Term: 1, Follow: a.Addr(), Routes: map[string]string{a.Addr(): link.Addr()}, Lag: time.Millisecond})
	c, reader := connect(t, a), connect(t, b)
	insertSheets(t, c, 1, 2)
	awaitStatus(t, b, "both sheets", func(st port.Status) bool { return st.Applied == 2 })
	_, err = c.Exec(testContext(t), "UPDATE sheet SET drawer = 500")
	g.Expect(err).NotTo(HaveOccurred())
	awaitStatus(t, b, "the drawers", func(st port.Status) bool { return st.Applied == 3 })
	done := make(chan error, 1)
	go func() {
		var err error
		for i := 0; i < 200 && err == nil; i++ {
			err = pgx.BeginFunc(context.Background(), c, func(tx pgx.Tx) error {
				if _, err := tx.Exec(context.Background(), "UPDATE sheet SET drawer = drawer - $1 WHERE id = 1", i); err != nil {
					return err
				}
				_, err := tx.Exec(context.Background(), "UPDATE sheet SET drawer = drawer + $1 WHERE id = 2", i)
				return err
			})
		}
		done <- err
	}()
	for running := true; running; {
		select {
		case err := <-done:
			g.Expect(err).NotTo(HaveOccurred())
			running = false
		default:
		}
		var sum int64
		g.Expect(reader.QueryRow(testContext(t), "SELECT sum(drawer) FROM sheet").Scan(&sum)).To(Succeed())
		g.Expect(sum).To(Equal(int64(1000)))
	}
	awaitStatus(t, b, "all transfers", func(st port.Status) bool { return st.Applied == 203 })
	g.Expect(link.Opened()).To(BeNumerically(">", 0))
}

// Guards against log entries that are lost in a crash, and against a frozen server that answers requests or drops its
// connections.
func TestCrashAndFreeze(t *testing.T) {
	g := NewWithT(t)
	s := startGroup(t)
	c := connect(t, s[0])
	insertSheets(t, c, 1)
	tx, err := c.Begin(testContext(t))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(testContext(t), "INSERT INTO sheet (id, title) VALUES (2, 'x')")
	g.Expect(err).NotTo(HaveOccurred())
	addr := s[0].Addr()
	s[0].Crash()
	g.Expect(tx.Commit(testContext(t))).NotTo(Succeed())
	_, err = net.Dial("tcp", addr)
	g.Expect(err).To(HaveOccurred())
	g.Expect(s[0].Restart()).To(Succeed())
	g.Expect(s[0].Addr()).To(Equal(addr))
	c = connect(t, s[0])
	g.Expect(sheetIDs(t, s[0])).To(Equal("[[1]]"))
	insertSheets(t, c, 3)
	awaitStatus(t, s[1], "replication after the restart", func(st port.Status) bool { return st.Applied == 2 })

	s[0].Freeze()
	_, err = net.Dial("tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "INSERT INTO sheet (id, title) VALUES (4, 'x')")
		done <- err
	}()
	g.Consistently(done, "100ms").ShouldNot(Receive())
	g.Expect(s[0].Log()).To(HaveLen(2))
	s[0].Unfreeze()
	g.Eventually(done, "10s").Should(Receive(BeNil()))
	awaitStatus(t, s[2], "replication after the freeze", func(st port.Status) bool { return st.Applied == 3 })
}

// Guards against groups that do not converge. After any sequence of writes, isolations and promotions, every server must
// have the log of the last primary and the same database contents, and no write that a majority has confirmed may be
// missing.
func TestGroupConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := make([]*server.Server, 3)
		for i := range s {
			cfg := server.Config{Schema: schema, Term: 1, Primary: i == 0}
			if i > 0 {
				cfg.Follow = s[0].Addr()
			}
			var err error
			if s[i], err = server.New(cfg); err != nil {
				r.Fatal(err)
			}
			defer s[i].Close()
		}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		term, id, leader := uint64(1), 0, 0
		var confirmed []string
		isolated, healed := -1, true
		for range rapid.IntRange(2, 6).Draw(r, "rounds") {
			if healed { // otherwise the same server stays isolated, because a majority needs the other two
				isolated = rapid.IntRange(-1, 2).Draw(r, "cut")
			}
			if isolated >= 0 {
				s[isolated].CutReplication(true)
			}
			conn, err := pgx.Connect(ctx, dsn(s[leader]))
			if err != nil {
				r.Fatal(err)
			}
			for range rapid.IntRange(0, 4).Draw(r, "writes") {
				id++
				if _, err := conn.Exec(ctx, "INSERT INTO sheet (id, title) VALUES ($1, 'x')", id); err != nil {
					r.Fatal(err)
				}
				if isolated != leader {
					confirmed = append(confirmed, fmt.Sprint(id))
				}
			}
			if isolated != leader { // wait until a majority holds the writes
				if _, err := s[leader].Await(ctx, func(st port.Status) bool {
					for _, x := range st.Replicas {
						if x.Term == st.Term && x.Received == st.Received {
							return true
						}
					}
					return false
				}); err != nil {
					r.Fatalf("no majority holds the writes: %v", err)
				}
			}
			_ = conn.Close(ctx)
			term++
			leader = elect(ctx, r, s, isolated, term)
			if healed = isolated < 0 || rapid.Bool().Draw(r, "heal"); healed && isolated >= 0 {
				if _, err := s[isolated].Follow(term, s[leader].Addr()); err != nil {
					r.Fatal(err)
				}
				s[isolated].CutReplication(false)
			}
		}
		for i := range s {
			s[i].CutReplication(false)
			if i != leader {
				if _, err := s[i].Follow(term, s[leader].Addr()); err != nil {
					r.Fatal(err)
				}
			}
		}
		want := s[leader].Log()
		rows, _ := s[leader].Query(ctx, "SELECT id FROM sheet ORDER BY id")
		for _, x := range s {
			if st, err := x.Await(ctx, func(st port.Status) bool { return st.Term == term && st.Applied == uint64(len(want)) }); err != nil {
				r.Fatalf("server %s did not catch up: status %+v, apply error %v", x.Addr(), st, x.Err())
			}
			NewWithT(r).Expect(x.Log()).To(Equal(want))
			NewWithT(r).Expect(x.Query(ctx, "SELECT id FROM sheet ORDER BY id")).To(Equal(rows))
		}
		present := map[string]bool{}
		for _, row := range rows {
			present[fmt.Sprint(row[0])] = true
		}
		for _, id := range confirmed {
			if !present[id] {
				r.Fatalf("write %s was confirmed by a majority but is lost", id)
			}
		}
	})
}

// elect promotes the reachable server with the highest (term, received), as design decision D6 prescribes, and returns
// its index. isolated is the index of the unreachable server, or -1.
func elect(ctx context.Context, r *rapid.T, s []*server.Server, isolated int, term uint64) int {
	best, elected := port.Status{}, -1
	for i := range s {
		if i == isolated {
			continue
		}
		st, err := s[i].Fence(term)
		if err != nil {
			r.Fatal(err)
		}
		if elected < 0 || st.Term > best.Term || st.Term == best.Term && st.Received > best.Received {
			best, elected = st, i
		}
	}
	if _, err := s[elected].Promote(ctx, term); err != nil {
		r.Fatal(err)
	}
	for i := range s {
		if i != elected && i != isolated {
			if _, err := s[i].Follow(term, s[elected].Addr()); err != nil {
				r.Fatal(err)
			}
		}
	}
	return elected
}

// Guards against two primaries in one term. A store that was restored to an older state can assign the same term to two
// candidates.
func TestTermIsPromisedOnce(t *testing.T) {
	g := NewWithT(t)
	srv, err := server.New(server.Config{Primary: true, Term: 1})
	g.Expect(err).NotTo(HaveOccurred())
	defer srv.Close()
	_, err = srv.Fence(2)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = srv.Fence(2)
	g.Expect(err).To(HaveOccurred())
	_, err = srv.Promote(context.Background(), 2)
	g.Expect(err).NotTo(HaveOccurred())
}
