package report

import (
	"cmp"
	"fmt"
	"math"
	"reflect"
	"slices"

	"verbenagate/lab/exper"
	"verbenagate/lab/load"
)

const (
	// minPairs is the least number of pairs that shows how much a measure varies between runs.
	minPairs = 3
	// minWorsening is the mean relative worsening up to which a change is not a regression, even if it is significant.
	minWorsening = 0.05
	// minRequestsForMedian and minRequestsForP99 are the numbers of requests from which a median and a p99 are compared.
	// The p99 of fewer than 500 requests is one of the five slowest.
	minRequestsForMedian, minRequestsForP99 = 30, 500
)

// Rule describes how Compare finds regressions, for the page and the help texts.
const Rule = `Results of the same experiment are paired by seed and time. For each measure that has a better direction, and for the
median and p99 of each kind of request, the relative changes of the pairs (logarithms of the ratios) go into a one-sided
paired t test. The probabilities are corrected for the number of measures by the method of Benjamini and Hochberg. A measure is a regression
if it is worse by more than 5% on average over at least 3 pairs with a corrected probability below 5%. It is also a regression if its
bound is met in all old results and missed in all new ones. An audit that failed in any new result is always a regression.`

// MeasureComparison is the comparison of one measure, or of one bound of it, in one stage.
type MeasureComparison struct {
	stage, measure        string
	before, after         float64
	change                pairedTest
	logRatio              bool
	correctedP            float64
	tested                bool
	pairs                 int
	higherIsBetter        bool
	regression, boundLost bool
}

// Regression reports whether the measure became worse by more than noise explains, by Rule.
func (m MeasureComparison) Regression() bool { return m.regression || m.boundLost }

// Stage returns the names of the experiment and its stage, separated by a slash.
func (m MeasureComparison) Stage() string { return m.stage }

// Measure returns the name of the measure.
func (m MeasureComparison) Measure() string { return m.measure }

// Before returns the mean of the old results.
func (m MeasureComparison) Before() float64 { return m.before }

// After returns the mean of the new results.
func (m MeasureComparison) After() float64 { return m.after }

// Pairs returns the number of pairs in which both results have the measure.
func (m MeasureComparison) Pairs() int { return m.pairs }

// Change returns the mean change and its 90% confidence interval as text.
func (m MeasureComparison) Change() string {
	if m.pairs == 0 {
		return "not measured"
	}
	if !m.tested {
		return "compared by its bound only"
	}
	sign := 1.0
	if m.higherIsBetter {
		sign = -1
	}
	low, mid, high := m.percent(sign*m.change.mean-m.change.margin), m.percent(sign*m.change.mean),
		m.percent(sign*m.change.mean+m.change.margin)
	return fmt.Sprintf("%+.1f%% (%+.1f%% to %+.1f%%)", mid, low, high)
}

func (m MeasureComparison) percent(change float64) float64 {
	if m.logRatio {
		return 100 * math.Expm1(change)
	}
	return 100 * change
}

// Probability returns as text the corrected probability that equal builds show such a change, or a dash if the measure
// was not tested.
func (m MeasureComparison) Probability() string {
	if !m.tested || m.pairs == 0 {
		return "–"
	}
	return fmt.Sprintf("%.2g", m.correctedP)
}

// Verdict says whether the change is a regression and why.
func (m MeasureComparison) Verdict() string {
	switch {
	case m.boundLost:
		return "REGRESSION: bound met before, missed now"
	case m.regression:
		return "REGRESSION"
	}
	return "no regression"
}

// String returns the comparison as one line of text.
func (m MeasureComparison) String() string {
	return fmt.Sprintf("%s %s: mean %.4g before, %.4g after, %s in %d pairs, p %s: %s", m.stage, m.measure, m.before, m.after,
		m.Change(), m.pairs, m.Probability(), m.Verdict())
}

// Comparison compares two sets of results.
type Comparison struct {
	measures []MeasureComparison
	audits   []string
}

// Judgements returns the comparisons of the measures.
func (c Comparison) Judgements() []MeasureComparison { return slices.Clone(c.measures) }

// Audits returns a line of text for each failed audit of the new results.
func (c Comparison) Audits() []string { return slices.Clone(c.audits) }

