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

// callTimeout limits the duration of each call. During an outage of the store, a change therefore ends while the operator
// still waits, and its result code says whether its effect is known.
const callTimeout = 20 * time.Second

// closeTimeout limits how long Close waits for calls in flight, which would otherwise run for up to callTimeout.
const closeTimeout = 5 * time.Second

// Server is the gRPC server of the operators' service.
type Server struct {
	grpc *grpc.Server
	addr net.Addr
	done chan struct{}
}

// Listen starts a server on address that passes the calls of operators to control. Close stops it; the end of ctx does not.
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
	endpoints := operators.NewEndpoints(&operatorsService{control: control, log: log})
	operatorspb.RegisterOperatorsServer(s.grpc, server.New(endpoints, nil))
	go func() {
		defer close(s.done)
		_ = s.grpc.Serve(l) // returns when Close stops the server
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.addr }

// Close rejects new calls, waits up to closeTimeout for calls in flight and stops the server. It always returns nil.
func (s *Server) Close() error {
	timer := time.AfterFunc(closeTimeout, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
	<-s.done
	return nil
}

// operatorsService implements the generated interface operators.Service with a Control.
type operatorsService struct {
	control Control
	log     logs.Logger
}

var _ operators.Service = (*operatorsService)(nil)

// handle runs operation with callTimeout, logs the call and converts its error to the error type of the schema.
func handle[T any](ctx context.Context, s *operatorsService, method, object string, operation func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := operation(ctx)
	s.log.Event(event.AdminCall, zap.String("method", method), zap.String("object", object),
		zap.Stringer("code", result.CodeOf(err)), zap.NamedError("cause", err))
	if err != nil {
		var zero T
		return zero, errorToFault(err)
	}
	return v, nil
}

func (s *operatorsService) ApplyService(ctx context.Context, p *operators.ApplyServicePayload,
) (*operators.ApplyServiceResult, error) {
	return handle(ctx, s, "apply_service", p.Spec.Name, func(ctx context.Context) (*operators.ApplyServiceResult, error) {
		spec := specFromAPI(p.Spec)
		rev, err := s.control.Change(ctx, p.BasedOn, svcdef.NewDefinition(spec, p.Author, time.Now()))
		if err != nil {
			return nil, err
		}
		accepted, _ := rev.Service()
		warnings := slices.DeleteFunc(svcdef.Validate(accepted.Spec()), func(p svcdef.Problem) bool { return !p.Warning() })
		return &operators.ApplyServiceResult{Revision: revisionToAPI(rev), Warnings: problemsToAPI(warnings)}, nil
	})
}

func (s *operatorsService) RemoveService(ctx context.Context, p *operators.RemoveServicePayload,
) (*operators.RemoveServiceResult, error) {
	return handle(ctx, s, "remove_service", p.Name, func(ctx context.Context) (*operators.RemoveServiceResult, error) {
		rev, err := s.control.Change(ctx, p.BasedOn, svcdef.NewRemoval(p.Name, p.Author, time.Now()))
		if err != nil {
			return nil, err
		}
		return &operators.RemoveServiceResult{Revision: revisionToAPI(rev)}, nil
	})
}

func (s *operatorsService) GetService(ctx context.Context, p *operators.GetServicePayload) (*operators.GetServiceResult, error) {
	return handle(ctx, s, "get_service", p.Name, func(ctx context.Context) (*operators.GetServiceResult, error) {
		c, err := s.control.Catalog(ctx)
		if err != nil {
			return nil, err
		}
		svc, ok := c.Service(p.Name)
		if !ok {
			return nil, result.New(result.NotFound, "service %q does not exist", p.Name)
		}
		return &operators.GetServiceResult{Service: serviceStateToAPI(c, svc), CurrentRevision: c.Revision()}, nil
	})
}

func serviceStateToAPI(c svcdef.Catalog, svc svcdef.Service) *operators.ServiceState {
	return &operators.ServiceState{Revision: c.ServiceRevision(svc.Name()), Spec: specToAPI(svc.Spec().Masked())}
}

func (s *operatorsService) ListServices(ctx context.Context) (*operators.ListServicesResult, error) {
	return handle(ctx, s, "list_services", "", func(ctx context.Context) (*operators.ListServicesResult, error) {
		c, err := s.control.Catalog(ctx)
		if err != nil {
			return nil, err
		}
		res := &operators.ListServicesResult{CurrentRevision: c.Revision()}
		for _, svc := range c.Services() {
			res.Services = append(res.Services, serviceStateToAPI(c, svc))
		}
		return res, nil
	})
}

func (s *operatorsService) History(ctx context.Context, p *operators.HistoryPayload) (*operators.HistoryResult, error) {
	return handle(ctx, s, "history", p.Service, func(ctx context.Context) (*operators.HistoryResult, error) {
		revs, err := s.control.History(ctx, p.Service)
		if err != nil {
			return nil, err
		}
		res := &operators.HistoryResult{}
		for _, r := range revs {
			res.Revisions = append(res.Revisions, revisionToAPI(r))
		}
		return res, nil
	})
}

func (s *operatorsService) ListVms(ctx context.Context) (*operators.ListVmsResult, error) {
	return handle(ctx, s, "list_vms", "", func(ctx context.Context) (*operators.ListVmsResult, error) {
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

func (s *operatorsService) DrainVM(ctx context.Context, p *operators.DrainVMPayload) error {
	_, err := handle(ctx, s, "drain_vm", p.ID, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.control.Drain(ctx, p.ID)
	})
	return err
}

func (s *operatorsService) Dump(ctx context.Context) (*operators.DumpResult, error) {
	return handle(ctx, s, "dump", "", func(ctx context.Context) (*operators.DumpResult, error) {
		d, err := s.control.Dump(ctx)
		if err != nil {
			return nil, err
		}
		return &operators.DumpResult{State: d.State, Summary: &operators.Summary{
			VM: d.VM, DataCentre: d.DataCentre, Revision: d.Revision, Services: clampToInt32(d.Services),
			Callers: clampToInt32(d.Callers), OwnedServers: d.OwnedServers, Members: clampToInt32(d.Members), StoreUp: d.StoreUp,
			Draining: d.Draining, StartedUnixMs: d.Started.UnixMilli(),
		}}, nil
	})
}

func (s *operatorsService) LogLevels(ctx context.Context) (*operators.LogLevelsResult, error) {
	return handle(ctx, s, "log_levels", "", func(ctx context.Context) (*operators.LogLevelsResult, error) {
		level, layers := s.control.LogLevels(ctx)
		res := &operators.LogLevelsResult{Level: level}
		for _, name := range slices.Sorted(maps.Keys(layers)) {
			res.Layers = append(res.Layers, &operators.LogLayer{Layer: name, Switch: string(layers[name])})
		}
		return res, nil
	})
}

func (s *operatorsService) SetLogLevel(ctx context.Context, p *operators.SetLogLevelPayload) error {
	_, err := handle(ctx, s, "set_log_level", p.Layer, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.control.SetLogLevel(ctx, p.Layer, p.Level)
	})
	return err
}
