package edge_test

import (
	"net"
	"strings"
	"testing"

	"verbenagate/core/query"
	"verbenagate/io/entry"
	"verbenagate/platform"
)

// panickingConn is a caller's connection whose decoder panics over one statement.
type panickingConn struct{ entry.Conn }

func (c panickingConn) ReadRequest() (string, query.Statement, error) {
	id, s, err := c.Conn.ReadRequest()
	if r, ok := s.(query.Read); ok && strings.HasSuffix(r.Text(), "poison") {
		panic("malformed statement")
	}
	return id, s, err
}

// Guards against a message of one caller that ends the process, and with it the sessions of all other callers. The transaction of
// the session that ends must not keep its connection to the server.
func TestPanicEndsOneSession(t *testing.T) {
	s := newDeployment(t)
	defer s.close()
	s.wrap = func(conn net.Conn) entry.Conn { return panickingConn{platform.NewCallerConn(conn)} }
	s.startVM("a")
	s.open("neighbour", "a", "pay", "key", "")
	if got := s.send("neighbour", "- BEGIN\nw1 WRITE x one"); got != "DONE -, T\nDONE ledger-0.signed, T\n" {
		t.Fatalf("the neighbour's transaction did not start: %s", got)
	}
	s.open("victim", "a", "pay", "key", "")
	if got := s.send("victim", "- BEGIN\nw2 WRITE x two\nr READ poison"); got != "DONE -, T\nDONE ledger-0.signed, T\nclosed\n" {
		t.Fatalf("the session with the malformed statement: %s", got)
	}
	if got := s.send("neighbour", "- COMMIT\nr READ x"); got != "DONE ledger-0.signed, I\nROW one, DONE ledger-0.signed, I\n" {
		t.Fatalf("the neighbour's session: %s", got)
	}
	s.waitFor("the session has ended", func() bool { return s.vms["a"].State().Sessions == 1 })
	s.open("next", "a", "pay", "key", "")
	if got := s.send("next", "r READ x"); got != "ROW one, DONE ledger-0.signed, I\n" {
		t.Fatalf("a session opened afterwards: %s", got)
	}
}
