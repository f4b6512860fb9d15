package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against reads of the platform's list that take the control budget of a VM when there are many VMs, and against
// later news of a leaving VM when there are few.
func TestListPause(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, entries := range []int{0, 1, 9, 40} {
		g.Expect(listPause(entries, 0.5)).To(gomega.BeZero())
	}
	for _, entries := range []int{100, 790, 5000} {
		for _, random := range []float64{0, 0.999} {
			perSecond := float64(entries*listEntry) / listPause(entries, random).Seconds()
			g.Expect(perSecond).To(gomega.BeNumerically("<=", listBudget*1.34))
		}
	}
	g.Expect(listPause(790, 0)).To(gomega.BeNumerically("<", 2*time.Minute))
}

// Guards against news to other VMs whenever a VM begins to watch a service, and against a promotion that is not told.
func TestOnlyNewPrimariesAreNews(t *testing.T) {
	g := gomega.NewWithT(t)
	var p primaries
	g.Expect(p.changed("dues", 3)).To(gomega.BeFalse(), "first sight")
	g.Expect(p.changed("dues", 3)).To(gomega.BeFalse(), "same term")
	g.Expect(p.changed("rent", 5)).To(gomega.BeFalse(), "first sight of another service")
	g.Expect(p.changed("dues", 4)).To(gomega.BeTrue(), "promotion")
	g.Expect(p.changed("dues", 3)).To(gomega.BeFalse(), "late news")
}
