package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Sizes of a service, as in a small deployment of the users.
const (
	serverSlots     = 5
	serverQueue     = 40
	serverMaxConns  = 34
	replicationLag  = 60 * time.Millisecond
	promotionTime   = 600 * time.Millisecond
	oldPrimaryGrace = time.Second // after a promotion, until a reachable old primary becomes a replica by itself
	replicationTick = 2 * time.Millisecond
	minWork         = 15 * time.Millisecond
	workSpread      = 30 * time.Millisecond
)

// entry is a committed write. Its number is its index in the log, counted from 1.
type entry struct {
	id, item, data string
	term           uint64
	at             time.Time
}

// run is a statement of a client that a server ran.
type run struct {
	at               time.Time
	server, id, text string
	values           string // session values of the connection, as name=value, sorted
}

// group is a service: servers that replicate one log.
type group struct {
	name         string
	syncReplicas int

	mu      sync.Mutex
	servers []*server
	runs    []run
	stop    chan struct{}
}

// server is one server of a group. The group's mu guards its fields.
type server struct {
	group    *group
	id, zone string
	address  string
	listener net.Listener
	started  time.Time
	term     uint64
	primary  bool
	log      []entry
	deaf     bool // receives nothing from the primary
	draining bool
	down     bool
	used     int // slots in use
	queued   int
	conns    map[net.Conn]bool
}

// newGroup starts a service with one server in each zone. The first one is the primary.
func newGroup(name string, zones []string, syncReplicas int) (*group, error) {
	g := &group{name: name, syncReplicas: syncReplicas, stop: make(chan struct{})}
	for i, zone := range zones {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &server{
			group: g, id: fmt.Sprintf("i-%s%d", name, i), zone: zone, address: l.Addr().String(), listener: l, started: time.Now(),
			term: 1, primary: i == 0, conns: make(map[net.Conn]bool),
		}
		g.servers = append(g.servers, s)
		go s.accept()
	}
	go g.replicate()
	return g, nil
}

// close ends all servers.
func (g *group) close() {
	close(g.stop)
	for _, s := range g.servers {
		s.crash()
	}
}

// leader returns the running primary of the newest term, or nil. The caller holds mu.
func (g *group) leader() *server {
	var l *server
	for _, s := range g.servers {
		if s.primary && !s.down && (l == nil || s.term > l.term) {
			l = s
		}
	}
	return l
}

// replicate passes the log of the primary on to the replicas until the group ends. A replica that was ahead is rolled back.
func (g *group) replicate() {
	t := time.NewTicker(replicationTick)
	defer t.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
		}
		g.mu.Lock()
		l := g.leader()
		for _, s := range g.servers {
			if l == nil || s == l || s.primary || s.down || s.deaf || (s.term == l.term && len(s.log) == len(l.log)) {
				continue
			}
			s.log, s.term = append([]entry(nil), l.log...), l.term
		}
		g.mu.Unlock()
	}
}

// promote makes a server lead the next term after promotionTime. It is the platform's part of POST /promote.
func (g *group) promote(id string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.id != id {
			continue
		}
		if s.down {
			return errors.New("the server is not running")
		}
		if g.leader() != s {
			time.AfterFunc(promotionTime, func() { g.completePromotion(s) })
		}
		return nil
	}
	return errors.New("the server does not exist")
}

func (g *group) completePromotion(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.down || g.leader() == s {
		return
	}
	term := s.term
	for _, o := range g.servers {
		term = max(term, o.term)
	}
	s.primary, s.term, s.deaf = true, term+1, false
	time.AfterFunc(oldPrimaryGrace, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, o := range g.servers {
			if o != s && o.term < s.term {
				o.primary = false
			}
		}
	})
}

// snapshot returns the statements that were run so far.
func (g *group) snapshot() []run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]run(nil), g.runs...)
}

