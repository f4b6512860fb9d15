package admin

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/admin/gen/grpc/operators/client"
	"verbenagate/io/admin/gen/operators"
	"verbenagate/io/logs"
)

// maxResponseBytes limits the size of a response. The largest response is the state dump of a VM with 820 servers.
const maxResponseBytes = 64 << 20

// connectTimeout limits the time to connect to the VM.
const connectTimeout = 5 * time.Second

// Client calls the operators' service of one VM.
type Client struct {
	address string
	conn    *grpc.ClientConn
	calls   *operators.Client
}

// Dial returns a client for the VM at address (IP:port). It does not connect; the first call does.
func Dial(address string, opts ...Option) (*Client, error) {
	var o options
	for _, f := range opts {
		f(&o)
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(o.credentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithNoProxy())
	if err != nil {
		return nil, result.Wrap(result.ConnectFailed, err, "create a gRPC client for %s: %v", address, err)
	}
	c := client.NewClient(conn)
	return &Client{address: address, conn: conn, calls: operators.NewClient(c.ApplyService(), c.GetService(),
		c.ListServices(), c.History(), c.RemoveService(), c.ListVms(), c.DrainVM(), c.Dump(), c.LogLevels(),
		c.SetLogLevel())}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// connect waits until the connection to the VM is ready. If it fails, the call was not sent and certainly had no effect.
// A call that fails later may have had one.
func (c *Client) connect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for {
		c.conn.Connect()
		state := c.conn.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return result.New(result.ConnectFailed, "cannot connect to %s", c.address)
		}
		if !c.conn.WaitForStateChange(ctx, state) {
			return result.New(result.ConnectFailed, "no connection to %s within %s", c.address, connectTimeout)
		}
	}
}

// invoke connects to the VM, runs call and gives its error a result code. lostCode is the code for a call whose response
// did not arrive.
func invoke[T any](ctx context.Context, c *Client, lostCode result.Code, call func() (T, error)) (T, error) {
	var zero T
	if err := c.connect(ctx); err != nil {
		return zero, err
	}
	v, err := call()
	if err == nil {
		return v, nil
	}
	var fault *operators.Fault
	if errors.As(err, &fault) {
		return zero, errorFromFault(fault)
	}
	return zero, result.Wrap(lostCode, err, "call to %s failed: %v", c.address, err)
}

// Apply creates or replaces a service. It returns the accepted revision and the warnings about the definition. It fails
// with result.RevisionConflict if baseRevision is not the current revision.
func (c *Client) Apply(ctx context.Context, spec svcdef.Spec, baseRevision uint64, author string,
) (svcdef.Revision, []svcdef.Problem, error) {
	res, err := invoke(ctx, c, result.AnswerLost, func() (*operators.ApplyServiceResult, error) {
		return c.calls.ApplyService(ctx, &operators.ApplyServicePayload{Spec: specToAPI(spec), BasedOn: baseRevision, Author: author})
	})
	if err != nil {
		return svcdef.Revision{}, nil, err
	}
	return revisionFromAPI(res.Revision), problemsFromAPI(res.Warnings), nil
}

// Remove removes a service. It fails with result.RevisionConflict if baseRevision is not the current revision.
func (c *Client) Remove(ctx context.Context, name string, baseRevision uint64, author string) (svcdef.Revision, error) {
	res, err := invoke(ctx, c, result.AnswerLost, func() (*operators.RemoveServiceResult, error) {
		return c.calls.RemoveService(ctx, &operators.RemoveServicePayload{Name: name, BasedOn: baseRevision, Author: author})
	})
	if err != nil {
		return svcdef.Revision{}, err
	}
	return revisionFromAPI(res.Revision), nil
}

// Get returns a service with masked secrets, and the current revision.
func (c *Client) Get(ctx context.Context, name string) (ServiceState, uint64, error) {
	res, err := invoke(ctx, c, result.PeerUnreachable, func() (*operators.GetServiceResult, error) {
		return c.calls.GetService(ctx, &operators.GetServicePayload{Name: name})
	})
	if err != nil {
		return ServiceState{}, 0, err
	}
	return ServiceState{res.Service.Revision, specFromAPI(res.Service.Spec)}, res.CurrentRevision, nil
}

