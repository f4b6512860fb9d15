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

const testTimeout = 10 * time.Second

// fakeStatus is a status source that tests set.
type fakeStatus struct {
	mu      sync.Mutex
	st      port.Status
	unknown bool
}

func (s *fakeStatus) Status() (port.Status, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.st, time.Now(), !s.unknown
}

func (s *fakeStatus) set(change func(st *port.Status)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.st)
}

func primary() *fakeStatus {
	return &fakeStatus{st: port.Status{Term: 1, Promised: 1, Applied: 0, Role: port.RolePrimary, Connections: 1}}
}

func newServer(t testing.TB, f *fakeServer, src *fakeStatus, change ...func(*endpt.Config)) *endpt.Server {
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
	return work.Unit{Class: class, Fingerprint: uint64(len(sql)), Remaining: testTimeout, Frames: b}
}

// extended returns a unit that runs a prepared statement; with parse, it prepares the statement first.
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
		Class: class, Fingerprint: 5, Remaining: testTimeout, Frames: b,
		Prepared: []work.Prepared{{Name: name, SQL: sql}},
	}
}

// capture is a sink that records the types of the messages and the rows.
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

func echoReply(sql string, params [][]byte) reply {
	if len(params) > 0 {
		sql = string(params[0])
	}
	word, _, _ := strings.Cut(sql, " ")
	if word == "INSERT" {
		return reply{tag: "INSERT 0 1"}
	}
	return reply{rows: []string{sql}, tag: "SELECT 1"}
}

// Guards against an answer that is truncated, or that contains ReadyForQuery or the position of a commit.
func TestAnswerAndCommitPoint(t *testing.T) {
	g := NewWithT(t)
	s := newServer(t, newFake(t, echoReply), primary())
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

// Guards against statements that are prepared twice, against a ParseComplete that the caller did not ask for or that
// is missing, and against connections whose prepared statements grow without limit.
func TestPreparedStatements(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, echoReply)
	s := newServer(t, f, primary(), func(c *endpt.Config) { c.MaxPrepared = 2 })
	st := s.Open("anna")
	defer st.Close()
	fin, a := run(st, query(stmt.Begin, "BEGIN")) // the transaction keeps all units on one connection
	g.Expect(fin.Status).To(Equal(work.TxActive))
	fin, a = run(st, extended(stmt.Read, "p1", "SELECT 1", false))
	g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	g.Expect(a.kinds).To(Equal("2DC"))
	_, a = run(st, extended(stmt.Read, "p1", "SELECT 1", true))
	g.Expect(a.kinds).To(Equal("12DC"))
	g.Expect(f.countLogged("parse p1")).To(Equal(1))
	_, a = run(st, extended(stmt.Read, "p2", "SELECT 2", true))
	g.Expect(a.kinds).To(Equal("12DC"))
	_, a = run(st, extended(stmt.Read, "p3", "SELECT 3", true))
	g.Expect(a.kinds).To(Equal("12DC"))
	g.Expect(f.countLogged("close p1")).To(Equal(1))
	fin, a = run(st, extended(stmt.Read, "p1", "SELECT 1", false))
	g.Expect(a.kinds).To(Equal("2DC"))
	g.Expect(f.countLogged("parse p1")).To(Equal(2))
	g.Expect(fin.Status).To(Equal(work.TxActive))
}

// Guards against answers that get out of step with the requests when an error occurs in an open transaction while a
// ParseComplete is to be supplied by the proxy.
func TestErrorSkipsToSync(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(sql string, p [][]byte) reply {
		if sql == "BAD" {
			return reply{sqlState: "22012"}
		}
		return echoReply(sql, p)
	})
	s := newServer(t, f, primary())
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

