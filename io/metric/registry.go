// Package metric keeps counters, gauges and histograms in tally scopes and serves them over HTTP as Prometheus text or
// JSON.
package metric

import (
	"slices"
	"strings"
)

// Kind is the kind of a metric, as written in Prometheus text and JSON.
type Kind string

// The kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Def is the definition of one metric.
type Def struct {
	name    string
	kind    Kind
	unit    string
	help    string
	labels  []string
	buckets []float64
}

// Name returns the metric's name without Prefix.
func (d Def) Name() string { return d.name }

// Kind returns the metric's kind.
func (d Def) Kind() Kind { return d.kind }

// Unit returns the unit of the values.
func (d Def) Unit() string { return d.unit }

// Help returns one sentence that describes the metric.
func (d Def) Help() string { return d.help }

// Labels returns the names of the labels, in the order in which the methods of Set take their values.
func (d Def) Labels() []string { return slices.Clone(d.labels) }

// Registry holds the definitions of metrics. It must not be changed once a Set uses it.
type Registry struct{ defs map[string]Def }

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{defs: make(map[string]Def)} }

// Counter defines a counter.
func (r *Registry) Counter(name, unit, help string, labels ...string) *Registry {
	return r.add(Def{name: name, kind: KindCounter, unit: unit, help: help, labels: labels})
}

// Gauge defines a gauge.
func (r *Registry) Gauge(name, unit, help string, labels ...string) *Registry {
	return r.add(Def{name: name, kind: KindGauge, unit: unit, help: help, labels: labels})
}

// Histogram defines a histogram. The upper bounds of its buckets are given in ascending order.
func (r *Registry) Histogram(name, unit, help string, buckets []float64, labels ...string) *Registry {
	return r.add(Def{name: name, kind: KindHistogram, unit: unit, help: help, labels: labels, buckets: buckets})
}

func (r *Registry) add(d Def) *Registry {
	r.defs[d.name] = d
	return r
}

// Lookup returns the definition of the metric with the given name, without Prefix.
func (r *Registry) Lookup(name string) (Def, bool) {
	d, ok := r.defs[name]
	return d, ok
}

// Defs returns all definitions, sorted by name.
func (r *Registry) Defs() []Def {
	defs := make([]Def, 0, len(r.defs))
	for _, d := range r.defs {
		defs = append(defs, d)
	}
	slices.SortFunc(defs, func(a, b Def) int { return strings.Compare(a.name, b.name) })
	return defs
}
