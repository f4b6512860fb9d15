package member

import "time"

// Bounds of the heartbeats. The byte budget of all control traffic is 16 KB/s per node; heartbeats get a quarter of it.
const (
	minInterval = 250 * time.Millisecond
	minSuspect  = 1500 * time.Millisecond
	// minFarSuspect is longer, because a contact only answers: with 1.5 s, 221 of them were falsely suspected in a day of
	// VM-pairs under pauses of 1 s and 20% loss. VMs of the contact's own data centre pass on their quicker judgement.
	minFarSuspect = 2 * time.Second
	// A partner whose heartbeat is late by probeSlack is asked every probeEvery. Probing from the second missing heartbeat
	// on, every 125 ms, led to 38 false suspicions in a day of VM-pairs under pauses of 1 s and 20% loss.
	probeSlack   = 100 * time.Millisecond
	probeEvery   = 50 * time.Millisecond
	reprobeEvery = time.Second
	// Changed records reach the neighbours well within syncAfter; a difference that lasts longer needs a comparison.
	syncAfter = 500 * time.Millisecond
	syncEvery = time.Second

	beatBudget = 4096 // bytes per second that a VM sends as heartbeats
	// localShare of the budget goes to the own data centre, where ownership depends on quick detection.
	localShare = 2.0 / 3
	// beatBytes is the size of a heartbeat on the wire: the CBOR message, the WebSocket header and 40 bytes of TCP/IP.
	beatBytes = 110
	// maxPartners bounds the partners in the own data centre; with more members, second-hand reports covers the rest.
	maxPartners = 12

	// maxTickGap is a gap between ticks that only a pause of this VM explains.
	maxTickGap = 400 * time.Millisecond
	// strangerFactor prolongs the silence after which a VM that never heard from a member claims that it is dead.
	strangerFactor = 4
	// forgetAfter must exceed the longest partition: afterwards only the platform's list brings the sides together.
	forgetAfter = time.Hour
)

// Timing holds the intervals that follow from the number of partners and data centres.
type Timing struct {
	interval, farInterval time.Duration
	suspect, farSuspect   time.Duration
	farLost               time.Duration
	fan                   int
}

// Interval returns the heartbeat interval within the own data centre.
func (t Timing) Interval() time.Duration { return t.interval }

// FarInterval returns the heartbeat interval to contacts in other data centres.
func (t Timing) FarInterval() time.Duration { return t.farInterval }

// SuspectAfter returns the silence after which a partner in the own data centre is suspected; it counts as dead after
// twice that time.
func (t Timing) SuspectAfter() time.Duration { return t.suspect }

// FarSuspectAfter returns the silence after which a contact in another data centre is suspected.
func (t Timing) FarSuspectAfter() time.Duration { return t.farSuspect }

// Fan returns how many contacts the VM has in each other data centre.
func (t Timing) Fan() int { return t.fan }

func timing(partners, otherDCs int) Timing {
	t := Timing{fan: 2}
	if otherDCs > 4 {
		t.fan = 1 // two contacts in each of eight data centres would double the time to detect their loss
	}
	budget := float64(beatBudget)
	if otherDCs > 0 {
		budget *= localShare
	}
	t.interval = max(minInterval, spend(partners, budget))
	rest := beatBudget - float64(partners*beatBytes)*float64(time.Second)/float64(t.interval)
	// Each VM has as many contacts as there are VMs on average that chose it as a contact, and answers those.
	t.farInterval = max(minInterval, spend(2*t.fan*otherDCs, rest))
	t.suspect = max(minSuspect, 3*t.interval)
	t.farSuspect = max(minFarSuspect, 3*t.farInterval)
	t.farLost = 3 * t.farSuspect
	return t
}

// spend returns the interval at which links heartbeats cost bytesPerSecond.
func spend(links int, bytesPerSecond float64) time.Duration {
	return time.Duration(float64(links*beatBytes) / bytesPerSecond * float64(time.Second))
}

func (t Timing) limits(local bool) (suspect, dead time.Duration) {
	if local {
		return t.suspect, 2 * t.suspect
	}
	return t.farSuspect, 2 * t.farSuspect
}

// period returns the time to the next heartbeat and whether to ask for an acknowledgement. A silent partner is asked at
// a higher rate, so that a few lost messages do not lead to a suspicion.
func (t Timing) period(local bool, silent time.Duration) (time.Duration, bool) {
	interval, suspect := t.interval, t.suspect
	if !local {
		interval, suspect = t.farInterval, t.farSuspect
	}
	if silent >= min(interval+probeSlack, suspect/2) && silent < 2*suspect {
		return probeEvery, true
	}
	return interval, !local
}