// Guards against reporting "not run" for a write that may have run or "unknown" for a read, and against reusing a
// connection whose protocol state is unknown.
func TestConnectionClosedAfterSending(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(sql string, p [][]byte) reply {
		if strings.HasSuffix(sql, "drop") {
			return reply{drop: true}
		}
		if strings.HasSuffix(sql, "fatal") {
			return reply{sqlState: "57P01", fatal: true}
		}
		return echoReply(sql, p)
	})
	s := newServer(t, f, primary())
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

// Guards against an unknown outcome of a write that is sent on an idle connection which the server had already closed.
func TestIdleConnectionsClosedByServer(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, echoReply)
	s := newServer(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	fin, _ := run(st, query(stmt.Write, "INSERT 1"))
	g.Expect(fin.Code).To(Equal(result.OK))
	g.Eventually(func() int { return s.State().IdleConnections }, testTimeout).Should(Equal(4))
	f.dropAll()
	g.Eventually(f.sessionCount, testTimeout).Should(BeZero())
	fin, _ = run(st, query(stmt.Write, "INSERT 2"))
	g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
}

// Guards against units and connections that stay occupied for ever because the server does not answer.
func TestFrozenServer(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(string, [][]byte) reply { return reply{wait: make(chan struct{})} })
	s := newServer(t, f, primary())
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
		g.Expect(f.countLogged(fmt.Sprintf("INSERT %d.", i))).To(BeZero(), "a unit that ended as not run was sent")
	}
	g.Expect(lost).To(BeNumerically(">=", 3))
	g.Eventually(func() int { return s.State().RunningShort + s.State().RunningLong }, testTimeout).Should(BeZero())
}

// Guards against refusing a unit that has already waited for a new primary, and against queueing excess units until
// their deadline instead of refusing them. The clock stands still and no unit ends, so the estimates stay as they are.
func TestMaxWait(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(string, [][]byte) reply { return reply{wait: make(chan struct{})} })
	now := time.Now()
	s := newServer(t, f, primary(), func(c *endpt.Config) {
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
		g.Eventually(func() int { st := s.State(); return st.RunningShort + st.Queued }, testTimeout).Should(Equal(n))
	}
	g.Eventually(func() int { return s.State().RunningShort }, testTimeout).Should(Equal(3))
	// Three units run and one waits. The next would wait for a third of the 5 ms that a unit of unknown cost is expected to
	// take.
	var code result.Code
	g.Eventually(submit(false), testTimeout).Should(Receive(&code))
	g.Expect(code).To(Equal(result.Overloaded))
	submit(true)
	g.Eventually(func() int { return s.State().Queued }, testTimeout).Should(Equal(2))
}

