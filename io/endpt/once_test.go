package endpt_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/endpt"
)

// payment is a declared request with a key.
func payment(key string) work.Unit {
	u := extended(stmt.Write, "pay", "INSERT payment", true, "INSERT "+key)
	u.IdempotencyKey = &work.OnceKey{Key: key, Keep: time.Hour}
	return u
}

// returning answers inserts with a number that differs between runs.
func returning(runs *atomic.Int32) func(string, [][]byte) reply {
	return func(sql string, p [][]byte) reply {
		if strings.HasPrefix(sql, "INSERT") {
			return reply{rows: []string{fmt.Sprint("run", runs.Add(1))}, tag: "INSERT 0 1"}
		}
		return echo(sql, p)
	}
}

// Guards against a declared request that takes effect twice or gets another answer the second time.
func TestOnceRepeated(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	f := newFake(t, returning(&runs))
	f.noTable = true
	s := open(t, f, primary())
	for i, kinds := range []string{"12DC", "12DC", "2DC"} {
		st := s.Open("anna")
		u := payment("k1")
		if i == 2 {
			u = extended(stmt.Write, "pay", "INSERT payment", false, "INSERT k1")
			u.IdempotencyKey = &work.OnceKey{Key: "k1"}
		}
		fin, a := run(st, u)
		g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
		g.Expect(fin.Status).To(Equal(work.TxIdle))
		g.Expect(fin.Committed().IsZero()).To(BeFalse(), "the next read must see the first run")
		g.Expect(a.kinds).To(Equal(kinds))
		g.Expect(a.rows).To(Equal([]string{"run1"}))
		st.Close()
	}
	st := s.Open("bert")
	defer st.Close()
	_, a := run(st, payment("k1"))
	g.Expect(a.rows).To(Equal([]string{"run2"}), "another caller's request is a different one")
	g.Expect(runs.Load()).To(Equal(int32(2)))
}

// Guards against a repeated request whose answer comes in another order than the caller's messages, or without its end.
func TestOnceAnswerOrder(t *testing.T) {
	for _, c := range []struct {
		name    string
		maxRows uint32
		kinds   string
	}{
		{"all rows", 0, "12nDC3"},
		{"a limit of rows", 1, "12nDs3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var runs atomic.Int32
			st := open(t, newFake(t, returning(&runs)), primary()).Open("anna")
			defer st.Close()
			u := payment("k1")
			u.Frames = nil
			for _, m := range []pgproto3.FrontendMessage{
				&pgproto3.Parse{Name: "pay", Query: "INSERT payment"}, &pgproto3.Bind{PreparedStatement: "pay"},
				&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{MaxRows: c.maxRows},
				&pgproto3.Close{ObjectType: 'P'}, &pgproto3.Sync{},
			} {
				u.Frames, _ = m.Encode(u.Frames)
			}
			for range 2 {
				fin, a := run(st, u)
				g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
				g.Expect(a.kinds).To(Equal(c.kinds))
				g.Expect(a.rows).To(Equal([]string{"run1"}))
			}
		})
	}
}

// Guards against an answer to a repeated request that is acknowledged although the position of the first run, which may lie
// beyond the last status, is not known, or the server was replaced after the record was read and may have lost it.
func TestOnceRepeatedWithoutStatus(t *testing.T) {
	for name, refresh := range map[string]func(*port.Status) error{
		"no status":   func(*port.Status) error { return errors.New("no status") },
		"replaced":    func(st *port.Status) error { st.Role, st.Term, st.Promised = port.RoleReplica, 2, 2; return nil },
		"fenced":      func(st *port.Status) error { st.Promised = 2; return nil },
		"other terms": func(st *port.Status) error { st.Term, st.Promised = 3, 3; return nil },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var runs atomic.Int32
			f := newFake(t, returning(&runs))
			first := open(t, f, primary()).Open("anna")
			defer first.Close()
			fin, _ := run(first, payment("k1"))
			g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
			src := primary()
			second := open(t, f, src, func(c *endpt.Config) {
				c.Status = refreshing{src, func() (err error) {
					src.set(func(st *port.Status) { err = refresh(st) })
					return err
				}}
			}).Open("anna")
			defer second.Close()
			fin, a := run(second, payment("k1"))
			g.Expect(fin.Code).To(Equal(result.QuorumNotReached))
			g.Expect(fin.Status).To(Equal(work.TxIdle))
			g.Expect(a.calls).To(BeZero())
		})
	}
}

