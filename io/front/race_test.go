package front

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/result"
	"verbenagate/core/stmt"
	"verbenagate/core/work"
	"verbenagate/io/caller"
	"verbenagate/io/metric"
)

// silentOwners has an owner for each server. Once silenceStarted is set, the first owner that gets a unit no longer answers.
type silentOwners struct {
	fakeOwners
	silenceStarted bool
	silentServer   string
	unanswered     chan *silentStream
	lateSinkErr    chan error // what the sink returned for the late answer of the silent owner
}

func (o *silentOwners) Owner(_, server string) string { return "vm-" + server }

func (o *silentOwners) Stream(_, server string) (work.Stream, error) {
	return &silentStream{
		fakeStream: fakeStream{owners: &o.fakeOwners, server: server}, owners: o, closed: make(chan struct{}, 8),
		answer: make(chan struct{}, 1),
	}, nil
}

type silentStream struct {
	fakeStream
	owners *silentOwners
	closed chan struct{}
	answer chan struct{} // makes the silent owner answer
}

func (s *silentStream) Close() { s.closed <- struct{}{} }

func (s *silentStream) Run(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	o := s.owners
	o.mu.Lock()
	if o.silenceStarted && o.silentServer == "" {
		o.silentServer = s.server
	}
	silent := o.silenceStarted && o.silentServer == s.server
	o.mu.Unlock()
	if !silent {
		return s.fakeStream.Run(ctx, u, sink)
	}
	o.unanswered <- s
	select {
	case <-s.answer:
		if err := sink([]byte("slow")); err != nil {
			return work.FinalFromError(err)
		}
		return okFinal()
	case <-s.closed:
	case <-ctx.Done():
	}
	o.lateSinkErr <- sink([]byte("late"))
	return work.FinalFromError(result.New(result.PeerUnreachable, "closed"))
}

// newSessionWithSilentOwner returns a session with enough answered reads to hedge a read. The owner that gets its next read does
// not answer.
func newSessionWithSilentOwner(t *testing.T) (*silentOwners, *Session) {
	o := &silentOwners{unanswered: make(chan *silentStream, 8), lateSinkErr: make(chan error, 8)}
	o.answer = func(_ string, _ work.Unit, sink work.Sink) work.Final {
		if sink([]byte("row")) != nil {
			return work.FinalFromError(result.New(result.Cancelled, "the other run has won"))
		}
		return okFinal()
	}
	s := newSession(t, &o.fakeOwners, nil)
	s.front.cfg.Owners = o
	for range 200 {
		gomega.NewWithT(t).Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	}
	o.silenceStarted = true
	return o, s
}

// Guards against a read that waits for a VM that does not answer, against a late answer that reaches the caller after the answer
// of the second run, and against new reads that are sent to the same VM.
func TestReadLeavesSilentOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	o, s := newSessionWithSilentOwner(t)
	set := metric.NewSet(metric.Catalog(), time.Hour)
	s.meter = newMeter(set, "dues")
	var got []string
	r := caller.NewRequest(work.Unit{Class: stmt.Read}, read, nil, nil)
	f := s.Run(context.Background(), r, func(frames []byte) error { got = append(got, string(frames)); return nil })
	g.Expect(f.Code).To(gomega.Equal(result.OK))
	g.Expect(got).To(gomega.Equal([]string{"row"}))
	g.Expect(<-o.lateSinkErr).To(gomega.MatchError(errOtherRunWon))
	g.Expect(s.front.Counts().Hedged()).To(gomega.Equal(int64(1)))
	ran := len(o.ranOn)
	g.Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	g.Expect(o.ranOn).To(gomega.HaveLen(ran + 1))
	g.Expect(o.ranOn[ran]).NotTo(gomega.Equal(o.silentServer))
	g.Expect(s.front.Counts().Hedged()).To(gomega.Equal(int64(1)))
	g.Expect(set.Close()).To(gomega.Succeed())
	hedged := map[string]float64{}
	for _, v := range set.Samples() {
		if v.Name == metric.Prefix+metric.HedgedReads {
			hedged[v.Labels["answered"]] = v.Value
		}
	}
	g.Expect(hedged).To(gomega.Equal(map[string]float64{"second": 1}))
}

// Guards against a second run of a unit that must run only once or on one server, such as a write, a read of a pinned session or
// a declared request.
func TestBoundUnitsAreNotRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, u := range []work.Unit{
		{Class: stmt.Write},
		{Class: stmt.Unknown},
		{Class: stmt.BeginReadOnly},
		{Class: stmt.Read, KeepConnection: true},
		{Class: stmt.Read, NeedsPrimary: true},
		{Class: stmt.Read, IdempotencyKey: &work.OnceKey{Key: "k"}},
	} {
		g.Expect((&attemptState{unit: u}).hedgeable()).To(gomega.BeFalse(), "%+v", u)
	}
	g.Expect((&attemptState{unit: work.Unit{Class: stmt.Read}}).hedgeable()).To(gomega.BeTrue())
}

// Guards against a read that fails because its second run failed, although the first run can still answer.
func TestFirstRunCountsIfSecondFails(t *testing.T) {
	g := gomega.NewWithT(t)
	o, s := newSessionWithSilentOwner(t)
	second := make(chan struct{}, 8)
	o.mu.Lock()
	o.answer = func(string, work.Unit, work.Sink) work.Final {
		second <- struct{}{}
		return work.FinalFromError(result.New(result.ServerBehind, "behind"))
	}
	o.mu.Unlock()
	go func() {
		stream := <-o.unanswered
		<-second
		stream.answer <- struct{}{}
	}()
	var got []string
	r := caller.NewRequest(work.Unit{Class: stmt.Read}, read, nil, nil)
	f := s.Run(context.Background(), r, func(frames []byte) error { got = append(got, string(frames)); return nil })
	g.Expect(f.Code).To(gomega.Equal(result.OK))
	g.Expect(got).To(gomega.Equal([]string{"slow"}))
}

// Guards against a read that waits for the VM that does not answer because its second run failed on a replica that lags behind.
func TestReadGoesOnAfterReplicaBehind(t *testing.T) {
	g := gomega.NewWithT(t)
	o, s := newSessionWithSilentOwner(t)
	ranBefore := len(o.ranOn)
	o.mu.Lock()
	o.answer = func(_ string, _ work.Unit, sink work.Sink) work.Final {
		if len(o.ranOn) == ranBefore+1 {
			return work.FinalFromError(result.New(result.ServerBehind, "behind"))
		}
		_ = sink([]byte("row"))
		return okFinal()
	}
	o.mu.Unlock()
	g.Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	g.Expect(o.ranOn).To(gomega.HaveLen(ranBefore + 2))
	g.Expect(o.ranOn[ranBefore:]).NotTo(gomega.ContainElement(o.silentServer))
}
