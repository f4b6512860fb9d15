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

// numbered returns change n, which sets or removes one of seven services.
func numbered(n uint64, author string) svcdef.Revision {
	name := fmt.Sprint("service-", n%7)
	if n%5 == 4 {
		return svcdef.NewRemoval(name, author, noon)
	}
	return svcdef.NewDefinition(svcdef.Spec{Name: name, Database: fmt.Sprint("database-", n)}, author, noon)
}

// fill stores the revisions up to n as the version before the base did, and returns them.
func fill(g *WithT, t *table, n uint64) []svcdef.Revision {
	var revs []svcdef.Revision
	for i := range n {
		revs = append(revs, numbered(i+1, "ann").WithNumber(i+1, fmt.Sprint("attempt-", i)))
	}
	g.Expect(revlog.WriteBack(context.Background(), t, revs)).To(Succeed())
	return revs
}

// replay returns the configuration that revisions from 1 on make.
func replay(g *WithT, revs []svcdef.Revision) svcdef.Catalog {
	var c svcdef.Catalog
	var err error
	for _, r := range revs {
		c, err = c.Apply(r)
		g.Expect(err).NotTo(HaveOccurred())
	}
	return c
}

// logged returns how many revisions the log holds.
func logged(t *table) int {
	n := 0
	for key := range t.recs {
		if strings.HasPrefix(key, "config/rev/") {
			n++
		}
	}
	return n
}

// expectRead checks that the table holds exactly the configuration and the history of revs.
func expectRead(g *WithT, t *table, revs []svcdef.Revision, about string) {
	got, err := revlog.Read(context.Background(), t)
	g.Expect(err).NotTo(HaveOccurred(), about)
	g.Expect(got.Revision()).To(BeEquivalentTo(len(revs)), about)
	g.Expect(reflect.DeepEqual(got.Spec(), replay(g, revs).Spec())).To(BeTrue(), about)
	through, err := revlog.Through(context.Background(), t)
	g.Expect(err).NotTo(HaveOccurred(), about)
	g.Expect(logged(t)).To(Equal(len(revs)-int(through)), about)
}

// Guards against a log of an earlier version that can't be read or never gets shorter, against one that grows for ever, and
// against a history that loses revisions which operators may list.
func TestLogIsBounded(t *testing.T) {
	g := NewWithT(t)
	tab := newTable()
	revs := fill(g, tab, 5*spread.RetainedRevisions)
	expectRead(g, tab, revs, "before the first fold")
	for n := uint64(len(revs)); n < 7*spread.RetainedRevisions; n++ {
		r, err := revlog.Accept(t.Context(), tab, n, numbered(n, "ben"))
		g.Expect(err).NotTo(HaveOccurred())
		revs = append(revs, r)
		g.Expect(revlog.Fold(t.Context(), tab, r.Number())).To(Succeed())
	}
	expectRead(g, tab, revs, "after the folds")
	g.Expect(logged(tab)).To(BeNumerically(">=", spread.RetainedRevisions))
	g.Expect(logged(tab)).To(BeNumerically("<", spread.RetainedRevisions+spread.RevisionsPerFold))
	_, err := revlog.ListAfter(t.Context(), tab, 0, 10)
	g.Expect(result.CodeOf(err)).To(Equal(result.NotFound))
	_, err = revlog.Load(t.Context(), tab, uint64(len(revs)+1-svcdef.HistoryLimit))
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a base that lacks an entry, has one too many or has an old one, and is put in force all the same.
func TestDamagedBaseIsRefused(t *testing.T) {
	g := NewWithT(t)
	tab := newTable()
	revs := fill(g, tab, spread.RetainedRevisions+2*spread.RevisionsPerFold)
	g.Expect(revlog.Fold(t.Context(), tab, uint64(len(revs)))).To(Succeed())
	expectRead(g, tab, revs, "undamaged")
	var key string
	for k := range tab.recs {
		if strings.HasPrefix(k, "config/service/") {
			key = k
		}
	}
	old, err := revlog.Encode(svcdef.NewDefinition(svcdef.Spec{Name: strings.TrimPrefix(key, "config/service/")}, "ann", noon).WithNumber(1, "x"))
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
		_, err := revlog.Read(t.Context(), bad)
		g.Expect(result.CodeOf(err)).To(Equal(result.Internal), name)
	}
}