// Guards against a repeated request whose stored rows are in another format than the caller asks for, or come without the
// description that a simple query needs.
func TestOnceOtherFormat(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	f := newFake(t, returning(&runs))
	f.shapes = true
	st := open(t, f, primary()).Open("anna")
	defer st.Close()
	in := func(key string, formats ...int16) work.Unit {
		u := payment(key)
		u.Frames = nil
		for _, m := range []pgproto3.FrontendMessage{
			&pgproto3.Parse{Name: "pay", Query: "INSERT payment"},
			&pgproto3.Bind{PreparedStatement: "pay", ResultFormatCodes: formats}, &pgproto3.Execute{}, &pgproto3.Sync{},
		} {
			u.Frames, _ = m.Encode(u.Frames)
		}
		return u
	}
	simple := func(key string) work.Unit {
		u := query(stmt.Write, "INSERT payment")
		u.IdempotencyKey = &work.OnceKey{Key: key}
		return u
	}
	for _, c := range []struct {
		unit  work.Unit
		kinds string
	}{
		{in("text"), "12DC"},
		{in("text", 0), "12DC"},
		{in("text", 1), "12C"},
		{simple("text"), "TDC"},
		{in("binary", 1), "12DC"},
		{in("binary", 1), "12DC"},
		{in("binary"), "12C"},
		{simple("binary"), "C"},
		{simple("simple"), "TDC"},
		{in("simple"), "12DC"},
		{in("simple", 1), "12C"},
	} {
		fin, a := run(st, c.unit)
		g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
		g.Expect(a.kinds).To(Equal(c.kinds))
	}
	g.Expect(runs.Load()).To(Equal(int32(3)))
}

// Guards against a duplicate within a transaction that breaks it, and a record that outlives a rolled back transaction.
func TestOnceInTransaction(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	s := open(t, newFake(t, returning(&runs)), primary())
	st := s.Open("anna")
	defer st.Close()
	for _, end := range []string{"ROLLBACK", "COMMIT"} {
		run(st, query(stmt.Begin, "BEGIN"))
		fin, a := run(st, payment("k1"))
		g.Expect(a.kinds).To(Equal("12DC"))
		g.Expect(fin.Status).To(Equal(work.TxActive))
		fin, again := run(st, payment("k1"))
		g.Expect(again.rows).To(Equal(a.rows))
		g.Expect(fin.Status).To(Equal(work.TxActive))
		fin, _ = run(st, query(stmt.Commit, end))
		g.Expect(fin.Status).To(Equal(work.TxIdle))
	}
	g.Expect(runs.Load()).To(Equal(int32(2)))
	_, a := run(st, payment("k1"))
	g.Expect(a.rows).To(Equal([]string{"run2"}))
}

