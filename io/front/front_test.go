package front

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/route"
	"verbenagate/core/stmt"
	"verbenagate/core/svcdef"
	"verbenagate/core/work"
	"verbenagate/io/caller"
)

// fakeOwners replaces the owners of all servers. Each server answers a unit with the result of answer.
type fakeOwners struct {
	mu           sync.Mutex
	answer       func(server string, u work.Unit, sink work.Sink) work.Final
	barrier      func() (work.BarrierConfirmation, error)
	ranOn        []string
	barrierCount int
	queries      []BarrierQuery
}

func (o *fakeOwners) Stream(_, server string) (work.Stream, error) {
	return &fakeStream{owners: o, server: server}, nil
}

func (o *fakeOwners) Owner(string, string) string { return "" }

func (o *fakeOwners) Barrier(_ context.Context, q BarrierQuery) (work.BarrierConfirmation, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.barrierCount++
	o.queries = append(o.queries, q)
	return o.barrier()
}

type fakeStream struct {
	owners *fakeOwners
	server string
}

func (s *fakeStream) Run(_ context.Context, u work.Unit, sink work.Sink) work.Final {
	s.owners.mu.Lock()
	defer s.owners.mu.Unlock()
	s.owners.ranOn = append(s.owners.ranOn, s.server)
	return s.owners.answer(s.server, u, sink)
}

func (s *fakeStream) Cancel() {}
func (s *fakeStream) Close()  {}

type discardLogger struct{}

func (discardLogger) Event(event.ID, ...zap.Field) {}

type fakeIdempotencyKeys struct{ key *work.OnceKey }

func (n fakeIdempotencyKeys) Key(caller.Request) (*work.OnceKey, error) { return n.key, nil }

type noParser struct{}

func (noParser) Parse(string) ([]stmt.Info, error) { return nil, nil }

var (
	read  = []stmt.Info{stmt.NewInfo(stmt.Read, stmt.EffectNone, 1, []string{"plot"}, "")}
	write = []stmt.Info{stmt.NewInfo(stmt.Write, stmt.EffectNone, 2, []string{"plot"}, "")}
)

// newSession returns a session of a service with the primary "p" and the replicas "r1" and "r2", all at term 1, position 10.
func newSession(t *testing.T, o *fakeOwners, key *work.OnceKey) *Session {
	spec := svcdef.Spec{Name: "dues", Timeout: 5 * time.Second}
	for _, a := range []string{"p", "r1", "r2"} {
		spec.Servers = append(spec.Servers, svcdef.ServerSpec{Address: a, DataCentre: "east", Slots: 3, Connections: 35})
	}
	if o.barrier == nil {
		o.barrier = func() (work.BarrierConfirmation, error) {
			return work.NewBarrierConfirmation(point.New(1, 10), nil, []work.ServerInfo{
				info("p", port.RolePrimary, 10), info("r1", port.RoleReplica, 10), info("r2", port.RoleReplica, 10),
			}), nil
		}
	}
	f := New(Config{
		DataCentre: "east", Owners: o, Parser: noParser{}, Costs: route.NewCosts(1, 4), BarrierWait: time.Second,
		NewIdempotencyKeys: func(svcdef.Service) IdempotencyKeys { return fakeIdempotencyKeys{key} }, Logger: discardLogger{}, Now: time.Now,
	})
	f.Configure([]svcdef.Service{svcdef.New(spec)})
	opened, err := f.Open(context.Background(), "dues", "ann")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	s := opened.(*Session)
	<-s.openBarrierDone
	return s
}

func info(address string, r port.Role, applied uint64) work.ServerInfo {
	return work.ServerInfo{Address: address, Role: r, Term: 1, Applied: applied}
}

func okFinal() work.Final { return work.Final{Code: result.OK, Status: work.TxIdle} }

func run(s *Session, infos []stmt.Info) work.Final {
	r := caller.NewRequest(work.Unit{Class: infos[0].Class()}, infos, nil, nil)
	return s.Run(context.Background(), r, func([]byte) error { return nil })
}

