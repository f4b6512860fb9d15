package edge

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/io/elect"
	"verbenagate/io/entry"
	"verbenagate/io/logs"
	"verbenagate/io/metric"
	"verbenagate/io/pool"
	"verbenagate/io/relay"
	"verbenagate/io/watch"
)

const (
	// linger is how long a VM that stops goes on taking sessions, until the balancer has seen that it is not ready.
	linger = 2200 * time.Millisecond
	// stopReserve is kept of the time for a stop, so that the process ends by itself.
	stopReserve = 500 * time.Millisecond
	// trimInterval is how often idle connections are looked at, and chores the interval of work that is not urgent.
	trimInterval = 200 * time.Millisecond
	chores       = 5 * time.Second
	// collectPercent keeps the heap small; the live heap of a VM is a few megabytes.
	collectPercent = 60
	readHeader     = 2 * time.Second
)

// Adapters connect a VM to its platform.
type Adapters struct {
	Rows   port.RowStore
	Orders port.Promoter
	Dialer port.Dialer
	Source watch.Source
	Wrap   func(net.Conn) entry.Conn
	// ReadyPath is where the balancer asks whether the VM takes new sessions.
	ReadyPath string
}

// Clock returns a time that also counts while the process or its VM is suspended, which the runtime's clock does not. It
// only serves to compare times of this process.
func Clock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// Edge is a running VM.
type Edge struct {
	s        Settings
	log      *logs.Log
	lines    *Lines
	metrics  *metric.Set
	dir      *watch.Directory
	set      *pool.Set
	elector  *elect.Elector
	agents   *relay.Relay
	entry    *entry.Server
	stopping atomic.Bool
	cancel   context.CancelFunc
	servers  []*http.Server
}

// Start starts a VM.
func Start(s Settings, a Adapters, out *os.File) (*Edge, error) {
	debug.SetGCPercent(collectPercent)
	lines := NewLines(out, s.LogLines())
	log, err := logs.New(lines, logs.FormatJSON, s.LogLevel())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Edge{
		s: s, log: log, lines: lines, cancel: cancel,
		metrics: metric.NewSet(entry.Catalog(metric.NewRegistry()), metric.ReportInterval),
		set:     pool.NewSet(s.VM(), s.DataCentre(), a.Dialer, s.VMs(), Clock, log),
	}
	log.Event(event.NodeStarted, zap.String("vm", s.VM()), zap.String("data_centre", s.DataCentre()))
	var elector atomic.Pointer[elect.Elector]
	agents := relay.New(ctx, s.VM(), a.Rows, Clock, log)
	e.agents = agents
	e.dir = watch.NewDirectory(ctx, agents, a.Source, Clock, log, func(v *watch.View) {
		e.set.Update(v)
		if el := elector.Load(); el != nil {
			el.ReapplyPrimaries()
		}
	})
	self := lead.NewMember(s.VM(), 0, 0, nil).WithLocation(s.DataCentre(), s.Peers())
	e.elector = elect.New(self, a.Rows, agents, a.Orders, e.set, e.dir.View, Clock, log)
	elector.Store(e.elector)
	agents.SetGranter(e.elector)
	if s.Peers() != "" {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", s.Peers())
		if err != nil {
			cancel()
			return nil, result.Wrap(result.ConnectFailed, err, "listening for other VMs at %s", s.Peers())
		}
		agents.Serve(l)
	}
	e.elector.Start(ctx)
	e.entry, err = entry.Listen(ctx, s.Callers(), entry.Parts{
		Wrap: a.Wrap, View: e.dir.View, Groups: e.set, Elector: e.elector, Clock: Clock, Log: log, Metrics: e.metrics,
	})
	if err != nil {
		cancel()
		return nil, err
	}
	if err := e.listen(ctx, a.ReadyPath); err != nil {
		cancel()
		return nil, err
	}
	go func() {
		t := time.NewTicker(trimInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				e.set.Trim()
			}
		}
	}()
	go func() {
		t := time.NewTicker(chores)
		defer t.Stop()
		dropped := int64(0)
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				e.metrics.Gauge(entry.Sessions).Update(float64(e.entry.Sessions()))
				if n := lines.Dropped(); n > dropped {
					log.Event(event.LinesDropped, zap.Int64("lines", n-dropped))
					dropped = n
				}
			}
		}
	}()
	return e, nil
}

// listen serves readiness, metrics and the state dump.
func (e *Edge) listen(ctx context.Context, readyPath string) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	inspect := http.NewServeMux()
	inspect.Handle("GET /metrics", e.metrics.Handler())
	inspect.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(e.State()); err != nil {
			e.log.Event(event.AdminCall, zap.Error(err))
		}
	})
	for address, mux := range map[string]*http.ServeMux{e.s.Ready(): ready, e.s.Metrics(): inspect} {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address)
		if err != nil {
			return result.Wrap(result.ConnectFailed, err, "listening at %s", address)
		}
		srv := &http.Server{Handler: mux, ReadHeaderTimeout: readHeader}
		e.servers = append(e.servers, srv)
		go func() { _ = srv.Serve(l) }()
	}
	return nil
}

// Ready reports whether the VM takes new sessions. One that is cut off would refuse most of their work.
func (e *Edge) Ready() bool { return !e.stopping.Load() && e.dir.Ready() && !e.elector.Cut() }

// State is a dump of the VM.
type State struct {
	VM       string            `json:"vm"`
	Ready    bool              `json:"ready"`
	Config   uint64            `json:"config"`
	Sessions int               `json:"sessions"`
	Elector  elect.State       `json:"elector"`
	Agents   relay.State       `json:"agents"`
	Groups   []pool.GroupState `json:"groups"`
}

// State returns a dump of the VM.
func (e *Edge) State() State {
	return State{
		VM: e.s.VM(), Ready: e.Ready(), Config: e.dir.View().Config().Version(), Sessions: e.entry.Sessions(),
		Elector: e.elector.State(), Agents: e.agents.State(), Groups: e.set.State(),
	}
}

// Stop ends the VM gracefully.
func (e *Edge) Stop() {
	e.stopping.Store(true)
	e.log.Event(event.DrainPhase, zap.String("phase", "not ready"), zap.Int("sessions", e.entry.Sessions()))
	limit := e.s.Grace() - stopReserve
	if left := e.entry.Stop(min(linger, limit/2), e.s.Grace()/2, limit); left > 0 {
		e.log.Event(event.DrainTimeout, zap.Int("sessions", left))
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopReserve/2)
	e.elector.Stop(ctx)
	cancel()
	e.cancel()
	for _, srv := range e.servers {
		_ = srv.Close()
	}
	e.log.Event(event.NodeStopped, zap.String("vm", e.s.VM()))
	_ = e.metrics.Close()
	_ = e.lines.Close()
}

// Run runs a VM until SIGTERM. SIGHUP has the settings file checked again; its changes need a restart.
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
