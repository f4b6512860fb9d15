package node

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"

	"verbenagate/core/event"
	"verbenagate/io/every"
	"verbenagate/io/metric"
	"verbenagate/io/parse"
)

// unitKind is the name of the message type that carries a unit of work to another VM.
const unitKind = "Unit"

// metrics holds the VM's metrics, the HTTP server that exposes them and the number of log events by id.
type metrics struct {
	set    *metric.Set
	server *metric.Server
	events [event.InvariantViolated + 1]atomic.Int64
}

func newMetrics() *metrics {
	return &metrics{set: metric.NewSet(metric.Catalog(), metric.ReportInterval)}
}

func (m *metrics) countEvent(id event.ID) {
	if int(id) < len(m.events) {
		m.events[id].Add(1)
	}
}

func (n *Node) startMetrics(parser *parse.Parser) error {
	if n.cfg.Listen.Metrics != "" {
		var err error
		if n.metrics.server, err = n.metrics.set.Listen(n.ctx, n.cfg.Listen.Metrics); err != nil {
			return err
		}
	}
	s := &sampler{n: n, parser: parser}
	n.startTask(func(ctx context.Context) { every.Interval(ctx, metric.ReportInterval, s.sample) })
	return nil
}

func (m *metrics) close() {
	if m.server != nil {
		_ = m.server.Close()
	}
	_ = m.set.Close()
}

// sampler updates the metrics in each report interval from values that other packages hold. It keeps the last total of each
// counter and the gauges that it has set, by name and labels.
type sampler struct {
	n          *Node
	parser     *parse.Parser
	lastTotals map[string]int64
	gauges     map[string]gauge
}

type gauge struct {
	metric  metric.Gauge
	updated bool // in the current sample
}

func (s *sampler) sample() {
	if s.lastTotals == nil {
		s.lastTotals, s.gauges = map[string]int64{}, map[string]gauge{}
	}
	s.sampleServers()
	s.sampleMesh()
	for service, n := range s.n.callers.SessionCounts() {
		s.setGauge(float64(n), metric.Callers, service)
	}
	s.setGauge(float64(s.n.config.Catalog().Revision()), metric.ConfigRevision)
	hits, misses := s.parser.CacheLookups()
	s.raiseCounter(hits, metric.ParseCache, "hit")
	s.raiseCounter(misses, metric.ParseCache, "miss")
	for id := range s.n.metrics.events {
		if c := s.n.metrics.events[id].Load(); c > 0 {
			s.raiseCounter(c, metric.LogEvents, strconv.Itoa(id))
		}
	}
	s.resetStaleGauges()
}

// sampleServers updates the metrics of the servers that this VM watches or owns.
func (s *sampler) sampleServers() {
	owned := 0
	for _, g := range s.n.host.State() {
		for _, w := range g.Watched {
			s.setGauge(w.Age.Seconds(), metric.ServerAge, w.Address)
		}
		for _, o := range g.Owned {
			owned++
			s.setGauge(float64(o.Queued), metric.QueueLength, o.Address)
			s.setGauge(float64(o.RunningShort+o.RunningLong), metric.SlotsBusy, o.Address)
			s.setGauge(float64(o.RunningLong), metric.LongSlotsBusy, o.Address)
			s.setGauge(float64(o.OpenConnections), metric.Connections, o.Address)
		}
	}
	s.setGauge(float64(owned), metric.OwnedServers)
}

// sampleMesh updates the metrics of the members and of the messages between VMs.
func (s *sampler) sampleMesh() {
	states := map[string]int{}
	for _, m := range s.n.mesh.View().Members() {
		states[stateName(m.State())]++
	}
	for state, n := range states {
		s.setGauge(float64(n), metric.Members, state)
	}
	s.setGauge(float64(len(s.n.mesh.Dump().Connections)), metric.PeerConnections)
	for _, k := range s.n.mesh.Stats().Kinds() {
		if k.Name() == unitKind {
			s.raiseCounter(k.Sent(), metric.Forwarded)
		}
		if k.Sent() > 0 {
			s.raiseCounter(k.SentBytes(), metric.PeerBytes, "sent", k.Name())
		}
		if k.Received() > 0 {
			s.raiseCounter(k.ReceivedBytes(), metric.PeerBytes, "received", k.Name())
		}
	}
}

// raiseCounter raises a counter to total. A total that has not increased changes nothing.
func (s *sampler) raiseCounter(total int64, name string, labels ...string) {
	key := name + " " + strings.Join(labels, " ")
	if d := total - s.lastTotals[key]; d > 0 {
		s.n.metrics.set.Counter(name, labels...).Inc(d)
		s.lastTotals[key] = total
	}
}

func (s *sampler) setGauge(v float64, name string, labels ...string) {
	key := name + " " + strings.Join(labels, " ")
	g, ok := s.gauges[key]
	if !ok {
		g.metric = s.n.metrics.set.Gauge(name, labels...)
	}
	g.updated = true
	s.gauges[key] = g
	g.metric.Update(v)
}

// resetStaleGauges sets gauges to 0 that the current sample has not updated, such as those of a server that another VM owns now.
func (s *sampler) resetStaleGauges() {
	for key, g := range s.gauges {
		if !g.updated {
			g.metric.Update(0)
			delete(s.gauges, key)
			continue
		}
		g.updated = false
		s.gauges[key] = g
	}
}
