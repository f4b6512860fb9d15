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

// Options configure a run of all tests.
type Options struct {
	// Dir is the directory of the module.
	Dir string
	// List is the path of the list file, which names the tests that are known to fail.
	List string
	// Args are passed to every go test.
	Args []string
	// Deciding are additional arguments of go test for the unlisted tests, whose results decide whether the run passes.
	Deciding []string
	// Alone are the import paths of packages whose tests run while no other package is tested.
	Alone []string
	// Out receives the printed results.
	Out io.Writer
}

// Run runs all tests: first the unlisted ones, then the listed ones. It returns an error if an unlisted test fails, if an entry of
// the list names a test that does not exist, or if anything but a listed test fails in the run of the listed tests.
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
	unlisted := newResults()
	unlistedOpts := o
	unlistedOpts.Args = slices.Concat(o.Args, o.Deciding)
	if err := unlistedOpts.runUnlisted(ctx, unlisted, pkgs, list); err != nil {
		return err
	}
	failures := unlisted.failures()
	listed := newResults()
	if len(list) > 0 {
		listedOpts := o
		listedOpts.Out = io.Discard // the summary line of a package would show FAIL for a listed failure
		if err := listedOpts.runListed(ctx, listed, list); err != nil {
			return err
		}
		fmt.Fprint(o.Out, listed.build.String())
		failures = append(failures, o.printListed(listed, list)...)
	}
	fmt.Fprintf(o.Out, "%d passed, %d failed, %d skipped\n", unlisted.count(passed), len(failures), unlisted.count(skipped))
	if missing := entriesWithoutTest(listed, list); len(missing) > 0 {
		return fmt.Errorf("%s: entries for tests that do not exist: %v", o.List, missing)
	}
	if len(failures) > 0 {
		return fmt.Errorf("failed: %v", failures)
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

// runUnlisted runs the unlisted tests. Those of packages in o.Alone run last. Each package with listed tests gets a separate go test,
// because -skip would also leave out tests of the same name in other packages.
func (o Options) runUnlisted(ctx context.Context, r *results, pkgs []string, list []Entry) error {
	withListed := listedPackages(list)
	var withoutListed []string
	for _, p := range pkgs {
		if !slices.Contains(withListed, p) && !slices.Contains(o.Alone, p) {
			withoutListed = append(withoutListed, p)
		}
	}
	if len(withoutListed) > 0 {
		if err := o.goTest(ctx, r, withoutListed...); err != nil {
			return err
		}
	}
	for _, p := range withListed {
		if err := o.goTest(ctx, r, "-skip", testPattern(entriesIn(list, p)), p); err != nil {
			return err
		}
	}
	for _, p := range o.Alone {
		if slices.Contains(pkgs, p) && !slices.Contains(withListed, p) {
			if err := o.goTest(ctx, r, p); err != nil {
				return err
			}
		}
	}
	fmt.Fprint(o.Out, r.build.String())
	for _, k := range r.failures() {
		rec := r.records[k]
		fmt.Fprintf(o.Out, "\n%s: %s\n%s", rec.outcome, k, rec.output.String())
	}
	return nil
}

// runListed runs the listed tests. Those of packages in o.Alone run last, one package after the other.
func (o Options) runListed(ctx context.Context, r *results, list []Entry) error {
	var together []string
	for _, p := range listedPackages(list) {
		if !slices.Contains(o.Alone, p) {
			together = append(together, p)
		}
	}
	if len(together) > 0 {
		if err := o.goTest(ctx, r, append([]string{"-run", testPattern(list)}, together...)...); err != nil {
			return err
		}
	}
	for _, p := range o.Alone {
		if entries := entriesIn(list, p); len(entries) > 0 {
			if err := o.goTest(ctx, r, "-run", testPattern(entries), p); err != nil {
				return err
			}
		}
	}
	return nil
}

// goTest runs go test with o.Args and args, and adds the reported events to r. A failed test is not an error.
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
	failuresBefore := len(r.failures())
	readErr := r.read(out, o.Out)
	if err := cmd.Wait(); err != nil && len(r.failures()) == failuresBefore {
		return fmt.Errorf("go %s: %w, although no test failed", strings.Join(args, " "), err)
	}
	return readErr
}

// printListed prints the results of the listed tests and returns the failures that no entry covers.
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
	unexpected := unexpectedFailures(r, list)
	for _, k := range unexpected {
		rec := r.records[k]
		fmt.Fprintf(o.Out, "%s: %s\n%s", rec.outcome, k, rec.output.String())
	}
	return unexpected
}

// printEntry prints the result of one listed test. The output of failed tests is indented, to tell it from the output of unlisted
// tests.
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
	for _, k := range r.failures() {
		if !e.covers(k.pkg, k.test) {
			continue
		}
		for _, line := range strings.Split(strings.TrimSpace(r.records[k].output.String()), "\n") {
			fmt.Fprintf(o.Out, "    | %s\n", line)
		}
	}
}

// listedPackages returns the packages of the entries without duplicates.
func listedPackages(list []Entry) []string {
	var pkgs []string
	for _, e := range list {
		if !slices.Contains(pkgs, e.pkg) {
			pkgs = append(pkgs, e.pkg)
		}
	}
	return pkgs
}

// entriesIn returns the entries whose tests are in package pkg.
func entriesIn(list []Entry, pkg string) []Entry {
	var out []Entry
	for _, e := range list {
		if e.pkg == pkg {
			out = append(out, e)
		}
	}
	return out
}

// testPattern returns the argument of -run or -skip that selects exactly the tests of the entries.
func testPattern(list []Entry) string {
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
