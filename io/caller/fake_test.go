package caller

import (
	"context"
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/parse"
)

// verifier returns a SCRAM-SHA-256 verifier in PostgreSQL's form.
func verifier(password string) string {
	const rounds = 4096
	salt := []byte("0123456789abcdef")
	salted, err := pbkdf2.Key(sha256.New, password, salt, rounds, sha256.Size)
	if err != nil {
		panic(err)
	}
	mac := func(key []byte, s string) []byte {
		h := hmac.New(sha256.New, key)
		h.Write([]byte(s))
		return h.Sum(nil)
	}
	stored := sha256.Sum256(mac(salted, "Client Key"))
	b := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", rounds, b(salt), b(stored[:]), b(mac(salted, "Server Key")))
}

// fakeBackend answers statements like a small server. The first word of a statement selects the answer, besides BEGIN,
// COMMIT, ROLLBACK and INSERT:
//
//	SELECT        returns the parameter or, without one, the text
//	BLOCK         waits for a cancel or for release to be closed
//	LARGE n       returns n rows of 1000 bytes
//	BREAK         fails with ConnectionLost
//	LARGEBREAK n  fails with ConnectionLost after n rows
//	ROWBREAK n    fails with ConnectionLost in the middle of a row of n bytes
//	SHED          fails with QueueFull, without being run
//	SERVERERROR   returns an error of the server
type fakeBackend struct {
	mu            sync.Mutex
	receivedUnits []work.Unit
	args          [][][]byte
	forwarded     []uint32
	blocked       chan struct{}
	release       chan struct{}
	sessErr       error
	shedRollback  bool // COMMIT and ROLLBACK fail with QueueFull
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{blocked: make(chan struct{}, 100), release: make(chan struct{})}
}

func (b *fakeBackend) Service(name string) (svcdef.Service, bool) {
	return svcdef.New(svcdef.Spec{
		Name: "plots", Callers: []svcdef.CallerSpec{{User: "clerk", Verifier: verifier("secret")}},
	}), name == "plots"
}

func (b *fakeBackend) Open(context.Context, string, string) (Session, error) {
	return &fakeSession{b: b, status: work.TxIdle, cancel: make(chan struct{}, 1)}, nil
}

func (b *fakeBackend) ForwardCancel(pid uint32, _ []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forwarded = append(b.forwarded, pid)
}

func (b *fakeBackend) units() []work.Unit {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]work.Unit(nil), b.receivedUnits...)
}

type fakeSession struct {
	b      *fakeBackend
	status work.TxStatus
	cancel chan struct{}
}

func (s *fakeSession) Err() error { return s.b.sessErr }
func (s *fakeSession) Cancel()    { s.cancel <- struct{}{} }
func (s *fakeSession) Close()     {}

// Run keeps no prepared statements between units, so that a definition that is missing in the unit causes an error.
func (s *fakeSession) Run(_ context.Context, r Request, sink work.Sink) work.Final {
	u := r.Unit()
	u.Frames = append([]byte(nil), u.Frames...)
	s.b.mu.Lock()
	s.b.receivedUnits = append(s.b.receivedUnits, u)
	s.b.args = append(s.b.args, r.Args())
	s.b.mu.Unlock()
	texts := map[string]string{}
	for _, p := range u.Prepared {
		texts[p.Name] = p.SQL
	}
	portals := map[string]string{}
	args := r.Args()
	for in := u.Frames; len(in) > 0; {
		n := messageLen(in)
		typ, body := in[0], in[5:n]
		in = in[n:]
		var msgs []pgproto3.BackendMessage
		switch typ {
		case 'Q':
			out, f := s.execute(string(body[:len(body)-1]), args, true, sink)
			if f != nil {
				return *f
			}
			msgs = out
		case 'P':
			var m pgproto3.Parse
			_ = m.Decode(body)
			texts[m.Name] = m.Query
			msgs = append(msgs, &pgproto3.ParseComplete{})
		case 'B':
			var m pgproto3.Bind
			_ = m.Decode(body)
			text, ok := texts[m.PreparedStatement]
			if !ok {
				msgs = append(msgs, &pgproto3.ErrorResponse{Severity: "ERROR", Code: "26000", Message: "no statement " + m.PreparedStatement})
				in = nil
				break
			}
			portals[m.DestinationPortal] = text
			msgs = append(msgs, &pgproto3.BindComplete{})
		case 'D':
			name := string(body[1 : len(body)-1])
			text := portals[name]
			if body[0] == 'S' {
				text = texts[name]
				d := &pgproto3.ParameterDescription{}
				if strings.Contains(text, "$1") {
					d.ParameterOIDs = []uint32{25}
				}
				msgs = append(msgs, d)
			}
			if returnsRows(text) {
				msgs = append(msgs, rowDescription())
			} else {
				msgs = append(msgs, &pgproto3.NoData{})
			}
		case 'E':
			var m pgproto3.Execute
			_ = m.Decode(body)
			out, f := s.execute(portals[m.Portal], args, false, sink)
			if f != nil {
				return *f
			}
			msgs = out
		case 'C':
			msgs = append(msgs, &pgproto3.CloseComplete{})
		}
		for _, m := range msgs {
			if _, ok := m.(*pgproto3.ErrorResponse); ok {
				in = nil
				if s.status == work.TxActive {
					s.status = work.TxFailed
				}
			}
			if sink(encode(nil, m)) != nil {
				return work.FinalFromError(result.New(result.ConnectionLost, "caller closed the connection"))
			}
		}
	}
	return work.Final{Code: result.OK, Status: s.status}
}

