package admit

import (
	"sort"
	"time"
)

// waiter is a waiting statement.
type waiter[T comparable] struct {
	item T
	rank Rank
}

// lane holds the waiting statements of one workspace in one priority, in the order of the times until which their answers are useful.
type lane[T comparable] struct {
	workspace string
	service   *serviceTime // of the statements of its priority
	weight    float64
	start     float64 // start tag of the next statement
	heap      *laneHeap[T]
	heapIndex int
	waiting   []waiter[T]
	first     int // place of the first statement in waiting
}

func (l *lane[T]) len() int { return len(l.waiting) - l.first }

// at returns the i-th statement.
func (l *lane[T]) at(i int) waiter[T] { return l.waiting[l.first+i] }

// notAfter returns how many statements have a time that is not after t.
func (l *lane[T]) notAfter(t time.Time) int {
	return sort.Search(l.len(), func(i int) bool { return l.waiting[l.first+i].rank.usefulUntil.After(t) })
}

// late returns how many statements, which are the first ones, are late, if statements take all. Those of a workspace count as taking what
// their priority usually takes.
func (l *lane[T]) late(now time.Time, all time.Duration) int {
	if l.workspace != "" {
		all = l.service.usualOr(all)
	}
	if l.len() == 0 || !l.waiting[l.first].rank.isLate(now, all) {
		return 0
	}
	end := now.Add(all)
	return sort.Search(l.len(), func(i int) bool { return !end.After(l.waiting[l.first+i].rank.usefulUntil) })
}

// index returns the place of an item, or a negative number.
func (l *lane[T]) index(item T) int {
	for i := range l.len() {
		if l.waiting[l.first+i].item == item {
			return i
		}
	}
	return -1
}

// push adds a statement behind those with the same time, and returns its place.
func (l *lane[T]) push(w waiter[T]) int {
	if len(l.waiting) == cap(l.waiting) && l.first > len(l.waiting)/2 {
		n := copy(l.waiting, l.waiting[l.first:])
		clear(l.waiting[n:])
		l.waiting, l.first = l.waiting[:n], 0
	}
	at := l.notAfter(w.rank.usefulUntil)
	if at == 0 && l.first > 0 {
		l.first--
		l.waiting[l.first] = w
		return at
	}
	l.waiting = append(l.waiting, w)
	copy(l.waiting[l.first+at+1:], l.waiting[l.first+at:])
	l.waiting[l.first+at] = w
	return at
}

// remove removes the statement at a place. It moves the smaller part of the others.
func (l *lane[T]) remove(at int) T {
	i := l.first + at
	item := l.waiting[i].item
	if at < l.len()/2 {
		copy(l.waiting[l.first+1:i+1], l.waiting[l.first:i])
		l.waiting[l.first] = waiter[T]{}
		l.first++
	} else {
		copy(l.waiting[i:], l.waiting[i+1:])
		l.waiting[len(l.waiting)-1] = waiter[T]{}
		l.waiting = l.waiting[:len(l.waiting)-1]
	}
	if l.len() == 0 {
		l.waiting, l.first = l.waiting[:0], 0
	}
	return item
}

// laneHeap is a heap of lanes with waiting statements. The lane to be served next is first.
type laneHeap[T comparable] struct {
	lanes []*lane[T]
	byTag bool // in the order of start tags instead of the times until which the first statements are useful
}

func (h *laneHeap[T]) Len() int           { return len(h.lanes) }
func (h *laneHeap[T]) Less(i, j int) bool { return h.before(h.lanes[i], h.lanes[j]) }

func (h *laneHeap[T]) Swap(i, j int) {
	h.lanes[i], h.lanes[j] = h.lanes[j], h.lanes[i]
	h.lanes[i].heapIndex, h.lanes[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *laneHeap[T]) Push(x any) {
	l := x.(*lane[T])
	l.heap, l.heapIndex = h, len(h.lanes)
	h.lanes = append(h.lanes, l)
}

// Pop implements heap.Interface.
func (h *laneHeap[T]) Pop() any {
	last := len(h.lanes) - 1
	l := h.lanes[last]
	h.lanes[last] = nil
	h.lanes = h.lanes[:last]
	l.heap = nil
	return l
}

func (h *laneHeap[T]) before(a, b *lane[T]) bool {
	if h.byTag && a.start != b.start {
		return a.start < b.start
	}
	return a.at(0).rank.usefulUntil.Before(b.at(0).rank.usefulUntil)
}
