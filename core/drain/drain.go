// Package drain decides what a VM that is being stopped still accepts and when each step of the stop is due, so that no accepted
// request is left without an answer when the process ends.
package drain

import "time"

const (
	// notReadyDelay is how long a stopping VM still accepts sessions, so that the load balancer sees first that it is not ready.
	notReadyDelay = 2200 * time.Millisecond
	// exitReserve is the part of the grace period that is left for the last steps of a stop, so that the process ends by itself.
	exitReserve = 500 * time.Millisecond
	// answerReserve is the time from the last answer to the end of the connections.
	answerReserve = 100 * time.Millisecond
	// lastRequestWait is how long a session in a transaction is kept for its next request once transactions have had their time,
	// so that its caller gets an answer and not a closed connection.
	lastRequestWait = 500 * time.Millisecond
)

// Plan holds the times of a graceful stop. The zero Plan is that of a VM that is not being stopped. It is used by pointer: copies in the
// frames of waiting sessions would double their stacks.
type Plan struct{ began, idleUntil, transactionsUntil, answersUntil, closeAt time.Time }

// NewPlan returns the plan of a stop that began at now and must end within the grace period. All times are on the clock of now.
func NewPlan(now time.Time, grace time.Duration) Plan {
	closeAt := max(grace-exitReserve, 0)
	return Plan{
		began:             now,
		idleUntil:         now.Add(min(notReadyDelay, closeAt/2)),
		transactionsUntil: now.Add(grace / 2),
		answersUntil:      now.Add(max(closeAt-answerReserve, 0)),
		closeAt:           now.Add(closeAt),
	}
}

// Began reports whether the VM is being stopped.
func (p *Plan) Began() bool { return !p.began.IsZero() }

// IdleUntil returns when idle sessions begin to be closed.
func (p *Plan) IdleUntil() time.Time { return p.idleUntil }

// CloseAt returns when the connections that are still open are closed.
func (p *Plan) CloseAt() time.Time { return p.closeAt }

// ClosesIdle reports whether sessions without a transaction are closed once they wait for a request.
func (p *Plan) ClosesIdle(now time.Time) bool { return p.Began() && !now.Before(p.idleUntil) }

// EndsTransactions reports whether open transactions have had their time. From then on only their commit or rollback is accepted: a
// transaction with short pauses could otherwise have a statement running whenever the VM is about to close its connection.
func (p *Plan) EndsTransactions(now time.Time) bool {
	return p.Began() && !now.Before(p.transactionsUntil)
}

// RequestWait returns how long a session in a transaction that waits for a request at now is kept for it, once transactions have had their
// time.
func (p *Plan) RequestWait(now time.Time) time.Duration {
	return max(min(lastRequestWait, p.closeAt.Sub(now)), 0)
}

// AnswerBy returns the deadline of a request that has time until deadline: it must be answered before the connections are closed.
func (p *Plan) AnswerBy(deadline time.Time) time.Time {
	if !p.Began() {
		return deadline
	}
	if p.answersUntil.Before(deadline) {
		return p.answersUntil
	}
	return deadline
}
