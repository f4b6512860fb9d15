package evict

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func ExampleCache_Ask() {
	now := time.Unix(0, 0)
	c := NewCache(NewWorkspaceLimits(2, 4))
	names := []string{"wait", "reuse", "open", "replace"}
	for _, workspace := range []string{"choir", "garden"} {
		c.Begin(workspace, now)
		c.Opened()
		c.Started()
	}
	fmt.Println(names[c.Ask("orchard", RoomForMore)])
	c.Release("garden")
	fmt.Println(names[c.Ask("garden", RoomForMore)], names[c.Ask("orchard", RoomForMore)])
	fmt.Println(c.Victim(now))
	// Output:
	// wait
	// reuse replace
	// garden true
}

// visit is a statement of a workspace.
type visit struct {
	who  int           // number of the workspace
	at   time.Duration // when it arrives
	work time.Duration // time on a slot
	hold time.Duration // time that the connection is held without a slot, as by a transaction between its statements
	next time.Duration // when the workspace sends its next statement
}

// zipf returns the statements of n workspaces, the i-th of which sends in proportion to 1/i, to a server of rate statements a second.
func zipf(seed uint64, n int, rate float64, length time.Duration) []visit {
	r := rand.New(rand.NewPCG(seed, uint64(n)))
	sums := make([]float64, n)
	sum := 0.0
	for i := range n {
		sum += 1 / float64(i+1)
		sums[i] = sum
	}
	var all []visit
	for at := 0.0; at < length.Seconds(); at += r.ExpFloat64() / rate {
		i, _ := slices.BinarySearch(sums, r.Float64()*sum)
		v := visit{
			at: time.Duration(at * float64(time.Second)), who: min(i, n-1),
			work: time.Duration((0.5 + r.Float64()) * 25 * float64(time.Millisecond)),
		}
		if r.IntN(6) == 0 {
			v.hold = time.Duration(r.ExpFloat64() * 100 * float64(time.Millisecond))
		}
		all = append(all, v)
	}
	next := make(map[int]time.Duration)
	for i := len(all) - 1; i >= 0; i-- {
		all[i].next = math.MaxInt64
		if at, ok := next[all[i].who]; ok {
			all[i].next = at
		}
		next[all[i].who] = all[i].at
	}
	return all
}

// server is the simulation of a server and of the pool of its owner.
type server struct {
	t        *testing.T
	cache    *Cache
	slots    int
	dialTime time.Duration
	oracle   bool // knows when each workspace sends its next statement
	now      time.Duration
	running  int
	events   events
	waiting  []*job // for a connection
	queued   []*job // for a slot
	upcoming map[string]time.Duration
	opened   int
	mostOpen int
	waits    map[int][]time.Duration // by workspace, from the arrival to the start
	lost     time.Duration           // slot time for opening
	passes   map[string]int          // of requests of workspaces that dominate the server, while one that uses no connection waits
	mostPass int
}

type job struct {
	Request
	visit
	dials bool
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newServer(t *testing.T, limit, slots int) *server {
	return &server{
		t: t, cache: NewCache(NewWorkspaceLimits(limit, slots)), slots: slots, dialTime: 12 * time.Millisecond,
		upcoming: make(map[string]time.Duration), waits: make(map[int][]time.Duration), passes: make(map[string]int),
	}
}

func (s *server) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *server) after(d time.Duration, do func()) { heap.Push(&s.events, event{s.now + d, do}) }

// run plays statements until all have been served.
func (s *server) run(visits []visit) {
	for _, v := range visits {
		heap.Push(&s.events, event{v.at, func() {
			j := &job{Request: NewRequest(fmt.Sprint("w", v.who), 1), visit: v}
			s.upcoming[j.workspace] = v.next
			s.waiting = append(s.waiting, j)
		}})
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
		s.grant()
		for s.startNext() {
			s.grant()
		}
		s.check()
	}
	if len(s.waiting)+len(s.queued) > 0 {
		s.t.Fatalf("%d statements wait for a connection and %d for a slot for good", len(s.waiting), len(s.queued))
	}
}

func (s *server) grant() {
	for len(s.waiting) > 0 {
		i, a := s.cache.Next(len(s.waiting), func(i int) *Request { return &s.waiting[i].Request }, RoomForMore)
		if a == Wait {
			return
		}
		j := s.waiting[i]
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.recordPasses(j)
		switch a {
		case Reuse:
			s.cache.Take(j.workspace, s.clock())
		case Replace:
			s.cache.Close(s.victim())
			fallthrough
		default:
			j.dials = true
			s.cache.Begin(j.workspace, s.clock())
		}
		s.queued = append(s.queued, j)
	}
}

