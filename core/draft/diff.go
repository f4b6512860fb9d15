package draft

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"verbenagate/core/layout"
)

// Change is a difference between two drafts.
type Change struct {
	// Place is the entry, for example "route pay".
	Place string `json:"place"`
	// Text says what became of it. It contains no keys.
	Text string `json:"text"`
}

func (c Change) String() string { return c.Place + ": " + c.Text }

// Diff returns how d differs from the draft in force, ordered by place.
func (d Draft) Diff(inForce Draft) []Change {
	var all []Change
	all = append(all, diffEntries("route", routesOf(inForce), routesOf(d), describeRouteChange)...)
	all = append(all, diffEntries("group", groupsOf(inForce), groupsOf(d), describeGroupChange)...)
	all = append(all, diffEntries("workspace", workspacesOf(inForce), workspacesOf(d), describeWorkspaceChange)...)
	slices.SortStableFunc(all, func(a, b Change) int { return cmp.Compare(a.Place, b.Place) })
	add := func(place, format string, args ...any) {
		all = append(all, Change{Place: place, Text: fmt.Sprintf(format, args...)})
	}
	if inForce.keyed != d.keyed {
		add("callers", "need a key: %t, was %t", d.keyed, inForce.keyed)
	}
	if inForce.maxTransactionIdle != d.maxTransactionIdle {
		add("transactions", "may be idle for %s, was %s", d.maxTransactionIdle, inForce.maxTransactionIdle)
	}
	if d.version <= inForce.version {
		add("version", "%d is not newer than %d, which is in force: VMs ignore it", d.version, inForce.version)
	}
	return all
}

// diffEntries compares entries by name. The function describe returns how two entries of a name differ, or "".
func diffEntries[T any](kind string, before, after map[string]T, describe func(before, after T) string) []Change {
	var all []Change
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		b, had := before[name]
		a, has := after[name]
		text := ""
		switch {
		case !had:
			text = "added"
		case !has:
			text = "removed"
		default:
			text = describe(b, a)
		}
		if text != "" {
			all = append(all, Change{Place: kind + " " + name, Text: text})
		}
	}
	return all
}

func routesOf(d Draft) map[string]layout.Route {
	m := make(map[string]layout.Route)
	for _, r := range d.routes {
		m[r.Database()] = r
	}
	return m
}

func groupsOf(d Draft) map[string]Group {
	m := make(map[string]Group)
	for _, g := range d.groups {
		m[g.name] = g
	}
	return m
}

func workspacesOf(d Draft) map[string]Workspace {
	m := make(map[string]Workspace)
	for _, w := range d.workspaces {
		m[w.Name()] = w
	}
	return m
}

func describeRouteChange(before, after layout.Route) string {
	var c changes
	c.compare("group", before.Group(), after.Group())
	c.compare("kind", before.Kind(), after.Kind())
	c.compare("stated age", before.MaxAge(), after.MaxAge())
	c.compare("time limit", before.Timeout(), after.Timeout())
	c.compare("target latency", before.TargetLatency(), after.TargetLatency())
	c.compare("priority", before.Priority(), after.Priority())
	c.compare("public", before.Public(), after.Public())
	return c.text
}

func describeGroupChange(before, after Group) string {
	var c changes
	c.compare("connections", before.connections, after.connections)
	c.compare("synchronous replicas", before.syncReplicas, after.syncReplicas)
	return c.text
}

func describeWorkspaceChange(before, after Workspace) string {
	var c changes
	c.compare("priority", before.Priority(), after.Priority())
	c.compare("operations/s", before.Rate(), after.Rate())
	c.compare("burst", before.Burst(), after.Burst())
	added, withdrawn := missing(after.keys, before.keys), missing(before.keys, after.keys)
	if added+withdrawn > 0 {
		c.add(fmt.Sprintf("keys %d added, %d withdrawn", added, withdrawn))
	}
	return c.text
}

// missing returns how many of the keys in list are not in other.
func missing(list, other []string) int {
	n := 0
	for _, key := range list {
		if !slices.Contains(other, key) {
			n++
		}
	}
	return n
}

// changes joins the differences between the fields of two entries.
type changes struct{ text string }

func (c *changes) compare(field string, before, after any) {
	if before != after {
		c.add(fmt.Sprintf("%s %v, was %v", field, after, before))
	}
}

func (c *changes) add(text string) {
	if c.text != "" {
		c.text += "; "
	}
	c.text += text
}
