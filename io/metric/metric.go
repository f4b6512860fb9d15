package metric

import (
	"cmp"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// ReportInterval is how often tally passes changes on; values served over HTTP are at most this old.
const ReportInterval = time.Second

// Counter counts events.
type Counter interface{ Inc(delta int64) }

// Gauge holds a value.
type Gauge interface{ Update(value float64) }

// Histogram counts values by size.
type Histogram interface{ Observe(value float64) }

// Set holds the metrics of a process. The methods that return a metric work on a nil Set as well; its metrics keep nothing.
type Set struct {
	reg    *Registry
	root   tally.Scope
	closer io.Closer
	rep    *reporter
	scopes sync.Map // name and label values to the metric
}

// NewSet returns an empty set for the metrics of reg. Close ends it.
func NewSet(reg *Registry, interval time.Duration) *Set {
	s := &Set{reg: reg, rep: newReporter()}
	s.root, s.closer = tally.NewRootScope(
		tally.ScopeOptions{CachedReporter: s.rep, OmitCardinalityMetrics: true, Separator: "_"}, interval)
	return s
}

// Counter returns the counter name for the given label values.
func (s *Set) Counter(name string, labels ...string) Counter {
	return lookup(s, KindCounter, name, labels, Counter(nop{}), func(_ Def, scope tally.Scope, _ map[string]string) Counter {
		return scope.Counter(name)
	})
}

// Gauge returns the gauge name for the given label values.
func (s *Set) Gauge(name string, labels ...string) Gauge {
	return lookup(s, KindGauge, name, labels, Gauge(nop{}), func(_ Def, scope tally.Scope, _ map[string]string) Gauge {
		return scope.Gauge(name)
	})
}

// Histogram returns the histogram name for the given label values.
func (s *Set) Histogram(name string, labels ...string) Histogram {
	return lookup(s, KindHistogram, name, labels, Histogram(nop{}),
		func(d Def, scope tally.Scope, tags map[string]string) Histogram {
			return &histogram{
				tally: scope.Histogram(name, tally.ValueBuckets(d.buckets)), sum: &s.rep.cell(name, tags).sum,
			}
		})
}

// Close ends the reporting after a last report.
func (s *Set) Close() error { return s.closer.Close() }

// lookup returns the metric for name and label values, made on first use. A use that does not match the registry is
// counted and gets none, so that a wrong name on a rare path cannot end the process.
func lookup[T any](s *Set, kind Kind, name string, labels []string, none T,
	create func(Def, tally.Scope, map[string]string) T,
) T {
	if s == nil {
		return none
	}
	key := name + "\x00" + strings.Join(labels, "\x00")
	if v, ok := s.scopes.Load(key); ok {
		if m, ok := v.(T); ok {
			return m
		}
	}
	d, ok := s.reg.Lookup(name)
	if !ok || d.kind != kind || len(labels) != len(d.labels) {
		if name != MetricErrors {
			s.Counter(MetricErrors).Inc(1)
		}
		return none
	}
	tags := make(map[string]string, len(labels))
	for i, l := range d.labels {
		tags[l] = labels[i]
	}
	scope := s.root
	if len(tags) > 0 {
		scope = s.root.Tagged(tags)
	}
	v, _ := s.scopes.LoadOrStore(key, create(d, scope, tags))
	return v.(T)
}

type nop struct{}

func (nop) Inc(int64)       {}
func (nop) Update(float64)  {}
func (nop) Observe(float64) {}

// histogram adds the sum of the values, which tally does not keep and Prometheus expects. The sum is ahead of the buckets
// by what tally has not reported yet.
type histogram struct {
	tally tally.Histogram
	sum   *atomicFloat
}

func (h *histogram) Observe(v float64) {
	h.sum.add(v)
	h.tally.RecordValue(v)
}

type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) add(v float64) {
	for {
		old := f.bits.Load()
		if f.bits.CompareAndSwap(old, math.Float64bits(math.Float64frombits(old)+v)) {
			return
		}
	}
}

func (f *atomicFloat) load() float64 { return math.Float64frombits(f.bits.Load()) }

// cell holds the reported values of one metric with one set of label values.
type cell struct {
	name    string
	tags    map[string]string
	count   atomic.Int64
	value   atomicFloat
	sum     atomicFloat
	mu      sync.Mutex
	buckets map[float64]*atomic.Int64 // by upper bound
}

func (c *cell) ReportCount(v int64)          { c.count.Add(v) }
func (c *cell) ReportGauge(v float64)        { c.value.bits.Store(math.Float64bits(v)) }
func (c *cell) ReportTimer(time.Duration)    {}
func (c *cell) bucket(upper float64) *bucket { return &bucket{c.bound(upper)} }
func (c *cell) upperBounds() (bounds []float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for b := range c.buckets {
		bounds = append(bounds, b)
	}
	slices.Sort(bounds)
	return bounds
}

func (c *cell) bound(upper float64) *atomic.Int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	if c.buckets[upper] == nil {
		c.buckets[upper] = new(atomic.Int64)
	}
	return c.buckets[upper]
}

func (c *cell) ValueBucket(_, upper float64) tally.CachedHistogramBucket { return c.bucket(upper) }

func (c *cell) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	return c.bucket(upper.Seconds())
}

type bucket struct{ n *atomic.Int64 }

func (b *bucket) ReportSamples(v int64) { b.n.Add(v) }

// reporter takes what tally reports and keeps the totals.
type reporter struct {
	mu    sync.Mutex
	cells map[string]*cell
}

func newReporter() *reporter { return &reporter{cells: make(map[string]*cell)} }

func (r *reporter) cell(name string, tags map[string]string) *cell {
	key := name + labelText(tags)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cells[key] == nil {
		r.cells[key] = &cell{name: name, tags: tags, buckets: make(map[float64]*atomic.Int64)}
	}
	return r.cells[key]
}

// sorted returns the cells by name and label values.
func (r *reporter) sorted() []*cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	cells := make([]*cell, 0, len(r.cells))
	for _, c := range r.cells {
		cells = append(cells, c)
	}
	slices.SortFunc(cells, func(a, b *cell) int {
		return cmp.Or(strings.Compare(a.name, b.name), strings.Compare(labelText(a.tags), labelText(b.tags)))
	})
	return cells
}

func (r *reporter) Capabilities() tally.Capabilities { return r }
func (r *reporter) Reporting() bool                  { return true }
func (r *reporter) Tagging() bool                    { return true }
func (r *reporter) Flush()                           {}

func (r *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return r.cell(name, tags)
}

func (r *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return r.cell(name, tags)
}

func (r *reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return r.cell(name, tags)
}

func (r *reporter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return r.cell(name, tags)
}
