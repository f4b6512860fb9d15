// Package sched decides which unit of work runs next on one database server.
//
// A queue has as many slots as the server executes statements at a time. It learns service times per fingerprint and
// keeps long work out of the slots that the load of short work needs, serves callers round robin, puts units of open transactions first, and sheds
// units whose deadline cannot be met. A unit that waits for a lock of a transaction whose own unit waits for a slot
// lends that transaction its slot. It is driven by the time passed to its methods and is not safe for concurrent use.
package sched

import (
	"container/heap"
	"time"

	"verbenagate/core/result"
)

// Class is the kind of work that an item is counted as.
type Class uint8

// The classes of work.
const (
	Short Class = iota
	Long
	classes
)

// String returns the class's name.
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}

type state uint8

const (
	stateNew state = iota
	stateQueued
	stateRunning
	stateEnded
)

// Kind says what an item's stream holds while the item waits.
type Kind uint8

// The kinds of items, those that hold the most last.
const (
	// Fresh items need a connection.
	Fresh Kind = iota
	// Held items belong to a stream that holds a connection, such as an open transaction.
	Held
	// Locking items belong to a transaction that has written, and so holds locks that other units may wait for.
	Locking
	kinds
)

// Item is one unit of work in a queue. It belongs to the queue from Submit until it is shed, removed or done.
type Item struct {
	caller      string
	fingerprint uint64
	deadline    time.Time
	latest      time.Time // the latest time to start
	kind        Kind
	mayLock     bool
	value       any

	state     state
	class     Class
	submitted time.Time
	started   time.Time
	cost      time.Duration
	heapIndex int
	run       int
	parked    bool
	deferred  bool
	lane      *lane
	prev      *Item
	next      *Item
}

// NewItem returns a unit of work of a caller. A zero deadline means none. MayLock says that the unit may wait for locks
// of another transaction. Value is for the user of the queue.
func NewItem(caller string, fingerprint uint64, deadline time.Time, kind Kind, mayLock bool, value any) *Item {
	return &Item{caller: caller, fingerprint: fingerprint, deadline: deadline, kind: kind, mayLock: mayLock, value: value}
}

// Value returns the value given to NewItem.
func (i *Item) Value() any { return i.value }

// Kind returns what the item's stream holds.
func (i *Item) Kind() Kind { return i.kind }

// Defer marks an item, before it is submitted, whose unit has waited elsewhere, such as for a new primary. Many of these
// arrive at once, which is no sign of more demand than the server can do.
func (i *Item) Defer() { i.deferred = true }

// Class returns what the item is counted as at present.
func (i *Item) Class() Class { return i.class }

// Queued reports whether the item waits in the queue.
func (i *Item) Queued() bool { return i.state == stateQueued }

// Running reports whether the item holds a slot.
func (i *Item) Running() bool { return i.state == stateRunning }

// Counters of one class of work since the queue was made.
type Counters struct {
	Submitted uint64
	Started   uint64
	Done      uint64
	Shed      uint64
	Removed   uint64
	// Waited is the total time that started items spent in the queue.
	Waited time.Duration
}

// longPatience is how long queued long work waits while short work keeps every slot busy, before it gets one slot ahead
// of short work. With a single slot this applies only to held items, since their transaction keeps a connection.
const longPatience = 2 * time.Second

const (
	// lockFactor times the median of short work is how long a locking item waits before a unit that runs as long and may
	// wait for a lock is taken to do so. minLockPatience and maxLockPatience bound it.
	lockFactor      = 2
	minLockPatience = 5 * time.Millisecond
	maxLockPatience = 100 * time.Millisecond
)

// Queue is the queue of one server.
type Queue struct {
	slots    int
	limit    int
	maxWait  time.Duration
	times    *times
	rings    [kinds][2][classes]ring // by kind, by whether an item may wait for locks, and by class
	running  []*Item
	parked   int // running items that are taken to wait for a lock, and so use no slot
	active   [classes]int
	lockable int // running items that may wait for locks, without the parked ones
	lockers  int
	expiry   expiry
	deferred [2]ring // deferred fresh short items, by whether they may wait for locks
	turn     bool    // the next fresh short item comes from deferred
	queued   [kinds]int
	backlog  [classes]time.Duration // without deferred
	delayed  time.Duration          // the work in deferred
	moved    time.Time              // the last start or end of an item
	short    load                   // of the slots, by short work
	counters [classes]Counters
	started  []*Item
	shed     []*Item
	lanes    *lane
}

// New returns the queue of a server with this many slots. At most limit items wait.
func New(slots, limit int) *Queue {
	return &Queue{slots: max(1, slots), limit: max(1, limit), times: newTimes()}
}

// SetMaxWait sets the expected wait from which fresh short items are refused; 0 for no limit.
func (q *Queue) SetMaxWait(d time.Duration) { q.maxWait = d }

