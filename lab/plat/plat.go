// Package plat is a stand-in for the platform's services over HTTP: a transactional table service, an object store and
// a list of VMs, with faults that can be switched on at run time.
package plat

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"verbenagate/io/platf"
)

// Config describes the stand-in. It is plain data, so that a separate process can read it from a file.
type Config struct {
	// Listen is the address to listen on; empty means a free port of 127.0.0.1.
	Listen string
	// ListLag is the initial delay of the list of VMs.
	ListLag time.Duration
}

// Platform is one running platform.
type Platform struct {
	ln   net.Listener
	http *http.Server
	done chan struct{}
	quit chan struct{} // ends delayed requests

	mu      sync.Mutex
	records map[string]platf.Record
	objects map[string][]byte
	version uint64
	list    registry
	faults  faults
	watch   *watch
	reads   int
	writes  int
}

// faults are the failures in force.
type faults struct {
	down     bool
	delay    time.Duration
	loseNext int
	loss     float64
	random   *rand.Rand
	lag      time.Duration
}

// New starts a platform.
func New(cfg Config) (*Platform, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Listen, err)
	}
	p := &Platform{
		ln: ln, records: map[string]platf.Record{}, objects: map[string][]byte{},
		done: make(chan struct{}), quit: make(chan struct{}), faults: faults{lag: cfg.ListLag},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platf.PathGet, handler(p, false, p.get))
	mux.HandleFunc("POST "+platf.PathList, handler(p, false, p.listRecords))
	mux.HandleFunc("POST "+platf.PathCommit, handler(p, true, p.commit))
	mux.HandleFunc("POST "+platf.PathRegister, handler(p, true, p.register))
	mux.HandleFunc("POST "+platf.PathDeregister, handler(p, true, p.deregister))
	mux.HandleFunc("GET "+platf.PathVMs, p.vms)
	mux.HandleFunc("GET "+platf.PathObjects, p.getObject)
	mux.HandleFunc("PUT "+platf.PathObjects, p.putObject)
	p.http = &http.Server{Handler: mux}
	go func() {
		defer close(p.done)
		_ = p.http.Serve(ln)
	}()
	return p, nil
}

// Addr returns the listening address.
func (p *Platform) Addr() string { return p.ln.Addr().String() }

// Close ends the platform and drops what it stored.
func (p *Platform) Close() {
	close(p.quit)
	_ = p.http.Close()
	<-p.done
}

func (p *Platform) set(change func(f *faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
}

// SetDown makes the platform drop every request before it has an effect.
func (p *Platform) SetDown(down bool) { p.set(func(f *faults) { f.down = down }) }

// watch waits for a commit.
type watch struct {
	prefix string
	down   bool
	done   chan time.Time
}

// NextCommit returns a channel that gets the time at which the next commit takes effect that writes a record whose key has
// the prefix. With down, the platform goes down at that moment, while the answer to the commit is still sent.
func (p *Platform) NextCommit(prefix string, down bool) <-chan time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watch = &watch{prefix, down, make(chan time.Time, 1)}
	return p.watch.done
}

// committed ends the wait for a commit that wrote these records. The caller holds mu.
func (p *Platform) committed(writes []platf.Write) {
	if w := p.watch; w != nil && slices.ContainsFunc(writes, func(r platf.Write) bool { return strings.HasPrefix(r.Key, w.prefix) }) {
		p.watch = nil
		p.faults.down = p.faults.down || w.down
		w.done <- time.Now()
	}
}

// SetDelay delays each request before it has an effect.
func (p *Platform) SetDelay(d time.Duration) { p.set(func(f *faults) { f.delay = d }) }

// LoseAnswers drops the answers to the next n writes after they took effect.
func (p *Platform) LoseAnswers(n int) { p.set(func(f *faults) { f.loseNext = n }) }

// SetLoss drops the answer to a write with the given probability after it took effect; the seed fixes which ones.
func (p *Platform) SetLoss(probability float64, seed uint64) {
	p.set(func(f *faults) { f.loss, f.random = probability, rand.New(rand.NewPCG(seed, 0)) })
}

// SetListLag changes how far the list of VMs lags behind.
func (p *Platform) SetListLag(d time.Duration) { p.set(func(f *faults) { f.lag = d }) }

// Counts returns the numbers of reads and writes that were carried out.
func (p *Platform) Counts() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// Snapshot is the state of the table service and the object store at some time.
type Snapshot struct {
	records map[string]platf.Record
	objects map[string][]byte
}

// Snapshot returns the present state, for a later Restore.
func (p *Platform) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{records: maps.Clone(p.records), objects: maps.Clone(p.objects)}
}

