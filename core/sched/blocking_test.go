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

// maxP99Ratio is the target for head-of-line blocking: the p99 latency of short work with stragglers, divided by that without.
const maxP99Ratio = 1.3

// arrival is one unit of the simulated load.
type arrival struct {
	at      time.Duration
	service time.Duration
	long    bool
	// deferred says that the unit has already waited elsewhere.
	deferred bool
}

// arrivals returns random Poisson arrivals with exponential service times: short work that keeps load slots busy, and
// stragglers that would keep longLoad slots busy.
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

// runningUnit is a unit that runs in the simulation.
type runningUnit struct {
	endsAt time.Duration
	item   *sched.Item
}

type runningHeap []runningUnit

func (e runningHeap) Len() int           { return len(e) }
func (e runningHeap) Less(i, j int) bool { return e[i].endsAt < e[j].endsAt }
func (e runningHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *runningHeap) Push(x any)        { *e = append(*e, x.(runningUnit)) }
func (e *runningHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// outcome is the result of a simulation. Its times are those of short work, without the first tenth of the span, in which
// service times are learned.
type outcome struct {
	p99  time.Duration // latency from arrival to end
	busy time.Duration // total of all slots
	// refused is how many units were shed.
	refused int
}

// limits holds the time from a unit's arrival to its deadline, and the longest wait of the queue. 0 means no limit.
type limits struct{ deadline, wait time.Duration }

// simulate runs the arrivals through a queue.
func simulate(slots int, span time.Duration, l limits, list []arrival) outcome {
	q := sched.New(slots, 1<<20)
	q.SetMaxWait(l.wait)
	var running runningHeap
	var took []time.Duration
	var busy time.Duration
	refused := 0
	start := func(now time.Duration) {
		started, shed := q.Next(begin.Add(now), slots)
		refused += len(shed)
		for _, it := range started {
			heap.Push(&running, runningUnit{now + it.Value().(arrival).service, it})
		}
	}
	end := func() {
		e := heap.Pop(&running).(runningUnit)
		a := e.item.Value().(arrival)
		q.Done(e.item, begin.Add(e.endsAt))
		if !a.long && a.at > span/10 {
			took = append(took, e.endsAt-a.at)
			busy += a.service
		}
		q.ReclassifyLong(begin.Add(e.endsAt))
		start(e.endsAt)
	}
	for _, a := range list {
		for len(running) > 0 && running[0].endsAt <= a.at {
			end()
		}
		fingerprint := short
		if a.long {
			fingerprint = long
		}
		q.ReclassifyLong(begin.Add(a.at))
		deadline := time.Time{}
		if l.deadline > 0 {
			deadline = begin.Add(a.at + l.deadline)
		}
		it := sched.NewItem("caller", fingerprint, deadline, sched.NeedsConnection, false, a)
		if a.deferred {
			it.MarkDeferred()
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

// firstComeP99 returns the p99 latency of short work for the baseline: first come, first served.
func firstComeP99(slots int, span time.Duration, list []arrival) time.Duration {
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

// Guards against stragglers that delay short work. Short work keeps up to half of the slots busy, and the stragglers demand
// twice as many slots as the server has. Simulated time, fixed seeds.
func TestHeadOfLine(t *testing.T) {
	const span = 200 * time.Second
	for _, c := range []struct {
		slots int
		load  float64
	}{{5, 0.1}, {5, 0.5}, {5, 1}, {5, 1.5}, {3, 0.1}, {3, 0.3}, {3, 0.6}} {
		alone := simulate(c.slots, span, limits{}, arrivals(1, span, c.load, 0)).p99
		list := arrivals(1, span, c.load, 2*float64(c.slots))
		mixed, baseline := simulate(c.slots, span, limits{}, list).p99, firstComeP99(c.slots, span, list)
		ratio := float64(mixed) / float64(alone)
		t.Logf("%d slots, %.1f busy with short work: p99 %v without stragglers, %v with them (ratio %.2f), %v first come, first served",
			c.slots, c.load, alone, mixed, ratio, baseline)
		if ratio > maxP99Ratio {
			t.Errorf("%d slots, load %.1f: p99 ratio %.2f exceeds %.1f", c.slots, c.load, ratio, maxP99Ratio)
		}
	}
}

// Guards against slots that stay idle during a peak of demand, against admitting work that cannot end in time, and against a
// queue that grows until all work waits for its deadline. The deadline is twice the p99 latency at normal load, or it is 30 s
// and the longest wait is that p99. The targets are those for a step to ten times the load.
func TestPeak(t *testing.T) {
	const span = 60 * time.Second
	const minGoodput, maxSlowdown = 0.95, 3.0
	for _, slots := range []int{3, 5} {
		normal := simulate(slots, span, limits{}, arrivals(2, span, 0.11*float64(slots), 0)).p99
		for _, l := range []limits{{deadline: 2 * normal}, {deadline: 30 * time.Second, wait: normal}} {
			for _, load := range []float64{1.1, 2, 10} {
				peak := simulate(slots, span, l, arrivals(2, span, load*float64(slots), 0))
				goodput := peak.busy.Seconds() / (float64(slots) * 0.9 * span.Seconds())
				slowdown := float64(peak.p99) / float64(normal)
				t.Logf("%d slots, demand for %.2f times as many, %+v: goodput %.3f, p99 %v, %v at normal load (ratio %.2f)",
					slots, load, l, goodput, peak.p99, normal, slowdown)
				if goodput < minGoodput || slowdown > maxSlowdown {
					t.Errorf("%d slots, demand for %.2f times as many, %+v: goodput %.3f, slowdown %.2f", slots, load, l, goodput, slowdown)
				}
			}
		}
	}
}

// Guards against refusing units of a burst that the slots can serve in time. The units of one second have waited for a new
// primary and arrive at once, on top of the usual demand.
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
