package node

import (
	"context"
	"sync"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/work"
	"verbenagate/io/peer"
)

// serve answers requests of other VMs.
func (n *Node) serve(ctx context.Context, _ string, req peer.Request) (peer.Reply, error) {
	if !n.built.Load() {
		return nil, n.starting()
	}
	switch r := req.(type) {
	case peer.BarrierRequest:
		got, err := n.host.Barrier(ctx, r.Service, r.Callers)
		if err != nil {
			return nil, err
		}
		return barrierAnswer(got, r.Callers), nil
	case peer.ViewRequest:
		return peer.ViewAnswer{Health: uint8(n.host.Health(r.Group))}, nil
	case peer.RevisionRequest:
		return n.config.Answer(r), nil
	case peer.CancelForward:
		n.callers.Cancel(r.ProcessID, r.Secret)
		return peer.Done{}, nil
	case peer.PrimaryNews:
		n.front.Primary(r.Service, work.ServerInfo{
			Address: r.Address, Term: r.Term, Role: port.RolePrimary,
		})
		n.host.Ask(r.Service)
		return peer.Done{}, nil
	case peer.DrainRequest:
		n.requestStop()
		return peer.Done{}, nil
	case peer.DumpRequest:
		body, err := n.dumpJSON()
		return peer.DumpAnswer{JSON: body}, err
	}
	return nil, result.New(result.Unsupported, "VM %s does not know request %T", n.cfg.VM.ID, req)
}

// primaries holds the term of the last primary that this VM saw as a watcher of each service.
type primaries struct {
	mu    sync.Mutex
	terms map[string]uint64
}

// changed notes a primary and reports whether this VM knew an older one. The first that a new watcher sees is no news:
// each restart of a VM would otherwise make the watchers that take over its servers call all VMs.
func (p *primaries) changed(service string, term uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.terms[service]
	if term <= old {
		return false
	}
	if p.terms == nil {
		p.terms = map[string]uint64{}
	}
	p.terms[service] = term
	return old > 0
}

// announce tells other VMs about a new primary. Those that use the service have exchanged units with an owner of its
// servers, and each owner tells the VMs that it is connected with; those that miss it learn it from their next barrier.
func (n *Node) announce(service, address string, term uint64) {
	n.front.Primary(service, work.ServerInfo{Address: address, Term: term, Role: port.RolePrimary})
	if !n.primaries.changed(service, term) {
		return
	}
	news := peer.PrimaryNews{Service: service, Term: term, Address: address}
	for _, id := range n.mesh.Connected() {
		n.start(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			// A VM that misses the news learns it from its next barrier or refusal.
			_, _ = n.mesh.Call(ctx, id, news)
		})
	}
}

// CancelForward passes a cancel request to the VMs whose identity hash the process id carries.
func (n *Node) CancelForward(processID uint32, secret []byte) {
	for _, id := range n.mesh.View().Live() {
		if id == n.cfg.VM.ID || !sameVM(processID, id) {
			continue
		}
		n.start(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			// PostgreSQL gives no answer to a cancel request either.
			_, _ = n.mesh.Call(ctx, id, peer.CancelForward{ProcessID: processID, Secret: secret})
		})
	}
}
