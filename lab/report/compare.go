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
	// minPairs is the least number of pairs that shows how much a measure varies.
	minPairs = 3
	// minChange is the mean relative worsening below which a change is not a regression, however certain it is.
	minChange = 0.05
	// minMedian and minTail are the requests that a median and a p99 need. The p99 of fewer is one of the five slowest.
	minMedian, minTail = 30, 500
)

// Rule describes how Compare judges.
const Rule = `Results of the same experiment are paired by seed and time. For each measure that has a better direction, and for the
median and p99 of each kind of request, the relative changes of the pairs (logarithms of the ratios) go into a one-sided
paired t test. The probabilities are corrected for the number of measures by the method of Benjamini and Hochberg. A measure is a regression
if it is worse by more than 5% on average over at least 3 pairs with a corrected probability below 5%. It is also one if its
bound is met in all old results and missed in all new ones. An audit that failed in any new result is always a regression.`

// Judgement is the comparison of one measure.
type Judgement struct {
	stage, measure   string
	before, after    float64
	change           paired
	ratio            bool
	corrected        float64
	tested           bool
	pairs            int
	higherIsBetter   bool
	regression, lost bool
}

// Regression reports whether the measure became worse beyond noise.
func (j Judgement) Regression() bool { return j.regression || j.lost }

// Stage returns the experiment and its stage.
func (j Judgement) Stage() string { return j.stage }

// Measure returns the name of the measure.
func (j Judgement) Measure() string { return j.measure }

// Before returns the mean of the old results.
func (j Judgement) Before() float64 { return j.before }

// After returns the mean of the new results.
func (j Judgement) After() float64 { return j.after }

// Pairs returns the number of pairs that have the measure.
func (j Judgement) Pairs() int { return j.pairs }

// Change describes the mean change and its 90% confidence interval.
func (j Judgement) Change() string {
	if j.pairs == 0 {
		return "not measured"
	}
	if !j.tested {
		return "judged by its bound"
	}
	sign := 1.0
	if j.higherIsBetter {
		sign = -1
	}
	low, mid, high := j.percent(sign*j.change.mean-j.change.margin), j.percent(sign*j.change.mean),
		j.percent(sign*j.change.mean+j.change.margin)
	return fmt.Sprintf("%+.1f%% (%+.1f%% to %+.1f%%)", mid, low, high)
}

func (j Judgement) percent(change float64) float64 {
	if j.ratio {
		return 100 * math.Expm1(change)
	}
	return 100 * change
}

// Probability describes the corrected probability of the change if the builds are equal.
func (j Judgement) Probability() string {
	if !j.tested || j.pairs == 0 {
		return "–"
	}
	return fmt.Sprintf("%.2g", j.corrected)
}

// Verdict says what the change is.
func (j Judgement) Verdict() string {
	switch {
	case j.lost:
		return "REGRESSION: bound met before, missed now"
	case j.regression:
		return "REGRESSION"
	}
	return "no regression"
}

// String describes the judgement.
func (j Judgement) String() string {
	return fmt.Sprintf("%s %s: mean %.4g before, %.4g after, %s in %d pairs, p %s: %s", j.stage, j.measure, j.before, j.after,
		j.Change(), j.pairs, j.Probability(), j.Verdict())
}

// Comparison is the comparison of two sets of results.
type Comparison struct {
	judgements []Judgement
	audits     []string
}

// Judgements returns the comparison of each measure.
func (c Comparison) Judgements() []Judgement { return slices.Clone(c.judgements) }

// Audits returns the failed audits of the new results.
func (c Comparison) Audits() []string { return slices.Clone(c.audits) }

// Regression reports whether anything became worse beyond noise.
func (c Comparison) Regression() bool {
	return len(c.audits) > 0 || slices.ContainsFunc(c.judgements, Judgement.Regression)
}

type pair struct{ before, after exper.Result }

// pairs matches results of the same experiment in the order of seed and time.
func pairs(before, after []exper.Result) []pair {
	order := func(a, b exper.Result) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Seed, b.Seed), a.Begun.Compare(b.Begun))
	}
	before, after = slices.Clone(before), slices.Clone(after)
	slices.SortFunc(before, order)
	slices.SortFunc(after, order)
	var list []pair
	for _, b := range before {
		i := slices.IndexFunc(after, func(a exper.Result) bool { return a.Name == b.Name && a.Seed == b.Seed })
		if i < 0 {
			continue
		}
		list = append(list, pair{b, after[i]})
		after = slices.Delete(after, i, i+1)
	}
	return list
}

// Compare judges new results against old ones by Rule. It fails if there are too few pairs to tell a change from noise, or
// if the results of a pair are of different settings.
func Compare(before, after []exper.Result) (Comparison, error) {
	var c Comparison
	for _, r := range after {
		for _, s := range r.Stages {
			for _, f := range s.AuditFailures() {
				c.audits = append(c.audits, fmt.Sprintf("%s, seed %d: %s", r.Name, r.Seed, f))
			}
		}
	}
	byName := map[string][]pair{}
	var names []string
	for _, p := range pairs(before, after) {
		if !reflect.DeepEqual(p.before.Experiment, p.after.Experiment) {
			return c, fmt.Errorf("the results of experiment %s with seed %d are of different settings", p.before.Name, p.before.Seed)
		}
		if byName[p.before.Name] == nil {
			names = append(names, p.before.Name)
		}
		byName[p.before.Name] = append(byName[p.before.Name], p)
	}
	if len(names) == 0 {
		return c, fmt.Errorf("no result of the new set has the experiment and seed of one of the old set")
	}
	var err error
	for _, name := range names {
		if n := len(byName[name]); n < minPairs {
			err = fmt.Errorf("experiment %s has %d pairs of results with the same seed; %d are needed to tell a change from noise",
				name, n, minPairs)
			continue
		}
		judged := judge(byName[name])
		if len(judged) == 0 {
			err = fmt.Errorf("experiment %s has no measures that could be compared", name)
		}
		c.judgements = append(c.judgements, judged...)
	}
	c.test()
	return c, err
}

