package revlog_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/revlog"
)

// fault is what a table does with one commit or read.
type fault int

const (
	faultNone       fault = iota
	faultRefused          // refused before it took effect
	faultAnswerLost       // took effect, but the answer was lost
	faultRepeated         // took effect and was repeated by the store's client, which gets a conflict with its first attempt
)

// table is a port.KeyValueStore in memory. If set, onWrite decides the fault of each commit, which it gets by its number from 1
// on, and onRead the fault of each Get.
type table struct {
	mu      sync.Mutex
	recs    map[string]port.Record
	version uint64
	commits int
	onWrite func(n int) fault
	onRead  func() fault
}

func newTable() *table { return &table{recs: make(map[string]port.Record)} }

var errStoreDown = result.New(result.StoreUnavailable, "store is down")

func (t *table) Get(_ context.Context, key string) (port.Record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.onRead != nil && t.onRead() != faultNone {
		return port.Record{}, errStoreDown
	}
	return t.recs[key], nil
}

func (t *table) List(_ context.Context, prefix, after string, n int) ([]port.Record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []port.Record
	for _, k := range slices.Sorted(maps.Keys(t.recs)) {
		if strings.HasPrefix(k, prefix) && k > after && len(all) < n {
			all = append(all, t.recs[k])
		}
	}
	return all, nil
}

func (t *table) Commit(_ context.Context, checks []port.VersionCheck, writes []port.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	f := faultNone
	if t.onWrite != nil {
		f = t.onWrite(t.commits)
	}
	if f == faultRefused {
		return errStoreDown
	}
	err := t.apply(checks, writes)
	switch f {
	case faultAnswerLost:
		return errStoreDown
	case faultRepeated:
		return t.apply(checks, writes)
	}
	return err
}

func (t *table) apply(checks []port.VersionCheck, writes []port.Write) error {
	for _, c := range checks {
		if t.recs[c.Key].Version != c.Version {
			return result.New(result.RevisionConflict, "record %s has version %d", c.Key, t.recs[c.Key].Version)
		}
	}
	for _, w := range writes {
		t.version++
		if w.Delete {
			delete(t.recs, w.Key)
			continue
		}
		t.recs[w.Key] = port.Record{Key: w.Key, Value: w.Value, Version: t.version}
	}
	return nil
}

var noon = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

func plotsDefinition(author string) svcdef.Revision {
	return svcdef.NewDefinition(svcdef.Spec{
		Name: "plots", Database: "plots", Login: svcdef.LoginSpec{User: "gate"},
		Servers: []svcdef.ServerSpec{{Address: "10.1.0.1:5432", DataCentre: "a", Slots: 5, Connections: 35}},
	}, author, noon)
}

func ExampleAccept() {
	ctx, t := context.Background(), newTable()
	r, err := revlog.Accept(ctx, t, 0, plotsDefinition("ann"))
	fmt.Println(r.Number(), err)
	_, err = revlog.Accept(ctx, t, 0, plotsDefinition("ben"))
	current, _ := revlog.CurrentRevision(err)
	fmt.Println(result.CodeOf(err), current)
	// Output:
	// 1 <nil>
	// revision_conflict 1
}

// Guards against a change that is reported as refused although it was stored, or as stored although it was not.
func TestAcceptWithFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault fault
		tries int
	}{{"answer lost", faultAnswerLost, 1}, {"repeated by client", faultRepeated, 1}, {"refused", faultRefused, 2}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			tab := newTable()
			tab.onWrite = func(n int) fault {
				if n == 1 {
					return c.fault
				}
				return faultNone
			}
			r, err := revlog.Accept(t.Context(), tab, 0, plotsDefinition("ann"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Number()).To(Equal(uint64(1)))
			g.Expect(tab.commits).To(Equal(c.tries))
			stored, err := revlog.Load(t.Context(), tab, 1)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(stored.Spec()).To(Equal(r.Spec()))
		})
	}
}

