// Package front runs the sessions of a VM's callers. It decides which servers can run a unit of work, sends the unit to the
// owner of such a server, and retries a unit that certainly did not run.
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
	// minRetryDelay and maxRetryDelay bound the backoff between attempts. During a failover a unit waits for the new primary,
	// so maxRetryDelay adds to the time without a primary.
	minRetryDelay = 2 * time.Millisecond
	maxRetryDelay = 50 * time.Millisecond
	// minDeferredWait is the barrier wait above which a unit counts as deferred. A barrier takes a few milliseconds unless
	// the primary is changing.
	minDeferredWait = 50 * time.Millisecond
	// barrierTimeout is the timeout of one barrier request.
	barrierTimeout = 2 * time.Second
	// maxAgeRefreshTimeout replaces barrierTimeout between two attempts of a read with a maximum data age. Such a read needs
	// no barrier; the barrier between attempts only refreshes the server states. In a data centre that is cut off no barrier
	// succeeds, and waiting for barrierTimeout used up the time in which the data were fresh enough.
	maxAgeRefreshTimeout = 100 * time.Millisecond
	// The retry budget of a service is a fifth of its successes within retryBudgetWindow, and at least minRetryBudget so that
	// a service with little traffic can retry.
	retryBudgetFraction = 0.2
	minRetryBudget      = 20
	retryBudgetWindow   = time.Second
)

// Owners connects to the VMs that own servers, which may include this VM.
type Owners interface {
	// Stream returns a stream to the owner of a server.
	Stream(service, server string) (work.Stream, error)
	// Owner returns the id of the VM to which Stream would connect, or "" if this is the local VM or there is none.
	Owner(service, server string) string
	// Barrier requests a barrier for the service's group of servers.
	Barrier(ctx context.Context, q BarrierQuery) (work.BarrierConfirmation, error)
}

// IdempotencyKeys derives the idempotency keys of the requests that a service declares as non-idempotent.
type IdempotencyKeys interface {
	// Key returns the idempotency key of a request, or nil if the request's statements are not declared. It returns an error
	// if a declared request must be refused.
	Key(r caller.Request) (*work.OnceKey, error)
}

// Logger logs numbered events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

// Config holds the settings and dependencies of a Front.
type Config struct {
	// DataCentre is this VM's data centre.
	DataCentre string
	Owners     Owners
	Parser     stmt.Parser
	// NewIdempotencyKeys returns the derivation of idempotency keys for a service.
	NewIdempotencyKeys func(svcdef.Service) IdempotencyKeys
	Costs              route.Costs
	// BarrierWait is the timeout for learning the session's required point before a read.
	BarrierWait time.Duration
	// Metrics records the metrics of the services; nil disables them.
	Metrics *metric.Set
	Logger  Logger
	Now     func() time.Time
}

// Front opens sessions and holds their shared state for each service, such as the routing table. It is safe for concurrent
// use.
type Front struct {
	cfg     Config
	backoff retry.Backoff

	mu       sync.RWMutex
	services map[string]*service

	counts Counts
}

// service holds the definition of a service and the state that its sessions on this VM share.
type service struct {
	def             svcdef.Service
	rules           *sess.Rules
	idempotencyKeys IdempotencyKeys
	barriers        *barrierCoalescer
	meter           *meter

	mu           sync.Mutex
	table        *route.Table
	retryBudget  *limit.RetryBudget
	serviceTimes serviceTimes
	hedge        *hedge.Table
}

// Counts holds the totals since the start for the metrics and the state dump. It is safe for concurrent use.
type Counts struct {
	replicaReads atomic.Int64
	primaryReads atomic.Int64
	writes       atomic.Int64
	retries      atomic.Int64
	hedged       atomic.Int64
	notRun       atomic.Int64
	unknown      atomic.Int64
}

// ReplicaReads returns the number of reads that a replica answered.
func (c *Counts) ReplicaReads() int64 { return c.replicaReads.Load() }

// PrimaryReads returns the number of reads that a primary answered.
func (c *Counts) PrimaryReads() int64 { return c.primaryReads.Load() }

// Writes returns the number of successful units that were not reads.
func (c *Counts) Writes() int64 { return c.writes.Load() }

// Retries returns the number of attempts after the first attempt of each unit.
func (c *Counts) Retries() int64 { return c.retries.Load() }

// Hedged returns the number of second runs of reads, which start because the VM that was asked first does not answer.
func (c *Counts) Hedged() int64 { return c.hedged.Load() }

// NotRun returns the number of units that were reported to callers as not run.
func (c *Counts) NotRun() int64 { return c.notRun.Load() }

// Unknown returns the number of units that were reported to callers with an unknown outcome.
func (c *Counts) Unknown() int64 { return c.unknown.Load() }

// New returns a Front without services.
func New(cfg Config) *Front {
	return &Front{cfg: cfg, backoff: retry.NewBackoff(minRetryDelay, maxRetryDelay), services: map[string]*service{}}
}

// Counts returns the totals since the start.
func (f *Front) Counts() *Counts { return &f.counts }

// Configure replaces the definitions of all services. Sessions use a changed definition from their next unit on. A service
// whose definition is unchanged keeps its routing table: with 820 services and 3,100 changes a day, each VM would otherwise
// have to find 820 primaries again every 28 s.
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
		def: def, rules: sess.NewRules(def, f.cfg.Parser), idempotencyKeys: f.cfg.NewIdempotencyKeys(def),
		table:        route.NewTable(f.cfg.DataCentre, members, f.cfg.Costs),
		retryBudget:  limit.NewRetryBudget(retryBudgetFraction, minRetryBudget, retryBudgetWindow),
		serviceTimes: serviceTimes{},
		hedge:        hedge.NewTable(),
		meter:        newMeter(f.cfg.Metrics, def.Name()),
	}
	s.barriers = newBarrierCoalescer(func(ctx context.Context, callers []string) (work.BarrierConfirmation, error) {
		began := f.cfg.Now()
		confirmation, err := f.cfg.Owners.Barrier(ctx, BarrierQuery{Service: def.Name(), Primary: s.primary(), Callers: callers})
		s.meter.barrierEnded(f.cfg.Now().Sub(began), err)
		if err == nil {
			s.recordBarrier(f.cfg.Now(), confirmation)
		}
		return confirmation, err
	})
	return s
}

// recordBarrier updates the routing table with the server states and the primary's position of a barrier.
func (s *service) recordBarrier(now time.Time, confirmation work.BarrierConfirmation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, info := range confirmation.Servers() {
		s.table.RecordReport(now, info)
	}
	s.table.RecordPrimaryPosition(now, confirmation.Point())
}

func (s *service) primary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Primary()
}

// Service returns the definition of a service, which a caller names as its database, or false if there is none.
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

// RecordPrimary records a new primary that a VM has announced.
func (f *Front) RecordPrimary(service string, info work.ServerInfo) {
	if s, ok := f.lookup(service); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.table.RecordReport(f.cfg.Now(), info)
	}
}

// Open starts a session of a user with a service. It requests the session's barrier at once, so that the answer has usually
// arrived before the first read.
func (f *Front) Open(_ context.Context, name, user string) (caller.Session, error) {
	svc, ok := f.lookup(name)
	if !ok {
		return nil, result.New(result.UnknownService, "service %q does not exist", name)
	}
	s := &Session{front: f, service: name, user: user, meter: svc.meter, openBarrierDone: make(chan struct{})}
	go func() {
		defer close(s.openBarrierDone)
		ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
		defer cancel()
		s.openBarrier, s.openBarrierErr = svc.barriers.request(ctx, user, barrierTimeout)
	}()
	return s, nil
}
