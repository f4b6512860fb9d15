package node

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"verbenagate/core/event"
	"verbenagate/io/metric"
	"verbenagate/io/parse"
)

// unitKind is the name of the message that carries a unit of work to another VM.
const unitKind = "Unit"

// metrics holds the VM's metrics and the server that shows them.
type metrics struct {
	set    *metric.Set
	server *metric.Server
	events [event.InvariantViolated + 1]atomic.Int64
}

func newMetrics() *metrics {
	return &metrics{set: metric.NewSet(metric.Catalog(), metric.ReportInterval)}
}

// count counts a log event.
func (m *metrics) count(id event.ID) {
	if int(id) < len(m.events) {
		m.events[id].Add(1)
	}
}

func (n *Node) serveMetrics(parser *parse.Parser) error {
	if n.cfg.Listen.Metrics != "" {
		var err error
		if n.metrics.server, err = n.metrics.set.Listen(n.ctx, n.cfg.Listen.Metrics); err != nil {
			return err
		}
	}
	n.start(func(ctx context.Context) { n.sample(ctx, &sampler{n: n, parser: parser}) })
	return nil
}

func (m *metrics) close() {
	if m.server != nil {
		_ = m.server.Close()
	}
	_ = m.set.Close()
}

// sample copies what other parts keep into the metrics.
func (n *Node) sample(ctx context.Context, s *sampler) {
	t := time.NewTicker(metric.ReportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.take()
		}
	}
}

// sampler remembers the last totals and the gauges that it has set.
type sampler struct {
	n      *Node
	parser *parse.Parser
	totals map[string]int64
	gauges map[string]gauge
}

type gauge struct {
	metric metric.Gauge
	fresh  bool
}

func (s *sampler) take() {
	if s.totals == nil {
		s.totals, s.gauges = map[string]int64{}, map[string]gauge{}
	}
	s.servers()
	s.mesh()
	for service, n := range s.n.callers.Services() {
		s.set(float64(n), metric.Callers, service)
	}
	s.set(float64(s.n.config.Catalog().Revision()), metric.ConfigRevision)
	hits, misses := s.parser.Lookups()
	s.add(hits, metric.ParseCache, "hit")
	s.add(misses, metric.ParseCache, "miss")
	for id := range s.n.metrics.events {
		if c := s.n.metrics.events[id].Load(); c > 0 {
			s.add(c, metric.LogEvents, strconv.Itoa(id))
		}
	}
	s.settle()
}

// servers measures the servers that this VM watches or owns.
func (s *sampler) servers() {
	owned := 0
	for _, g := range s.n.host.State() {
		for _, w := range g.Watched {
			s.set(w.Age.Seconds(), metric.ServerAge, w.Address)
		}
		for _, o := range g.Owned {
			owned++
			s.set(float64(o.Queued), metric.QueueLength, o.Address)
			s.set(float64(o.Short+o.Long), metric.SlotsBusy, o.Address)
			s.set(float64(o.Long), metric.LongSlotsBusy, o.Address)
			s.set(float64(o.Open), metric.Connections, o.Address)
		}
	}
	s.set(float64(owned), metric.OwnedServers)
}

// mesh measures the other VMs and the messages between VMs.
func (s *sampler) mesh() {
	states := map[string]int{}
	for _, m := range s.n.mesh.View().Members() {
		states[stateName(m.State())]++
	}
	for state, n := range states {
		s.set(float64(n), metric.Members, state)
	}
	s.set(float64(len(s.n.mesh.Dump().Connections)), metric.PeerConnections)
	for _, k := range s.n.mesh.Stats().Kinds() {
		if k.Name() == unitKind {
			s.add(k.Sent(), metric.Forwarded)
		}
		if k.Sent() > 0 {
			s.add(k.SentBytes(), metric.PeerBytes, "sent", k.Name())
		}
		if k.Received() > 0 {
			s.add(k.ReceivedBytes(), metric.PeerBytes, "received", k.Name())
		}
	}
}

// add raises a counter to a total.
func (s *sampler) add(total int64, name string, labels ...string) {
	key := name + " " + strings.Join(labels, " ")
	if d := total - s.totals[key]; d > 0 {
		s.n.metrics.set.Counter(name, labels...).Inc(d)
		s.totals[key] = total
	}
}

func (s *sampler) set(v float64, name string, labels ...string) {
	key := name + " " + strings.Join(labels, " ")
	g, ok := s.gauges[key]
	if !ok {
		g.metric = s.n.metrics.set.Gauge(name, labels...)
	}
	g.fresh = true
	s.gauges[key] = g
	g.metric.Update(v)
}

// settle sets gauges to 0 whose subject is gone, such as a server that another VM owns now.
func (s *sampler) settle() {
	for key, g := range s.gauges {
		if !g.fresh {
			g.metric.Update(0)
			delete(s.gauges, key)
			continue
		}
		g.fresh = false
		s.gauges[key] = g
	}
}
