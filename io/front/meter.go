package front

import (
	"sync/atomic"
	"time"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/io/metric"
)

const (
	classes  = int(stmt.Empty) + 1
	outcomes = int(result.Unknown) + 1
)

// meter holds the metrics of one service. Each is looked up at its first use: a unit of work then costs no look-up, and a
// service without traffic costs no memory.
type meter struct {
	set     *metric.Set
	service string

	units          [classes][outcomes]atomic.Pointer[metric.Counter]
	seconds        [classes]atomic.Pointer[metric.Histogram]
	replica        atomic.Pointer[metric.Counter]
	primary        atomic.Pointer[metric.Counter]
	barriers       atomic.Pointer[metric.Counter]
	barrierSeconds atomic.Pointer[metric.Histogram]
}

func newMeter(set *metric.Set, service string) *meter { return &meter{set: set, service: service} }

// counter returns the counter that p keeps, and looks it up if there is none yet.
func (m *meter) counter(p *atomic.Pointer[metric.Counter], name string, labels ...string) metric.Counter {
	c := m.set.Counter(name, labels...)
	p.Store(&c)
	return c
}

func (m *meter) histogram(p *atomic.Pointer[metric.Histogram], name string, labels ...string) metric.Histogram {
	h := m.set.Histogram(name, labels...)
	p.Store(&h)
	return h
}

// ended measures a unit.
func (m *meter) ended(class stmt.Class, outcome result.Outcome, took time.Duration) {
	if int(class) >= classes || int(outcome) >= outcomes {
		return
	}
	units := &m.units[class][outcome]
	if c := units.Load(); c != nil {
		(*c).Inc(1)
	} else {
		m.counter(units, metric.Units, m.service, class.String(), outcome.String()).Inc(1)
	}
	seconds := &m.seconds[class]
	if h := seconds.Load(); h != nil {
		(*h).Observe(took.Seconds())
	} else {
		m.histogram(seconds, metric.UnitSeconds, m.service, class.String()).Observe(took.Seconds())
	}
}

// read counts a read by the role of the server that answered.
func (m *meter) read(role port.Role) {
	p := &m.replica
	if role == port.RolePrimary {
		p = &m.primary
	}
	if c := p.Load(); c != nil {
		(*c).Inc(1)
		return
	}
	m.counter(p, metric.Reads, m.service, role.String()).Inc(1)
}

// retried counts an attempt that ended with the code and is followed by another one.
func (m *meter) retried(code result.Code) {
	m.set.Counter(metric.Retries, m.service, code.String()).Inc(1)
}

// hedged counts a read that was run twice, by the run that answered.
func (m *meter) hedged(answered string) {
	m.set.Counter(metric.HedgedReads, m.service, answered).Inc(1)
}

// barrier measures a barrier request.
func (m *meter) barrier(took time.Duration, err error) {
	if err != nil {
		m.set.Counter(metric.Barriers, m.service, "failed").Inc(1)
		return
	}
	if c := m.barriers.Load(); c != nil {
		(*c).Inc(1)
	} else {
		m.counter(&m.barriers, metric.Barriers, m.service, "ok").Inc(1)
	}
	if h := m.barrierSeconds.Load(); h != nil {
		(*h).Observe(took.Seconds())
		return
	}
	m.histogram(&m.barrierSeconds, metric.BarrierSeconds, m.service).Observe(took.Seconds())
}
