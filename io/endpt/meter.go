package endpt

import (
	"time"

	"verbenagate/core/sched"
	"verbenagate/io/metric"
)

// meter holds the metrics of a server. They are looked up once, so that a unit of work costs no look-up.
type meter struct {
	queueWait         [2]metric.Histogram // by sched.Class
	shed              metric.Counter
	connectionsOpened metric.Counter
	poisonedConns     metric.Counter
	onceReplays       metric.Counter
	quorumWait        metric.Histogram
	sessionPoints     [2]metric.Counter // index 1 for sessions that must see all writes, else 0
}

func newMeter(set *metric.Set, service, address string) meter {
	return meter{
		queueWait: [2]metric.Histogram{
			sched.Short: set.Histogram(metric.QueueSeconds, address, sched.Short.String()),
			sched.Long:  set.Histogram(metric.QueueSeconds, address, sched.Long.String()),
		},
		shed:              set.Counter(metric.UnitsShed, address),
		connectionsOpened: set.Counter(metric.ConnectionsOpened, address),
		poisonedConns:     set.Counter(metric.ConnectionsPoisoned, address),
		onceReplays:       set.Counter(metric.OnceReplays, service),
		quorumWait:        set.Histogram(metric.QuorumSeconds, service),
		sessionPoints: [2]metric.Counter{
			set.Counter(metric.SessionPoints, service, "own"), set.Counter(metric.SessionPoints, service, "all"),
		},
	}
}

// countSessionPoint counts a session by whether it must see all writes or only its own.
func (m *meter) countSessionPoint(all bool) {
	kind := 0
	if all {
		kind = 1
	}
	m.sessionPoints[kind].Inc(1)
}

func (m *meter) observeQueueWait(class sched.Class, wait time.Duration) {
	m.queueWait[class].Observe(wait.Seconds())
}