// Restore returns to an older state, as after an outage with loss of data. Versions keep rising.
func (p *Platform) Restore(s Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records, p.objects = maps.Clone(s.records), maps.Clone(s.objects)
}

// statusError is an error with an HTTP status.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return e.text }

// admit applies the faults that precede the effect.
func (p *Platform) admit(r *http.Request) {
	p.mu.Lock()
	delay := p.faults.delay
	p.mu.Unlock()
	if delay > 0 {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
		case <-p.quit:
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.down {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
}

// loses reports whether the answer to a write is to be dropped. The caller holds mu.
func (p *Platform) loses() bool {
	if p.faults.loseNext > 0 {
		p.faults.loseNext--
		return true
	}
	return p.faults.random != nil && p.faults.random.Float64() < p.faults.loss
}

// effect runs f under the lock, counts it and drops the answer if a fault says so.
func (p *Platform) effect(write bool, f func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := f()
	if !write {
		p.reads++
		return err
	}
	p.writes++
	if p.loses() {
		panic(http.ErrAbortHandler)
	}
	return err
}

// handler decodes a JSON request, runs f and encodes its answer.
func handler[Req, Ans any](p *Platform, write bool, f func(Req) (Ans, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, platf.MaxBody)).Decode(&req); err != nil {
			answer(w, nil, &statusError{http.StatusBadRequest, err.Error()})
			return
		}
		p.admit(r)
		var ans Ans
		err := p.effect(write, func() (err error) {
			ans, err = f(req)
			return err
		})
		answer(w, ans, err)
	}
}

func answer(w http.ResponseWriter, ans any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		status := http.StatusInternalServerError
		var s *statusError
		if errors.As(err, &s) {
			status = s.status
		}
		w.WriteHeader(status)
		ans = platf.Problem{Message: err.Error()}
	}
	_ = json.NewEncoder(w).Encode(ans)
}

func (p *Platform) get(req platf.GetRequest) (platf.Record, error) {
	r := p.records[req.Key]
	r.Key = req.Key
	return r, nil
}

func (p *Platform) listRecords(req platf.ListRequest) (platf.ListAnswer, error) {
	ans := platf.ListAnswer{Records: []platf.Record{}}
	for _, key := range slices.Sorted(maps.Keys(p.records)) {
		if len(ans.Records) >= req.N {
			break
		}
		if strings.HasPrefix(key, req.Prefix) && key > req.After {
			ans.Records = append(ans.Records, p.records[key])
		}
	}
	return ans, nil
}

func (p *Platform) commit(req platf.CommitRequest) (struct{}, error) {
	for _, c := range req.Checks {
		if v := p.records[c.Key].Version; v != c.Version {
			return struct{}{}, &statusError{http.StatusConflict, fmt.Sprintf("record %q has version %d, not %d", c.Key, v, c.Version)}
		}
	}
	p.version++
	for _, w := range req.Writes {
		if w.Delete {
			delete(p.records, w.Key)
			continue
		}
		p.records[w.Key] = platf.Record{Key: w.Key, Value: w.Value, Version: p.version}
	}
	p.committed(req.Writes)
	return struct{}{}, nil
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platf.MaxBody))
	if err != nil {
		answer(w, nil, &statusError{http.StatusRequestEntityTooLarge, err.Error()})
		return
	}
	p.admit(r)
	err = p.effect(true, func() error {
		p.objects[r.URL.Query().Get("name")] = body
		return nil
	})
	answer(w, struct{}{}, err)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.admit(r)
	name := r.URL.Query().Get("name")
	var body []byte
	err := p.effect(false, func() error {
		var ok bool
		if body, ok = p.objects[name]; !ok {
			return &statusError{http.StatusNotFound, fmt.Sprintf("object %q does not exist", name)}
		}
		return nil
	})
	if err != nil {
		answer(w, nil, err)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) register(req platf.RegisterRequest) (struct{}, error) {
	if req.VM.ID == "" {
		return struct{}{}, &statusError{http.StatusBadRequest, "the VM has no id"}
	}
	p.list.add(time.Now(), req.VM, time.Duration(req.TTLMilli)*time.Millisecond)
	return struct{}{}, nil
}

func (p *Platform) deregister(req platf.DeregisterRequest) (struct{}, error) {
	p.list.remove(time.Now(), req.ID)
	return struct{}{}, nil
}

func (p *Platform) vms(w http.ResponseWriter, r *http.Request) {
	p.admit(r)
	var ans platf.VMsAnswer
	err := p.effect(false, func() error {
		ans.VMs = p.list.at(time.Now().Add(-p.faults.lag))
		return nil
	})
	answer(w, ans, err)
}
