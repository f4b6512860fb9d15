package share

import (
	"container/heap"
	"strconv"
	"time"

	"verbenagate/core/result"
	"verbenagate/core/sched"
	"verbenagate/lab/load"
)

// Fingerprints of short and long units of work.
const (
	shortFingerprint = uint64(2)
	longFingerprint  = uint64(3)
)

// queueLimit is never reached, because the deadlines of the units bound the queues.
const queueLimit = 1 << 16

// virtualEpoch is the wall-clock time that corresponds to virtual time 0.
var virtualEpoch = time.Unix(1_000_000, 0)

// event is a function that is run at a virtual time. Events at the same time are run in the order of seq.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// unit is a request and the VM that its caller is connected to.
type unit struct {
	q       load.Request
	entryVM int
}

// proxy is a VM with its queue for the server.
type proxy struct {
	id    int
	queue *sched.Queue
	// held is the number of slots that the VM has, allowed the number that it may keep, and running the number in use.
	held, allowed, running int
	// demand is the time integral of the number of queued and running units since the last report.
	demand time.Duration
}

// model is the state of one run.
type model struct {
	c         Case
	strategy  Strategy
	now       time.Duration
	events    events
	seq       int
	proxies   []*proxy
	allocator *allocator

	executing, maxExecuting       int
	busyLatencies, quietLatencies []time.Duration
	doneWork                      time.Duration
	answeredInTime                int
	shortIdle, anyIdle            time.Duration
}

// Model runs a plan in virtual time. Interval is the time between two demand reports and is used only for Moved.
func Model(c Case, strategy Strategy, interval time.Duration, plan []load.Request) Result {
	m := &model{c: c, strategy: strategy}
	for i := range c.vms {
		p := &proxy{id: i}
		switch {
		case strategy == Owner && i == 0:
			p.held = c.slots
		case strategy == Fixed && i < c.slots, strategy == Moved && i < c.slots:
			p.held = 1
		}
		p.allowed = p.held
		p.queue = sched.New(p.held, queueLimit)
		m.proxies = append(m.proxies, p)
	}
	for _, q := range plan {
		m.scheduleAt(q.At(), func() { m.arrive(unit{q, c.entryVMOf(q.Caller())}) })
	}
	if strategy == Moved {
		m.allocator = newAllocator(m, interval)
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.advanceTo(e.at)
		e.run()
	}
	requests, work := c.offered(plan)
	span := float64(c.slots) * (c.phases[1].To - c.phases[1].From).Seconds()
	return Result{
		Strategy: strategy, Case: c.name, Goodput: c.goodput(m.doneWork, work), QuietP99: quantile(m.quietLatencies, 0.99),
		P50: quantile(m.busyLatencies, 0.5), P99: quantile(m.busyLatencies, 0.99), NotInTime: 1 - float64(m.answeredInTime)/float64(requests),
		ShortIdle: m.shortIdle.Seconds() / span, AnyIdle: m.anyIdle.Seconds() / span, MaxSlotsInUse: m.maxExecuting,
	}
}

func (m *model) scheduleAt(t time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{t, m.seq, run})
}

func (m *model) scheduleAfter(d time.Duration, run func()) { m.scheduleAt(m.now+d, run) }

func (m *model) wallTime() time.Time { return virtualEpoch.Add(m.now) }

// oneWayDelay returns the one-way delay between VMs a and b. The server is in the data centre of VM 0.
func (m *model) oneWayDelay(a, b int) time.Duration {
	if a%dataCentreCount == b%dataCentreCount {
		return 0
	}
	return m.c.centreDelay
}

// forwardDelay returns the time to forward a unit, or its answer, from VM a to VM b.
func (m *model) forwardDelay(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return m.oneWayDelay(a, b) + forwardCost/2
}

// advanceTo sets the virtual time, and adds up the demands and the time in which slots were idle although work was queued.
func (m *model) advanceTo(to time.Duration) {
	busy := m.c.phases[1]
	span := min(to, busy.To) - max(m.now, busy.From)
	if idle := m.c.slots - m.executing; idle > 0 && span > 0 {
		short, all := 0, 0
		for _, p := range m.proxies {
			short += p.queue.Waiting(sched.Short)
			all += p.queue.Len()
		}
		m.shortIdle += time.Duration(min(idle, short)) * span
		m.anyIdle += time.Duration(min(idle, all)) * span
	}
	for _, p := range m.proxies {
		p.demand += time.Duration(p.queue.Len()+p.running) * (to - m.now)
	}
	m.now = to
}

// arrive forwards a unit from its caller's VM to the VM that must queue it, and queues it there.
func (m *model) arrive(u unit) {
	queueVM := m.proxies[u.entryVM]
	switch m.strategy {
	case Owner:
		queueVM = m.proxies[0]
	case Fixed:
		queueVM = m.proxies[m.c.shareVMOf(u.q.Caller())]
	}
	m.scheduleAfter(m.forwardDelay(u.entryVM, queueVM.id), func() {
		fingerprint := shortFingerprint
		if u.q.Kind() == load.Straggler {
			fingerprint = longFingerprint
		}
		it := sched.NewItem(strconv.Itoa(u.q.Caller()), fingerprint, virtualEpoch.Add(u.q.At()+m.c.timeout), sched.NeedsConnection, false, u)
		if queueVM.queue.Submit(it, m.wallTime()) == result.OK {
			m.startNext(queueVM)
		}
	})
}

// startNext starts queued units while the VM has free slots.
func (m *model) startNext(p *proxy) {
	p.queue.ReclassifyLong(m.wallTime())
	started, _ := p.queue.Next(m.wallTime(), max(0, min(p.held, p.allowed)-p.running))
	for _, it := range started {
		u := it.Value().(unit)
		serviceTime := m.c.serviceTimeOf(u.q)
		p.running++
		// Reclassify running work as long at the threshold, not only at the next event of the VM.
		if limit := p.queue.Threshold() + time.Millisecond; serviceTime > limit {
			m.scheduleAfter(limit, func() { m.startNext(p) })
		}
		delay := m.oneWayDelay(p.id, 0)
		m.scheduleAfter(delay, func() {
			m.executing++
			m.maxExecuting = max(m.maxExecuting, m.executing)
			m.scheduleAfter(serviceTime, func() {
				m.executing--
				m.scheduleAfter(delay, func() { m.finish(p, it) })
			})
		})
	}
}

// finish frees the unit's slot on the VM and sends the answer to the caller's VM.
func (m *model) finish(p *proxy, it *sched.Item) {
	p.queue.Done(it, m.wallTime())
	p.running--
	if m.allocator != nil {
		m.allocator.releaseExcess(p)
	}
	m.startNext(p)
	u := it.Value().(unit)
	m.scheduleAfter(m.forwardDelay(p.id, u.entryVM), func() { m.recordAnswer(u) })
}

func (m *model) recordAnswer(u unit) {
	latency := m.now - u.q.At()
	if latency > m.c.timeout {
		return
	}
	quiet, busy := m.c.phases[0], m.c.phases[1]
	if m.now >= busy.From && m.now < busy.To {
		m.doneWork += m.c.serviceTimeOf(u.q)
	}
	switch at := u.q.At(); {
	case at >= busy.From && at < busy.To:
		m.answeredInTime++
		if u.q.Kind() != load.Straggler {
			m.busyLatencies = append(m.busyLatencies, latency)
		}
	case at >= quiet.From && at < quiet.To && u.q.Kind() != load.Straggler:
		m.quietLatencies = append(m.quietLatencies, latency)
	}
}
