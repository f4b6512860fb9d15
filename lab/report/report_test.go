package report

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/lab/audit"
	"verbenagate/lab/exper"
	"verbenagate/lab/load"
)

// result returns a small result that has the data of most plots.
func result(seed uint64, share, gap float64) exper.Result {
	minimum, maximum := 0.9, 3.0
	measures := map[string]float64{
		exper.ShareOfOracle: share, exper.OracleShare: 0.9, exper.ReplicaShare: 0.9 * share, exper.ShortQuiet: 10,
		exper.ShortStraggler: 11, exper.HeadOfLine: 1.1, exper.FailoverMax: gap,
	}
	verdict := func(name string, b exper.Bound, ok bool) exper.Verdict {
		b.Measure = name
		return exper.Verdict{Bound: b, Value: measures[name], Known: true, OK: ok}
	}
	s := exper.StageResult{
		Name: "all", Measures: measures, Marks: []exper.Mark{{At: time.Second, Text: "crash <of> primary"}},
		Bounds: []exper.Verdict{
			verdict(exper.ShareOfOracle, exper.Bound{Min: &minimum}, share >= minimum),
			verdict(exper.FailoverMax, exper.Bound{Max: &maximum}, gap <= maximum),
		},
		Loads: []exper.LoadResult{{Service: "dues", Summary: load.Summary{Timeline: []load.Bucket{
			{Done: 2, Total: 5000, Slowest: 3000}, {Done: 1, Total: 4000, Slowest: 4000, NotRun: 1},
		}}}},
	}
	return exper.Result{Name: "small", Seed: seed, Stages: []exper.StageResult{s}}
}

// Guards against a page that loads assets from elsewhere, omits a plot or its text description, or does not escape text of
// a result.
func TestPage(t *testing.T) {
	g := gomega.NewWithT(t)
	r := result(1, 0.95, 1)
	peak := r.Stages[0]
	peak.Name, peak.Measures = "peak", map[string]float64{exper.SlotCapacity: 100}
	trials := r.Stages[0]
	trials.Name, trials.Trials = "trials", []exper.Trial{{Do: exper.ActCrash, Gap: time.Second}, {Do: exper.ActFreeze}}
	r.Stages = append(r.Stages, peak, trials)
	var b strings.Builder
	g.Expect(Write(&b, []exper.Result{r, result(2, 0.85, 4)})).To(gomega.Succeed())
	for _, want := range []string{
		"Latency of done", "Goodput at the step", "Share of reads served", "Time to the first acknowledged write",
		"p99 of short work; ratio 1.10", "Before and after", "crash &lt;of&gt; primary", "stage all: bound missed",
		"time of the load, s; vertical axis: latency, ms", "1: crash &lt;of&gt; primary at 1 s", "slowest in 100 ms: from 3 to 4",
		`<td class="n">1</td><td class="n">1</td><td>crash`, "oracle: 0.9;",
	} {
		g.Expect(b.String()).To(gomega.ContainSubstring(want))
	}
	g.Expect(b.String()).NotTo(gomega.MatchRegexp(`(src|href)="(http|//|/)`))
}

func several(share ...float64) []exper.Result {
	var list []exper.Result
	for i, s := range share {
		list = append(list, result(uint64(i+1), s, 1))
	}
	return list
}

// bare returns results without measures.
func bare() []exper.Result {
	list := several(0.95, 0.96, 0.94)
	for i := range list {
		list[i].Stages[0].Bounds, list[i].Stages[0].Measures = nil, nil
	}
	return list
}

// slower returns results without bounds whose reads have these multiples of 10 ms as their median latency.
func slower(factor ...float64) []exper.Result {
	list := several(factor...)
	for i, f := range factor {
		s := &list[i].Stages[0]
		s.Bounds, s.Measures = nil, nil
		s.Loads[0].Summary.Latency = map[string]map[string]load.Quantiles{
			load.All: {load.Read.String(): {Count: 1000, P50: int64(10_000 * f), P99: 30_000}},
		}
	}
	return list
}

// spare returns results whose fullest server has this many connections over its limit (negative if under it). A bound
// allows none over the limit.
func spare(over ...float64) []exper.Result {
	list, maximum := several(over...), 0.0
	for i, v := range over {
		s := &list[i].Stages[0]
		s.Measures = map[string]float64{exper.ConnectionsOver: v}
		s.Bounds = []exper.Verdict{
			{Bound: exper.Bound{Measure: exper.ConnectionsOver, Max: &maximum}, Value: v, Known: true, OK: v <= maximum},
		}
	}
	return list
}

