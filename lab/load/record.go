package load

import (
	"fmt"
	"regexp"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what a caller was told.
type Outcome uint8

// The outcomes a caller can tell apart.
const (
	Done Outcome = iota
	NotRun
	Failed
	Unknown
	outcomes
)

// String returns the outcome's name.
func (o Outcome) String() string {
	names := [...]string{"done", "not run", "failed", "unknown"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

const (
	// BucketWidth is the resolution of the timeline.
	BucketWidth = 100 * time.Millisecond
	// Latencies are recorded from 1 us to 5 min with three digits.
	lowest, highest = int64(1), int64(5 * time.Minute / time.Microsecond)
	digits          = 3
)

// Phase is a part of the load with histograms of its own.
type Phase struct {
	Name string        `json:"name" yaml:"name"`
	From time.Duration `json:"from" yaml:"from"`
	To   time.Duration `json:"to" yaml:"to"`
}

// Payment is what a caller knows of one payment or transfer.
type Payment struct {
	ref     string
	kind    Kind
	outcome Outcome
	first   time.Duration
	last    time.Duration
	ended   time.Duration
}

// NewPayment returns what a caller knows of a payment.
func NewPayment(ref string, k Kind, o Outcome) Payment { return Payment{ref: ref, kind: k, outcome: o} }

// PaymentRef returns the reference of a caller's payment with this sequence number, which later reads must see.
func PaymentRef(caller int, seq int64) string { return fmt.Sprintf("p%d-%d", caller, seq) }

// At returns the payment with its times from the start of the load: when its first and its last attempt were sent, and
// when the last one ended.
func (p Payment) At(first, last, ended time.Duration) Payment {
	p.first, p.last, p.ended = first, last, ended
	return p
}

// First returns when the first attempt was sent.
func (p Payment) First() time.Duration { return p.first }

// Last returns when the last attempt was sent.
func (p Payment) Last() time.Duration { return p.last }

// Ended returns when the last attempt ended.
func (p Payment) Ended() time.Duration { return p.ended }

// Ref returns the payment's reference.
func (p Payment) Ref() string { return p.ref }

// Kind returns Pay or Transfer.
func (p Payment) Kind() Kind { return p.kind }

// Outcome returns what the caller was told last.
func (p Payment) Outcome() Outcome { return p.outcome }

// Stale is a read that missed something it must see.
type Stale struct {
	Kind   string `json:"kind"`
	Caller int    `json:"caller"`
	Want   int64  `json:"want"`
	Got    int64  `json:"got"`
}

// Bucket is one interval of the timeline.
type Bucket struct {
	Done    int `json:"done"`
	Writes  int `json:"writes"`
	NotRun  int `json:"not_run"`
	Failed  int `json:"failed"`
	Unknown int `json:"unknown"`
	// Slowest is the greatest latency of a request that arrived in the interval, in microseconds.
	Slowest int64 `json:"slowest_us"`
	// Total is the sum of the latencies of the Done requests that arrived in the interval, in microseconds.
	Total int64 `json:"total_us"`
	// Completed counts the requests that were done in the interval, whenever they arrived.
	Completed int `json:"completed"`
}

// Record collects the results of a load.
type Record struct {
	phases []Phase

	mu       sync.Mutex
	latency  map[string]map[Kind]*hdrhistogram.Histogram
	count    [kinds][outcomes]int64
	timeline []Bucket
	payments []Payment
	stale    []Stale
	checked  int64
	errors   map[string]int
	roams    int64
	moves    int64
	oracle   Oracle
	gaps     gapMeter
}

// Oracle counts reads and those of them that an oracle would send to a replica.
type Oracle struct {
	Reads    int64 `json:"reads"`
	Eligible int64 `json:"eligible"`
}

// NewRecord returns an empty record with histograms for each phase.
func NewRecord(phases []Phase) *Record {
	r := &Record{phases: phases, latency: map[string]map[Kind]*hdrhistogram.Histogram{}, errors: map[string]int{}}
	for _, p := range append([]Phase{{Name: All}}, phases...) {
		r.latency[p.Name] = map[Kind]*hdrhistogram.Histogram{}
		for _, k := range Kinds() {
			r.latency[p.Name][k] = hdrhistogram.New(lowest, highest, digits)
		}
	}
	return r
}

// All names the histograms over the whole load.
const All = "all"

// done records the end of a request. The latency counts from the planned arrival, so that a stall is charged to every
// request that it delayed.
func (r *Record) done(q Request, ended time.Duration, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[q.kind][o]++
	if o == Done {
		r.bucket(ended).Completed++
	}
	b := r.bucket(q.at)
	took := max((ended - q.at).Microseconds(), lowest)
	switch o {
	case Done:
		b.Done++
		b.Slowest = max(b.Slowest, took)
		b.Total += took
		r.observe(q, took)
		if q.kind == Pay || q.kind == Transfer {
			b.Writes++
			r.gaps.add(ended)
		}
	case NotRun:
		b.NotRun++
	case Failed:
		b.Failed++
	case Unknown:
		b.Unknown++
	}
}

func (r *Record) bucket(at time.Duration) *Bucket {
	n := int(at / BucketWidth)
	for len(r.timeline) <= n {
		r.timeline = append(r.timeline, Bucket{})
	}
	return &r.timeline[n]
}

// observe adds to the histograms; the values are within their range, so there is no error to handle.
func (r *Record) observe(q Request, took int64) {
	took = min(took, highest)
	_ = r.latency[All][q.kind].RecordValue(took)
	for _, p := range r.phases {
		if q.at >= p.From && q.at < p.To {
			_ = r.latency[p.Name][q.kind].RecordValue(took)
		}
	}
}

// Paid records what a caller knows of a payment.
func (r *Record) Paid(p Payment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.payments = append(r.payments, p)
}

// Compared records a read that had to see want and saw got.
func (r *Record) Compared(k Kind, caller int, want, got int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checked++
	if got < want {
		r.stale = append(r.stale, Stale{Kind: k.String(), Caller: caller, Want: want, Got: got})
	}
}

// address matches an address of a server or of a connection, which is left out so that errors of one cause are counted
// together.
var address = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)

func (r *Record) failure(text string) {
	text = address.ReplaceAllString(text, "ADDR")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors[text]++
}

func (r *Record) roamed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roams++
}

// moved counts a caller that connected again because its VM ended the connection between two requests.
func (r *Record) moved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moves++
}

