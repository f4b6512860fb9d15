package slope

import (
	"context"
	"fmt"
	"io"
	"time"

	"verbenagate/core/svcdef"
	"verbenagate/io/config"
	"verbenagate/io/logs"
	"verbenagate/io/node"
	"verbenagate/io/scram"
	"verbenagate/lab/fault"
	"verbenagate/lab/load"
	"verbenagate/lab/plat"
	"verbenagate/lab/server"
)

const (
	service  = "dues"
	user     = "terminal"
	password = "terminal"
	// readyTimeout bounds each wait for the VMs to be ready.
	readyTimeout = 60 * time.Second
)

// plan describes a deployment by the data centres of its VMs and servers.
type plan struct {
	vms     []string
	roles   []string // role of each VM; roleVM if there are fewer
	servers []string
	slots   int
	// encrypted is whether callers use TLS; changeSettings must then enable it on the VMs.
	encrypted      bool
	changeSettings func(*config.Settings) // changes the settings of each VM
	ack            svcdef.Ack
	// oneWay is the network latency from the VMs and the first server to the other servers, 0 for none. serviceTime is how
	// long a server takes for a statement.
	oneWay, serviceTime time.Duration
}

// deployment is a platform, a group of servers and VMs that run in this process, with one service.
type deployment struct {
	log           *logs.Log
	platform      *plat.Platform
	platformRelay *relay
	servers       []*server.Server
	serverRelays  []*relay
	delayLinks    []*fault.Link
	nodes         []*node.Node
	spec          svcdef.Spec
	revision      uint64
}

func startDeployment(ctx context.Context, p plan) (*deployment, error) {
	d := &deployment{}
	err := d.build(ctx, p)
	if err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) build(ctx context.Context, p plan) error {
	var err error
	if d.log, err = logs.New(io.Discard, "json", "error"); err != nil {
		return err
	}
	withRole(ctx, roleLab, func() { err = d.startLab(p) })
	if err != nil {
		return err
	}
	for i, dc := range p.vms {
		role := roleVM
		if i < len(p.roles) {
			role = p.roles[i]
		}
		withRole(ctx, role, func() { err = d.startVM(fmt.Sprintf("vm%03d", i), dc, p.changeSettings) })
		if err != nil {
			return err
		}
	}
	if len(p.servers) == 0 {
		return d.awaitMembers(ctx)
	}
	if err := d.awaitMembers(ctx); err != nil {
		return err
	}
	if err := d.apply(ctx); err != nil {
		return err
	}
	return d.awaitVMs(ctx, func(n *node.Node) bool { return n.Serves(ctx, service) })
}

func (d *deployment) startLab(p plan) error {
	var err error
	if d.platform, err = plat.New(plat.Config{}); err != nil {
		return err
	}
	if d.platformRelay, err = newRelay(d.platform.Addr()); err != nil {
		return err
	}
	if d.servers, d.serverRelays, err = startServers(len(p.servers), p.slots); err != nil {
		return err
	}
	if p.oneWay > 0 {
		if err := d.addNetworkDelay(p.oneWay); err != nil {
			return err
		}
	}
	for _, s := range d.servers {
		s.SetServiceTime(p.serviceTime)
	}
	d.spec = svcdef.Spec{
		Name: service, Database: service, Ack: p.ack, Timeout: 20 * time.Second,
		Login: svcdef.LoginSpec{User: user, Password: password},
	}
	for i := range d.servers {
		d.spec.Servers = append(d.spec.Servers, svcdef.ServerSpec{
			Address: d.serverRelays[i].addr(), DataCentre: p.servers[i], Slots: p.slots, Connections: 100,
		})
	}
	verifier, err := scram.Verifier(password)
	d.spec.Callers = []svcdef.CallerSpec{{User: user, Verifier: verifier}}
	return err
}

// startServers starts n servers that replicate and are reached through relays; the first one is the primary. It returns
// what it has started even with an error.
func startServers(n, slots int) (group []*server.Server, relays []*relay, err error) {
	follow := ""
	for i := range n {
		r, err := newRelay("")
		if err != nil {
			return group, relays, err
		}
		relays = append(relays, r)
		s, err := server.New(server.Config{
			User: user, Password: password, Scram: true, Primary: i == 0, Term: 1, Follow: follow, Slots: slots,
			Schema: load.Schema, Advertise: r.addr(),
		})
		if err != nil {
			return group, relays, err
		}
		group = append(group, s)
		address := s.Addr()
		r.target.Store(&address)
		if i == 0 {
			follow = address
		}
	}
	return group, relays, nil
}

func (d *deployment) startVM(id, dataCentre string, changeSettings func(*config.Settings)) error {
	cfg := config.Default()
	cfg.VM = config.VM{ID: id, DataCentre: dataCentre}
	cfg.Listen = config.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	cfg.Platform.URL = "http://" + d.platformRelay.addr()
	cfg.Limits.Callers = 100_000
	if changeSettings != nil {
		changeSettings(&cfg)
	}
	n, err := node.New(cfg, d.log)
	if err == nil {
		d.nodes = append(d.nodes, n)
	}
	return err
}

// apply sends the service definition to the first VM, as an operator would.
func (d *deployment) apply(ctx context.Context) error { return d.applyThrough(ctx, d.nodes[0]) }

func (d *deployment) awaitMembers(ctx context.Context) error {
	return d.awaitVMs(ctx, func(n *node.Node) bool { return len(n.Mesh().View().Live()) == len(d.nodes) })
}

// awaitVMs waits until ok holds for each VM in turn.
func (d *deployment) awaitVMs(ctx context.Context, ok func(*node.Node) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, n := range d.nodes {
		for !ok(n) {
			if err := sleep(ctx, 5*time.Millisecond); err != nil {
				return fmt.Errorf("VM %d of %d is not ready: %w", i+1, len(d.nodes), err)
			}
		}
	}
	return nil
}

func (d *deployment) close() {
	for _, n := range d.nodes {
		n.Close()
	}
	for _, r := range d.serverRelays {
		r.close()
	}
	for _, l := range d.delayLinks {
		l.Close()
	}
	for _, s := range d.servers {
		s.Close()
	}
	if d.platformRelay != nil {
		d.platformRelay.close()
	}
	if d.platform != nil {
		d.platform.Close()
	}
}

// spread returns n names of data centres, which repeat dc0 to dc(dcs-1) in turn.
func spread(n, dcs int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("dc%d", i%dcs)
	}
	return out
}
