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

// portalChunks reads all sheets through one portal, two rows at a time, and returns the number of rows of each part.
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
	f.Send(&pgproto3.Flush{}) // without Sync, as a driver with cursors does it
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

// group starts a primary of term 1 and two replicas.
func group(t *testing.T) []*server.Server {
	t.Helper()
	a := primary(t)
	list := []*server.Server{a}
	for range 2 {
		list = append(list, start(t, server.Config{Term: 1, Follow: a.Addr()}))
	}
	for _, s := range list[1:] {
		await(t, s, "term 1", func(st port.Status) bool { return st.Term == 1 })
	}
	return list
}

func await(t *testing.T, s *server.Server, what string, cond func(port.Status) bool) port.Status {
	t.Helper()
	st, err := s.Await(within(t), cond)
	if err != nil {
		t.Fatalf("no status with %s; last one %+v, apply error %v", what, st, s.Err())
	}
	return st
}

func insert(t *testing.T, c *pgx.Conn, ids ...int) {
	t.Helper()
	for _, id := range ids {
		if _, err := c.Exec(within(t), "INSERT INTO sheet (id, title) VALUES ($1, 'x')", id); err != nil {
			t.Fatal(err)
		}
	}
}

func ids(t *testing.T, s *server.Server) string {
	t.Helper()
	rows, err := s.Query(within(t), "SELECT id FROM sheet ORDER BY id")
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint(rows)
}

// control runs a group control function and returns the status and the replicas it reports.
func control(t *testing.T, c *pgx.Conn, call string) (st port.Status, replicas []port.ReplicaStatus, err error) {
	t.Helper()
	var role, list string
	err = c.QueryRow(within(t), "SELECT * FROM "+call, pgx.QueryExecModeSimpleProtocol).
		Scan(&st.Term, &st.Promised, &st.Received, &st.Applied, &role, &st.Leaving, &st.Connections, &list)
	if err != nil {
		return st, nil, err
	}
	if role == "primary" {
		st.Role = port.RolePrimary
	}
	return st, replicas, json.Unmarshal([]byte(list), &replicas)
}

// Guards against a replica that shows writes before its lag has passed, or never does, and against a primary that
// does not learn which positions its replicas hold.
func TestReplicationWithLag(t *testing.T) {
	g := NewWithT(t)
	s := group(t)
	s[1].SetLag(time.Hour)
	insert(t, connect(t, s[0]), 1, 2, 3)
	await(t, s[2], "everything applied", func(st port.Status) bool { return st.Applied == 3 })
	st := await(t, s[1], "everything received", func(st port.Status) bool { return st.Received == 3 })
	g.Expect(st.Applied).To(BeZero())
	g.Expect(ids(t, s[1])).To(Equal("[]"))
	g.Expect(ids(t, s[2])).To(Equal(ids(t, s[0])))
	c := connect(t, s[0])
	g.Eventually(func(g Gomega) {
		_, replicas, err := control(t, c, "verbena_status()")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(replicas).To(ConsistOf(
			port.ReplicaStatus{Address: s[1].Addr(), Term: 1, Received: 3}, port.ReplicaStatus{Address: s[2].Addr(), Term: 1, Received: 3}))
	}, "10s").Should(Succeed())
	s[1].SetLag(0)
	await(t, s[1], "everything applied", func(st port.Status) bool { return st.Applied == 3 })
	g.Expect(ids(t, s[1])).To(Equal(ids(t, s[0])))
	_, err := connect(t, s[1]).Exec(within(t), "DELETE FROM sheet")
	g.Expect(state(err)).To(Equal("25006"))
}

