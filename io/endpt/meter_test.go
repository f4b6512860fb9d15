package endpt_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"verbenagate/core/point"
	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/io/endpt"
	"verbenagate/io/metric"
)

// Guards against connections, replays, shed units or queueing delays of a server that are missing from its metrics.
func TestMetrics(t *testing.T) {
	g := NewWithT(t)
	frozen := make(chan struct{})
	f := newFake(t, func(sql string, p [][]byte) reply {
		switch {
		case strings.HasSuffix(sql, "drop"):
			return reply{drop: true}
		case strings.HasSuffix(sql, "wait"):
			return reply{wait: frozen}
		}
		return echoReply(sql, p)
	})
	set := metric.NewSet(metric.Catalog(), time.Hour)
	s := newServer(t, f, primary(), func(c *endpt.Config) {
		c.Metrics = set
		c.ConfirmCommit = func(context.Context, point.Point) error { return nil }
	})
	st := s.Open("anna")
	defer st.Close()
	for range 2 {
		fin, _ := run(st, paymentUnit("k1"))
		g.Expect(fin.Code).To(Equal(result.OK), fin.Message)
	}
	run(st, query(stmt.Read, "SELECT drop"))
	var wg sync.WaitGroup
	for range 3 { // the number of slots
		wg.Go(func() {
			st := s.Open("bert")
			defer st.Close()
			run(st, query(stmt.Write, "INSERT wait"))
		})
	}
	g.Eventually(func() int { return s.State().RunningShort + s.State().RunningLong }, testTimeout).Should(Equal(3))
	late := query(stmt.Read, "SELECT 1")
	late.Remaining = 100 * time.Millisecond
	fin, _ := run(st, late)
	g.Expect(fin.Code).To(Equal(result.DeadlineTooClose))
	close(frozen)
	wg.Wait()
	s.RequiredPoints(context.Background(), []string{"anna", "bert"}, point.New(1, 1000))
	g.Expect(set.Close()).To(Succeed())
	values := map[string]float64{}
	for _, v := range set.Samples() {
		values[strings.TrimPrefix(v.Name, metric.Prefix)+v.Labels["class"]] += v.Value
	}
	g.Expect(values).To(HaveKeyWithValue(metric.OnceReplays, 1.0))
	g.Expect(values).To(HaveKeyWithValue(metric.QuorumSeconds, 5.0))
	g.Expect(values).To(HaveKeyWithValue(metric.QueueSeconds+"short", 6.0))
	g.Expect(values).To(HaveKeyWithValue(metric.SessionPoints, 2.0))
	g.Expect(values).To(HaveKeyWithValue(metric.UnitsShed, 1.0))
	g.Expect(values).To(HaveKeyWithValue(metric.ConnectionsPoisoned, 1.0))
	g.Expect(values[metric.ConnectionsOpened]).To(BeNumerically(">=", 4))
}
