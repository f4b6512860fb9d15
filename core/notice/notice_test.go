package notice

import (
	"fmt"
	"testing"

	"verbenagate/core/port"
)

func ExamplePath_Lasts() {
	for _, p := range Paths() {
		fmt.Println(p.Lasts(), "of", p.Bound(), p.Failure())
	}
	// Output:
	// 2.45s of 4s agent: the connection that waits for changes is silent
	// 3.05s of 4s agent: all open connections to the store are silent
	// 2.45s of 4s VM behind an agent: the agent's connection that waits for changes is silent
	// 2.8s of 3s VM behind an agent: the store does not answer its agent, or all of its agents
	// 3.3s of 4s VM behind an agent: its open connections to the agent and to the store are silent
	// 5.2s of 7s VM behind an agent: the store answers none of its agents, and a server drains
}

func ExampleMissed() {
	known := []port.Row{{Table: "t", Key: "a", Version: 7}}
	fmt.Println(Missed(known, []port.Row{{Table: "t", Key: "a", Version: 7}, {Table: "u", Key: "b", Version: 9}}))
	fmt.Println(Missed(known, []port.Row{{Table: "t", Key: "a", Version: 8}}))
	// Output:
	// false
	// true
}

// Guards against time limits that are each reasonable and together let a VM keep an old configuration for too long.
func TestPathsFitTheirBounds(t *testing.T) {
	for _, p := range Paths() {
		if p.Lasts() > p.Bound() {
			t.Errorf("%s: %s of %s", p.Failure(), p.Lasts(), p.Bound())
			for _, s := range p.Steps() {
				t.Logf("%s: %s", s.Name(), s.Lasts())
			}
		}
	}
}
