package main

import (
	"bytes"
	"net"
	"sync"
)

// tap forwards connections to the store. It can make single open connections go silent for good: they accept bytes and deliver none,
// while new connections work.
type tap struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*tapped]struct{}
}

// tapped is one connection.
type tapped struct {
	follows string // the table whose changes the last request on the connection waits for, "" if it does not
	silent  bool
}

func newTap(target string) (*tap, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &tap{listener: l, target: target, conns: make(map[*tapped]struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.forward(conn)
		}
	}()
	return t, nil
}

// silence makes the open connections go silent that wait for changes of a table. It returns how many these are.
func (t *tap) silence(table string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for c := range t.conns {
		if c.follows == table && !c.silent {
			c.silent = true
			n++
		}
	}
	return n
}

func (t *tap) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	store, err := net.Dial("tcp4", t.target)
	if err != nil {
		return
	}
	defer func() { _ = store.Close() }()
	c := &tapped{}
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	ended := make(chan struct{}, 2)
	go t.copy(c, client, store, true, ended)
	go t.copy(c, store, client, false, ended)
	<-ended
}

// copy passes bytes on until the connection ends. It drops those of a silent connection.
func (t *tap) copy(c *tapped, from, to net.Conn, requests bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		t.mu.Lock()
		if requests {
			c.note(b[:n])
		}
		silent := c.silent
		t.mu.Unlock()
		if silent {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// note records what the first line of a request asks for.
func (c *tapped) note(b []byte) {
	line, _, _ := bytes.Cut(b, []byte("\r\n"))
	if !bytes.HasSuffix(line, []byte(" HTTP/1.1")) {
		return
	}
	c.follows = ""
	if bytes.HasPrefix(line, []byte("GET /api/rows-feed?")) {
		_, table, _ := bytes.Cut(line, []byte("table="))
		table, _, _ = bytes.Cut(table, []byte("&"))
		table, _, _ = bytes.Cut(table, []byte(" "))
		c.follows = string(table)
	}
}
