package pool

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/result"
)

// newSharedPool returns a pool of workspaces, whose server has one slot, which is in use.
func newSharedPool(t *testing.T) *Pool {
	_, p := newCountedPool(4)
	p.setLimits(limits{maxOpen: 4, maxRunning: 1, idle: maxIdleTime, shared: true, workspaces: true})
	if err := p.acquireSlot(timeout, p.rank("hot", 1, time.Now().Add(timeout))); err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against a statement that waits until its deadline although it cannot be answered in time any more, and against one that is
// refused although it can.
func TestHopelessStatementLeavesAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newSharedPool(t)
	start := time.Now()
	patient := make(chan error, 1)
	go func() { patient <- p.acquireSlot(timeout, p.rank("b", 1, start.Add(timeout))) }()
	for p.State().Queue == 0 {
		time.Sleep(time.Millisecond)
	}
	err := p.acquireSlot(timeout, p.rank("a", 1, start.Add(50*time.Millisecond)))
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.Overloaded))
	g.Expect(err.Error()).To(gomega.ContainSubstring(`statement of workspace "a" waited for a slot of server s`))
	g.Expect(time.Since(start)).To(gomega.BeNumerically("<", timeout/2))
	// A statement of a transaction goes first.
	commit := make(chan error, 1)
	go func() { commit <- p.acquireSlot(timeout, p.rank("a", -1, start.Add(timeout))) }()
	for p.State().Queue < 2 {
		time.Sleep(time.Millisecond)
	}
	p.releaseSlot(1, time.Millisecond)
	g.Expect(<-commit).To(gomega.Succeed())
	p.releaseSlot(-1, time.Millisecond)
	g.Expect(<-patient).To(gomega.Succeed())
}

// Guards against a workspace that is refused because another one has a long queue, and against a refusal that does not tell whose queue
// is too long.
func TestRefusalNamesTheShare(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newSharedPool(t)
	now := time.Now()
	p.mu.Lock()
	for range 100 {
		p.gate.RecordServiceTime(50 * time.Millisecond)
	}
	p.mu.Unlock()
	rank := p.rank("hot", 1, now.Add(timeout))
	p.mu.Lock()
	for range 100 {
		p.slotWaiters.Push(&slotWaiter{rank: rank, granted: make(chan error, 1)}, rank, now)
	}
	p.mu.Unlock()
	g.Expect(p.State().Queued).To(gomega.Equal(map[string]int{"hot": 100}))
	check := func(workspace string) error {
		rank := p.rank(workspace, 1, now.Add(timeout))
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.checkSlots(AcquireRequest{AnswerWithin: time.Second, Workspace: workspace}, now, rank)
	}
	err := check("hot")
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.Overloaded))
	g.Expect(err.Error()).To(gomega.ContainSubstring(
		`100 statements are ahead in the queue for a slot of server s, 100 of them of workspace "hot"; with its share the expected wait is 5.05s`))
	g.Expect(check("calm")).To(gomega.Succeed())
}
