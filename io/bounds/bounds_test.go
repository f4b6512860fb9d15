package bounds_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"verbenagate/core/result"
	"verbenagate/io/bounds"
)

// Guards against bytes that are never given back, bytes beyond the limit, and connections that wait for each other's bytes for ever.
func TestConcurrentHoldings(t *testing.T) {
	g := gomega.NewWithT(t)
	const limit, part = 100, 10
	account := bounds.NewAccount(limit)
	var refused, complete atomic.Int64
	var wg sync.WaitGroup
	for range 30 {
		wg.Go(func() {
			var evicted atomic.Int64
			h := account.Open("caller", func(string) { evicted.Add(1) })
			defer h.Close()
			for range 5 { // All of them together would take three times the limit.
				closing := evicted.Load() > 0
				err := h.Grow(part)
				if closing && err == nil || evicted.Load() > 1 {
					t.Error("a connection that is to be closed goes on, or is closed twice")
				}
				if err != nil {
					if result.CodeOf(err) == result.Overloaded {
						refused.Add(1)
					}
					return
				}
				if account.Used() > limit {
					t.Error("more bytes than the limit")
				}
				time.Sleep(5 * time.Millisecond)
			}
			h.Received()
			complete.Add(1)
			h.Settle()
		})
	}
	wg.Wait()
	g.Expect(refused.Load() + complete.Load()).To(gomega.Equal(int64(30)))
	g.Expect(account.Used()).To(gomega.BeZero())
}

// Guards against a caller that stops in the middle of a message and keeps others from sending theirs, and against closing one whose
// message is complete.
func TestRoomForOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	account := bounds.NewAccount(100)
	closed := make(chan string, 10)
	open := func(name string) *bounds.Holding {
		var h *bounds.Holding
		h = account.Open(name, func(string) {
			closed <- name
			go h.Close()
		})
		return h
	}
	running, stopped, other := open("running"), open("stopped"), open("other")
	g.Expect(running.Grow(50)).To(gomega.Succeed())
	running.Received()
	g.Expect(stopped.Grow(50)).To(gomega.Succeed())
	g.Expect(other.Grow(50)).To(gomega.Succeed())
	g.Expect(closed).To(gomega.Receive(gomega.Equal("stopped")))
	g.Expect(account.State().Largest).To(gomega.HaveLen(2))
	other.Received()
	other.Settle()
	g.Expect(other.GrowState(60)).NotTo(gomega.Succeed(), "state may take half of the limit")
	g.Expect(other.GrowState(50)).To(gomega.Succeed())
	g.Expect(other.GrowState(-20)).To(gomega.Succeed())
	g.Expect(account.Used()).To(gomega.Equal(int64(80)))
	other.Close()
	running.Close()
	g.Expect(account.Used()).To(gomega.BeZero())
	g.Expect(closed).NotTo(gomega.Receive())
}

// Guards against a message that never ends while there is room for it.
func TestOverdueIsClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	account := bounds.NewAccount(0)
	closed := make(chan string, 10)
	late, done := account.Open("late", func(string) { closed <- "late" }), account.Open("done", func(string) { closed <- "done" })
	for _, h := range []*bounds.Holding{late, done} {
		g.Expect(h.Grow(1000)).To(gomega.Succeed())
	}
	done.Received()
	account.CloseOverdue(time.Now())
	g.Expect(closed).NotTo(gomega.Receive())
	account.CloseOverdue(time.Now().Add(time.Hour))
	g.Expect(closed).To(gomega.Receive(gomega.Equal("late")))
	g.Expect(closed).NotTo(gomega.Receive())
}
