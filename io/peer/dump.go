package peer

import (
	"slices"
	"strings"
	"time"
)

// Dump is the state of a mesh for the state dump; its fields are exported for JSON.
type Dump struct {
	VM          string           `json:"vm"`
	DataCentre  string           `json:"data_centre"`
	Addr        string           `json:"addr"`
	Incarnation uint64           `json:"incarnation"`
	Revision    uint64           `json:"revision"`
	Settled     bool             `json:"settled"`
	Members     []MemberDump     `json:"members"`
	Connections []ConnectionDump `json:"connections"`
	Late        int64            `json:"late_answers"`
	Bad         int64            `json:"refused_messages"`
}

// MemberDump describes one member.
type MemberDump struct {
	VM          string `json:"vm"`
	DataCentre  string `json:"data_centre"`
	Addr        string `json:"addr"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Partner     bool   `json:"heartbeat_partner"`
}

// ConnectionDump describes one connection.
type ConnectionDump struct {
	VM            string  `json:"vm"`
	Dialled       bool    `json:"dialled"`
	IdleSeconds   float64 `json:"idle_seconds"`
	Streams       int     `json:"streams"`
	Inbound       int     `json:"inbound_streams"`
	Calls         int     `json:"calls"`
	Serving       int     `json:"requests_served"`
	QueuedControl int     `json:"queued_control_messages"`
	QueuedData    int     `json:"queued_data_bytes"`
}

// Dump returns the state of the mesh.
func (m *Mesh) Dump() Dump {
	v := m.View()
	s := m.Stats()
	d := Dump{
		VM: m.cfg.ID, DataCentre: m.cfg.DataCentre, Addr: m.cfg.Addr, Revision: m.revision.Load(), Settled: v.DiscoveryDone(),
		Late: s.Late(), Bad: s.Bad(),
	}
	m.tmu.Lock()
	d.Incarnation = m.table.Self().Incarnation
	for _, o := range v.Members() {
		d.Members = append(d.Members, MemberDump{
			VM: o.ID(), DataCentre: o.DataCentre(), Addr: o.Addr(), State: o.State().String(), Incarnation: o.Incarnation(),
			Partner: m.table.IsHeartbeatPeer(o.ID()),
		})
	}
	m.tmu.Unlock()
	now := time.Now()
	for _, c := range m.conns() {
		d.Connections = append(d.Connections, c.dump(now))
	}
	slices.SortFunc(d.Connections, func(a, b ConnectionDump) int { return strings.Compare(a.VM, b.VM) })
	return d
}

func (c *conn) dump(now time.Time) ConnectionDump {
	d := ConnectionDump{VM: c.vm, Dialled: c.dialled, IdleSeconds: c.idle(now).Seconds(), Serving: len(c.serving)}
	c.smu.Lock()
	d.Streams, d.Inbound, d.Calls = len(c.streams), len(c.inbound), len(c.calls)
	c.smu.Unlock()
	c.qmu.Lock()
	d.QueuedControl, d.QueuedData = c.control.len(), c.bytes
	c.qmu.Unlock()
	return d
}
