// Package sched decides which unit of work runs next on one database server.
//
// A queue has one slot for each statement that the server executes at a time. It learns service times per fingerprint, and
// keeps long work out of the slots that the load of short work needs. It serves callers round robin, puts units of open
// transactions first, and sheds units whose deadline cannot be met. If a running unit waits for a lock of a transaction
// whose next unit waits for a slot, the queue lends the slot of the first unit to the transaction. A queue reads no clock:
// its methods get the time as an argument. It is not safe for concurrent use.
package sched

import (
	"container/heap"
	"time"

	"verbenagate/core/result"
)

// Class says whether an item counts as short or long work.
type Class uint8

// The classes of work.
const (
	Short Class = iota
	Long
	numClasses
)

// String returns the name of the class.
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

// Kind says which resources an item's stream holds while the item waits.
type Kind uint8

// The kinds of items, from those whose streams hold the least to those whose streams hold the most.
const (
	// NeedsConnection items have no connection yet and need one.
	NeedsConnection Kind = iota
	// HoldsConnection items belong to a stream that holds a connection, such as an open transaction.
	HoldsConnection
	// HoldsLocks items belong to a transaction that has written. It holds locks that other units may wait for.
	HoldsLocks
	numKinds
)

// Item is one unit of work in a queue. The queue owns it from Submit until it is shed, removed, done or aborted.
type Item struct {
	caller         string
	fingerprint    uint64
	deadline       time.Time
	startBy        time.Time // the latest time to start
	kind           Kind
	mayWaitForLock bool // the unit may wait for locks of another transaction
	value          any

	state        state
	class        Class
	submitted    time.Time
	started      time.Time
	cost         time.Duration // expected service time
	heapIndex    int           // in Queue.expiry, -1 without a deadline
	runningIndex int           // in Queue.running
	parked       bool          // running without a slot, as it is assumed to wait for a lock
	deferred     bool
	lane         *lane
	prev         *Item
	next         *Item
}

// NewItem returns a unit of work of a caller. A zero deadline means none. MayWaitForLock says that the unit may wait for
// locks of another transaction. Value is returned by Item.Value; the queue does not use it.
func NewItem(caller string, fingerprint uint64, deadline time.Time, kind Kind, mayWaitForLock bool, value any) *Item {
	return &Item{caller: caller, fingerprint: fingerprint, deadline: deadline, kind: kind, mayWaitForLock: mayWaitForLock, value: value}
}

// Value returns the value given to NewItem.
func (i *Item) Value() any { return i.value }

// Kind returns which resources the item's stream holds.
func (i *Item) Kind() Kind { return i.kind }

// MarkDeferred marks an item as deferred: its unit has already waited elsewhere, such as for a new primary. Call it before
// Submit. Many deferred items arrive at once, which does not mean that the server is overloaded.
func (i *Item) MarkDeferred() { i.deferred = true }

// Class returns the item's present class. It changes from Short to Long if the item turns out to be long.
func (i *Item) Class() Class { return i.class }

// Queued reports whether the item waits in the queue.
func (i *Item) Queued() bool { return i.state == stateQueued }

// Running reports whether the item has started and not ended. It holds a slot unless it is parked.
func (i *Item) Running() bool { return i.state == stateRunning }

// Counters holds the counters of one class of work since the queue was created.
type Counters struct {
	Submitted uint64
	Started   uint64
	Done      uint64
	Shed      uint64
	Removed   uint64
	// Waited is the total time that started items spent in the queue.
	Waited time.Duration
}

// maxLongStarvation is how long queued long work waits while short work keeps every slot busy. After that, one long item
// starts ahead of short work. With a single slot this applies only to connection-holding items, since their transaction keeps a
// connection.
const maxLongStarvation = 2 * time.Second

const (
	// parkDelayFactor times the median service time of short work is the park delay. A running unit that may wait for a
	// lock is assumed to wait for one after it has run for the park delay, if a lock-holding item has waited in the queue for
	// as long. minParkDelay and maxParkDelay bound the park delay.
	parkDelayFactor = 2
	minParkDelay    = 5 * time.Millisecond
	maxParkDelay    = 100 * time.Millisecond
)

