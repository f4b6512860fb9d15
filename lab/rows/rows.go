// Package rows is a stand-in for the store of the users' platform and for its orders to servers, over HTTP. It can be down,
// turn calls away, lose answers after their effect, carry a change out late, and drop its history.
package rows

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Fault is a way in which the store fails a call.
type Fault uint8

// The faults.
const (
	// None carries calls out.
	None Fault = iota
	// Down turns calls away.
	Down
	// Lost carries changes out and gives no answer.
	Lost
	// Late gives no answer and carries changes out with the next call of Release, if their conditions still hold.
	Late
)

// Order is a promotion that was ordered.
type Order struct {
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

type answer struct {
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

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	srv   *http.Server
	addr  string
	start time.Time
	order func(Order) error

	mu      sync.Mutex
	rows    map[key]row
	version uint64
	log     []row
	dropped uint64 // versions up to this one are not in log any more
	changed chan struct{}
	fault   Fault
	late    []change
	calls   map[string]int
}

// Start starts a store. Order is called for each promotion that is ordered.
func Start(order func(Order) error) (*Store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		addr: l.Addr().String(), start: time.Now(), order: order, rows: make(map[key]row), changed: make(chan struct{}),
		calls: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("POST /promote", s.promote)
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.srv.Serve(l) }()
	return s, nil
}

// Addr returns the address of the store and of the orders.
func (s *Store) Addr() string { return s.addr }

// Close ends the store.
func (s *Store) Close() error { return s.srv.Close() }

// SetFault makes calls fail.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Calls returns how many calls of a path were made.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Release carries out the changes that a fault held back, and returns how many of them still applied.
func (s *Store) Release() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.late {
		if _, ok := s.apply(c); ok {
			n++
		}
	}
	s.late = nil
	return n
}

// DropHistory makes the store forget all changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.dropped = nil, s.version
	s.wake()
}

// Put writes a row, as the operator or a server does.
func (s *Store) Put(table, k string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(change{Put: []row{{Table: table, Key: k, Value: value}}})
}

// Remove drops a row.
func (s *Store) Remove(table, k string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(change{Remove: []row{{Table: table, Key: k}}})
}

// Value returns the value of a row.
func (s *Store) Value(table, k string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[key{table, k}]
	return r.Value, ok
}

// wake lets the calls that wait for changes look again. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply carries out a change if its conditions hold. The caller holds mu.
func (s *Store) apply(c change) ([]row, bool) {
	var current []row
	holds := true
	for _, e := range c.Expect {
		have, want := s.versionOf(e), uint64(0)
		if e.Version != nil {
			want = *e.Version
		}
		holds = holds && have == want
		current = append(current, s.rows[key{e.Table, e.Key}])
	}
	if !holds {
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
	s.wake()
	return nil, true
}

func (s *Store) versionOf(r row) uint64 {
	if have, ok := s.rows[key{r.Table, r.Key}]; ok {
		return *have.Version
	}
	return 0
}

// enter counts a call and reports whether it is turned away.
func (s *Store) enter(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path]++
	if s.fault == Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Store) reply(w http.ResponseWriter, status int, rows []row, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	a := answer{Rows: rows, Version: version, NowMs: float64(time.Since(s.start).Microseconds()) / 1000}
	_ = json.NewEncoder(w).Encode(a)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w, r) {
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
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	s.reply(w, http.StatusOK, rows, version)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w, r) {
		return
	}
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err := errors.Join(err1, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		rows, gone, fault, changed, version := s.since(q.Get("table"), after), after < s.dropped, s.fault, s.changed, s.version
		s.mu.Unlock()
		switch {
		case fault == Down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0:
			s.reply(w, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			s.reply(w, http.StatusOK, nil, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of a table. The caller holds mu.
func (s *Store) since(table string, after uint64) []row {
	var rows []row
	for _, r := range s.log {
		if r.Table == table && *r.Version > after {
			rows = append(rows, r)
		}
	}
	return rows
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w, r) {
		return
	}
	var c change
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.fault == Late {
		s.late = append(s.late, c)
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	current, ok := s.apply(c)
	version, fault := s.version, s.fault
	s.mu.Unlock()
	if fault == Lost {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		s.reply(w, http.StatusPreconditionFailed, slices.DeleteFunc(current, func(r row) bool { return r.Version == nil }), version)
		return
	}
	s.reply(w, http.StatusOK, nil, version)
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
	if err := s.order(Order{Group: body.Service, ID: body.ID, Holder: r.Header.Get("Duty-Holder"), Token: token}); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	_, _ = w.Write([]byte("{}"))
}
