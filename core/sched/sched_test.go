package sched_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"verbenagate/core/result"
	"verbenagate/core/sched"
)

// A fixed seed makes failures of the randomised tests reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

const ms = time.Millisecond

var begin = time.Unix(1000, 0)

// train makes the queue learn that a fingerprint takes this long.
func train(q *sched.Queue, fingerprint uint64, took time.Duration) {
	for range 30 {
		it := sched.NewItem("trainer", fingerprint, time.Time{}, sched.NeedsConnection, false, nil)
		if q.Submit(it, begin) != result.OK {
			panic("an item for training was refused")
		}
		q.Next(begin, 1)
		q.Done(it, begin.Add(took))
	}
}

// Fingerprints of the tests. Those from unseen on are unknown to the queue.
const (
	short  = uint64(2)
	long   = uint64(3)
	unseen = uint64(100)
)

type model struct {
	q            *sched.Queue
	slots        int
	lockHolders  int
	now          time.Time
	queued       map[*sched.Item]bool
	running      map[*sched.Item]bool
	ended        map[*sched.Item]bool
	reclassified map[*sched.Item]bool
}

func (m *model) next(t *rapid.T, free int) {
	start, shed := m.q.Next(m.now, free)
	for _, it := range shed {
		m.removeQueued(t, it)
		m.ended[it] = true
	}
	unconnected := 0
	for _, it := range start {
		m.removeQueued(t, it)
		m.running[it] = true
		if it.Kind() == sched.NeedsConnection {
			unconnected++
		}
	}
	if unconnected > free {
		t.Fatalf("%d items without a connection started, %d connections free", unconnected, free)
	}
	m.check(t, free)
}

func (m *model) removeQueued(t *rapid.T, it *sched.Item) {
	if !m.queued[it] {
		t.Fatalf("the queue returned an item that was not waiting")
	}
	delete(m.queued, it)
}

// check compares the queue with the model after Next.
func (m *model) check(t *rapid.T, free int) {
	short, long := m.q.Active()
	if short+long+m.q.Parked() != len(m.running) || short+long > m.slots {
		t.Fatalf("%d short and %d long items use slots, the model has %d running items and %d slots", short, long, len(m.running), m.slots)
	}
	if m.q.Len() != len(m.queued) {
		t.Fatalf("%d items wait, in the model %d", m.q.Len(), len(m.queued))
	}
	started := 0
	for it := range m.running {
		if it.Class() == sched.Long && !m.reclassified[it] {
			started++
		}
	}
	if started-m.q.Parked() > max(1, m.slots-1) {
		t.Fatalf("%d long items were started in %d slots", started, m.slots)
	}
	if short+long == m.slots || len(m.running) >= m.slots || m.lockHolders > 0 {
		return
	}
	for it := range m.queued {
		if it.Class() == sched.Short && (it.Kind() != sched.NeedsConnection || free >= m.slots) {
			t.Fatalf("a short item waits although a slot is free")
		}
	}
}

// Guards against items that are lost, started twice or started after they were shed, and against running more items, or
// more long items, than there are slots for them.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		m := &model{
			q: sched.New(slots, 30), slots: slots, now: begin, queued: map[*sched.Item]bool{},
			running: map[*sched.Item]bool{}, ended: map[*sched.Item]bool{}, reclassified: map[*sched.Item]bool{},
		}
		train(m.q, short, 2*ms)
		train(m.q, long, 500*ms)
		m.q.SetMaxWait(time.Duration(rapid.IntRange(0, 10).Draw(t, "max wait")) * ms)
		var all []*sched.Item
		pick := func(set map[*sched.Item]bool) *sched.Item {
			var of []*sched.Item
			for _, it := range all {
				if set[it] {
					of = append(of, it)
				}
			}
			if len(of) == 0 {
				return nil
			}
			return of[rapid.IntRange(0, len(of)-1).Draw(t, "item")]
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1, 2:
				f := rapid.SampledFrom([]uint64{short, long, unseen + uint64(len(all))}).Draw(t, "fingerprint")
				var deadline time.Time
				if rapid.Bool().Draw(t, "has deadline") {
					deadline = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms to deadline")) * ms)
				}
				caller := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")
				kind := sched.Kind(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "kind"))
				it := sched.NewItem(caller, f, deadline, kind, rapid.Bool().Draw(t, "may wait for lock"), nil)
				if rapid.Bool().Draw(t, "deferred") {
					it.MarkDeferred()
				}
				all = append(all, it)
				if m.q.Submit(it, m.now) == result.OK {
					m.queued[it] = true
				} else {
					m.ended[it] = true
				}
			case 3, 4:
				m.next(t, rapid.IntRange(0, 6).Draw(t, "free connections"))
			case 5:
				if it := pick(m.running); it != nil {
					delete(m.running, it)
					m.ended[it] = true
					m.q.Done(it, m.now)
				}
			case 6:
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms passed")) * ms)
				for it := range m.running {
					m.reclassified[it] = m.reclassified[it] || it.Class() == sched.Short
				}
				m.q.ReclassifyLong(m.now)
			case 8:
				m.lockHolders = rapid.IntRange(0, 2).Draw(t, "lock holders")
				m.q.SetLockHolders(m.lockHolders)
			case 7:
				if it := pick(m.queued); it != nil && m.q.Remove(it) {
					m.removeQueued(t, it)
					m.ended[it] = true
				}
			}
			for it := range m.ended {
				if it.Queued() || it.Running() {
					t.Fatalf("an ended item still waits or runs")
				}
			}
		}
		for range len(all) + 1 {
			for it := range m.running {
				delete(m.running, it)
				m.ended[it] = true
				m.q.Done(it, m.now)
			}
			m.next(t, m.slots)
		}
		if len(m.ended) != len(all) {
			t.Fatalf("%d of %d items did not end", len(all)-len(m.ended), len(all))
		}
	})
}

