// Package site runs a whole deployment in one process: the platform, the servers of each service, and the VMs.
package site

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"verbenagate/core/svcdef"
	"verbenagate/io/admin"
	"verbenagate/io/config"
	"verbenagate/io/front"
	"verbenagate/io/logs"
	"verbenagate/io/node"
	"verbenagate/io/scram"
	"verbenagate/lab/audit"
	"verbenagate/lab/fault"
	"verbenagate/lab/load"
	"verbenagate/lab/plat"
	"verbenagate/lab/server"
)

const (
	// loginUser and loginPassword are the account of the VMs on the servers. The passwords are strings that occur nowhere
	// else, so that a test can look for them in what VMs write.
	loginUser, loginPassword = "verbenagate", "login-3f9c1b"
	// Password is the password of every caller.
	Password = "terminal-8d27e0"
	// readyTimeout bounds the wait until all VMs serve.
	readyTimeout = 20 * time.Second
)

// Spec describes a deployment. It is read from experiment files, so its fields are exported.
type Spec struct {
	DataCentres []string      `json:"data_centres" yaml:"data_centres"`
	VMs         int           `json:"vms" yaml:"vms"`
	Services    []ServiceSpec `json:"services" yaml:"services"`
	// OpenDelay is the time to open a connection to a server, ServiceTime the time that a statement takes there.
	OpenDelay   time.Duration `json:"open_delay" yaml:"open_delay"`
	ServiceTime time.Duration `json:"service_time" yaml:"service_time"`
	// Lag is the time from receiving a log entry to applying it, NetDelay the one-way latency of replication.
	Lag      time.Duration `json:"lag" yaml:"lag"`
	NetDelay time.Duration `json:"net_delay" yaml:"net_delay"`
	// Silence is the time without a status before a promotion; 0 for the default of the settings.
	Silence time.Duration `json:"silence,omitempty" yaml:"silence,omitempty"`
	// Links puts a fault-injecting link between the VMs and each server; replication does not use it.
	Links bool `json:"links,omitempty" yaml:"links,omitempty"`
	// NewLink replaces fault.Link, for faults that it does not offer.
	NewLink func() (Link, error) `json:"-" yaml:"-"`
	// NewAddress, if set, returns the address on which a server listens. A server that crashes gives its port up for a time;
	// with a port that the kernel chose, another process may listen there meanwhile.
	NewAddress func() (string, error) `json:"-" yaml:"-"`
	// Adjust, if set, changes the settings of each VM before it starts.
	Adjust func(*config.Settings) `json:"-" yaml:"-"`
	// OperatorTLS are the TLS settings of the operator who applies the definitions; nil for plain text.
	OperatorTLS *tls.Config `json:"-" yaml:"-"`
}

// Link passes the connections between the VMs and one server.
type Link interface {
	// Addr returns the address that VMs connect to.
	Addr() string
	// SetTarget sets the server's address.
	SetTarget(address string)
	Close()
}

func newLink() (Link, error) { return fault.New("") }

// ServiceSpec describes one service of a deployment.
type ServiceSpec struct {
	Name        string        `json:"name" yaml:"name"`
	Servers     int           `json:"servers" yaml:"servers"`
	Slots       int           `json:"slots" yaml:"slots"`
	Connections int           `json:"connections" yaml:"connections"`
	Ack         svcdef.Ack    `json:"ack,omitempty" yaml:"ack,omitempty"`
	Callers     int           `json:"callers" yaml:"callers"`
	MaxAge      time.Duration `json:"max_age,omitempty" yaml:"max_age,omitempty"`
	Timeout     time.Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	MaxWait     time.Duration `json:"max_wait,omitempty" yaml:"max_wait,omitempty"`
}

// Site is a running deployment.
type Site struct {
	spec     Spec
	platform *plat.Platform
	groups   map[string][]*server.Server
	links    map[string][]Link
	specs    map[string]svcdef.Spec
	log      *logs.Log

	mu       sync.Mutex
	nodes    []*node.Node
	fronts   []*fault.Link // between callers and each VM, with Spec.Links
	settings []config.Settings
	past     Counts // of VMs that were stopped or replaced
}

