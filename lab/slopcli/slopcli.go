// Package slopcli provides the kong subcommand that measures how the cost of a component grows with its size.
package slopcli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"verbenagate/lab/slope"
)

// Cmd holds the arguments of the subcommand. A program embeds it in a kong command, whose Run method calls Measure.
type Cmd struct {
	Name  string `arg:"" optional:"" help:"Name of the measurement; if omitted, the measurements are listed."`
	Sizes []int  `help:"Sizes to measure, for example 9,30,100, instead of the default sizes of the measurement."`
	JSON  bool   `name:"json" help:"Write the report as JSON instead of a table."`
	Quick bool   `help:"Measure only briefly, to test the measurement. The figures are not usable."`
}

// Measure runs the measurement c.Name and writes its report to out. Without a name it lists the measurements.
func (c *Cmd) Measure(ctx context.Context, out io.Writer) error {
	if c.Name == "" {
		return listMeasurements(out)
	}
	if c.Quick {
		ctx = slope.Quick(ctx)
	}
	table := out
	if c.JSON {
		table = io.Discard
	}
	r, err := slope.Run(ctx, c.Name, c.Sizes, table)
	if err != nil || !c.JSON {
		return err
	}
	body, err := r.JSON()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", body)
	return err
}

func listMeasurements(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, m := range slope.All() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\n", m.Name(), m.X(), m.Help(), m.Sizes())
	}
	return w.Flush()
}
