package sess

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"verbenagate/core/point"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
)

func info(c stmt.Class, tables ...string) stmt.Info {
	return stmt.NewInfo(c, stmt.EffectNone, uint64(c)+1, tables, "")
}

func effect(e stmt.Effect) stmt.Info { return stmt.NewInfo(stmt.Unknown, e, 1, nil, "") }

type fakeParser map[string]stmt.Info

func (f fakeParser) Parse(text string) ([]stmt.Info, error) { return []stmt.Info{f[text]}, nil }

// Guards against units that run on a server that could return stale rows.
func TestDecide(t *testing.T) {
	at := point.New(3, 40)
	known := State{required: at, requiredKnown: true}
	for _, c := range []struct {
		name  string
		state State
		infos []stmt.Info
		want  Need
	}{
		{"read", known, []stmt.Info{info(stmt.Read)}, NeedAtLeast{at}},
		{"reads", known, []stmt.Info{info(stmt.Read), info(stmt.Empty), info(stmt.Read)}, NeedAtLeast{at}},
		{"write", known, []stmt.Info{info(stmt.Write)}, NeedPrimary{at}},
		{"read and write", known, []stmt.Info{info(stmt.Read), info(stmt.Write)}, NeedPrimary{at}},
		{"not understood", known, []stmt.Info{info(stmt.Unknown)}, NeedPrimary{at}},
		{"begin", known, []stmt.Info{info(stmt.Begin)}, NeedPrimary{at}},
		{"begin read only", known, []stmt.Info{info(stmt.BeginReadOnly)}, NeedAtLeast{at}},
		{
			"read-only transaction", known,
			[]stmt.Info{info(stmt.BeginReadOnly), info(stmt.Read), info(stmt.Commit)},
			NeedAtLeast{at},
		},
		{
			"write after read-only transaction", known,
			[]stmt.Info{info(stmt.BeginReadOnly), info(stmt.Commit), info(stmt.Write)},
			NeedPrimary{at},
		},
		{
			"commit of an earlier transaction, then a read-only one", known,
			[]stmt.Info{info(stmt.Commit), info(stmt.BeginReadOnly)},
			NeedPrimary{at},
		},
		{"empty statement", State{}, []stmt.Info{info(stmt.Empty)}, NeedAtLeast{}},
		{"read, point unknown", State{}, []stmt.Info{info(stmt.Read)}, NeedBarrier{}},
		{"declared age, point unknown", State{}, []stmt.Info{info(stmt.Read, "summary")}, NeedAge{maxAge: time.Minute}},
		{"declared age", known, []stmt.Info{info(stmt.Read, "summary")}, NeedAge{maxAge: time.Minute}},
		{"begin, point unknown", State{}, []stmt.Info{info(stmt.Begin)}, NeedBarrier{}},
		{"not understood, point unknown", State{}, []stmt.Info{info(stmt.Unknown)}, NeedBarrier{}},
		{"write, point unknown", State{}, []stmt.Info{info(stmt.Write)}, NeedPrimary{}},
		{"read in transaction", State{txStatus: work.TxActive}, []stmt.Info{info(stmt.Read)}, KeepStream{inTx: true}},
		{"read when pinned", State{pinned: true, requiredKnown: true}, []stmt.Info{info(stmt.Read)}, KeepStream{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rules := NewRules(svcdef.New(svcdef.Spec{
				StaleReads: []svcdef.StaleReadSpec{{Table: "summary", MaxAge: time.Minute}},
			}), fakeParser{})
			gomega.NewWithT(t).Expect(c.state.Decide(c.infos, "clerk", rules)).To(gomega.Equal(c.want))
		})
	}
}

