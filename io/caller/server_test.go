package caller

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/onsi/gomega"

	"verbenagate/core/result"
	"verbenagate/core/sess"
	"verbenagate/core/work"
	"verbenagate/io/parse"
)

func certificate(t testing.TB) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// Guards against a failing TLS negotiation, and against a drain that doesn't close TLS connections.
func TestTLS(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, newFakeBackend(), WithTLS(&tls.Config{Certificates: []tls.Certificate{certificate(t)}}))
	c := connect(t, s, "sslmode=require")
	var v string
	g.Expect(c.QueryRow(t.Context(), "SELECT $1", "x").Scan(&v)).To(gomega.Succeed())
	plain := connect(t, s, "sslmode=disable")
	g.Expect(plain.Ping(t.Context())).To(gomega.Succeed())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	g.Expect(s.Drain(ctx)).To(gomega.BeEmpty())
}

// Guards against plain text that an attacker sends before the TLS handshake and that then counts as encrypted.
func TestTLSInjection(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, newFakeBackend(), WithTLS(&tls.Config{Certificates: []tls.Certificate{certificate(t)}}))
	nc, err := net.Dial("tcp", s.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = nc.Close() }()
	b, _ := (&pgproto3.SSLRequest{}).Encode(nil)
	_, err = nc.Write(append(b, 'x'))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	m, err := pgproto3.NewFrontend(nc, nc).Receive()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(m).To(gomega.HaveField("Code", "08P01"))
}

// Guards against refusals with a wrong SQLSTATE, and against a caller whose invalid input disturbs another caller.
func TestRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, newFakeBackend(), WithMaxCallers(2))
	other := connect(t, s, "sslmode=disable")
	addr := s.Addr().String()
	for dsn, want := range map[string]string{
		"postgres://clerk:wrong@" + addr + "/plots?sslmode=disable":   "28P01",
		"postgres://nobody:secret@" + addr + "/plots?sslmode=disable": "28P01",
		"postgres://clerk:secret@" + addr + "/nosuch?sslmode=disable": "3D000",
	} {
		_, err := pgx.Connect(t.Context(), dsn)
		g.Expect(sqlState(err)).To(gomega.Equal(want), dsn)
	}
	for _, raw := range []string{"\x00\x00\x00\x04", "\x7f\xff\xff\xff", "\x00\x00\x00\x09\x00\x03\x00\x00x", "GET / HTTP/1.1\r\n\r\n", ""} {
		nc, err := net.Dial("tcp", addr)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, _ = nc.Write([]byte(raw))
		_ = nc.Close()
	}
	w, err := login(s, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = login(s, nil)
	g.Expect(err).To(gomega.MatchError(gomega.HavePrefix("FATAL 53300")))
	_, _ = w.Write([]byte("Q\x7f\xff\xff\xff"))
	var b bytes.Buffer
	w.receive(&b, 1)
	g.Expect(b.String()).To(gomega.HavePrefix("FATAL 54000"))
	g.Expect(other.Ping(t.Context())).To(gomega.Succeed())
	g.Eventually(s.Len, 10*time.Second).Should(gomega.Equal(1))
}

// Guards against an error message that is written in the middle of a row. The caller would read it as a part of the row and
// misinterpret all later answers.
func TestBreakWithinRow(t *testing.T) {
	for _, n := range []int{1000, 1_000_000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := connect(t, startServer(t, newFakeBackend()), "sslmode=disable")
			ended := make(chan error, 1)
			go func() {
				_, err := c.Exec(context.Background(), fmt.Sprint("ROWBREAK ", n), pgx.QueryExecModeSimpleProtocol)
				ended <- err
			}()
			var err error
			g.Eventually(ended, 10*time.Second).Should(gomega.Receive(&err))
			g.Expect(err).To(gomega.HaveOccurred())
			// If nothing has been written yet, the partial row is dropped and the session continues.
			g.Expect(c.IsClosed()).To(gomega.Equal(n > maxBufferedAnswer))
			if n < maxBufferedAnswer {
				g.Expect(sqlState(err)).To(gomega.Equal("08007"))
			}
		})
	}
}

// Guards against a cancel request that cancels the wrong session, or that is lost when its session is on another VM.
func TestCancel(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newFakeBackend()
	s := startServer(t, b)
	c := connect(t, s, "sslmode=disable")
	pid := c.PgConn().PID()
	g.Expect(VMHashOfProcessID(pid)).To(gomega.Equal(VMHash("vm-1")))
	g.Expect(s.Cancel(pid, []byte("none"))).To(gomega.BeFalse())
	done := make(chan error)
	go func() {
		_, err := c.Exec(context.Background(), "BLOCK", pgx.QueryExecModeSimpleProtocol)
		done <- err
	}()
	<-b.blocked
	g.Expect(s.Sessions()[0].Running()).To(gomega.BeTrue())
	g.Expect(c.PgConn().CancelRequest(t.Context())).To(gomega.Succeed())
	g.Expect(sqlState(<-done)).To(gomega.Equal("57014"))

	nc, err := net.Dial("tcp", s.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = nc.Close() }()
	m, _ := (&pgproto3.CancelRequest{ProcessID: 7, SecretKey: []byte("1234")}).Encode(nil)
	_, _ = nc.Write(m)
	g.Eventually(func() []uint32 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.forwarded
	}, 10*time.Second).Should(gomega.Equal([]uint32{7}))
}

