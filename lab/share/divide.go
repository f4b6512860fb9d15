package share

import "time"

// allocator moves slots between the VMs by demand. It runs on VM 0, which is in the server's data centre. It grants a slot to another
// VM only after the previous holder has released it, so that the VMs never use more slots than there are.
type allocator struct {
	m        *model
	interval time.Duration
	demand   []time.Duration
	// granted is the number of slots of each VM, including grants that have not arrived yet. Target is the number that it should have.
	granted, target []int
	freeSlots       int
	round           int
}

func newAllocator(m *model, interval time.Duration) *allocator {
	a := &allocator{m: m, interval: interval, demand: make([]time.Duration, m.c.vms)}
	for _, p := range m.proxies {
		a.granted = append(a.granted, p.held)
	}
	a.target = append(a.target, a.granted...)
	m.scheduleAt(interval, a.reportDemand)
	return a
}

// reportDemand sends the demand of each VM to the allocator: its time integral since the last report, plus the units that are queued
// or running now, multiplied by the interval. Reports repeat until the load has ended and no unit is queued or running.
func (a *allocator) reportDemand() {
	m := a.m
	busy := m.now < m.c.profile.Duration
	for _, p := range m.proxies {
		busy = busy || p.queue.Len()+p.running > 0
		demand := p.demand + time.Duration(p.queue.Len()+p.running)*a.interval
		p.demand = 0
		m.scheduleAfter(m.oneWayDelay(p.id, 0), func() { a.demand[p.id] = demand })
	}
	m.scheduleAfter(m.c.centreDelay, a.allocate)
	if busy {
		m.scheduleAfter(a.interval, a.reportDemand)
	}
}

// allocate computes the target shares from the demands by the method of highest averages (D'Hondt). Slots without demand go to
// the VMs in round robin.
func (a *allocator) allocate() {
	n := len(a.target)
	a.round++
	clear(a.target)
	for range a.m.c.slots {
		best := a.round % n
		for i := range n {
			v := (a.round + i) % n
			quotient, bestQuotient := a.demand[v]/time.Duration(a.target[v]+1), a.demand[best]/time.Duration(a.target[best]+1)
			if quotient > bestQuotient || quotient == bestQuotient && a.target[v] < a.target[best] {
				best = v
			}
		}
		a.target[best]++
	}
	for v, p := range a.m.proxies {
		if a.target[v] < a.granted[v] {
			a.sendAllowance(p)
		}
	}
	a.grant()
}

// sendAllowance sends a VM the number of slots that it may keep.
func (a *allocator) sendAllowance(p *proxy) {
	target := a.target[p.id]
	a.m.scheduleAfter(a.m.oneWayDelay(0, p.id), func() {
		p.allowed = target
		a.releaseExcess(p)
		a.m.startNext(p)
	})
}

// releaseExcess returns to the allocator the slots that a VM may not keep and does not use.
func (a *allocator) releaseExcess(p *proxy) {
	n := p.held - max(p.allowed, p.running)
	if n <= 0 {
		return
	}
	a.setHeld(p, p.held-n)
	a.m.scheduleAfter(a.m.oneWayDelay(p.id, 0), func() {
		a.granted[p.id] -= n
		a.freeSlots += n
		a.grant()
	})
}

// grant sends free slots to the VMs that have fewer than their target.
func (a *allocator) grant() {
	for i := range a.granted {
		v := (a.round + i) % len(a.granted)
		p := a.m.proxies[v]
		for a.freeSlots > 0 && a.granted[v] < a.target[v] {
			a.freeSlots--
			a.granted[v]++
			target := a.target[v]
			a.m.scheduleAfter(a.m.oneWayDelay(0, v), func() {
				p.allowed = target
				a.setHeld(p, p.held+1)
				a.m.startNext(p)
			})
		}
	}
}

func (a *allocator) setHeld(p *proxy, held int) {
	p.held = held
	p.queue.SetSlots(held)
}