func resized() []exper.Result {
	list := several(0.95, 0.95, 0.95)
	list[1].Experiment.Site.VMs = 9
	return list
}

// Guards against a comparison that reports noise as a regression, misses a regression, or accepts too few pairs.
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after []exper.Result
		regression    bool
		err           string
	}{
		{"same results", several(0.95, 0.96, 0.94), several(0.95, 0.96, 0.94), false, ""},
		{"noise", several(0.95, 0.99, 0.91), several(0.99, 0.90, 0.95), false, ""},
		{"worse than noise", several(1.15, 1.16, 1.14), several(1.05, 1.06, 1.05), true, ""},
		{"better", several(0.95, 0.96, 0.94), several(1.05, 1.06, 1.05), false, ""},
		{"bound lost", several(0.91, 0.91, 0.91), several(0.89, 0.89, 0.89), true, ""},
		{"too few", several(0.95, 0.96), several(0.5, 0.5), false, "3 are needed"},
		{"no measures", bare(), bare(), false, "no measures that could be compared"},
		{"slower without a bound", slower(1, 1, 1), slower(1.5, 1.55, 1.45), true, ""},
		{"halved and doubled", slower(1, 2, 1, 2), slower(2, 1, 2, 1), false, ""},
		{"worse by less than 5%", slower(1, 1, 1), slower(1.04, 1.04, 1.04), false, ""},
		{"fewer free connections", spare(-20, -20, -20), spare(-15, -15, -15), false, ""},
		{"other settings", several(0.95, 0.95, 0.95), resized(), false, "different settings"},
		{"other seeds", several(0.95), []exper.Result{result(9, 1, 1)}, false, "no result"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			got, err := Compare(c.before, c.after)
			g.Expect(got.Regression()).To(gomega.Equal(c.regression))
			if c.err == "" {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.err)))
			}
		})
	}
}

// Guards against a failed audit that a comparison ignores because all measures are as before.
func TestFailedAuditIsRegression(t *testing.T) {
	g := gomega.NewWithT(t)
	after := several(0.95, 0.96, 0.94)
	after[1].Stages[0].Audits = []exper.AuditResult{
		{Service: "dues", Report: audit.Report{Findings: []audit.Finding{{Promise: "at most once", Detail: "twice"}}}},
	}
	c, err := Compare(several(0.95, 0.96, 0.94), after)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.Regression()).To(gomega.BeTrue())
	g.Expect(c.Audits()).To(gomega.ConsistOf(gomega.ContainSubstring("at most once")))
}

func ExampleCompare() {
	c, err := Compare(several(1.15, 1.16, 1.14), several(1.05, 1.06, 1.05))
	fmt.Println(c.Regression(), err)
	// Output: true <nil>
}

// Guards against a wrong t distribution or correction, with which noise would be reported as a regression or a regression
// missed. The quantiles come from printed tables.
func TestStudent(t *testing.T) {
	g := gomega.NewWithT(t)
	for df, want := range map[int]float64{1: 6.314, 2: 2.920, 3: 2.353, 4: 2.132, 5: 2.015, 9: 1.833, 10: 1.812, 30: 1.697} {
		g.Expect(studentQuantile(0.95, df)).To(gomega.BeNumerically("~", want, 0.0006), fmt.Sprint(df))
		g.Expect(studentCDF(-want, df)).To(gomega.BeNumerically("~", 0.05, 0.0001), fmt.Sprint(df))
	}
	g.Expect(benjaminiHochberg([]float64{0.04, 0.01, 0.03})).To(gomega.HaveExactElements(gomega.BeNumerically("~", 0.04, 1e-9),
		gomega.BeNumerically("~", 0.03, 1e-9), gomega.BeNumerically("~", 0.04, 1e-9)))
}

// Guards against a comparison page that omits the compared measures or does not distinguish the runs of the two sets.
func TestComparisonPage(t *testing.T) {
	g := gomega.NewWithT(t)
	before, after := slower(1, 1, 1), slower(1.5, 1.55, 1.45)
	c, err := Compare(before, after)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var b strings.Builder
	g.Expect(WriteComparison(&b, c, before, after)).To(gomega.Succeed())
	for _, want := range []string{
		"dues read p50, ms", `<td class="missed">REGRESSION</td>`, `<td class="met">no regression</td>`, "&#43;49.9%",
		`<a href="#run4">small, seed 1, after</a>`, `<h2 id="run4">`,
	} {
		g.Expect(b.String()).To(gomega.ContainSubstring(want))
	}
}
