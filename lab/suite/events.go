package suite

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// event is one line of the output of go test -json. The documentation of test2json describes the fields.
type event struct {
	Action     string
	Package    string
	ImportPath string // set instead of Package in build output
	Test       string
	Elapsed    float64 // seconds
	Output     string
}

// testKey identifies a test, or a whole package if test is empty.
type testKey struct{ pkg, test string }

func (k testKey) String() string { return strings.TrimSpace(k.pkg + " " + k.test) }

// outcome is the state of a test or package.
type outcome int

const (
	running outcome = iota // also kept by a test whose process ended before the test did
	passed
	failed
	skipped
)

func (o outcome) String() string {
	return [...]string{"not finished", "ok", "FAIL", "skipped"}[o]
}

// record holds the output, the outcome and the duration of one test or package.
type record struct {
	outcome outcome
	elapsed time.Duration
	output  strings.Builder
}

// results collects the events of one or more runs of go test.
type results struct {
	records map[testKey]*record
	order   []testKey // in the order of their first events
	// build is the output of the compiler, and lines of go test that are not JSON.
	build strings.Builder
}

func newResults() *results { return &results{records: map[testKey]*record{}} }

// read adds the events of one run of go test to r and writes the summary line of each package to w.
func (r *results) read(src io.Reader, w io.Writer) error {
	in := bufio.NewReader(src)
	for {
		line, err := in.ReadBytes('\n')
		if len(line) > 0 {
			var e event
			if json.Unmarshal(line, &e) != nil {
				e = event{Action: "build-output", Output: string(line)}
			}
			r.add(e, w)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the output of go test: %w", err)
		}
	}
}

func (r *results) add(e event, w io.Writer) {
	if e.Action == "build-output" {
		r.build.WriteString(e.Output)
		return
	}
	if e.Package == "" {
		return // "build-fail": the package under test gets a "fail" event of its own
	}
	rec := r.record(testKey{e.Package, e.Test})
	switch e.Action {
	case "output":
		rec.output.WriteString(e.Output)
		if e.Test == "" && isSummary(e.Output) {
			fmt.Fprint(w, e.Output)
		}
	case "pass":
		rec.finish(passed, e)
		rec.output.Reset()
	case "fail":
		rec.finish(failed, e)
	case "skip":
		rec.finish(skipped, e)
	}
}

func (r *results) record(k testKey) *record {
	rec := r.records[k]
	if rec == nil {
		rec = &record{}
		r.records[k] = rec
		r.order = append(r.order, k)
	}
	return rec
}

func (rec *record) finish(o outcome, e event) {
	rec.outcome = o
	rec.elapsed = time.Duration(e.Elapsed * float64(time.Second))
}

func (rec *record) failedOrUnfinished() bool { return rec.outcome == failed || rec.outcome == running }

// isSummary reports whether line is the line in which go test summarises a package.
func isSummary(line string) bool {
	return strings.HasPrefix(line, "ok  \t") || strings.HasPrefix(line, "FAIL\t") || strings.HasPrefix(line, "?   \t")
}

// failures returns the tests that failed or did not finish, and the packages that failed without such a test. They are sorted by
// package, and within a package in the order in which they started.
func (r *results) failures() []testKey {
	withFailedTest := map[string]bool{}
	for k, rec := range r.records {
		if k.test != "" && rec.failedOrUnfinished() {
			withFailedTest[k.pkg] = true
		}
	}
	var keys []testKey
	for _, k := range r.order {
		if r.records[k].failedOrUnfinished() && (k.test != "" || !withFailedTest[k.pkg]) {
			keys = append(keys, k)
		}
	}
	slices.SortStableFunc(keys, func(a, b testKey) int { return strings.Compare(a.pkg, b.pkg) })
	return keys
}

// count returns the number of tests with the outcome.
func (r *results) count(o outcome) int {
	n := 0
	for k, rec := range r.records {
		if k.test != "" && rec.outcome == o {
			n++
		}
	}
	return n
}
