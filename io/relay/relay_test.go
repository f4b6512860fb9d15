package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"verbenagate/core/eras"
	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/io/link"
	"verbenagate/io/watch"
	"verbenagate/platform"
)

// testTables has a table in which values that begin with the same byte are equal, and one with an urgent row.
var testTables = map[string]Table{
	"t": {Meaning: func(value []byte) any {
		if len(value) == 0 {
			return nil
		}
		return value[0]
	}},
	"urgent": {UrgentKey: "a"},
}

type discardLogger struct{}

func (discardLogger) Event(event.ID, ...zap.Field) {}

// fakeStore is a store with one table, which the test changes. It counts its calls.
type fakeStore struct {
	mu           sync.Mutex
	rows         map[string]port.Row
	version      eras.Position
	changed      chan struct{}
	down         bool
	historyGone  bool // calls for changes fail
	lists        int
	changesCalls int
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: make(map[string]port.Row), changed: make(chan struct{})}
}

func (f *fakeStore) put(key, value string, deleted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows[key] = port.Row{Table: "t", Key: key, Value: []byte(value), Version: f.version, Deleted: deleted}
	f.wake()
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.wake()
}

func (f *fakeStore) setHistoryGone(gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.historyGone = gone
}

func (f *fakeStore) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeStore) callCounts() (lists, changesCalls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists, f.changesCalls
}

var errDown = result.New(result.StoreUnavailable, "down")

func (f *fakeStore) List(context.Context, string) (port.Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	if f.down {
		return port.Snapshot{}, errDown
	}
	s := port.Snapshot{Version: f.version, Clock: time.Second}
	for _, r := range f.rows {
		if !r.Deleted {
			s.Rows = append(s.Rows, r)
		}
	}
	return s, nil
}

func (f *fakeStore) Changes(ctx context.Context, _ string, after eras.Position, wait time.Duration) (port.Snapshot, error) {
	f.mu.Lock()
	f.changesCalls++
	f.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		f.mu.Lock()
		if f.down {
			f.mu.Unlock()
			return port.Snapshot{}, errDown
		}
		if f.historyGone {
			f.mu.Unlock()
			return port.Snapshot{}, port.ErrHistoryGone
		}
		s := port.Snapshot{Version: f.version}
		for _, r := range f.rows {
			if r.Version > after {
				s.Rows = append(s.Rows, r)
			}
		}
		ch := f.changed
		f.mu.Unlock()
		if len(s.Rows) > 0 {
			return s, nil
		}
		select {
		case <-ch:
		case <-t.C:
			return s, nil
		case <-ctx.Done():
			return port.Snapshot{}, ctx.Err()
		}
	}
}

// fakeGranter records the calls of Grant.
type fakeGranter struct {
	mu         sync.Mutex
	renewals   []string
	err        error
	fleet      lead.Fleet
	fleetReads int
}

func (g *fakeGranter) Grant(_ context.Context, m lead.Member, leave bool) (time.Duration, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.renewals = append(g.renewals, fmt.Sprint(m.Name(), " ", m.Epoch(), " ", m.Suspected(), " ", m.DataCentre(), " ", leave))
	return testNextRenewal, g.err
}

func (g *fakeGranter) ReadFleet(context.Context, time.Duration) (lead.Fleet, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleetReads++
	return g.fleet, g.err
}

func (g *fakeGranter) recordedRenewals() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.renewals...)
}

type vm struct {
	*Relay
	peers   *link.Server
	store   *fakeStore
	granter *fakeGranter
	address string
	cancel  context.CancelFunc
}

// stop ends the VM. When it returns, the VM answers no calls.
func (v *vm) stop() {
	v.cancel()
	v.peers.Wait()
	v.Wait()
}

// newVM returns a VM that uses f when it calls the store itself.
func newVM(t *testing.T, name string, f *fakeStore) *vm {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	v := &vm{
		Relay: New(ctx, name, f, testTables, link.NewClients(ctx, time.Now), time.Now, discardLogger{}),
		peers: link.NewServer(ctx, time.Now, discardLogger{}), store: f, granter: &fakeGranter{}, cancel: cancel,
	}
	v.SetGranter(v.granter)
	v.Register(v.peers)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v.peers.Serve(l)
	v.address = l.Addr().String()
	return v
}

