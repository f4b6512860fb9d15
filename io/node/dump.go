package node

import (
	"encoding/json"
	"time"

	"verbenagate/core/result"
	"verbenagate/core/work"
	"verbenagate/io/host"
)

// State is the state dump of a VM. It contains no secrets: of a service's definition it holds only the name.
type State struct {
	VM         string            `json:"vm"`
	DataCentre string            `json:"data_centre"`
	At         time.Time         `json:"at"`
	Started    time.Time         `json:"started"`
	Draining   bool              `json:"draining"`
	StoreUp    bool              `json:"store_up"`
	Revision   uint64            `json:"config_revision"`
	Services   []string          `json:"services"`
	Sessions   []SessionState    `json:"sessions"`
	Counts     CountState        `json:"counts"`
	Hosted     []host.GroupState `json:"hosted"`
	Members    []MemberState     `json:"members"`
	Peers      PeerState         `json:"peers"`
}

// SessionState is one caller's session. Since is when its connection was accepted, Changed when its last unit started or ended.
type SessionState struct {
	ProcessID uint32    `json:"process_id"`
	Service   string    `json:"service"`
	User      string    `json:"user"`
	Remote    string    `json:"remote"`
	Since     time.Time `json:"since"`
	Changed   time.Time `json:"changed"`
	Running   bool      `json:"running"`
	Status    string    `json:"transaction"`
	Prepared  int       `json:"prepared_statements"`
}

// CountState holds the numbers of units since the VM started.
type CountState struct {
	ReplicaReads int64 `json:"replica_reads"`
	PrimaryReads int64 `json:"primary_reads"`
	Writes       int64 `json:"writes"`
	Retries      int64 `json:"retries"`
	NotRun       int64 `json:"not_run"`
	Unknown      int64 `json:"unknown"`
}

// MemberState is one VM in this VM's view of the members.
type MemberState struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
}

// PeerState holds totals of this VM's messages to and from other VMs. LateAnswers counts answers whose call or stream was no
// longer open, BadMessages those that this VM refused.
type PeerState struct {
	ControlSent     int64 `json:"control_sent_bytes"`
	ControlReceived int64 `json:"control_received_bytes"`
	LateAnswers     int64 `json:"late_answers"`
	BadMessages     int64 `json:"bad_messages"`
}

// State returns the state dump of the VM.
func (n *Node) State() State {
	c := n.config.Catalog()
	s := State{
		VM: n.cfg.VM.ID, DataCentre: n.cfg.VM.DataCentre, At: time.Now(), Started: n.started,
		Draining: n.draining.Load(), StoreUp: n.config.StoreUp(), Revision: c.Revision(), Hosted: n.host.State(),
		Counts: n.countState(), Peers: n.peerState(),
	}
	for _, svc := range c.Services() {
		s.Services = append(s.Services, svc.Name())
	}
	for _, v := range n.callers.Sessions() {
		s.Sessions = append(s.Sessions, SessionState{
			ProcessID: v.ProcessID(), Service: v.Service(), User: v.User(), Remote: v.RemoteAddr(), Since: v.AcceptedAt(),
			Changed: v.RunningChangedAt(), Running: v.Running(), Status: txStatusName(v.TxStatus()), Prepared: v.PreparedCount(),
		})
	}
	for _, m := range n.mesh.View().Members() {
		s.Members = append(s.Members, MemberState{
			ID: m.ID(), DataCentre: m.DataCentre(), Address: m.Addr(), Incarnation: m.Incarnation(),
			State: stateName(m.State()),
		})
	}
	return s
}

// txStatusName returns the name of a transaction status in the state dump.
func txStatusName(s work.TxStatus) string {
	switch s {
	case work.TxIdle:
		return "idle"
	case work.TxActive:
		return "open"
	case work.TxFailed:
		return "failed"
	}
	return "none"
}

func (n *Node) countState() CountState {
	c := n.front.Counts()
	return CountState{
		ReplicaReads: c.ReplicaReads(), PrimaryReads: c.PrimaryReads(), Writes: c.Writes(), Retries: c.Retries(),
		NotRun: c.NotRun(), Unknown: c.Unknown(),
	}
}

func (n *Node) peerState() PeerState {
	s := n.mesh.Stats()
	p := PeerState{ControlSent: s.ControlSentBytes(), LateAnswers: s.LateAnswers(), BadMessages: s.RefusedMessages()}
	for _, k := range s.Kinds() {
		if k.Control() {
			p.ControlReceived += k.ReceivedBytes()
		}
	}
	return p
}

func (n *Node) dumpJSON() ([]byte, error) {
	body, err := json.Marshal(n.State())
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "encode the state dump")
	}
	return body, nil
}