// Guards against a configuration that is put together from two states, because revisions are folded while it is read.
func TestReadDuringFold(t *testing.T) {
	g := NewWithT(t)
	tab := newTable()
	revs := fill(g, tab, spread.RetainedRevisions+8*spread.RevisionsPerFold)
	for skip := range 12 { // the fold happens after so many reads
		at := newTable()
		at.recs, at.version = maps.Clone(tab.recs), tab.version
		busy := &foldingTable{table: at, after: skip, fold: func() {
			g.Expect(revlog.Fold(t.Context(), at, uint64(len(revs)))).To(Succeed())
		}}
		got, err := revlog.Read(t.Context(), busy)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Spec()).To(Equal(replay(g, revs).Spec()), "fold after %d reads", skip)
	}
}

// foldingTable has another VM fold the log after some reads.
type foldingTable struct {
	*table
	after int
	fold  func()
}

func (f *foldingTable) read() {
	if f.after--; f.after == -1 {
		f.fold()
	}
}

func (f *foldingTable) Get(ctx context.Context, key string) (port.Record, error) {
	f.read()
	return f.table.Get(ctx, key)
}

func (f *foldingTable) List(ctx context.Context, prefix, after string, n int) ([]port.Record, error) {
	f.read()
	return f.table.List(ctx, prefix, after, n)
}

