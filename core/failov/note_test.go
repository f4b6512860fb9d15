package failov

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a primary that is written into the record by all watchers or by none. The VM that promoted it writes first and
// retries, the others follow in their order, and no attempt is due once the record is known to hold the primary.
func TestRecordSchedulerOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1000, 0)
	due := func(n RecordScheduler, after time.Duration, rank int) bool { // n is a copy
		_, _, ok := n.Due(start.Add(after), rank)
		return ok
	}
	var own, other RecordScheduler
	own.SetPrimary(start, "b", 5, true)
	other.SetPrimary(start, "b", 5, false)
	g.Expect(due(own, 0, 1)).To(gomega.BeTrue())
	for rank := range 3 {
		turn := time.Duration(rank+1) * recordRankDelay
		g.Expect(due(other, turn-1, rank)).To(gomega.BeFalse())
		g.Expect(due(other, turn, rank)).To(gomega.BeTrue())
	}
	address, term, _ := own.Due(start, 0)
	g.Expect(address).To(gomega.Equal("b"))
	g.Expect(term).To(gomega.Equal(uint64(5)))
	g.Expect(due(own, time.Hour, 0)).To(gomega.BeFalse(), "an attempt is in progress")
	own.EndAttempt(start, 5, false)
	g.Expect(due(own, recordRetryInterval-1, 0)).To(gomega.BeFalse())
	g.Expect(due(own, recordRetryInterval, 0)).To(gomega.BeTrue())
	own.EndAttempt(start, 5, true)
	other.SetRecordedTerm(5)
	g.Expect(due(own, time.Hour, 0)).To(gomega.BeFalse())
	g.Expect(due(other, time.Hour, 0)).To(gomega.BeFalse())
	other.SetRecordedTerm(3)
	g.Expect(due(other, time.Hour, 0)).To(gomega.BeTrue(), "the store was restored to an older state")
}

// Guards against an attempt for an older term that hides that the primary of a newer term is not in the record yet.
func TestAttemptForOlderTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1000, 0)
	var n RecordScheduler
	n.SetPrimary(start, "b", 5, true)
	_, _, ok := n.Due(start, 0)
	g.Expect(ok).To(gomega.BeTrue())
	n.SetPrimary(start, "c", 6, true)
	n.SetPrimary(start, "b", 5, false)
	n.EndAttempt(start, 5, true)
	address, term, ok := n.Due(start, 0)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(address).To(gomega.Equal("c"))
	g.Expect(term).To(gomega.Equal(uint64(6)))
}
