package spread_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"verbenagate/core/spread"
)

// savers is a set of VMs that write one object. What a VM in broken does has no effect.
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
		c.vms[id].Members(live{"dc": ids})
	}
	return c
}

// run lets all VMs act once a second, with a change every so many seconds through one VM after the other.
func (c *savers) run(now time.Time, seconds, every int, ids []string, from uint64) (time.Time, uint64) {
	for i := range seconds {
		if every > 0 && i%every == 0 {
			from++
			for _, s := range c.vms {
				s.Applied(now, from)
			}
			c.vms[ids[int(from)%len(ids)]].Accepted(from)
		}
		for id, s := range c.vms {
			if !s.Due(now) {
				continue
			}
			switch {
			case c.broken[id]:
				s.Done(now, 0)
			case s.Overdue(c.object):
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

// first returns the VM that writes in the usual case.
func first(ids []string) string {
	c := newSavers(ids...)
	c.run(t0, 1, 1, ids, 0)
	for id := range c.writes {
		return id
	}
	return ""
}

// Guards against a write of the snapshot by each VM through which changes come.
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
	g.Expect(c.total()).To(Equal(writes), "at rest")
}

// Guards against a snapshot that stays old because the VM that writes it is dead, does not reach the object store, or is
// silent but still counts as live; and against one that stays old because this holds for all VMs in the order.
func TestOthersSave(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	top := first(ids)
	for name, fault := range map[string]func(c *savers){
		"cut off": func(c *savers) { c.broken[top] = true },
		"silent":  func(c *savers) { delete(c.vms, top) },
		"dead": func(c *savers) {
			delete(c.vms, top)
			var rest []string
			for id := range c.vms {
				rest = append(rest, id)
			}
			for _, s := range c.vms {
				s.Members(live{"dc": rest})
			}
		},
	} {
		g := NewWithT(t)
		c := newSavers(ids...)
		fault(c)
		var rest []string
		for _, id := range ids {
			if id != top {
				rest = append(rest, id)
			}
		}
		now, last := c.run(t0, 3600, 7, rest, 0)
		g.Expect(c.object).To(BeNumerically(">", last-30), name)
		g.Expect(c.total()).To(BeNumerically("<=", 3600/30), name)
		c.run(now, 600, 0, rest, last)
		g.Expect(c.object).To(Equal(last), name)
	}
	for _, only := range ids { // reaches the object store and accepts the changes
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

// Guards against a snapshot that stays older after the object store came back older.
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
