// Package lines simulates a group of replicated database servers that speak the users' line protocol. Commits reach the
// replicas only when the test calls Group.Replicate, so tests do not have to wait for replication lag.
package lines

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"verbenagate/lab/ports"
)

// logEntry is one committed write in the log of a server.
type logEntry struct {
	statementID string // ID of the statement that wrote the entry
	item        string
	data        string
	term        uint64
	number      uint64
}

// Run records a caller's statement that a server ran.
type Run struct {
	Server, ID, Text string
	// SessionValues holds the session values, and Prepared the text of the prepared statement or "".
	SessionValues, Prepared string
	// Workspace is the second field of START: who the connection was opened for.
	Workspace string
}

// Group is a group of servers that replicate one log.
type Group struct {
	name string

	mu      sync.Mutex
	servers []*Server
	runs    []Run
}

// Server is one server of a group. The group's mu guards its fields.
type Server struct {
	group          *Group
	id             string
	port           *ports.Reservation // kept while the server is stopped, so that no other process takes its port
	listener       net.Listener
	term           uint64
	isLeader       bool
	log            []logEntry
	repliesDropped map[string]bool // verbs whose replies are lost after the statement took effect
	unreachable    bool            // requests have neither an effect nor a reply
	busy           bool            // statements that need a slot are refused
	reportedLag    time.Duration   // replication lag that the status reports while the server follows
	conns          map[net.Conn]struct{}
	stopped        bool
	statusCount    int           // requests for the status
	work           time.Duration // how long a caller's statement runs
}

// NewGroup starts a group with n servers; the first one is the leader.
func NewGroup(name string, n int) (*Group, error) {
	g := &Group{name: name}
	for i := range n {
		port, err := ports.Reserve()
		if err != nil {
			return nil, err
		}
		s := &Server{
			group: g, id: fmt.Sprintf("%s-%d", name, i), port: port, term: 1, isLeader: i == 0,
			repliesDropped: make(map[string]bool), conns: make(map[net.Conn]struct{}),
		}
		if err := s.listen(); err != nil {
			return nil, err
		}
		g.servers = append(g.servers, s)
	}
	return g, nil
}

// Server returns the server with index n, counted from 0.
func (g *Group) Server(n int) *Server { return g.servers[n] }

// Servers returns all servers.
func (g *Group) Servers() []*Server { return g.servers }

// Runs returns the callers' statements that servers ran, oldest first.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.runs...)
}

// Replicate copies the leader's log and term to all servers that are not leaders.
func (g *Group) Replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader := g.leader()
	for _, s := range g.servers {
		if leader != nil && s != leader && !s.isLeader {
			s.log = append([]logEntry(nil), leader.log...)
			s.term = leader.term
		}
	}
}

// ReplicateTo copies the leader's log and term to the server with index n only.
func (g *Group) ReplicateTo(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if leader, s := g.leader(), g.servers[n]; leader != nil && s != leader && !s.isLeader {
		s.log, s.term = append([]logEntry(nil), leader.log...), leader.term
	}
}

// leader returns the leader of the newest term. The caller holds mu.
func (g *Group) leader() *Server {
	var leader *Server
	for _, s := range g.servers {
		if s.isLeader && (leader == nil || s.term > leader.term) {
			leader = s
		}
	}
	return leader
}

// Promote makes the server with this ID the leader of the next term. The old leader stays a leader until it is demoted.
func (g *Group) Promote(id string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	term := g.leader().term + 1
	for _, s := range g.servers {
		if s.id == id && !s.stopped {
			s.isLeader, s.term, s.reportedLag = true, term, 0
			return nil
		}
	}
	return fmt.Errorf("promote server %s: it is stopped or not in the group", id)
}

// Close stops all servers and releases their ports.
func (g *Group) Close() {
	for _, s := range g.servers {
		s.Stop()
		_ = s.port.Close()
	}
}

// ID returns the server's ID, which is the group's name and the server's index.
func (s *Server) ID() string { return s.id }

// Addr returns the server's address.
func (s *Server) Addr() string { return s.port.Addr() }

// IsLeader reports whether the server acts as leader. After a promotion an old leader does so until it is demoted.
func (s *Server) IsLeader() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.isLeader
}

// DropReplies makes the server drop its replies to statements that begin with verb, after they took effect.
func (s *Server) DropReplies(verb string, on bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.repliesDropped[verb] = on
}

