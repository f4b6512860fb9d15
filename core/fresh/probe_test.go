package fresh

import (
	"fmt"
	"testing"
	"time"
)

func ExampleProbe() {
	now := time.Unix(1000, 0)
	var p Probe
	fmt.Println(p.Allows(now, time.Second))
	p.Failed(now, time.Second)
	fmt.Println(p.Allows(now, time.Second), p.Allows(now, time.Minute))
	fmt.Println(p.Allows(now.Add(probeInterval), time.Second), p.Allows(now.Add(probeInterval), time.Second))
	// Output:
	// true
	// false true
	// true false
}

// Guards against many reads that each ask for a position that is not known, and against one that waits although another has succeeded.
func TestProbesAreFew(t *testing.T) {
	const reads, length = 500, 4 * time.Second
	start := time.Unix(1000, 0)
	var p Probe
	probes := 0
	for at := time.Duration(0); at < length; at += 15 * time.Millisecond {
		for range reads {
			if p.Allows(start.Add(at), time.Second) {
				probes++
				p.Failed(start.Add(at), time.Second)
			}
		}
	}
	if most := int(length/probeInterval) + 1; probes > most {
		t.Errorf("%d of %d reads asked for a position in %s, at most %d are expected", probes, reads, length, most)
	}
	if p.Reset(); !p.Allows(start.Add(length), time.Second) {
		t.Error("a read waits although a position is known")
	}
}
