// Package slopcli is the subcommand that measures slopes, for a kong grammar.
package slopcli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"verbenagate/lab/slope"
)

// Cmd holds the arguments of the subcommand. A command of the program embeds it and calls Measure.
type Cmd struct {
	Name  string `arg:"" optional:"" help:"Measurement; without it the measurements are listed."`
	Sizes []int  `help:"Sizes to measure at, as in 9,30,100, instead of those of the measurement."`
	JSON  bool   `name:"json" help:"Write the report as JSON instead of a table."`
	Quick bool   `help:"Measure so briefly that it only shows that the measurement works."`
}

// Measure runs the measurement and writes its report to out.
func (c *Cmd) Measure(ctx context.Context, out io.Writer) error {
	if c.Name == "" {
		return list(out)
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

func list(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, m := range slope.All() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\n", m.Name(), m.X(), m.Help(), m.Sizes())
	}
	return w.Flush()
}
