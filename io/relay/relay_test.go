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

	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/port"
	"verbenagate/core/result"
)

type silent struct{}

func (silent) Event(event.ID, ...zap.Field) {}

// feed is a store with one table. It is changed by the test and counts its calls.
type feed struct {
	mu      sync.Mutex
	rows    map[string]port.Row
	version uint64
	changed chan struct{}
	down    bool
	lists   int
	waits   int
}

func newFeed() *feed { return &feed{rows: make(map[string]port.Row), changed: make(chan struct{})} }

func (f *feed) put(key, value string, deleted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows[key] = port.Row{Table: "t", Key: key, Value: []byte(value), Version: f.version, Deleted: deleted}
	f.wake()
}

func (f *feed) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.wake()
}

func (f *feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *feed) calls() (lists, waits int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists, f.waits
}

var errDown = result.New(result.StoreUnavailable, "down")

func (f *feed) List(context.Context, string) (port.Snapshot, error) {
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

func (f *feed) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) (port.Snapshot, error) {
	f.mu.Lock()
	f.waits++
	f.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		f.mu.Lock()
		if f.down {
			f.mu.Unlock()
			return port.Snapshot{}, errDown
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

// granter records the renewals that it is asked for.
type granter struct {
	mu    sync.Mutex
	asked []string
	err   error
}

func (g *granter) Grant(_ context.Context, m lead.Member, leave bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked = append(g.asked, fmt.Sprint(m.Name(), " ", m.Epoch(), " ", m.Suspected(), " ", m.DataCentre(), " ", leave))
	return g.err
}

func (g *granter) names() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.asked...)
}

type vm struct {
	*Relay
	feed    *feed
	granter *granter
	address string
	stop    context.CancelFunc
}

// newVM returns a VM whose own path to the store is f.
func newVM(t *testing.T, name string, f *feed) *vm {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	v := &vm{Relay: New(ctx, name, f, time.Now, silent{}), feed: f, granter: &granter{}, stop: cancel}
	v.SetGranter(v.granter)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v.Serve(l)
	v.address = l.Addr().String()
	return v
}

func (v *vm) member() lead.Member {
	return lead.NewMember(v.self, 7, 0, []string{"g"}).WithLocation("dc", v.address)
}

const patience = 20 * time.Second

// Guards against VMs that each follow the store although an agent does it for them.
func TestAgentFollowsOnceForAll(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFeed()
	f.put("a", "1", false)
	agent := newVM(t, "agent", f)
	agent.SetAgents([]lead.Member{agent.member()})
	own := newFeed()
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
		g.Expect(s.Relayed).To(gomega.BeTrue(), "its clock must not be taken for that of the request")
	}
	got := make(chan port.Snapshot, len(others))
	for _, v := range others {
		go func() {
			s, _ := v.Changes(t.Context(), "t", 1, patience)
			got <- s
		}()
	}
	f.put("a", "", true)
	for range others {
		s := <-got
		g.Expect(s.Rows).To(gomega.HaveLen(1))
		g.Expect(s.Rows[0].Deleted).To(gomega.BeTrue())
		g.Expect(s.Version).To(gomega.Equal(uint64(2)))
	}
	lists, _ := f.calls()
	g.Expect(lists).To(gomega.Equal(1))
	lists, waits := own.calls()
	g.Expect(lists + waits).To(gomega.BeZero())
}

// Guards against changes that a VM misses because the agent began to follow the table after them.
func TestOlderThanTheAgentKnows(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFeed()
	f.put("a", "1", false)
	f.put("a", "", true)
	f.put("b", "1", false)
	agent := newVM(t, "agent", f)
	agent.SetAgents([]lead.Member{agent.member()})
	v := newVM(t, "vm", newFeed())
	v.SetAgents([]lead.Member{agent.member()})
	_, err := v.Changes(t.Context(), "t", 1, patience)
	g.Expect(err).To(gomega.MatchError(port.ErrHistoryGone))
}

