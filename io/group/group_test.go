package group

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/failov"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
)

// fakeServer is an in-memory server whose status and errors a test sets.
type fakeServer struct {
	mu     sync.Mutex
	status port.Status
	err    error
	polls  int
	// blocked, if set, delays the answers to status requests until it is closed.
	blocked chan struct{}
}

func (f *fakeServer) update(change func(*fakeServer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeServer) pollCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.polls
}

// answer counts the request and applies change to the status, or returns the set error.
func (f *fakeServer) answer(change func(*port.Status) error) (port.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls++
	if f.err != nil {
		return port.Status{}, f.err
	}
	err := change(&f.status)
	return f.status, err
}

func (f *fakeServer) Status(context.Context) (port.Status, error) {
	var blocked chan struct{}
	st, err := f.answer(func(*port.Status) error {
		blocked = f.blocked
		return nil
	})
	if blocked != nil {
		<-blocked
	}
	return st, err
}

func (f *fakeServer) Fence(_ context.Context, term uint64) (port.Status, error) {
	return f.answer(func(s *port.Status) error {
		if term <= s.Promised {
			return errors.New("promised already")
		}
		s.Promised = term
		return nil
	})
}

func (f *fakeServer) Promote(_ context.Context, term uint64) (port.Status, error) {
	return f.answer(func(s *port.Status) error {
		s.Role, s.Term, s.Promised = port.RolePrimary, term, term
		return nil
	})
}

func (f *fakeServer) Follow(_ context.Context, term uint64, _ string) (port.Status, error) {
	return f.answer(func(s *port.Status) error {
		s.Role, s.Term, s.Promised = port.RoleReplica, term, term
		return nil
	})
}

func (f *fakeServer) Close() {}

// unavailableTable is a table service that fails every request.
type unavailableTable struct{}

func (unavailableTable) Get(context.Context, string) (port.Record, error) {
	return port.Record{}, result.New(result.StoreUnavailable, "down")
}

func (unavailableTable) List(context.Context, string, string, int) ([]port.Record, error) {
	return nil, nil
}

func (unavailableTable) Commit(context.Context, []port.VersionCheck, []port.Write) error {
	return result.New(result.StoreUnavailable, "down")
}

type discardLogger struct{}

func (discardLogger) Event(event.ID, ...zap.Field) {}

var errRefused = errors.New("connection refused")

// newGroup watches a primary "a" and the replicas "b" and "c", all at term 1 and position 10, with the store down.
func newGroup(t *testing.T) (*Group, map[string]*fakeServer) {
	return newGroupWith(t, func(*Config) {})
}

// newBudgetGroup is newGroup on a VM that watches two more groups, which gives a polling interval of 1.9 s for replicas.
func newBudgetGroup(t *testing.T) (*Group, map[string]*fakeServer) {
	budget := new(PollBudget)
	budget.add(2, 6)
	return newGroupWith(t, func(cfg *Config) { cfg.Settings.Budget = budget })
}

func newGroupWith(t *testing.T, change func(*Config)) (*Group, map[string]*fakeServer) {
	servers := map[string]*fakeServer{}
	spec := svcdef.Spec{Name: "dues"}
	for _, a := range []string{"a", "b", "c"} {
		st := port.Status{Term: 1, Promised: 1, Received: 10, Applied: 10, Role: port.RoleReplica}
		if a == "a" {
			st.Role = port.RolePrimary
		}
		servers[a] = &fakeServer{status: st}
		spec.Servers = append(spec.Servers, svcdef.ServerSpec{Address: a, DataCentre: "east", Slots: 3, Connections: 35})
	}
	cfg := Config{
		Service: svcdef.New(spec), VM: "vm1", Dial: func(a string) Server { return servers[a] }, Table: unavailableTable{},
		Settings: Settings{
			Interval: 10 * time.Millisecond, StatusTimeout: time.Second, Limits: failov.NewLimits(time.Second, time.Second, 2),
		},
		IsRefused:       func(err error) bool { return errors.Is(err, errRefused) },
		PeerAssessments: func(context.Context) []failov.Health { return nil },
		Rank:            func() int { return 0 },
		Quiesce:         func(context.Context, string) bool { return false },
		Logger:          discardLogger{}, Now: time.Now,
	}
	change(&cfg)
	g := New(cfg)
	t.Cleanup(g.Close)
	return g, servers
}

