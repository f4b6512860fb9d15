package admin

import (
	"context"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"verbenagate/core/event"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	operatorspb "verbenagate/io/admin/gen/grpc/operators/pb"
	"verbenagate/io/admin/gen/grpc/operators/server"
	"verbenagate/io/admin/gen/operators"
	"verbenagate/io/logs"
)

// callTimeout bounds each call, so that a change during an outage of the store ends with a known or unknown effect while
// the operator waits.
const callTimeout = 20 * time.Second

// stopTimeout bounds the wait for running calls when the server closes; a call ends by itself after callTimeout.
const stopTimeout = 5 * time.Second

// Server serves operators.
type Server struct {
	grpc *grpc.Server
	addr net.Addr
	done chan struct{}
}

// Listen serves control to operators on address. Close ends it.
func Listen(ctx context.Context, address string, control Control, log logs.Logger, opts ...Option) (*Server, error) {
	var o options
	for _, f := range opts {
		f(&o)
	}
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, result.Wrap(result.ConnectFailed, err, "listen for operators: %v", err)
	}
	s := &Server{grpc: grpc.NewServer(grpc.Creds(o.credentials())), addr: l.Addr(), done: make(chan struct{})}
	endpoints := operators.NewEndpoints(&service{control: control, log: log})
	operatorspb.RegisterOperatorsServer(s.grpc, server.New(endpoints, nil))
	go func() {
		defer close(s.done)
		_ = s.grpc.Serve(l) // returns when Close stops the server
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.addr }

