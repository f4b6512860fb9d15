package report

import (
	"cmp"
	"math"
	"slices"
)

// significanceLevel bounds the probability that a comparison reports a regression although nothing changed.
const significanceLevel = 0.05

// pairedTest is the result of a one-sided paired t test of one measure: the mean change, the half width of its two-sided
// 90% confidence interval, and the probability of such a mean or a worse one if nothing changed.
type pairedTest struct{ mean, margin, p float64 }

func newPairedTest(changes []float64) pairedTest {
	n := float64(len(changes))
	if n < 2 {
		return pairedTest{mean: mean(changes), margin: math.Inf(1), p: 1}
	}
	m, sum := mean(changes), 0.0
	for _, c := range changes {
		sum += (c - m) * (c - m)
	}
	df := len(changes) - 1
	sigma := math.Sqrt(sum / float64(df) / n)
	if sigma == 0 {
		return pairedTest{mean: m, p: map[bool]float64{true: 0, false: 1}[m > 0]}
	}
	return pairedTest{mean: m, margin: studentQuantile(1-significanceLevel, df) * sigma, p: 1 - studentCDF(m/sigma, df)}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// studentCDF is the cumulative distribution function of Student's t with df degrees of freedom. It uses the finite sums of
// Abramowitz and Stegun, 26.7.3 and 26.7.4.
func studentCDF(t float64, df int) float64 {
	theta := math.Atan(t / math.Sqrt(float64(df)))
	sin, cos := math.Sincos(theta)
	term, sum, odd := 1.0, 0.0, df%2
	if odd == 1 {
		term = cos
	}
	for i := 1; i <= df/2; i++ {
		sum += term
		term *= cos * cos * float64(2*i-1+odd) / float64(2*i+odd)
	}
	if odd == 1 {
		return 0.5 + (theta+sin*sum)/math.Pi
	}
	return 0.5 + sin*sum/2
}

// studentQuantile is the inverse of studentCDF for p from 0.5 to 0.999.
func studentQuantile(p float64, df int) float64 {
	// The bisection starts below 1000, which is above the 99.9% quantile of any df, including 1.
	low, high := 0.0, 1000.0
	for range 60 {
		if mid := (low + high) / 2; studentCDF(mid, df) < p {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// benjaminiHochberg adjusts the probabilities of several tests by the method of Benjamini and Hochberg. If nothing
// changed, the probability that any of the tests reports a change is no higher than that of a single test. The correction
// of Bonferroni or Holm would keep this bound also if some measures changed, but with three pairs and 15 measures it
// missed reads that took 41% longer.
func benjaminiHochberg(ps []float64) []float64 {
	order := make([]int, len(ps))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(ps[a], ps[b]) })
	out, lowest := make([]float64, len(ps)), 1.0
	for rank := len(ps); rank > 0; rank-- {
		i := order[rank-1]
		lowest = min(lowest, ps[i]*float64(len(ps))/float64(rank))
		out[i] = lowest
	}
	return out
}
