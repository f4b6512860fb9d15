package entry

import "verbenagate/io/metric"

// Metrics of the sessions.
const (
	Statements       = "statements_total"
	StatementSeconds = "statement_seconds"
	Sessions         = "sessions"
)

// buckets spans a read in the same data centre to the longest time limit of a statement.
var buckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// Catalog adds the metrics of the sessions to a registry.
func Catalog(r *metric.Registry) *metric.Registry {
	return r.Counter(Statements, "statements", "Statements that went to a server or failed, by result.", "result").
		Histogram(StatementSeconds, "seconds", "Time from the arrival of a statement to the start of its answer.", buckets).
		Gauge(Sessions, "sessions", "Open sessions of callers.")
}