// testNextRenewal is what a fakeGranter returns as the time until the next renewal.
const testNextRenewal = 700 * time.Millisecond

// renew renews or ends the VM's lease. The time until the next renewal must be the granter's, whichever VM it is on.
func (v *vm) renew(t *testing.T, leave bool) error {
	next, err := v.Renew(t.Context(), v.member(), leave)
	if err == nil && next != testNextRenewal {
		t.Errorf("the next renewal is due in %s, want %s", next, testNextRenewal)
	}
	return err
}

func (v *vm) member() lead.Member {
	return lead.NewMember(v.self, 7, 0, []string{"g"}).WithLocation("dc", v.address)
}

const testTimeout = 20 * time.Second

// Guards against VMs that follow the store themselves although an agent does it for them.
func TestAgentFollowsOnceForAll(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeStore()
	f.put("a", "1", false)
	agent := newVM(t, "agent", f)
	agent.SetAgents([]lead.Member{agent.member()})
	own := newFakeStore()
	var others []*vm
	for i := range 5 {
		v := newVM(t, fmt.Sprint("vm", i), own)
		v.SetAgents([]lead.Member{agent.member()})
		others = append(others, v)
	}
	for _, v := range append(others, agent) {
		s, err := v.List(t.Context(), "t")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s.Rows).To(gomega.HaveLen(1))
		g.Expect(s.Relayed).To(gomega.BeTrue(), "the store's clock in a relayed answer may be older than the request")
	}
	got := make(chan port.Snapshot, len(others))
	for _, v := range others {
		go func() {
			s, _ := v.Changes(t.Context(), "t", 1, testTimeout)
			got <- s
		}()
	}
	f.put("a", "", true)
	for range others {
		s := <-got
		g.Expect(s.Rows).To(gomega.HaveLen(1))
		g.Expect(s.Rows[0].Deleted).To(gomega.BeTrue())
		g.Expect(s.Version).To(gomega.Equal(eras.Position(2)))
	}
	lists, _ := f.callCounts()
	g.Expect(lists).To(gomega.Equal(1))
	lists, changesCalls := own.callCounts()
	g.Expect(lists + changesCalls).To(gomega.BeZero())
}

// Guards against a VM that misses changes made before the agent began to follow the table: it must list the table again.
func TestChangesOlderThanAgentHistory(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeStore()
	f.put("a", "1", false)
	f.put("a", "", true)
	f.put("b", "1", false)
	agent := newVM(t, "agent", f)
	agent.SetAgents([]lead.Member{agent.member()})
	v := newVM(t, "vm", newFakeStore())
	v.SetAgents([]lead.Member{agent.member()})
	_, err := v.Changes(t.Context(), "t", 1, testTimeout)
	g.Expect(err).To(gomega.MatchError(port.ErrHistoryGone))
}

// Guards against a VM that loses its lease or its view of the tables because an agent fails. The next agent must make the calls,
// and the VM itself if no agent is left.
func TestNextAgentTakesOver(t *testing.T) {
	g := gomega.NewWithT(t)
	unreachable, shared := newFakeStore(), newFakeStore()
	shared.put("a", "1", false)
	unreachable.setDown(true)
	first, second := newVM(t, "first", unreachable), newVM(t, "second", shared)
	first.granter.err = errDown
	agents := []lead.Member{first.member(), second.member()}
	v := newVM(t, "vm", unreachable)
	v.granter.err = errDown
	for _, each := range []*vm{first, second, v} {
		each.SetAgents(agents)
	}
	g.Expect(v.renew(t, false)).To(gomega.Succeed(), "the first agent cannot reach the store")
	g.Expect(first.granter.recordedRenewals()).To(gomega.Equal([]string{"vm 7 [g] dc false"}))
	g.Expect(second.granter.recordedRenewals()).To(gomega.Equal([]string{"vm 7 [g] dc false"}))
	s, err := v.List(t.Context(), "t")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Rows).To(gomega.HaveLen(1))
	g.Expect(first.renew(t, false)).To(gomega.Succeed(),
		"an agent that cannot reach the store calls the next one")
	second.stop()
	v.granter.err = nil
	g.Expect(v.renew(t, true)).To(gomega.Succeed())
	g.Expect(v.granter.recordedRenewals()).To(gomega.Equal([]string{"vm 7 [g] dc true"}), "no agent is left")
}

