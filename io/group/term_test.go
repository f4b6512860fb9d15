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

// termTable is an in-memory table service with the record of one group.
type termTable struct {
	mu      sync.Mutex
	rec     port.Record
	version uint64
	// random, if set, chooses a fault for each request.
	random *rand.Rand
	// down drops all requests. loseAnswers is the number of writes whose answer is lost; each of them sets down.
	down        bool
	loseAnswers int
	reads       int
	writes      int
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
	if t.loseAnswers > 0 {
		t.loseAnswers--
		t.down, lost = true, true
	}
	if lost {
		return result.New(result.StoreUnavailable, "no answer")
	}
	return nil
}

// rollBack restores an older record. Versions keep increasing.
func (t *termTable) rollBack(rec port.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rec = rec
}

// Operations on the term record, and their result.
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

// termModel is the sequential specification of the term record. Its state is a termRecord without Attempt. An operation that
// returns an error may have taken effect, and one that was retried may have skipped terms.
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
			recorded := s
			if in.term > s.PrimaryTerm {
				recorded = termRecord{LastTerm: max(s.LastTerm, in.term), Primary: in.primary, PrimaryTerm: in.term}
			}
			if out.err != result.OK {
				return []any{s, recorded}
			}
			return []any{recorded}
		}
		if out.err != result.OK {
			return []any{s}
		}
		// Skipped terms are visible only in the record.
		if out.rec.LastTerm < s.LastTerm || out.rec.Primary != s.Primary || out.rec.PrimaryTerm != s.PrimaryTerm {
			return nil
		}
		s.LastTerm = out.rec.LastTerm
		return []any{s}
	},
}

