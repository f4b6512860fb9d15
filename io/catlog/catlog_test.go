package catlog_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/svcdef"
	"verbenagate/io/catlog"
	"verbenagate/io/logs"
	"verbenagate/io/peer"
	"verbenagate/io/platf"
	"verbenagate/io/revlog"
	"verbenagate/lab/plat"
)

const waitTimeout = 10 * time.Second

// deployment is a platform and several VMs, whose requests to each other are function calls.
type deployment struct {
	t        *testing.T
	g        *gomega.WithT
	platform *plat.Platform
	store    *platf.Client
	live     liveVMs
	objects  port.ObjectStore
	now      func() time.Time
	keepers  map[string]*catlog.Keeper
	log      *logs.Recorder
	// afterCommit, if set, is called after each commit of a VM, before the VM receives the result.
	afterCommit func()

	mu sync.Mutex
	// listedAfter holds, for each VM, the argument after of its calls of List.
	listedAfter map[string][]string
}

// hookedStore is the store of one VM. It records the calls of List, and calls afterCommit.
type hookedStore struct {
	*platf.Client
	d  *deployment
	vm string
}

func (h hookedStore) List(ctx context.Context, prefix, after string, n int) ([]port.Record, error) {
	h.d.mu.Lock()
	h.d.listedAfter[h.vm] = append(h.d.listedAfter[h.vm], after)
	h.d.mu.Unlock()
	return h.Client.List(ctx, prefix, after, n)
}

func (h hookedStore) Commit(ctx context.Context, checks []port.VersionCheck, writes []port.Write) error {
	err := h.Client.Commit(ctx, checks, writes)
	if h.d.afterCommit != nil {
		h.d.afterCommit()
	}
	return err
}

// liveVMs is an owner.Live with all VMs in one data centre.
type liveVMs []string

func (n liveVMs) Live() []string           { return n }
func (n liveVMs) LiveIn(_ string) []string { return n }

