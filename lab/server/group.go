package server

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"verbenagate/core/port"
)

func errTerm(term, promised uint64) error {
	return newError("55000", "term %d is refused: the server has promised term %d", term, promised)
}

// Promise is the time at which a server promised to accept nothing below a term.
type Promise struct {
	term uint64
	at   time.Time
}

// Term returns the promised term.
func (p Promise) Term() uint64 { return p.term }

// At returns the time of the promise.
func (p Promise) At() time.Time { return p.at }

// Promises returns the promises made since the start, by rising terms.
func (s *Server) Promises() []Promise {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.promises)
}

// promise notes a promised term. The caller holds mu.
func (s *Server) promise(term uint64) {
	if term > s.promised {
		s.promises = append(s.promises, Promise{term: term, at: time.Now()})
	}
	s.promised = term
}

// Fence promises that nothing of a term below term is accepted any more. A term that was promised already is refused, so
// that a majority promises each term to one candidate at most.
func (s *Server) Fence(term uint64) (port.Status, error) {
	s.mu.Lock()
	if term <= s.promised {
		defer s.mu.Unlock()
		return port.Status{}, errTerm(term, s.promised)
	}
	s.promise(term)
	st := s.status()
	tx := s.fencedTx()
	s.notify()
	s.mu.Unlock()
	if tx != nil {
		tx.abort()
	}
	return st, nil
}

// fencedTx returns the open write transaction if it can no longer commit. The caller holds mu.
func (s *Server) fencedTx() *writeTx {
	if s.writable() {
		return nil
	}
	return s.wtx
}

