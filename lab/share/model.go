package share

import (
	"container/heap"
	"strconv"
	"time"

	"verbenagate/core/result"
	"verbenagate/core/sched"
	"verbenagate/lab/load"
)

// Fingerprints of the two kinds of work.
const (
	shortWork = uint64(2)
	longWork  = uint64(3)
)

// queueLimit is never reached: the deadlines bound the queues.
const queueLimit = 1 << 16

// begin is the wall time of the start of a model's virtual time.
var begin = time.Unix(1_000_000, 0)

// event is something that happens at a virtual time.
type event struct {
	at  time.Duration
	seq int
	do  func()
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

// unit is a request on its way.
type unit struct {
	q     load.Request
	entry int
}

// proxy is a VM that has a queue for the server.
type proxy struct {
	id    int
	queue *sched.Queue
	// held is the number of slots that the VM has, allowed the number that it may keep.
	held, allowed, running int
	// demand is the time integral of waiting and running units since the last report.
	demand time.Duration
}

// model is one run.
type model struct {
	c       Case
	way     Way
	now     time.Duration
	events  events
	seq     int
	proxies []*proxy
	divider *divider

	executing, most    int
	short, quiet       []time.Duration
	done               time.Duration
	inTime             int
	shortIdle, anyIdle time.Duration
}

// Model runs a plan in virtual time. Interval is the time between two reports of demand, for Moved.
func Model(c Case, way Way, interval time.Duration, plan []load.Request) Result {
	m := &model{c: c, way: way}
	for i := range c.vms {
		p := &proxy{id: i}
		switch {
		case way == Owner && i == 0:
			p.held = c.slots
		case way == Fixed && i < c.slots, way == Moved && i < c.slots:
			p.held = 1
		}
		p.allowed = p.held
		p.queue = sched.New(p.held, queueLimit)
		m.proxies = append(m.proxies, p)
	}
	for _, q := range plan {
		m.at(q.At(), func() { m.arrive(unit{q, c.entryOf(q.Caller())}) })
	}
	if way == Moved {
		m.divider = newDivider(m, interval)
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.advance(e.at)
		e.do()
	}
	requests, work := c.offered(plan)
	span := float64(c.slots) * (c.phases[1].To - c.phases[1].From).Seconds()
	return Result{
		Way: way, Case: c.name, Goodput: c.goodput(m.done, work), QuietP99: quantile(m.quiet, 0.99),
		P50: quantile(m.short, 0.5), P99: quantile(m.short, 0.99), Refused: 1 - float64(m.inTime)/float64(requests),
		ShortIdle: m.shortIdle.Seconds() / span, AnyIdle: m.anyIdle.Seconds() / span, MostInUse: m.most,
	}
}

func (m *model) at(t time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{t, m.seq, do})
}

func (m *model) after(d time.Duration, do func()) { m.at(m.now+d, do) }

func (m *model) wall() time.Time { return begin.Add(m.now) }

// distance is the one-way delay between two VMs, or between a VM and the server, which is where VM 0 is.
func (m *model) distance(a, b int) time.Duration {
	if a%centres == b%centres {
		return 0
	}
	return m.c.hop
}

// forward is the time that a unit takes to another VM.
func (m *model) forward(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return m.distance(a, b) + forwardCost/2
}

// advance moves the time on and counts the slots that were idle meanwhile although work waited.
func (m *model) advance(to time.Duration) {
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

// arrive takes a unit from its caller to the VM whose queue it joins.
func (m *model) arrive(u unit) {
	home := m.proxies[u.entry]
	switch m.way {
	case Owner:
		home = m.proxies[0]
	case Fixed:
		home = m.proxies[m.c.shareOf(u.q.Caller())]
	}
	m.after(m.forward(u.entry, home.id), func() {
		fingerprint := shortWork
		if u.q.Kind() == load.Straggler {
			fingerprint = longWork
		}
		it := sched.NewItem(strconv.Itoa(u.q.Caller()), fingerprint, begin.Add(u.q.At()+m.c.timeout), sched.NeedsConnection, false, u)
		if home.queue.Submit(it, m.wall()) == result.OK {
			m.next(home)
		}
	})
}

// next starts what the VM's slots allow.
func (m *model) next(p *proxy) {
	p.queue.ReclassifyLong(m.wall())
	started, _ := p.queue.Next(m.wall(), max(0, min(p.held, p.allowed)-p.running))
	for _, it := range started {
		u := it.Value().(unit)
		took := m.c.serviceOf(u.q)
		p.running++
		// Running work becomes long at the threshold, not at the next event.
		if limit := p.queue.Threshold() + time.Millisecond; took > limit {
			m.after(limit, func() { m.next(p) })
		}
		reach := m.distance(p.id, 0)
		m.after(reach, func() {
			m.executing++
			m.most = max(m.most, m.executing)
			m.after(took, func() {
				m.executing--
				m.after(reach, func() { m.ended(p, it) })
			})
		})
	}
}

// ended frees the slot on the VM and sends the answer.
func (m *model) ended(p *proxy, it *sched.Item) {
	p.queue.Done(it, m.wall())
	p.running--
	if m.divider != nil {
		m.divider.release(p)
	}
	m.next(p)
	u := it.Value().(unit)
	m.after(m.forward(p.id, u.entry), func() { m.answered(u) })
}

func (m *model) answered(u unit) {
	took := m.now - u.q.At()
	if took > m.c.timeout {
		return
	}
	quiet, busy := m.c.phases[0], m.c.phases[1]
	if m.now >= busy.From && m.now < busy.To {
		m.done += m.c.serviceOf(u.q)
	}
	switch at := u.q.At(); {
	case at >= busy.From && at < busy.To:
		m.inTime++
		if u.q.Kind() != load.Straggler {
			m.short = append(m.short, took)
		}
	case at >= quiet.From && at < quiet.To && u.q.Kind() != load.Straggler:
		m.quiet = append(m.quiet, took)
	}
}
