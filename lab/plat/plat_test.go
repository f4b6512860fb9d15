package plat_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/io/platf"
	"verbenagate/lab/plat"
)

func start(t *testing.T) (*plat.Platform, *platf.Client) {
	t.Helper()
	p, err := plat.New(plat.Config{})
	if err != nil {
		t.Fatal(err)
	}
	c := platf.New("http://"+p.Addr(), 10*time.Second)
	t.Cleanup(func() {
		c.Close()
		p.Close()
	})
	return p, c
}

var ctx = context.Background()

// Guards against a transaction that is applied only in part or despite a failed version check, against versions that are
// reused after a deletion, and against a Restore that keeps a later record.
func TestTable(t *testing.T) {
	g := NewWithT(t)
	p, c := start(t)
	g.Expect(c.Commit(ctx, []port.VersionCheck{{Key: "a"}}, []port.Write{{Key: "a", Value: []byte("1")}, {Key: "b/2", Value: []byte("2")}, {Key: "b/1"}})).To(Succeed())
	a, err := c.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a).To(Equal(port.Record{Key: "a", Value: []byte("1"), Version: 1}))
	err = c.Commit(ctx, []port.VersionCheck{{Key: "a"}, {Key: "b/2", Version: 1}}, []port.Write{{Key: "b/2", Delete: true}})
	g.Expect(result.CodeOf(err)).To(Equal(result.RevisionConflict))
	list, err := c.List(ctx, "b/", "b/1", 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(Equal([]port.Record{{Key: "b/2", Value: []byte("2"), Version: 1}}))
	g.Expect(c.List(ctx, "b/", "", 1)).To(HaveLen(1))
	g.Expect(c.Commit(ctx, nil, []port.Write{{Key: "a", Delete: true}})).To(Succeed())
	a, err = c.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Version).To(BeZero())
	g.Expect(c.Commit(ctx, []port.VersionCheck{{Key: "a"}}, []port.Write{{Key: "a"}})).To(Succeed())
	a, _ = c.Get(ctx, "a")
	g.Expect(a.Version).To(Equal(uint64(3)))
	reads, writes := p.Counts()
	g.Expect([]int{reads, writes}).To(Equal([]int{5, 4}))

	old := p.Snapshot()
	g.Expect(c.Commit(ctx, nil, []port.Write{{Key: "later"}})).To(Succeed())
	p.Restore(old)
	later, err := c.Get(ctx, "later")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(later.Version).To(BeZero())
}

// Guards against objects whose names or bodies are altered by the encoding in transit.
func TestObjects(t *testing.T) {
	g := NewWithT(t)
	_, c := start(t)
	g.Expect(c.PutObject(ctx, "config/snap shot?&é", []byte{0, 255, 1})).To(Succeed())
	g.Expect(c.GetObject(ctx, "config/snap shot?&é")).To(Equal([]byte{0, 255, 1}))
	_, err := c.GetObject(ctx, "config")
	g.Expect(result.CodeOf(err)).To(Equal(result.NotFound))
}

// Guards against a list that ignores its lag, keeps expired entries or shows removed entries.
func TestVMList(t *testing.T) {
	g := NewWithT(t)
	p, c := start(t)
	a := port.VM{ID: "a", DataCentre: "dc1", PeerAddr: "127.0.0.1:1", Leaving: true}
	g.Expect(c.Register(ctx, a, time.Hour)).To(Succeed())
	g.Expect(c.Register(ctx, port.VM{ID: "b"}, time.Hour)).To(Succeed())
	g.Expect(c.Register(ctx, port.VM{ID: "c"}, time.Millisecond)).To(Succeed())
	p.SetListLag(time.Minute)
	g.Expect(c.VMs(ctx)).To(BeEmpty())
	p.SetListLag(0)
	g.Expect(c.VMs(ctx)).To(ContainElements(a, port.VM{ID: "b"}))
	g.Expect(c.Deregister(ctx, "b")).To(Succeed())
	g.Eventually(func() ([]port.VM, error) { return c.VMs(ctx) }, "5s").Should(Equal([]port.VM{a}))
}

// Guards against faults that have the wrong effect: a write whose answer is lost must take effect exactly once, and a
// request during an outage or after a timeout must not take effect. In each case the client must report that the store is
// unavailable, which leaves the result of a write open.
func TestFaults(t *testing.T) {
	g := NewWithT(t)
	p, c := start(t)
	put := func(key string) error { return c.Commit(ctx, nil, []port.Write{{Key: key}}) }
	version := func(key string) uint64 {
		r, err := c.Get(ctx, key)
		g.Expect(err).NotTo(HaveOccurred())
		return r.Version
	}
	p.LoseAnswers(1)
	g.Expect(result.CodeOf(put("lost"))).To(Equal(result.StoreUnavailable))
	g.Expect(version("lost")).To(Equal(uint64(1)), "the write took effect a second time or not at all")

	p.SetDown(true)
	g.Expect(result.CodeOf(put("down"))).To(Equal(result.StoreUnavailable))
	_, err := c.Get(ctx, "down")
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
	p.SetDown(false)
	g.Expect(version("down")).To(BeZero())

	p.SetDelay(time.Hour)
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = c.Get(short, "slow")
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
	p.SetDelay(0)

	p.SetLoss(0.5, 7)
	failed := 0
	for i := range 100 {
		if put(fmt.Sprint(i)) != nil {
			failed++
		}
	}
	p.SetLoss(0, 0)
	g.Expect(failed).To(BeNumerically("~", 50, 20))
	for i := range 100 {
		g.Expect(version(fmt.Sprint(i))).NotTo(BeZero())
	}
}

// Guards against an outage that doesn't begin exactly with the watched commit, and against losing the answer to that
// commit.
func TestDownWithNextCommit(t *testing.T) {
	g := NewWithT(t)
	p, c := start(t)
	accepted := p.NextCommit("config/", true)
	put := func(key string) error {
		return c.Commit(t.Context(), []port.VersionCheck{{Key: key}}, []port.Write{{Key: key, Value: []byte("x")}})
	}
	g.Expect(put("group/dues")).To(Succeed())
	g.Expect(accepted).NotTo(Receive())
	g.Expect(put("config/head")).To(Succeed())
	g.Expect(accepted).To(Receive())
	_, err := c.Get(t.Context(), "config/head")
	g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
}
