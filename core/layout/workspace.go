package layout

import "maps"

// Workspace is a caller's organisation. The keys that callers present belong to workspaces.
type Workspace struct {
	name     string
	priority int
	rate     float64 // operations per second
	burst    float64 // operations
}

// NewWorkspace returns a workspace with a limit of rate operations per second and burst operations at once. A rate of 0 means that the
// workspace has no limit.
func NewWorkspace(name string, priority int, rate, burst float64) Workspace {
	return Workspace{name: name, priority: priority, rate: rate, burst: burst}
}

// Name returns the name of the workspace. It is what database servers are told; keys stay in the proxy.
func (w Workspace) Name() string { return w.name }

// Priority returns the priority; 0 is the highest.
func (w Workspace) Priority() int { return w.priority }

// Rate returns the limit in operations per second, or 0 if there is none.
func (w Workspace) Rate() float64 { return w.rate }

// Burst returns how many operations the workspace may begin at once.
func (w Workspace) Burst() float64 { return w.burst }

// Limited reports whether the workspace has a limit of operations.
func (w Workspace) Limited() bool { return w.rate > 0 }

// WithWorkspaces returns the configuration with the workspaces that keys belong to, by key. A configuration with such a map, even an
// empty one, admits callers by key only.
func (c Config) WithWorkspaces(byKey map[string]Workspace) Config {
	c.byKey = maps.Clone(byKey)
	if c.byKey == nil {
		c.byKey = map[string]Workspace{}
	}
	c.workspaces = make(map[string]Workspace, len(byKey))
	for _, w := range byKey {
		c.workspaces[w.name] = w
	}
	return c
}

// NeedsKeys reports whether callers are admitted by key.
func (c Config) NeedsKeys() bool { return c.byKey != nil }

// Limited reports whether a workspace has a limit of operations.
func (c Config) Limited() bool {
	for _, w := range c.workspaces {
		if w.Limited() {
			return true
		}
	}
	return false
}

// KeyCount returns the number of keys.
func (c Config) KeyCount() int { return len(c.byKey) }

// WorkspaceOf returns the workspace that a key belongs to.
func (c Config) WorkspaceOf(key string) (Workspace, bool) {
	w, ok := c.byKey[key]
	return w, ok
}

// Workspace returns the workspace with this name, if it has a key.
func (c Config) Workspace(name string) (Workspace, bool) {
	w, ok := c.workspaces[name]
	return w, ok
}

// Admit returns the workspace of a caller that presents key for the sessions of a route. The workspace has no name if the configuration
// has no keys, and for a caller without a valid key on a public route. Admit returns false if the caller is not admitted.
func (c Config) Admit(r Route, key string) (Workspace, bool) {
	if !c.NeedsKeys() {
		return Workspace{}, true
	}
	w, ok := c.byKey[key]
	return w, ok || r.public
}
