package site

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/io/logs"
	"verbenagate/lab/audit"
	"verbenagate/lab/load"
)

// smallSpec returns a deployment that starts in about a second.
func smallSpec() Spec {
	return Spec{
		DataCentres: []string{"east", "west", "north"}, VMs: 3, OpenDelay: 12 * time.Millisecond,
		ServiceTime: time.Millisecond, Lag: 50 * time.Millisecond, NetDelay: time.Millisecond,
		Services: []ServiceSpec{{
			Name: "dues", Servers: 3, Slots: 5, Connections: 35, Callers: 40, MaxAge: time.Second, Timeout: 20 * time.Second,
		}},
	}
}

func open(t *testing.T, spec Spec) *Site {
	t.Helper()
	return openFor(t, spec)
}

func openFor(t testing.TB, spec Spec) *Site {
	t.Helper()
	level := "error"
	if os.Getenv("VERBENALAB_LOG") != "" {
		level = os.Getenv("VERBENALAB_LOG")
	}
	log, err := logs.New(os.Stderr, "console", level)
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(context.Background(), spec, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// Guards against lost or duplicate payments, incomplete transactions, stale reads and exceeded server limits while no fault is
// injected. The callers roam between VMs, and the replicas lag.
func TestQuietLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	s := open(t, smallSpec())
	p := load.Profile{
		Duration: 3 * time.Second, Rate: 300, Callers: 40, Pay: 0.1, Transfer: 0.05, Browse: 0.1, Roam: 0.1,
		MaxAge: time.Second,
	}
	record := load.NewRecord(nil)
	load.Run(context.Background(), p, load.Plan(p, 1), s.Target("dues"), record, time.Now())
	primary := s.Primary("dues")
	g.Expect(primary).NotTo(gomega.BeNil())
	report, err := audit.Run(context.Background(), record, primary, s.Limits(),
		audit.Checks{audit.CheckPayments, audit.CheckTransfers, audit.CheckReads, audit.CheckLimits})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sum := record.Summary()
	t.Logf("count %v\nlatency %+v\nerrors %v\nlooked %v", sum.Count, sum.Latency["all"], sum.Errors, report.Looked)
	g.Expect(report.Findings).To(gomega.BeEmpty())
	g.Expect(sum.Errors).To(gomega.BeEmpty())
}