func returnsRows(text string) bool {
	return strings.HasPrefix(text, "SELECT") || strings.HasPrefix(text, "LARGE")
}

func rowDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}
}

func (s *fakeSession) execute(text string, args [][]byte, simple bool, sink work.Sink) ([]pgproto3.BackendMessage, *work.Final) {
	text = strings.TrimSpace(strings.TrimSuffix(text, ";"))
	word, _, _ := strings.Cut(strings.ToUpper(text), " ")
	fail := func(c result.Code, status work.TxStatus) *work.Final {
		s.status = status
		return &work.Final{Code: c, Message: "fake backend failed with " + c.String(), Status: status}
	}
	tag := word
	switch word {
	case "BEGIN":
		s.status = work.TxActive
	case "COMMIT", "ROLLBACK":
		if s.b.shedRollback {
			return nil, fail(result.QueueFull, s.status)
		}
		if s.status == work.TxFailed {
			tag = "ROLLBACK"
		}
		s.status = work.TxIdle
	case "BREAK":
		return nil, fail(result.ConnectionLost, work.TxIdle)
	case "SHED":
		return nil, fail(result.QueueFull, s.status)
	case "SERVERERROR":
		return []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Severity: "ERROR", Code: "23505", Message: "duplicate"}}, nil
	case "BLOCK":
		s.b.blocked <- struct{}{}
		select {
		case <-s.cancel:
			return nil, fail(result.Cancelled, s.status)
		case <-s.b.release:
		}
	case "LARGE", "LARGEBREAK":
		row := encode(nil, &pgproto3.DataRow{Values: [][]byte{make([]byte, 1000)}})
		if simple {
			_ = sink(encode(nil, rowDescription()))
		}
		n := 0
		_, _ = fmt.Sscanf(text, word+" %d", &n)
		for range n {
			if sink(row) != nil {
				return nil, fail(result.ConnectionLost, work.TxIdle)
			}
		}
		if word == "LARGEBREAK" {
			return nil, fail(result.ConnectionLost, work.TxIdle)
		}
	case "ROWBREAK":
		n := 0
		_, _ = fmt.Sscanf(text, word+" %d", &n)
		row := encode(nil, &pgproto3.DataRow{Values: [][]byte{make([]byte, n)}})
		_ = sink(append(encode(nil, rowDescription()), row[:n/2]...))
		return nil, fail(result.ConnectionLost, work.TxIdle)
	case "SELECT":
		v := []byte(text)
		if len(args) > 0 {
			v = args[0]
		}
		msgs := []pgproto3.BackendMessage{&pgproto3.DataRow{Values: [][]byte{v}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}}
		if simple {
			msgs = append([]pgproto3.BackendMessage{rowDescription()}, msgs...)
		}
		return msgs, nil
	case "INSERT":
		tag = "INSERT 0 1"
	}
	return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte(tag)}}, nil
}

func startServer(t testing.TB, b Backend, opts ...Option) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(ln, b, parse.New(), "vm-1", opts...)
	t.Cleanup(s.Close)
	return s
}

func dsn(s *Server, extra string) string {
	return "postgres://clerk:secret@" + s.Addr().String() + "/plots?" + extra
}

var _ stmt.Parser = (*parse.Parser)(nil)
