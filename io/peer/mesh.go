// Package peer connects the VMs: typed CBOR messages over WebSocket, heartbeats, remote streams and requests.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/member"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/work"
)

const (
	// tick drives the membership; a silent partner is probed at the same rate.
	tick = 50 * time.Millisecond
	// scanInterval is how often all connections are looked at without news. At each tick, 789 connections at rest would cost
	// more CPU than the membership.
	scanInterval = 500 * time.Millisecond
	// dialTimeout bounds the opening of a connection, the TLS and the Hello exchange included.
	dialTimeout = 2 * time.Second
	// dialFirst and dialMost bound the wait after a failed dial.
	dialFirst = 20 * time.Millisecond
	dialMost  = time.Second
	// flushTime is how long Close waits for final heartbeats to be written.
	flushTime = 200 * time.Millisecond
	// pendingRecords bounds the changed records in one message.
	pendingRecords = 64

	defaultIdle = time.Minute
	path        = "/peer"
	// maxClaimed bounds the part of a claimed VM id that is logged, since anybody may send one.
	maxClaimed = 63
)

// VMHeader is the header of the upgrade request that names the VM that dials. It serves logs, and proxies that treat VMs
// differently; the VM that accepts the connection relies on Hello and the certificate alone.
const VMHeader = "Verbenagate-Vm"

// Logger takes numbered events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

type noLog struct{}

func (noLog) Event(event.ID, ...zap.Field) {}

// Config describes a Mesh and the VM around it.
type Config struct {
	// Listen is the address to listen on; Addr is the one that others dial, by default that of the listener.
	Listen string
	Addr   string
	// ID and DataCentre identify the own VM.
	ID         string
	DataCentre string
	// Incarnation must be higher than in earlier lives of the VM; the default is the clock in milliseconds.
	Incarnation uint64
	// TLS has the VM's certificate, whose DNS name is the VM's id, and the deployment's CA as RootCAs. Nil means
	// connections without TLS.
	TLS *tls.Config
	// CurrentTLS, if set, stands for TLS and is called at each handshake, so that keys can change while the VM runs.
	CurrentTLS func() *tls.Config
	// Idle is how long a connection without use is kept; heartbeat partners stay connected.
	Idle time.Duration
	// OpenStream opens a local stream for the first unit of a stream of another VM. Close waits for the units that run,
	// so they must end when their context does.
	OpenStream func(from string, u work.Unit) (work.Stream, error)
	// Serve answers requests of other VMs.
	Serve func(ctx context.Context, from string, req Request) (Reply, error)
	// OnRevision is called when another VM has a higher configuration revision than the one given to SetRevision, again
	// with each of its heartbeats. It must not wait long: all such calls come from one goroutine.
	OnRevision func(from string, revision uint64)
	Logger     Logger
}

// Mesh is the VM's part of the connections between VMs.
type Mesh struct {
	cfg      Config
	listener net.Listener
	server   *http.Server
	stats    *counters
	inflight inflight
	revision atomic.Uint64
	ids      atomic.Uint64
	view     atomic.Pointer[member.View]
	ctx      context.Context // ends with the mesh
	cancel   context.CancelFunc
	wake     chan struct{}
	revWake  chan struct{}

	wmu    sync.Mutex
	wg     sync.WaitGroup
	closed bool

	tmu   sync.Mutex
	table *member.Table

	// scanned and nextScan belong to loop; rescan asks it to look at all connections.
	scanned  uint64
	nextScan time.Time
	rescan   atomic.Bool

	pmu   sync.RWMutex
	peers map[string]*peer

	omu       sync.Mutex
	observers []func(member.View)
	heard     map[string]uint64
}

// peer holds the connections with one VM. There is one unless both VMs dialled at the same time.
type peer struct {
	mu       sync.Mutex
	conns    []*conn
	try      *try
	failures int
	next     time.Time
	err      error
}

// try is a dial under way.
type try struct {
	done chan struct{}
	conn *conn
	err  error
}

