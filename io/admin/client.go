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

// maxAnswer bounds an answer; the state dump of a VM with 820 servers is the largest.
const maxAnswer = 64 << 20

// connectTimeout bounds the time to connect to the VM.
const connectTimeout = 5 * time.Second

// Client calls the operators' service of one VM.
type Client struct {
	address string
	conn    *grpc.ClientConn
	calls   *operators.Client
}

// Dial returns a client of the VM at address, IP:port. The connection is made by the first call.
func Dial(address string, opts ...Option) (*Client, error) {
	var o options
	for _, f := range opts {
		f(&o)
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(o.credentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxAnswer)),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithNoProxy())
	if err != nil {
		return nil, result.Wrap(result.ConnectFailed, err, "address %s", address)
	}
	c := client.NewClient(conn)
	return &Client{address: address, conn: conn, calls: operators.NewClient(c.ApplyService(), c.GetService(),
		c.ListServices(), c.History(), c.RemoveService(), c.ListVms(), c.DrainVM(), c.Dump(), c.LogLevels(),
		c.SetLogLevel())}, nil
}

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

// connect waits until the VM is connected. A failure here is certain to have no effect, unlike one of the call itself.
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

// perform runs one call and gives its error a result code. Lost is the code for a call whose answer did not arrive.
func perform[T any](ctx context.Context, c *Client, lost result.Code, f func() (T, error)) (T, error) {
	var none T
	if err := c.connect(ctx); err != nil {
		return none, err
	}
	v, err := f()
	if err == nil {
		return v, nil
	}
	var fault *operators.Fault
	if errors.As(err, &fault) {
		return none, faultIn(fault)
	}
	return none, result.Wrap(lost, err, "call of %s: %v", c.address, err)
}

// Apply creates or replaces a service. It returns the accepted revision and the warnings.
func (c *Client) Apply(ctx context.Context, spec svcdef.Spec, based uint64, author string,
) (svcdef.Revision, []svcdef.Problem, error) {
	res, err := perform(ctx, c, result.AnswerLost, func() (*operators.ApplyServiceResult, error) {
		return c.calls.ApplyService(ctx, &operators.ApplyServicePayload{Spec: specOut(spec), BasedOn: based, Author: author})
	})
	if err != nil {
		return svcdef.Revision{}, nil, err
	}
	return revisionIn(res.Revision), problemsIn(res.Warnings), nil
}

// Remove removes a service.
func (c *Client) Remove(ctx context.Context, name string, based uint64, author string) (svcdef.Revision, error) {
	res, err := perform(ctx, c, result.AnswerLost, func() (*operators.RemoveServiceResult, error) {
		return c.calls.RemoveService(ctx, &operators.RemoveServicePayload{Name: name, BasedOn: based, Author: author})
	})
	if err != nil {
		return svcdef.Revision{}, err
	}
	return revisionIn(res.Revision), nil
}

// Get returns a service with masked secrets, and the current revision.
func (c *Client) Get(ctx context.Context, name string) (ServiceState, uint64, error) {
	res, err := perform(ctx, c, result.PeerUnreachable, func() (*operators.GetServiceResult, error) {
		return c.calls.GetService(ctx, &operators.GetServicePayload{Name: name})
	})
	if err != nil {
		return ServiceState{}, 0, err
	}
	return ServiceState{res.Service.Revision, specIn(res.Service.Spec)}, res.CurrentRevision, nil
}

// List returns all services with masked secrets, and the current revision.
func (c *Client) List(ctx context.Context) ([]ServiceState, uint64, error) {
	res, err := perform(ctx, c, result.PeerUnreachable, func() (*operators.ListServicesResult, error) {
		return c.calls.ListServices(ctx)
	})
	if err != nil {
		return nil, 0, err
	}
	states := make([]ServiceState, 0, len(res.Services))
	for _, s := range res.Services {
		states = append(states, ServiceState{s.Revision, specIn(s.Spec)})
	}
	return states, res.CurrentRevision, nil
}

// History returns the latest revisions of a service, or of all if service is "".
func (c *Client) History(ctx context.Context, service string) ([]svcdef.Revision, error) {
	res, err := perform(ctx, c, result.PeerUnreachable, func() (*operators.HistoryResult, error) {
		return c.calls.History(ctx, &operators.HistoryPayload{Service: service})
	})
	if err != nil {
		return nil, err
	}
	revs := make([]svcdef.Revision, 0, len(res.Revisions))
	for _, r := range res.Revisions {
		revs = append(revs, revisionIn(r))
	}
	return revs, nil
}

// VMs returns the VMs that the asked VM knows.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	res, err := perform(ctx, c, result.PeerUnreachable, func() (*operators.ListVmsResult, error) {
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

// Drain starts the graceful stop of a VM.
func (c *Client) Drain(ctx context.Context, id string) error {
	_, err := perform(ctx, c, result.AnswerLost, func() (struct{}, error) {
		return struct{}{}, c.calls.DrainVM(ctx, &operators.DrainVMPayload{ID: id})
	})
	return err
}

// Dump returns the state of the asked VM.
func (c *Client) Dump(ctx context.Context) (Dump, error) {
	res, err := perform(ctx, c, result.PeerUnreachable, func() (*operators.DumpResult, error) {
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

// LogLevels returns the level of the asked VM's log and the switches of its layers.
func (c *Client) LogLevels(ctx context.Context) (level string, layers map[string]logs.Switch, err error) {
	res, err := perform(ctx, c, result.PeerUnreachable, func() (*operators.LogLevelsResult, error) {
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

// SetLogLevel changes the switch of a layer of the asked VM's log, or its level if layer is "".
func (c *Client) SetLogLevel(ctx context.Context, layer, level string) error {
	_, err := perform(ctx, c, result.AnswerLost, func() (struct{}, error) {
		return struct{}{}, c.calls.SetLogLevel(ctx, &operators.SetLogLevelPayload{Layer: layer, Level: level})
	})
	return err
}
