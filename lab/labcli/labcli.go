// Package labcli holds the commands of verbenalab.
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

// grammar describes the command line for kong.
type grammar struct {
	Log string `help:"Level of the VMs' log on standard error." default:"off" enum:"off,debug,info,warn,error"`

	Demo     demoCmd     `cmd:"" help:"Run a deployment in one process, show what it does and check it."`
	Endpoint endpointCmd `cmd:"" help:"Run the stand-in of a database server until SIGTERM. Prints its address on the first line."`
	Platform platformCmd `cmd:"" help:"Run the stand-in of the platform until SIGTERM. Prints its address on the first line."`
	Load     loadCmd     `cmd:"" help:"Send the load of a profile to VMs."`
	Run      runCmd      `cmd:"" help:"Run an experiment and write its result."`
	Report   reportCmd   `cmd:"" help:"Make one HTML page from result files."`
	Slope    slopeCmd    `cmd:"" help:"Measure how the cost of a part grows with its size."`
	Share    shareCmd    `cmd:"" help:"Compare ways to share the slots of a server among VMs."`
	Roam     roamCmd     `cmd:"" help:"Compare ways to know what a session that reconnects must see."`
	Pairs    pairsCmd    `cmd:"" help:"Run an experiment on two builds in turn, several seeds each, and compare the results."`
	Compare  compareCmd  `cmd:"" help:"Compare result files of two versions; exit code 1 on a regression beyond noise."`
}

// App runs commands.
type App struct{ out, err io.Writer }

// New returns an App that writes to out and err.
func New(out, err io.Writer) *App { return &App{out: out, err: err} }

// run is one execution of a command.
type run struct {
	app     *App
	ctx     context.Context // Kong calls commands by reflection with bound values; a context is passed on this way.
	grammar *grammar
}

// Run executes the command in list and returns the exit code: 0 if all went well, 1 if a check failed, 2 for a wrong
// command line.
func (a *App) Run(ctx context.Context, list []string) int {
	return args.Run(func() int { return a.run(ctx, list) })
}

func (a *App) run(ctx context.Context, list []string) int {
	var g grammar
	parser, err := kong.New(&g, kong.Name(Name), kong.Writers(a.out, a.err),
		kong.Description("Stand-ins, load and experiments for verbenagate."),
		args.Exit(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(a.err, err)
		return exitFailed
	}
	kctx, err := parser.Parse(list)
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

// usageError is an error in the command line or a file that it names.
type usageError struct{ error }

// log opens the log of VMs that run in this process.
func (r *run) log() (*logs.Log, error) {
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
	log, err := r.log()
	if err != nil {
		return err
	}
	return demo.Run(r.ctx, r.app.out, log, c.Seed)
}
