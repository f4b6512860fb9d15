package ctrl_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/ctrl"
)

// fakeServer accepts any number of connections and answers their statements with the result of answer. It leaves a statement
// unanswered if answer returns nil.
type fakeServer struct {
	listener net.Listener
	answer   func(sql string) []pgproto3.BackendMessage
	mu       sync.Mutex
	conns    []net.Conn
}

func startFakeServer(t testing.TB, answer func(sql string) []pgproto3.BackendMessage) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeServer{listener: l, answer: answer}
	t.Cleanup(func() { _ = l.Close(); f.closeConns() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns = append(f.conns, c)
			f.mu.Unlock()
			go f.serve(c)
		}
	}()
	return f
}

func (f *fakeServer) closeConns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
	f.conns = nil
}

func (f *fakeServer) connCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

func (f *fakeServer) serve(c net.Conn) {
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = b.Flush()
	for {
		m, err := b.Receive()
		if err != nil {
			return
		}
		q, ok := m.(*pgproto3.Query)
		if !ok {
			return
		}
		msgs := f.answer(q.String)
		if msgs == nil {
			continue
		}
		for _, m := range msgs {
			b.Send(m)
		}
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		_ = b.Flush()
	}
}

func singleRow(pairs ...string) []pgproto3.BackendMessage {
	d, r := &pgproto3.RowDescription{}, &pgproto3.DataRow{}
	for i := 0; i < len(pairs); i += 2 {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(pairs[i]), DataTypeOID: 25, DataTypeSize: -1})
		r.Values = append(r.Values, []byte(pairs[i+1]))
	}
	return []pgproto3.BackendMessage{d, r, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}}
}

func login() svcdef.Login {
	return svcdef.New(svcdef.Spec{Login: svcdef.LoginSpec{User: "vg", Password: "p"}}).Login()
}

func client(t testing.TB, f *fakeServer) *ctrl.Client {
	c := ctrl.New(f.listener.Addr().String(), "db", login(), "vm1")
	t.Cleanup(c.Close)
	return c
}

// Guards against decoding a status column into the wrong field, and against sending a statement that differs from the contract
// with the servers.
func TestStatementsAndColumns(t *testing.T) {
	g := NewWithT(t)
	var statements []string
	f := startFakeServer(t, func(sql string) []pgproto3.BackendMessage {
		statements = append(statements, sql)
		return singleRow("term", "4", "promised", "5", "received", "90", "applied", "88", "role", "primary", "leaving", "t",
			"connections", "12", "replicas", `[{"address":"b:1","term":4,"received":87}]`)
	})
	c := client(t, f)
	ctx := context.Background()
	st, err := c.Status(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(st).To(Equal(port.Status{
		Term: 4, Promised: 5, Received: 90, Applied: 88, Role: port.RolePrimary, Leaving: true, Connections: 12,
		Replicas: []port.ReplicaStatus{{Address: "b:1", Term: 4, Received: 87}},
	}))
	_, err = c.Promote(ctx, 6)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Fence(ctx, 6)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Follow(ctx, 6, "10.0.0.1:5432")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Follow(ctx, 6, "x'); DROP")
	g.Expect(result.CodeOf(err)).To(Equal(result.InvalidConfig))
	g.Expect(statements).To(Equal([]string{
		"SELECT * FROM verbena_status()", "SELECT * FROM verbena_promote(6)", "SELECT * FROM verbena_fence(6)",
		"SELECT * FROM verbena_follow(6, '10.0.0.1:5432')",
	}))
	g.Expect(f.connCount()).To(Equal(1))
}

// Guards against accepting a malformed answer as a status, and against reporting no received position for a server that sends
// only its applied position.
func TestMissingColumns(t *testing.T) {
	g := NewWithT(t)
	answers := [][]pgproto3.BackendMessage{
		singleRow("term", "1", "applied", "7", "role", "replica"),
		singleRow("term", "1", "applied", "7", "role", "king"),
		singleRow("term", "-1", "applied", "7", "role", "replica"),
		singleRow("applied", "7", "role", "replica"),
	}
	n := 0
	f := startFakeServer(t, func(string) []pgproto3.BackendMessage { n++; return answers[n-1] })
	c := client(t, f)
	st, err := c.Status(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(st.Received).To(Equal(uint64(7)))
	for range answers[1:] {
		_, err = c.Status(context.Background())
		g.Expect(result.CodeOf(err)).To(Equal(result.ProtocolError))
	}
}

// Guards against connections of a dead VM that stay open because they are not found by their application name, and against SQL
// injection through the VM id.
func TestEvict(t *testing.T) {
	g := NewWithT(t)
	var statement string
	f := startFakeServer(t, func(sql string) []pgproto3.BackendMessage {
		statement = sql
		m := singleRow("pg_terminate_backend", "t")
		return append(m[:2:2], m[1], m[2])
	})
	ended, err := client(t, f).Evict(context.Background(), "vm7")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ended).To(Equal(2))
	g.Expect(statement).To(Equal(
		"SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE application_name = '" + ctrl.ApplicationName("vm7") + "'"))
	_, err = client(t, f).Evict(context.Background(), "vm' OR true --")
	g.Expect(result.CodeOf(err)).To(Equal(result.InvalidConfig))
}

// Guards against treating an error response of the server as a lost connection, which would close a working connection.
func TestRefusalKeepsConnection(t *testing.T) {
	g := NewWithT(t)
	f := startFakeServer(t, func(string) []pgproto3.BackendMessage {
		return []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Severity: "ERROR", Code: "55000", Message: "term"}}
	})
	c := client(t, f)
	for range 2 {
		_, err := c.Promote(context.Background(), 1)
		g.Expect(result.CodeOf(err)).To(Equal(result.NoMajority))
	}
	g.Expect(f.connCount()).To(Equal(1))
}

// Guards against a Status call that fails after a restart of the server because it uses the connection of an earlier call.
func TestReconnect(t *testing.T) {
	g := NewWithT(t)
	f := startFakeServer(t, func(string) []pgproto3.BackendMessage {
		return singleRow("term", "1", "applied", "7", "role", "replica")
	})
	c := client(t, f)
	_, err := c.Status(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	f.closeConns()
	_, err = c.Status(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against reporting a server that does not answer as one that refuses connections, and the reverse.
func TestSilentAndRefused(t *testing.T) {
	g := NewWithT(t)
	f := startFakeServer(t, func(string) []pgproto3.BackendMessage { return nil })
	c := client(t, f)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Status(ctx)
	g.Expect(result.CodeOf(err)).To(Equal(result.ConnectFailed))
	g.Expect(ctrl.IsConnectionRefused(err)).To(BeFalse())
	ctx2, cancel2 := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel2()
	_, err = c.Fence(ctx2, 3)
	g.Expect(result.CodeOf(err)).To(Equal(result.ConnectionLost), "the fence may have taken effect")

	_ = f.listener.Close()
	f.closeConns()
	_, err = c.Status(context.Background())
	g.Expect(result.CodeOf(err)).To(Equal(result.ConnectFailed))
	g.Expect(ctrl.IsConnectionRefused(err)).To(BeTrue())
	c.Close()
	_, err = c.Status(context.Background())
	g.Expect(result.CodeOf(err)).To(Equal(result.ShuttingDown))
	g.Expect(strings.Contains(err.Error(), "closed")).To(BeTrue())
}

func Example() {
	c := ctrl.New("127.0.0.1:1", "db", login(), "vm1")
	defer c.Close()
	_, err := c.Status(context.Background())
	fmt.Println(result.CodeOf(err), ctrl.IsConnectionRefused(err))
	// Output: connect_failed true
}
