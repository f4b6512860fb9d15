package event_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"verbenagate/core/event"
)

func ExampleLookup() {
	i, ok := event.Lookup(event.PromotionFailed)
	fmt.Println(i.ID(), i.Layer(), i.Level(), ok)
	// Output: 703 failov error true
}

// Guards against two events with the same number, an event of a layer that cannot be configured, and an invalid level.
func TestCatalogue(t *testing.T) {
	g := NewWithT(t)
	all := event.All()
	g.Expect(slices.IsSortedFunc(all, func(a, b event.Info) int { return int(a.ID()) - int(b.ID()) })).To(BeTrue())
	seen := make(map[event.ID]bool)
	for _, i := range all {
		g.Expect(seen).NotTo(HaveKey(i.ID()))
		seen[i.ID()] = true
		g.Expect(event.Layers()).To(ContainElement(i.Layer()))
		g.Expect(i.Level().String()).NotTo(Equal("invalid"))
		g.Expect(i.Advice()).To(HaveSuffix("."))
	}
}
