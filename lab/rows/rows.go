// Package rows simulates the store of the users' platform and the platform's promotion service, over HTTP. The store can be
// unavailable or silent, refuse requests, lose responses after a change took effect, delay changes, and drop its history.
package rows

import (
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Fault selects how the store fails requests.
type Fault uint8

// The faults.
const (
	// FaultNone handles requests normally.
	FaultNone Fault = iota
	// FaultDown refuses requests to the store with the status 503.
	FaultDown
	// FaultReplyLost applies changes and aborts the connection without a response.
	FaultReplyLost
	// FaultDelayed aborts the connection of a change without a response. The next call of ApplyDelayed applies the change, if its
	// conditions still hold.
	FaultDelayed
	// FaultSilent answers no call. Calls that wait for changes at its start are lost too, also after its end.
	FaultSilent
)

// PromoteRequest is a request to the platform to promote a server. Holder is the VM that sent it and Token its fencing token.
type PromoteRequest struct {
	Group  string
	ID     string
	Holder string
	Token  uint64
}

type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Version   *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

type response struct {
	Rows    []row   `json:"rows"`
	HasMore bool    `json:"hasMore"`
	Version uint64  `json:"ver"`
	NowMs   float64 `json:"nowMs"`
}

type change struct {
	Expect []row `json:"expectedRev"`
	Put    []row `json:"putRows"`
	Remove []row `json:"remove"`
}

type key struct{ table, key string }

// Store is the simulated store. It is safe for concurrent use.
type Store struct {
	server    *http.Server
	addr      string
	start     time.Time
	onPromote func(PromoteRequest) error

	mu             sync.Mutex
	rows           map[key]row
	version        uint64
	log            []row
	droppedVersion uint64 // log no longer holds changes up to this version
	changed        chan struct{}
	fault          Fault
	delayed        []change
	calls          map[string]int
	era            uint64
	backup         image
}

// image is a copy of the store.
type image struct {
	rows    map[key]row
	version uint64
	log     []row
}

// Start starts a store. It calls onPromote for each promotion request, which fails with its error.
func Start(onPromote func(PromoteRequest) error) (*Store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		addr: l.Addr().String(), start: time.Now(), onPromote: onPromote, rows: make(map[key]row), changed: make(chan struct{}),
		calls: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("POST /promote", s.promote)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Addr returns the IP:port of the store and of the promotion service.
func (s *Store) Addr() string { return s.addr }

// Clock returns the time on the store's clock.
func (s *Store) Clock() time.Duration { return time.Since(s.start) }

// Close stops the store.
func (s *Store) Close() error { return s.server.Close() }

// SetFault sets the fault of requests from now on; FaultNone ends the fault.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notifyWaiters()
}

// Calls returns the number of requests received for a URL path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// ApplyDelayed applies the changes that were delayed by FaultDelayed, and returns how many of them met their conditions.
func (s *Store) ApplyDelayed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.delayed {
		if _, ok := s.apply(c); ok {
			n++
		}
	}
	s.delayed = nil
	return n
}

// DropHistory drops the log of all changes so far, so that a feed from an older version gets the status 410. Rows stay.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.droppedVersion = nil, s.version
	s.notifyWaiters()
}

// Backup makes the copy from which Restore brings the store back.
func (s *Store) Backup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = image{rows: maps.Clone(s.rows), version: s.version, log: slices.Clone(s.log)}
}

// Restore brings the store back from the copy that Backup made, and begins a new era: what has been written since is gone, and versions are
// given out again. The feeds that wait are answered in the new era.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rows, s.version, s.log = maps.Clone(s.backup.rows), s.backup.version, slices.Clone(s.backup.log)
	s.notifyWaiters()
}

// Era returns how often the store has come back from a copy.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Put writes a row without conditions, as an operator or a server does.
func (s *Store) Put(table, k string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(change{Put: []row{{Table: table, Key: k, Value: value}}})
}

// Remove removes a row without conditions.
func (s *Store) Remove(table, k string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(change{Remove: []row{{Table: table, Key: k}}})
}

