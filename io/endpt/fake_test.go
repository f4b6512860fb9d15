package endpt_test

import (
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// reply is what the fake server does with one statement.
type reply struct {
	rows         []string // values of a single column
	tag          string
	sqlState     string // SQLSTATE of an error that replaces the rows
	fatal        bool   // the error ends the connection
	drop         bool   // close the connection without an answer
	hang         bool   // wait for a cancel request or the end of the connection
	wait         chan struct{}
	changedParam string // the session parameter that the statement changes
}

// fakeServer is a small server without a parser. It implements transactions and outcome records; handle answers all
// other statements.
type fakeServer struct {
	listener net.Listener
	handle   func(sql string, params [][]byte) reply

	mu              sync.Mutex
	sessions        map[*session]bool
	opened          int
	log             []string // received statements and messages, in order
	records         map[string]string
	position        int
	cancels         chan struct{}
	refuseLogins    bool
	tableMissing    bool
	describesRows   bool // Describe is answered with a row description
	fenced          bool // refuse a COMMIT, as a server that has promised a newer term does
	dropAfterCommit bool // carry out a COMMIT, then close the connection instead of answering
}

type session struct {
	f                  *fakeServer
	c                  net.Conn
	b                  *pgproto3.Backend
	status             byte
	prepared           map[string]string
	boundSQL           string
	format             int16
	params             [][]byte
	skipToSync         bool
	uncommittedRecords map[string]string // outcome records of the open transaction
	wrote              bool
}

func newFake(t testing.TB, handle func(sql string, params [][]byte) reply) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeServer{
		listener: l, handle: handle, sessions: map[*session]bool{}, records: map[string]string{},
		cancels: make(chan struct{}, 100),
	}
	t.Cleanup(func() { _ = l.Close(); f.dropAll() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return f
}

func (f *fakeServer) dropAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.sessions {
		_ = s.c.Close()
	}
}

// notifyAll sends a notification on each connection.
func (f *fakeServer) notifyAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, _ := (&pgproto3.NotificationResponse{PID: 8, Channel: "x"}).Encode(nil)
	for s := range f.sessions {
		_, _ = s.c.Write(b)
	}
}

func (f *fakeServer) setDropAfterCommit(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropAfterCommit = on
}

func (f *fakeServer) setFenced(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fenced = on
}

func (f *fakeServer) isFenced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fenced
}

func (f *fakeServer) sessionCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sessions)
}

func (f *fakeServer) logEntry(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, what)
}

// countLogged returns how many messages or statements with this prefix have arrived.
func (f *fakeServer) countLogged(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, l := range f.log {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

func (f *fakeServer) serve(c net.Conn) {
	s := &session{
		f: f, c: c, b: pgproto3.NewBackend(c, c), status: 'I',
		prepared: map[string]string{}, uncommittedRecords: map[string]string{},
	}
	defer c.Close()
	m, err := s.b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if _, ok := m.(*pgproto3.CancelRequest); ok {
		f.cancels <- struct{}{}
		return
	}
	f.mu.Lock()
	refuse := f.refuseLogins
	f.opened++
	f.sessions[s] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.sessions, s)
		f.mu.Unlock()
	}()
	if refuse {
		s.b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300"})
		_ = s.b.Flush()
		return
	}
	s.b.Send(&pgproto3.AuthenticationOk{})
	s.b.Send(&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte{0, 0, 0, 9}})
	s.ready()
	for {
		m, err := s.b.Receive()
		if err != nil || !s.handle(m) {
			return
		}
	}
}

func (s *session) ready() {
	s.b.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	_ = s.b.Flush()
}

func (s *session) handle(m pgproto3.FrontendMessage) bool {
	if _, ok := m.(*pgproto3.Sync); !ok && s.skipToSync {
		return true
	}
	switch m := m.(type) {
	case *pgproto3.Parse:
		s.f.logEntry("parse " + m.Name + " " + m.Query)
		s.prepared[m.Name] = m.Query
		s.b.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := s.prepared[m.PreparedStatement]
		if !ok {
			s.fail("26000", "ERROR")
			return true
		}
		s.boundSQL, s.format = sql, 0
		if len(m.ResultFormatCodes) > 0 {
			s.format = m.ResultFormatCodes[0]
		}
		s.params = nil
		for _, p := range m.Parameters {
			s.params = append(s.params, append([]byte(nil), p...))
		}
		s.b.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if !s.f.describesRows {
			s.b.Send(&pgproto3.NoData{})
			return true
		}
		s.b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
			{Name: []byte("v"), DataTypeOID: 25, Format: s.format},
		}})
	case *pgproto3.Execute:
		return s.run(s.boundSQL, s.params, false, m.MaxRows)
	case *pgproto3.Close:
		s.f.logEntry("close " + m.Name)
		delete(s.prepared, m.Name)
		s.b.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		s.skipToSync = false
		s.ready()
	case *pgproto3.Query:
		if !s.run(m.String, nil, true, 0) {
			return false
		}
		s.skipToSync = false
		s.ready()
	case *pgproto3.Terminate:
		return false
	}
	return true
}

