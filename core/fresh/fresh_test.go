package fresh

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenagate/core/point"
)

func ExamplePositionHistory() {
	var h PositionHistory
	now := time.Unix(1000, 0)
	h.Observe(now.Add(-2*time.Second), point.New(3, 10))
	h.Observe(now.Add(-time.Second), point.New(3, 20))
	h.Observe(now, point.New(3, 30))
	p, ok := h.Required(now, 1500*time.Millisecond)
	fmt.Println(p, ok)
	// Output: 3/20 true
}

// Guards against stale reads: whatever was observed, the required position, if there is one, covers every commit that was
// acknowledged longer ago than the stated age.
func TestRequiredCoversTheAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		var h PositionHistory
		now := start
		commits := []time.Time{} // commit n+1 was acknowledged at commits[n]
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "commit") {
				commits = append(commits, now)
				continue
			}
			h.Observe(now, point.New(1, uint64(len(commits))))
		}
		age := time.Duration(rapid.IntRange(1, 4000).Draw(t, "age")) * time.Millisecond
		p, ok := h.Required(now, age)
		if !ok {
			return
		}
		for i, at := range commits {
			if at.Before(now.Add(-age)) && uint64(i+1) > p.Position() {
				t.Fatalf("commit %d, acknowledged %s ago, is above %s", i+1, now.Sub(at), p)
			}
		}
	})
}

// Guards against a position of a replaced primary that is required of its successor.
func TestReset(t *testing.T) {
	var h PositionHistory
	now := time.Unix(1000, 0)
	h.Observe(now, point.New(3, 10))
	h.Reset()
	if p, ok := h.Required(now, time.Second); ok {
		t.Fatalf("got %s after a reset", p)
	}
}

// Guards against an answer that arrives out of order and replaces a newer position.
func TestOlderAnswerIsIgnored(t *testing.T) {
	var h PositionHistory
	now := time.Unix(1000, 0)
	h.Observe(now, point.New(3, 10))
	h.Observe(now.Add(-time.Second), point.New(3, 9))
	if p, ok := h.Required(now, 10*time.Millisecond); !ok || p != point.New(3, 10) {
		t.Fatalf("got %s %v", p, ok)
	}
}
