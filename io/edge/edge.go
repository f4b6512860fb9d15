package edge

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"verbenagate/core/drain"
	"verbenagate/core/eras"
	"verbenagate/core/event"
	"verbenagate/core/layout"
	"verbenagate/core/lead"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/io/bounds"
	"verbenagate/io/elect"
	"verbenagate/io/entry"
	"verbenagate/io/every"
	"verbenagate/io/grant"
	"verbenagate/io/link"
	"verbenagate/io/logs"
	"verbenagate/io/metric"
	"verbenagate/io/pool"
	"verbenagate/io/reach"
	"verbenagate/io/relay"
	"verbenagate/io/remote"
	"verbenagate/io/watch"
)

const (
	// leaveTimeout bounds the last write of a stopping VM, which gives up its lease, lastAnswerTimeout the answers to requests that
	// still run, and backgroundTimeout the wait for background goroutines. Together they fit into the reserve of a drain.Plan.
	leaveTimeout      = 250 * time.Millisecond
	lastAnswerTimeout = 100 * time.Millisecond
	backgroundTimeout = 150 * time.Millisecond
	// serverBatchDelay is how long an agent collects changes of servers' entries. Each server writes its entry every second or so,
	// and a shorter delay costs a call for the entries of some of them.
	serverBatchDelay = time.Second
	// recordBatchDelay is how long an agent collects further changes of primaries' records after it has passed one on. At a start
	// of all VMs each group gets its first record, and each call would wake all VMs of the data centre.
	recordBatchDelay = 50 * time.Millisecond
	// trimInterval is how often connections that have been idle for long are closed, reportInterval how often the number of
	// sessions and of dropped log lines is reported.
	trimInterval   = 200 * time.Millisecond
	reportInterval = 5 * time.Second
	// gcPercent, lower than Go's default, keeps the heap small; the live heap of a VM is a few megabytes.
	gcPercent         = 60
	readHeaderTimeout = 2 * time.Second
	// Bounds of the requests for readiness, metrics and the state dump.
	httpTimeout     = 10 * time.Second
	httpIdleTimeout = time.Minute
	maxHeaderBytes  = 16 << 10
)

// Adapters connect a VM to its platform.
type Adapters struct {
	Rows   port.RowStore
	Eras   port.Eras // of Rows; nil if it has none
	Orders port.Promoter
	Dialer port.Dialer
	Source watch.Source
	Wrap   func(net.Conn) entry.Conn
	// Account counts the bytes that are held for callers and servers; nil if they are not limited.
	Account *bounds.Account
	// ReadyPath is the HTTP path of the load balancer's readiness check.
	ReadyPath string
}

// Clock returns a time that also advances while the process or its VM is suspended, unlike the Go runtime's monotonic clock. Only
// the difference of two times of the same process is meaningful.
func Clock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// Edge is a running VM.
type Edge struct {
	settings   Settings
	log        logs.Logger
	logLines   *LogWriter
	metrics    *metric.Set
	directory  *watch.Directory
	pools      *pool.Set
	account    *bounds.Account
	elector    *elect.Elector
	agents     *relay.Relay
	owner      *remote.Owner
	peers      *link.Server
	quotas     *grant.Desk
	entry      *entry.Server
	stopping   atomic.Bool
	cancel     context.CancelFunc
	servers    []*http.Server
	background sync.WaitGroup
}

