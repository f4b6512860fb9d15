package pool

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/exec"
	"verbenagate/core/layout"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
)

// panickingConn is a connection to a server whose decoder panics over every answer.
type panickingConn struct{ port.ServerConn }

func (panickingConn) Do(time.Duration, exec.Operation) (exec.Result, bool, error) {
	panic("malformed answer")
}
func (panickingConn) Close() error { return nil }

type panickingDialer struct{}

func (panickingDialer) Dial(context.Context, string, string, string, string) (port.ServerConn, error) {
	return panickingConn{}, nil
}

// Guards against an answer of one server that ends the process, against a connection with an unread answer that is used again,
// and against a slot that stays occupied.
func TestPanicOverAnswerEndsTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPool(layout.NewServer("s", "g", "", "dc", 3, false, true, 1), panickingDialer{}, time.Now, nopLogger{}, nil)
	p.setLimits(limits{maxOpen: 1, maxRunning: 1, idle: maxIdleTime})
	for range 2 {
		c, err := p.Acquire(AcquireRequest{Timeout: timeout, AnswerWithin: timeout})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, sent, err := c.Run(timeout, 0, exec.NewRun("id", "WRITE x 1", point.Point{}))
		g.Expect(result.Lookup(result.CodeOf(err)).Outcome()).To(gomega.Equal(result.Unknown))
		g.Expect(sent).To(gomega.BeTrue(), "the statement may have run")
		c.Release()
		g.Expect(p.State().Running).To(gomega.BeZero())
		g.Expect(p.State().Open).To(gomega.BeZero())
	}
}
