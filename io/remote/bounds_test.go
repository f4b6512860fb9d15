package remote

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"verbenagate/core/result"
	"verbenagate/io/link"
)

// Guards against an owner that runs out of memory by the long requests and answers of other VMs, and against one that closes the link, and
// with it all calls, instead of refusing one.
func TestLongRequestsAndAnswersAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := newServers(t)
	servers.memory = 300_000
	_, v := servers.pair()
	s := v.acquire(t, "ledger-0")
	defer s.Release()
	_, sent, err := run(s, "r1", "READ "+strings.Repeat("i", 150_000))
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.Overloaded))
	g.Expect(sent).To(gomega.BeFalse())
	g.Expect(servers.servers.Runs()).To(gomega.BeEmpty())
	for range 5 {
		_, _, err = run(s, "w1", "WRITE x "+strings.Repeat("i", 90_000))
		g.Expect(err).NotTo(gomega.HaveOccurred(), "what a request took is given back")
	}
	r, _, err := run(s, "r2", "READ x")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Rows()[0]).To(gomega.HaveLen(90_000))
}

// Guards against an answer that is longer than a message between VMs may be and ends the link.
func TestAnswerTooLongForTheLink(t *testing.T) {
	g := gomega.NewWithT(t)
	row := strings.Repeat("r", 1<<20)
	var reply runReply
	for len(reply.Rows) <= link.MaxReply/len(row) {
		g.Expect(checkReply(reply, nil)).To(gomega.Equal(reply))
		reply.Rows = append(reply.Rows, row)
	}
	refused := checkReply(reply, nil)
	g.Expect(refused.Error).To(gomega.Equal(result.AnswerLost))
	g.Expect(refused.Sent).To(gomega.BeTrue())
	g.Expect(refused.Rows).To(gomega.BeEmpty())
}
