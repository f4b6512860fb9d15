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
	"verbenagate/lab/ports"
	"verbenagate/lab/server"
)

const (
	// loginUser and loginPassword are the account with which VMs log in to servers. The passwords occur nowhere else, so that
	// a test can search the logs and dumps of VMs for them.
	loginUser, loginPassword = "verbenagate", "login-3f9c1b"
	// Password is the password of every caller.
	Password = "terminal-8d27e0"
	// readyTimeout bounds the wait until all VMs serve all services.
	readyTimeout = 20 * time.Second
)

// Spec describes a deployment. Its fields are exported because it is decoded from experiment files.
type Spec struct {
	DataCentres []string      `json:"data_centres" yaml:"data_centres"`
	VMs         int           `json:"vms" yaml:"vms"`
	Services    []ServiceSpec `json:"services" yaml:"services"`
	// OpenDelay is how long a server takes to open a connection, ServiceTime how long it takes to run a statement.
	OpenDelay   time.Duration `json:"open_delay" yaml:"open_delay"`
	ServiceTime time.Duration `json:"service_time" yaml:"service_time"`
	// Lag is the time between receipt and application of a log entry on a replica, NetDelay the one-way latency of replication.
	Lag      time.Duration `json:"lag" yaml:"lag"`
	NetDelay time.Duration `json:"net_delay" yaml:"net_delay"`
	// Silence is how long a primary may report no status before a replica is promoted; 0 means the default of the settings.
	Silence time.Duration `json:"silence,omitempty" yaml:"silence,omitempty"`
	// Links puts a fault-injecting link between the VMs and each server; replication does not use it.
	Links bool `json:"links,omitempty" yaml:"links,omitempty"`
	// NewLink, if set, creates the links instead of fault.New, for faults that fault.Link does not offer.
	NewLink func() (Link, error) `json:"-" yaml:"-"`
	// NewAddress, if set, returns the address on which a server listens. A crashed server releases its port until it restarts;
	// if the kernel chose the port, another process may listen there in the meantime.
	NewAddress func() (string, error) `json:"-" yaml:"-"`
	// Adjust, if set, modifies the settings of each VM before the VM starts.
	Adjust func(*config.Settings) `json:"-" yaml:"-"`
	// OperatorTLS is the TLS configuration of the operator who applies the definitions; nil means plain text.
	OperatorTLS *tls.Config `json:"-" yaml:"-"`
}

// Link forwards the connections between the VMs and one server.
type Link interface {
	// Addr returns the address that VMs connect to.
	Addr() string
	// SetTarget sets the address of the server that connections are forwarded to.
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

	mu            sync.Mutex
	nodes         []*node.Node
	callerLinks   []*fault.Link // between callers and each VM; empty without Spec.Links
	settings      []config.Settings
	reservations  []*ports.Reservation // of the addresses on which VMs listen
	stoppedCounts Counts               // of VMs that crashed or were stopped
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

// Less returns c minus the earlier counts d, field by field.
func (c Counts) Less(d Counts) Counts {
	return Counts{
		c.ReplicaReads - d.ReplicaReads, c.PrimaryReads - d.PrimaryReads, c.Writes - d.Writes, c.Retries - d.Retries,
		c.NotRun - d.NotRun, c.Unknown - d.Unknown,
	}
}

// Counts returns the totals since the start of the deployment, including those of VMs that no longer run.
func (s *Site) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.stoppedCounts
	for _, n := range s.nodes {
		if n != nil {
			c.add(n.Front().Counts())
		}
	}
	return c
}

// New starts a deployment and waits until every VM has its configuration and every service has a confirmed primary.
func New(ctx context.Context, spec Spec, log *logs.Log) (*Site, error) {
	s := &Site{spec: spec, groups: map[string][]*server.Server{}, links: map[string][]Link{}, specs: map[string]svcdef.Spec{}, log: log}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
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
		return nil // the VMs run in other processes
	}
	if err := s.applyDefinitions(ctx); err != nil {
		return err
	}
	return s.AwaitReady(ctx)
}

// startGroup starts the servers of a service and distributes them over the data centres in round-robin order.
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

// newAddress returns the address on which the next server listens. If it is empty, the kernel chooses a port.
func (s *Site) newAddress() (string, error) {
	if s.spec.NewAddress == nil {
		return "", nil
	}
	return s.spec.NewAddress()
}

// setRoutes makes replication connect to the servers directly and bypass the links that VMs use.
func (s *Site) setRoutes(service string) {
	for _, srv := range s.groups[service] {
		for i, d := range s.links[service] {
			srv.SetRoute(d.Addr(), s.groups[service][i].Addr())
		}
	}
}

// User returns the user name of the caller with number n.
func User(n int) string { return fmt.Sprintf("caller%d", n) }

// StartVM adds a VM to the deployment and starts it.
func (s *Site) StartVM(id, dataCentre string) (*node.Node, error) {
	cfg := config.Default()
	cfg.VM = config.VM{ID: id, DataCentre: dataCentre}
	if err := s.setListen(&cfg); err != nil {
		return nil, err
	}
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
	// A replacement of this VM gets the same addresses, just as the address of a load balancer would stay the same.
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
	// Another connection may occupy the VM's port when the VM restarts, so callers connect to a link, whose address stays the same.
	callerLink, err := fault.New(n.CallerAddr())
	if err != nil {
		return nil, err
	}
	s.callerLinks = append(s.callerLinks, callerLink)
	return n, nil
}

