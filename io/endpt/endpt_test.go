package endpt_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/sess"
	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/endpt"
)

const patience = 10 * time.Second

// source is a status that tests set.
type source struct {
	mu sync.Mutex
	st port.Status
	no bool
}

func (s *source) Status() (port.Status, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.st, time.Now(), !s.no
}

func (s *source) set(change func(st *port.Status)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.st)
}

func primary() *source {
	return &source{st: port.Status{Term: 1, Promised: 1, Applied: 0, Role: port.RolePrimary, Connections: 1}}
}

func open(t testing.TB, f *fake, src *source, change ...func(*endpt.Config)) *endpt.Server {
	svc := svcdef.New(svcdef.Spec{
		Name: "s", Database: "db", Login: svcdef.LoginSpec{User: "u", Password: "p"},
		Servers: []svcdef.ServerSpec{{Address: f.listener.Addr().String(), Slots: 3, Connections: 34}},
	})
	cfg := endpt.Config{Service: svc, Server: svc.Servers()[0], Status: src}
	for _, c := range change {
		c(&cfg)
	}
	s := endpt.New(cfg)
	t.Cleanup(s.Close)
	return s
}

func query(class stmt.Class, sql string) work.Unit {
	b, _ := (&pgproto3.Query{String: sql}).Encode(nil)
	return work.Unit{Class: class, Fingerprint: uint64(len(sql)), Remaining: patience, Frames: b}
}

// extended is a unit that prepares a statement, if parse is set, and runs it.
func extended(class stmt.Class, name, sql string, parse bool, params ...string) work.Unit {
	var b []byte
	add := func(m pgproto3.FrontendMessage) { b, _ = m.Encode(b) }
	if parse {
		add(&pgproto3.Parse{Name: name, Query: sql})
	}
	bind := &pgproto3.Bind{PreparedStatement: name}
	for _, p := range params {
		bind.Parameters = append(bind.Parameters, []byte(p))
	}
	add(bind)
	add(&pgproto3.Execute{})
	add(&pgproto3.Sync{})
	return work.Unit{
		Class: class, Fingerprint: 5, Remaining: patience, Frames: b,
		Prepared: []work.Prepared{{Name: name, SQL: sql}},
	}
}

// capture collects an answer as the letters of its messages, and its rows.
type capture struct {
	kinds string
	rows  []string
	calls int
	size  int
}

func (c *capture) sink(b []byte) error {
	c.calls++
	c.size = max(c.size, len(b))
	for len(b) > 0 {
		n := int(b[1])<<24 | int(b[2])<<16 | int(b[3])<<8 | int(b[4]) + 1
		c.kinds += string(b[:1])
		if b[0] == 'D' {
			c.rows = append(c.rows, string(b[11:n]))
		}
		b = b[n:]
	}
	return nil
}

func run(st work.Stream, u work.Unit) (work.Final, *capture) {
	c := &capture{}
	return st.Run(context.Background(), u, c.sink), c
}

func echo(sql string, params [][]byte) reply {
	if len(params) > 0 {
		sql = string(params[0])
	}
	word, _, _ := strings.Cut(sql, " ")
	if word == "INSERT" {
		return reply{tag: "INSERT 0 1"}
	}
	return reply{rows: []string{sql}, tag: "SELECT 1"}
}

// Guards against an answer that is cut, or that holds ReadyForQuery or the position of a commit.
func TestAnswerAndCommitPoint(t *testing.T) {
	g := NewWithT(t)
	s := open(t, newFake(t, echo), primary())
	st := s.Open("anna")
	defer st.Close()
	f, a := run(st, query(stmt.Read, "SELECT 1"))
	g.Expect(f.Code).To(Equal(result.OK), f.Message)
	g.Expect(a.kinds).To(Equal("TDC"))
	g.Expect(a.rows).To(Equal([]string{"SELECT 1"}))
	g.Expect(f.Committed().IsZero()).To(BeTrue())
	f, a = run(st, query(stmt.Write, "INSERT x"))
	g.Expect(f.Code).To(Equal(result.OK), f.Message)
	g.Expect(a.kinds).To(Equal("C"))
	g.Expect(f.Committed()).To(Equal(point.New(1, 1)))
	g.Expect(f.Info.AppliedPoint()).To(Equal(point.New(1, 1)), "the commit counts before the next status")
	u := query(stmt.Read, "SELECT 2")
	u.Term, u.Position = 1, 1
	f, _ = run(st, u)
	g.Expect(f.Code).To(Equal(result.OK))
	u.Position = 2
	f, a = run(st, u)
	g.Expect(f.Code).To(Equal(result.ServerBehind))
	g.Expect(a.calls).To(BeZero())
}