// New listens and starts the heartbeats.
func New(cfg Config) (*Mesh, error) {
	if cfg.ID == "" || cfg.DataCentre == "" {
		return nil, result.New(result.InvalidConfig, "VM id and data centre must be set")
	}
	if cfg.Logger == nil {
		cfg.Logger = noLog{}
	}
	if cfg.Idle == 0 {
		cfg.Idle = defaultIdle
	}
	now := time.Now()
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(now.UnixMilli())
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "listen for VMs on %s", cfg.Listen)
	}
	if cfg.Addr == "" {
		cfg.Addr = l.Addr().String()
	}
	if cfg.TLS != nil && cfg.CurrentTLS == nil {
		cfg.CurrentTLS = func() *tls.Config { return cfg.TLS }
	}
	if cfg.CurrentTLS != nil {
		outer := serverTLS(cfg.CurrentTLS())
		outer.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return serverTLS(cfg.CurrentTLS()), nil }
		l = tls.NewListener(l, outer)
	}
	m := &Mesh{
		cfg: cfg, listener: l, stats: newCounters(), wake: make(chan struct{}, 1),
		revWake: make(chan struct{}, 1), peers: map[string]*peer{}, heard: map[string]uint64{},
		table: member.New(member.Config{
			ID: cfg.ID, DataCentre: cfg.DataCentre, Addr: cfg.Addr, Incarnation: cfg.Incarnation,
		}, now),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.publish()
	m.server = &http.Server{
		Handler: m.handler(), ReadHeaderTimeout: dialTimeout, ErrorLog: log.New(io.Discard, "", 0),
	}
	m.start(func() {
		// Serve always returns an error; after Close it is expected, and otherwise others cannot connect to this VM.
		if err := m.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			m.cfg.Logger.Event(event.NodeFailed, zap.Error(err))
		}
	})
	m.start(m.loop)
	m.start(m.tellRevisions)
	return m, nil
}

// start runs f in a goroutine that Close waits for, unless the mesh is closed.
func (m *Mesh) start(f func()) bool {
	m.wmu.Lock()
	defer m.wmu.Unlock()
	if m.closed {
		return false
	}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		f()
	}()
	return true
}

// Addr returns the address that other VMs dial.
func (m *Mesh) Addr() string { return m.cfg.Addr }

// Close tells the other VMs that this one is gone, and ends all connections and streams.
func (m *Mesh) Close() {
	conns := m.conns()
	m.tmu.Lock()
	self := m.table.Self()
	m.tmu.Unlock()
	for _, c := range conns {
		c.send(Heartbeat{Incarnation: self.Incarnation, State: member.Dead})
	}
	for _, c := range conns {
		c.flush(flushTime)
	}
	m.stop()
}

// stop ends the mesh without a final heartbeat, as a crash does.
func (m *Mesh) stop() {
	m.wmu.Lock()
	if m.closed {
		m.wmu.Unlock()
		m.wg.Wait()
		return
	}
	m.closed = true
	m.cancel()
	m.wmu.Unlock()
	m.server.Close()
	for _, c := range m.conns() {
		c.close(errClosed)
	}
	m.wg.Wait()
}

func (m *Mesh) conns() []*conn {
	m.pmu.RLock()
	defer m.pmu.RUnlock()
	var out []*conn
	for _, p := range m.peers {
		p.mu.Lock()
		out = append(out, p.conns...)
		p.mu.Unlock()
	}
	return out
}

// View returns the current snapshot of the members.
func (m *Mesh) View() member.View { return *m.view.Load() }

// OnChange calls f with the current view, and has it called with each new one from a single goroutine. F must not wait
// long, since heartbeats come from the same goroutine.
func (m *Mesh) OnChange(f func(member.View)) {
	m.omu.Lock()
	defer m.omu.Unlock()
	m.observers = append(m.observers, f)
	f(m.View())
}

// Seed takes the platform's list of VMs.
func (m *Mesh) Seed(list []port.VM) {
	m.tmu.Lock()
	m.table.Seed(time.Now(), list)
	m.tmu.Unlock()
	m.changed()
}

// Leave marks the own VM as leaving.
func (m *Mesh) Leave() {
	m.tmu.Lock()
	m.table.Leave(time.Now())
	m.tmu.Unlock()
	m.changed()
}

// SetRevision sets the number of the configuration revision in force, and tells the heartbeat partners at once.
func (m *Mesh) SetRevision(n uint64) {
	for {
		old := m.revision.Load()
		if n <= old {
			return
		}
		if m.revision.CompareAndSwap(old, n) {
			break
		}
	}
	m.tmu.Lock()
	b := m.ack()
	var to []string
	for _, v := range m.table.View().Members() {
		if m.table.IsHeartbeatPeer(v.ID()) {
			to = append(to, v.ID())
		}
	}
	m.tmu.Unlock()
	for _, id := range to {
		if c := m.current(id); c != nil {
			c.send(Heartbeat{b.Incarnation, b.State, b.Revision, b.Digest, false})
		}
	}
}

// ack returns the content of a heartbeat. The caller holds tmu.
func (m *Mesh) ack() HeartbeatAck {
	self := m.table.Self()
	return HeartbeatAck{self.Incarnation, self.State, m.revision.Load(), m.table.View().Digest()}
}

func (m *Mesh) hearRevision(vm string, n uint64) {
	if m.cfg.OnRevision == nil {
		return
	}
	m.omu.Lock()
	m.heard[vm] = n
	m.omu.Unlock()
	select {
	case m.revWake <- struct{}{}:
	default:
	}
}

