// Package opcli holds the commands of verbenagate.
package opcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kong"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"

	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/admin"
	"verbenagate/io/args"
	"verbenagate/io/config"
	"verbenagate/io/revlog"
	"verbenagate/io/strict"
)

// Name is the name of the program.
const Name = "verbenagate"

// Formats of output.
const (
	formatText = "text"
	formatJSON = "json"
)

// grammar describes the command line for kong.
type grammar struct {
	Server  string        `help:"IP:port of the operators' service of any VM." default:"127.0.0.1:7500" env:"VERBENAGATE_SERVER" placeholder:"ADDR"`
	Output  string        `help:"Form of the output: text or json." enum:"text,json" default:"text"`
	Timeout time.Duration `help:"Time limit of a call." default:"30s"`
	Author  string        `help:"Name that the history shows for a change." default:"unknown" env:"VERBENAGATE_AUTHOR,USER"`

	TLSCA   string `name:"tls-ca" help:"Certificate file of the authority of the VMs; turns TLS on." env:"VERBENAGATE_TLS_CA" predictor:"file" placeholder:"FILE"`
	TLSCert string `name:"tls-cert" help:"Certificate file of the operator." env:"VERBENAGATE_TLS_CERT" predictor:"file" placeholder:"FILE"`
	TLSKey  string `name:"tls-key" help:"Key file of the operator." env:"VERBENAGATE_TLS_KEY" predictor:"file" placeholder:"FILE"`
	TLSName string `name:"tls-name" help:"Name in the VM's certificate, its id; without it the certificate must carry the address." env:"VERBENAGATE_TLS_NAME" placeholder:"ID"`

	Serve      serveCmd      `cmd:"" help:"Run a VM until it receives SIGINT or SIGTERM, which start a graceful stop."`
	Config     configCmd     `cmd:"" help:"Check settings files."`
	Service    serviceCmd    `cmd:"" help:"Define and show services."`
	VM         vmCmd         `cmd:"" name:"vm" help:"List and drain VMs."`
	Dump       dumpCmd       `cmd:"" help:"Show the state of the asked VM, as tables or as JSON."`
	Log        logCmd        `cmd:"" help:"Show and change the log of the asked VM."`
	Keys       keysCmd       `cmd:"" help:"Make the keys of a deployment."`
	Version    versionCmd    `cmd:"" help:"Show the version of the program."`
	Completion completionCmd `cmd:"" help:"Write the completion script of a shell."`
}

// App runs commands.
type App struct {
	out   io.Writer
	err   io.Writer
	serve func(context.Context, config.Settings) error
}

// New returns an App that writes to out and err. Serve runs a VM until its context ends.
func New(out, err io.Writer, serve func(context.Context, config.Settings) error) *App {
	return &App{out: out, err: err, serve: serve}
}