// set changes a server under the group's lock.
func (g *group) set(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// crash ends a server: it refuses connections and closes those that are open.
func (s *server) crash() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// beat returns the entry with which the server registers in the store.
func (s *server) beat(sequence int) []byte {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	state, role := "ready", "replica"
	if s.draining {
		state = "draining"
	}
	if s.primary {
		role = "primary"
	}
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldLeftMs":0,"dbRole":%q,`+
		`"sequence":%d,"born":%d}`, s.group.name, s.address, s.zone, serverSlots, state, role, sequence, s.started.UnixMilli())
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// splitCRLF splits a stream into messages. Only CR LF ends one.
func splitCRLF(data []byte, _ bool) (advance int, token []byte, err error) {
	if i := strings.Index(string(data), "\r\n"); i >= 0 {
		return i + 2, data[:i], nil
	}
	return 0, nil, nil
}

func newScanner(conn net.Conn) *bufio.Scanner {
	sc := bufio.NewScanner(conn)
	sc.Buffer(make([]byte, 0, 4096), 1<<20)
	sc.Split(splitCRLF)
	return sc
}

// session is a connection to a server.
type session struct {
	s        *server
	prepared map[string]string
	values   map[string]string
	open     bool
	failed   bool
	readOnly bool
	writes   []entry
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s.group.mu.Lock()
	tooMany := len(s.conns) >= serverMaxConns
	if !tooMany && !s.down {
		s.conns[conn] = true
	}
	s.group.mu.Unlock()
	defer s.group.set(func() { delete(s.conns, conn) })
	sc := newScanner(conn)
	if !sc.Scan() {
		return
	}
	f := strings.Fields(sc.Text())
	switch {
	case tooMany:
		_, _ = fmt.Fprintf(conn, "ERR TOOMANY %s\r\n", s.id)
		return
	case len(f) < 3 || f[0] != "START" || f[1] != s.group.name || (len(f) > 3 && f[3] != s.id):
		_, _ = fmt.Fprintf(conn, "ERR MISROUTED %s\r\n", s.id)
		return
	}
	ss := &session{s: s, prepared: make(map[string]string), values: make(map[string]string)}
	answer := ss.ready()
	for {
		if _, err := conn.Write([]byte(answer)); err != nil || !sc.Scan() {
			return
		}
		verb, rest, _ := strings.Cut(sc.Text(), " ")
		if verb != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer = ss.query(id, text) + ss.ready()
	}
}

func (ss *session) ready() string {
	ss.s.group.mu.Lock()
	defer ss.s.group.mu.Unlock()
	state := "I"
	switch {
	case ss.failed:
		state = "E"
	case ss.open:
		state = "T"
	}
	return fmt.Sprintf("READY %s %d.%d\r\n", state, ss.s.term, len(ss.s.log))
}

// refuse returns an error. It fails the open transaction, if there is one.
func (ss *session) refuse(code string) string {
	ss.failed = ss.open
	return "ERR " + code + " " + ss.s.id + "\r\n"
}

// query runs one request and returns its answer without READY.
func (ss *session) query(id, text string) string {
	if first, rest, ok := strings.Cut(text, " "); ok && first == "AFTER" {
		position, statement, _ := strings.Cut(rest, " ")
		if !ss.s.holds(position) {
			return ss.refuse("BEHIND")
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	if ss.failed && verb != "ROLLBACK" {
		return "ERR MALFORMED " + ss.s.id + "\r\n"
	}
	name, arguments, _ := strings.Cut(rest, " ")
	switch verb {
	case "BEGIN":
		if rest == "" && !ss.s.leads() {
			return ss.refuse("READONLY")
		}
		ss.open, ss.readOnly, ss.writes = true, rest == "READ", nil
	case "ROLLBACK":
		ss.open, ss.failed, ss.writes = false, false, nil
	case "SET":
		ss.values[name] = arguments
	case "RESET":
		ss.prepared, ss.values = make(map[string]string), make(map[string]string)
	case "PREPARE":
		ss.prepared[name] = arguments
	case "DEMOTE":
		var term uint64
		_, _ = fmt.Sscan(rest, &term)
		ss.s.group.set(func() { ss.s.primary = ss.s.primary && ss.s.term >= term })
		return ss.s.status()
	case "STATUS":
		return ss.inSlot(func() string { return ss.s.status() }, 0)
	case "EXEC":
		shape, known := ss.prepared[name]
		if !known {
			return ss.refuse("NOSTMT")
		}
		if strings.HasPrefix(shape, "WRITE") {
			return ss.write(id, text, arguments)
		}
		return ss.read(id, text, arguments)
	case "READ":
		return ss.read(id, text, rest)
	case "WRITE":
		return ss.write(id, text, rest)
	case "COMMIT":
		return ss.commit(id, text)
	default:
		return ss.refuse("MALFORMED")
	}
	return "DONE -\r\n"
}

// holds reports whether the log that reads see has a position.
func (s *server) holds(position string) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	var term, number uint64
	if _, err := fmt.Sscanf(position, "%d.%d", &term, &number); err != nil || s.term < term || uint64(len(s.log)) < number {
		return false
	}
	return s.primary || number == 0 || time.Since(s.log[number-1].at) >= replicationLag
}

func (s *server) leads() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.primary
}

func (s *server) status() string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %d.%d 0 %d %d %d\r\nDONE -\r\n", role, s.term, s.term, len(s.log), replicationLag.Milliseconds(),
		s.used, len(s.conns))
}

