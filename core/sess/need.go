package sess

import (
	"time"

	"verbenagate/core/point"
	"verbenagate/core/stmt"
)

// Need says where a unit may run. It is one of KeepStream, NeedPrimary, NeedAtLeast, NeedAge and NeedUnknownPoint.
type Need interface{ need() }

// KeepStream sends the unit to the server connection that the session holds: a transaction is open or the session is
// pinned.
type KeepStream struct{ inTx bool }

// NeedPrimary sends the unit to the primary of a term that is not below that of the session's required point.
type NeedPrimary struct{ atLeast point.Point }

// NeedAtLeast admits every server that covers the session's required point.
type NeedAtLeast struct{ atLeast point.Point }

// NeedAge admits every server whose data is known to be no older than an age.
type NeedAge struct {
	maxAge  time.Duration
	written point.Point
}

// NeedUnknownPoint cannot run before a barrier has returned the session's required point.
type NeedUnknownPoint struct{}

func (KeepStream) need()       {}
func (NeedPrimary) need()      {}
func (NeedAtLeast) need()      {}
func (NeedAge) need()          {}
func (NeedUnknownPoint) need() {}

// InTransaction reports whether the stream is kept for an open transaction, not for a pin alone.
func (k KeepStream) InTransaction() bool { return k.inTx }

// Point returns the point that the primary must have.
func (n NeedPrimary) Point() point.Point { return n.atLeast }

// Point returns the point that the server must have applied.
func (n NeedAtLeast) Point() point.Point { return n.atLeast }

// MaxAge returns the greatest age of the data.
func (n NeedAge) MaxAge() time.Duration { return n.maxAge }

// Written returns the point of the last commit on this connection. A server that covers it also shows the session's
// own writes; whether a declared read requires that is the router's choice.
func (n NeedAge) Written() point.Point { return n.written }

// Decide returns what a unit with these statements of a caller needs.
//
// With an unknown point only units run whose answer can't be stale: reads of a stated age, and plain writes, whose
// acknowledgement depends on a majority anyway. A transaction or a statement that isn't understood could return stale
// rows from a primary that has been replaced.
func (s *State) Decide(infos []stmt.Info, caller string, rules *Rules) Need {
	if s.HoldsStream() {
		return KeepStream{inTx: s.InTransaction()}
	}
	class, _ := Summary(infos)
	switch class {
	case stmt.Empty:
		return NeedAtLeast{}
	case stmt.Write:
		return NeedPrimary{atLeast: s.required}
	case stmt.Read:
		if age, ok := rules.MaxAge(caller, infos); ok {
			return NeedAge{maxAge: age, written: s.written}
		}
	}
	if !s.known {
		return NeedUnknownPoint{}
	}
	if class == stmt.Read || class == stmt.BeginReadOnly {
		return NeedAtLeast{atLeast: s.required}
	}
	return NeedPrimary{atLeast: s.required}
}