// Start starts a VM that logs to out. Stop must be called on the result.
func Start(s Settings, a Adapters, out *os.File) (*Edge, error) {
	debug.SetGCPercent(gcPercent)
	limits := s.Limits()
	if limits.Heap() > 0 {
		debug.SetMemoryLimit(limits.Heap())
	}
	if a.Account == nil {
		a.Account = bounds.NewAccount(0)
	}
	lines := NewLogWriter(out, s.LogLinesPerSecond())
	lineLog, err := logs.New(lines, logs.FormatJSON, s.LogLevel())
	if err != nil {
		return nil, err
	}
	metrics := metric.NewSet(grant.Catalog(entry.Catalog(metric.NewRegistry())), metric.ReportInterval)
	counters := map[event.ID]metric.Counter{
		event.PanicRecovered: metrics.Counter(entry.Panics), event.EraChanged: metrics.Counter(entry.StoreEras),
		event.PrimariesWait:   metrics.Counter(entry.StoreWaits),
		event.RecordRewritten: metrics.Counter(entry.RecordsRewritten), event.EntryHeldBack: metrics.Counter(entry.EntriesHeldBack),
	}
	log := logs.NewCounting(lineLog, func(id event.ID) {
		if c, ok := counters[id]; ok {
			c.Inc(1)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	e := &Edge{
		settings: s, log: log, logLines: lines, cancel: cancel, metrics: metrics, account: a.Account,
		pools: pool.NewSet(s.VM(), s.DataCentre(), a.Dialer, s.VMs(), Clock, log),
	}
	log.Event(event.NodeStarted, zap.String("vm", s.VM()), zap.String("data_centre", s.DataCentre()))
	var elector atomic.Pointer[elect.Elector]
	clients := link.NewClients(ctx, Clock)
	self := lead.NewMember(s.VM(), 0, 0, nil).WithLocation(s.DataCentre(), s.Peers()).WithCores(s.Cores())
	paths := reach.New(self, clients.Ping, Clock, log)
	e.pools.SetPaths(paths)
	forwarder := remote.NewCaller(ctx, clients, paths, Clock, log)
	if s.Peers() != "" {
		e.pools.SetForwarder(forwarder)
	}
	agents := relay.New(ctx, s.VM(), a.Rows, map[string]relay.Table{
		a.Source.ConfigTable: {UrgentKey: a.Source.ConfigKey},
		a.Source.ServerTable: {BatchDelay: serverBatchDelay, Meaning: a.Source.ServerMeaning},
		elect.LeadTable:      {BatchDelay: recordBatchDelay},
	}, clients, Clock, log)
	agents.SetEras(a.Eras)
	e.agents = agents
	e.directory = watch.NewDirectory(ctx, agents, a.Source, Clock, log, func(v *watch.View) {
		e.pools.Update(v)
		if el := elector.Load(); el != nil {
			el.ReapplyPrimaries()
		}
	})
	e.elector = elect.New(self, a.Rows, agents, a.Orders, e.pools, paths, e.directory.View, Clock, log)
	elector.Store(e.elector)
	agents.SetGranter(e.elector)
	e.owner = remote.NewOwner(ctx, e.pools, e.elector, forwarder, Clock, log)
	config := func() layout.Config { return e.directory.View().Config() }
	e.quotas = grant.New(ctx, self, clients, e.elector.Presence, config, metrics, Clock, log)
	e.elector.OnMembers(e.quotas.SetMembers, e.quotas.Holds, e.quotas.Limited)
	e.peers = link.NewServer(ctx, Clock, log)
	e.quotas.Register(e.peers)
	agents.Register(e.peers)
	if a.Eras != nil {
		a.Eras.OnChange(func(c eras.Changed) {
			log.Event(event.EraChanged, zap.Stringer("from", c.From()), zap.Stringer("to", c.To()))
			e.elector.EraChanged(c)
			e.quotas.EraChanged()
		})
	}
	e.owner.SetAccount(a.Account)
	e.owner.Register(e.peers)
	if s.Peers() != "" {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", s.Peers())
		if err != nil {
			cancel()
			return nil, result.Wrap(result.ConnectFailed, err, "listening for other VMs at %s", s.Peers())
		}
		e.peers.Serve(l)
	}
	e.elector.Start(ctx)
	e.entry, err = entry.Listen(ctx, s.Callers(), entry.Dependencies{
		Wrap: a.Wrap, View: e.directory.View, Groups: e.pools, Elector: e.elector, Clock: Clock, Log: log, Metrics: e.metrics,
		Bounds: entry.Bounds{Account: a.Account, Limits: limits},
		Quota:  e.quotas,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	if err := e.serveHTTP(ctx, a.ReadyPath); err != nil {
		cancel()
		return nil, err
	}
	e.background.Go(func() { every.Interval(ctx, trimInterval, e.pools.Trim) })
	reported, opened, replaced := int64(0), int64(0), int64(0)
	e.background.Go(func() {
		every.Interval(ctx, reportInterval, func() {
			e.metrics.Gauge(entry.Sessions).Update(float64(e.entry.Sessions()))
			e.metrics.Gauge(entry.CallerBytes).Update(float64(a.Account.Used()))
			nowOpened, nowReplaced := e.pools.ConnCounts()
			e.metrics.Counter(entry.ConnsOpened).Inc(nowOpened - opened)
			e.metrics.Counter(entry.ConnsReplaced).Inc(nowReplaced - replaced)
			opened, replaced = nowOpened, nowReplaced
			if n := lines.Dropped(); n > reported {
				log.Event(event.LinesDropped, zap.Int64("lines", n-reported))
				reported = n
			}
		})
	})
	return e, nil
}

// serveHTTP starts the HTTP servers for readiness and for metrics and the state dump.
func (e *Edge) serveHTTP(ctx context.Context, readyPath string) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	diagnostics := http.NewServeMux()
	diagnostics.Handle("GET /metrics", e.metrics.Handler())
	diagnostics.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(e.State()); err != nil {
			e.log.Event(event.AdminCall, zap.Error(err))
		}
	})
	for address, mux := range map[string]*http.ServeMux{e.settings.Ready(): ready, e.settings.Metrics(): diagnostics} {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address)
		if err != nil {
			return result.Wrap(result.ConnectFailed, err, "listening for HTTP requests at %s", address)
		}
		srv := &http.Server{
			Handler: mux, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout,
			IdleTimeout: httpIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}
		e.servers = append(e.servers, srv)
		e.background.Go(func() { _ = srv.Serve(l) })
	}
	return nil
}

// Ready reports whether the VM accepts new sessions. A VM that is cut off is not ready, as it would refuse most of their work.
func (e *Edge) Ready() bool {
	return !e.stopping.Load() && e.directory.Ready() && !e.elector.Isolated()
}

// State is a dump of the VM's state.
type State struct {
	VM       string            `json:"vm"`
	Ready    bool              `json:"ready"`
	Config   uint64            `json:"config"`
	Sessions int               `json:"sessions"`
	Memory   bounds.State      `json:"memory"`
	Elector  elect.State       `json:"elector"`
	Agents   relay.State       `json:"agents"`
	Groups   []pool.GroupState `json:"groups"`
	Quotas   grant.State       `json:"quotas"`
}

// State returns a dump of the VM's current state.
func (e *Edge) State() State {
	return State{
		VM: e.settings.VM(), Ready: e.Ready(), Config: e.directory.View().Config().Version(), Sessions: e.entry.Sessions(),
		Memory: e.account.State(), Elector: e.elector.State(), Agents: e.agents.State(), Groups: e.pools.State(),
		Quotas: e.quotas.State(),
	}
}

// Stop shuts the VM down gracefully within the grace period, in this order:
//
//  1. The VM reports not ready, so that it gets no new sessions, and refuses new work that other VMs forward.
//  2. The sessions and the forwarded work end.
//  3. The lease is given up, so that other VMs do not wait for it. After that no session may use a primary. The sessions that
//     have not ended in time are closed.
//  4. The background goroutines end. They log until then.
//  5. The log is closed.
func (e *Edge) Stop() {
	plan := drain.NewPlan(Clock(), e.settings.Grace())
	e.stopping.Store(true)
	e.owner.Stop(plan)
	e.log.Event(event.DrainPhase, zap.String("phase", "not ready"), zap.Int("sessions", e.entry.Sessions()))
	if left := e.entry.Stop(plan); left > 0 {
		e.log.Event(event.DrainTimeout, zap.Int("sessions", left))
	}
	if open := e.owner.Drain(plan.CloseAt().Sub(Clock())); open > 0 {
		e.log.Event(event.DrainTimeout, zap.Int("forwarded_transactions", open))
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	e.elector.Stop(ctx)
	cancel()
	e.entry.Close(lastAnswerTimeout)
	e.cancel()
	for _, srv := range e.servers {
		_ = srv.Close()
	}
	e.waitForBackground(backgroundTimeout)
	e.log.Event(event.NodeStopped, zap.String("vm", e.settings.VM()))
	_ = e.metrics.Close()
	_ = e.logLines.Close()
}

// waitForBackground waits for at most limit until the background goroutines have ended.
func (e *Edge) waitForBackground(limit time.Duration) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.entry.Wait()
		e.elector.Wait()
		e.directory.Wait()
		e.peers.Wait()
		e.owner.Wait()
		e.quotas.Wait()
		e.agents.Wait()
		e.background.Wait()
	}()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
		e.log.Event(event.DrainTimeout, zap.String("phase", "background"))
	}
}

// Run runs a VM with the given settings file until SIGTERM or SIGINT. On SIGHUP it checks the file again and logs the result;
// changes take effect after a restart.
func Run(file string, adapters func(Settings) Adapters) error {
	s, err := Load(file)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	e, err := Start(s, adapters(s), os.Stdout)
	if err != nil {
		return err
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		_, err := Load(file)
		e.log.Event(event.SettingsRead, zap.String("file", file), zap.Error(err))
	}
	e.Stop()
	return nil
}
