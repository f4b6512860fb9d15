// Package plat simulates the platform's HTTP services: a transactional table service, an object store and a list of VMs.
// Faults can be injected at run time.
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

// Config configures a Platform. It has plain data only, so that a separate process can read it from a file.
type Config struct {
	// Listen is the address to listen on; empty means a free port of 127.0.0.1.
	Listen string
	// ListLag is how far the list of VMs lags behind at the start; see SetListLag.
	ListLag time.Duration
}

// Platform is a running simulated platform.
type Platform struct {
	ln        net.Listener
	http      *http.Server
	serveDone chan struct{}
	closing   chan struct{} // closed by Close, ends the delays of requests

	mu        sync.Mutex
	records   map[string]platf.Record
	objects   map[string][]byte
	version   uint64
	vmHistory registry
	faults    faults
	watch     *commitWatch
	reads     int
	writes    int
}

// faults are the faults that are injected at present.
type faults struct {
	down          bool
	delay         time.Duration
	answersToLose int
	answerLoss    float64
	lossRandom    *rand.Rand
	listLag       time.Duration
}

// New starts a platform that serves HTTP until Close.
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
		serveDone: make(chan struct{}), closing: make(chan struct{}), faults: faults{listLag: cfg.ListLag},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platf.PathGet, jsonHandler(p, false, p.get))
	mux.HandleFunc("POST "+platf.PathList, jsonHandler(p, false, p.listRecords))
	mux.HandleFunc("POST "+platf.PathCommit, jsonHandler(p, true, p.commit))
	mux.HandleFunc("POST "+platf.PathRegister, jsonHandler(p, true, p.register))
	mux.HandleFunc("POST "+platf.PathDeregister, jsonHandler(p, true, p.deregister))
	mux.HandleFunc("GET "+platf.PathVMs, p.listVMs)
	mux.HandleFunc("GET "+platf.PathObjects, p.getObject)
	mux.HandleFunc("PUT "+platf.PathObjects, p.putObject)
	p.http = &http.Server{Handler: mux}
	go func() {
		defer close(p.serveDone)
		_ = p.http.Serve(ln)
	}()
	return p, nil
}

// Addr returns the listening address.
func (p *Platform) Addr() string { return p.ln.Addr().String() }

// Close stops the server. What the platform stored is lost.
func (p *Platform) Close() {
	close(p.closing)
	_ = p.http.Close()
	<-p.serveDone
}

func (p *Platform) setFaults(change func(f *faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
}

// SetDown makes the platform drop every request before it takes effect, or ends this fault.
func (p *Platform) SetDown(down bool) { p.setFaults(func(f *faults) { f.down = down }) }

// commitWatch waits for the next commit that writes a key with the prefix.
type commitWatch struct {
	prefix      string
	down        bool
	committedAt chan time.Time
}

// NextCommit watches for the next commit that writes a record whose key has the prefix. The returned channel receives the
// time at which the commit took effect. If down is true, the platform goes down at that moment, but still answers this
// commit. A further call replaces the watch.
func (p *Platform) NextCommit(prefix string, down bool) <-chan time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watch = &commitWatch{prefix, down, make(chan time.Time, 1)}
	return p.watch.committedAt
}

// notifyWatch ends the watch if a commit wrote a key that it watches. The caller holds mu.
func (p *Platform) notifyWatch(writes []platf.Write) {
	if w := p.watch; w != nil && slices.ContainsFunc(writes, func(r platf.Write) bool { return strings.HasPrefix(r.Key, w.prefix) }) {
		p.watch = nil
		p.faults.down = p.faults.down || w.down
		w.committedAt <- time.Now()
	}
}

// SetDelay delays each request before it takes effect; 0 ends this fault.
func (p *Platform) SetDelay(d time.Duration) { p.setFaults(func(f *faults) { f.delay = d }) }

// LoseAnswers drops the answers to the next n writes after the writes have taken effect.
func (p *Platform) LoseAnswers(n int) { p.setFaults(func(f *faults) { f.answersToLose = n }) }

// SetLoss drops the answer to each write with the given probability after the write has taken effect. The seed determines
// which answers are dropped.
func (p *Platform) SetLoss(probability float64, seed uint64) {
	p.setFaults(func(f *faults) { f.answerLoss, f.lossRandom = probability, rand.New(rand.NewPCG(seed, 0)) })
}

