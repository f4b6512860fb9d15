package route

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"verbenagate/core/even"
	"verbenagate/core/owner"
	"verbenagate/core/point"
	"verbenagate/core/port"
	"verbenagate/core/work"
)

// trial is one run of reads of many VMs on groups of servers, on the project's clock and without a network. The arrivals and the
// work of each read depend only on the seed, so that policies are compared on the same demand.
type trial struct {
	vms, groups, groupSize int
	// age is how old a VM lets a report become before it takes the next one that arrives with an answer.
	age  time.Duration
	load float64 // demand, as a share of what the replicas can do
	// slow is by how much server slowServer of the first group is slower than the others; 0 for equal servers.
	slow float64
	// dataCentres is in how many data centres the VMs are. The servers are in the first three.
	dataCentres int
	anywhere    bool // servers in other data centres cost no more
	// skew is the demand of each VM of data centre 1, as a multiple of that of other VMs.
	skew float64
	// fails is the share of the reads that slowServer of the first group, or both replicas if alike is set, fails from failsFrom until
	// failsUntil after the start: at once, or after hangTime if hangs is set.
	fails        float64
	alike, hangs bool
	policy       policy
	seed         uint64
}

const (
	trialLength = 13 * time.Second
	trialWarmUp = 4 * time.Second
	trialSlots  = 4
	// meanWork is the mean time for a read. Nine of ten reads are short, the tenth takes 5 times as long, and each varies
	// exponentially around that.
	meanWork      = 12 * time.Millisecond
	longShare     = 0.1
	longFactor    = 5
	slowServer    = 1
	failsFrom     = 5 * time.Second
	failsUntil    = 8 * time.Second
	failureTime   = time.Millisecond
	hangTime      = 500 * time.Millisecond
	bucket        = 500 * time.Millisecond
	sampleSpacing = 5 * time.Millisecond
	localDelay    = 300 * time.Microsecond
	remoteDelay   = 1400 * time.Microsecond
)

// policy chooses the server of a read.
type policy struct {
	name string
	// choose returns the index of the server.
	choose func(t *trialGroup, v *trialVM, now time.Time) int
	// report tells a VM's table the load of a server; nil if the policy uses no reports.
	report func(v *trialVM, now time.Time, server int, r even.Report)
	// sendBack says that owners send reads back as the VM's table asks them to.
	sendBack bool
	// central says that the reads of a group wait in one queue for all replicas.
	central bool
}

func chooseByTable(_ *trialGroup, v *trialVM, now time.Time) int { return chooseOther(v, now, "s0") }

// chooseOther chooses a replica other than one. The primary is left out, since it has other work.
func chooseOther(v *trialVM, now time.Time, excluded string) int {
	id, ok := v.table.Choose(now, NewAtLeast(point.New(1, 1)), []string{"s0", excluded})
	if !ok {
		return -1
	}
	return serverNumber(id)
}

func serverName(n int) string { return "s" + strconv.Itoa(n) }

func serverNumber(id string) int {
	n, err := strconv.Atoi(id[1:])
	if err != nil {
		panic(err)
	}
	return n
}

func recordAsServerInfo(v *trialVM, now time.Time, server int, r even.Report) {
	v.table.RecordReport(now, work.ServerInfo{
		Address: serverName(server), Term: 1, Applied: 1, Role: port.RoleReplica, Running: r.Load(),
	})
}

var (
	ownCounts = policy{name: "own requests in flight", choose: chooseByTable}
	random    = policy{name: "at random", choose: func(t *trialGroup, _ *trialVM, _ time.Time) int {
		return t.replicas[t.random.IntN(len(t.replicas))]
	}}
	lastReport = policy{name: "least loaded by the last report", choose: chooseByTable, report: recordAsServerInfo}
	twoChoices = policy{
		name: "two random choices by the last report",
		choose: func(t *trialGroup, v *trialVM, now time.Time) int {
			excluded := []string{"s0"}
			keep := t.random.Perm(len(t.replicas))[:2]
			for i, s := range t.replicas {
				if !slices.Contains(keep, i) {
					excluded = append(excluded, serverName(s))
				}
			}
			id, _ := v.table.Choose(now, NewAtLeast(point.New(1, 1)), excluded)
			return serverNumber(id)
		},
		report: recordAsServerInfo,
	}
	decayingReport = policy{
		name: "own requests and a decaying report", choose: chooseByTable,
		report: func(v *trialVM, now time.Time, server int, r even.Report) {
			v.table.RecordLoad(now, serverName(server), even.NewReport(r.Load(), r.Demand(), 0, r.Service()), 1)
		},
	}
	shares = policy{
		name: "shares", choose: chooseByTable,
		report: func(v *trialVM, now time.Time, server int, r even.Report) {
			v.table.RecordLoad(now, serverName(server), r, 1)
		},
	}
	sharesAndSentBack = policy{name: "shares, and sent back by owners", choose: chooseByTable, report: shares.report, sendBack: true}
	centralQueue      = policy{name: "central queue", central: true}
)

type trialVM struct {
	dataCentre int
	place      even.Place
	table      *Table
	reportedAt []time.Time
}

