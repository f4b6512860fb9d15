package lead

import (
	"fmt"
	"testing"
	"time"

	"verbenagate/core/eras"
)

func ExampleRestore() {
	now := time.Unix(1000, 0)
	var kept, started Restore
	kept.Begin(now, true)
	started.Begin(now, false)
	for _, after := range []time.Duration{0, restoreWait} {
		at := now.Add(after)
		fmt.Println(after, kept.MayUse(at), kept.MayReplace(at), started.MayUse(at), started.MayReplace(at))
	}
	// Output:
	// 0s true false false false
	// 6.1s true true true true
}

// Guards against a VM that acts after a second restore as if only the first one had happened.
func TestRestoresOverlap(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Restore
	r.Begin(now, false)
	now = now.Add(restoreWait - time.Millisecond)
	r.Begin(now, true)
	now = now.Add(restoreWait - time.Millisecond)
	if r.MayReplace(now) || r.MayUse(now) {
		t.Error("a VM without a lease of its own before the second restore acts before the leases of that era have ended")
	}
	if now = now.Add(time.Millisecond); !r.MayReplace(now) || !r.MayUse(now) {
		t.Error("a VM does not act although all leases of earlier eras have ended")
	}
}

// Guards against a lease of an earlier era that outlasts the wait, however late before the store's return it was granted.
func TestRestoreOutlastsLeases(t *testing.T) {
	granted := time.Unix(1000, 0)
	var l Lease
	l.Renew(granted, 1)
	var r Restore
	r.Begin(granted, true)
	for at := granted; at.Before(granted.Add(2 * LeaseDuration)); at = at.Add(10 * time.Millisecond) {
		if l.Valid(at) && r.MayReplace(at) {
			t.Fatalf("a primary may be replaced %s after a lease was granted, which is still valid", at.Sub(granted))
		}
	}
}

// Guards against work that counts as unknown since the record of its primary was written again, and against work that goes on after a
// replacement.
func TestRewrites(t *testing.T) {
	version := func(inEra, n uint64) uint64 { return uint64(eras.At(inEra, n)) }
	old := NewRecord(Stable, "s", 3, "vm").WithVersion(version(0, 90))
	for _, c := range []struct {
		r    Record
		want bool
	}{
		{NewRecord(Stable, "s", 3, "other").WithVersion(version(1, 40)), true},
		{NewRecord(Stable, "s", 3, "vm").WithVersion(version(0, 91)), false},
		{NewRecord(Moving, "s", 3, "vm").WithVersion(version(1, 40)), false},
		{NewRecord(Stable, "s", 4, "vm").WithVersion(version(1, 40)), false},
		{NewRecord(Stable, "t", 3, "vm").WithVersion(version(1, 40)), false},
	} {
		if got := c.r.Rewrites(old); got != c.want {
			t.Errorf("%+v rewrites %+v: %t", c.r, old, got)
		}
	}
}

func ExampleEraMark() {
	now := time.Unix(1000, 0)
	m := NewEraMark(2, 80*time.Second)
	var r Restore
	r.Begin(now, false) // a VM that starts
	r.Began(now.Add(-m.Age(85 * time.Second)))
	fmt.Println(r.MayUse(now), r.MayUse(now.Add(restoreWait-5*time.Second)))
	fmt.Println(m.Age(79 * time.Second))
	// Output:
	// false true
	// 0s
}

// Guards against a mark of an era that shortens the wait for the leases of the time before a later restore.
func TestRestoreAfterMark(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Restore
	r.Begin(now, false)
	r.Began(now.Add(-time.Hour))
	if !r.MayUse(now) || !r.MayReplace(now) {
		t.Error("a VM waits although all leases of earlier eras ended long ago")
	}
	r.Begin(now, false)
	if r.MayUse(now) || r.MayReplace(now) {
		t.Error("a VM does not wait for the leases of the era that has just ended")
	}
}
