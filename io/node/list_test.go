package node

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against reads of a long list that use up the VM's bandwidth for control traffic, and against reading a short list
// less often, which would delay the discovery of a leaving VM.
func TestListPause(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, entries := range []int{0, 1, 9, 40} {
		g.Expect(listPause(entries, 0.5)).To(gomega.BeZero())
	}
	for _, entries := range []int{100, 790, 5000} {
		for _, random := range []float64{0, 0.999} {
			perSecond := float64(entries*listEntryBytes) / listPause(entries, random).Seconds()
			g.Expect(perSecond).To(gomega.BeNumerically("<=", maxListBytesPerSecond*1.34))
		}
	}
	g.Expect(listPause(790, 0)).To(gomega.BeNumerically("<", 2*time.Minute))
}

// Guards against announcing a primary to all VMs whenever a VM starts to watch a service, and against not announcing a
// promotion.
func TestOnlyPromotionsAreAnnounced(t *testing.T) {
	g := gomega.NewWithT(t)
	var p primaryTerms
	g.Expect(p.recordTerm("dues", 3)).To(gomega.BeFalse(), "first primary seen")
	g.Expect(p.recordTerm("dues", 3)).To(gomega.BeFalse(), "same term")
	g.Expect(p.recordTerm("rent", 5)).To(gomega.BeFalse(), "first primary seen of another service")
	g.Expect(p.recordTerm("dues", 4)).To(gomega.BeTrue(), "promotion")
	g.Expect(p.recordTerm("dues", 3)).To(gomega.BeFalse(), "outdated announcement")
}