// SetListLag makes the list of VMs show the registrations as they were d ago.
func (p *Platform) SetListLag(d time.Duration) { p.setFaults(func(f *faults) { f.listLag = d }) }

// Counts returns the numbers of reads and writes that were carried out, including commits that were refused.
func (p *Platform) Counts() (reads, writes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// Snapshot is a copy of the records and objects at some time.
type Snapshot struct {
	records map[string]platf.Record
	objects map[string][]byte
}

// Snapshot returns a copy of the present records and objects, for a later Restore.
func (p *Platform) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{records: maps.Clone(p.records), objects: maps.Clone(p.objects)}
}

// Restore goes back to the records and objects of a snapshot, as after an outage with loss of data. Versions continue to
// increase.
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

// applyRequestFaults delays the request or aborts its connection, as the injected faults demand, before it takes effect.
func (p *Platform) applyRequestFaults(r *http.Request) {
	p.mu.Lock()
	delay := p.faults.delay
	p.mu.Unlock()
	if delay > 0 {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
		case <-p.closing:
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.down {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
}

// losesAnswer reports whether the answer to the current write is to be dropped. The caller holds mu.
func (p *Platform) losesAnswer() bool {
	if p.faults.answersToLose > 0 {
		p.faults.answersToLose--
		return true
	}
	return p.faults.lossRandom != nil && p.faults.lossRandom.Float64() < p.faults.answerLoss
}

// carryOut runs f with mu held and counts it as a read or a write. For a write whose answer is to be lost, it then aborts
// the connection.
func (p *Platform) carryOut(write bool, f func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := f()
	if !write {
		p.reads++
		return err
	}
	p.writes++
	if p.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	return err
}

// jsonHandler returns a handler that decodes a JSON request, runs f through carryOut and encodes the answer of f.
func jsonHandler[Req, Ans any](p *Platform, write bool, f func(Req) (Ans, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, platf.MaxBody)).Decode(&req); err != nil {
			writeAnswer(w, nil, &statusError{http.StatusBadRequest, err.Error()})
			return
		}
		p.applyRequestFaults(r)
		var ans Ans
		err := p.carryOut(write, func() (err error) {
			ans, err = f(req)
			return err
		})
		writeAnswer(w, ans, err)
	}
}

func writeAnswer(w http.ResponseWriter, ans any, err error) {
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
			return struct{}{}, &statusError{
				http.StatusConflict,
				fmt.Sprintf("record %q has version %d, but the commit requires version %d", c.Key, v, c.Version),
			}
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
	p.notifyWatch(req.Writes)
	return struct{}{}, nil
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platf.MaxBody))
	if err != nil {
		writeAnswer(w, nil, &statusError{http.StatusRequestEntityTooLarge, err.Error()})
		return
	}
	p.applyRequestFaults(r)
	err = p.carryOut(true, func() error {
		p.objects[r.URL.Query().Get("name")] = body
		return nil
	})
	writeAnswer(w, struct{}{}, err)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.applyRequestFaults(r)
	name := r.URL.Query().Get("name")
	var body []byte
	err := p.carryOut(false, func() error {
		var ok bool
		if body, ok = p.objects[name]; !ok {
			return &statusError{http.StatusNotFound, fmt.Sprintf("object %q does not exist", name)}
		}
		return nil
	})
	if err != nil {
		writeAnswer(w, nil, err)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) register(req platf.RegisterRequest) (struct{}, error) {
	if req.VM.ID == "" {
		return struct{}{}, &statusError{http.StatusBadRequest, "the VM to register has no id"}
	}
	p.vmHistory.add(time.Now(), req.VM, time.Duration(req.TTLMilli)*time.Millisecond)
	return struct{}{}, nil
}

func (p *Platform) deregister(req platf.DeregisterRequest) (struct{}, error) {
	p.vmHistory.remove(time.Now(), req.ID)
	return struct{}{}, nil
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request) {
	p.applyRequestFaults(r)
	var ans platf.VMsAnswer
	err := p.carryOut(false, func() error {
		ans.VMs = p.vmHistory.validAt(time.Now().Add(-p.faults.listLag))
		return nil
	})
	writeAnswer(w, ans, err)
}
