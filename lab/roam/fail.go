package roam

import (
	"math/rand/v2"
	"time"

	"verbenagate/lab/load"
)

const (
	// heartbeatTimeout is the time without a heartbeat after which a VM is considered dead, heartbeatInterval the time between two
	// heartbeats (decision D11).
	heartbeatTimeout  = 3 * time.Second
	heartbeatInterval = 250 * time.Millisecond
)

// Failure is the kind of failure of a home VM.
type Failure string

// The failures of a home VM.
const (
	// Pause suspends the VM. It continues later without detecting the pause.
	Pause Failure = "pause"
	// Partition separates the VM from half of the other VMs, which then use the next VM as the home.
	Partition Failure = "cut from half of the VMs"
	// Death ends the VM permanently. Restart ends it and starts it again without the positions that it had recorded.
	Death   Failure = "death"
	Restart Failure = "restart"
)

// Failures returns all kinds of failures.
func Failures() []Failure { return []Failure{Pause, Partition, Death, Restart} }

// Impact is the effect of a failure of the home VM on the sessions of its callers.
type Impact struct {
	// Reads counts all reads.
	Reads int
	// Stale counts reads that do not see an acknowledged write that the session must see.
	Stale int
	// Held counts writes whose acknowledgement had to wait because the home VM did not answer. LongestHold is the longest of these
	// waits.
	Held        int
	LongestHold time.Duration
	// Barriers counts sessions that had to use a barrier, because the home VM did not answer or had no position of the caller.
	Barriers int
}

// outage is a failure of home VM 0 from begin to end. Home VM 1 is the next one in rendezvous order.
type outage struct {
	kind           Failure
	begin, end     time.Duration
	leaveAt        []time.Duration // when each VM switches from home 0 to home 1
	returnAt       []time.Duration // when each VM switches back to home 0
	homeNotifiedAt time.Duration   // when home 0 learns that others considered it dead
}

func newOutage(kind Failure, begin, end time.Duration, vms int, rnd *rand.Rand) outage {
	f := outage{kind: kind, begin: begin, end: end}
	jitter := func() time.Duration { return time.Duration(rnd.Int64N(int64(heartbeatInterval))) }
	for v := range vms {
		leave, back := begin+heartbeatTimeout+jitter(), end+jitter()
		if kind == Partition && v%2 == 0 || leave >= back && kind != Death {
			leave, back = 1<<62, 1<<62
		}
		if kind == Death {
			back = 1 << 62
		}
		f.leaveAt, f.returnAt = append(f.leaveAt, leave), append(f.returnAt, back)
	}
	f.homeNotifiedAt = end + jitter()
	return f
}

// homeOf returns the number of the home VM in the view of a VM.
func (f outage) homeOf(vm int, at time.Duration) int {
	return boolToInt(at >= f.leaveAt[vm] && at < f.returnAt[vm])
}

// answers reports whether the home VM answers requests of the VM.
func (f outage) answers(home, vm int, at time.Duration) bool {
	if home == 1 || at < f.begin || at >= f.end && f.kind != Death {
		return true
	}
	return f.kind == Partition && vm%2 == 0
}

// ModelFailure runs the load in virtual time. All callers have the same home VM, which fails for the given duration in the middle of
// the load.
//
// A write is acknowledged after the home VM, in the view of the session's VM, has recorded its position. A session uses a barrier if
// the home VM does not answer or has no position of the caller.
func ModelFailure(l Load, kind Failure, duration time.Duration, seed uint64) Impact {
	var impact Impact
	l.profile.Duration = duration + time.Minute
	f := newOutage(kind, 30*time.Second, 30*time.Second+duration, l.vms, rand.New(rand.NewPCG(seed, 1)))
	homes := [2]map[int]time.Duration{{}, {}} // the positions that each home VM has recorded, by caller
	homeNotified := false
	sessions := make([]session, l.profile.Callers)
	lastWrites := make([]time.Duration, l.profile.Callers)
	for i := range lastWrites {
		lastWrites[i] = neverWritten
	}
	newestWrite := neverWritten
	for _, q := range load.Plan(l.profile, seed) {
		sess, now, user := &sessions[q.Caller()], q.At(), q.Caller()/l.terminals
		if !homeNotified && now >= f.homeNotifiedAt && kind != Death {
			homeNotified = true
			clear(homes[0])
		}
		if kind == Restart && now >= f.begin && now < f.end {
			clear(homes[0])
		}
		if q.Roams() || !sess.open {
			sess.open, sess.vm = true, q.VM(sess.vm, l.vms)
			h := f.homeOf(sess.vm, now)
			p, known := homes[h][user]
			if !known || !f.answers(h, sess.vm, now) {
				p = newestWrite
				impact.Barriers++
			}
			sess.required, sess.mustSee = p, lastWrites[user]
		}
		if q.Kind() == load.Pay {
			impact.recordWrite(f, homes, sess.vm, user, now)
			lastWrites[user], newestWrite, sess.required, sess.mustSee = now, now, now, now
			continue
		}
		impact.Reads++
		if replica := now-l.lag >= sess.required; replica && now-l.lag < sess.mustSee {
			impact.Stale++
		}
	}
	return impact
}

// recordWrite records the position of a write at the home VM. If that does not answer, the acknowledgement waits until a home VM does;
// the wait does not delay later requests of the caller.
func (h *Impact) recordWrite(f outage, homes [2]map[int]time.Duration, vm, user int, now time.Duration) {
	target := f.homeOf(vm, now)
	if !f.answers(target, vm, now) {
		until := min(f.leaveAt[vm], f.end)
		if f.kind == Death {
			until = f.leaveAt[vm]
		}
		h.Held++
		h.LongestHold = max(h.LongestHold, until-now)
		target = f.homeOf(vm, until)
	}
	homes[target][user] = now
}
