package pool

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"verbenagate/core/query"
)

// Guards against connections that keep the long values and the prepared statements of sessions that have ended, and against the closing of
// connections whose sessions change a value often.
func TestStateKeptOnConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	_, group := newGroup(t, 1)
	name := func(n int) string { return fmt.Sprint("p", n) }
	p, _ := group.Pool("ledger-0")
	c := acquire(t, group, "ledger-0", nil)
	for n := range 2000 {
		g.Expect(c.SetSessionValues(timeout, map[string]string{"a": fmt.Sprint(n)})).To(gomega.Succeed())
	}
	c.Release()
	g.Expect(p.State().Idle).To(gomega.Equal(1))
	c = acquire(t, group, "ledger-0", nil)
	g.Expect(c.SetSessionValues(timeout, map[string]string{"a": strings.Repeat("v", maxKeptState)})).To(gomega.Succeed())
	c.Release()
	g.Expect(p.State().Open).To(gomega.Equal(0), "a connection with a long value")
	c = acquire(t, group, "ledger-0", nil)
	for n := range maxKeptState / nameOverhead {
		_, err := c.EnsurePrepared(timeout, query.NewShape(false, fmt.Sprint("q", n)), name)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	c.Release()
	g.Expect(p.State().Open).To(gomega.Equal(0), "a connection with many prepared statements")
}
