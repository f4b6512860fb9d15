// Package node assembles the components of one VM and runs them.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/failov"
	"verbenagate/core/member"
	"verbenagate/core/once"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/route"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/admin"
	"verbenagate/io/caller"
	"verbenagate/io/catlog"
	"verbenagate/io/config"
	"verbenagate/io/ctrl"
	"verbenagate/io/front"
	"verbenagate/io/group"
	"verbenagate/io/host"
	"verbenagate/io/logs"
	"verbenagate/io/parse"
	"verbenagate/io/peer"
	"verbenagate/io/platf"
)

const (
	// notifyTimeout bounds requests to other VMs whose result is ignored.
	notifyTimeout = time.Second
	// listInterval is the time between two renewals of this VM's entry in the platform's list of VMs, and the minimum time
	// between two reads of the list. An entry expires after listEntryTTL without renewal.
	listInterval = 5 * time.Second
	listEntryTTL = 20 * time.Second
	// maxListBytesPerSecond bounds the rate at which a VM reads the list, so that a long list is read less often: a list of
	// 790 VMs, read every 5 s, would use all of the 16 KB/s that a VM has for control traffic. Between two reads, the VM learns
	// of changes from the other VMs, which read at other times. listEntryBytes is the size of an entry on the wire.
	maxListBytesPerSecond = 1024
	listEntryBytes        = 110
	// discoveryTimeout bounds the initial discovery of other VMs. After it, this VM owns servers according to its own view.
	discoveryTimeout = 5 * time.Second
	// barrierWait bounds how long a read waits for a barrier that gives its session's required point.
	barrierWait = 10 * time.Second
	// failoverStagger is how much longer each candidate waits before a promotion than the one ranked before it. A promotion
	// takes far less time.
	failoverStagger = 500 * time.Millisecond
	// failoverMinRefusals is how many connections in a row a primary must refuse to count as failed: its process is gone.
	failoverMinRefusals = 2
	// remotePenalty and primaryPenalty are in units per slot; see route.NewCosts.
	remotePenalty  = 1.0
	primaryPenalty = 0.25
)

// Node is one VM: its listeners, its connections to other VMs and the servers that it owns.
type Node struct {
	cfg     config.Settings
	log     logs.Logger
	levels  *logs.Log
	platf   *platf.Client
	mesh    *peer.Mesh
	host    *host.Host
	front   *front.Front
	owners  *owners
	parser  *parse.Parser
	callers *caller.Server
	config  *catlog.Keeper
	admin   *admin.Server
	metrics *metrics

	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	started       time.Time
	stopRequested chan struct{}
	stopOnce      sync.Once
	draining      atomic.Bool
	assignEnabled atomic.Bool
	// built is set once all components exist. Until then, this VM refuses requests and units from other VMs, which arrive as soon
	// as the mesh listens.
	built atomic.Bool

	primaryTerms primaryTerms

	// assignMu serialises assignments, so that an older view or configuration never replaces a newer one.
	assignMu sync.Mutex
}

// New starts a VM. The VM serves callers once it has the configuration and has discovered the other VMs.
func New(cfg config.Settings, log *logs.Log) (*Node, error) {
	n := &Node{cfg: cfg, levels: log, metrics: newMetrics(), started: time.Now(), stopRequested: make(chan struct{})}
	n.log = logs.NewCounting(log, n.metrics.countEvent)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.build(); err != nil {
		n.close(n.ctx)
		return nil, err
	}
	n.built.Store(true)
	n.startTask(n.syncPlatformList)
	if len(cfg.Peers.Seeds) > 0 {
		n.startTask(n.contactSeedsWhenAlone)
	}
	n.startTask(n.awaitDiscovery)
	n.log.Event(event.NodeStarted, zap.String("vm", cfg.VM.ID), zap.String("data_centre", cfg.VM.DataCentre),
		zap.Stringer("callers", n.callers.Addr()), zap.String("peers", n.mesh.Addr()))
	return n, nil
}

