// Package sess keeps the state of one caller's session and decides what each unit of work needs.
package sess

import (
	"slices"

	"verbenagate/core/point"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/work"
)

// State is a session's required point, transaction status and pin. It is not safe for concurrent use. The zero State
// is that of a new session: the required point is not known.
type State struct {
	required point.Point
	written  point.Point
	known    bool
	status   work.TxStatus
	pinned   bool
}

// Required returns the point that the session's reads must cover, and whether it is known.
func (s *State) Required() (point.Point, bool) { return s.required, s.known }

// Status returns the transaction status after the last unit.
func (s *State) Status() work.TxStatus {
	if s.status == 0 {
		return work.TxIdle
	}
	return s.status
}

// InTransaction reports whether a transaction is open, also one that has failed.
func (s *State) InTransaction() bool { return s.Status() != work.TxIdle }

// Pinned reports whether the session has left state in its server connection.
func (s *State) Pinned() bool { return s.pinned }

// HoldsStream reports whether the session must keep its server connection between units.
func (s *State) HoldsStream() bool { return s.pinned || s.InTransaction() }

// Barrier raises the required point to the one that a barrier returned, which makes it known.
func (s *State) Barrier(p point.Point) {
	s.required = s.required.Max(p)
	s.known = true
}

// StreamLost records that the server connection and everything in it are gone.
func (s *State) StreamLost() {
	s.status = work.TxIdle
	s.pinned = false
}

// Ended records the end of a unit with these statements.
//
// A commit alone doesn't make an unknown point known: writes of an earlier connection of the caller may lie on the
// history of a newer term. After a unit that may have committed, the point is unknown again: a caller reads to find out
// whether its request took effect, and a replica that lags would answer that it did not.
func (s *State) Ended(infos []stmt.Info, f work.Final) {
	s.required = s.required.Max(f.Committed())
	s.written = s.written.Max(f.Committed())
	outcome := result.Lookup(f.Code).Outcome()
	if outcome != result.NotRun {
		s.pinned = s.Keeps(infos)
	}
	if class, _ := Summary(infos); outcome == result.Unknown && class.MayCommit() {
		s.known = false
	}
	s.status = f.Status
}

// Keeps reports whether the session is pinned once these statements have run; work.Unit.Keep takes this value. A
// statement that fails on the server counts as run, since the parser can't tell how far it came.
func (s *State) Keeps(infos []stmt.Info) bool {
	pinned := s.pinned
	for _, i := range infos {
		switch i.Effect() {
		case stmt.EffectPin:
			pinned = true
		case stmt.EffectReset:
			// The server refuses it in a transaction.
			pinned = pinned && s.InTransaction()
		}
	}
	return pinned
}

// Summary returns the most demanding class of the statements and a fingerprint for all of them.
//
// Statements that may end a transaction which was open before them and begin another one count as not understood: the
// class of the beginning would hide that they can commit.
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
		if demand(c) > demand(class) {
			class = c
		}
	}
	return class, fp
}

// demand orders the classes by what they ask of a server. BeginReadOnly ranks above Commit and Rollback so that a
// text with a whole read-only transaction counts as one; anything that may write ranks above it.
func demand(c stmt.Class) int {
	order := [...]stmt.Class{
		stmt.Empty, stmt.Read, stmt.Rollback, stmt.Commit, stmt.BeginReadOnly, stmt.Begin, stmt.Unknown, stmt.Write,
	}
	return slices.Index(order[:], c)
}
