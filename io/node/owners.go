package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"verbenagate/core/failov"
	"verbenagate/core/member"
	"verbenagate/core/owner"
	"verbenagate/core/point"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/front"
	"verbenagate/io/host"
	"verbenagate/io/peer"
)

// barrierAttemptTimeout bounds a barrier request to one watcher; then the next one is asked. A watcher that can reach a majority
// of the servers answers within a few network round trips.
const barrierAttemptTimeout = 500 * time.Millisecond

// firstAttemptTimeout bounds the request to the VM that is asked first, which may be unreachable. Any other watcher can answer.
const firstAttemptTimeout = 100 * time.Millisecond

// owners implements front.Owners: it connects to the VMs that own servers, which may include this VM.
type owners struct {
	localVM string
	mesh    *peer.Mesh
	host    *host.Host
	// definition returns a service's definition in the active configuration.
	definition func(name string) (svcdef.Service, bool)
}

// Stream returns a stream to the VM that owns a server.
func (o *owners) Stream(service, server string) (work.Stream, error) {
	svc, ok := o.definition(service)
	if !ok {
		return nil, result.New(result.UnknownService, "service %q does not exist", service)
	}
	if _, ok := svc.Server(server); !ok {
		return nil, result.New(result.NoServer, "service %q no longer has server %s", service, server)
	}
	id, ok := o.ownerOf(svc, server)
	switch {
	case !ok:
		return nil, result.New(result.NoServer, "no live VM can own server %s", server)
	case id == o.localVM:
		return &localStream{open: func(u work.Unit) (work.Stream, error) { return o.host.Open(u) }}, nil
	}
	return o.mesh.Stream(id), nil
}

// ownerOf returns the id of the VM that owns a server of the service, or false if the service has no such server or no VM is
// live.
func (o *owners) ownerOf(svc svcdef.Service, server string) (string, bool) {
	def, ok := svc.Server(server)
	if !ok {
		return "", false
	}
	return owner.Of(server, def.DataCentre(), o.mesh.View())
}

// Owner returns the id of the VM that owns a server, or "" if this VM owns it or there is no owner.
func (o *owners) Owner(service, server string) string {
	if svc, ok := o.definition(service); ok {
		if id, ok := o.ownerOf(svc, server); ok && id != o.localVM {
			return id
		}
	}
	return ""
}

