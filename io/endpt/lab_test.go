package endpt_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"verbenagate/core/once"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/ctrl"
	"verbenagate/io/endpt"
	"verbenagate/lab/server"
)

const (
	labSchema      = "CREATE TABLE payment (id int PRIMARY KEY, member text)"
	labConnections = 20
)

func labServer(t testing.TB, change func(*server.Config)) *server.Server {
	cfg := server.Config{
		User: "vg", Password: "secret", Scram: true, Primary: true, Term: 1, Slots: 3, MaxConnections: labConnections,
		OpenDelay: server.DefaultOpenDelay, Schema: labSchema,
	}
	if change != nil {
		change(&cfg)
	}
	s, err := server.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// poller is a status source that asks the server over a control connection.
type poller struct {
	c       *ctrl.Client
	mu      sync.Mutex
	st      port.Status
	askedAt time.Time
	ok      bool
}

func (p *poller) Status() (port.Status, time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.st, p.askedAt, p.ok
}

func (p *poller) Refresh(ctx context.Context) error {
	asked := time.Now()
	st, err := p.c.Status(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.st, p.askedAt, p.ok = st, asked, true
	return nil
}

// newOwner returns a Server whose status source polls every 50 ms.
func newOwner(t testing.TB, s *server.Server, change ...func(*endpt.Config)) *endpt.Server {
	svc := svcdef.New(svcdef.Spec{
		Name: "s", Database: "db", Login: svcdef.LoginSpec{User: "vg", Password: "secret"},
		Servers: []svcdef.ServerSpec{{Address: s.Addr(), Slots: 3, Connections: labConnections}},
	})
	p := &poller{c: ctrl.New(s.Addr(), svc.Database(), svc.Login(), "vm1")}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(50 * time.Millisecond)
		defer tick.Stop()
		for ctx.Err() == nil {
			requestCtx, stop := context.WithTimeout(ctx, time.Second)
			_ = p.Refresh(requestCtx)
			stop()
			select {
			case <-tick.C:
			case <-ctx.Done():
			}
		}
	})
	cfg := endpt.Config{Service: svc, Server: svc.Servers()[0], Status: p}
	for _, c := range change {
		c(&cfg)
	}
	e := endpt.New(cfg)
	t.Cleanup(func() { e.Close(); cancel(); wg.Wait(); p.c.Close() })
	return e
}

func insertPayment(id int) work.Unit {
	return query(stmt.Write, fmt.Sprintf("INSERT INTO payment (id, member) VALUES (%d, 'm')", id))
}

func paymentIDs(t testing.TB, s *server.Server) map[int]bool {
	rows, err := s.Query(context.Background(), "SELECT id FROM payment")
	if err != nil {
		t.Fatal(err)
	}
	ids := map[int]bool{}
	for _, r := range rows {
		ids[int(r[0].(int64))] = true
	}
	return ids
}

