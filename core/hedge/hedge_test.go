package hedge

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// learned returns a table that has seen n reads of 2 ms with fingerprint 1.
func learned(n int) *Table {
	t := NewTable()
	for range n {
		t.Answered(1, 2*time.Millisecond)
	}
	return t
}

// Guards against a read that waits for a silent owner, and against new reads that follow it there.
func TestSilentOwnerIsInDoubt(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := learned(50)
	r := tab.Sent(start, "vm2", 1)
	g.Expect(r.Check()).To(gomega.Equal(start.Add(minWait)))
	g.Expect(tab.InDoubt(start)).To(gomega.BeFalse())
	now := r.Check()
	g.Expect(tab.Overdue(now, &r)).To(gomega.BeTrue())
	g.Expect(tab.Take()).To(gomega.BeTrue())
	g.Expect(tab.InDoubt(now)).To(gomega.BeTrue())
	g.Expect(tab.Avoid(now, "vm2")).To(gomega.BeTrue())
	g.Expect(tab.Avoid(now, "vm3")).To(gomega.BeFalse())
}

// Guards against reads that all try an owner in doubt at the same time once it has been left alone, and against one that is
// left alone after it has answered.
func TestOneReadTriesOwnerInDoubt(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := learned(50)
	r := tab.Sent(start, "vm2", 1)
	g.Expect(tab.Overdue(r.Check(), &r)).To(gomega.BeTrue())
	now := start.Add(minWait + avoidFor)
	g.Expect(tab.Avoid(now, "vm2")).To(gomega.BeFalse())
	tab.Sent(now, "vm2", 1)
	g.Expect(tab.Avoid(now, "vm2")).To(gomega.BeTrue())
	tab.Heard(now, "vm2")
	g.Expect(tab.Avoid(now, "vm2")).To(gomega.BeFalse())
}

// Guards against reads that are run twice because their server is busy: its owner goes on answering other units.
func TestAnsweringOwnerIsNotSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := learned(50)
	r := tab.Sent(start, "vm2", 1)
	heard := start.Add(minWait / 2)
	tab.Heard(heard, "vm2")
	g.Expect(tab.Overdue(r.Check(), &r)).To(gomega.BeFalse())
	g.Expect(r.Check()).To(gomega.Equal(heard.Add(minWait)))
	g.Expect(tab.Overdue(r.Check(), &r)).To(gomega.BeTrue())
}

// Guards against a VM that was paused itself and takes all others for silent, as their answers wait to be read.
func TestOwnPauseIsNoSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := learned(50)
	r := tab.Sent(start, "vm2", 1)
	woke := start.Add(5 * time.Second)
	g.Expect(tab.Overdue(woke, &r)).To(gomega.BeFalse())
	g.Expect(tab.InDoubt(woke)).To(gomega.BeFalse())
	g.Expect(tab.Overdue(r.Check(), &r)).To(gomega.BeTrue())
}

// Guards against a statement that takes long by nature and is run twice each time.
func TestLongStatementsWaitLonger(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := NewTable()
	r := tab.Sent(start, "vm2", 7)
	g.Expect(r.Check()).To(gomega.Equal(start.Add(firstWait)), "unknown")
	for range 50 {
		tab.Answered(7, time.Second)
	}
	r = tab.Sent(start, "vm2", 7)
	g.Expect(r.Check()).To(gomega.BeTemporally(">=", start.Add(2*time.Second)))
}

// Guards against extra reads that add to an overload or exceed their share, whatever the pauses are.
func TestShareOfExtraReadsHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := NewTable()
		reads, extra, since := 0, 0, 0
		for _, answered := range rapid.SliceOf(rapid.Bool()).Draw(t, "answered") {
			if answered {
				n := rapid.IntRange(1, 3000).Draw(t, "reads")
				for range n {
					tab.Answered(1, time.Millisecond)
				}
				reads, since = reads+n, 0
				continue
			}
			for range rapid.IntRange(1, 100).Draw(t, "overdue") {
				if tab.Take() {
					extra++
					since++
				}
			}
			if float64(extra) > share*float64(reads)+1e-6 || since > burst {
				t.Fatalf("%d extra reads of %d, %d of them at once", extra, reads, since)
			}
		}
	})
}

// Guards against a table that grows with the number of statements that callers send.
func TestUsualTimesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := NewTable()
	for n := range uint64(3 * maxUsual) {
		tab.Answered(n, time.Millisecond)
	}
	g.Expect(tab.usual).To(gomega.HaveLen(maxUsual))
}