// Guards against a stale-read declaration that applies to reads that it does not cover.
func TestMaxAge(t *testing.T) {
	g := gomega.NewWithT(t)
	report := stmt.NewInfo(stmt.Read, stmt.EffectNone, 77, []string{"dues", "plots"}, "")
	rules := NewRules(svcdef.New(svcdef.Spec{StaleReads: []svcdef.StaleReadSpec{
		{Table: "summary", MaxAge: time.Hour},
		{Table: "drawer", User: "browser", MaxAge: time.Minute},
		{Table: "public.sheets", MaxAge: time.Minute},
		{Statement: "report", MaxAge: 5 * time.Minute},
		{Statement: "broken", MaxAge: time.Minute},
		{User: "batch", MaxAge: 2 * time.Hour},
	}}), fakeParser{"report": report})
	age := func(caller string, infos ...stmt.Info) time.Duration {
		d, _ := rules.MaxAge(caller, infos)
		return d
	}
	g.Expect(age("x", info(stmt.Read, "summary"))).To(gomega.Equal(time.Hour))
	g.Expect(age("x", info(stmt.Read, "public.summary"))).To(gomega.Equal(time.Hour))
	g.Expect(age("x", info(stmt.Read, "summary", "plots"))).To(gomega.BeZero())
	g.Expect(age("x", info(stmt.Read, "summary"), info(stmt.Read, "plots"))).To(gomega.BeZero())
	g.Expect(age("x", info(stmt.Write, "summary"))).To(gomega.BeZero())
	g.Expect(age("x", info(stmt.Read, "drawer"))).To(gomega.BeZero())
	g.Expect(age("browser", info(stmt.Read, "drawer"))).To(gomega.Equal(time.Minute))
	g.Expect(age("browser", info(stmt.Read, "drawer", "summary"))).To(gomega.Equal(time.Minute))
	g.Expect(age("x", info(stmt.Read, "public.sheets"))).To(gomega.Equal(time.Minute))
	g.Expect(age("x", info(stmt.Read, "sheets"))).To(gomega.BeZero())
	g.Expect(age("x", report)).To(gomega.Equal(5 * time.Minute))
	g.Expect(age("batch", info(stmt.Read, "plots"))).To(gomega.Equal(2 * time.Hour))
	g.Expect(age("batch", info(stmt.Read))).To(gomega.Equal(2 * time.Hour))
	g.Expect(age("x", info(stmt.Read))).To(gomega.BeZero())
}

// Guards against a server connection that returns to the pool while it holds session state of a caller, or never returns.
func TestPin(t *testing.T) {
	g := gomega.NewWithT(t)
	var s State
	s.UnitEnded([]stmt.Info{effect(stmt.EffectPin)}, work.Final{Code: result.QueueFull, Status: work.TxIdle})
	g.Expect(s.Pinned()).To(gomega.BeFalse(), "a unit that did not run must not pin the session")
	s.UnitEnded([]stmt.Info{effect(stmt.EffectPin)}, work.Final{Code: result.OK, Status: work.TxIdle})
	g.Expect(s.HoldsStream()).To(gomega.BeTrue())
	s.UnitEnded([]stmt.Info{effect(stmt.EffectReset)}, work.Final{Code: result.OK, Status: work.TxIdle})
	g.Expect(s.HoldsStream()).To(gomega.BeFalse())
	s.UnitEnded(nil, work.Final{Code: result.OK, Status: work.TxFailed})
	g.Expect(s.HoldsStream()).To(gomega.BeTrue())
	s.StreamLost()
	g.Expect(s.HoldsStream()).To(gomega.BeFalse())
}

// Guards against session settings that are lost without an error: the server refuses DISCARD ALL in a transaction, and the
// session would still be unpinned.
func TestResetInTransaction(t *testing.T) {
	g := gomega.NewWithT(t)
	var s State
	s.UnitEnded([]stmt.Info{effect(stmt.EffectPin)}, work.Final{Code: result.OK, Status: work.TxIdle})
	s.UnitEnded([]stmt.Info{info(stmt.Begin)}, work.Final{Code: result.OK, Status: work.TxActive})
	g.Expect(s.PinnedAfter([]stmt.Info{effect(stmt.EffectReset)})).To(gomega.BeTrue())
	s.UnitEnded([]stmt.Info{effect(stmt.EffectReset)}, work.Final{Code: result.OK, Status: work.TxFailed})
	s.UnitEnded([]stmt.Info{info(stmt.Rollback)}, work.Final{Code: result.OK, Status: work.TxIdle})
	g.Expect(s.Pinned()).To(gomega.BeTrue())
	s.UnitEnded([]stmt.Info{effect(stmt.EffectReset)}, work.Final{Code: result.OK, Status: work.TxIdle})
	g.Expect(s.Pinned()).To(gomega.BeFalse())
}

// Guards against a required point that decreases, or that counts as known without a barrier.
func TestRequiredPoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		barrier := false
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			p := point.New(rapid.Uint64Range(0, 5).Draw(t, "term"), rapid.Uint64Range(0, 50).Draw(t, "position"))
			before, _ := s.Required()
			if rapid.Bool().Draw(t, "barrier") {
				s.BarrierPassed(p)
				barrier = true
			} else {
				s.UnitEnded(nil, work.Final{Code: result.OK, Term: p.Term(), Position: p.Position(), Status: work.TxIdle})
			}
			after, known := s.Required()
			if !after.Covers(before) || !after.Covers(p) || known != barrier {
				t.Fatalf("required %v after %v and %v, known %v", after, before, p, known)
			}
		}
	})
}