// Guards against Accept retrying forever after the head was rewritten with the same number, as a restore of the store does.
func TestAcceptAfterHeadIsRewritten(t *testing.T) {
	g := NewWithT(t)
	tab := newTable()
	_, err := revlog.Accept(t.Context(), tab, 0, plotsDefinition("ann"))
	g.Expect(err).NotTo(HaveOccurred())
	rewritten := false
	tab.onWrite = func(int) fault {
		if !rewritten {
			rewritten = true
			g.Expect(tab.apply(nil, []port.Write{{Key: revlog.HeadKey, Value: tab.recs[revlog.HeadKey].Value}})).To(Succeed())
		}
		return faultNone
	}
	r, err := revlog.Accept(t.Context(), tab, 1, plotsDefinition("ben"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Number()).To(Equal(uint64(2)))
}

// Guards against a definite result although it is unknown whether the change was stored, and against retries after the context
// has ended.
func TestAcceptEndsWithContext(t *testing.T) {
	g := NewWithT(t)
	tab := newTable()
	ctx, cancel := context.WithCancel(t.Context())
	tab.onWrite = func(int) fault {
		cancel()
		return faultRefused
	}
	tab.onRead = func() fault {
		if ctx.Err() != nil {
			return faultRefused
		}
		return faultNone
	}
	_, err := revlog.Accept(ctx, tab, 0, plotsDefinition("ann"))
	g.Expect(result.CodeOf(err)).To(Equal(result.AnswerLost))
	_, err = revlog.Accept(ctx, tab, 0, plotsDefinition("ann"))
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
}

// Guards against a change that is accepted by a store that has lost revisions, and against a write-back that overwrites a
// different change.
func TestStoreOlder(t *testing.T) {
	g := NewWithT(t)
	ctx, tab := t.Context(), newTable()
	var revs []svcdef.Revision
	for n := range uint64(3) {
		r, err := revlog.Accept(ctx, tab, n, plotsDefinition("ann"))
		g.Expect(err).NotTo(HaveOccurred())
		revs = append(revs, r)
	}
	older := newTable()
	_, err := revlog.Accept(ctx, older, 0, plotsDefinition("ann"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = revlog.Accept(ctx, older, 3, plotsDefinition("ben"))
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreOlder))
	g.Expect(result.CodeOf(revlog.WriteBack(ctx, older, revs))).To(Equal(result.StoreOlder))

	older = newTable()
	older.onWrite = func(n int) fault { return []fault{faultAnswerLost, faultNone}[n%2] }
	g.Expect(revlog.WriteBack(ctx, older, revs)).To(Succeed())
	g.Expect(revlog.WriteBack(ctx, older, revs)).To(Succeed())
	got, err := revlog.ListAfter(ctx, older, 1, 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(2))
	g.Expect(got[1].Spec()).To(Equal(revs[2].Spec()))
}

// Guards against changes that are always refused after the store returned to an older state, and against a change that is
// accepted on top of other changes than those in force.
func TestChangeRestoresStore(t *testing.T) {
	g := NewWithT(t)
	ctx, tab, other := t.Context(), newTable(), newTable()
	var c svcdef.Catalog
	for n := range uint64(3) {
		r, err := revlog.Change(ctx, tab, c, n, plotsDefinition("ann"))
		g.Expect(err).NotTo(HaveOccurred())
		c, err = c.Apply(r)
		g.Expect(err).NotTo(HaveOccurred())
		if n == 0 {
			other.recs, other.version = maps.Clone(tab.recs), tab.version
		}
	}
	r, err := revlog.Change(ctx, other, c, 3, plotsDefinition("ben"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Number()).To(Equal(uint64(4)))
	got, err := revlog.ListAfter(ctx, other, 0, 10)
	g.Expect(err).NotTo(HaveOccurred())
	for i, want := range c.History("") {
		g.Expect(got[i].Spec()).To(Equal(want.Spec()))
	}

	forked := newTable()
	_, err = revlog.Accept(ctx, forked, 0, plotsDefinition("eve"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = revlog.Change(ctx, forked, c, 3, plotsDefinition("ben"))
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreOlder))
	headRevision, err := revlog.Head(ctx, forked)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(headRevision).To(Equal(uint64(1)))
}

// Guards against a crash on damaged data from the store or another VM, and against an encoding that changes when a decoded
// revision is encoded again.
func FuzzDecode(f *testing.F) {
	data, err := revlog.Encode(plotsDefinition("ann").WithNumber(1, "x"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := revlog.Decode(data)
		if err != nil {
			return
		}
		g := NewWithT(t)
		again, err := revlog.Encode(r)
		g.Expect(err).NotTo(HaveOccurred())
		back, err := revlog.Decode(again)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(revlog.Encode(back)).To(Equal(again))
	})
}

// Guards against a definition that is checked against an older set of services than that of the revision it is based on.
func TestChangeChecksAgainstBase(t *testing.T) {
	g := NewWithT(t)
	ctx, tab := t.Context(), newTable()
	first, err := revlog.Change(ctx, tab, svcdef.Catalog{}, 0, plotsDefinition("ann"))
	g.Expect(err).NotTo(HaveOccurred())
	spec := *first.Spec().Spec
	spec.Name, spec.Database = "maps", ""
	_, err = revlog.Change(ctx, tab, svcdef.Catalog{}, 1, svcdef.NewDefinition(spec, "ben", noon))
	g.Expect(result.CodeOf(err)).To(Equal(result.InvalidConfig))
	g.Expect(revlog.Problems(err)).To(ConsistOf(HaveField("Path()", "database"), HaveField("Path()", "servers[0].address")))
	_, err = revlog.Change(ctx, tab, svcdef.Catalog{}, 7, plotsDefinition("ben"))
	current, ok := revlog.CurrentRevision(err)
	g.Expect(current).To(Equal(uint64(1)))
	g.Expect(ok).To(BeTrue())
	_, err = revlog.Change(ctx, tab, svcdef.Catalog{}, 1, svcdef.NewRemoval("maps", "ben", noon))
	g.Expect(result.CodeOf(err)).To(Equal(result.NotFound))
}

// outcome is the result of one call of Accept. The field current is set if the code is result.RevisionConflict.
type outcome struct {
	code    result.Code
	current uint64
}

// acceptModel models sequential calls of Accept. The state is the current revision; the input is the revision that the change
// is based on. With result.AnswerLost, the change may or may not have been stored.
var acceptModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		s, basedOn, out := state.(uint64), input.(uint64), output.(outcome)
		switch out.code {
		case result.OK:
			if s == basedOn {
				return []any{s + 1}
			}
		case result.RevisionConflict:
			if s == out.current && s != basedOn {
				return []any{s}
			}
		case result.StoreUnavailable:
			return []any{s}
		case result.AnswerLost:
			if s == basedOn {
				return []any{s, s + 1}
			}
			return []any{s}
		}
		return nil
	},
}

