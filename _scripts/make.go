// Command make runs the development tasks of verbenagate: go run _scripts/make.go TASK.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"verbenagate/lab/suite"
)

// tools are the formatter and the linter with their pinned versions. The task "tools" installs them through the module proxy.
var tools = []string{
	"mvdan.cc/gofumpt@v0.12.0",
	"github.com/mgechev/revive@v1.9.0",
}

// generators are the code generators with their pinned versions. They are needed only to regenerate committed code.
var generators = []string{
	"goa.design/goa/v3/cmd/goa@v3.25.3",
	"google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12",
	"google.golang.org/grpc/cmd/protoc-gen-go-grpc@v1.6.2",
}

// knownRedFile lists the tests whose failure does not fail the task "test".
const knownRedFile = "KNOWN-RED.txt"

// alone are the packages that measure what a process uses, and are tested while nothing else runs.
var alone = []string{"verbenagate/lab/flood"}

// testTimeout limits the tests of one package, so that a hanging test is reported before CI itself times out. The simulations of core/quota
// take minutes with the race detector on a busy machine.
const testTimeout = "10m"

// fuzzRuns is the number of runs of each fuzz target. With a limit in seconds, go test sometimes fails because the time ends
// during a run.
const fuzzRuns = "20000x"

type task struct {
	name string
	help string
	run  func(ctx context.Context, args []string) error
}

func tasks() []task {
	return []task{
		{"tools", "install the formatter and the linter", withoutArgs(func() error { return install(tools) })},
		{"generators", "install the code generators", withoutArgs(func() error { return install(generators) })},
		{"format", "fail if a file is not formatted", withoutArgs(checkFormat)},
		{"lint", "run go vet and revive", withoutArgs(lint)},
		{"test", "run all tests with the race detector; those of " + knownRedFile + " run without it, and their failures are only printed", testTask("-race")},
		{"quick", "run all tests without the race detector", testTask()},
		{"race", "run all tests with the race detector, also those of " + knownRedFile, withoutArgs(func() error {
			return run("go", "test", "-race", "-count=1", "./...")
		})},
		{"soak", "run randomised tests with consecutive seeds: [-seed N] [-minutes M] [-race]", soak},
		{"steady", "run tests repeatedly, every second run under CPU load: [-runs N] [-- ARGUMENTS of go test]", steady},
		{"fuzz", "run each fuzz target for a fixed number of inputs", withoutArgs(fuzz)},
		{"generate", "write generated code and documents", withoutArgs(generate)},
		{"current", "fail if generated code is out of date; skipped if a generator is not installed", withoutArgs(checkGenerated)},
	}
}

// withoutArgs returns a task function that calls run and refuses arguments.
func withoutArgs(run func() error) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return fmt.Errorf("unexpected argument %q", args[0])
		}
		return run()
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if len(os.Args) >= 2 {
		for _, t := range tasks() {
			if t.name == os.Args[1] {
				if err := t.run(ctx, os.Args[2:]); err != nil {
					fmt.Fprintf(os.Stderr, "make %s: %v\n", t.name, err)
					os.Exit(1)
				}
				return
			}
		}
	}
	fmt.Fprintln(os.Stderr, "usage: go run _scripts/make.go TASK")
	for _, t := range tasks() {
		fmt.Fprintf(os.Stderr, "  %-11s %s\n", t.name, t.help)
	}
	os.Exit(2)
}

// testTask returns a task function that runs all tests. decidingFlags are passed to go test only for the tests that are not
// listed in knownRedFile.
func testTask(decidingFlags ...string) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return fmt.Errorf("unexpected argument %q", args[0])
		}
		return suite.Run(ctx, suite.Options{
			Dir: ".", List: knownRedFile, Args: []string{"-count=1", "-timeout", testTimeout}, Deciding: decidingFlags, Alone: alone,
			Out: os.Stdout,
		})
	}
}

func soak(ctx context.Context, args []string) error {
	now := time.Now()
	fs := flag.NewFlagSet("soak", flag.ExitOnError)
	seed := fs.Uint64("seed", uint64(now.Unix()), "first seed")
	minutes := fs.Float64("minutes", 5, "time in minutes after which no further seed is started")
	race := fs.Bool("race", false, "use the race detector")
	if err := fs.Parse(args); err != nil {
		return err
	}
	var flags []string
	if *race {
		flags = append(flags, "-race")
	}
	length := time.Duration(*minutes * float64(time.Minute))
	return suite.Soak(ctx, suite.SoakOptions{Dir: ".", Seed: *seed, Length: length, Args: flags, Out: os.Stdout}, now)
}

func steady(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("steady", flag.ExitOnError)
	runs := fs.Int("runs", 20, "number of runs")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if args = fs.Args(); len(args) == 0 {
		args = []string{"-race", "./..."}
	}
	return suite.Steady(ctx, suite.SteadyOptions{Dir: ".", Runs: *runs, Args: args, Out: os.Stdout}, time.Now())
}

