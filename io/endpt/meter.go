package endpt

import (
	"time"

	"verbenagate/core/sched"
	"verbenagate/io/metric"
)

// meter holds the metrics of a server, which are looked up once so that a unit of work costs no look-up.
type meter struct {
	queue    [2]metric.Histogram // by sched.Class
	shed     metric.Counter
	opened   metric.Counter
	poisoned metric.Counter
	replays  metric.Counter
	quorum   metric.Histogram
	points   [2]metric.Counter // whether the session must see all writes
}

func newMeter(set *metric.Set, service, address string) meter {
	return meter{
		queue: [2]metric.Histogram{
			sched.Short: set.Histogram(metric.QueueSeconds, address, sched.Short.String()),
			sched.Long:  set.Histogram(metric.QueueSeconds, address, sched.Long.String()),
		},
		shed:     set.Counter(metric.Shed, address),
		opened:   set.Counter(metric.ConnectionsMade, address),
		poisoned: set.Counter(metric.Poisoned, address),
		replays:  set.Counter(metric.OnceReplays, service),
		quorum:   set.Histogram(metric.QuorumSeconds, service),
		points: [2]metric.Counter{
			set.Counter(metric.SessionPoints, service, "own"), set.Counter(metric.SessionPoints, service, "all"),
		},
	}
}

// point counts a session by whether it must see all writes.
func (m *meter) point(all bool) {
	kind := 0
	if all {
		kind = 1
	}
	m.points[kind].Inc(1)
}

func (m *meter) started(class sched.Class, wait time.Duration) {
	m.queue[class].Observe(wait.Seconds())
}