// Guards against statements prepared twice, ParseComplete messages that the caller did not ask for or misses, and
// connections with ever more prepared statements.
func TestPreparedStatements(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, echo)
	s := open(t, f, primary(), func(c *endpt.Config) { c.MaxPrepared = 2 })
	st := s.Open("anna")
	defer st.Close()
	fin, a := run(st, query(stmt.Begin, "BEGIN")) // one connection from here on
	g.Expect(fin.Status).To(Equal(work.TxActive))
	fin, a = run(st, extended(stmt.Read, "p1", "SELECT 1", false))
	g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	g.Expect(a.kinds).To(Equal("2DC"))
	_, a = run(st, extended(stmt.Read, "p1", "SELECT 1", true))
	g.Expect(a.kinds).To(Equal("12DC"))
	g.Expect(f.seen("parse p1")).To(Equal(1))
	_, a = run(st, extended(stmt.Read, "p2", "SELECT 2", true))
	g.Expect(a.kinds).To(Equal("12DC"))
	_, a = run(st, extended(stmt.Read, "p3", "SELECT 3", true))
	g.Expect(a.kinds).To(Equal("12DC"))
	g.Expect(f.seen("close p1")).To(Equal(1))
	fin, a = run(st, extended(stmt.Read, "p1", "SELECT 1", false))
	g.Expect(a.kinds).To(Equal("2DC"))
	g.Expect(f.seen("parse p1")).To(Equal(2))
	g.Expect(fin.Status).To(Equal(work.TxActive))
}

// Guards against an error in an open transaction that desynchronises the answers which are supplied here.
func TestErrorSkipsToSync(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(sql string, p [][]byte) reply {
		if sql == "BAD" {
			return reply{code: "22012"}
		}
		return echo(sql, p)
	})
	s := open(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	run(st, query(stmt.Begin, "BEGIN"))
	_, _ = run(st, extended(stmt.Read, "p1", "SELECT 1", true))
	u := extended(stmt.Read, "bad", "BAD", true)
	u.Frames = append(u.Frames[:len(u.Frames)-5], extended(stmt.Read, "p1", "SELECT 1", true).Frames...)
	fin, a := run(st, u)
	g.Expect(fin.Code).To(Equal(result.OK))
	g.Expect(a.kinds).To(Equal("12E"))
	g.Expect(fin.Status).To(Equal(work.TxFailed))
	fin, a = run(st, query(stmt.Rollback, "ROLLBACK"))
	g.Expect(a.kinds).To(Equal("C"))
	g.Expect(fin.Status).To(Equal(work.TxIdle))
}

// Guards against "not run" for a write that may have run, "unknown" for a read, and reuse of a connection in doubt.
func TestConnectionClosedAfterSending(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(sql string, p [][]byte) reply {
		if strings.HasSuffix(sql, "drop") {
			return reply{drop: true}
		}
		if strings.HasSuffix(sql, "fatal") {
			return reply{code: "57P01", fatal: true}
		}
		return echo(sql, p)
	})
	s := open(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	for _, how := range []string{"drop", "fatal"} {
		fin, a := run(st, query(stmt.Write, "INSERT "+how))
		g.Expect(fin.Code).To(Equal(result.ConnectionLost), fin.Message)
		g.Expect(a.calls).To(BeZero())
		fin, a = run(st, query(stmt.Read, "SELECT "+how))
		g.Expect(fin.Code).To(Equal(result.NoServer), fin.Message)
		g.Expect(a.calls).To(BeZero())
	}
	run(st, query(stmt.Begin, "BEGIN"))
	fin, _ := run(st, query(stmt.Read, "SELECT drop"))
	g.Expect(fin.Code).To(Equal(result.RolledBack))
	g.Expect(fin.Status).To(Equal(work.TxIdle))
	fin, _ = run(st, query(stmt.Read, "SELECT 1"))
	g.Expect(fin.Code).To(Equal(result.OK))
}

