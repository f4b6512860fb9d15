// Package node puts the parts of one VM together.
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
	// announceTimeout bounds messages that need no answer.
	announceTimeout = time.Second
	// listInterval is how often the platform's list of VMs is read and this VM's entry renewed; listTTL is how long an
	// entry lives without renewal.
	listInterval = 5 * time.Second
	listTTL      = 20 * time.Second
	// listBudget is how many bytes of the list a VM reads per second at most, so that a long list is read less often: that
	// of 790 VMs, every 5 s, would take all of the 16 KB/s that a node has for control. Between two reads the VM hears of
	// changes from the others, which read at other times. listEntry is the size of an entry on the wire.
	listBudget = 1024
	listEntry  = 110
	// settleLimit bounds the wait for the other VMs at the start, after which this VM owns servers as it sees fit.
	settleLimit = 5 * time.Second
	// barrierWait is how long a read waits for its session's required point.
	barrierWait = 10 * time.Second
	// failoverStagger is the time between the turns of two candidates; a promotion takes far less.
	failoverStagger = 500 * time.Millisecond
	// failoverRefusals is how many refused connections in a row mean that a server's process is gone.
	failoverRefusals = 2
	// remoteCost and writeRoom weigh servers; see route.NewCosts.
	remoteCost = 1.0
	writeRoom  = 0.25
)

// Node is one VM.
type Node struct {
	cfg     config.Settings
	log     logs.Logger
	levels  *logs.Log
	platf   *platf.Client
	mesh    *peer.Mesh
	host    *host.Host
	front   *front.Front
	reach   *owners
	parser  *parse.Parser
	callers *caller.Server
	config  *catlog.Keeper
	admin   *admin.Server
	metrics *metrics

	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	started time.Time
	stop    chan struct{}
	stopped sync.Once
	drained atomic.Bool
	settled atomic.Bool
	// built guards the other fields against requests of other VMs, which arrive as soon as the mesh listens.
	built atomic.Bool

	primaries primaries

	// assigning makes assignments follow each other, so that an older one never replaces a newer one.
	assigning sync.Mutex
}

// New starts a VM. It serves callers once it knows the configuration and the other VMs.
func New(cfg config.Settings, log *logs.Log) (*Node, error) {
	n := &Node{cfg: cfg, levels: log, metrics: newMetrics(), started: time.Now(), stop: make(chan struct{})}
	n.log = logs.Counted(log, n.metrics.count)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.build(); err != nil {
		n.close(n.ctx)
		return nil, err
	}
	n.built.Store(true)
	n.start(n.keepListed)
	if len(cfg.Peers.Seeds) > 0 {
		n.start(n.keepSeeded)
	}
	n.start(n.settle)
	n.log.Event(event.NodeStarted, zap.String("vm", cfg.VM.ID), zap.String("data_centre", cfg.VM.DataCentre),
		zap.Stringer("callers", n.callers.Addr()), zap.String("peers", n.mesh.Addr()))
	return n, nil
}