// Barrier requests a barrier from the VM that owns the primary, which is the only one that knows each caller's required point.
// If that fails, it asks the watchers of the group one after the other, the nearest first.
func (o *owners) Barrier(ctx context.Context, q front.BarrierQuery) (work.BarrierConfirmation, error) {
	svc, ok := o.definition(q.Service)
	if !ok {
		return work.BarrierConfirmation{}, result.New(result.UnknownService, "service %q does not exist", q.Service)
	}
	err := result.New(result.PositionUnknown, "service %q: no VM watches its servers", q.Service)
	for i, id := range o.barrierTargets(svc, q.Primary) {
		timeout := barrierAttemptTimeout
		if i == 0 {
			timeout = firstAttemptTimeout
		}
		var confirmation work.BarrierConfirmation
		if confirmation, err = o.requestBarrier(ctx, id, q, timeout); err == nil {
			return confirmation, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return work.BarrierConfirmation{}, err
}

// barrierTargets returns the VMs to ask for a barrier, in order: the primary's owner, or the nearest watcher if the owner is not
// known, and then all watchers. The first one is listed twice, because its first timeout is short.
func (o *owners) barrierTargets(svc svcdef.Service, primary string) []string {
	ids := o.watchersByDistance(svc)
	first := ids
	if id, ok := o.ownerOf(svc, primary); ok {
		first = []string{id}
	}
	if len(first) == 0 {
		return nil
	}
	return append(first[:1:1], ids...)
}

// watchersByDistance returns the VMs that watch a group: this VM first, then those in its data centre, then the others.
func (o *owners) watchersByDistance(svc svcdef.Service) []string {
	view := o.mesh.View()
	ids := owner.Candidates(svc.Name(), svc.Servers(), view)
	local := view.LiveIn(o.localDataCentre(view))
	slices.SortStableFunc(ids, func(a, b string) int { return o.distance(a, local) - o.distance(b, local) })
	return ids
}

func (o *owners) localDataCentre(view member.View) string {
	m, _ := view.Member(o.localVM)
	return m.DataCentre()
}

func (o *owners) distance(id string, local []string) int {
	switch {
	case id == o.localVM:
		return 0
	case slices.Contains(local, id):
		return 1
	}
	return 2
}

func (o *owners) requestBarrier(
	ctx context.Context, id string, q front.BarrierQuery, timeout time.Duration,
) (work.BarrierConfirmation, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if id == o.localVM {
		return o.host.Barrier(ctx, q.Service, q.Callers)
	}
	reply, err := o.mesh.Call(ctx, id, peer.BarrierRequest{Service: q.Service, Callers: q.Callers})
	if err != nil {
		return work.BarrierConfirmation{}, err
	}
	answer, ok := reply.(peer.BarrierAnswer)
	if !ok {
		return work.BarrierConfirmation{}, result.New(result.Internal,
			"VM %s answered a barrier request with unexpected type %T", id, reply)
	}
	return barrierConfirmation(answer, q.Callers), nil
}

// barrierAnswer converts a confirmation into its message; barrierConfirmation does the reverse. Required holds the positions in
// the order of callers.
func barrierAnswer(c work.BarrierConfirmation, callers []string) peer.BarrierAnswer {
	a := peer.BarrierAnswer{Term: c.Point().Term(), Position: c.Point().Position(), Servers: c.Servers()}
	if len(c.RequiredByCaller()) > 0 {
		for _, name := range callers {
			a.Required = append(a.Required, c.RequiredFor(name).Position())
		}
	}
	return a
}

func barrierConfirmation(a peer.BarrierAnswer, callers []string) work.BarrierConfirmation {
	required := map[string]point.Point{}
	for i, position := range a.Required {
		if i < len(callers) {
			required[callers[i]] = point.New(a.Term, position)
		}
	}
	return work.NewBarrierConfirmation(point.New(a.Term, a.Position), required, a.Servers)
}

// requestHealth returns the other watchers' assessments of the group's primary: Unknown for a failed call, and only those
// received so far when ctx ends.
func (o *owners) requestHealth(ctx context.Context, svc svcdef.Service, watchers []string) []failov.Health {
	answers := make(chan failov.Health, len(watchers))
	asked := 0
	for _, id := range watchers {
		if id == o.localVM {
			continue
		}
		asked++
		go func() {
			reply, err := o.mesh.Call(ctx, id, peer.ViewRequest{Group: svc.Name()})
			if v, ok := reply.(peer.ViewAnswer); err == nil && ok {
				answers <- failov.Health(v.Health)
				return
			}
			answers <- failov.Unknown
		}()
	}
	var all []failov.Health
	for range asked {
		select {
		case h := <-answers:
			all = append(all, h)
		case <-ctx.Done():
			return all
		}
	}
	return all
}

// localStream is a stream to this VM. It opens the underlying stream with the first unit, which names the server.
type localStream struct {
	open func(work.Unit) (work.Stream, error)

	mu     sync.Mutex
	stream work.Stream
}

// Run runs a unit on the server.
func (s *localStream) Run(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	stream := s.current()
	if stream == nil {
		var err error
		if stream, err = s.open(u); err != nil {
			return work.FinalFromError(err)
		}
		s.mu.Lock()
		s.stream = stream
		s.mu.Unlock()
	}
	return stream.Run(ctx, u, sink)
}

func (s *localStream) current() work.Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream
}

// Cancel cancels the running unit, if any.
func (s *localStream) Cancel() {
	if stream := s.current(); stream != nil {
		stream.Cancel()
	}
}

// Close closes the stream.
func (s *localStream) Close() {
	if stream := s.current(); stream != nil {
		stream.Close()
	}
}
