package server

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/xdg-go/scram"

	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/lab/fault"
)

// Server is one running database server.
type Server struct {
	cfg   Config
	scram *scram.Server
	slots chan struct{}
	// writer admits one write transaction, log application or database swap at a time.
	writer chan struct{}

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change of the state below
	thawed   chan struct{} // nil unless frozen; closed by Unfreeze
	run      *run          // nil while crashed
	addr     string
	st       *store
	role     port.Role
	term     uint64
	promised uint64
	promises []Promise // made since the start
	start    uint64    // position at which the term began
	followed target
	log      []Entry
	dueBase  []time.Time // time at which each entry was received
	applied  uint64
	lag      time.Duration
	netDelay time.Duration
	service  time.Duration
	cut      bool
	leaving  bool
	replicas map[string]port.ReplicaStatus
	wtx      *writeTx
	sessions map[uint32]*session
	links    map[net.Conn]bool
	maxConns int
	refused  int
	running  int
	started  int
	maxRun   int
	nextPID  uint32
	schemaNo uint64 // rises when the schema may have changed
	columns  schema
	columnNo uint64
	applyErr error
	routes   map[string]string
}

// target is the primary that a replica follows; gen distinguishes successive targets.
type target struct {
	term    uint64
	address string
	gen     uint64
}

// run is the time between a start and a crash or close.
type run struct {
	ctx  context.Context
	stop context.CancelFunc
	ln   net.Listener
	wg   sync.WaitGroup
}

// New starts a server.
func New(cfg Config) (*Server, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	st, err := openStore(cfg.Schema)
	if err != nil {
		return nil, err
	}
	var seed [4]byte
	_, _ = rand.Read(seed[:])
	s := &Server{
		cfg: cfg, st: st, writer: make(chan struct{}, 1), changed: make(chan struct{}),
		lag: cfg.Lag, netDelay: cfg.NetDelay, service: cfg.ServiceTime, role: port.RoleReplica, promised: cfg.Term,
		replicas: map[string]port.ReplicaStatus{}, sessions: map[uint32]*session{}, links: map[net.Conn]bool{},
		nextPID: binary.BigEndian.Uint32(seed[:])%1_000_000 + 1, schemaNo: 1,
		routes: maps.Clone(cfg.Routes),
	}
	if cfg.Slots > 0 {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	if cfg.Primary {
		s.role, s.term = port.RolePrimary, cfg.Term
	} else if cfg.Follow != "" {
		s.followed = target{term: cfg.Term, address: cfg.Follow, gen: 1}
	}
	if s.scram, err = scramServer(cfg.User, cfg.Password); err == nil {
		err = s.Restart()
	}
	if err != nil {
		st.close()
		return nil, err
	}
	return s, nil
}

// scramIterations is the least number that RFC 7677 allows, because opening a connection has its own simulated cost.
const scramIterations = 4096

func scramServer(user, password string) (*scram.Server, error) {
	client, err := scram.SHA256.NewClientUnprepped(user, password, "")
	if err != nil {
		return nil, fmt.Errorf("SCRAM credentials: %w", err)
	}
	creds, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "verbenalab-salt", Iters: scramIterations})
	if err != nil {
		return nil, fmt.Errorf("SCRAM credentials: %w", err)
	}
	return scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return creds, nil })
}

// Addr returns the listening address; it stays the same after a restart.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Restart starts a server that Crash stopped. Its log, terms, role and applied state are those before the crash.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.run != nil {
		return errors.New("the server is already running")
	}
	listen := s.cfg.Listen
	if s.addr != "" {
		listen = s.addr
	}
	ln, err := fault.Listen(listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", listen, err)
	}
	s.addr = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	r := &run{ctx: ctx, stop: stop, ln: ln}
	s.run = r
	r.wg.Add(3)
	go func() {
		defer r.wg.Done()
		s.accept(r)
	}()
	go func() {
		defer r.wg.Done()
		s.pull(r)
	}()
	go func() {
		defer r.wg.Done()
		s.applyLoop(r)
	}()
	return nil
}