// Guards against barriers and acknowledgements that only a minority of the servers confirms.
func TestConfirmation(t *testing.T) {
	g := gomega.NewWithT(t)
	grp, servers := newGroup(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	p, err := grp.Barrier(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(p).To(gomega.Equal(point.New(1, 10)))
	g.Expect(grp.Confirm(ctx, point.New(1, 10))).To(gomega.Succeed())

	short, stop := context.WithTimeout(ctx, 200*time.Millisecond)
	defer stop()
	err = grp.Confirm(short, point.New(1, 11))
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.QuorumNotReached), "no replica holds position 11")
	for _, a := range []string{"b", "c"} {
		servers[a].update(func(f *fakeServer) { f.status.Promised = 2 })
	}
	short, stop = context.WithTimeout(ctx, 200*time.Millisecond)
	defer stop()
	_, err = grp.Barrier(short)
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.PositionUnknown), "a majority has promised a newer term")
}

// Guards against a promotion by a watcher that has been replaced and may have an old definition of the group, and against a
// replaced watcher that no longer confirms commits in progress.
func TestStopSupervising(t *testing.T) {
	g := gomega.NewWithT(t)
	group, _ := newGroup(t)
	group.StopSupervising()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		group.supervise(t.Context())
	}()
	g.Eventually(ended, 10*time.Second).Should(gomega.BeClosed())
	g.Expect(group.Confirm(t.Context(), point.New(1, 10))).To(gomega.Succeed())
}

// Guards against a VM that was paused between a commit and its confirmation and then acknowledges the commit because of answers
// that were sent before another server was promoted.
func TestConfirmationAfterPause(t *testing.T) {
	g := gomega.NewWithT(t)
	var paused atomic.Int64
	grp, servers := newGroupWith(t, func(cfg *Config) {
		spec := cfg.Service.Spec()
		spec.Ack = svcdef.AckPrimary
		cfg.Service = svcdef.New(spec)
		cfg.Settings.Interval = time.Hour // servers are polled only at the start and for the confirmation
		cfg.Now = func() time.Time { return time.Now().Add(time.Duration(paused.Load())) }
	})
	for a := range servers {
		g.Eventually(func() bool { _, _, ok := grp.Status(a); return ok }, 10*time.Second).Should(gomega.BeTrue())
	}
	firstAnswer, secondAnswer := make(chan struct{}), make(chan struct{})
	releaseFirst, releaseSecond := sync.OnceFunc(func() { close(firstAnswer) }), sync.OnceFunc(func() { close(secondAnswer) })
	t.Cleanup(releaseSecond) // before the group closes, also if the test fails
	t.Cleanup(releaseFirst)
	for _, a := range []string{"b", "c"} {
		servers[a].update(func(f *fakeServer) { f.blocked, f.polls = firstAnswer, 0 })
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- grp.Confirm(ctx, point.New(1, 11)) }()
	for _, a := range []string{"b", "c"} {
		g.Eventually(servers[a].pollCount, 10*time.Second).Should(gomega.Equal(1))
		servers[a].update(func(f *fakeServer) { f.blocked, f.status.Promised = secondAnswer, 2 })
	}
	paused.Store(int64(2 * time.Second))
	releaseFirst()
	for _, a := range []string{"b", "c"} {
		g.Eventually(servers[a].pollCount, 10*time.Second).Should(gomega.Equal(2), "the first answer has arrived")
	}
	// Confirm polls "a" again each time it has checked the answers without success.
	n := servers["a"].pollCount()
	g.Eventually(func() bool { return len(done) > 0 || servers["a"].pollCount() > n+2 }, 10*time.Second).Should(gomega.BeTrue())
	releaseSecond()
	g.Expect(result.CodeOf(<-done)).To(gomega.Equal(result.QuorumNotReached))
}

// Guards against a VM that floods an unreachable server with connections while its callers wait.
func TestPollsOfDeadServerAreLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	grp, servers := newGroup(t)
	for _, f := range servers {
		f.update(func(f *fakeServer) { f.err, f.polls = errRefused, 0 })
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := grp.Barrier(ctx)
	g.Expect(err).To(gomega.HaveOccurred())
	for a, f := range servers {
		g.Expect(f.pollCount()).To(gomega.BeNumerically("<=", int(time.Second/minPollIntervalAfterError)+2), a)
	}
}

