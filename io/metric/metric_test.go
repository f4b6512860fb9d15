package metric_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"verbenagate/io/metric"
)

func ExampleSet_WriteText() {
	set := metric.NewSet(metric.Catalog(), metric.ReportInterval)
	set.Counter(metric.Reads, "lakeshore", "replica").Inc(3)
	_ = set.Close() // reports all changes once more
	_ = set.WriteText(os.Stdout)
	// Output:
	// # HELP verbenagate_reads_total Reads by the role of the server that answered.
	// # TYPE verbenagate_reads_total counter
	// verbenagate_reads_total{role="replica",service="lakeshore"} 3
}

// Guards against increments that get lost under concurrent use, and against buckets that are not cumulative.
func TestValues(t *testing.T) {
	g := NewWithT(t)
	set := metric.NewSet(metric.Catalog(), time.Millisecond)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				set.Counter(metric.UnitsShed, "s\"1\n").Inc(1)
				set.Histogram(metric.QuorumSeconds, "a").Observe(0.5)
			}
		})
	}
	wg.Wait()
	set.Histogram(metric.QuorumSeconds, "a").Observe(100)
	set.Gauge(metric.OwnedServers).Update(7)
	g.Expect(set.Close()).To(Succeed())
	var b bytes.Buffer
	g.Expect(set.WriteText(&b)).To(Succeed())
	for _, line := range []string{
		`verbenagate_shed_total{server="s\"1\n"} 8000`, "verbenagate_owned_servers 7",
		`verbenagate_quorum_seconds_bucket{le="0.5",service="a"} 8000`,
		`verbenagate_quorum_seconds_bucket{le="30",service="a"} 8000`,
		`verbenagate_quorum_seconds_bucket{le="+Inf",service="a"} 8001`,
		`verbenagate_quorum_seconds_sum{service="a"} 4100`, `verbenagate_quorum_seconds_count{service="a"} 8001`,
	} {
		g.Expect(b.String()).To(ContainSubstring(line + "\n"))
	}
}

// Guards against an unregistered name, kind or number of labels that ends the process or is ignored without being counted.
func TestUnregisteredNameIsCounted(t *testing.T) {
	g := NewWithT(t)
	set := metric.NewSet(metric.Catalog(), time.Hour)
	set.Counter("no_such").Inc(1)
	set.Gauge(metric.Units, "a", "b", "c").Update(1)
	set.Histogram(metric.UnitSeconds, "too few").Observe(1)
	g.Expect(set.Close()).To(Succeed())
	g.Expect(set.Samples()).To(HaveLen(1))
	g.Expect(set.Samples()[0].Value).To(Equal(3.0))
}

// Guards against values that never reach the HTTP endpoint while the process runs.
func TestHTTP(t *testing.T) {
	g := NewWithT(t)
	set := metric.NewSet(metric.Catalog(), time.Millisecond)
	defer set.Close()
	srv, err := set.Listen(t.Context(), "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer srv.Close()
	get := func(path string) string {
		resp, err := http.Get("http://" + srv.Addr().String() + path)
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return string(body)
	}
	set.Gauge(metric.ConfigRevision).Update(12)
	g.Eventually(func() string { return get("/metrics") }).Should(ContainSubstring("verbenagate_config_revision 12\n"))
	var samples []metric.Sample
	g.Expect(json.Unmarshal([]byte(get("/metrics.json")), &samples)).To(Succeed())
	g.Expect(samples).To(ConsistOf(HaveField("Value", 12.0)))
}

// Guards against metrics that lack the help text or the unit shown in docs/metrics.md.
func TestCatalogIsComplete(t *testing.T) {
	g := NewWithT(t)
	for _, d := range metric.Catalog().Defs() {
		g.Expect(d.Help()).To(HaveSuffix("."), d.Name())
		g.Expect(d.Unit()).NotTo(BeEmpty(), d.Name())
	}
}
