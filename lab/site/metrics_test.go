package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/onsi/gomega"

	"verbenagate/io/metric"
	"verbenagate/io/node"
	"verbenagate/lab/load"
)

// coveredElsewhere are metrics that a short load need not set, each with the package whose tests provoke it or the reason.
var coveredElsewhere = map[string]string{
	metric.MetricErrors:        "io/metric",
	metric.HedgedReads:         "io/front",
	metric.OnceReplays:         "io/endpt",
	metric.ConnectionsPoisoned: "io/endpt",
	metric.UnitsShed:           "io/endpt",
	metric.QueueLength:         "a gauge that may be zero",
	metric.LongSlotsBusy:       "a gauge that may be zero",
}

// scrapeMax reads the metrics of a VM as a monitoring system does, and keeps the highest value of each metric in highest.
func scrapeMax(g gomega.Gomega, n *node.Node, highest map[string]float64) {
	resp, err := http.Get("http://" + n.MetricsAddr() + "/metrics.json")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var samples []metric.Sample
	g.Expect(json.NewDecoder(resp.Body).Decode(&samples)).To(gomega.Succeed())
	for _, v := range samples {
		name := strings.TrimPrefix(v.Name, metric.Prefix)
		highest[name] = max(highest[name], v.Value)
	}
}

// Guards against metrics that are in the catalogue, and on operators' dashboards, but that no VM ever sets.
func TestEveryMetricIsSet(t *testing.T) {
	g := gomega.NewWithT(t)
	s := open(t, smallSpec())
	refused, err := pgconn.Connect(t.Context(), fmt.Sprintf("postgres://%s:wrong@%s/dues?sslmode=disable", User(0),
		s.Nodes()[0].CallerAddr()))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(refused).To(gomega.BeNil())
	p := load.Profile{
		Duration: 6 * time.Second, Rate: 200, Callers: 40, Pay: 0.2, Transfer: 0.05, Browse: 0.1, Roam: 0.1,
		MaxAge: time.Second, Stragglers: 4, StragglerTime: 300 * time.Millisecond,
	}
	done := make(chan struct{})
	record := load.NewRecord(nil)
	go func() {
		defer close(done)
		load.Run(context.Background(), p, load.Plan(p, 1), s.Target("dues"), record, time.Now())
	}()
	highest := map[string]float64{}
	crash := time.After(2 * time.Second)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for running := true; running; {
		select {
		case <-crash:
			s.Primary("dues").Crash()
		case <-tick.C:
			for _, n := range s.Nodes() {
				scrapeMax(g, n, highest)
			}
		case <-done:
			running = false
		}
	}
	stop := keepSlotBusy(t, s.Nodes()[0].CallerAddr())
	defer stop()
	// Values appear with a delay of up to one report interval, and totals are sampled once per interval.
	g.Eventually(func(g gomega.Gomega) {
		for _, n := range s.Nodes() {
			scrapeMax(g, n, highest)
		}
		for _, d := range metric.Catalog().Defs() {
			if _, ok := coveredElsewhere[d.Name()]; !ok {
				g.Expect(highest[d.Name()]).To(gomega.BeNumerically(">", 0), d.Name())
			} else if d.Kind() == metric.KindGauge {
				g.Expect(highest).To(gomega.HaveKey(d.Name()))
			}
		}
	}, "10s", "200ms").Should(gomega.Succeed())
	g.Expect(highest[metric.MetricErrors]).To(gomega.BeZero(), "a metric is used with a wrong name or number of labels")
}

// keepSlotBusy runs long statements one after the other until stop is called. Gauges of work in flight are sampled once per report
// interval. With the load alone, every sample of slots_busy was 0 in one CI run.
func keepSlotBusy(t *testing.T, address string) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			c, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/dues?sslmode=disable", User(0), Password, address))
			if err != nil {
				continue // a failover is in progress
			}
			_, _ = c.Exec(ctx, "SELECT pg_sleep(3), count(*) FROM payment").ReadAll()
			_ = c.Close(context.WithoutCancel(ctx))
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// scrapeSum adds the metric values of a VM to sums. It ignores a VM that cannot be read.
func scrapeSum(address string, sums map[string]float64) {
	resp, err := http.Get("http://" + address + "/metrics.json")
	if err != nil {
		return // the VM no longer runs
	}
	defer func() { _ = resp.Body.Close() }()
	var samples []metric.Sample
	if json.NewDecoder(resp.Body).Decode(&samples) != nil {
		return
	}
	for _, v := range samples {
		sums[v.Name] += v.Value
	}
}
