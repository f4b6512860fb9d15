package sess

import (
	"time"

	"verbenagate/core/point"
	"verbenagate/core/stmt"
)

// Need is the requirement that a unit has of the server that runs it. It is one of KeepStream, NeedPrimary, NeedAtLeast,
// NeedAge and NeedBarrier.
type Need interface{ need() }

// KeepStream requires the server connection that the session already holds, because a transaction is open or the session
// is pinned.
type KeepStream struct{ inTx bool }

// NeedPrimary requires the primary of the required point's term or of a later term.
type NeedPrimary struct{ atLeast point.Point }

// NeedAtLeast allows every server that has applied the session's required point.
type NeedAtLeast struct{ atLeast point.Point }

// NeedAge allows every server whose data is known to be no older than a maximum age.
type NeedAge struct {
	maxAge     time.Duration
	lastCommit point.Point
}

// NeedBarrier requires a barrier first, because the session's required point is not known.
type NeedBarrier struct{}

func (KeepStream) need()  {}
func (NeedPrimary) need() {}
func (NeedAtLeast) need() {}
func (NeedAge) need()     {}
func (NeedBarrier) need() {}

// InTransaction reports whether a transaction is open. If not, the session is only pinned.
func (k KeepStream) InTransaction() bool { return k.inTx }

// Point returns the required point; the primary's term must not be below its term.
func (n NeedPrimary) Point() point.Point { return n.atLeast }

// Point returns the point that the server must have applied.
func (n NeedAtLeast) Point() point.Point { return n.atLeast }

// MaxAge returns the maximum age of the data.
func (n NeedAge) MaxAge() time.Duration { return n.maxAge }

// LastCommit returns the point of the session's last commit. Reads on a server that has applied it see the session's own
// writes; the router decides whether a stale read requires that.
func (n NeedAge) LastCommit() point.Point { return n.lastCommit }

// Decide returns the requirement of a caller's unit with these statements.
//
// While the required point is unknown, only reads with a declared maximum age and plain writes may run. Stale answers are
// allowed for the former, and the latter are acknowledged by a majority in any case. A transaction or a statement that the
// parser does not understand could return stale rows from a primary that has been replaced.
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
			return NeedAge{maxAge: age, lastCommit: s.lastCommit}
		}
	}
	if !s.requiredKnown {
		return NeedBarrier{}
	}
	if class == stmt.Read || class == stmt.BeginReadOnly {
		return NeedAtLeast{atLeast: s.required}
	}
	return NeedPrimary{atLeast: s.required}
}
