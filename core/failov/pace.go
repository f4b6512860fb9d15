package failov

import "time"

const (
	// watchBudget is what a VM spends at rest on the statuses of the servers that it watches, in bytes a second in both
	// directions, with TCP and IP. Of the 16 KB/s that a VM has for control at the target size, 9.5 go to other VMs and the
	// platform.
	watchBudget = 5000.0
	// pollBytes is the size of one poll on the wire, in bytes: 14.4 KB/s for 30 polls/s in docs/CAPACITY.md.
	pollBytes = 480.0
	// replicaShare is the interval of a replica in intervals of a primary. Only the primary's polls detect a failure; as
	// soon as one is not answered, the replicas are polled as fast as allowed.
	replicaShare = 4
	// maxPrimaryInterval keeps a failover within 3 s plus the promotion, and maxReplicaInterval leaves a second of the 3 s
	// after which a leaving server gets no new work. They hold even if the budget is exceeded.
	maxPrimaryInterval = time.Second
	maxReplicaInterval = 2 * time.Second
	// missedPolls is how many intervals a server must give no status to be silent, however long the interval is.
	missedPolls = 3
)

// Pace is how often a VM asks servers for their status while nobody waits for one.
type Pace struct{ primary, replica time.Duration }

// Primary returns the interval for the primary of a group.
func (p Pace) Primary() time.Duration { return p.primary }

// Replica returns the interval for other servers.
func (p Pace) Replica() time.Duration { return p.replica }

// NewPace returns the pace of a VM that watches so many groups with so many servers in all. No interval is below shortest.
func NewPace(shortest time.Duration, groups, servers int) Pace {
	if groups <= 0 || servers < groups {
		return Pace{shortest, shortest}
	}
	perSecond := watchBudget / pollBytes
	replicas := float64(servers - groups)
	primary := (float64(groups) + replicas/replicaShare) / perSecond
	replica := replicaShare * primary
	if limit := maxReplicaInterval.Seconds(); replica > limit {
		replica = limit
		primary = maxPrimaryInterval.Seconds()
		if rest := perSecond - replicas/limit; rest > 0 {
			primary = min(primary, float64(groups)/rest)
		}
	}
	return Pace{max(shortest, seconds(primary)), max(shortest, seconds(replica))}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
