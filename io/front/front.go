// Package front serves the sessions of a VM's callers: it decides what each unit of work needs, sends it to the owner of
// a suitable server, and tries again what certainly did not run.
package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/hedge"
	"verbenagate/core/limit"
	"verbenagate/core/result"
	"verbenagate/core/retry"
	"verbenagate/core/route"
	"verbenagate/core/sess"
	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/caller"
	"verbenagate/io/metric"
)

const (
	// retryFirst and retryMost bound the delay between attempts. During a failover a unit waits for the new primary, so
	// the longest delay adds to the failover gap.
	retryFirst = 2 * time.Millisecond
	retryMost  = 50 * time.Millisecond
	// deferredAfter is how long the wait for a barrier must be for a unit to count as deferred. A barrier takes a few
	// milliseconds unless the primary is changing.
	deferredAfter = 50 * time.Millisecond
	// barrierRound bounds one barrier request.
	barrierRound = 2 * time.Second
	// agedNews bounds how long a read of a stated age waits for news of the servers between attempts. It needs no barrier,
	// and in a data centre that is cut off, where none can be had, barrierRound used up the time in which its data are young
	// enough.
	agedNews = 100 * time.Millisecond
	// The retry budget of a service: a fifth of its recent successes, and a few for a service with little traffic.
	retryFraction = 0.2
	retryLeast    = 20
	retryWindow   = time.Second
)

// Owners reaches the VMs that own servers; this VM may be one of them.
type Owners interface {
	// Stream returns a stream to the owner of a server.
	Stream(service, server string) (work.Stream, error)
	// Owner returns the VM that Stream would reach, and "" if it is this VM or there is none.
	Owner(service, server string) string
	// Barrier asks for a barrier of the service's group.
	Barrier(ctx context.Context, q Query) (work.BarrierConfirmation, error)
}

// Requests derives the key of a declared non-idempotent request.
type Requests interface {
	// Key returns the key of a caller's request, nil if its statements are not declared, and an error if a declared
	// request must be refused.
	Key(r caller.Request) (*work.OnceKey, error)
}

// Logger takes numbered events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

// Config describes a Front.
type Config struct {
	// DataCentre is this VM's data centre.
	DataCentre string
	Owners     Owners
	Parser     stmt.Parser
	// Requests makes the rules for a service's declared requests.
	Requests func(svcdef.Service) Requests
	Costs    route.Costs
	// BarrierWait bounds how long a read waits for the session's required point.
	BarrierWait time.Duration
	// Metrics keeps the measurements of the services; nil for none.
	Metrics *metric.Set
	Logger  Logger
	Now     func() time.Time
}

// Front holds what a VM knows of each service for its callers.
type Front struct {
	cfg     Config
	backoff retry.Backoff

	mu       sync.RWMutex
	services map[string]*service

	counts Counts
}

// service is one service as the callers of this VM use it.
type service struct {
	def      svcdef.Service
	rules    *sess.Rules
	requests Requests
	barriers *barriers
	meter    *meter

	mu     sync.Mutex
	table  *route.Table
	budget *limit.RetryBudget
	costs  costs
	hedge  *hedge.Table
}

// Counts are the totals that metrics and the state dump show.
type Counts struct {
	replicaReads atomic.Int64
	primaryReads atomic.Int64
	writes       atomic.Int64
	retries      atomic.Int64
	hedged       atomic.Int64
	notRun       atomic.Int64
	unknown      atomic.Int64
}

// ReplicaReads counts reads that a replica answered.
func (c *Counts) ReplicaReads() int64 { return c.replicaReads.Load() }

// PrimaryReads counts reads that a primary answered.
func (c *Counts) PrimaryReads() int64 { return c.primaryReads.Load() }

// Writes counts units that were not reads.
func (c *Counts) Writes() int64 { return c.writes.Load() }

// Retries counts attempts after the first one of a unit.
func (c *Counts) Retries() int64 { return c.retries.Load() }

