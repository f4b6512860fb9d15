package eras_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"verbenagate/core/eras"
)

func ExampleTracker() {
	var t eras.Tracker
	for _, p := range []eras.Position{eras.At(0, 90), eras.At(1, 50), eras.At(0, 91), eras.At(1, 51)} {
		switch e := t.Observe(p).(type) {
		case eras.Current:
			fmt.Println(p, "is current")
		case eras.Older:
			fmt.Println(p, "is older than", e.Newest())
		case eras.Changed:
			fmt.Println(p, "begins an era after", e.From())
		}
	}
	// Output:
	// 0/90 is current
	// 1/50 begins an era after 0/90
	// 0/91 is older than 1/50
	// 1/51 is current
}

// Guards against an order of positions in which a version that was given out again counts as newer than one of a later era.
func TestPositionsAreOrderedByEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		version := rapid.Uint64Range(0, 1<<40-1)
		e1, e2 := rapid.Uint64Range(0, 1000).Draw(t, "e1"), rapid.Uint64Range(0, 1000).Draw(t, "e2")
		v1, v2 := version.Draw(t, "v1"), version.Draw(t, "v2")
		p1, p2 := eras.At(e1, v1), eras.At(e2, v2)
		if p1.Era() != e1 || p1.Version() != v1 {
			t.Fatalf("%s is not era %d, version %d", p1, e1, v1)
		}
		if want := e1 < e2 || e1 == e2 && v1 < v2; (p1 < p2) != want {
			t.Fatalf("%s < %s is %t", p1, p2, p1 < p2)
		}
	})
}
