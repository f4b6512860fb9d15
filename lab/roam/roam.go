// Package roam compares three ways to know what a session that reconnects must see: a barrier, a home VM for each
// caller's position, and hints (decision D3 of docs/design.md).
//
// The model walks through a load plan in virtual time; Connects measures the barriers of real VMs.
package roam

import (
	"time"

	"verbenagate/lab/load"
)

// Way is a way to know the point that a session requires when it opens.
type Way string

// The ways to know a session's required point.
const (
	// Barrier takes the newest position of the primary.
	Barrier Way = "barrier"
	// Home asks the VM that every acknowledged write of the caller was reported to.
	Home Way = "home VM"
	// Hints takes the newest position of the caller that has reached this VM, and a barrier if there is none.
	Hints Way = "hints"
)

// Load describes the requests of one service.
type Load struct {
	profile load.Profile
	vms     int
	lag     time.Duration
	// terminals is the number of connections that share a caller name.
	terminals int
	// hint is the time that a hint takes to the other VMs.
	hint time.Duration
}

// NewLoad returns the load of the stage replicas of _fixtures/experiments with another share of roaming, for several
// terminals with the same caller name and hints of an age.
func NewLoad(share float64, lag time.Duration, terminals int, hint time.Duration) Load {
	return Load{
		profile: load.Profile{Duration: 10 * time.Minute, Rate: 200, Callers: 40, Pay: 0.09, Roam: share},
		vms:     9, lag: lag, terminals: max(1, terminals), hint: hint,
	}
}

// Shares is what a model run shows of the reads.
type Shares struct {
	Reads, Roamed int
	// Oracle and Replica count the reads that an oracle and the way send to replicas; the others are those of reads that come
	// right after a roam.
	Oracle, Replica, RoamedOracle, RoamedReplica int
	// Stale counts reads that a replica answers although it has not applied what the session must see.
	Stale int
	// Opened counts the sessions, Barriers those that had to take a barrier.
	Opened, Barriers int
}

// session is a connection of a caller. Positions are given by the time of their commit; a replica has applied what was
// committed before its lag.
type session struct {
	vm       int
	required time.Duration
	// written is what the session must see: the caller's last write before it opened, or its own last write since.
	written time.Duration
	open    bool
}

const never = time.Duration(-1 << 62)

// Model runs the load.
func Model(l Load, way Way, seed uint64) Shares {
	var s Shares
	sessions := make([]session, l.profile.Callers)
	writes := make([][]time.Duration, l.profile.Callers)
	newest := never
	for _, q := range load.Plan(l.profile, seed) {
		c, now := &sessions[q.Caller()], q.At()
		own := &writes[q.Caller()/l.terminals]
		roamed := q.Roams()
		if roamed || !c.open {
			c.open, c.vm = true, q.VM(c.vm, l.vms)
			c.written = last(*own, now)
			s.Opened++
			var known bool
			switch way {
			case Home:
				c.required, known = c.written, true
			case Hints:
				c.required = last(*own, now-l.hint)
				known = c.required != never
			}
			if !known {
				c.required = newest
				s.Barriers++
			}
		}
		if q.Kind() == load.Pay {
			*own = append(*own, now)
			c.required, c.written, newest = now, now, now
			continue
		}
		s.read(l, now, c, roamed)
	}
	return s
}

// read counts a read. An oracle knows what the session must see.
func (s *Shares) read(l Load, now time.Duration, c *session, roamed bool) {
	oracle, replica := now-l.lag >= c.written, now-l.lag >= c.required
	s.Reads++
	s.Oracle += one(oracle)
	s.Replica += one(replica)
	s.Stale += one(replica && !oracle)
	if roamed {
		s.Roamed++
		s.RoamedOracle += one(oracle)
		s.RoamedReplica += one(replica)
	}
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// last returns the last of the times up to at, or never.
func last(times []time.Duration, at time.Duration) time.Duration {
	for i := len(times) - 1; i >= 0; i-- {
		if times[i] <= at {
			return times[i]
		}
	}
	return never
}
