package reach

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/io/logs"
)

// network is a Monitor of a VM in dc0 with three VMs in each of three other data centres. Pings to addresses in silent fail.
type network struct {
	*Monitor
	now     time.Time
	silent  map[string]bool
	log     logs.Recorder
	changes atomic.Int64
}

func newNetwork() *network {
	n := &network{now: time.Unix(1000, 0), silent: make(map[string]bool)}
	self := lead.NewMember("self", 0, 0, nil).WithLocation("dc0", "self")
	n.Monitor = New(self, func(_ context.Context, address string, _ time.Duration) error {
		if n.silent[address] {
			return errors.New("no answer")
		}
		return nil
	}, func() time.Time { return n.now }, &n.log)
	n.onChange = func() { n.changes.Add(1) }
	var live []lead.Member
	for dc := range 4 {
		for i := range 3 {
			name := fmt.Sprintf("dc%d-%d", dc, i)
			live = append(live, lead.NewMember(name, 0, 0, nil).WithLocation(fmt.Sprint("dc", dc), name))
		}
	}
	n.SetMembers(live)
	return n
}

// run makes steps for d. The pings of a step end before the next one.
func (n *network) run(t *testing.T, d time.Duration) {
	for range d / pingInterval {
		n.step(t.Context())
		n.Wait()
		n.now = n.now.Add(pingInterval)
	}
	n.judge()
}

func (n *network) cut(on bool, dataCentres ...int) {
	for _, dc := range dataCentres {
		for i := range 3 {
			n.silent[fmt.Sprintf("dc%d-%d", dc, i)] = on
		}
	}
}

func (n *network) vm(name string) lead.Member {
	return lead.NewMember(name, 0, 0, nil).WithLocation(name[:3], name)
}

// Guards against a data centre that is cut off and that this VM notices only by the failures of its callers' statements, and against
// one that counts as unreachable for ever.
func TestDataCentreIsCutOff(t *testing.T) {
	n := newNetwork()
	n.run(t, 3*time.Second)
	if n.Unreachable("dc2") || n.CutOff() {
		t.Fatal("unreachable although all pings were answered")
	}
	n.cut(true, 2)
	n.run(t, 2500*time.Millisecond)
	if !n.Unreachable("dc2") || n.Unreachable("dc1") || n.CutOff() {
		t.Fatalf("state %+v, want dc2 alone to be unreachable", n.State())
	}
	n.cut(false, 2)
	n.run(t, 500*time.Millisecond)
	if n.Unreachable("dc2") {
		t.Fatal("dc2 is still unreachable although its VMs answer")
	}
	if want := []event.ID{event.DataCentreLost, event.DataCentreRegained}; !slices.Equal(n.log.Events(), want) || n.changes.Load() != 2 {
		t.Fatalf("events %v and %d changes, want %v and 2", n.log.Events(), n.changes.Load(), want)
	}
}

// Guards against a cut that is found only when the turn of the data centre's next contact comes: a call that is not answered makes
// the Monitor ping that data centre at once.
func TestUnansweredCallIsFollowedUp(t *testing.T) {
	n := newNetwork()
	n.cut(true, 3)
	n.RecordFailure(n.vm("dc3-0"), n.now)
	n.run(t, time.Second)
	if !n.Unreachable("dc3") {
		t.Fatalf("state %+v, want dc3 to be unreachable", n.State())
	}
}

// Guards against a data centre that counts as unreachable because one of its VMs has failed.
func TestOneVMFails(t *testing.T) {
	n := newNetwork()
	for range 10 {
		n.RecordFailure(n.vm("dc1-1"), n.now)
		n.silent["dc1-1"] = true
		n.run(t, 500*time.Millisecond)
		if n.Unreachable("dc1") {
			t.Fatal("unreachable although its other VMs answer")
		}
	}
}

// Guards against a VM that is cut off from all other data centres and does not notice it within a second.
func TestCutOffFromAll(t *testing.T) {
	n := newNetwork()
	n.run(t, time.Second)
	n.cut(true, 1, 2, 3)
	n.run(t, time.Second)
	if !n.CutOff() {
		t.Fatalf("state %+v, want cut off", n.State())
	}
}

// Guards against a VM that was suspended and takes itself for cut off, since its calls were not answered meanwhile.
func TestSuspendedVMIsNotCutOff(t *testing.T) {
	n := newNetwork()
	sent := n.now
	n.now = n.now.Add(4 * time.Second)
	for _, vm := range []string{"dc1-0", "dc1-1", "dc2-0"} {
		n.RecordFailure(n.vm(vm), sent)
	}
	if n.CutOff() || n.Unreachable("dc1") {
		t.Fatalf("state %+v after a suspension", n.State())
	}
}