// Promote applies all that was received and makes the server the primary of term.
func (s *Server) Promote(ctx context.Context, term uint64) (port.Status, error) {
	s.mu.Lock()
	if term < s.promised || s.role == port.RoleReplica && s.followed.term == term && term != 0 {
		// Following a primary of the same term means that the term already has another primary.
		defer s.mu.Unlock()
		return port.Status{}, errTerm(term, s.promised)
	}
	s.promise(term)
	if s.role == port.RolePrimary {
		s.becomePrimary(term)
		defer s.mu.Unlock()
		return s.status(), nil
	}
	s.followed = target{gen: s.followed.gen + 1}
	s.notify()
	s.mu.Unlock()
	select {
	case s.writer <- struct{}{}:
	case <-ctx.Done():
		return port.Status{}, ctx.Err()
	}
	defer func() { <-s.writer }()
	if err := s.applyTo(func() uint64 { return uint64(len(s.log)) }); err != nil {
		return port.Status{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.promised != term || s.followed.address != "" {
		return port.Status{}, errTerm(term, s.promised)
	}
	s.becomePrimary(term)
	return s.status(), nil
}

// becomePrimary starts the term at the end of the log. The caller holds mu.
func (s *Server) becomePrimary(term uint64) {
	if s.role != port.RolePrimary || s.term != term {
		s.start = uint64(len(s.log))
		s.replicas = map[string]port.ReplicaStatus{}
	}
	s.role, s.term = port.RolePrimary, term
	s.notify()
}

// Follow makes the server a replica of the primary at address. The server reports the new term once it has discarded
// what the primary's history lacks and holds that history up to the start of the term.
func (s *Server) Follow(term uint64, address string) (port.Status, error) {
	s.mu.Lock()
	if term < s.promised || s.role == port.RolePrimary && s.term == term {
		defer s.mu.Unlock()
		return port.Status{}, errTerm(term, s.promised)
	}
	s.promise(term)
	if s.followed.term != term || s.followed.address != address {
		s.followed = target{term: term, address: address, gen: s.followed.gen + 1}
	}
	s.role = port.RoleReplica
	tx := s.fencedTx()
	st := s.status()
	s.notify()
	s.mu.Unlock()
	if tx != nil {
		tx.abort()
	}
	return st, nil
}

// span is a run of log entries of one term; last is the position of its last entry.
type span struct {
	Term uint64 `cbor:"1,keyasint"`
	Last uint64 `cbor:"2,keyasint"`
}

func spans(log []Entry) []span {
	var out []span
	for i, e := range log {
		if i == 0 || log[i-1].Term != e.Term {
			out = append(out, span{Term: e.Term})
		}
		out[len(out)-1].Last = e.Position
	}
	return out
}

// fork returns the last position at which both logs have an entry of the same term. Entries with equal term and
// position are equal, and so is everything before them, because a term has one primary.
func fork(a, b []span) uint64 {
	var common uint64
	for i := 0; i < len(a) && i < len(b) && a[i].Term == b[i].Term; i++ {
		common = min(a[i].Last, b[i].Last)
		if a[i].Last != b[i].Last {
			break
		}
	}
	return common
}

// pullRequest asks a primary for entries after Received, and acknowledges those up to it.
type pullRequest struct {
	Follow   uint64 `cbor:"1,keyasint"` // term of the primary that the replica follows
	Address  string `cbor:"2,keyasint"`
	Term     uint64 `cbor:"3,keyasint"` // term that the replica reports
	Received uint64 `cbor:"4,keyasint"`
	First    bool   `cbor:"5,keyasint"` // asks for Fork
	Spans    []span `cbor:"6,keyasint"`
}

type pullAnswer struct {
	Refused string  `cbor:"1,keyasint"`
	Start   uint64  `cbor:"2,keyasint"` // position at which the primary's term began
	Fork    uint64  `cbor:"3,keyasint"`
	Entries []Entry `cbor:"4,keyasint"`
}

const (
	// pullWait bounds how long a primary holds a request when it has no new entries.
	pullWait = 200 * time.Millisecond
	// pullBatch bounds the entries of one answer.
	pullBatch = 500
	// pullRetry is the pause after a failed connection to the primary.
	pullRetry = 20 * time.Millisecond
	// pullTimeout bounds one exchange with a primary that does not answer.
	pullTimeout = 2 * time.Second
	// replicationParameter marks a startup message as that of a replication link.
	replicationParameter = "verbena.replication"
)

// decMode decodes integers as int64, as sqlite needs them.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{IntDec: cbor.IntDecConvertSigned}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// serveReplica answers the pull requests of one replica.
func (s *Server) serveReplica(r *run, conn net.Conn) {
	// The replica sends nothing before this byte, since the startup message is read through a buffer.
	if _, err := conn.Write([]byte{'R'}); err != nil {
		return
	}
	dec, enc := decMode.NewDecoder(conn), cbor.NewEncoder(conn)
	for {
		var req pullRequest
		if dec.Decode(&req) != nil || s.awake(r.ctx) != nil {
			return
		}
		ans, ok := s.answerPull(r, req)
		if !ok || s.awake(r.ctx) != nil || enc.Encode(ans) != nil {
			return
		}
	}
}

func (s *Server) answerPull(r *run, req pullRequest) (pullAnswer, bool) {
	timeout := time.NewTimer(pullWait)
	defer timeout.Stop()
	recorded := false
	for {
		s.mu.Lock()
		if s.run != r || s.cut {
			s.mu.Unlock()
			return pullAnswer{}, false
		}
		if !s.writable() || s.term != req.Follow {
			s.mu.Unlock()
			return pullAnswer{Refused: "not the primary of the term"}, true
		}
		if !recorded {
			recorded = true
			s.replicas[req.Address] = port.ReplicaStatus{Address: req.Address, Term: req.Term, Received: req.Received}
			s.notify()
		}
		ans := pullAnswer{Start: s.start}
		if req.First {
			ans.Fork = fork(req.Spans, spans(s.log))
			req.Received = ans.Fork
		}
		if n := uint64(len(s.log)); req.Received < n {
			ans.Entries = append(ans.Entries, s.log[req.Received:min(n, req.Received+pullBatch)]...)
		}
		changed := s.changed
		s.mu.Unlock()
		if req.First || len(ans.Entries) > 0 {
			return ans, true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return ans, true
		case <-r.ctx.Done():
			return ans, false
		}
	}
}

// following returns the primary to pull from. The caller holds mu.
func (s *Server) following() (target, bool) {
	t := s.followed
	return t, s.role == port.RoleReplica && t.address != "" && t.term >= s.promised && !s.cut && s.thawed == nil
}

// pull keeps a replication link to the primary that the server follows.
func (s *Server) pull(r *run) {
	for r.ctx.Err() == nil {
		s.mu.Lock()
		t, ok := s.following()
		changed := s.changed
		s.mu.Unlock()
		if !ok {
			select {
			case <-changed:
			case <-r.ctx.Done():
			}
			continue
		}
		_ = s.pullFrom(r, t)
		pause(r.ctx, pullRetry)
	}
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

var errTargetChanged = errors.New("the replica no longer follows this primary")

func (s *Server) pullFrom(r *run, t target) error {
	ctx, cancel := context.WithTimeout(r.ctx, pullTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", s.route(t.address))
	if err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	go func() { // closes the link as soon as the server must not use it any more
		defer func() { _ = conn.Close() }()
		for {
			s.mu.Lock()
			now, ok := s.following()
			changed := s.changed
			s.mu.Unlock()
			if !ok && s.awake(r.ctx) == nil {
				s.mu.Lock()
				now, ok = s.following()
				s.mu.Unlock()
			}
			if !ok || now.gen != t.gen {
				return
			}
			select {
			case <-done:
				return
			case <-r.ctx.Done():
				return
			case <-changed:
			}
		}
	}()
	hello, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{replicationParameter: "1"},
	}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := conn.Write(hello); err != nil {
		return err
	}
	_ = conn.SetDeadline(time.Now().Add(pullTimeout))
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		return err
	}
	dec, enc := decMode.NewDecoder(conn), cbor.NewEncoder(conn)
	for first := true; ; first = false {
		req, err := s.pullRequest(r, t, first)
		if err != nil {
			return err
		}
		_ = conn.SetDeadline(time.Now().Add(pullTimeout))
		if err := enc.Encode(req); err != nil {
			return err
		}
		var ans pullAnswer
		if err := dec.Decode(&ans); err != nil {
			return err
		}
		if ans.Refused != "" {
			return errors.New(ans.Refused)
		}
		if err := s.receive(r, t, req, ans); err != nil {
			return err
		}
	}
}

// route returns the address through which the replication link to address goes.
func (s *Server) route(address string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if via, ok := s.routes[address]; ok {
		return via
	}
	return address
}

func (s *Server) pullRequest(r *run, t target, first bool) (pullRequest, error) {
	if err := s.awake(r.ctx); err != nil {
		return pullRequest{}, err
	}
	s.mu.Lock()
	delay := s.netDelay
	req := pullRequest{Follow: t.term, Address: s.cfg.Advertise, Term: s.term, Received: uint64(len(s.log)), First: first}
	if req.Address == "" {
		req.Address = s.addr
	}
	if first {
		req.Spans = spans(s.log)
	}
	s.mu.Unlock()
	pause(r.ctx, delay)
	return req, nil
}

// receive makes an answer durable, after truncating the log to the fork with the primary's history.
func (s *Server) receive(r *run, t target, req pullRequest, ans pullAnswer) error {
	s.mu.Lock()
	delay := s.netDelay
	s.mu.Unlock()
	pause(r.ctx, delay)
	if err := s.awake(r.ctx); err != nil {
		return err
	}
	if req.First && ans.Fork < req.Received {
		if err := s.truncate(r, t, ans.Fork); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now, ok := s.following(); !ok || now.gen != t.gen {
		return errTargetChanged
	}
	now := time.Now()
	changed := false
	for _, e := range ans.Entries {
		if e.Position != uint64(len(s.log))+1 {
			return errors.New("the primary sent entries out of order")
		}
		s.log = append(s.log, e)
		s.dueBase = append(s.dueBase, now)
		changed = true
	}
	// A log that ends before the start of the term may lack entries that an older term acknowledged, so the server
	// must not report the new term yet: an election that trusts the term would lose them.
	if uint64(len(s.log)) >= ans.Start && s.term != t.term {
		s.term, s.start = t.term, ans.Start
		changed = true
	}
	if changed {
		s.notify()
	}
	return nil
}

// truncate discards the log after position and rebuilds the database if discarded entries were applied.
func (s *Server) truncate(r *run, t target, position uint64) error {
	select {
	case s.writer <- struct{}{}:
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
	defer func() { <-s.writer }()
	s.mu.Lock()
	keep := append([]Entry(nil), s.log[:position]...)
	applied := min(s.applied, position)
	rebuild := s.applied > position
	s.mu.Unlock()
	var fresh *store
	if rebuild {
		var err error
		if fresh, err = openStore(s.cfg.Schema); err != nil {
			return err
		}
		if err := fresh.apply(keep); err != nil {
			fresh.close()
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now, ok := s.following(); !ok || now.gen != t.gen {
		if fresh != nil {
			go fresh.close()
		}
		return errTargetChanged
	}
	if fresh != nil {
		go s.st.close()
		s.st = fresh
		s.schemaNo++
	}
	s.log, s.dueBase, s.applied = keep, s.dueBase[:position], applied
	if position < s.start {
		// The server no longer holds the history of its term up to the term's start.
		s.term, s.start = 0, 0
		if position > 0 {
			s.term, s.start = keep[position-1].Term, position
		}
	}
	s.notify()
	return nil
}

// applyLoop applies received entries once their lag has passed.
func (s *Server) applyLoop(r *run) {
	for r.ctx.Err() == nil {
		if s.awake(r.ctx) != nil {
			return
		}
		s.mu.Lock()
		changed := s.changed
		wait := time.Hour
		if s.role == port.RoleReplica && s.applied < uint64(len(s.log)) && s.applyErr == nil {
			wait = time.Until(s.dueBase[s.applied].Add(s.lag))
		}
		s.mu.Unlock()
		if wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-changed:
			case <-r.ctx.Done():
			}
			timer.Stop()
			continue
		}
		select {
		case s.writer <- struct{}{}:
		case <-r.ctx.Done():
			return
		}
		err := s.applyTo(s.due)
		<-s.writer
		if err != nil {
			s.set(func() { s.applyErr = err })
		}
	}
}

// due returns the position up to which the lag has passed. The caller holds mu.
func (s *Server) due() uint64 {
	if s.role != port.RoleReplica {
		return s.applied
	}
	n := s.applied
	limit := time.Now().Add(-s.lag)
	for n < uint64(len(s.log)) && !s.dueBase[n].After(limit) {
		n++
	}
	return n
}

// applyTo applies the log up to the position that upTo returns. The caller holds the writer's place.
func (s *Server) applyTo(upTo func() uint64) error {
	s.mu.Lock()
	n := upTo()
	entries := s.log[min(s.applied, n):n]
	st := s.st
	s.mu.Unlock()
	if len(entries) == 0 {
		return nil
	}
	if err := st.apply(entries); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied = n
	for _, e := range entries {
		for _, q := range e.Stmts {
			if changesSchema(q.SQL) {
				s.schemaNo++
			}
		}
	}
	s.notify()
	return nil
}