type trialServer struct {
	dataCentre int
	slowness   float64
	running    int
	waiting    []trialRead
	meter      even.Meter
	arrivals   int
	sum, sum2  float64                       // of the samples of its load
	timeline   [trialLength / bucket]float64 // arrivals
}

func (s *trialServer) load() int { return s.running + len(s.waiting) }

type trialRead struct {
	vm         int
	work       time.Duration
	sent       time.Time
	sendBackAt int
	again      bool // it has failed before
}

type trialGroup struct {
	random   *rand.Rand
	vms      []trialVM
	servers  []trialServer
	replicas []int
	queue    []trialRead // of all replicas, if it is central
}

// figures are the results of a trial.
type figures struct {
	busiest   float64 // arrivals of the busiest replica over the mean
	swing     float64 // standard deviation of the load of a replica over time, averaged over the replicas
	mean, p99 time.Duration
	remote    float64   // share of the reads in another data centre than their VM
	again     float64   // share of the reads that owners sent back
	timeline  []float64 // share of the first group's reads on slowServer, by bucket
	slowShare float64   // share of the first group's reads on the slow server
}

type trialEvent struct {
	at  time.Duration
	seq int
	run func(now time.Time)
}

type trialEvents []trialEvent

func (q trialEvents) Len() int { return len(q) }
func (q trialEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q trialEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *trialEvents) Push(x any)   { *q = append(*q, x.(trialEvent)) }
func (q *trialEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// run plays the trial, one group after the other, since they share nothing.
func (tr trial) run() figures {
	var latencies []time.Duration
	var f figures
	var arrivals []float64
	remote, sentBack := 0, 0
	for n := range tr.groups {
		g, took, elsewhere, again := tr.runGroup(n)
		latencies, remote, sentBack = append(latencies, took...), remote+elsewhere, sentBack+again
		all := 0
		for _, i := range g.replicas {
			s := &g.servers[i]
			arrivals = append(arrivals, float64(s.arrivals))
			all += s.arrivals
			samples := float64((trialLength - trialWarmUp) / sampleSpacing)
			f.swing += math.Sqrt(max(s.sum2/samples-s.sum*s.sum/samples/samples, 0))
		}
		if n == 0 {
			f.slowShare = float64(g.servers[slowServer].arrivals) / float64(all)
			for i, n := range g.servers[slowServer].timeline {
				all := 0.0
				for _, k := range g.replicas {
					all += g.servers[k].timeline[i]
				}
				f.timeline = append(f.timeline, n/all)
			}
		}
	}
	f.swing /= float64(len(arrivals))
	total := 0.0
	for _, a := range arrivals {
		total += a
	}
	f.busiest = slices.Max(arrivals) / (total / float64(len(arrivals)))
	f.remote, f.again = float64(remote)/total, float64(sentBack)/total*float64(trialLength-trialWarmUp)/float64(trialLength)
	slices.Sort(latencies)
	sum := time.Duration(0)
	for _, l := range latencies {
		sum += l
	}
	f.mean, f.p99 = sum/time.Duration(len(latencies)), latencies[len(latencies)*99/100]
	return f
}

func (tr trial) newGroup(n int) *trialGroup {
	g := &trialGroup{random: rand.New(rand.NewPCG(tr.seed, uint64(n)+1000))}
	var ids []string
	for i := range tr.groupSize {
		s := trialServer{dataCentre: i % 3, slowness: 1}
		if n == 0 && i == slowServer && tr.slow > 0 {
			s.slowness = tr.slow
		}
		g.servers = append(g.servers, s)
		ids = append(ids, serverName(i))
		if i > 0 {
			g.replicas = append(g.replicas, i)
		}
	}
	costs := NewCosts(0.5, 0.5)
	if tr.anywhere {
		costs = NewCosts(0, 0.5)
	}
	for i := range tr.vms {
		v := trialVM{dataCentre: i % tr.dataCentres, reportedAt: make([]time.Time, tr.groupSize)}
		var members []Member
		// As in io/pool, each VM has an order of its own among servers of the same cost.
		for _, id := range owner.Order(fmt.Sprint("vm", i, "/", n), ids) {
			members = append(members, NewMember(id, fmt.Sprint("dc", serverNumber(id)%3), trialSlots))
		}
		v.table = NewTable(fmt.Sprint("dc", v.dataCentre), members, costs)
		v.table.RecordReport(start, work.ServerInfo{Address: "s0", Term: 1, Applied: 1, Role: port.RolePrimary})
		for k := 1; k < tr.groupSize; k++ {
			v.table.RecordReport(start, work.ServerInfo{Address: serverName(k), Term: 1, Applied: 1, Role: port.RoleReplica})
		}
		if !tr.anywhere {
			v.place = v.table.Place()
		}
		g.vms = append(g.vms, v)
	}
	return g
}

func (tr trial) runGroup(n int) (g *trialGroup, latencies []time.Duration, remote, sentBack int) {
	g = tr.newGroup(n)
	demand := rand.New(rand.NewPCG(tr.seed, uint64(n)))
	capacity := 0.0 // statements/s
	for _, i := range g.replicas {
		capacity += trialSlots / (meanWork.Seconds() * g.servers[i].slowness)
	}
	rate := tr.load * capacity
	var events trialEvents
	seq := 0
	after := func(at time.Duration, run func(now time.Time)) {
		seq++
		heap.Push(&events, trialEvent{at: at, seq: seq, run: run})
	}
	var serve func(i int, now time.Time)
	var send func(i int, r trialRead, now time.Time)
	serve = func(i int, now time.Time) {
		s := &g.servers[i]
		queue := &s.waiting
		if tr.policy.central {
			queue = &g.queue
		}
		for s.running < trialSlots && len(*queue) > 0 {
			r := (*queue)[0]
			*queue = (*queue)[1:]
			s.running++
			took := time.Duration(float64(r.work) * s.slowness)
			failed := n == 0 && (i == slowServer || tr.alike) && !now.Before(start.Add(failsFrom)) && now.Before(start.Add(failsUntil)) &&
				g.random.Float64() < tr.fails
			switch {
			case failed && tr.hangs:
				took = hangTime
			case failed:
				took = failureTime
			}
			end := now.Add(took)
			after(end.Sub(start), func(now time.Time) {
				s.running--
				if failed {
					s.meter.RecordFailure(now)
				} else {
					s.meter.RecordSuccess(now, took)
				}
				v := &g.vms[r.vm]
				report := s.meter.Report(now, s.load(), v.place)
				back := delay(v.dataCentre, s.dataCentre)
				after(now.Add(back).Sub(start), func(now time.Time) {
					if tr.policy.report != nil && now.Sub(v.reportedAt[i]) >= tr.age {
						v.reportedAt[i] = now
						tr.policy.report(v, now, i, report)
					}
					v.table.Finished(now, serverName(i), false, 0)
					if failed && !r.again {
						r.again, r.sendBackAt = true, 0
						other := chooseOther(v, now, serverName(i))
						v.table.Started(now, serverName(other))
						send(other, r, now)
						return
					}
					if r.sent.Sub(start) > trialWarmUp {
						latencies = append(latencies, now.Sub(r.sent))
					}
				})
				serve(i, now)
			})
		}
	}
	send = func(i int, r trialRead, now time.Time) {
		v, s := &g.vms[r.vm], &g.servers[i]
		way := delay(v.dataCentre, s.dataCentre)
		after(now.Add(way).Sub(start), func(now time.Time) {
			if r.sendBackAt > 0 && s.load() >= r.sendBackAt {
				report := s.meter.Report(now, s.load(), v.place)
				r.sendBackAt = 0
				sentBack++
				after(now.Add(way).Sub(start), func(now time.Time) {
					v.table.Finished(now, serverName(i), false, 0)
					v.table.RecordLoad(now, serverName(i), report, 0)
					other := chooseOther(v, now, serverName(i))
					v.table.Started(now, serverName(other))
					send(other, r, now)
				})
				return
			}
			if now.Sub(start) < trialLength {
				s.timeline[now.Sub(start)/bucket]++
			}
			if now.Sub(start) > trialWarmUp {
				s.arrivals++
				if s.dataCentre != v.dataCentre {
					remote++
				}
			}
			s.meter.RecordOrigin(now, v.place)
			s.meter.RecordStatement(now)
			s.waiting = append(s.waiting, r)
			serve(i, now)
		})
	}
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		after(now.Add(time.Duration(demand.ExpFloat64()/rate*float64(time.Second))).Sub(start), arrive)
		short := float64(meanWork) / (1 - longShare + longShare*longFactor)
		vm := demand.IntN(tr.vms)
		for vm%tr.dataCentres != 1 && demand.Float64() > 1/tr.skew {
			vm = demand.IntN(tr.vms)
		}
		r := trialRead{vm: vm, work: time.Duration(short * demand.ExpFloat64()), sent: now}
		if demand.Float64() < longShare {
			r.work *= longFactor
		}
		v := &g.vms[r.vm]
		if tr.policy.central {
			g.queue = append(g.queue, r)
			for _, i := range g.replicas {
				serve(i, now)
			}
			return
		}
		i := tr.policy.choose(g, v, now)
		if i < 0 {
			panic("no server chosen")
		}
		if tr.policy.sendBack {
			r.sendBackAt = v.table.SendBackAt(now, NewAtLeast(point.New(1, 1)), serverName(i), nil)
		}
		v.table.Started(now, serverName(i))
		send(i, r, now)
	}
	var sample func(now time.Time)
	sample = func(now time.Time) {
		after(now.Add(sampleSpacing).Sub(start), sample)
		if now.Sub(start) > trialWarmUp {
			for i := range g.servers {
				load := float64(g.servers[i].load())
				g.servers[i].sum += load
				g.servers[i].sum2 += load * load
			}
		}
	}
	after(0, arrive)
	after(0, sample)
	for {
		e := heap.Pop(&events).(trialEvent)
		if e.at > trialLength {
			return g, latencies, remote, sentBack
		}
		e.run(start.Add(e.at))
	}
}

func delay(from, to int) time.Duration {
	if from == to {
		return localDelay
	}
	return remoteDelay
}
