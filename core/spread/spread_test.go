package spread_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"verbenagate/core/spread"
)

var t0 = time.Unix(1_800_000_000, 0)

func rev(n uint64) spread.Revision { return spread.NewRevision(n, fmt.Appendf(nil, "body %d", n)) }

func revs(from, to uint64) []spread.Revision {
	var out []spread.Revision
	for n := from; n <= to; n++ {
		out = append(out, rev(n))
	}
	return out
}

type live map[string][]string

func (l live) LiveIn(dc string) []string { return l[dc] }

func (l live) Live() []string {
	var all []string
	for _, ids := range l {
		all = append(all, ids...)
	}
	slices.Sort(all)
	return all
}

func actionsOf[A spread.Action](actions []spread.Action) []A {
	var out []A
	for _, a := range actions {
		if v, ok := a.(A); ok {
			out = append(out, v)
		}
	}
	return out
}

func poller() *spread.StateMachine {
	s := spread.New("vm", "dc", time.Second, t0)
	s.SetMembers(live{"dc": {"vm"}})
	return s
}

// Guards against revisions that are applied after a gap, twice or out of order.
func TestGapsAndLowerRevisionsAreRefused(t *testing.T) {
	g := NewWithT(t)
	s := poller()
	s.HandleRevisions(t0, spread.VM("x"), []spread.Revision{rev(2), rev(1), rev(1), rev(4), rev(2)})
	g.Expect(actionsOf[spread.Apply](s.Step(t0))).To(HaveLen(2))
	g.Expect(s.Applied()).To(BeEquivalentTo(2))
	got, ok := s.After(1, 10)
	g.Expect(ok).To(BeTrue())
	g.Expect(got).To(Equal(revs(2, 2)))
}

// Guards against every VM polling the store, or none.
func TestTwoVMsPerDataCentrePoll(t *testing.T) {
	g := NewWithT(t)
	l := live{"a": {"a1", "a2", "a3", "a4"}, "b": {"b1"}}
	count := map[string]int{}
	for dc, ids := range l {
		for _, id := range ids {
			s := spread.New(id, dc, time.Second, t0)
			s.SetMembers(l)
			s.HandleRevisions(t0, spread.VM("x"), revs(1, 1))
			if len(actionsOf[spread.Poll](s.Step(t0))) > 0 {
				count[dc]++
			}
			g.Expect(actionsOf[spread.Poll](s.Step(t0.Add(time.Millisecond)))).To(BeEmpty())
		}
	}
	g.Expect(count).To(Equal(map[string]int{"a": 2, "b": 1}))
}

// Guards against a store that returned to an older state and accepts new changes on top of the wrong revision, and against a
// false alarm when a revision arrives while the head is being read.
func TestOlderStore(t *testing.T) {
	g := NewWithT(t)
	s := poller()
	early := actionsOf[spread.Poll](s.Step(t0))[0]
	s.HandleRevisions(t0, spread.VM("x"), revs(1, 5))
	s.PollSucceeded(t0, early, 3)
	g.Expect(actionsOf[spread.StoreBehind](s.Step(t0))).To(BeEmpty())

	now := t0.Add(time.Second)
	poll := actionsOf[spread.Poll](s.Step(now))[0]
	s.PollSucceeded(now, poll, 3)
	actions := s.Step(now)
	g.Expect(actionsOf[spread.StoreBehind](actions)).To(HaveLen(1))
	g.Expect(actionsOf[spread.WriteBack](actions)[0].Revisions()).To(Equal(revs(4, 5)))
	g.Expect(s.Applied()).To(BeEquivalentTo(5))
	now = now.Add(time.Second)
	s.PollSucceeded(now, actionsOf[spread.Poll](s.Step(now))[0], 3)
	g.Expect(actionsOf[spread.StoreBehind](s.Step(now))).To(BeEmpty(), "reported once")
	now = now.Add(time.Second)
	s.PollSucceeded(now, actionsOf[spread.Poll](s.Step(now))[0], 5)
	now = now.Add(time.Minute)
	g.Expect(actionsOf[spread.WriteBack](s.Step(now))).To(BeEmpty())
}

