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
	// readyTimeout bounds the wait until all VMs serve.
	readyTimeout = 60 * time.Second
)

// plan describes a deployment by the data centres of its VMs and servers.
type plan struct {
	vms     []string
	roles   []string // role of each VM; roleVM if there are fewer
	servers []string
	slots   int
	// encrypted is whether callers use TLS, which set must allow then.
	encrypted bool
	set       func(*config.Settings) // changes the settings of each VM
	ack       svcdef.Ack
	// oneWay is the latency between the first server with the VMs and the other servers; serviceTime that of a statement.
	oneWay, serviceTime time.Duration
}

// bench is a running deployment with one service.
type bench struct {
	log       *logs.Log
	platform  *plat.Platform
	toStore   *relay
	servers   []*server.Server
	toServers []*relay
	far       []*fault.Link
	nodes     []*node.Node
	spec      svcdef.Spec
	revision  uint64
}

func start(ctx context.Context, p plan) (*bench, error) {
	b := &bench{}
	err := b.build(ctx, p)
	if err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *bench) build(ctx context.Context, p plan) error {
	var err error
	if b.log, err = logs.New(io.Discard, "json", "error"); err != nil {
		return err
	}
	as(ctx, roleLab, func() { err = b.startLab(p) })
	if err != nil {
		return err
	}
	for i, dc := range p.vms {
		role := roleVM
		if i < len(p.roles) {
			role = p.roles[i]
		}
		as(ctx, role, func() { err = b.startVM(fmt.Sprintf("vm%03d", i), dc, p.set) })
		if err != nil {
			return err
		}
	}
	if len(p.servers) == 0 {
		return b.awaitMembers(ctx)
	}
	if err := b.awaitMembers(ctx); err != nil {
		return err
	}
	if err := b.apply(ctx); err != nil {
		return err
	}
	return b.await(ctx, func(n *node.Node) bool { return n.Serves(ctx, service) })
}

func (b *bench) startLab(p plan) error {
	var err error
	if b.platform, err = plat.New(plat.Config{}); err != nil {
		return err
	}
	if b.toStore, err = newRelay(b.platform.Addr()); err != nil {
		return err
	}
	if b.servers, b.toServers, err = startServers(len(p.servers), p.slots); err != nil {
		return err
	}
	if p.oneWay > 0 {
		if err := b.delay(p.oneWay); err != nil {
			return err
		}
	}
	for _, s := range b.servers {
		s.SetServiceTime(p.serviceTime)
	}
	b.spec = svcdef.Spec{
		Name: service, Database: service, Ack: p.ack, Timeout: 20 * time.Second,
		Login: svcdef.LoginSpec{User: user, Password: password},
	}
	for i := range b.servers {
		b.spec.Servers = append(b.spec.Servers, svcdef.ServerSpec{
			Address: b.toServers[i].addr(), DataCentre: p.servers[i], Slots: p.slots, Connections: 100,
		})
	}
	verifier, err := scram.Verifier(password)
	b.spec.Callers = []svcdef.CallerSpec{{User: user, Verifier: verifier}}
	return err
}

// startServers starts a group whose servers are reached through relays; the first server is the primary.
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

func (b *bench) startVM(id, dataCentre string, set func(*config.Settings)) error {
	cfg := config.Default()
	cfg.VM = config.VM{ID: id, DataCentre: dataCentre}
	cfg.Listen = config.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	cfg.Platform.URL = "http://" + b.toStore.addr()
	cfg.Limits.Callers = 100_000
	if set != nil {
		set(&cfg)
	}
	n, err := node.New(cfg, b.log)
	if err == nil {
		b.nodes = append(b.nodes, n)
	}
	return err
}

// apply puts the service's definition in force as an operator would.
func (b *bench) apply(ctx context.Context) error { return b.applyThrough(ctx, b.nodes[0]) }

func (b *bench) awaitMembers(ctx context.Context) error {
	return b.await(ctx, func(n *node.Node) bool { return len(n.Mesh().View().Live()) == len(b.nodes) })
}

// await waits until all VMs satisfy ok.
func (b *bench) await(ctx context.Context, ok func(*node.Node) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i, n := range b.nodes {
		for !ok(n) {
			if err := wait(ctx, 5*time.Millisecond); err != nil {
				return fmt.Errorf("VM %d of %d is not ready: %w", i+1, len(b.nodes), err)
			}
		}
	}
	return nil
}

func (b *bench) close() {
	for _, n := range b.nodes {
		n.Close()
	}
	for _, r := range b.toServers {
		r.close()
	}
	for _, l := range b.far {
		l.Close()
	}
	for _, s := range b.servers {
		s.Close()
	}
	if b.toStore != nil {
		b.toStore.close()
	}
	if b.platform != nil {
		b.platform.Close()
	}
}

// spread returns n data centres' names, one after the other from the first dcs ones.
func spread(n, dcs int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("dc%d", i%dcs)
	}
	return out
}