// Guards against two operators whose changes are accepted under the same number, and against an accepted change that is not the
// one stored. Answers are lost and the store is down at random (fixed seeds). The history must be linearizable.
func TestRacingOperators(t *testing.T) {
	for seed := range int64(10) {
		g := NewWithT(t)
		tab := newTable()
		rnd := rand.New(rand.NewSource(seed)) // used under the table's lock
		tab.onWrite = func(int) fault { return fault([]int{0, 0, 0, 1, 2, 3}[rnd.Intn(6)]) }
		tab.onRead = func() fault { return fault([]int{0, 0, 0, 0, 0, 0, 1}[rnd.Intn(7)]) }
		var (
			mu               sync.Mutex
			ops              []porcupine.Operation
			attemptsByNumber = make(map[uint64][]string)
			wg               sync.WaitGroup
			start            = time.Now()
		)
		for id := range 4 {
			wg.Go(func() {
				basedOn := uint64(0)
				for range 8 {
					call := time.Since(start)
					r, err := revlog.Accept(t.Context(), tab, basedOn, plotsDefinition(fmt.Sprint("operator ", id)))
					op := porcupine.Operation{
						ClientId: id, Input: basedOn, Call: int64(call), Return: int64(time.Since(start)),
						Output: outcome{code: result.CodeOf(err)},
					}
					if current, ok := revlog.CurrentRevision(err); ok {
						op.Output = outcome{result.RevisionConflict, current}
						basedOn = current
					}
					mu.Lock()
					if err == nil {
						basedOn = r.Number()
						attemptsByNumber[r.Number()] = append(attemptsByNumber[r.Number()], r.Attempt())
					}
					ops = append(ops, op)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		model := acceptModel.ToModel()
		g.Expect(porcupine.CheckOperations(model, ops)).To(BeTrue(), "seed %d", seed)
		tab.onRead = nil
		headRevision, err := revlog.Head(t.Context(), tab)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(headRevision).To(BeNumerically(">", 0))
		g.Expect(attemptsByNumber).To(HaveLen(int(headRevision)))
		for n, attempts := range attemptsByNumber {
			stored, err := revlog.Load(t.Context(), tab, n)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(attempts).To(Equal([]string{stored.Attempt()}), "revision %d", n)
		}
	}
}

// Guards against a stored form that loses fields, and against a damaged snapshot that is put into force.
func TestCodec(t *testing.T) {
	g := NewWithT(t)
	r := plotsDefinition("ann").WithNumber(1, "x")
	data, err := revlog.Encode(r)
	g.Expect(err).NotTo(HaveOccurred())
	back, err := revlog.Decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back.Spec()).To(Equal(r.Spec()))
	c, err := svcdef.Catalog{}.Apply(r)
	g.Expect(err).NotTo(HaveOccurred())
	snap, err := revlog.EncodeSnapshot(c)
	g.Expect(err).NotTo(HaveOccurred())
	again, err := revlog.DecodeSnapshot(snap)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Spec()).To(Equal(c.Spec()))
	for i := range snap {
		bad := slices.Clone(snap)
		bad[i] ^= 1
		_, err := revlog.DecodeSnapshot(bad)
		g.Expect(err).To(HaveOccurred())
	}
	_, err = revlog.DecodeSnapshot(snap[:10])
	g.Expect(err).To(HaveOccurred())
}

// Guards against a damaged snapshot that is put into force, wherever it is damaged.
func TestSnapshotChecksum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c svcdef.Catalog
		for n := range rapid.IntRange(0, 5).Draw(t, "revisions") {
			spec := svcdef.Spec{Name: rapid.StringMatching("[a-z]{1,8}").Draw(t, "name")}
			next, err := c.Apply(svcdef.NewDefinition(spec, "ann", time.UnixMilli(0)).WithNumber(uint64(n+1), "attempt"))
			if err != nil {
				t.Fatal(err)
			}
			c = next
		}
		data, err := revlog.EncodeSnapshot(c)
		if err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "cut") {
			data = data[:rapid.IntRange(0, len(data)-1).Draw(t, "length")]
		} else {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}
		if _, err := revlog.DecodeSnapshot(data); err == nil {
			t.Fatal("damaged snapshot was accepted")
		}
	})
}