// test marks the regressions beyond noise.
func (c Comparison) test() {
	var ps []float64
	for _, j := range c.judgements {
		if j.tested {
			ps = append(ps, j.change.p)
		}
	}
	ps = corrected(ps)
	for i := range c.judgements {
		j := &c.judgements[i]
		if !j.tested {
			continue
		}
		j.corrected, ps = ps[0], ps[1:]
		worse := j.change.mean
		if j.ratio {
			worse = math.Expm1(worse)
		}
		j.regression = worse > minChange && j.corrected < significance
	}
}

// subject is one measure, or one bound of it, of one stage.
type subject struct {
	stage, measure string
	better         exper.Direction
	value          func(exper.StageResult) (float64, bool)
	bound          *exper.Bound
}

// judge compares the measures of the pairs of one experiment.
func judge(list []pair) []Judgement {
	var out []Judgement
	for _, s := range list[0].after.Stages {
		for _, sub := range subjects(s) {
			if j := sub.judge(list); j.pairs > 0 || j.lost {
				out = append(out, j)
			}
		}
	}
	return out
}

func subjects(s exper.StageResult) []subject {
	var list []subject
	for _, name := range exper.MeasureNames() {
		sub := subject{stage: s.Name, measure: name, better: exper.Better(name), value: func(s exper.StageResult) (float64, bool) {
			v, ok := s.Measures[name]
			return v, ok
		}}
		bounded := false
		for _, v := range s.Bounds {
			if v.Measure == name {
				sub.bound, bounded = &v.Bound, true
				list = append(list, sub)
			}
		}
		if _, ok := s.Measures[name]; ok && !bounded && sub.better != exper.Neither {
			list = append(list, sub)
		}
	}
	for _, l := range s.Loads {
		for _, k := range load.Kinds() {
			list = append(list, latencySubjects(s.Name, l.Service, k.String())...)
		}
	}
	return list
}

// latencySubjects are the median and the p99 of one kind of request.
func latencySubjects(stage, service, kind string) []subject {
	quantile := func(least int64, of func(load.Quantiles) int64) func(exper.StageResult) (float64, bool) {
		return func(s exper.StageResult) (float64, bool) {
			i := slices.IndexFunc(s.Loads, func(l exper.LoadResult) bool { return l.Service == service })
			if i < 0 {
				return 0, false
			}
			q := s.Loads[i].Summary.Latency[load.All][kind]
			return float64(of(q)) / 1000, q.Count >= least
		}
	}
	return []subject{
		{
			stage: stage, measure: service + " " + kind + " p50, ms", better: exper.Lower,
			value: quantile(minMedian, func(q load.Quantiles) int64 { return q.P50 }),
		},
		{
			stage: stage, measure: service + " " + kind + " p99, ms", better: exper.Lower,
			value: quantile(minTail, func(q load.Quantiles) int64 { return q.P99 }),
		},
	}
}

func (sub subject) judge(list []pair) Judgement {
	j := Judgement{
		stage: list[0].after.Name + "/" + sub.stage, measure: sub.measure, lost: sub.bound != nil,
		tested: sub.better != exper.Neither, higherIsBetter: sub.better == exper.Higher,
	}
	var before, after []float64
	for _, p := range list {
		old, okOld := stageOf(p.before, sub.stage)
		now, okNow := stageOf(p.after, sub.stage)
		if sub.bound != nil {
			j.lost = j.lost && met(old, *sub.bound) && !met(now, *sub.bound)
		}
		if !okOld || !okNow {
			continue
		}
		b, okOld := sub.value(old)
		a, okNow := sub.value(now)
		if okOld && okNow {
			before, after = append(before, b), append(after, a)
		}
	}
	j.pairs = len(before)
	j.before, j.after = mean(before), mean(after)
	if j.pairs < minPairs {
		j.tested = false
		return j
	}
	var worse []float64
	worse, j.ratio = worsening(before, after, j.higherIsBetter)
	j.change = newPaired(worse)
	return j
}

func stageOf(r exper.Result, name string) (exper.StageResult, bool) {
	i := slices.IndexFunc(r.Stages, func(s exper.StageResult) bool { return s.Name == name })
	if i < 0 {
		return exper.StageResult{}, false
	}
	return r.Stages[i], true
}

func met(s exper.StageResult, b exper.Bound) bool {
	return slices.ContainsFunc(s.Bounds, func(v exper.Verdict) bool {
		return v.Measure == b.Measure && (v.Min != nil) == (b.Min != nil) && v.OK
	})
}

// worsening returns the relative change of each pair in the direction that is worse. If all values are positive, it is
// the logarithm of the ratio, because plain relative changes of equal builds have a mean above zero: a value that halves
// and one that doubles give -50% and +100%. Otherwise it is the difference as a share of the mean of all magnitudes.
func worsening(before, after []float64, higherIsBetter bool) (changes []float64, ratio bool) {
	sign, size, ratio := 1.0, 0.0, true
	if higherIsBetter {
		sign = -1
	}
	for i := range before {
		size += (math.Abs(before[i]) + math.Abs(after[i])) / float64(2*len(before))
		ratio = ratio && before[i] > 0 && after[i] > 0
	}
	for i := range before {
		switch {
		case ratio:
			changes = append(changes, sign*math.Log(after[i]/before[i]))
		case size == 0:
			changes = append(changes, 0)
		default:
			changes = append(changes, sign*(after[i]-before[i])/size)
		}
	}
	return changes, ratio
}
