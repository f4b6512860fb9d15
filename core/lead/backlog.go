package lead

import (
	"time"

	"verbenagate/core/point"
)

const (
	// minBacklogLag is the replication lag from which replacing the primary costs less than waiting: a planned change of
	// primary stops the group's writes for about 1.5 s.
	minBacklogLag = 4 * time.Second
	// minBacklogSurveys is how many consecutive surveys must show the backlog.
	minBacklogSurveys = 3
	// minChangeInterval is the minimum time between two changes of a group's primary because of a backlog.
	minChangeInterval = 5 * time.Second
)

// Replica is the state of one replica in a survey of its group.
type Replica struct {
	received point.Point
	lag      time.Duration
}

// NewReplica returns a replica that has received the log up to received and whose replication lag is lag.
func NewReplica(received point.Point, lag time.Duration) Replica {
	return Replica{received: received, lag: lag}
}

// BacklogDetector decides from surveys of a group whether to replace its primary because no replica can serve reads.
//
// It handles the load pattern in which all replicas of a group receive the log but apply it many seconds late, so that all
// reads go to the primary and overload it. A promoted server starts with all that it has received, and the old primary becomes
// a replica without a backlog. Promoting a replica that does not even receive the log would lose commits, so such a replica
// does not count. BacklogDetector is not safe for concurrent use.
type BacklogDetector struct {
	lastPosition       point.Point
	consecutiveSurveys int
}

// AddSurvey records a survey: the primary's position and the replicas that answered. Complete is false if a replica did not
// answer. An incomplete survey does not confirm the backlog, but may disprove it.
func (b *BacklogDetector) AddSurvey(primary point.Point, replicas []Replica, complete bool) {
	previous := b.lastPosition
	b.lastPosition = primary
	receiving := false
	for _, r := range replicas {
		if r.lag < minBacklogLag {
			b.consecutiveSurveys = 0
			return
		}
		receiving = receiving || r.received.Covers(previous)
	}
	switch {
	case !complete:
	case receiving:
		b.consecutiveSurveys++
	default:
		b.consecutiveSurveys = 0
	}
}

// ReplacementDue reports whether enough consecutive surveys showed the backlog and the primary has led for at least
// minChangeInterval.
func (b *BacklogDetector) ReplacementDue(now, primarySince time.Time) bool {
	return b.consecutiveSurveys >= minBacklogSurveys && now.Sub(primarySince) >= minChangeInterval
}

// Reset discards the surveys.
func (b *BacklogDetector) Reset() { *b = BacklogDetector{} }

// AllRenewedSince reports whether all VMs whose lease is valid at now have renewed it after since; both are times on the
// store's clock.
func AllRenewedSince(members []Member, since, now time.Duration) bool {
	for _, m := range members {
		if m.until > now && m.until < since+LeaseDuration {
			return false
		}
	}
	return true
}