// Guards against two VMs that keep different revisions under one number.
func TestConflict(t *testing.T) {
	g := NewWithT(t)
	s := poller()
	s.HandleRevisions(t0, spread.VM("x"), revs(1, 3))
	s.Step(t0)
	other := spread.NewRevision(2, []byte("other"))
	s.HandleRevisions(t0, spread.VM("y"), []spread.Revision{other})
	actions := s.Step(t0)
	g.Expect(actionsOf[spread.Conflict](actions)).To(HaveLen(1))
	g.Expect(actionsOf[spread.Rebuild](actions)).To(BeEmpty())
	fetch := actionsOf[spread.Fetch](actions)[0]
	g.Expect(fetch.Source().IsStore()).To(BeTrue())
	g.Expect(fetch.After()).To(BeEquivalentTo(1))
	s.HandleRevisions(t0, spread.Store(), []spread.Revision{other, rev(3)})
	g.Expect(actionsOf[spread.Rebuild](s.Step(t0))).To(HaveLen(1))
	g.Expect(s.Applied()).To(BeEquivalentTo(3))
	g.Expect(s.Log()[1]).To(Equal(other))
}

// Guards against a VM that starts while the store is down and stays without configuration.
func TestStartDuringOutage(t *testing.T) {
	g := NewWithT(t)
	s := spread.New("vm", "dc", time.Second, t0)
	s.SetMembers(live{"dc": {"vm", "a", "b", "c"}})
	s.Step(t0)
	s.PollFailed(t0)
	s.SetPeerRevision("a", 9)
	fetch := actionsOf[spread.Fetch](s.Step(t0))[0]
	g.Expect(fetch.Source()).To(Equal(spread.VM("a")))
	s.SetPeerRevision("b", 9)
	s.FetchFailed(t0, fetch)
	g.Expect(actionsOf[spread.Fetch](s.Step(t0))[0].Source()).To(Equal(spread.VM("b")))

	alone := spread.New("vm", "dc", time.Second, t0)
	alone.Step(t0)
	alone.PollFailed(t0)
	g.Expect(actionsOf[spread.FetchSnapshot](alone.Step(t0.Add(10 * time.Second)))).To(HaveLen(1))
	alone.HandleSnapshot(spread.Store(), spread.NewSnapshot(9, []byte("all")))
	alone.HandleSnapshot(spread.Store(), spread.NewSnapshot(8, nil))
	g.Expect(actionsOf[spread.LoadSnapshot](alone.Step(t0))).To(HaveLen(1))
	alone.HandleRevisions(t0, spread.VM("a"), revs(10, 11))
	g.Expect(alone.Applied()).To(BeEquivalentTo(11))
	_, ok := alone.After(5, 10)
	g.Expect(ok).To(BeFalse())
}

// Guards against a starting VM that replays the whole log although there is a snapshot, waits forever for a snapshot, or keeps
// a snapshot although the store has another revision under its number.
func TestStartFromSnapshot(t *testing.T) {
	g := NewWithT(t)
	start := func() *spread.StateMachine {
		s := poller()
		poll := actionsOf[spread.Poll](s.Step(t0))[0]
		s.PollSucceeded(t0, poll, 1000)
		actions := s.Step(t0)
		g.Expect(actionsOf[spread.FetchSnapshot](actions)).To(HaveLen(1))
		g.Expect(actionsOf[spread.Fetch](actions)).To(BeEmpty())
		return s
	}
	s := start()
	s.HandleSnapshot(spread.Store(), spread.NewSnapshot(990, []byte("all")).With(revs(891, 990)))
	actions := s.Step(t0)
	g.Expect(actionsOf[spread.LoadSnapshot](actions)).To(HaveLen(1))
	g.Expect(actionsOf[spread.Fetch](actions)[0].After()).To(BeEquivalentTo(989), "its last revision is compared with the store's")
	other := revs(990, 1000)
	other[0] = spread.NewRevision(990, []byte("another"))
	s.HandleRevisions(t0, spread.Store(), other)
	g.Expect(s.Applied()).To(BeEquivalentTo(1000))
	g.Expect(actionsOf[spread.Rebuild](s.Step(t0))).To(HaveLen(1))

	s = start()
	s.SnapshotFailed()
	g.Expect(actionsOf[spread.Fetch](s.Step(t0))[0].After()).To(BeEquivalentTo(0))

	s = start()
	g.Expect(actionsOf[spread.Fetch](s.Step(t0.Add(5 * time.Second)))).To(BeEmpty())
	g.Expect(actionsOf[spread.Fetch](s.Step(t0.Add(11 * time.Second)))[0].After()).To(BeEquivalentTo(0))
	s.HandleSnapshot(spread.Store(), spread.NewSnapshot(990, []byte("late")))
	g.Expect(actionsOf[spread.LoadSnapshot](s.Step(t0))).To(HaveLen(1))

	gap := append(revs(1, 3), rev(5))
	s = poller()
	s.HandleSnapshot(spread.Store(), spread.NewSnapshot(5, nil).With(gap))
	g.Expect(s.Log()).To(BeEmpty(), "revisions with a gap cannot restore the store")
}

