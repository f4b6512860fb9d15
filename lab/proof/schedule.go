// Package proof runs a deployment under concurrent faults and audits the answers that its callers got.
package proof

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a kind of fault.
type Kind string

// Kinds of faults: of a server, of the platform, of a VM, and of the links between VMs or of a whole data centre.
const (
	CrashServer    Kind = "crash server"
	FreezeServer   Kind = "freeze server"
	CutServer      Kind = "cut server from VMs"
	IsolateServer  Kind = "isolate server"
	CutReplication Kind = "cut replication of server"
	ResetServer    Kind = "reset connections of server"
	ServerLag      Kind = "lag of server"
	ServerLeaving  Kind = "server leaving"
	PlatformDown   Kind = "platform down"
	PlatformSlow   Kind = "platform slow"
	LoseAnswers    Kind = "platform loses answers"
	StaleVMList    Kind = "list of VMs lags"
	KillVM         Kind = "kill VM"
	DrainVM        Kind = "drain VM"

	CutVMs            Kind = "cut links between VMs"
	CutOneWay         Kind = "cut link from VM"
	DelayVMs          Kind = "delay between VMs"
	LossVMs           Kind = "loss between VMs"
	ResetVMs          Kind = "reset connections between VMs"
	IsolateDataCentre Kind = "isolate data centre"
	linkFaultShare         = 0.5 // share of link and data centre faults in a LinkSchedule
)

var (
	serverKinds   = []Kind{CrashServer, FreezeServer, CutServer, IsolateServer, CutReplication, ResetServer, ServerLag, ServerLeaving}
	platformKinds = []Kind{PlatformDown, PlatformSlow, LoseAnswers, StaleVMList}
	vmKinds       = []Kind{KillVM, DrainVM}
	linkKinds     = []Kind{CutVMs, CutOneWay, DelayVMs, LossVMs, ResetVMs}
)

// Fault is one fault of a schedule. Numbers of servers, VMs and data centres start at 0.
type Fault struct {
	at     time.Duration
	length time.Duration
	kind   Kind
	target int
	other  int
	amount time.Duration
	loss   float64
}

// At returns the time from the start of the run to the start of the fault.
func (f Fault) At() time.Duration { return f.at }

// End returns the time from the start of the run to the end of the fault.
func (f Fault) End() time.Duration { return f.at + f.length }

// Kind returns the kind of the fault.
func (f Fault) Kind() Kind { return f.kind }

// Target returns the number of the server, VM or data centre; for a fault of a link, that of the first VM.
func (f Fault) Target() int { return f.target }

// Other returns the number of the second VM of a link.
func (f Fault) Other() int { return f.other }

// Loss returns the probability that a packet is lost.
func (f Fault) Loss() float64 { return f.loss }

// Amount returns the lag or delay, or 0 if the kind has none.
func (f Fault) Amount() time.Duration { return f.amount }

// String describes the fault, with numbers from 1.
func (f Fault) String() string {
	s := fmt.Sprintf("%v to %v: %s", f.at, f.End(), f.kind)
	if !slices.Contains(platformKinds, f.kind) {
		s += fmt.Sprintf(" %d", f.target+1)
	}
	if slices.Contains(linkKinds, f.kind) {
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
	// meanFaultInterval is the mean time between the starts of two faults, maxFaultLength the length of the longest fault. With
	// these values two or three faults overlap at a time, and failovers have time to complete between some of them.
	meanFaultInterval = 400 * time.Millisecond
	maxFaultLength    = 2500 * time.Millisecond
	// maxFaultLag limits the lag of a server and of the list of VMs, maxPlatformDelay the delay of the platform.
	maxFaultLag      = 2 * time.Second
	maxPlatformDelay = 1500 * time.Millisecond
	// maxLinkDelay and maxLinkLoss limit the delay and the loss probability between two VMs.
	maxLinkDelay = 500 * time.Millisecond
	maxLinkLoss  = 0.3
	// minFaultLength is the length of the shortest fault and the shortest time between the starts of two faults.
	minFaultLength = 50 * time.Millisecond
	// firstFaultDelay is the time at the start of a run without faults.
	firstFaultDelay = 300 * time.Millisecond
)

// Schedule returns the faults of a seed in the order in which they start. All end within length. Faults of one kind on one
// target do not overlap, and at least one VM is always running if each graceful stop ends before its fault does.
func Schedule(seed uint64, length time.Duration, servers, vms int) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 1))
	return schedule(rnd, length, vms, func() Fault { return drawFault(rnd, servers, vms) })
}

// LinkSchedule is like Schedule, but about half of the faults affect links between VMs or isolate a whole data centre.
func LinkSchedule(seed uint64, length time.Duration, servers, vms, dataCentres int) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 2))
	return schedule(rnd, length, vms, func() Fault {
		if rnd.Float64() >= linkFaultShare {
			return drawFault(rnd, servers, vms)
		}
		return drawLinkFault(rnd, vms, dataCentres)
	})
}

func schedule(rnd *rand.Rand, length time.Duration, vms int, draw func() Fault) []Fault {
	var list []Fault
	for t := firstFaultDelay; ; {
		t += (minFaultLength + time.Duration(rnd.ExpFloat64()*float64(meanFaultInterval-minFaultLength))).Round(time.Millisecond)
		f := draw()
		f.at = t
		if t >= length-minFaultLength {
			return list
		}
		f.length = min(f.length, length-t)
		if !conflicts(list, f, vms) {
			list = append(list, f)
		}
	}
}

func drawFault(rnd *rand.Rand, servers, vms int) Fault {
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
	case ServerLag, StaleVMList:
		f.amount = time.Duration(rnd.Int64N(int64(maxFaultLag))).Round(time.Millisecond)
	case PlatformSlow:
		f.amount = time.Duration(rnd.Int64N(int64(maxPlatformDelay))).Round(time.Millisecond)
	}
	return f
}

func drawLength(rnd *rand.Rand) time.Duration {
	return minFaultLength + time.Duration(rnd.Int64N(int64(maxFaultLength-minFaultLength))).Round(time.Millisecond)
}

func drawLinkFault(rnd *rand.Rand, vms, dataCentres int) Fault {
	f := Fault{length: drawLength(rnd)}
	if rnd.IntN(4) == 0 {
		f.kind, f.target = IsolateDataCentre, rnd.IntN(dataCentres)
		return f
	}
	f.kind, f.target, f.other = linkKinds[rnd.IntN(len(linkKinds))], rnd.IntN(vms), rnd.IntN(vms-1)
	if f.other >= f.target {
		f.other++
	}
	switch f.kind {
	case DelayVMs:
		f.amount = time.Duration(rnd.Int64N(int64(maxLinkDelay))).Round(time.Millisecond)
	case LossVMs:
		f.loss = maxLinkLoss * rnd.Float64()
	}
	return f
}

// conflicts reports whether f would overlap a fault of the same kind on the same target, stop a VM that is already stopped, or
// stop the last running VM.
func conflicts(list []Fault, f Fault, vms int) bool {
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
