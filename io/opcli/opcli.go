// Package opcli implements the command line of verbenagate.
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

// Values of --output.
const (
	formatText = "text"
	formatJSON = "json"
)

// grammar declares the commands and flags for the parser kong.
type grammar struct {
	Server  string        `help:"IP:port of the operators' service of any VM." default:"127.0.0.1:7500" env:"VERBENAGATE_SERVER" placeholder:"ADDR"`
	Output  string        `help:"Output format: text or json." enum:"text,json" default:"text"`
	Timeout time.Duration `help:"Time limit of a call." default:"30s"`
	Author  string        `help:"Author of a change, as shown in the history." default:"unknown" env:"VERBENAGATE_AUTHOR,USER"`

	TLSCA   string `name:"tls-ca" help:"Certificate file of the authority that signed the VMs' certificates; enables TLS." env:"VERBENAGATE_TLS_CA" predictor:"file" placeholder:"FILE"`
	TLSCert string `name:"tls-cert" help:"Certificate file of the operator." env:"VERBENAGATE_TLS_CERT" predictor:"file" placeholder:"FILE"`
	TLSKey  string `name:"tls-key" help:"Key file of the operator." env:"VERBENAGATE_TLS_KEY" predictor:"file" placeholder:"FILE"`
	TLSName string `name:"tls-name" help:"Id of the VM, expected as a name in its certificate; without it the certificate must contain the address." env:"VERBENAGATE_TLS_NAME" placeholder:"ID"`

	Serve      serveCmd      `cmd:"" help:"Run a VM until it receives SIGINT or SIGTERM, which start a graceful stop."`
	Config     configCmd     `cmd:"" help:"Check settings files."`
	Service    serviceCmd    `cmd:"" help:"Define and show services."`
	VM         vmCmd         `cmd:"" name:"vm" help:"List and drain VMs."`
	Dump       dumpCmd       `cmd:"" help:"Show the state of the VM at --server, as tables or as JSON."`
	Log        logCmd        `cmd:"" help:"Show and change the log levels of the VM at --server."`
	Keys       keysCmd       `cmd:"" help:"Create the keys and certificates of a deployment."`
	Version    versionCmd    `cmd:"" help:"Show the version of the program."`
	Completion completionCmd `cmd:"" help:"Write the completion script of a shell."`
}

// App runs the commands of the program.
type App struct {
	out    io.Writer
	errOut io.Writer
	serve  func(context.Context, config.Settings) error
}

// New returns an App that writes results to out and errors to errOut. The serve command calls serve, which must run a VM
// until its context ends.
func New(out, errOut io.Writer, serve func(context.Context, config.Settings) error) *App {
	return &App{out: out, errOut: errOut, serve: serve}
}

