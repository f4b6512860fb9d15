package relay

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/eras"
	"verbenagate/core/lead"
	"verbenagate/core/port"
)

// silentGranter answers no renewal, like an agent that the store does not answer.
type silentGranter struct {
	fakeGranter
	asked chan struct{} // closed at the first renewal
}

func newSilentGranter() *silentGranter { return &silentGranter{asked: make(chan struct{})} }

func (g *silentGranter) Grant(ctx context.Context, m lead.Member, leave bool) (time.Duration, error) {
	g.mu.Lock()
	if len(g.renewals) == 0 {
		close(g.asked)
	}
	g.mu.Unlock()
	_, _ = g.fakeGranter.Grant(ctx, m, leave)
	<-ctx.Done()
	return 0, ctx.Err()
}

// behindSilentAgents returns a VM whose agents the store does not answer, and the store as the VM sees it. The VM has listed the table with
// an urgent row.
func behindSilentAgents(t *testing.T) (v *vm, seen *fakeStore, granters []*silentGranter, version eras.Position) {
	silent := newFakeStore()
	seen = newFakeStore()
	for _, f := range []*fakeStore{silent, seen} {
		f.put("a", "1", false)
	}
	var agents []lead.Member
	for _, name := range []string{"first", "second"} {
		agent, granter := newVM(t, name, silent), newSilentGranter()
		agent.SetGranter(granter)
		agents, granters = append(agents, agent.member()), append(granters, granter)
	}
	v = newVM(t, "vm", seen)
	v.SetAgents(agents)
	s, err := v.List(t.Context(), "urgent")
	if err != nil || len(s.Rows) != 1 {
		t.Fatalf("the list has %d rows, %v", len(s.Rows), err)
	}
	return v, seen, granters, s.Version
}

// Guards against a VM that keeps an old configuration until its renewals have failed at each agent in turn, although the store serves it:
// the store answers none of the agents, which do not know so.
func TestUrgentRowIsReadWhileAgentsAreSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	v, seen, granters, version := behindSilentAgents(t)
	got := make(chan port.Snapshot, 1)
	go func() {
		for {
			s, err := v.Changes(t.Context(), "urgent", version, testTimeout)
			if err != nil || len(s.Rows) > 0 {
				got <- s
				return
			}
		}
	}()
	g.Eventually(func() int {
		v.mu.Lock()
		defer v.mu.Unlock()
		return len(v.calls["first"])
	}, testTimeout).Should(gomega.Equal(1))
	seen.put("a", "2", false)
	go func() { _, _ = v.Renew(t.Context(), v.member(), false) }()
	var s port.Snapshot
	select {
	case s = <-got:
	case <-granters[1].asked:
		t.Fatal("the VM asked the second agent before it had the change")
	}
	g.Expect(s.Rows).To(gomega.HaveLen(1))
	g.Expect(s.Rows[0].Value).To(gomega.Equal([]byte("2")))
}

// Guards against a VM that misses the doubt about an agent since its call for changes began a moment later.
func TestDoubtLastsUntilTheNextCall(t *testing.T) {
	g := gomega.NewWithT(t)
	v, seen, _, version := behindSilentAgents(t)
	seen.put("a", "2", false)
	v.doubt("first")
	s, err := v.Changes(t.Context(), "urgent", version, testTimeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Rows).To(gomega.HaveLen(1))
	g.Expect(v.takeDoubt("first")).To(gomega.BeFalse())
}

// Guards against VMs that all call the store during each outage of an agent for tables whose changes are not urgent.
func TestOtherTablesAreLeftToTheAgents(t *testing.T) {
	g := gomega.NewWithT(t)
	v, seen, _, _ := behindSilentAgents(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = v.Changes(ctx, "t", 1, testTimeout)
	}()
	g.Eventually(func() int {
		v.mu.Lock()
		defer v.mu.Unlock()
		return len(v.calls["first"])
	}, testTimeout).Should(gomega.Equal(1))
	v.doubt("first")
	v.markFailed("first", errDown)
	g.Eventually(func() int {
		v.mu.Lock()
		defer v.mu.Unlock()
		return len(v.calls["second"])
	}, testTimeout).Should(gomega.Equal(1))
	cancel()
	<-ended
	lists, changes := seen.callCounts()
	g.Expect(lists + changes).To(gomega.BeZero())
}

// Guards against a VM that stays without the configuration since the history of the store does not reach back to the last one.
func TestUrgentRowIsListedWithoutHistory(t *testing.T) {
	g := gomega.NewWithT(t)
	v, seen, _, _ := behindSilentAgents(t)
	v.store.setHistoryGone(true)
	v.doubt("first")
	seen.put("a", "2", false)
	s, err := v.Changes(t.Context(), "urgent", 1, testTimeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Rows).To(gomega.HaveLen(1))
}
