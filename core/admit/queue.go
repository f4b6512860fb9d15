package admit

import (
	"cmp"
	"container/heap"
	"iter"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// floorTurns is for how many times the service time of a priority more urgent statements may run while it waits, before one of
	// its statements has its turn. It thus keeps a ninth of the server's time, which is enough to go on and slows the urgent ones down little.
	floorTurns = 8
	// maxLent is how many turns a workspace gets back at once after it has waited for fewer statements than its share allows. They
	// occupy the slots of a usual server, so what it has lent is back within one service time. Without them, the second of two statements
	// that arrive together would wait for a whole round.
	maxLent = 8
	// paceWeight is the share of the newest sample in the averages of a pace. They follow a change within some twenty starts.
	paceWeight = 0.05
	// maxGapGrowth bounds how much longer than the average a time between two starts counts. A server that has stopped for seconds
	// is not slow for the next twenty statements.
	maxGapGrowth = 8
	// maxWait bounds the expected wait of a workspace that has had much more than its share.
	maxWait = time.Hour
	// minWeight bounds the cost of a turn of a workspace with little or no weight.
	minWeight = 1e-3
	// minSweep is the least number of workspaces of a priority at which those that matter no more are looked for.
	minSweep = 64
)

// Rank says how urgent a statement is that waits for a slot of a server, and for whom it runs.
type Rank struct {
	priority    int
	usefulUntil time.Time
	workspace   string
	weight      float64
}

// NewRank returns the rank of a statement. Lower numbers of priority go first; negative ones are for statements of open
// transactions. An answer after usefulUntil is of little use to the caller.
func NewRank(priority int, usefulUntil time.Time) Rank {
	return Rank{priority: priority, usefulUntil: usefulUntil, weight: 1}
}

// InWorkspace returns the rank of a statement of a workspace. Weight is the share of the workspace within a priority, relative to those of
// the other workspaces. Statements without a workspace have the empty name.
func (r Rank) InWorkspace(name string, weight float64) Rank {
	r.workspace, r.weight = name, max(weight, minWeight)
	return r
}

// Workspace returns the name of the workspace, "" if there is none.
func (r Rank) Workspace() string { return r.workspace }

// UsefulUntil returns until when the answer is useful.
func (r Rank) UsefulUntil() time.Time { return r.usefulUntil }

// isLate reports whether the answer would come too late if the statement, which takes serviceTime, started at now.
func (r Rank) isLate(now time.Time, serviceTime time.Duration) bool {
	return now.Add(serviceTime).After(r.usefulUntil)
}

// Queue holds the statements that wait for a slot of one server.
//
// The first priority goes first, with a floor for the others: when more urgent statements have run for floorTurns times the service time of
// a priority while it waited, and at most once in a service time, one of its statements runs. It does not overtake statements of open
// transactions.
//
// Within a priority, workspaces share by weight, by a form of start-time fair queueing. Each start tag says how far a workspace has had
// its share, and a statement that starts raises it by the inverse of the weight. Workspaces whose tags do not exceed the virtual time are
// within their shares. They go first, in the order of the times until which their answers are useful, and only then the one with the least
// tag, which raises the virtual time to it. A workspace that has been idle gets back up to maxLent turns, so what it lent is back with the
// next slots that become free. A burst of one workspace thus lengthens its own queue only.
//
// Within a workspace, the statement whose time runs out first goes first, and those that are late already go last. That order handles
// overloads by a mix of statements of which some may take longer than others: in the order of their arrival, those with a long
// time limit are still admitted when the wait is too long for all others, and then fill the queue alone.
//
// Statements without a workspace have the order of one workspace, no floor, and are not removed when they are late.
//
// The zero value is ready to use. A Queue is not safe for concurrent use.
type Queue[T comparable] struct {
	levels       []*level[T] // by priority
	length       int
	turns        []turn[T] // reused by Order
	earliestLate time.Time // no statement of a workspace is useful until an earlier time; zero if none is known
}

// level holds the waiting statements of one priority.
type level[T comparable] struct {
	priority  int
	lanes     map[string]*lane[T] // including empty ones that have got back a part of what they lent
	sweepAt   int                 // number of lanes at which sweep runs next
	within    laneHeap[T]         // lanes with waiting statements whose start tags do not exceed the virtual time
	beyond    laneHeap[T]         // the others with waiting statements
	waiting   int
	virtual   float64       // start tag up to which workspaces have had their shares
	overtaken time.Duration // expected service time of more urgent statements that started while it waited, since its last start
	lastStart time.Time     // of one of this level's statements
	service   serviceTime   // of this level's statements
	pace      pace
}