// runTermOperations runs several VMs that concurrently reserve terms, record primaries and read the record. It returns their
// operations.
func runTermOperations(ctx context.Context, table *termTable, seed int64) []porcupine.Operation {
	const vms, opsPerVM = 5, 8
	var (
		mu    sync.Mutex
		ops   []porcupine.Operation
		wg    sync.WaitGroup
		start = time.Now()
	)
	for vm := range vms {
		random := rand.New(rand.NewSource(100*seed + int64(vm)))
		wg.Go(func() {
			highestReserved := uint64(0)
			for range opsPerVM {
				op := porcupine.Operation{ClientId: vm, Call: int64(time.Since(start))}
				var out termOutput
				var err error
				switch k := random.Intn(4); {
				case k == 0:
					op.Input = readOp{}
					_, out.rec, err = readTermRecord(ctx, table, "dues")
				case k == 1 && highestReserved > 0:
					in := recordOp{fmt.Sprint("server of VM ", vm), highestReserved}
					op.Input = in
					err = recordPrimary(ctx, table, "dues", in.primary, in.term, newAttemptID())
				default:
					in := reserveOp{uint64(random.Intn(3))}
					op.Input = in
					out.rec.LastTerm, err = reserveTerm(ctx, table, "dues", in.floor, newAttemptID())
					highestReserved = max(highestReserved, out.rec.LastTerm)
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

// linearizable reports whether a history is linearizable under termModel.
func linearizable(ops []porcupine.Operation) bool {
	return porcupine.CheckOperations(termModel.ToModel(), ops)
}

// Guards against two VMs that reserve the same term, and against a recorded primary that is lost through a lost answer or
// another VM's write, while the store drops requests before and after their effect (fixed seeds).
func TestTermRecordIsLinearizable(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range int64(20) {
		table := &termTable{random: rand.New(rand.NewSource(seed))}
		ops := runTermOperations(t.Context(), table, seed)
		g.Expect(linearizable(ops)).To(gomega.BeTrue(), "seed %d", seed)
	}
}

// lossyTable drops the first write before its effect and lets another VM write at that moment.
type lossyTable struct {
	*termTable
	concurrentWrite func()
}

func (l *lossyTable) Commit(ctx context.Context, checks []port.VersionCheck, writes []port.Write) error {
	if f := l.concurrentWrite; f != nil {
		l.concurrentWrite = nil
		f()
		return result.New(result.StoreUnavailable, "no answer")
	}
	return l.termTable.Commit(ctx, checks, writes)
}

// Guards against a linearizability check that accepts every history. VMs with the same attempt id take another VM's write, and
// its term, for their own.
func TestTermRecordNeedsUniqueAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, sameAttempt := range []bool{false, true} {
		attempt := newAttemptID
		if sameAttempt {
			attempt = func() string { return "same" }
		}
		table := &termTable{}
		lossy := &lossyTable{termTable: table}
		var ops []porcupine.Operation
		add := func(client int, call, end int64, term uint64, err error) {
			ops = append(ops, porcupine.Operation{
				ClientId: client, Call: call, Return: end, Input: reserveOp{},
				Output: termOutput{rec: termRecord{LastTerm: term}, err: result.CodeOf(err)},
			})
		}
		lossy.concurrentWrite = func() {
			term, err := reserveTerm(t.Context(), table, "dues", 0, attempt())
			add(1, 2, 3, term, err)
		}
		term, err := reserveTerm(t.Context(), lossy, "dues", 0, attempt())
		add(0, 1, 4, term, err)
		g.Expect(linearizable(ops)).To(gomega.Equal(!sameAttempt))
	}
}

// Guards against a promotion whose primary is never recorded because the other watchers hold higher terms in reserve.
func TestPrimaryIsRecordedDespiteReservations(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, table := t.Context(), &termTable{}
	var terms []uint64
	for range 3 {
		term, err := reserveTerm(ctx, table, "dues", 1, newAttemptID())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		terms = append(terms, term)
	}
	g.Expect(terms).To(gomega.Equal([]uint64{2, 3, 4}))
	g.Expect(recordPrimary(ctx, table, "dues", "b", 3, newAttemptID())).To(gomega.Succeed())
	g.Expect(recordPrimary(ctx, table, "dues", "a", 2, newAttemptID())).To(gomega.Succeed())
	_, rec, err := readTermRecord(ctx, table, "dues")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(rec.LastTerm).To(gomega.Equal(uint64(4)))
	g.Expect(rec.Primary).To(gomega.Equal("b"), "the primary of the newest term")
}

// Guards against a termModel that accepts a store restored to an older state. The record is not linearizable then;
// TestRolledBackStoreReissuesTerms tests that case instead.
func TestRolledBackStoreIsNotLinearizable(t *testing.T) {
	g := gomega.NewWithT(t)
	table := &termTable{}
	var ops []porcupine.Operation
	for i := range int64(2) {
		table.rollBack(port.Record{})
		term, err := reserveTerm(t.Context(), table, "dues", 0, newAttemptID())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ops = append(ops, porcupine.Operation{
			Call: 2 * i, Return: 2*i + 1, Input: reserveOp{}, Output: termOutput{rec: termRecord{LastTerm: term}, err: result.CodeOf(err)},
		})
	}
	g.Expect(linearizable(ops)).To(gomega.BeFalse())
}

// Guards against two primaries in one term after the store was restored to an older state and gave out terms again. The record
// alone cannot prevent this, so the test checks another property: however often a term is given out, a majority of the servers
// promises it to at most one candidate.
func TestRolledBackStoreReissuesTerms(t *testing.T) {
	for _, strict := range []bool{true, false} {
		g := gomega.NewWithT(t)
		reissued, promisedTwice := 0, 0
		for seed := range int64(20) {
			r, p := electWithRolledBackStore(t, seed, strict)
			reissued, promisedTwice = reissued+r, promisedTwice+p
		}
		g.Expect(reissued).To(gomega.BeNumerically(">", 0), "no term was given out twice, so the check compared nothing")
		if strict {
			g.Expect(promisedTwice).To(gomega.BeZero(), "terms promised to two candidates by a majority")
		} else {
			g.Expect(promisedTwice).To(gomega.BeNumerically(">", 0), "the check cannot fail")
		}
	}
}

// lenientServer promises the same term repeatedly, which a real server must not do.
type lenientServer struct{ *fakeServer }

func (l lenientServer) Fence(_ context.Context, term uint64) (port.Status, error) {
	return l.answer(func(s *port.Status) error {
		s.Promised = max(s.Promised, term)
		return nil
	})
}

// electWithRolledBackStore lets candidates reserve a term and ask three servers to promise it, sequentially or concurrently,
// while the store is rolled back to older states. It returns how many terms were given to more than one candidate, and how many
// terms a majority promised to more than one.
func electWithRolledBackStore(t *testing.T, seed int64, strict bool) (reissued, promisedTwice int) {
	const candidates, rounds = 4, 6
	table, random := &termTable{}, rand.New(rand.NewSource(seed))
	servers := make([]Server, 3)
	for i := range servers {
		f := &fakeServer{status: port.Status{Term: 1, Promised: 1, Role: port.RoleReplica}}
		if servers[i] = f; !strict {
			servers[i] = lenientServer{f}
		}
	}
	snapshot := table.rec
	candidatesOf, winnersOf := map[uint64]int{}, map[uint64]int{}
	var mu sync.Mutex
	for range rounds {
		terms := make([]uint64, candidates)
		for i := range candidates {
			// Candidates that reserved before the rollback use their term later, as they do when the store is down.
			if random.Intn(2) == 0 {
				table.rollBack(snapshot)
			} else if random.Intn(3) == 0 {
				snapshot = table.rec
			}
			term, err := reserveTerm(t.Context(), table, "dues", 1, newAttemptID())
			if err != nil {
				t.Fatal(err)
			}
			terms[i] = term
			candidatesOf[term]++
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
					winnersOf[term]++
				}
			})
		}
		wg.Wait()
	}
	for term, n := range candidatesOf {
		if n > 1 {
			reissued++
		}
		if winnersOf[term] > 1 {
			promisedTwice++
		}
	}
	return reissued, promisedTwice
}
