// Package lines is a stand-in for a group of replicated database servers that speak the users' line protocol. A commit reaches
// the replicas only when the test says so, so that tests need no waiting for lag.
package lines

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// commit is one entry of the log.
type commit struct {
	id     string // the statement that wrote it
	item   string
	data   string
	term   uint64
	number uint64
}

// Run is a statement that a server ran.
type Run struct {
	Server, ID, Text string
	// Values are the session values and Shape the prepared statement that it ran with.
	Values, Shape string
}

// Group is a group of servers.
type Group struct {
	name string

	mu      sync.Mutex
	servers []*Server
	runs    []Run
}

// Server is one server of a group. Its fields are under the group's lock.
type Server struct {
	g        *Group
	id       string
	addr     string
	listener net.Listener
	term     uint64
	leads    bool
	log      []commit
	mute     map[string]bool // verbs whose answers are lost after their effect
	deaf     bool            // nothing that is asked has an effect or an answer
	busy     bool            // statements are refused for want of a slot
	lag      time.Duration   // how far behind it says that it applies the log while it follows
	conns    map[net.Conn]struct{}
	down     bool
}

// NewGroup returns a group with n servers; the first one leads.
func NewGroup(name string, n int) (*Group, error) {
	g := &Group{name: name}
	for i := range n {
		s := &Server{
			g: g, id: fmt.Sprintf("%s-%d", name, i), term: 1, leads: i == 0, mute: make(map[string]bool),
			conns: make(map[net.Conn]struct{}),
		}
		if err := s.listen("127.0.0.1:0"); err != nil {
			return nil, err
		}
		g.servers = append(g.servers, s)
	}
	return g, nil
}

// Server returns a server by its number.
func (g *Group) Server(n int) *Server { return g.servers[n] }

// Servers returns all servers.
func (g *Group) Servers() []*Server { return g.servers }

// Runs returns the statements of callers that servers ran.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.runs...)
}

// Replicate copies the leader's log to the servers that follow it.
func (g *Group) Replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader := g.leader()
	for _, s := range g.servers {
		if leader != nil && s != leader && !s.leads {
			s.log = append([]commit(nil), leader.log...)
			s.term = leader.term
		}
	}
}

// leader returns the leader of the newest term. The caller holds mu.
func (g *Group) leader() *Server {
	var best *Server
	for _, s := range g.servers {
		if s.leads && (best == nil || s.term > best.term) {
			best = s
		}
	}
	return best
}

// Promote has a server lead the next term. The old leader goes on until it is demoted.
func (g *Group) Promote(id string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	term := g.leader().term + 1
	for _, s := range g.servers {
		if s.id == id && !s.down {
			s.leads, s.term, s.lag = true, term, 0
			return nil
		}
	}
	return fmt.Errorf("server %s does not run", id)
}

// Close ends all servers.
func (g *Group) Close() {
	for _, s := range g.servers {
		s.Stop()
	}
}

// ID returns the server's id.
func (s *Server) ID() string { return s.id }

// Addr returns the server's address.
func (s *Server) Addr() string { return s.addr }

// Leads reports whether the server takes itself for the leader.
func (s *Server) Leads() bool {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.leads
}

// Mute loses the answers to statements that begin with verb, after they took effect.
func (s *Server) Mute(verb string, on bool) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.mute[verb] = on
}

// SetDeaf has the server ignore all that is asked of it, as if the network between it and the callers were cut.
func (s *Server) SetDeaf(on bool) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.deaf = on
}

// SetBusy has the server refuse all that needs a slot.
func (s *Server) SetBusy(on bool) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.busy = on
}

// SetLag has the server say that it applies the log this late while it follows a leader. It lasts until it leads.
func (s *Server) SetLag(d time.Duration) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.lag = d
}

// Data returns what the server's log holds for an item, oldest first.
func (s *Server) Data(item string) []string {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	var all []string
	for _, c := range s.log {
		if c.item == item {
			all = append(all, c.data)
		}
	}
	return all
}

func (s *Server) listen(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.listener, s.addr = l, l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				s.g.mu.Lock()
				s.conns[conn] = struct{}{}
				s.g.mu.Unlock()
				(&session{s: s, conn: conn, values: make(map[string]string), prepared: make(map[string]string)}).serve()
			}()
		}
	}()
	return nil
}

// Stop ends the server; its connections are reset.
func (s *Server) Stop() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.down = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.conns = make(map[net.Conn]struct{})
}

// Restart starts a stopped server with the log that it had.
func (s *Server) Restart() error {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.down = false
	if leader := s.g.leader(); leader != s {
		s.leads = false
	}
	return s.listen(s.addr)
}

// session is one connection to a server.
type session struct {
	s        *Server
	conn     net.Conn
	values   map[string]string
	prepared map[string]string // name to "READ shape" or "WRITE shape"
	open     bool
	failed   bool
	readOnly bool
	writes   []commit
}

var errMuted = errors.New("the answer is lost")

func (ss *session) serve() {
	r := bufio.NewReader(ss.conn)
	first, err := r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(first)
	if len(f) < 3 || f[0] != "START" || f[1] != ss.s.g.name || (len(f) > 3 && f[3] != ss.s.id) {
		_, _ = fmt.Fprint(ss.conn, "ERR MISROUTED "+ss.s.id+"\r\n")
		return
	}
	ss.reply("")
	for {
		l, err := r.ReadString('\n')
		if err != nil {
			return
		}
		verb, rest, _ := strings.Cut(strings.TrimRight(l, "\r\n"), " ")
		if verb != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		body, err := ss.query(id, text)
		if err != nil {
			// The connection stays open without an answer, as when an answer is lost on its way.
			continue
		}
		ss.reply(body)
	}
}