// Slots returns how many items run at a time.
func (q *Queue) Slots() int { return q.slots }

// SetSlots changes how many items run at a time. Items that run already go on, also beyond the new number.
func (q *Queue) SetSlots(n int) { q.slots = max(1, n) }

// Len returns how many items wait.
func (q *Queue) Len() int { return q.queued[Fresh] + q.queued[Held] + q.queued[Locking] }

// Waiting returns how many items of a class wait.
func (q *Queue) Waiting(c Class) int {
	n := 0
	for k := range q.rings {
		for l := range q.rings[k] {
			n += q.rings[k][l][c].items
		}
	}
	if c == Short {
		n += q.deferred[0].items + q.deferred[1].items
	}
	return n
}

// Active returns how many items use a slot, by class.
func (q *Queue) Active() (short, long int) { return q.active[Short], q.active[Long] }

// Parked returns how many items run without a slot because they wait for a lock.
func (q *Queue) Parked() int { return q.parked }

// SetLockers tells the queue how many open transactions have written. While there are any, items that may wait for
// their locks leave one slot free.
func (q *Queue) SetLockers(n int) { q.lockers = n }

// Counters returns the counters of a class.
func (q *Queue) Counters(c Class) Counters { return q.counters[c] }

// Estimate returns the learned service time of a fingerprint.
func (q *Queue) Estimate(fingerprint uint64) (time.Duration, bool) {
	return q.times.estimate(fingerprint)
}

// Threshold returns the service time above which work is long.
func (q *Queue) Threshold() time.Duration { return q.times.threshold() }

// Submit puts an item into the queue. It returns OK, or the code of the reason for which the item is shed at once:
// QueueFull, DeadlineTooClose if the expected wait exceeds the time that the item has left, or Overloaded if it exceeds the
// longest wait that is set.
func (q *Queue) Submit(it *Item, now time.Time) result.Code {
	if it.state != stateNew {
		return result.Internal
	}
	cost, known := q.times.estimate(it.fingerprint)
	if !known {
		cost = q.times.typical()
	} else if cost > q.times.threshold() {
		it.class = Long
	}
	it.cost, it.submitted, it.latest = cost, now, latestStart(it.deadline, cost, now)
	q.counters[it.class].Submitted++
	if code := q.admit(it, now); code != result.OK {
		it.state = stateEnded
		q.counters[it.class].Shed++
		return code
	}
	it.state = stateQueued
	q.link(it)
	return result.OK
}

// link puts an item among the waiting ones.
func (q *Queue) link(it *Item) {
	q.ring(it).push(it, &q.lanes)
	q.queued[it.kind]++
	*q.work(it) += it.cost
	it.heapIndex = -1
	if !it.deadline.IsZero() {
		heap.Push(&q.expiry, it)
	}
}

// becomesLong moves a waiting item to the long work if its fingerprint has turned out to be long since it was submitted,
// and reports whether it did.
func (q *Queue) becomesLong(it *Item) bool {
	cost, known := q.times.estimate(it.fingerprint)
	if it.class == Long || !known || cost <= q.times.threshold() {
		return false
	}
	q.unlink(it)
	it.class, it.cost = Long, cost
	q.link(it)
	return true
}

func (q *Queue) admit(it *Item, now time.Time) result.Code {
	if it.kind == Fresh && q.Len() >= q.limit {
		return result.QueueFull
	}
	var wait time.Duration
	if it.kind == Fresh {
		wait = q.wait(now, it)
		if q.tooLong(it, wait) {
			if !q.stalled(now) {
				return result.Overloaded
			}
			it.deferred = true
			wait = q.wait(now, it)
		}
	}
	if it.deadline.IsZero() {
		return result.OK
	}
	if left := it.latest.Sub(now); left <= 0 || wait > left {
		return result.DeadlineTooClose
	}
	return result.OK
}

// latestStart returns when an item must start to end in time. A write that is started later would end as unknown rather
// than as not run. Half of the time left is allowed for waiting even if the estimate exceeds it, because an item that
// is never started cannot correct a wrong estimate.
func latestStart(deadline time.Time, cost time.Duration, now time.Time) time.Time {
	return deadline.Add(-min(cost, max(0, deadline.Sub(now)/2)))
}

