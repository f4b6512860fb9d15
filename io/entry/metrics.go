package entry

import "verbenagate/io/metric"

// Names of the metrics of sessions and their statements.
const (
	Statements       = "statements_total"
	StatementSeconds = "statement_seconds"
	Sessions         = "sessions"
	Panics           = "panics_total"
	// CallersTurnedAway and CallerBytes show what callers make the VM hold.
	CallersTurnedAway = "callers_turned_away_total"
	CallerBytes       = "caller_bytes"
	ConnsOpened       = "server_connections_opened_total"
	ConnsReplaced     = "server_connections_replaced_total"
	Choices           = "server_choices_total"
	// StoreEras, StoreWaits, RecordsRewritten and EntriesHeldBack show what followed from a store that came back from a copy.
	StoreEras        = "store_eras_total"
	StoreWaits       = "store_waits_total"
	RecordsRewritten = "store_records_rewritten_total"
	EntriesHeldBack  = "store_entries_held_back_total"
)

// latencyBuckets ranges from a read in the same data centre to the longest statement timeout.
var latencyBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// Catalog registers the metrics of sessions and their statements in r, and returns r.
func Catalog(r *metric.Registry) *metric.Registry {
	return r.Counter(Statements, "statements", "Statements that went to a server or failed, by result.", "result").
		Histogram(StatementSeconds, "seconds", "Time from the arrival of a statement to the start of its answer.", latencyBuckets).
		Gauge(Sessions, "sessions", "Open sessions of callers.").
		Counter(CallersTurnedAway, "callers", "Callers that were refused, or whose connection was closed, to keep within the limits, by cause.",
			"cause").
		Gauge(CallerBytes, "bytes", "Memory counted for messages, answers and the state of sessions.").
		Counter(Panics, "panics", "Panics that ended one connection or one call.").
		Counter(ConnsOpened, "connections", "Connections opened to servers.").
		Counter(ConnsReplaced, "connections", "Idle connections to servers closed for another workspace.").
		Counter(Choices, "choices", "Attempts of statements to get a server.").
		Counter(StoreEras, "eras", "Times that this VM has heard that the store came back from a copy.").
		Counter(StoreWaits, "waits", "Times that this VM had a lease and used no primary yet, as leases of the time before the store came back may have gone on.").
		Counter(RecordsRewritten, "records", "Records of primaries that the store had lost, written again by this VM.").
		Counter(EntriesHeldBack, "entries", "Entries of servers in a copy of the store that were not used, since newer ones are known.")
}