func (m *Mesh) tellRevisions() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.revWake:
		}
		m.omu.Lock()
		heard := m.heard
		m.heard = map[string]uint64{}
		m.omu.Unlock()
		for vm, n := range heard {
			if n > m.revision.Load() {
				m.cfg.OnRevision(vm, n)
			}
		}
	}
}

// changed wakes the loop if the view has changed.
func (m *Mesh) changed() {
	m.tmu.Lock()
	stale := m.table.View().Version() != m.view.Load().Version()
	m.tmu.Unlock()
	if stale {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

// publish makes the table's view the current one.
func (m *Mesh) publish() (member.View, []member.Event, bool) {
	v, events := m.table.View(), m.table.Events()
	old := m.view.Swap(&v)
	return v, events, old == nil || old.Version() != v.Version()
}

func (m *Mesh) loop() {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-t.C:
		case <-m.wake:
		}
		m.step(time.Now())
	}
}

// step moves the membership on, sends what is due and looks after the connections.
func (m *Mesh) step(now time.Time) {
	m.tmu.Lock()
	m.table.Tick(now)
	due := m.table.DueHeartbeats(now)
	view, events, changed := m.publish()
	own := m.ack()
	changes := m.table.Changes()
	m.tmu.Unlock()

	m.logEvents(events)
	if m.rescan.Swap(false) || changes != m.scanned || len(events) > 0 || !now.Before(m.nextScan) {
		m.scanned, m.nextScan = changes, now.Add(scanInterval)
		m.scan(now, view, events)
	}
	for _, b := range due {
		if c := m.current(b.ID()); c != nil {
			c.send(Heartbeat{own.Incarnation, own.State, own.Revision, own.Digest, b.Probe()})
		} else {
			m.dial(b.ID())
		}
	}
	if changed {
		m.omu.Lock()
		observers := slices.Clone(m.observers)
		m.omu.Unlock()
		for _, f := range observers {
			f(view)
		}
	}
}

// scan passes changed records on, and closes connections that are stuck, unused or lead to a VM that has died.
func (m *Mesh) scan(now time.Time, view member.View, events []member.Event) {
	conns := m.conns()
	news := map[*conn][]member.Record{}
	keep := map[string]bool{}
	m.tmu.Lock()
	for _, c := range conns {
		if m.table.IsHeartbeatPeer(c.vm) {
			keep[c.vm] = true
		}
		if r := m.table.PendingRecords(c.vm, pendingRecords); len(r) > 0 {
			news[c] = r
		}
	}
	m.tmu.Unlock()
	for c, r := range news {
		c.send(Members{Records: r})
		if len(r) == pendingRecords {
			m.rescan.Store(true) // there may be more
		}
	}
	for _, c := range conns {
		died := slices.ContainsFunc(events, func(e member.Event) bool { return e.ID() == c.vm && e.New() == member.Dead })
		if v, ok := view.Member(c.vm); died && ok && v.State() == member.Dead {
			c.close(fmt.Errorf("VM %s counts as dead", c.vm))
		}
		if v, ok := view.Member(c.vm); ok && v.State() == member.Suspect {
			c.leave(fmt.Errorf("VM %s is suspected", c.vm))
		}
		unused := c.idle(now) > m.cfg.Idle && !c.busy()
		switch {
		case c.stuck(now):
			c.close(fmt.Errorf("write to VM %s took more than %v", c.vm, writeTimeout))
		case unused && (!keep[c.vm] || m.current(c.vm) != c):
			c.close(errIdle)
		}
	}
}

func (m *Mesh) logEvents(events []member.Event) {
	for _, e := range events {
		id := event.MemberAlive
		switch e.New() {
		case member.Suspect:
			if e.Old() == 0 {
				continue // known from the platform's list and not heard yet, as each VM at the start
			}
			id = event.MemberSuspect
		case member.Dead:
			id = event.MemberDead
		case member.Leaving:
			id = event.MemberLeaving
		case 0:
			continue
		}
		m.cfg.Logger.Event(id, zap.String("vm", e.ID()), zap.Stringer("was", e.Old()), zap.Stringer("state", e.New()))
	}
}

func (m *Mesh) peer(id string) *peer {
	m.pmu.RLock()
	p := m.peers[id]
	m.pmu.RUnlock()
	if p != nil {
		return p
	}
	m.pmu.Lock()
	defer m.pmu.Unlock()
	if p = m.peers[id]; p == nil {
		p = &peer{}
		m.peers[id] = p
	}
	return p
}

// current returns the connection to send over, nil if there is none.
func (m *Mesh) current(id string) *conn {
	p := m.peer(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.best()
}

func (p *peer) best() *conn {
	var best *conn
	for _, c := range p.conns {
		if c.alive() && (best == nil || c.preferred()) {
			best = c
		}
	}
	return best
}