// Guards against an unknown outcome for a write on a connection that the server had closed before.
func TestIdleConnectionsClosedByServer(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, echo)
	s := open(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	fin, _ := run(st, query(stmt.Write, "INSERT 1"))
	g.Expect(fin.Code).To(Equal(result.OK))
	g.Eventually(func() int { return s.State().Idle }, patience).Should(Equal(4))
	f.dropAll()
	g.Eventually(f.count, patience).Should(BeZero())
	fin, _ = run(st, query(stmt.Write, "INSERT 2"))
	g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
}

// Guards against a frozen server that keeps units and connections for ever.
func TestFrozenServer(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(string, [][]byte) reply { return reply{wait: make(chan struct{})} })
	s := open(t, f, primary())
	var wg sync.WaitGroup
	codes := make([]result.Code, 12)
	for i := range codes {
		wg.Go(func() {
			st := s.Open(fmt.Sprint("c", i))
			defer st.Close()
			u := query(stmt.Write, fmt.Sprintf("INSERT %d.", i))
			u.Remaining = 200 * time.Millisecond
			fin, _ := run(st, u)
			codes[i] = fin.Code
		})
	}
	wg.Wait()
	lost := 0
	for i, c := range codes {
		if c == result.ConnectionLost {
			lost++
			continue
		}
		g.Expect(c).To(Equal(result.DeadlineTooClose))
		g.Expect(f.seen(fmt.Sprintf("INSERT %d.", i))).To(BeZero(), "a unit that ended as not run was sent")
	}
	g.Expect(lost).To(BeNumerically(">=", 3))
	g.Eventually(func() int { return s.State().Short + s.State().Long }, patience).Should(BeZero())
}

// Guards against refusing work that has waited for a new primary, and against an excess of demand that waits for its
// deadline. The clock stands still, so that no unit ends and the estimates stay as they are.
func TestMaxWait(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(string, [][]byte) reply { return reply{wait: make(chan struct{})} })
	now := time.Now()
	s := open(t, f, primary(), func(c *endpt.Config) {
		c.Now = func() time.Time { return now }
		spec := c.Service.Spec()
		spec.MaxWait = time.Millisecond
		c.Service = svcdef.New(spec)
	})
	submit := func(deferred bool) <-chan result.Code {
		end := make(chan result.Code, 1)
		st := s.Open(fmt.Sprint("c", deferred))
		u := query(stmt.Read, "SELECT 1")
		u.Deferred = deferred
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() {
			defer st.Close()
			end <- st.Run(ctx, u, func([]byte) error { return nil }).Code
		}()
		return end
	}
	for n := 1; n <= 4; n++ {
		submit(false)
		g.Eventually(func() int { st := s.State(); return st.Short + st.Queued }, patience).Should(Equal(n))
	}
	g.Eventually(func() int { return s.State().Short }, patience).Should(Equal(3))
	// Three units run and one waits, so the next would wait for a third of the 5 ms that an unknown unit is expected to take.
	var code result.Code
	g.Eventually(submit(false), patience).Should(Receive(&code))
	g.Expect(code).To(Equal(result.Overloaded))
	submit(true)
	g.Eventually(func() int { return s.State().Queued }, patience).Should(Equal(2))
}

// Guards against "not run" for a transaction whose COMMIT was sent together with the BEGIN of the next one.
func TestCommitBesideBegin(t *testing.T) {
	for _, begin := range []stmt.Class{stmt.Begin, stmt.BeginReadOnly} {
		t.Run(fmt.Sprint(begin), func(t *testing.T) {
			g := NewWithT(t)
			class, _ := sess.Summary([]stmt.Info{
				stmt.NewInfo(stmt.Commit, stmt.EffectNone, 1, nil, ""), stmt.NewInfo(begin, stmt.EffectNone, 2, nil, ""),
			})
			s := open(t, newFake(t, func(sql string, p [][]byte) reply {
				return reply{tag: "INSERT 0 1", drop: strings.HasPrefix(sql, "END")}
			}), primary())
			st := s.Open("anna")
			defer st.Close()
			run(st, query(stmt.Begin, "BEGIN"))
			run(st, query(stmt.Write, "INSERT 1"))
			fin, _ := run(st, query(class, "END; BEGIN"))
			g.Expect(fin.Code).To(Equal(result.ConnectionLost), fin.Message)
		})
	}
}

