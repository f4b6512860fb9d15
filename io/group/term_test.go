package group

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/onsi/gomega"

	"verbenagate/core/failov"
	"verbenagate/core/port"
	"verbenagate/core/result"
)

// termTable is the table service with the record of one group.
type termTable struct {
	mu      sync.Mutex
	rec     port.Record
	version uint64
	// random, if set, chooses a fault for each request.
	random *rand.Rand
	// down drops all requests; lose drops the answers to so many writes, each of which has the table go down.
	down   bool
	lose   int
	reads  int
	writes int
}

// fault returns whether a request is dropped before its effect and whether its answer is lost after it.
func (t *termTable) fault() (down, lost bool) {
	if t.random == nil {
		return t.down, false
	}
	n := t.random.Intn(8)
	return n == 0, n == 1
}

func (t *termTable) Get(_ context.Context, _ string) (port.Record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if down, lost := t.fault(); down || lost {
		return port.Record{}, result.New(result.StoreUnavailable, "down")
	}
	return t.rec, nil
}

func (t *termTable) List(context.Context, string, string, int) ([]port.Record, error) {
	return nil, nil
}

func (t *termTable) Commit(_ context.Context, checks []port.VersionCheck, writes []port.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	down, lost := t.fault()
	if down {
		return result.New(result.StoreUnavailable, "no answer")
	}
	if checks[0].Version != t.rec.Version {
		return result.New(result.RevisionConflict, "record has version %d", t.rec.Version)
	}
	t.version++
	t.writes++
	t.rec = port.Record{Key: writes[0].Key, Value: writes[0].Value, Version: t.version}
	if t.lose > 0 {
		t.lose--
		t.down, lost = true, true
	}
	if lost {
		return result.New(result.StoreUnavailable, "no answer")
	}
	return nil
}

// restore returns to an older state; versions go on rising.
func (t *termTable) restore(rec port.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rec = rec
}

// The operations on the record of a group, and their result.
type (
	reserveOp struct{ floor uint64 }
	recordOp  struct {
		primary string
		term    uint64
	}
	readOp     struct{}
	termOutput struct {
		rec termRecord
		err result.Code
	}
)

// termModel is the sequential behaviour of the record. Its state is a termRecord without the attempt. An operation that
// ends with an error may have taken effect, and one that was tried again may have skipped numbers.
var termModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{termRecord{}} },
	Step: func(state, input, output any) []any {
		s, out := state.(termRecord), output.(termOutput)
		switch in := input.(type) {
		case reserveOp:
			if out.err != result.OK {
				reserved := s
				reserved.LastTerm = max(s.LastTerm, in.floor) + 1
				return []any{s, reserved}
			}
			if out.rec.LastTerm <= max(s.LastTerm, in.floor) {
				return nil
			}
			s.LastTerm = out.rec.LastTerm
			return []any{s}
		case recordOp:
			noted := s
			if in.term > s.PrimaryTerm {
				noted = termRecord{LastTerm: max(s.LastTerm, in.term), Primary: in.primary, PrimaryTerm: in.term}
			}
			if out.err != result.OK {
				return []any{s, noted}
			}
			return []any{noted}
		}
		if out.err != result.OK {
			return []any{s}
		}
		// Numbers that were skipped show in the record alone.
		if out.rec.LastTerm < s.LastTerm || out.rec.Primary != s.Primary || out.rec.PrimaryTerm != s.PrimaryTerm {
			return nil
		}
		s.LastTerm = out.rec.LastTerm
		return []any{s}
	},
}

