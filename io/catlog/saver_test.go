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

// countedObjects is the object store as one VM sees it.
type countedObjects struct {
	*platf.Client
	mu     sync.Mutex
	down   bool
	hang   bool
	writes int
}

func (c *countedObjects) PutObject(ctx context.Context, name string, body []byte) error {
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

func (c *countedObjects) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// saverTest is a deployment in which the order of the VMs that write the snapshot is known. The clock goes on in saved alone.
type saverTest struct {
	*deployment
	order   []string
	objects map[string]*countedObjects
	ahead   atomic.Int64
}

func newSaverTest(t *testing.T) *saverTest {
	d := newDeployment(t, "late")
	s := &saverTest{deployment: d, objects: map[string]*countedObjects{}}
	s.order = owner.Order("config/snapshot", []string{"a", "b", "c"})
	start := time.Now()
	d.now = func() time.Time { return start.Add(time.Duration(s.ahead.Load())) }
	d.live = names(s.order)
	for _, vm := range s.order {
		s.objects[vm] = &countedObjects{Client: d.store}
		d.objects = s.objects[vm]
		d.start(vm)
	}
	return s
}

// changeEach makes changes through one VM after the other and waits until they are in force.
func (s *saverTest) changeEach(from, n uint64, vms []string) {
	for i := range n {
		through := vms[int(i)%len(vms)]
		s.g.Expect(s.change(through, from+i)).To(gomega.Succeed())
		for _, vm := range vms {
			if vm != through {
				s.keepers[vm].Heard(through, from+i+1) // as by a heartbeat
			}
			s.await(vm, from+i+1)
		}
	}
}

// saved waits until the object holds this revision, while the clock goes on to 90 s. The second VM's turn comes after 60 s,
// the third one's after 120 s, which the clock does not reach however slow the machine is.
func (s *saverTest) saved(revision uint64) {
	s.t.Helper()
	s.g.Eventually(func() uint64 {
		if s.ahead.Load() < int64(90*time.Second) {
			s.ahead.Add(int64(time.Second))
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

// Guards against a write of the snapshot by each VM through which a change came.
func TestOneVMWritesSnapshot(t *testing.T) {
	s := newSaverTest(t)
	s.changeEach(0, 9, s.order)
	s.saved(9)
	s.g.Expect(s.objects[s.order[0]].count()).To(gomega.BeNumerically("<=", 2))
	s.g.Expect(s.objects[s.order[1]].count() + s.objects[s.order[2]].count()).To(gomega.BeZero())
}

// Guards against a snapshot that stays old because the VM that writes it is cut off from the object store, is silent there
// or is dead.
func TestOtherVMWritesSnapshot(t *testing.T) {
	for name, fault := range map[string]func(s *saverTest, vm string){
		"cut off": func(s *saverTest, vm string) { s.objects[vm].down = true },
		"silent":  func(s *saverTest, vm string) { s.objects[vm].hang = true },
		"dead": func(s *saverTest, vm string) {
			s.keepers[vm].Close()
			for _, other := range s.order[1:] {
				s.keepers[other].Members(names(s.order[1:]))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSaverTest(t)
			fault(s, s.order[0])
			s.changeEach(0, 4, s.order[1:])
			s.saved(4)
			s.g.Expect(s.objects[s.order[1]].count()).To(gomega.BeNumerically(">", 0))
			s.g.Expect(s.objects[s.order[2]].count()).To(gomega.BeZero())
		})
	}
}
