package labcli

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"verbenagate/lab/exper"
	"verbenagate/lab/report"
)

// interruptTimeout is how long a run may take to end after an interrupt signal before it is killed.
const interruptTimeout = 10 * time.Second

type pairsCmd struct {
	File  string `arg:"" help:"YAML file with the experiment." type:"path"`
	Old   string `help:"Program verbenalab of the old build." required:"" type:"path"`
	New   string `help:"Program verbenalab of the new build." required:"" type:"path"`
	Count int    `help:"Pairs of runs, each with a seed of its own." default:"5"`
	Seed  uint64 `help:"Seed of the first pair; the others get the following seeds. 0 uses the seed of the file."`
	Out   string `help:"Directory for the results; they are written to its subdirectories old and new." default:"pairs" type:"path"`
	HTML  string `name:"html" help:"File for a page with the comparison and all runs." type:"path"`
}

// Help returns the rule by which results are compared.
func (c *pairsCmd) Help() string { return report.Rule }

// Run implements the command.
func (c *pairsCmd) Run(r *run) error {
	e, err := exper.Load(c.File)
	if err != nil {
		return usageError{err}
	}
	if c.Count < 1 {
		return usageError{fmt.Errorf("--count must be at least 1, not %d", c.Count)}
	}
	seed := c.Seed
	if seed == 0 {
		seed = e.Seed
	}
	dirs := [2]string{filepath.Join(c.Out, "old"), filepath.Join(c.Out, "new")}
	for _, d := range dirs {
		// Results of an earlier call would be compared as well.
		if existing, _ := filepath.Glob(filepath.Join(d, "*.json")); len(existing) > 0 {
			return usageError{fmt.Errorf("directory %s already contains result files", d)}
		}
		if err := os.MkdirAll(d, 0o755); err != nil {
			return err
		}
	}
	for i := range c.Count {
		// Every second pair begins with the new build, so that a machine that becomes busier over time favours neither.
		for k := range dirs {
			build := (i + k) % 2
			if err := c.runBuild(r, build, dirs[build], seed+uint64(i)); err != nil {
				return err
			}
		}
	}
	return compareResults(r, dirs[0], dirs[1], c.HTML)
}

// runBuild runs the experiment on the old (0) or new (1) build.
func (c *pairsCmd) runBuild(r *run, build int, dir string, seed uint64) error {
	program := [2]string{c.Old, c.New}[build]
	n := strconv.FormatUint(seed, 10)
	cmd := exec.CommandContext(r.ctx, program, "run", c.File, "--seed", n, "--out", filepath.Join(dir, n+".json"))
	cmd.Cancel = func() error { return cmd.Process.Signal(os.Interrupt) }
	cmd.WaitDelay = interruptTimeout
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	startTime := time.Now()
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("run %s with seed %d: %w\n%s", program, seed, err, out.Bytes())
	}
	fmt.Fprintf(r.app.out, "%s build, seed %d: %.0f s\n", [2]string{"old", "new"}[build], seed, time.Since(startTime).Seconds())
	return nil
}
