// Package labcli implements the commands of verbenalab.
package labcli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"verbenagate/io/args"
	"verbenagate/io/logs"
	"verbenagate/lab/demo"
)

// Name is the name of the program.
const Name = "verbenalab"

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// grammar is the command line of verbenalab for kong.
type grammar struct {
	Log string `help:"Level of the VMs' log on standard error." default:"off" enum:"off,debug,info,warn,error"`

	Demo     demoCmd     `cmd:"" help:"Run a deployment in one process, show what it does and check it."`
	Endpoint endpointCmd `cmd:"" help:"Run the stand-in of a database server until SIGTERM. Prints its address on the first line."`
	Platform platformCmd `cmd:"" help:"Run the stand-in of the platform until SIGTERM. Prints its address on the first line."`
	Load     loadCmd     `cmd:"" help:"Send the load of a profile to VMs."`
	Run      runCmd      `cmd:"" help:"Run an experiment and write its result."`
	Report   reportCmd   `cmd:"" help:"Make one HTML page from result files."`
	Slope    slopeCmd    `cmd:"" help:"Measure how the cost of a component grows with its size."`
	Share    shareCmd    `cmd:"" help:"Compare strategies to share the slots of a server among VMs."`
	Roam     roamCmd     `cmd:"" help:"Compare strategies to determine what a reconnecting session must see."`
	Pairs    pairsCmd    `cmd:"" help:"Run an experiment alternately on two builds with several seeds and compare the results."`
	Compare  compareCmd  `cmd:"" help:"Compare result files of two versions; exit code 1 on a regression beyond noise."`
}

// App runs the commands of verbenalab.
type App struct{ out, err io.Writer }

// New returns an App that writes results to out, and errors, progress and logs to err.
func New(out, err io.Writer) *App { return &App{out: out, err: err} }

// run is one execution of a command.
type run struct {
	app     *App
	ctx     context.Context // in a struct because kong calls Run methods by reflection with bound values
	grammar *grammar
}

// Run executes the command line argv, without the program name, and returns the exit code: 0 on success, 1 if the command or a
// check failed, 2 for an error in the command line or in a file that it names.
func (a *App) Run(ctx context.Context, argv []string) int {
	return args.Run(func() int { return a.run(ctx, argv) })
}

func (a *App) run(ctx context.Context, argv []string) int {
	var g grammar
	parser, err := kong.New(&g, kong.Name(Name), kong.Writers(a.out, a.err),
		kong.Description("Stand-ins, load and experiments for verbenagate."),
		args.Exit(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(a.err, err)
		return exitFailed
	}
	kctx, err := parser.Parse(argv)
	if err != nil {
		fmt.Fprintf(a.err, "%s: %v\n", Name, err)
		return exitUsage
	}
	if err := kctx.Run(&run{app: a, ctx: ctx, grammar: &g}); err != nil {
		fmt.Fprintf(a.err, "%s: %v\n", Name, err)
		var u usageError
		if errors.As(err, &u) {
			return exitUsage
		}
		return exitFailed
	}
	return exitOK
}

// usageError is an error in the command line or in a file that it names. It leads to exit code 2.
type usageError struct{ error }

// openLog returns the log for VMs that run in this process.
func (r *run) openLog() (*logs.Log, error) {
	level, out := r.grammar.Log, r.app.err
	if level == "off" {
		level, out = "error", io.Discard
	}
	return logs.New(out, "console", level)
}

type demoCmd struct {
	Seed uint64 `help:"Seed of the load." default:"1"`
}

// Run implements the command.
func (c *demoCmd) Run(r *run) error {
	log, err := r.openLog()
	if err != nil {
		return err
	}
	return demo.Run(r.ctx, r.app.out, log, c.Seed)
}
