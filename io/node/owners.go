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

// barrierTry bounds the barrier request to one watcher, after which the next one is asked. A majority within reach of
// the watcher answers in a few network round trips.
const barrierTry = 500 * time.Millisecond

// firstTry bounds the request to the VM that is asked first: it may have fallen silent, and any other watcher can answer.
const firstTry = 100 * time.Millisecond

// owners reaches the VMs that own servers, through the mesh or on this VM.
type owners struct {
	self string
	mesh *peer.Mesh
	host *host.Host
	// service returns the definition in force.
	service func(name string) (svcdef.Service, bool)
}

// Stream returns a stream to the owner of a server.
func (o *owners) Stream(service, server string) (work.Stream, error) {
	svc, ok := o.service(service)
	if !ok {
		return nil, result.New(result.UnknownService, "service %q does not exist", service)
	}
	if _, ok := svc.Server(server); !ok {
		return nil, result.New(result.NoServer, "service %q has no server %s any more", service, server)
	}
	id, ok := o.of(svc, server)
	switch {
	case !ok:
		return nil, result.New(result.NoServer, "no VM can own server %s", server)
	case id == o.self:
		return &localStream{open: func(u work.Unit) (work.Stream, error) { return o.host.Open(u) }}, nil
	}
	return o.mesh.Stream(id), nil
}

// of returns the VM that owns a server of the service; false if the service has no such server or no VM is live.
func (o *owners) of(svc svcdef.Service, server string) (string, bool) {
	def, ok := svc.Server(server)
	if !ok {
		return "", false
	}
	return owner.Of(server, def.DataCentre(), o.mesh.View())
}

// Owner returns the VM that owns a server, and "" if that is this VM or none.
func (o *owners) Owner(service, server string) string {
	if svc, ok := o.service(service); ok {
		if id, ok := o.of(svc, server); ok && id != o.self {
			return id
		}
	}
	return ""
}

// Barrier asks the VM that owns the primary, which alone knows what each caller must see, and then the watchers of the group one
// after the other, the nearest first.
func (o *owners) Barrier(ctx context.Context, q front.Query) (work.BarrierConfirmation, error) {
	svc, ok := o.service(q.Service)
	if !ok {
		return work.BarrierConfirmation{}, result.New(result.UnknownService, "service %q does not exist", q.Service)
	}
	err := result.New(result.PositionUnknown, "service %q: no VM watches its servers", q.Service)
	for i, id := range o.confirming(svc, q.Primary) {
		limit := barrierTry
		if i == 0 {
			limit = firstTry
		}
		var got work.BarrierConfirmation
		if got, err = o.barrierAt(ctx, id, q, limit); err == nil {
			return got, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return work.BarrierConfirmation{}, err
}

// confirming returns the VMs to ask for a barrier, in order. The first one gets little time, so it is in the list of all watchers
// once more.
func (o *owners) confirming(svc svcdef.Service, primary string) []string {
	ids := o.nearest(svc)
	first := ids
	if id, ok := o.of(svc, primary); ok {
		first = []string{id}
	}
	if len(first) == 0 {
		return nil
	}
	return append(first[:1:1], ids...)
}

// nearest returns the watchers of a group: this VM first, then those of its data centre.
func (o *owners) nearest(svc svcdef.Service) []string {
	view := o.mesh.View()
	ids := owner.Candidates(svc.Name(), svc.Servers(), view)
	local := view.LiveIn(o.dataCentre(view))
	slices.SortStableFunc(ids, func(a, b string) int { return o.distance(a, local) - o.distance(b, local) })
	return ids
}

func (o *owners) dataCentre(view member.View) string {
	m, _ := view.Member(o.self)
	return m.DataCentre()
}

func (o *owners) distance(id string, local []string) int {
	switch {
	case id == o.self:
		return 0
	case slices.Contains(local, id):
		return 1
	}
	return 2
}

func (o *owners) barrierAt(ctx context.Context, id string, q front.Query, limit time.Duration) (work.BarrierConfirmation, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if id == o.self {
		return o.host.Barrier(ctx, q.Service, q.Callers)
	}
	reply, err := o.mesh.Call(ctx, id, peer.BarrierRequest{Service: q.Service, Callers: q.Callers})
	if err != nil {
		return work.BarrierConfirmation{}, err
	}
	answer, ok := reply.(peer.BarrierAnswer)
	if !ok {
		return work.BarrierConfirmation{}, result.New(result.Internal, "VM %s answered a barrier request with %T", id, reply)
	}
	return confirmed(answer, q.Callers), nil
}

// barrierAnswer and confirmed convert between a barrier and its message.
func barrierAnswer(c work.BarrierConfirmation, callers []string) peer.BarrierAnswer {
	a := peer.BarrierAnswer{Term: c.Point().Term(), Position: c.Point().Position(), Servers: c.Servers()}
	if len(c.RequiredByCaller()) > 0 {
		for _, name := range callers {
			a.Required = append(a.Required, c.RequiredFor(name).Position())
		}
	}
	return a
}

func confirmed(a peer.BarrierAnswer, callers []string) work.BarrierConfirmation {
	required := map[string]point.Point{}
	for i, position := range a.Required {
		if i < len(callers) {
			required[callers[i]] = point.New(a.Term, position)
		}
	}
	return work.NewBarrierConfirmation(point.New(a.Term, a.Position), required, a.Servers)
}

// judgements asks the other watchers of a group for their judgement of its primary.
func (o *owners) judgements(ctx context.Context, svc svcdef.Service, watchers []string) []failov.Health {
	answers := make(chan failov.Health, len(watchers))
	asked := 0
	for _, id := range watchers {
		if id == o.self {
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

// localStream opens its stream with the first unit, when the server is known.
type localStream struct {
	open func(work.Unit) (work.Stream, error)

	mu     sync.Mutex
	stream work.Stream
}

// Run carries out a unit.
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

// Cancel cancels the running unit.
func (s *localStream) Cancel() {
	if stream := s.current(); stream != nil {
		stream.Cancel()
	}
}

// Close ends the stream.
func (s *localStream) Close() {
	if stream := s.current(); stream != nil {
		stream.Close()
	}
}
