package event

// Log events. Each layer has its own range of a hundred numbers.
const (
	NodeStarted        ID = 100
	NodeStopped        ID = 101
	NodeFailed         ID = 102
	KeysLoaded         ID = 103
	KeysRefused        ID = 104
	FilesLimit         ID = 105
	LinesDropped       ID = 106
	SettingsRead       ID = 107
	PanicRecovered     ID = 108
	CallerRefused      ID = 200
	CallerProtocol     ID = 201
	CallerClosed       ID = 202
	StatementDone      ID = 203
	CallerTurnedAway   ID = 204
	QuotaRefused       ID = 205
	RouteRetry         ID = 300
	RouteNoBarrier     ID = 301
	RouteShares        ID = 302
	ManyChoices        ID = 303
	EndptDown          ID = 400
	EndptUp            ID = 401
	EndptPoisoned      ID = 402
	EndptLeaving       ID = 403
	EndptEvicted       ID = 404
	EndptNotEvicted    ID = 405
	ServerSeen         ID = 406
	ServerGone         ID = 407
	ServerRefused      ID = 408
	ConnOpened         ID = 409
	ConnReplaced       ID = 410
	PeerConnected      ID = 500
	PeerLost           ID = 501
	PeerBadMessage     ID = 502
	SeedsUnreachable   ID = 503
	MemberSuspect      ID = 600
	MemberDead         ID = 601
	MemberAlive        ID = 602
	OwnerChanged       ID = 603
	MemberLeaving      ID = 604
	OwnerFailed        ID = 605
	ForwardFailed      ID = 606
	HolderChanged      ID = 607
	HolderFailed       ID = 608
	PrimarySilent      ID = 700
	PromotionStarted   ID = 701
	PromotionDone      ID = 702
	PromotionFailed    ID = 703
	TermReserved       ID = 704
	LeaderChanged      ID = 705
	LeaseRenewed       ID = 706
	LeaseLost          ID = 707
	LeadersKnown       ID = 708
	ReplicasBehind     ID = 709
	AgentChanged       ID = 710
	AgentFailed        ID = 711
	ContactLost        ID = 712
	ContactRegained    ID = 713
	DataCentreLost     ID = 714
	DataCentreRegained ID = 715
	PromotionHeld      ID = 716
	MembersRefused     ID = 717
	AgentInDoubt       ID = 718
	ChangeMissed       ID = 719
	RecordRewritten    ID = 720
	EraChanged         ID = 721
	EntryHeldBack      ID = 722
	PrimariesWait      ID = 723
	PrimariesUsable    ID = 724
	FirstList          ID = 725
	ConfigApplied      ID = 800
	ConfigOlder        ID = 801
	ConfigRefused      ID = 802
	ConfigFromPeer     ID = 803
	StoreDown          ID = 900
	StoreUp            ID = 901
	StoreAnswerLost    ID = 902
	AdminCall          ID = 1000
	DrainPhase         ID = 1100
	DrainTimeout       ID = 1101
	StatementCut       ID = 1102
	InvariantViolated  ID = 1200
)

