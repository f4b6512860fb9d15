// Package share compares three ways in which the VMs may share the slots of one database server: one owner, fixed shares
// and shares moved by demand (decision D1 of docs/design.md).
//
// The model runs the requests of a load plan through the queues of core/sched in virtual time. Measure runs the same plan
// through real VMs, for the ways that the product can be set up for.
package share

import (
	"slices"
	"time"

	"verbenagate/lab/load"
)

// Way is a way to share the slots of a server.
type Way string

// The ways to share.
const (
	// Owner gives all slots to one VM, to which the others forward.
	Owner Way = "one owner"
	// Fixed gives whole slots to as many VMs as there are slots. The callers of the other VMs are spread over these,
	// since an even share of fewer slots than VMs would be below one.
	Fixed Way = "fixed shares"
	// Moved divides the slots at every interval by the demand that the VMs report. A VM without a slot waits for one.
	Moved Way = "moved shares"
)

const (
	// centres is the number of data centres of both users. VM and server number 0 are in the first one.
	centres = 4
	// forwardCost is the CPU time that forwarding adds to a read, from docs/CAPACITY.md; half of it counts on each way.
	forwardCost = 105 * time.Microsecond
)

// Case is one comparison of the ways.
type Case struct {
	name  string
	slots int
	vms   int
	hop   time.Duration
	// entry is the VM that all callers use, or -1 if they are spread.
	entry   int
	service time.Duration
	timeout time.Duration
	profile load.Profile
	phases  []load.Phase
	// ownerOnly leaves out the shares.
	ownerOnly bool
}

// Phases of a case. Results are those of the second one, beside the short work's latency in the first one.
const (
	phaseQuiet = "quiet"
	phaseBusy  = "busy"
)

// User is one of the deployments of section 1.5 of the design.
type User struct {
	name       string
	slots      int
	hop        time.Duration
	stragglers float64 // arrivals/s at a server
	reads      float64 // arrivals/s at a server beside the stragglers
}

// Name returns the user's name.
func (u User) Name() string { return u.name }

// Users returns both deployments. The loads are those of _fixtures/experiments for one of the three servers of a service.
func Users() []User {
	return []User{
		{name: "lakeshore", slots: 5, hop: 1500 * time.Microsecond, stragglers: 4.0 / 3, reads: 200.0 / 3},
		{name: "plankammer", slots: 3, hop: 500 * time.Microsecond, stragglers: 2.0 / 3, reads: 40},
	}
}

// Cases returns the cases for a number of VMs and a one-way delay between data centres.
func (u User) Cases(vms int, hop time.Duration) []Case {
	const quiet, callers = 0.11, 1500
	step := Case{
		name: "step", slots: u.slots, vms: vms, hop: hop, entry: -1, service: 10 * time.Millisecond,
		timeout: 45 * time.Millisecond,
		profile: load.Profile{
			Duration: 23 * time.Second, Rate: quiet * float64(u.slots) * 100, Callers: callers, Connected: true,
			Steps: []load.Step{{At: 13 * time.Second, Factor: 4}, {At: 14 * time.Second, Factor: 7}, {At: 15 * time.Second, Factor: 10}},
		},
		phases: []load.Phase{
			{Name: phaseQuiet, From: time.Second, To: 13 * time.Second},
			{Name: phaseBusy, From: 15 * time.Second, To: 23 * time.Second},
		},
	}
	still := step
	still.name, still.profile.Steps, still.timeout = "quiet", nil, 30*time.Second
	skewed := step
	skewed.name, skewed.entry = "skewed step", 1
	long := step
	long.name, long.service, long.timeout = "stragglers", 5*time.Millisecond, 30*time.Second
	long.profile = load.Profile{
		Duration: 44 * time.Second, Rate: u.reads, Callers: callers, Connected: true, Stragglers: u.stragglers,
		StragglersFrom: 11 * time.Second, StragglerTime: time.Second,
	}
	long.phases = []load.Phase{
		{Name: phaseQuiet, From: time.Second, To: 11 * time.Second},
		{Name: phaseBusy, From: 12 * time.Second, To: 44 * time.Second},
	}
	// The next two differ only in the way from the callers' VM to the owner.
	local := still
	local.name, local.entry, local.service, local.ownerOnly = "at the owner", 0, 2*time.Millisecond, true
	local.profile.Rate = 150
	forwarded := local
	forwarded.name, forwarded.entry = "forwarded", 1
	return []Case{still, step, skewed, long, local, forwarded}
}

// Name returns the name of the case.
func (c Case) Name() string { return c.name }

// entryOf returns the VM to which a caller connects.
func (c Case) entryOf(caller int) int {
	if c.entry >= 0 {
		return c.entry
	}
	return caller % c.vms
}

// shareOf returns the VM whose fixed share a caller's units use.
func (c Case) shareOf(caller int) int {
	if vm := c.entryOf(caller); vm < c.slots {
		return vm
	}
	return caller / c.vms % c.slots
}

// Result is what a run of a case shows in its second phase.
type Result struct {
	Way  Way
	Case string
	// Goodput is the slot time of the work that ended in time, as a share of what the slots can do or of the work that
	// arrived, whichever is less.
	Goodput float64
	// QuietP99 is the 99th percentile of short work in the first phase, P50 and P99 are those in the second one.
	QuietP99, P50, P99 time.Duration
	// Refused is the share of requests that did not end in time.
	Refused float64
	// ShortIdle and AnyIdle are the shares of slot time that was idle while short work, or any work, waited on any VM.
	// They are known in the model only.
	ShortIdle, AnyIdle float64
	// MostInUse is the largest number of slots in use at the same time.
	MostInUse int
}

// offered returns the requests and the slot time that arrive in the second phase.
func (c Case) offered(plan []load.Request) (requests int, work time.Duration) {
	p := c.phases[1]
	for _, q := range plan {
		if q.At() >= p.From && q.At() < p.To {
			requests++
			work += c.serviceOf(q)
		}
	}
	return requests, work
}

func (c Case) serviceOf(q load.Request) time.Duration {
	if q.Kind() == load.Straggler {
		return c.profile.StragglerTime
	}
	return c.service
}

// goodput divides the slot time of finished work by what could have been finished in the second phase.
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
