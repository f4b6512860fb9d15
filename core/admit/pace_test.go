package admit

import (
	"testing"
	"time"
)

// Guards against an expected wait that grows without bound, and refuses the statements of a server that is fast, after a clock that was
// read before the queue was locked: the first start is then earlier than the arrival before it.
func TestPaceWithUnorderedTimes(t *testing.T) {
	const gap = time.Millisecond
	start := time.Unix(1e9, 0)
	useful := start.Add(time.Hour)
	var q Queue[int]
	push := func(item int, workspace string, at time.Time) {
		q.Push(item, NewRank(1, useful).InWorkspace(workspace, 1), at)
	}
	push(-1, "a", start)
	push(-2, "b", start.Add(-20*time.Microsecond))
	q.Pop(start.Add(-20*time.Microsecond), gap)
	for i := range 1000 {
		now := start.Add(time.Duration(i) * gap)
		push(i, "a", now)
		if i%10 == 3 { // a start that was decided some time before
			now = now.Add(-gap / 10)
		}
		place := q.Place(NewRank(1, useful).InWorkspace("a", 1), now, gap)
		if most := 2 * time.Duration(place.Ahead()+1) * gap; place.Wait() < 0 || place.Wait() > most {
			t.Fatalf("after %d starts, %s apart, a statement with %d ahead is expected to wait %s", i, gap, place.Ahead(), place.Wait())
		}
		q.Pop(now, gap)
	}
}
