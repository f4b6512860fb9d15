package exper

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/io/logs"
	"verbenagate/lab/audit"
)

const fixtures = "../../_fixtures/experiments"

// Guards against lost, duplicate or partial writes, stale reads and too many connections while faults are injected. The longer
// experiments check bounds on times, since the machines of continuous integration are shared.
func TestShortExperiments(t *testing.T) {
	files, err := filepath.Glob(fixtures + "/ci-*.yaml")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	gomega.NewWithT(t).Expect(files).NotTo(gomega.BeEmpty())
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			g := gomega.NewWithT(t)
			e, err := Load(file)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			log, err := logs.New(io.Discard, "console", "error")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			r, err := Run(context.Background(), e, log, t.Logf)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			for _, s := range r.Stages {
				g.Expect(s.AuditFailures()).To(gomega.BeEmpty())
			}
		})
	}
}

// Guards against an experiment file in _fixtures that Load rejects.
func TestShippedFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	files, err := filepath.Glob(fixtures + "/*.yaml")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, file := range files {
		_, err := Load(file)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// Guards against an experiment file whose misspelt key or measure is accepted, so that a check is silently left out, and against a
// bound without a limit.
func TestFileErrors(t *testing.T) {
	body, err := os.ReadFile(fixtures + "/ci-crash.yaml")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, c := range []struct{ name, add, want string }{
		{"unknown key", "    bound: []\n", "unknown field"},
		{"unknown measure", "    bounds: [{measure: speed, max: 1}]\n", `measure "speed" does not exist`},
		{"no limit", "    bounds: [{measure: stale_reads}]\n", "needs either a maximum or a minimum"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			file := filepath.Join(t.TempDir(), "e.yaml")
			g.Expect(os.WriteFile(file, append(body, c.add...), 0o600)).To(gomega.Succeed())
			_, err := Load(file)
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.want)))
		})
	}
}

// Guards against a run that passes although a measure is missing, a bound is missed, an audit failed or a fault was not injected.
func TestFailures(t *testing.T) {
	g := gomega.NewWithT(t)
	one := 1.0
	v := evaluateBounds([]Bound{{Measure: StaleReads, Max: &one}, {Measure: Goodput, Min: &one}, {Measure: Roams, Max: &one}},
		map[string]float64{StaleReads: 2, Roams: 1})
	s := StageResult{Name: "x", Bounds: v, Errors: []string{"no crash"}}
	s.Audits = []AuditResult{{Service: "dues", Report: audit.Report{Findings: []audit.Finding{{Promise: "p", Detail: "d"}}}}}
	g.Expect(Result{Stages: []StageResult{s}}.Failures()).To(gomega.Equal([]string{
		"stage x: audit of dues failed: p: d",
		"stage x: no crash",
		"stage x: bound missed: stale_reads is 2, bound at most 1",
		"stage x: bound missed: peak_goodput_per_s was not measured, bound at least 1",
	}))
}

// Guards against a trial that ends without a recovery and is counted as a short failover gap.
func TestTrialWithoutRecovery(t *testing.T) {
	g := gomega.NewWithT(t)
	out := map[string]float64{}
	stageData{trials: []Trial{{Do: ActCrash, Gap: time.Second}, {Do: ActCrash, Gap: time.Second, Recovered: true}}}.addFailoverMeasures(out)
	g.Expect(out[FailoverMax]).To(gomega.Equal(recoveryTimeout.Seconds()))
}