// Crash closes the listener and all connections; open transactions are lost.
func (s *Server) Crash() {
	s.mu.Lock()
	r, tx := s.run, s.wtx
	if r == nil {
		s.mu.Unlock()
		return
	}
	s.run = nil
	r.stop()
	_ = r.ln.Close()
	for _, c := range s.sessions {
		_ = c.conn.Close()
	}
	for c := range s.links {
		_ = c.Close()
	}
	s.replicas = map[string]port.ReplicaStatus{}
	s.notify()
	s.mu.Unlock()
	if tx != nil {
		tx.abort()
	}
	r.wg.Wait()
}

// Close ends the server and removes its database.
func (s *Server) Close() {
	s.Crash()
	s.mu.Lock()
	st := s.st
	s.mu.Unlock()
	st.close()
}

func (s *Server) accept(r *run) {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.run != r {
			s.mu.Unlock()
			_ = conn.Close()
			return
		}
		s.links[conn] = true
		r.wg.Add(1)
		s.mu.Unlock()
		go func() {
			defer r.wg.Done()
			defer func() {
				_ = conn.Close()
				s.mu.Lock()
				delete(s.links, conn)
				s.mu.Unlock()
			}()
			s.serve(r, conn)
		}()
	}
}

// notify wakes everything that waits for a change of the state. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// awake blocks while the server is frozen.
func (s *Server) awake(ctx context.Context) error {
	for {
		s.mu.Lock()
		thawed := s.thawed
		s.mu.Unlock()
		if thawed == nil {
			return ctx.Err()
		}
		select {
		case <-thawed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// SetLag changes the delay between receiving and applying a log entry; it affects entries already received.
func (s *Server) SetLag(d time.Duration) { s.set(func() { s.lag = d }) }

// SetNetDelay changes the one-way latency of the replication link.
func (s *Server) SetNetDelay(d time.Duration) { s.set(func() { s.netDelay = d }) }

// SetServiceTime changes the execution cost of a statement.
func (s *Server) SetServiceTime(d time.Duration) { s.set(func() { s.service = d }) }

// SetRoute makes replication links to a primary's address go through another one. One that is open is replaced.
func (s *Server) SetRoute(address, via string) {
	s.set(func() {
		if s.routes == nil {
			s.routes = map[string]string{}
		}
		s.routes[address] = via
		if s.followed.address == address {
			s.followed.gen++
		}
	})
}

// SetLeaving sets the flag of the status that asks for no new work.
func (s *Server) SetLeaving(v bool) { s.set(func() { s.leaving = v }) }

// CutReplication cuts or restores the replication links to and from the server.
func (s *Server) CutReplication(cut bool) { s.set(func() { s.cut = cut }) }

// Freeze stops all activity as if the process were suspended; the sockets stay open and the kernel accepts connections.
func (s *Server) Freeze() {
	s.set(func() {
		if s.thawed == nil {
			s.thawed = make(chan struct{})
		}
	})
}

// Unfreeze resumes all activity.
func (s *Server) Unfreeze() {
	s.set(func() {
		if s.thawed != nil {
			close(s.thawed)
			s.thawed = nil
		}
	})
}

func (s *Server) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.notify()
}

// MaxConnections returns the highest number of client connections that were open at the same time.
func (s *Server) MaxConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxConns
}

// RefusedConnections returns the number of connections that were refused because of the connection limit.
func (s *Server) RefusedConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// Running returns the number of statements that execute now, control statements excepted.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Started returns the number of statements that have begun to execute.
func (s *Server) Started() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// MaxRunning returns the highest number of statements that executed at the same time, control statements excepted.
func (s *Server) MaxRunning() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxRun
}

// Log returns a copy of the list of committed transactions.
func (s *Server) Log() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry(nil), s.log...)
}

// Err returns the first error of applying the log; the server stops applying after it.
func (s *Server) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyErr
}

