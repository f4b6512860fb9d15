package lead

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func namesOf(members []Member) []string {
	var names []string
	for _, m := range members {
		names = append(names, m.Name())
	}
	return names
}

func ExampleRoster() {
	now := time.Unix(1000, 0)
	all := NewFleet([]Member{NewMember("a", 0, 0, nil), NewMember("b", 0, 0, nil)}, 2)
	ofCopy := NewFleet([]Member{NewMember("a", 0, 0, nil)}, 1) // b has not renewed its lease yet
	var r Roster
	r.Update(all, now, now)
	r.Restored(now)
	for _, after := range []time.Duration{0, 3 * time.Second, 12 * time.Second} {
		f := r.Update(ofCopy, now.Add(after), now.Add(after))
		fmt.Println(after, namesOf(f.Live()), namesOf(f.Present()), f.Holders())
	}
	// Output:
	// 0s [a b] [a b] 2
	// 3s [a] [a b] 2
	// 12s [a] [a] 1
}

// Guards against a VM that goes by a list from a copy of the store and takes VMs for gone that are present: what only one VM may do at once
// then passes to a second one.
func TestRosterKeepsPresentVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		draw := func(label string) Fleet {
			live := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 0, 5, rapid.ID[string]).Draw(t, label)
			slices.Sort(live)
			var members []Member
			for _, name := range live {
				members = append(members, NewMember(name, 0, 0, nil))
			}
			return NewFleet(members, len(members))
		}
		var r Roster
		known := r.Update(draw("before"), now, now).Present()
		for range rapid.IntRange(1, 3).Draw(t, "restores") {
			r.Restored(now)
			end := now.Add(PresentFor)
			for now = now.Add(rapid.Custom(drawDelay).Draw(t, "delay")); now.Before(end); now = now.Add(rapid.Custom(drawDelay).Draw(t, "delay")) {
				f := r.Update(draw("list"), now, now)
				for _, name := range namesOf(known) {
					if !slices.Contains(namesOf(f.Present()), name) {
						t.Fatalf("VM %s is not on the roster although its presence may go on", name)
					}
				}
				if !slices.IsSortedFunc(f.Present(), compareNames) || f.Hash() != f.computeHash() {
					t.Fatalf("the roster %v is not in order", namesOf(f.Present()))
				}
			}
			f := draw("after")
			known = r.Update(f, end.Add(maxClockDrift), end.Add(maxClockDrift)).Present()
			if !slices.Equal(namesOf(known), namesOf(f.Present())) {
				t.Fatalf("the roster is %v in place of the list %v", namesOf(known), namesOf(f.Present()))
			}
			now = end.Add(maxClockDrift)
		}
	})
}

func drawDelay(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
}
