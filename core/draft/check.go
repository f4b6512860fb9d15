package draft

import (
	"fmt"

	"verbenagate/core/layout"
)

// Severity says what a finding means for callers.
type Severity string

// The severities, the gravest first.
const (
	// Wrong entries are refused or misunderstood by VMs.
	Wrong Severity = "error"
	// Unused entries can never match.
	Unused Severity = "unused"
	// Conflicting limits cannot all be met.
	Conflicting Severity = "conflict"
)

// Finding is a problem of a draft.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place is the entry, for example "route pay".
	Place string `json:"place"`
	Text  string `json:"text"`
}

func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Place, f.Text) }

// Fleet is what the draft is to run on. Zero fields are unknown, and nothing is checked against them.
type Fleet struct {
	// VMs is the number of VMs.
	VMs int
	// Servers are the registered servers, by id.
	Servers map[string]layout.Server
}

// minConnectionsPerVM is how many connections to a server a VM needs to serve other callers while a transaction of one of them is idle.
const minConnectionsPerVM = 2

// Check returns the problems of a draft that is to run on fleet, errors first.
func (d Draft) Check(fleet Fleet) []Finding {
	c := &checker{draft: d, fleet: fleet, groups: make(map[string]Group)}
	c.checkGroups()
	c.checkRoutes()
	c.checkWorkspaces()
	all := []Finding{}
	for _, s := range []Severity{Wrong, Unused, Conflicting} {
		for _, f := range c.findings {
			if f.Severity == s {
				all = append(all, f)
			}
		}
	}
	return all
}

// checker collects the findings of one draft.
type checker struct {
	draft    Draft
	fleet    Fleet
	groups   map[string]Group
	findings []Finding
}

func (c *checker) add(s Severity, place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Place: place, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) checkGroups() {
	for _, g := range c.draft.groups {
		place := "group " + g.name
		if _, twice := c.groups[g.name]; twice {
			c.add(Wrong, place, "it is listed twice")
		}
		c.groups[g.name] = g
		if g.connections <= 0 {
			c.add(Wrong, place, "its servers accept %d connections", g.connections)
		}
		c.checkServers(g)
		if !c.isRouted(g.name) {
			c.add(Unused, place, "no route leads to it")
		}
	}
}

// checkServers compares a group with its registered servers.
func (c *checker) checkServers(g Group) {
	if c.fleet.Servers == nil {
		return
	}
	place, servers, slots := "group "+g.name, 0, 0
	for _, s := range c.fleet.Servers {
		if s.Group() == g.name {
			servers++
			slots = max(slots, s.Slots())
		}
	}
	switch {
	case servers == 0:
		c.add(Unused, place, "no server of it is registered")
		return
	case g.syncReplicas >= servers:
		c.add(Conflicting, place, "a commit waits for %d replicas, and %d servers have only %d", g.syncReplicas, servers, servers-1)
	}
	if g.connections < slots {
		c.add(Conflicting, place, "a server accepts %d connections and runs %d statements at a time", g.connections, slots)
	}
	if n := c.fleet.VMs; n > 0 && !layout.NeedsOwner(slots, n) && g.connections > 0 && g.connections < minConnectionsPerVM*n {
		c.add(Conflicting, place, "%d VMs need %d connections to each server, which accepts %d", n, minConnectionsPerVM*n, g.connections)
	}
}

func (c *checker) isRouted(group string) bool {
	for _, r := range c.draft.routes {
		if r.Group() == group {
			return true
		}
	}
	return false
}

func (c *checker) checkRoutes() {
	seen := make(map[string]bool)
	admitsNobody := c.draft.keyed && c.keyCount() == 0
	for _, r := range c.draft.routes {
		place := "route " + r.Database()
		if seen[r.Database()] {
			c.add(Wrong, place, "its database has another route before it; only this one counts")
		}
		seen[r.Database()] = true
		if _, ok := c.groups[r.Group()]; !ok {
			c.add(Wrong, place, "group %s is not listed", r.Group())
		}
		if r.Timeout() <= 0 {
			c.add(Wrong, place, "its time limit is %s, so no statement can run", r.Timeout())
		}
		if r.Kind() != layout.Primary && r.MaxAge() <= 0 {
			c.add(Wrong, place, "its reads may be served by replicas, but no age is stated for their data")
		}
		if admitsNobody && !r.Public() {
			c.add(Unused, place, "no workspace has a key, and the route is not public")
		}
		if r.TargetLatency() > r.Timeout() && r.Timeout() > 0 {
			c.add(Conflicting, place, "statements end after %s, before the target latency of %s", r.Timeout(), r.TargetLatency())
		}
	}
}

func (c *checker) keyCount() int {
	n := 0
	for _, w := range c.draft.workspaces {
		n += len(w.keys)
	}
	return n
}

func (c *checker) checkWorkspaces() {
	names, holders := make(map[string]bool), make(map[string]string)
	for _, w := range c.draft.workspaces {
		place := "workspace " + w.Name()
		if names[w.Name()] {
			c.add(Wrong, place, "it is listed twice")
		}
		names[w.Name()] = true
		if w.Rate() < 0 || w.Burst() < 0 {
			c.add(Wrong, place, "its limit of %g operations/s with a burst of %g is negative", w.Rate(), w.Burst())
		}
		if len(w.keys) == 0 {
			c.add(Unused, place, "it has no key")
		}
		for _, key := range w.keys {
			switch holder, taken := holders[key]; {
			case taken && holder == w.Name():
				c.add(Unused, place, "it lists a key twice")
			case taken:
				c.add(Wrong, place, "one of its keys belongs to workspace %s already", holder)
			default:
				holders[key] = w.Name()
			}
		}
		if w.Limited() && w.Burst() < 1 {
			c.add(Conflicting, place, "its burst of %g admits no operation at %g operations/s", w.Burst(), w.Rate())
		}
	}
}
