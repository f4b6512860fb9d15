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
	Out    string   `help:"File for the result as JSON; if empty, the name is made of the experiment's name and seed." type:"path"`
	Seed   uint64   `help:"Seed that replaces the seed of the file."`
	Stages []string `name:"stage" help:"Run only these stages."`
	Check  bool     `help:"End with exit code 1 if a bound is missed or an audit fails. The failures are printed in any case."`
}

// errCheckFailed is returned after the failures have been printed.
var errCheckFailed = errors.New("bounds missed or audits failed")

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
	log, err := r.openLog()
	if err != nil {
		return err
	}
	startTime := time.Now()
	logf := func(format string, args ...any) {
		fmt.Fprintf(r.app.out, "%6.1f s  %s\n", time.Since(startTime).Seconds(), fmt.Sprintf(format, args...))
	}
	res, err := exper.Run(r.ctx, e, log, logf)
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
	fmt.Fprintf(r.app.out, "result in %s, after %.0f s\n", out, res.Took.Seconds())
	failures := res.Failures()
	for _, f := range failures {
		fmt.Fprintln(r.app.out, f)
	}
	if c.Check && len(failures) > 0 {
		return errCheckFailed
	}
	return nil
}
