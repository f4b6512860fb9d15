package group

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/port"
)

// update applies change to the table under its lock.
func (t *termTable) update(change func(t *termTable)) {
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

// recordedPrimary returns the primary in the record and its term, without counting a read.
func (t *termTable) recordedPrimary(g gomega.Gomega) (string, uint64) {
	t.mu.Lock()
	copied := &termTable{rec: t.rec}
	t.mu.Unlock()
	_, rec, err := readTermRecord(context.Background(), copied, "dues")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return rec.Primary, rec.PrimaryTerm
}

// newPromotedGroup returns a group that has promoted a server under term 5 while the table was down, and the new primary's
// address.
func newPromotedGroup(t *testing.T, table *termTable) (*Group, string) {
	g := gomega.NewWithT(t)
	table.update(func(t *termTable) { t.down = true }) // so that the reserved term is the one set below
	grp, servers := newGroupWith(t, func(cfg *Config) { cfg.Table = table })
	g.Eventually(func() string { a, _ := grp.Primary(); return a }, 10*time.Second).Should(gomega.Equal("a"))
	grp.mu.Lock()
	grp.reservedTerm = 5
	grp.mu.Unlock()
	servers["a"].update(func(f *fakeServer) { f.err = errRefused })
	g.Eventually(func() uint64 { _, term := grp.Primary(); return term }, 10*time.Second).Should(gomega.Equal(uint64(5)))
	address, _ := grp.Primary()
	return grp, address
}

// awaitFailedAttempt waits until the group has tried at least once to record the primary, and no attempt is in progress.
func awaitFailedAttempt(g *gomega.WithT, grp *Group) {
	g.Eventually(func() bool {
		grp.mu.Lock()
		defer grp.mu.Unlock()
		scheduler := grp.recordScheduler
		_, _, dueInAnHour := scheduler.Due(time.Now().Add(time.Hour), 0)
		_, _, dueNow := scheduler.Due(time.Now(), 0)
		return dueInAnHour && !dueNow
	}, 10*time.Second).Should(gomega.BeTrue())
}

// recordedTerm returns the term of the primary in the record, as far as the group knows it.
func recordedTerm(grp *Group) uint64 {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	return grp.recordScheduler.RecordedTerm()
}

// Guards against a record that keeps the old primary because the table service was down during the promotion, and against a
// watcher that goes on sending requests once the primary is recorded.
func TestPrimaryIsRecordedAfterOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	table := &termTable{}
	grp, address := newPromotedGroup(t, table)
	awaitFailedAttempt(g, grp)
	table.update(func(t *termTable) { t.down = false })
	g.Eventually(grp.ReservedTerm, 10*time.Second).Should(gomega.BeNumerically(">", 5))
	later := time.Now().Add(time.Minute)
	g.Eventually(func() uint64 {
		grp.recordPrimaryIfDue(t.Context(), later)
		return recordedTerm(grp)
	}, 10*time.Second).Should(gomega.Equal(uint64(5)))
	a, _ := table.recordedPrimary(g)
	g.Expect(a).To(gomega.Equal(address))
	reads, writes := table.requests()
	for range 100 {
		grp.recordPrimaryIfDue(t.Context(), later.Add(time.Hour))
	}
	grp.Close()
	r, w := table.requests()
	g.Expect(r).To(gomega.Equal(reads))
	g.Expect(w).To(gomega.Equal(writes))
}

// Guards against a second write of a primary whose first write took effect although its answer was lost, and against a watcher
// that treats a write with an unknown outcome as successful.
func TestRecordPrimaryWithLostAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	table := &termTable{}
	grp, address := newPromotedGroup(t, table)
	awaitFailedAttempt(g, grp)
	grp.mu.Lock()
	grp.reserving = true // prevents a reservation during the test
	grp.mu.Unlock()
	table.update(func(t *termTable) { t.down, t.loseAnswers, t.writes = false, 1, 0 })
	g.Eventually(func() uint64 {
		grp.recordPrimaryIfDue(t.Context(), time.Now().Add(time.Minute))
		_, term := table.recordedPrimary(g)
		return term
	}, 10*time.Second).Should(gomega.Equal(uint64(5)))
	awaitFailedAttempt(g, grp)
	table.update(func(t *termTable) { t.down = false })
	g.Eventually(func() uint64 {
		grp.recordPrimaryIfDue(t.Context(), time.Now().Add(time.Minute))
		return recordedTerm(grp)
	}, 10*time.Second).Should(gomega.Equal(uint64(5)))
	grp.Close()
	a, _ := table.recordedPrimary(g)
	g.Expect(a).To(gomega.Equal(address))
	g.Expect(table.writes).To(gomega.Equal(1))
}

// Guards against a late write of a primary that overwrites the primary of a newer term, which another VM has recorded
// meanwhile.
func TestRecordPrimaryAfterNewerTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	table := &termTable{}
	grp, _ := newPromotedGroup(t, table)
	awaitFailedAttempt(g, grp)
	table.update(func(t *termTable) { t.down = false })
	g.Expect(recordPrimary(t.Context(), table, "dues", "c", 9, newAttemptID())).To(gomega.Succeed())
	g.Eventually(func() uint64 {
		grp.recordPrimaryIfDue(t.Context(), time.Now().Add(time.Minute))
		return recordedTerm(grp)
	}, 10*time.Second).Should(gomega.BeNumerically(">=", 5))
	grp.Close()
	address, term := table.recordedPrimary(g)
	g.Expect(address).To(gomega.Equal("c"))
	g.Expect(term).To(gomega.Equal(uint64(9)))
}

// Guards against a primary that is never recorded because the VM that promoted it died before the table service answered again.
func TestRecordPrimaryAfterCrashOfPromoter(t *testing.T) {
	g := gomega.NewWithT(t)
	table := &termTable{}
	grp, address := newPromotedGroup(t, table)
	awaitFailedAttempt(g, grp)
	grp.Close()
	table.update(func(t *termTable) { t.down = false })
	other, servers := newGroupWith(t, func(cfg *Config) { cfg.VM, cfg.Table = "vm2", table })
	for a, f := range servers {
		f.update(func(f *fakeServer) {
			f.status.Term, f.status.Promised, f.status.Role = 5, 5, port.RoleReplica
			if a == address {
				f.status.Role = port.RolePrimary
			}
		})
	}
	g.Eventually(func() uint64 { _, term := other.Primary(); return term }, 10*time.Second).Should(gomega.Equal(uint64(5)))
	g.Eventually(func() string {
		other.recordPrimaryIfDue(t.Context(), time.Now().Add(time.Minute))
		a, _ := table.recordedPrimary(g)
		return a
	}, 10*time.Second).Should(gomega.Equal(address))
}
