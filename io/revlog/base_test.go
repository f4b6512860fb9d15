package revlog_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/spread"
	"verbenagate/core/svcdef"
	"verbenagate/io/revlog"
)

// testChange returns a change that defines or removes one of seven services, depending on n.
func testChange(n uint64, author string) svcdef.Revision {
	name := fmt.Sprint("service-", n%7)
	if n%5 == 4 {
		return svcdef.NewRemoval(name, author, noon)
	}
	return svcdef.NewDefinition(svcdef.Spec{Name: name, Database: fmt.Sprint("database-", n)}, author, noon)
}

// fillLog stores the revisions 1 to n without folding, as versions of the program without a base did, and returns them.
func fillLog(g *WithT, t *table, n uint64) []svcdef.Revision {
	var revs []svcdef.Revision
	for i := range n {
		revs = append(revs, testChange(i+1, "ann").WithNumber(i+1, fmt.Sprint("attempt-", i)))
	}
	g.Expect(revlog.WriteBack(context.Background(), t, revs)).To(Succeed())
	return revs
}

// replay returns the catalogue that results from the revisions from 1 on.
func replay(g *WithT, revs []svcdef.Revision) svcdef.Catalog {
	var c svcdef.Catalog
	var err error
	for _, r := range revs {
		c, err = c.Apply(r)
		g.Expect(err).NotTo(HaveOccurred())
	}
	return c
}

// logLength returns the number of revisions in the log.
func logLength(t *table) int {
	n := 0
	for key := range t.recs {
		if strings.HasPrefix(key, "config/rev/") {
			n++
		}
	}
	return n
}

// expectRead checks that the table holds exactly the configuration that results from revs, and that the log holds all revisions
// that are not in the base.
func expectRead(g *WithT, t *table, revs []svcdef.Revision, description string) {
	got, err := revlog.ReadCatalog(context.Background(), t)
	g.Expect(err).NotTo(HaveOccurred(), description)
	g.Expect(got.Revision()).To(BeEquivalentTo(len(revs)), description)
	g.Expect(reflect.DeepEqual(got.Spec(), replay(g, revs).Spec())).To(BeTrue(), description)
	lastFolded, err := revlog.LastFolded(context.Background(), t)
	g.Expect(err).NotTo(HaveOccurred(), description)
	g.Expect(logLength(t)).To(Equal(len(revs)-int(lastFolded)), description)
}

// Guards against a log of an earlier version that cannot be read or is never folded, against a log that grows without bound, and
// against a fold that removes revisions which operators may list.
func TestLogIsBounded(t *testing.T) {
	g := NewWithT(t)
	tab := newTable()
	revs := fillLog(g, tab, 5*spread.RetainedRevisions)
	expectRead(g, tab, revs, "before the first fold")
	for n := uint64(len(revs)); n < 7*spread.RetainedRevisions; n++ {
		r, err := revlog.Accept(t.Context(), tab, n, testChange(n, "ben"))
		g.Expect(err).NotTo(HaveOccurred())
		revs = append(revs, r)
		g.Expect(revlog.Fold(t.Context(), tab, r.Number())).To(Succeed())
	}
	expectRead(g, tab, revs, "after the folds")
	g.Expect(logLength(tab)).To(BeNumerically(">=", spread.RetainedRevisions))
	g.Expect(logLength(tab)).To(BeNumerically("<", spread.RetainedRevisions+spread.RevisionsPerFold))
	_, err := revlog.ListAfter(t.Context(), tab, 0, 10)
	g.Expect(result.CodeOf(err)).To(Equal(result.NotFound))
	_, err = revlog.Load(t.Context(), tab, uint64(len(revs)+1-svcdef.HistoryLimit))
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a damaged base that is put into force: it lacks an entry, or has an old, a wrong or an additional one.
func TestDamagedBaseIsRefused(t *testing.T) {
	g := NewWithT(t)
	tab := newTable()
	revs := fillLog(g, tab, spread.RetainedRevisions+2*spread.RevisionsPerFold)
	g.Expect(revlog.Fold(t.Context(), tab, uint64(len(revs)))).To(Succeed())
	expectRead(g, tab, revs, "undamaged")
	var key string
	for k := range tab.recs {
		if strings.HasPrefix(k, "config/service/") {
			key = k
		}
	}
	old, err := revlog.Encode(svcdef.NewDefinition(svcdef.Spec{Name: strings.TrimPrefix(key, "config/service/")}, "ann", noon).
		WithNumber(1, "x"))
	g.Expect(err).NotTo(HaveOccurred())
	other, err := revlog.Encode(svcdef.NewDefinition(svcdef.Spec{Name: "other"}, "ann", noon).WithNumber(1, "x"))
	g.Expect(err).NotTo(HaveOccurred())
	for name, w := range map[string]port.Write{
		"missing": {Key: key, Delete: true}, "old": {Key: key, Value: old},
		"too many": {Key: "config/service/other", Value: other}, "other service": {Key: key, Value: other},
	} {
		bad := newTable()
		bad.recs, bad.version = maps.Clone(tab.recs), tab.version
		g.Expect(bad.apply(nil, []port.Write{w})).To(Succeed())
		_, err := revlog.ReadCatalog(t.Context(), bad)
		g.Expect(result.CodeOf(err)).To(Equal(result.Internal), name)
	}
}

// Guards against a configuration that mixes two states of the table because revisions are folded while it is read.
func TestReadDuringFold(t *testing.T) {
	g := NewWithT(t)
	tab := newTable()
	revs := fillLog(g, tab, spread.RetainedRevisions+8*spread.RevisionsPerFold)
	for readsBefore := range 12 { // the number of reads before the fold
		tableCopy := newTable()
		tableCopy.recs, tableCopy.version = maps.Clone(tab.recs), tab.version
		folding := &foldingTable{table: tableCopy, readsLeft: readsBefore, fold: func() {
			g.Expect(revlog.Fold(t.Context(), tableCopy, uint64(len(revs)))).To(Succeed())
		}}
		got, err := revlog.ReadCatalog(t.Context(), folding)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Spec()).To(Equal(replay(g, revs).Spec()), "fold after %d reads", readsBefore)
	}
}

