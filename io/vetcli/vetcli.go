// Package vetcli is the command that checks a configuration before operators send it.
package vetcli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"verbenagate/core/draft"
	"verbenagate/core/layout"
	"verbenagate/core/result"
)

// Command is the command line of the check.
type Command struct {
	File    string `arg:"" help:"Configuration that is to be sent." type:"existingfile"`
	InForce string `help:"Configuration in force; the changes are listed." type:"existingfile"`
	Servers string `help:"Registered servers: a JSON object with the entry of each server by its id." type:"existingfile"`
	VMs     int    `name:"vms" help:"Number of VMs that share the servers' connections."`
	JSON    bool   `name:"json" help:"Write the report in JSON."`
}

// Parsers decode what the platform stores. A VM uses the same ones.
type Parsers struct {
	Draft  func(value []byte) (draft.Draft, error)
	Server func(id string, value []byte) (layout.Server, error)
}

// Report is the outcome of a check.
type Report struct {
	Findings []draft.Finding `json:"findings"`
	Changes  []draft.Change  `json:"changes"`
}

// Run checks the configuration and writes the report to w. It returns an error with code result.InvalidConfig if VMs would refuse or
// misunderstand an entry.
func (c Command) Run(w io.Writer, p Parsers) error {
	proposed, err := readDraft(c.File, p)
	if err != nil {
		return err
	}
	fleet := draft.Fleet{VMs: c.VMs}
	if c.Servers != "" {
		if fleet.Servers, err = readServers(c.Servers, p); err != nil {
			return err
		}
	}
	report := Report{Findings: proposed.Check(fleet), Changes: []draft.Change{}}
	if c.InForce != "" {
		inForce, err := readDraft(c.InForce, p)
		if err != nil {
			return err
		}
		report.Changes = proposed.Diff(inForce)
	}
	if err := c.write(w, report); err != nil {
		return err
	}
	wrong := 0
	for _, f := range report.Findings {
		if f.Severity == draft.Wrong {
			wrong++
		}
	}
	if wrong > 0 {
		return result.New(result.InvalidConfig, "%s has errors: %d", c.File, wrong)
	}
	return nil
}

func (c Command) write(w io.Writer, r Report) error {
	if c.JSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	for _, ch := range r.Changes {
		if _, err := fmt.Fprintf(w, "change: %s\n", ch); err != nil {
			return err
		}
	}
	return nil
}

func readDraft(file string, p Parsers) (draft.Draft, error) {
	value, err := os.ReadFile(file)
	if err != nil {
		return draft.Draft{}, err
	}
	d, err := p.Draft(value)
	if err != nil {
		text := result.Message(err)
		if cause := result.Cause(err); cause != err {
			text += ": " + cause.Error()
		}
		return draft.Draft{}, result.New(result.InvalidConfig, "%s%s: %s", file, place(value, err), text)
	}
	return d, nil
}

// place returns the line and column of a decoding error as ":LINE:COLUMN", or "" if the error has none.
func place(value []byte, err error) string {
	offset, ok := decodingOffset(err)
	if !ok {
		return ""
	}
	line, column := 1, 1
	for _, b := range value[:min(int(offset), len(value))] {
		column++
		if b == '\n' {
			line, column = line+1, 1
		}
	}
	return fmt.Sprintf(":%d:%d", line, column)
}

// decodingOffset returns after how many bytes a JSON document could not be decoded.
func decodingOffset(err error) (int64, bool) {
	switch e := result.Cause(err).(type) {
	case *json.SyntaxError:
		return e.Offset, true
	case *json.UnmarshalTypeError:
		return e.Offset, true
	}
	return 0, false
}

func readServers(file string, p Parsers) (map[string]layout.Server, error) {
	value, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var entries map[string]json.RawMessage
	if err := json.Unmarshal(value, &entries); err != nil {
		return nil, result.Wrap(result.InvalidConfig, err, "cannot decode the servers in %s", file)
	}
	servers := make(map[string]layout.Server, len(entries))
	for id, entry := range entries {
		s, err := p.Server(id, entry)
		if err != nil {
			return nil, err
		}
		servers[id] = s
	}
	return servers, nil
}