func (n *Node) build() error {
	n.platf = platf.New(n.cfg.Platform.URL, n.cfg.Platform.Timeout, platf.WithMetrics(n.metrics.set))
	if err := n.buildMesh(); err != nil {
		return err
	}
	n.owners = &owners{localVM: n.cfg.VM.ID, mesh: n.mesh, definition: n.definition}
	n.parser = parse.New()
	parser := n.parser
	n.front = front.New(front.Config{
		DataCentre: n.cfg.VM.DataCentre, Owners: n.owners, Parser: parser, BarrierWait: barrierWait,
		NewIdempotencyKeys: func(svc svcdef.Service) front.IdempotencyKeys { return newIdempotencyKeys(svc, parser) },
		Costs:              route.NewCosts(remotePenalty, primaryPenalty), Metrics: n.metrics.set, Logger: n.log, Now: time.Now,
	})
	n.host = host.New(host.Config{
		VM: n.cfg.VM.ID, Settings: n.groupSettings(), IsRefused: ctrl.IsConnectionRefused, Table: n.platf,
		Metrics: n.metrics.set, Logger: n.log, Now: time.Now,
		Dial: func(svc svcdef.Service, address string) group.Server {
			return ctrl.New(address, svc.Database(), svc.Login(), n.cfg.VM.ID)
		},
		Once: func(svc svcdef.Service) *once.Rules {
			rules, _ := once.New(svc.OnceRules(), parser) // validated before the definition was accepted
			return rules
		},
		PeerAssessments: n.owners.requestHealth, OnPrimaryChange: n.announcePrimary,
	})
	n.owners.host = n.host
	n.config = catlog.New(catlog.Config{
		VM: n.cfg.VM.ID, DataCentre: n.cfg.VM.DataCentre, Table: n.platf, Objects: n.platf, PollInterval: n.cfg.Timing.ConfigPoll,
		RequestRevisions: n.requestRevisions, OnApplied: func(svcdef.Catalog) { n.applyCatalog() }, Logger: n.log, Now: time.Now,
	})
	n.config.SetMembers(n.mesh.View())
	n.mesh.OnChange(func(v member.View) {
		n.config.SetMembers(v)
		n.assignServers()
	})
	return n.buildListeners(parser)
}

func (n *Node) buildMesh() error {
	peerTLS, err := n.openTLSFiles(n.cfg.TLS.Peers.Files())
	if err != nil {
		return err
	}
	n.mesh, err = peer.New(peer.Config{
		Listen: n.cfg.Listen.Peers, Addr: n.cfg.Listen.PeersAnnounce, ID: n.cfg.VM.ID, DataCentre: n.cfg.VM.DataCentre,
		CurrentTLS: clientTLS(peerTLS), Logger: n.log,
		OpenStream: func(_ string, u work.Unit) (work.Stream, error) {
			if !n.built.Load() {
				return nil, n.startingError()
			}
			return n.host.Open(u)
		},
		HandleRequest: n.handlePeerRequest,
		OnRevision: func(from string, revision uint64) {
			if n.built.Load() {
				n.config.SetPeerRevision(from, revision)
			}
		},
	})
	return err
}

func (n *Node) buildListeners(parser *parse.Parser) error {
	callerTLS, err := n.openTLSFiles(n.cfg.TLS.Callers.Files())
	if err != nil {
		return err
	}
	operatorTLS, err := n.openTLSFiles(n.cfg.TLS.Operators.Files())
	if err != nil {
		return err
	}
	l, err := new(net.ListenConfig).Listen(n.ctx, "tcp", n.cfg.Listen.Callers)
	if err != nil {
		return result.Wrap(result.InvalidConfig, err, "listen for callers on %s", n.cfg.Listen.Callers)
	}
	limits := n.callerBounds()
	n.callers = caller.New(l, n, parser, n.cfg.VM.ID, caller.WithTLS(serverTLS(callerTLS)),
		caller.WithTLSRequired(n.cfg.TLS.Callers.Required), caller.WithLogger(n.log),
		caller.WithMetrics(n.metrics.set),
		caller.WithMaxCallers(limits.callers), caller.WithMaxStarting(limits.starting),
		caller.WithMaxMessage(n.cfg.Limits.MessageSize))
	if n.admin, err = admin.Listen(n.ctx, n.cfg.Listen.Operators, control{n}, n.log,
		admin.WithTLS(serverTLS(operatorTLS, admin.ALPNProtocol))); err != nil {
		return err
	}
	return n.startMetrics(parser)
}

func (n *Node) startingError() error {
	return result.New(result.NotOwner, "VM %s is still starting", n.cfg.VM.ID)
}

func (n *Node) groupSettings() group.Settings {
	t := n.cfg.Timing
	return group.Settings{
		Interval: t.WatchInterval, Budget: new(group.PollBudget), StatusTimeout: t.StatusTimeout, ControlTimeout: t.ControlTimeout,
		Limits: failov.NewLimits(t.Silence, failoverStagger, failoverMinRefusals),
	}
}

// Service returns the definition of the service that a caller names as its database.
func (n *Node) Service(name string) (svcdef.Service, bool) { return n.front.Service(name) }

// Open opens a session for a caller.
func (n *Node) Open(ctx context.Context, service, user string) (caller.Session, error) {
	return n.front.Open(ctx, service, user)
}