// Guards against a caller that checks on a lagging replica whether a request of unknown outcome took effect, and against
// barriers after requests that committed nothing.
func TestUnknownOutcomeMakesPointUnknown(t *testing.T) {
	for _, c := range []struct {
		class stmt.Class
		code  result.Code
		known bool
	}{
		{stmt.Write, result.ConnectionLost, false},
		{stmt.Commit, result.QuorumNotReached, false},
		{stmt.Unknown, result.AnswerLost, false},
		{stmt.Read, result.ConnectionLost, true},
		{stmt.Write, result.RolledBack, true},
		{stmt.Write, result.OK, true},
	} {
		g := gomega.NewWithT(t)
		s := State{required: point.New(3, 40), requiredKnown: true}
		s.UnitEnded([]stmt.Info{info(c.class)}, work.Final{Code: c.code, Status: work.TxIdle})
		required, known := s.Required()
		g.Expect(known).To(gomega.Equal(c.known), "%v, %v", c.class, c.code)
		g.Expect(required).To(gomega.Equal(point.New(3, 40)))
	}
}

// Guards against a unit that commits an earlier transaction but is classified as unable to commit. A lost answer to it would
// be reported as a rollback, and parts of its answer would be passed on before the commit is confirmed.
func TestCommitBeforeBegin(t *testing.T) {
	for _, c := range []struct {
		classes []stmt.Class
		commits bool
	}{
		{[]stmt.Class{stmt.Commit, stmt.Begin}, true},
		{[]stmt.Class{stmt.Commit, stmt.BeginReadOnly}, true},
		{[]stmt.Class{stmt.Read, stmt.Commit, stmt.Empty, stmt.Begin, stmt.Read}, true},
		{[]stmt.Class{stmt.Begin, stmt.Read, stmt.Commit}, false},
		{[]stmt.Class{stmt.BeginReadOnly, stmt.Read, stmt.Commit}, false},
		{[]stmt.Class{stmt.Rollback, stmt.Begin}, false},
	} {
		var infos []stmt.Info
		for _, class := range c.classes {
			infos = append(infos, info(class))
		}
		class, _ := Summary(infos)
		gomega.NewWithT(t).Expect(class.MayCommit()).To(gomega.Equal(c.commits), "%v", c.classes)
	}
}

// Guards against prepared statements of a session that take an unbounded amount of memory.
func TestNamesBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	n := NewPreparedStatements(2, 1000)
	g.Expect(n.Put("a", NewPrepared("SELECT 1", nil))).To(gomega.Succeed())
	g.Expect(n.Put("", NewPrepared("SELECT 2", nil))).To(gomega.Succeed())
	g.Expect(n.Put("", NewPrepared("SELECT 3", nil))).To(gomega.Succeed())
	g.Expect(result.CodeOf(n.Put("c", NewPrepared("SELECT 4", nil)))).To(gomega.Equal(result.TooLarge))
	n.Remove("a")
	g.Expect(n.Put("c", NewPrepared("SELECT 4", nil))).To(gomega.Succeed())
	g.Expect(result.CodeOf(n.Put("c", NewPrepared(string(make([]byte, 1000)), nil)))).To(gomega.Equal(result.TooLarge))
	n.Clear()
	g.Expect([]int{n.Len(), n.bytes}).To(gomega.Equal([]int{0, 0}))
}

// Guards against two different statements that get the same name on a server connection.
func TestDefine(t *testing.T) {
	g := gomega.NewWithT(t)
	a := NewPrepared("SELECT $1", []uint32{23})
	g.Expect(NewPrepared("SELECT $1", []uint32{23}).Name).To(gomega.Equal(a.Name))
	g.Expect(NewPrepared("SELECT $1", []uint32{20}).Name).NotTo(gomega.Equal(a.Name))
	g.Expect(NewPrepared("SELECT $1", nil).Name).NotTo(gomega.Equal(a.Name))
	g.Expect(NewPrepared("SELECT $2", []uint32{23}).Name).NotTo(gomega.Equal(a.Name))
}

func Example() {
	var s State
	read := []stmt.Info{stmt.NewInfo(stmt.Read, stmt.EffectNone, 1, []string{"plots"}, "")}
	for range 2 {
		switch n := s.Decide(read, "clerk", nil).(type) {
		case NeedBarrier:
			fmt.Println("barrier first")
		case NeedAtLeast:
			fmt.Println("any server at", n.Point())
		}
		s.BarrierPassed(point.New(2, 17))
	}
	// Output:
	// barrier first
	// any server at 2/17
}