// Guards against a write error of a replaced primary that reaches the caller, and against hiding it in a transaction.
func TestReadOnlyServer(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(sql string, p [][]byte) reply {
		if strings.HasPrefix(sql, "INSERT") {
			return reply{code: "25006"}
		}
		return echo(sql, p)
	})
	src := primary()
	s := open(t, f, src)
	st := s.Open("anna")
	defer st.Close()
	fin, a := run(st, query(stmt.Write, "INSERT 1"))
	g.Expect(fin.Code).To(Equal(result.NotPrimary))
	g.Expect(a.calls).To(BeZero())
	run(st, query(stmt.Begin, "BEGIN"))
	fin, a = run(st, query(stmt.Write, "INSERT 1"))
	g.Expect(fin.Code).To(Equal(result.OK))
	g.Expect(a.kinds).To(Equal("E"))
	run(st, query(stmt.Rollback, "ROLLBACK"))
	u := query(stmt.Write, "INSERT 1")
	u.NeedsPrimary = true
	src.set(func(s *port.Status) { s.Promised = 2 })
	fin, _ = run(st, u)
	g.Expect(fin.Code).To(Equal(result.NotPrimary))
	n := f.seen("INSERT")
	g.Expect(n).To(Equal(2), "nothing is sent to a server that has promised a newer term")
}

// refreshing is a source that can be asked now.
type refreshing struct {
	*source
	refresh func() error
}

func (r refreshing) Refresh(context.Context) error { return r.refresh() }

// Guards against a write in the caller's own read-only transaction that is tried again until its deadline.
func TestOwnReadOnlyTransaction(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(string, [][]byte) reply { return reply{code: "25006"} })
	src := primary()
	s := open(t, f, src, func(c *endpt.Config) { c.Status = refreshing{src, func() error { return nil }} })
	for _, replaced := range []bool{false, true} {
		st := s.Open("anna")
		u := extended(stmt.Write, "", "BEGIN READ ONLY", true)
		u.Frames = u.Frames[:len(u.Frames)-5] // without Sync
		u.Frames = append(u.Frames, extended(stmt.Write, "", "INSERT 1", true).Frames...)
		if replaced {
			src.set(func(st *port.Status) { st.Promised = 2 })
		}
		fin, a := run(st, u)
		if replaced {
			g.Expect(fin.Code).To(Equal(result.NotPrimary))
		} else {
			g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
			g.Expect(a.kinds).To(Equal("12C12E"))
			g.Expect(fin.Status).To(Equal(work.TxFailed))
		}
		st.Close()
	}
}

// Guards against an acknowledgement before the quorum has confirmed the commit, and against one without it.
func TestConfirm(t *testing.T) {
	g := NewWithT(t)
	var verdict atomic.Pointer[error]
	var passed atomic.Bool
	f := newFake(t, echo)
	s := open(t, f, primary(), func(c *endpt.Config) {
		c.Confirm = func(_ context.Context, p point.Point) error {
			if passed.Load() || p.IsZero() {
				return errors.New("the answer was passed on before")
			}
			if e := verdict.Load(); e != nil {
				return *e
			}
			return nil
		}
	})
	st := s.Open("anna")
	defer st.Close()
	sink := func([]byte) error { passed.Store(true); return nil }
	fin := st.Run(context.Background(), query(stmt.Write, "INSERT 1"), sink)
	g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	passed.Store(false)
	no := errors.New("no majority")
	verdict.Store(&no)
	fin = st.Run(context.Background(), query(stmt.Write, "INSERT 1"), sink)
	g.Expect(fin.Code).To(Equal(result.QuorumNotReached))
	g.Expect(passed.Load()).To(BeFalse())
	run(st, query(stmt.Begin, "BEGIN"))
	fin, _ = run(st, query(stmt.Write, "INSERT 1"))
	g.Expect(fin.Code).To(Equal(result.OK), "nothing is committed yet")
	fin, a := run(st, query(stmt.Commit, "COMMIT"))
	g.Expect(fin.Code).To(Equal(result.QuorumNotReached))
	g.Expect(a.calls).To(BeZero())
	g.Expect(fin.Status).To(Equal(work.TxIdle))
}

