package elect

import (
	"encoding/json"
	"strings"
	"time"

	"verbenagate/core/lead"
	"verbenagate/core/port"
	"verbenagate/core/result"
)

// Tables and keys in the platform's store. All rows of a table lie in one part, so that a transaction can span them.
const (
	leadTable   = "verbenagate-lead"
	memberTable = "verbenagate-vms"
	epochKey    = "epoch"
	groupPrefix = "group/"
)

// groupRow is the stored form of a lead.Record.
type groupRow struct {
	Moving bool   `json:"moving,omitempty"`
	Server string `json:"server"`
	Term   uint64 `json:"term"`
	Holder string `json:"holder"`
}

// memberRow is the stored form of a lead.Member. UntilMs is on the store's clock.
type memberRow struct {
	Epoch   uint64   `json:"epoch"`
	UntilMs int64    `json:"until_ms"`
	Suspect []string `json:"suspect,omitempty"`
}

func encodeRecord(group string, r lead.Record) (port.Row, error) {
	value, err := json.Marshal(groupRow{
		Moving: r.Phase() == lead.Moving, Server: r.Server(), Term: r.Term(), Holder: r.Holder(),
	})
	return port.Row{Table: leadTable, Key: groupPrefix + group, Value: value}, err
}

// decodeRecord reads a row of the table of records; ok is false for other rows.
func decodeRecord(row port.Row) (group string, r lead.Record, ok bool, err error) {
	group, ok = strings.CutPrefix(row.Key, groupPrefix)
	if !ok || row.Deleted {
		return "", lead.Record{}, false, nil
	}
	var g groupRow
	if err := json.Unmarshal(row.Value, &g); err != nil {
		return "", lead.Record{}, false, result.Wrap(result.InvalidConfig, err, "record of the primary of %q", group)
	}
	phase := lead.Stable
	if g.Moving {
		phase = lead.Moving
	}
	return group, lead.NewRecord(phase, g.Server, g.Term, g.Holder).WithVersion(row.Version), true, nil
}

func encodeMember(m lead.Member) (port.Row, error) {
	value, err := json.Marshal(memberRow{Epoch: m.Epoch(), UntilMs: m.Until().Milliseconds(), Suspect: m.Suspect()})
	return port.Row{Table: memberTable, Key: m.Name(), Value: value}, err
}

func decodeMembers(rows []port.Row) ([]lead.Member, error) {
	var all []lead.Member
	for _, row := range rows {
		var m memberRow
		if err := json.Unmarshal(row.Value, &m); err != nil {
			return nil, result.Wrap(result.InvalidConfig, err, "entry of VM %q", row.Key)
		}
		all = append(all, lead.NewMember(row.Key, m.Epoch, time.Duration(m.UntilMs+1)*time.Millisecond, m.Suspect))
	}
	return all, nil
}