// Close refuses new calls, waits a short time for running ones and ends the server.
func (s *Server) Close() error {
	timer := time.AfterFunc(stopTimeout, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
	<-s.done
	return nil
}

// service implements the generated interface on top of Control.
type service struct {
	control Control
	log     logs.Logger
}

var _ operators.Service = (*service)(nil)

// call runs one call with its time limit, logs it and gives its error the form of the schema.
func call[T any](ctx context.Context, s *service, method, object string, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := f(ctx)
	s.log.Event(event.AdminCall, zap.String("method", method), zap.String("object", object),
		zap.Stringer("code", result.CodeOf(err)), zap.NamedError("cause", err))
	if err != nil {
		var none T
		return none, faultOut(err)
	}
	return v, nil
}

func (s *service) ApplyService(ctx context.Context, p *operators.ApplyServicePayload,
) (*operators.ApplyServiceResult, error) {
	return call(ctx, s, "apply_service", p.Spec.Name, func(ctx context.Context) (*operators.ApplyServiceResult, error) {
		spec := specIn(p.Spec)
		rev, err := s.control.Change(ctx, p.BasedOn, svcdef.NewDefinition(spec, p.Author, time.Now()))
		if err != nil {
			return nil, err
		}
		accepted, _ := rev.Service()
		warnings := slices.DeleteFunc(svcdef.Validate(accepted.Spec()), func(p svcdef.Problem) bool { return !p.Warning() })
		return &operators.ApplyServiceResult{Revision: revisionOut(rev), Warnings: problemsOut(warnings)}, nil
	})
}

func (s *service) RemoveService(ctx context.Context, p *operators.RemoveServicePayload,
) (*operators.RemoveServiceResult, error) {
	return call(ctx, s, "remove_service", p.Name, func(ctx context.Context) (*operators.RemoveServiceResult, error) {
		rev, err := s.control.Change(ctx, p.BasedOn, svcdef.NewRemoval(p.Name, p.Author, time.Now()))
		if err != nil {
			return nil, err
		}
		return &operators.RemoveServiceResult{Revision: revisionOut(rev)}, nil
	})
}

func (s *service) GetService(ctx context.Context, p *operators.GetServicePayload) (*operators.GetServiceResult, error) {
	return call(ctx, s, "get_service", p.Name, func(ctx context.Context) (*operators.GetServiceResult, error) {
		c, err := s.control.Catalog(ctx)
		if err != nil {
			return nil, err
		}
		svc, ok := c.Service(p.Name)
		if !ok {
			return nil, result.New(result.NotFound, "service %q does not exist", p.Name)
		}
		return &operators.GetServiceResult{Service: stateOut(c, svc), CurrentRevision: c.Revision()}, nil
	})
}

func stateOut(c svcdef.Catalog, svc svcdef.Service) *operators.ServiceState {
	return &operators.ServiceState{Revision: c.ServiceRevision(svc.Name()), Spec: specOut(svc.Spec().Masked())}
}

func (s *service) ListServices(ctx context.Context) (*operators.ListServicesResult, error) {
	return call(ctx, s, "list_services", "", func(ctx context.Context) (*operators.ListServicesResult, error) {
		c, err := s.control.Catalog(ctx)
		if err != nil {
			return nil, err
		}
		res := &operators.ListServicesResult{CurrentRevision: c.Revision()}
		for _, svc := range c.Services() {
			res.Services = append(res.Services, stateOut(c, svc))
		}
		return res, nil
	})
}

func (s *service) History(ctx context.Context, p *operators.HistoryPayload) (*operators.HistoryResult, error) {
	return call(ctx, s, "history", p.Service, func(ctx context.Context) (*operators.HistoryResult, error) {
		revs, err := s.control.History(ctx, p.Service)
		if err != nil {
			return nil, err
		}
		res := &operators.HistoryResult{}
		for _, r := range revs {
			res.Revisions = append(res.Revisions, revisionOut(r))
		}
		return res, nil
	})
}

func (s *service) ListVms(ctx context.Context) (*operators.ListVmsResult, error) {
	return call(ctx, s, "list_vms", "", func(ctx context.Context) (*operators.ListVmsResult, error) {
		vms, err := s.control.VMs(ctx)
		if err != nil {
			return nil, err
		}
		vms = slices.SortedFunc(slices.Values(vms), func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
		res := &operators.ListVmsResult{}
		for _, v := range vms {
			res.Vms = append(res.Vms, &operators.VM{
				ID: v.ID, DataCentre: v.DataCentre, PeerAddress: v.PeerAddress, State: v.State, Revision: v.Revision,
				Self: v.Self,
			})
		}
		return res, nil
	})
}

func (s *service) DrainVM(ctx context.Context, p *operators.DrainVMPayload) error {
	_, err := call(ctx, s, "drain_vm", p.ID, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.control.Drain(ctx, p.ID)
	})
	return err
}

func (s *service) Dump(ctx context.Context) (*operators.DumpResult, error) {
	return call(ctx, s, "dump", "", func(ctx context.Context) (*operators.DumpResult, error) {
		d, err := s.control.Dump(ctx)
		if err != nil {
			return nil, err
		}
		return &operators.DumpResult{State: d.State, Summary: &operators.Summary{
			VM: d.VM, DataCentre: d.DataCentre, Revision: d.Revision, Services: int32Of(d.Services),
			Callers: int32Of(d.Callers), OwnedServers: d.OwnedServers, Members: int32Of(d.Members), StoreUp: d.StoreUp,
			Draining: d.Draining, StartedUnixMs: d.Started.UnixMilli(),
		}}, nil
	})
}

func (s *service) LogLevels(ctx context.Context) (*operators.LogLevelsResult, error) {
	return call(ctx, s, "log_levels", "", func(ctx context.Context) (*operators.LogLevelsResult, error) {
		level, layers := s.control.LogLevels(ctx)
		res := &operators.LogLevelsResult{Level: level}
		for _, name := range slices.Sorted(maps.Keys(layers)) {
			res.Layers = append(res.Layers, &operators.LogLayer{Layer: name, Switch: string(layers[name])})
		}
		return res, nil
	})
}

func (s *service) SetLogLevel(ctx context.Context, p *operators.SetLogLevelPayload) error {
	_, err := call(ctx, s, "set_log_level", p.Layer, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.control.SetLogLevel(ctx, p.Layer, p.Level)
	})
	return err
}