// Guards against a large answer that is held whole or passed in pieces that the next hop refuses.
func TestLargeAnswer(t *testing.T) {
	g := NewWithT(t)
	row := strings.Repeat("x", 10_000)
	f := newFake(t, func(string, [][]byte) reply {
		r := reply{tag: "SELECT 300"}
		for range 300 {
			r.rows = append(r.rows, row)
		}
		return r
	})
	s := open(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	for _, class := range []stmt.Class{stmt.Read, stmt.Write} {
		fin, a := run(st, query(class, "SELECT many"))
		g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
		g.Expect(a.rows).To(HaveLen(300))
		g.Expect(a.size).To(BeNumerically("<=", 64<<10))
	}
	fin := st.Run(context.Background(), query(stmt.Read, "SELECT many"), func([]byte) error { return errors.New("gone") })
	g.Expect(fin.Code).To(Equal(result.ConnectionLost))
}

// Guards against a leaving or unknown server that takes new work, and against an interrupted transaction on one.
func TestLeaving(t *testing.T) {
	g := NewWithT(t)
	src := primary()
	s := open(t, newFake(t, echo), src)
	a, b := s.Open("anna"), s.Open("bert")
	defer a.Close()
	defer b.Close()
	run(a, query(stmt.Begin, "BEGIN"))
	src.set(func(st *port.Status) { st.Leaving = true })
	fin, _ := run(b, query(stmt.Read, "SELECT 1"))
	g.Expect(fin.Code).To(Equal(result.ServerLeaving))
	fin, _ = run(a, query(stmt.Read, "SELECT 1"))
	g.Expect(fin.Code).To(Equal(result.OK))
	fin, _ = run(a, query(stmt.Commit, "COMMIT"))
	g.Expect(fin.Code).To(Equal(result.OK))
}

// Guards against a stale read from a former primary that was rebuilt from a backup and is taken to hold what it committed.
func TestRebuiltAsReplica(t *testing.T) {
	g := NewWithT(t)
	src := primary()
	s := open(t, newFake(t, echo), src)
	st := s.Open("anna")
	defer st.Close()
	fin, _ := run(st, query(stmt.Write, "INSERT 1"))
	g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	u := query(stmt.Read, "SELECT 1")
	u.Term, u.Position = fin.Term, fin.Position
	fin, _ = run(st, u)
	g.Expect(fin.Code).To(Equal(result.OK), "the last status of the primary may be older than the commit")
	src.set(func(st *port.Status) { st.Role = port.RoleReplica })
	fin, _ = run(st, u)
	g.Expect(fin.Code).To(Equal(result.ServerBehind))
	g.Expect(fin.Info.Applied).To(BeZero())
}

// Guards against a replica that is refused although it catches up within the wait.
func TestBehindForAMoment(t *testing.T) {
	g := NewWithT(t)
	src := &source{st: port.Status{Term: 1, Applied: 4, Role: port.RoleReplica, Connections: 1}}
	s := open(t, newFake(t, echo), src, func(c *endpt.Config) { c.BehindWait = patience })
	st := s.Open("anna")
	defer st.Close()
	u := query(stmt.Read, "SELECT 1")
	u.Term, u.Position = 1, 5
	done := make(chan work.Final)
	go func() { f, _ := run(st, u); done <- f }()
	src.set(func(st *port.Status) { st.Applied = 5 })
	g.Expect((<-done).Code).To(Equal(result.OK))
}

// Guards against a cancel request that hits the next statement on the connection, and one that does nothing.
func TestCancel(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(sql string, p [][]byte) reply {
		if strings.HasSuffix(sql, "slow") {
			return reply{hang: true}
		}
		return echo(sql, p)
	})
	s := open(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	done := make(chan *capture)
	go func() { _, a := run(st, query(stmt.Read, "SELECT slow")); done <- a }()
	g.Eventually(func() int { return f.seen("SELECT slow") }, patience).Should(Equal(1))
	before := s.State().Open
	st.Cancel()
	g.Expect((<-done).kinds).To(Equal("E"))
	st.Cancel() // nothing runs
	g.Eventually(func() int { return s.State().Idle }, patience).Should(Equal(4))
	g.Expect(f.opened).To(BeNumerically(">", before), "the cancelled connection is replaced")
}

// Guards against state of one caller's session that the next caller sees, and transactions that are left open.
func TestResetAndRollback(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, echo)
	s := open(t, f, primary())
	st := s.Open("anna")
	u := query(stmt.Read, "SELECT pin")
	u.KeepConnection = true
	fin, _ := run(st, u)
	g.Expect(fin.Code).To(Equal(result.OK))
	g.Expect(s.State().Held).To(Equal(1))
	st.Close()
	g.Eventually(func() int { return f.seen("DISCARD ALL") }, patience).Should(Equal(1))
	st = s.Open("anna")
	run(st, query(stmt.Begin, "BEGIN"))
	st.Close()
	g.Eventually(func() int { return f.seen("ROLLBACK") }, patience).Should(Equal(1))
	g.Expect(s.State().Held).To(BeZero())
	fin, _ = run(st, query(stmt.Read, "SELECT 1"))
	g.Expect(fin.Code).To(Equal(result.ShuttingDown))
}