// Len returns the number of waiting statements.
func (q *Queue[T]) Len() int { return q.length }

// CountByWorkspace adds the number of waiting statements of each workspace to counts.
func (q *Queue[T]) CountByWorkspace(counts map[string]int) {
	for _, v := range q.levels {
		for l := range v.active() {
			counts[l.workspace] += l.len()
		}
	}
}

// Push adds a statement that waits from now on, behind those of the same rank.
func (q *Queue[T]) Push(item T, r Rank, now time.Time) {
	q.level(r.priority).push(waiter[T]{item, r}, now)
	q.length++
	if r.workspace != "" && (q.earliestLate.IsZero() || r.usefulUntil.Before(q.earliestLate)) {
		q.earliestLate = r.usefulUntil
	}
}

func (q *Queue[T]) level(priority int) *level[T] {
	at, ok := slices.BinarySearchFunc(q.levels, priority, func(v *level[T], p int) int { return cmp.Compare(v.priority, p) })
	if !ok {
		q.levels = slices.Insert(q.levels, at, newLevel[T](priority))
	}
	return q.levels[at]
}

func newLevel[T comparable](priority int) *level[T] {
	v := &level[T]{priority: priority, lanes: make(map[string]*lane[T])}
	v.beyond.byTag = true
	return v
}

// active iterates over the lanes with waiting statements.
func (v *level[T]) active() iter.Seq[*lane[T]] {
	return func(yield func(*lane[T]) bool) {
		for _, l := range v.within.lanes {
			if !yield(l) {
				return
			}
		}
		for _, l := range v.beyond.lanes {
			if !yield(l) {
				return
			}
		}
	}
}

// Remove removes a statement and reports whether it was waiting.
func (q *Queue[T]) Remove(item T) bool {
	for _, v := range q.levels {
		for l := range v.active() {
			if at := l.index(item); at >= 0 {
				v.take(l, at)
				q.length--
				return true
			}
		}
	}
	return false
}

// Pop removes and returns the statement that is to run next at now, if statements take serviceTime. It returns false if none waits.
func (q *Queue[T]) Pop(now time.Time, serviceTime time.Duration) (T, bool) {
	if q.length == 0 {
		var none T
		return none, false
	}
	n, l, at := q.next(now, serviceTime)
	return q.start(n, l, at, now, serviceTime), true
}

// start removes the statement at a place of a lane of the n-th level, which runs now.
func (q *Queue[T]) start(n int, l *lane[T], at int, now time.Time, serviceTime time.Duration) T {
	v := q.levels[n]
	for _, other := range q.levels[n+1:] {
		if other.waiting > 0 {
			other.overtaken += v.service.meanOr(serviceTime)
		}
	}
	v.overtaken, v.lastStart = 0, now
	q.length--
	return v.start(l, at, now)
}

// Start removes a statement that runs now although it may not be the one that Pop would return, for instance since that needs something
// else. It reports whether the statement was waiting.
func (q *Queue[T]) Start(item T, now time.Time, serviceTime time.Duration) bool {
	for n, v := range q.levels {
		for l := range v.active() {
			if at := l.index(item); at >= 0 {
				if len(v.within.lanes) == 0 {
					v.advance(v.beyond.lanes[0].start)
				}
				q.start(n, l, at, now, serviceTime)
				return true
			}
		}
	}
	return false
}

// Order appends the waiting statements to list in the order in which Pop would return them at now if no others came, and returns it with
// the number of those that can still be answered in time, which come first.
func (q *Queue[T]) Order(list []T, now time.Time, serviceTime time.Duration) ([]T, int) {
	return q.order(list, now, serviceTime, q.length)
}

// Heads does the same with the first statement of each workspace in each priority: the first one that can be answered in time, or else
// the first late one.
func (q *Queue[T]) Heads(list []T, now time.Time, serviceTime time.Duration) ([]T, int) {
	return q.order(list, now, serviceTime, 1)
}