// inSlot runs f in a slot of the server, for the time that work takes. It refuses the request if the queue is full.
func (ss *session) inSlot(f func() string, work time.Duration) string {
	s := ss.s
	waiting := false
	for {
		s.group.mu.Lock()
		switch {
		case s.used < serverSlots:
			s.used++
			if waiting {
				s.queued--
			}
			s.group.mu.Unlock()
			time.Sleep(work)
			answer := f()
			s.group.set(func() { s.used-- })
			return answer
		case !waiting && s.queued >= serverQueue:
			s.group.mu.Unlock()
			return "ERR BUSY " + s.id + "\r\n"
		case !waiting:
			waiting = true
			s.queued++
		}
		s.group.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

func workTime() time.Duration { return minWork + time.Duration(rand.Int64N(int64(workSpread))) }

// record adds a statement to the group's runs. The caller holds the group's mu.
func (ss *session) record(id, text string) {
	var values []string
	for name, value := range ss.values {
		values = append(values, name+"="+value)
	}
	slices.Sort(values)
	ss.s.group.runs = append(ss.s.group.runs, run{
		at: time.Now(), server: ss.s.id, id: id, text: text, values: strings.Join(values, ","),
	})
}

func (ss *session) signed(rows string) string {
	return rows + fmt.Sprintf("DONE %s.%016x\r\n", ss.s.id, rand.Uint64())
}

func (ss *session) read(id, text, item string) string {
	return ss.inSlot(func() string {
		ss.s.group.mu.Lock()
		defer ss.s.group.mu.Unlock()
		ss.record(id, text)
		data := "none"
		for _, e := range append(append([]entry(nil), ss.s.log...), ss.writes...) {
			if e.item == item {
				data = e.data
			}
		}
		return ss.signed("ROW " + data + "\r\n")
	}, workTime())
}

func (ss *session) write(id, text, arguments string) string {
	item, data, _ := strings.Cut(arguments, " ")
	return ss.inSlot(func() string {
		ss.s.group.mu.Lock()
		if !ss.s.primary || ss.readOnly {
			ss.s.group.mu.Unlock()
			return ss.refuse("READONLY")
		}
		ss.record(id, text)
		ss.s.group.mu.Unlock()
		e := entry{id: id, item: item, data: data}
		if ss.open {
			ss.writes = append(ss.writes, e)
			return ss.signed("")
		}
		return ss.append([]entry{e})
	}, workTime())
}

func (ss *session) commit(id, text string) string {
	if !ss.open {
		return ss.refuse("MALFORMED")
	}
	return ss.inSlot(func() string {
		ss.s.group.mu.Lock()
		ss.record(id, text)
		leads := ss.s.primary
		ss.s.group.mu.Unlock()
		writes := ss.writes
		ss.open, ss.writes = false, nil
		switch {
		case len(writes) == 0:
			return ss.signed("")
		case !leads:
			return ss.refuse("READONLY")
		}
		return ss.append(writes)
	}, workTime())
}

// append commits writes. With syncReplicas, it returns once that many replicas have received them.
func (ss *session) append(writes []entry) string {
	g := ss.s.group
	g.mu.Lock()
	for _, e := range writes {
		e.term, e.at = ss.s.term, time.Now()
		ss.s.log = append(ss.s.log, e)
	}
	number := len(ss.s.log)
	g.mu.Unlock()
	for {
		g.mu.Lock()
		received := 0
		for _, s := range g.servers {
			if s != ss.s && !s.down && s.term == ss.s.term && len(s.log) >= number {
				received++
			}
		}
		down := ss.s.down
		g.mu.Unlock()
		if received >= g.syncReplicas || down {
			return ss.signed("")
		}
		time.Sleep(time.Millisecond)
	}
}
