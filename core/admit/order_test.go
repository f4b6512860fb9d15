package admit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// plainQueue is the queue without workspaces as it was before they had shares: a sorted list.
type plainQueue[T comparable] struct{ waiting []waiter[T] }

func (q *plainQueue[T]) Len() int { return len(q.waiting) }

func (q *plainQueue[T]) Push(item T, r Rank, _ time.Time) {
	at, _ := slices.BinarySearchFunc(q.waiting, r, func(w waiter[T], r Rank) int {
		if compareRanks(w.rank, r) <= 0 {
			return -1
		}
		return 1
	})
	q.waiting = slices.Insert(q.waiting, at, waiter[T]{item, r})
}

func (q *plainQueue[T]) Remove(item T) bool {
	at := slices.IndexFunc(q.waiting, func(w waiter[T]) bool { return w.item == item })
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

func (q *plainQueue[T]) Pop(now time.Time, serviceTime time.Duration) (T, bool) {
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

func (q *plainQueue[T]) Ahead(r Rank, now time.Time, serviceTime time.Duration) int {
	n := 0
	for _, w := range q.waiting {
		if compareRanks(w.rank, r) > 0 {
			break
		}
		if !w.rank.isLate(now, serviceTime) {
			n++
		}
	}
	return n
}

// order returns the items in the order of Pop.
func (q *plainQueue[T]) order(now time.Time, serviceTime time.Duration) []T {
	var inTime, late []T
	for _, w := range q.waiting {
		if w.rank.isLate(now, serviceTime) {
			late = append(late, w.item)
		} else {
			inTime = append(inTime, w.item)
		}
	}
	return append(inTime, late...)
}

func (q *plainQueue[T]) RemoveHopeless(time.Time, time.Duration) []T { return nil }

func (q *plainQueue[T]) Place(r Rank, now time.Time, serviceTime time.Duration) Place {
	return Place{ahead: q.Ahead(r, now, serviceTime)}
}

func (q *plainQueue[T]) Ended(int, time.Duration) {}

func compareRanks(a, b Rank) int {
	if a.priority != b.priority {
		return a.priority - b.priority
	}
	return a.usefulUntil.Compare(b.usefulUntil)
}

// Guards against another order of statements without a workspace than before workspaces had shares. Replays seeded pushes, pops,
// removals and questions of both queues.
func TestOrderWithoutWorkspaces(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(0, 0)
		var q Queue[int]
		var plain plainQueue[int]
		for i := range 20_000 {
			now = now.Add(time.Duration(r.IntN(4)) * time.Millisecond)
			service := time.Duration(r.IntN(60)) * time.Millisecond
			rank := NewRank(r.IntN(4)-1, now.Add(time.Duration(r.IntN(40)*10)*time.Millisecond))
			switch r.IntN(9) {
			case 0, 1, 2, 3:
				q.Push(i, rank, now)
				plain.Push(i, rank, now)
			case 4, 5, 6:
				if i%200 == 0 {
					if order, _ := q.Order(nil, now, service); !slices.Equal(order, plain.order(now, service)) {
						t.Fatalf("seed %d, step %d: order %v, want %v", seed, i, order, plain.order(now, service))
					}
				}
				got, ok := q.Pop(now, service)
				if want, wantOK := plain.Pop(now, service); got != want || ok != wantOK {
					t.Fatalf("seed %d, step %d: %d (%v) runs, want %d (%v)", seed, i, got, ok, want, wantOK)
				}
			case 7:
				item := max(i-r.IntN(200), 0)
				if got, want := q.Remove(item), plain.Remove(item); got != want {
					t.Fatalf("seed %d, step %d: removed %v, want %v", seed, i, got, want)
				}
			case 8:
				q.Ended(rank.priority, service)
				if got, want := q.Ahead(rank, now, service), plain.Ahead(rank, now, service); got != want {
					t.Fatalf("seed %d, step %d: %d ahead, want %d", seed, i, got, want)
				}
				if removed := q.RemoveHopeless(now, service); len(removed) > 0 {
					t.Fatalf("seed %d, step %d: %v removed", seed, i, removed)
				}
			}
			if q.Len() != plain.Len() {
				t.Fatalf("seed %d, step %d: %d wait, want %d", seed, i, q.Len(), plain.Len())
			}
		}
	}
}
