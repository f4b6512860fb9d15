// Package sess holds the state of a caller's session and decides which servers may run each of its units of work.
package sess

import (
	"slices"

	"verbenagate/core/point"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/work"
)

// State is the state of a session: its required point, its transaction status, and whether it is pinned. It is not safe for
// concurrent use. The zero State is that of a new session, whose required point is not known.
type State struct {
	required      point.Point
	lastCommit    point.Point
	requiredKnown bool
	txStatus      work.TxStatus
	pinned        bool
}

// Required returns the point that a server must have applied to run the session's reads, and whether it is known. If not, the
// point is only a lower bound.
func (s *State) Required() (point.Point, bool) { return s.required, s.requiredKnown }

// Status returns the transaction status after the last unit.
func (s *State) Status() work.TxStatus {
	if s.txStatus == 0 {
		return work.TxIdle
	}
	return s.txStatus
}

// InTransaction reports whether a transaction is open, including one that has failed.
func (s *State) InTransaction() bool { return s.Status() != work.TxIdle }

// Pinned reports whether the server connection holds state of the session, so that no other session may use it.
func (s *State) Pinned() bool { return s.pinned }

// HoldsStream reports whether the session must keep its server connection between units.
func (s *State) HoldsStream() bool { return s.pinned || s.InTransaction() }

// BarrierPassed raises the required point to p, which a barrier returned. The required point is known after that.
func (s *State) BarrierPassed(p point.Point) {
	s.required = s.required.Max(p)
	s.requiredKnown = true
}

// StreamLost records that the server connection was lost, with its transaction and session state.
func (s *State) StreamLost() {
	s.txStatus = work.TxIdle
	s.pinned = false
}

// UnitEnded updates the state after a unit with these statements has ended.
//
// A commit does not make an unknown required point known, because writes of an earlier connection of the caller may belong to
// a newer term. The point becomes unknown again after a unit that may have committed: the caller will read to find out
// whether its request took effect, and a lagging replica would show that it did not.
func (s *State) UnitEnded(infos []stmt.Info, f work.Final) {
	s.required = s.required.Max(f.Committed())
	s.lastCommit = s.lastCommit.Max(f.Committed())
	outcome := result.Lookup(f.Code).Outcome()
	if outcome != result.NotRun {
		s.pinned = s.PinnedAfter(infos)
	}
	if class, _ := Summary(infos); outcome == result.Unknown && class.MayCommit() {
		s.requiredKnown = false
	}
	s.txStatus = f.Status
}

// PinnedAfter reports whether the session will be pinned after these statements have run; it is the value for
// work.Unit.KeepConnection. It assumes that each statement takes effect, because the parser cannot tell how far a failed one
// got.
func (s *State) PinnedAfter(infos []stmt.Info) bool {
	pinned := s.pinned
	for _, i := range infos {
		switch i.Effect() {
		case stmt.EffectPin:
			pinned = true
		case stmt.EffectReset:
			// In a transaction the server refuses the reset, so the session stays pinned.
			pinned = pinned && s.InTransaction()
		}
	}
	return pinned
}

// Summary returns the most demanding class of the statements and one fingerprint for all of them.
//
// Statements that may commit a transaction that is already open, and then begin another, have the class stmt.Unknown. The
// class of the begin would hide that they can commit.
func Summary(infos []stmt.Info) (stmt.Class, uint64) {
	const prime = 1099511628211 // FNV-1a, 64 bits
	class, fp := stmt.Empty, uint64(0)
	committed := false
	for _, i := range infos {
		c := i.Class()
		if c == stmt.Empty {
			continue
		}
		if class == stmt.Empty {
			fp = i.Fingerprint()
		} else {
			fp = (fp ^ i.Fingerprint()) * prime
		}
		if committed && (c == stmt.Begin || c == stmt.BeginReadOnly) {
			c = stmt.Unknown
		}
		committed = committed || c == stmt.Commit
		if classRank(c) > classRank(class) {
			class = c
		}
	}
	return class, fp
}

// classRank orders the classes by their demands on a server. BeginReadOnly ranks above Commit and Rollback, so that a text
// with a complete read-only transaction has the class BeginReadOnly. All classes that may write rank above it.
func classRank(c stmt.Class) int {
	order := [...]stmt.Class{
		stmt.Empty, stmt.Read, stmt.Rollback, stmt.Commit, stmt.BeginReadOnly, stmt.Begin, stmt.Unknown, stmt.Write,
	}
	return slices.Index(order[:], c)
}