// Regression reports whether an audit of the new results failed or a measure is a regression.
func (c Comparison) Regression() bool {
	return len(c.audits) > 0 || slices.ContainsFunc(c.measures, MeasureComparison.Regression)
}

type resultPair struct{ before, after exper.Result }

// pairResults pairs results of the same experiment and seed in order of time.
func pairResults(before, after []exper.Result) []resultPair {
	order := func(a, b exper.Result) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Seed, b.Seed), a.Begun.Compare(b.Begun))
	}
	before, after = slices.Clone(before), slices.Clone(after)
	slices.SortFunc(before, order)
	slices.SortFunc(after, order)
	var list []resultPair
	for _, b := range before {
		i := slices.IndexFunc(after, func(a exper.Result) bool { return a.Name == b.Name && a.Seed == b.Seed })
		if i < 0 {
			continue
		}
		list = append(list, resultPair{b, after[i]})
		after = slices.Delete(after, i, i+1)
	}
	return list
}

// Compare compares new results with old ones by Rule. It returns an error if there are too few pairs to tell a change
// from noise, or if the two results of a pair were run with different settings.
func Compare(before, after []exper.Result) (Comparison, error) {
	var c Comparison
	for _, r := range after {
		for _, s := range r.Stages {
			for _, f := range s.AuditFailures() {
				c.audits = append(c.audits, fmt.Sprintf("%s, seed %d: %s", r.Name, r.Seed, f))
			}
		}
	}
	byName := map[string][]resultPair{}
	var names []string
	for _, p := range pairResults(before, after) {
		if !reflect.DeepEqual(p.before.Experiment, p.after.Experiment) {
			return c, fmt.Errorf("the results of experiment %s with seed %d were run with different settings", p.before.Name, p.before.Seed)
		}
		if byName[p.before.Name] == nil {
			names = append(names, p.before.Name)
		}
		byName[p.before.Name] = append(byName[p.before.Name], p)
	}
	if len(names) == 0 {
		return c, fmt.Errorf("no result of the new set has the same experiment and seed as a result of the old set")
	}
	var err error
	for _, name := range names {
		if n := len(byName[name]); n < minPairs {
			err = fmt.Errorf("experiment %s has %d pairs of results with the same seed; %d are needed to tell a change from noise",
				name, n, minPairs)
			continue
		}
		compared := compareMeasures(byName[name])
		if len(compared) == 0 {
			err = fmt.Errorf("experiment %s has no measures that could be compared", name)
		}
		c.measures = append(c.measures, compared...)
	}
	c.markRegressions()
	return c, err
}

// markRegressions corrects the probabilities of the tested measures and marks those that are regressions.
func (c Comparison) markRegressions() {
	var ps []float64
	for _, m := range c.measures {
		if m.tested {
			ps = append(ps, m.change.p)
		}
	}
	ps = benjaminiHochberg(ps)
	for i := range c.measures {
		m := &c.measures[i]
		if !m.tested {
			continue
		}
		m.correctedP, ps = ps[0], ps[1:]
		worse := m.change.mean
		if m.logRatio {
			worse = math.Expm1(worse)
		}
		m.regression = worse > minWorsening && m.correctedP < significanceLevel
	}
}

// comparedMeasure is one measure of one stage, or one bound of it, that is to be compared.
type comparedMeasure struct {
	stage, measure string
	better         exper.Direction
	value          func(exper.StageResult) (float64, bool)
	bound          *exper.Bound
}

// compareMeasures compares the measures of the pairs of one experiment.
func compareMeasures(list []resultPair) []MeasureComparison {
	var out []MeasureComparison
	for _, s := range list[0].after.Stages {
		for _, compared := range comparedMeasures(s) {
			if m := compared.compare(list); m.pairs > 0 || m.boundLost {
				out = append(out, m)
			}
		}
	}
	return out
}

func comparedMeasures(s exper.StageResult) []comparedMeasure {
	var list []comparedMeasure
	for _, name := range exper.MeasureNames() {
		compared := comparedMeasure{
			stage: s.Name, measure: name, better: exper.Better(name),
			value: func(s exper.StageResult) (float64, bool) {
				v, ok := s.Measures[name]
				return v, ok
			},
		}
		bounded := false
		for _, v := range s.Bounds {
			if v.Measure == name {
				compared.bound, bounded = &v.Bound, true
				list = append(list, compared)
			}
		}
		if _, ok := s.Measures[name]; ok && !bounded && compared.better != exper.Neither {
			list = append(list, compared)
		}
	}
	for _, l := range s.Loads {
		for _, k := range load.Kinds() {
			list = append(list, comparedLatencies(s.Name, l.Service, k.String())...)
		}
	}
	return list
}