// termHistory lets VMs reserve terms, note primaries and read the record at the same time.
func termHistory(ctx context.Context, tab *termTable, seed int64) []porcupine.Operation {
	const vms, each = 5, 8
	var (
		mu    sync.Mutex
		ops   []porcupine.Operation
		wg    sync.WaitGroup
		start = time.Now()
	)
	for vm := range vms {
		random := rand.New(rand.NewSource(100*seed + int64(vm)))
		wg.Go(func() {
			held := uint64(0)
			for range each {
				op := porcupine.Operation{ClientId: vm, Call: int64(time.Since(start))}
				var out termOutput
				var err error
				switch k := random.Intn(4); {
				case k == 0:
					op.Input = readOp{}
					_, out.rec, err = readTerm(ctx, tab, "dues")
				case k == 1 && held > 0:
					in := recordOp{fmt.Sprint("server of VM ", vm), held}
					op.Input = in
					err = recordPrimary(ctx, tab, "dues", in.primary, in.term, attemptID())
				default:
					in := reserveOp{uint64(random.Intn(3))}
					op.Input = in
					out.rec.LastTerm, err = reserveTerm(ctx, tab, "dues", in.floor, attemptID())
					held = max(held, out.rec.LastTerm)
				}
				op.Return, out.err = int64(time.Since(start)), result.CodeOf(err)
				op.Output = out
				mu.Lock()
				ops = append(ops, op)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return ops
}

// linearizable reports whether a history agrees with termModel.
func linearizable(ops []porcupine.Operation) bool {
	return porcupine.CheckOperations(termModel.ToModel(), ops)
}

// Guards against two VMs that reserve the same term and against a primary that a lost answer or another VM's write hides,
// while the store drops requests before and after their effect (fixed seeds).
func TestTermRecordIsLinearizable(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range int64(20) {
		tab := &termTable{random: rand.New(rand.NewSource(seed))}
		ops := termHistory(t.Context(), tab, seed)
		g.Expect(linearizable(ops)).To(gomega.BeTrue(), "seed %d", seed)
	}
}

// lossyTable drops the first write before its effect, and has another VM write meanwhile.
type lossyTable struct {
	*termTable
	meanwhile func()
}

func (l *lossyTable) Commit(ctx context.Context, checks []port.VersionCheck, writes []port.Write) error {
	if f := l.meanwhile; f != nil {
		l.meanwhile = nil
		f()
		return result.New(result.StoreUnavailable, "no answer")
	}
	return l.termTable.Commit(ctx, checks, writes)
}

// Guards against a check that accepts every history: VMs that use one attempt id take another VM's write for their own,
// and with it its term.
func TestTermRecordNeedsAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, same := range []bool{false, true} {
		attempt := attemptID
		if same {
			attempt = func() string { return "same" }
		}
		tab := &termTable{}
		lossy := &lossyTable{termTable: tab}
		var ops []porcupine.Operation
		add := func(client int, call, end int64, term uint64, err error) {
			ops = append(ops, porcupine.Operation{
				ClientId: client, Call: call, Return: end, Input: reserveOp{},
				Output: termOutput{rec: termRecord{LastTerm: term}, err: result.CodeOf(err)},
			})
		}
		lossy.meanwhile = func() {
			term, err := reserveTerm(t.Context(), tab, "dues", 0, attempt())
			add(1, 2, 3, term, err)
		}
		term, err := reserveTerm(t.Context(), lossy, "dues", 0, attempt())
		add(0, 1, 4, term, err)
		g.Expect(linearizable(ops)).To(gomega.Equal(!same))
	}
}

// Guards against a promotion whose primary is never noted because the other watchers hold higher terms in reserve.
func TestPrimaryIsNotedBesideReserves(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, tab := t.Context(), &termTable{}
	var terms []uint64
	for range 3 {
		term, err := reserveTerm(ctx, tab, "dues", 1, attemptID())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		terms = append(terms, term)
	}
	g.Expect(terms).To(gomega.Equal([]uint64{2, 3, 4}))
	g.Expect(recordPrimary(ctx, tab, "dues", "b", 3, attemptID())).To(gomega.Succeed())
	g.Expect(recordPrimary(ctx, tab, "dues", "a", 2, attemptID())).To(gomega.Succeed())
	_, rec, err := readTerm(ctx, tab, "dues")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(rec.LastTerm).To(gomega.Equal(uint64(4)))
	g.Expect(rec.Primary).To(gomega.Equal("b"), "the primary of the newest term")
}

// Guards against a model that allows for a store that comes back older: with it the record is not linearizable, and
// TestOlderStoreGivesTermsAgain takes its place.
func TestOlderStoreIsNotLinearizable(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := &termTable{}
	var ops []porcupine.Operation
	for i := range int64(2) {
		tab.restore(port.Record{})
		term, err := reserveTerm(t.Context(), tab, "dues", 0, attemptID())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ops = append(ops, porcupine.Operation{
			Call: 2 * i, Return: 2*i + 1, Input: reserveOp{}, Output: termOutput{rec: termRecord{LastTerm: term}, err: result.CodeOf(err)},
		})
	}
	g.Expect(linearizable(ops)).To(gomega.BeFalse())
}

// Guards against two primaries of one term after the store came back older and gave out numbers again. The record alone
// can't prevent it, so the model is another one: however often a number is given out, a majority of the servers promises
// it to one candidate at most.
func TestOlderStoreGivesTermsAgain(t *testing.T) {
	for _, strict := range []bool{true, false} {
		g := gomega.NewWithT(t)
		given, won := 0, 0
		for seed := range int64(20) {
			again, twice := olderStore(t, seed, strict)
			given, won = given+again, won+twice
		}
		g.Expect(given).To(gomega.BeNumerically(">", 0), "no number was given out again, so nothing was compared")
		if strict {
			g.Expect(won).To(gomega.BeZero(), "terms promised to two candidates by a majority")
		} else {
			g.Expect(won).To(gomega.BeNumerically(">", 0), "the check can't fail")
		}
	}
}

// lenientServer promises a term again, which a server must not do.
type lenientServer struct{ *fakeServer }

func (l lenientServer) Fence(_ context.Context, term uint64) (port.Status, error) {
	return l.answer(func(s *port.Status) error {
		s.Promised = max(s.Promised, term)
		return nil
	})
}

// olderStore lets candidates reserve a term and ask three servers for it, one candidate after the other or at the same
// time, while the store goes back to older states. It returns how many numbers were given to more than one candidate, and
// how many of these a majority promised to more than one.
func olderStore(t *testing.T, seed int64, strict bool) (again, twice int) {
	const candidates, rounds = 4, 6
	tab, random := &termTable{}, rand.New(rand.NewSource(seed))
	servers := make([]Server, 3)
	for i := range servers {
		f := &fakeServer{status: port.Status{Term: 1, Promised: 1, Role: port.RoleReplica}}
		if servers[i] = f; !strict {
			servers[i] = lenientServer{f}
		}
	}
	old := tab.rec
	got, winners := map[uint64]int{}, map[uint64]int{}
	var mu sync.Mutex
	for range rounds {
		terms := make([]uint64, candidates)
		for i := range candidates {
			// Candidates that reserved before the store went back use their number later, as when the store is down.
			if random.Intn(2) == 0 {
				tab.restore(old)
			} else if random.Intn(3) == 0 {
				old = tab.rec
			}
			term, err := reserveTerm(t.Context(), tab, "dues", 1, attemptID())
			if err != nil {
				t.Fatal(err)
			}
			terms[i] = term
			got[term]++
		}
		var wg sync.WaitGroup
		for _, term := range terms {
			wg.Go(func() {
				promised := 0
				for _, s := range servers {
					if st, err := fenceServer(t.Context(), s, term); err == nil && st.Promised == term {
						promised++
					}
				}
				if promised >= failov.Majority(len(servers)) {
					mu.Lock()
					defer mu.Unlock()
					winners[term]++
				}
			})
		}
		wg.Wait()
	}
	for term, n := range got {
		if n > 1 {
			again++
		}
		if winners[term] > 1 {
			twice++
		}
	}
	return again, twice
}
