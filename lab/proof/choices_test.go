package proof

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/svcdef"
	"verbenagate/io/config"
	"verbenagate/lab/server"
	"verbenagate/lab/site"
)

// Guards against a seed that gives two runs different settings or schedules, and against choices that leave a mode or a
// range of time limits out, among many seeds or in the runs without flags.
func TestChoices(t *testing.T) {
	g := gomega.NewWithT(t)
	count := map[svcdef.Ack]int{}
	short, long := 0, 0
	for seed := range uint64(200) {
		c := Choose(seed)
		g.Expect(Choose(seed)).To(gomega.Equal(c))
		o := Options{Length: 5 * time.Second, Servers: 3, VMs: 6, Links: true}
		g.Expect(o.schedule(seed)).To(gomega.Equal(o.schedule(seed)))
		g.Expect(c.timeout).To(gomega.And(gomega.BeNumerically(">=", minTimeout), gomega.BeNumerically("<=", maxTimeout)))
		g.Expect(c.pay+c.transfer+c.browse).To(gomega.BeNumerically("<", 1), "no reads")
		count[c.ack]++
		if c.timeout < faultLength {
			short++
		}
		if c.timeout > 4*faultLength {
			long++
		}
	}
	g.Expect(Choose(firstSeed).ack).NotTo(gomega.Equal(Choose(firstSeed+seedCount-1).ack), "the seeds without flags miss a mode")
	for _, n := range []int{count[svcdef.AckQuorum], count[svcdef.AckPrimary], short, long} {
		g.Expect(n).To(gomega.BeNumerically(">", 20))
	}
}

// Guards against a term that counts as in force before a majority has promised it, or though it never did.
func TestTermChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	var servers [3]*server.Server
	for i := range servers {
		var err error
		servers[i], err = server.New(server.Config{Primary: i == 0, Term: 1})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(servers[i].Close)
	}
	for _, f := range []struct {
		server int
		term   uint64
	}{{1, 2}, {2, 3}, {1, 4}, {0, 4}} {
		_, err := servers[f.server].Fence(f.term)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	var promises [][]server.Promise
	for _, srv := range servers {
		promises = append(promises, srv.Promises())
	}
	begin := promises[1][0].At()
	g.Expect(termChanges(promises, begin)).To(gomega.Equal([]time.Duration{
		promises[2][0].At().Sub(begin), // servers 2 and 3 have promised term 2 or more
		promises[1][1].At().Sub(begin), // servers 2 and 3 have promised term 3 or more
		promises[0][0].At().Sub(begin), // servers 1 and 2 have promised term 4
	}))
}

// Guards against a run whose callers or servers reach those of a run in another process: a VM or server that is down gives
// its port up, and with a port that the kernel chose somebody else may listen there meanwhile.
func TestPortsAreOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &run{net: newNetwork()}
	t.Cleanup(r.net.close)
	cfg := config.Default()
	r.place(&cfg)
	g.Expect(r.placing).NotTo(gomega.HaveOccurred())
	s, err := site.New(t.Context(), r.spec(Options{Servers: 2}), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(s.Close)
	used := []string{cfg.Listen.Callers, cfg.Listen.Operators, cfg.Listen.Peers}
	for _, srv := range s.Group(service) {
		used = append(used, srv.Addr())
	}
	for _, address := range used {
		g.Expect(address).To(gomega.HavePrefix(host + ":"))
	}
}
