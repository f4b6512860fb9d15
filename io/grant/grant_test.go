package grant

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"verbenagate/core/layout"
	"verbenagate/core/lead"
	"verbenagate/core/quota"
	"verbenagate/core/result"
	"verbenagate/io/link"
	"verbenagate/io/logs"
	"verbenagate/io/metric"
)

const testTimeout = 20 * time.Second

// vm is a VM with a desk.
type vm struct {
	*Desk
	member lead.Member
	peers  *link.Server
	cancel context.CancelFunc
}

// stop ends the VM. When it returns, the VM answers no calls.
func (v *vm) stop() {
	v.cancel()
	v.peers.Wait()
	v.Wait()
}

// newVMs returns VMs that know each other and have had their leases for long.
func newVMs(t *testing.T, config Config, names ...string) []*vm {
	since := time.Now().Add(-time.Hour)
	var vms []*vm
	var live []lead.Member
	for _, name := range names {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		v := &vm{
			member: lead.NewMember(name, 0, 0, nil).WithLocation("dc", l.Addr().String()),
			peers:  link.NewServer(ctx, time.Now, logs.Nop()), cancel: cancel,
		}
		v.Desk = New(ctx, v.member, link.NewClients(ctx, time.Now), func() lead.Presence {
			return lead.NewPresence(since, time.Now().Add(time.Minute), time.Time{})
		}, config, testMetrics(), time.Now, logs.Nop())
		v.Register(v.peers)
		v.peers.Serve(l)
		vms, live = append(vms, v), append(live, v.member)
	}
	for _, v := range vms {
		v.SetMembers(live, time.Now())
	}
	return vms
}

func testMetrics() *metric.Set { return metric.NewSet(Catalog(metric.NewRegistry()), time.Hour) }

func configOf(version uint64, w layout.Workspace) Config {
	c := layout.NewConfig(version, nil, nil, 0).WithWorkspaces(map[string]layout.Workspace{"key of " + w.Name(): w})
	return func() layout.Config { return c }
}

// admit asks desks in turn for n operations at once, and returns how many were admitted.
func admit(vms []*vm, w layout.Workspace, n int) int {
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			now := time.Now()
			if vms[i%len(vms)].Admit(w, now, now.Add(testTimeout)) == nil {
				admitted.Add(1)
			}
		})
	}
	wg.Wait()
	return int(admitted.Load())
}

// Guards against VMs that admit more than the limit together, against one that admits much less, and against tokens for a new holder
// before the old one's have ended.
func TestLimitOverVMs(t *testing.T) {
	g := gomega.NewWithT(t)
	w := layout.NewWorkspace("w", 0, 20, 40)
	start := time.Now()
	vms := newVMs(t, configOf(1, w), "a", "b", "c")
	g.Expect(admit(vms, w, 30)).To(gomega.BeZero(), "the holders before may have granted the burst")
	time.Sleep(4 * time.Second)
	total := admit(vms, w, 200)
	g.Expect(total).To(gomega.BeNumerically(">=", 36))
	for range 5 {
		total += admit(vms, w, 40)
	}
	g.Expect(float64(total)).To(gomega.BeNumerically("<=", 40+20*(time.Since(start)-4*time.Second).Seconds()+1))
}

// Guards against a refusal that comes late, and against one without its code.
func TestRefusalIsPrompt(t *testing.T) {
	g := gomega.NewWithT(t)
	w := layout.NewWorkspace("w", 0, 1, 1)
	vms := newVMs(t, configOf(1, w), "a", "b")
	for range 10 {
		now := time.Now()
		err := vms[0].Admit(w, now, now.Add(testTimeout))
		g.Expect(result.CodeOf(err)).To(gomega.Equal(result.OverQuota))
		g.Expect(time.Since(now)).To(gomega.BeNumerically("<", admitTimeout+callTimeout+time.Second/2))
	}
}

// Guards against a holder that fails and takes all tokens of a workspace with it.
func TestHolderFails(t *testing.T) {
	g := gomega.NewWithT(t)
	w := layout.NewWorkspace("w", 0, 200, 40)
	vms := newVMs(t, configOf(1, w), "a", "b", "c", "d", "e", "f", "g", "h")
	g.Eventually(func() int { return admit(vms[:1], w, 1) }, testTimeout).Should(gomega.Equal(1))
	main, ok := vms[0].asker.FirstCandidate(quota.KeyOf("w", 0))
	g.Expect(ok).To(gomega.BeTrue())
	var left []*vm
	var present []lead.Member
	for _, v := range vms {
		present = append(present, v.member)
		if v.member.Name() == main.Name() {
			v.stop()
		} else {
			left = append(left, v)
		}
	}
	admitted := 0
	g.Eventually(func() int {
		for _, v := range left { // The elector reads the list again every second.
			v.SetMembers(present, time.Now())
		}
		admitted += admit(left, w, len(left))
		return admitted
	}, testTimeout).Should(gomega.BeNumerically(">=", 2*len(left)))
}

