package catlog_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/owner"
	"verbenagate/core/result"
	"verbenagate/io/platf"
	"verbenagate/io/revlog"
)

// countingObjects is the object store of one VM. It counts the writes of the snapshot, and can fail or hang in writes.
type countingObjects struct {
	*platf.Client
	mu     sync.Mutex
	down   bool
	hang   bool
	writes int
}

func (c *countingObjects) PutObject(ctx context.Context, name string, body []byte) error {
	c.mu.Lock()
	down, hang := c.down, c.hang
	if !strings.HasSuffix(name, "-revision") {
		c.writes++
	}
	c.mu.Unlock()
	if hang {
		<-ctx.Done()
	}
	if down || hang {
		return result.New(result.StoreUnavailable, "no answer")
	}
	return c.Client.PutObject(ctx, name, body)
}

func (c *countingObjects) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// saverTest is a deployment whose order lists the VMs in the order in which they take over writing the snapshot. Its clock
// advances only in awaitSaved.
type saverTest struct {
	*deployment
	order        []string
	objects      map[string]*countingObjects
	clockAdvance atomic.Int64
}

func newSaverTest(t *testing.T) *saverTest {
	d := newDeployment(t, "late")
	s := &saverTest{deployment: d, objects: map[string]*countingObjects{}}
	s.order = owner.Order("config/snapshot", []string{"a", "b", "c"})
	start := time.Now()
	d.now = func() time.Time { return start.Add(time.Duration(s.clockAdvance.Load())) }
	d.live = liveVMs(s.order)
	for _, vm := range s.order {
		s.objects[vm] = &countingObjects{Client: d.store}
		d.objects = s.objects[vm]
		d.start(vm)
	}
	return s
}

// changeThroughEach makes n changes after revision from, through the VMs in turn, and waits until each is in force on all of
// them.
func (s *saverTest) changeThroughEach(from, n uint64, vms []string) {
	for i := range n {
		through := vms[int(i)%len(vms)]
		s.g.Expect(s.change(through, from+i)).To(gomega.Succeed())
		for _, vm := range vms {
			if vm != through {
				s.keepers[vm].SetPeerRevision(through, from+i+1) // stands for a heartbeat
			}
			s.awaitRevision(vm, from+i+1)
		}
	}
}

// awaitSaved waits until the saved snapshot has this revision, and advances the clock up to 90 s. The second VM writes the
// snapshot after 60 s, the third one after 120 s. The clock does not reach 120 s, however slow the machine is.
func (s *saverTest) awaitSaved(revision uint64) {
	s.t.Helper()
	s.g.Eventually(func() uint64 {
		if s.clockAdvance.Load() < int64(90*time.Second) {
			s.clockAdvance.Add(int64(time.Second))
		}
		body, err := s.store.GetObject(context.Background(), "config/snapshot")
		if err != nil {
			return 0
		}
		c, err := revlog.DecodeSnapshot(body)
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		return c.Revision()
	}, 30*time.Second).Should(gomega.Equal(revision))
}

// Guards against every VM that accepts changes writing the snapshot.
func TestOneVMWritesSnapshot(t *testing.T) {
	s := newSaverTest(t)
	s.changeThroughEach(0, 9, s.order)
	s.awaitSaved(9)
	s.g.Expect(s.objects[s.order[0]].count()).To(gomega.BeNumerically("<=", 2))
	s.g.Expect(s.objects[s.order[1]].count() + s.objects[s.order[2]].count()).To(gomega.BeZero())
}

// Guards against a snapshot that stays old because the first VM cannot write it: its writes to the object store fail or hang,
// or the VM is dead.
func TestOtherVMWritesSnapshot(t *testing.T) {
	for name, fault := range map[string]func(s *saverTest, vm string){
		"writes fail": func(s *saverTest, vm string) { s.objects[vm].down = true },
		"writes hang": func(s *saverTest, vm string) { s.objects[vm].hang = true },
		"dead": func(s *saverTest, vm string) {
			s.keepers[vm].Close()
			for _, other := range s.order[1:] {
				s.keepers[other].SetMembers(liveVMs(s.order[1:]))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSaverTest(t)
			fault(s, s.order[0])
			s.changeThroughEach(0, 4, s.order[1:])
			s.awaitSaved(4)
			s.g.Expect(s.objects[s.order[1]].count()).To(gomega.BeNumerically(">", 0))
			s.g.Expect(s.objects[s.order[2]].count()).To(gomega.BeZero())
		})
	}
}
