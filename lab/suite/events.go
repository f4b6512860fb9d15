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

// event is one line of go test -json; test2json describes the fields.
type event struct {
	Action     string
	Package    string
	ImportPath string // of build output, which has no Package
	Test       string
	Elapsed    float64 // seconds
	Output     string
}

// testKey names a test, or a package if the test is empty.
type testKey struct{ pkg, test string }

func (k testKey) String() string { return strings.TrimSpace(k.pkg + " " + k.test) }

// outcome is the state of a test or package.
type outcome int

const (
	running outcome = iota // also of a test whose process ended before it did
	passed
	failed
	skipped
)

func (o outcome) String() string {
	return [...]string{"not finished", "ok", "FAIL", "skipped"}[o]
}

// record is what one test or package printed, and how it ended.
type record struct {
	outcome outcome
	elapsed time.Duration
	output  strings.Builder
}

// results holds what go test reported.
type results struct {
	records map[testKey]*record
	order   []testKey // by start
	// build is the output of the compiler.
	build strings.Builder
}

func newResults() *results { return &results{records: map[testKey]*record{}} }

// read takes in the events of one go test and writes the summary line of each package to w.
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
			return fmt.Errorf("output of go test: %w", err)
		}
	}
}

func (r *results) add(e event, w io.Writer) {
	if e.Action == "build-output" {
		r.build.WriteString(e.Output)
		return
	}
	if e.Package == "" {
		return // "build-fail": the package that needs the build fails as well
	}
	rec := r.record(testKey{e.Package, e.Test})
	switch e.Action {
	case "output":
		rec.output.WriteString(e.Output)
		if e.Test == "" && isSummary(e.Output) {
			fmt.Fprint(w, e.Output)
		}
	case "pass":
		rec.end(passed, e)
		rec.output.Reset()
	case "fail":
		rec.end(failed, e)
	case "skip":
		rec.end(skipped, e)
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

func (rec *record) end(o outcome, e event) {
	rec.outcome = o
	rec.elapsed = time.Duration(e.Elapsed * float64(time.Second))
}

func (rec *record) bad() bool { return rec.outcome == failed || rec.outcome == running }

// isSummary reports whether the output is the line in which go test sums up a package.
func isSummary(line string) bool {
	return strings.HasPrefix(line, "ok  \t") || strings.HasPrefix(line, "FAIL\t") || strings.HasPrefix(line, "?   \t")
}

// bad returns the tests that failed or did not finish, and the packages that failed without such a test, by package and start.
func (r *results) bad() []testKey {
	explained := map[string]bool{}
	for k, rec := range r.records {
		if k.test != "" && rec.bad() {
			explained[k.pkg] = true
		}
	}
	var keys []testKey
	for _, k := range r.order {
		if r.records[k].bad() && (k.test != "" || !explained[k.pkg]) {
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
