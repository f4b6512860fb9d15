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

// fakeOwners stands for all owners: each server answers with the result of answer.
type fakeOwners struct {
	mu      sync.Mutex
	answer  func(server string, u work.Unit, sink work.Sink) work.Final
	barrier func() (work.BarrierConfirmation, error)
	ran     []string
	asked   int
	queries []Query
}

func (o *fakeOwners) Stream(_, server string) (work.Stream, error) {
	return &fakeStream{owners: o, server: server}, nil
}

func (o *fakeOwners) Owner(string, string) string { return "" }

func (o *fakeOwners) Barrier(_ context.Context, q Query) (work.BarrierConfirmation, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
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
	s.owners.ran = append(s.owners.ran, s.server)
	return s.owners.answer(s.server, u, sink)
}

func (s *fakeStream) Cancel() {}
func (s *fakeStream) Close()  {}

type silent struct{}

func (silent) Event(event.ID, ...zap.Field) {}

type noRequests struct{ key *work.OnceKey }

func (n noRequests) Key(caller.Request) (*work.OnceKey, error) { return n.key, nil }

type noParser struct{}

func (noParser) Parse(string) ([]stmt.Info, error) { return nil, nil }

var (
	read  = []stmt.Info{stmt.NewInfo(stmt.Read, stmt.EffectNone, 1, []string{"plot"}, "")}
	write = []stmt.Info{stmt.NewInfo(stmt.Write, stmt.EffectNone, 2, []string{"plot"}, "")}
)

// newSession returns a session of a service with the primary "p" and the replicas "r1" and "r2" at point 1/10.
func newSession(t *testing.T, o *fakeOwners, once *work.OnceKey) *Session {
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
		Requests: func(svcdef.Service) Requests { return noRequests{once} }, Logger: silent{}, Now: time.Now,
	})
	f.Configure([]svcdef.Service{svcdef.New(spec)})
	opened, err := f.Open(context.Background(), "dues", "ann")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	s := opened.(*Session)
	<-s.first
	return s
}

func info(address string, r port.Role, applied uint64) work.ServerInfo {
	return work.ServerInfo{Address: address, Role: r, Term: 1, Applied: applied}
}

func done() work.Final { return work.Final{Code: result.OK, Status: work.TxIdle} }

func run(s *Session, infos []stmt.Info) work.Final {
	r := caller.NewRequest(work.Unit{Class: infos[0].Class()}, infos, nil, nil)
	return s.Run(context.Background(), r, func([]byte) error { return nil })
}

// Guards against a change of one service that makes the VM look for the primaries of all others.
func TestOtherServicesKeepRoutes(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &fakeOwners{}
	o.answer = func(string, work.Unit, work.Sink) work.Final { return done() }
	s := newSession(t, o, nil)
	def, _ := s.front.Service("dues")
	asked := o.asked
	s.front.Configure([]svcdef.Service{svcdef.New(def.Spec()), svcdef.New(svcdef.Spec{Name: "rent"})})
	g.Expect(run(s, write).Code).To(gomega.Equal(result.OK))
	g.Expect(o.asked).To(gomega.Equal(asked))
	spec := def.Spec()
	spec.Timeout = 7 * time.Second
	s.front.Configure([]svcdef.Service{svcdef.New(spec)})
	changed, _ := s.front.Service("dues")
	g.Expect(changed.Timeout()).To(gomega.Equal(7 * time.Second))
}

// Guards against a read that a replica answers from before the session's own write.
func TestReadFollowsOwnWrite(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &fakeOwners{}
	o.answer = func(server string, u work.Unit, _ work.Sink) work.Final {
		f := done()
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
	g.Expect(o.ran[0]).To(gomega.HavePrefix("r"), "a read that needs no newer data belongs on a replica")
	g.Expect(run(s, write).Code).To(gomega.Equal(result.OK))
	g.Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	g.Expect(o.ran[len(o.ran)-1]).To(gomega.Equal("p"))
}

// Guards against a unit that is run again although its outcome is unknown, and against giving up on one that did not run.
func TestOnlyNotRunIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name  string
		code  result.Code
		once  *work.OnceKey
		sends bool
		runs  int
	}{
		{"not run", result.ConnectFailed, nil, false, 2},
		{"unknown", result.ConnectionLost, nil, false, 1},
		{"unknown but declared", result.ConnectionLost, &work.OnceKey{Key: "k"}, false, 2},
		{"unknown after a part of the answer", result.ConnectionLost, &work.OnceKey{Key: "k"}, true, 1},
		{"unsupported", result.Unsupported, nil, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			o := &fakeOwners{}
			o.answer = func(_ string, _ work.Unit, sink work.Sink) work.Final {
				if len(o.ran) > 1 {
					return done()
				}
				if c.sends {
					_ = sink([]byte("row"))
				}
				return work.FinalFromError(result.New(c.code, "first attempt"))
			}
			f := run(newSession(t, o, c.once), write)
			g.Expect(o.ran).To(gomega.HaveLen(c.runs))
			g.Expect(f.Code == result.OK).To(gomega.Equal(c.runs == 2))
		})
	}
}