// order appends up to most statements of each lane to list.
func (q *Queue[T]) order(list []T, now time.Time, serviceTime time.Duration, most int) ([]T, int) {
	if q.length == 0 {
		return list, 0
	}
	q.turns = q.turns[:0]
	for n, v := range q.levels {
		for l := range v.active() {
			late := l.late(now, serviceTime)
			first := 0
			if most < l.len() && late < l.len() {
				first = late
			}
			for i := first; i < min(first+most, l.len()); i++ {
				w := l.at(i)
				t := turn[T]{item: w.item, until: w.rank.usefulUntil.UnixNano(), level: int32(n), late: i < late}
				if !t.late {
					t.tag = max(l.start+float64(i-late)/l.weight, v.virtual)
				}
				q.turns = append(q.turns, t)
			}
		}
	}
	slices.SortStableFunc(q.turns, turn[T].compare)
	if first, _, _ := q.next(now, serviceTime); int32(first) != q.turns[0].level {
		// The floor lets one statement of a less urgent level go first.
		i := slices.IndexFunc(q.turns, func(t turn[T]) bool { return t.level == int32(first) })
		t := q.turns[i]
		copy(q.turns[1:], q.turns[:i])
		q.turns[0] = t
	}
	inTime := 0
	for _, t := range q.turns {
		list = append(list, t.item)
		if !t.late {
			inTime++
		}
	}
	clear(q.turns)
	return list, inTime
}

// turn is a statement with what decides when it runs.
type turn[T comparable] struct {
	item  T
	tag   float64 // virtual time at which it runs
	until int64   // when the answer becomes useless, in Unix nanoseconds
	level int32
	late  bool
}

func (t turn[T]) compare(other turn[T]) int {
	if t.late != other.late {
		if t.late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(t.level, other.level), cmp.Compare(t.tag, other.tag), cmp.Compare(t.until, other.until))
}

// Ended records that a statement of this priority has taken so long.
func (q *Queue[T]) Ended(priority int, took time.Duration) {
	q.level(priority).service.add(took)
}

// next returns the level, the lane and the place there of the statement to run next. There must be one.
func (q *Queue[T]) next(now time.Time, serviceTime time.Duration) (n int, l *lane[T], at int) {
	first, firstLane, firstAt := -1, (*lane[T])(nil), 0
	for n, v := range q.levels {
		if v.waiting == 0 || (first >= 0 && !v.floorIsDue(now, serviceTime)) {
			continue
		}
		l, at := v.next(now, serviceTime)
		switch {
		case l == nil || (first >= 0 && l.workspace == ""):
		case first >= 0 || v.priority < 0:
			return n, l, at
		default:
			first, firstLane, firstAt = n, l, at
		}
	}
	if first >= 0 {
		return first, firstLane, firstAt
	}
	for n, v := range q.levels { // All are late.
		if v.waiting > 0 {
			return n, v.soonest(), 0
		}
	}
	return 0, nil, 0
}

// RemoveHopeless removes and returns the statements of workspaces that cannot be answered in time any more, if others can: these
// would go first for as long as the overload lasts. It returns nothing if all waiting statements are late, since they run next then,
// and no statements of open transactions.
func (q *Queue[T]) RemoveHopeless(now time.Time, serviceTime time.Duration) []T {
	longest := serviceTime
	for _, v := range q.levels {
		longest = max(longest, v.service.usualOr(0))
	}
	if q.earliestLate.IsZero() || !now.Add(longest).After(q.earliestLate) {
		return nil
	}
	late, earliest := 0, time.Time{}
	for _, v := range q.levels {
		for l := range v.active() {
			n := l.late(now, serviceTime)
			late += n
			if n < l.len() && l.workspace != "" && (earliest.IsZero() || l.at(n).rank.usefulUntil.Before(earliest)) {
				earliest = l.at(n).rank.usefulUntil
			}
		}
	}
	if late == q.length {
		return nil
	}
	var removed []T
	for _, v := range q.levels {
		for _, l := range slices.Collect(v.active()) {
			if l.workspace == "" || v.priority < 0 {
				continue
			}
			for range l.late(now, serviceTime) {
				removed = append(removed, v.take(l, 0))
			}
		}
	}
	q.length -= len(removed)
	q.earliestLate = earliest
	return removed
}

// Place is where a new statement would come in a queue.
type Place struct {
	ahead   int
	own     int
	wait    time.Duration
	service time.Duration // that its priority usually takes at most
	named   bool          // it belongs to a workspace
}

// Plus returns the place of a statement that waits in two queues.
func (p Place) Plus(other Place) Place {
	p.ahead, p.own, p.wait = p.ahead+other.ahead, p.own+other.own, p.wait+other.wait
	p.service = max(p.service, other.service)
	return p
}

// Ahead returns how many of the waiting statements would run before it: the more urgent ones, those of its workspace whose time runs out
// sooner, and the turns of other workspaces until its own one. Statements that are late don't count.
func (p Place) Ahead() int { return p.ahead }

// Own returns how many of those ahead in its priority belong to its workspace.
func (p Place) Own() int { return p.own }

// Wait returns how long it is expected to wait at least, by how fast statements of its priority have been starting and workspaces
// have been getting their shares. It is 0 if none of its priority waits, and for statements without a workspace.
func (p Place) Wait() time.Duration { return p.wait }

