// Package reach finds out which data centres this VM can reach. It pings VMs of the other data centres in turn, and learns from the
// calls that other parts of the VM make.
package reach

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/io/every"
	"verbenagate/io/logs"
)

const (
	// pingInterval is the time between two pings of VMs in other data centres, pingTimeout the time for an answer.
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 300 * time.Millisecond
	// maxFailureAge is the age up to which an unanswered call says something about the network. When an older one fails, this VM
	// has been suspended.
	maxFailureAge = time.Second
)

// Monitor keeps what this VM knows of its paths to the other data centres. It is safe for concurrent use.
type Monitor struct {
	self  lead.Member
	ping  func(ctx context.Context, address string, timeout time.Duration) error
	clock func() time.Time
	log   logs.Logger

	// healthy is set while no call is unanswered, so that answers need not take the lock.
	healthy    atomic.Bool
	background sync.WaitGroup

	mu          sync.Mutex
	contacts    []lead.Member
	turns       int            // of the contacts
	retryTurns  map[string]int // by data centre with an unanswered call
	reached     lead.Reachability
	cutOff      bool
	unreachable []string
	onChange    func()
}

// New returns a Monitor of the VM self, which pings other VMs with ping. It does nothing until Start is called.
func New(self lead.Member, ping func(ctx context.Context, address string, timeout time.Duration) error, clock func() time.Time,
	log logs.Logger,
) *Monitor {
	m := &Monitor{self: self, ping: ping, clock: clock, log: log, retryTurns: make(map[string]int), onChange: func() {}}
	m.healthy.Store(true)
	return m
}

// Start pings other VMs until ctx ends. It calls onChange whenever CutOff or Unreachable has changed.
func (m *Monitor) Start(ctx context.Context, onChange func()) {
	m.mu.Lock()
	m.onChange = onChange
	m.mu.Unlock()
	m.background.Go(func() { every.Interval(ctx, pingInterval, func() { m.step(ctx) }) })
}

// Wait waits until no ping is under way. Call it when the context passed to Start has ended.
func (m *Monitor) Wait() { m.background.Wait() }

// SetMembers sets the live VMs, from which the VMs to ping are chosen.
func (m *Monitor) SetMembers(live []lead.Member) {
	contacts := lead.Contacts(live, m.self.Name(), m.self.DataCentre())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contacts = contacts
}

// step judges the calls so far and pings the next VMs. A ping does not delay the next step.
func (m *Monitor) step(ctx context.Context) {
	m.judge()
	for _, vm := range m.nextContacts() {
		m.background.Go(func() {
			sent := m.clock()
			err := m.ping(ctx, vm.Address(), pingTimeout)
			switch {
			case ctx.Err() != nil:
			case err == nil:
				m.RecordAnswer(vm)
			default:
				m.RecordFailure(vm, sent)
			}
		})
	}
}

// nextContacts returns the contact whose turn it is, and the next one of each data centre with an unanswered call, which shows
// soon whether only a VM has failed.
func (m *Monitor) nextContacts() []lead.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.contacts) == 0 {
		return nil
	}
	next := []lead.Member{m.contacts[m.turns%len(m.contacts)]}
	m.turns++
	for _, dc := range m.reached.Unanswered() {
		var local []lead.Member
		for _, c := range m.contacts {
			if c.DataCentre() == dc {
				local = append(local, c)
			}
		}
		if len(local) == 0 {
			continue
		}
		c := local[m.retryTurns[dc]%len(local)]
		m.retryTurns[dc]++
		if c.Name() != next[0].Name() {
			next = append(next, c)
		}
	}
	return next
}

// RecordAnswer records that a VM answered a call.
func (m *Monitor) RecordAnswer(vm lead.Member) {
	if m.healthy.Load() || vm.DataCentre() == m.self.DataCentre() {
		return
	}
	m.mu.Lock()
	m.reached.RecordAnswer(vm.DataCentre())
	m.healthy.Store(len(m.reached.Unanswered()) == 0)
	m.mu.Unlock()
	m.judge()
}

// RecordFailure records that a VM did not answer a call sent at sent. It is not for a VM that refused a connection: its process may
// have ended.
func (m *Monitor) RecordFailure(vm lead.Member, sent time.Time) {
	if vm.DataCentre() == m.self.DataCentre() || m.clock().Sub(sent) > maxFailureAge {
		return
	}
	m.mu.Lock()
	m.reached.RecordFailure(vm.DataCentre(), vm.Name(), sent)
	m.healthy.Store(false)
	m.mu.Unlock()
	m.judge()
}

// judge updates what CutOff and Unreachable return. It logs each change and calls onChange.
func (m *Monitor) judge() {
	m.mu.Lock()
	now := m.clock()
	cutOff, unreachable := m.reached.CutOff(now), m.reached.Unreachable(now)
	changed := cutOff != m.cutOff || !slices.Equal(unreachable, m.unreachable)
	if cutOff != m.cutOff {
		id := event.ContactRegained
		if cutOff {
			id = event.ContactLost
		}
		m.log.Event(id)
	}
	m.logDataCentres(event.DataCentreLost, unreachable, m.unreachable)
	m.logDataCentres(event.DataCentreRegained, m.unreachable, unreachable)
	m.cutOff, m.unreachable = cutOff, unreachable
	onChange := m.onChange
	m.mu.Unlock()
	if changed {
		onChange()
	}
}

// logDataCentres logs an event for each data centre of list that is not in other.
func (m *Monitor) logDataCentres(id event.ID, list, other []string) {
	for _, dc := range list {
		if !slices.Contains(other, dc) {
			m.log.Event(id, zap.String("data_centre", dc))
		}
	}
}

// CutOff reports whether this VM is cut off from all other data centres.
func (m *Monitor) CutOff() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cutOff
}

// Unreachable reports whether no VM of a data centre answers this VM.
func (m *Monitor) Unreachable(dataCentre string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.unreachable, dataCentre)
}

// State is the state of a Monitor in a diagnostic dump.
type State struct {
	CutOff      bool     `json:"cut_off"`
	Unreachable []string `json:"unreachable"`
}

// State returns a copy of the state.
func (m *Monitor) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{CutOff: m.cutOff, Unreachable: slices.Clone(m.unreachable)}
}
