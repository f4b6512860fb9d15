package caller

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"verbenagate/core/work"
)

// wireCaller speaks the protocol message by message.
type wireCaller struct {
	net.Conn
	*pgproto3.Frontend
	key *pgproto3.BackendKeyData
}

// login connects and logs in. It returns the error that the server answers with, if any.
func login(s *Server, params map[string]string) (*wireCaller, error) {
	nc, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		return nil, err
	}
	return loginOver(nc, params)
}

// loginOver logs in on an open connection.
func loginOver(nc net.Conn, params map[string]string) (*wireCaller, error) {
	c := &wireCaller{Conn: nc, Frontend: pgproto3.NewFrontend(nc, nc)}
	all := map[string]string{"user": "clerk", "database": "plots"}
	for k, v := range params {
		all[k] = v
	}
	c.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: all})
	client, err := scram.SHA256.NewClient(all["user"], "secret", "")
	if err != nil {
		return nil, err
	}
	conv := client.NewConversation()
	for {
		if err := c.Flush(); err != nil {
			return nil, err
		}
		m, err := c.Receive()
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *pgproto3.AuthenticationSASL:
			first, _ := conv.Step("")
			c.Send(&pgproto3.SASLInitialResponse{AuthMechanism: saslMechanism, Data: []byte(first)})
		case *pgproto3.AuthenticationSASLContinue:
			final, _ := conv.Step(string(m.Data))
			c.Send(&pgproto3.SASLResponse{Data: []byte(final)})
		case *pgproto3.BackendKeyData:
			c.key = &pgproto3.BackendKeyData{ProcessID: m.ProcessID, SecretKey: append([]byte(nil), m.SecretKey...)}
		case *pgproto3.ErrorResponse:
			return c, fmt.Errorf("%s %s: %s", m.Severity, m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return c, nil
		}
	}
}

// message encodes the message that a line of a script describes: a type, a space and the fields, separated by |.
func message(line string) []byte {
	typ, rest, _ := strings.Cut(line, " ")
	f := append(strings.Split(rest, "|"), "", "")
	var m pgproto3.FrontendMessage
	switch typ {
	case "query":
		m = &pgproto3.Query{String: rest}
	case "parse":
		m = &pgproto3.Parse{Name: f[0], Query: f[1]}
	case "bind":
		b := &pgproto3.Bind{DestinationPortal: f[0], PreparedStatement: f[1]}
		if f[2] != "" {
			b.Parameters = [][]byte{[]byte(f[2])}
		}
		m = b
	case "describe":
		m = &pgproto3.Describe{ObjectType: f[0][0], Name: f[1]}
	case "execute":
		m = &pgproto3.Execute{Portal: f[0]}
	case "close":
		m = &pgproto3.Close{ObjectType: f[0][0], Name: f[1]}
	case "flush":
		m = &pgproto3.Flush{}
	case "sync":
		m = &pgproto3.Sync{}
	case "call":
		m = &pgproto3.FunctionCall{}
	case "copydata":
		m = &pgproto3.CopyData{Data: []byte(rest)}
	case "raw":
		var b []byte
		_, _ = fmt.Sscanf(rest, "%x", &b)
		return b
	}
	b, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	return b
}

// receive prints the messages that arrive until the n-th ReadyForQuery or the end of the connection. Rows of 1000 bytes are
// only counted.
func (c *wireCaller) receive(w io.Writer, n int) {
	large := 0
	for n > 0 {
		m, err := c.Receive()
		if row, ok := m.(*pgproto3.DataRow); ok && len(row.Values[0]) == 1000 {
			large++
			continue
		}
		if large > 0 {
			fmt.Fprintf(w, "%d rows of 1000 bytes\n", large)
			large = 0
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			fmt.Fprintln(w, "no answer")
			return
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			fmt.Fprintln(w, "closed")
			return
		}
		switch m := m.(type) {
		case nil:
			fmt.Fprintln(w, err)
			return
		case *pgproto3.ErrorResponse:
			fmt.Fprintf(w, "%s %s %s", m.Severity, m.Code, m.Message)
			if m.Detail != "" {
				fmt.Fprintf(w, " (%s)", m.Detail)
			}
			fmt.Fprintln(w)
		case *pgproto3.DataRow:
			fmt.Fprintf(w, "row %s\n", m.Values[0])
		case *pgproto3.CommandComplete:
			fmt.Fprintf(w, "complete %s\n", m.CommandTag)
		case *pgproto3.ReadyForQuery:
			fmt.Fprintf(w, "ready %c\n", m.TxStatus)
			n--
		default:
			fmt.Fprintln(w, strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3."))
		}
	}
}

func describeUnit(u work.Unit) string {
	var types []byte
	for in := u.Frames; len(in) > 0; in = in[messageLen(in):] {
		types = append(types, in[0])
	}
	s := fmt.Sprintf("unit %s %s", types, u.Class)
	for _, p := range u.Prepared {
		s += fmt.Sprintf(" with %q", p.SQL)
	}
	return s
}

// Guards against answers that differ from those of PostgreSQL to the same messages, and against messages that are grouped
// into wrong units or units with wrong descriptions. "connect" opens a connection; "send" sends messages and prints the
// answers and the units.
func TestWire(t *testing.T) {
	datadriven.Walk(t, "_fixtures", func(t *testing.T, path string) {
		b := newFakeBackend()
		s := startServer(t, b, WithMaxMessage(2000), WithMaxStatements(3, 1000))
		var c *wireCaller
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "connect" {
				params := map[string]string{}
				for _, a := range d.CmdArgs {
					params[a.Key] = strings.Join(a.Vals, ",")
				}
				var err error
				if c, err = login(s, params); err != nil {
					return err.Error()
				}
				t.Cleanup(func() { _ = c.Close() })
				_ = c.SetDeadline(time.Now().Add(20 * time.Second))
				return ""
			}
			var out []byte
			ready := 0
			for line := range strings.SplitSeq(d.Input, "\n") {
				out = append(out, message(line)...)
				switch strings.Fields(line)[0] {
				case "query", "sync", "call", "raw":
					ready++
				}
			}
			d.MaybeScanArgs(t, "ready", &ready)
			before := len(b.units())
			if _, err := c.Write(out); err != nil {
				return err.Error()
			}
			var w strings.Builder
			c.receive(&w, ready)
			for _, u := range b.units()[before:] {
				fmt.Fprintln(&w, describeUnit(u))
			}
			return w.String()
		})
	})
}
