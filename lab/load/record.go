package load

import (
	"fmt"
	"regexp"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the outcome of a request as its caller saw it.
type Outcome uint8

// The outcomes that a caller can tell apart.
const (
	Done Outcome = iota
	NotRun
	Failed
	Unknown // the request may have taken effect
	outcomeCount
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
	// Latencies are recorded from 1 us to 5 min with three significant digits.
	minLatencyMicros, maxLatencyMicros = int64(1), int64(5 * time.Minute / time.Microsecond)
	latencyDigits                      = 3
)

// Phase is a part of the load that has its own histograms. From and To are times since the start of the load.
type Phase struct {
	Name string        `json:"name" yaml:"name"`
	From time.Duration `json:"from" yaml:"from"`
	To   time.Duration `json:"to" yaml:"to"`
}

// Payment is one payment or transfer as its caller saw it.
type Payment struct {
	ref       string
	kind      Kind
	outcome   Outcome
	firstSent time.Duration
	lastSent  time.Duration
	ended     time.Duration
}

// NewPayment returns a payment without times; see At.
func NewPayment(ref string, k Kind, o Outcome) Payment { return Payment{ref: ref, kind: k, outcome: o} }

// PaymentRef returns the reference of a caller's payment. Later reads of the caller must see this or a higher sequence
// number.
func PaymentRef(caller int, seq int64) string { return fmt.Sprintf("p%d-%d", caller, seq) }

// At returns the payment with the times when its first and last attempts were sent and when the last attempt ended,
// counted from the start of the load.
func (p Payment) At(firstSent, lastSent, ended time.Duration) Payment {
	p.firstSent, p.lastSent, p.ended = firstSent, lastSent, ended
	return p
}

// First returns when the first attempt was sent.
func (p Payment) First() time.Duration { return p.firstSent }

// Last returns when the last attempt was sent.
func (p Payment) Last() time.Duration { return p.lastSent }

// Ended returns when the last attempt ended.
func (p Payment) Ended() time.Duration { return p.ended }

// Ref returns the payment's reference.
func (p Payment) Ref() string { return p.ref }

// Kind returns Pay or Transfer.
func (p Payment) Kind() Kind { return p.kind }

// Outcome returns the outcome over all attempts.
func (p Payment) Outcome() Outcome { return p.outcome }

// Stale is a read that returned Got, an older value than the Want that it had to see.
type Stale struct {
	Kind   string `json:"kind"`
	Caller int    `json:"caller"`
	Want   int64  `json:"want"`
	Got    int64  `json:"got"`
}

// Bucket counts the requests of one interval of the timeline. Unless said otherwise, a request counts in the interval of
// its arrival.
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
	// Completed counts the Done requests that ended in the interval, whenever they arrived.
	Completed int `json:"completed"`
}

// Record collects the results of a load.
type Record struct {
	phases []Phase

	mu        sync.Mutex
	latency   map[string]map[Kind]*hdrhistogram.Histogram
	count     [kindCount][outcomeCount]int64
	timeline  []Bucket
	payments  []Payment
	stale     []Stale
	checked   int64
	errors    map[string]int
	roams     int64
	moves     int64
	oracle    Oracle
	writeAcks writeAckTimes
}

// Oracle counts all reads and those that an oracle could send to a replica.
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
			r.latency[p.Name][k] = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
		}
	}
	return r
}

// All is the phase whose histograms cover the whole load.
const All = "all"

