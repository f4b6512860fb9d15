package metric

// Prefix begins the exported name of each metric of a VM.
const Prefix = "verbenagate_"

// Names of the metrics of a VM, without Prefix.
const (
	Callers             = "callers"
	CallersRefused      = "callers_refused_total"
	Units               = "units_total"
	UnitSeconds         = "unit_seconds"
	Reads               = "reads_total"
	Retries             = "retries_total"
	HedgedReads         = "hedged_reads_total"
	Barriers            = "barriers_total"
	BarrierSeconds      = "barrier_seconds"
	SessionPoints       = "session_points_total"
	QuorumSeconds       = "quorum_seconds"
	QueueLength         = "queue_length"
	QueueSeconds        = "queue_seconds"
	SlotsBusy           = "slots_busy"
	LongSlotsBusy       = "long_slots_busy"
	UnitsShed           = "shed_total"
	Connections         = "server_connections"
	ConnectionsOpened   = "server_connections_opened_total"
	ConnectionsPoisoned = "server_connections_poisoned_total"
	ServerAge           = "server_age_seconds"
	OwnedServers        = "owned_servers"
	Forwarded           = "units_forwarded_total"
	PeerBytes           = "peer_bytes_total"
	PeerConnections     = "peer_connections"
	Members             = "members"
	Promotions          = "promotions_total"
	PromotionSeconds    = "promotion_seconds"
	ConfigRevision      = "config_revision"
	StoreRequests       = "store_requests_total"
	StoreSeconds        = "store_seconds"
	OnceReplays         = "once_replays_total"
	ParseCache          = "parse_cache_total"
	LogEvents           = "log_events_total"
	MetricErrors        = "metric_errors_total"
)

// secondsBuckets are the bucket bounds of durations, in seconds. They range from below the duration of a forwarded read
// (under 1 ms) to the longest default time limit of a unit (30 s).
var secondsBuckets = []float64{
	0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30,
}

// Catalog returns the definitions of all metrics of a VM.
func Catalog() *Registry {
	return NewRegistry().
		Gauge(Callers, "connections", "Open connections of callers.", "service").
		Counter(CallersRefused, "connections", "Connections of callers refused before a session began, by result code.",
			"code").
		Counter(Units, "units", "Units of work that ended, by outcome. A unit that the server refused with an error counts as done.", "service", "class", "outcome").
		Histogram(UnitSeconds, "seconds", "Time from the arrival of a unit of work to the end of its answer.", secondsBuckets,
			"service", "class").
		Counter(Reads, "units", "Reads by the role of the server that answered.", "service", "role").
		Counter(Retries, "units", "Attempts that did not run the unit and were followed by another attempt, by result code.", "service", "code").
		Counter(HedgedReads, "units", "Reads run again on another server because the VM asked first did not answer, by the run that answered: first, second or none.", "service", "answered").
		Counter(Barriers, "barriers", "Barriers requested, by result: ok or failed. Sessions that request a barrier at the same time share one.", "service", "result").
		Histogram(BarrierSeconds, "seconds", "Time to obtain a barrier, without failed requests.", secondsBuckets, "service").
		Counter(SessionPoints, "sessions", "Session points returned by the owner of the primary, by the writes that the session must see: own (writes of its caller) or all.",
			"service", "writes").
		Histogram(QuorumSeconds, "seconds", "Time from a commit to its confirmation by a majority.", secondsBuckets, "service").
		Gauge(QueueLength, "units", "Units waiting for a slot of an owned server.", "server").
		Histogram(QueueSeconds, "seconds", "Queueing delay: time that a unit waits for a slot.", secondsBuckets, "server", "class").
		Gauge(SlotsBusy, "slots", "Busy slots of an owned server.", "server").
		Gauge(LongSlotsBusy, "slots", "Slots of an owned server held by long-running units.", "server").
		Counter(UnitsShed, "units", "Units shed because their queueing delay exceeded, or was expected to exceed, their deadline or the longest wait.", "server").
		Gauge(Connections, "connections", "Open connections to an owned server.", "server").
		Counter(ConnectionsOpened, "connections", "Connections opened to a server.", "server").
		Counter(ConnectionsPoisoned, "connections", "Connections to a server that were closed because their state was unknown.", "server").
		Gauge(ServerAge, "seconds", "Upper bound of the age of the data of a watched server; 0 if the age is unknown.", "server").
		Gauge(OwnedServers, "servers", "Servers that this VM owns.").
		Counter(Forwarded, "units", "Units forwarded to the VM that owns the server.").
		Counter(PeerBytes, "bytes", "Bytes exchanged with other VMs, by direction (sent or received) and kind of message.", "direction", "kind").
		Gauge(PeerConnections, "connections", "Open connections to other VMs.").
		Gauge(Members, "vms", "Known VMs by state.", "state").
		Counter(Promotions, "promotions", "Promotions of a server to primary that this VM led, by result: done or failed.", "service", "result").
		Histogram(PromotionSeconds, "seconds", "Time from the last status received from the old primary to the end of a successful promotion.",
			secondsBuckets, "service").
		Gauge(ConfigRevision, "revision", "Configuration revision in force.").
		Counter(StoreRequests, "requests", "Requests to the platform's store, by result code.", "operation", "code").
		Histogram(StoreSeconds, "seconds", "Time of a request to the platform's store.", secondsBuckets, "operation").
		Counter(OnceReplays, "units", "Repeated non-idempotent requests that were answered from the outcome record.", "service").
		Counter(ParseCache, "statements", "Look-ups in the statement cache, by result: hit or miss.", "result").
		Counter(LogEvents, "events", "Log events by number, including those below the log level.", "event").
		Counter(MetricErrors, "uses", "Uses of a metric that is not registered, is of another kind or has another number of labels.")
}