// newDeployment starts all VMs but the last one.
func newDeployment(t *testing.T, vms ...string) *deployment {
	p, err := plat.New(plat.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	d := &deployment{
		t: t, g: gomega.NewWithT(t), platform: p, store: platf.New("http://"+p.Addr(), time.Second), live: vms,
		now: time.Now, keepers: map[string]*catlog.Keeper{}, log: &logs.Recorder{}, listedAfter: map[string][]string{},
	}
	d.objects = d.store
	for _, vm := range vms[:len(vms)-1] {
		d.start(vm)
	}
	return d
}

func (d *deployment) start(vm string) *catlog.Keeper {
	k := catlog.New(catlog.Config{
		VM: vm, DataCentre: "east", Table: hookedStore{d.store, d, vm}, Objects: d.objects, PollInterval: 50 * time.Millisecond,
		Logger: d.log, Now: d.now, OnApplied: func(svcdef.Catalog) {},
		RequestRevisions: func(_ context.Context, other string, req peer.RevisionRequest) (peer.Revisions, error) {
			k, ok := d.keepers[other]
			if !ok {
				return peer.Revisions{}, result.New(result.PeerUnreachable, "VM %s is not running", other)
			}
			reply := k.AnswerRequest(req)
			_, err := peer.Encode(reply)
			return reply, err
		},
	})
	k.SetMembers(d.live)
	d.keepers[vm] = k
	d.t.Cleanup(k.Close)
	return k
}

func (d *deployment) change(vm string, basedOn uint64) error {
	spec := svcdef.Spec{
		Name: fmt.Sprint("service-", basedOn+1), Database: "ledger", Login: svcdef.LoginSpec{User: "proxy", Password: "secret"},
		Servers: []svcdef.ServerSpec{{
			Address: fmt.Sprintf("10.0.0.%d:5432", basedOn+1), DataCentre: "east", Slots: 3, Connections: 35,
		}},
	}
	_, err := d.keepers[vm].Change(context.Background(), basedOn, svcdef.NewDefinition(spec, "ann", time.Now()))
	return err
}

func (d *deployment) awaitRevision(vm string, revision uint64) {
	d.t.Helper()
	d.g.Eventually(func() uint64 { return d.keepers[vm].Catalog().Revision() }, waitTimeout).Should(gomega.Equal(revision))
}

// Guards against a VM that starts while the platform is down and stays without configuration, and so serves nobody, although
// other VMs have the configuration.
func TestStartDuringOutage(t *testing.T) {
	d := newDeployment(t, "a", "b", "late")
	d.g.Expect(d.change("a", 0)).To(gomega.Succeed())
	d.awaitRevision("b", 1)
	d.platform.SetDown(true)
	k := d.start("late")
	k.SetPeerRevision("b", 1)
	d.awaitRevision("late", 1)
	d.g.Expect(result.CodeOf(d.change("late", 1))).To(gomega.BeElementOf(result.StoreUnavailable, result.AnswerLost))
}

// Guards against VMs that go back to an older configuration when the store returns to an older state, and against lost
// revisions that are not written back to the store.
func TestStoreComesBackOlder(t *testing.T) {
	d := newDeployment(t, "a", "b", "late")
	d.g.Expect(d.change("a", 0)).To(gomega.Succeed())
	old := d.platform.Snapshot()
	d.g.Expect(d.change("a", 1)).To(gomega.Succeed())
	d.g.Expect(d.change("a", 2)).To(gomega.Succeed())
	d.awaitRevision("b", 3)
	d.platform.Restore(old)
	head := func() (uint64, error) { return revlog.Head(context.Background(), d.store) }
	d.g.Eventually(head, waitTimeout).Should(gomega.Equal(uint64(3)))
	d.g.Expect(d.keepers["a"].Catalog().Revision()).To(gomega.Equal(uint64(3)))
	d.g.Expect(d.keepers["b"].Catalog().Revision()).To(gomega.Equal(uint64(3)))
	d.g.Expect(d.change("b", 3)).To(gomega.Succeed())
	d.awaitRevision("a", 4)
}

// singleObject is an object store that returns the same object for every name and ignores writes.
type singleObject []byte

func (o singleObject) PutObject(context.Context, string, []byte) error { return nil }

func (o singleObject) GetObject(context.Context, string) ([]byte, error) { return o, nil }

// Guards against a configuration that no VM can send to another because it exceeds the maximum size of a message.
func TestLargeConfigurationFromPeer(t *testing.T) {
	d := newDeployment(t, "a", "late")
	d.keepers["a"].Close()
	d.platform.SetDown(true)
	var c svcdef.CatalogSpec
	for i := range 300 {
		spec := svcdef.Spec{Name: fmt.Sprint("service-", i), Database: "ledger"}
		for n := range 40 {
			spec.Callers = append(spec.Callers, svcdef.CallerSpec{User: fmt.Sprint("user", n), Verifier: strings.Repeat("v", 133)})
		}
		c.Services = append(c.Services, svcdef.CatalogService{Revision: 5000, Spec: spec})
	}
	c.Revision = 5000
	body, err := revlog.EncodeSnapshot(svcdef.Restore(c))
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	d.g.Expect(len(body)).To(gomega.BeNumerically(">", peer.MaxMessage))
	d.objects = singleObject(body)
	d.start("a")
	d.awaitRevision("a", 5000)
	d.objects = singleObject(nil)
	d.start("late").SetPeerRevision("a", 5000)
	d.awaitRevision("late", 5000)
	d.g.Expect(d.keepers["late"].Catalog().Services()).To(gomega.HaveLen(300))
}

// Guards against an accepted change that is based on an old revision, and against a change that is stored twice because the
// store's answer was lost.
func TestChange(t *testing.T) {
	d := newDeployment(t, "a", "b", "late")
	d.platform.LoseAnswers(1)
	d.g.Expect(d.change("a", 0)).To(gomega.Succeed())
	d.g.Expect(d.keepers["a"].Catalog().Revision()).To(gomega.Equal(uint64(1)), "in force where it was accepted")
	d.awaitRevision("b", 1)
	err := d.change("b", 0)
	d.g.Expect(result.CodeOf(err)).To(gomega.Equal(result.RevisionConflict))
	current, ok := revlog.CurrentRevision(err)
	d.g.Expect(ok).To(gomega.BeTrue())
	d.g.Expect(current).To(gomega.Equal(uint64(1)))
}

// Guards against an accepted change that comes into force nowhere, because the store returned to an older state before any VM
// had read the change.
func TestStoreLosesAcceptedChangeAtOnce(t *testing.T) {
	d := newDeployment(t, "a", "b", "late")
	d.g.Expect(d.change("a", 0)).To(gomega.Succeed())
	d.awaitRevision("b", 1)
	old := d.platform.Snapshot()
	var once sync.Once
	d.afterCommit = func() { once.Do(func() { d.platform.Restore(old) }) }
	d.g.Expect(d.change("a", 1)).To(gomega.Succeed())
	d.awaitRevision("a", 2)
	d.awaitRevision("b", 2)
	d.g.Eventually(func() (uint64, error) { return revlog.Head(context.Background(), d.store) }, waitTimeout).Should(
		gomega.Equal(uint64(2)))
}

// Guards against an accepted change that comes into force nowhere: the VM that accepted it lacks the revision before it, and
// the store goes down directly after accepting the change.
func TestStoreGoesDownAfterChangeOnLaggingVM(t *testing.T) {
	d := newDeployment(t, "a", "b", "late")
	d.g.Expect(d.change("a", 0)).To(gomega.Succeed())
	d.awaitRevision("b", 1)
	d.keepers["b"].SetMembers(liveVMs{"a"}) // b no longer polls the store
	d.g.Expect(d.change("a", 1)).To(gomega.Succeed())
	d.g.Expect(d.keepers["b"].Catalog().Revision()).To(gomega.Equal(uint64(1)))
	d.afterCommit = func() {
		d.platform.SetDown(true)
		d.keepers["b"].SetPeerRevision("a", 2)
	}
	d.g.Expect(d.change("b", 2)).To(gomega.Succeed())
	d.awaitRevision("b", 3)
	d.keepers["a"].SetPeerRevision("b", 3)
	d.awaitRevision("a", 3)
}

// Guards against an accepted change that is reverted: the store returns to an older state, and a VM that lacks the change
// accepts another one under its number before any VM has written it back.
func TestChangeBehindAnotherVM(t *testing.T) {
	d := newDeployment(t, "a", "b", "late")
	d.g.Expect(d.change("a", 0)).To(gomega.Succeed())
	d.awaitRevision("b", 1)
	old := d.platform.Snapshot()
	d.keepers["b"].SetMembers(liveVMs{"a"}) // b no longer polls the store
	d.g.Expect(d.change("a", 1)).To(gomega.Succeed())
	d.keepers["a"].Close() // so that it writes nothing back, like a VM that does not poll
	d.platform.Restore(old)
	d.keepers["b"].SetPeerRevision("a", 2)
	err := d.change("b", 1)
	d.g.Expect(result.CodeOf(err)).To(gomega.Equal(result.RevisionConflict))
	current, _ := revlog.CurrentRevision(err)
	d.g.Expect(current).To(gomega.Equal(uint64(2)))
	d.g.Expect(revlog.Head(context.Background(), d.store)).To(gomega.Equal(uint64(1)))
}

// longLog returns a deployment with 150 revisions, more than fit into one fetch, and the encoded snapshot of revision 140.
func longLog(t *testing.T) (*deployment, []byte) {
	d := newDeployment(t, "a", "late")
	var snap []byte
	for n := range uint64(150) {
		d.g.Expect(d.change("a", n)).To(gomega.Succeed())
		if n == 139 {
			var err error
			snap, err = revlog.EncodeSnapshot(d.keepers["a"].Catalog().WithRecentHistory(20))
			d.g.Expect(err).NotTo(gomega.HaveOccurred())
		}
	}
	return d, snap
}

// Guards against a starting VM that replays the whole log although there is a snapshot, that misses changes made after the
// snapshot, or whose history lacks the revisions before it.
func TestStartReadsTailOfLog(t *testing.T) {
	d, snap := longLog(t)
	d.objects = singleObject(snap)
	late := d.start("late")
	d.awaitRevision("late", 150)
	d.mu.Lock()
	for _, after := range d.listedAfter["late"] {
		d.g.Expect(after >= revlog.RevisionKey(139)).To(gomega.BeTrue(), after)
	}
	d.mu.Unlock()
	all := d.keepers["a"].Catalog()
	d.g.Expect(late.Catalog().Spec().Services).To(gomega.Equal(all.Spec().Services))
	history := late.History(context.Background(), "")
	d.g.Expect(history).To(gomega.HaveLen(150))
	for i, r := range all.History("") {
		d.g.Expect(history[i].Spec()).To(gomega.Equal(r.Spec()))
	}
	d.g.Expect(late.History(context.Background(), "service-7")).To(gomega.HaveLen(1))
	d.platform.SetDown(true)
	d.g.Expect(late.History(context.Background(), "")).To(gomega.HaveLen(30), "without the store")
}

// Guards against a starting VM that stays without configuration, and so serves nobody, because the snapshot is missing or
// damaged.
func TestStartWithoutUsableSnapshot(t *testing.T) {
	d, snap := longLog(t)
	snap[len(snap)/2] ^= 1
	for name, objects := range map[string]port.ObjectStore{
		"damaged": singleObject(snap), "empty": singleObject(nil), "missing": noObjects{},
	} {
		d.objects = objects
		d.start(name)
		d.awaitRevision(name, 150)
		d.g.Expect(d.keepers[name].Catalog().Spec()).To(gomega.Equal(d.keepers["a"].Catalog().Spec()), name)
	}
}

// noObjects is an empty object store that ignores writes.
type noObjects struct{ singleObject }

func (noObjects) GetObject(context.Context, string) ([]byte, error) {
	return nil, result.New(result.NotFound, "no such object")
}

// Guards against VMs that go back to an older configuration when the store returns to an older state and all VMs restart.
// Also guards against a store that stays behind the snapshot because the lost revisions are not written back.
func TestSnapshotNewerThanStore(t *testing.T) {
	d := newDeployment(t, "a", "late")
	for n := range uint64(5) {
		d.g.Expect(d.change("a", n)).To(gomega.Succeed())
	}
	old := d.platform.Snapshot()
	for n := range uint64(3) {
		d.g.Expect(d.change("a", 5+n)).To(gomega.Succeed())
	}
	snap, err := revlog.EncodeSnapshot(d.keepers["a"].Catalog().WithRecentHistory(4))
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	d.keepers["a"].Close()
	d.platform.Restore(old)
	d.live, d.objects = liveVMs{"late"}, singleObject(snap)
	d.start("late")
	d.awaitRevision("late", 8)
	d.g.Eventually(func() (uint64, error) { return revlog.Head(context.Background(), d.store) }, waitTimeout).Should(
		gomega.Equal(uint64(8)))
	d.g.Expect(d.change("late", 8)).To(gomega.Succeed())
	d.awaitRevision("late", 9)
}