// foldingTable calls fold, as if another VM folded the log, before the read that follows readsLeft others.
type foldingTable struct {
	*table
	readsLeft int
	fold      func()
}

func (f *foldingTable) countRead() {
	if f.readsLeft--; f.readsLeft == -1 {
		f.fold()
	}
}

func (f *foldingTable) Get(ctx context.Context, key string) (port.Record, error) {
	f.countRead()
	return f.table.Get(ctx, key)
}

func (f *foldingTable) List(ctx context.Context, prefix, after string, n int) ([]port.Record, error) {
	f.countRead()
	return f.table.List(ctx, prefix, after, n)
}

// Guards against a fold that removes revisions which the log must keep, because the store returns to an older state between the
// fold's reads and its transaction.
func TestFoldWhileStoreGoesBack(t *testing.T) {
	g := NewWithT(t)
	for _, lost := range []uint64{1, 40, spread.RetainedRevisions, spread.RetainedRevisions + 20} {
		tab := newTable()
		revs := fillLog(g, tab, spread.RetainedRevisions+spread.RevisionsPerFold-lost)
		old, length := maps.Clone(tab.recs), len(revs)
		for n := uint64(length); n < spread.RetainedRevisions+spread.RevisionsPerFold; n++ {
			r, err := revlog.Accept(t.Context(), tab, n, testChange(n, "ben"))
			g.Expect(err).NotTo(HaveOccurred())
			revs = append(revs, r)
		}
		tab.onWrite = func(int) fault {
			tab.recs = maps.Clone(old)
			return faultNone
		}
		err := revlog.Fold(t.Context(), tab, uint64(len(revs)))
		g.Expect(result.CodeOf(err)).To(Equal(result.RevisionConflict), "%d lost", lost)
		tab.onWrite = nil
		expectRead(g, tab, revs[:length], fmt.Sprint(lost, " lost"))
	}
}