// Guards against a VM that loses its lease or its view of the tables with an agent: the next one makes the calls, and the VM itself
// when there is none.
func TestNextAgentTakesOver(t *testing.T) {
	g := gomega.NewWithT(t)
	cut, shared := newFeed(), newFeed()
	shared.put("a", "1", false)
	cut.setDown(true)
	first, second := newVM(t, "first", cut), newVM(t, "second", shared)
	first.granter.err = errDown
	agents := []lead.Member{first.member(), second.member()}
	v := newVM(t, "vm", cut)
	v.granter.err = errDown
	for _, each := range []*vm{first, second, v} {
		each.SetAgents(agents)
	}
	g.Expect(v.Renew(t.Context(), v.member(), false)).To(gomega.Succeed(), "the first agent is cut off")
	g.Expect(first.granter.names()).To(gomega.Equal([]string{"vm 7 [g] dc false"}))
	g.Expect(second.granter.names()).To(gomega.Equal([]string{"vm 7 [g] dc false"}))
	s, err := v.List(t.Context(), "t")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Rows).To(gomega.HaveLen(1))
	g.Expect(first.Renew(t.Context(), first.member(), false)).To(gomega.Succeed(), "an agent that is cut off asks the next one")
	second.stop()
	v.granter.err = nil
	g.Expect(v.Renew(t.Context(), v.member(), true)).To(gomega.Succeed())
	g.Expect(v.granter.names()).To(gomega.Equal([]string{"vm 7 [g] dc true"}), "no agent is left")
}

// Guards against a refusal by the store that is taken for a failure of the agent.
func TestConflictIsFinal(t *testing.T) {
	g := gomega.NewWithT(t)
	agent, v := newVM(t, "agent", newFeed()), newVM(t, "vm", newFeed())
	agent.granter.err = port.ErrConflict
	v.SetAgents([]lead.Member{agent.member()})
	g.Expect(v.Renew(t.Context(), v.member(), false)).To(gomega.MatchError(port.ErrConflict))
	g.Expect(v.granter.names()).To(gomega.BeEmpty())
	g.Expect(v.candidates()).To(gomega.HaveLen(1))
}

// Guards against an agent that does not end a call for changes when the store fails, so that its VMs learn of it only much later.
func TestOutageEndsWaiting(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFeed()
	f.put("a", "1", false)
	agent := newVM(t, "agent", f)
	agent.SetAgents([]lead.Member{agent.member()})
	_, err := agent.List(t.Context(), "t")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ended := make(chan error, 1)
	go func() {
		_, err := agent.Changes(t.Context(), "t", 1, patience)
		ended <- err
	}()
	f.setDown(true)
	g.Eventually(ended, patience).Should(gomega.Receive(gomega.HaveOccurred()))
	f.setDown(false)
	f.put("b", "1", false)
	g.Eventually(func() int {
		s, _ := agent.Changes(t.Context(), "t", 1, time.Second)
		return len(s.Rows)
	}, patience).Should(gomega.Equal(1))
}

func BenchmarkRecent(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	f := newFeed()
	for i := range 90 {
		f.put(fmt.Sprint("vm", i), "entry", false)
	}
	agent := New(ctx, "agent", f, time.Now, silent{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	agent.Serve(l)
	v := New(ctx, "vm", newFeed(), time.Now, silent{})
	v.SetAgents([]lead.Member{lead.NewMember("agent", 0, 0, nil).WithLocation("dc", l.Addr().String())})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := v.Recent(ctx, "t"); err != nil {
			b.Fatal(err)
		}
	}
}

// silentAgent accepts calls and never answers, as a VM does that stands still.
func silentAgent(t *testing.T) lead.Member {
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

// Guards against a call for changes that hangs at an agent which has gone silent while renewals go through another one.
func TestSilentAgentIsLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFeed()
	f.put("a", "1", false)
	agent, v := newVM(t, "agent", f), newVM(t, "vm", newFeed())
	agent.SetAgents([]lead.Member{agent.member()})
	v.SetAgents([]lead.Member{silentAgent(t), agent.member()})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	s, err := v.List(ctx, "t")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	v.failed = make(map[string]time.Time)
	f.put("b", "1", false)
	s, err = v.Changes(ctx, "t", s.Version, time.Hour)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Rows).To(gomega.HaveLen(1))
}