// Guards against a parameter that a function has changed, which the statement does not show, and the next caller finds so.
func TestChangedParameter(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(sql string, p [][]byte) reply {
		r := echo(sql, p)
		r.param = "TimeZone"
		return r
	})
	st := open(t, f, primary()).Open("anna")
	defer st.Close()
	fin, a := run(st, query(stmt.Unknown, "SELECT f()"))
	g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	g.Expect(a.kinds).To(Equal("TDC"))
	g.Eventually(func() int { return f.seen("DISCARD ALL") }, patience).Should(Equal(1))
}

// Guards against a session that listens and loses its connection, or a notification, when one arrives between two units.
func TestNotificationBetweenUnits(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, echo)
	st := open(t, f, primary()).Open("anna")
	defer st.Close()
	g.Expect(settled(st, "LISTEN x").Code).To(Equal(result.OK))
	f.notify()
	u := query(stmt.Read, "SELECT 1")
	u.KeepConnection = true
	fin, a := run(st, u)
	g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	g.Expect(a.kinds).To(Equal("ATDC"))
}

// Guards against a unit of a session with settings of its own that runs on another connection, without the settings, after
// the one that held them was lost.
func TestLostSettings(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(f *fake, st work.Stream) work.Final
		code result.Code
	}{
		{"by the server while idle", func(f *fake, st work.Stream) work.Final {
			f.dropAll()
			return settled(st, "SELECT 1")
		}, result.NoServer},
		{"during a read", func(_ *fake, st work.Stream) work.Final { return settled(st, "SELECT drop") }, result.NoServer},
		{"during a transaction", func(_ *fake, st work.Stream) work.Final {
			run(st, query(stmt.Begin, "BEGIN"))
			return settled(st, "SELECT drop")
		}, result.RolledBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFake(t, func(sql string, p [][]byte) reply {
				if strings.HasSuffix(sql, "drop") {
					return reply{drop: true}
				}
				return echo(sql, p)
			})
			st := open(t, f, primary()).Open("anna")
			defer st.Close()
			g.Expect(settled(st, "SET x").StreamLost).To(BeFalse())
			g.Eventually(func() bool { return f.count() > 0 }, patience).Should(BeTrue())
			fin := c.lose(f, st)
			g.Expect(fin.Code).To(Equal(c.code), fin.Message)
			g.Expect(fin.StreamLost).To(BeTrue())
			fin = settled(st, "SELECT after")
			g.Expect(fin.Code).To(Equal(result.RolledBack))
			g.Expect(f.seen("SELECT after")).To(BeZero())
		})
	}
}

// settled runs a statement of a session that keeps its connection.
func settled(st work.Stream, sql string) work.Final {
	u := query(stmt.Read, sql)
	u.KeepConnection = true
	fin, _ := run(st, u)
	return fin
}