func submit(q *sched.Queue, caller string, fingerprint uint64, held bool, now time.Time) *sched.Item {
	kind := sched.NeedsConnection
	if held {
		kind = sched.HoldsConnection
	}
	it := sched.NewItem(caller, fingerprint, time.Time{}, kind, false, nil)
	if code := q.Submit(it, now); code != result.OK {
		panic(code)
	}
	return it
}

// Guards against long work that takes the last slot and makes short work wait, if there are several slots. With a single slot
// the long work may use it.
func TestShortFirst(t *testing.T) {
	g := NewWithT(t)
	for _, slots := range []int{1, 3} {
		q := sched.New(slots, 100)
		train(q, short, 2*ms)
		train(q, long, 500*ms)
		now := begin.Add(time.Minute) // the load caused by train has decayed
		for range 5 {
			submit(q, "a", long, false, now)
		}
		q.Next(now, 10)
		_, n := q.Active()
		g.Expect(n).To(Equal(max(1, slots-1)))
		it := submit(q, "b", short, false, now)
		q.Next(now, 10)
		g.Expect(it.Running()).To(Equal(slots > 1))
	}
}

// Guards against a straggler with an unknown fingerprint that still counts as short while it runs, so that more long work
// starts beside it.
func TestUnknownBecomesLong(t *testing.T) {
	g := NewWithT(t)
	q := sched.New(2, 100)
	train(q, long, 500*ms)
	it := submit(q, "a", unseen, false, begin)
	q.Next(begin, 10)
	g.Expect(it.Class()).To(Equal(sched.Short))
	now := begin.Add(q.Threshold() + ms)
	g.Expect(q.ReclassifyLong(now)).To(BeTrue())
	g.Expect(it.Class()).To(Equal(sched.Long))
	other := submit(q, "a", long, false, now)
	q.Next(now, 10)
	g.Expect(other.Running()).To(BeFalse())
	q.Done(it, now)
	took, known := q.Estimate(unseen)
	g.Expect(known).To(BeTrue())
	g.Expect(took).To(BeNumerically(">", q.Threshold()))
}

// Guards against a burst of stragglers with the same unknown fingerprint that take every slot before the first one has ended.
func TestUnseenBurst(t *testing.T) {
	g := NewWithT(t)
	q := sched.New(3, 100)
	submit(q, "a", unseen, false, begin)
	q.Next(begin, 10)
	for i := range 5 {
		submit(q, "a", unseen, false, begin.Add(time.Duration(i)*ms))
	}
	q.Next(begin, 1)
	now := begin.Add(q.Threshold() + ms)
	q.ReclassifyLong(now)
	q.Next(now, 10)
	a, b := q.Active()
	g.Expect(a + b).To(Equal(2))
	it := submit(q, "b", short, false, now)
	q.Next(now, 10)
	g.Expect(it.Running()).To(BeTrue())
}

