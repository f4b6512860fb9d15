package load

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/result"
)

// Guards against a failover gap that ends too early, at a late acknowledgement of a write that the old primary had
// finished, and against a gap reported as ended although no write was acknowledged after it.
func TestRecovery(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name  string
		acked []time.Duration
		gap   time.Duration
		ok    bool
	}{
		{"late acknowledgement by the old primary", []time.Duration{900 * ms, 1002 * ms, 1500 * ms, 1510 * ms}, 500 * ms, true},
		{"no acknowledgement after the gap", []time.Duration{900 * ms, 1002 * ms}, 1000 * ms, false},
		{"no acknowledgement", nil, 1000 * ms, false},
		{"acknowledgement after the end of the range", []time.Duration{2500 * ms}, 1000 * ms, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := NewRecord(nil)
			for _, at := range c.acked {
				r.recordEnd(Request{kind: Pay}, at, Done)
			}
			gap, ok := r.Recovery(1000*ms, 2000*ms)
			g.Expect(gap).To(gomega.Equal(c.gap))
			g.Expect(ok).To(gomega.Equal(c.ok))
		})
	}
}

// Guards against an oracle that counts a read which a lagging replica could not have served because the caller has just
// written, or that leaves out a read which accepts data as old as the lag.
func TestOracle(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &caller{replicaLag: time.Hour, maxAge: 2 * time.Hour}
	g.Expect(c.replicaEligible(Read)).To(gomega.BeTrue(), "the caller has not written")
	c.recordWriteEnd(NotRun)
	g.Expect(c.replicaEligible(Read)).To(gomega.BeTrue(), "the write did not run")
	c.recordWriteEnd(Done)
	g.Expect(c.replicaEligible(Read)).To(gomega.BeFalse())
	g.Expect(c.replicaEligible(Browse)).To(gomega.BeTrue())
	c.maxAge = time.Minute
	g.Expect(c.replicaEligible(Browse)).To(gomega.BeFalse())
}

// Guards against a request that did not run being counted as failed. The result codes from 300 to 399 end a unit of work;
// the SQLSTATE of each that means "not run" must be classified as NotRun.
func TestNotRunIsRecognised(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := 0
	for _, i := range result.All() {
		if i.Outcome() == result.NotRun && i.Code() >= 300 && i.Code() < 400 {
			seen++
			g.Expect(outcomeOf(i.SQLState())).To(gomega.Equal(NotRun), i.Name())
		}
	}
	g.Expect(seen).To(gomega.BeNumerically(">", 10))
}
