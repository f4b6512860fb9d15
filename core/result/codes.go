package result

// Result codes. Numbers are never reused; the table in docs/codes.md is generated from infos.
const (
	Internal Code = 1
	OK       Code = 2

	UnknownService   Code = 100
	AuthFailed       Code = 101
	NotPermitted     Code = 102
	Unsupported      Code = 103
	ProtocolError    Code = 104
	TooLarge         Code = 105
	TooManyCallers   Code = 106
	ShuttingDown     Code = 107
	StatementFailed  Code = 200
	QueueFull        Code = 300
	DeadlineTooClose Code = 301
	ServerBehind     Code = 302
	ServerLeaving    Code = 303
	NoServer         Code = 304
	PositionUnknown  Code = 305
	AgeNotMet        Code = 306
	NotPrimary       Code = 307
	PeerUnreachable  Code = 308
	ConnectFailed    Code = 309
	NotOwner         Code = 310
	RolledBack       Code = 311
	Overloaded       Code = 312
	OverQuota        Code = 313
	ConnectionLost   Code = 400
	QuorumNotReached Code = 401
	AnswerLost       Code = 402
	Cancelled        Code = 500
	StoreUnavailable Code = 600
	RevisionConflict Code = 601
	InvalidConfig    Code = 602
	NotFound         Code = 603
	StoreOlder       Code = 604
	NoTerm           Code = 700
	NoMajority       Code = 701
)

var infos = []Info{
	{Internal, "internal", Unknown, "XX000", "Internal error in verbenagate; the effect of the request is not known."},
	{OK, "ok", Done, "00000", "The request was carried out."},
	{UnknownService, "unknown_service", NotRun, "3D000", "No service of this name is configured."},
	{AuthFailed, "auth_failed", NotRun, "28P01", "The user name, the password or the key is wrong."},
	{NotPermitted, "not_permitted", NotRun, "42501", "The service does not admit this caller."},
	{Unsupported, "unsupported", NotRun, "0A000", "The statement uses a feature that the proxy cannot support safely."},
	{ProtocolError, "protocol_error", NotRun, "08P01", "A message does not follow the protocol; the connection is closed."},
	{TooLarge, "too_large", NotRun, "54000", "A message or an answer exceeds its size limit."},
	{TooManyCallers, "too_many_callers", NotRun, "53300", "The VM has reached its limit of caller connections."},
	{ShuttingDown, "shutting_down", NotRun, "57P01", "The VM is stopping and accepts no new work."},
	{StatementFailed, "statement_failed", Failed, "", "The endpoint refused the statement; its own SQLSTATE is passed on."},
	{QueueFull, "queue_full", NotRun, "53400", "The queue of the server is full."},
	{DeadlineTooClose, "deadline_too_close", NotRun, "57014", "The expected wait exceeds the time left until the request's deadline."},
	{ServerBehind, "server_behind", NotRun, "57P03", "No server has reached the position that the session requires."},
	{ServerLeaving, "server_leaving", NotRun, "57P03", "The server is leaving and takes no new work."},
	{NoServer, "no_server", NotRun, "57P03", "No suitable server can be reached."},
	{PositionUnknown, "position_unknown", NotRun, "57P03", "The session's required position cannot be confirmed by a majority of servers."},
	{AgeNotMet, "age_not_met", NotRun, "57P03", "No reachable server is known to have data within the declared maximum age."},
	{NotPrimary, "not_primary", NotRun, "57P03", "The server is no longer the primary."},
	{PeerUnreachable, "peer_unreachable", NotRun, "08001", "The VM that owns the server cannot be reached."},
	{ConnectFailed, "connect_failed", NotRun, "08001", "No connection to the server could be opened."},
	{NotOwner, "not_owner", NotRun, "57P03", "The VM does not own the server."},
	{RolledBack, "rolled_back", NotRun, "40001", "The transaction is known not to have taken effect; it may be retried."},
	{Overloaded, "overloaded", NotRun, "53000", "The server cannot handle the arriving work within the maximum wait of the service."},
	{OverQuota, "over_quota", NotRun, "53400", "The workspace has reached its limit of operations per second."},
	{ConnectionLost, "connection_lost", Unknown, "08007", "The connection was lost while the request ran; its effect is not known."},
	{QuorumNotReached, "quorum_not_reached", Unknown, "08007", "The commit was not confirmed by a majority of servers in time."},
	{AnswerLost, "answer_lost", Unknown, "08007", "The answer of another VM was lost; the effect is not known."},
	{Cancelled, "cancelled", Failed, "57014", "The caller cancelled the request."},
	{StoreUnavailable, "store_unavailable", NotRun, "58030", "The platform's store cannot be reached."},
	{RevisionConflict, "revision_conflict", NotRun, "40001", "The change is based on a revision that is not the current one."},
	{InvalidConfig, "invalid_config", NotRun, "22023", "The definition is not valid; every error is listed."},
	{NotFound, "not_found", NotRun, "42704", "The named object does not exist."},
	{StoreOlder, "store_older", NotRun, "58030", "The platform's store holds an older configuration than the VMs."},
	{NoTerm, "no_term", NotRun, "57P03", "No term number could be reserved for a promotion."},
	{NoMajority, "no_majority", NotRun, "57P03", "Fewer than a majority of the group's servers promised the new term."},
}
