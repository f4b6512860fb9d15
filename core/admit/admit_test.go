package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

func ExampleGate() {
	var g Gate
	g.RecordHoldTime(30 * time.Millisecond)
	g.RecordServiceTime(20 * time.Millisecond)
	fmt.Println(g.ExpectedWait(5, 3), g.Admits(5, 3, 80*time.Millisecond), g.Admits(5, 3, 79*time.Millisecond))
	// Output: 60ms true false
}

func ExampleMaxRunning() {
	fmt.Println(MaxRunning(5, 1), MaxRunning(5, 3), MaxRunning(3, 6))
	// Output: 20 7 2
}

// load is a constant rate of arrivals at one server.
type load struct {
	interval time.Duration // between two arrivals
	service  time.Duration
	conns    int
	timeout  time.Duration
	length   time.Duration
}

// simulate returns how many statements were served within the timeout, how many were served late and how many were refused.
// Without the gate all of them wait.
func simulate(l load, gate bool) (inTime, late, refused int) {
	var g Gate
	freeAt := make([]time.Duration, l.conns) // when each connection becomes free
	var starts []time.Duration               // when the waiting statements will start
	for now := time.Duration(0); now < l.length; now += l.interval {
		for len(starts) > 0 && starts[0] <= now {
			starts = starts[1:]
		}
		first := 0
		for i := range freeAt {
			if freeAt[i] < freeAt[first] {
				first = i
			}
		}
		if gate && freeAt[first] > now && !g.Admits(len(starts), l.conns, l.timeout) {
			refused++
			continue
		}
		start := max(now, freeAt[first])
		if start > now {
			starts = append(starts, start)
		}
		freeAt[first] = start + l.service
		g.RecordHoldTime(l.service)
		g.RecordServiceTime(l.service)
		if start+l.service-now <= l.timeout {
			inTime++
		} else {
			late++
		}
	}
	return inTime, late, refused
}

// Guards against serving every caller late during an overload, and against refusals while there is no overload. Runs the
// loads of the scripts in _fixtures with the gate and without it.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "_fixtures", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			value := func(key string) time.Duration {
				var text string
				d.ScanArgs(t, key, &text)
				v, err := time.ParseDuration(text)
				if err != nil {
					t.Fatal(err)
				}
				return v
			}
			l := load{interval: value("interval"), service: value("service"), timeout: value("timeout"), length: value("length")}
			d.ScanArgs(t, "conns", &l.conns)
			inTime, late, refused := simulate(l, true)
			plainTime, plainLate, _ := simulate(l, false)
			return fmt.Sprintf("gate: %d in time, %d late, %d refused\nplain queue: %d in time, %d late\n", inTime, late, refused,
				plainTime, plainLate)
		})
	})
}

// Guards against a mean hold time that does not recover after a single long transaction.
func TestHoldTimeRecovers(t *testing.T) {
	var g Gate
	g.RecordHoldTime(20 * time.Millisecond)
	g.RecordHoldTime(3 * time.Second)
	for range 60 {
		g.RecordHoldTime(20 * time.Millisecond)
	}
	if w := g.ExpectedWait(0, 1); w > 25*time.Millisecond {
		t.Fatalf("the mean hold time is still %s after 60 holds of 20ms", w)
	}
}

// Guards against statements that wait for a slot although their answer would come too late, and against refusals while a slot is
// free.
func TestAdmitsToSlot(t *testing.T) {
	var g Gate
	for range 100 {
		g.RecordServiceTime(40 * time.Millisecond)
	}
	for _, c := range []struct {
		ahead   int
		timeout time.Duration
		want    bool
	}{
		{-1, 0, true}, // a slot is free
		{0, 60 * time.Millisecond, true},
		{0, 49 * time.Millisecond, false},
		{9, 140 * time.Millisecond, true},
		{9, 139 * time.Millisecond, false},
	} {
		if got := g.AdmitsToSlot(c.ahead, 4, c.timeout); got != c.want {
			t.Errorf("%d ahead, %s: admitted %v", c.ahead, c.timeout, got)
		}
	}
}