func (a *App) parser(g *grammar) (*kong.Kong, error) {
	return kong.New(g, kong.Name(Name), kong.Writers(a.out, a.err),
		kong.Description("Database proxy for PostgreSQL-protocol callers."),
		args.Exit(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
}

// Run executes the command in list and returns the exit code.
func (a *App) Run(ctx context.Context, list []string) int {
	return args.Run(func() int { return a.run(ctx, list) })
}

func (a *App) run(ctx context.Context, list []string) int {
	var g grammar
	parser, err := a.parser(&g)
	if err != nil {
		fmt.Fprintln(a.err, err)
		return exitFailed
	}
	kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*"))) // answers and exits if a shell asks for completions
	kctx, err := parser.Parse(list)
	if err != nil {
		fmt.Fprintf(a.err, "%s: %v\n", Name, err)
		return exitUsage
	}
	r := &run{app: a, ctx: ctx, grammar: &g}
	kctx.Bind(r)
	if err := single(kctx.Run()); err != nil {
		r.report(err)
		return exitCode(err)
	}
	return exitOK
}

// single returns the error inside the list that kong returns, since a list hides the result code.
func single(err error) error {
	if list, ok := err.(interface{ Unwrap() []error }); ok && len(list.Unwrap()) == 1 {
		return list.Unwrap()[0]
	}
	return err
}

// run is one execution of a command.
type run struct {
	app     *App
	ctx     context.Context // Kong calls commands by reflection with bound values; a context is passed on this way.
	grammar *grammar
}

// call connects to the VM and runs f within the time limit.
func (r *run) call(f func(ctx context.Context, c *admin.Client) error) error {
	ctx, cancel := context.WithTimeout(r.ctx, r.grammar.Timeout)
	defer cancel()
	tlsConfig, err := r.grammar.tls()
	if err != nil {
		return err
	}
	c, err := admin.Dial(r.grammar.Server, admin.WithTLS(tlsConfig))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }() // the call has ended
	return f(ctx, c)
}

// show writes v as JSON, or text by calling f.
func (r *run) show(v any, f func(w io.Writer) error) error {
	if r.grammar.Output == formatText {
		return f(r.app.out)
	}
	enc := json.NewEncoder(r.app.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// problemJSON is a problem of a file or definition in JSON output.
type problemJSON struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Path    string `json:"path"`
	Message string `json:"message"`
	Warning bool   `json:"warning,omitempty"`
}

func fileProblems(problems []strict.Problem) []problemJSON {
	out := make([]problemJSON, 0, len(problems))
	for _, p := range problems {
		out = append(out, problemJSON{p.File(), p.Line(), p.Column(), p.Path(), p.Message(), false})
	}
	return out
}

func specProblems(problems []svcdef.Problem) []problemJSON {
	out := make([]problemJSON, 0, len(problems))
	for _, p := range problems {
		out = append(out, problemJSON{Path: p.Path(), Message: p.Message(), Warning: p.Warning()})
	}
	return out
}

// errorJSON is an error in JSON output.
type errorJSON struct {
	Code     uint16        `json:"code"`
	Name     string        `json:"name"`
	Outcome  string        `json:"outcome"`
	Message  string        `json:"message"`
	Current  *uint64       `json:"current_revision,omitempty"`
	Problems []problemJSON `json:"problems,omitempty"`
}

// invalidFile is the error of a file with problems.
type invalidFile struct {
	error
	problems []strict.Problem
}

func (e invalidFile) Unwrap() error { return e.error }

func newInvalidFile(problems []strict.Problem) error {
	return invalidFile{config.Invalid(problems), problems}
}

// report writes err to the error output.
func (r *run) report(err error) {
	code := result.CodeOf(err)
	text := result.Message(err)
	if e, ok := err.(invalidFile); ok {
		text = result.Message(e.error)
	}
	if r.grammar.Output == formatText {
		fmt.Fprintf(r.app.err, "%s: %s (code %d, %s): %s\n", Name, code, code, result.OutcomeOf(err), text)
		return
	}
	e := errorJSON{Code: uint16(code), Name: code.String(), Outcome: result.OutcomeOf(err).String(), Message: text}
	if current, ok := revlog.Current(err); ok {
		e.Current = &current
	}
	e.Problems = specProblems(revlog.Problems(err))
	if f, ok := err.(invalidFile); ok {
		e.Problems = fileProblems(f.problems)
	}
	enc := json.NewEncoder(r.app.err)
	enc.SetIndent("", "  ")
	_ = enc.Encode(e) // nothing is left to report to
}

type serveCmd struct {
	File string `name:"config" help:"Settings file." required:"" predictor:"file" placeholder:"FILE"`
}

// Run starts the VM.
func (c *serveCmd) Run(r *run) error {
	s, err := config.Load(c.File)
	if err != nil {
		return err
	}
	return r.app.serve(r.ctx, s)
}

type configCmd struct {
	Check checkCmd `cmd:"" help:"Check a settings file and list every problem with its line."`
}

type checkCmd struct {
	File string `arg:"" help:"Settings file." predictor:"file"`
}

// Run checks the file.
func (c *checkCmd) Run(r *run) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	if _, problems := config.Check(c.File, data); len(problems) > 0 {
		return newInvalidFile(problems)
	}
	return r.show(map[string]any{"file": c.File, "valid": true}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s: valid\n", c.File)
		return err
	})
}

type versionCmd struct{}

// Run shows the version.
func (c *versionCmd) Run(r *run) error {
	version, goVersion := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	return r.show(map[string]string{"name": Name, "version": version, "go": goVersion}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s %s (%s)\n", Name, version, goVersion)
		return err
	})
}

type completionCmd struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"Shell: bash, zsh or fish."`
}

// scripts ask the program itself for completions. They are printed instead of installed, since finding the login shell
// would start another process.
var scripts = map[string]string{
	"bash": "complete -C " + Name + " " + Name + "\n",
	"zsh":  "autoload -U +X bashcompinit && bashcompinit\ncomplete -C " + Name + " " + Name + "\n",
	"fish": "complete -f -c " + Name + " -a '(env COMP_LINE=(commandline -cp) " + Name + ")'\n",
}

// Run writes the script.
func (c *completionCmd) Run(r *run) error {
	_, err := io.WriteString(r.app.out, scripts[c.Shell])
	return err
}
