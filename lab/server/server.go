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

// Server is a stand-in for one PostgreSQL server.
type Server struct {
	cfg   Config
	scram *scram.Server
	slots chan struct{} // semaphore of executing statements; nil means no limit
	// writeLock is a semaphore held by the write transaction, while log entries are applied, and while the database is
	// replaced.
	writeLock chan struct{}

	mu                    sync.Mutex
	changed               chan struct{} // closed and replaced whenever the state below changes
	unfrozen              chan struct{} // nil unless the server is frozen; closed by Unfreeze
	run                   *run          // nil after a crash
	addr                  string
	store                 *store
	role                  port.Role
	term                  uint64
	promisedTerm          uint64
	promises              []Promise // made since New
	termStart             uint64    // log position at which the term began
	source                replicationSource
	log                   []Entry
	receivedAt            []time.Time // receipt time of each log entry; zero for entries that the server committed itself
	applied               uint64
	lag                   time.Duration
	netDelay              time.Duration
	serviceTime           time.Duration
	replicationCut        bool
	leaving               bool
	replicas              map[string]port.ReplicaStatus
	writeTx               *writeTx
	sessions              map[uint32]*session
	conns                 map[net.Conn]bool
	peakConnections       int
	refusedConnections    int
	runningStatements     int
	startedStatements     int
	peakRunningStatements int
	nextPID               uint32
	schemaVersion         uint64 // incremented whenever the schema may have changed
	cachedSchema          schema
	cachedSchemaVersion   uint64
	applyErr              error
	routes                map[string]string
}

// replicationSource identifies the primary that a replica follows. generation increases whenever the primary or its route
// changes.
type replicationSource struct {
	term       uint64
	address    string
	generation uint64
}

// run holds the listener and goroutines of the server between a start and the next crash or close.
type run struct {
	ctx  context.Context
	stop context.CancelFunc
	ln   net.Listener
	wg   sync.WaitGroup
}

// New creates a server with an empty log and starts it. The caller must Close it.
func New(cfg Config) (*Server, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	store, err := openStore(cfg.Schema)
	if err != nil {
		return nil, err
	}
	var seed [4]byte
	_, _ = rand.Read(seed[:])
	s := &Server{
		cfg: cfg, store: store, writeLock: make(chan struct{}, 1), changed: make(chan struct{}),
		lag: cfg.Lag, netDelay: cfg.NetDelay, serviceTime: cfg.ServiceTime, role: port.RoleReplica, promisedTerm: cfg.Term,
		replicas: map[string]port.ReplicaStatus{}, sessions: map[uint32]*session{}, conns: map[net.Conn]bool{},
		nextPID: binary.BigEndian.Uint32(seed[:])%1_000_000 + 1, schemaVersion: 1,
		routes: maps.Clone(cfg.Routes),
	}
	if cfg.Slots > 0 {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	if cfg.Primary {
		s.role, s.term = port.RolePrimary, cfg.Term
	} else if cfg.Follow != "" {
		s.source = replicationSource{term: cfg.Term, address: cfg.Follow, generation: 1}
	}
	if s.scram, err = scramServer(cfg.User, cfg.Password); err == nil {
		err = s.Restart()
	}
	if err != nil {
		store.close()
		return nil, err
	}
	return s, nil
}

// scramIterations is the minimum that RFC 7677 allows, because Config.OpenDelay already simulates the cost of opening a
// connection.
const scramIterations = 4096

func scramServer(user, password string) (*scram.Server, error) {
	client, err := scram.SHA256.NewClientUnprepped(user, password, "")
	if err != nil {
		return nil, fmt.Errorf("create the SCRAM client: %w", err)
	}
	creds, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "verbenalab-salt", Iters: scramIterations})
	if err != nil {
		return nil, fmt.Errorf("derive the stored SCRAM credentials: %w", err)
	}
	return scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return creds, nil })
}

