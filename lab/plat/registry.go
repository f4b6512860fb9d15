package plat

import (
	"slices"
	"strings"
	"time"

	"verbenagate/io/platf"
)

// historyRetention is how long the history reaches back, and so the greatest lag that the list of VMs can have.
const historyRetention = time.Hour

// registry keeps the history of registrations by VM id, so that the list can be read as of an earlier time.
type registry struct {
	history map[string][]registration
}

// registration is the state of an entry from start until end, unless a later one replaces it. The removal of an entry is a
// registration whose end equals its start.
type registration struct {
	vm    platf.VM
	start time.Time
	end   time.Time
}

func (g *registry) add(now time.Time, vm platf.VM, ttl time.Duration) {
	if g.history == nil {
		g.history = map[string][]registration{}
	}
	list := g.history[vm.ID]
	for len(list) > 1 && list[1].start.Before(now.Add(-historyRetention)) {
		list = list[1:]
	}
	g.history[vm.ID] = append(list, registration{vm: vm, start: now, end: now.Add(ttl)})
}

func (g *registry) remove(now time.Time, id string) {
	if _, ok := g.history[id]; ok {
		g.add(now, platf.VM{ID: id}, 0)
	}
}

// validAt returns the entries that were valid at time t, ordered by id.
func (g *registry) validAt(t time.Time) []platf.VM {
	out := []platf.VM{}
	for _, list := range g.history {
		for i := len(list) - 1; i >= 0; i-- {
			if list[i].start.After(t) {
				continue
			}
			if list[i].end.After(t) {
				out = append(out, list[i].vm)
			}
			break
		}
	}
	slices.SortFunc(out, func(a, b platf.VM) int { return strings.Compare(a.ID, b.ID) })
	return out
}
