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

// shorten returns c with a load that takes one second.
func shorten(c Case) Case {
	c.profile.Duration, c.profile.Steps, c.profile.Callers = time.Second, nil, 30
	c.phases = []load.Phase{{Name: phaseQuiet, To: time.Second / 2}, {Name: phaseBusy, From: time.Second / 2, To: time.Second}}
	return c
}

// Guards against a model that loses requests, uses more slots than there are, or gives different results for the same seed.
func TestModel(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, d := range Deployments() {
		for _, c := range d.Cases(9, d.centreDelay) {
			c.timeout = time.Hour
			plan := load.Plan(c.profile, 7)
			for _, w := range []Strategy{Owner, Fixed, Moved} {
				r := Model(c, w, 20*time.Millisecond, plan)
				g.Expect(r.NotInTime).To(gomega.BeZero(), "%s %s", c.name, w)
				g.Expect(r.MaxSlotsInUse).To(gomega.BeNumerically("<=", c.slots), "%s %s", c.name, w)
				g.Expect(Model(c, w, 20*time.Millisecond, plan)).To(gomega.Equal(r))
			}
		}
	}
}

// Guards against a model with wrong latencies, in the cases that can be calculated by hand: a single request to a VM in the server's
// data centre, and one to a VM in another data centre.
func TestModelDistance(t *testing.T) {
	g := gomega.NewWithT(t)
	deployment := Deployments()[0]
	for entry, want := range []map[Strategy]time.Duration{
		{Owner: 10 * time.Millisecond, Fixed: 10 * time.Millisecond},
		{Owner: 13*time.Millisecond + forwardCost/2*2, Fixed: 13 * time.Millisecond},
	} {
		c := shorten(deployment.Cases(9, deployment.centreDelay)[0])
		c.entryVM = entry
		plan := load.Plan(c.profile, 7)[:1]
		for w, d := range want {
			g.Expect(Model(c, w, 0, plan).QuietP99).To(gomega.Equal(d))
		}
	}
}

// Guards against changes after which real VMs can no longer be configured with shares of a server.
func TestMeasure(t *testing.T) {
	g := gomega.NewWithT(t)
	log, err := logs.New(&bytes.Buffer{}, "console", "error")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c := shorten(Deployments()[1].Cases(4, 0)[0])
	plan := load.Plan(c.profile, 7)
	for _, w := range []Strategy{Owner, Fixed} {
		r, err := Measure(context.Background(), c, w, plan, log)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.NotInTime).To(gomega.BeZero())
		g.Expect(r.MaxSlotsInUse).To(gomega.BeNumerically("<=", c.slots))
	}
}

// Guards against a misspelt deployment name that leads to an empty comparison instead of an error.
func TestUnknownUser(t *testing.T) {
	err := Write(context.Background(), Options{Deployment: "nobody"}, nil, &bytes.Buffer{})
	gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring("nobody")))
}