// comparedLatencies returns the median and the p99 of one kind of request.
func comparedLatencies(stage, service, kind string) []comparedMeasure {
	quantile := func(minCount int64, of func(load.Quantiles) int64) func(exper.StageResult) (float64, bool) {
		return func(s exper.StageResult) (float64, bool) {
			i := slices.IndexFunc(s.Loads, func(l exper.LoadResult) bool { return l.Service == service })
			if i < 0 {
				return 0, false
			}
			q := s.Loads[i].Summary.Latency[load.All][kind]
			return float64(of(q)) / 1000, q.Count >= minCount
		}
	}
	return []comparedMeasure{
		{
			stage: stage, measure: service + " " + kind + " p50, ms", better: exper.Lower,
			value: quantile(minRequestsForMedian, func(q load.Quantiles) int64 { return q.P50 }),
		},
		{
			stage: stage, measure: service + " " + kind + " p99, ms", better: exper.Lower,
			value: quantile(minRequestsForP99, func(q load.Quantiles) int64 { return q.P99 }),
		},
	}
}

func (compared comparedMeasure) compare(list []resultPair) MeasureComparison {
	m := MeasureComparison{
		stage: list[0].after.Name + "/" + compared.stage, measure: compared.measure, boundLost: compared.bound != nil,
		tested: compared.better != exper.Neither, higherIsBetter: compared.better == exper.Higher,
	}
	var before, after []float64
	for _, p := range list {
		old, okOld := stageOf(p.before, compared.stage)
		now, okNow := stageOf(p.after, compared.stage)
		if compared.bound != nil {
			m.boundLost = m.boundLost && boundMet(old, *compared.bound) && !boundMet(now, *compared.bound)
		}
		if !okOld || !okNow {
			continue
		}
		b, okOld := compared.value(old)
		a, okNow := compared.value(now)
		if okOld && okNow {
			before, after = append(before, b), append(after, a)
		}
	}
	m.pairs = len(before)
	m.before, m.after = mean(before), mean(after)
	if m.pairs < minPairs {
		m.tested = false
		return m
	}
	var worse []float64
	worse, m.logRatio = worsening(before, after, m.higherIsBetter)
	m.change = newPairedTest(worse)
	return m
}

func stageOf(r exper.Result, name string) (exper.StageResult, bool) {
	i := slices.IndexFunc(r.Stages, func(s exper.StageResult) bool { return s.Name == name })
	if i < 0 {
		return exper.StageResult{}, false
	}
	return r.Stages[i], true
}

func boundMet(s exper.StageResult, b exper.Bound) bool {
	return slices.ContainsFunc(s.Bounds, func(v exper.Verdict) bool {
		return v.Measure == b.Measure && (v.Min != nil) == (b.Min != nil) && v.OK
	})
}

// worsening returns the relative change of each pair, positive for a change for the worse. If all values are positive,
// the change is the logarithm of the ratio, because plain relative changes of equal builds have a mean above zero: a value
// that halves and one that doubles give -50% and +100%. Otherwise it is the difference as a share of the mean magnitude of
// all values.
func worsening(before, after []float64, higherIsBetter bool) (changes []float64, logRatio bool) {
	sign, meanMagnitude, logRatio := 1.0, 0.0, true
	if higherIsBetter {
		sign = -1
	}
	for i := range before {
		meanMagnitude += (math.Abs(before[i]) + math.Abs(after[i])) / float64(2*len(before))
		logRatio = logRatio && before[i] > 0 && after[i] > 0
	}
	for i := range before {
		switch {
		case logRatio:
			changes = append(changes, sign*math.Log(after[i]/before[i]))
		case meanMagnitude == 0:
			changes = append(changes, 0)
		default:
			changes = append(changes, sign*(after[i]-before[i])/meanMagnitude)
		}
	}
	return changes, logRatio
}
