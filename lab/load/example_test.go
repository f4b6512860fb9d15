package load_test

import (
	"fmt"
	"time"

	"verbenagate/lab/load"
)

func ExamplePlan() {
	p := load.Profile{Duration: time.Second, Rate: 4, Callers: 2, Turns: true, Pay: 0.5}
	for _, q := range load.Plan(p, 3) {
		fmt.Println(q.Caller(), q.At() < p.Duration)
	}
	// Output:
	// 0 true
	// 1 true
}