// Guards against a caller with many units that delays other callers, and against new work that starts before that of open
// transactions.
func TestOrder(t *testing.T) {
	g := NewWithT(t)
	q := sched.New(1, 100)
	var order []*sched.Item
	a1 := submit(q, "a", short, false, begin)
	a2 := submit(q, "a", short, false, begin)
	a3 := submit(q, "a", short, false, begin)
	b1 := submit(q, "b", short, false, begin)
	held := submit(q, "c", short, true, begin)
	for range 5 {
		start, _ := q.Next(begin, 1)
		g.Expect(start).To(HaveLen(1))
		order = append(order, start[0])
		q.Done(start[0], begin)
	}
	g.Expect(order).To(Equal([]*sched.Item{held, a1, b1, a2, a3}))
	// Without a free connection only the transaction's item starts.
	submit(q, "a", short, false, begin)
	held = submit(q, "c", short, true, begin)
	start, _ := q.Next(begin, 0)
	g.Expect(start).To(Equal([]*sched.Item{held}))
}

// Guards against units that wait although they cannot end before their deadline, and against a queue without a bound.
func TestShedding(t *testing.T) {
	g := NewWithT(t)
	q := sched.New(1, 10)
	train(q, short, 10*ms)
	for range 10 {
		submit(q, "a", short, false, begin)
	}
	g.Expect(q.Submit(sched.NewItem("a", short, time.Time{}, sched.NeedsConnection, false, nil), begin)).To(Equal(result.QueueFull))
	q.Next(begin, 1)
	late := sched.NewItem("a", short, begin.Add(20*ms), sched.NeedsConnection, false, nil)
	g.Expect(q.Submit(late, begin)).To(Equal(result.DeadlineTooClose))
	// Another caller's item waits for only one item of the first caller.
	fair := sched.NewItem("b", short, begin.Add(50*ms), sched.NeedsConnection, false, nil)
	g.Expect(q.Submit(fair, begin)).To(Equal(result.OK))
	_, shed := q.Next(begin.Add(60*ms), 1)
	g.Expect(shed).To(Equal([]*sched.Item{fair}))
	g.Expect(q.Counters(sched.Short).Shed).To(Equal(uint64(3)))
}

// Guards against admitting units that would wait longer than the longest wait because of too much demand, and against
// refusing units because the server has stalled.
func TestMaxWait(t *testing.T) {
	g := NewWithT(t)
	q := sched.New(1, 100)
	q.SetMaxWait(15 * ms)
	train(q, short, 10*ms)
	code := func(it *sched.Item, now time.Time) result.Code { return q.Submit(it, now) }
	newShort := func() *sched.Item { return sched.NewItem("a", short, time.Time{}, sched.NeedsConnection, false, nil) }
	at := begin.Add(time.Second)
	running := newShort()
	g.Expect(code(running, at)).To(Equal(result.OK))
	q.Next(at, 1)
	for range 2 { // the second one is expected to wait 10 ms
		g.Expect(code(newShort(), at)).To(Equal(result.OK))
	}
	g.Expect(code(newShort(), at)).To(Equal(result.Overloaded))
	waited := newShort()
	waited.MarkDeferred()
	g.Expect(code(waited, at)).To(Equal(result.OK))
	// At 40 ms the running unit has taken four times its estimate, so the server counts as stalled.
	g.Expect(code(newShort(), at.Add(39*ms))).To(Equal(result.Overloaded))
	stalled := newShort()
	g.Expect(code(stalled, at.Add(40*ms))).To(Equal(result.OK))
	q.Done(running, at.Add(41*ms))
	g.Expect(code(newShort(), at.Add(41*ms))).To(Equal(result.Overloaded))
}

// Guards against deferred units that starve others that need a connection, and the other way round.
func TestDeferredTakeTurns(t *testing.T) {
	g := NewWithT(t)
	q := sched.New(1, 100)
	var order []bool
	for range 3 {
		submit(q, "a", short, false, begin)
		it := sched.NewItem("b", short, time.Time{}, sched.NeedsConnection, false, true)
		it.MarkDeferred()
		g.Expect(q.Submit(it, begin)).To(Equal(result.OK))
	}
	for range 6 {
		start, _ := q.Next(begin, 1)
		g.Expect(start).To(HaveLen(1))
		order = append(order, start[0].Value() != nil)
		q.Done(start[0], begin)
	}
	g.Expect(order).To(Equal([]bool{false, true, false, true, false, true}))
}

// Guards against a unit that starts too late to end before its deadline, and against a unit that never starts because its
// estimate is too high.
func TestLatestStart(t *testing.T) {
	g := NewWithT(t)
	q := sched.New(1, 10)
	train(q, short, 10*ms)
	train(q, long, 10*time.Second)
	a := sched.NewItem("a", short, begin.Add(100*ms), sched.NeedsConnection, false, nil)
	b := sched.NewItem("a", long, begin.Add(100*ms), sched.NeedsConnection, false, nil)
	g.Expect([]result.Code{q.Submit(a, begin), q.Submit(b, begin)}).To(Equal([]result.Code{result.OK, result.OK}))
	_, shed := q.Next(begin.Add(49*ms), 0)
	g.Expect(shed).To(BeEmpty())
	_, shed = q.Next(begin.Add(51*ms), 0)
	g.Expect(shed).To(Equal([]*sched.Item{b}))
	_, shed = q.Next(begin.Add(95*ms), 0)
	g.Expect(shed).To(Equal([]*sched.Item{a}))
}

