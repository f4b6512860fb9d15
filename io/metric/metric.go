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

// ReportInterval is how often tally reports changes; values served over HTTP are at most this old.
const ReportInterval = time.Second

// Counter is a total that only grows.
type Counter interface{ Inc(delta int64) }

// Gauge holds the last value that was set.
type Gauge interface{ Update(value float64) }

// Histogram counts values by bucket.
type Histogram interface{ Observe(value float64) }

// Set holds the metrics of a process. The methods that return a metric also work on a nil Set and then return a metric that
// discards its values.
type Set struct {
	reg      *Registry
	root     tally.Scope
	closer   io.Closer
	reporter *reporter
	metrics  sync.Map // metrics by name and label values
}

// NewSet returns an empty set for the metrics of reg, which reports changes at the given interval until Close.
func NewSet(reg *Registry, interval time.Duration) *Set {
	s := &Set{reg: reg, reporter: newReporter()}
	s.root, s.closer = tally.NewRootScope(
		tally.ScopeOptions{CachedReporter: s.reporter, OmitCardinalityMetrics: true, Separator: "_"}, interval)
	return s
}

// Counter returns the counter with the given name and label values.
func (s *Set) Counter(name string, labels ...string) Counter {
	return lookup(s, KindCounter, name, labels, Counter(nop{}), func(_ Def, scope tally.Scope, _ map[string]string) Counter {
		return scope.Counter(name)
	})
}

// Gauge returns the gauge with the given name and label values.
func (s *Set) Gauge(name string, labels ...string) Gauge {
	return lookup(s, KindGauge, name, labels, Gauge(nop{}), func(_ Def, scope tally.Scope, _ map[string]string) Gauge {
		return scope.Gauge(name)
	})
}

// Histogram returns the histogram with the given name and label values.
func (s *Set) Histogram(name string, labels ...string) Histogram {
	return lookup(s, KindHistogram, name, labels, Histogram(nop{}),
		func(d Def, scope tally.Scope, tags map[string]string) Histogram {
			return &histogram{
				tally: scope.Histogram(name, tally.ValueBuckets(d.buckets)), sum: &s.reporter.seriesFor(name, tags).sum,
			}
		})
}

// Close reports all changes once more and ends the reporting.
func (s *Set) Close() error { return s.closer.Close() }

// lookup returns the metric with the given name and label values, and creates it on first use. If the use does not match the
// registry, lookup increments MetricErrors and returns fallback, so that a wrong name on a rare path cannot end the process.
func lookup[T any](s *Set, kind Kind, name string, labels []string, fallback T,
	create func(Def, tally.Scope, map[string]string) T,
) T {
	if s == nil {
		return fallback
	}
	key := name + "\x00" + strings.Join(labels, "\x00")
	if v, ok := s.metrics.Load(key); ok {
		if m, ok := v.(T); ok {
			return m
		}
	}
	d, ok := s.reg.Lookup(name)
	if !ok || d.kind != kind || len(labels) != len(d.labels) {
		if name != MetricErrors {
			s.Counter(MetricErrors).Inc(1)
		}
		return fallback
	}
	tags := make(map[string]string, len(labels))
	for i, l := range d.labels {
		tags[l] = labels[i]
	}
	scope := s.root
	if len(tags) > 0 {
		scope = s.root.Tagged(tags)
	}
	v, _ := s.metrics.LoadOrStore(key, create(d, scope, tags))
	return v.(T)
}

type nop struct{}

func (nop) Inc(int64)       {}
func (nop) Update(float64)  {}
func (nop) Observe(float64) {}

// histogram also keeps the sum of the values, which Prometheus expects and tally does not keep. The sum already includes
// values that tally has not yet reported to the buckets.
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

// series holds the reported values of one metric with one set of label values.
type series struct {
	name    string
	tags    map[string]string
	count   atomic.Int64
	value   atomicFloat
	sum     atomicFloat
	mu      sync.Mutex
	buckets map[float64]*atomic.Int64 // by upper bound
}

func (c *series) ReportCount(v int64)       { c.count.Add(v) }
func (c *series) ReportGauge(v float64)     { c.value.bits.Store(math.Float64bits(v)) }
func (c *series) ReportTimer(time.Duration) {}
func (c *series) bucketReporter(upper float64) *bucketReporter {
	return &bucketReporter{c.bucketCount(upper)}
}

func (c *series) upperBounds() (bounds []float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for b := range c.buckets {
		bounds = append(bounds, b)
	}
	slices.Sort(bounds)
	return bounds
}

func (c *series) bucketCount(upper float64) *atomic.Int64 {
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

func (c *series) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	return c.bucketReporter(upper)
}

func (c *series) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	return c.bucketReporter(upper.Seconds())
}

type bucketReporter struct{ n *atomic.Int64 }

func (b *bucketReporter) ReportSamples(v int64) { b.n.Add(v) }

// reporter is the tally reporter that keeps the totals of all series.
type reporter struct {
	mu     sync.Mutex
	series map[string]*series
}

func newReporter() *reporter { return &reporter{series: make(map[string]*series)} }

func (r *reporter) seriesFor(name string, tags map[string]string) *series {
	key := name + formatLabels(tags)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.series[key] == nil {
		r.series[key] = &series{name: name, tags: tags, buckets: make(map[float64]*atomic.Int64)}
	}
	return r.series[key]
}

// sortedSeries returns all series, sorted by name and label values.
func (r *reporter) sortedSeries() []*series {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*series, 0, len(r.series))
	for _, c := range r.series {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *series) int {
		return cmp.Or(strings.Compare(a.name, b.name), strings.Compare(formatLabels(a.tags), formatLabels(b.tags)))
	})
	return all
}

func (r *reporter) Capabilities() tally.Capabilities { return r }
func (r *reporter) Reporting() bool                  { return true }
func (r *reporter) Tagging() bool                    { return true }
func (r *reporter) Flush()                           {}

func (r *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return r.seriesFor(name, tags)
}

func (r *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return r.seriesFor(name, tags)
}

func (r *reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return r.seriesFor(name, tags)
}

func (r *reporter) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return r.seriesFor(name, tags)
}
