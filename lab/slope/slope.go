// Package slope measures how the cost of each part of a VM grows with its load, and fits a line to the results. The
// projection in docs/CAPACITY.md is calculated from these lines.
package slope

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"verbenagate/core/result"
)

// Value is the result for one quantity at one size.
type Value struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Measurement measures several quantities as a function of one size, such as the number of VMs. Each run measures all
// quantities at one size.
type Measurement struct {
	name  string
	x     string
	help  string
	sizes []int
	tiny  int
	run   func(ctx context.Context, size int) ([]Value, error)
}

// Name returns the name under which Run finds the measurement.
func (m Measurement) Name() string { return m.name }

// X returns what the size counts, such as "VMs".
func (m Measurement) X() string { return m.x }

// Help returns a description of what is measured, in one line.
func (m Measurement) Help() string { return m.help }

// Sizes returns the sizes that are measured by default.
func (m Measurement) Sizes() []int { return slices.Clone(m.sizes) }

// Tiny returns a size for a quick check that the measurement works, which takes a few seconds at most.
func (m Measurement) Tiny() int { return m.tiny }

// All returns the measurements in the order of docs/CAPACITY.md.
func All() []Measurement {
	return []Measurement{
		idlePlain, idleTLS, vmPlain, vmTLS, statements, writes, tlsReads, tlsWrites, acksLakeshore, acksPlankammer, membersLocal,
		membersFar, links, nodes, processes, target, targetSmall, watchGroups, watchPolls, changes, changesSlow, changesDown, startLog, unused,
		barriers, failover, tick, queue, choose,
	}
}

// Find returns the measurement of this name.
func Find(name string) (Measurement, error) {
	var names []string
	for _, m := range All() {
		if m.name == name {
			return m, nil
		}
		names = append(names, m.name)
	}
	return Measurement{}, result.New(result.NotFound, "measurement %q does not exist; available: %s", name,
		strings.Join(names, ", "))
}

// Run measures at each size, writes a table with the fitted lines to out, and returns the report. If sizes is empty, it
// uses the default sizes of the measurement.
func Run(ctx context.Context, name string, sizes []int, out io.Writer) (Report, error) {
	m, err := Find(name)
	if err != nil {
		return Report{}, err
	}
	if len(sizes) == 0 {
		sizes = m.sizes
	}
	r := Report{Name: m.name, X: m.x, Help: m.help, Machine: describeMachine(), Command: command(m.name, sizes)}
	for _, n := range sizes {
		if n < 1 {
			return r, result.New(result.InvalidConfig, "size %d is not positive", n)
		}
		values, err := m.run(ctx, n)
		if err != nil {
			return r, fmt.Errorf("measure %s at %d: %w", name, n, err)
		}
		r.Rows = append(r.Rows, Row{Size: n, Load: loadAverage(), Values: values})
	}
	r.fit()
	return r, r.write(out)
}
