package load

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/result"
)

// Guards against a failover gap that counts the acknowledgement of a write which the old primary had finished, and
// against a gap that looks closed although no write was acknowledged afterwards.
func TestRecovery(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name  string
		acked []time.Duration
		gap   time.Duration
		ok    bool
	}{
		{"late acknowledgement", []time.Duration{900 * ms, 1002 * ms, 1500 * ms, 1510 * ms}, 500 * ms, true},
		{"nothing afterwards", []time.Duration{900 * ms, 1002 * ms}, 1000 * ms, false},
		{"none at all", nil, 1000 * ms, false},
		{"after the end", []time.Duration{2500 * ms}, 1000 * ms, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := NewRecord(nil)
			for _, at := range c.acked {
				r.done(Request{kind: Pay}, at, Done)
			}
			gap, ok := r.Recovery(1000*ms, 2000*ms)
			g.Expect(gap).To(gomega.Equal(c.gap))
			g.Expect(ok).To(gomega.Equal(c.ok))
		})
	}
}

// Guards against an oracle that counts a read which no lagging replica could have served, or leaves out one that accepts
// older data.
func TestOracle(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &caller{lag: time.Hour, maxAge: 2 * time.Hour}
	g.Expect(c.eligible(Read)).To(gomega.BeTrue(), "never wrote")
	c.written(NotRun)
	g.Expect(c.eligible(Read)).To(gomega.BeTrue(), "the write did not run")
	c.written(Done)
	g.Expect(c.eligible(Read)).To(gomega.BeFalse())
	g.Expect(c.eligible(Browse)).To(gomega.BeTrue())
	c.maxAge = time.Minute
	g.Expect(c.eligible(Browse)).To(gomega.BeFalse())
}

// Guards against requests that did not run and are counted as failed: the codes from 300 to 399 end a unit of work.
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