// Query reads the local database without a connection, for audits. It works while the server is crashed.
func (s *Server) Query(ctx context.Context, query string, args ...any) ([][]any, error) {
	st := s.acquireStore()
	defer st.inUse.RUnlock()
	_, rows, err := collect(ctx, st.reader, query, args)
	return rows, err
}

// acquireStore returns the present database, which stays open until its read lock is released.
func (s *Server) acquireStore() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.st.inUse.RLock()
	return s.st
}

// Status returns what verbena_status reports.
func (s *Server) Status() port.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

func (s *Server) status() port.Status {
	st := port.Status{
		Term: s.term, Promised: s.promised, Received: uint64(len(s.log)), Applied: s.applied, Role: s.role,
		Leaving: s.leaving, Connections: len(s.sessions),
	}
	if s.role == port.RolePrimary {
		for _, r := range s.replicas {
			st.Replicas = append(st.Replicas, r)
		}
	}
	return st
}

// Await blocks until the status satisfies cond, and returns it.
func (s *Server) Await(ctx context.Context, cond func(port.Status) bool) (port.Status, error) {
	for {
		s.mu.Lock()
		st, changed := s.status(), s.changed
		s.mu.Unlock()
		if cond(st) {
			return st, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return st, ctx.Err()
		}
	}
}

// writable reports whether the server may commit. The caller holds mu.
func (s *Server) writable() bool {
	return s.run != nil && s.role == port.RolePrimary && s.term >= s.promised
}

// beginWrite opens the write transaction once it has the writer's place. If wait is false and another transaction is
// open, it returns nil.
func (s *Server) beginWrite(ctx context.Context, wait bool) (*writeTx, error) {
	if wait {
		select {
		case s.writer <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	} else {
		select {
		case s.writer <- struct{}{}:
		default:
			return nil, nil
		}
	}
	release := func() { <-s.writer }
	s.mu.Lock()
	if !s.writable() {
		s.mu.Unlock()
		release()
		return nil, errReadOnly()
	}
	txCtx, cancel := context.WithCancel(s.run.ctx)
	tx := &writeTx{srv: s, st: s.st, ctx: txCtx, cancel: cancel, release: release}
	s.wtx = tx
	tx.mu.Lock()
	defer tx.mu.Unlock()
	s.mu.Unlock()
	var err error
	if tx.conn, err = tx.st.writer.Conn(ctx); err == nil {
		if _, err = tx.conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
			tx.end()
			return nil, err
		}
		return tx, nil
	}
	tx.dead = true
	cancel()
	s.forgetWriter(tx)
	release()
	return nil, err
}

func (s *Server) forgetWriter(tx *writeTx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wtx == tx {
		s.wtx = nil
	}
}

// commit makes the transaction durable and visible and returns its point, which is zero if nothing was written.
func (s *Server) commit(tx *writeTx) (point.Point, error) {
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if tx.dead {
		return point.Point{}, errReadOnly()
	}
	defer tx.end()
	if len(tx.stmts) == 0 {
		_, err := tx.conn.ExecContext(tx.ctx, "COMMIT")
		return point.Point{}, err
	}
	// The check of the term and the append to the log are one step, so that no commit follows a promise.
	s.mu.Lock()
	for s.thawed != nil && s.run != nil {
		s.mu.Unlock()
		_ = s.awake(tx.ctx)
		s.mu.Lock()
		if tx.ctx.Err() != nil {
			break // the server was stopped, or has promised a newer term
		}
	}
	defer s.mu.Unlock()
	if !s.writable() {
		return point.Point{}, errReadOnly()
	}
	if _, err := tx.conn.ExecContext(context.Background(), "COMMIT"); err != nil {
		return point.Point{}, err
	}
	p := uint64(len(s.log)) + 1
	s.log = append(s.log, Entry{Term: s.term, Position: p, Stmts: tx.stmts})
	s.dueBase = append(s.dueBase, time.Time{})
	s.applied = p
	if tx.ddl {
		s.schemaNo++
	}
	s.notify()
	return point.New(s.term, p), nil
}