// Guards against a conflict in the store that is treated as a failure of the agent, so that the call is made again elsewhere.
func TestConflictIsFinal(t *testing.T) {
	g := gomega.NewWithT(t)
	agent, v := newVM(t, "agent", newFakeStore()), newVM(t, "vm", newFakeStore())
	agent.granter.err = port.ErrConflict
	v.SetAgents([]lead.Member{agent.member()})
	g.Expect(v.renew(t, false)).To(gomega.MatchError(port.ErrConflict))
	g.Expect(v.granter.recordedRenewals()).To(gomega.BeEmpty())
	g.Expect(v.availableAgents()).To(gomega.HaveLen(1))
}

// Guards against an agent that keeps calls for changes waiting when the store fails, so that its VMs detect the outage only much
// later.
func TestOutageEndsWaiting(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeStore()
	f.put("a", "1", false)
	agent := newVM(t, "agent", f)
	agent.SetAgents([]lead.Member{agent.member()})
	_, err := agent.List(t.Context(), "t")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ended := make(chan error, 1)
	go func() {
		_, err := agent.Changes(t.Context(), "t", 1, testTimeout)
		ended <- err
	}()
	f.setDown(true)
	g.Eventually(ended, testTimeout).Should(gomega.Receive(gomega.HaveOccurred()))
	f.setDown(false)
	f.put("b", "1", false)
	g.Eventually(func() int {
		s, _ := agent.Changes(t.Context(), "t", 1, time.Second)
		return len(s.Rows)
	}, testTimeout).Should(gomega.Equal(1))
}

// Guards against a VM that reads the list of VMs from the store although an agent does so for all, and against one that keeps an
// older list after a change.
func TestFleetComesFromTheAgent(t *testing.T) {
	g := gomega.NewWithT(t)
	agent, v := newVM(t, "agent", newFakeStore()), newVM(t, "vm", newFakeStore())
	v.SetAgents([]lead.Member{agent.member()})
	for _, names := range [][]string{{"a"}, {"a"}, {"a", "b"}, nil} {
		var live []lead.Member
		for _, n := range names {
			live = append(live, lead.NewMember(n, 0, 0, []string{"s"}).WithLocation("dc", "address"))
		}
		agent.granter.fleet = lead.NewFleet(live, len(live)+1)
		f, err := v.ReadFleet(t.Context(), time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(f.Hash()).To(gomega.Equal(agent.granter.fleet.Hash()))
		g.Expect(f.Live()).To(gomega.HaveLen(len(names)))
		g.Expect(f.Holders()).To(gomega.Equal(len(names) + 1))
	}
	g.Expect(v.granter.fleetReads).To(gomega.BeZero())
	agent.granter.err = errDown
	v.granter.fleet = lead.NewFleet(nil, 7)
	f, err := v.ReadFleet(t.Context(), time.Second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.Holders()).To(gomega.Equal(7), "the agent cannot reach the store")
}

func BenchmarkReadFleet(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var live []lead.Member
	for i := range 300 {
		live = append(live, lead.NewMember(fmt.Sprint("vm-", i), 0, 0, nil).WithLocation("dc", "10.0.0.1:7000"))
	}
	clients := link.NewClients(ctx, time.Now)
	agent := New(ctx, "agent", newFakeStore(), testTables, clients, time.Now, discardLogger{})
	agent.SetGranter(&fakeGranter{fleet: lead.NewFleet(live, len(live))})
	peers := link.NewServer(ctx, time.Now, discardLogger{})
	agent.Register(peers)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	peers.Serve(l)
	v := New(ctx, "vm", newFakeStore(), testTables, clients, time.Now, discardLogger{})
	v.SetAgents([]lead.Member{lead.NewMember("agent", 0, 0, nil).WithLocation("dc", l.Addr().String())})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := v.ReadFleet(ctx, time.Second); err != nil {
			b.Fatal(err)
		}
	}
}

