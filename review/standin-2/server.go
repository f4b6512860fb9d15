package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"net"
	"strings"
	"sync"
	"time"

	"verbenagate/lab/ports"
)

const (
	// applyDelay is how long after a commit the replicas have applied it.
	applyDelay = 60 * time.Millisecond
	// serverSlots is how many statements a server runs at once, and serverConns how many connections it accepts, as on the small sites.
	serverSlots = 5
	serverConns = 34
)

// entry is one committed write.
type entry struct {
	id, item, data string
	at             time.Time
}

// database is a service of one primary and its replicas, which share one log.
type database struct {
	name   string
	record *recorder
	work   func(verb string) time.Duration // how long a statement takes

	mu      sync.Mutex
	term    int
	log     []entry
	servers []*server
}

// server is one server of a database. The database's mu guards its fields.
type server struct {
	db       *database
	id       string
	zone     string
	port     *ports.Reservation
	primary  bool
	draining bool
	busy     int
	conns    map[net.Conn]struct{}
}

// newDatabase starts a service with n servers; the first one is the primary.
func newDatabase(name string, n int, zones []string, record *recorder, work func(verb string) time.Duration) (*database, error) {
	db := &database{name: name, record: record, work: work, term: 1}
	for i := range n {
		p, err := ports.Reserve()
		if err != nil {
			return nil, err
		}
		s := &server{
			db: db, id: fmt.Sprintf("i-%s-%d", name, i), zone: zones[i%len(zones)], port: p, primary: i == 0,
			conns: make(map[net.Conn]struct{}),
		}
		l, err := net.Listen("tcp4", p.Addr())
		if err != nil {
			return nil, err
		}
		go s.accept(l)
		db.servers = append(db.servers, s)
	}
	return db, nil
}

