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

// Guards against a seed that yields different settings or schedules in two runs, and against settings that never use one of
// the acknowledgement modes or only short or only long timeouts. Both modes must also occur among the default seeds.
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
		g.Expect(c.pay+c.transfer+c.browse).To(gomega.BeNumerically("<", 1), "pay, transfer and browse leave no share for reads")
		count[c.ack]++
		if c.timeout < maxFaultLength {
			short++
		}
		if c.timeout > 4*maxFaultLength {
			long++
		}
	}
	g.Expect(Choose(firstSeed).ack).NotTo(gomega.Equal(Choose(firstSeed+seedCount-1).ack),
		"the default seeds use only one acknowledgement mode")
	for _, n := range []int{count[svcdef.AckQuorum], count[svcdef.AckPrimary], short, long} {
		g.Expect(n).To(gomega.BeNumerically(">", 20))
	}
}

// Guards against counting a term change before a majority of the servers has promised the term, or without such a majority.
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

// Guards against connections between runs in different processes. A VM or server that is down releases its port; if the kernel
// had chosen that port, a process of another run could listen on it meanwhile.
func TestPortsAreOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &run{net: newNetwork()}
	t.Cleanup(r.net.close)
	cfg := config.Default()
	r.setAddresses(&cfg)
	g.Expect(r.addressErr).NotTo(gomega.HaveOccurred())
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