func (n *Node) build() error {
	n.platf = platf.New(n.cfg.Platform.URL, n.cfg.Platform.Timeout, platf.WithMetrics(n.metrics.set))
	if err := n.buildMesh(); err != nil {
		return err
	}
	n.reach = &owners{self: n.cfg.VM.ID, mesh: n.mesh, service: n.service}
	n.parser = parse.New()
	parser := n.parser
	n.front = front.New(front.Config{
		DataCentre: n.cfg.VM.DataCentre, Owners: n.reach, Parser: parser, BarrierWait: barrierWait,
		Requests: func(svc svcdef.Service) front.Requests { return newRequests(svc, parser) },
		Costs:    route.NewCosts(remoteCost, writeRoom), Metrics: n.metrics.set, Logger: n.log, Now: time.Now,
	})
	n.host = host.New(host.Config{
		VM: n.cfg.VM.ID, Settings: n.groupSettings(), Refused: ctrl.Refused, Table: n.platf,
		Metrics: n.metrics.set, Logger: n.log, Now: time.Now,
		Dial: func(svc svcdef.Service, address string) group.Server {
			return ctrl.New(address, svc.Database(), svc.Login(), n.cfg.VM.ID)
		},
		Once: func(svc svcdef.Service) *once.Rules {
			rules, _ := once.New(svc.OnceRules(), parser) // checked before the definition was accepted
			return rules
		},
		Others: n.reach.judgements, Changed: n.announce,
	})
	n.reach.host = n.host
	n.config = catlog.New(catlog.Config{
		VM: n.cfg.VM.ID, DataCentre: n.cfg.VM.DataCentre, Table: n.platf, Objects: n.platf, Poll: n.cfg.Timing.ConfigPoll,
		Ask: n.askRevisions, Applied: func(svcdef.Catalog) { n.applied() }, Logger: n.log, Now: time.Now,
	})
	n.config.Members(n.mesh.View())
	n.mesh.OnChange(func(v member.View) {
		n.config.Members(v)
		n.assign()
	})
	return n.buildListeners(parser)
}

func (n *Node) buildMesh() error {
	keys, err := n.openKeys(n.cfg.TLS.Peers.Files())
	if err != nil {
		return err
	}
	n.mesh, err = peer.New(peer.Config{
		Listen: n.cfg.Listen.Peers, Addr: n.cfg.Listen.PeersAnnounce, ID: n.cfg.VM.ID, DataCentre: n.cfg.VM.DataCentre, CurrentTLS: current(keys),
		Logger: n.log,
		OpenStream: func(_ string, u work.Unit) (work.Stream, error) {
			if !n.built.Load() {
				return nil, n.starting()
			}
			return n.host.Open(u)
		},
		Serve: n.serve,
		OnRevision: func(from string, revision uint64) {
			if n.built.Load() {
				n.config.Heard(from, revision)
			}
		},
	})
	return err
}

func (n *Node) buildListeners(parser *parse.Parser) error {
	callerKeys, err := n.openKeys(n.cfg.TLS.Callers.Files())
	if err != nil {
		return err
	}
	operatorKeys, err := n.openKeys(n.cfg.TLS.Operators.Files())
	if err != nil {
		return err
	}
	l, err := new(net.ListenConfig).Listen(n.ctx, "tcp", n.cfg.Listen.Callers)
	if err != nil {
		return result.Wrap(result.InvalidConfig, err, "listen for callers on %s", n.cfg.Listen.Callers)
	}
	limit := n.callerBounds()
	n.callers = caller.New(l, n, parser, n.cfg.VM.ID, caller.WithTLS(listener(callerKeys)),
		caller.WithTLSRequired(n.cfg.TLS.Callers.Required), caller.WithLogger(n.log),
		caller.WithMetrics(n.metrics.set),
		caller.WithMaxCallers(limit.callers), caller.WithMaxStarting(limit.starting), caller.WithMaxMessage(n.cfg.Limits.MessageSize))
	if n.admin, err = admin.Listen(n.ctx, n.cfg.Listen.Operators, control{n}, n.log,
		admin.WithTLS(listener(operatorKeys, admin.Proto))); err != nil {
		return err
	}
	return n.serveMetrics(parser)
}

func (n *Node) starting() error {
	return result.New(result.NotOwner, "VM %s is starting", n.cfg.VM.ID)
}

func (n *Node) groupSettings() group.Settings {
	t := n.cfg.Timing
	return group.Settings{
		Interval: t.WatchInterval, Budget: new(group.Budget), StatusTimeout: t.StatusTimeout, ControlTimeout: t.ControlTimeout,
		Limits: failov.NewLimits(t.Silence, failoverStagger, failoverRefusals),
	}
}

// Service returns the definition that a caller names as its database.
func (n *Node) Service(name string) (svcdef.Service, bool) { return n.front.Service(name) }