// Guards against session counts in the metrics that differ from the number of open sessions.
func TestServices(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, newFakeBackend())
	g.Expect(s.SessionCounts()).To(gomega.BeEmpty())
	var open []*pgx.Conn
	for range 3 {
		open = append(open, connect(t, s, "sslmode=disable"))
	}
	g.Expect(s.SessionCounts()).To(gomega.Equal(map[string]int{"plots": len(s.Sessions())}))
	g.Expect(s.SessionCounts()).To(gomega.HaveKeyWithValue("plots", 3))
	for i, c := range open {
		g.Expect(c.Close(t.Context())).To(gomega.Succeed())
		g.Eventually(func() int { return s.SessionCounts()["plots"] }, 10*time.Second).Should(gomega.Equal(2 - i))
	}
	g.Eventually(s.SessionCounts, 10*time.Second).Should(gomega.BeEmpty())
}

// Guards against a graceful shutdown that interrupts a unit or a transaction, or that doesn't close idle connections.
func TestDrain(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newFakeBackend()
	s := startServer(t, b)
	idle, err := login(s, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	inTx := connect(t, s, "sslmode=disable")
	tx, err := inTx.Begin(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	busy := connect(t, s, "sslmode=disable")
	done := make(chan error)
	go func() {
		_, err := busy.Exec(context.Background(), "BLOCK", pgx.QueryExecModeSimpleProtocol)
		done <- err
	}()
	<-b.blocked

	past, cancel := context.WithCancel(t.Context())
	cancel()
	s.Drain(past)
	var w bytes.Buffer
	idle.receive(&w, 1)
	g.Expect(w.String()).To(gomega.HavePrefix("FATAL 57P01"))
	g.Eventually(s.Len, 10*time.Second).Should(gomega.Equal(2))
	left := s.Drain(past)
	g.Expect(left).To(gomega.HaveLen(2))
	g.Expect([]work.TxStatus{left[0].TxStatus(), left[1].TxStatus()}).To(gomega.ContainElement(work.TxActive))
	_, err = net.Dial("tcp", s.Addr().String())
	g.Expect(err).To(gomega.HaveOccurred())

	_, err = tx.Exec(t.Context(), "INSERT INTO plots VALUES (1)")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(tx.Commit(t.Context())).To(gomega.Succeed())
	close(b.release)
	g.Expect(<-done).NotTo(gomega.HaveOccurred())
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	g.Expect(s.Drain(ctx)).To(gomega.BeEmpty())
}

// Guards against a graceful shutdown that never closes the connection of a caller who sends each request right after the
// previous answer. It would interrupt a request of this caller at the drain's deadline.
func TestDrainBusyCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, newFakeBackend())
	c, err := login(s, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.Drain(ctx)
	var w bytes.Buffer
	for rounds := 0; !strings.Contains(w.String(), "FATAL 57P01"); rounds++ {
		g.Expect(rounds).To(gomega.BeNumerically("<", 5), w.String())
		_, _ = c.Write(message("query SELECT 1"))
		c.receive(&w, 1)
	}
	c.receive(&w, 1)
	g.Expect(w.String()).To(gomega.HaveSuffix("closed\n"))
	g.Eventually(s.Len, 10*time.Second).Should(gomega.BeZero())
}

// Guards against a graceful shutdown that cuts off a unit of a transaction at its deadline, since the transaction went on until then.
func TestDrainEndsTransactions(t *testing.T) {
	const limit = 2 * time.Second
	g := gomega.NewWithT(t)
	s := startServer(t, newFakeBackend())
	begin := func() pgx.Tx {
		tx, err := connect(t, s, "sslmode=disable").Begin(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return tx
	}
	commits, goesOn := begin(), begin()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	drained := make(chan []SessionState, 1)
	go func() { drained <- s.Drain(ctx) }()
	g.Eventually(func() bool { return s.plan.Load() != nil }, 10*time.Second).Should(gomega.BeTrue())
	plan := *s.plan.Load()
	for !plan.EndsTransactions(time.Now()) {
		time.Sleep(time.Millisecond)
	}
	g.Expect(commits.Commit(t.Context())).To(gomega.Succeed())
	_, err := goesOn.Exec(t.Context(), "INSERT INTO plots VALUES (1)")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("SQLSTATE 40001")))
	g.Expect(goesOn.Rollback(t.Context())).To(gomega.Succeed())
	for _, tx := range []pgx.Tx{commits, goesOn} {
		_ = tx.Conn().Close(t.Context()) // The VM waits for the caller to close the connection that it has ended.
	}
	g.Expect(<-drained).To(gomega.BeEmpty())
}

