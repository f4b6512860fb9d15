package sched_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"verbenagate/core/result"
	"verbenagate/core/sched"
)

// maxRatio is the target for head-of-line blocking: p99 of short work with stragglers running against without.
const maxRatio = 1.3

// arrival is one unit of the simulated load.
type arrival struct {
	at      time.Duration
	service time.Duration
	long    bool
	// deferred says that the unit has waited elsewhere.
	deferred bool
}

// arrivals draws Poisson arrivals of short work with exponential service times that keep load slots busy, and stragglers
// that would keep longLoad slots busy.
func arrivals(seed uint64, span time.Duration, load, longLoad float64) []arrival {
	rnd := rand.New(rand.NewPCG(seed, 1))
	const shortMean, longMean = 2 * time.Millisecond, time.Second
	var list []arrival
	draw := func(mean time.Duration, load float64, long bool) {
		for t := time.Duration(0); load > 0; {
			t += time.Duration(rnd.ExpFloat64() * float64(mean) / load)
			if t > span {
				return
			}
			list = append(list, arrival{at: t, service: time.Duration(rnd.ExpFloat64() * float64(mean)), long: long})
		}
	}
	draw(shortMean, load, false)
	draw(longMean, longLoad, true)
	slices.SortFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
	return list
}

// ending is a running unit of the simulation.
type ending struct {
	at   time.Duration
	item *sched.Item
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// outcome is what a simulation shows of short work, after a tenth of the span in which service times are learned.
type outcome struct {
	p99  time.Duration // from arrival to end
	busy time.Duration // of all slots together
	// refused is how many units were shed.
	refused int
}

// limits are the time that callers give their work and the longest wait; 0 for none.
type limits struct{ deadline, wait time.Duration }

// simulate runs the arrivals through the queue.
func simulate(slots int, span time.Duration, l limits, list []arrival) outcome {
	q := sched.New(slots, 1<<20)
	q.SetMaxWait(l.wait)
	var running endings
	var took []time.Duration
	var busy time.Duration
	refused := 0
	start := func(now time.Duration) {
		started, shed := q.Next(begin.Add(now), slots)
		refused += len(shed)
		for _, it := range started {
			heap.Push(&running, ending{now + it.Value().(arrival).service, it})
		}
	}
	end := func() {
		e := heap.Pop(&running).(ending)
		a := e.item.Value().(arrival)
		q.Done(e.item, begin.Add(e.at))
		if !a.long && a.at > span/10 {
			took = append(took, e.at-a.at)
			busy += a.service
		}
		q.Tick(begin.Add(e.at))
		start(e.at)
	}
	for _, a := range list {
		for len(running) > 0 && running[0].at <= a.at {
			end()
		}
		fingerprint := short
		if a.long {
			fingerprint = long
		}
		q.Tick(begin.Add(a.at))
		deadline := time.Time{}
		if l.deadline > 0 {
			deadline = begin.Add(a.at + l.deadline)
		}
		it := sched.NewItem("caller", fingerprint, deadline, sched.Fresh, false, a)
		if a.deferred {
			it.Defer()
		}
		if q.Submit(it, begin.Add(a.at)) != result.OK {
			refused++
		}
		start(a.at)
	}
	for len(running) > 0 {
		end()
	}
	return outcome{p99(took), busy, refused}
}

// firstCome is the baseline: a single queue in the order of arrival.
func firstCome(slots int, span time.Duration, list []arrival) time.Duration {
	free := make([]time.Duration, slots)
	var took []time.Duration
	for _, a := range list {
		i := 0
		for j := range free {
			if free[j] < free[i] {
				i = j
			}
		}
		free[i] = max(free[i], a.at) + a.service
		if !a.long && a.at > span/10 {
			took = append(took, free[i]-a.at)
		}
	}
	return p99(took)
}

func p99(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)*99/100]
}

// Guards against stragglers that delay short work: up to half of the slots are kept busy by short work, and stragglers
// ask for twice the slots of the server. Simulated time, fixed seeds.
func TestHeadOfLine(t *testing.T) {
	const span = 200 * time.Second
	for _, c := range []struct {
		slots int
		load  float64
	}{{5, 0.1}, {5, 0.5}, {5, 1}, {5, 1.5}, {3, 0.1}, {3, 0.3}, {3, 0.6}} {
		quiet := simulate(c.slots, span, limits{}, arrivals(1, span, c.load, 0)).p99
		list := arrivals(1, span, c.load, 2*float64(c.slots))
		busy, baseline := simulate(c.slots, span, limits{}, list).p99, firstCome(c.slots, span, list)
		ratio := float64(busy) / float64(quiet)
		t.Logf("%d slots, %.1f busy with short work: p99 %v quiet, %v with stragglers (ratio %.2f), %v first come first served",
			c.slots, c.load, quiet, busy, ratio, baseline)
		if ratio > maxRatio {
			t.Errorf("%d slots, load %.1f: ratio %.2f exceeds %.1f", c.slots, c.load, ratio, maxRatio)
		}
	}
}

// Guards against a peak of demand at which slots stay idle, against work that is admitted although it cannot end in time,
// and against a queue that grows until all work waits for its deadline. Callers give their work twice its quiet p99, or 30 s
// with a longest wait of the quiet p99; the targets are those for a step to ten times the load.
func TestPeak(t *testing.T) {
	const span = 60 * time.Second
	const minGoodput, maxSlowdown = 0.95, 3.0
	for _, slots := range []int{3, 5} {
		quiet := simulate(slots, span, limits{}, arrivals(2, span, 0.11*float64(slots), 0)).p99
		for _, l := range []limits{{deadline: 2 * quiet}, {deadline: 30 * time.Second, wait: quiet}} {
			for _, load := range []float64{1.1, 2, 10} {
				peak := simulate(slots, span, l, arrivals(2, span, load*float64(slots), 0))
				goodput := peak.busy.Seconds() / (float64(slots) * 0.9 * span.Seconds())
				slowdown := float64(peak.p99) / float64(quiet)
				t.Logf("%d slots, load %.2f of them, %+v: goodput %.3f, p99 %v against %v quiet (%.2f)",
					slots, load, l, goodput, peak.p99, quiet, slowdown)
				if goodput < minGoodput || slowdown > maxSlowdown {
					t.Errorf("%d slots, load %.2f, %+v: goodput %.3f, slowdown %.2f", slots, load, l, goodput, slowdown)
				}
			}
		}
	}
}

// Guards against the refusal of a burst that the slots can do: the units of one second have waited for a new primary and
// arrive at once, on top of the usual demand.
func TestBurstAfterChangeOfPrimary(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 0.8} {
		for _, slots := range []int{3, 5} {
			const span = 20 * time.Second
			list := arrivals(3, span, load*float64(slots), 0)
			for i := range list {
				if list[i].at > 9*time.Second && list[i].at < 10*time.Second {
					list[i].at, list[i].deferred = 10*time.Second, true
				}
			}
			burst := simulate(slots, span, limits{deadline: 30 * time.Second, wait: time.Second}, list)
			if burst.refused > 0 {
				t.Errorf("%d slots, load %.1f: %d units were refused", slots, load, burst.refused)
			}
		}
	}
}
