package entry

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a read that is refused although it was sent back by a server whose queue would have taken it.
func TestServerThatSentBackMayBeChosenAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	var tried triedServers
	g.Expect(tried.all()).To(gomega.BeEmpty())
	tried.sentBack = "s1"
	g.Expect(tried.all()).To(gomega.Equal([]string{"s1"}))
	tried.add("s2")
	g.Expect(tried.all()).To(gomega.Equal([]string{"s2"}))
}