// unresponsiveAgent returns an agent that accepts calls but never answers, like a VM that has stopped responding.
func unresponsiveAgent(t *testing.T) lead.Member {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ws, err := websocket.Accept(w, r, nil)
		for err == nil {
			_, _, err = ws.Read(r.Context())
		}
	}))
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return lead.NewMember("silent", 0, 0, nil).WithLocation("dc", srv.Listener.Addr().String())
}

// Guards against a call for changes that hangs at an agent which has stopped responding, while renewals go through another agent.
func TestUnresponsiveAgentIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeStore()
	f.put("a", "1", false)
	agent, v := newVM(t, "agent", f), newVM(t, "vm", newFakeStore())
	agent.SetAgents([]lead.Member{agent.member()})
	v.SetAgents([]lead.Member{unresponsiveAgent(t), agent.member()})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	s, err := v.List(ctx, "t")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	v.failedUntil = make(map[string]time.Time)
	f.put("b", "1", false)
	s, err = v.Changes(ctx, "t", s.Version, time.Hour)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Rows).To(gomega.HaveLen(1))
}

// panickingGranter panics over the renewals of one VM.
type panickingGranter struct{ fakeGranter }

func (g *panickingGranter) Grant(ctx context.Context, m lead.Member, leave bool) (time.Duration, error) {
	if m.Name() == "poison" {
		panic("malformed renewal")
	}
	return g.fakeGranter.Grant(ctx, m, leave)
}

// Guards against a call of one VM that ends the agent's process, and against a VM that waits for the reply until its time limit.
// A call that panics ends the connection it came on; the calls of other VMs go on.
func TestPanicOverCallEndsOneConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	agent := newVM(t, "agent", newFakeStore())
	granter := &panickingGranter{}
	agent.SetGranter(granter)
	neighbour, poison := newVM(t, "vm", newFakeStore()), newVM(t, "poison", newFakeStore())
	agents := []lead.Member{agent.member()}
	neighbour.SetAgents(agents)
	poison.SetAgents(agents)
	g.Expect(neighbour.renew(t, false)).To(gomega.Succeed())

	g.Expect(poison.renew(t, false)).To(gomega.Succeed())
	g.Expect(poison.granter.recordedRenewals()).To(gomega.HaveLen(1), "the agent could not carry out the call")
	g.Expect(neighbour.renew(t, false)).To(gomega.Succeed())
	g.Expect(granter.recordedRenewals()).To(gomega.HaveLen(2))
	g.Expect(neighbour.granter.recordedRenewals()).To(gomega.BeEmpty(), "the agent made both calls")
}

// Guards against an agent that wakes all VMs of its data centre for each sign of life of each server.
func TestChangesWithoutMeaningAreNotPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeStore()
	f.put("a", "1 first", false)
	agent, v := newVM(t, "agent", f), newVM(t, "vm", newFakeStore())
	agent.SetAgents([]lead.Member{agent.member()})
	v.SetAgents([]lead.Member{agent.member()})
	s, err := v.List(t.Context(), "t")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f.put("a", "1 second", false)
	f.put("b", "1", false)
	s, err = v.Changes(t.Context(), "t", s.Version, testTimeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Rows).To(gomega.HaveLen(1))
	g.Expect(s.Rows[0].Key).To(gomega.Equal("b"))
	g.Expect(s.Version).To(gomega.BeEquivalentTo(3))
	f.put("a", "2", false)
	s, err = v.Changes(t.Context(), "t", s.Version, testTimeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Rows).To(gomega.HaveLen(1))
	g.Expect(string(s.Rows[0].Value)).To(gomega.Equal("2"))
	f.put("a", "", true)
	s, err = v.Changes(t.Context(), "t", s.Version, testTimeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f.put("a", "2 again", false)
	s, err = v.Changes(t.Context(), "t", s.Version, testTimeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Rows).To(gomega.HaveLen(1), "the row was removed in between")
}