func (n *Node) definition(name string) (svcdef.Service, bool) {
	return n.config.Catalog().Service(name)
}

// startTask runs f in a goroutine. The context ends when the VM closes, and close waits for f to return.
func (n *Node) startTask(f func(ctx context.Context)) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f(n.ctx)
	}()
}

// syncPlatformList renews this VM's entry in the platform's list and passes the listed VMs to the mesh.
func (n *Node) syncPlatformList(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		n.renewListEntry(ctx)
		if now := time.Now(); !now.Before(next) {
			next = now.Add(listPause(n.readList(ctx), rand.Float64()))
		}
		t.Reset(listInterval)
	}
}

// listPause returns the minimum time until the next read of a list with this many entries; 0 means at the next listInterval.
// For a long list, a random part of up to a quarter is subtracted, so that VMs that started together do not keep reading at the
// same time. Random is in [0, 1).
func listPause(entries int, random float64) time.Duration {
	pause := time.Duration(float64(entries*listEntryBytes) / maxListBytesPerSecond * float64(time.Second))
	if pause <= listInterval {
		return 0
	}
	return pause - time.Duration(random*float64(pause)/4)
}

func (n *Node) renewListEntry(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, n.cfg.Platform.Timeout)
	defer cancel()
	if !n.draining.Load() {
		// The error is ignored: the entry's TTL covers several failed renewals, and VMs that have met need no list.
		_ = n.platf.Register(callCtx, port.VM{
			ID: n.cfg.VM.ID, DataCentre: n.cfg.VM.DataCentre, PeerAddr: n.mesh.Addr(),
		}, listEntryTTL)
	}
}

// readList passes the platform's list to the mesh and returns its length, or 0 if the list cannot be read.
func (n *Node) readList(ctx context.Context) int {
	callCtx, cancel := context.WithTimeout(ctx, n.cfg.Platform.Timeout)
	defer cancel()
	list, err := n.platf.VMs(callCtx)
	if err != nil {
		return 0
	}
	n.mesh.Seed(list)
	return len(list)
}

// awaitDiscovery waits until the initial discovery of other VMs is done or has timed out, and then enables assignments. Before
// that, this VM would take servers that other VMs own.
func (n *Node) awaitDiscovery(ctx context.Context) {
	timeout := time.After(discoveryTimeout)
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for !n.mesh.View().DiscoveryDone() {
		select {
		case <-t.C:
			continue
		case <-timeout:
		case <-ctx.Done():
			return
		}
		break
	}
	n.assignEnabled.Store(true)
	n.assignServers()
}

// applyCatalog makes a new configuration the active one.
func (n *Node) applyCatalog() {
	c := n.config.Catalog()
	n.front.Configure(c.Services())
	n.mesh.SetRevision(c.Revision())
	n.assignServers()
}

// assignServers makes this VM own exactly the servers that the current view and configuration assign to it. It does nothing
// before the initial discovery.
func (n *Node) assignServers() {
	if !n.assignEnabled.Load() {
		return
	}
	n.assignMu.Lock()
	defer n.assignMu.Unlock()
	n.host.Assign(n.config.Catalog().Services(), n.mesh.View())
}

func (n *Node) requestRevisions(ctx context.Context, vm string, req peer.RevisionRequest) (peer.Revisions, error) {
	reply, err := n.mesh.Call(ctx, vm, req)
	if err != nil {
		return peer.Revisions{}, err
	}
	revs, ok := reply.(peer.Revisions)
	if !ok {
		return peer.Revisions{}, result.New(result.Internal, "VM %s answered a request for revisions with unexpected type %T", vm, reply)
	}
	return revs, nil
}

// mayBelongToVM reports whether a session's process id contains the hash of the VM's id, which several VMs may share.
func mayBelongToVM(processID uint32, id string) bool {
	return caller.VMHashOfProcessID(processID) == caller.VMHash(id)
}

// CallerAddr returns the address of the listener for callers.
func (n *Node) CallerAddr() string { return n.callers.Addr().String() }

// OperatorAddr returns the address of the listener for operators.
func (n *Node) OperatorAddr() string { return n.admin.Addr().String() }

// PeerAddr returns the address that this VM announces to other VMs.
func (n *Node) PeerAddr() string { return n.mesh.Addr() }

// MetricsAddr returns the address of the metrics server, or "" if there is none.
func (n *Node) MetricsAddr() string {
	if n.metrics.server == nil {
		return ""
	}
	return n.metrics.server.Addr().String()
}

// Front returns the component that serves callers' sessions, for measurements.
func (n *Node) Front() *front.Front { return n.front }

// Mesh returns the component that connects to other VMs, for measurements.
func (n *Node) Mesh() *peer.Mesh { return n.mesh }