// Guards against losing the routing tables of all services when the definition of one service changes: the VM would then have to
// find all primaries again.
func TestOtherServicesKeepRoutes(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &fakeOwners{}
	o.answer = func(string, work.Unit, work.Sink) work.Final { return okFinal() }
	s := newSession(t, o, nil)
	def, _ := s.front.Service("dues")
	barriersBefore := o.barrierCount
	s.front.Configure([]svcdef.Service{svcdef.New(def.Spec()), svcdef.New(svcdef.Spec{Name: "rent"})})
	g.Expect(run(s, write).Code).To(gomega.Equal(result.OK))
	g.Expect(o.barrierCount).To(gomega.Equal(barriersBefore))
	spec := def.Spec()
	spec.Timeout = 7 * time.Second
	s.front.Configure([]svcdef.Service{svcdef.New(spec)})
	changed, _ := s.front.Service("dues")
	g.Expect(changed.Timeout()).To(gomega.Equal(7 * time.Second))
}

// Guards against a stale read: after a write of the session, a replica that has not yet applied this write answers the read.
func TestReadFollowsOwnWrite(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &fakeOwners{}
	o.answer = func(server string, u work.Unit, _ work.Sink) work.Final {
		f := okFinal()
		if u.Class == stmt.Write {
			f.Term, f.Position = 1, 11
			return f
		}
		if !point.New(1, 10).Covers(u.Required()) && server != "p" {
			f = work.FinalFromError(result.New(result.ServerBehind, "behind"))
			i := info(server, port.RoleReplica, 10)
			f.Info = &i
		}
		return f
	}
	s := newSession(t, o, nil)
	g.Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	g.Expect(o.ranOn[0]).To(gomega.HavePrefix("r"), "a read whose required point the replicas have reached must run on a replica")
	g.Expect(run(s, write).Code).To(gomega.Equal(result.OK))
	g.Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	g.Expect(o.ranOn[len(o.ranOn)-1]).To(gomega.Equal("p"))
}

// Guards against retrying a unit whose outcome is unknown, and against failing a unit that did not run without a retry. A
// declared request with an unknown outcome is retried unless a part of its answer was sent.
func TestOnlyNotRunIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name        string
		code        result.Code
		once        *work.OnceKey
		sendsFrames bool
		runs        int
	}{
		{"not run", result.ConnectFailed, nil, false, 2},
		{"unknown", result.ConnectionLost, nil, false, 1},
		{"unknown, declared request", result.ConnectionLost, &work.OnceKey{Key: "k"}, false, 2},
		{"unknown, declared request, part of the answer sent", result.ConnectionLost, &work.OnceKey{Key: "k"}, true, 1},
		{"unsupported", result.Unsupported, nil, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			o := &fakeOwners{}
			o.answer = func(_ string, _ work.Unit, sink work.Sink) work.Final {
				if len(o.ranOn) > 1 {
					return okFinal()
				}
				if c.sendsFrames {
					_ = sink([]byte("row"))
				}
				return work.FinalFromError(result.New(c.code, "first attempt"))
			}
			f := run(newSession(t, o, c.once), write)
			g.Expect(o.ranOn).To(gomega.HaveLen(c.runs))
			g.Expect(f.Code == result.OK).To(gomega.Equal(c.runs == 2))
		})
	}
}

// Guards against reporting a declared request as not run because its retry did not run, although the first attempt may have taken
// effect.
func TestRepetitionNotRunLeavesOutcomeUnknown(t *testing.T) {
	for _, code := range []result.Code{result.QueueFull, result.NotPermitted, result.Cancelled} {
		t.Run(code.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			o := &fakeOwners{}
			o.answer = func(string, work.Unit, work.Sink) work.Final {
				if len(o.ranOn) > 1 {
					return work.FinalFromError(result.New(code, "retry"))
				}
				return work.FinalFromError(result.New(result.AnswerLost, "first attempt"))
			}
			f := run(newSession(t, o, &work.OnceKey{Key: "k"}), write)
			g.Expect(o.ranOn).To(gomega.HaveLen(2))
			g.Expect(f.Code).To(gomega.Equal(result.AnswerLost))
			g.Expect(f.Message).To(gomega.Equal("first attempt"))
		})
	}
}

// Guards against a pinned session that continues without its settings, or assumes that its transaction has ended, after a unit
// that lost the connection or did not run.
func TestSessionStateLost(t *testing.T) {
	pin := []stmt.Info{stmt.NewInfo(stmt.Unknown, stmt.EffectPin, 3, nil, "")}
	for _, code := range []result.Code{result.NoServer, result.DeadlineTooClose, result.RolledBack, result.Cancelled, result.OK} {
		for _, lost := range []bool{true, false} {
			t.Run(fmt.Sprint(code, lost), func(t *testing.T) {
				g := gomega.NewWithT(t)
				o := &fakeOwners{answer: func(string, work.Unit, work.Sink) work.Final { return okFinal() }}
				s := newSession(t, o, nil)
				g.Expect(run(s, pin).Code).To(gomega.Equal(result.OK))
				o.answer = func(string, work.Unit, work.Sink) work.Final {
					return work.Final{Code: code, Status: work.TxIdle, StreamLost: lost}
				}
				g.Expect(run(s, read).Code).To(gomega.Equal(code))
				g.Expect(s.Err() != nil).To(gomega.Equal(lost))
			})
		}
	}
}

