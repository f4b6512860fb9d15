package roam

import (
	"math/rand/v2"
	"time"

	"verbenagate/lab/load"
)

const (
	// deadAfter is when a silent VM counts as dead, and beat the time between two heartbeats (decision D11).
	deadAfter = 3 * time.Second
	beat      = 250 * time.Millisecond
)

// Failure is what happens to a home VM.
type Failure string

// The failures of a home VM.
const (
	// Pause stops the VM, which then goes on without noticing it.
	Pause Failure = "pause"
	// Cut separates the VM from half of the others, which take the next VM for the home.
	Cut Failure = "cut from half of the VMs"
	// Death ends the VM for good; Restart brings it back without its records.
	Death   Failure = "death"
	Restart Failure = "restart"
)

// Failures returns all failures.
func Failures() []Failure { return []Failure{Pause, Cut, Death, Restart} }

// Harm is what the failure of the home VM does to the sessions of its callers.
type Harm struct {
	Reads int
	// Stale counts reads that miss an acknowledged write which the session must see.
	Stale int
	// Held counts writes whose acknowledgement waits for a home VM that does not answer, LongestHold the longest wait.
	Held        int
	LongestHold time.Duration
	// Barriers counts sessions that the home VM could not answer.
	Barriers int
}

// failing is a failure of home 0 from begin to end. Home 1 is the next in rendezvous order.
type failing struct {
	kind       Failure
	begin, end time.Duration
	leave      []time.Duration // when each VM takes home 1 instead of home 0
	back       []time.Duration // when it takes home 0 again
	notice     time.Duration   // when home 0 learns that it was taken for dead
}

func newFailing(kind Failure, begin, end time.Duration, vms int, rnd *rand.Rand) failing {
	f := failing{kind: kind, begin: begin, end: end}
	jitter := func() time.Duration { return time.Duration(rnd.Int64N(int64(beat))) }
	for v := range vms {
		leave, back := begin+deadAfter+jitter(), end+jitter()
		if kind == Cut && v%2 == 0 || leave >= back && kind != Death {
			leave, back = 1<<62, 1<<62
		}
		if kind == Death {
			back = 1 << 62
		}
		f.leave, f.back = append(f.leave, leave), append(f.back, back)
	}
	f.notice = end + jitter()
	return f
}

// homeOf returns the home in the view of a VM.
func (f failing) homeOf(vm int, at time.Duration) int {
	return one(at >= f.leave[vm] && at < f.back[vm])
}

// answers reports whether the home answers the VM.
func (f failing) answers(home, vm int, at time.Duration) bool {
	if home == 1 || at < f.begin || at >= f.end && f.kind != Death {
		return true
	}
	return f.kind == Cut && vm%2 == 0
}

// Fail runs the load with one failure of the home VM of all callers in its middle, for the time given.
//
// A write is acknowledged after the home in the view of the session's VM has recorded it. A session that the home does not
// answer, or whose caller the home does not know, takes a barrier.
func Fail(l Load, kind Failure, lasts time.Duration, seed uint64) Harm {
	var harm Harm
	l.profile.Duration = lasts + time.Minute
	f := newFailing(kind, 30*time.Second, 30*time.Second+lasts, l.vms, rand.New(rand.NewPCG(seed, 1)))
	homes := [2]map[int]time.Duration{{}, {}} // the positions of each home by caller
	noticed := false
	sessions := make([]session, l.profile.Callers)
	written := make([]time.Duration, l.profile.Callers)
	for i := range written {
		written[i] = never
	}
	newest := never
	for _, q := range load.Plan(l.profile, seed) {
		c, now, user := &sessions[q.Caller()], q.At(), q.Caller()/l.terminals
		if !noticed && now >= f.notice && kind != Death {
			noticed = true
			clear(homes[0])
		}
		if kind == Restart && now >= f.begin && now < f.end {
			clear(homes[0])
		}
		if q.Roams() || !c.open {
			c.open, c.vm = true, q.VM(c.vm, l.vms)
			h := f.homeOf(c.vm, now)
			p, known := homes[h][user]
			if !known || !f.answers(h, c.vm, now) {
				p = newest
				harm.Barriers++
			}
			c.required, c.written = p, written[user]
		}
		if q.Kind() == load.Pay {
			harm.write(f, homes, c.vm, user, now)
			written[user], newest, c.required, c.written = now, now, now, now
			continue
		}
		harm.Reads++
		if replica := now-l.lag >= c.required; replica && now-l.lag < c.written {
			harm.Stale++
		}
	}
	return harm
}

// write records a position, and holds the acknowledgement until a home answers. The hold does not move later requests.
func (h *Harm) write(f failing, homes [2]map[int]time.Duration, vm, user int, now time.Duration) {
	target := f.homeOf(vm, now)
	if !f.answers(target, vm, now) {
		until := min(f.leave[vm], f.end)
		if f.kind == Death {
			until = f.leave[vm]
		}
		h.Held++
		h.LongestHold = max(h.LongestHold, until-now)
		target = f.homeOf(vm, until)
	}
	homes[target][user] = now
}
