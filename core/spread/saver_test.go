package spread_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"verbenagate/core/spread"
)

// savers simulates VMs that write the snapshot to one object. The attempts of the VMs in broken have no effect.
type savers struct {
	vms    map[string]*spread.Saver
	object uint64
	writes map[string]int
	broken map[string]bool
}

func newSavers(ids ...string) *savers {
	c := &savers{vms: map[string]*spread.Saver{}, writes: map[string]int{}, broken: map[string]bool{}}
	for _, id := range ids {
		c.vms[id] = spread.NewSaver(id)
		c.vms[id].SetMembers(live{"dc": ids})
	}
	return c
}

// run lets all VMs act once a second. A change comes in every so many seconds, through the VMs in ids in turn.
func (c *savers) run(now time.Time, seconds, every int, ids []string, from uint64) (time.Time, uint64) {
	for i := range seconds {
		if every > 0 && i%every == 0 {
			from++
			for _, s := range c.vms {
				s.RevisionApplied(now, from)
			}
			c.vms[ids[int(from)%len(ids)]].RevisionAccepted(from)
		}
		for id, s := range c.vms {
			if !s.BeginIfDue(now) {
				continue
			}
			switch {
			case c.broken[id]:
				s.Done(now, 0)
			case s.ShouldWrite(c.object):
				c.object = from
				c.writes[id]++
				s.Done(now, from)
			default:
				s.Done(now, c.object)
			}
		}
		now = now.Add(time.Second)
	}
	return now, from
}

func (c *savers) total() int {
	n := 0
	for _, w := range c.writes {
		n += w
	}
	return n
}

// usualWriter returns the VM that writes the snapshot as long as nothing fails.
func usualWriter(ids []string) string {
	c := newSavers(ids...)
	c.run(t0, 1, 1, ids, 0)
	for id := range c.writes {
		return id
	}
	return ""
}

// Guards against every VM that accepts changes writing the snapshot.
func TestOneVMSaves(t *testing.T) {
	g := NewWithT(t)
	ids := []string{"a", "b", "c", "d", "e", "f"}
	c := newSavers(ids...)
	now, last := c.run(t0, 3600, 7, ids, 0)
	g.Expect(c.writes).To(HaveLen(1))
	g.Expect(c.total()).To(BeNumerically("<=", 3600/30))
	c.run(now, 600, 0, ids, last)
	g.Expect(c.object).To(Equal(last))
	writes := c.total()
	c.run(now.Add(time.Hour), 3600, 0, ids, last)
	g.Expect(c.total()).To(Equal(writes), "writes without a change")
}

// Guards against a snapshot that stays old because the VM that writes it is dead, cannot reach the object store, or has stopped
// but still counts as live, and against one that stays old because this holds for all VMs that write it.
func TestOthersSave(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	writer := usualWriter(ids)
	for name, fault := range map[string]func(c *savers){
		"object store unreachable": func(c *savers) { c.broken[writer] = true },
		"stopped but live":         func(c *savers) { delete(c.vms, writer) },
		"dead": func(c *savers) {
			delete(c.vms, writer)
			var rest []string
			for id := range c.vms {
				rest = append(rest, id)
			}
			for _, s := range c.vms {
				s.SetMembers(live{"dc": rest})
			}
		},
	} {
		g := NewWithT(t)
		c := newSavers(ids...)
		fault(c)
		var rest []string
		for _, id := range ids {
			if id != writer {
				rest = append(rest, id)
			}
		}
		now, last := c.run(t0, 3600, 7, rest, 0)
		g.Expect(c.object).To(BeNumerically(">", last-30), name)
		g.Expect(c.total()).To(BeNumerically("<=", 3600/30), name)
		c.run(now, 600, 0, rest, last)
		g.Expect(c.object).To(Equal(last), name)
	}
	for _, only := range ids { // the only VM that reaches the object store, and through which the changes come in
		g := NewWithT(t)
		c := newSavers(ids...)
		for _, id := range ids {
			c.broken[id] = id != only
		}
		now, last := c.run(t0, 60, 7, []string{only}, 0)
		c.run(now, 600, 0, ids, last)
		g.Expect(c.object).To(Equal(last), only)
	}
}

// Guards against a snapshot that stays old after the object store returned to an older state.
func TestSaverAfterOlderObject(t *testing.T) {
	g := NewWithT(t)
	ids := []string{"a", "b", "c"}
	c := newSavers(ids...)
	now, last := c.run(t0, 100, 7, ids, 0)
	c.object = 1
	now, last = c.run(now, 1, 1, ids, last) // the next change
	c.run(now, 60, 0, ids, last)
	g.Expect(c.object).To(Equal(last))
}