// Guards against a pinned session that keeps its connection to a server which accepts no new work, so that all its later units
// fail. A transaction may continue there, and a full queue is only temporary.
func TestSessionLeavesServer(t *testing.T) {
	pin := []stmt.Info{stmt.NewInfo(stmt.Unknown, stmt.EffectPin, 3, nil, "")}
	for _, code := range []result.Code{result.NotOwner, result.ServerLeaving, result.QueueFull} {
		for _, status := range []work.TxStatus{work.TxIdle, work.TxActive} {
			t.Run(fmt.Sprint(code, string(status)), func(t *testing.T) {
				g := gomega.NewWithT(t)
				o := &fakeOwners{answer: func(string, work.Unit, work.Sink) work.Final {
					return work.Final{Code: result.OK, Status: status}
				}}
				s := newSession(t, o, nil)
				g.Expect(run(s, pin).Code).To(gomega.Equal(result.OK))
				o.answer = func(string, work.Unit, work.Sink) work.Final {
					return work.Final{Code: code, Status: status}
				}
				g.Expect(run(s, read).Code).To(gomega.Equal(code))
				g.Expect(s.Err() != nil).To(gomega.Equal(code != result.QueueFull && status == work.TxIdle))
			})
		}
	}
}

// Guards against a session that assumes its transaction has ended although it is still open on the server. This happens if a
// cancel request arrives just before a unit of the transaction is sent, so that the unit does not run.
func TestCancelBeforeUnitKeepsStatus(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &fakeOwners{answer: func(string, work.Unit, work.Sink) work.Final {
		return work.Final{Code: result.OK, Status: work.TxActive}
	}}
	s := newSession(t, o, nil)
	g.Expect(run(s, write).Status).To(gomega.Equal(work.TxActive))
	s.Cancel()
	f := s.runOnHeldStream(context.Background(),
		&attemptState{unit: work.Unit{Class: stmt.Read}, deadline: time.Now().Add(time.Minute)})
	g.Expect(f.Code).To(gomega.Equal(result.Cancelled))
	g.Expect(f.Status).To(gomega.Equal(work.TxActive))
	g.Expect(o.ranOn).To(gomega.HaveLen(1))
}

// Guards against a read that requests a barrier before it has tried all servers. In a data centre that is cut off no barrier
// succeeds. The read tries the unreachable replicas first, and then the primary, which is reachable.
func TestUnreachableServersCostNoBarrier(t *testing.T) {
	for _, code := range []result.Code{result.PeerUnreachable, result.ConnectFailed} {
		g := gomega.NewWithT(t)
		o := &fakeOwners{}
		o.answer = func(server string, _ work.Unit, _ work.Sink) work.Final {
			if server != "p" {
				return work.FinalFromError(result.New(code, "unreachable"))
			}
			return okFinal()
		}
		g.Expect(run(newSession(t, o, nil), read).Code).To(gomega.Equal(result.OK))
		g.Expect(o.ranOn).To(gomega.HaveLen(3))
		g.Expect(o.ranOn[2]).To(gomega.Equal("p"))
		g.Expect(o.barrierCount).To(gomega.Equal(1)) // by Open
	}
}

// Guards against a stale read in a data centre that is cut off: without a barrier the session's required point is unknown, and
// the read must fail.
func TestNoBarrierNoRead(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &fakeOwners{}
	o.barrier = func() (work.BarrierConfirmation, error) {
		return work.BarrierConfirmation{}, result.New(result.PositionUnknown, "no majority")
	}
	f := run(newSession(t, o, nil), read)
	g.Expect(f.Code).To(gomega.Equal(result.PositionUnknown))
	g.Expect(o.ranOn).To(gomega.BeEmpty())
}

