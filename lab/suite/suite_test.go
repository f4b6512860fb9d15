package suite

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/onsi/gomega"
)

// Guards against entries that are accepted although they are incomplete (without a command or seed), list a test a second time, or
// contain an unknown key.
func TestList(t *testing.T) {
	datadriven.RunTest(t, "_fixtures/list", func(_ *testing.T, d *datadriven.TestData) string {
		list, err := ParseList("KNOWN-RED.txt", []byte(d.Input))
		if err != nil {
			return err.Error()
		}
		var b strings.Builder
		for _, e := range list {
			fmt.Fprintf(&b, "%s: %s, command %q, seed %q, seen %q, issue %d\n", e.Section(), e, e.Command(), e.Seed(), e.Seen(), e.Issue())
		}
		return b.String()
	})
}

// Guards against ignoring a failure that no entry of the list covers, and against overlooking an entry whose test does not exist.
func TestUnexpectedFailures(t *testing.T) {
	datadriven.RunTest(t, "_fixtures/unexpected", func(t *testing.T, d *datadriven.TestData) string {
		head, events, _ := strings.Cut(d.Input, "events:\n")
		list, err := ParseList("KNOWN-RED.txt", []byte(head))
		if err != nil {
			return err.Error()
		}
		r := newResults()
		if err := r.read(strings.NewReader(events), t.Output()); err != nil {
			return err.Error()
		}
		return fmt.Sprintf("failures: %v\nunexpected: %v\nwithout a test: %v\n", r.failures(), unexpectedFailures(r, list), entriesWithoutTest(r, list))
	})
}

// elapsedTimes matches the durations, which are the only part of the output that differs between two runs.
var elapsedTimes = regexp.MustCompile(`\(?\d+\.\d+s\)?|\(cached\)`)

// Guards against a run that ignores failures of unlisted tests, or that does not run the listed ones.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	datadriven.RunTest(t, "_fixtures/run", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "file" {
			path := filepath.Join(dir, d.CmdArgs[0].Key)
			err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o755), os.WriteFile(path, []byte(d.Input+"\n"), 0o644))
			return fmt.Sprintln(err)
		}
		var out strings.Builder
		var alone string
		d.MaybeScanArgs(t, "alone", &alone)
		err := Run(context.Background(), Options{Dir: dir, List: filepath.Join(dir, "KNOWN-RED.txt"), Alone: []string{alone}, Out: &out})
		text := strings.ReplaceAll(fmt.Sprintf("%serror: %v\n", sortSummaries(out.String()), err), dir, "DIR")
		return elapsedTimes.ReplaceAllString(text, "TIME")
	})
}

// sortSummaries sorts each block of consecutive summary lines, since packages end in any order.
func sortSummaries(text string) string {
	lines := strings.SplitAfter(text, "\n")
	for begin := 0; begin < len(lines); begin++ {
		end := begin
		for end < len(lines) && isSummary(lines[end]) {
			end++
		}
		slices.Sort(lines[begin:end])
		begin = max(begin, end-1)
	}
	return strings.Join(lines, "")
}

// Guards against a journal that loses earlier runs, and against repeated runs that report a test as steady although it failed in one
// of them.
func TestSteady(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	write := func(name, text string) {
		g.Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644)).To(gomega.Succeed())
	}
	write("go.mod", "module sample\n\ngo 1.26\n")
	write("a_test.go", `package sample

import (
	"os"
	"testing"
)

func TestAlways(t *testing.T) {}

func TestOnce(t *testing.T) {
	if _, err := os.Stat("ran"); err == nil {
		t.Fatal("second run")
	}
	if err := os.WriteFile("ran", nil, 0o600); err != nil {
		t.Fatal(err)
	}
}
`)
	for _, args := range [][]string{{"init", "-q"}, {"-c", "user.name=t", "-c", "user.email=t@example.invalid", "commit", "-q", "--allow-empty", "-m", "first"}} {
		_, err := gitOutput(context.Background(), dir, args...)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	var out strings.Builder
	o := SteadyOptions{Dir: dir, Runs: 2, Args: []string{"./..."}, Out: &out}
	begin := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	err := Steady(context.Background(), o, begin)
	log, readErr := os.ReadFile(filepath.Join(dir, journalDir, "steady-20261204T090000Z.log"))
	g.Expect(readErr).NotTo(gomega.HaveOccurred())
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("sample TestOnce:1")), string(log))
	g.Expect(out.String()).To(gomega.ContainSubstring("run 1 of 2, loaded false: 2 tests passed"))
	o.Args = append(o.Args, "-run", "TestAlways")
	g.Expect(Steady(context.Background(), o, begin.Add(time.Second))).To(gomega.Succeed())
	table, err := os.ReadFile(filepath.Join(dir, journalDir, "steady.md"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(strings.Split(strings.TrimSpace(string(table)), "\n")).To(gomega.HaveLen(6))
	g.Expect(string(table)).To(gomega.ContainSubstring("| 1 tests passed in all 2 runs | [log](steady-20261204T090001Z.log) |"))
	g.Expect(string(log)).To(gomega.ContainSubstring("second run"))
}
