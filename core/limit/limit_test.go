package limit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"verbenagate/core/limit"
)

// Guards against an owner that opens more connections than its half while there is no report, or any connection on the
// basis of an expired report.
func TestRoom(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b := limit.NewBudget(34)
	g.Expect(b.Room(0, now)).To(Equal(15))
	g.Expect(b.Room(15, now)).To(Equal(0))
	b.Report(18, 1, now)
	g.Expect(b.Room(15, now)).To(Equal(4), "a third of the 16 free ones, less the pending one")
	b.Take(4)
	g.Expect(b.Room(19, now)).To(Equal(0))
	b.Report(22, 0, now.Add(100*time.Millisecond))
	g.Expect(b.Room(19, now)).To(Equal(0), "a second report within the period is ignored")
	g.Expect(b.Room(19, now.Add(time.Second))).To(Equal(0), "the report has expired")
	b.Report(22, 0, now.Add(time.Second))
	g.Expect(b.Room(19, now.Add(time.Second))).To(Equal(4))
	b.Report(31, 0, now.Add(2*time.Second))
	g.Expect(b.Room(30, now.Add(2*time.Second))).To(Equal(0), "only the control reserve is free")
}

// Guards against exceeding a server's limit while two VMs own it. They use reports of different times and open connections
// that the other VM's report does not include yet.
func TestTwoOwnersStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxLimit = 60
		serverLimit := rapid.IntRange(7, maxLimit).Draw(t, "limit")
		control := rapid.IntRange(1, limit.ControlReserve).Draw(t, "control")
		budgets := [2]*limit.Budget{limit.NewBudget(serverLimit), limit.NewBudget(serverLimit)}
		var open [2]int
		now := time.Unix(1000, 0)
		for i, b := range budgets {
			b.Report(control, 0, now.Add(time.Duration(-i)*time.Millisecond))
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "owner")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				n := min(budgets[i].Room(open[i], now), rapid.IntRange(0, maxLimit).Draw(t, "n"))
				budgets[i].Take(n)
				open[i] += n
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			case 4:
				budgets[i].Report(open[0]+open[1]+control, 0, now)
			case 5:
				open[i] -= min(open[i], rapid.IntRange(0, 3).Draw(t, "closed"))
			}
			if open[0]+open[1]+control > serverLimit {
				t.Fatalf("owners hold %v connections, besides %d control connections; the limit is %d", open, control, serverLimit)
			}
		}
	})
}

// Guards against retries that multiply the load when most requests fail.
func TestRetryBudget(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	r := limit.NewRetryBudget(0.1, 2, time.Second)
	g.Expect([]bool{r.Take(now), r.Take(now), r.Take(now)}).To(Equal([]bool{true, true, false}))
	for range 50 {
		r.Success(now)
	}
	n := 0
	for r.Take(now) {
		n++
	}
	g.Expect(n).To(Equal(3), "50 successes allow 5 retries, 2 of which were taken before")
	now = now.Add(1500 * time.Millisecond)
	g.Expect(r.Take(now)).To(BeFalse(), "the previous window still counts")
	now = now.Add(2 * time.Second)
	g.Expect([]bool{r.Take(now), r.Take(now), r.Take(now)}).To(Equal([]bool{true, true, false}), "successes of older windows do not count")
}

func ExampleBudget() {
	now := time.Unix(1000, 0)
	b := limit.NewBudget(35)
	fmt.Println(b.Room(5, now))
	b.Report(20, 0, now)
	fmt.Println(b.Room(18, now))
	// Output:
	// 10
	// 5
}
