// Package host runs the servers that this VM owns: their queues and connections, and the watchers of their groups.
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

// leastHandOver is the least time that a server which this VM no longer owns has to finish its transactions.
const leastHandOver = 10 * time.Second

// handOver bounds how long a server that this VM no longer owns may finish its units, so that a unit which uses up the time
// limit of its service can end. Units that run for minutes were cut off after 10 s.
func handOver(svc svcdef.Service) time.Duration { return max(leastHandOver, svc.Timeout()) }

// Logger takes numbered events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

// Config describes a Host.
type Config struct {
	// VM is the id of this VM.
	VM       string
	Settings group.Settings
	// Dial returns the control of a server of the service.
	Dial    func(svc svcdef.Service, address string) group.Server
	Refused func(error) bool
	Table   port.KeyValueStore
	// Others asks other watchers for their judgement of the service's primary.
	Others func(ctx context.Context, svc svcdef.Service, watchers []string) []failov.Health
	// Changed is called with each new primary.
	Changed func(service string, address string, term uint64)
	// Once returns the declared statements of a service, whose expired outcome records its servers delete.
	Once func(svc svcdef.Service) *once.Rules
	// Metrics keeps the measurements of the servers and groups; nil for none.
	Metrics *metric.Set
	Logger  Logger
	Now     func() time.Time
}

// Host is safe for concurrent use.
type Host struct {
	cfg  Config
	wg   sync.WaitGroup
	ctx  context.Context
	stop context.CancelFunc

	mu     sync.RWMutex
	live   owner.Live
	hosted map[string]*hosted
}

// hosted is one service of which this VM owns a server.
type hosted struct {
	svc     svcdef.Service
	group   *group.Group
	servers map[string]*endpt.Server
}

// New returns a Host that owns nothing yet.
func New(cfg Config) *Host {
	ctx, stop := context.WithCancel(context.Background())
	return &Host{cfg: cfg, ctx: ctx, stop: stop, hosted: map[string]*hosted{}}
}

// Assign makes this VM own the servers that are its own by rendezvous order, and hands over the others.
func (h *Host) Assign(services []svcdef.Service, live owner.Live) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.live
	h.live = live
	named := make(map[string]bool, len(services))
	for _, svc := range services {
		named[svc.Name()] = true
		h.assign(svc, before)
	}
	for name, s := range h.hosted {
		if !named[name] {
			delete(h.hosted, name)
			h.retire(s, slices.Collect(maps.Values(s.servers)), true)
		}
	}
}

// assign adjusts one service, whose owners were chosen from the VMs that were live before. The caller holds the lock.
func (h *Host) assign(svc svcdef.Service, before owner.Live) {
	own := h.own(svc)
	s := h.hosted[svc.Name()]
	if s != nil && (len(own) == 0 || !sameServers(s.svc, svc)) {
		delete(h.hosted, svc.Name())
		h.retire(s, slices.Collect(maps.Values(s.servers)), true)
		s = nil
	}
	if len(own) == 0 {
		return
	}
	if s == nil {
		s = &hosted{svc: svc, servers: map[string]*endpt.Server{}}
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
	h.retire(s, lost, false)
	for _, server := range s.servers {
		server.SetMaxWait(svc.MaxWait())
	}
	for _, o := range own {
		if s.servers[o.Address()] == nil {
			s.servers[o.Address()] = h.newServer(s, o)
			h.cfg.Logger.Event(event.OwnerChanged, zap.String("server", o.Address()), zap.String("owner", h.cfg.VM))
			h.evictFormer(s, o, before)
		}
	}
}

func (h *Host) own(svc svcdef.Service) []svcdef.Server {
	var own []svcdef.Server
	for _, s := range svc.Servers() {
		if id, ok := owner.Of(s.Address(), s.DataCentre(), h.live); ok && id == h.cfg.VM {
			own = append(own, s)
		}
	}
	return own
}

// sameServers reports whether two definitions agree in what the queue, the connections and the watcher use.
func sameServers(a, b svcdef.Service) bool {
	return a.Ack() == b.Ack() && a.Database() == b.Database() && a.Login() == b.Login() &&
		reflect.DeepEqual(a.Servers(), b.Servers()) && reflect.DeepEqual(a.OnceRules(), b.OnceRules())
}

// retire lets servers finish their units and closes them, and the watcher too if it is no longer needed. The caller
// holds the lock.
func (h *Host) retire(s *hosted, servers []*endpt.Server, closeGroup bool) {
	if len(servers) == 0 && !closeGroup {
		return
	}
	if closeGroup {
		s.group.StopSupervising()
	}
	limit := handOver(s.svc)
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		ctx, cancel := context.WithTimeout(h.ctx, limit)
		defer cancel()
		for _, server := range servers {
			// Units that outlast the time limit end with the connection.
			_ = server.Drain(ctx)
			server.Close()
		}
		if closeGroup {
			s.group.Close()
		}
	}()
}