// cluster simulates a store and several VMs whose messages are delayed, lost and duplicated at random.
type cluster struct {
	t         *rapid.T
	now       time.Time
	store     []spread.Revision
	storeDown bool
	vms       []*vm
	// snapshotRevision is the revision of the snapshot in the object store, 0 for no snapshot.
	snapshotRevision uint64
	inFlight         []func() // deliveries of messages
}

type vm struct {
	id, dc      string
	state       *spread.StateMachine
	lastApplied uint64
	applied     []spread.Revision
}

func (c *cluster) perform(v *vm, a spread.Action) {
	switch a := a.(type) {
	case spread.Poll:
		head := uint64(len(c.store))
		if c.storeDown {
			v.state.PollFailed(c.now)
			return
		}
		c.inFlight = append(c.inFlight, func() { v.state.PollSucceeded(c.now, a, head) })
	case spread.Fetch:
		c.fetch(v, a)
	case spread.Apply:
		if a.Revision().Number() <= v.lastApplied {
			c.t.Fatalf("%s: revision %d is applied after %d", v.id, a.Revision().Number(), v.lastApplied)
		}
		v.lastApplied = a.Revision().Number()
		v.applied = append(v.applied, a.Revision())
	case spread.FetchSnapshot:
		n := c.snapshotRevision
		c.inFlight = append(c.inFlight, func() {
			if n == 0 {
				v.state.SnapshotFailed()
			} else {
				v.state.HandleSnapshot(spread.Store(), spread.NewSnapshot(n, nil).With(revs(n-min(n, 5)+1, n)))
			}
		})
	case spread.LoadSnapshot:
		n := a.Snapshot().Number()
		if n <= v.lastApplied {
			c.t.Fatalf("%s: the snapshot of revision %d is loaded after %d", v.id, n, v.lastApplied)
		}
		v.lastApplied, v.applied = n, revs(1, n)
	case spread.WriteBack:
		for _, r := range a.Revisions() {
			if !c.storeDown && r.Number() == uint64(len(c.store))+1 {
				c.store = append(c.store, r)
			}
		}
	case spread.Conflict, spread.Rebuild:
		c.t.Fatalf("%s: %#v although all revisions agree", v.id, a)
	}
}

func (c *cluster) fetch(v *vm, a spread.Fetch) {
	var got []spread.Revision
	if a.Source().IsStore() {
		if c.storeDown {
			v.state.FetchFailed(c.now, a)
			return
		}
		got = slices.Clone(c.store[min(int(a.After()), len(c.store)):])
	} else {
		for _, o := range c.vms {
			if o.id == a.Source().ID() {
				got, _ = o.state.After(a.After(), spread.MaxFetchRevisions)
			}
		}
	}
	c.inFlight = append(c.inFlight, func() { v.state.HandleRevisions(c.now, a.Source(), got) })
}

func (c *cluster) step() {
	for _, v := range c.vms {
		for _, a := range v.state.Step(c.now) {
			c.perform(v, a)
		}
	}
}

// deliverAll delivers all messages for 20 simulated seconds, in which the VMs also learn each other's revisions.
func (c *cluster) deliverAll() {
	for range 400 {
		c.now = c.now.Add(50 * time.Millisecond)
		calls := c.inFlight
		c.inFlight = nil
		for _, f := range calls {
			f()
		}
		for _, v := range c.vms {
			for _, o := range c.vms {
				v.state.SetPeerRevision(o.id, o.state.Applied())
			}
		}
		c.step()
	}
}

