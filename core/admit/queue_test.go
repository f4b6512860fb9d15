package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func ExampleQueue() {
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var q Queue[string]
	q.Push("report", NewRank(2, at(800)))
	q.Push("lookup", NewRank(2, at(400)))
	q.Push("payment", NewRank(1, at(900)))
	q.Push("late", NewRank(2, at(20)))
	fmt.Println(q.Ahead(NewRank(2, at(500)), at(0), 30*time.Millisecond), "ahead")
	for q.Len() > 0 {
		next, _ := q.Pop(at(0), 30*time.Millisecond)
		fmt.Println(next)
	}
	// Output:
	// 2 ahead
	// payment
	// lookup
	// report
	// late
}

// kind is a kind of statements in an overload.
type kind struct {
	priority int
	service  time.Duration
	target   time.Duration // within which the answer is useful
	share    float64       // of the arrivals
}

// arrival is a statement of an overload.
type arrival struct {
	kind    int
	at      time.Time
	service time.Duration
}

// overload returns n seconds of arrivals at a server with the given slots, at load times what it can serve.
func overload(seed uint64, kinds []kind, slots int, load float64, length time.Duration) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	mean := 0.0
	for _, k := range kinds {
		mean += k.share * k.service.Seconds()
	}
	rate := load * float64(slots) / mean
	var all []arrival
	for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() / rate * float64(time.Second)) {
		pick, i := r.Float64(), 0
		for i < len(kinds)-1 && pick >= kinds[i].share {
			pick -= kinds[i].share
			i++
		}
		service := time.Duration(float64(kinds[i].service) * (0.5 + r.Float64()))
		all = append(all, arrival{kind: i, at: time.Unix(0, 0).Add(at), service: service})
	}
	return all
}

// ends is a heap of the times at which running statements end.
type ends []time.Time

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].Before(e[j]) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(time.Time)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// serve returns how many statements of each kind were answered in time. The function rank gives the rank of a statement.
func serve(kinds []kind, slots int, arrivals []arrival, rank func(a arrival) Rank) []int {
	var q Queue[int]
	var g Gate
	var running ends
	inTime := make([]int, len(kinds))
	start := func(i int, now time.Time) {
		a := arrivals[i]
		end := now.Add(a.service)
		heap.Push(&running, end)
		g.RecordServiceTime(a.service)
		if end.Sub(a.at) <= kinds[a.kind].target {
			inTime[a.kind]++
		}
	}
	advance := func(now time.Time) {
		for len(running) > 0 && !running[0].After(now) {
			end := heap.Pop(&running).(time.Time)
			if next, ok := q.Pop(end, g.ServiceTime()); ok {
				start(next, end)
			}
		}
	}
	for i, a := range arrivals {
		advance(a.at)
		if len(running) < slots {
			start(i, a.at)
			continue
		}
		r := rank(a)
		if g.AdmitsToSlot(q.Ahead(r, a.at, g.ServiceTime()), slots, kinds[a.kind].target) {
			q.Push(i, r)
		}
	}
	return inTime
}

// Guards against statements that may take long and fill the queue of an overloaded server, so that all others are refused. Replays
// twice the load that a server can serve, of statements with targets from 200 to 800 ms, as when a group's replicas lag and
// its primary serves all reads.
func TestUrgentStatementsGoFirst(t *testing.T) {
	kinds := []kind{
		{priority: 1, service: 9 * time.Millisecond, target: 200 * time.Millisecond, share: 0.15},
		{priority: 2, service: 28 * time.Millisecond, target: 400 * time.Millisecond, share: 0.7},
		{priority: 2, service: 47 * time.Millisecond, target: 800 * time.Millisecond, share: 0.15},
	}
	const slots = 5
	for seed := range uint64(5) {
		arrivals := overload(seed, kinds, slots, 2, 5*time.Second)
		offered := make([]int, len(kinds))
		for _, a := range arrivals {
			offered[a.kind]++
		}
		ranked := serve(kinds, slots, arrivals, func(a arrival) Rank {
			return NewRank(kinds[a.kind].priority, a.at.Add(kinds[a.kind].target))
		})
		// Within a priority, all statements that arrive sooner come sooner.
		inOrder := serve(kinds, slots, arrivals, func(a arrival) Rank {
			return NewRank(kinds[a.kind].priority, a.at.Add(time.Hour))
		})
		t.Logf("seed %d: offered %v, in time %v; in the order of arrival %v", seed, offered, ranked, inOrder)
		if ranked[1] < 2*inOrder[1] {
			t.Errorf("seed %d: %d of %d short statements in time, %d in the order of arrival", seed, ranked[1], offered[1], inOrder[1])
		}
		busy := time.Duration(0)
		for i, n := range ranked {
			busy += time.Duration(n) * kinds[i].service
		}
		if useful := busy.Seconds() / (slots * 5); useful < 0.9 {
			t.Errorf("seed %d: the server spent only %.2f of its time on answers in time", seed, useful)
		}
	}
}

// Guards against statements that are answered late because others, which are late already, run first.
func TestLateStatementsGoLast(t *testing.T) {
	start := time.Unix(0, 0)
	var q Queue[string]
	q.Push("old", NewRank(1, start.Add(100*time.Millisecond)))
	q.Push("new", NewRank(2, start.Add(300*time.Millisecond)))
	now := start.Add(90 * time.Millisecond)
	if n := q.Ahead(NewRank(2, start.Add(400*time.Millisecond)), now, 20*time.Millisecond); n != 1 {
		t.Errorf("%d ahead, want only the one that can be answered in time", n)
	}
	for _, want := range []string{"new", "old"} {
		if got, _ := q.Pop(now, 20*time.Millisecond); got != want {
			t.Errorf("%s runs, want %s", got, want)
		}
	}
	if q.Push("gone", NewRank(1, start)); !q.Remove("gone") || q.Remove("gone") {
		t.Error("a statement that has given up must be removed once")
	}
}

// Guards against an order that differs from the one in which statements are taken out one by one.
func TestOrderIsThatOfPop(t *testing.T) {
	start := time.Unix(0, 0)
	r := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		var q Queue[int]
		for i := range r.IntN(20) {
			q.Push(i, NewRank(r.IntN(3), start.Add(time.Duration(r.IntN(100))*time.Millisecond)))
		}
		order, inTime := q.Order(nil, start.Add(30*time.Millisecond), 20*time.Millisecond)
		for i, want := range order {
			late := q.Ahead(NewRank(3, start), start.Add(30*time.Millisecond), 20*time.Millisecond) == 0
			if late != (i >= inTime) {
				t.Fatalf("%d statements are said to be in time, number %d is late: %v", inTime, i, late)
			}
			if got, _ := q.Pop(start.Add(30*time.Millisecond), 20*time.Millisecond); got != want {
				t.Fatalf("statement %d is taken out, %d is next in order", got, want)
			}
		}
		if q.Len() > 0 {
			t.Fatalf("%d statements are missing in the order", q.Len())
		}
	}
}