// Guards against a declared request that is reported as not run, because its repetition did not run, although the first
// attempt took effect.
func TestRepetitionNotRunLeavesOutcomeUnknown(t *testing.T) {
	for _, code := range []result.Code{result.QueueFull, result.NotPermitted, result.Cancelled} {
		t.Run(code.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			o := &fakeOwners{}
			o.answer = func(string, work.Unit, work.Sink) work.Final {
				if len(o.ran) > 1 {
					return work.FinalFromError(result.New(code, "repetition"))
				}
				return work.FinalFromError(result.New(result.AnswerLost, "first attempt"))
			}
			f := run(newSession(t, o, &work.OnceKey{Key: "k"}), write)
			g.Expect(o.ran).To(gomega.HaveLen(2))
			g.Expect(f.Code).To(gomega.Equal(result.AnswerLost))
			g.Expect(f.Message).To(gomega.Equal("first attempt"))
		})
	}
}

// Guards against a session that goes on without its settings, and a transaction that is taken for ended, after the end of
// a unit that lost the connection or did not run.
func TestSessionStateLost(t *testing.T) {
	pin := []stmt.Info{stmt.NewInfo(stmt.Unknown, stmt.EffectPin, 3, nil, "")}
	for _, code := range []result.Code{result.NoServer, result.DeadlineTooClose, result.RolledBack, result.Cancelled, result.OK} {
		for _, gone := range []bool{true, false} {
			t.Run(fmt.Sprint(code, gone), func(t *testing.T) {
				g := gomega.NewWithT(t)
				o := &fakeOwners{answer: func(string, work.Unit, work.Sink) work.Final { return done() }}
				s := newSession(t, o, nil)
				g.Expect(run(s, pin).Code).To(gomega.Equal(result.OK))
				o.answer = func(string, work.Unit, work.Sink) work.Final {
					return work.Final{Code: code, Status: work.TxIdle, StreamLost: gone}
				}
				g.Expect(run(s, read).Code).To(gomega.Equal(code))
				g.Expect(s.Err() != nil).To(gomega.Equal(gone))
			})
		}
	}
}

// Guards against a session with settings that stays with a server which takes no new work, and gets nothing but errors.
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

// Guards against a cancel request that comes just before a unit of a transaction is sent and leaves the transaction open on
// the server while the session takes it for ended.
func TestCancelBeforeUnitKeepsStatus(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &fakeOwners{answer: func(string, work.Unit, work.Sink) work.Final {
		return work.Final{Code: result.OK, Status: work.TxActive}
	}}
	s := newSession(t, o, nil)
	g.Expect(run(s, write).Status).To(gomega.Equal(work.TxActive))
	s.Cancel()
	f := s.continueStream(context.Background(), &attempt{unit: work.Unit{Class: stmt.Read}, deadline: time.Now().Add(time.Minute)})
	g.Expect(f.Code).To(gomega.Equal(result.Cancelled))
	g.Expect(f.Status).To(gomega.Equal(work.TxActive))
	g.Expect(o.ran).To(gomega.HaveLen(1))
}

// Guards against a read that waits for a barrier, which nobody in a cut-off data centre can give, before it tries the
// server that can be reached. The replicas come first and are out of reach.
func TestUnreachableServersCostNoBarrier(t *testing.T) {
	for _, code := range []result.Code{result.PeerUnreachable, result.ConnectFailed} {
		g := gomega.NewWithT(t)
		o := &fakeOwners{}
		o.answer = func(server string, _ work.Unit, _ work.Sink) work.Final {
			if server != "p" {
				return work.FinalFromError(result.New(code, "cut off"))
			}
			return done()
		}
		g.Expect(run(newSession(t, o, nil), read).Code).To(gomega.Equal(result.OK))
		g.Expect(o.ran).To(gomega.HaveLen(3))
		g.Expect(o.ran[2]).To(gomega.Equal("p"))
		g.Expect(o.asked).To(gomega.Equal(1)) // when the session opened
	}
}

