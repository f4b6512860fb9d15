// Package roam compares three strategies to determine what a reconnecting session must see: a barrier, a home VM that stores the
// caller's position, and hints (decision D3 of docs/design.md).
//
// Model and ModelFailure run a load plan in virtual time. MeasureConnects measures the barriers of real VMs.
package roam

import (
	"time"

	"verbenagate/lab/load"
)

// Strategy determines the point that a session requires when it is opened.
type Strategy string

// The strategies to determine a session's required point.
const (
	// Barrier uses the newest position of the primary.
	Barrier Strategy = "barrier"
	// Home asks the caller's home VM, to which every acknowledged write of the caller has been reported.
	Home Strategy = "home VM"
	// Hints uses the newest position of the caller that has reached this VM, or a barrier if there is none.
	Hints Strategy = "hints"
)

// Load is the load of one service and the deployment that it runs on.
type Load struct {
	profile load.Profile
	vms     int
	lag     time.Duration
	// terminals is the number of connections that share a caller name.
	terminals int
	// hintDelay is the time until a hint has reached the other VMs.
	hintDelay time.Duration
}

// NewLoad returns the load of the stage replicas of _fixtures/experiments with roamShare as the share of requests before which the
// caller reconnects. Terminals is the number of connections with the same caller name; values below 1 count as 1.
func NewLoad(roamShare float64, lag time.Duration, terminals int, hintDelay time.Duration) Load {
	return Load{
		profile: load.Profile{Duration: 10 * time.Minute, Rate: 200, Callers: 40, Pay: 0.09, Roam: roamShare},
		vms:     9, lag: lag, terminals: max(1, terminals), hintDelay: hintDelay,
	}
}

// ReadCounts are the results of a model run.
type ReadCounts struct {
	// Reads counts all reads, Roamed those directly after a reconnect.
	Reads, Roamed int
	// Oracle and Replica count the reads that may go to a replica according to an oracle and according to the strategy.
	// RoamedOracle and RoamedReplica count the same for the reads directly after a reconnect.
	Oracle, Replica, RoamedOracle, RoamedReplica int
	// Stale counts the reads that go to a replica which has not applied what the session must see.
	Stale int
	// Opened counts the opened sessions, Barriers those of them that needed a barrier.
	Opened, Barriers int
}

// session is a connection of a caller. A position is represented by the virtual time of its commit. A replica has applied all
// commits that are at least as old as its lag.
type session struct {
	vm       int
	required time.Duration
	// mustSee is the position that the session must in fact see: that of its own last write, or without one that of the caller's
	// last write before the session was opened.
	mustSee time.Duration
	open    bool
}

const neverWritten = time.Duration(-1 << 62)

// Model runs the load in virtual time and returns how many reads the strategy can send to replicas.
func Model(l Load, strategy Strategy, seed uint64) ReadCounts {
	var s ReadCounts
	sessions := make([]session, l.profile.Callers)
	writes := make([][]time.Duration, l.profile.Callers)
	newestWrite := neverWritten
	for _, q := range load.Plan(l.profile, seed) {
		sess, now := &sessions[q.Caller()], q.At()
		callerWrites := &writes[q.Caller()/l.terminals]
		roamed := q.Roams()
		if roamed || !sess.open {
			sess.open, sess.vm = true, q.VM(sess.vm, l.vms)
			sess.mustSee = lastUpTo(*callerWrites, now)
			s.Opened++
			var known bool
			switch strategy {
			case Home:
				sess.required, known = sess.mustSee, true
			case Hints:
				sess.required = lastUpTo(*callerWrites, now-l.hintDelay)
				known = sess.required != neverWritten
			}
			if !known {
				sess.required = newestWrite
				s.Barriers++
			}
		}
		if q.Kind() == load.Pay {
			*callerWrites = append(*callerWrites, now)
			sess.required, sess.mustSee, newestWrite = now, now, now
			continue
		}
		s.countRead(l, now, sess, roamed)
	}
	return s
}

// countRead counts a read at time now. The oracle's decision is based on sess.mustSee, that of the strategy on sess.required.
func (s *ReadCounts) countRead(l Load, now time.Duration, sess *session, roamed bool) {
	oracle, replica := now-l.lag >= sess.mustSee, now-l.lag >= sess.required
	s.Reads++
	s.Oracle += boolToInt(oracle)
	s.Replica += boolToInt(replica)
	s.Stale += boolToInt(replica && !oracle)
	if roamed {
		s.Roamed++
		s.RoamedOracle += boolToInt(oracle)
		s.RoamedReplica += boolToInt(replica)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// lastUpTo returns the last of the ascending times that is not after at, or neverWritten.
func lastUpTo(times []time.Duration, at time.Duration) time.Duration {
	for i := len(times) - 1; i >= 0; i-- {
		if times[i] <= at {
			return times[i]
		}
	}
	return neverWritten
}