// Guards against a record of a request that the server refused, which would keep it from being repeated.
func TestOnceRefused(t *testing.T) {
	g := NewWithT(t)
	state := "23514"
	f := newFake(t, func(sql string, p [][]byte) reply {
		if state != "" && strings.HasPrefix(sql, "INSERT") {
			return reply{code: state}
		}
		return echo(sql, p)
	})
	s := open(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	fin, a := run(st, payment("k1"))
	g.Expect(fin.Code).To(Equal(result.OK))
	g.Expect(a.kinds).To(Equal("12E"))
	g.Expect(fin.Status).To(Equal(work.TxIdle))
	state = "25006"
	fin, a = run(st, payment("k1"))
	g.Expect(fin.Code).To(Equal(result.NotPrimary))
	g.Expect(a.calls).To(BeZero())
	state = ""
	f.setFenced(true)
	fin, a = run(st, payment("k1"))
	g.Expect(fin.Code).To(Equal(result.NotPrimary), "the commit was refused, so another server may run the unit")
	g.Expect(a.calls).To(BeZero())
	f.setFenced(false)
	fin, a = run(st, payment("k1"))
	g.Expect(fin.Code).To(Equal(result.OK))
	g.Expect(a.kinds).To(Equal("12C"))
}

// Guards against an unknown outcome before the commit was sent, "not run" after it, and a lost outcome that cannot be
// looked up.
func TestOnceConnectionLost(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	var lose atomic.Bool
	f := newFake(t, func(sql string, p [][]byte) reply {
		if lose.Load() {
			return reply{drop: true}
		}
		return returning(&runs)(sql, p)
	})
	src := primary()
	s := open(t, f, src)
	st := s.Open("anna")
	defer st.Close()
	ctx := context.Background()
	lose.Store(true)
	fin, _ := run(st, payment("k1"))
	g.Expect(fin.Code).To(Equal(result.RolledBack))
	found, _, err := s.Lookup(ctx, "anna", "k1", 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())

	lose.Store(false)
	f.setDropAfterCommit(true)
	fin, _ = run(st, payment("k1"))
	g.Expect(fin.Code).To(Equal(result.ConnectionLost))
	f.setDropAfterCommit(false)
	found, stored, err := s.Lookup(ctx, "anna", "k1", 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeTrue())
	c := &capture{}
	g.Expect(c.sink(stored)).To(Succeed())
	g.Expect(c.rows).To(Equal([]string{"run1"}))
	_, _, err = s.Lookup(ctx, "anna", "k1", 2)
	g.Expect(result.CodeOf(err)).To(Equal(result.NotPrimary), "a primary of an older term cannot tell")
	src.set(func(st *port.Status) { st.Role = port.RoleReplica })
	_, _, err = s.Lookup(ctx, "anna", "k1", 1)
	g.Expect(result.CodeOf(err)).To(Equal(result.NotPrimary))
}

// Guards against a declared statement that is committed although its answer cannot be kept.
func TestOnceAnswerTooLarge(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(string, [][]byte) reply {
		return reply{rows: []string{strings.Repeat("x", 2<<20)}, tag: "INSERT 0 1"}
	})
	s := open(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	fin, a := run(st, payment("k1"))
	g.Expect(fin.Code).To(Equal(result.TooLarge), fin.Message)
	g.Expect(a.calls).To(BeZero())
	found, _, err := s.Lookup(context.Background(), "anna", "k1", 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())
}

func Example() {
	f := newFake(exampleTB{}, echo)
	defer f.listener.Close()
	svc := svcdef.New(svcdef.Spec{Servers: []svcdef.ServerSpec{
		{Address: f.listener.Addr().String(), Slots: 3, Connections: 35},
	}})
	s := endpt.New(endpt.Config{Service: svc, Server: svc.Servers()[0], Status: primary()})
	defer s.Close()
	st := s.Open("anna")
	defer st.Close()
	frames, _ := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	u := work.Unit{Caller: "anna", Class: stmt.Read, Remaining: time.Minute, Frames: frames}
	final := st.Run(context.Background(), u, func(frames []byte) error {
		fmt.Printf("first message %q\n", frames[0])
		return nil
	})
	fmt.Println(final.Code, string(final.Status))
	// Output:
	// first message 'T'
	// ok I
}

// exampleTB lets an example start a fake server.
type exampleTB struct{ testing.TB }

func (exampleTB) Cleanup(func())    {}
func (exampleTB) Fatal(args ...any) { panic(fmt.Sprint(args...)) }