// row returns what the server writes about itself into the store.
func (s *server) row(sequence int) []byte {
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	state, role := "ready", "replica"
	if s.draining {
		state = "draining"
	}
	if s.primary {
		role = "primary"
	}
	return fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"1","slots":%d,"state":%q,"coldLeftMs":0,"sequence":%d,"dbRole":%q,"born":1}`,
		s.db.name, s.port.Addr(), s.zone, serverSlots, state, sequence, role)
}

// promote makes a server the primary of the next term. An earlier primary becomes a replica.
func (db *database) promote(id string) error {
	db.mu.Lock()
	defer db.mu.Unlock()
	for _, s := range db.servers {
		if s.id != id {
			continue
		}
		if s.primary {
			return nil
		}
		db.term++
		for _, o := range db.servers {
			o.primary = o == s
		}
		return nil
	}
	return fmt.Errorf("no server %s", id)
}

// committed reports whether the log has a write of the statement id.
func (db *database) committed(id string) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	for _, e := range db.log {
		if e.id == id {
			return true
		}
	}
	return false
}

func (s *server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			s.db.mu.Lock()
			s.conns[conn] = struct{}{}
			full := len(s.conns) > serverConns
			s.db.mu.Unlock()
			if full {
				_, _ = fmt.Fprintf(conn, "ERR TOOMANY %s\r\n", s.id)
			} else {
				(&serverSession{s: s, conn: conn, values: make(map[string]string), prepared: make(map[string]string)}).serve()
			}
			s.db.mu.Lock()
			delete(s.conns, conn)
			s.db.mu.Unlock()
		}()
	}
}

// serverSession is one connection to a server.
type serverSession struct {
	s        *server
	conn     net.Conn
	values   map[string]string
	prepared map[string]string
	state    string
	readOnly bool
	writes   []entry
}

func (ss *serverSession) serve() {
	r := bufio.NewReader(ss.conn)
	first, err := r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(first)
	if len(f) < 3 || f[0] != "START" || f[1] != ss.s.db.name || (len(f) > 3 && f[3] != ss.s.id) {
		_, _ = fmt.Fprintf(ss.conn, "ERR MISROUTED %s\r\n", ss.s.id)
		return
	}
	ss.state = "I"
	ss.reply("")
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		verb, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		if verb != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if !ss.reply(ss.query(id, text)) {
			return
		}
	}
}

// applied returns how many entries of the log the server has applied. The caller holds mu.
func (s *server) applied(now time.Time) int {
	n := len(s.db.log)
	for !s.primary && n > 0 && now.Sub(s.db.log[n-1].at) < applyDelay {
		n--
	}
	return n
}

func (ss *serverSession) reply(body string) bool {
	ss.s.db.mu.Lock()
	position := fmt.Sprintf("%d.%d", ss.s.db.term, ss.s.applied(time.Now()))
	ss.s.db.mu.Unlock()
	_, err := fmt.Fprintf(ss.conn, "%sREADY %s %s\r\n", body, ss.state, position)
	return err == nil
}

func (ss *serverSession) fail(code string) string {
	if ss.state == "T" {
		ss.state = "E"
	}
	return "ERR " + code + " " + ss.s.id + "\r\n"
}

// occupy takes a slot for the time of a statement's work. It returns false if all slots are busy.
func (ss *serverSession) occupy(verb string) bool {
	ss.s.db.mu.Lock()
	if ss.s.busy >= serverSlots {
		ss.s.db.mu.Unlock()
		return false
	}
	ss.s.busy++
	ss.s.db.mu.Unlock()
	time.Sleep(ss.s.db.work(verb))
	ss.s.db.mu.Lock()
	ss.s.busy--
	ss.s.db.mu.Unlock()
	return true
}

func (ss *serverSession) query(id, text string) string {
	db := ss.s.db
	if prefix, rest, ok := strings.Cut(text, " "); ok && prefix == "AFTER" {
		position, statement, _ := strings.Cut(rest, " ")
		var term, number int
		_, _ = fmt.Sscanf(position, "%d.%d", &term, &number)
		db.mu.Lock()
		behind := db.term < term || ss.s.applied(time.Now()) < number
		db.mu.Unlock()
		if behind {
			return ss.fail("BEHIND")
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	if ss.state == "E" && verb != "ROLLBACK" {
		return "ERR MALFORMED the transaction has failed\r\n"
	}
	switch verb {
	case "BEGIN":
		db.mu.Lock()
		primary := ss.s.primary
		db.mu.Unlock()
		if rest == "" && !primary {
			return ss.fail("READONLY")
		}
		ss.state, ss.readOnly, ss.writes = "T", rest == "READ", nil
	case "ROLLBACK":
		ss.state, ss.writes = "I", nil
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		ss.values[name] = value
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		ss.prepared[name] = shape
	case "FORGET":
		delete(ss.prepared, rest)
	case "RESET":
		ss.values, ss.prepared = make(map[string]string), make(map[string]string)
	case "STATUS", "DEMOTE", "HOLD", "RESUME":
		return ss.status()
	case "EXEC":
		name, arguments, _ := strings.Cut(rest, " ")
		shape, known := ss.prepared[name]
		if !known {
			return ss.fail("NOSTMT")
		}
		access, _, _ := strings.Cut(shape, " ")
		return ss.run(id, access, arguments, text)
	case "READ", "WRITE", "COMMIT":
		return ss.run(id, verb, rest, text)
	default:
		return ss.fail("MALFORMED")
	}
	return "DONE -\r\n"
}

func (ss *serverSession) status() string {
	db := ss.s.db
	db.mu.Lock()
	defer db.mu.Unlock()
	role := "replica"
	if ss.s.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %d.%d 0 0 %d %d\r\nDONE -\r\n", role, db.term, db.term, ss.s.applied(time.Now()), ss.s.busy,
		len(ss.s.conns))
}

// run runs a read, a write or a commit.
func (ss *serverSession) run(id, verb, arguments, text string) string {
	db := ss.s.db
	db.mu.Lock()
	refused := !ss.s.primary && (verb == "WRITE" || verb == "COMMIT" && len(ss.writes) > 0)
	db.mu.Unlock()
	if refused || verb == "WRITE" && ss.readOnly && ss.state == "T" {
		return ss.fail("READONLY")
	}
	db.record.add("server %s begins %s %s", ss.s.id, id, text)
	if !ss.occupy(verb) {
		db.record.add("server %s refuses %s: BUSY", ss.s.id, id)
		return "ERR BUSY " + ss.s.id + "\r\n"
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	now, rows := time.Now(), ""
	item, data, _ := strings.Cut(arguments, " ")
	switch verb {
	case "READ":
		value := "empty"
		for _, e := range db.log[:ss.s.applied(now)] {
			if e.item == item {
				value = e.data
			}
		}
		rows = "ROW " + value + "\r\n"
	case "WRITE":
		ss.writes = append(ss.writes, entry{id: id, item: item, data: data})
		if ss.state == "T" {
			break
		}
		fallthrough
	case "COMMIT":
		for _, e := range ss.writes {
			e.at = now
			db.log = append(db.log, e)
		}
		ss.state, ss.writes = "I", nil
	}
	db.record.add("server %s ran %s", ss.s.id, id)
	h := fnv.New64a()
	_, _ = h.Write([]byte(ss.s.id + id + rows))
	return fmt.Sprintf("%sDONE %x\r\n", rows, h.Sum64())
}