// Guards against a graceful shutdown that closes a connection in the middle of a message.
func TestDrainMidMessage(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, size := range []int{100, 100_000} {
		s := startServer(t, newFakeBackend())
		c, err := login(s, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		q := message("query SELECT '" + strings.Repeat("x", size) + "'")
		_, _ = c.Write(q[:5])
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan []SessionState)
		go func() { done <- s.Drain(ctx) }()
		g.Eventually(s.draining.Load, 10*time.Second).Should(gomega.BeTrue())
		g.Consistently(s.Len, 10*drainGrace).Should(gomega.Equal(1))
		_, _ = c.Write(q[5:])
		var w bytes.Buffer
		c.receive(&w, 2)
		g.Expect(w.String()).To(gomega.And(gomega.ContainSubstring("ready I"), gomega.ContainSubstring("FATAL 57P01")))
		g.Expect(<-done).To(gomega.BeEmpty())
		cancel()
	}
}

// Guards against a transaction that stays open on its server after the caller got the error that it failed: if the rollback
// fails, the connection must end.
func TestAbortFails(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newFakeBackend()
	b.shedRollback = true
	c, err := login(startServer(t, b), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _ = c.Write(append(message("query BEGIN"), message("query SHED")...))
	var w bytes.Buffer
	c.receive(&w, 3)
	g.Expect(w.String()).To(gomega.ContainSubstring("FATAL 08007 transaction could not be rolled back"))
}

// Guards against a session that continues after its settings are lost with the server connection.
func TestSessionErr(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newFakeBackend()
	s := startServer(t, b)
	c, err := login(s, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b.sessErr = errors.New("server connection with the session's settings is lost")
	_, _ = c.Write(message("query SELECT 1"))
	var w bytes.Buffer
	c.receive(&w, 2)
	g.Expect(w.String()).To(gomega.ContainSubstring("FATAL XX000 server connection"))
}

// Guards against a startup setting that is dropped, or that allows SQL injection.
func TestStartupSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newFakeBackend()
	_, err := login(startServer(t, b), map[string]string{"search_path": `a', 'b\`, "extra_float_digits": "2"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(b.units()).To(gomega.HaveLen(1))
	g.Expect(string(b.units()[0].Frames[5:])).To(gomega.Equal(
		`SELECT pg_catalog.set_config('search_path', E'a'', ''b\\', false)` + "\x00"))
}

// Guards against malformed verifiers that are accepted.
func TestParseVerifier(t *testing.T) {
	g := gomega.NewWithT(t)
	good := verifier("x")
	_, err := ParseVerifier(good)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, bad := range []string{"", "md5abc", good[:len(good)-4], strings.Replace(good, "4096", "0", 1), strings.Replace(good, ":", "", 1)} {
		_, err := ParseVerifier(bad)
		g.Expect(result.CodeOf(err)).To(gomega.Equal(result.InvalidConfig), bad)
	}
}

// Guards against altered parameters, from which the request keys are derived.
func TestArgs(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newUnitBuilder(parse.New(), sess.NewPreparedStatements(10, 1000), 1000)
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: "SELECT $1, $2"},
		&pgproto3.Bind{Parameters: [][]byte{[]byte("a"), nil}, ParameterFormatCodes: []int16{1}},
		&pgproto3.Bind{DestinationPortal: "p", Parameters: [][]byte{[]byte("b"), nil}},
	} {
		b, err := m.Encode(nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = c.feed(b[0], b[5:])
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	args, formats := c.args()
	g.Expect(args).To(gomega.Equal([][]byte{[]byte("a"), nil}))
	g.Expect(formats).To(gomega.Equal([]int16{1}))
}

// Guards against input that makes the decoder panic, exceeds the unit limit or yields frames that aren't whole messages.
func FuzzMessages(f *testing.F) {
	join := func(lines ...string) (b []byte) {
		for _, l := range lines {
			b = append(b, message(l)...)
		}
		return b
	}
	f.Add(join("query SELECT 1", "query ;"))
	f.Add(join("parse a|SELECT $1", "describe S|a", "flush", "bind |a|x", "execute", "sync", "close S|a", "sync"))
	f.Add(join("bind |nosuch", "execute", "sync", "call", "copydata x"))
	f.Add(join("parse |COPY t FROM STDIN", "sync", "parse |BEGIN", "bind", "execute", "close P|", "sync"))
	f.Add([]byte("Q\x7f\xff\xff\xff"))
	f.Add([]byte("B\x00\x00\x00\x05a"))
	p := parse.New()
	const limit = 20_000
	f.Fuzz(func(t *testing.T, in []byte) {
		r := reader{src: bytes.NewReader(in)}
		defer func() { r.buf = nil }()
		c := newUnitBuilder(p, sess.NewPreparedStatements(5, 500), limit)
		for {
			typ, body, err := r.readMessage(limit)
			if err != nil {
				return
			}
			next, err := c.feed(typ, body)
			if err != nil {
				return
			}
			if _, ok := next.(runUnit); !ok {
				continue
			}
			for b := c.frames; len(b) > 0; {
				n := messageLen(b)
				if n < 5 || n > len(b) {
					t.Fatalf("frames of the unit are not whole messages: %q", c.frames)
				}
				b = b[n:]
			}
			c.statementInfos()
			c.args()
			c.confirmNameChanges(len(c.nameChanges))
			c.reset()
		}
	})
}