// Guards against a fold that removes revisions which a store that came back older has lost or needs: the store goes back
// between the reads and the transaction.
func TestFoldWhileStoreGoesBack(t *testing.T) {
	g := NewWithT(t)
	for _, lost := range []uint64{1, 40, spread.RetainedRevisions, spread.RetainedRevisions + 20} {
		tab := newTable()
		revs := fill(g, tab, spread.RetainedRevisions+spread.RevisionsPerFold-lost)
		old, length := maps.Clone(tab.recs), len(revs)
		for n := uint64(length); n < spread.RetainedRevisions+spread.RevisionsPerFold; n++ {
			r, err := revlog.Accept(t.Context(), tab, n, numbered(n, "ben"))
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

// Guards against an accepted revision that reverts or is lost, and against two that get one number, while two VMs change
// the configuration and fold the log, requests are dropped before and after their effect, are repeated by the client below,
// and the store comes back older (fixed seeds). The model is the list of accepted revisions; an attempt of unknown outcome
// may be the next one.
func TestFoldsWithFaults(t *testing.T) {
	folded, back, unknown, refused := 0, 0, 0, 0
	for seed := range int64(4) {
		g := NewWithT(t)
		tab := newTable()
		rnd := rand.New(rand.NewSource(seed))
		revs := fill(g, tab, spread.RetainedRevisions+8*spread.RevisionsPerFold+uint64(rnd.Intn(spread.RevisionsPerFold)))
		newest := replay(g, revs)
		add := func(r svcdef.Revision) {
			var err error
			newest, err = newest.Apply(r)
			g.Expect(err).NotTo(HaveOccurred())
			revs = append(revs, r)
		}
		vms := []svcdef.Catalog{newest, newest}
		var old map[string]port.Record
		oldAt, older := 0, false
		for step := range 60 {
			about := fmt.Sprintf("seed %d, step %d", seed, step)
			vm := rnd.Intn(len(vms))
			tab.onWrite = func(int) fault { return fault([]int{0, 0, 0, 1, 2, 3}[rnd.Intn(6)]) }
			tab.onRead = func() fault { return fault([]int{0, 0, 0, 0, 0, 0, 1}[rnd.Intn(7)]) }
			switch k := rnd.Intn(20); {
			case k == 0:
				tab.onRead = nil
				head, err := revlog.Head(t.Context(), tab)
				g.Expect(err).NotTo(HaveOccurred(), about)
				old, oldAt = maps.Clone(tab.recs), int(head)
			case k == 1 && old != nil && len(revs)-oldAt < svcdef.HistoryLimit:
				tab.recs = maps.Clone(old) // versions go on rising
				back++
				older = true
				// A revision is in force on the VM that accepted it; the other VM may lack what the store has lost.
				vms[vm], vms[1-vm] = newest, replay(g, revs[:oldAt])
				tab.onWrite, tab.onRead = nil, nil
				expectRead(g, tab, revs[:oldAt], about)
			case older && vms[vm].Revision() < vms[1-vm].Revision():
				// The VM hears of the other one's revision and accepts nothing (io/catlog, TestChangeBehindAnotherVM).
				refused++
			default:
				ctx, cancel := context.WithCancel(t.Context())
				if rnd.Intn(4) == 0 {
					tab.onWrite = func(int) fault { // the VM dies during its first write
						cancel()
						return fault([]int{1, 2}[rnd.Intn(2)])
					}
				}
				// Both operators may see an older configuration than the newest.
				c := vms[vm]
				next := numbered(c.Revision()+1, about)
				if _, known := c.Service(next.ServiceName()); next.Removal() && !known {
					next = svcdef.NewDefinition(svcdef.Spec{Name: next.ServiceName()}, about, noon)
				}
				r, err := accept(ctx, tab, c, next)
				if err == nil {
					g.Expect(r.Number()).To(BeEquivalentTo(len(revs)+1), about)
					add(r)
					vms[vm] = newest
					before := logged(tab)
					if rnd.Intn(3) > 0 {
						tab.onRead = nil // a fold has many reads
					}
					// Each change may fold, so that many folds are tested; with faults, an error is as good as a success.
					_ = revlog.Fold(ctx, tab, r.Number()/spread.RevisionsPerFold*spread.RevisionsPerFold)
					if logged(tab) < before {
						folded++
					}
				}
				cancel()
				tab.onWrite, tab.onRead = nil, nil
				if result.CodeOf(err) == result.AnswerLost {
					if r, err := revlog.Load(t.Context(), tab, uint64(len(revs))+1); err == nil {
						g.Expect(r.Author()).To(Equal(about), "the revision of unknown outcome")
						add(r)
						unknown++
					}
				}
			}
			tab.onWrite, tab.onRead = nil, nil
			// A VM that has the newest revisions restores the store, and the other one learns of them or not.
			if rnd.Intn(10) == 0 {
				g.Expect(revlog.WriteBack(t.Context(), tab, revs[len(revs)-svcdef.HistoryLimit:])).To(Succeed(), about)
				expectRead(g, tab, revs, about)
				older = false
			}
			if !older || rnd.Intn(3) == 0 {
				vms[rnd.Intn(len(vms))] = newest
			}
		}
	}
	t.Logf("%d folds, %d times back, %d unknown outcomes that took effect, %d changes refused", folded, back, unknown, refused)
	g := NewWithT(t)
	g.Expect(folded).To(BeNumerically(">", 0), "no fold was tested")
	g.Expect(back).To(BeNumerically(">", 0), "the store never went back")
	g.Expect(unknown).To(BeNumerically(">", 0), "no outcome was unknown")
	g.Expect(refused).To(BeNumerically(">", 0), "no VM lacked a revision that the store had lost")
}

// accept stores a change as revlog.Change does, without the check of the definition.
func accept(ctx context.Context, t *table, c svcdef.Catalog, r svcdef.Revision) (svcdef.Revision, error) {
	got, err := revlog.Accept(ctx, t, c.Revision(), r)
	if result.CodeOf(err) == result.StoreOlder {
		if err = revlog.WriteBack(ctx, t, c.History("")); err == nil {
			got, err = revlog.Accept(ctx, t, c.Revision(), r)
		}
	}
	return got, err
}
