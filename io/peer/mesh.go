// Package peer connects the VMs with each other. It sends typed CBOR messages over WebSocket connections: heartbeats,
// membership records, remote streams of units, and requests with replies.
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
	// stepInterval is the longest time between two steps of the membership. A silent heartbeat partner is probed at the
	// same rate.
	stepInterval = 50 * time.Millisecond
	// scanInterval is the longest time between two scans of all connections. Scanning 789 idle connections at each step
	// would take more CPU than the membership itself.
	scanInterval = 500 * time.Millisecond
	// dialTimeout limits the time to open a connection, including the TLS handshake and the exchange of Hello messages.
	dialTimeout = 2 * time.Second
	// minDialBackoff and maxDialBackoff bound the exponential backoff after a failed dial.
	minDialBackoff = 20 * time.Millisecond
	maxDialBackoff = time.Second
	// closeFlushTimeout is how long Close waits on each connection until the final heartbeat is written.
	closeFlushTimeout = 200 * time.Millisecond
	// maxRecordsPerMessage limits the changed member records in one Members message.
	maxRecordsPerMessage = 64

	defaultIdleTimeout = time.Minute
	webSocketPath      = "/peer"
	// maxLoggedIDBytes limits how much of a claimed VM id is logged, since any client can send one of any length.
	maxLoggedIDBytes = 63
)

// VMHeader is the header of the upgrade request with the id of the dialling VM. It is meant for logs and for proxies that
// treat VMs differently. The accepting VM identifies the other VM by Hello and the certificate alone.
const VMHeader = "Verbenagate-Vm"

// Logger logs numbered events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

type nopLogger struct{}

func (nopLogger) Event(event.ID, ...zap.Field) {}

// Config holds the settings of a Mesh, the identity of the own VM and the callbacks of the mesh.
type Config struct {
	// Listen is the address to listen on. Addr is the address that other VMs dial; the default is the listener's address.
	Listen string
	Addr   string
	// ID and DataCentre identify the own VM.
	ID         string
	DataCentre string
	// Incarnation must be higher than in earlier runs of the VM; the default is the wall clock in Unix milliseconds.
	Incarnation uint64
	// TLS holds the VM's certificate, whose DNS name is the VM's id, and the deployment's CA as RootCAs. If TLS and
	// CurrentTLS are nil, connections don't use TLS.
	TLS *tls.Config
	// CurrentTLS, if set, replaces TLS. It is called at each handshake, so that keys can change while the VM runs.
	CurrentTLS func() *tls.Config
	// IdleTimeout is how long an idle connection is kept open; the default is one minute. Heartbeat partners stay
	// connected.
	IdleTimeout time.Duration
	// OpenStream opens a local stream for the first unit that arrives on a stream of another VM. Mesh.Close waits for
	// running units, so they must return when their context is done.
	OpenStream func(from string, u work.Unit) (work.Stream, error)
	// HandleRequest handles the requests of other VMs and of this VM. If nil, requests fail with Unsupported.
	HandleRequest func(ctx context.Context, from string, req Request) (Reply, error)
	// OnRevision is called when the heartbeat of another VM reports a higher configuration revision than the one given to
	// SetRevision, and again for each such heartbeat. It must not block for long, since one goroutine makes all calls.
	OnRevision func(from string, revision uint64)
	Logger     Logger
}

// Mesh holds the own VM's membership table and its connections with the other VMs.
type Mesh struct {
	cfg           Config
	listener      net.Listener
	server        *http.Server
	stats         *meshCounters
	inboundUnits  unitCounter
	revision      atomic.Uint64
	lastID        atomic.Uint64
	view          atomic.Pointer[member.View]
	ctx           context.Context // ends with the mesh
	cancel        context.CancelFunc
	viewChanged   chan struct{}
	revisionHeard chan struct{}

	wgMu   sync.Mutex
	wg     sync.WaitGroup
	closed bool

	tableMu sync.Mutex
	table   *member.Table

	// scannedChanges and nextScan are used by loop alone. scanRequested makes it scan all connections at the next step.
	scannedChanges uint64
	nextScan       time.Time
	scanRequested  atomic.Bool

	peersMu sync.RWMutex
	peers   map[string]*peer

	observersMu    sync.Mutex
	observers      []func(member.View)
	heardRevisions map[string]uint64
}

// peer holds the connections with one VM. There are two if both VMs dialled at the same time, and otherwise at most one.
type peer struct {
	mu           sync.Mutex
	conns        []*conn
	attempt      *dialAttempt
	dialFailures int
	nextDial     time.Time
	dialErr      error
}

// dialAttempt is a dial in progress. Its conn and err are set before done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *conn
	err  error
}

