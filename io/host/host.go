// Package host runs the servers that this VM owns, with their queues and connections, and the watchers of their groups.
package host

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/failov"
	"verbenagate/core/once"
	"verbenagate/core/owner"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/endpt"
	"verbenagate/io/group"
	"verbenagate/io/metric"
)

// minDrainTimeout is the least time that a server which this VM no longer owns has to finish its transactions.
const minDrainTimeout = 10 * time.Second

// drainTimeout returns how long a server that this VM no longer owns may take to finish its units. A unit that uses up the time
// limit of its service can then end: with a fixed 10 s, units that run for minutes were cut off.
func drainTimeout(svc svcdef.Service) time.Duration { return max(minDrainTimeout, svc.Timeout()) }

// Logger writes numbered events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

// Config holds what a Host needs from the VM that runs it.
type Config struct {
	// VM is the id of this VM.
	VM       string
	Settings group.Settings
	// Dial returns a group.Server for an address of the service.
	Dial      func(svc svcdef.Service, address string) group.Server
	IsRefused func(error) bool
	Table     port.KeyValueStore
	// PeerAssessments asks other watchers for their assessment of the service's primary.
	PeerAssessments func(ctx context.Context, svc svcdef.Service, watchers []string) []failov.Health
	// OnPrimaryChange is called with the service, address and term of each new primary.
	OnPrimaryChange func(service string, address string, term uint64)
	// Once returns the declared non-idempotent statements of a service. Its servers delete the expired outcome records of these
	// statements.
	Once func(svc svcdef.Service) *once.Rules
	// Metrics receives the measurements of the servers and groups; it may be nil.
	Metrics *metric.Set
	Logger  Logger
	Now     func() time.Time
}

// Host runs the servers that this VM owns. It is safe for concurrent use.
type Host struct {
	cfg  Config
	wg   sync.WaitGroup
	ctx  context.Context
	stop context.CancelFunc

	mu     sync.RWMutex
	live   owner.Live
	hosted map[string]*hostedService
}

// hostedService holds the watcher and the owned servers of one service of which this VM owns a server.
type hostedService struct {
	svc     svcdef.Service
	group   *group.Group
	servers map[string]*endpt.Server
}

// New returns a Host that owns no servers.
func New(cfg Config) *Host {
	ctx, stop := context.WithCancel(context.Background())
	return &Host{cfg: cfg, ctx: ctx, stop: stop, hosted: map[string]*hostedService{}}
}

// Assign determines which servers of the services this VM owns, by rendezvous hashing over the live VMs. It starts to run the
// servers that are new to this VM, and drains and closes those that it no longer owns.
func (h *Host) Assign(services []svcdef.Service, live owner.Live) {
	h.mu.Lock()
	defer h.mu.Unlock()
	liveBefore := h.live
	h.live = live
	defined := make(map[string]bool, len(services))
	for _, svc := range services {
		defined[svc.Name()] = true
		h.assignService(svc, liveBefore)
	}
	for name, s := range h.hosted {
		if !defined[name] {
			delete(h.hosted, name)
			h.drainAndClose(s, slices.Collect(maps.Values(s.servers)), true)
		}
	}
}

// assignService applies Assign to one service. The previous owners are derived from liveBefore, the VMs that were live before.
// The caller holds the lock.
func (h *Host) assignService(svc svcdef.Service, liveBefore owner.Live) {
	own := h.ownedServers(svc)
	s := h.hosted[svc.Name()]
	if s != nil && (len(own) == 0 || !sameServingConfig(s.svc, svc)) {
		delete(h.hosted, svc.Name())
		h.drainAndClose(s, slices.Collect(maps.Values(s.servers)), true)
		s = nil
	}
	if len(own) == 0 {
		return
	}
	if s == nil {
		s = &hostedService{svc: svc, servers: map[string]*endpt.Server{}}
		s.group = group.New(h.groupConfig(svc))
		h.hosted[svc.Name()] = s
	}
	s.svc = svc
	var lost []*endpt.Server
	for address, server := range s.servers {
		if !slices.ContainsFunc(own, func(o svcdef.Server) bool { return o.Address() == address }) {
			delete(s.servers, address)
			lost = append(lost, server)
		}
	}
	h.drainAndClose(s, lost, false)
	for _, server := range s.servers {
		server.SetMaxWait(svc.MaxWait())
	}
	for _, o := range own {
		if s.servers[o.Address()] == nil {
			s.servers[o.Address()] = h.newServer(s, o)
			h.cfg.Logger.Event(event.OwnerChanged, zap.String("server", o.Address()), zap.String("owner", h.cfg.VM))
			h.evictFormerOwner(s, o, liveBefore)
		}
	}
}