// Guards against a VM that cannot be reached by others and has less than the limit.
func TestAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	w := layout.NewWorkspace("w", 0, 100, 8)
	clients := link.NewClients(t.Context(), time.Now)
	d := New(t.Context(), lead.NewMember("a", 0, 0, nil), clients, nil, configOf(1, w), testMetrics(), time.Now, logs.Nop())
	time.Sleep(time.Second)
	now := time.Now()
	for range 8 {
		g.Expect(d.Admit(w, now, now.Add(testTimeout))).To(gomega.Succeed())
	}
	accounts := d.State().Ledgers
	g.Expect(accounts).To(gomega.HaveLen(1))
	g.Expect(accounts[0].Burst).To(gomega.Equal(8.0))
}

// Guards against a panic over one call for tokens that leaves the operations waiting which share the call, or ends the process.
func TestPanicOverCallEndsWaiting(t *testing.T) {
	g := gomega.NewWithT(t)
	panicking := func() layout.Config { panic("no configuration") }
	d := &Desk{self: lead.NewMember("a", 0, 0, nil), config: panicking, clock: time.Now, log: logs.Nop()}
	for i := range d.wallets {
		d.wallets[i].wallets = make(map[string]*quota.Wallet)
	}
	limit := quota.NewLimit(10, 10, 1)
	l := &line{pending: []*waiter{
		{workspace: "north", limit: limit, done: make(chan outcome, 1)},
		{workspace: "north", limit: limit, done: make(chan outcome, 1)},
	}}
	waiting := l.pending
	g.Expect(func() { d.flush("", l) }).NotTo(gomega.Panic())
	for _, w := range waiting {
		g.Expect(w.done).To(gomega.Receive(gomega.Equal(outcome{kind: failed})))
	}
}

// Guards against state that is kept for each VM that was ever asked, and against dropping that of a VM for which operations wait.
func TestUnusedLinesAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	self, now := lead.NewMember("a", 0, 0, nil), time.Now()
	d := &Desk{self: self, config: func() layout.Config { return layout.Config{} }, clock: func() time.Time { return now }, log: logs.Nop()}
	d.asker = quota.NewAsker(self)
	long := now.Add(-2 * maxLineIdle)
	d.lines = map[string]*line{"unused": {lastCall: long}, "used": {lastCall: now}, "waiting": {lastCall: long, scheduled: true}}
	d.sweep()
	g.Expect(d.lines).To(gomega.HaveLen(2))
	g.Expect(d.lines).NotTo(gomega.HaveKey("unused"))
}

// Guards against messages that grow; docs/CAPACITY.md has the figures.
func TestMessageSizes(t *testing.T) {
	g := gomega.NewWithT(t)
	size := func(v any) int {
		data, err := cbor.Marshal(v)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return len(data)
	}
	a := ask{Workspace: "workspace-1234", Portion: 3, Need: 1, Rate: 16, Burst: 16, Version: 300, Life: 25 * time.Millisecond}
	empty := size(call{VM: "front-zone-12"})
	one := size(call{VM: "front-zone-12", Asks: []ask{a}})
	answered := size(reply{Answers: []answer{{Tokens: 1, Life: 25 * time.Millisecond}}})
	refusedSize := size(reply{Answers: []answer{{Life: 25 * time.Millisecond, Retry: 30 * time.Millisecond, Borrowed: 14}}})
	loan := size(loanCall{VM: "front-zone-12", Keys: []key{{Shard: 1, Portion: 1}, {Shard: 1, Portion: 2}, {Shard: 1, Portion: 3}}})
	t.Logf("call %d bytes and %d for each ask; reply %d, or %d with a refusal; loan call %d", empty, one-empty, answered, refusedSize, loan)
	g.Expect(one).To(gomega.BeNumerically("<=", 96))
	g.Expect(answered).To(gomega.BeNumerically("<=", 32))
}
