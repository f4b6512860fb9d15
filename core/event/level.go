package event

// Level is the severity of an event. The zero value is LevelInfo.
type Level int8

// The levels, in ascending order.
const (
	LevelDebug Level = iota - 1
	LevelInfo
	LevelWarn
	LevelError
)

// String returns the level's name in the settings.
func (l Level) String() string {
	switch l {
	case LevelDebug:
		return "debug"
	case LevelInfo:
		return "info"
	case LevelWarn:
		return "warn"
	case LevelError:
		return "error"
	}
	return "invalid"
}

// levels holds the level of every event that is not at LevelInfo. Events that occur once per connection or per unit of work
// are at LevelDebug, so that the log volume at the default level does not grow with the load.
var levels = map[ID]Level{
	NodeFailed:        LevelError,
	KeysRefused:       LevelError,
	FilesLimit:        LevelWarn,
	PanicRecovered:    LevelError,
	CallerProtocol:    LevelWarn,
	CallerClosed:      LevelDebug,
	CallerTurnedAway:  LevelWarn,
	RouteRetry:        LevelDebug,
	RouteNoBarrier:    LevelWarn,
	EndptDown:         LevelWarn,
	EndptPoisoned:     LevelWarn,
	EndptEvicted:      LevelWarn,
	EndptNotEvicted:   LevelWarn,
	ConnOpened:        LevelDebug,
	ConnReplaced:      LevelDebug,
	PeerLost:          LevelWarn,
	PeerBadMessage:    LevelWarn,
	SeedsUnreachable:  LevelWarn,
	MemberDead:        LevelWarn,
	OwnerFailed:       LevelWarn,
	HolderFailed:      LevelWarn,
	PrimarySilent:     LevelWarn,
	PromotionStarted:  LevelWarn,
	PromotionDone:     LevelWarn,
	PromotionFailed:   LevelError,
	PromotionHeld:     LevelWarn,
	MembersRefused:    LevelWarn,
	TermReserved:      LevelDebug,
	ServerGone:        LevelWarn,
	ServerRefused:     LevelWarn,
	LeaseLost:         LevelWarn,
	ReplicasBehind:    LevelWarn,
	AgentFailed:       LevelWarn,
	ContactLost:       LevelWarn,
	DataCentreLost:    LevelWarn,
	LinesDropped:      LevelWarn,
	ConfigOlder:       LevelWarn,
	ConfigRefused:     LevelWarn,
	StoreDown:         LevelWarn,
	StoreAnswerLost:   LevelWarn,
	DrainTimeout:      LevelWarn,
	StatementCut:      LevelWarn,
	InvariantViolated: LevelError,
}

// Level returns the severity of the event.
func (i Info) Level() Level { return levels[i.id] }

// Layers returns all layers in the order of their event numbers.
func Layers() []Layer {
	return []Layer{
		LayerNode, LayerCaller, LayerRoute, LayerEndpoint, LayerPeer, LayerMember, LayerFailover, LayerConfig, LayerPlatform,
		LayerAdmin, LayerDrain, LayerInvariant,
	}
}
