package group

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/port"
)

// set changes the table.
func (t *termTable) set(change func(t *termTable)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

// requests returns the numbers of reads and of writes that took effect.
func (t *termTable) requests() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// noted returns the primary in the record and its term.
func (t *termTable) noted(g gomega.Gomega) (string, uint64) {
	t.mu.Lock()
	quiet := &termTable{rec: t.rec}
	t.mu.Unlock()
	_, rec, err := readTerm(context.Background(), quiet, "dues")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return rec.Primary, rec.PrimaryTerm
}

// promoted returns a group whose watcher has promoted a server under term 5 while the table was down, and the
// new primary.
func promoted(t *testing.T, tab *termTable) (*Group, string) {
	g := gomega.NewWithT(t)
	tab.set(func(t *termTable) { t.down = true }) // so that the term in reserve is the one below
	grp, servers := newGroupWith(t, func(cfg *Config) { cfg.Table = tab })
	g.Eventually(func() string { a, _ := grp.Primary(); return a }, 10*time.Second).Should(gomega.Equal("a"))
	grp.mu.Lock()
	grp.reserved = 5
	grp.mu.Unlock()
	servers["a"].set(func(f *fakeServer) { f.err = errRefused })
	g.Eventually(func() uint64 { _, term := grp.Primary(); return term }, 10*time.Second).Should(gomega.Equal(uint64(5)))
	address, _ := grp.Primary()
	return grp, address
}

// attempted waits until the watcher has no attempt under way, and has tried at least once.
func attempted(g *gomega.WithT, grp *Group) {
	g.Eventually(func() bool {
		grp.mu.Lock()
		defer grp.mu.Unlock()
		n := grp.recordScheduler
		_, _, due := n.Due(time.Now().Add(time.Hour), 0)
		_, _, first := n.Due(time.Now(), 0)
		return due && !first
	}, 10*time.Second).Should(gomega.BeTrue())
}

// recordedTerm returns the term of the primary that the watcher knows to be in the record.
func recordedTerm(grp *Group) uint64 {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	return grp.recordScheduler.RecordedTerm()
}

// Guards against a record that keeps the old primary for ever because the table service was down during the promotion, and
// against a watcher that goes on asking once the primary is noted.
func TestPrimaryIsNotedAfterOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := &termTable{}
	grp, address := promoted(t, tab)
	attempted(g, grp)
	tab.set(func(t *termTable) { t.down = false })
	g.Eventually(grp.Reserved, 10*time.Second).Should(gomega.BeNumerically(">", 5))
	later := time.Now().Add(time.Minute)
	g.Eventually(func() uint64 {
		grp.notePrimary(t.Context(), later)
		return recordedTerm(grp)
	}, 10*time.Second).Should(gomega.Equal(uint64(5)))
	a, _ := tab.noted(g)
	g.Expect(a).To(gomega.Equal(address))
	reads, writes := tab.requests()
	for range 100 {
		grp.notePrimary(t.Context(), later.Add(time.Hour))
	}
	grp.Close()
	r, w := tab.requests()
	g.Expect(r).To(gomega.Equal(reads))
	g.Expect(w).To(gomega.Equal(writes))
}

// Guards against a second write of a primary whose first write took effect without an answer, and against a watcher that
// takes a write of unknown effect for done.
func TestNoteWithLostAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := &termTable{}
	grp, address := promoted(t, tab)
	attempted(g, grp)
	grp.mu.Lock()
	grp.asking = true // no reservation in between
	grp.mu.Unlock()
	tab.set(func(t *termTable) { t.down, t.lose, t.writes = false, 1, 0 })
	g.Eventually(func() uint64 {
		grp.notePrimary(t.Context(), time.Now().Add(time.Minute))
		_, term := tab.noted(g)
		return term
	}, 10*time.Second).Should(gomega.Equal(uint64(5)))
	attempted(g, grp)
	tab.set(func(t *termTable) { t.down = false })
	g.Eventually(func() uint64 {
		grp.notePrimary(t.Context(), time.Now().Add(time.Minute))
		return recordedTerm(grp)
	}, 10*time.Second).Should(gomega.Equal(uint64(5)))
	grp.Close()
	a, _ := tab.noted(g)
	g.Expect(a).To(gomega.Equal(address))
	g.Expect(tab.writes).To(gomega.Equal(1))
}

// Guards against a late note of a primary that hides the one of a newer term, which another VM has noted meanwhile.
func TestNoteAfterNewerTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := &termTable{}
	grp, _ := promoted(t, tab)
	attempted(g, grp)
	tab.set(func(t *termTable) { t.down = false })
	g.Expect(recordPrimary(t.Context(), tab, "dues", "c", 9, attemptID())).To(gomega.Succeed())
	g.Eventually(func() uint64 {
		grp.notePrimary(t.Context(), time.Now().Add(time.Minute))
		return recordedTerm(grp)
	}, 10*time.Second).Should(gomega.BeNumerically(">=", 5))
	grp.Close()
	address, term := tab.noted(g)
	g.Expect(address).To(gomega.Equal("c"))
	g.Expect(term).To(gomega.Equal(uint64(9)))
}

// Guards against a primary that nobody notes because the VM that promoted it died before the table service answered again.
func TestNoteAfterDeathOfPromoter(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := &termTable{}
	grp, address := promoted(t, tab)
	attempted(g, grp)
	grp.Close()
	tab.set(func(t *termTable) { t.down = false })
	other, servers := newGroupWith(t, func(cfg *Config) { cfg.VM, cfg.Table = "vm2", tab })
	for a, f := range servers {
		f.set(func(f *fakeServer) {
			f.status.Term, f.status.Promised, f.status.Role = 5, 5, port.RoleReplica
			if a == address {
				f.status.Role = port.RolePrimary
			}
		})
	}
	g.Eventually(func() uint64 { _, term := other.Primary(); return term }, 10*time.Second).Should(gomega.Equal(uint64(5)))
	g.Eventually(func() string {
		other.notePrimary(t.Context(), time.Now().Add(time.Minute))
		a, _ := tab.noted(g)
		return a
	}, 10*time.Second).Should(gomega.Equal(address))
}