// List returns all services with masked secrets, and the current revision.
func (c *Client) List(ctx context.Context) ([]ServiceState, uint64, error) {
	res, err := invoke(ctx, c, result.PeerUnreachable, func() (*operators.ListServicesResult, error) {
		return c.calls.ListServices(ctx)
	})
	if err != nil {
		return nil, 0, err
	}
	states := make([]ServiceState, 0, len(res.Services))
	for _, s := range res.Services {
		states = append(states, ServiceState{s.Revision, specFromAPI(s.Spec)})
	}
	return states, res.CurrentRevision, nil
}

// History returns the latest revisions of a service, or of all services if service is "".
func (c *Client) History(ctx context.Context, service string) ([]svcdef.Revision, error) {
	res, err := invoke(ctx, c, result.PeerUnreachable, func() (*operators.HistoryResult, error) {
		return c.calls.History(ctx, &operators.HistoryPayload{Service: service})
	})
	if err != nil {
		return nil, err
	}
	revs := make([]svcdef.Revision, 0, len(res.Revisions))
	for _, r := range res.Revisions {
		revs = append(revs, revisionFromAPI(r))
	}
	return revs, nil
}

// VMs returns the VMs known to the called VM.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	res, err := invoke(ctx, c, result.PeerUnreachable, func() (*operators.ListVmsResult, error) {
		return c.calls.ListVms(ctx)
	})
	if err != nil {
		return nil, err
	}
	vms := make([]VM, 0, len(res.Vms))
	for _, v := range res.Vms {
		vms = append(vms, VM{
			ID: v.ID, DataCentre: v.DataCentre, PeerAddress: v.PeerAddress, State: v.State, Revision: v.Revision, Self: v.Self,
		})
	}
	return vms, nil
}

// Drain starts the graceful stop of the VM with the given ID. It does not wait for the VM to stop.
func (c *Client) Drain(ctx context.Context, id string) error {
	_, err := invoke(ctx, c, result.AnswerLost, func() (struct{}, error) {
		return struct{}{}, c.calls.DrainVM(ctx, &operators.DrainVMPayload{ID: id})
	})
	return err
}

// Dump returns the state of the called VM.
func (c *Client) Dump(ctx context.Context) (Dump, error) {
	res, err := invoke(ctx, c, result.PeerUnreachable, func() (*operators.DumpResult, error) {
		return c.calls.Dump(ctx)
	})
	if err != nil {
		return Dump{}, err
	}
	s := res.Summary
	return Dump{
		VM: s.VM, DataCentre: s.DataCentre, Revision: s.Revision, Services: int(s.Services), Callers: int(s.Callers),
		OwnedServers: s.OwnedServers, Members: int(s.Members), StoreUp: s.StoreUp, Draining: s.Draining,
		Started: time.UnixMilli(s.StartedUnixMs).UTC(), State: res.State,
	}, nil
}

// LogLevels returns the default log level of the called VM and the switch of each of its log layers.
func (c *Client) LogLevels(ctx context.Context) (level string, layers map[string]logs.Switch, err error) {
	res, err := invoke(ctx, c, result.PeerUnreachable, func() (*operators.LogLevelsResult, error) {
		return c.calls.LogLevels(ctx)
	})
	if err != nil {
		return "", nil, err
	}
	layers = make(map[string]logs.Switch, len(res.Layers))
	for _, l := range res.Layers {
		layers[l.Layer] = logs.Switch(l.Switch)
	}
	return res.Level, layers, nil
}

// SetLogLevel changes the switch of a log layer of the called VM, or its default log level if layer is "".
func (c *Client) SetLogLevel(ctx context.Context, layer, level string) error {
	_, err := invoke(ctx, c, result.AnswerLost, func() (struct{}, error) {
		return struct{}{}, c.calls.SetLogLevel(ctx, &operators.SetLogLevelPayload{Layer: layer, Level: level})
	})
	return err
}
