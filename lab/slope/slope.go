// Package slope measures how the cost of each part of a VM grows with its load, and fits a line to it. The projection
// in docs/CAPACITY.md is worked out from these lines.
package slope

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"verbenagate/core/result"
)

// Value is one quantity that was measured at one size.
type Value struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Measurement measures several quantities at one size at a time.
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

// X says what the size counts.
func (m Measurement) X() string { return m.x }

// Help says in one line what is measured.
func (m Measurement) Help() string { return m.help }

// Sizes returns the sizes that are measured by default.
func (m Measurement) Sizes() []int { return slices.Clone(m.sizes) }

// Tiny returns a size that takes a few seconds at most, to see that the measurement works.
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
	return Measurement{}, result.New(result.NotFound, "measurement %q does not exist; there are %s", name,
		strings.Join(names, ", "))
}

// Run measures at each size, writes a table with the fitted lines to out, and returns the report. Without sizes it uses
// those of the measurement.
func Run(ctx context.Context, name string, sizes []int, out io.Writer) (Report, error) {
	m, err := Find(name)
	if err != nil {
		return Report{}, err
	}
	if len(sizes) == 0 {
		sizes = m.sizes
	}
	r := Report{Name: m.name, X: m.x, Help: m.help, Machine: machine(), Command: command(m.name, sizes)}
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
