package even

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// estimateOf returns an estimate with a report that is age old at start.
func estimateOf(r Report, age time.Duration) *Estimate {
	e := &Estimate{}
	e.RecordReport(start.Add(-age), r, 0)
	return e
}

func drawReport(t *rapid.T) Report {
	return NewReport(rapid.IntRange(0, 100).Draw(t, "load"), rapid.Float64Range(0, 20).Draw(t, "demand"),
		rapid.Float64Range(0, 1).Draw(t, "near"), time.Duration(rapid.IntRange(1, 1000).Draw(t, "service"))*time.Millisecond)
}

// Guards against shares that do not add up, and against work for a server while a less loaded one gets none.
func TestSharesMakeLoadsEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []Candidate
		for range rapid.IntRange(1, 6).Draw(t, "servers") {
			e := &Estimate{}
			if rapid.IntRange(0, 3).Draw(t, "reported") > 0 {
				age := time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond
				e = estimateOf(drawReport(t), age)
			}
			e.SetOwn(start, rapid.IntRange(0, 5).Draw(t, "own"))
			candidates = append(candidates, NewCandidate(e, rapid.IntRange(1, 8).Draw(t, "slots"),
				rapid.Float64Range(0, 1).Draw(t, "penalty")))
		}
		if !Spread(start, candidates) {
			return
		}
		sum, surface := 0.0, 0.0
		for _, c := range candidates {
			sum += c.Share()
			if c.Share() > 0 {
				surface = max(surface, c.Load()+c.penalty)
			}
		}
		g := gomega.NewWithT(t)
		g.Expect(sum).To(gomega.BeNumerically("~", 1, 1e-6))
		for _, c := range candidates {
			g.Expect(c.Load() + c.penalty).To(gomega.BeNumerically(">=", surface-1e-6*(1+surface)))
			g.Expect(c.Share()).To(gomega.BeNumerically(">=", 0))
		}
	})
}

// Guards against statements of this VM that are counted twice: as its own, and in the report.
func TestOwnStatementsCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &Estimate{}
	e.SetOwn(start, 3)
	e.RecordReport(start, NewReport(5, 0, 0, time.Second), 1) // two of the three still run
	e.SetOwn(start, 2)
	candidates := []Candidate{NewCandidate(e, 1, 0)}
	g.Expect(Spread(start, candidates)).To(gomega.BeTrue())
	g.Expect(candidates[0].Load()).To(gomega.BeNumerically("~", 5, 1e-3))
}

// Guards against VMs that each correct the same unevenness, and thereby overrun the other server: those of a place move no more
// than their own part, and all of it.
func TestOnlyOwnPartIsMoved(t *testing.T) {
	g := gomega.NewWithT(t)
	old := 10 * time.Second
	candidates := []Candidate{
		NewCandidate(estimateOf(NewReport(0, 4, 0.25, time.Millisecond), old), 1, 0),
		NewCandidate(estimateOf(NewReport(0, 1, 1, time.Millisecond), old), 1, 0),
	}
	g.Expect(Spread(start, candidates)).To(gomega.BeTrue())
	g.Expect(candidates[0].Share()).To(gomega.BeNumerically("~", 0, 1e-6))
	g.Expect(candidates[0].Load()).To(gomega.BeNumerically("~", 3, 1e-3), "the part of other places stays")
	g.Expect(candidates[1].Load()).To(gomega.BeNumerically("~", 2, 1e-3), "it gets all that is moved")
}

// Guards against a demand that misses a part of the statements, and against places that are kept for ever.
func TestMeter(t *testing.T) {
	g := gomega.NewWithT(t)
	var m Meter
	g.Expect(m.Report(start, 0, 1).Known()).To(gomega.BeFalse())
	now := start
	for n := range 6000 { // 500/s of 10 ms each, a quarter of them from place 2
		now = now.Add(2 * time.Millisecond)
		place := Place(1)
		if n%4 == 0 {
			place = 2
		}
		m.RecordOrigin(now, place)
		m.RecordStatement(now)
		m.RecordSuccess(now, 10*time.Millisecond)
	}
	r := m.Report(now, 7, 2)
	g.Expect(r.Known()).To(gomega.BeTrue())
	g.Expect(r.Load()).To(gomega.Equal(7))
	g.Expect(r.Demand()).To(gomega.BeNumerically("~", 5, 0.05))
	g.Expect(r.Near()).To(gomega.BeNumerically("~", 0.25, 0.01))
	g.Expect(r.Service()).To(gomega.BeNumerically("~", 10*time.Millisecond, time.Microsecond))
	g.Expect(r.Failed()).To(gomega.BeZero())
	g.Expect(m.Report(now.Add(time.Minute), 0, 2).Demand()).To(gomega.BeNumerically("<", 1e-6))
	g.Expect(m.origins).To(gomega.BeEmpty())
}

// Guards against VMs of a data centre without a replica that are taken for VMs near one.
func TestPlaceOfDataCentreIsNotZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if PlaceOf(rapid.String().Draw(t, "data centre")) == 0 {
			t.Fatal("the place is 0")
		}
	})
}

// Guards against a server that attracts work by failing fast, against one that never gets work again, and against all servers of a
// group that lose their shares since they fail alike.
func TestFailuresCountAgainstNeighbours(t *testing.T) {
	g := gomega.NewWithT(t)
	shares := func(age time.Duration, failed ...float64) []float64 {
		var candidates []Candidate
		for _, f := range failed {
			r := NewReport(0, 1, 1, 10*time.Millisecond).WithFailures(f)
			candidates = append(candidates, NewCandidate(estimateOf(r, age), 4, 0))
		}
		Spread(start, candidates)
		var all []float64
		for _, c := range candidates {
			all = append(all, c.Share())
		}
		return all
	}
	age := 100 * time.Millisecond
	g.Expect(shares(age, 1, 0)[0]).To(gomega.And(gomega.BeNumerically(">", 0.005), gomega.BeNumerically("<", 0.02)))
	g.Expect(shares(age, 0.3, 0)[0]).To(gomega.BeNumerically("<", 0.05))
	g.Expect(shares(age, 0.05, 0)[0]).To(gomega.BeNumerically("~", 0.5, 0.01), "failures that occur at sound servers")
	g.Expect(shares(age, 1, 1)[0]).To(gomega.BeNumerically("~", 0.5, 0.01))
	g.Expect(shares(4*failureMemory, 1, 0)[0]).To(gomega.BeNumerically("~", 0.5, 0.1), "an old report")
}

// Guards against a speed that is learned from failures, and against failures that a server with few statements is blamed for long
// after it has healed.
func TestMeterOfFailures(t *testing.T) {
	g := gomega.NewWithT(t)
	var m Meter
	now := start
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		m.RecordSuccess(now, 20*time.Millisecond)
	}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		m.RecordFailure(now)
	}
	r := m.Report(now, 0, 0)
	g.Expect(r.Failed()).To(gomega.BeNumerically(">", 0.95))
	g.Expect(r.Service()).To(gomega.BeNumerically("~", 20*time.Millisecond, time.Microsecond))
	for range 4 {
		now = now.Add(failureMemory)
		m.RecordSuccess(now, 20*time.Millisecond)
	}
	g.Expect(m.Report(now, 0, 0).Failed()).To(gomega.BeNumerically("<", failureTolerance))
}