// Guards against a duplicate of a declared request that runs concurrently with the first one, and against SQL that a
// server rejects.
func TestLabOnce(t *testing.T) {
	g := NewWithT(t)
	s := labServer(t, nil)
	e := newOwner(t, s)
	const sql = "INSERT INTO payment (id, member) VALUES ((SELECT count(*) FROM payment), $1) RETURNING id"
	var wg sync.WaitGroup
	answers := make([]string, 8)
	for i := range answers {
		wg.Go(func() {
			st := e.Open("anna")
			defer st.Close()
			u := extended(stmt.Write, "pay", sql, true, "m1")
			u.IdempotencyKey = &work.OnceKey{Key: "k1", Keep: time.Hour}
			fin, a := run(st, u)
			answers[i] = fmt.Sprint(fin.Code, a.kinds, a.rows)
		})
	}
	wg.Wait()
	for _, a := range answers {
		g.Expect(a).To(Equal("ok12DC[0]"))
	}
	g.Expect(paymentIDs(t, s)).To(HaveLen(1))
	found, _, err := e.Lookup(context.Background(), "anna", "k1", 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	found, _, err = e.Lookup(context.Background(), "anna", "k2", 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())
}

type fixedParser struct{}

func (fixedParser) Parse(string) ([]stmt.Info, error) {
	return []stmt.Info{stmt.NewInfo(stmt.Write, stmt.EffectNone, 5, nil, "")}, nil
}

// Guards against outcome records that are kept for ever, and against deleting records that may still be looked up.
func TestLabExpiry(t *testing.T) {
	g := NewWithT(t)
	spec := svcdef.Spec{Once: []svcdef.OnceRuleSpec{{Statement: "INSERT $1", Key: []int{1}, Keep: time.Hour}}}
	rules, err := once.New(svcdef.New(spec).OnceRules(), fixedParser{})
	g.Expect(err).NotTo(HaveOccurred())
	var clockOffset atomic.Int64
	e := newOwner(t, labServer(t, nil), func(c *endpt.Config) {
		c.OnceRules = rules
		c.Now = func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	})
	key, err := rules.Key(5, [][]byte{[]byte("m1")})
	g.Expect(err).NotTo(HaveOccurred())
	u := insertPayment(1)
	u.IdempotencyKey = &key
	st := e.Open("anna")
	defer st.Close()
	fin, _ := run(st, u)
	g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	// A unit that needs the primary is refused until the server's first status has arrived.
	g.Eventually(func() error {
		_, _, err := e.Lookup(context.Background(), "anna", key.Key, 1)
		return err
	}, testTimeout).Should(Succeed())
	after := func(wait time.Duration) bool {
		clockOffset.Store(int64(wait))
		g.Expect(e.DeleteExpired(context.Background())).To(Succeed())
		found, _, err := e.Lookup(context.Background(), "anna", key.Key, 1)
		g.Expect(err).NotTo(HaveOccurred())
		return found
	}
	g.Expect(after(59 * time.Minute)).To(BeTrue())
	g.Expect(after(61 * time.Minute)).To(BeFalse())
}

// Guards against writes that are acknowledged and lost, reported as not run although they took effect, or applied
// twice, when the server crashes under load and restarts.
func TestLabCrash(t *testing.T) {
	g := NewWithT(t)
	s := labServer(t, func(c *server.Config) { c.ServiceTime = time.Millisecond })
	e := newOwner(t, s)
	const callers, each = 12, 60
	var wg sync.WaitGroup
	var done atomic.Int32
	finals := make([]work.Final, callers*each)
	for c := range callers {
		wg.Go(func() {
			for k := range each {
				id := c*each + k
				st := e.Open(fmt.Sprint("c", c))
				finals[id], _ = run(st, insertPayment(id))
				st.Close()
				done.Add(1)
			}
		})
	}
	g.Eventually(done.Load, testTimeout).Should(BeNumerically(">", 100))
	s.Crash()
	g.Expect(s.Restart()).To(Succeed())
	wg.Wait()
	st := e.Open("last")
	defer st.Close()
	g.Eventually(func() result.Code { fin, _ := run(st, query(stmt.Read, "SELECT 1")); return fin.Code }, testTimeout).
		Should(Equal(result.OK))
	ids := paymentIDs(t, s)
	counts := map[result.Outcome]int{}
	for id, f := range finals {
		o := result.Lookup(f.Code).Outcome()
		counts[o]++
		switch o {
		case result.Done:
			g.Expect(ids[id]).To(BeTrue(), "write %d was acknowledged and lost", id)
		case result.NotRun:
			g.Expect(ids[id]).To(BeFalse(), "write %d was reported as not run but took effect: %s", id, f.Message)
		}
	}
	t.Logf("done %d, not run %d, unknown %d", counts[result.Done], counts[result.NotRun], counts[result.Unknown])
	g.Expect(counts[result.Unknown]).To(BeNumerically("<=", 3), "at most one per slot")
}

// Guards against exceeding a server's connection limit while two VMs own the server and both are under load.
func TestLabTwoOwners(t *testing.T) {
	g := NewWithT(t)
	s := labServer(t, nil)
	owners := []*endpt.Server{newOwner(t, s), newOwner(t, s)}
	var wg sync.WaitGroup
	for c := range 30 {
		wg.Go(func() {
			for k := range 10 {
				st := owners[c%2].Open(fmt.Sprint("c", c))
				run(st, query(stmt.Begin, "BEGIN"))
				run(st, query(stmt.Read, fmt.Sprint("SELECT ", k)))
				run(st, query(stmt.Commit, "COMMIT"))
				st.Close()
			}
		})
	}
	wg.Wait()
	g.Expect(s.RefusedConnections()).To(BeZero())
	g.Expect(s.MaxConnections()).To(BeNumerically("<=", labConnections))
	t.Logf("at most %d connections of %d", s.MaxConnections(), labConnections)
}

// Guards against a session that does not see its caller's own write because another VM that also owns the server
// carried it out. The writes include units with several commits and transactions.
func TestLabRequiredByTwoOwners(t *testing.T) {
	g := NewWithT(t)
	s := labServer(t, nil)
	owners := []*endpt.Server{newOwner(t, s), newOwner(t, s)}
	const callers, writes = 6, 15
	covered := func(caller string, committed point.Point) {
		newest := s.Status().ReceivedPoint()
		for i, o := range owners {
			required := o.RequiredPoints(t.Context(), []string{caller}, newest)[0]
			if !required.Covers(committed) {
				t.Errorf("owner %d requires %v of %s, who was told of %v", i, required, caller, committed)
			}
		}
	}
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			name := fmt.Sprint("c", c)
			for k := range writes {
				id := c*1000 + 3*k
				units := []work.Unit{insertPayment(id)}
				switch k % 3 {
				case 1:
					units = []work.Unit{query(stmt.Begin, "BEGIN"), insertPayment(id), insertPayment(id + 1), query(stmt.Commit, "COMMIT")}
				case 2:
					units = []work.Unit{query(stmt.Write, fmt.Sprintf(
						"BEGIN; INSERT INTO payment VALUES (%d, 'm'); COMMIT; INSERT INTO payment VALUES (%d, 'm')", id, id+1))}
				}
				st := owners[(c+k)%2].Open(name)
				var f work.Final
				for _, u := range units {
					f, _ = run(st, u)
				}
				st.Close()
				if f.Code != result.OK || f.Committed().IsZero() {
					t.Errorf("a write ended with %v and commit %v", f.Code, f.Committed())
				}
				covered(name, f.Committed())
			}
		})
	}
	wg.Wait()

	// Without commits of another owner in between, callers that wrote long ago require less than the newest position.
	st := owners[0].Open("ben")
	defer st.Close()
	for i := range 10 {
		run(st, insertPayment(100_000+i))
	}
	newest := s.Status().ReceivedPoint()
	required := owners[0].RequiredPoints(t.Context(), []string{"ben", "eve"}, newest)
	g.Expect(required[0]).To(Equal(newest))
	g.Expect(required[1].Position()).To(BeNumerically("<=", newest.Position()-10))
}