// Wait returns the expected time in the queue of a new item of a caller.
func (q *Queue) Wait(now time.Time, caller string, c Class) time.Duration {
	if len(q.running) < q.slots && q.Len() == 0 {
		return 0
	}
	ahead := q.backlog[c]
	items, own, callers := 0, 0, 0
	for k := range q.rings {
		items += q.rings[k][0][c].items + q.rings[k][1][c].items
	}
	for l := range q.rings[Fresh] {
		r := &q.rings[Fresh][l][c]
		callers += r.callers
		own += r.waiting(caller)
	}
	if callers > 0 {
		// Round robin lets the item overtake callers with longer queues.
		mean := ahead / time.Duration(max(1, items))
		ahead = min(ahead, mean*time.Duration((own+1)*callers))
	}
	if c == Short {
		ahead += min(ahead, q.delayed) // deferred items take every second turn
	}
	slots := q.slots
	if c == Long {
		slots = q.longSlots(now)
	}
	return ahead / time.Duration(slots)
}

// wait returns the expected time in the queue of a new item.
func (q *Queue) wait(now time.Time, it *Item) time.Duration {
	if it.deferred && it.class == Short {
		return (q.delayed + min(q.delayed, q.backlog[Short])) / time.Duration(q.slots)
	}
	return q.Wait(now, it.caller, it.class)
}

// Next returns the items that start now and the items that are shed because they cannot end in time. Free is the
// number of connections for items that hold none; no more of those start. The slices are valid until the next call.
func (q *Queue) Next(now time.Time, free int) (start, shed []*Item) {
	q.started, q.shed = q.started[:0], q.shed[:0]
	for len(q.expiry) > 0 && !now.Before(q.expiry[0].latest) {
		it := q.expiry[0]
		q.unlink(it)
		it.state = stateEnded
		q.counters[it.class].Shed++
		q.shed = append(q.shed, it)
	}
	for {
		it := q.pick(now, free)
		if it == nil && q.park(now) {
			continue
		}
		if it == nil {
			break
		}
		if q.becomesLong(it) {
			continue
		}
		if it.kind == Fresh {
			free--
		}
		q.unlink(it)
		q.start(it, now)
	}
	return q.started, q.shed
}

// pick returns the item to start, or nil. Locking items come first, since others wait for their locks. Otherwise short
// work goes before long work, and held items before fresh ones of a class.
func (q *Queue) pick(now time.Time, free int) *Item {
	if len(q.running)-q.parked >= q.slots {
		return nil
	}
	// Slots of parked items are lent to locking items only, because the parked ones go on when they get the lock.
	lent := len(q.running) >= q.slots
	if it := q.head(Locking, Short); it != nil {
		return it
	}
	if it := q.head(Locking, Long); it != nil && q.longFree(now) {
		return it
	}
	if lent {
		return nil
	}
	long := q.next(Long, free)
	if long != nil && !q.longFree(now) {
		long = nil
	}
	patient := long != nil && q.active[Long] == 0 && now.Sub(long.submitted) > longPatience
	if patient && (q.slots > 1 || long.kind != Fresh) {
		return long
	}
	if short := q.next(Short, free); short != nil {
		return short
	}
	return long
}

// longFree reports whether long work may take one more slot.
func (q *Queue) longFree(now time.Time) bool { return q.active[Long] < q.longSlots(now) }

// longSlots returns how many slots long work may hold: those that the present load of short work does not need.
func (q *Queue) longSlots(now time.Time) int {
	return max(1, q.slots-reserve(q.slots, q.short.slots(now)))
}

// next returns the first held or fresh item of a class.
func (q *Queue) next(c Class, free int) *Item {
	if it := q.head(Held, c); it != nil {
		return it
	}
	if free <= 0 {
		return nil
	}
	it := q.head(Fresh, c)
	if c == Long {
		return it
	}
	if d := q.first(q.deferred[0].head(), q.deferred[1].head()); it == nil || (d != nil && q.turn) {
		return d
	}
	return it
}

// head returns the first item of a kind and class; of those that may wait for locks and the others, the older one.
func (q *Queue) head(k Kind, c Class) *Item {
	rings := &q.rings[k]
	plain, locks := rings[0][c].head(), rings[1][c].head()
	if k != Locking {
		return q.first(plain, locks)
	}
	return older(plain, locks)
}

// first returns the older of an item that waits for no locks and one that may, if the transactions that hold the locks leave
// a slot to it.
func (q *Queue) first(plain, locks *Item) *Item {
	if q.lockers > 0 && q.lockable >= max(1, q.slots-1) {
		locks = nil
	}
	return older(plain, locks)
}

func older(plain, locks *Item) *Item {
	if plain == nil || (locks != nil && locks.submitted.Before(plain.submitted)) {
		return locks
	}
	return plain
}

// park takes the slot from the item that has run longest among those that may wait for a lock, if a locking item has
// waited too long. The locking item may be what the other waits for.
func (q *Queue) park(now time.Time) bool {
	if q.queued[Locking] == 0 {
		return false
	}
	patience := q.lockPatience()
	waits := false
	for _, c := range []Class{Short, Long} {
		it := q.head(Locking, c)
		waits = waits || (it != nil && now.Sub(it.submitted) >= patience)
	}
	if !waits {
		return false
	}
	var oldest *Item
	for _, it := range q.running {
		if it.mayLock && !it.parked && now.Sub(it.started) >= patience &&
			(oldest == nil || it.started.Before(oldest.started)) {
			oldest = it
		}
	}
	if oldest == nil {
		return false
	}
	oldest.parked = true
	q.parked++
	q.active[oldest.class]--
	q.lockable--
	return true
}