func (r *Record) readable(k Kind, eligible bool) {
	if k == Pay || k == Transfer {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oracle.Reads++
	if eligible {
		r.oracle.Eligible++
	}
}

// Histogram returns the latencies of some kinds in a phase, in microseconds.
func (r *Record) Histogram(phase string, ks ...Kind) *hdrhistogram.Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := hdrhistogram.New(lowest, highest, digits)
	for _, k := range ks {
		if part := r.latency[phase][k]; part != nil {
			h.Merge(part)
		}
	}
	return h
}

// NewHistogram returns an empty histogram of latencies in microseconds with the range and precision of a Record.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }

// Progress is what a load has done so far.
type Progress struct {
	Done, NotRun, Failed, Unknown int64
}

// Progress returns the totals so far.
func (r *Record) Progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	var p Progress
	for _, c := range r.count {
		p.Done += c[Done]
		p.NotRun += c[NotRun]
		p.Failed += c[Failed]
		p.Unknown += c[Unknown]
	}
	return p
}

// Completed returns how many requests were done between from and to.
func (r *Record) Completed(from, to time.Duration) int {
	return r.sum(from, to, func(b Bucket) int { return b.Completed })
}

// Undone returns how many requests that arrived between from and to ended other than done.
func (r *Record) Undone(from, to time.Duration) int {
	return r.sum(from, to, func(b Bucket) int { return b.NotRun + b.Failed + b.Unknown })
}

func (r *Record) sum(from, to time.Duration, count func(Bucket) int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for i, b := range r.timeline {
		if at := time.Duration(i) * BucketWidth; at >= from && at < to {
			n += count(b)
		}
	}
	return n
}

// Payments returns all payments and transfers.
func (r *Record) Payments() []Payment {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Payment(nil), r.payments...)
}

// gapMeter finds the longest time without an acknowledged write from a time on.
type gapMeter struct{ ended []time.Duration }

func (g *gapMeter) add(at time.Duration) { g.ended = append(g.ended, at) }

// after returns the time from at to the first acknowledgement after it.
func (g *gapMeter) after(at time.Duration) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, e := range g.ended {
		if e > at && (!found || e < best) {
			best, found = e, true
		}
	}
	return best - at, found
}

// longest returns the longest time without an acknowledged write between from and to.
func (g *gapMeter) longest(from, to time.Duration) time.Duration {
	last, gap := from, time.Duration(0)
	for _, e := range sorted(g.ended) {
		if e < from {
			continue
		}
		if e > to {
			break
		}
		gap, last = max(gap, e-last), e
	}
	return max(gap, to-last)
}

// FirstWriteAfter returns the time from at to the first write acknowledged after it, and whether there was one.
func (r *Record) FirstWriteAfter(at time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gaps.after(at)
}

// LongestWriteGap returns the longest time without an acknowledged write between from and to.
func (r *Record) LongestWriteGap(from, to time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gaps.longest(from, to)
}

// Recovery returns the time from at to the end of the longest time without an acknowledged write between at and until,
// and whether a write was acknowledged after it. Acknowledgements of writes that a primary had finished before it
// crashed at that time are passed over in this way.
func (r *Record) Recovery(at, until time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, gap, end := at, time.Duration(-1), time.Duration(0)
	for _, e := range sorted(r.gaps.ended) {
		if e <= at {
			continue
		}
		if e > until {
			break
		}
		if e-last > gap {
			gap, end = e-last, e
		}
		last = e
	}
	if gap < 0 || until-last > gap {
		return until - at, false
	}
	return end - at, true
}
