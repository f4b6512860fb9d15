package relay

import (
	"time"

	"verbenagate/core/eras"
	"verbenagate/core/lead"
	"verbenagate/core/port"
	"verbenagate/core/result"
)

// renewCall asks the agent to renew the lease of the VM Name, or to give it up if Leave is set.
type renewCall struct {
	Name       string   `cbor:"1,keyasint"`
	Epoch      uint64   `cbor:"2,keyasint"`
	Suspect    []string `cbor:"3,keyasint,omitempty"`
	DataCentre string   `cbor:"4,keyasint"`
	Address    string   `cbor:"5,keyasint"`
	Leave      bool     `cbor:"6,keyasint,omitempty"`
	Cores      float64  `cbor:"7,keyasint,omitempty"`
}

// listCall asks for the rows of a table.
type listCall struct {
	Table string `cbor:"1,keyasint"`
}

// fleetCall asks for the live VMs as of at most MaxAge ago, unless the hash is the known one.
type fleetCall struct {
	Known  uint64        `cbor:"1,keyasint,omitempty"`
	MaxAge time.Duration `cbor:"2,keyasint"`
}

// fleetReply is the answer to a fleetCall. If Known is set, the hash is the known one and VMs is empty.
type fleetReply struct {
	Error   string    `cbor:"1,keyasint,omitempty"`
	Known   bool      `cbor:"2,keyasint,omitempty"`
	VMs     []fleetVM `cbor:"3,keyasint,omitempty"`
	Holders int       `cbor:"4,keyasint,omitempty"`
	Era     uint64    `cbor:"5,keyasint,omitempty"` // of the store, as the agent knows it
}

// fleetVM is a live VM in a fleetReply.
type fleetVM struct {
	Name       string   `cbor:"1,keyasint"`
	DataCentre string   `cbor:"2,keyasint"`
	Address    string   `cbor:"3,keyasint,omitempty"`
	Suspect    []string `cbor:"4,keyasint,omitempty"`
	Cores      float64  `cbor:"5,keyasint,omitempty"`
	Lingering  bool     `cbor:"6,keyasint,omitempty"`
}

func newFleetVM(m lead.Member, lingering bool) fleetVM {
	return fleetVM{
		Name: m.Name(), DataCentre: m.DataCentre(), Address: m.Address(), Suspect: m.Suspected(), Cores: m.Cores(), Lingering: lingering,
	}
}

func newFleetReply(f lead.Fleet, err error, known, inEra uint64) fleetReply {
	if err != nil {
		return fleetReply{Error: err.Error()}
	}
	if f.Hash() == known {
		return fleetReply{Known: true, Era: inEra}
	}
	r := fleetReply{Holders: f.Holders(), Era: inEra}
	for _, m := range f.Live() {
		r.VMs = append(r.VMs, newFleetVM(m, false))
	}
	for _, m := range f.Lingering() {
		r.VMs = append(r.VMs, newFleetVM(m, true))
	}
	return r
}

// fleet returns the fleet in the reply, or known if it is the same.
func (r fleetReply) fleet(known lead.Fleet) (lead.Fleet, error) {
	if r.Error != "" {
		return lead.Fleet{}, result.New(result.StoreUnavailable, "the agent could not read the list of VMs: %s", r.Error)
	}
	if r.Known {
		return known, nil
	}
	live := make([]lead.Member, 0, len(r.VMs))
	var lingering []lead.Member
	for _, v := range r.VMs {
		m := lead.NewMember(v.Name, 0, 0, v.Suspect).WithLocation(v.DataCentre, v.Address).WithCores(v.Cores)
		if v.Lingering {
			lingering = append(lingering, m)
		} else {
			live = append(live, m)
		}
	}
	return lead.NewFleet(live, r.Holders).WithLingering(lingering), nil
}

// changesCall asks for the changes of a table after a version, and waits up to Wait for them.
type changesCall struct {
	Table string        `cbor:"1,keyasint"`
	After eras.Position `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
}

// reply is the answer to calls about leases and tables.
type reply struct {
	Code     replyCode     `cbor:"2,keyasint"`
	Message  string        `cbor:"3,keyasint,omitempty"`
	Rows     []row         `cbor:"4,keyasint,omitempty"`
	Version  eras.Position `cbor:"5,keyasint,omitempty"`
	StoreNow time.Duration `cbor:"6,keyasint,omitempty"`
	// NextRenewal is the time until the VM's next renewal shares a transaction with others, in the answer to a renewal.
	NextRenewal time.Duration `cbor:"7,keyasint,omitempty"`
}

// row is a row of a table in a reply.
type row struct {
	Key     string        `cbor:"1,keyasint"`
	Value   []byte        `cbor:"2,keyasint,omitempty"`
	Version eras.Position `cbor:"3,keyasint,omitempty"`
	Deleted bool          `cbor:"4,keyasint,omitempty"`
}

// replyCode is the outcome of a call.
type replyCode uint8

const (
	codeOK replyCode = iota + 1
	codeConflict
	codeHistoryGone
	codeFailed
)

func newRenewCall(m lead.Member, leave bool) *renewCall {
	return &renewCall{
		Name: m.Name(), Epoch: m.Epoch(), Suspect: m.Suspected(), DataCentre: m.DataCentre(), Address: m.Address(), Leave: leave, Cores: m.Cores(),
	}
}

func (c renewCall) member() lead.Member {
	return lead.NewMember(c.Name, c.Epoch, 0, c.Suspect).WithLocation(c.DataCentre, c.Address).WithCores(c.Cores)
}

func newReply(s port.Snapshot, err error) reply {
	r := reply{Code: codeOK, Version: s.Version, StoreNow: s.Clock}
	switch err {
	case nil:
	case port.ErrConflict:
		r.Code = codeConflict
	case port.ErrHistoryGone:
		r.Code = codeHistoryGone
	default:
		return reply{Code: codeFailed, Message: err.Error()}
	}
	for _, x := range s.Rows {
		r.Rows = append(r.Rows, row{Key: x.Key, Value: x.Value, Version: x.Version, Deleted: x.Deleted})
	}
	return r
}

func (r reply) snapshot(table string) (port.Snapshot, error) {
	switch r.Code {
	case codeOK:
	case codeConflict:
		return port.Snapshot{}, port.ErrConflict
	case codeHistoryGone:
		return port.Snapshot{}, port.ErrHistoryGone
	default:
		return port.Snapshot{}, result.New(result.StoreUnavailable, "the agent could not carry out the call: %s", r.Message)
	}
	s := port.Snapshot{Version: r.Version, Clock: r.StoreNow, Relayed: true}
	for _, x := range r.Rows {
		s.Rows = append(s.Rows, port.Row{Table: table, Key: x.Key, Value: x.Value, Version: x.Version, Deleted: x.Deleted})
	}
	return s, nil
}
