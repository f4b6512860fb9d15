package host

import (
	"slices"
	"strings"
	"time"

	"verbenagate/io/endpt"
)

// GroupState describes one watched group for the dump.
type GroupState struct {
	Service  string        `json:"service"`
	Primary  string        `json:"primary"`
	Term     uint64        `json:"term"`
	Reserved uint64        `json:"reserved_term"`
	Health   string        `json:"health"`
	Watched  []ServerState `json:"watched"`
	Owned    []endpt.State `json:"owned"`
}

// unknownStatusAge is the StatusAge of a server that has not answered yet.
const unknownStatusAge time.Duration = -1

// ServerState is the last observation of a server. StatusAge is negative if the server has not answered yet.
type ServerState struct {
	Address   string        `json:"address"`
	Role      string        `json:"role"`
	Term      uint64        `json:"term"`
	Promised  uint64        `json:"promised"`
	Received  uint64        `json:"received"`
	Applied   uint64        `json:"applied"`
	Leaving   bool          `json:"leaving"`
	StatusAge time.Duration `json:"status_age_ns"`
	Age       time.Duration `json:"data_age_ns"`
	AgeKnown  bool          `json:"data_age_known"`
	Refused   int           `json:"refused"`
}

// State returns the state of all groups that this VM watches, sorted by service.
func (h *Host) State() []GroupState {
	h.mu.RLock()
	defer h.mu.RUnlock()
	now := h.cfg.Now()
	var all []GroupState
	for _, s := range h.hosted {
		g := GroupState{Service: s.svc.Name(), Reserved: s.group.ReservedTerm(), Health: s.group.Health(now).String()}
		g.Primary, g.Term = s.group.Primary()
		for _, o := range s.group.Observations() {
			st := o.Status()
			age, known := s.group.Age(now, o.Address())
			statusAge := unknownStatusAge
			if !o.AskedAt().IsZero() {
				statusAge = now.Sub(o.AskedAt())
			}
			g.Watched = append(g.Watched, ServerState{
				Age: age, AgeKnown: known,
				Address: o.Address(), Role: st.Role.String(), Term: st.Term, Promised: st.Promised, Received: st.Received,
				Applied: st.Applied, Leaving: st.Leaving, StatusAge: statusAge, Refused: o.Refusals(),
			})
		}
		for _, server := range s.servers {
			g.Owned = append(g.Owned, server.State())
		}
		slices.SortFunc(g.Owned, func(a, b endpt.State) int { return strings.Compare(a.Address, b.Address) })
		all = append(all, g)
	}
	slices.SortFunc(all, func(a, b GroupState) int { return strings.Compare(a.Service, b.Service) })
	return all
}

// Owned returns the addresses of the servers that this VM owns.
func (h *Host) Owned() []string {
	var list []string
	for _, g := range h.State() {
		for _, o := range g.Owned {
			list = append(list, o.Address)
		}
	}
	return list
}