func (a *App) parser(g *grammar) (*kong.Kong, error) {
	return kong.New(g, kong.Name(Name), kong.Writers(a.out, a.errOut),
		kong.Description("Database proxy for PostgreSQL-protocol callers."),
		args.Exit(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
}

// Run executes the command in list and returns the exit code.
func (a *App) Run(ctx context.Context, arguments []string) int {
	return args.Run(func() int { return a.runCommand(ctx, arguments) })
}

func (a *App) runCommand(ctx context.Context, arguments []string) int {
	var g grammar
	parser, err := a.parser(&g)
	if err != nil {
		fmt.Fprintln(a.errOut, err)
		return exitFailed
	}
	kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*"))) // prints completions and exits if a shell asks for them
	kctx, err := parser.Parse(arguments)
	if err != nil {
		fmt.Fprintf(a.errOut, "%s: %v\n", Name, err)
		return exitUsage
	}
	r := &execution{app: a, ctx: ctx, grammar: &g}
	kctx.Bind(r)
	if err := unwrapSingle(kctx.Run()); err != nil {
		r.writeError(err)
		return exitCode(err)
	}
	return exitOK
}

// unwrapSingle returns the only element of a joined error, as kong returns it, because the joined error hides the result
// code. It returns any other error unchanged.
func unwrapSingle(err error) error {
	if list, ok := err.(interface{ Unwrap() []error }); ok && len(list.Unwrap()) == 1 {
		return list.Unwrap()[0]
	}
	return err
}

// execution is one run of a command. kong passes it to the command's Run method.
type execution struct {
	app     *App
	ctx     context.Context // kong calls Run by reflection with bound values, so the context is a field of one
	grammar *grammar
}

// callVM connects to the VM at --server and runs f with the time limit of --timeout.
func (r *execution) callVM(f func(ctx context.Context, c *admin.Client) error) error {
	ctx, cancel := context.WithTimeout(r.ctx, r.grammar.Timeout)
	defer cancel()
	tlsConfig, err := r.grammar.tlsConfig()
	if err != nil {
		return err
	}
	c, err := admin.Dial(r.grammar.Server, admin.WithTLS(tlsConfig))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }() // the call has its result already
	return f(ctx, c)
}

// writeResult writes the result of a command: v if the output format is JSON, otherwise text by calling writeText.
func (r *execution) writeResult(v any, writeText func(w io.Writer) error) error {
	if r.grammar.Output == formatText {
		return writeText(r.app.out)
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

func fileProblemsJSON(problems []strict.Problem) []problemJSON {
	out := make([]problemJSON, 0, len(problems))
	for _, p := range problems {
		out = append(out, problemJSON{p.File(), p.Line(), p.Column(), p.Path(), p.Message(), false})
	}
	return out
}

func specProblemsJSON(problems []svcdef.Problem) []problemJSON {
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

// invalidFileError lists the problems of a file that is not valid.
type invalidFileError struct {
	error
	problems []strict.Problem
}

func (e invalidFileError) Unwrap() error { return e.error }

func newInvalidFileError(problems []strict.Problem) error {
	return invalidFileError{config.InvalidError(problems), problems}
}

// writeError writes err to the error output in the format of --output.
func (r *execution) writeError(err error) {
	code := result.CodeOf(err)
	text := result.Message(err)
	if e, ok := err.(invalidFileError); ok {
		text = result.Message(e.error)
	}
	if r.grammar.Output == formatText {
		fmt.Fprintf(r.app.errOut, "%s: %s (code %d, %s): %s\n", Name, code, code, result.OutcomeOf(err), text)
		return
	}
	e := errorJSON{Code: uint16(code), Name: code.String(), Outcome: result.OutcomeOf(err).String(), Message: text}
	if current, ok := revlog.CurrentRevision(err); ok {
		e.Current = &current
	}
	e.Problems = specProblemsJSON(revlog.Problems(err))
	if f, ok := err.(invalidFileError); ok {
		e.Problems = fileProblemsJSON(f.problems)
	}
	enc := json.NewEncoder(r.app.errOut)
	enc.SetIndent("", "  ")
	_ = enc.Encode(e) // a failure to write an error cannot be reported
}

type serveCmd struct {
	File string `name:"config" help:"Settings file." required:"" predictor:"file" placeholder:"FILE"`
}

// Run loads the settings and runs a VM with them.
func (c *serveCmd) Run(r *execution) error {
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
func (c *checkCmd) Run(r *execution) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	if _, problems := config.Check(c.File, data); len(problems) > 0 {
		return newInvalidFileError(problems)
	}
	return r.writeResult(map[string]any{"file": c.File, "valid": true}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s: valid\n", c.File)
		return err
	})
}

type versionCmd struct{}

// Run shows the version.
func (c *versionCmd) Run(r *execution) error {
	version, goVersion := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	return r.writeResult(map[string]string{"name": Name, "version": version, "go": goVersion}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s %s (%s)\n", Name, version, goVersion)
		return err
	})
}

type completionCmd struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"Shell: bash, zsh or fish."`
}

// completionScripts holds a script for each shell, by which the shell calls this program for completions. The command
// prints it instead of installing it, because finding out the login shell would start another process.
var completionScripts = map[string]string{
	"bash": "complete -C " + Name + " " + Name + "\n",
	"zsh":  "autoload -U +X bashcompinit && bashcompinit\ncomplete -C " + Name + " " + Name + "\n",
	"fish": "complete -f -c " + Name + " -a '(env COMP_LINE=(commandline -cp) " + Name + ")'\n",
}

// Run writes the script.
func (c *completionCmd) Run(r *execution) error {
	_, err := io.WriteString(r.app.out, completionScripts[c.Shell])
	return err
}