// Guards against an accepted revision that is reverted or lost, and against two revisions with one number. Two VMs change the
// configuration and fold the log, while requests fail before or after they take effect or are repeated by the store's client,
// and the store returns to an older state (fixed seeds). The model is the list of accepted revisions; an attempt with unknown
// outcome may be the next one.
func TestFoldsWithFaults(t *testing.T) {
	folds, restores, lateSuccesses, refusals := 0, 0, 0, 0
	for seed := range int64(4) {
		g := NewWithT(t)
		tab := newTable()
		rnd := rand.New(rand.NewSource(seed))
		revs := fillLog(g, tab, spread.RetainedRevisions+8*spread.RevisionsPerFold+uint64(rnd.Intn(spread.RevisionsPerFold)))
		newest := replay(g, revs)
		recordAccepted := func(r svcdef.Revision) {
			var err error
			newest, err = newest.Apply(r)
			g.Expect(err).NotTo(HaveOccurred())
			revs = append(revs, r)
		}
		vms := []svcdef.Catalog{newest, newest}
		var backup map[string]port.Record
		backupHead, storeOlder := 0, false
		for step := range 60 {
			description := fmt.Sprintf("seed %d, step %d", seed, step)
			vm := rnd.Intn(len(vms))
			tab.onWrite = func(int) fault { return fault([]int{0, 0, 0, 1, 2, 3}[rnd.Intn(6)]) }
			tab.onRead = func() fault { return fault([]int{0, 0, 0, 0, 0, 0, 1}[rnd.Intn(7)]) }
			switch k := rnd.Intn(20); {
			case k == 0:
				tab.onRead = nil
				head, err := revlog.Head(t.Context(), tab)
				g.Expect(err).NotTo(HaveOccurred(), description)
				backup, backupHead = maps.Clone(tab.recs), int(head)
			case k == 1 && backup != nil && len(revs)-backupHead < svcdef.HistoryLimit:
				tab.recs = maps.Clone(backup) // record versions continue to increase
				restores++
				storeOlder = true
				// A revision is in force on the VM that accepted it; the other VM may lack what the store has lost.
				vms[vm], vms[1-vm] = newest, replay(g, revs[:backupHead])
				tab.onWrite, tab.onRead = nil, nil
				expectRead(g, tab, revs[:backupHead], description)
			case storeOlder && vms[vm].Revision() < vms[1-vm].Revision():
				// The VM learns of the other one's revision and refuses the change (io/catlog, TestChangeBehindAnotherVM).
				refusals++
			default:
				ctx, cancel := context.WithCancel(t.Context())
				if rnd.Intn(4) == 0 {
					tab.onWrite = func(int) fault { // the VM dies during its first write
						cancel()
						return fault([]int{1, 2}[rnd.Intn(2)])
					}
				}
				// The operators of both VMs may see a configuration that is not the newest.
				c := vms[vm]
				next := testChange(c.Revision()+1, description)
				if _, exists := c.Service(next.ServiceName()); next.Removal() && !exists {
					next = svcdef.NewDefinition(svcdef.Spec{Name: next.ServiceName()}, description, noon)
				}
				r, err := acceptUnchecked(ctx, tab, c, next)
				if err == nil {
					g.Expect(r.Number()).To(BeEquivalentTo(len(revs)+1), description)
					recordAccepted(r)
					vms[vm] = newest
					before := logLength(tab)
					if rnd.Intn(3) > 0 {
						tab.onRead = nil // a fold has many reads, and each may fail
					}
					// The number is rounded down so that each change may fold, and many folds are tested. An error is allowed
					// because of the faults.
					_ = revlog.Fold(ctx, tab, r.Number()/spread.RevisionsPerFold*spread.RevisionsPerFold)
					if logLength(tab) < before {
						folds++
					}
				}
				cancel()
				tab.onWrite, tab.onRead = nil, nil
				if result.CodeOf(err) == result.AnswerLost {
					if r, err := revlog.Load(t.Context(), tab, uint64(len(revs))+1); err == nil {
						g.Expect(r.Author()).To(Equal(description), "the revision of unknown outcome")
						recordAccepted(r)
						lateSuccesses++
					}
				}
			}
			tab.onWrite, tab.onRead = nil, nil
			// At times, a VM with the newest revisions writes them back to the store, and one VM learns of the newest revision.
			if rnd.Intn(10) == 0 {
				g.Expect(revlog.WriteBack(t.Context(), tab, revs[len(revs)-svcdef.HistoryLimit:])).To(Succeed(), description)
				expectRead(g, tab, revs, description)
				storeOlder = false
			}
			if !storeOlder || rnd.Intn(3) == 0 {
				vms[rnd.Intn(len(vms))] = newest
			}
		}
	}
	t.Logf("%d folds, %d returns to an older state, %d unknown outcomes that took effect, %d changes refused", folds, restores,
		lateSuccesses, refusals)
	g := NewWithT(t)
	g.Expect(folds).To(BeNumerically(">", 0), "no fold was tested")
	g.Expect(restores).To(BeNumerically(">", 0), "the store never returned to an older state")
	g.Expect(lateSuccesses).To(BeNumerically(">", 0), "no change of unknown outcome took effect")
	g.Expect(refusals).To(BeNumerically(">", 0), "no VM lacked a revision that the store had lost")
}

// acceptUnchecked stores a change as revlog.Change does, but does not check the definition.
func acceptUnchecked(ctx context.Context, t *table, c svcdef.Catalog, r svcdef.Revision) (svcdef.Revision, error) {
	got, err := revlog.Accept(ctx, t, c.Revision(), r)
	if result.CodeOf(err) == result.StoreOlder {
		if err = revlog.WriteBack(ctx, t, c.History("")); err == nil {
			got, err = revlog.Accept(ctx, t, c.Revision(), r)
		}
	}
	return got, err
}