// Hedged counts reads that were run again because the VM that was asked first is silent.
func (c *Counts) Hedged() int64 { return c.hedged.Load() }

// NotRun counts units that callers were told did not run.
func (c *Counts) NotRun() int64 { return c.notRun.Load() }

// Unknown counts units whose outcome callers were told is not known.
func (c *Counts) Unknown() int64 { return c.unknown.Load() }

// New returns a Front without services.
func New(cfg Config) *Front {
	return &Front{cfg: cfg, backoff: retry.NewBackoff(retryFirst, retryMost), services: map[string]*service{}}
}

// Counts returns the totals since the start.
func (f *Front) Counts() *Counts { return &f.counts }

// Configure puts the definitions in force. Sessions use a changed definition from their next unit on. A service whose
// definition is the same keeps what this VM knows of its servers: with 820 services and 3,100 changes a day, each VM
// would otherwise look for 820 primaries anew every 28 s.
func (f *Front) Configure(defs []svcdef.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[string]*service, len(defs))
	for _, def := range defs {
		if old := f.services[def.Name()]; old != nil && old.def.Equal(def) {
			next[def.Name()] = old
			continue
		}
		next[def.Name()] = f.newService(def)
	}
	f.services = next
}

func (f *Front) newService(def svcdef.Service) *service {
	var members []route.Member
	for _, s := range def.Servers() {
		members = append(members, route.NewMember(s.Address(), s.DataCentre(), s.Slots()))
	}
	s := &service{
		def: def, rules: sess.NewRules(def, f.cfg.Parser), requests: f.cfg.Requests(def),
		table:  route.NewTable(f.cfg.DataCentre, members, f.cfg.Costs),
		budget: limit.NewRetryBudget(retryFraction, retryLeast, retryWindow),
		costs:  costs{},
		hedge:  hedge.NewTable(),
		meter:  newMeter(f.cfg.Metrics, def.Name()),
	}
	s.barriers = newBarriers(func(ctx context.Context, callers []string) (work.BarrierConfirmation, error) {
		began := f.cfg.Now()
		got, err := f.cfg.Owners.Barrier(ctx, Query{Service: def.Name(), Primary: s.primary(), Callers: callers})
		s.meter.barrier(f.cfg.Now().Sub(began), err)
		if err == nil {
			s.learn(f.cfg.Now(), got)
		}
		return got, err
	})
	return s
}

// learn takes in what a barrier's answer tells of the servers.
func (s *service) learn(now time.Time, got work.BarrierConfirmation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, info := range got.Servers() {
		s.table.RecordReport(now, info)
	}
	s.table.RecordPrimaryPosition(now, got.Point())
}

func (s *service) primary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Primary()
}

// Service returns the definition that a caller names as its database.
func (f *Front) Service(name string) (svcdef.Service, bool) {
	s, ok := f.lookup(name)
	if !ok {
		return svcdef.Service{}, false
	}
	return s.def, true
}

func (f *Front) lookup(name string) (*service, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	s, ok := f.services[name]
	return s, ok
}

// Primary tells of a new primary that another VM announced.
func (f *Front) Primary(service string, info work.ServerInfo) {
	if s, ok := f.lookup(service); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.table.RecordReport(f.cfg.Now(), info)
	}
}

// Open starts a session. Its barrier begins at once, so that it has usually arrived before the first read.
func (f *Front) Open(_ context.Context, name, user string) (caller.Session, error) {
	svc, ok := f.lookup(name)
	if !ok {
		return nil, result.New(result.UnknownService, "service %q does not exist", name)
	}
	s := &Session{front: f, service: name, user: user, meter: svc.meter, first: make(chan struct{})}
	go func() {
		defer close(s.first)
		ctx, cancel := context.WithTimeout(context.Background(), barrierRound)
		defer cancel()
		s.firstGot, s.firstErr = svc.barriers.request(ctx, user, barrierRound)
	}()
	return s, nil
}