func (h *Host) ownedServers(svc svcdef.Service) []svcdef.Server {
	var own []svcdef.Server
	for _, s := range svc.Servers() {
		if id, ok := owner.Of(s.Address(), s.DataCentre(), h.live); ok && id == h.cfg.VM {
			own = append(own, s)
		}
	}
	return own
}

// sameServingConfig reports whether two definitions agree in everything that queues, connections and the watcher use.
func sameServingConfig(a, b svcdef.Service) bool {
	return a.Ack() == b.Ack() && a.Database() == b.Database() && a.Login() == b.Login() &&
		reflect.DeepEqual(a.Servers(), b.Servers()) && reflect.DeepEqual(a.OnceRules(), b.OnceRules())
}

// drainAndClose closes servers after they have finished their units or drainTimeout has passed, and with closeGroup the watcher
// too. It does not wait for this. The caller holds the lock.
func (h *Host) drainAndClose(s *hostedService, servers []*endpt.Server, closeGroup bool) {
	if len(servers) == 0 && !closeGroup {
		return
	}
	if closeGroup {
		s.group.StopSupervising()
	}
	limit := drainTimeout(s.svc)
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		ctx, cancel := context.WithTimeout(h.ctx, limit)
		defer cancel()
		for _, server := range servers {
			// Units that are not finished by the timeout end with the connection.
			_ = server.Drain(ctx)
			server.Close()
		}
		if closeGroup {
			s.group.Close()
		}
	}()
}

func (h *Host) newServer(s *hostedService, def svcdef.Server) *endpt.Server {
	return endpt.New(endpt.Config{
		Service: s.svc, Server: def, VM: h.cfg.VM, OnceRules: h.cfg.Once(s.svc),
		Status:        &statusSource{group: s.group, address: def.Address(), now: h.cfg.Now},
		ConfirmCommit: s.group.Confirm, Metrics: h.cfg.Metrics, Logger: h.cfg.Logger, Now: h.cfg.Now,
	})
}

func (h *Host) groupConfig(svc svcdef.Service) group.Config {
	name := svc.Name()
	return group.Config{
		Service: svc, Settings: h.cfg.Settings, VM: h.cfg.VM,
		Dial:      func(address string) group.Server { return h.cfg.Dial(svc, address) },
		IsRefused: h.cfg.IsRefused, Table: h.cfg.Table,
		PeerAssessments: func(ctx context.Context) []failov.Health { return h.cfg.PeerAssessments(ctx, svc, h.watchers(svc)) },
		Rank:            func() int { return max(slices.Index(h.watchers(svc), h.cfg.VM), 0) },
		Quiesce:         func(ctx context.Context, address string) bool { return h.quiesce(ctx, name, address) },
		OnPrimaryChange: func(address string, term uint64) { h.cfg.OnPrimaryChange(name, address, term) },
		Metrics:         h.cfg.Metrics, Logger: h.cfg.Logger, Now: h.cfg.Now,
	}
}

// watchers returns the VMs that own servers of the group, in the order in which they promote.
func (h *Host) watchers(svc svcdef.Service) []string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return owner.Candidates(svc.Name(), svc.Servers(), h.live)
}

// quiesce waits until no unit runs on the server, and reports whether that was reached. It returns false if this VM does not
// own the server.
func (h *Host) quiesce(ctx context.Context, service, address string) bool {
	h.mu.RLock()
	s := h.hosted[service]
	var server *endpt.Server
	if s != nil {
		server = s.servers[address]
	}
	h.mu.RUnlock()
	return server != nil && server.Quiesce(ctx) == nil
}

// statusSource adapts the watcher of a group to the status interfaces of endpt for one server.
type statusSource struct {
	group   *group.Group
	address string
	now     func() time.Time
}

// Status implements endpt.Status.
func (s *statusSource) Status() (port.Status, time.Time, bool) { return s.group.Status(s.address) }

// Refresh implements endpt.Refresher.
func (s *statusSource) Refresh(ctx context.Context) error {
	_, err := s.group.Refresh(ctx, s.address)
	return err
}

// RequestStatus implements endpt.StatusRequester.
func (s *statusSource) RequestStatus() { s.group.RequestPoll(s.address) }