// SetUnreachable makes the server ignore all requests, as if a network partition separated it from its clients.
func (s *Server) SetUnreachable(on bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.unreachable = on
}

// SetBusy makes the server refuse all requests that need a slot.
func (s *Server) SetBusy(on bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.busy = on
}

// SetWork sets how long a caller's statement runs before it is answered.
func (s *Server) SetWork(d time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.work = d
}

// SetReportedLag sets the replication lag that the server reports. A promotion resets it to 0.
func (s *Server) SetReportedLag(d time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.reportedLag = d
}

// StatusCount returns how often the status was requested.
func (s *Server) StatusCount() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.statusCount
}

// Data returns the values written to an item in the server's log, oldest first.
func (s *Server) Data(item string) []string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	var all []string
	for _, c := range s.log {
		if c.item == item {
			all = append(all, c.data)
		}
	}
	return all
}

func (s *Server) listen() error {
	l, err := net.Listen("tcp4", s.port.Addr())
	if err != nil {
		return err
	}
	s.listener = l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				s.group.mu.Lock()
				s.conns[conn] = struct{}{}
				s.group.mu.Unlock()
				(&session{s: s, conn: conn, values: make(map[string]string), prepared: make(map[string]string)}).serve()
				s.group.mu.Lock()
				delete(s.conns, conn)
				s.group.mu.Unlock()
			}()
		}
	}()
	return nil
}

// Stop stops the server and closes its connections.
func (s *Server) Stop() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.stopped = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.conns = make(map[net.Conn]struct{})
}

// Restart starts a stopped server with its old address and log. It stays leader only if its term is the newest of all leaders.
func (s *Server) Restart() error {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.stopped = false
	if leader := s.group.leader(); leader != s {
		s.isLeader = false
	}
	return s.listen()
}

// session is one connection to a server.
type session struct {
	s             *Server
	conn          net.Conn
	workspace     string
	values        map[string]string
	prepared      map[string]string // statement name to "READ shape" or "WRITE shape"
	inTransaction bool
	txFailed      bool
	readOnly      bool
	writes        []logEntry
}

var errReplyDropped = errors.New("the reply is dropped")

func (ss *session) serve() {
	r := bufio.NewReader(ss.conn)
	first, err := r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(first)
	if len(f) < 3 || f[0] != "START" || f[1] != ss.s.group.name || (len(f) > 3 && f[3] != ss.s.id) {
		_, _ = fmt.Fprint(ss.conn, "ERR MISROUTED "+ss.s.id+"\r\n")
		return
	}
	ss.workspace = f[2]
	ss.send("")
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
			// The connection stays open without a reply, as when a reply is lost in the network.
			continue
		}
		ss.send(body)
	}
}

func (ss *session) send(body string) {
	ss.s.group.mu.Lock()
	state := "I"
	switch {
	case ss.txFailed:
		state = "E"
	case ss.inTransaction:
		state = "T"
	}
	position := fmt.Sprintf("%d.%d", ss.s.term, len(ss.s.log))
	ss.s.group.mu.Unlock()
	_, _ = fmt.Fprintf(ss.conn, "%sREADY %s %s\r\n", body, state, position)
}

// needsSlot holds the verbs of requests that occupy a slot.
var needsSlot = map[string]bool{"READ": true, "WRITE": true, "EXEC": true, "COMMIT": true, "STATUS": true}

const (
	doneReply = "DONE -\r\n"
	// noID is the id of requests that the system makes itself.
	noID = "-"
)

// refuse returns an error reply and fails the open transaction, if any.
func (ss *session) refuse(code string) string {
	if ss.inTransaction {
		ss.txFailed = true
	}
	return "ERR " + code + " " + ss.s.id + "\r\n"
}

