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

// paymentUnit returns a declared request with an idempotency key.
func paymentUnit(key string) work.Unit {
	u := extended(stmt.Write, "pay", "INSERT payment", true, "INSERT "+key)
	u.IdempotencyKey = &work.OnceKey{Key: key, Keep: time.Hour}
	return u
}

// countingReply answers inserts with the number of the run, which shows a second run.
func countingReply(runs *atomic.Int32) func(string, [][]byte) reply {
	return func(sql string, p [][]byte) reply {
		if strings.HasPrefix(sql, "INSERT") {
			return reply{rows: []string{fmt.Sprint("run", runs.Add(1))}, tag: "INSERT 0 1"}
		}
		return echoReply(sql, p)
	}
}

// Guards against a declared request that takes effect twice, or that gets a different answer the second time.
func TestOnceRepeated(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	f := newFake(t, countingReply(&runs))
	f.tableMissing = true
	s := newServer(t, f, primary())
	for i, kinds := range []string{"12DC", "12DC", "2DC"} {
		st := s.Open("anna")
		u := paymentUnit("k1")
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
	_, a := run(st, paymentUnit("k1"))
	g.Expect(a.rows).To(Equal([]string{"run2"}), "another caller's request is a different one")
	g.Expect(runs.Load()).To(Equal(int32(2)))
}

// Guards against a repeated request whose answer is incomplete or not in the order of the caller's messages.
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
			st := newServer(t, newFake(t, countingReply(&runs)), primary()).Open("anna")
			defer st.Close()
			u := paymentUnit("k1")
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

// Guards against acknowledging a repeated request when the position of the first run is unknown, which may be beyond
// the last status, or when the server was replaced after the record was read and may have lost the record.
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
			f := newFake(t, countingReply(&runs))
			first := newServer(t, f, primary()).Open("anna")
			defer first.Close()
			fin, _ := run(first, paymentUnit("k1"))
			g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
			src := primary()
			second := newServer(t, f, src, func(c *endpt.Config) {
				c.Status = refreshableStatus{src, func() (err error) {
					src.set(func(st *port.Status) { err = refresh(st) })
					return err
				}}
			}).Open("anna")
			defer second.Close()
			fin, a := run(second, paymentUnit("k1"))
			g.Expect(fin.Code).To(Equal(result.QuorumNotReached))
			g.Expect(fin.Status).To(Equal(work.TxIdle))
			g.Expect(a.calls).To(BeZero())
		})
	}
}

// Guards against answering a repeated request with stored rows in a format other than the caller asks for, or without
// the row description that a simple query needs.
func TestOnceOtherFormat(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	f := newFake(t, countingReply(&runs))
	f.describesRows = true
	st := newServer(t, f, primary()).Open("anna")
	defer st.Close()
	in := func(key string, formats ...int16) work.Unit {
		u := paymentUnit(key)
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

// Guards against a duplicate within a transaction that aborts the transaction, and against a record that outlives a
// rolled back transaction.
func TestOnceInTransaction(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	s := newServer(t, newFake(t, countingReply(&runs)), primary())
	st := s.Open("anna")
	defer st.Close()
	for _, end := range []string{"ROLLBACK", "COMMIT"} {
		run(st, query(stmt.Begin, "BEGIN"))
		fin, a := run(st, paymentUnit("k1"))
		g.Expect(a.kinds).To(Equal("12DC"))
		g.Expect(fin.Status).To(Equal(work.TxActive))
		fin, again := run(st, paymentUnit("k1"))
		g.Expect(again.rows).To(Equal(a.rows))
		g.Expect(fin.Status).To(Equal(work.TxActive))
		fin, _ = run(st, query(stmt.Commit, end))
		g.Expect(fin.Status).To(Equal(work.TxIdle))
	}
	g.Expect(runs.Load()).To(Equal(int32(2)))
	_, a := run(st, paymentUnit("k1"))
	g.Expect(a.rows).To(Equal([]string{"run2"}))
}

// Guards against keeping the record of a request that the server refused, which would prevent a retry.
func TestOnceRefused(t *testing.T) {
	g := NewWithT(t)
	state := "23514"
	f := newFake(t, func(sql string, p [][]byte) reply {
		if state != "" && strings.HasPrefix(sql, "INSERT") {
			return reply{sqlState: state}
		}
		return echoReply(sql, p)
	})
	s := newServer(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	fin, a := run(st, paymentUnit("k1"))
	g.Expect(fin.Code).To(Equal(result.OK))
	g.Expect(a.kinds).To(Equal("12E"))
	g.Expect(fin.Status).To(Equal(work.TxIdle))
	state = "25006"
	fin, a = run(st, paymentUnit("k1"))
	g.Expect(fin.Code).To(Equal(result.NotPrimary))
	g.Expect(a.calls).To(BeZero())
	state = ""
	f.setFenced(true)
	fin, a = run(st, paymentUnit("k1"))
	g.Expect(fin.Code).To(Equal(result.NotPrimary), "the commit was refused, so another server may run the unit")
	g.Expect(a.calls).To(BeZero())
	f.setFenced(false)
	fin, a = run(st, paymentUnit("k1"))
	g.Expect(fin.Code).To(Equal(result.OK))
	g.Expect(a.kinds).To(Equal("12C"))
}

// Guards against reporting an unknown outcome before the commit was sent or "not run" after it, and against an unknown
// outcome that cannot be looked up.
func TestOnceConnectionLost(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	var lose atomic.Bool
	f := newFake(t, func(sql string, p [][]byte) reply {
		if lose.Load() {
			return reply{drop: true}
		}
		return countingReply(&runs)(sql, p)
	})
	src := primary()
	s := newServer(t, f, src)
	st := s.Open("anna")
	defer st.Close()
	ctx := context.Background()
	lose.Store(true)
	fin, _ := run(st, paymentUnit("k1"))
	g.Expect(fin.Code).To(Equal(result.RolledBack))
	found, _, err := s.Lookup(ctx, "anna", "k1", 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())

	lose.Store(false)
	f.setDropAfterCommit(true)
	fin, _ = run(st, paymentUnit("k1"))
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

// Guards against committing a declared statement whose answer is too large to be collected.
func TestOnceAnswerTooLarge(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(string, [][]byte) reply {
		return reply{rows: []string{strings.Repeat("x", 2<<20)}, tag: "INSERT 0 1"}
	})
	s := newServer(t, f, primary())
	st := s.Open("anna")
	defer st.Close()
	fin, a := run(st, paymentUnit("k1"))
	g.Expect(fin.Code).To(Equal(result.TooLarge), fin.Message)
	g.Expect(a.calls).To(BeZero())
	found, _, err := s.Lookup(context.Background(), "anna", "k1", 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeFalse())
}

func Example() {
	f := newFake(exampleTB{}, echoReply)
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