// recordPasses counts, for each workspace that uses no connection and has a statement waiting, how many statements of workspaces that
// dominate the server were granted one.
func (s *server) recordPasses(granted *job) {
	seen := map[string]bool{}
	for _, w := range s.waiting {
		if h := s.cache.holdings[w.workspace]; (h == nil || h.inUse == 0) && w.workspace != granted.workspace && !seen[w.workspace] {
			seen[w.workspace] = true
			if s.cache.dominates(granted.workspace) {
				s.passes[w.workspace]++
				s.mostPass = max(s.mostPass, s.passes[w.workspace])
			}
		}
	}
	delete(s.passes, granted.workspace)
}

func (s *server) victim() string {
	if !s.oracle {
		v, _ := s.cache.Victim(s.clock())
		return v
	}
	victim, latest := "", time.Duration(-1)
	for workspace, h := range s.cache.holdings {
		// Only the last idle connection of a workspace is needed at its next statement.
		next := s.upcoming[workspace]
		if h.idle > 1 {
			next = math.MaxInt64
		}
		if h.idle > 0 && (next > latest || next == latest && workspace < victim) {
			victim, latest = workspace, next
		}
	}
	return victim
}

// startNext starts the next statements and reports whether it started any.
func (s *server) startNext() bool {
	started := false
	for s.running < s.slots && len(s.queued) > 0 {
		started = true
		j := s.queued[0]
		s.queued = s.queued[1:]
		s.running++
		if j.dials {
			j.dials = false
			s.opened++
			s.lost += s.dialTime
			s.after(s.dialTime, func() {
				s.running--
				s.cache.Opened()
				s.queued = append([]*job{j}, s.queued...)
			})
			continue
		}
		s.cache.Started()
		s.waits[j.who] = append(s.waits[j.who], s.now-j.at)
		s.after(j.work, func() {
			s.running--
			s.after(j.hold, func() { s.cache.Release(j.workspace) })
		})
	}
	return started
}

func (s *server) check() {
	s.mostOpen = max(s.mostOpen, s.cache.Open())
	if s.cache.Open() > s.cache.Limits().Open() {
		s.t.Fatalf("%d connections are open, %d allowed", s.cache.Open(), s.cache.Limits().Open())
	}
	limits := s.cache.Limits()
	if s.cache.Open() > s.cache.inUse && s.cache.Starting() < limits.starting && s.cache.Opening() < limits.opening {
		for _, w := range s.waiting {
			if h := s.cache.holdings[w.workspace]; h == nil || h.inUse == 0 || limits.open-s.cache.inUse > limits.reserve {
				s.t.Fatalf("a statement of %s waits while a connection is idle", w.workspace)
			}
		}
	}
	if s.cache.Opening() > max(s.slots/2, 1) {
		s.t.Fatalf("%d connections are being opened by a server with %d slots", s.cache.Opening(), s.slots)
	}
}

func percentile(all []time.Duration, p float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.SortFunc(all, cmp.Compare[time.Duration])
	return all[int(p*float64(len(all)-1))]
}

// Guards against choices of connections that cost many more slots than those of an oracle that knows when each workspace sends its next
// statement, against more connections than the limit, and against a request that waits although it could go on.
func TestSlotTimeAgainstOracle(t *testing.T) {
	const slots, length = 5, 60 * time.Second
	for _, workspaces := range []int{3, 80, 300, 1000} {
		for _, limit := range []int{17, 34, 51} {
			for _, rate := range []float64{35, 120} {
				visits := zipf(1, workspaces, rate, length)
				ours, best := newServer(t, limit, slots), newServer(t, limit, slots)
				best.oracle = true
				ours.run(visits)
				best.run(visits)
				share := func(s *server) float64 { return s.lost.Seconds() / (slots * length.Seconds()) }
				t.Logf("%4d workspaces, limit %d, %3.0f/s: %5d of %d open a connection, oracle %5d; slot time %.3f, oracle %.3f", workspaces, limit,
					rate, ours.opened, len(visits), best.opened, share(ours), share(best))
				if share(ours) > 1.3*share(best)+0.001 {
					t.Errorf("%.3f of the slots' time is spent on opening connections, %.3f by the oracle", share(ours), share(best))
				}
			}
		}
	}
}