var infos = []Info{
	{NodeStarted, LayerNode, "VM started", "None."},
	{NodeStopped, LayerNode, "VM stopped", "None."},
	{NodeFailed, LayerNode, "VM could not start", "Correct the settings that the error names."},
	{KeysLoaded, LayerNode, "certificate files loaded again", "None."},
	{KeysRefused, LayerNode, "changed certificate files rejected", "Replace the files with a certificate and its matching key; the previous certificate stays in use."},
	{FilesLimit, LayerNode, "limit of open files lowers the limit of callers", "Raise the process's limit of open files, or lower limits.callers."},
	{LinesDropped, LayerNode, "log lines dropped", "Check the counter of events; lines are dropped while they are logged faster than standard output accepts them."},
	{SettingsRead, LayerNode, "settings file checked again", "Correct the errors, if any; changes take effect after a restart."},
	{PanicRecovered, LayerNode, "panic recovered", "Report a bug with the stack; the connection concerned was closed and the others are not affected."},
	{CallerRefused, LayerCaller, "caller refused", "Check the caller's user, password and service if it should have access."},
	{CallerProtocol, LayerCaller, "caller violated the protocol", "Identify the client; its connection was closed and other callers are not affected."},
	{CallerClosed, LayerCaller, "caller connection closed", "None."},
	{StatementDone, LayerCaller, "statement ended", "Look up the result code; the fields say which server ran it and for how long."},
	{CallerTurnedAway, LayerCaller, "caller turned away", "See \"Memory is high\" in OPERATIONS.md; others counts callers since the last such line."},
	{QuotaRefused, LayerCaller, "operations refused for the quota of their workspace", "None for over_limit, unless the limit in the configuration is too low; for no_holder, look for the holders of the workspace's portions (607, 608)."},
	{RouteRetry, LayerRoute, "unit of work retried", "None, unless the rate is high; then check the servers that it names."},
	{RouteNoBarrier, LayerRoute, "barrier for a session not confirmed", "Check which servers of the group can be reached from this data centre."},
	{RouteShares, LayerRoute, "shares of the servers in reads", "None; the fields show the load that this VM knows of each server, how old that is, and how many units it has sent there."},
	{ManyChoices, LayerRoute, "statement needed many attempts to get a server", "Look for the group's primary being replaced (705) and for unreachable servers."},
	{EndptDown, LayerEndpoint, "server unreachable", "Check the server and the network between it and this VM."},
	{EndptUp, LayerEndpoint, "server reachable", "None."},
	{EndptPoisoned, LayerEndpoint, "server connection in unknown state closed", "None, unless the rate is high."},
	{EndptLeaving, LayerEndpoint, "server is leaving", "None; new work goes to other servers."},
	{EndptEvicted, LayerEndpoint, "connections of dead VM ended", "None; if the VM runs and has only lost its connections to other VMs, requests of its callers failed once."},
	{EndptNotEvicted, LayerEndpoint, "connections of dead VM not ended", "Allow the account of the VMs to end its own sessions on the server (pg_terminate_backend); until then the sessions hold their locks."},
	{ServerSeen, LayerEndpoint, "server registered or changed", "None."},
	{ServerGone, LayerEndpoint, "server removed from the register", "Check the server if it was not stopped on purpose."},
	{ServerRefused, LayerEndpoint, "invalid server entry in the register", "Find the program that wrote the entry; the other servers are not affected."},
	{ConnOpened, LayerEndpoint, "connection to server opened", "None; if there are many for each statement, see the connections of the server in /state."},
	{ConnReplaced, LayerEndpoint, "idle connection closed for another workspace", "None, unless the rate is high; then raise the server's connection limit."},
	{PeerConnected, LayerPeer, "connected to VM", "None."},
	{PeerLost, LayerPeer, "connection to VM lost", "Check the VM if it was not stopped on purpose."},
	{PeerBadMessage, LayerPeer, "message from VM refused", "Check that both VMs run compatible versions."},
	{SeedsUnreachable, LayerPeer, "no seed answers and no other VM is known", "Check the addresses in peers.seeds; they are retried."},
	{MemberSuspect, LayerMember, "VM suspected to have failed", "None; the VM may be slow."},
	{MemberDead, LayerMember, "VM considered dead", "Check the VM if it was not stopped on purpose."},
	{MemberAlive, LayerMember, "VM alive", "None."},
	{OwnerChanged, LayerMember, "ownership of server changed", "None."},
	{MemberLeaving, LayerMember, "VM is leaving", "None; it finishes its work and others take over its servers."},
	{OwnerFailed, LayerMember, "owner of servers does not answer", "None, unless it repeats; then check that VM and its network path."},
	{ForwardFailed, LayerMember, "forwarded request refused or failed", "Look up the result code; the line of the VM that forwarded the request says what its caller was told."},
	{HolderChanged, LayerMember, "portions of quotas held by this VM changed", "None."},
	{HolderFailed, LayerMember, "holder of portions of quotas does not answer", "None, unless it repeats; then check that VM and its network path."},
	{PrimarySilent, LayerFailover, "primary does not report its status", "Check the primary; a promotion follows if other VMs agree."},
	{PromotionStarted, LayerFailover, "promotion started", "None."},
	{PromotionDone, LayerFailover, "promotion done", "Find out why the old primary failed."},
	{PromotionFailed, LayerFailover, "promotion failed", "The promotion is retried; check the store and the servers that the event names."},
	{TermReserved, LayerFailover, "term reserved", "None."},
	{LeaderChanged, LayerFailover, "record of a primary changed", "None."},
	{LeaseRenewed, LayerFailover, "lease on the primaries' records obtained", "None."},
	{LeaseLost, LayerFailover, "lease on the primaries' records expired", "Check the network path to the platform's store; work that needs a primary is refused until the lease is renewed."},
	{LeadersKnown, LayerFailover, "servers surveyed before a promotion", "None."},
	{ReplicasBehind, LayerFailover, "all replicas lag far behind the primary", "Check the replicas; the primary is replaced by one of them so that the group has a replica that serves reads."},
	{AgentChanged, LayerFailover, "store calls go through another VM", "None."},
	{AgentFailed, LayerFailover, "agent VM cannot call the store", "None, unless it repeats; then check that VM and its network path to the store."},
	{ContactLost, LayerFailover, "no VM of another data centre answers", "Check the network between the data centres; the VM is not ready if most primaries are in other data centres."},
	{ContactRegained, LayerFailover, "VMs of other data centres answer", "None."},
	{DataCentreLost, LayerFailover, "no VM of a data centre answers", "Check the network to that data centre; reads use servers elsewhere."},
	{DataCentreRegained, LayerFailover, "VMs of a data centre answer again", "None."},
	{PromotionHeld, LayerFailover, "promotion waits for a server that may have acknowledged commits", "Start the servers that are missing; after 30 s without them the best of the others is promoted."},
	{MembersRefused, LayerFailover, "invalid row among the leases of VMs", "Find the program that wrote the row; VMs are not affected, but changes of a primary take the duration of a lease while it exists."},
	{AgentInDoubt, LayerFailover, "renewal by agent VM unanswered; the VM reads the configuration from the store itself", "None, unless it repeats; then check that VM and its network path to the store."},
	{ChangeMissed, LayerFailover, "a renewal showed that a change of the configuration was missed; the store is asked again", "None, unless it repeats; then check the connections of this VM to the store."},
	{RecordRewritten, LayerFailover, "the record of a primary that the store had lost was written again", "None: the store came back from a copy (721)."},
	{EraChanged, LayerFailover, "the store has come back from a copy; everything is read again", "Check that operators have written their configuration again. Primaries are replaced again after 6.1 s."},
	{EntryHeldBack, LayerFailover, "the entry of a server in a copy of the store is older than what is known of the server, and was not used", "None, unless the server is in use: then it has not written its entry since."},
	{PrimariesWait, LayerFailover, "no primary is used until the leases of earlier eras of the store have ended", "None; the field left says how long that takes. If it comes back, check whether the store comes back from a copy again and again (721)."},
	{PrimariesUsable, LayerFailover, "primaries may be used again after the store came back from a copy", "None."},
	{FirstList, LayerFailover, "first list of VMs since the store came back from a copy", "None; kept counts the VMs that the list lacks and that stay on the roster, since they have not had time to renew their leases."},
	{ConfigApplied, LayerConfig, "configuration revision in force", "None."},
	{ConfigOlder, LayerConfig, "store holds an older configuration", "Find out why the store holds an older state; the VMs keep the newer configuration."},
	{ConfigRefused, LayerConfig, "configuration change refused", "Correct the errors listed, or base the change on the current revision."},
	{ConfigFromPeer, LayerConfig, "configuration taken from VM", "None."},
	{StoreDown, LayerPlatform, "platform's store unreachable", "Check the platform; the VMs continue to serve callers."},
	{StoreUp, LayerPlatform, "platform's store reachable", "None."},
	{StoreAnswerLost, LayerPlatform, "answer of the store lost", "None; the record is read again."},
	{AdminCall, LayerAdmin, "operator call", "None."},
	{DrainPhase, LayerDrain, "graceful shutdown phase", "None."},
	{DrainTimeout, LayerDrain, "graceful shutdown reached its time limit", "Check the work that is listed as still running."},
	{StatementCut, LayerDrain, "statement still ran when the VM ended; its caller was told that the outcome is unknown", "Compare the timeout of the route with the grace period."},
	{InvariantViolated, LayerInvariant, "invariant violated", "Report a bug with the state dump."},
}
