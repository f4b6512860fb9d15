package share

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/io/logs"
	"verbenagate/lab/load"
)

// brief returns a case that takes a second of real time.
func brief(c Case) Case {
	c.profile.Duration, c.profile.Steps, c.profile.Callers = time.Second, nil, 30
	c.phases = []load.Phase{{Name: phaseQuiet, To: time.Second / 2}, {Name: phaseBusy, From: time.Second / 2, To: time.Second}}
	return c
}

// Guards against a model that loses units, uses more slots than there are, or gives another result for the same seed.
func TestModel(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, u := range Users() {
		for _, c := range u.Cases(9, u.hop) {
			c.timeout = time.Hour
			plan := load.Plan(c.profile, 7)
			for _, w := range []Way{Owner, Fixed, Moved} {
				r := Model(c, w, 20*time.Millisecond, plan)
				g.Expect(r.Refused).To(gomega.BeZero(), "%s %s", c.name, w)
				g.Expect(r.MostInUse).To(gomega.BeNumerically("<=", c.slots), "%s %s", c.name, w)
				g.Expect(Model(c, w, 20*time.Millisecond, plan)).To(gomega.Equal(r))
			}
		}
	}
}

// Guards against a model whose latencies are wrong where they can be worked out: a single request, to the near and the
// far VM.
func TestModelDistance(t *testing.T) {
	g := gomega.NewWithT(t)
	u := Users()[0]
	for entry, want := range []map[Way]time.Duration{
		{Owner: 10 * time.Millisecond, Fixed: 10 * time.Millisecond},
		{Owner: 13*time.Millisecond + forwardCost/2*2, Fixed: 13 * time.Millisecond},
	} {
		c := brief(u.Cases(9, u.hop)[0])
		c.entry = entry
		plan := load.Plan(c.profile, 7)[:1]
		for w, d := range want {
			g.Expect(Model(c, w, 0, plan).QuietP99).To(gomega.Equal(d))
		}
	}
}

// Guards against real VMs that can no longer be set up with shares of a server.
func TestMeasure(t *testing.T) {
	g := gomega.NewWithT(t)
	log, err := logs.New(&bytes.Buffer{}, "console", "error")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c := brief(Users()[1].Cases(4, 0)[0])
	plan := load.Plan(c.profile, 7)
	for _, w := range []Way{Owner, Fixed} {
		r, err := Measure(context.Background(), c, w, plan, log)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Refused).To(gomega.BeZero())
		g.Expect(r.MostInUse).To(gomega.BeNumerically("<=", c.slots))
	}
}

// Guards against a misspelt deployment that passes for an empty comparison.
func TestUnknownUser(t *testing.T) {
	err := Write(context.Background(), Options{User: "nobody"}, nil, &bytes.Buffer{})
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring("nobody")))
}