// Guards against a history that loses the definition, author or attempt of a revision that is no longer in force, and against a
// history that shows a later revision of a service in place of an earlier one.
func TestHistoryOfReplacedRevisions(t *testing.T) {
	g := NewWithT(t)
	var c svcdef.Catalog
	var want []svcdef.RevisionSpec
	for n := uint64(1); n <= svcdef.HistoryLimit+40; n++ {
		spec := svcdef.Spec{Name: fmt.Sprint("service-", n%7), Database: fmt.Sprint("database-", n)}
		if n < 20 {
			spec.Name = fmt.Sprint("older-", n) // in force, although its revision has left the history
		}
		spec.Callers = []svcdef.CallerSpec{{User: fmt.Sprint("caller-", n), Verifier: "verifier"}}
		r := svcdef.NewDefinition(spec, fmt.Sprint("author-", n), time.UnixMilli(int64(n)))
		if n%11 == 0 {
			r = svcdef.NewRemoval(spec.Name, "ben", time.UnixMilli(int64(n)))
		}
		body, err := revlog.Encode(r.WithNumber(n, fmt.Sprint("attempt-", n)))
		g.Expect(err).NotTo(HaveOccurred())
		r, err = revlog.Decode(body)
		g.Expect(err).NotTo(HaveOccurred())
		want = append(want, r.Spec())
		c, err = c.Apply(r)
		g.Expect(err).NotTo(HaveOccurred())
	}
	services := c.Spec().Services
	want = want[len(want)-svcdef.HistoryLimit:]
	snap, err := revlog.EncodeSnapshot(c)
	g.Expect(err).NotTo(HaveOccurred())
	again, err := revlog.DecodeSnapshot(snap)
	g.Expect(err).NotTo(HaveOccurred())
	for _, cat := range []svcdef.Catalog{c, again} {
		var got []svcdef.RevisionSpec
		for _, r := range cat.History("") {
			got = append(got, r.Spec())
		}
		g.Expect(got).To(Equal(want))
		g.Expect(cat.Spec().Services).To(Equal(services))
		g.Expect(cat.OldestRevision()).To(Equal(want[0].Number))
		g.Expect(cat.WithRecentHistory(5).History("")).To(HaveLen(5))
	}
}