// Guards against a deadlock in which units that wait for a lock use every slot while the transaction that holds the lock
// waits for a slot, and against slots that are not returned after they were lent.
func TestLockWaits(t *testing.T) {
	g := NewWithT(t)
	q := sched.New(2, 10)
	train(q, short, 2*ms)
	item := func(kind sched.Kind, mayWaitForLock bool, now time.Time) *sched.Item {
		it := sched.NewItem("a", short, time.Time{}, kind, mayWaitForLock, nil)
		g.Expect(q.Submit(it, now)).To(Equal(result.OK))
		q.Next(now, 10)
		return it
	}
	a, b := item(sched.HoldsConnection, true, begin), item(sched.NeedsConnection, true, begin)
	q.SetLockHolders(1)
	now := begin.Add(8 * ms)
	c := item(sched.HoldsLocks, true, now)
	g.Expect(c.Running()).To(BeFalse())
	unconnected := item(sched.NeedsConnection, false, now)
	now = now.Add(8 * ms)
	q.Next(now, 10)
	g.Expect(c.Running()).To(BeTrue())
	g.Expect(q.Parked()).To(Equal(1))
	g.Expect(unconnected.Running()).To(BeFalse(), "a lent slot is used by lock-holding items only")
	q.Done(c, now)
	q.SetLockHolders(0)
	for _, it := range []*sched.Item{a, b} {
		q.Done(it, now)
	}
	g.Expect(q.Parked()).To(BeZero())
	q.Next(now, 10)
	g.Expect(unconnected.Running()).To(BeTrue())
	q.Done(unconnected, now)

	// While a transaction holds locks, units that may wait for them leave one slot free for it.
	q.SetLockHolders(1)
	a, b = item(sched.NeedsConnection, true, now), item(sched.NeedsConnection, true, now)
	g.Expect([]bool{a.Running(), b.Running()}).To(Equal([]bool{true, false}))
	g.Expect(item(sched.HoldsLocks, true, now).Running()).To(BeTrue())
}

// Guards against items that start beyond the number of slots after it was lowered while more items ran.
func TestSetSlots(t *testing.T) {
	g := NewWithT(t)
	q := sched.New(2, 10)
	a, b, c := submit(q, "a", short, false, begin), submit(q, "a", short, false, begin), submit(q, "a", short, false, begin)
	q.Next(begin, 10)
	q.SetSlots(1)
	q.Done(a, begin)
	q.Next(begin, 10)
	g.Expect([]bool{b.Running(), c.Running()}).To(Equal([]bool{true, false}))
	q.Done(b, begin)
	q.Next(begin, 10)
	g.Expect(c.Running()).To(BeTrue())
}

// Guards against a table of service times that grows without bound.
func TestTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	q := sched.New(1, 10)
	for f := range uint64(10000) {
		it := submit(q, "a", f, false, begin)
		q.Next(begin, 1)
		q.Done(it, begin.Add(ms))
	}
	_, known := q.Estimate(0)
	g.Expect(known).To(BeFalse())
	_, known = q.Estimate(9999)
	g.Expect(known).To(BeTrue())
}

func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := sched.New(1, n+10)
			now := begin
			for i := range n {
				submit(q, fmt.Sprint("c", i%50), uint64(i%20), false, now)
			}
			callers := [50]string{}
			for i := range callers {
				callers[i] = fmt.Sprint("c", i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				it := sched.NewItem(callers[i%50], uint64(i%20), now.Add(time.Hour), sched.NeedsConnection, false, nil)
				q.Submit(it, now)
				start, _ := q.Next(now, 1)
				q.Done(start[0], now)
			}
		})
	}
}

func Example() {
	now := time.Unix(1000, 0)
	q := sched.New(1, 100)
	for _, caller := range []string{"anna", "anna", "bert"} {
		q.Submit(sched.NewItem(caller, 7, now.Add(time.Second), sched.NeedsConnection, false, caller), now)
	}
	for q.Len() > 0 {
		start, _ := q.Next(now, 1)
		fmt.Println(start[0].Value())
		q.Done(start[0], now.Add(time.Millisecond))
	}
	// Output:
	// anna
	// bert
	// anna
}