// Value returns the value of a row and whether the row exists.
func (s *Store) Value(table, k string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[key{table, k}]
	return r.Value, ok
}

// notifyWaiters wakes the feed requests that wait for changes. The caller holds mu.
func (s *Store) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply applies a change if all expected versions match, where no version means that the row must not exist. If they do not
// match, it returns the current rows of the conditions. The caller holds mu.
func (s *Store) apply(c change) ([]row, bool) {
	var current []row
	conditionsHold := true
	for _, e := range c.Expect {
		actual, expected := s.versionOf(e), uint64(0)
		if e.Version != nil {
			expected = *e.Version
		}
		conditionsHold = conditionsHold && actual == expected
		current = append(current, s.rows[key{e.Table, e.Key}])
	}
	if !conditionsHold {
		return current, false
	}
	s.version++
	v := s.version
	for _, r := range c.Put {
		r.Version = &v
		s.rows[key{r.Table, r.Key}] = r
		s.log = append(s.log, r)
	}
	for _, r := range c.Remove {
		if _, ok := s.rows[key{r.Table, r.Key}]; !ok {
			continue
		}
		delete(s.rows, key{r.Table, r.Key})
		r.Version, r.Tombstone = &v, true
		s.log = append(s.log, r)
	}
	s.notifyWaiters()
	return nil, true
}

func (s *Store) versionOf(r row) uint64 {
	if have, ok := s.rows[key{r.Table, r.Key}]; ok {
		return *have.Version
	}
	return 0
}

// admit counts a request and reports whether it may go on. It refuses the request while the fault is FaultDown, and does not answer
// it if the fault is FaultSilent.
func (s *Store) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case FaultDown:
		setEra(w, s.Era())
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case FaultSilent:
		loseReply(r)
	}
	return true
}

// loseReply waits until the client gives the call up, and ends the connection without a response.
func loseReply(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// setEra sets the header with the era, which a store that never came back from a copy leaves out.
func setEra(w http.ResponseWriter, era uint64) {
	if era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
}

// reply answers with rows as of a version in an era.
func (s *Store) reply(w http.ResponseWriter, status int, rows []row, version, era uint64) {
	setEra(w, era)
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	a := response{Rows: rows, Version: version, NowMs: float64(s.Clock().Microseconds()) / 1000}
	_ = json.NewEncoder(w).Encode(a)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	var rows []row
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.key >= q.Get("from") {
			rows = append(rows, v)
		}
	}
	version, era := s.version, s.era
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	s.reply(w, http.StatusOK, rows, version, era)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err := errors.Join(err1, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		rows, fault, changed, version, era := s.changesAfter(q.Get("table"), after), s.fault, s.changed, s.version, s.era
		dropped := after < s.droppedVersion || after > version
		s.mu.Unlock()
		switch {
		case fault == FaultDown:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case fault == FaultSilent:
			loseReply(r)
		case dropped:
			setEra(w, era)
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0:
			s.reply(w, http.StatusOK, rows, version, era)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			s.reply(w, http.StatusOK, nil, version, era)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes of a table with a version greater than after. The caller holds mu.
func (s *Store) changesAfter(table string, after uint64) []row {
	var rows []row
	for _, r := range s.log {
		if r.Table == table && *r.Version > after {
			rows = append(rows, r)
		}
	}
	return rows
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	var c change
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.fault == FaultDelayed {
		s.delayed = append(s.delayed, c)
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	current, ok := s.apply(c)
	version, era, fault := s.version, s.era, s.fault
	s.mu.Unlock()
	if fault == FaultReplyLost {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		s.reply(w, http.StatusPreconditionFailed, slices.DeleteFunc(current, func(r row) bool { return r.Version == nil }), version, era)
		return
	}
	s.reply(w, http.StatusOK, nil, version, era)
}

func (s *Store) promote(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	s.mu.Unlock()
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if err = errors.Join(err, json.NewDecoder(r.Body).Decode(&body)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.onPromote(PromoteRequest{
		Group: body.Service, ID: body.ID, Holder: r.Header.Get("Duty-Holder"), Token: token,
	}); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	_, _ = w.Write([]byte("{}"))
}