// Guards against VMs that go back to a lower revision or end with different ones. Messages are reordered, lost and duplicated,
// the store is down or returns to an older state, and VMs restart without configuration, with or without a snapshot, which may
// be older or newer than the store.
func TestAllConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{t: t, now: t0}
		l := live{}
		for i := range rapid.IntRange(1, 6).Draw(t, "vms") {
			dc := fmt.Sprint("dc", i%2)
			id := fmt.Sprint("vm", i)
			l[dc] = append(l[dc], id)
			c.vms = append(c.vms, &vm{id: id, dc: dc, state: spread.New(id, dc, time.Second, c.now)})
		}
		for _, v := range c.vms {
			v.state.SetMembers(l)
		}
		newestRevision := func() uint64 {
			n := uint64(len(c.store))
			for _, v := range c.vms {
				n = max(n, v.state.Applied())
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) {
				// A change is accepted only on top of the highest revision.
				if n := newestRevision(); !c.storeDown && n == uint64(len(c.store)) {
					c.store = append(c.store, rev(n+1))
				}
			},
			"time": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				c.step()
			},
			"deliver": func(t *rapid.T) {
				if len(c.inFlight) > 0 {
					i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "call")
					c.inFlight[i]()
					if rapid.Bool().Draw(t, "once") {
						c.inFlight = slices.Delete(c.inFlight, i, i+1)
					}
				}
			},
			"lose": func(*rapid.T) { c.inFlight = nil },
			"hear": func(t *rapid.T) {
				from := rapid.SampledFrom(c.vms).Draw(t, "from")
				rapid.SampledFrom(c.vms).Draw(t, "to").state.SetPeerRevision(from.id, from.state.Applied())
			},
			"snapshot": func(t *rapid.T) {
				c.snapshotRevision = max(c.snapshotRevision, rapid.SampledFrom(c.vms).Draw(t, "writer").state.Applied())
			},
			"restart": func(t *rapid.T) {
				// Revisions that are in no VM, nor in the store or the snapshot, cannot be recovered.
				i := rapid.IntRange(0, len(c.vms)-1).Draw(t, "vm")
				recoverable := uint64(len(c.store)) == newestRevision()
				for k, v := range c.vms {
					recoverable = recoverable || (k != i && v.state.Applied() == newestRevision() && len(v.state.Log()) == int(newestRevision()))
				}
				if recoverable {
					v := c.vms[i]
					c.inFlight = nil
					*v = vm{id: v.id, dc: v.dc, state: spread.New(v.id, v.dc, time.Second, c.now)}
					v.state.SetMembers(l)
				}
			},
			"outage": func(t *rapid.T) { c.storeDown = rapid.Bool().Draw(t, "down") },
			"older": func(t *rapid.T) {
				// The store may lose only revisions that some VM still has.
				for _, v := range c.vms {
					if v.state.Applied() == uint64(len(c.store)) && len(c.store) > 0 {
						c.store = c.store[:rapid.IntRange(0, len(c.store)).Draw(t, "length")]
						return
					}
				}
			},
		})
		want := newestRevision()
		c.storeDown = false
		c.deliverAll()
		for _, v := range c.vms {
			if !slices.EqualFunc(v.applied, revs(1, want), func(a, b spread.Revision) bool { return string(a.Body()) == string(b.Body()) }) {
				t.Fatalf("%s applied up to %d, want all up to %d", v.id, v.lastApplied, want)
			}
		}
		if uint64(len(c.store)) != want {
			t.Fatalf("the store has %d revisions, want %d", len(c.store), want)
		}
	})
}

func ExampleStateMachine() {
	now := time.Unix(1_800_000_000, 0)
	s := spread.New("vm-1", "north", time.Second, now)
	s.SetPeerRevision("vm-2", 2)
	for _, a := range s.Step(now) {
		if f, ok := a.(spread.Fetch); ok {
			fmt.Printf("fetch after %d from %s\n", f.After(), f.Source().ID())
		}
	}
	s.HandleRevisions(now, spread.VM("vm-2"), []spread.Revision{
		spread.NewRevision(1, []byte("first")), spread.NewRevision(2, []byte("second")),
	})
	for _, a := range s.Step(now) {
		if r, ok := a.(spread.Apply); ok {
			fmt.Printf("apply %d: %s\n", r.Revision().Number(), r.Revision().Body())
		}
	}
	// Output:
	// fetch after 0 from vm-2
	// apply 1: first
	// apply 2: second
}

// Guards against an accepted revision that is dropped because the one before it is not in force yet, and against one that is
// applied after a gap or twice.
func TestAcceptedAfterGap(t *testing.T) {
	g := NewWithT(t)
	s := poller()
	s.HandleRevisions(t0, spread.VM("x"), revs(1, 1))
	s.RevisionAccepted(rev(4))
	s.RevisionAccepted(rev(3))
	g.Expect(s.Applied()).To(BeEquivalentTo(1))
	s.HandleRevisions(t0, spread.VM("x"), revs(2, 3))
	g.Expect(s.Applied()).To(BeEquivalentTo(4))
	g.Expect(s.Log()).To(Equal(revs(1, 4)))
	g.Expect(actionsOf[spread.Conflict](s.Step(t0))).To(BeEmpty())
}