// Place returns where a new statement of this rank would come at now, if statements take serviceTime.
func (q *Queue[T]) Place(r Rank, now time.Time, serviceTime time.Duration) Place {
	p := Place{named: r.workspace != "", service: serviceTime}
	for _, v := range q.levels {
		switch {
		case v.priority > r.priority:
			return p
		case v.priority < r.priority:
			p.ahead += v.inTime(now, serviceTime)
			continue
		}
		own, tag := v.place(r, now, serviceTime)
		ahead := own + v.turnsBefore(r, tag, now, serviceTime)
		p.ahead, p.own, p.service = p.ahead+ahead, own, v.service.usualOr(serviceTime)
		if r.workspace != "" && v.waiting > 0 {
			p.wait = max(time.Duration(ahead+1)*v.pace.gap, v.pace.timeTo(tag-v.virtual))
		}
	}
	return p
}

// Ahead returns how many of the waiting statements would run before a new one of this rank. See Place.Ahead.
func (q *Queue[T]) Ahead(r Rank, now time.Time, serviceTime time.Duration) int {
	return q.Place(r, now, serviceTime).ahead
}

// floorIsDue reports whether a statement of the level runs next although more urgent ones wait.
func (v *level[T]) floorIsDue(now time.Time, serviceTime time.Duration) bool {
	mean := v.service.meanOr(serviceTime)
	return v.overtaken >= floorTurns*mean && now.Sub(v.lastStart) >= mean
}

// push adds a statement.
func (v *level[T]) push(w waiter[T], now time.Time) {
	l := v.lanes[w.rank.workspace]
	if l == nil {
		v.sweep()
		l = &lane[T]{workspace: w.rank.workspace, service: &v.service, start: math.Inf(-1)}
		v.lanes[l.workspace] = l
	}
	l.weight = w.rank.weight
	if v.waiting == 0 {
		v.pace.begin(now, v.virtual)
	}
	v.waiting++
	if l.len() == 0 {
		l.start = max(l.start, v.virtual-maxLent/l.weight)
		l.push(w)
		v.activate(l)
		return
	}
	if l.push(w) == 0 {
		heap.Fix(l.heap, l.heapIndex)
	}
}

// activate adds a lane with waiting statements to the heap where it belongs.
func (v *level[T]) activate(l *lane[T]) {
	if l.start <= v.virtual {
		heap.Push(&v.within, l)
	} else {
		heap.Push(&v.beyond, l)
	}
}

// next returns the lane of the statement to run next among those that can be answered in time, and the statement's place there. It
// returns nil if there is none.
func (v *level[T]) next(now time.Time, serviceTime time.Duration) (*lane[T], int) {
	for {
		if l, at := nextOf(&v.within, now, serviceTime); l != nil {
			return l, at
		}
		l, at := nextOf(&v.beyond, now, serviceTime)
		if l == nil || l.start <= v.virtual {
			return l, at
		}
		v.advance(l.start)
	}
}

// advance raises the virtual time.
func (v *level[T]) advance(to float64) {
	v.virtual = to
	for len(v.beyond.lanes) > 0 && v.beyond.lanes[0].start <= to {
		heap.Push(&v.within, heap.Pop(&v.beyond))
	}
}

// nextOf returns the first lane of a heap with a statement that can be answered in time, and the statement's place there.
func nextOf[T comparable](h *laneHeap[T], now time.Time, serviceTime time.Duration) (best *lane[T], at int) {
	if len(h.lanes) == 0 {
		return nil, 0
	}
	if l := h.lanes[0]; l.late(now, serviceTime) == 0 {
		return l, 0
	}
	for _, l := range h.lanes {
		n := l.late(now, serviceTime)
		if n == l.len() || (best != nil && (h.byTag && l.start >= best.start ||
			!h.byTag && !l.at(n).rank.usefulUntil.Before(best.at(at).rank.usefulUntil))) {
			continue
		}
		best, at = l, n
	}
	return best, at
}

// soonest returns the lane with the statement whose time runs out first.
func (v *level[T]) soonest() *lane[T] {
	var best *lane[T]
	for l := range v.active() {
		if best == nil || l.at(0).rank.usefulUntil.Before(best.at(0).rank.usefulUntil) {
			best = l
		}
	}
	return best
}

