// Package share compares three strategies by which the VMs can share the slots of one database server: one owner, fixed shares and
// shares moved by demand (decision D1 of docs/design.md).
//
// Model runs the requests of a load plan through the queues of core/sched in virtual time. Measure runs the same plan on real VMs,
// for the strategies that the proxy can be configured for.
package share

import (
	"slices"
	"time"

	"verbenagate/lab/load"
)

// Strategy determines how the VMs share the slots of a server.
type Strategy string

// The strategies to share slots.
const (
	// Owner assigns all slots to one VM, to which the other VMs forward requests.
	Owner Strategy = "one owner"
	// Fixed assigns one slot each to as many VMs as there are slots, since with fewer slots than VMs an even share would be less than
	// one slot. The callers of the other VMs are spread over the VMs with a slot.
	Fixed Strategy = "fixed shares"
	// Moved reallocates the slots at every interval by the demand that the VMs report. The requests of a VM without a slot wait.
	Moved Strategy = "moved shares"
)

const (
	// dataCentreCount is the number of data centres of each deployment. VM 0 and the server are in the first one.
	dataCentreCount = 4
	// forwardCost is the CPU time that forwarding adds to a read, from docs/CAPACITY.md. Half of it counts in each direction.
	forwardCost = 105 * time.Microsecond
)

// Case is a load and a deployment on which the strategies are compared.
type Case struct {
	name        string
	slots       int
	vms         int
	centreDelay time.Duration
	// entryVM is the VM that all callers connect to, or -1 if they are spread over all VMs.
	entryVM     int
	serviceTime time.Duration
	timeout     time.Duration
	profile     load.Profile
	phases      []load.Phase
	// ownerOnly restricts the case to the strategy Owner.
	ownerOnly bool
}

// Phases of a case, in this order. All results but QuietP99 are those of the second phase.
const (
	phaseQuiet = "quiet"
	phaseBusy  = "busy"
)

// Deployment is one of the users' deployments in section 1.5 of docs/design.md.
type Deployment struct {
	name        string
	slots       int
	centreDelay time.Duration
	stragglers  float64 // arrivals per second of stragglers at one server
	reads       float64 // arrivals per second of short reads at one server
}

// Name returns the name of the deployment.
func (d Deployment) Name() string { return d.name }

// Deployments returns both deployments. Their loads are those of _fixtures/experiments, divided by the three servers of a service.
func Deployments() []Deployment {
	return []Deployment{
		{name: "lakeshore", slots: 5, centreDelay: 1500 * time.Microsecond, stragglers: 4.0 / 3, reads: 200.0 / 3},
		{name: "plankammer", slots: 3, centreDelay: 500 * time.Microsecond, stragglers: 2.0 / 3, reads: 40},
	}
}

// Cases returns the cases for a number of VMs and a one-way delay centreDelay between data centres.
func (d Deployment) Cases(vms int, centreDelay time.Duration) []Case {
	const quiet, callers = 0.11, 1500
	step := Case{
		name: "step", slots: d.slots, vms: vms, centreDelay: centreDelay, entryVM: -1, serviceTime: 10 * time.Millisecond,
		timeout: 45 * time.Millisecond,
		profile: load.Profile{
			Duration: 23 * time.Second, Rate: quiet * float64(d.slots) * 100, Callers: callers, Connected: true,
			Steps: []load.Step{{At: 13 * time.Second, Factor: 4}, {At: 14 * time.Second, Factor: 7}, {At: 15 * time.Second, Factor: 10}},
		},
		phases: []load.Phase{
			{Name: phaseQuiet, From: time.Second, To: 13 * time.Second},
			{Name: phaseBusy, From: 15 * time.Second, To: 23 * time.Second},
		},
	}
	quietCase := step
	quietCase.name, quietCase.profile.Steps, quietCase.timeout = "quiet", nil, 30*time.Second
	skewed := step
	skewed.name, skewed.entryVM = "skewed step", 1
	stragglers := step
	stragglers.name, stragglers.serviceTime, stragglers.timeout = "stragglers", 5*time.Millisecond, 30*time.Second
	stragglers.profile = load.Profile{
		Duration: 44 * time.Second, Rate: d.reads, Callers: callers, Connected: true, Stragglers: d.stragglers,
		StragglersFrom: 11 * time.Second, StragglerTime: time.Second,
	}
	stragglers.phases = []load.Phase{
		{Name: phaseQuiet, From: time.Second, To: 11 * time.Second},
		{Name: phaseBusy, From: 12 * time.Second, To: 44 * time.Second},
	}
	// The next two cases differ only in whether requests are forwarded from the callers' VM to the owner.
	atOwner := quietCase
	atOwner.name, atOwner.entryVM, atOwner.serviceTime, atOwner.ownerOnly = "at the owner", 0, 2*time.Millisecond, true
	atOwner.profile.Rate = 150
	forwarded := atOwner
	forwarded.name, forwarded.entryVM = "forwarded", 1
	return []Case{quietCase, step, skewed, stragglers, atOwner, forwarded}
}

// Name returns the name of the case.
func (c Case) Name() string { return c.name }

// entryVMOf returns the VM to which a caller connects.
func (c Case) entryVMOf(caller int) int {
	if c.entryVM >= 0 {
		return c.entryVM
	}
	return caller % c.vms
}

// shareVMOf returns the VM whose fixed share executes a caller's requests.
func (c Case) shareVMOf(caller int) int {
	if vm := c.entryVMOf(caller); vm < c.slots {
		return vm
	}
	return caller / c.vms % c.slots
}

// Result holds the results of a run of a case. Unless noted otherwise, they are those of the second phase.
type Result struct {
	Strategy Strategy
	Case     string
	// Goodput is the slot time of the work that ended before its timeout, divided by the available slot time or by the slot time of the
	// work that arrived, whichever is less.
	Goodput float64
	// QuietP99 is the 99th percentile latency of short work in the first phase. P50 and P99 are latency percentiles of short work in
	// the second phase.
	QuietP99, P50, P99 time.Duration
	// NotInTime is the share of requests that did not end before their timeout.
	NotInTime float64
	// ShortIdle and AnyIdle are the shares of slot time that was idle while short work, or any work, was queued on any VM. Only Model
	// sets them.
	ShortIdle, AnyIdle float64
	// MaxSlotsInUse is the largest number of slots in use at the same time.
	MaxSlotsInUse int
}

// offered returns the number of requests that arrive in the second phase, and the slot time that they need.
func (c Case) offered(plan []load.Request) (requests int, work time.Duration) {
	p := c.phases[1]
	for _, q := range plan {
		if q.At() >= p.From && q.At() < p.To {
			requests++
			work += c.serviceTimeOf(q)
		}
	}
	return requests, work
}

func (c Case) serviceTimeOf(q load.Request) time.Duration {
	if q.Kind() == load.Straggler {
		return c.profile.StragglerTime
	}
	return c.serviceTime
}

// goodput divides the slot time of finished work by the slot time that could have been finished in the second phase.
func (c Case) goodput(done, offered time.Duration) float64 {
	p := c.phases[1]
	return done.Seconds() / min(offered.Seconds(), float64(c.slots)*(p.To-p.From).Seconds())
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}