func (ss *session) reply(body string) {
	ss.s.g.mu.Lock()
	state := "I"
	switch {
	case ss.failed:
		state = "E"
	case ss.open:
		state = "T"
	}
	position := fmt.Sprintf("%d.%d", ss.s.term, len(ss.s.log))
	ss.s.g.mu.Unlock()
	_, _ = fmt.Fprintf(ss.conn, "%sREADY %s %s\r\n", body, state, position)
}

// needsSlot are the verbs that occupy a slot.
var needsSlot = map[string]bool{"READ": true, "WRITE": true, "EXEC": true, "COMMIT": true, "STATUS": true}

const done = "DONE -\r\n"

func (ss *session) refuse(code string) string {
	if ss.open {
		ss.failed = true
	}
	return "ERR " + code + " " + ss.s.id + "\r\n"
}

// query runs one request.
func (ss *session) query(id, text string) (string, error) {
	s := ss.s
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if s.deaf {
		return "", errMuted
	}
	if prefix, rest, ok := strings.Cut(text, " "); ok && prefix == "AFTER" {
		position, statement, _ := strings.Cut(rest, " ")
		if !s.holds(position) {
			return ss.refuse("BEHIND"), nil
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	if ss.failed && verb != "ROLLBACK" {
		return "ERR MALFORMED failed\r\n", nil
	}
	body := ss.run(id, verb, rest, text)
	if s.mute[verb] {
		return "", errMuted
	}
	return body, nil
}

// holds reports whether the log holds a position. The caller holds the lock.
func (s *Server) holds(position string) bool {
	var term, number uint64
	if _, err := fmt.Sscanf(position, "%d.%d", &term, &number); err != nil {
		return false
	}
	return s.term >= term && uint64(len(s.log)) >= number
}

func (ss *session) run(id, verb, rest, text string) string {
	s := ss.s
	name, arguments, _ := strings.Cut(rest, " ")
	if s.busy && needsSlot[verb] {
		return "ERR BUSY " + s.id + "\r\n"
	}
	switch verb {
	case "BEGIN":
		if rest == "" && !s.leads {
			return ss.refuse("READONLY")
		}
		ss.open, ss.readOnly = true, rest == "READ"
		return done
	case "COMMIT":
		ss.note(id, text, "")
		if len(ss.writes) > 0 && !s.leads {
			ss.open, ss.writes = false, nil
			return "ERR READONLY " + s.id + "\r\n"
		}
		s.log = append(s.log, ss.writes...)
		ss.open, ss.writes = false, nil
		return ss.signed("")
	case "ROLLBACK":
		ss.open, ss.failed, ss.writes = false, false, nil
		return done
	case "READ":
		ss.note(id, text, "")
		return ss.read(rest)
	case "WRITE":
		ss.note(id, text, "")
		return ss.write(id, name, arguments)
	case "SET":
		ss.values[name] = arguments
		return done
	case "PREPARE":
		ss.prepared[name] = arguments
		return done
	case "EXEC":
		shape, ok := ss.prepared[name]
		if !ok {
			return ss.refuse("NOSTMT")
		}
		ss.note(id, text, shape)
		if strings.HasPrefix(shape, "WRITE") {
			item, data, _ := strings.Cut(arguments, " ")
			return ss.write(id, item, data)
		}
		return ss.read(arguments)
	case "RESET":
		ss.values, ss.prepared = make(map[string]string), make(map[string]string)
		return done
	case "DEMOTE":
		s.leads = false
		return ss.status()
	case "STATUS":
		return ss.status()
	}
	return ss.refuse("MALFORMED")
}

func (ss *session) status() string {
	role := "replica"
	if ss.s.leads {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %d.%d 0 %d 0 %d\r\n%s", role, ss.s.term, ss.s.term, len(ss.s.log), ss.s.lag.Milliseconds(),
		len(ss.s.conns), done)
}

// note records a caller's statement.
func (ss *session) note(id, text, shape string) {
	var values []string
	for name, value := range ss.values {
		values = append(values, name+"="+value)
	}
	ss.s.g.runs = append(ss.s.g.runs, Run{
		Server: ss.s.id, ID: id, Text: text, Values: strings.Join(values, ","), Shape: shape,
	})
}

func (ss *session) signed(rows string) string {
	return rows + "DONE " + ss.s.id + ".signed\r\n"
}

func (ss *session) read(item string) string {
	data := "empty"
	for _, c := range append(append([]commit(nil), ss.s.log...), ss.writes...) {
		if c.item == item {
			data = c.data
		}
	}
	return ss.signed("ROW " + data + "\r\n")
}

func (ss *session) write(id, item, data string) string {
	if !ss.s.leads || ss.readOnly {
		return ss.refuse("READONLY")
	}
	c := commit{id: id, item: item, data: data, term: ss.s.term, number: uint64(len(ss.s.log) + 1)}
	if ss.open {
		ss.writes = append(ss.writes, c)
	} else {
		ss.s.log = append(ss.s.log, c)
	}
	return ss.signed("")
}