// Guards against a lost acknowledged write or a kept divergent one when a primary is replaced while it is isolated.
func TestReplacedPrimaryDiscardsItsSuffix(t *testing.T) {
	g := NewWithT(t)
	s := group(t)
	old := connect(t, s[0])
	insert(t, old, 1, 2)
	for _, r := range s[1:] {
		await(t, r, "the first writes", func(st port.Status) bool { return st.Applied == 2 })
	}
	s[0].CutReplication(true)
	insert(t, old, 100, 101)

	c1, c2 := connect(t, s[1]), connect(t, s[2])
	for _, c := range []*pgx.Conn{c1, c2} {
		st, _, err := control(t, c, "verbena_fence(5)")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect([]uint64{st.Term, st.Promised, st.Received}).To(Equal([]uint64{1, 5, 2}))
	}
	_, _, err := control(t, c1, "verbena_promote(4)")
	g.Expect(state(err)).To(Equal("55000"))
	st, _, err := control(t, c1, "verbena_promote(5)")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(st.Role).To(Equal(port.RolePrimary))
	g.Expect(st.Term).To(Equal(uint64(5)))
	_, _, err = control(t, c2, fmt.Sprintf("verbena_follow(5, '%s')", s[1].Addr()))
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = control(t, c2, "verbena_promote(5)")
	g.Expect(state(err)).To(Equal("55000"), "the term has a primary already")
	insert(t, c1, 3)
	g.Expect(c1.PgConn().ParameterStatus("verbena.position")).To(Equal("5/3"))
	await(t, s[2], "the write of term 5", func(st port.Status) bool { return st.Term == 5 && st.Applied == 3 })

	// A transaction that is open when the promise is given must not commit.
	tx, err := old.Begin(within(t))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(within(t), "INSERT INTO sheet (id, title) VALUES (102, 'x')")
	g.Expect(err).NotTo(HaveOccurred())
	ctl := connect(t, s[0])
	_, _, err = control(t, ctl, "verbena_fence(5)")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(state(tx.Commit(within(t)))).To(Equal("25006"))
	_, err = old.Exec(within(t), "INSERT INTO sheet (id, title) VALUES (103, 'x')")
	g.Expect(state(err)).To(Equal("25006"))
	g.Expect(ids(t, s[0])).To(Equal("[[1] [2] [100] [101]]"))

	_, _, err = control(t, ctl, fmt.Sprintf("verbena_follow(5, '%s')", s[1].Addr()))
	g.Expect(err).NotTo(HaveOccurred())
	s[0].CutReplication(false)
	await(t, s[0], "the history of term 5", func(st port.Status) bool { return st.Term == 5 && st.Applied == 3 })
	for _, x := range s {
		g.Expect(ids(t, x)).To(Equal("[[1] [2] [3]]"))
		g.Expect(x.Log()).To(Equal(s[1].Log()))
	}
}

// Guards against an election by (term, received) that loses acknowledged writes: a replica that has joined a new term,
// but lacks part of the history before it, must not report the new term.
func TestTermIsReportedOnlyWithItsHistory(t *testing.T) {
	g := NewWithT(t)
	s := group(t)
	s[2].CutReplication(true)
	const n = 700 // more than one answer of the replication link holds
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	insert(t, connect(t, s[0]), all...)
	await(t, s[1], "all writes", func(st port.Status) bool { return st.Received == n })
	_, err := s[1].Promote(within(t), 2)
	g.Expect(err).NotTo(HaveOccurred())
	st, err := s[2].Follow(2, s[1].Addr())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]uint64{st.Term, st.Promised, st.Received}).To(Equal([]uint64{1, 2, 0}))
	s[2].SetNetDelay(50 * time.Millisecond) // keeps the state between two answers visible
	s[2].CutReplication(false)
	partial := false
	await(t, s[2], "term 2", func(st port.Status) bool {
		partial = partial || st.Received > 0 && st.Received < n
		if st.Term == 2 {
			g.Expect(st.Received).To(Equal(uint64(n)))
		}
		return st.Term == 2
	})
	g.Expect(partial).To(BeTrue(), "the state between two answers was not seen")
}

// Guards against readers on a replica that see a transaction in part, and against a replication link that ignores
// its route.
func TestReplicaSnapshots(t *testing.T) {
	g := NewWithT(t)
	a := primary(t)
	link, err := fault.New(a.Addr())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(link.Close)
	b := start(t, server.Config{Term: 1, Follow: a.Addr(), Routes: map[string]string{a.Addr(): link.Addr()}, Lag: time.Millisecond})
	c, reader := connect(t, a), connect(t, b)
	insert(t, c, 1, 2)
	await(t, b, "both sheets", func(st port.Status) bool { return st.Applied == 2 })
	_, err = c.Exec(within(t), "UPDATE sheet SET drawer = 500")
	g.Expect(err).NotTo(HaveOccurred())
	await(t, b, "the drawers", func(st port.Status) bool { return st.Applied == 3 })
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
		g.Expect(reader.QueryRow(within(t), "SELECT sum(drawer) FROM sheet").Scan(&sum)).To(Succeed())
		g.Expect(sum).To(Equal(int64(1000)))
	}
	await(t, b, "all transfers", func(st port.Status) bool { return st.Applied == 203 })
	g.Expect(link.Opened()).To(BeNumerically(">", 0))
}

