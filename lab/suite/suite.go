package suite

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

// Options describe a run of all tests.
type Options struct {
	// Dir is the directory of the module.
	Dir string
	// List is the path of the file of listed tests.
	List string
	// Args are passed to go test.
	Args []string
	// Deciding are further arguments of the tests that decide.
	Deciding []string
	// Out receives the results.
	Out io.Writer
}

// Run runs all tests: first those that decide, then the listed ones. It returns an error if one of the first fails, if an
// entry of the list names no test, or if something else than a listed test fails beside these.
func Run(ctx context.Context, o Options) error {
	list, err := ReadList(o.List)
	if err != nil {
		return err
	}
	pkgs, err := o.packages(ctx)
	if err != nil {
		return err
	}
	for _, e := range list {
		if !slices.Contains(pkgs, e.pkg) {
			return fmt.Errorf("%s: package %s does not exist", o.List, e.pkg)
		}
	}
	deciding := newResults()
	first := o
	first.Args = slices.Concat(o.Args, o.Deciding)
	if err := first.runDeciding(ctx, deciding, pkgs, list); err != nil {
		return err
	}
	bad := deciding.bad()
	passedOver := newResults()
	if len(list) > 0 {
		quiet := o
		quiet.Out = io.Discard // the summary of a package does not tell what is listed
		args := append([]string{"-run", pattern(list)}, listedPackages(list)...)
		if err := quiet.goTest(ctx, passedOver, args...); err != nil {
			return err
		}
		fmt.Fprint(o.Out, passedOver.build.String())
		bad = append(bad, o.printListed(passedOver, list)...)
	}
	fmt.Fprintf(o.Out, "%d passed, %d failed, %d skipped\n", deciding.count(passed), len(bad), deciding.count(skipped))
	if missing := unmatched(passedOver, list); len(missing) > 0 {
		return fmt.Errorf("%s: no test has the name of %v", o.List, missing)
	}
	if len(bad) > 0 {
		return fmt.Errorf("failed: %v", bad)
	}
	return nil
}

// packages returns the import paths of the module's packages.
func (o Options) packages(ctx context.Context) ([]string, error) {
	cmd := exec.CommandContext(ctx, "go", "list", "./...")
	cmd.Dir, cmd.Stderr = o.Dir, os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	return strings.Fields(string(out)), nil
}

// runDeciding runs what is not listed. A package with listed tests has a process of its own, because -skip would leave out
// tests of the same name in other packages.
func (o Options) runDeciding(ctx context.Context, r *results, pkgs []string, list []Entry) error {
	special := listedPackages(list)
	var plain []string
	for _, p := range pkgs {
		if !slices.Contains(special, p) {
			plain = append(plain, p)
		}
	}
	if len(plain) > 0 {
		if err := o.goTest(ctx, r, plain...); err != nil {
			return err
		}
	}
	for _, p := range special {
		if err := o.goTest(ctx, r, "-skip", pattern(of(list, p)), p); err != nil {
			return err
		}
	}
	fmt.Fprint(o.Out, r.build.String())
	for _, k := range r.bad() {
		rec := r.records[k]
		fmt.Fprintf(o.Out, "\n%s: %s\n%s", rec.outcome, k, rec.output.String())
	}
	return nil
}

// goTest runs go test with the options' arguments and further ones, and adds what it reports to r.
func (o Options) goTest(ctx context.Context, r *results, args ...string) error {
	args = slices.Concat([]string{"test", "-json"}, o.Args, args)
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir, cmd.Stderr = o.Dir, os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	before := len(r.bad())
	readErr := r.read(out, o.Out)
	if err := cmd.Wait(); err != nil && len(r.bad()) == before {
		return fmt.Errorf("go %s: %w, without a failed test", strings.Join(args, " "), err)
	}
	return readErr
}

// printListed prints the results of the listed tests and returns the failures that are not theirs.
func (o Options) printListed(r *results, list []Entry) []testKey {
	for _, s := range []Section{KnownRed, NotSteady} {
		heading := fmt.Sprintf("\n%s, passed over:\n", s)
		for _, e := range list {
			if e.section == s {
				fmt.Fprint(o.Out, heading)
				heading = ""
				o.printEntry(r, e)
			}
		}
	}
	fmt.Fprintln(o.Out)
	bad := unexplained(r, list)
	for _, k := range bad {
		rec := r.records[k]
		fmt.Fprintf(o.Out, "%s: %s\n%s", rec.outcome, k, rec.output.String())
	}
	return bad
}

// printEntry prints the result of one listed test. The output of what failed is indented, so that it does not look like that
// of a test that decides.
func (o Options) printEntry(r *results, e Entry) {
	rec := r.records[testKey{e.pkg, e.test}]
	if rec == nil {
		fmt.Fprintf(o.Out, "  not run  %s (issue %d)\n", e, e.keys.Issue)
		return
	}
	fmt.Fprintf(o.Out, "  %s  %s  %.1fs (issue %d)\n", rec.outcome, e, rec.elapsed.Seconds(), e.keys.Issue)
	if rec.outcome == passed {
		return
	}
	fmt.Fprintf(o.Out, "    seen before: %s\n    command: %s\n    seed: %s\n", e.keys.Seen, e.keys.Command, e.keys.Seed)
	for _, k := range r.bad() {
		if !e.covers(k.pkg, k.test) {
			continue
		}
		for _, line := range strings.Split(strings.TrimSpace(r.records[k].output.String()), "\n") {
			fmt.Fprintf(o.Out, "    | %s\n", line)
		}
	}
}

// listedPackages returns the packages of the entries, each once.
func listedPackages(list []Entry) []string {
	var pkgs []string
	for _, e := range list {
		if !slices.Contains(pkgs, e.pkg) {
			pkgs = append(pkgs, e.pkg)
		}
	}
	return pkgs
}

// of returns the entries of one package.
func of(list []Entry, pkg string) []Entry {
	var out []Entry
	for _, e := range list {
		if e.pkg == pkg {
			out = append(out, e)
		}
	}
	return out
}

// pattern returns the argument of -run or -skip that selects exactly the tests of the entries.
func pattern(list []Entry) string {
	var names []string
	for _, e := range list {
		var parts []string
		for _, p := range strings.Split(e.test, "/") {
			parts = append(parts, "^"+regexp.QuoteMeta(p)+"$")
		}
		names = append(names, strings.Join(parts, "/"))
	}
	return strings.Join(names, "|")
}
