package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// clientTimeout is how long a client waits for READY and for an answer, longer than the statement timeouts of the routes.
const clientTimeout = 5 * time.Second

// client is a session of a client.
type client struct {
	conn  net.Conn
	lines *bufio.Scanner
	rec   *recorder
	name  string
}

// answer is a complete answer to a request.
type answer struct {
	rows      []string
	signature string
	errWord   string
	state     string
}

// ok reports whether the answer is a success.
func (a answer) ok() bool { return a.errWord == "" }

func (a answer) String() string {
	if a.errWord != "" {
		return "ERR " + a.errWord + " state " + a.state
	}
	return fmt.Sprintf("DONE %s rows %q state %s", a.signature, a.rows, a.state)
}

var errNoAnswer = errors.New("the connection ended without a complete answer")

// dial opens a session of a database at a VM.
func dial(rec *recorder, name, address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, lines: newScanner(conn), rec: rec, name: name}
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, name); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if !c.lines.Scan() || !strings.HasPrefix(c.lines.Text(), "READY ") {
		_ = conn.Close()
		return nil, fmt.Errorf("no READY after START: %q", c.lines.Text())
	}
	return c, nil
}

// newID returns a new id of a statement.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// query sends a request with a new id and returns the id and the answer.
func (c *client) query(text string) (string, answer, error) {
	id := newID()
	a, err := c.queryAs(id, text)
	return id, a, err
}

// queryAs sends a request and waits for its answer.
func (c *client) queryAs(id, text string) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout))
	c.rec.printf("%s: sends %s %q", c.name, id, text)
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		c.rec.printf("%s: %s got no answer: %v", c.name, id, err)
		return answer{}, errNoAnswer
	}
	var a answer
	for c.lines.Scan() {
		verb, rest, _ := strings.Cut(c.lines.Text(), " ")
		switch verb {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.signature = rest
		case "ERR":
			a.errWord, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			c.rec.printf("%s: %s answered %s", c.name, id, a)
			return a, nil
		}
	}
	c.rec.printf("%s: %s got no answer: %v", c.name, id, c.lines.Err())
	return answer{}, errNoAnswer
}

// bye ends the session.
func (c *client) bye() {
	_, _ = fmt.Fprint(c.conn, "BYE\r\n")
	_ = c.conn.Close()
}