// recordEnd records the end of a request. Latency is measured from the planned arrival, so that a stall adds to the
// latency of each request that it delayed.
func (r *Record) recordEnd(q Request, ended time.Duration, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[q.kind][o]++
	if o == Done {
		r.bucket(ended).Completed++
	}
	b := r.bucket(q.at)
	latencyMicros := max((ended - q.at).Microseconds(), minLatencyMicros)
	switch o {
	case Done:
		b.Done++
		b.Slowest = max(b.Slowest, latencyMicros)
		b.Total += latencyMicros
		r.recordLatency(q, latencyMicros)
		if q.kind == Pay || q.kind == Transfer {
			b.Writes++
			r.writeAcks.add(ended)
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

// recordLatency adds a latency to the histograms. It ignores their errors, since the value is within their range.
func (r *Record) recordLatency(q Request, latencyMicros int64) {
	latencyMicros = min(latencyMicros, maxLatencyMicros)
	_ = r.latency[All][q.kind].RecordValue(latencyMicros)
	for _, p := range r.phases {
		if q.at >= p.From && q.at < p.To {
			_ = r.latency[p.Name][q.kind].RecordValue(latencyMicros)
		}
	}
}

// Paid records a payment or transfer that has ended.
func (r *Record) Paid(p Payment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.payments = append(r.payments, p)
}

// Compared records a read that had to see at least the value want and returned got.
func (r *Record) Compared(k Kind, caller int, want, got int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checked++
	if got < want {
		r.stale = append(r.stale, Stale{Kind: k.String(), Caller: caller, Want: want, Got: got})
	}
}

// addressPattern matches the address of a server or a connection. Error texts are counted without addresses, so that
// errors with one cause are counted together.
var addressPattern = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)

func (r *Record) countError(text string) {
	text = addressPattern.ReplaceAllString(text, "ADDR")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors[text]++
}

// countRoam counts a caller that reconnected to another VM because the plan says so.
func (r *Record) countRoam() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roams++
}

// countMove counts a caller that reconnected because its VM closed the connection between two requests.
func (r *Record) countMove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moves++
}

// countOracleRead counts a request for Oracle unless it is a write.
func (r *Record) countOracleRead(k Kind, eligible bool) {
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

// Histogram returns the latencies of the given kinds in a phase, in microseconds.
func (r *Record) Histogram(phase string, ks ...Kind) *hdrhistogram.Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	for _, k := range ks {
		if part := r.latency[phase][k]; part != nil {
			h.Merge(part)
		}
	}
	return h
}

// NewHistogram returns an empty histogram of latencies in microseconds with the range and precision of a Record.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

// Progress has the number of requests that have ended so far, by outcome.
type Progress struct {
	Done, NotRun, Failed, Unknown int64
}

// Progress returns the numbers of requests that have ended so far, over all kinds.
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

// Completed returns how many requests ended as Done between from and to.
func (r *Record) Completed(from, to time.Duration) int {
	return r.sumBuckets(from, to, func(b Bucket) int { return b.Completed })
}

// Undone returns how many requests that arrived between from and to ended as NotRun, Failed or Unknown.
func (r *Record) Undone(from, to time.Duration) int {
	return r.sumBuckets(from, to, func(b Bucket) int { return b.NotRun + b.Failed + b.Unknown })
}

func (r *Record) sumBuckets(from, to time.Duration, count func(Bucket) int) int {
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

// writeAckTimes has the times at which writes were acknowledged, in no order.
type writeAckTimes struct{ times []time.Duration }

func (g *writeAckTimes) add(at time.Duration) { g.times = append(g.times, at) }

// untilFirstAfter returns the time from at to the first later acknowledgement, and whether there is one.
func (g *writeAckTimes) untilFirstAfter(at time.Duration) (time.Duration, bool) {
	firstAck, found := time.Duration(0), false
	for _, e := range g.times {
		if e > at && (!found || e < firstAck) {
			firstAck, found = e, true
		}
	}
	return firstAck - at, found
}

// longestGap returns the longest time without an acknowledged write between from and to.
func (g *writeAckTimes) longestGap(from, to time.Duration) time.Duration {
	last, gap := from, time.Duration(0)
	for _, e := range sorted(g.times) {
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

// FirstWriteAfter returns the time from at to the first later acknowledgement of a write, and whether there was one.
func (r *Record) FirstWriteAfter(at time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writeAcks.untilFirstAfter(at)
}

// LongestWriteGap returns the longest time without an acknowledged write between from and to.
func (r *Record) LongestWriteGap(from, to time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writeAcks.longestGap(from, to)
}

// Recovery finds the longest gap without an acknowledged write between at and until. It returns the time from at to the
// end of this gap, and whether an acknowledged write ended it. The first acknowledgement after a crash at that time would
// not do as the end, because it may belong to a write that the old primary had finished before it crashed.
func (r *Record) Recovery(at, until time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, gap, end := at, time.Duration(-1), time.Duration(0)
	for _, e := range sorted(r.writeAcks.times) {
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