// Guards against a VM that misses a new configuration for many seconds: the store leaves the calls of its agent without an answer,
// so that renewals through the agent fail, but a call for changes waits there for its whole time limit.
func TestFailedAgentIsLeftByWaitingCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	silent, shared := newFakeStore(), newFakeStore()
	for _, f := range []*fakeStore{silent, shared} {
		f.put("a", "1", false)
	}
	first, second, v := newVM(t, "first", silent), newVM(t, "second", shared), newVM(t, "vm", newFakeStore())
	agents := []lead.Member{first.member(), second.member()}
	first.SetAgents(agents)
	v.SetAgents(agents)
	second.SetAgents(agents[1:])
	_, err := second.List(t.Context(), "t")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s, err := v.List(t.Context(), "t")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got := make(chan port.Snapshot, 1)
	go func() {
		s, _ := v.Changes(t.Context(), "t", s.Version, time.Hour)
		got <- s
	}()
	g.Eventually(func() int {
		v.mu.Lock()
		defer v.mu.Unlock()
		return len(v.calls["first"])
	}, testTimeout).Should(gomega.Equal(1))
	shared.put("b", "2", false)
	first.granter.err = errDown
	g.Expect(v.renew(t, false)).To(gomega.Succeed())
	var changes port.Snapshot
	g.Eventually(got, testTimeout).Should(gomega.Receive(&changes))
	g.Expect(changes.Rows).To(gomega.HaveLen(1))
	g.Expect(changes.Rows[0].Key).To(gomega.Equal("b"))
}

// Guards against tables that two agents of a data centre follow in the store for as long as calls for changes wait at an agent that
// is not the first one any more, as after a start of all VMs: each of them made as many calls as the first agent.
func TestWaitingCallsMoveToFirstAgent(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeStore()
	f.put("a", "1", false)
	first, old, v := newVM(t, "first", f), newVM(t, "old", f), newVM(t, "vm", newFakeStore())
	for _, each := range []*vm{old, v} {
		each.SetAgents([]lead.Member{old.member()})
	}
	s, err := v.List(t.Context(), "t")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	agents := []lead.Member{first.member(), old.member()}
	for name, move := range map[string]func(){
		"at the VM":    func() { v.SetAgents(agents) },
		"at the agent": func() { old.SetAgents(agents) },
	} {
		v.SetAgents(agents[1:])
		old.SetAgents(agents[1:])
		ended := make(chan error, 2)
		for _, each := range []*vm{old, v} {
			go func() {
				got, err := each.Changes(t.Context(), "t", s.Version, time.Hour)
				if len(got.Rows) > 0 {
					err = fmt.Errorf("unexpected changes %v", got.Rows)
				}
				ended <- err
			}()
		}
		g.Eventually(func() int {
			old.mu.Lock()
			defer old.mu.Unlock()
			return len(old.calls["old"])
		}, testTimeout).Should(gomega.Equal(2))
		move()
		old.SetAgents(agents)
		for range 2 {
			g.Eventually(ended, testTimeout).Should(gomega.Receive(gomega.BeNil()), name)
		}
		g.Expect(v.availableAgents()).To(gomega.HaveLen(len(v.agents)), "no agent has failed")
	}
	g.Eventually(func() int {
		old.hub.mu.Lock()
		defer old.hub.mu.Unlock()
		return len(old.hub.followed)
	}, 2*idleFollowDuration).Should(gomega.BeZero(), "the old agent follows no table")
}