func (s *session) fail(code, severity string) {
	s.b.Send(&pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: code, Message: code})
	s.skipToSync = true
	if s.status == 'T' {
		s.status = 'E'
	}
}

func (s *session) run(sql string, params [][]byte, simple bool, limit uint32) bool {
	s.f.logEntry(sql)
	r := s.answer(sql, params)
	if r.wait != nil {
		<-r.wait
	}
	switch {
	case r.drop:
		return false
	case r.hang:
		select {
		case <-s.f.cancels:
			s.fail("57014", "ERROR")
			return true
		case <-closed(s.c):
			return false
		}
	case r.sqlState != "":
		severity := "ERROR"
		if r.fatal {
			severity = "FATAL"
		}
		s.fail(r.sqlState, severity)
		if r.fatal {
			_ = s.b.Flush()
		}
		return !r.fatal
	}
	if r.changedParam != "" {
		s.b.Send(&pgproto3.ParameterStatus{Name: r.changedParam, Value: "changed"})
	}
	if simple && r.rows != nil {
		s.b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25}}})
	}
	for _, v := range r.rows {
		s.b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(v)}})
	}
	if limit > 0 && len(r.rows) >= int(limit) {
		s.b.Send(&pgproto3.PortalSuspended{})
		return true
	}
	s.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return true
}

// closed returns a channel that is closed when the peer closes c.
func closed(c net.Conn) chan struct{} {
	done := make(chan struct{})
	go func() {
		_, _ = c.Read(make([]byte, 1))
		close(done)
	}()
	return done
}

// answer implements transactions and outcome records, and calls handle for all other statements.
func (s *session) answer(sql string, params [][]byte) reply {
	f := s.f
	word, _, _ := strings.Cut(sql, " ")
	if s.status == 'E' && word != "ROLLBACK" {
		return reply{sqlState: "25P02"}
	}
	switch {
	case word == "BEGIN":
		s.status = 'T'
	case sql == "ROLLBACK":
		s.uncommittedRecords, s.status, s.wrote = map[string]string{}, 'I', false
	case strings.HasPrefix(sql, "ROLLBACK TO"):
		s.status = 'T'
	case word == "COMMIT" && f.isFenced():
		s.uncommittedRecords, s.status, s.wrote = map[string]string{}, 'I', false
		return reply{sqlState: "25006"}
	case word == "COMMIT":
		s.commit()
		s.status = 'I'
		f.mu.Lock()
		defer f.mu.Unlock()
		return reply{tag: word, drop: f.dropAfterCommit}
	case word == "SAVEPOINT", word == "RELEASE", word == "DISCARD":
		if word == "DISCARD" {
			clear(s.prepared)
			return reply{tag: "DISCARD ALL"}
		}
	case strings.Contains(sql, "verbenagate_outcome"):
		return s.answerRecord(word, params)
	default:
		r := f.handle(sql, params)
		if word == "INSERT" && r.sqlState == "" && !r.drop && !r.hang {
			s.wrote = true
			if s.status == 'I' {
				s.commit()
			}
		}
		return r
	}
	return reply{tag: word}
}

func (s *session) commit() {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	for k, v := range s.uncommittedRecords {
		s.f.records[k] = v
	}
	s.uncommittedRecords = map[string]string{}
	if s.wrote {
		s.f.position++
		s.b.Send(&pgproto3.ParameterStatus{Name: "verbena.position", Value: "1/" + itoa(s.f.position)})
	}
	s.wrote = false
}

func itoa(n int) string {
	const digits = "0123456789"
	if n < 10 {
		return digits[n : n+1]
	}
	return itoa(n/10) + digits[n%10:n%10+1]
}

func (s *session) answerRecord(word string, params [][]byte) reply {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	if s.f.tableMissing {
		if word == "CREATE" {
			s.f.tableMissing = false
			return reply{tag: "CREATE TABLE"}
		}
		return reply{sqlState: "42P01"}
	}
	key := func(i int) string { return string(params[i]) + "/" + string(params[i+1]) }
	switch word {
	case "INSERT":
		k := key(0)
		_, done := s.f.records[k]
		_, own := s.uncommittedRecords[k]
		if done || own {
			return reply{sqlState: "23505"}
		}
		s.uncommittedRecords[k] = ""
		s.wrote = true
		return reply{tag: "INSERT 0 1"}
	case "UPDATE":
		s.uncommittedRecords[key(1)] = string(params[0])
		return reply{tag: "UPDATE 1"}
	case "SELECT":
		k := key(0)
		if v, ok := s.uncommittedRecords[k]; ok {
			return reply{rows: []string{v}, tag: "SELECT 1"}
		}
		if v, ok := s.f.records[k]; ok {
			return reply{rows: []string{v}, tag: "SELECT 1"}
		}
		return reply{tag: "SELECT 0"}
	}
	return reply{tag: word}
}
