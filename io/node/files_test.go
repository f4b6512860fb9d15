package node

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against callers using up the open files that a VM needs for its servers, the other VMs and the platform.
func TestBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(boundsFor(10_000, 20_000)).To(gomega.Equal(bounds{10_000, 256}))
	g.Expect(boundsFor(25_000, 20_000)).To(gomega.Equal(bounds{18_464, 256}))
	g.Expect(boundsFor(10_000, 1024)).To(gomega.Equal(bounds{512, 85}))
	g.Expect(boundsFor(100, 1<<63)).To(gomega.Equal(bounds{100, 256}))
}
