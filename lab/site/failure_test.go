package site

import (
	"bufio"
	"context"
	"encoding/json"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/io/admin"
	"verbenagate/io/logs"
	"verbenagate/io/metric"
	"verbenagate/lab/load"
)

// handbook is the directory of the operators' handbook.
const handbook = "../../docs/operators/"

// failures maps the name of a handbook page to a function that provokes the failure described there. A slow VM and a data centre
// that is cut off need separate processes; lab/proof provokes them.
var failures = map[string]func(g gomega.Gomega, s *Site){
	"primary-crash": func(_ gomega.Gomega, s *Site) { s.Primary("dues").Crash() },
	"primary-cut": func(_ gomega.Gomega, s *Site) {
		p := s.Primary("dues")
		p.CutReplication(true)
		s.Links("dues")[slices.Index(s.Group("dues"), p)].BlackHole(true)
	},
	"vm-dies": func(_ gomega.Gomega, s *Site) { s.Nodes()[ownerOf(s, s.Primary("dues").Addr())].Close() },
	"replica-lag": func(_ gomega.Gomega, s *Site) {
		for _, srv := range s.Group("dues") {
			srv.SetLag(5 * time.Second)
		}
	},
	"server-leaving": func(_ gomega.Gomega, s *Site) { s.Primary("dues").SetLeaving(true) },
	"store-down": func(g gomega.Gomega, s *Site) {
		s.Platform().SetDown(true)
		g.Expect(reapplyDefinition(s)).NotTo(gomega.Succeed())
	},
	"store-older": func(g gomega.Gomega, s *Site) {
		old := s.Platform().Snapshot()
		g.Expect(reapplyDefinition(s)).To(gomega.Succeed())
		s.Platform().Restore(old)
	},
	"overload": func(_ gomega.Gomega, s *Site) {
		for _, srv := range s.Group("dues") {
			srv.SetServiceTime(400 * time.Millisecond)
		}
		time.AfterFunc(3*time.Second, func() {
			for _, srv := range s.Group("dues") {
				srv.SetServiceTime(time.Millisecond)
			}
		})
	},
	"unknown": func(g gomega.Gomega, s *Site) {
		// Only a unit that runs during the crash has an unknown outcome. A slow server under load always has a running unit.
		primary := s.Primary("dues")
		primary.SetServiceTime(100 * time.Millisecond)
		g.Eventually(primary.Running, 10*time.Second, time.Millisecond).Should(gomega.BeNumerically(">", 0))
		primary.Crash()
	},
}

// ownerOf returns the index in Nodes of the VM that owns a server, 0 if there is none.
func ownerOf(s *Site, address string) int {
	for i, n := range s.Nodes() {
		for _, h := range n.State().Hosted {
			for _, o := range h.Owned {
				if o.Address == address {
					return i
				}
			}
		}
	}
	return 0
}

// reapplyDefinition applies the current definition again, as an operator would.
func reapplyDefinition(s *Site) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := admin.Dial(s.Nodes()[0].OperatorAddr())
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_, current, err := c.List(ctx)
	if err != nil {
		return err
	}
	_, _, err = c.Apply(ctx, s.specs["dues"], current, "ann")
	return err
}

// observations holds what callers, logs and metrics showed during a failure: the number of errors by SQLSTATE, the number of log
// lines by event, and the sums of the metrics of all VMs.
type observations struct {
	sqlStates map[string]int
	events    map[string]int
	metrics   map[string]float64
}

var sqlState = regexp.MustCompile(`SQLSTATE ([0-9A-Z]{5})`)

// observeFailure runs a load of 4 s, calls fail after 1 s and returns the observations.
func observeFailure(t *testing.T, fail func(gomega.Gomega, *Site)) observations {
	g := gomega.NewWithT(t)
	var buf logBuffer
	log, err := logs.New(&buf, logs.FormatJSON, "debug")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	spec := smallSpec()
	spec.Links = true
	spec.Services[0].Timeout = 3 * time.Second
	s, err := New(t.Context(), spec, log)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer s.Close()
	p := load.Profile{
		Duration: 4 * time.Second, Rate: 200, Callers: 40, Pay: 0.3, Transfer: 0.2, Browse: 0.1, Roam: 0.1, MaxAge: time.Second,
	}
	record := load.NewRecord(nil)
	done := make(chan struct{})
	begin := time.Now()
	go func() {
		defer close(done)
		load.Run(context.Background(), p, load.Plan(p, 1), s.Target("dues"), record, begin)
	}()
	time.Sleep(time.Until(begin.Add(time.Second)))
	fail(g, s)
	<-done
	out := observations{map[string]int{}, map[string]int{}, map[string]float64{}}
	for text, n := range record.Summary().Errors {
		if m := sqlState.FindStringSubmatch(text); m != nil {
			out.sqlStates[m[1]] += n
		}
	}
	lines := bufio.NewScanner(strings.NewReader(buf.String()))
	for lines.Scan() {
		var line struct {
			Event json.Number `json:"event"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil {
			out.events[line.Event.String()]++
		}
	}
	time.Sleep(2 * metric.ReportInterval)
	for _, n := range s.Nodes() {
		if n.MetricsAddr() == "" {
			continue
		}
		scrapeSum(n.MetricsAddr(), out.metrics)
	}
	return out
}

// listedSigns returns the first group of each match of pattern in the line of the page that begins with the heading.
func listedSigns(page, heading string, pattern *regexp.Regexp) []string {
	_, line, _ := strings.Cut(page, "\n"+heading+":")
	line, _, _ = strings.Cut(line, "\n")
	var all []string
	for _, m := range pattern.FindAllStringSubmatch(line, -1) {
		all = append(all, m[1])
	}
	return all
}

var (
	eventSign   = regexp.MustCompile(`event (\d+)`)
	metricSign  = regexp.MustCompile("`(verbenagate_[a-z_]+)`")
	sqlStateRow = regexp.MustCompile("(?m)^\\| `([0-9A-Z]{5})`")
)

// Guards against handbook pages that name events or metrics which the failure does not cause, and against an SQLSTATE that callers
// get during the failure and that the page does not list.
func TestHandbookFailures(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(failures)) {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			data, err := os.ReadFile(handbook + name + ".md")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			page := string(data)
			got := observeFailure(t, failures[name])
			t.Logf("SQLSTATEs %v, events %v", got.sqlStates, got.events)
			for _, e := range listedSigns(page, "Events", eventSign) {
				g.Expect(got.events).To(gomega.HaveKey(e), "event")
			}
			metrics := listedSigns(page, "Metrics", metricSign)
			g.Expect(metrics).NotTo(gomega.BeEmpty())
			for _, m := range metrics {
				g.Expect(got.metrics[m]).To(gomega.BeNumerically(">", 0), m)
			}
			var listed []string
			for _, m := range sqlStateRow.FindAllStringSubmatch(page, -1) {
				listed = append(listed, m[1])
			}
			for state := range got.sqlStates {
				g.Expect(listed).To(gomega.ContainElement(state), "callers got an SQLSTATE that the page does not list")
			}
		})
	}
}
