package share

import "time"

// divider moves slots between the VMs. It runs on the VM in the server's data centre. A slot is given to another VM only
// after the one that had it has released it, so the shares in use never exceed the slots.
type divider struct {
	m        *model
	interval time.Duration
	demand   []time.Duration
	// granted counts the slots of each VM, with those whose grant is on its way; target is what the VM should have.
	granted, target []int
	free            int
	round           int
}

func newDivider(m *model, interval time.Duration) *divider {
	d := &divider{m: m, interval: interval, demand: make([]time.Duration, m.c.vms)}
	for _, p := range m.proxies {
		d.granted = append(d.granted, p.held)
	}
	d.target = append(d.target, d.granted...)
	m.at(interval, d.report)
	return d
}

// report sends the demand of each VM: the mean since the last report and what waits or runs now.
func (d *divider) report() {
	m := d.m
	busy := m.now < m.c.profile.Duration
	for _, p := range m.proxies {
		busy = busy || p.queue.Len()+p.running > 0
		demand := p.demand + time.Duration(p.queue.Len()+p.running)*d.interval
		p.demand = 0
		m.after(m.distance(p.id, 0), func() { d.demand[p.id] = demand })
	}
	m.after(m.c.hop, d.divide)
	if busy {
		m.after(d.interval, d.report)
	}
}

// divide computes the shares by the highest averages (D'Hondt), and gives slots that nobody asks for to the VMs in turn.
func (d *divider) divide() {
	n := len(d.target)
	d.round++
	clear(d.target)
	for range d.m.c.slots {
		best := d.round % n
		for i := range n {
			v := (d.round + i) % n
			a, b := d.demand[v]/time.Duration(d.target[v]+1), d.demand[best]/time.Duration(d.target[best]+1)
			if a > b || a == b && d.target[v] < d.target[best] {
				best = v
			}
		}
		d.target[best]++
	}
	for v, p := range d.m.proxies {
		if d.target[v] < d.granted[v] {
			d.allow(p)
		}
	}
	d.grant()
}

// allow tells a VM how many slots it may keep.
func (d *divider) allow(p *proxy) {
	target := d.target[p.id]
	d.m.after(d.m.distance(0, p.id), func() {
		p.allowed = target
		d.release(p)
		d.m.next(p)
	})
}

// release returns the slots that a VM may not keep and does not use.
func (d *divider) release(p *proxy) {
	n := p.held - max(p.allowed, p.running)
	if n <= 0 {
		return
	}
	d.resize(p, p.held-n)
	d.m.after(d.m.distance(p.id, 0), func() {
		d.granted[p.id] -= n
		d.free += n
		d.grant()
	})
}

// grant gives free slots to the VMs that are below their target.
func (d *divider) grant() {
	for i := range d.granted {
		v := (d.round + i) % len(d.granted)
		p := d.m.proxies[v]
		for d.free > 0 && d.granted[v] < d.target[v] {
			d.free--
			d.granted[v]++
			target := d.target[v]
			d.m.after(d.m.distance(0, v), func() {
				p.allowed = target
				d.resize(p, p.held+1)
				d.m.next(p)
			})
		}
	}
}

func (d *divider) resize(p *proxy, held int) {
	p.held = held
	p.queue.SetSlots(held)
}