func (h *Host) newServer(s *hosted, def svcdef.Server) *endpt.Server {
	return endpt.New(endpt.Config{
		Service: s.svc, Server: def, VM: h.cfg.VM, Once: h.cfg.Once(s.svc), Status: &source{group: s.group, address: def.Address(), now: h.cfg.Now},
		Confirm: s.group.Confirm, Metrics: h.cfg.Metrics, Logger: h.cfg.Logger, Now: h.cfg.Now,
	})
}

func (h *Host) groupConfig(svc svcdef.Service) group.Config {
	name := svc.Name()
	return group.Config{
		Service: svc, Settings: h.cfg.Settings, VM: h.cfg.VM,
		Dial:    func(address string) group.Server { return h.cfg.Dial(svc, address) },
		Refused: h.cfg.Refused, Table: h.cfg.Table,
		Others:          func(ctx context.Context) []failov.Health { return h.cfg.Others(ctx, svc, h.watchers(svc)) },
		Rank:            func() int { return max(slices.Index(h.watchers(svc), h.cfg.VM), 0) },
		Quiesce:         func(ctx context.Context, address string) bool { return h.quiesce(ctx, name, address) },
		OnPrimaryChange: func(address string, term uint64) { h.cfg.Changed(name, address, term) },
		Metrics:         h.cfg.Metrics, Logger: h.cfg.Logger, Now: h.cfg.Now,
	}
}

// watchers returns the VMs that own servers of the group, in the order in which they promote.
func (h *Host) watchers(svc svcdef.Service) []string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return owner.Candidates(svc.Name(), svc.Servers(), h.live)
}

// quiesce waits until nothing runs on a server of this VM.
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

// source adapts the watcher of a group to what one server needs.
type source struct {
	group   *group.Group
	address string
	now     func() time.Time
}

// Status returns the latest status of the server.
func (s *source) Status() (port.Status, time.Time, bool) { return s.group.Status(s.address) }

// Refresh asks the server for its status now.
func (s *source) Refresh(ctx context.Context) error {
	_, err := s.group.Refresh(ctx, s.address)
	return err
}

// Ask has the server asked for its status soon.
func (s *source) Ask() { s.group.RequestPoll(s.address) }

// Age returns a bound on the age of the server's data.
func (s *source) Age() (time.Duration, bool) { return s.group.Age(s.now(), s.address) }

// Open returns a stream for a unit on a server that this VM owns.
func (h *Host) Open(u work.Unit) (work.Stream, error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	s := h.hosted[u.Service]
	if s == nil || s.servers[u.Server] == nil {
		return nil, result.New(result.NotOwner, "VM %s does not own server %s", h.cfg.VM, u.Server)
	}
	return &agedStream{Stream: s.servers[u.Server].Open(u.Caller), group: s.group, now: h.cfg.Now}, nil
}

// agedStream refuses reads whose stated age the server is not known to meet.
type agedStream struct {
	work.Stream
	group *group.Group
	now   func() time.Time
}

// Run carries out a unit.
func (s *agedStream) Run(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	if u.MaxAge > 0 {
		age, ok := s.group.Age(s.now(), u.Server)
		if !ok || age > u.MaxAge {
			s.group.RefreshAge(ctx, u.Server)
			age, ok = s.group.Age(s.now(), u.Server)
		}
		if !ok || age > u.MaxAge {
			return work.FinalFromError(result.New(result.AgeNotMet, "server %s is not known to be at most %v old", u.Server, u.MaxAge))
		}
	}
	return s.Stream.Run(ctx, u, sink)
}

// Barrier returns a barrier of a service that this VM watches, and what it knows of the servers. If it owns the primary, the
// callers get points of their own.
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
		for i, r := range server.Required(ctx, callers, p) {
			required[callers[i]] = r
		}
	}
	return work.NewBarrierConfirmation(p, required, s.infos(h.cfg.Now())), nil
}

// Ask has the servers of a service asked for their status, if this VM watches it, as after another VM's promotion.
func (h *Host) Ask(service string) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if s := h.hosted[service]; s != nil {
		s.group.RequestPolls()
	}
}

// infos returns what the watcher knows of the servers that answer.
func (s *hosted) infos(now time.Time) []work.ServerInfo {
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

// Health returns this VM's judgement of a service's primary, Unknown if it does not watch the service.
func (h *Host) Health(service string) failov.Health {
	h.mu.RLock()
	s := h.hosted[service]
	h.mu.RUnlock()
	if s == nil {
		return failov.Unknown
	}
	return s.group.Health(h.cfg.Now())
}

// Close hands over everything within the time that ctx gives; what is left then ends.
func (h *Host) Close(ctx context.Context) {
	defer h.stop()
	h.mu.Lock()
	for name, s := range h.hosted {
		delete(h.hosted, name)
		h.retire(s, slices.Collect(maps.Values(s.servers)), true)
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
