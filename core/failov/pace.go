package failov

import "time"

const (
	// pollBytesPerSecond is what an idle VM spends on polling the statuses of the servers that it watches, in both directions,
	// including TCP and IP. Of the 16 KB/s that a VM has for control traffic at the target size, 9.5 KB/s go to other VMs and
	// the platform.
	pollBytesPerSecond = 5000.0
	// bytesPerPoll is the size of one poll on the wire: 14.4 KB/s for 30 polls/s in docs/CAPACITY.md.
	bytesPerPoll = 480.0
	// replicaIntervalFactor is the polling interval of a replica divided by that of a primary. Only the primary's polls detect
	// a failure; as soon as one of them is not answered, the replicas are polled as fast as allowed.
	replicaIntervalFactor = 4
	// maxPrimaryInterval keeps a failover within 3 s plus the promotion. maxReplicaInterval leaves one second of the 3 s after
	// which a leaving server gets no new work. Both limits apply even if the traffic budget is exceeded.
	maxPrimaryInterval = time.Second
	maxReplicaInterval = 2 * time.Second
	// minMissedPolls is how many polling intervals a server must give no status to count as silent, however long the interval
	// is.
	minMissedPolls = 3
)

// PollIntervals holds the intervals at which a VM polls the statuses of servers while no request waits for one.
type PollIntervals struct{ primary, replica time.Duration }

// Primary returns the polling interval for the primary of a group.
func (p PollIntervals) Primary() time.Duration { return p.primary }

// Replica returns the polling interval for other servers.
func (p PollIntervals) Replica() time.Duration { return p.replica }

// NewPollIntervals returns the polling intervals of a VM that watches this number of groups with this number of servers in all.
// No interval is shorter than shortest.
func NewPollIntervals(shortest time.Duration, groups, servers int) PollIntervals {
	if groups <= 0 || servers < groups {
		return PollIntervals{shortest, shortest}
	}
	pollsPerSecond := pollBytesPerSecond / bytesPerPoll
	replicas := float64(servers - groups)
	primary := (float64(groups) + replicas/replicaIntervalFactor) / pollsPerSecond
	replica := replicaIntervalFactor * primary
	if limit := maxReplicaInterval.Seconds(); replica > limit {
		replica = limit
		primary = maxPrimaryInterval.Seconds()
		if primaryPollsPerSecond := pollsPerSecond - replicas/limit; primaryPollsPerSecond > 0 {
			primary = min(primary, float64(groups)/primaryPollsPerSecond)
		}
	}
	return PollIntervals{max(shortest, seconds(primary)), max(shortest, seconds(replica))}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
