package drain

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var began = time.Unix(1000, 0)

func ExamplePlan_EndsTransactions() {
	p := NewPlan(began, 6*time.Second)
	fmt.Println(p.EndsTransactions(began.Add(2900*time.Millisecond)), p.EndsTransactions(began.Add(3*time.Second)))
	// Output: false true
}

// Guards against a stop whose steps do not fit into the grace period, or that takes from open transactions the half that they may use.
func TestStepsFitIntoGracePeriod(t *testing.T) {
	for grace := 2 * time.Second; grace <= time.Minute; grace += 100 * time.Millisecond {
		p := NewPlan(began, grace)
		steps := []time.Time{began, p.idleUntil, p.transactionsUntil, p.answersUntil, p.closeAt, began.Add(grace)}
		for i := 1; i < len(steps); i++ {
			if steps[i].Before(steps[i-1]) {
				t.Errorf("grace period %s: step %d is due %s before step %d", grace, i, steps[i-1].Sub(steps[i]), i-1)
			}
		}
		if half := began.Add(grace / 2); p.EndsTransactions(half.Add(-time.Nanosecond)) || !p.EndsTransactions(half) {
			t.Errorf("grace period %s: transactions do not end at its half", grace)
		}
		if left := began.Add(grace).Sub(p.closeAt); left < exitReserve {
			t.Errorf("grace period %s: %s are left for the last steps", grace, left)
		}
	}
}

// TestScripts runs the scripts in _fixtures. They guard against a stop that accepts what it cannot answer in time any more, or that ends
// what could still be answered.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "_fixtures", func(t *testing.T, path string) {
		var p Plan
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			duration := func(i int) time.Duration {
				v, err := time.ParseDuration(d.CmdArgs[i].Key)
				if err != nil {
					t.Fatal(err)
				}
				return v
			}
			switch d.Cmd {
			case "stop":
				p = NewPlan(began, duration(0))
				return fmt.Sprint("close at ", p.CloseAt().Sub(began))
			case "at":
				now := began.Add(duration(0))
				return fmt.Sprintf("closes idle %t, ends transactions %t, waits for a request %s",
					p.ClosesIdle(now), p.EndsTransactions(now), p.RequestWait(now))
			case "answer":
				return fmt.Sprint(p.AnswerBy(began.Add(duration(0))).Sub(began))
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}
