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
	// journalDir holds the journal, below the module.
	journalDir = "docs/journal"
	// soakPackage has the randomised runs, whose flags SoakOptions set.
	soakPackage = "verbenagate/lab/proof"
	// soakMargin is the time that go test gets beyond that of the runs, for the build and the run that began last.
	soakMargin = 10 * time.Minute
	// busyLoops is the number of busy goroutines beside a loaded run: as many as the check of a landing has processes.
	busyLoops = 3
)

// soakTests are the randomised runs; each gets an equal part of the time.
var soakTests = []string{"TestRandom", "TestRandomLinks"}

// SoakOptions describe randomised runs with consecutive seeds.
type SoakOptions struct {
	Dir string
	// Seed is the first seed.
	Seed uint64
	// Length is the time after which no further seed begins.
	Length time.Duration
	// Args are further flags of go test.
	Args []string
	Out  io.Writer
}

// Soak plays randomised runs and adds a line to the journal. It returns an error if one of them failed.
func Soak(ctx context.Context, o SoakOptions, now time.Time) error {
	j, err := openJournal(ctx, o.Dir, journalDir, "soak", "Randomised runs", now)
	if err != nil {
		return err
	}
	each := o.Length / time.Duration(len(soakTests))
	run := Options{Dir: o.Dir, Out: o.Out, Args: []string{"-count=1", "-timeout", (o.Length + soakMargin).String()}}
	r := newResults()
	args := append(slices.Clone(o.Args), "-run", "^("+strings.Join(soakTests, "|")+")$", soakPackage,
		"-proof.first", fmt.Sprint(o.Seed), "-proof.seeds", "1", "-proof.time", each.String())
	if err := run.goTest(ctx, r, args...); err != nil {
		return err
	}
	bad := r.bad()
	verdict := fmt.Sprintf("%d runs passed", r.count(passed)-topLevel(r, passed))
	if len(bad) > 0 {
		verdict += fmt.Sprintf(", failed: %v", bad)
	}
	if err := j.add(fmt.Sprint(o.Seed), o.Length.String(), verdict, report(r)); err != nil {
		return err
	}
	fmt.Fprintln(o.Out, verdict)
	if len(bad) > 0 {
		return fmt.Errorf("failed: %v", bad)
	}
	return nil
}

// SteadyOptions describe repeated runs of the same tests.
type SteadyOptions struct {
	Dir string
	// Runs is the number of runs; every second one runs beside busy goroutines.
	Runs int
	// Args are passed to go test: flags and packages.
	Args []string
	Out  io.Writer
}

// Steady runs tests again and again and adds a line to the journal that names those which did not pass every time. It returns
// an error if there are any.
func Steady(ctx context.Context, o SteadyOptions, now time.Time) error {
	j, err := openJournal(ctx, o.Dir, journalDir, "steady", "Repeated runs, every second one beside load", now)
	if err != nil {
		return err
	}
	var log strings.Builder
	times := map[testKey]int{}
	tests := 0
	for n := range o.Runs {
		r := newResults()
		loaded := n%2 == 1
		if err := o.once(ctx, r, loaded); err != nil {
			return err
		}
		tests = max(tests, r.count(passed))
		bad := r.bad()
		for _, k := range bad {
			times[k]++
		}
		line := fmt.Sprintf("run %d of %d, loaded %t: %d tests passed, not passed: %v\n", n+1, o.Runs, loaded, r.count(passed), bad)
		fmt.Fprint(o.Out, line)
		log.WriteString(line)
		if len(bad) > 0 {
			log.WriteString(report(r))
		}
	}
	verdict := fmt.Sprintf("%d tests passed in all %d runs", tests-len(times), o.Runs)
	if len(times) > 0 {
		verdict = fmt.Sprintf("not steady, with times not passed of %d: %v", o.Runs, times)
	}
	if err := j.add("as committed", fmt.Sprintf("%d runs of %s", o.Runs, strings.Join(o.Args, " ")), verdict, log.String()); err != nil {
		return err
	}
	fmt.Fprintln(o.Out, verdict)
	if len(times) > 0 {
		return fmt.Errorf("%s", verdict)
	}
	return nil
}

// once runs the tests one time, beside busy goroutines if loaded is true.
func (o SteadyOptions) once(ctx context.Context, r *results, loaded bool) error {
	busy, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	if loaded {
		for range busyLoops {
			wg.Go(func() { spin(busy) })
		}
	}
	return Options{Dir: o.Dir, Out: io.Discard, Args: []string{"-count=1"}}.goTest(ctx, r, o.Args...)
}

// spin keeps a core busy until ctx ends.
func spin(ctx context.Context) {
	n := uint64(0)
	for ctx.Err() == nil {
		n++
	}
}

// topLevel returns the number of tests with the outcome that are not subtests.
func topLevel(r *results, want outcome) int {
	n := 0
	for k, rec := range r.records {
		if k.test != "" && !strings.Contains(k.test, "/") && rec.outcome == want {
			n++
		}
	}
	return n
}

// report returns the outcome of each test, with the output of those that did not pass.
func report(r *results) string {
	var b strings.Builder
	b.WriteString(r.build.String())
	for _, k := range r.order {
		rec := r.records[k]
		fmt.Fprintf(&b, "%s  %s  %.1fs\n", rec.outcome, k, rec.elapsed.Seconds())
		if rec.bad() {
			b.WriteString(rec.output.String())
		}
	}
	return b.String()
}
