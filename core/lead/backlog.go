package lead

import (
	"time"

	"verbenagate/core/point"
)

const (
	// backlogLag is the lag from which replacing the primary costs less than waiting: a planned change stops the group's writes
	// for about 1.5 s.
	backlogLag = 4 * time.Second
	// backlogSurveys is how many surveys in a row must show the same.
	backlogSurveys = 3
	// backlogPause is the least time between two changes of a group's primary for this reason.
	backlogPause = 5 * time.Second
)

// Replica is what a survey of a group tells of one of its replicas.
type Replica struct {
	received point.Point
	lag      time.Duration
}

// NewReplica returns a replica that has received the log up to a point and applies it lag behind the primary.
func NewReplica(received point.Point, lag time.Duration) Replica {
	return Replica{received: received, lag: lag}
}

// Backlog judges from surveys of a group whether its primary is to be replaced because no replica can serve reads.
//
// It answers the load pattern in which all replicas of a group receive the log but apply it many seconds late, so that all
// reads go to the primary and overload it. A promoted server leads with all that it has received, and the old primary
// goes on as a replica without a backlog. A replica that does not receive the log either would lose commits, so it does not
// count. Backlog is not safe for concurrent use.
type Backlog struct {
	primary point.Point
	surveys int
}

// Surveyed notes a survey: the primary's position and its replicas. One that does not answer is left out of replicas, and
// complete is false then. Such a survey does not confirm the backlog, but may disprove it.
func (b *Backlog) Surveyed(primary point.Point, replicas []Replica, complete bool) {
	last := b.primary
	b.primary = primary
	streams := false
	for _, r := range replicas {
		if r.lag < backlogLag {
			b.surveys = 0
			return
		}
		streams = streams || r.received.Covers(last)
	}
	switch {
	case !complete:
	case streams:
		b.surveys++
	default:
		b.surveys = 0
	}
}

// Persists reports whether the last surveys all showed the backlog and the primary has led since at least backlogPause ago.
func (b *Backlog) Persists(now, led time.Time) bool {
	return b.surveys >= backlogSurveys && now.Sub(led) >= backlogPause
}

// Reset forgets the surveys.
func (b *Backlog) Reset() { *b = Backlog{} }

// Renewed reports whether all VMs whose lease lasts at now have renewed it after since; both are times on the store's clock.
func Renewed(members []Member, since, now time.Duration) bool {
	for _, m := range members {
		if m.until > now && m.until < since+Length {
			return false
		}
	}
	return true
}
