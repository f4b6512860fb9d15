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

func errTermRefused(term, promised uint64) error {
	return newError("55000", "term %d refused: the server has already promised term %d", term, promised)
}

// Promise records when a server promised to reject everything from lower terms than the promised one.
type Promise struct {
	term uint64
	at   time.Time
}

// Term returns the promised term.
func (p Promise) Term() uint64 { return p.term }

// At returns the time of the promise.
func (p Promise) At() time.Time { return p.at }

// Promises returns the promises made since New, ordered by ascending term. A crash does not remove them.
func (s *Server) Promises() []Promise {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.promises)
}

// recordPromise records that the server has promised term. The caller holds mu.
func (s *Server) recordPromise(term uint64) {
	if term > s.promisedTerm {
		s.promises = append(s.promises, Promise{term: term, at: time.Now()})
	}
	s.promisedTerm = term
}

// Fence promises that the server rejects everything from terms lower than term from now on. It returns an error if the
// server has already promised this term or a higher one, so that a majority promises each term to at most one candidate.
func (s *Server) Fence(term uint64) (port.Status, error) {
	s.mu.Lock()
	if term <= s.promisedTerm {
		defer s.mu.Unlock()
		return port.Status{}, errTermRefused(term, s.promisedTerm)
	}
	s.recordPromise(term)
	st := s.status()
	tx := s.fencedTx()
	s.notify()
	s.mu.Unlock()
	if tx != nil {
		tx.abort()
	}
	return st, nil
}

// fencedTx returns the open write transaction if it can no longer commit, and nil otherwise. The caller holds mu.
func (s *Server) fencedTx() *writeTx {
	if s.writable() {
		return nil
	}
	return s.writeTx
}