// BenchmarkEntries passes one new entry of each server of as many groups of three servers as VMs to an agent, as every second. None means
// anything new.
func BenchmarkEntries(b *testing.B) {
	for _, n := range []int{30, 100, 300, 790} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			source := watch.Source{ParseServer: platform.ParseServer}
			t := &followedTable{
				meaning: source.ServerMeaning, rows: make(map[string]port.Row), meanings: make(map[string]any), changed: make(chan struct{}),
			}
			var s port.Snapshot
			for i := range 3 * n {
				s.Rows = append(s.Rows, port.Row{Key: fmt.Sprint("server-", i), Version: eras.Position(i), Value: fmt.Appendf(nil,
					`{"service":"g-%d","address":"10.0.0.1:%d","zone":"dc0","slots":5,"state":"ready","dbRole":"replica","born":1}`, i/3, i+1)})
			}
			t.Reset(time.Time{}, s)
			b.ReportAllocs()
			for b.Loop() {
				t.Change(time.Time{}, s)
			}
		})
	}
}

// Guards against an agent that returns rows of an earlier state of a table, since it keeps the encoded rows for the next VM.
func TestListAfterChange(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeStore()
	agent := newVM(t, "agent", f)
	agent.SetAgents([]lead.Member{agent.member()})
	var last eras.Position
	for i := range 4 {
		f.put("a", fmt.Sprint(i), false)
		f.put(fmt.Sprint("b", i-1), "1", true)
		f.put(fmt.Sprint("b", i), "1", false)
		for name := range 3 {
			v := newVM(t, fmt.Sprint("vm", name), newFakeStore())
			v.SetAgents([]lead.Member{agent.member()})
			if last > 0 {
				_, err := v.Changes(t.Context(), "t", last, testTimeout)
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			g.Eventually(func() string {
				s, err := v.List(t.Context(), "t")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				text := ""
				for _, r := range s.Rows {
					text += fmt.Sprint(r.Key, "=", string(r.Value), " ")
				}
				return text
			}, testTimeout).Should(gomega.Equal(fmt.Sprintf("a=%d b%d=1 ", i, i)))
		}
		last = f.version
	}
}

// BenchmarkListAtAgent encodes the rows of the servers of as many groups of three servers as VMs for each VM of a data centre out of nine,
// as when their agent changes.
func BenchmarkListAtAgent(b *testing.B) {
	for _, n := range []int{30, 100, 300, 790} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := &followedTable{rows: make(map[string]port.Row), changed: make(chan struct{})}
			s := port.Snapshot{Version: eras.Position(3 * n)}
			for i := range 3 * n {
				s.Rows = append(s.Rows, port.Row{Key: fmt.Sprint("server-", i), Version: eras.Position(i + 1), Value: make([]byte, 110)})
			}
			h := &hub{followed: map[string]*followedTable{"t": t}}
			b.ReportAllocs()
			for b.Loop() {
				t.Reset(time.Time{}, s)
				for range n / 9 {
					if _, err := h.EncodedList(b.Context(), "t"); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// Guards against a lease of a new era of the store at a VM that goes on as if the old one lasted: it would use primaries at once after its
// lease had ended, while others may have replaced them.
func TestRenewalTellsOfEra(t *testing.T) {
	g := gomega.NewWithT(t)
	agent, behind := newVM(t, "agent", newFakeStore()), newVM(t, "behind", newFakeStore())
	atAgent, atVM := platform.NewStore("", ""), platform.NewStore("", "")
	agent.SetEras(atAgent)
	behind.SetEras(atVM)
	behind.SetAgents([]lead.Member{agent.member()})
	var heard []eras.Changed
	atVM.OnChange(func(c eras.Changed) { heard = append(heard, c) })
	g.Expect(behind.renew(t, false)).To(gomega.Succeed())
	g.Expect(heard).To(gomega.BeEmpty())
	atAgent.Observe(eras.At(2, 7))
	g.Expect(behind.renew(t, false)).To(gomega.Succeed())
	g.Expect(heard).To(gomega.HaveLen(1))
	g.Expect(atVM.Era()).To(gomega.BeEquivalentTo(2))
	atVM.Observe(eras.At(3, 1))
	g.Expect(behind.renew(t, false)).To(gomega.Succeed())
	g.Expect(behind.granter.recordedRenewals()).To(gomega.HaveLen(1), "the agent's era has ended, so the VM renews by itself")
}