// New starts to listen for other VMs and starts the membership. The caller must call Close.
func New(cfg Config) (*Mesh, error) {
	if cfg.ID == "" || cfg.DataCentre == "" {
		return nil, result.New(result.InvalidConfig, "VM id and data centre must be set")
	}
	if cfg.Logger == nil {
		cfg.Logger = nopLogger{}
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	now := time.Now()
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(now.UnixMilli())
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "listen for peer VMs on %s", cfg.Listen)
	}
	if cfg.Addr == "" {
		cfg.Addr = l.Addr().String()
	}
	if cfg.TLS != nil && cfg.CurrentTLS == nil {
		cfg.CurrentTLS = func() *tls.Config { return cfg.TLS }
	}
	if cfg.CurrentTLS != nil {
		listenerTLS := serverTLS(cfg.CurrentTLS())
		listenerTLS.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return serverTLS(cfg.CurrentTLS()), nil }
		l = tls.NewListener(l, listenerTLS)
	}
	m := &Mesh{
		cfg: cfg, listener: l, stats: newCounters(), viewChanged: make(chan struct{}, 1),
		revisionHeard: make(chan struct{}, 1), peers: map[string]*peer{}, heardRevisions: map[string]uint64{},
		table: member.New(member.Config{
			ID: cfg.ID, DataCentre: cfg.DataCentre, Addr: cfg.Addr, Incarnation: cfg.Incarnation,
		}, now),
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.publishView()
	m.server = &http.Server{
		Handler: m.handler(), ReadHeaderTimeout: dialTimeout, ErrorLog: log.New(io.Discard, "", 0),
	}
	m.startGoroutine(func() {
		// Serve always returns an error. ErrServerClosed follows Close; after any other error no VM can connect to this
		// one.
		if err := m.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			m.cfg.Logger.Event(event.NodeFailed, zap.Error(err))
		}
	})
	m.startGoroutine(m.loop)
	m.startGoroutine(m.deliverHeardRevisions)
	return m, nil
}

// startGoroutine runs f in a goroutine that Close waits for. It returns false without running f if the mesh is closed.
func (m *Mesh) startGoroutine(f func()) bool {
	m.wgMu.Lock()
	defer m.wgMu.Unlock()
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

// Close sends a final heartbeat with state Dead to the connected VMs, and closes all connections and streams.
func (m *Mesh) Close() {
	conns := m.conns()
	m.tableMu.Lock()
	self := m.table.Self()
	m.tableMu.Unlock()
	for _, c := range conns {
		c.sendControl(Heartbeat{Incarnation: self.Incarnation, State: member.Dead})
	}
	for _, c := range conns {
		c.flush(closeFlushTimeout)
	}
	m.stop()
}

// stop closes the mesh without a final heartbeat, as a crash does.
func (m *Mesh) stop() {
	m.wgMu.Lock()
	if m.closed {
		m.wgMu.Unlock()
		m.wg.Wait()
		return
	}
	m.closed = true
	m.cancel()
	m.wgMu.Unlock()
	m.server.Close()
	for _, c := range m.conns() {
		c.close(errMeshClosed)
	}
	m.wg.Wait()
}

func (m *Mesh) conns() []*conn {
	m.peersMu.RLock()
	defer m.peersMu.RUnlock()
	var out []*conn
	for _, p := range m.peers {
		p.mu.Lock()
		out = append(out, p.conns...)
		p.mu.Unlock()
	}
	return out
}

// View returns the current snapshot of the membership.
func (m *Mesh) View() member.View { return *m.view.Load() }

// OnChange calls f at once with the current view, and later with each new view from a single goroutine. F must not block
// for long, since the same goroutine sends the heartbeats.
func (m *Mesh) OnChange(f func(member.View)) {
	m.observersMu.Lock()
	defer m.observersMu.Unlock()
	m.observers = append(m.observers, f)
	f(m.View())
}

// Seed adds the VMs of the platform's list to the membership.
func (m *Mesh) Seed(list []port.VM) {
	m.tableMu.Lock()
	m.table.Seed(time.Now(), list)
	m.tableMu.Unlock()
	m.wakeIfViewChanged()
}

// Leave sets the state of the own VM to Leaving.
func (m *Mesh) Leave() {
	m.tableMu.Lock()
	m.table.Leave(time.Now())
	m.tableMu.Unlock()
	m.wakeIfViewChanged()
}

// SetRevision sets the number of the configuration revision in force, and sends it to the heartbeat partners at once. A
// number that is not higher than the current one is ignored.
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
	m.tableMu.Lock()
	own := m.heartbeatAck()
	var partners []string
	for _, v := range m.table.View().Members() {
		if m.table.IsHeartbeatPeer(v.ID()) {
			partners = append(partners, v.ID())
		}
	}
	m.tableMu.Unlock()
	for _, id := range partners {
		if c := m.currentConn(id); c != nil {
			c.sendControl(Heartbeat{own.Incarnation, own.State, own.Revision, own.Digest, false})
		}
	}
}

// heartbeatAck returns the content of the own VM's next heartbeat. The caller holds tableMu.
func (m *Mesh) heartbeatAck() HeartbeatAck {
	self := m.table.Self()
	return HeartbeatAck{self.Incarnation, self.State, m.revision.Load(), m.table.View().Digest()}
}

