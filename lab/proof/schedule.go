// Package proof runs a deployment under several faults at once and audits what its callers were told.
package proof

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Those of a server come first, then those of the platform and of a VM.
const (
	Crash     Kind = "crash server"
	Freeze    Kind = "freeze server"
	Cut       Kind = "cut server from VMs"
	Isolate   Kind = "isolate server"
	NoCopy    Kind = "cut replication of server"
	Reset     Kind = "reset connections of server"
	Lag       Kind = "lag of server"
	Leave     Kind = "server leaving"
	Down      Kind = "platform down"
	Slow      Kind = "platform slow"
	Lose      Kind = "platform loses answers"
	StaleList Kind = "list of VMs lags"
	Kill      Kind = "kill VM"
	Drain     Kind = "drain VM"

	CutVMs     Kind = "cut links between VMs"
	OneWay     Kind = "cut link from VM"
	DelayVMs   Kind = "delay between VMs"
	LossVMs    Kind = "loss between VMs"
	ResetVMs   Kind = "reset connections between VMs"
	CutOff     Kind = "isolate data centre"
	linkChance      = 0.5 // share of these kinds in a schedule of links
)

var (
	serverKinds   = []Kind{Crash, Freeze, Cut, Isolate, NoCopy, Reset, Lag, Leave}
	platformKinds = []Kind{Down, Slow, Lose, StaleList}
	vmKinds       = []Kind{Kill, Drain}
	pairKinds     = []Kind{CutVMs, OneWay, DelayVMs, LossVMs, ResetVMs}
)

// Fault is one fault of a schedule. Target numbers the server, VM or data centre, and other the second VM of a link.
type Fault struct {
	at     time.Duration
	length time.Duration
	kind   Kind
	target int
	other  int
	amount time.Duration
	loss   float64
}

// At returns the time of the fault from the start of the run.
func (f Fault) At() time.Duration { return f.at }

// End returns the time at which the fault is lifted.
func (f Fault) End() time.Duration { return f.at + f.length }

// Kind returns the kind of the fault.
func (f Fault) Kind() Kind { return f.kind }

// Target returns the number of the server, VM or data centre.
func (f Fault) Target() int { return f.target }

// Other returns the number of the second VM of a link.
func (f Fault) Other() int { return f.other }

// Loss returns the probability that a packet is lost.
func (f Fault) Loss() float64 { return f.loss }

// Amount returns the lag or delay.
func (f Fault) Amount() time.Duration { return f.amount }

// String describes the fault.
func (f Fault) String() string {
	s := fmt.Sprintf("%v to %v: %s", f.at, f.End(), f.kind)
	if !slices.Contains(platformKinds, f.kind) {
		s += fmt.Sprintf(" %d", f.target+1)
	}
	if slices.Contains(pairKinds, f.kind) {
		s += fmt.Sprintf(" and %d", f.other+1)
	}
	if f.amount > 0 {
		s += fmt.Sprintf(" by %v", f.amount)
	}
	if f.loss > 0 {
		s += fmt.Sprintf(" of %.0f%%", 100*f.loss)
	}
	return s
}

const (
	// faultGap is the mean time between two faults, faultLength the longest fault. With these, two or three faults are
	// in force at a time, and failovers have time to complete between some of them.
	faultGap    = 400 * time.Millisecond
	faultLength = 2500 * time.Millisecond
	// longestLag and longestDelay bound the lag of a server and the delay of the platform.
	longestLag   = 2 * time.Second
	longestDelay = 1500 * time.Millisecond
	// longestLink and greatestLoss bound the delay and the loss between two VMs.
	longestLink  = 500 * time.Millisecond
	greatestLoss = 0.3
	// minFault is the shortest fault.
	minFault = 50 * time.Millisecond
	// quietStart is the time before the first fault.
	quietStart = 300 * time.Millisecond
)

// Schedule returns the faults of a seed, which all end within length, in the order in which they start. Faults of one
// kind on one target do not overlap, and one VM at least is always running if the others stop in time.
func Schedule(seed uint64, length time.Duration, servers, vms int) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 1))
	return schedule(rnd, length, vms, func() Fault { return draw(rnd, servers, vms) })
}

// LinkSchedule returns the faults of a seed like Schedule, of which about half are on links between VMs or cut a whole
// data centre off.
func LinkSchedule(seed uint64, length time.Duration, servers, vms, dataCentres int) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 2))
	return schedule(rnd, length, vms, func() Fault {
		if rnd.Float64() >= linkChance {
			return draw(rnd, servers, vms)
		}
		return drawLink(rnd, vms, dataCentres)
	})
}

func schedule(rnd *rand.Rand, length time.Duration, vms int, draw func() Fault) []Fault {
	var list []Fault
	for t := quietStart; ; {
		t += (minFault + time.Duration(rnd.ExpFloat64()*float64(faultGap-minFault))).Round(time.Millisecond)
		f := draw()
		f.at = t
		if t >= length-minFault {
			return list
		}
		f.length = min(f.length, length-t)
		if !clashes(list, f, vms) {
			list = append(list, f)
		}
	}
}

func draw(rnd *rand.Rand, servers, vms int) Fault {
	f := Fault{length: drawLength(rnd)}
	switch x := rnd.IntN(10); {
	case x < 6:
		f.kind, f.target = serverKinds[rnd.IntN(len(serverKinds))], rnd.IntN(servers)
	case x < 8:
		f.kind = platformKinds[rnd.IntN(len(platformKinds))]
	default:
		f.kind, f.target = vmKinds[rnd.IntN(len(vmKinds))], rnd.IntN(vms)
	}
	switch f.kind {
	case Lag, StaleList:
		f.amount = time.Duration(rnd.Int64N(int64(longestLag))).Round(time.Millisecond)
	case Slow:
		f.amount = time.Duration(rnd.Int64N(int64(longestDelay))).Round(time.Millisecond)
	}
	return f
}

func drawLength(rnd *rand.Rand) time.Duration {
	return minFault + time.Duration(rnd.Int64N(int64(faultLength-minFault))).Round(time.Millisecond)
}

func drawLink(rnd *rand.Rand, vms, dataCentres int) Fault {
	f := Fault{length: drawLength(rnd)}
	if rnd.IntN(4) == 0 {
		f.kind, f.target = CutOff, rnd.IntN(dataCentres)
		return f
	}
	f.kind, f.target, f.other = pairKinds[rnd.IntN(len(pairKinds))], rnd.IntN(vms), rnd.IntN(vms-1)
	if f.other >= f.target {
		f.other++
	}
	switch f.kind {
	case DelayVMs:
		f.amount = time.Duration(rnd.Int64N(int64(longestLink))).Round(time.Millisecond)
	case LossVMs:
		f.loss = greatestLoss * rnd.Float64()
	}
	return f
}

// clashes reports whether f can't be added to the list.
func clashes(list []Fault, f Fault, vms int) bool {
	stopped := map[int]bool{}
	for _, o := range list {
		if o.End() <= f.at {
			continue
		}
		if o.kind == f.kind && o.target == f.target && o.other == f.other {
			return true
		}
		if slices.Contains(vmKinds, o.kind) {
			stopped[o.target] = true
		}
	}
	return slices.Contains(vmKinds, f.kind) && (stopped[f.target] || len(stopped) >= vms-1)
}