func command(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(name, args...)
	cmd.Stderr = os.Stderr
	cmd.Env = append(os.Environ(), "PATH="+goBinDir()+string(os.PathListSeparator)+os.Getenv("PATH"))
	if !strings.ContainsRune(name, filepath.Separator) {
		if p := filepath.Join(goBinDir(), name); exists(p) {
			cmd.Path, cmd.Err = p, nil
		}
	}
	return cmd
}

func run(name string, args ...string) error {
	fmt.Println("+", name, strings.Join(args, " "))
	cmd := command(name, args...)
	cmd.Stdout = os.Stdout
	return cmd.Run()
}

func output(name string, args ...string) (string, error) {
	out, err := command(name, args...).Output()
	return strings.TrimSpace(string(out)), err
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

func goBinDir() string {
	if out, err := exec.Command("go", "env", "GOBIN").Output(); err == nil && len(strings.TrimSpace(string(out))) > 0 {
		return strings.TrimSpace(string(out))
	}
	out, err := exec.Command("go", "env", "GOPATH").Output()
	if err != nil {
		return ""
	}
	return filepath.Join(strings.TrimSpace(string(out)), "bin")
}

func install(modules []string) error {
	for _, m := range modules {
		path, _, _ := strings.Cut(m, "@")
		if bin := filepath.Join(goBinDir(), filepath.Base(path)); exists(bin) {
			if v, err := output("go", "version", "-m", bin); err == nil && strings.Contains(v, strings.SplitN(m, "@", 2)[1]) {
				continue
			}
		}
		if err := run("go", "install", m); err != nil {
			return err
		}
	}
	return nil
}

// sourceFiles returns the hand-written Go files.
func sourceFiles() ([]string, error) {
	out, err := output("git", "ls-files", "*.go", "_scripts/*.go")
	if err != nil {
		return nil, err
	}
	var files []string
	for _, f := range strings.Fields(out) {
		if !strings.Contains("/"+f, "/gen/") && exists(f) {
			files = append(files, f)
		}
	}
	return files, nil
}

func checkFormat() error {
	files, err := sourceFiles()
	if err != nil {
		return err
	}
	out, err := output("gofumpt", append([]string{"-l"}, files...)...)
	if err != nil {
		return err
	}
	if out != "" {
		return fmt.Errorf("these files are not formatted with gofumpt:\n%s", out)
	}
	return nil
}

func lint() error {
	if err := run("go", "vet", "./..."); err != nil {
		return err
	}
	return run("revive", "-config", "revive.toml", "-set_exit_status", "-exclude", "./io/admin/gen/...", "./...")
}

// fuzz runs all fuzz targets and prints the inputs that failed.
func fuzz() error {
	out, err := output("git", "grep", "-l", "^func Fuzz", "--", "*_test.go")
	if err != nil && out != "" {
		return err
	}
	var errs []error
	for _, f := range strings.Fields(out) {
		names, err := output("git", "grep", "-ho", "^func Fuzz[A-Za-z0-9]*", "--", f)
		if err != nil {
			return err
		}
		for _, n := range strings.Split(names, "\n") {
			name := strings.TrimPrefix(n, "func ")
			dir := "./" + filepath.Dir(f)
			if err := run("go", "test", "-run", "^$", "-fuzz", "^"+name+"$", "-fuzztime", fuzzRuns, dir); err != nil {
				errs = append(errs, fmt.Errorf("%s in %s: %w", name, dir, err))
			}
		}
	}
	if len(errs) > 0 {
		printFailedInputs()
	}
	return errors.Join(errs...)
}

// printFailedInputs prints the files that go test wrote for failed inputs, because the files of a CI run are not kept.
func printFailedInputs() {
	out, err := output("git", "ls-files", "--others", "--exclude-standard", "--", "*/testdata/fuzz/*")
	if err != nil {
		fmt.Fprintln(os.Stderr, "list failed fuzz inputs:", err)
	}
	for _, f := range strings.Fields(out) {
		body, err := os.ReadFile(f)
		fmt.Printf("%s:\n%s", f, body)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

func generate() error { return run("go", "generate", "./...") }

// checkGenerated regenerates code and documents, and returns an error if they differ from those in git. If a generator is not
// installed, it prints a note and leaves the committed code as it is.
func checkGenerated() error {
	for _, g := range []string{"goa", "protoc-gen-go", "protoc-gen-go-grpc"} {
		if !exists(filepath.Join(goBinDir(), g)) {
			fmt.Printf("%s is not installed: skipping the check of generated code\n", g)
			return nil
		}
	}
	if _, err := exec.LookPath("protoc"); err != nil {
		fmt.Println("protoc is not installed: skipping the check of generated code")
		return nil
	}
	if err := generate(); err != nil {
		return err
	}
	return run("git", "diff", "--exit-code", "--", "io/admin/gen", "docs")
}
