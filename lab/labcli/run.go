package labcli

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"verbenagate/lab/exper"
)

type runCmd struct {
	File   string   `arg:"" help:"YAML file with the experiment." type:"path"`
	Out    string   `help:"File for the result as JSON; the experiment's name and seed if empty." type:"path"`
	Seed   uint64   `help:"Seed in place of the file's."`
	Stages []string `name:"stage" help:"Run these stages alone."`
	Check  bool     `help:"End with exit code 1 if a bound is missed or an audit fails, and name each."`
}

// errMissed says that the failures were printed already.
var errMissed = errors.New("bounds missed or audits failed")

// Run implements the command.
func (c *runCmd) Run(r *run) error {
	e, err := exper.Load(c.File)
	if err != nil {
		return usageError{err}
	}
	if c.Seed != 0 {
		e.Seed = c.Seed
	}
	if len(c.Stages) > 0 {
		if e, err = e.Only(c.Stages); err != nil {
			return usageError{err}
		}
	}
	log, err := r.log()
	if err != nil {
		return err
	}
	begun := time.Now()
	say := func(format string, args ...any) {
		fmt.Fprintf(r.app.out, "%6.1f s  %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, args...))
	}
	res, err := exper.Run(r.ctx, e, log, say)
	if err != nil {
		return err
	}
	out := c.Out
	if out == "" {
		out = fmt.Sprintf("%s-%d.json", strings.ReplaceAll(res.Name, " ", "-"), res.Seed)
	}
	if err := res.Write(out); err != nil {
		return err
	}
	fmt.Fprintf(r.app.out, "result in %s, %.0f s\n", out, res.Took.Seconds())
	failures := res.Failures()
	for _, f := range failures {
		fmt.Fprintln(r.app.out, f)
	}
	if c.Check && len(failures) > 0 {
		return errMissed
	}
	return nil
}