// setListen sets the addresses on which a VM listens. Without links, its replacement must get the same ones, so they are reserved.
func (s *Site) setListen(cfg *config.Settings) error {
	l := &cfg.Listen
	for _, a := range []*string{&l.Callers, &l.Peers, &l.Operators, &l.Metrics} {
		*a = "127.0.0.1:0"
		if s.spec.Links {
			continue
		}
		r, err := ports.Reserve()
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.reservations = append(s.reservations, r)
		s.mu.Unlock()
		*a = r.Addr()
	}
	return nil
}

// removeVM removes a VM from the deployment and returns it, or nil if the VM no longer runs.
func (s *Site) removeVM(i int) *node.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[i]
	s.nodes[i] = nil
	if n != nil {
		s.stoppedCounts.add(n.Front().Counts())
	}
	return n
}

// CrashVM ends the VM with index i without a graceful shutdown.
func (s *Site) CrashVM(i int) {
	if n := s.removeVM(i); n != nil {
		n.Close()
	}
}

// StopVM shuts the VM with index i down gracefully and returns how many callers still had work in flight when limit expired.
func (s *Site) StopVM(i int, limit time.Duration) int {
	s.mu.Lock()
	n := s.nodes[i]
	s.mu.Unlock()
	if n == nil {
		return 0
	}
	busyCallers := n.Stop(limit)
	s.removeVM(i)
	return busyCallers
}

// RestartVM starts a replacement for the VM with index i, which must have crashed or been stopped. Callers reach the replacement
// at the previous address.
func (s *Site) RestartVM(i int) (*node.Node, error) {
	s.mu.Lock()
	cfg, stopped := s.settings[i], s.nodes[i] == nil
	s.mu.Unlock()
	if !stopped {
		return nil, fmt.Errorf("cannot restart VM %s: it is still running", cfg.VM.ID)
	}
	n, err := node.New(cfg, s.log)
	if err != nil {
		return nil, fmt.Errorf("restart VM %s: %w", cfg.VM.ID, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[i] = n
	if s.spec.Links {
		s.callerLinks[i].SetTarget(n.CallerAddr())
	}
	return n, nil
}

// ReplaceVM calls RestartVM and waits until the new VM serves all services.
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

// applyDefinitions applies the service definitions through the first VM, as an operator would.
func (s *Site) applyDefinitions(ctx context.Context) error {
	c, err := admin.Dial(s.Nodes()[0].OperatorAddr(), admin.WithTLS(s.spec.OperatorTLS))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	baseRevision := uint64(0)
	for _, svc := range s.spec.Services {
		rev, _, err := c.Apply(ctx, s.specs[svc.Name], baseRevision, "lab")
		if err != nil {
			return fmt.Errorf("apply service %s: %w", svc.Name, err)
		}
		baseRevision = rev.Number()
	}
	return nil
}

// AwaitReady waits until every VM has the latest revision and can confirm the log position of every service's primary.
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

// Platform returns the platform that the VMs run on.
func (s *Site) Platform() *plat.Platform { return s.platform }

// Spec returns the description of the deployment.
func (s *Site) Spec() Spec { return s.spec }

// Nodes returns the running VMs in the order in which they were added. Stopped VMs are left out, so an index may differ from that of
// CrashVM, StopVM and RestartVM.
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

// Group returns the servers of a service, including crashed ones.
func (s *Site) Group(service string) []*server.Server { return s.groups[service] }

// Links returns the links between the VMs and the servers of a service, in the order of the servers. Links that Spec.NewLink created
// as another type than *fault.Link are left out.
func (s *Site) Links(service string) []*fault.Link {
	var links []*fault.Link
	for _, d := range s.links[service] {
		if l, ok := d.(*fault.Link); ok {
			links = append(links, l)
		}
	}
	return links
}

// Definition returns the definition with which a service was started.
func (s *Site) Definition(service string) svcdef.Spec { return s.specs[service] }

// Primary returns the current primary of a service, which is the server that serves as primary with the highest term, or nil if
// there is none.
func (s *Site) Primary(service string) *server.Server {
	var best *server.Server
	for _, srv := range s.groups[service] {
		if st := srv.Status(); st.IsServingPrimary() && (best == nil || st.Term > best.Status().Term) {
			best = srv
		}
	}
	return best
}

// Target returns the VM addresses, the database and the accounts with which callers use a service.
func (s *Site) Target(service string) load.Target {
	t := load.Target{Database: service, User: User, Password: Password}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.callerLinks {
		t.VMs = append(t.VMs, l.Addr())
	}
	if !s.spec.Links {
		for _, cfg := range s.settings {
			t.VMs = append(t.VMs, cfg.Listen.Callers)
		}
	}
	return t
}

// Direct returns the account with which VMs log in to servers, for baselines that connect to servers without a proxy.
func (s *Site) Direct() (user, password string) { return loginUser, loginPassword }

// Close stops all VMs, servers and links and the platform.
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
	for _, l := range s.callerLinks {
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
	for _, r := range s.reservations {
		_ = r.Close()
	}
}

// Limits returns for each server the highest numbers of connections and running statements, with the limits of both.
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
