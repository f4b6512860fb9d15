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

// Guards against a model with stale reads although hints reach every VM without delay, and against one in which a barrier allows
// more replica reads than an oracle.
func TestModel(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, terminals := range []int{1, 4} {
		l := NewLoad(0.3, lag, terminals, 0)
		barrier, home, hints := Model(l, Barrier, 1), Model(l, Home, 1), Model(l, Hints, 1)
		g.Expect(barrier.Replica).To(gomega.BeNumerically("<", barrier.Oracle))
		g.Expect([]int{home.Barriers, hints.Stale}).To(gomega.Equal([]int{0, 0}))
		// Without a delay, hints provide the same positions as a home VM, except for callers that have never written.
		g.Expect(hints.Replica).To(gomega.BeNumerically("<=", home.Replica))
	}
	g.Expect(Model(NewLoad(0.3, lag, 1, 0), Barrier, 1).Stale).To(gomega.BeZero())
	g.Expect(Model(NewLoad(0.3, lag, 1, time.Second), Hints, 1).Stale).To(gomega.BeNumerically(">", 0))
	// Without roaming, a barrier only affects the first reads of each connection.
	withoutRoaming := Model(NewLoad(0, lag, 1, 0), Barrier, 1)
	g.Expect(withoutRoaming.Barriers).To(gomega.Equal(40))
	g.Expect(withoutRoaming.Oracle - withoutRoaming.Replica).To(gomega.BeNumerically("<", 2*40))
}

// Guards against a failure model that has stale reads although the failure is too short for any VM to switch to another home VM.
func TestShortFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, f := range []Failure{Pause, Partition, Restart} {
		h := ModelFailure(NewLoad(1, lag, 1, 0), f, time.Second, 1)
		g.Expect(h.Stale).To(gomega.BeZero())
		g.Expect(h.LongestHold).To(gomega.BeNumerically("<=", time.Second))
	}
	g.Expect(ModelFailure(NewLoad(1, lag, 1, 0), Partition, 20*time.Second, 1).Stale).To(gomega.BeNumerically(">", 0))
}

// Guards against a measurement that no longer works with the current proxy.
func TestMeasureConnects(t *testing.T) {
	g := gomega.NewWithT(t)
	log, err := logs.New(&bytes.Buffer{}, "console", "error")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c, err := MeasureConnects(context.Background(), time.Millisecond, 9, []int{20}, time.Second/2, log)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.BarrierOnWatcher).NotTo(gomega.BeEmpty())
	g.Expect(c.BarrierElsewhere).NotTo(gomega.BeEmpty())
	// A barrier needs a round trip to a majority of the servers, and the links delay both directions.
	g.Expect(Quantile(c.BarrierOnWatcher, 0)).To(gomega.BeNumerically(">=", 2*time.Millisecond))
	g.Expect(c.FirstRead).To(gomega.HaveLen(9))
	g.Expect(c.Sharing[0].Requests).To(gomega.BeNumerically("<=", c.Sharing[0].Reconnects+1))
}