// start removes a statement that runs now, and charges its workspace.
//
// A workspace that is beyond its share and goes out of turn, since those within theirs cannot go, is not charged: it takes what nobody else
// can use. Otherwise its debt would grow for as long as the others lack something.
func (v *level[T]) start(l *lane[T], at int, now time.Time) T {
	inTurn := l.start <= v.virtual
	v.pace.start(now, v.virtual, inTurn && len(v.beyond.lanes) > 0)
	heap.Remove(l.heap, l.heapIndex)
	if inTurn {
		l.start += 1 / l.weight
	}
	item := l.remove(at)
	v.waiting--
	if l.len() > 0 {
		v.activate(l)
	} else {
		v.forget(l)
	}
	return item
}

// take removes a statement that does not run.
func (v *level[T]) take(l *lane[T], at int) T {
	heap.Remove(l.heap, l.heapIndex)
	item := l.remove(at)
	v.waiting--
	if l.len() > 0 {
		v.activate(l)
	} else {
		v.forget(l)
	}
	return item
}

// forget drops an empty lane that has got back all that it may get back.
func (v *level[T]) forget(l *lane[T]) {
	if v.waiting == 0 {
		v.overtaken = 0
	}
	if v.isSettled(l) {
		delete(v.lanes, l.workspace)
	}
}

// isSettled reports whether an empty lane has got back all that it may get back, so that a new one would be the same.
func (v *level[T]) isSettled(l *lane[T]) bool { return l.start <= v.virtual-maxLent/l.weight }

// sweep drops the empty lanes that have become settled since they were emptied. It runs each time the number of lanes has doubled.
func (v *level[T]) sweep() {
	if len(v.lanes) < max(v.sweepAt, minSweep) {
		return
	}
	maps.DeleteFunc(v.lanes, func(_ string, l *lane[T]) bool { return l.len() == 0 && v.isSettled(l) })
	v.sweepAt = 2 * len(v.lanes)
}

// inTime returns how many statements can be answered in time.
func (v *level[T]) inTime(now time.Time, serviceTime time.Duration) int {
	n := v.waiting
	for l := range v.active() {
		n -= l.late(now, serviceTime)
	}
	return n
}

// place returns how many statements of its workspace would run before a new one of this rank, and its start tag.
func (v *level[T]) place(r Rank, now time.Time, serviceTime time.Duration) (own int, tag float64) {
	start := v.virtual - maxLent/r.weight
	if l := v.lanes[r.workspace]; l != nil {
		own, start = max(l.notAfter(r.usefulUntil)-l.late(now, serviceTime), 0), max(l.start, start)
	}
	return own, start + float64(own)/r.weight
}

// turnsBefore returns how many statements of other workspaces would run before a new one of this rank with this start tag.
func (v *level[T]) turnsBefore(r Rank, tag float64, now time.Time, serviceTime time.Duration) int {
	n := 0
	last := max(tag, v.virtual)
	for l := range v.active() {
		if l.workspace == r.workspace || l.start > last {
			continue
		}
		others := l.len()
		if tag <= v.virtual {
			others = l.notAfter(r.usefulUntil)
		}
		n += min(int((last-l.start)*l.weight)+1, max(others-l.late(now, serviceTime), 0))
	}
	return n
}

// pace averages how fast a priority is served while statements of it wait.
type pace struct {
	since   time.Time     // of the last start, or of the first arrival after it if none waited
	virtual float64       // virtual time then
	gap     time.Duration // between two starts
	// between and advance are the time between two starts and the advance of the virtual time meanwhile, while a workspace had more than
	// its share. At other times the virtual time need not advance.
	between time.Duration
	advance float64
}

// begin records that the first statement waits. Callers may read their clocks before they lock the queue, so now may be earlier than since.
func (p *pace) begin(now time.Time, virtual float64) { p.since, p.virtual = now, virtual }

// start records that a statement starts. Beyond says that a workspace with more than its share has statements that wait for their turn.
func (p *pace) start(now time.Time, virtual float64, beyond bool) {
	took, advance := max(now.Sub(p.since), 0), virtual-p.virtual // an average below 0 would bound the next samples from above, and diverge
	if p.gap == 0 {
		p.gap = took
	}
	took = min(took, maxGapGrowth*p.gap)
	p.gap += time.Duration(paceWeight * float64(took-p.gap))
	if beyond || advance > 0 {
		if p.between == 0 {
			p.between, p.advance = took, advance
		}
		p.between += time.Duration(paceWeight * float64(took-p.between))
		p.advance += paceWeight * (advance - p.advance)
	}
	p.begin(now, virtual)
}

// timeTo returns how long the virtual time takes to advance so far.
func (p *pace) timeTo(advance float64) time.Duration {
	if advance <= 0 || p.advance <= 0 {
		return 0
	}
	return time.Duration(min(advance/p.advance*float64(p.between), float64(maxWait)))
}
