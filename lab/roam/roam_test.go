package roam

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/io/logs"
)

const lag = 200 * time.Millisecond

// Guards against a model in which a session sees less than it must although positions reach every VM at once, or in which
// a barrier sends more reads to replicas than an oracle.
func TestModel(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, terminals := range []int{1, 4} {
		l := NewLoad(0.3, lag, terminals, 0)
		barrier, home, hints := Model(l, Barrier, 1), Model(l, Home, 1), Model(l, Hints, 1)
		g.Expect(barrier.Replica).To(gomega.BeNumerically("<", barrier.Oracle))
		g.Expect([]int{home.Barriers, hints.Stale}).To(gomega.Equal([]int{0, 0}))
		// Without a delay hints know what a home VM knows, but for callers that never wrote.
		g.Expect(hints.Replica).To(gomega.BeNumerically("<=", home.Replica))
	}
	g.Expect(Model(NewLoad(0.3, lag, 1, 0), Barrier, 1).Stale).To(gomega.BeZero())
	g.Expect(Model(NewLoad(0.3, lag, 1, time.Second), Hints, 1).Stale).To(gomega.BeNumerically(">", 0))
	// Without roaming only the first reads of each connection pay for its barrier.
	still := Model(NewLoad(0, lag, 1, 0), Barrier, 1)
	g.Expect(still.Barriers).To(gomega.Equal(40))
	g.Expect(still.Oracle - still.Replica).To(gomega.BeNumerically("<", 2*40))
}

// Guards against a failure model that makes reads stale although no VM changes its view of the home.
func TestShortFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, f := range []Failure{Pause, Cut, Restart} {
		h := Fail(NewLoad(1, lag, 1, 0), f, time.Second, 1)
		g.Expect(h.Stale).To(gomega.BeZero())
		g.Expect(h.LongestHold).To(gomega.BeNumerically("<=", time.Second))
	}
	g.Expect(Fail(NewLoad(1, lag, 1, 0), Cut, 20*time.Second, 1).Stale).To(gomega.BeNumerically(">", 0))
}

// Guards against a measurement that no longer works with the product.
func TestMeasureConnects(t *testing.T) {
	g := gomega.NewWithT(t)
	log, err := logs.New(&bytes.Buffer{}, "console", "error")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c, err := MeasureConnects(context.Background(), time.Millisecond, 9, []int{20}, time.Second/2, log)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.Watcher).NotTo(gomega.BeEmpty())
	g.Expect(c.Other).NotTo(gomega.BeEmpty())
	// A barrier needs a round trip to a majority, which the links delay on both ways.
	g.Expect(Quantile(c.Watcher, 0)).To(gomega.BeNumerically(">=", 2*time.Millisecond))
	g.Expect(c.First).To(gomega.HaveLen(9))
	g.Expect(c.Shared[0].Rounds).To(gomega.BeNumerically("<=", c.Shared[0].Reconnects+1))
}