// Guards against a session that waits for the writes of all callers although the barrier gave its caller's own required point.
// Also guards against a session that requires only its own acknowledged writes after a write of unknown outcome, which may have
// taken effect without an acknowledgement.
func TestSessionRequiresOwnWrites(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &fakeOwners{}
	o.barrier = func() (work.BarrierConfirmation, error) {
		required := map[string]point.Point{"ann": point.New(1, 7)}
		return work.NewBarrierConfirmation(point.New(1, 10), required, []work.ServerInfo{info("p", port.RolePrimary, 10)}), nil
	}
	var required point.Point
	o.answer = func(_ string, u work.Unit, _ work.Sink) work.Final {
		if u.Class == stmt.Write {
			return work.FinalFromError(result.New(result.ConnectionLost, "lost"))
		}
		required = u.Required()
		return okFinal()
	}
	s := newSession(t, o, nil)
	g.Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	g.Expect(required).To(gomega.Equal(point.New(1, 7)))
	g.Expect(run(s, write).Code).To(gomega.Equal(result.ConnectionLost))
	g.Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	g.Expect(required).To(gomega.Equal(point.New(1, 10)))
	g.Expect(o.queries).To(gomega.HaveLen(2))
	g.Expect(o.queries[0].Callers).To(gomega.Equal([]string{"ann"}))
	g.Expect(o.queries[1]).To(gomega.Equal(BarrierQuery{Service: "dues", Primary: "p"}))
}

// Guards against a stale read after a write of unknown outcome: the session uses the old barrier of its opening again instead of
// requesting a new one.
func TestReadAfterUnknownOutcomeTakesBarrier(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &fakeOwners{}
	var required point.Point
	o.answer = func(_ string, u work.Unit, _ work.Sink) work.Final {
		if u.Class == stmt.Write {
			return work.FinalFromError(result.New(result.ConnectionLost, "lost"))
		}
		required = u.Required()
		return okFinal()
	}
	s := newSession(t, o, nil)
	g.Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	g.Expect(required).To(gomega.Equal(point.New(1, 10)))
	g.Expect(run(s, write).Code).To(gomega.Equal(result.ConnectionLost))
	o.mu.Lock()
	o.barrier = func() (work.BarrierConfirmation, error) {
		return work.NewBarrierConfirmation(point.New(1, 11), nil, nil), nil
	}
	o.mu.Unlock()
	g.Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	g.Expect(required).To(gomega.Equal(point.New(1, 11)))
}

// Guards against a write that fails during a failover instead of waiting for the new primary.
func TestWriteWaitsForPrimary(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &fakeOwners{}
	o.answer = func(server string, _ work.Unit, _ work.Sink) work.Final {
		if server == "p" {
			return work.FinalFromError(result.New(result.NotPrimary, "another server is primary"))
		}
		return okFinal()
	}
	s := newSession(t, o, nil)
	requests := 0
	o.mu.Lock()
	o.barrier = func() (work.BarrierConfirmation, error) {
		if requests++; requests < 4 {
			return work.BarrierConfirmation{}, fmt.Errorf("promotion in progress")
		}
		next := info("r1", port.RolePrimary, 11)
		next.Term = 2
		return work.NewBarrierConfirmation(point.New(2, 11), nil, []work.ServerInfo{next}), nil
	}
	o.mu.Unlock()
	g.Expect(run(s, write).Code).To(gomega.Equal(result.OK))
	g.Expect(o.ranOn[len(o.ranOn)-1]).To(gomega.Equal("r1"))
}

// Guards against one barrier request per session when many callers reconnect at once, and against sharing a request that started
// before the session called.
func TestBarriersAreShared(t *testing.T) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	position := uint64(0)
	release := make(chan struct{})
	coalescer := newBarrierCoalescer(func(context.Context, []string) (work.BarrierConfirmation, error) {
		mu.Lock()
		p := position
		mu.Unlock()
		<-release
		return work.NewBarrierConfirmation(point.New(1, p), nil, nil), nil
	})
	var wg sync.WaitGroup
	request := func(minPosition uint64) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got, err := coalescer.request(context.Background(), "ann", time.Minute)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.Point().Position()).To(gomega.BeNumerically(">=", minPosition))
		}()
	}
	request(0)
	g.Eventually(func() int64 { n, _ := coalescer.counts(); return n }).Should(gomega.Equal(int64(1)))
	mu.Lock()
	position = 7
	mu.Unlock()
	for range 100 {
		request(7)
	}
	g.Eventually(func() int64 { _, n := coalescer.counts(); return n }).Should(gomega.Equal(int64(99)))
	close(release)
	wg.Wait()
	requests, _ := coalescer.counts()
	g.Expect(requests).To(gomega.Equal(int64(2)))
}