// Counts are totals over all VMs.
type Counts struct {
	ReplicaReads int64 `json:"replica_reads"`
	PrimaryReads int64 `json:"primary_reads"`
	Writes       int64 `json:"writes"`
	Retries      int64 `json:"retries"`
	NotRun       int64 `json:"not_run"`
	Unknown      int64 `json:"unknown"`
}

func (c *Counts) add(f *front.Counts) {
	c.ReplicaReads += f.ReplicaReads()
	c.PrimaryReads += f.PrimaryReads()
	c.Writes += f.Writes()
	c.Retries += f.Retries()
	c.NotRun += f.NotRun()
	c.Unknown += f.Unknown()
}

// Less returns the difference to earlier counts.
func (c Counts) Less(d Counts) Counts {
	return Counts{
		c.ReplicaReads - d.ReplicaReads, c.PrimaryReads - d.PrimaryReads, c.Writes - d.Writes, c.Retries - d.Retries,
		c.NotRun - d.NotRun, c.Unknown - d.Unknown,
	}
}

// Counts returns what the VMs did since the start, those that are gone included.
func (s *Site) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.past
	for _, n := range s.nodes {
		if n != nil {
			c.add(n.Front().Counts())
		}
	}
	return c
}

// New starts a deployment and waits until every VM has its configuration and every service a confirmed primary.
func New(ctx context.Context, spec Spec, log *logs.Log) (*Site, error) {
	s := &Site{spec: spec, groups: map[string][]*server.Server{}, links: map[string][]Link{}, specs: map[string]svcdef.Spec{}, log: log}
	if err := s.build(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) build(ctx context.Context) error {
	var err error
	if s.platform, err = plat.New(plat.Config{}); err != nil {
		return err
	}
	for _, svc := range s.spec.Services {
		if err := s.startGroup(svc); err != nil {
			return err
		}
	}
	for i := range s.spec.VMs {
		if _, err := s.StartVM(fmt.Sprintf("vm%d", i+1), s.spec.DataCentres[i%len(s.spec.DataCentres)]); err != nil {
			return err
		}
	}
	if s.spec.VMs == 0 {
		return nil // the VMs run elsewhere
	}
	if err := s.apply(ctx); err != nil {
		return err
	}
	return s.AwaitReady(ctx)
}

// startGroup starts the servers of a service, one in each data centre in turn.
func (s *Site) startGroup(svc ServiceSpec) error {
	spec := svcdef.Spec{
		Name: svc.Name, Database: svc.Name, Ack: svc.Ack, Timeout: svc.Timeout, MaxWait: svc.MaxWait,
		Login: svcdef.LoginSpec{User: loginUser, Password: loginPassword},
		Once:  []svcdef.OnceRuleSpec{{Statement: load.PaySQL, Key: []int{1}, Keep: time.Hour}},
	}
	if svc.MaxAge > 0 {
		spec.StaleReads = []svcdef.StaleReadSpec{{Statement: load.BrowseSQL, Table: "tick", MaxAge: svc.MaxAge}}
	}
	follow := ""
	for i := range svc.Servers {
		address := ""
		link, err := s.newLink()
		if err != nil {
			return err
		}
		if link != nil {
			s.links[svc.Name] = append(s.links[svc.Name], link)
			address = link.Addr()
		}
		listen, err := s.newAddress()
		if err != nil {
			return err
		}
		srv, err := server.New(server.Config{
			Listen: listen, Advertise: address, User: loginUser, Password: loginPassword, Scram: true, Primary: i == 0, Term: 1, Follow: follow, Slots: svc.Slots,
			MaxConnections: svc.Connections, OpenDelay: s.spec.OpenDelay, ServiceTime: s.spec.ServiceTime,
			NetDelay: s.spec.NetDelay, Lag: s.spec.Lag, Schema: load.Schema,
		})
		if err != nil {
			return err
		}
		s.groups[svc.Name] = append(s.groups[svc.Name], srv)
		if link != nil {
			link.SetTarget(srv.Addr())
		} else {
			address = srv.Addr()
		}
		if i == 0 {
			follow = address
		}
		spec.Servers = append(spec.Servers, svcdef.ServerSpec{
			Address: address, DataCentre: s.spec.DataCentres[i%len(s.spec.DataCentres)], Slots: svc.Slots,
			Connections: svc.Connections,
		})
	}
	s.setRoutes(svc.Name)
	verifier, err := scram.Verifier(Password)
	if err != nil {
		return err
	}
	for i := -1; i < svc.Callers; i++ {
		spec.Callers = append(spec.Callers, svcdef.CallerSpec{User: User(i), Verifier: verifier})
	}
	s.specs[svc.Name] = spec
	return nil
}

func (s *Site) newLink() (Link, error) {
	switch {
	case s.spec.NewLink != nil:
		return s.spec.NewLink()
	case s.spec.Links:
		return newLink()
	}
	return nil, nil
}

// newAddress returns the address on which the next server listens, empty for any.
func (s *Site) newAddress() (string, error) {
	if s.spec.NewAddress == nil {
		return "", nil
	}
	return s.spec.NewAddress()
}

// setRoutes lets replication links go past the links that VMs use.
func (s *Site) setRoutes(service string) {
	for _, srv := range s.groups[service] {
		for i, d := range s.links[service] {
			srv.SetRoute(d.Addr(), s.groups[service][i].Addr())
		}
	}
}

// User returns the user name of a caller.
func User(n int) string { return fmt.Sprintf("caller%d", n) }

// StartVM starts one more VM.
func (s *Site) StartVM(id, dataCentre string) (*node.Node, error) {
	cfg := config.Default()
	cfg.VM = config.VM{ID: id, DataCentre: dataCentre}
	cfg.Listen = config.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0", Metrics: "127.0.0.1:0"}
	cfg.Platform.URL = "http://" + s.platform.Addr()
	if s.spec.Silence > 0 {
		cfg.Timing.Silence = s.spec.Silence
	}
	if s.spec.Adjust != nil {
		s.spec.Adjust(&cfg)
	}
	n, err := node.New(cfg, s.log)
	if err != nil {
		return nil, err
	}
	// The VM that replaces this one gets the same addresses, as the balancer's address would stay the same.
	if !s.spec.Links {
		cfg.Listen = config.Listen{
			Callers: n.CallerAddr(), Peers: n.PeerAddr(), Operators: n.OperatorAddr(), Metrics: n.MetricsAddr(),
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = append(s.nodes, n)
	s.settings = append(s.settings, cfg)
	if !s.spec.Links {
		return n, nil
	}
	// A connection may hold the port by the time a VM restarts, so callers use an address that stays.
	front, err := fault.New(n.CallerAddr())
	if err != nil {
		return nil, err
	}
	s.fronts = append(s.fronts, front)
	return n, nil
}

// take removes a VM from the deployment, nil if it is gone already.
func (s *Site) take(i int) *node.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[i]
	s.nodes[i] = nil
	if n != nil {
		s.past.add(n.Front().Counts())
	}
	return n
}

// CrashVM ends a VM as a failure would.
func (s *Site) CrashVM(i int) {
	if n := s.take(i); n != nil {
		n.Close()
	}
}

// StopVM stops a VM gracefully and returns how many callers were still at work when the time limit passed.
func (s *Site) StopVM(i int, limit time.Duration) int {
	s.mu.Lock()
	n := s.nodes[i]
	s.mu.Unlock()
	if n == nil {
		return 0
	}
	left := n.Stop(limit)
	s.take(i)
	return left
}

// RestartVM starts a VM in place of one that crashed or was stopped. Callers find it at the address that it had.
func (s *Site) RestartVM(i int) (*node.Node, error) {
	s.mu.Lock()
	cfg, gone := s.settings[i], s.nodes[i] == nil
	s.mu.Unlock()
	if !gone {
		return nil, fmt.Errorf("VM %s is still running", cfg.VM.ID)
	}
	n, err := node.New(cfg, s.log)
	if err != nil {
		return nil, fmt.Errorf("restart VM %s: %w", cfg.VM.ID, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[i] = n
	if s.spec.Links {
		s.fronts[i].SetTarget(n.CallerAddr())
	}
	return n, nil
}

// ReplaceVM restarts a VM and waits until it serves.
func (s *Site) ReplaceVM(ctx context.Context, i int) error {
	n, err := s.RestartVM(i)
	if err != nil {
		return err
	}
	for _, svc := range s.spec.Services {
		if err := awaitService(ctx, n, svc.Name); err != nil {
			return err
		}
	}
	return nil
}

// apply gives the definitions to the first VM, as an operator would.
func (s *Site) apply(ctx context.Context) error {
	c, err := admin.Dial(s.Nodes()[0].OperatorAddr(), admin.WithTLS(s.spec.OperatorTLS))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	based := uint64(0)
	for _, svc := range s.spec.Services {
		rev, _, err := c.Apply(ctx, s.specs[svc.Name], based, "lab")
		if err != nil {
			return fmt.Errorf("apply service %s: %w", svc.Name, err)
		}
		based = rev.Number()
	}
	return nil
}

// AwaitReady waits until every VM has the newest revision and can confirm the position of every service's primary.
func (s *Site) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range s.Nodes() {
		for _, svc := range s.spec.Services {
			if err := awaitService(ctx, n, svc.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

func awaitService(ctx context.Context, n *node.Node, service string) error {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		if n.Serves(ctx, service) {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("VM on %s does not serve service %s: %w", n.CallerAddr(), service, ctx.Err())
		}
	}
}

// Platform returns the platform.
func (s *Site) Platform() *plat.Platform { return s.platform }

// Spec returns the description of the deployment.
func (s *Site) Spec() Spec { return s.spec }

// Nodes returns the running VMs in the order of their start.
func (s *Site) Nodes() []*node.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*node.Node
	for _, n := range s.nodes {
		if n != nil {
			list = append(list, n)
		}
	}
	return list
}

// Group returns the servers of a service.
func (s *Site) Group(service string) []*server.Server { return s.groups[service] }

// Links returns the links between the VMs and the servers of a service, in the order of the servers.
func (s *Site) Links(service string) []*fault.Link {
	var links []*fault.Link
	for _, d := range s.links[service] {
		if l, ok := d.(*fault.Link); ok {
			links = append(links, l)
		}
	}
	return links
}

// Definition returns the definition of a service that the deployment started with.
func (s *Site) Definition(service string) svcdef.Spec { return s.specs[service] }

// Primary returns the present primary of a service: the server that serves under the highest term.
func (s *Site) Primary(service string) *server.Server {
	var best *server.Server
	for _, srv := range s.groups[service] {
		if st := srv.Status(); st.IsServingPrimary() && (best == nil || st.Term > best.Status().Term) {
			best = srv
		}
	}
	return best
}

// Target returns where the callers of a service connect.
func (s *Site) Target(service string) load.Target {
	t := load.Target{Database: service, User: User, Password: Password}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.fronts {
		t.VMs = append(t.VMs, l.Addr())
	}
	if !s.spec.Links {
		for _, cfg := range s.settings {
			t.VMs = append(t.VMs, cfg.Listen.Callers)
		}
	}
	return t
}

// Direct returns the account of the VMs on the servers, for baselines without a proxy.
func (s *Site) Direct() (user, password string) { return loginUser, loginPassword }

// Close ends everything.
func (s *Site) Close() {
	var wg sync.WaitGroup
	for _, n := range s.Nodes() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.Close()
		}()
	}
	wg.Wait()
	for _, g := range s.groups {
		for _, srv := range g {
			srv.Close()
		}
	}
	for _, l := range s.fronts {
		l.Close()
	}
	for _, g := range s.links {
		for _, d := range g {
			d.Close()
		}
	}
	if s.platform != nil {
		s.platform.Close()
	}
}

// Limits returns what each server saw of its own limits.
func (s *Site) Limits() []audit.ServerUsage {
	var list []audit.ServerUsage
	for _, svc := range s.spec.Services {
		for _, srv := range s.groups[svc.Name] {
			list = append(list, audit.ServerUsage{
				Server: srv.Addr(), Connections: srv.MaxConnections(), Allowed: svc.Connections, Running: srv.MaxRunning(),
				Slots: svc.Slots,
			})
		}
	}
	return list
}
