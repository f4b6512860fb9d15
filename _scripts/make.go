// Command make runs the development tasks of verbenagate: go run _scripts/make.go TASK.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Pinned versions of the tools; "tools" installs them through the module proxy.
var tools = []string{
	"mvdan.cc/gofumpt@v0.12.0",
	"github.com/mgechev/revive@v1.9.0",
}

// generators are needed only to regenerate committed code.
var generators = []string{
	"goa.design/goa/v3/cmd/goa@v3.25.3",
	"google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12",
	"google.golang.org/grpc/cmd/protoc-gen-go-grpc@v1.6.2",
}

// fuzzTime bounds each fuzz target in CI.
const fuzzTime = "3s"

type task struct {
	name string
	help string
	run  func() error
}

func tasks() []task {
	return []task{
		{"tools", "install the formatter and the linter", func() error { return install(tools) }},
		{"generators", "install the code generators", func() error { return install(generators) }},
		{"format", "fail if a file is not formatted", format},
		{"lint", "run go vet and revive", lint},
		{"test", "run all tests", func() error { return run("go", "test", "./...") }},
		{"race", "run all tests with the race detector", func() error { return run("go", "test", "-race", "./...") }},
		{"fuzz", "run each fuzz target for a short time", fuzz},
		{"generate", "write generated code and documents", generate},
		{"current", "fail if generated code is not current, where its generator is installed", current},
	}
}

func main() {
	if len(os.Args) == 2 {
		for _, t := range tasks() {
			if t.name == os.Args[1] {
				if err := t.run(); err != nil {
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

func command(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(name, args...)
	cmd.Stderr = os.Stderr
	cmd.Env = append(os.Environ(), "PATH="+goBin()+string(os.PathListSeparator)+os.Getenv("PATH"))
	if !strings.ContainsRune(name, filepath.Separator) {
		if p := filepath.Join(goBin(), name); exists(p) {
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

func goBin() string {
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
		if bin := filepath.Join(goBin(), filepath.Base(path)); exists(bin) {
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

// sources returns the directories and files of hand-written Go code.
func sources() ([]string, error) {
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

func format() error {
	files, err := sources()
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

// fuzz finds the fuzz targets by listing them in each package.
func fuzz() error {
	out, err := output("git", "grep", "-l", "^func Fuzz", "--", "*_test.go")
	if err != nil && out != "" {
		return err
	}
	for _, f := range strings.Fields(out) {
		names, err := output("git", "grep", "-ho", "^func Fuzz[A-Za-z0-9]*", "--", f)
		if err != nil {
			return err
		}
		for _, n := range strings.Split(names, "\n") {
			name := strings.TrimPrefix(n, "func ")
			dir := "./" + filepath.Dir(f)
			if err := run("go", "test", "-run", "^$", "-fuzz", "^"+name+"$", "-fuzztime", fuzzTime, dir); err != nil {
				return err
			}
		}
	}
	return nil
}

func generate() error { return run("go", "generate", "./...") }

// current regenerates and compares; without the generators it says so and leaves the committed code as it is.
func current() error {
	for _, g := range []string{"goa", "protoc-gen-go", "protoc-gen-go-grpc"} {
		if !exists(filepath.Join(goBin(), g)) {
			fmt.Printf("%s is not installed: generated code is not compared\n", g)
			return nil
		}
	}
	if _, err := exec.LookPath("protoc"); err != nil {
		fmt.Println("protoc is not installed: generated code is not compared")
		return nil
	}
	if err := generate(); err != nil {
		return err
	}
	return run("git", "diff", "--exit-code", "--", "io/admin/gen", "docs")
}