// DataAge implements endpt.DataAger.
func (s *statusSource) DataAge() (time.Duration, bool) { return s.group.Age(s.now(), s.address) }

// Open returns a stream for a unit on a server that this VM owns.
func (h *Host) Open(u work.Unit) (work.Stream, error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	s := h.hosted[u.Service]
	if s == nil || s.servers[u.Server] == nil {
		return nil, result.New(result.NotOwner, "VM %s does not own server %s", h.cfg.VM, u.Server)
	}
	return &maxAgeStream{Stream: s.servers[u.Server].Open(u.Caller), group: s.group, now: h.cfg.Now}, nil
}

// maxAgeStream refuses units with a maximum age unless the server's data is known to be recent enough.
type maxAgeStream struct {
	work.Stream
	group *group.Group
	now   func() time.Time
}

// Run runs the unit, or ends it with code AgeNotMet if the server's data may be older than the unit allows.
func (s *maxAgeStream) Run(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	if u.MaxAge > 0 {
		age, ok := s.group.Age(s.now(), u.Server)
		if !ok || age > u.MaxAge {
			s.group.RefreshAge(ctx, u.Server)
			age, ok = s.group.Age(s.now(), u.Server)
		}
		if !ok || age > u.MaxAge {
			return work.FinalFromError(result.New(result.AgeNotMet,
				"the data on server %s is not known to be at most %v old", u.Server, u.MaxAge))
		}
	}
	return s.Stream.Run(ctx, u, sink)
}

// Barrier returns a barrier of a service that this VM watches, and the state of the servers that have answered. If this VM owns
// the primary, the result also has a required point for each of the callers.
func (h *Host) Barrier(ctx context.Context, service string, callers []string) (work.BarrierConfirmation, error) {
	h.mu.RLock()
	s := h.hosted[service]
	h.mu.RUnlock()
	if s == nil {
		return work.BarrierConfirmation{}, result.New(result.NotOwner, "VM %s does not watch service %q", h.cfg.VM, service)
	}
	p, err := s.group.Barrier(ctx)
	if err != nil {
		return work.BarrierConfirmation{}, err
	}
	primary, _ := s.group.Primary()
	h.mu.RLock()
	server := s.servers[primary]
	h.mu.RUnlock()
	var required map[string]point.Point
	if server != nil && len(callers) > 0 {
		required = make(map[string]point.Point, len(callers))
		for i, r := range server.RequiredPoints(ctx, callers, p) {
			required[callers[i]] = r
		}
	}
	return work.NewBarrierConfirmation(p, required, s.serverInfos(h.cfg.Now())), nil
}

// RequestPolls requests the statuses of all servers of a service, as after another VM's promotion. It does nothing if
// this VM does not watch the service.
func (h *Host) RequestPolls(service string) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if s := h.hosted[service]; s != nil {
		s.group.RequestPolls()
	}
}

// serverInfos returns the last observation of each server that has answered.
func (s *hostedService) serverInfos(now time.Time) []work.ServerInfo {
	primary, _ := s.group.Primary()
	var infos []work.ServerInfo
	for _, o := range s.group.Observations() {
		if o.AskedAt().IsZero() {
			continue
		}
		st := o.Status()
		info := work.ServerInfo{
			Address: o.Address(), Term: st.Term, Applied: st.Applied, Role: port.RoleReplica, Leaving: st.Leaving,
		}
		if o.Address() == primary && st.IsServingPrimary() {
			info.Role = port.RolePrimary
		}
		info.Age, info.AgeKnown = s.group.Age(now, o.Address())
		infos = append(infos, info)
	}
	return infos
}

// Health returns this VM's assessment of a service's primary, Unknown if it does not watch the service.
func (h *Host) Health(service string) failov.Health {
	h.mu.RLock()
	s := h.hosted[service]
	h.mu.RUnlock()
	if s == nil {
		return failov.Unknown
	}
	return s.group.Health(h.cfg.Now())
}

// Close drains and closes all servers. When ctx ends, the remaining units are cut off.
func (h *Host) Close(ctx context.Context) {
	defer h.stop()
	h.mu.Lock()
	for name, s := range h.hosted {
		delete(h.hosted, name)
		h.drainAndClose(s, slices.Collect(maps.Values(s.servers)), true)
	}
	h.mu.Unlock()
	done := make(chan struct{})
	go func() {
		h.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
