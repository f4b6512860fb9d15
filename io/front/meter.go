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
	classCount   = int(stmt.Empty) + 1
	outcomeCount = int(result.Unknown) + 1
)

// meter holds the metrics of one service. The frequent ones are looked up at their first use and kept: later units need no
// look-up, and a service without traffic needs no memory.
type meter struct {
	set     *metric.Set
	service string

	units          [classCount][outcomeCount]atomic.Pointer[metric.Counter]
	unitSeconds    [classCount]atomic.Pointer[metric.Histogram]
	replicaReads   atomic.Pointer[metric.Counter]
	primaryReads   atomic.Pointer[metric.Counter]
	barriers       atomic.Pointer[metric.Counter]
	barrierSeconds atomic.Pointer[metric.Histogram]
}

func newMeter(set *metric.Set, service string) *meter { return &meter{set: set, service: service} }

// counter looks up a counter and stores it in p.
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

// unitEnded counts a unit by its outcome and records its duration.
func (m *meter) unitEnded(class stmt.Class, outcome result.Outcome, took time.Duration) {
	if int(class) >= classCount || int(outcome) >= outcomeCount {
		return
	}
	units := &m.units[class][outcome]
	if c := units.Load(); c != nil {
		(*c).Inc(1)
	} else {
		m.counter(units, metric.Units, m.service, class.String(), outcome.String()).Inc(1)
	}
	seconds := &m.unitSeconds[class]
	if h := seconds.Load(); h != nil {
		(*h).Observe(took.Seconds())
	} else {
		m.histogram(seconds, metric.UnitSeconds, m.service, class.String()).Observe(took.Seconds())
	}
}

// readAnswered counts a read by the role of the server that answered.
func (m *meter) readAnswered(role port.Role) {
	p := &m.replicaReads
	if role == port.RolePrimary {
		p = &m.primaryReads
	}
	if c := p.Load(); c != nil {
		(*c).Inc(1)
		return
	}
	m.counter(p, metric.Reads, m.service, role.String()).Inc(1)
}

// attemptRetried counts an attempt that ended with code and is followed by another attempt.
func (m *meter) attemptRetried(code result.Code) {
	m.set.Counter(metric.Retries, m.service, code.String()).Inc(1)
}

// hedgedReadEnded counts a second run of a read. answeredBy is "first", "second" or "none".
func (m *meter) hedgedReadEnded(answeredBy string) {
	m.set.Counter(metric.HedgedReads, m.service, answeredBy).Inc(1)
}

// barrierEnded counts a barrier request, and records its duration if it succeeded.
func (m *meter) barrierEnded(took time.Duration, err error) {
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
