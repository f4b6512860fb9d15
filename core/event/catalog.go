package event

// Log events. Each layer has its own hundred.
const (
	NodeStarted       ID = 100
	NodeStopped       ID = 101
	NodeFailed        ID = 102
	KeysLoaded        ID = 103
	KeysRefused       ID = 104
	FilesLimit        ID = 105
	LinesDropped      ID = 106
	SettingsRead      ID = 107
	CallerRefused     ID = 200
	CallerProtocol    ID = 201
	CallerClosed      ID = 202
	StatementDone     ID = 203
	RouteRetry        ID = 300
	RouteNoBarrier    ID = 301
	EndptDown         ID = 400
	EndptUp           ID = 401
	EndptPoisoned     ID = 402
	EndptLeaving      ID = 403
	EndptEvicted      ID = 404
	EndptNotEvicted   ID = 405
	ServerSeen        ID = 406
	ServerGone        ID = 407
	ServerRefused     ID = 408
	PeerConnected     ID = 500
	PeerLost          ID = 501
	PeerBadMessage    ID = 502
	SeedsUnreachable  ID = 503
	MemberSuspect     ID = 600
	MemberDead        ID = 601
	MemberAlive       ID = 602
	OwnerChanged      ID = 603
	MemberLeaving     ID = 604
	PrimarySilent     ID = 700
	PromotionStarted  ID = 701
	PromotionDone     ID = 702
	PromotionFailed   ID = 703
	TermReserved      ID = 704
	LeaderChanged     ID = 705
	LeaseRenewed      ID = 706
	LeaseLost         ID = 707
	LeadersKnown      ID = 708
	ReplicasBehind    ID = 709
	AgentChanged      ID = 710
	AgentFailed       ID = 711
	ContactLost       ID = 712
	ContactRegained   ID = 713
	ConfigApplied     ID = 800
	ConfigOlder       ID = 801
	ConfigRefused     ID = 802
	ConfigFromPeer    ID = 803
	StoreDown         ID = 900
	StoreUp           ID = 901
	StoreAnswerLost   ID = 902
	AdminCall         ID = 1000
	DrainPhase        ID = 1100
	DrainTimeout      ID = 1101
	InvariantViolated ID = 1200
)