// Open starts a session of a caller.
func (n *Node) Open(ctx context.Context, service, user string) (caller.Session, error) {
	return n.front.Open(ctx, service, user)
}

func (n *Node) service(name string) (svcdef.Service, bool) { return n.config.Catalog().Service(name) }

// start runs f until the VM closes.
func (n *Node) start(f func(ctx context.Context)) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f(n.ctx)
	}()
}

// keepListed renews this VM's entry in the platform's list and takes in the others.
func (n *Node) keepListed(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		n.renewEntry(ctx)
		if now := time.Now(); !now.Before(next) {
			next = now.Add(listPause(n.readList(ctx), rand.Float64()))
		}
		t.Reset(listInterval)
	}
}

// listPause returns the time until the list is read again if it had this many entries. Reads of a long list are spread
// by up to a quarter, so that VMs that started together do not go on reading at the same time.
func listPause(entries int, random float64) time.Duration {
	pause := time.Duration(float64(entries*listEntry) / listBudget * float64(time.Second))
	if pause <= listInterval {
		return 0
	}
	return pause - time.Duration(random*float64(pause)/4)
}

func (n *Node) renewEntry(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, n.cfg.Platform.Timeout)
	defer cancel()
	if !n.drained.Load() {
		// The entry outlives several failed renewals, and the VMs know each other without the list.
		_ = n.platf.Register(callCtx, port.VM{
			ID: n.cfg.VM.ID, DataCentre: n.cfg.VM.DataCentre, PeerAddr: n.mesh.Addr(),
		}, listTTL)
	}
}

// readList takes in the platform's list and returns its length, 0 if it cannot be read.
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

// settle waits until this VM knows the others, because before that it would take servers that they own.
func (n *Node) settle(ctx context.Context) {
	limit := time.After(settleLimit)
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for !n.mesh.View().DiscoveryDone() {
		select {
		case <-t.C:
			continue
		case <-limit:
		case <-ctx.Done():
			return
		}
		break
	}
	n.settled.Store(true)
	n.assign()
}

// applied puts a new catalogue in force.
func (n *Node) applied() {
	c := n.config.Catalog()
	n.front.Configure(c.Services())
	n.mesh.SetRevision(c.Revision())
	n.assign()
}

// assign owns the servers that are this VM's by the present view and configuration.
func (n *Node) assign() {
	if !n.settled.Load() {
		return
	}
	n.assigning.Lock()
	defer n.assigning.Unlock()
	n.host.Assign(n.config.Catalog().Services(), n.mesh.View())
}

func (n *Node) askRevisions(ctx context.Context, vm string, req peer.RevisionRequest) (peer.Revisions, error) {
	reply, err := n.mesh.Call(ctx, vm, req)
	if err != nil {
		return peer.Revisions{}, err
	}
	revs, ok := reply.(peer.Revisions)
	if !ok {
		return peer.Revisions{}, result.New(result.Internal, "VM %s answered a request for revisions with %T", vm, reply)
	}
	return revs, nil
}

// sameVM reports whether a session's process id may belong to the VM.
func sameVM(processID uint32, id string) bool { return caller.HashOf(processID) == caller.VMHash(id) }

// CallerAddr returns the address on which callers connect.
func (n *Node) CallerAddr() string { return n.callers.Addr().String() }

// OperatorAddr returns the address on which operators connect.
func (n *Node) OperatorAddr() string { return n.admin.Addr().String() }

// PeerAddr returns the address on which other VMs connect.
func (n *Node) PeerAddr() string { return n.mesh.Addr() }

// MetricsAddr returns the address that serves metrics, empty if none does.
func (n *Node) MetricsAddr() string {
	if n.metrics.server == nil {
		return ""
	}
	return n.metrics.server.Addr().String()
}

// Front returns the part that serves callers' sessions, for measurements.
func (n *Node) Front() *front.Front { return n.front }

// Mesh returns the connections to other VMs, for measurements.
func (n *Node) Mesh() *peer.Mesh { return n.mesh }
