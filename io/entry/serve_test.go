package entry

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/budget"
	"verbenagate/core/query"
	"verbenagate/core/result"
	"verbenagate/io/bounds"
	"verbenagate/io/logs"
	"verbenagate/io/metric"
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

// deadlineConn is a Conn that records its read deadline.
type deadlineConn struct {
	Conn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Guards against a session that goes on uncounted after it was closed for a new caller: a request that arrived at the same moment cleared
// the read deadline again, and the VM had more connections than its limit.
func TestSessionClosedForAnotherCallerEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &Server{deps: Dependencies{Clock: time.Now, Metrics: metric.NewSet(Catalog(metric.NewRegistry()), metric.ReportInterval), Log: logs.Nop()}}
	s.deps.Bounds.Account = bounds.NewAccount(0)
	conn := &deadlineConn{}
	now := time.Now()
	c := &boundedConn{Conn: conn, entry: s, opened: now.Add(-budget.IdlePatience)}
	ss := newSession(s, c, "ledger", "")
	c.session.Store(ss)
	ss.startWaiting()
	g.Expect(conn.deadline.IsZero()).To(gomega.BeTrue())
	s.callers.open = map[*boundedConn]struct{}{c: {}}
	g.Expect(s.makeRoom(now)).To(gomega.BeTrue())
	ss.startWaiting() // after the request
	g.Expect(conn.deadline).To(gomega.BeTemporally("<", now))
	g.Expect(conn.deadline.IsZero()).To(gomega.BeFalse())
}

// blockingConn is a Conn to a caller that reads no answer until the connection is closed.
type blockingConn struct {
	Conn
	closed chan struct{}
}

func (c *blockingConn) SendError(result.Code, string, query.State) error {
	<-c.closed
	return net.ErrClosed
}

func (c *blockingConn) Close() error {
	close(c.closed)
	return nil
}

// Guards against a VM that is killed at the end of its grace period since a caller whose statement still runs reads no answer.
func TestCloseDoesNotWaitForCallers(t *testing.T) {
	s := &Server{deps: Dependencies{Log: logs.Nop()}, sessions: make(map[*session]struct{})}
	conn := &blockingConn{closed: make(chan struct{})}
	ss := newSession(s, conn, "ledger", "")
	s.sessions[ss] = struct{}{}
	s.Close(time.Millisecond)
	<-conn.closed
	if ss.claimAnswer() {
		t.Error("the session may still answer the request")
	}
}