// query runs one request and returns the reply. It returns errReplyDropped if the client must not get a reply.
func (ss *session) query(id, text string) (string, error) {
	s := ss.s
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.unreachable {
		return "", errReplyDropped
	}
	if prefix, rest, ok := strings.Cut(text, " "); ok && prefix == "AFTER" {
		position, statement, _ := strings.Cut(rest, " ")
		if !s.hasApplied(position) {
			return ss.refuse("BEHIND"), nil
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	if ss.txFailed && verb != "ROLLBACK" {
		return "ERR MALFORMED failed\r\n", nil
	}
	if work := s.work; work > 0 && id != noID {
		s.group.mu.Unlock()
		time.Sleep(work)
		s.group.mu.Lock()
	}
	body := ss.execute(id, verb, rest, text)
	if s.repliesDropped[verb] {
		return "", errReplyDropped
	}
	return body, nil
}

// hasApplied reports whether the log includes a position of the form TERM.NUMBER. The caller holds mu.
func (s *Server) hasApplied(position string) bool {
	var term, number uint64
	if _, err := fmt.Sscanf(position, "%d.%d", &term, &number); err != nil {
		return false
	}
	return s.term >= term && uint64(len(s.log)) >= number
}

func (ss *session) execute(id, verb, rest, text string) string {
	s := ss.s
	name, arguments, _ := strings.Cut(rest, " ")
	if s.busy && needsSlot[verb] {
		return "ERR BUSY " + s.id + "\r\n"
	}
	switch verb {
	case "BEGIN":
		if rest == "" && !s.isLeader {
			return ss.refuse("READONLY")
		}
		ss.inTransaction, ss.readOnly = true, rest == "READ"
		return doneReply
	case "COMMIT":
		ss.recordRun(id, text, "")
		if len(ss.writes) > 0 && !s.isLeader {
			ss.inTransaction, ss.readOnly, ss.writes = false, false, nil
			return "ERR READONLY " + s.id + "\r\n"
		}
		s.log = append(s.log, ss.writes...)
		ss.inTransaction, ss.readOnly, ss.writes = false, false, nil
		return ss.signedReply("")
	case "ROLLBACK":
		ss.inTransaction, ss.txFailed, ss.readOnly, ss.writes = false, false, false, nil
		return doneReply
	case "READ":
		ss.recordRun(id, text, "")
		return ss.read(rest)
	case "WRITE":
		ss.recordRun(id, text, "")
		return ss.write(id, name, arguments)
	case "SET":
		ss.values[name] = arguments
		return doneReply
	case "PREPARE":
		ss.prepared[name] = arguments
		return doneReply
	case "EXEC":
		shape, ok := ss.prepared[name]
		if !ok {
			return ss.refuse("NOSTMT")
		}
		ss.recordRun(id, text, shape)
		if strings.HasPrefix(shape, "WRITE") {
			item, data, _ := strings.Cut(arguments, " ")
			return ss.write(id, item, data)
		}
		return ss.read(arguments)
	case "RESET":
		ss.values, ss.prepared = make(map[string]string), make(map[string]string)
		return doneReply
	case "DEMOTE":
		s.isLeader = false
		return ss.status()
	case "STATUS":
		ss.s.statusCount++
		return ss.status()
	}
	return ss.refuse("MALFORMED")
}

func (ss *session) status() string {
	role := "replica"
	if ss.s.isLeader {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %d.%d 0 %d 0 %d\r\n%s", role, ss.s.term, ss.s.term, len(ss.s.log), ss.s.reportedLag.Milliseconds(),
		len(ss.s.conns), doneReply)
}

// recordRun adds a caller's statement to the group's runs.
func (ss *session) recordRun(id, text, shape string) {
	var values []string
	for name, value := range ss.values {
		values = append(values, name+"="+value)
	}
	ss.s.group.runs = append(ss.s.group.runs, Run{
		Server: ss.s.id, ID: id, Text: text, SessionValues: strings.Join(values, ","), Prepared: shape,
		Workspace: ss.workspace,
	})
}

func (ss *session) signedReply(rows string) string {
	return rows + "DONE " + ss.s.id + ".signed\r\n"
}

func (ss *session) read(item string) string {
	data := "empty"
	for _, c := range append(append([]logEntry(nil), ss.s.log...), ss.writes...) {
		if c.item == item {
			data = c.data
		}
	}
	return ss.signedReply("ROW " + data + "\r\n")
}

func (ss *session) write(statementID, item, data string) string {
	if !ss.s.isLeader || ss.readOnly {
		return ss.refuse("READONLY")
	}
	c := logEntry{statementID: statementID, item: item, data: data, term: ss.s.term, number: uint64(len(ss.s.log) + 1)}
	if ss.inTransaction {
		ss.writes = append(ss.writes, c)
	} else {
		ss.s.log = append(ss.s.log, c)
	}
	return ss.signedReply("")
}