// Guards against a server over its slots or its connection limit under many callers, and against lost units.
func TestManyCallers(t *testing.T) {
	g := NewWithT(t)
	var at, most atomic.Int32
	f := newFake(t, func(sql string, p [][]byte) reply {
		n := at.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		defer at.Add(-1)
		return echo(sql, p)
	})
	s := open(t, f, primary())
	var wg sync.WaitGroup
	var ok atomic.Int32
	for i := range 50 {
		wg.Go(func() {
			for k := range 20 {
				st := s.Open(fmt.Sprint("c", i))
				if k%4 == 0 {
					run(st, query(stmt.Begin, "BEGIN"))
				}
				want := fmt.Sprintf("SELECT %d.%d", i, k)
				fin, a := run(st, query(stmt.Read, want))
				if fin.Code == result.OK && len(a.rows) == 1 && a.rows[0] == want {
					ok.Add(1)
				}
				st.Close()
			}
		})
	}
	wg.Wait()
	g.Expect(ok.Load()).To(Equal(int32(1000)))
	g.Expect(most.Load()).To(BeNumerically("<=", 3))
	g.Expect(f.count()).To(BeNumerically("<=", 30))
}

// Guards against units that wait until their deadline although nobody listens at the server's address.
func TestDeadServer(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, echo)
	_ = f.listener.Close()
	s := open(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	for range 3 {
		fin, _ := run(st, query(stmt.Write, "INSERT 1"))
		g.Expect(fin.Code).To(Equal(result.ConnectFailed))
	}
}

// Guards against a stop that interrupts a transaction, and new work after it began.
func TestDrain(t *testing.T) {
	g := NewWithT(t)
	s := open(t, newFake(t, echo), primary())
	st := s.Open("anna")
	defer st.Close()
	run(st, query(stmt.Begin, "BEGIN"))
	done := make(chan error)
	go func() { done <- s.Drain(context.Background()) }()
	g.Eventually(func() bool { return s.State().Draining }, patience).Should(BeTrue())
	other := s.Open("bert")
	fin, _ := run(other, query(stmt.Read, "SELECT 1"))
	g.Expect(fin.Code).To(Equal(result.NotOwner))
	fin, _ = run(st, query(stmt.Commit, "COMMIT"))
	g.Expect(fin.Code).To(Equal(result.OK))
	g.Expect(<-done).To(Succeed())
}

// Guards against a leaving primary that is not replaced, and an owner that does not hand over its server, as long as a session
// with settings does nothing; and against a transaction that is cut off.
func TestQuietBesideIdleSession(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, echo)
	s := open(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	g.Expect(settled(st, "SET x").Code).To(Equal(result.OK))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	g.Expect(s.Quiesce(ctx)).To(Succeed())
	g.Expect(settled(st, "BEGIN").Status).To(Equal(work.TxActive))
	ended, stop := context.WithCancel(context.Background())
	stop()
	g.Expect(s.Quiesce(ended)).NotTo(Succeed())
	g.Expect(settled(st, "COMMIT").Status).To(Equal(work.TxIdle))
	g.Expect(s.Drain(ctx)).To(Succeed())
	g.Expect(s.State().Held).To(Equal(1))
}

// Guards against a graceful stop that ends the wait for the confirmation of a commit, which makes its outcome unknown.
func TestDrainAwaitsConfirmation(t *testing.T) {
	g := NewWithT(t)
	committed, confirm := make(chan struct{}), make(chan struct{})
	s := open(t, newFake(t, echo), primary(), func(c *endpt.Config) {
		c.Confirm = func(ctx context.Context, _ point.Point) error {
			close(committed)
			select {
			case <-confirm:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	})
	st := s.Open("anna")
	defer st.Close()
	fin := make(chan work.Final, 1)
	go func() {
		f, _ := run(st, query(stmt.Write, "INSERT 1"))
		fin <- f
	}()
	<-committed
	soon, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	g.Expect(s.Quiesce(soon)).NotTo(Succeed())
	g.Expect(s.Drain(soon)).NotTo(Succeed())
	close(confirm)
	g.Expect((<-fin).Code).To(Equal(result.OK))
	g.Expect(s.Drain(context.Background())).To(Succeed())
	g.Expect(s.Quiesce(context.Background())).To(Succeed())
}