// Guards against lost log entries after a crash, and against a frozen server that answers or drops its connections.
func TestCrashAndFreeze(t *testing.T) {
	g := NewWithT(t)
	s := group(t)
	c := connect(t, s[0])
	insert(t, c, 1)
	tx, err := c.Begin(within(t))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(within(t), "INSERT INTO sheet (id, title) VALUES (2, 'x')")
	g.Expect(err).NotTo(HaveOccurred())
	addr := s[0].Addr()
	s[0].Crash()
	g.Expect(tx.Commit(within(t))).NotTo(Succeed())
	_, err = net.Dial("tcp", addr)
	g.Expect(err).To(HaveOccurred())
	g.Expect(s[0].Restart()).To(Succeed())
	g.Expect(s[0].Addr()).To(Equal(addr))
	c = connect(t, s[0])
	g.Expect(ids(t, s[0])).To(Equal("[[1]]"))
	insert(t, c, 3)
	await(t, s[1], "replication after the restart", func(st port.Status) bool { return st.Applied == 2 })

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
	await(t, s[2], "replication after the freeze", func(st port.Status) bool { return st.Applied == 3 })
}

// Guards against groups that do not converge: after any sequence of writes, isolation and promotions, every server
// ends with the log of the last primary and the database that the log produces, and no write confirmed by a majority
// is missing.
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
		cut, healed := -1, true
		for range rapid.IntRange(2, 6).Draw(r, "rounds") {
			if healed { // otherwise the same server stays isolated, since a majority needs the other two
				cut = rapid.IntRange(-1, 2).Draw(r, "cut")
			}
			if cut >= 0 {
				s[cut].CutReplication(true)
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
				if cut != leader {
					confirmed = append(confirmed, fmt.Sprint(id))
				}
			}
			if cut != leader { // wait until a majority holds the writes
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
			leader = elect(ctx, r, s, cut, term)
			if healed = cut < 0 || rapid.Bool().Draw(r, "heal"); healed && cut >= 0 {
				if _, err := s[cut].Follow(term, s[leader].Addr()); err != nil {
					r.Fatal(err)
				}
				s[cut].CutReplication(false)
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
				r.Fatalf("%s does not catch up: %+v, apply error %v", x.Addr(), st, x.Err())
			}
			NewWithT(r).Expect(x.Log()).To(Equal(want))
			NewWithT(r).Expect(x.Query(ctx, "SELECT id FROM sheet ORDER BY id")).To(Equal(rows))
		}
		held := map[string]bool{}
		for _, row := range rows {
			held[fmt.Sprint(row[0])] = true
		}
		for _, id := range confirmed {
			if !held[id] {
				r.Fatalf("write %s was confirmed by a majority and is lost", id)
			}
		}
	})
}

// elect promotes the reachable server with the highest (term, received) as design decision D6 does.
func elect(ctx context.Context, r *rapid.T, s []*server.Server, cut int, term uint64) int {
	best, at := port.Status{}, -1
	for i := range s {
		if i == cut {
			continue
		}
		st, err := s[i].Fence(term)
		if err != nil {
			r.Fatal(err)
		}
		if at < 0 || st.Term > best.Term || st.Term == best.Term && st.Received > best.Received {
			best, at = st, i
		}
	}
	if _, err := s[at].Promote(ctx, term); err != nil {
		r.Fatal(err)
	}
	for i := range s {
		if i != at && i != cut {
			if _, err := s[i].Follow(term, s[at].Addr()); err != nil {
				r.Fatal(err)
			}
		}
	}
	return at
}

// Guards against two primaries of one term, when a store that came back older has given its number to two candidates.
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