// Promote applies all received log entries and makes the server the primary of term.
func (s *Server) Promote(ctx context.Context, term uint64) (port.Status, error) {
	s.mu.Lock()
	if term < s.promisedTerm || s.role == port.RoleReplica && s.source.term == term && term != 0 {
		// If the server already follows a primary of this term, the term has another primary.
		defer s.mu.Unlock()
		return port.Status{}, errTermRefused(term, s.promisedTerm)
	}
	s.recordPromise(term)
	if s.role == port.RolePrimary {
		s.becomePrimary(term)
		defer s.mu.Unlock()
		return s.status(), nil
	}
	s.source = replicationSource{generation: s.source.generation + 1}
	s.notify()
	s.mu.Unlock()
	select {
	case s.writeLock <- struct{}{}:
	case <-ctx.Done():
		return port.Status{}, ctx.Err()
	}
	defer func() { <-s.writeLock }()
	if err := s.applyTo(func() uint64 { return uint64(len(s.log)) }); err != nil {
		return port.Status{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.promisedTerm != term || s.source.address != "" {
		return port.Status{}, errTermRefused(term, s.promisedTerm)
	}
	s.becomePrimary(term)
	return s.status(), nil
}

// becomePrimary makes the server the primary of term, which begins at the end of the log. The caller holds mu.
func (s *Server) becomePrimary(term uint64) {
	if s.role != port.RolePrimary || s.term != term {
		s.termStart = uint64(len(s.log))
		s.replicas = map[string]port.ReplicaStatus{}
	}
	s.role, s.term = port.RolePrimary, term
	s.notify()
}

// Follow makes the server a replica of the primary at address. The server reports the new term only after it has
// discarded the log entries that the primary does not have and has received the primary's log up to the start of the
// term.
func (s *Server) Follow(term uint64, address string) (port.Status, error) {
	s.mu.Lock()
	if term < s.promisedTerm || s.role == port.RolePrimary && s.term == term {
		defer s.mu.Unlock()
		return port.Status{}, errTermRefused(term, s.promisedTerm)
	}
	s.recordPromise(term)
	if s.source.term != term || s.source.address != address {
		s.source = replicationSource{term: term, address: address, generation: s.source.generation + 1}
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

// termSpan is a sequence of consecutive log entries of one term. Last is the position of its last entry.
type termSpan struct {
	Term uint64 `cbor:"1,keyasint"`
	Last uint64 `cbor:"2,keyasint"`
}

func termSpans(log []Entry) []termSpan {
	var out []termSpan
	for i, e := range log {
		if i == 0 || log[i-1].Term != e.Term {
			out = append(out, termSpan{Term: e.Term})
		}
		out[len(out)-1].Last = e.Position
	}
	return out
}

// forkPosition returns the last position up to which both logs are equal, or 0 if they share no entry. Two logs that hold
// an entry of the same term at the same position are equal up to that position, because a term has only one primary.
func forkPosition(a, b []termSpan) uint64 {
	var common uint64
	for i := 0; i < len(a) && i < len(b) && a[i].Term == b[i].Term; i++ {
		common = min(a[i].Last, b[i].Last)
		if a[i].Last != b[i].Last {
			break
		}
	}
	return common
}

// pullRequest asks a primary for the log entries after position Received and acknowledges the entries up to it.
type pullRequest struct {
	FollowedTerm uint64     `cbor:"1,keyasint"` // term of the primary that the replica follows
	Address      string     `cbor:"2,keyasint"`
	Term         uint64     `cbor:"3,keyasint"` // term that the replica reports
	Received     uint64     `cbor:"4,keyasint"`
	First        bool       `cbor:"5,keyasint"` // requests pullAnswer.Fork
	Spans        []termSpan `cbor:"6,keyasint"`
}

type pullAnswer struct {
	Refused   string  `cbor:"1,keyasint"`
	TermStart uint64  `cbor:"2,keyasint"` // position at which the primary's term began
	Fork      uint64  `cbor:"3,keyasint"`
	Entries   []Entry `cbor:"4,keyasint"`
}

const (
	// longPollTimeout limits how long a primary delays its answer while it has no new entries.
	longPollTimeout = 200 * time.Millisecond
	// maxAnswerEntries limits the number of log entries in one answer.
	maxAnswerEntries = 500
	// pullRetryDelay is how long a replica waits before it reconnects to the primary.
	pullRetryDelay = 20 * time.Millisecond
	// pullTimeout limits how long a replica waits for a connection to the primary or for one answer.
	pullTimeout = 2 * time.Second
	// replicationParameter is the startup parameter that marks a connection as a replication link.
	replicationParameter = "verbena.replication"
)

// decMode decodes integers as int64, because sqlite requires them as statement arguments.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{IntDec: cbor.IntDecConvertSigned}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// serveReplica answers the pull requests of one replica until the connection fails or the replication links are cut.
func (s *Server) serveReplica(r *run, conn net.Conn) {
	// The replica waits for this byte before it sends a request. Otherwise the buffered reader of the startup message
	// could consume part of the request.
	if _, err := conn.Write([]byte{'R'}); err != nil {
		return
	}
	dec, enc := decMode.NewDecoder(conn), cbor.NewEncoder(conn)
	for {
		var req pullRequest
		if dec.Decode(&req) != nil || s.waitUnfrozen(r.ctx) != nil {
			return
		}
		ans, ok := s.answerPull(r, req)
		if !ok || s.waitUnfrozen(r.ctx) != nil || enc.Encode(ans) != nil {
			return
		}
	}
}

func (s *Server) answerPull(r *run, req pullRequest) (pullAnswer, bool) {
	timeout := time.NewTimer(longPollTimeout)
	defer timeout.Stop()
	recorded := false
	for {
		s.mu.Lock()
		if s.run != r || s.replicationCut {
			s.mu.Unlock()
			return pullAnswer{}, false
		}
		if !s.writable() || s.term != req.FollowedTerm {
			s.mu.Unlock()
			return pullAnswer{Refused: "the server is not the primary of the requested term"}, true
		}
		if !recorded {
			recorded = true
			s.replicas[req.Address] = port.ReplicaStatus{Address: req.Address, Term: req.Term, Received: req.Received}
			s.notify()
		}
		ans := pullAnswer{TermStart: s.termStart}
		if req.First {
			ans.Fork = forkPosition(req.Spans, termSpans(s.log))
			req.Received = ans.Fork
		}
		if n := uint64(len(s.log)); req.Received < n {
			ans.Entries = append(ans.Entries, s.log[req.Received:min(n, req.Received+maxAnswerEntries)]...)
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

// activeSource returns the primary to pull log entries from, and whether the server may pull now. The caller holds mu.
func (s *Server) activeSource() (replicationSource, bool) {
	source := s.source
	return source, s.role == port.RoleReplica && source.address != "" && source.term >= s.promisedTerm && !s.replicationCut && s.unfrozen == nil
}

// pullLoop maintains the replication link to the primary that the server follows, until r ends.
func (s *Server) pullLoop(r *run) {
	for r.ctx.Err() == nil {
		s.mu.Lock()
		source, ok := s.activeSource()
		changed := s.changed
		s.mu.Unlock()
		if !ok {
			select {
			case <-changed:
			case <-r.ctx.Done():
			}
			continue
		}
		_ = s.pullFrom(r, source)
		pause(r.ctx, pullRetryDelay)
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

var errSourceChanged = errors.New("the replica no longer follows this primary")

func (s *Server) pullFrom(r *run, source replicationSource) error {
	ctx, cancel := context.WithTimeout(r.ctx, pullTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", s.route(source.address))
	if err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	go func() { // closes the link as soon as the server may no longer use it
		defer func() { _ = conn.Close() }()
		for {
			s.mu.Lock()
			current, ok := s.activeSource()
			changed := s.changed
			s.mu.Unlock()
			if !ok && s.waitUnfrozen(r.ctx) == nil {
				s.mu.Lock()
				current, ok = s.activeSource()
				s.mu.Unlock()
			}
			if !ok || current.generation != source.generation {
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
	startup, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{replicationParameter: "1"},
	}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := conn.Write(startup); err != nil {
		return err
	}
	_ = conn.SetDeadline(time.Now().Add(pullTimeout))
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		return err
	}
	dec, enc := decMode.NewDecoder(conn), cbor.NewEncoder(conn)
	for first := true; ; first = false {
		req, err := s.pullRequest(r, source, first)
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
		if err := s.receive(r, source, req, ans); err != nil {
			return err
		}
	}
}

// route returns the address to dial for a replication link to the primary at address.
func (s *Server) route(address string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if via, ok := s.routes[address]; ok {
		return via
	}
	return address
}

func (s *Server) pullRequest(r *run, source replicationSource, first bool) (pullRequest, error) {
	if err := s.waitUnfrozen(r.ctx); err != nil {
		return pullRequest{}, err
	}
	s.mu.Lock()
	delay := s.netDelay
	req := pullRequest{FollowedTerm: source.term, Address: s.cfg.Advertise, Term: s.term, Received: uint64(len(s.log)), First: first}
	if req.Address == "" {
		req.Address = s.addr
	}
	if first {
		req.Spans = termSpans(s.log)
	}
	s.mu.Unlock()
	pause(r.ctx, delay)
	return req, nil
}

// receive appends the entries of an answer to the log. If the log has diverged from the primary's log, it first truncates
// it to the position at which they fork.
func (s *Server) receive(r *run, source replicationSource, req pullRequest, ans pullAnswer) error {
	s.mu.Lock()
	delay := s.netDelay
	s.mu.Unlock()
	pause(r.ctx, delay)
	if err := s.waitUnfrozen(r.ctx); err != nil {
		return err
	}
	if req.First && ans.Fork < req.Received {
		if err := s.truncateLog(r, source, ans.Fork); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.activeSource(); !ok || current.generation != source.generation {
		return errSourceChanged
	}
	now := time.Now()
	changed := false
	for _, e := range ans.Entries {
		if e.Position != uint64(len(s.log))+1 {
			return errors.New("the primary sent log entries out of order")
		}
		s.log = append(s.log, e)
		s.receivedAt = append(s.receivedAt, now)
		changed = true
	}
	// A log that ends before the start of the term may lack entries that were acknowledged in an older term. The server
	// must not report the new term yet, because an election that prefers the highest term would lose those entries.
	if uint64(len(s.log)) >= ans.TermStart && s.term != source.term {
		s.term, s.termStart = source.term, ans.TermStart
		changed = true
	}
	if changed {
		s.notify()
	}
	return nil
}

// truncateLog discards the log entries after position. If it discards applied entries, it rebuilds the database from the
// remaining ones.
func (s *Server) truncateLog(r *run, source replicationSource, position uint64) error {
	select {
	case s.writeLock <- struct{}{}:
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
	defer func() { <-s.writeLock }()
	s.mu.Lock()
	kept := append([]Entry(nil), s.log[:position]...)
	applied := min(s.applied, position)
	rebuild := s.applied > position
	s.mu.Unlock()
	var rebuilt *store
	if rebuild {
		var err error
		if rebuilt, err = openStore(s.cfg.Schema); err != nil {
			return err
		}
		if err := rebuilt.apply(kept); err != nil {
			rebuilt.close()
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.activeSource(); !ok || current.generation != source.generation {
		if rebuilt != nil {
			go rebuilt.close()
		}
		return errSourceChanged
	}
	if rebuilt != nil {
		go s.store.close()
		s.store = rebuilt
		s.schemaVersion++
	}
	s.log, s.receivedAt, s.applied = kept, s.receivedAt[:position], applied
	if position < s.termStart {
		// The log now ends before the start of the reported term, so the server may no longer report that term.
		s.term, s.termStart = 0, 0
		if position > 0 {
			s.term, s.termStart = kept[position-1].Term, position
		}
	}
	s.notify()
	return nil
}

// applyLoop applies each received log entry when the configured lag has passed since its receipt.
func (s *Server) applyLoop(r *run) {
	for r.ctx.Err() == nil {
		if s.waitUnfrozen(r.ctx) != nil {
			return
		}
		s.mu.Lock()
		changed := s.changed
		wait := time.Hour
		if s.role == port.RoleReplica && s.applied < uint64(len(s.log)) && s.applyErr == nil {
			wait = time.Until(s.receivedAt[s.applied].Add(s.lag))
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
		case s.writeLock <- struct{}{}:
		case <-r.ctx.Done():
			return
		}
		err := s.applyTo(s.duePosition)
		<-s.writeLock
		if err != nil {
			s.updateState(func() { s.applyErr = err })
		}
	}
}

// duePosition returns the last log position for which the lag has passed since its receipt, or the applied position if the
// server is not a replica. The caller holds mu.
func (s *Server) duePosition() uint64 {
	if s.role != port.RoleReplica {
		return s.applied
	}
	n := s.applied
	limit := time.Now().Add(-s.lag)
	for n < uint64(len(s.log)) && !s.receivedAt[n].After(limit) {
		n++
	}
	return n
}

// applyTo applies the log up to the position that upTo returns. It calls upTo with mu held. The caller holds writeLock.
func (s *Server) applyTo(upTo func() uint64) error {
	s.mu.Lock()
	n := upTo()
	entries := s.log[min(s.applied, n):n]
	st := s.store
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
				s.schemaVersion++
			}
		}
	}
	s.notify()
	return nil
}
