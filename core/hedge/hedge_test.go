package hedge

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// tableWithReads returns a table with the latencies of n reads of 2 ms with fingerprint 1.
func tableWithReads(n int) *Table {
	t := NewTable()
	for range n {
		t.RecordLatency(1, 2*time.Millisecond)
	}
	return t
}

// Guards against a read that keeps waiting for an owner that does not answer, and against new reads sent to that owner.
func TestSilentOwnerIsInDoubt(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := tableWithReads(50)
	r := tab.RecordSent(start, "vm2", 1)
	g.Expect(r.NextCheck()).To(gomega.Equal(start.Add(minTimeout)))
	g.Expect(tab.AnySuspected(start)).To(gomega.BeFalse())
	now := r.NextCheck()
	g.Expect(tab.CheckOverdue(now, &r)).To(gomega.BeTrue())
	g.Expect(tab.TakeCredit()).To(gomega.BeTrue())
	g.Expect(tab.AnySuspected(now)).To(gomega.BeTrue())
	g.Expect(tab.Suspected(now, "vm2")).To(gomega.BeTrue())
	g.Expect(tab.Suspected(now, "vm3")).To(gomega.BeFalse())
}

// Guards against many reads that probe a suspected owner at the same time after avoidDuration, and against an owner that is
// still avoided after it has answered.
func TestOneReadTriesOwnerInDoubt(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := tableWithReads(50)
	r := tab.RecordSent(start, "vm2", 1)
	g.Expect(tab.CheckOverdue(r.NextCheck(), &r)).To(gomega.BeTrue())
	now := start.Add(minTimeout + avoidDuration)
	g.Expect(tab.Suspected(now, "vm2")).To(gomega.BeFalse())
	tab.RecordSent(now, "vm2", 1)
	g.Expect(tab.Suspected(now, "vm2")).To(gomega.BeTrue())
	tab.RecordAnswer(now, "vm2")
	g.Expect(tab.Suspected(now, "vm2")).To(gomega.BeFalse())
}

// Guards against hedging a read whose server is merely busy, while the server's owner still answers other units.
func TestAnsweringOwnerIsNotSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := tableWithReads(50)
	r := tab.RecordSent(start, "vm2", 1)
	heard := start.Add(minTimeout / 2)
	tab.RecordAnswer(heard, "vm2")
	g.Expect(tab.CheckOverdue(r.NextCheck(), &r)).To(gomega.BeFalse())
	g.Expect(r.NextCheck()).To(gomega.Equal(heard.Add(minTimeout)))
	g.Expect(tab.CheckOverdue(r.NextCheck(), &r)).To(gomega.BeTrue())
}

// Guards against a VM that suspects all others after it was paused itself. Their answers have arrived but are not read yet.
func TestOwnPauseIsNoSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := tableWithReads(50)
	r := tab.RecordSent(start, "vm2", 1)
	resumed := start.Add(5 * time.Second)
	g.Expect(tab.CheckOverdue(resumed, &r)).To(gomega.BeFalse())
	g.Expect(tab.AnySuspected(resumed)).To(gomega.BeFalse())
	g.Expect(tab.CheckOverdue(r.NextCheck(), &r)).To(gomega.BeTrue())
}

// Guards against hedging every run of a statement that usually takes long.
func TestLongStatementsWaitLonger(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := NewTable()
	r := tab.RecordSent(start, "vm2", 7)
	g.Expect(r.NextCheck()).To(gomega.Equal(start.Add(defaultTimeout)), "the latency is unknown")
	for range 50 {
		tab.RecordLatency(7, time.Second)
	}
	r = tab.RecordSent(start, "vm2", 7)
	g.Expect(r.NextCheck()).To(gomega.BeTemporally(">=", start.Add(2*time.Second)))
}

// Guards against hedged reads that add to an overload because they exceed their share of all reads, or because too many come
// at once, for any sequence of answered and overdue reads.
func TestShareOfExtraReadsHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := NewTable()
		reads, hedged, sinceAnswer := 0, 0, 0
		for _, answered := range rapid.SliceOf(rapid.Bool()).Draw(t, "answered") {
			if answered {
				n := rapid.IntRange(1, 3000).Draw(t, "reads")
				for range n {
					tab.RecordLatency(1, time.Millisecond)
				}
				reads, sinceAnswer = reads+n, 0
				continue
			}
			for range rapid.IntRange(1, 100).Draw(t, "overdue") {
				if tab.TakeCredit() {
					hedged++
					sinceAnswer++
				}
			}
			if float64(hedged) > maxHedgeShare*float64(reads)+1e-6 || sinceAnswer > maxCredit {
				t.Fatalf("%d reads hedged of %d answered, %d of them since the last answer", hedged, reads, sinceAnswer)
			}
		}
	})
}

// Guards against a table of latencies that grows with the number of different statements that callers send.
func TestUsualTimesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := NewTable()
	for n := range uint64(3 * maxLatencies) {
		tab.RecordLatency(n, time.Millisecond)
	}
	g.Expect(tab.latencies).To(gomega.HaveLen(maxLatencies))
}
