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

// quietOwners has an owner for each server. The first one that is asked after the silence began does not answer.
type quietOwners struct {
	fakeOwners
	silent bool
	quiet  string
	stuck  chan *quietStream
	late   chan error // what the sink of the silent owner's answer returned
}

func (o *quietOwners) Owner(_, server string) string { return "vm-" + server }

func (o *quietOwners) Stream(_, server string) (work.Stream, error) {
	return &quietStream{
		fakeStream: fakeStream{owners: &o.fakeOwners, server: server}, owners: o, closed: make(chan struct{}, 8),
		answer: make(chan struct{}, 1),
	}, nil
}

type quietStream struct {
	fakeStream
	owners *quietOwners
	closed chan struct{}
	answer chan struct{} // makes the silent owner answer
}

func (s *quietStream) Close() { s.closed <- struct{}{} }

func (s *quietStream) Run(ctx context.Context, u work.Unit, sink work.Sink) work.Final {
	o := s.owners
	o.mu.Lock()
	if o.silent && o.quiet == "" {
		o.quiet = s.server
	}
	quiet := o.silent && o.quiet == s.server
	o.mu.Unlock()
	if !quiet {
		return s.fakeStream.Run(ctx, u, sink)
	}
	o.stuck <- s
	select {
	case <-s.answer:
		if err := sink([]byte("slow")); err != nil {
			return work.FinalFromError(err)
		}
		return done()
	case <-s.closed:
	case <-ctx.Done():
	}
	o.late <- sink([]byte("late"))
	return work.FinalFromError(result.New(result.PeerUnreachable, "closed"))
}

// newQuiet returns a session whose reads have been answered often enough to be run again, and whose next one is not.
func newQuiet(t *testing.T) (*quietOwners, *Session) {
	o := &quietOwners{stuck: make(chan *quietStream, 8), late: make(chan error, 8)}
	o.answer = func(_ string, _ work.Unit, sink work.Sink) work.Final {
		if sink([]byte("row")) != nil {
			return work.FinalFromError(result.New(result.Cancelled, "outrun"))
		}
		return done()
	}
	s := newSession(t, &o.fakeOwners, nil)
	s.front.cfg.Owners = o
	for range 200 {
		gomega.NewWithT(t).Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	}
	o.silent = true
	return o, s
}

// Guards against a read that waits for a silent VM, against a late answer that reaches the caller after the second run's,
// and against new reads that follow the first one.
func TestReadLeavesSilentOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	o, s := newQuiet(t)
	set := metric.NewSet(metric.Catalog(), time.Hour)
	s.meter = newMeter(set, "dues")
	var got []string
	r := caller.NewRequest(work.Unit{Class: stmt.Read}, read, nil, nil)
	f := s.Run(context.Background(), r, func(frames []byte) error { got = append(got, string(frames)); return nil })
	g.Expect(f.Code).To(gomega.Equal(result.OK))
	g.Expect(got).To(gomega.Equal([]string{"row"}))
	g.Expect(<-o.late).To(gomega.MatchError(errOutrun))
	g.Expect(s.front.Counts().Hedged()).To(gomega.Equal(int64(1)))
	ran := len(o.ran)
	g.Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	g.Expect(o.ran).To(gomega.HaveLen(ran + 1))
	g.Expect(o.ran[ran]).NotTo(gomega.Equal(o.quiet))
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

// Guards against a unit that is run twice although it must stay where it is: a write, a read of a pinned session and a
// declared request.
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
		g.Expect((&attempt{unit: u}).repeatable()).To(gomega.BeFalse(), "%+v", u)
	}
	g.Expect((&attempt{unit: work.Unit{Class: stmt.Read}}).repeatable()).To(gomega.BeTrue())
}

// Guards against a read that fails because its second run did, although the first one can still answer.
func TestFirstRunCountsIfSecondFails(t *testing.T) {
	g := gomega.NewWithT(t)
	o, s := newQuiet(t)
	second := make(chan struct{}, 8)
	o.mu.Lock()
	o.answer = func(string, work.Unit, work.Sink) work.Final {
		second <- struct{}{}
		return work.FinalFromError(result.New(result.ServerBehind, "behind"))
	}
	o.mu.Unlock()
	go func() {
		stuck := <-o.stuck
		<-second
		stuck.answer <- struct{}{}
	}()
	var got []string
	r := caller.NewRequest(work.Unit{Class: stmt.Read}, read, nil, nil)
	f := s.Run(context.Background(), r, func(frames []byte) error { got = append(got, string(frames)); return nil })
	g.Expect(f.Code).To(gomega.Equal(result.OK))
	g.Expect(got).To(gomega.Equal([]string{"slow"}))
}

// Guards against a read that waits for the silent VM after all, because its second run came to a replica that is behind.
func TestReadGoesOnAfterReplicaBehind(t *testing.T) {
	g := gomega.NewWithT(t)
	o, s := newQuiet(t)
	before := len(o.ran)
	o.mu.Lock()
	o.answer = func(_ string, _ work.Unit, sink work.Sink) work.Final {
		if len(o.ran) == before+1 {
			return work.FinalFromError(result.New(result.ServerBehind, "behind"))
		}
		_ = sink([]byte("row"))
		return done()
	}
	o.mu.Unlock()
	g.Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	g.Expect(o.ran).To(gomega.HaveLen(before + 2))
	g.Expect(o.ran[before:]).NotTo(gomega.ContainElement(o.quiet))
}