// Queue schedules the units of work of one server.
type Queue struct {
	slots               int
	limit               int
	maxWait             time.Duration
	times               *times
	rings               [numKinds][2][numClasses]ring // by kind, by whether an item may wait for locks, and by class
	running             []*Item
	parked              int // running items that are assumed to wait for a lock and use no slot
	active              [numClasses]int
	possibleLockWaiters int // running items that may wait for locks, except parked ones
	lockHolders         int // open transactions that have written
	expiry              expiry
	deferred            [2]ring // deferred short items that need a connection, by whether they may wait for locks
	deferredNext        bool    // the next short item that needs a connection is taken from deferred
	queued              [numKinds]int
	backlog             [numClasses]time.Duration // expected service time of the waiting items, except those in deferred
	deferredBacklog     time.Duration             // the same for the items in deferred
	lastProgress        time.Time                 // when an item last started or ended
	shortLoad           load                      // slots that short work keeps busy
	counters            [numClasses]Counters
	started             []*Item // reused by Next
	shed                []*Item // reused by Next
	spareLanes          *lane
}

// New returns the queue of a server with this many slots. While limit items wait, items that need a connection are refused.
func New(slots, limit int) *Queue {
	return &Queue{slots: max(1, slots), limit: max(1, limit), times: newTimes()}
}

// SetMaxWait sets the longest expected wait. Short items that need a connection are refused if they would wait longer. 0 means
// no limit.
func (q *Queue) SetMaxWait(d time.Duration) { q.maxWait = d }

// Slots returns how many items may run at a time.
func (q *Queue) Slots() int { return q.slots }

// SetSlots changes how many items may run at a time. Running items continue, even if there are more than the new number.
func (q *Queue) SetSlots(n int) { q.slots = max(1, n) }

// Len returns how many items are waiting.
func (q *Queue) Len() int {
	return q.queued[NeedsConnection] + q.queued[HoldsConnection] + q.queued[HoldsLocks]
}

// Waiting returns how many items of a class are waiting.
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

// Parked returns how many items run without a slot because they are assumed to wait for a lock.
func (q *Queue) Parked() int { return q.parked }

// SetLockHolders sets the number of open transactions that have written. While there are any, items that may wait for their
// locks leave one slot free.
func (q *Queue) SetLockHolders(n int) { q.lockHolders = n }

// Counters returns the counters of a class.
func (q *Queue) Counters(c Class) Counters { return q.counters[c] }

// Estimate returns the learned service time of a fingerprint.
func (q *Queue) Estimate(fingerprint uint64) (time.Duration, bool) {
	return q.times.estimate(fingerprint)
}

// Threshold returns the service time above which work is long.
func (q *Queue) Threshold() time.Duration { return q.times.threshold() }

