package suite

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// journalDir is the directory of the journal, relative to the module.
	journalDir = "docs/journal"
	// soakPackage contains the randomised tests. Soak sets their flags from SoakOptions.
	soakPackage = "verbenagate/lab/proof"
	// soakTimeoutMargin is added to the length of the runs for the timeout of go test. It covers the build and the last run.
	soakTimeoutMargin = 10 * time.Minute
	// busyGoroutines is the number of goroutines that keep cores busy during a loaded run. It equals the number of processes of
	// the check before a merge.
	busyGoroutines = 3
)

// soakTests are the randomised tests. Each gets an equal part of the time.
var soakTests = []string{"TestRandom", "TestRandomLinks"}

// SoakOptions configure randomised runs with consecutive seeds.
type SoakOptions struct {
	Dir string
	// Seed is the first seed.
	Seed uint64
	// Length is the time after which no run with a further seed is started.
	Length time.Duration
	// Args are additional flags of go test.
	Args []string
	Out  io.Writer
}

// Soak executes the randomised runs and adds a line to the journal. It returns an error if one of the runs failed.
func Soak(ctx context.Context, o SoakOptions, now time.Time) error {
	j, err := openJournal(ctx, o.Dir, journalDir, "soak", "Randomised runs", now)
	if err != nil {
		return err
	}
	timePerTest := o.Length / time.Duration(len(soakTests))
	opts := Options{Dir: o.Dir, Out: o.Out, Args: []string{"-count=1", "-timeout", (o.Length + soakTimeoutMargin).String()}}
	r := newResults()
	args := append(slices.Clone(o.Args), "-run", "^("+strings.Join(soakTests, "|")+")$", soakPackage,
		"-proof.first", fmt.Sprint(o.Seed), "-proof.seeds", "1", "-proof.time", timePerTest.String())
	if err := opts.goTest(ctx, r, args...); err != nil {
		return err
	}
	failures := r.failures()
	verdict := fmt.Sprintf("%d runs passed", r.count(passed)-countTopLevel(r, passed))
	if len(failures) > 0 {
		verdict += fmt.Sprintf(", failed: %v", failures)
	}
	if err := j.add(fmt.Sprint(o.Seed), o.Length.String(), verdict, report(r)); err != nil {
		return err
	}
	fmt.Fprintln(o.Out, verdict)
	if len(failures) > 0 {
		return fmt.Errorf("failed: %v", failures)
	}
	return nil
}

// SteadyOptions configure repeated runs of the same tests.
type SteadyOptions struct {
	Dir string
	// Runs is the number of runs. Every second run is loaded: goroutines keep cores busy during it.
	Runs int
	// Args are passed to go test: flags and packages.
	Args []string
	Out  io.Writer
}

// Steady runs the tests repeatedly and adds a line to the journal that names the tests that did not pass in every run. It returns an
// error if there are any.
func Steady(ctx context.Context, o SteadyOptions, now time.Time) error {
	j, err := openJournal(ctx, o.Dir, journalDir, "steady", "Repeated runs, every second one beside load", now)
	if err != nil {
		return err
	}
	var log strings.Builder
	failedRuns := map[testKey]int{}
	tests := 0
	for n := range o.Runs {
		r := newResults()
		loaded := n%2 == 1
		if err := o.runOnce(ctx, r, loaded); err != nil {
			return err
		}
		tests = max(tests, r.count(passed))
		failures := r.failures()
		for _, k := range failures {
			failedRuns[k]++
		}
		line := fmt.Sprintf("run %d of %d, loaded %t: %d tests passed, not passed: %v\n", n+1, o.Runs, loaded, r.count(passed), failures)
		fmt.Fprint(o.Out, line)
		log.WriteString(line)
		if len(failures) > 0 {
			log.WriteString(report(r))
		}
	}
	verdict := fmt.Sprintf("%d tests passed in all %d runs", tests-len(failedRuns), o.Runs)
	if len(failedRuns) > 0 {
		verdict = fmt.Sprintf("not steady, with times not passed of %d: %v", o.Runs, failedRuns)
	}
	if err := j.add("as committed", fmt.Sprintf("%d runs of %s", o.Runs, strings.Join(o.Args, " ")), verdict, log.String()); err != nil {
		return err
	}
	fmt.Fprintln(o.Out, verdict)
	if len(failedRuns) > 0 {
		return fmt.Errorf("%s", verdict)
	}
	return nil
}

// runOnce runs the tests one time. If loaded is true, goroutines keep cores busy during the run.
func (o SteadyOptions) runOnce(ctx context.Context, r *results, loaded bool) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopLoad()
	if loaded {
		for range busyGoroutines {
			wg.Go(func() { spin(loadCtx) })
		}
	}
	return Options{Dir: o.Dir, Out: io.Discard, Args: []string{"-count=1"}}.goTest(ctx, r, o.Args...)
}

// spin keeps a core busy until ctx is cancelled.
func spin(ctx context.Context) {
	n := uint64(0)
	for ctx.Err() == nil {
		n++
	}
}

// countTopLevel returns the number of tests with the outcome want that are not subtests.
func countTopLevel(r *results, want outcome) int {
	n := 0
	for k, rec := range r.records {
		if k.test != "" && !strings.Contains(k.test, "/") && rec.outcome == want {
			n++
		}
	}
	return n
}

// report returns the outcome of each test and package, with the output of those that failed or did not finish.
func report(r *results) string {
	var b strings.Builder
	b.WriteString(r.build.String())
	for _, k := range r.order {
		rec := r.records[k]
		fmt.Fprintf(&b, "%s  %s  %.1fs\n", rec.outcome, k, rec.elapsed.Seconds())
		if rec.failedOrUnfinished() {
			b.WriteString(rec.output.String())
		}
	}
	return b.String()
}