func (m *Mesh) queueHeardRevision(vm string, n uint64) {
	if m.cfg.OnRevision == nil {
		return
	}
	m.observersMu.Lock()
	m.heardRevisions[vm] = n
	m.observersMu.Unlock()
	select {
	case m.revisionHeard <- struct{}{}:
	default:
	}
}

func (m *Mesh) deliverHeardRevisions() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.revisionHeard:
		}
		m.observersMu.Lock()
		heard := m.heardRevisions
		m.heardRevisions = map[string]uint64{}
		m.observersMu.Unlock()
		for vm, n := range heard {
			if n > m.revision.Load() {
				m.cfg.OnRevision(vm, n)
			}
		}
	}
}

// wakeIfViewChanged wakes the loop if the table has a newer view than the published one.
func (m *Mesh) wakeIfViewChanged() {
	m.tableMu.Lock()
	stale := m.table.View().Version() != m.view.Load().Version()
	m.tableMu.Unlock()
	if stale {
		select {
		case m.viewChanged <- struct{}{}:
		default:
		}
	}
}

// publishView makes the table's view the current one. It returns the view, the table's new events and whether the view
// changed.
func (m *Mesh) publishView() (member.View, []member.Event, bool) {
	v, events := m.table.View(), m.table.Events()
	old := m.view.Swap(&v)
	return v, events, old == nil || old.Version() != v.Version()
}

func (m *Mesh) loop() {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-t.C:
		case <-m.viewChanged:
		}
		m.step(time.Now())
	}
}

// step advances the membership to now, sends the heartbeats that are due, scans the connections if necessary and calls the
// observers of a changed view.
func (m *Mesh) step(now time.Time) {
	m.tableMu.Lock()
	m.table.Tick(now)
	due := m.table.DueHeartbeats(now)
	view, events, changed := m.publishView()
	own := m.heartbeatAck()
	changes := m.table.Changes()
	m.tableMu.Unlock()

	m.logEvents(events)
	if m.scanRequested.Swap(false) || changes != m.scannedChanges || len(events) > 0 || !now.Before(m.nextScan) {
		m.scannedChanges, m.nextScan = changes, now.Add(scanInterval)
		m.scanConnections(now, view, events)
	}
	for _, target := range due {
		if c := m.currentConn(target.ID()); c != nil {
			c.sendControl(Heartbeat{own.Incarnation, own.State, own.Revision, own.Digest, target.Probe()})
		} else {
			m.startDial(target.ID())
		}
	}
	if changed {
		m.observersMu.Lock()
		observers := slices.Clone(m.observers)
		m.observersMu.Unlock()
		for _, f := range observers {
			f(view)
		}
	}
}

// scanConnections sends changed member records, abandons reads on suspected VMs, and closes connections that are stuck,
// idle or lead to a dead VM.
func (m *Mesh) scanConnections(now time.Time, view member.View, events []member.Event) {
	conns := m.conns()
	pending := map[*conn][]member.Record{}
	heartbeatPeers := map[string]bool{}
	m.tableMu.Lock()
	for _, c := range conns {
		if m.table.IsHeartbeatPeer(c.vm) {
			heartbeatPeers[c.vm] = true
		}
		if records := m.table.PendingRecords(c.vm, maxRecordsPerMessage); len(records) > 0 {
			pending[c] = records
		}
	}
	m.tableMu.Unlock()
	for c, records := range pending {
		c.sendControl(Members{Records: records})
		if len(records) == maxRecordsPerMessage {
			m.scanRequested.Store(true) // there may be more
		}
	}
	for _, c := range conns {
		died := slices.ContainsFunc(events, func(e member.Event) bool { return e.ID() == c.vm && e.New() == member.Dead })
		if v, ok := view.Member(c.vm); died && ok && v.State() == member.Dead {
			c.close(fmt.Errorf("VM %s has state dead in the membership", c.vm))
		}
		if v, ok := view.Member(c.vm); ok && v.State() == member.Suspect {
			c.abandonReads(fmt.Errorf("VM %s is suspected", c.vm))
		}
		unused := c.idleTime(now) > m.cfg.IdleTimeout && !c.inUse()
		switch {
		case c.isWriteStuck(now):
			c.close(fmt.Errorf("write to VM %s took more than %v", c.vm, writeTimeout))
		case unused && (!heartbeatPeers[c.vm] || m.currentConn(c.vm) != c):
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
				continue // from the platform's list, no heartbeat yet; at the start this applies to every VM
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
	m.peersMu.RLock()
	p := m.peers[id]
	m.peersMu.RUnlock()
	if p != nil {
		return p
	}
	m.peersMu.Lock()
	defer m.peersMu.Unlock()
	if p = m.peers[id]; p == nil {
		p = &peer{}
		m.peers[id] = p
	}
	return p
}

// currentConn returns the connection for messages to a VM, nil if there is none.
func (m *Mesh) currentConn(id string) *conn {
	p := m.peer(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bestConn()
}

func (p *peer) bestConn() *conn {
	var best *conn
	for _, c := range p.conns {
		if c.isOpen() && (best == nil || c.isPreferred()) {
			best = c
		}
	}
	return best
}