// Guards against many workspaces that want a first connection at one moment, as after a change of the primary, and take all slots of the
// server from statements that have a connection, and against first connections that take much longer than the pace makes necessary.
func TestManyFirstConnections(t *testing.T) {
	const slots, newcomers = 6, 300
	s := newServer(t, 51, slots)
	visits := zipf(2, 1, 60, 8*time.Second)
	r := rand.New(rand.NewPCG(3, 3))
	for i := range newcomers {
		visits = append(visits, visit{who: 1 + i, at: 4 * time.Second, work: time.Duration(r.IntN(20)) * time.Millisecond, next: math.MaxInt64})
	}
	s.run(visits)
	if wait := percentile(s.waits[0], 0.99); wait > 60*time.Millisecond {
		t.Errorf("a statement of the workspace that has connections waits %s", wait)
	}
	// Each needs a slot for 12 ms and one for 10 ms on average.
	pace := newcomers * 12 * time.Millisecond / (slots / 2)
	var firsts []time.Duration
	for who, waits := range s.waits {
		if who > 0 {
			firsts = append(firsts, waits...)
		}
	}
	t.Logf("first connections: half after %s, all after %s; others wait %s at most", percentile(firsts, 0.5), percentile(firsts, 1),
		percentile(s.waits[0], 1))
	if last := percentile(firsts, 1); len(firsts) != newcomers || last > pace*3/2 {
		t.Errorf("%d first connections, the last one after %s; the pace allows %s", len(firsts), last, pace)
	}
}

// Guards against a workspace without work that waits behind one that has all connections, whether that sends more than the server can
// serve or keeps transactions open.
func TestLargeWorkspaceLeavesRoom(t *testing.T) {
	for name, hold := range map[string]time.Duration{"statements": 0, "transactions": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, 34, 5)
			var visits []visit
			for at := time.Duration(0); at < 4*time.Second; at += 2 * time.Millisecond {
				visits = append(visits, visit{who: 0, at: at, work: 25 * time.Millisecond, hold: hold, next: at + 2*time.Millisecond})
			}
			for at := 500 * time.Millisecond; at < 4*time.Second; at += 40 * time.Millisecond {
				who := 1 + int(at/(40*time.Millisecond))%20
				visits = append(visits, visit{who: who, at: at, work: 25 * time.Millisecond, next: at + 800*time.Millisecond})
			}
			s.run(visits)
			var small []time.Duration
			for who, waits := range s.waits {
				if who > 0 {
					small = append(small, waits...)
				}
			}
			large := percentile(s.waits[0], 0.5)
			t.Logf("half of the statements of the large workspace wait %s, those of others %s, at most %s", large, percentile(small, 0.5),
				percentile(small, 1))
			if worst := percentile(small, 1); worst > 200*time.Millisecond || large < 500*time.Millisecond {
				t.Errorf("a statement of a small workspace waits %s, half of those of the large one %s", worst, large)
			}
			if s.mostPass > maxPassedOver {
				t.Errorf("%d statements of workspaces that dominate the server went ahead of a workspace without a connection", s.mostPass)
			}
		})
	}
}

// Guards against a history that grows with every workspace that was ever seen, and against the loss of what is known of those that have
// connections.
func TestHistoryIsBounded(t *testing.T) {
	c, now := NewCache(NewWorkspaceLimits(4, 2)), time.Unix(0, 0)
	for range 50 {
		c.Begin("large", now)
		c.Opened()
		c.Started()
		c.Release("large")
		c.Close("large")
	}
	for i := range 10_000 {
		workspace := fmt.Sprint("w", i)
		c.Begin(workspace, now)
		c.Opened()
		c.Started()
		c.Release(workspace)
		c.Close(workspace)
		now = now.Add(time.Millisecond)
	}
	if len(c.uses) > 4*historyPerConnection+1 || len(c.holdings) > 0 {
		t.Errorf("%d workspaces are remembered, %d hold connections", len(c.uses), len(c.holdings))
	}
	if len(c.uses["large"]) == 0 {
		t.Error("the workspace that is used most is forgotten")
	}
}

// Guards against a pool without workspaces that treats requests otherwise than in the order of their urgency, or that opens fewer
// connections at a time than it may.
func TestWithoutWorkspaces(t *testing.T) {
	c, now := NewCache(NewLimits(3)), time.Unix(0, 0)
	requests := []Request{NewRequest("", 1), NewRequest("", 0), NewRequest("", 1)}
	for range 3 {
		i, a := c.Next(len(requests), func(i int) *Request { return &requests[i] }, RoomForMore)
		if i != 0 || a != Open {
			t.Fatalf("request %d is next, with action %d", i, a)
		}
		c.Begin("", now)
	}
	if _, a := c.Next(1, func(i int) *Request { return &requests[i] }, RoomForMore); a != Wait {
		t.Errorf("action %d at the limit", a)
	}
	c.Opened()
	c.Started()
	c.Release("")
	if i, a := c.Next(3, func(i int) *Request { return &requests[i] }, NoRoom); i != 0 || a != Reuse {
		t.Errorf("request %d is next, with action %d", i, a)
	}
}