// Guards against a promotion without a unique term: with the store down and no term reserved, no promotion is possible.
func TestNoTermNoPromotion(t *testing.T) {
	g := gomega.NewWithT(t)
	grp, servers := newGroup(t)
	g.Eventually(func() string { a, _ := grp.Primary(); return a }, 5*time.Second).Should(gomega.Equal("a"))
	roleOfB := func() port.Role {
		st, _, _ := grp.Status("b")
		return st.Role
	}
	g.Eventually(roleOfB, 5*time.Second).Should(gomega.Equal(port.RoleReplica))
	servers["a"].update(func(f *fakeServer) { f.err = errRefused })
	g.Consistently(roleOfB, 2*time.Second).Should(gomega.Equal(port.RoleReplica))
	// A term that was reserved while the store was up is enough.
	grp.mu.Lock()
	grp.reservedTerm = 5
	grp.mu.Unlock()
	g.Eventually(func() uint64 { _, term := grp.Primary(); return term }, 10*time.Second).Should(gomega.Equal(uint64(5)))
}

// Guards against replicas that are polled at their long interval while the primary does not answer, so that the VM cannot
// assess the primary, and against a close watch that goes on after the primary has answered again.
func TestReplicasArePolledFastDuringFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	grp, servers := newBudgetGroup(t)
	slow := func() bool {
		grp.mu.Lock()
		defer grp.mu.Unlock()
		return grp.serverByAddress("a").interval > 400*time.Millisecond && grp.serverByAddress("b").interval > time.Second
	}
	g.Eventually(slow, 10*time.Second).Should(gomega.BeTrue())
	servers["a"].update(func(f *fakeServer) { f.err = errors.New("no answer") })
	grp.RequestPoll("a")
	g.Eventually(func() int { return servers["b"].pollCount() }, 10*time.Second).Should(
		gomega.BeNumerically(">", servers["b"].pollCount()+20))
	g.Eventually(func() failov.Health { return grp.Health(time.Now()) }, 10*time.Second).Should(gomega.Equal(failov.Silent))
	servers["a"].update(func(f *fakeServer) { f.err = nil })
	g.Eventually(slow, 10*time.Second).Should(gomega.BeTrue())
	g.Expect(grp.Health(time.Now())).To(gomega.Equal(failov.Healthy))
}

// Guards against a watcher that keeps using a replaced primary until the next poll of a replica, at its long interval, shows
// the new one.
func TestFencedPrimaryStartsCloseWatch(t *testing.T) {
	g := gomega.NewWithT(t)
	grp, servers := newBudgetGroup(t)
	g.Eventually(func() string { a, _ := grp.Primary(); return a }, 10*time.Second).Should(gomega.Equal("a"))
	servers["a"].update(func(f *fakeServer) { f.status.Promised = 2 })
	grp.RequestPoll("a")
	g.Eventually(func() time.Duration {
		grp.mu.Lock()
		defer grp.mu.Unlock()
		return grp.serverByAddress("b").interval
	}, 10*time.Second).Should(gomega.Equal(grp.cfg.Settings.Interval))
	servers["b"].update(func(f *fakeServer) { f.status.Role, f.status.Term, f.status.Promised = port.RolePrimary, 2, 2 })
	g.Eventually(func() string { a, _ := grp.Primary(); return a }, 10*time.Second).Should(gomega.Equal("b"))
}

// Guards against reads with a maximum age that are refused on an idle group because its last polls are older than that age.
func TestRenewProvesAge(t *testing.T) {
	g := gomega.NewWithT(t)
	var clock atomic.Int64
	now := func() time.Time { return time.Unix(1000, clock.Load()) }
	grp, _ := newGroupWith(t, func(cfg *Config) { cfg.Settings.Interval, cfg.Now = time.Hour, now })
	g.Eventually(func() bool { _, ok := grp.Age(now(), "b"); return ok }, 10*time.Second).Should(gomega.BeTrue())
	clock.Store(int64(2 * time.Hour))
	g.Eventually(func() time.Duration {
		clock.Add(1) // a status counts only if it was requested after the call
		grp.RefreshAge(context.Background(), "b")
		age, _ := grp.Age(now(), "b")
		return age
	}, 10*time.Second).Should(gomega.BeNumerically("<", time.Second))
}
