package peer

import (
	"slices"
	"strings"
	"time"
)

// Dump is the part of the VM's state dump that describes the mesh.
type Dump struct {
	VM              string           `json:"vm"`
	DataCentre      string           `json:"data_centre"`
	Addr            string           `json:"addr"`
	Incarnation     uint64           `json:"incarnation"`
	Revision        uint64           `json:"revision"`
	DiscoveryDone   bool             `json:"settled"`
	Members         []MemberDump     `json:"members"`
	Connections     []ConnectionDump `json:"connections"`
	LateAnswers     int64            `json:"late_answers"`
	RefusedMessages int64            `json:"refused_messages"`
}

// MemberDump describes one member of the deployment as this VM sees it.
type MemberDump struct {
	VM               string `json:"vm"`
	DataCentre       string `json:"data_centre"`
	Addr             string `json:"addr"`
	State            string `json:"state"`
	Incarnation      uint64 `json:"incarnation"`
	HeartbeatPartner bool   `json:"heartbeat_partner"`
}

// ConnectionDump describes one connection with another VM.
type ConnectionDump struct {
	VM                    string  `json:"vm"`
	Dialled               bool    `json:"dialled"`
	IdleSeconds           float64 `json:"idle_seconds"`
	Streams               int     `json:"streams"`
	InboundStreams        int     `json:"inbound_streams"`
	Calls                 int     `json:"calls"`
	RequestsServed        int     `json:"requests_served"`
	QueuedControlMessages int     `json:"queued_control_messages"`
	QueuedDataBytes       int     `json:"queued_data_bytes"`
}

// Dump returns the current state of the mesh.
func (m *Mesh) Dump() Dump {
	v := m.View()
	s := m.Stats()
	d := Dump{
		VM: m.cfg.ID, DataCentre: m.cfg.DataCentre, Addr: m.cfg.Addr, Revision: m.revision.Load(),
		DiscoveryDone: v.DiscoveryDone(), LateAnswers: s.LateAnswers(), RefusedMessages: s.RefusedMessages(),
	}
	m.tableMu.Lock()
	d.Incarnation = m.table.Self().Incarnation
	for _, o := range v.Members() {
		d.Members = append(d.Members, MemberDump{
			VM: o.ID(), DataCentre: o.DataCentre(), Addr: o.Addr(), State: o.State().String(), Incarnation: o.Incarnation(),
			HeartbeatPartner: m.table.IsHeartbeatPeer(o.ID()),
		})
	}
	m.tableMu.Unlock()
	now := time.Now()
	for _, c := range m.conns() {
		d.Connections = append(d.Connections, c.dump(now))
	}
	slices.SortFunc(d.Connections, func(a, b ConnectionDump) int { return strings.Compare(a.VM, b.VM) })
	return d
}

func (c *conn) dump(now time.Time) ConnectionDump {
	d := ConnectionDump{VM: c.vm, Dialled: c.dialled, IdleSeconds: c.idleTime(now).Seconds(), RequestsServed: len(c.servingSlots)}
	c.streamsMu.Lock()
	d.Streams, d.InboundStreams, d.Calls = len(c.remoteStreams), len(c.inboundStreams), len(c.pendingCalls)
	c.streamsMu.Unlock()
	c.queueMu.Lock()
	d.QueuedControlMessages, d.QueuedDataBytes = c.controlQueue.len(), c.queuedDataBytes
	c.queueMu.Unlock()
	return d
}
