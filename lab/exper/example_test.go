package exper_test

import (
	"fmt"

	"verbenagate/lab/exper"
)

func ExampleLoad() {
	e, err := exper.Load("../../_fixtures/experiments/failover.yaml")
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, s := range e.Stages {
		fmt.Printf("%s: %d trials of %s\n", s.Name, s.Trials[0].Count, s.Trials[0].Do)
	}
	// Output:
	// crashes: 30 trials of crash
	// freezes: 30 trials of freeze
}