// Guards against reporting "not run" for a transaction whose COMMIT was sent together with the BEGIN of the next one.
func TestCommitBesideBegin(t *testing.T) {
	for _, begin := range []stmt.Class{stmt.Begin, stmt.BeginReadOnly} {
		t.Run(fmt.Sprint(begin), func(t *testing.T) {
			g := NewWithT(t)
			class, _ := sess.Summary([]stmt.Info{
				stmt.NewInfo(stmt.Commit, stmt.EffectNone, 1, nil, ""), stmt.NewInfo(begin, stmt.EffectNone, 2, nil, ""),
			})
			s := newServer(t, newFake(t, func(sql string, p [][]byte) reply {
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

// Guards against passing on the read-only error of a replaced primary to the caller, and against hiding that error in
// a transaction.
func TestReadOnlyServer(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(sql string, p [][]byte) reply {
		if strings.HasPrefix(sql, "INSERT") {
			return reply{sqlState: "25006"}
		}
		return echoReply(sql, p)
	})
	src := primary()
	s := newServer(t, f, src)
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
	n := f.countLogged("INSERT")
	g.Expect(n).To(Equal(2), "nothing is sent to a server that has promised a newer term")
}

// refreshableStatus is a fakeStatus that also implements endpt.Refresher.
type refreshableStatus struct {
	*fakeStatus
	refresh func() error
}

func (r refreshableStatus) Refresh(context.Context) error { return r.refresh() }

// Guards against retrying a write in the caller's own read-only transaction until its deadline.
func TestOwnReadOnlyTransaction(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(string, [][]byte) reply { return reply{sqlState: "25006"} })
	src := primary()
	s := newServer(t, f, src, func(c *endpt.Config) { c.Status = refreshableStatus{src, func() error { return nil }} })
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

// Guards against acknowledging a commit before the quorum has confirmed it, or although the quorum has not.
func TestConfirm(t *testing.T) {
	g := NewWithT(t)
	var confirmErr atomic.Pointer[error]
	var answered atomic.Bool
	f := newFake(t, echoReply)
	s := newServer(t, f, primary(), func(c *endpt.Config) {
		c.ConfirmCommit = func(_ context.Context, p point.Point) error {
			if answered.Load() || p.IsZero() {
				return errors.New("the answer was forwarded before the confirmation")
			}
			if e := confirmErr.Load(); e != nil {
				return *e
			}
			return nil
		}
	})
	st := s.Open("anna")
	defer st.Close()
	sink := func([]byte) error { answered.Store(true); return nil }
	fin := st.Run(context.Background(), query(stmt.Write, "INSERT 1"), sink)
	g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	answered.Store(false)
	errNoQuorum := errors.New("no majority")
	confirmErr.Store(&errNoQuorum)
	fin = st.Run(context.Background(), query(stmt.Write, "INSERT 1"), sink)
	g.Expect(fin.Code).To(Equal(result.QuorumNotReached))
	g.Expect(answered.Load()).To(BeFalse())
	run(st, query(stmt.Begin, "BEGIN"))
	fin, _ = run(st, query(stmt.Write, "INSERT 1"))
	g.Expect(fin.Code).To(Equal(result.OK), "nothing is committed yet")
	fin, a := run(st, query(stmt.Commit, "COMMIT"))
	g.Expect(fin.Code).To(Equal(result.QuorumNotReached))
	g.Expect(a.calls).To(BeZero())
	g.Expect(fin.Status).To(Equal(work.TxIdle))
}

// Guards against buffering a large answer whole, and against forwarding chunks that are too large for the next hop.
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
	s := newServer(t, f, primary())
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

// Guards against a leaving server that accepts new work, and against interrupting an open transaction on it.
func TestLeaving(t *testing.T) {
	g := NewWithT(t)
	src := primary()
	s := newServer(t, newFake(t, echoReply), src)
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

// Guards against a stale read from a former primary that was rebuilt from a backup and is assumed to hold the commits
// that it made before.
func TestRebuiltAsReplica(t *testing.T) {
	g := NewWithT(t)
	src := primary()
	s := newServer(t, newFake(t, echoReply), src)
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

// Guards against refusing a replica that catches up within CatchUpTimeout.
func TestBehindForAMoment(t *testing.T) {
	g := NewWithT(t)
	src := &fakeStatus{st: port.Status{Term: 1, Applied: 4, Role: port.RoleReplica, Connections: 1}}
	s := newServer(t, newFake(t, echoReply), src, func(c *endpt.Config) { c.CatchUpTimeout = testTimeout })
	st := s.Open("anna")
	defer st.Close()
	u := query(stmt.Read, "SELECT 1")
	u.Term, u.Position = 1, 5
	done := make(chan work.Final)
	go func() { f, _ := run(st, u); done <- f }()
	src.set(func(st *port.Status) { st.Applied = 5 })
	g.Expect((<-done).Code).To(Equal(result.OK))
}

// Guards against a cancel request that cancels the next statement on the connection, or that has no effect.
func TestCancel(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(sql string, p [][]byte) reply {
		if strings.HasSuffix(sql, "slow") {
			return reply{hang: true}
		}
		return echoReply(sql, p)
	})
	s := newServer(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	done := make(chan *capture)
	go func() { _, a := run(st, query(stmt.Read, "SELECT slow")); done <- a }()
	g.Eventually(func() int { return f.countLogged("SELECT slow") }, testTimeout).Should(Equal(1))
	before := s.State().OpenConnections
	st.Cancel()
	g.Expect((<-done).kinds).To(Equal("E"))
	st.Cancel() // nothing runs
	g.Eventually(func() int { return s.State().IdleConnections }, testTimeout).Should(Equal(4))
	g.Expect(f.opened).To(BeNumerically(">", before), "the cancelled connection is replaced")
}

// Guards against session state of one caller that the next caller sees, and against transactions that are left open.
func TestResetAndRollback(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, echoReply)
	s := newServer(t, f, primary())
	st := s.Open("anna")
	u := query(stmt.Read, "SELECT pin")
	u.KeepConnection = true
	fin, _ := run(st, u)
	g.Expect(fin.Code).To(Equal(result.OK))
	g.Expect(s.State().HeldConnections).To(Equal(1))
	st.Close()
	g.Eventually(func() int { return f.countLogged("DISCARD ALL") }, testTimeout).Should(Equal(1))
	st = s.Open("anna")
	run(st, query(stmt.Begin, "BEGIN"))
	st.Close()
	g.Eventually(func() int { return f.countLogged("ROLLBACK") }, testTimeout).Should(Equal(1))
	g.Expect(s.State().HeldConnections).To(BeZero())
	fin, _ = run(st, query(stmt.Read, "SELECT 1"))
	g.Expect(fin.Code).To(Equal(result.ShuttingDown))
}

// Guards against a session parameter that the next caller inherits because a function changed it, which the text of
// the statement does not show.
func TestChangedParameter(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(sql string, p [][]byte) reply {
		r := echoReply(sql, p)
		r.changedParam = "TimeZone"
		return r
	})
	st := newServer(t, f, primary()).Open("anna")
	defer st.Close()
	fin, a := run(st, query(stmt.Unknown, "SELECT f()"))
	g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	g.Expect(a.kinds).To(Equal("TDC"))
	g.Eventually(func() int { return f.countLogged("DISCARD ALL") }, testTimeout).Should(Equal(1))
}

// Guards against a listening session that loses its connection, or the notification, when one arrives between two
// units.
func TestNotificationBetweenUnits(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, echoReply)
	st := newServer(t, f, primary()).Open("anna")
	defer st.Close()
	g.Expect(runKeepingConnection(st, "LISTEN x").Code).To(Equal(result.OK))
	f.notifyAll()
	u := query(stmt.Read, "SELECT 1")
	u.KeepConnection = true
	fin, a := run(st, u)
	g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	g.Expect(a.kinds).To(Equal("ATDC"))
}

// Guards against running a unit of a session with settings on a new connection, without the settings, after the
// session's own connection was lost.
func TestLostSettings(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(f *fakeServer, st work.Stream) work.Final
		code result.Code
	}{
		{"by the server while idle", func(f *fakeServer, st work.Stream) work.Final {
			f.dropAll()
			return runKeepingConnection(st, "SELECT 1")
		}, result.NoServer},
		{"during a read", func(_ *fakeServer, st work.Stream) work.Final {
			return runKeepingConnection(st, "SELECT drop")
		}, result.NoServer},
		{"during a transaction", func(_ *fakeServer, st work.Stream) work.Final {
			run(st, query(stmt.Begin, "BEGIN"))
			return runKeepingConnection(st, "SELECT drop")
		}, result.RolledBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFake(t, func(sql string, p [][]byte) reply {
				if strings.HasSuffix(sql, "drop") {
					return reply{drop: true}
				}
				return echoReply(sql, p)
			})
			st := newServer(t, f, primary()).Open("anna")
			defer st.Close()
			g.Expect(runKeepingConnection(st, "SET x").StreamLost).To(BeFalse())
			g.Eventually(func() bool { return f.sessionCount() > 0 }, testTimeout).Should(BeTrue())
			fin := c.lose(f, st)
			g.Expect(fin.Code).To(Equal(c.code), fin.Message)
			g.Expect(fin.StreamLost).To(BeTrue())
			fin = runKeepingConnection(st, "SELECT after")
			g.Expect(fin.Code).To(Equal(result.RolledBack))
			g.Expect(f.countLogged("SELECT after")).To(BeZero())
		})
	}
}

// runKeepingConnection runs a statement in a session that keeps its connection.
func runKeepingConnection(st work.Stream, sql string) work.Final {
	u := query(stmt.Read, sql)
	u.KeepConnection = true
	fin, _ := run(st, u)
	return fin
}

// Guards against exceeding the slots or the connection limit of a server under many callers, and against lost units.
func TestManyCallers(t *testing.T) {
	g := NewWithT(t)
	var running, maxRunning atomic.Int32
	f := newFake(t, func(sql string, p [][]byte) reply {
		n := running.Add(1)
		for m := maxRunning.Load(); n > m && !maxRunning.CompareAndSwap(m, n); m = maxRunning.Load() {
		}
		defer running.Add(-1)
		return echoReply(sql, p)
	})
	s := newServer(t, f, primary())
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
	g.Expect(maxRunning.Load()).To(BeNumerically("<=", 3))
	g.Expect(f.sessionCount()).To(BeNumerically("<=", 30))
}

// Guards against units that wait until their deadline although nothing listens at the server's address.
func TestDeadServer(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, echoReply)
	_ = f.listener.Close()
	s := newServer(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	for range 3 {
		fin, _ := run(st, query(stmt.Write, "INSERT 1"))
		g.Expect(fin.Code).To(Equal(result.ConnectFailed))
	}
}

// Guards against a drain that interrupts a transaction, and against accepting new work after the drain has begun.
func TestDrain(t *testing.T) {
	g := NewWithT(t)
	s := newServer(t, newFake(t, echoReply), primary())
	st := s.Open("anna")
	defer st.Close()
	run(st, query(stmt.Begin, "BEGIN"))
	done := make(chan error)
	go func() { done <- s.Drain(context.Background()) }()
	g.Eventually(func() bool { return s.State().Draining }, testTimeout).Should(BeTrue())
	other := s.Open("bert")
	fin, _ := run(other, query(stmt.Read, "SELECT 1"))
	g.Expect(fin.Code).To(Equal(result.NotOwner))
	fin, _ = run(st, query(stmt.Commit, "COMMIT"))
	g.Expect(fin.Code).To(Equal(result.OK))
	g.Expect(<-done).To(Succeed())
}

// Guards against an idle session with settings that blocks the replacement of a leaving primary or the hand-over of a
// server by its owner, and against interrupting a transaction.
func TestQuietBesideIdleSession(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, echoReply)
	s := newServer(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	g.Expect(runKeepingConnection(st, "SET x").Code).To(Equal(result.OK))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	g.Expect(s.Quiesce(ctx)).To(Succeed())
	g.Expect(runKeepingConnection(st, "BEGIN").Status).To(Equal(work.TxActive))
	ended, stop := context.WithCancel(context.Background())
	stop()
	g.Expect(s.Quiesce(ended)).NotTo(Succeed())
	g.Expect(runKeepingConnection(st, "COMMIT").Status).To(Equal(work.TxIdle))
	g.Expect(s.Drain(ctx)).To(Succeed())
	g.Expect(s.State().HeldConnections).To(Equal(1))
}

// Guards against a graceful shutdown that ends the wait for the confirmation of a commit, which would make its outcome
// unknown.
func TestDrainAwaitsConfirmation(t *testing.T) {
	g := NewWithT(t)
	committed, confirm := make(chan struct{}), make(chan struct{})
	s := newServer(t, newFake(t, echoReply), primary(), func(c *endpt.Config) {
		c.ConfirmCommit = func(ctx context.Context, _ point.Point) error {
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