// Submit puts an item into the queue and returns OK, or refuses it and returns the reason: QueueFull, DeadlineTooClose if
// the expected wait exceeds the time that the item has left, or Overloaded if it exceeds the longest wait of SetMaxWait.
func (q *Queue) Submit(it *Item, now time.Time) result.Code {
	if it.state != stateNew {
		return result.Internal
	}
	cost, known := q.times.estimate(it.fingerprint)
	if !known {
		cost = q.times.shortMedian()
	} else if cost > q.times.threshold() {
		it.class = Long
	}
	it.cost, it.submitted, it.startBy = cost, now, latestStart(it.deadline, cost, now)
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

// link adds an item to the waiting items.
func (q *Queue) link(it *Item) {
	q.ring(it).push(it, &q.spareLanes)
	q.queued[it.kind]++
	*q.backlogOf(it) += it.cost
	it.heapIndex = -1
	if !it.deadline.IsZero() {
		heap.Push(&q.expiry, it)
	}
}

// reclassifyIfLong reclassifies a waiting item as long if the estimate of its fingerprint has exceeded the threshold since
// it was submitted. It reports whether it did.
func (q *Queue) reclassifyIfLong(it *Item) bool {
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
	if it.kind == NeedsConnection && q.Len() >= q.limit {
		return result.QueueFull
	}
	var wait time.Duration
	if it.kind == NeedsConnection {
		wait = q.itemWait(now, it)
		if q.exceedsMaxWait(it, wait) {
			if !q.stalled(now) {
				return result.Overloaded
			}
			it.deferred = true
			wait = q.itemWait(now, it)
		}
	}
	if it.deadline.IsZero() {
		return result.OK
	}
	if left := it.startBy.Sub(now); left <= 0 || wait > left {
		return result.DeadlineTooClose
	}
	return result.OK
}

// latestStart returns when an item must start at the latest to end before its deadline. A write that started later would
// end as unknown instead of as not run. The item may wait for half of the time left even if the estimate leaves less,
// because an item that never starts cannot correct a wrong estimate.
func latestStart(deadline time.Time, cost time.Duration, now time.Time) time.Time {
	return deadline.Add(-min(cost, max(0, deadline.Sub(now)/2)))
}

// ExpectedWait returns how long a new item of a caller and class is expected to wait in the queue, if it is not deferred.
func (q *Queue) ExpectedWait(now time.Time, caller string, c Class) time.Duration {
	if len(q.running) < q.slots && q.Len() == 0 {
		return 0
	}
	ahead := q.backlog[c]
	items, own, callers := 0, 0, 0
	for k := range q.rings {
		items += q.rings[k][0][c].items + q.rings[k][1][c].items
	}
	for l := range q.rings[NeedsConnection] {
		r := &q.rings[NeedsConnection][l][c]
		callers += r.callers
		own += r.waiting(caller)
	}
	if callers > 0 {
		// With round robin, the item overtakes items of callers with longer queues.
		mean := ahead / time.Duration(max(1, items))
		ahead = min(ahead, mean*time.Duration((own+1)*callers))
	}
	if c == Short {
		ahead += min(ahead, q.deferredBacklog) // every second item is taken from the deferred ones
	}
	slots := q.slots
	if c == Long {
		slots = q.longSlots(now)
	}
	return ahead / time.Duration(slots)
}

// itemWait returns how long a new item is expected to wait in the queue.
func (q *Queue) itemWait(now time.Time, it *Item) time.Duration {
	if it.deferred && it.class == Short {
		return (q.deferredBacklog + min(q.deferredBacklog, q.backlog[Short])) / time.Duration(q.slots)
	}
	return q.ExpectedWait(now, it.caller, it.class)
}

// Next returns the items that start now and the items that are shed because they cannot end before their deadline. Free is
// the number of free connections; at most that many items that need a connection start. The slices are valid until the next
// call of Next.
func (q *Queue) Next(now time.Time, free int) (start, shed []*Item) {
	q.started, q.shed = q.started[:0], q.shed[:0]
	for len(q.expiry) > 0 && !now.Before(q.expiry[0].startBy) {
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
		if q.reclassifyIfLong(it) {
			continue
		}
		if it.kind == NeedsConnection {
			free--
		}
		q.unlink(it)
		q.start(it, now)
	}
	return q.started, q.shed
}

// pick returns the item to start next, or nil. Lock-holding items come first, since other items may wait for their locks. After
// them, short work comes before long work, and within a class items that hold a connection come before those that need one.
func (q *Queue) pick(now time.Time, free int) *Item {
	if len(q.running)-q.parked >= q.slots {
		return nil
	}
	// The slots of parked items are lent to lock-holding items only, because parked items continue when they get the lock.
	lent := len(q.running) >= q.slots
	if it := q.head(HoldsLocks, Short); it != nil {
		return it
	}
	if it := q.head(HoldsLocks, Long); it != nil && q.longFree(now) {
		return it
	}
	if lent {
		return nil
	}
	long := q.next(Long, free)
	if long != nil && !q.longFree(now) {
		long = nil
	}
	starved := long != nil && q.active[Long] == 0 && now.Sub(long.submitted) > maxLongStarvation
	if starved && (q.slots > 1 || long.kind != NeedsConnection) {
		return long
	}
	if short := q.next(Short, free); short != nil {
		return short
	}
	return long
}

// longFree reports whether long work may take one more slot.
func (q *Queue) longFree(now time.Time) bool { return q.active[Long] < q.longSlots(now) }

// longSlots returns how many slots long work may use: those that the present load of short work does not need, at least one.
func (q *Queue) longSlots(now time.Time) int {
	return max(1, q.slots-reservedSlots(q.slots, q.shortLoad.slots(now)))
}

// next returns the first item of a class that holds a connection, or else the first that needs one if a connection is free.
func (q *Queue) next(c Class, free int) *Item {
	if it := q.head(HoldsConnection, c); it != nil {
		return it
	}
	if free <= 0 {
		return nil
	}
	it := q.head(NeedsConnection, c)
	if c == Long {
		return it
	}
	if d := q.olderAllowed(q.deferred[0].head(), q.deferred[1].head()); it == nil || (d != nil && q.deferredNext) {
		return d
	}
	return it
}

// head returns the first item of a kind and class. It compares the head of the items that may wait for locks and the head
// of the others, and returns the older one.
func (q *Queue) head(k Kind, c Class) *Item {
	rings := &q.rings[k]
	neverWaits, mayWait := rings[0][c].head(), rings[1][c].head()
	if k != HoldsLocks {
		return q.olderAllowed(neverWaits, mayWait)
	}
	return older(neverWaits, mayWait)
}

// olderAllowed returns the older of an item that waits for no locks and one that may. While transactions hold locks, one slot
// is kept free for them, and the item that may wait for locks is ignored if it would take that slot.
func (q *Queue) olderAllowed(neverWaits, mayWait *Item) *Item {
	if q.lockHolders > 0 && q.possibleLockWaiters >= max(1, q.slots-1) {
		mayWait = nil
	}
	return older(neverWaits, mayWait)
}

func older(neverWaits, mayWait *Item) *Item {
	if neverWaits == nil || (mayWait != nil && mayWait.submitted.Before(neverWaits.submitted)) {
		return mayWait
	}
	return neverWaits
}

// park takes the slot from an item that may wait for a lock, if a lock-holding item has waited for the park delay: the running
// item may wait for a lock of the lock-holding item's transaction. Of the items that have run for the park delay, it parks the
// one that has run longest. It reports whether it has parked one.
func (q *Queue) park(now time.Time) bool {
	if q.queued[HoldsLocks] == 0 {
		return false
	}
	delay := q.parkDelay()
	starved := false
	for _, c := range []Class{Short, Long} {
		it := q.head(HoldsLocks, c)
		starved = starved || (it != nil && now.Sub(it.submitted) >= delay)
	}
	if !starved {
		return false
	}
	var oldest *Item
	for _, it := range q.running {
		if it.mayWaitForLock && !it.parked && now.Sub(it.started) >= delay &&
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
	q.possibleLockWaiters--
	return true
}

func (q *Queue) parkDelay() time.Duration {
	return min(maxParkDelay, max(minParkDelay, parkDelayFactor*q.times.shortMedian()))
}

func (q *Queue) start(it *Item, now time.Time) {
	it.state, it.started, it.runningIndex = stateRunning, now, len(q.running)
	q.lastProgress = now
	if it.kind == NeedsConnection && it.class == Short {
		q.deferredNext = !it.deferred
	}
	q.running = append(q.running, it)
	q.active[it.class]++
	if it.mayWaitForLock {
		q.possibleLockWaiters++
	}
	q.counters[it.class].Started++
	q.counters[it.class].Waited += now.Sub(it.submitted)
	q.started = append(q.started, it)
}

// unlink removes an item from the waiting items.
func (q *Queue) unlink(it *Item) {
	q.ring(it).remove(it, &q.spareLanes)
	q.queued[it.kind]--
	*q.backlogOf(it) -= it.cost
	if it.heapIndex >= 0 {
		heap.Remove(&q.expiry, it.heapIndex)
	}
}

// Done frees the slot of a completed item and learns its service time.
func (q *Queue) Done(it *Item, now time.Time) { q.finish(it, now, true) }

// Abort frees the slot of an item that was interrupted. Its running time is learned only if that raises the estimate, since
// the full service time would have been longer.
func (q *Queue) Abort(it *Item, now time.Time) { q.finish(it, now, false) }

func (q *Queue) finish(it *Item, now time.Time, complete bool) {
	if it.state != stateRunning {
		return
	}
	it.state = stateEnded
	q.lastProgress = now
	last := len(q.running) - 1
	q.running[it.runningIndex] = q.running[last]
	q.running[it.runningIndex].runningIndex = it.runningIndex
	q.running[last] = nil
	q.running = q.running[:last]
	q.counters[it.class].Done++
	if it.parked {
		q.parked--
		return // the time spent waiting for the lock is not service time
	}
	q.active[it.class]--
	if it.mayWaitForLock {
		q.possibleLockWaiters--
	}
	took := max(0, now.Sub(it.started))
	if it.class == Short {
		q.shortLoad.add(now, took)
	}
	if old, _ := q.times.estimate(it.fingerprint); complete || took > old {
		q.times.learn(it.fingerprint, took)
	}
}

// Remove takes an item out of the queue if it is waiting, and reports whether it was.
func (q *Queue) Remove(it *Item) bool {
	if it.state != stateQueued {
		return false
	}
	q.unlink(it)
	it.state = stateEnded
	q.counters[it.class].Removed++
	return true
}

// ReclassifyLong reclassifies running short items that have taken longer than the threshold as long, and reports whether there
// were any. If the fingerprint of such an item has no estimate yet, further items with it count as long too. Otherwise a burst
// of long items with an unknown fingerprint would take every slot before the first one has ended.
func (q *Queue) ReclassifyLong(now time.Time) bool {
	changed := false
	for _, it := range q.running {
		if !it.parked && it.class == Short && now.Sub(it.started) > q.times.threshold() {
			q.active[Short]--
			q.active[Long]++
			it.class = Long
			q.times.setInitialEstimate(it.fingerprint, now.Sub(it.started))
			changed = true
		}
	}
	return changed
}

func (q *Queue) ring(it *Item) *ring {
	l := 0
	if it.mayWaitForLock {
		l = 1
	}
	if q.waitsDeferred(it) {
		return &q.deferred[l]
	}
	return &q.rings[it.kind][l][it.class]
}

// backlogOf returns the backlog that includes a waiting item.
func (q *Queue) backlogOf(it *Item) *time.Duration {
	if q.waitsDeferred(it) {
		return &q.deferredBacklog
	}
	return &q.backlog[it.class]
}

// waitsDeferred reports whether an item waits in q.deferred.
func (q *Queue) waitsDeferred(it *Item) bool {
	return it.deferred && it.kind == NeedsConnection && it.class == Short
}

// ServiceTime is the learned service time of a fingerprint.
type ServiceTime struct {
	fingerprint uint64
	estimate    time.Duration
}

// Fingerprint returns the fingerprint of the work.
func (s ServiceTime) Fingerprint() uint64 { return s.fingerprint }

// Estimate returns the expected service time.
func (s ServiceTime) Estimate() time.Duration { return s.estimate }

// Times returns the service times of the n most recently used fingerprints, the most recent first.
func (q *Queue) Times(n int) []ServiceTime {
	var list []ServiceTime
	for e := q.times.newest; e != nil && len(list) < n; e = e.older {
		list = append(list, ServiceTime{e.fingerprint, time.Duration(e.mean)})
	}
	return list
}
