package node

import (
	"context"
	"sync"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/work"
	"verbenagate/io/peer"
)

// handlePeerRequest answers a request from another VM.
func (n *Node) handlePeerRequest(ctx context.Context, _ string, req peer.Request) (peer.Reply, error) {
	if !n.built.Load() {
		return nil, n.startingError()
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
		return n.config.AnswerRequest(r), nil
	case peer.CancelForward:
		n.callers.Cancel(r.ProcessID, r.Secret)
		return peer.Done{}, nil
	case peer.PrimaryNews:
		n.front.RecordPrimary(r.Service, work.ServerInfo{
			Address: r.Address, Term: r.Term, Role: port.RolePrimary,
		})
		n.host.RequestPolls(r.Service)
		return peer.Done{}, nil
	case peer.DrainRequest:
		n.requestStop()
		return peer.Done{}, nil
	case peer.DumpRequest:
		body, err := n.dumpJSON()
		return peer.DumpAnswer{JSON: body}, err
	}
	return nil, result.New(result.Unsupported, "VM %s does not support requests of type %T", n.cfg.VM.ID, req)
}

// primaryTerms holds, by service, the term of the last primary that this VM saw as a watcher.
type primaryTerms struct {
	mu    sync.Mutex
	terms map[string]uint64
}

// recordTerm records a primary's term and reports whether it replaces an older recorded one. It returns false for the first
// term of a service: otherwise each restart of a VM would make the watchers that take over its servers call all VMs.
func (p *primaryTerms) recordTerm(service string, term uint64) bool {
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

// announcePrimary announces a new primary to the VMs that this VM is connected to. Every VM that uses the service has exchanged
// units with an owner of its servers, and each owner announces the primary to its connections.
func (n *Node) announcePrimary(service, address string, term uint64) {
	n.front.RecordPrimary(service, work.ServerInfo{Address: address, Term: term, Role: port.RolePrimary})
	if !n.primaryTerms.recordTerm(service, term) {
		return
	}
	news := peer.PrimaryNews{Service: service, Term: term, Address: address}
	for _, id := range n.mesh.ConnectedVMs() {
		n.startTask(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
			defer cancel()
			// A VM that misses the announcement learns of the primary from its next barrier or from a refused unit.
			_, _ = n.mesh.Call(ctx, id, news)
		})
	}
}

// ForwardCancel sends a cancel request to the other live VMs whose id has the hash that the process id contains.
func (n *Node) ForwardCancel(processID uint32, secret []byte) {
	for _, id := range n.mesh.View().Live() {
		if id == n.cfg.VM.ID || !mayBelongToVM(processID, id) {
			continue
		}
		n.startTask(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
			defer cancel()
			// The result is ignored, because PostgreSQL does not answer cancel requests either.
			_, _ = n.mesh.Call(ctx, id, peer.CancelForward{ProcessID: processID, Secret: secret})
		})
	}
}
