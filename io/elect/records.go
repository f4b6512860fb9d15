package elect

import (
	"encoding/json"
	"strings"
	"time"

	"verbenagate/core/eras"
	"verbenagate/core/lead"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
)

// LeadTable is the table with the records of the groups' primaries and the epoch.
const LeadTable = "verbenagate-lead"

// Tables and keys in the platform's store. All rows of a table are in one partition, so that one transaction can span them.
const (
	leadTable   = LeadTable
	memberTable = "verbenagate-vms"
	epochKey    = "epoch"
	eraKey      = "era"
	groupPrefix = "group/"
)

// groupRow is the stored form of a lead.Record. PromotedTerm and PromotedNumber are the log position at which the server was
// promoted. Ordered says that a promotion may have been ordered in the move.
type groupRow struct {
	Moving         bool   `json:"moving,omitempty"`
	Server         string `json:"server"`
	Term           uint64 `json:"term"`
	Writer         string `json:"holder"`
	PromotedTerm   uint64 `json:"promoted_term,omitempty"`
	PromotedNumber uint64 `json:"promoted_number,omitempty"`
	Ordered        bool   `json:"ordered,omitempty"`
	// Era is that of the store in which the record was written. A record of a copy thus keeps its place among those written since.
	Era uint64 `json:"era,omitempty"`
}

// eraRow is the stored form of a lead.EraMark. HeardMs is on the store's clock.
type eraRow struct {
	Era     uint64 `json:"era"`
	HeardMs int64  `json:"heard_ms"`
}

// memberRow is the stored form of the leases that one VM has requested.
type memberRow struct {
	VMs []memberEntry `json:"vms"`
}

// memberEntry is the stored form of a lead.Member. UntilMs is the end of the lease on the store's clock.
type memberEntry struct {
	Name       string   `json:"name"`
	Epoch      uint64   `json:"epoch"`
	UntilMs    int64    `json:"until_ms"`
	Suspect    []string `json:"suspect,omitempty"`
	DataCentre string   `json:"data_centre,omitempty"`
	Address    string   `json:"address,omitempty"`
	Cores      float64  `json:"cores,omitempty"`
	// SinceMs and ProvenMs are the continuity of the lease. They are written only where quotas need them.
	SinceMs  int64 `json:"since_ms,omitempty"`
	ProvenMs int64 `json:"proven_ms,omitempty"`
	// PresentMs is set for a VM that has given up its lease; see lead.Member.PresentUntil.
	PresentMs int64 `json:"present_ms,omitempty"`
}

func encodeRecord(group string, r lead.Record, inEra uint64) (port.Row, error) {
	value, err := json.Marshal(groupRow{
		Moving: r.Phase() == lead.Moving, Server: r.Server(), Term: r.Term(), Writer: r.Writer(),
		PromotedTerm: r.PromotedAt().Term(), PromotedNumber: r.PromotedAt().Position(),
		Ordered: r.PromotionOrdered(), Era: inEra,
	})
	return port.Row{Table: leadTable, Key: groupPrefix + group, Value: value}, err
}

// decodeRecord decodes a row of leadTable. It returns ok false if the row is deleted or holds no group's record.
func decodeRecord(row port.Row) (group string, r lead.Record, ok bool, err error) {
	group, ok = strings.CutPrefix(row.Key, groupPrefix)
	if !ok || row.Deleted {
		return "", lead.Record{}, false, nil
	}
	var g groupRow
	if err := json.Unmarshal(row.Value, &g); err != nil {
		return "", lead.Record{}, false, result.Wrap(result.InvalidConfig, err, "decoding the record of the primary of group %q", group)
	}
	phase := lead.Stable
	if g.Moving {
		phase = lead.Moving
	}
	r = lead.NewRecord(phase, g.Server, g.Term, g.Writer).WithPromotedAt(point.New(g.PromotedTerm, g.PromotedNumber))
	written := eras.At(g.Era, row.Version.Version())
	return group, r.WithPromotionOrdered(g.Ordered).WithVersion(uint64(written)), true, nil
}

func encodeEraMark(m lead.EraMark) (port.Row, error) {
	value, err := json.Marshal(eraRow{Era: m.Era(), HeardMs: m.At().Milliseconds() + 1})
	return port.Row{Table: leadTable, Key: eraKey, Value: value}, err
}

func decodeEraMark(value []byte) (lead.EraMark, error) {
	var r eraRow
	if err := json.Unmarshal(value, &r); err != nil {
		return lead.EraMark{}, result.Wrap(result.InvalidConfig, err, "decoding the mark of the store's era")
	}
	return lead.NewEraMark(r.Era, time.Duration(r.HeardMs)*time.Millisecond), nil
}

// encodeMembers returns the row of a VM with the leases that it has requested, and with their continuity if that is set.
func encodeMembers(vm string, members []lead.Member, continuity bool) (port.Row, error) {
	var r memberRow
	for _, m := range members {
		e := memberEntry{
			Name: m.Name(), Epoch: m.Epoch(), UntilMs: m.Until().Milliseconds() + 1, Suspect: m.Suspected(),
			DataCentre: m.DataCentre(), Address: m.Address(), Cores: m.Cores(),
		}
		if since, proven := m.Continuity(); continuity && proven > 0 {
			e.SinceMs, e.ProvenMs = since.Milliseconds()+1, proven.Milliseconds()
		}
		if m.Left() {
			e.PresentMs = m.PresentUntil().Milliseconds() + 1
		}
		r.VMs = append(r.VMs, e)
	}
	value, err := json.Marshal(r)
	return port.Row{Table: memberTable, Key: vm, Value: value}, err
}

func decodeMemberRow(row port.Row) ([]lead.Member, error) {
	var r memberRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, result.Wrap(result.InvalidConfig, err, "decoding the leases requested by VM %q", row.Key)
	}
	members := make([]lead.Member, 0, len(r.VMs))
	for _, m := range r.VMs {
		until := time.Duration(m.UntilMs) * time.Millisecond
		member := lead.NewMember(m.Name, m.Epoch, until, m.Suspect).WithLocation(m.DataCentre, m.Address).WithCores(m.Cores)
		member = member.WithContinuity(time.Duration(m.SinceMs)*time.Millisecond, time.Duration(m.ProvenMs)*time.Millisecond)
		if m.PresentMs > 0 {
			member = member.WithPresentUntil(time.Duration(m.PresentMs) * time.Millisecond)
		}
		members = append(members, member)
	}
	return members, nil
}

// decodeMembers returns the members of all rows, one for each VM, and an error for each row that cannot be decoded. Such a row must
// not hide the other VMs.
func decodeMembers(rows []port.Row) (members []lead.Member, invalid []error) {
	all, invalid := decodeAllMembers(rows)
	return lead.Merge(all), invalid
}

// decodeAllMembers returns the entries of all rows, of which a VM may have several, and an error for each row that cannot be decoded.
func decodeAllMembers(rows []port.Row) (all []lead.Member, invalid []error) {
	for _, row := range rows {
		m, err := decodeMemberRow(row)
		if err != nil {
			invalid = append(invalid, err)
			continue
		}
		all = append(all, m...)
	}
	return all, invalid
}