// Guards against a session in a cut-off data centre that reads without knowing what it must see.
func TestNoBarrierNoRead(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &fakeOwners{}
	o.barrier = func() (work.BarrierConfirmation, error) {
		return work.BarrierConfirmation{}, result.New(result.PositionUnknown, "no majority")
	}
	f := run(newSession(t, o, nil), read)
	g.Expect(f.Code).To(gomega.Equal(result.PositionUnknown))
	g.Expect(o.ran).To(gomega.BeEmpty())
}

// Guards against a session that requires the writes of all callers although the owner of the primary told what this caller
// must see, and against one that requires its own alone after a write of unknown outcome, which may have taken effect without
// an acknowledgement.
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
		return done()
	}
	s := newSession(t, o, nil)
	g.Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	g.Expect(required).To(gomega.Equal(point.New(1, 7)))
	g.Expect(run(s, write).Code).To(gomega.Equal(result.ConnectionLost))
	g.Expect(run(s, read).Code).To(gomega.Equal(result.OK))
	g.Expect(required).To(gomega.Equal(point.New(1, 10)))
	g.Expect(o.queries).To(gomega.HaveLen(2))
	g.Expect(o.queries[0].Callers).To(gomega.Equal([]string{"ann"}))
	g.Expect(o.queries[1]).To(gomega.Equal(Query{Service: "dues", Primary: "p"}))
}

// Guards against a read after a write of unknown outcome that takes the barrier from the session's opening for a new one.
func TestReadAfterUnknownOutcomeTakesBarrier(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &fakeOwners{}
	var required point.Point
	o.answer = func(_ string, u work.Unit, _ work.Sink) work.Final {
		if u.Class == stmt.Write {
			return work.FinalFromError(result.New(result.ConnectionLost, "lost"))
		}
		required = u.Required()
		return done()
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

// Guards against a failover that callers notice: a write waits for the new primary.
func TestWriteWaitsForPrimary(t *testing.T) {
	g := gomega.NewWithT(t)
	o := &fakeOwners{}
	o.answer = func(server string, _ work.Unit, _ work.Sink) work.Final {
		if server == "p" {
			return work.FinalFromError(result.New(result.NotPrimary, "replaced"))
		}
		return done()
	}
	s := newSession(t, o, nil)
	failed := 0
	o.mu.Lock()
	o.barrier = func() (work.BarrierConfirmation, error) {
		if failed++; failed < 4 {
			return work.BarrierConfirmation{}, fmt.Errorf("promotion under way")
		}
		next := info("r1", port.RolePrimary, 11)
		next.Term = 2
		return work.NewBarrierConfirmation(point.New(2, 11), nil, []work.ServerInfo{next}), nil
	}
	o.mu.Unlock()
	g.Expect(run(s, write).Code).To(gomega.Equal(result.OK))
	g.Expect(o.ran[len(o.ran)-1]).To(gomega.Equal("r1"))
}

// Guards against one barrier request per caller when many reconnect at once, and against sharing a request that began
// before a caller asked.
func TestBarriersAreShared(t *testing.T) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	position := uint64(0)
	release := make(chan struct{})
	b := newBarriers(func(context.Context, []string) (work.BarrierConfirmation, error) {
		mu.Lock()
		p := position
		mu.Unlock()
		<-release
		return work.NewBarrierConfirmation(point.New(1, p), nil, nil), nil
	})
	var wg sync.WaitGroup
	ask := func(least uint64) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got, err := b.request(context.Background(), "ann", time.Minute)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.Point().Position()).To(gomega.BeNumerically(">=", least))
		}()
	}
	ask(0)
	g.Eventually(func() int64 { n, _ := b.counts(); return n }).Should(gomega.Equal(int64(1)))
	mu.Lock()
	position = 7
	mu.Unlock()
	for range 100 {
		ask(7)
	}
	g.Eventually(func() int64 { _, n := b.counts(); return n }).Should(gomega.Equal(int64(99)))
	close(release)
	wg.Wait()
	asked, _ := b.counts()
	g.Expect(asked).To(gomega.Equal(int64(2)))
}
