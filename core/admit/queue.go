package admit

import (
	"cmp"
	"slices"
	"time"
)

// Rank says how urgent a statement is that waits for a slot of a server.
type Rank struct {
	priority    int
	usefulUntil time.Time
}

// NewRank returns the rank of a statement. Lower numbers of priority go first. An answer after usefulUntil is of little use to the
// caller.
func NewRank(priority int, usefulUntil time.Time) Rank {
	return Rank{priority: priority, usefulUntil: usefulUntil}
}

// isLate reports whether the answer would come too late if the statement, which takes serviceTime, started at now.
func (r Rank) isLate(now time.Time, serviceTime time.Duration) bool {
	return now.Add(serviceTime).After(r.usefulUntil)
}

func (r Rank) compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.priority, other.priority), r.usefulUntil.Compare(other.usefulUntil))
}

// Queue holds the statements that wait for a slot of one server. Of those that can still be answered in time, it returns the one
// with the first priority whose time runs out first, and only then those that are late already.
//
// It handles overloads by a mix of statements of which some may take longer than others. In the order of their arrival, those with
// a long time limit are still admitted when the wait is too long for all others, and then fill the queue alone. The zero value
// is ready to use. A Queue is not safe for concurrent use.
type Queue[T comparable] struct{ waiting []waiter[T] }

type waiter[T comparable] struct {
	item T
	rank Rank
}

// Len returns the number of waiting statements.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Push adds a statement, behind those of the same rank.
func (q *Queue[T]) Push(item T, r Rank) {
	at, _ := slices.BinarySearchFunc(q.waiting, r, func(w waiter[T], r Rank) int {
		if w.rank.compare(r) <= 0 {
			return -1
		}
		return 1
	})
	q.waiting = slices.Insert(q.waiting, at, waiter[T]{item, r})
}

// Remove removes a statement and reports whether it was waiting.
func (q *Queue[T]) Remove(item T) bool {
	at := slices.IndexFunc(q.waiting, func(w waiter[T]) bool { return w.item == item })
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Pop removes and returns the statement that is to run next at now, if statements take serviceTime. It returns false if none waits.
func (q *Queue[T]) Pop(now time.Time, serviceTime time.Duration) (T, bool) {
	if len(q.waiting) == 0 {
		var none T
		return none, false
	}
	at := slices.IndexFunc(q.waiting, func(w waiter[T]) bool { return !w.rank.isLate(now, serviceTime) })
	at = max(at, 0)
	item := q.waiting[at].item
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return item, true
}

// Order appends the waiting statements to list in the order in which Pop would return them at now, and returns it with the number of
// those that can still be answered in time, which come first.
func (q *Queue[T]) Order(list []T, now time.Time, serviceTime time.Duration) ([]T, int) {
	start := len(list)
	for _, w := range q.waiting {
		if !w.rank.isLate(now, serviceTime) {
			list = append(list, w.item)
		}
	}
	inTime := len(list) - start
	for _, w := range q.waiting {
		if w.rank.isLate(now, serviceTime) {
			list = append(list, w.item)
		}
	}
	return list, inTime
}

// Ahead returns how many of the waiting statements would run before a new one of this rank.
func (q *Queue[T]) Ahead(r Rank, now time.Time, serviceTime time.Duration) int {
	n := 0
	for _, w := range q.waiting {
		if w.rank.compare(r) > 0 {
			break
		}
		if !w.rank.isLate(now, serviceTime) {
			n++
		}
	}
	return n
}
