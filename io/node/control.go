package node

import (
	"context"

	"verbenagate/core/member"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/admin"
	"verbenagate/io/logs"
	"verbenagate/io/peer"
	"verbenagate/io/revlog"
)

// control implements admin.Control, the operators' requests to this VM.
type control struct{ n *Node }

// Catalog returns the active configuration.
func (c control) Catalog(context.Context) (svcdef.Catalog, error) { return c.n.config.Catalog(), nil }

// History returns the latest revisions of a service, or of all services if service is "".
func (c control) History(ctx context.Context, service string) ([]svcdef.Revision, error) {
	return c.n.config.History(ctx, service), nil
}

// Change checks and stores an operator's configuration change, which is based on the given revision.
func (c control) Change(ctx context.Context, based uint64, rev svcdef.Revision) (svcdef.Revision, error) {
	if svc, ok := rev.Service(); ok {
		if bad := checkStatements(svc, c.n.parser); len(bad) > 0 {
			return svcdef.Revision{}, revlog.Invalid(bad)
		}
	}
	return c.n.config.Change(ctx, based, rev)
}

// VMs returns the members in this VM's view.
func (c control) VMs(context.Context) ([]admin.VM, error) {
	var list []admin.VM
	for _, m := range c.n.mesh.View().Members() {
		v := admin.VM{
			ID: m.ID(), DataCentre: m.DataCentre(), PeerAddress: m.Addr(), State: stateName(m.State()),
			Self: m.ID() == c.n.cfg.VM.ID,
		}
		if v.Self {
			v.Revision = c.n.config.Catalog().Revision()
		}
		list = append(list, v)
	}
	return list, nil
}

// stateName returns the name of a member state in the operators' API, the state dump and the metrics.
func stateName(s member.State) string {
	switch s {
	case member.Live:
		return "live"
	case member.Leaving:
		return "leaving"
	case member.Suspect:
		return "suspected"
	case member.Dead:
		return "dead"
	}
	return s.String()
}

// Drain requests the graceful shutdown of this VM or another one.
func (c control) Drain(ctx context.Context, id string) error {
	if id == c.n.cfg.VM.ID {
		c.n.requestStop()
		return nil
	}
	if _, ok := c.n.mesh.View().Member(id); !ok {
		return result.New(result.NotFound, "VM %q does not exist", id)
	}
	_, err := c.n.mesh.Call(ctx, id, peer.DrainRequest{})
	return err
}

// LogLevels returns this VM's log level and the switch of each layer.
func (c control) LogLevels(context.Context) (string, map[string]logs.Switch) {
	return c.n.levels.Level(), c.n.levels.Layers()
}

// SetLogLevel changes the switch of a layer, or the log level if layer is "".
func (c control) SetLogLevel(_ context.Context, layer, level string) error {
	var err error
	if layer == "" {
		err = c.n.levels.SetLevel(level)
	} else {
		err = c.n.levels.SetLayer(layer, logs.Switch(level))
	}
	if err != nil {
		return result.New(result.InvalidConfig, "%v", err)
	}
	return nil
}

// Dump returns a summary of this VM's state, with the complete state as JSON.
func (c control) Dump(context.Context) (admin.Dump, error) {
	n := c.n
	body, err := n.dumpJSON()
	if err != nil {
		return admin.Dump{}, err
	}
	cat := n.config.Catalog()
	return admin.Dump{
		VM: n.cfg.VM.ID, DataCentre: n.cfg.VM.DataCentre, Revision: cat.Revision(), Services: len(cat.Services()),
		Callers: n.callers.Len(), OwnedServers: n.host.Owned(), Members: len(n.mesh.View().Members()),
		StoreUp: n.config.StoreUp(), Draining: n.draining.Load(), Started: n.started, State: body,
	}, nil
}
