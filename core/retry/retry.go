// Package retry decides whether, when and where a failed attempt at a unit of work is repeated.
package retry

import (
	"math/rand/v2"
	"time"

	"verbenagate/core/result"
)

// Backoff is an exponential backoff with jitter.
type Backoff struct {
	initialDelay time.Duration
	maxDelay     time.Duration
}

// NewBackoff returns a backoff that starts at initialDelay and doubles up to maxDelay.
func NewBackoff(initialDelay, maxDelay time.Duration) Backoff {
	return Backoff{initialDelay: initialDelay, maxDelay: maxDelay}
}

// Delay returns the delay before a retry. The first retry has attempt number 1. The parameter random, in [0,1), scales only
// half of the delay, so that it is never close to zero.
func (b Backoff) Delay(attempt int, random float64) time.Duration {
	d := b.initialDelay
	for i := 1; i < attempt && d < b.maxDelay; i++ {
		d *= 2
	}
	d = min(d, b.maxDelay)
	return d/2 + time.Duration(random*float64(d/2))
}

// Loop spaces the attempts at one operation for a caller. Each failed attempt is followed by a wait for a change, no longer than the next
// step of a backoff, so that many operations that cannot be served leave processor time to those that can.
type Loop struct {
	backoff  Backoff
	deadline time.Time
	waits    int
}

// NewLoop returns the loop of an operation that may be tried until deadline.
func NewLoop(b Backoff, deadline time.Time) Loop { return Loop{backoff: b, deadline: deadline} }

// Next returns how long to wait at most for a change before the next attempt, at most until the deadline. It reports false if the deadline
// has passed. The parameter random is that of Delay.
func (l *Loop) Next(now time.Time, random float64) (time.Duration, bool) {
	if !now.Before(l.deadline) {
		return 0, false
	}
	l.waits++
	return min(l.backoff.Delay(l.waits, random), l.deadline.Sub(now)), true
}

// Attempts returns how many attempts an operation that begins at the time 0 makes within d at most, if nothing changes.
func (b Backoff) Attempts(d time.Duration) int {
	n := 1
	for at := b.Delay(1, 0); at < d; at += b.Delay(n, 0) {
		n++
	}
	return n
}

// Jitter returns a random number for Delay.
func Jitter() float64 { return rand.Float64() }

// Decision says what follows a failed attempt.
type Decision uint8

// The decisions on a failed attempt.
const (
	// Stop means that the attempt is not repeated and its outcome goes to the caller.
	Stop Decision = iota + 1
	// RetryAfterBackoff means that the unit is repeated after a backoff, on any server.
	RetryAfterBackoff
	// RetryOtherServer means that the unit is repeated at once on another server.
	RetryOtherServer
)

// Decide returns the decision on an attempt that ended with code. An attempt is repeated only before the deadline, and only if
// it certainly did not run.
func Decide(now, deadline time.Time, code result.Code) Decision {
	if result.Lookup(code).Outcome() != result.NotRun || !now.Before(deadline) {
		return Stop
	}
	switch code {
	case result.ServerBehind, result.AgeNotMet, result.QueueFull, result.DeadlineTooClose, result.Overloaded,
		result.PeerUnreachable, result.ConnectFailed:
		return RetryOtherServer
	case result.ServerLeaving, result.NoServer, result.NotPrimary, result.NotOwner, result.PositionUnknown, result.RolledBack:
		return RetryAfterBackoff
	}
	return Stop
}