func (q *Queue) lockPatience() time.Duration {
	return min(maxLockPatience, max(minLockPatience, lockFactor*q.times.typical()))
}

func (q *Queue) start(it *Item, now time.Time) {
	it.state, it.started, it.run = stateRunning, now, len(q.running)
	q.moved = now
	if it.kind == Fresh && it.class == Short {
		q.turn = !it.deferred
	}
	q.running = append(q.running, it)
	q.active[it.class]++
	if it.mayLock {
		q.lockable++
	}
	q.counters[it.class].Started++
	q.counters[it.class].Waited += now.Sub(it.submitted)
	q.started = append(q.started, it)
}

// unlink takes a waiting item out of the queue.
func (q *Queue) unlink(it *Item) {
	q.ring(it).remove(it, &q.lanes)
	q.queued[it.kind]--
	*q.work(it) -= it.cost
	if it.heapIndex >= 0 {
		heap.Remove(&q.expiry, it.heapIndex)
	}
}

// Done frees the slot of an item that was carried out, and learns its service time.
func (q *Queue) Done(it *Item, now time.Time) { q.finish(it, now, true) }

// Abort frees the slot of an item that was broken off. Its time is learned only if that raises the estimate, since the
// full service time is longer.
func (q *Queue) Abort(it *Item, now time.Time) { q.finish(it, now, false) }

func (q *Queue) finish(it *Item, now time.Time, complete bool) {
	if it.state != stateRunning {
		return
	}
	it.state = stateEnded
	q.moved = now
	last := len(q.running) - 1
	q.running[it.run] = q.running[last]
	q.running[it.run].run = it.run
	q.running[last] = nil
	q.running = q.running[:last]
	q.counters[it.class].Done++
	if it.parked {
		q.parked--
		return // the time spent waiting for the lock is not service time
	}
	q.active[it.class]--
	if it.mayLock {
		q.lockable--
	}
	took := max(0, now.Sub(it.started))
	if it.class == Short {
		q.short.add(now, took)
	}
	if old, _ := q.times.estimate(it.fingerprint); complete || took > old {
		q.times.learn(it.fingerprint, took)
	}
}

// Remove takes a waiting item out of the queue, and reports whether it was waiting.
func (q *Queue) Remove(it *Item) bool {
	if it.state != stateQueued {
		return false
	}
	q.unlink(it)
	it.state = stateEnded
	q.counters[it.class].Removed++
	return true
}

// Tick counts running short work that has taken longer than the threshold as long from now on, and reports whether
// there was any. Further work of a fingerprint that has not ended yet counts as long as well: otherwise a burst of an
// unseen straggler would take every slot before the first one has ended.
func (q *Queue) Tick(now time.Time) bool {
	changed := false
	for _, it := range q.running {
		if !it.parked && it.class == Short && now.Sub(it.started) > q.times.threshold() {
			q.active[Short]--
			q.active[Long]++
			it.class = Long
			q.times.noteUnseen(it.fingerprint, now.Sub(it.started))
			changed = true
		}
	}
	return changed
}

func (q *Queue) ring(it *Item) *ring {
	l := 0
	if it.mayLock {
		l = 1
	}
	if q.apart(it) {
		return &q.deferred[l]
	}
	return &q.rings[it.kind][l][it.class]
}

// work returns the sum of service times that a waiting item counts towards.
func (q *Queue) work(it *Item) *time.Duration {
	if q.apart(it) {
		return &q.delayed
	}
	return &q.backlog[it.class]
}

// apart reports whether an item waits among the deferred ones.
func (q *Queue) apart(it *Item) bool { return it.deferred && it.kind == Fresh && it.class == Short }

// ServiceTime is a learned service time.
type ServiceTime struct {
	fingerprint uint64
	estimate    time.Duration
}

// Fingerprint returns the fingerprint of the work.
func (s ServiceTime) Fingerprint() uint64 { return s.fingerprint }

// Estimate returns the expected service time.
func (s ServiceTime) Estimate() time.Duration { return s.estimate }

// Times returns the service times of the n fingerprints that were used last, the latest first.
func (q *Queue) Times(n int) []ServiceTime {
	var list []ServiceTime
	for e := q.times.newest; e != nil && len(list) < n; e = e.older {
		list = append(list, ServiceTime{e.fingerprint, time.Duration(e.mean)})
	}
	return list
}