// Addr returns the listening address, which stays the same after a restart.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Restart starts a server that Crash has stopped. The log, terms, role and applied state are the same as before the
// crash.
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
		s.acceptLoop(r)
	}()
	go func() {
		defer r.wg.Done()
		s.pullLoop(r)
	}()
	go func() {
		defer r.wg.Done()
		s.applyLoop(r)
	}()
	return nil
}

// Crash closes the listener and all connections and rolls back the open transactions. It does nothing if the server is
// not running.
func (s *Server) Crash() {
	s.mu.Lock()
	r, tx := s.run, s.writeTx
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
	for c := range s.conns {
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

// Close stops the server and removes its database files.
func (s *Server) Close() {
	s.Crash()
	s.mu.Lock()
	st := s.store
	s.mu.Unlock()
	st.close()
}

func (s *Server) acceptLoop(r *run) {
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
		s.conns[conn] = true
		r.wg.Add(1)
		s.mu.Unlock()
		go func() {
			defer r.wg.Done()
			defer func() {
				_ = conn.Close()
				s.mu.Lock()
				delete(s.conns, conn)
				s.mu.Unlock()
			}()
			s.serveConn(r, conn)
		}()
	}
}

// notify wakes all goroutines that wait for a state change. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitUnfrozen blocks while the server is frozen. It returns the error of ctx if ctx has ended.
func (s *Server) waitUnfrozen(ctx context.Context) error {
	for {
		s.mu.Lock()
		unfrozen := s.unfrozen
		s.mu.Unlock()
		if unfrozen == nil {
			return ctx.Err()
		}
		select {
		case <-unfrozen:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// SetLag changes the delay between receiving and applying a log entry. It also affects entries that have been received
// but not applied.
func (s *Server) SetLag(d time.Duration) { s.updateState(func() { s.lag = d }) }

// SetNetDelay changes the one-way latency of the server's replication link to its primary.
func (s *Server) SetNetDelay(d time.Duration) { s.updateState(func() { s.netDelay = d }) }

// SetServiceTime changes how long each statement holds its slot in addition to its execution time.
func (s *Server) SetServiceTime(d time.Duration) { s.updateState(func() { s.serviceTime = d }) }

// SetRoute makes the server dial via instead of address for replication links to the primary at address. An open link to
// that primary is closed and reopened.
func (s *Server) SetRoute(address, via string) {
	s.updateState(func() {
		if s.routes == nil {
			s.routes = map[string]string{}
		}
		s.routes[address] = via
		if s.source.address == address {
			s.source.generation++
		}
	})
}

// SetLeaving sets the Leaving flag of the status, which says that the server is draining and wants no new work.
func (s *Server) SetLeaving(v bool) { s.updateState(func() { s.leaving = v }) }

// CutReplication disconnects (true) or restores (false) the replication links to and from the server.
func (s *Server) CutReplication(cut bool) { s.updateState(func() { s.replicationCut = cut }) }

// Freeze stops all activity as if the process were suspended. Open connections stay open, and new ones are still
// accepted, as the kernel does for a suspended process.
func (s *Server) Freeze() {
	s.updateState(func() {
		if s.unfrozen == nil {
			s.unfrozen = make(chan struct{})
		}
	})
}

// Unfreeze resumes all activity after Freeze.
func (s *Server) Unfreeze() {
	s.updateState(func() {
		if s.unfrozen != nil {
			close(s.unfrozen)
			s.unfrozen = nil
		}
	})
}

func (s *Server) updateState(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.notify()
}

// MaxConnections returns the highest number of client connections that were open at the same time.
func (s *Server) MaxConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakConnections
}

// RefusedConnections returns the number of client connections that were refused because of Config.MaxConnections.
func (s *Server) RefusedConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedConnections
}

// Running returns the number of statements that are executing now. Control and session statements do not count.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runningStatements
}

// Started returns the number of statements that have started executing since New. Control and session statements do not
// count.
func (s *Server) Started() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedStatements
}

