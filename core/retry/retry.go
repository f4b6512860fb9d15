// Package retry decides whether and when a unit of work is tried again.
package retry

import (
	"math/rand/v2"
	"time"

	"verbenagate/core/result"
)

// Backoff grows exponentially from First to Most, with jitter.
type Backoff struct {
	first time.Duration
	most  time.Duration
}

// NewBackoff returns a backoff between first and most.
func NewBackoff(first, most time.Duration) Backoff {
	return Backoff{first: first, most: most}
}

// Delay returns the delay before the attempt with this number, counted from 1 for the first retry. Random is a number in
// [0,1); half of the delay is fixed, so that a delay is never close to zero.
func (b Backoff) Delay(attempt int, random float64) time.Duration {
	d := b.first
	for i := 1; i < attempt && d < b.most; i++ {
		d *= 2
	}
	d = min(d, b.most)
	return d/2 + time.Duration(random*float64(d/2))
}

// Jitter returns a random number for Delay.
func Jitter() float64 { return rand.Float64() }

// Verdict says what follows an attempt.
type Verdict uint8

// The verdicts on an attempt.
const (
	// Stop reports the attempt's outcome to the caller.
	Stop Verdict = iota + 1
	// Again tries the unit again after a delay.
	Again
	// Elsewhere tries another server at once.
	Elsewhere
)

// Decide returns the verdict on an attempt that ended with code. Only a request that certainly did not run is repeated.
func Decide(now, deadline time.Time, code result.Code) Verdict {
	if result.Lookup(code).Outcome() != result.NotRun || !now.Before(deadline) {
		return Stop
	}
	switch code {
	case result.ServerBehind, result.AgeNotMet, result.QueueFull, result.DeadlineTooClose, result.Overloaded,
		result.PeerUnreachable, result.ConnectFailed:
		return Elsewhere
	case result.ServerLeaving, result.NoServer, result.NotPrimary, result.NotOwner, result.PositionUnknown, result.RolledBack:
		return Again
	}
	return Stop
}
