package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"verbenagate/core/member"
	"verbenagate/core/port"
)

// network runs several tables against each other in simulated time with a seeded random source. It never sleeps.
type network struct {
	rnd   *rand.Rand
	now   time.Time
	nodes []*node
	queue []message
	loss  float64
	delay time.Duration
	// cut reports whether messages between two VMs are lost.
	cut func(from, to *node) bool
}

type node struct {
	table        *member.Table
	id           string
	dc           string
	startedAt    time.Time
	down         bool
	pausedUntil  time.Time
	events       []member.Event
	messagesSent int
}

type message struct {
	at        time.Time
	from, to  *node
	self      member.Record
	heartbeat bool
	probe     bool
	digest    uint64
	bulk      bool
	records   []member.Record
	digests   map[string]uint64
}

const stepDuration = 25 * time.Millisecond

func newNetwork(seed uint64, dcs, perDC int) *network {
	n := &network{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0), delay: 2 * time.Millisecond,
		cut: func(_, _ *node) bool { return false },
	}
	for d := range dcs {
		for i := range perDC {
			n.nodes = append(n.nodes, &node{id: fmt.Sprintf("dc%d-vm%02d", d, i), dc: fmt.Sprintf("dc%d", d)})
		}
	}
	for _, v := range n.nodes {
		n.start(v)
	}
	return n
}

func (n *network) platformList() []port.VM {
	var out []port.VM
	for _, v := range n.nodes {
		out = append(out, port.VM{ID: v.id, DataCentre: v.dc, PeerAddr: v.id + ":1"})
	}
	return out
}

// start starts or restarts the VM with a new table.
func (n *network) start(v *node) {
	v.startedAt, v.down, v.pausedUntil, v.events = n.now, false, time.Time{}, nil
	v.table = member.New(member.Config{
		ID: v.id, DataCentre: v.dc, Addr: v.id + ":1", Incarnation: uint64(n.now.UnixMilli()),
	}, n.now)
	v.table.Seed(n.now, n.platformList())
}

func (n *network) node(id string) *node {
	for _, v := range n.nodes {
		if v.id == id {
			return v
		}
	}
	return nil
}

func (n *network) send(m message) {
	m.self = m.from.table.Self()
	m.from.messagesSent++
	if n.cut(m.from, m.to) || n.rnd.Float64() < n.loss {
		return
	}
	m.at = n.now.Add(n.delay)
	n.queue = append(n.queue, m)
}

// run advances the simulated time by d and calls afterStep, if set, after each step. Messages to a paused VM wait until it
// resumes, as they would in a socket buffer.
func (n *network) run(d time.Duration, afterStep func()) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(stepDuration) {
		var later []message
		due := n.queue
		n.queue = nil
		for _, m := range due {
			switch {
			case m.to.down:
			case m.at.After(n.now) || m.to.pausedUntil.After(n.now):
				later = append(later, m)
			default:
				n.deliver(m)
			}
		}
		n.queue = append(later, n.queue...)
		for _, v := range n.nodes {
			if !v.down && !v.pausedUntil.After(n.now) {
				n.tick(v)
			}
		}
		if afterStep != nil {
			afterStep()
		}
	}
}

func (n *network) deliver(m message) {
	v := m.to
	if v.table.ObserveHello(n.now, m.self) {
		if r, ok := v.table.Record(m.from.id); ok {
			n.send(message{from: v, to: m.from, records: []member.Record{r}})
		}
	}
	if m.heartbeat {
		if m.probe {
			n.send(message{from: v, to: m.from, heartbeat: true, digest: v.table.View().Digest()})
		}
		if v.table.NeedsDigestSync(n.now, m.from.id, m.digest) {
			n.send(message{from: v, to: m.from, digests: v.table.Digests()})
		}
	}
	if m.digests != nil {
		n.send(message{from: v, to: m.from, records: v.table.DifferingRecords(m.digests), bulk: true})
	}
	if len(m.records) > 0 {
		if newer := v.table.MergeRecords(n.now, m.records, m.bulk); len(newer) > 0 {
			n.send(message{from: v, to: m.from, records: newer})
		}
	}
}

func (n *network) tick(v *node) {
	v.table.Tick(n.now)
	for _, b := range v.table.DueHeartbeats(n.now) {
		to := n.node(b.ID())
		if to.down && !n.cut(v, to) {
			v.table.ObserveRefusedConnection(n.now, b.ID())
			continue
		}
		n.send(message{from: v, to: to, heartbeat: true, probe: b.Probe(), digest: v.table.View().Digest()})
	}
	for _, to := range n.nodes {
		if r := v.table.PendingRecords(to.id, 64); len(r) > 0 && !to.down {
			n.send(message{from: v, to: to, records: r})
		}
	}
	v.events = append(v.events, v.table.Events()...)
}

// checkAgreement returns an error unless all running VMs have equal records and each sees exactly the running VMs as live.
func (n *network) checkAgreement() error {
	var live int
	for _, v := range n.nodes {
		if !v.down {
			live++
		}
	}
	var first *node
	for _, v := range n.nodes {
		if v.down {
			continue
		}
		if first == nil {
			first = v
		}
		view := v.table.View()
		if len(view.Live()) != live {
			return fmt.Errorf("%s sees %d of %d VMs as live: %v", v.id, len(view.Live()), live, view.Live())
		}
		if view.Digest() != first.table.View().Digest() {
			return fmt.Errorf("%s and %s have different digests", v.id, first.id)
		}
	}
	return nil
}