// MaxRunning returns the highest number of statements that executed at the same time. Control and session statements do
// not count.
func (s *Server) MaxRunning() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakRunningStatements
}

// Log returns a copy of the replicated log.
func (s *Server) Log() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry(nil), s.log...)
}

// Err returns the error that stopped the server from applying its log, or nil.
func (s *Server) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyErr
}

// Query reads the local database without a client connection, for audits. It also works after a crash.
func (s *Server) Query(ctx context.Context, query string, args ...any) ([][]any, error) {
	st := s.acquireStore()
	defer st.inUse.RUnlock()
	_, rows, err := collectRows(ctx, st.reader, query, args)
	return rows, err
}

// acquireStore returns the current database with its inUse lock held for reading. The database stays open until the
// caller releases that lock.
func (s *Server) acquireStore() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.inUse.RLock()
	return s.store
}

// Status returns the status that verbena_status reports.
func (s *Server) Status() port.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

func (s *Server) status() port.Status {
	st := port.Status{
		Term: s.term, Promised: s.promisedTerm, Received: uint64(len(s.log)), Applied: s.applied, Role: s.role,
		Leaving: s.leaving, Connections: len(s.sessions),
	}
	if s.role == port.RolePrimary {
		for _, r := range s.replicas {
			st.Replicas = append(st.Replicas, r)
		}
	}
	return st
}

// Await blocks until the status satisfies cond and returns that status. If ctx ends first, it returns the last status and
// the error of ctx.
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

// writable reports whether the server is running, is the primary, and has not promised a newer term. The caller holds mu.
func (s *Server) writable() bool {
	return s.run != nil && s.role == port.RolePrimary && s.term >= s.promisedTerm
}

// beginWrite acquires writeLock and starts a write transaction. If wait is false and writeLock is held, it returns nil
// without an error.
func (s *Server) beginWrite(ctx context.Context, wait bool) (*writeTx, error) {
	if wait {
		select {
		case s.writeLock <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	} else {
		select {
		case s.writeLock <- struct{}{}:
		default:
			return nil, nil
		}
	}
	release := func() { <-s.writeLock }
	s.mu.Lock()
	if !s.writable() {
		s.mu.Unlock()
		release()
		return nil, errReadOnly()
	}
	txCtx, cancel := context.WithCancel(s.run.ctx)
	tx := &writeTx{srv: s, store: s.store, ctx: txCtx, cancel: cancel, release: release}
	s.writeTx = tx
	tx.mu.Lock()
	defer tx.mu.Unlock()
	s.mu.Unlock()
	var err error
	if tx.conn, err = tx.store.writer.Conn(ctx); err == nil {
		if _, err = tx.conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
			tx.end()
			return nil, err
		}
		return tx, nil
	}
	tx.ended = true
	cancel()
	s.clearWriteTx(tx)
	release()
	return nil, err
}

func (s *Server) clearWriteTx(tx *writeTx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeTx == tx {
		s.writeTx = nil
	}
}

// commit commits the transaction, appends it to the log and returns its point. The point is zero if the transaction wrote
// nothing.
func (s *Server) commit(tx *writeTx) (point.Point, error) {
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if tx.ended {
		return point.Point{}, errReadOnly()
	}
	defer tx.end()
	if len(tx.stmts) == 0 {
		_, err := tx.conn.ExecContext(tx.ctx, "COMMIT")
		return point.Point{}, err
	}
	// The check of the term and the append to the log happen under one lock, so that the server commits nothing after it
	// has promised a newer term.
	s.mu.Lock()
	for s.unfrozen != nil && s.run != nil {
		s.mu.Unlock()
		_ = s.waitUnfrozen(tx.ctx)
		s.mu.Lock()
		if tx.ctx.Err() != nil {
			break // the server has stopped or has promised a newer term
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
	s.receivedAt = append(s.receivedAt, time.Time{})
	s.applied = p
	if tx.ddl {
		s.schemaVersion++
	}
	s.notify()
	return point.New(s.term, p), nil
}
