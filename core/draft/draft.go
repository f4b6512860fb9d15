// Package draft holds a configuration as its operators wrote it, and checks it before it is sent.
//
// A layout.Config keeps only what decides: for example one workspace for each key. A Draft also keeps what the operators wrote twice or to
// no effect, so that it can be reported. A running VM makes its layout.Config from a Draft, too.
package draft

import (
	"time"

	"verbenagate/core/layout"
)

// Group is a group of servers in a draft.
type Group struct {
	name         string
	connections  int
	syncReplicas int
}

// NewGroup returns a group each of whose servers accepts this many connections. A commit is acknowledged once syncReplicas replicas have
// it.
func NewGroup(name string, connections, syncReplicas int) Group {
	return Group{name: name, connections: connections, syncReplicas: syncReplicas}
}

// Workspace is a workspace in a draft, with its keys.
type Workspace struct {
	layout.Workspace
	keys []string
}

// NewWorkspace returns a workspace with its keys.
func NewWorkspace(w layout.Workspace, keys []string) Workspace {
	return Workspace{Workspace: w, keys: keys}
}

// Draft is a version of the configuration as its operators wrote it.
type Draft struct {
	version            uint64
	routes             []layout.Route
	groups             []Group
	keyed              bool
	workspaces         []Workspace
	maxTransactionIdle time.Duration
}

// New returns a draft in which callers need no key.
func New(version uint64, routes []layout.Route, groups []Group, maxTransactionIdle time.Duration) Draft {
	return Draft{version: version, routes: routes, groups: groups, maxTransactionIdle: maxTransactionIdle}
}

// WithWorkspaces returns the draft with workspaces whose keys admit callers. Nobody else is admitted, not even if there are none.
func (d Draft) WithWorkspaces(list []Workspace) Draft {
	d.keyed, d.workspaces = true, list
	return d
}

// Version returns the version of the draft.
func (d Draft) Version() uint64 { return d.version }

// Config returns the configuration that VMs make of the draft. Of several routes of a database the last one counts, and a key that several
// workspaces hold belongs to the first of them.
func (d Draft) Config() layout.Config {
	limits, syncReplicas := make(map[string]int, len(d.groups)), make(map[string]int)
	for _, g := range d.groups {
		limits[g.name] = g.connections
		if g.syncReplicas > 0 {
			syncReplicas[g.name] = g.syncReplicas
		}
	}
	c := layout.NewConfig(d.version, d.routes, limits, d.maxTransactionIdle).WithSyncReplicas(syncReplicas)
	if !d.keyed {
		return c
	}
	byKey := make(map[string]layout.Workspace)
	for _, w := range d.workspaces {
		for _, key := range w.keys {
			if _, taken := byKey[key]; !taken {
				byKey[key] = w.Workspace
			}
		}
	}
	return c.WithWorkspaces(byKey)
}