var infos = []Info{
	{NodeStarted, LayerNode, "VM started", "None."},
	{NodeStopped, LayerNode, "VM stopped", "None."},
	{NodeFailed, LayerNode, "VM could not start", "Correct the settings that the error names."},
	{KeysLoaded, LayerNode, "certificate files loaded again", "None."},
	{KeysRefused, LayerNode, "changed certificate files not loaded", "Replace the files by a certificate and its own key; the old ones are in use."},
	{FilesLimit, LayerNode, "limit of open files lowers the limit of callers", "Raise the process's limit of open files, or lower limits.callers."},
	{LinesDropped, LayerNode, "log lines dropped", "Read the counter of events; lines are left out while more are logged than standard output takes."},
	{SettingsRead, LayerNode, "settings file checked again", "Correct the errors, if any; changes are in force after a restart."},
	{CallerRefused, LayerCaller, "caller refused", "Check the caller's user, password and service if it should have access."},
	{CallerProtocol, LayerCaller, "caller broke the protocol", "Find the client; the connection was closed and others are not affected."},
	{CallerClosed, LayerCaller, "caller connection closed", "None."},
	{StatementDone, LayerCaller, "statement ended", "Look up the result code; the fields say which server ran it and for how long."},
	{RouteRetry, LayerRoute, "unit of work retried", "None, unless the rate is high; then look at the servers it names."},
	{RouteNoBarrier, LayerRoute, "no barrier for a new session", "Check which servers of the group can be reached from this data centre."},
	{EndptDown, LayerEndpt, "server unreachable", "Check the server and the network between it and this VM."},
	{EndptUp, LayerEndpt, "server reachable", "None."},
	{EndptPoisoned, LayerEndpt, "server connection in doubt closed", "None, unless the rate is high."},
	{EndptLeaving, LayerEndpt, "server is leaving", "None; new work goes elsewhere."},
	{EndptEvicted, LayerEndpt, "connections of dead VM ended", "None; if the VM lives and only its links to other VMs are cut, its callers saw requests fail once."},
	{EndptNotEvicted, LayerEndpt, "connections of dead VM not ended", "Let the account of the VMs end its own sessions on the server (pg_terminate_backend); until then they hold their locks."},
	{ServerSeen, LayerEndpt, "server registered or changed", "None."},
	{ServerGone, LayerEndpt, "server removed from the register", "Check the server if it was not stopped on purpose."},
	{ServerRefused, LayerEndpt, "entry of the register cannot be used", "Find the program that wrote the entry; the other servers are not affected."},
	{PeerConnected, LayerPeer, "connected to VM", "None."},
	{PeerLost, LayerPeer, "connection to VM lost", "Check the VM if it was not stopped on purpose."},
	{PeerBadMessage, LayerPeer, "message from VM refused", "Check that both VMs run compatible versions."},
	{SeedsUnreachable, LayerPeer, "no seed answers and no other VM is known", "Check the addresses in peers.seeds; they are tried again."},
	{MemberSuspect, LayerMember, "VM suspected", "None; the VM may be slow."},
	{MemberDead, LayerMember, "VM considered dead", "Check the VM if it was not stopped on purpose."},
	{MemberAlive, LayerMember, "VM alive", "None."},
	{OwnerChanged, LayerMember, "ownership of server changed", "None."},
	{MemberLeaving, LayerMember, "VM is leaving", "None; it finishes its work and others take over its servers."},
	{PrimarySilent, LayerFailov, "primary gives no status", "Check the primary; a promotion follows if other VMs agree."},
	{PromotionStarted, LayerFailov, "promotion started", "None."},
	{PromotionDone, LayerFailov, "promotion done", "Find out why the old primary failed."},
	{PromotionFailed, LayerFailov, "promotion failed", "It is tried again; check the store and the servers it names."},
	{TermReserved, LayerFailov, "term reserved", "None."},
	{LeaderChanged, LayerFailov, "record of a primary changed", "None."},
	{LeaseRenewed, LayerFailov, "lease on the primaries' records obtained", "None."},
	{LeaseLost, LayerFailov, "lease on the primaries' records ended", "Check the path to the platform's store; work that needs a primary is refused until the lease is renewed."},
	{LeadersKnown, LayerFailov, "servers asked before a promotion", "None."},
	{ReplicasBehind, LayerFailov, "all replicas apply the log far behind", "Check the replicas; the primary is replaced by one of them so that the group has a replica that serves reads."},
	{AgentChanged, LayerFailov, "calls of the store go through another VM", "None."},
	{AgentFailed, LayerFailov, "agent cannot make calls of the store", "None, unless it repeats; then check that VM and its path to the store."},
	{ContactLost, LayerFailov, "no VM of another data centre answers", "Check the network between the data centres; the VM is not ready if most primaries are elsewhere."},
	{ContactRegained, LayerFailov, "VMs of other data centres answer", "None."},
	{ConfigApplied, LayerConfig, "configuration revision in force", "None."},
	{ConfigOlder, LayerConfig, "store holds an older configuration", "Find out why the store went back; the VMs keep the newer one."},
	{ConfigRefused, LayerConfig, "configuration change refused", "Correct the errors listed, or base the change on the current revision."},
	{ConfigFromPeer, LayerConfig, "configuration taken from VM", "None."},
	{StoreDown, LayerPlatf, "platform's store unreachable", "Check the platform; serving goes on."},
	{StoreUp, LayerPlatf, "platform's store reachable", "None."},
	{StoreAnswerLost, LayerPlatf, "answer of the store lost", "None; the record is read again."},
	{AdminCall, LayerAdmin, "operator call", "None."},
	{DrainPhase, LayerDrain, "graceful stop phase", "None."},
	{DrainTimeout, LayerDrain, "graceful stop reached its time limit", "Look at the work listed as still running."},
	{InvariantViolated, LayerInvaria, "invariant violated", "Report a bug with the state dump."},
}
