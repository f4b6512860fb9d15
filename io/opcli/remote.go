package opcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/admin"
	"verbenagate/io/node"
)

type serviceCmd struct {
	Apply   applyCmd   `cmd:"" help:"Create or replace the services in a file, one revision each."`
	Get     getCmd     `cmd:"" help:"Show a service, with secrets masked. The output can be applied again."`
	List    listCmd    `cmd:"" help:"List the services."`
	History historyCmd `cmd:"" help:"List the latest revisions."`
	Remove  removeCmd  `cmd:"" help:"Remove a service."`
}

type applyCmd struct {
	File    string  `short:"f" help:"File with definitions of services." required:"" predictor:"file" placeholder:"FILE"`
	BasedOn *uint64 `help:"Revision that the change is based on; without it the current one is looked up first." placeholder:"N"`
}

// revisionJSON is a revision in JSON output.
type revisionJSON struct {
	Number  uint64          `json:"number"`
	Service string          `json:"service"`
	Removal bool            `json:"removal"`
	Author  string          `json:"author"`
	Time    time.Time       `json:"time"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

func newRevisionJSON(r svcdef.Revision) (revisionJSON, error) {
	v := revisionJSON{
		Number: r.Number(), Service: r.ServiceName(), Removal: r.Removal(), Author: r.Author(), Time: r.Time(),
	}
	s, ok := r.Service()
	if !ok {
		return v, nil
	}
	var err error
	v.Spec, err = specJSON(s.Spec())
	return v, err
}

// specJSON encodes a definition as JSON with masked secrets. Keys and durations are written as in a file of definitions.
func specJSON(spec svcdef.Spec) (json.RawMessage, error) {
	text, err := yaml.Marshal(spec.Masked())
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "encode service %q: %v", spec.Name, err)
	}
	data, err := yaml.YAMLToJSON(text)
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "encode service %q: %v", spec.Name, err)
	}
	return data, nil
}

// Run checks the whole file and then applies the services one after the other.
func (c *applyCmd) Run(r *execution) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	specs, problems, warnings := ParseServices(c.File, data)
	if len(problems) > 0 {
		return newInvalidFileError(problems)
	}
	if r.grammar.Output == formatText {
		for _, w := range warnings {
			fmt.Fprintf(r.app.errOut, "warning: %s\n", w)
		}
	}
	revs := make([]revisionJSON, 0, len(specs))
	callErr := r.callVM(func(ctx context.Context, client *admin.Client) error {
		baseRevision, err := c.baseRevision(ctx, client)
		if err != nil {
			return err
		}
		for _, spec := range specs {
			rev, _, err := client.Apply(ctx, spec, baseRevision, r.grammar.Author)
			if err != nil {
				return err
			}
			baseRevision = rev.Number()
			v, err := newRevisionJSON(rev)
			if err != nil {
				return err
			}
			revs = append(revs, v)
		}
		return nil
	})
	// Revisions that were accepted before an error are shown as well.
	err = r.writeResult(map[string]any{"revisions": revs, "warnings": fileProblemsJSON(warnings)}, func(w io.Writer) error {
		for _, v := range revs {
			fmt.Fprintf(w, "service %s: revision %d\n", v.Service, v.Number)
		}
		return nil
	})
	if callErr != nil {
		return callErr
	}
	return err
}

func (c *applyCmd) baseRevision(ctx context.Context, client *admin.Client) (uint64, error) {
	if c.BasedOn != nil {
		return *c.BasedOn, nil
	}
	_, current, err := client.List(ctx)
	return current, err
}

type getCmd struct {
	Name string `arg:"" help:"Name of the service."`
}

// Run shows the service.
func (c *getCmd) Run(r *execution) error {
	return r.callVM(func(ctx context.Context, client *admin.Client) error {
		s, current, err := client.Get(ctx, c.Name)
		if err != nil {
			return err
		}
		spec, err := specJSON(s.Spec)
		if err != nil {
			return err
		}
		v := map[string]any{"revision": s.Revision, "current_revision": current, "spec": spec}
		return r.writeResult(v, func(w io.Writer) error {
			text, err := formatServices(s.Spec)
			if err != nil {
				return result.Wrap(result.Internal, err, "encode service %q: %v", c.Name, err)
			}
			_, err = fmt.Fprintf(w, "# defined by revision %d; the current revision is %d\n%s", s.Revision, current, text)
			return err
		})
	})
}

type listCmd struct{}

// Run lists the services.
func (c *listCmd) Run(r *execution) error {
	return r.callVM(func(ctx context.Context, client *admin.Client) error {
		states, current, err := client.List(ctx)
		if err != nil {
			return err
		}
		services := make([]map[string]any, 0, len(states))
		for _, s := range states {
			spec, err := specJSON(s.Spec)
			if err != nil {
				return err
			}
			services = append(services, map[string]any{"revision": s.Revision, "spec": spec})
		}
		v := map[string]any{"current_revision": current, "services": services}
		return r.writeResult(v, func(w io.Writer) error {
			rows := [][]any{{"NAME", "REVISION", "SERVERS", "CALLERS", "ACK"}}
			for _, s := range states {
				rows = append(rows, []any{s.Spec.Name, s.Revision, len(s.Spec.Servers), len(s.Spec.Callers), s.Spec.Ack})
			}
			return writeTable(w, rows)
		})
	})
}

type historyCmd struct {
	Name string `arg:"" optional:"" help:"Name of a service; without it the revisions of all are listed."`
}

// Run lists the revisions.
func (c *historyCmd) Run(r *execution) error {
	return r.callVM(func(ctx context.Context, client *admin.Client) error {
		revs, err := client.History(ctx, c.Name)
		if err != nil {
			return err
		}
		all := make([]revisionJSON, 0, len(revs))
		rows := [][]any{{"REVISION", "SERVICE", "CHANGE", "AUTHOR", "TIME"}}
		for _, rev := range revs {
			v, err := newRevisionJSON(rev)
			if err != nil {
				return err
			}
			all = append(all, v)
			change := "definition"
			if rev.Removal() {
				change = "removal"
			}
			rows = append(rows, []any{v.Number, v.Service, change, v.Author, v.Time.Format(time.RFC3339)})
		}
		return r.writeResult(all, func(w io.Writer) error { return writeTable(w, rows) })
	})
}

type removeCmd struct {
	Name    string  `arg:"" help:"Name of the service."`
	BasedOn *uint64 `help:"Revision that the change is based on; without it the current one is looked up first." placeholder:"N"`
}

// Run removes the service.
func (c *removeCmd) Run(r *execution) error {
	return r.callVM(func(ctx context.Context, client *admin.Client) error {
		baseRevision, err := (&applyCmd{BasedOn: c.BasedOn}).baseRevision(ctx, client)
		if err != nil {
			return err
		}
		rev, err := client.Remove(ctx, c.Name, baseRevision, r.grammar.Author)
		if err != nil {
			return err
		}
		v, err := newRevisionJSON(rev)
		if err != nil {
			return err
		}
		return r.writeResult(v, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "service %s removed: revision %d\n", v.Service, v.Number)
			return err
		})
	})
}

type vmCmd struct {
	List  vmListCmd  `cmd:"" help:"List the VMs known to the VM at --server."`
	Drain vmDrainCmd `cmd:"" help:"Start the graceful stop of a VM."`
}

type vmListCmd struct{}

// Run lists the VMs.
func (c *vmListCmd) Run(r *execution) error {
	return r.callVM(func(ctx context.Context, client *admin.Client) error {
		vms, err := client.VMs(ctx)
		if err != nil {
			return err
		}
		return r.writeResult(vms, func(w io.Writer) error {
			rows := [][]any{{"ID", "DATA CENTRE", "STATE", "REVISION", "PEER ADDRESS", ""}}
			for _, v := range vms {
				self := ""
				if v.Self {
					self = "asked"
				}
				rows = append(rows, []any{v.ID, v.DataCentre, v.State, v.Revision, v.PeerAddress, self})
			}
			return writeTable(w, rows)
		})
	})
}

type vmDrainCmd struct {
	ID string `arg:"" help:"Id of the VM."`
}

// Run starts the graceful stop.
func (c *vmDrainCmd) Run(r *execution) error {
	return r.callVM(func(ctx context.Context, client *admin.Client) error {
		if err := client.Drain(ctx, c.ID); err != nil {
			return err
		}
		return r.writeResult(map[string]string{"vm": c.ID, "state": "leaving"}, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "VM %s is leaving\n", c.ID)
			return err
		})
	})
}

type dumpCmd struct{}

// Run shows the state of the VM.
func (c *dumpCmd) Run(r *execution) error {
	return r.callVM(func(ctx context.Context, client *admin.Client) error {
		d, err := client.Dump(ctx)
		if err != nil {
			return err
		}
		return r.writeResult(json.RawMessage(d.State), func(w io.Writer) error {
			var state node.State
			if err := json.Unmarshal(d.State, &state); err != nil {
				return result.Wrap(result.Internal, err, "decode the state of VM %s: %v", d.VM, err)
			}
			return state.WriteTable(w)
		})
	})
}

type logCmd struct {
	Level logLevelCmd `cmd:"" help:"Show the default log level of the VM at --server and the levels of its log layers, or change one of them until the VM stops."`
}

type logLevelCmd struct {
	Level string `arg:"" optional:"" help:"New level: debug, info, warn or error; for a layer also default or off. Without it nothing is changed."`
	Layer string `help:"Layer to change; without it the default level is changed." placeholder:"LAYER"`
}

// Run changes the level if one is given, and shows the levels.
func (c *logLevelCmd) Run(r *execution) error {
	return r.callVM(func(ctx context.Context, client *admin.Client) error {
		if c.Level != "" {
			if err := client.SetLogLevel(ctx, c.Layer, c.Level); err != nil {
				return err
			}
		}
		level, layers, err := client.LogLevels(ctx)
		if err != nil {
			return err
		}
		return r.writeResult(map[string]any{"level": level, "layers": layers}, func(w io.Writer) error {
			rows := [][]any{{"LAYER", "LEVEL"}, {"(all)", level}}
			for _, name := range slices.Sorted(maps.Keys(layers)) {
				rows = append(rows, []any{name, layers[name]})
			}
			return writeTable(w, rows)
		})
	})
}

// writeTable writes rows as a table with aligned columns.
func writeTable(w io.Writer, rows [][]any) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		cells := make([]string, 0, len(row))
		for _, c := range row {
			cells = append(cells, fmt.Sprint(c))
		}
		fmt.Fprintln(tw, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
	}
	return tw.Flush()
}