// Guards against a lagging replica that answers a read without the write that the session requires.
func TestLabReplica(t *testing.T) {
	g := NewWithT(t)
	a := labServer(t, nil)
	b := labServer(t, func(c *server.Config) { c.Primary, c.Follow, c.Lag = false, a.Addr(), 300*time.Millisecond })
	pe, re := newOwner(t, a), newOwner(t, b)
	st := pe.Open("anna")
	defer st.Close()
	g.Eventually(func() bool {
		_, err := b.Await(context.Background(), func(s port.Status) bool { return s.Term == 1 })
		return err == nil
	}, testTimeout).
		Should(BeTrue())
	fin, _ := run(st, insertPayment(1))
	g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	g.Expect(fin.Committed().IsZero()).To(BeFalse())
	u := query(stmt.Read, "SELECT count(*) FROM payment")
	u.Term, u.Position = fin.Term, fin.Position
	rt := re.Open("anna")
	defer rt.Close()
	behind := 0
	g.Eventually(func() result.Code {
		fin, c := run(rt, u)
		switch fin.Code {
		case result.OK:
			g.Expect(strings.Join(c.rows, ",")).To(Equal("1"))
		case result.ServerBehind:
			behind++
			g.Expect(c.calls).To(BeZero())
		}
		return fin.Code
	}, testTimeout).Should(Equal(result.OK))
	g.Expect(behind).To(BeNumerically(">", 0))
	w := insertPayment(2)
	fin, c := run(rt, w)
	g.Expect(fin.Code).To(Equal(result.NotPrimary), fin.Message)
	g.Expect(c.calls).To(BeZero())
}

func BenchmarkUnit(b *testing.B) {
	s := labServer(b, func(c *server.Config) { c.OpenDelay = 0 })
	e := newOwner(b, s)
	st := e.Open("anna")
	defer st.Close()
	sink := func([]byte) error { return nil }
	u := query(stmt.Read, "SELECT 1")
	b.ReportAllocs()
	for b.Loop() {
		if f := st.Run(context.Background(), u, sink); f.Code != result.OK {
			b.Fatal(f.Message)
		}
	}
}

// Guards against a deadlock in which statements that wait for a transaction's lock occupy every slot, while that
// transaction waits for a slot.
func TestLabLockWaits(t *testing.T) {
	g := NewWithT(t)
	e := newOwner(t, labServer(t, nil))
	a := e.Open("anna")
	defer a.Close()
	for _, u := range []work.Unit{query(stmt.Begin, "BEGIN"), insertPayment(1)} {
		fin, _ := run(a, u)
		g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	}
	var wg sync.WaitGroup
	codes := make([]result.Code, 6)
	for i := range codes {
		st := e.Open(fmt.Sprint("c", i))
		defer st.Close()
		if i%2 == 0 {
			fin, _ := run(st, query(stmt.Begin, "BEGIN"))
			g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
		}
		wg.Go(func() {
			defer st.Close()
			fin, _ := run(st, insertPayment(10+i))
			codes[i] = fin.Code
		})
	}
	busy := func() int { s := e.State(); return s.RunningShort + s.RunningLong + s.Queued }
	g.Eventually(busy, testTimeout).Should(Equal(len(codes)))
	for _, u := range []work.Unit{insertPayment(2), query(stmt.Commit, "COMMIT")} {
		u.Remaining = testTimeout / 2
		fin, _ := run(a, u)
		g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	}
	wg.Wait()
	g.Expect(codes).To(HaveEach(result.OK))
}
