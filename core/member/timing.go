package member

import "time"

// Bounds of the heartbeat timing. The budget of all control traffic is 16 KB/s per node; heartbeats get a quarter of it.
const (
	minHeartbeatInterval = 250 * time.Millisecond
	minLocalSuspectAfter = 1500 * time.Millisecond
	// minRemoteSuspectAfter is longer, because a contact only answers: with 1.5 s, there were 221 false suspicions of contacts
	// per day of VM-pairs under pauses of 1 s and 20% loss. VMs of the contact's own data centre detect its failure earlier
	// and pass it on.
	minRemoteSuspectAfter = 2 * time.Second
	// A heartbeat peer that is late by heartbeatGrace is probed every probeInterval. Probing from the second missing heartbeat
	// on, every 125 ms, led to 38 false suspicions per day of VM-pairs under pauses of 1 s and 20% loss.
	heartbeatGrace = 100 * time.Millisecond
	probeInterval  = 50 * time.Millisecond
	// reprobeInterval is the time between probes of VMs that are considered suspect or dead; each probe goes to one of them.
	reprobeInterval = time.Second
	// Changed records reach the heartbeat peers well within digestMismatchGrace. A digest mismatch that lasts longer requires
	// an exchange of digests; a VM begins at most one per digestSyncInterval.
	digestMismatchGrace = 500 * time.Millisecond
	digestSyncInterval  = time.Second

	heartbeatBytesPerSecond = 4096 // budget for the heartbeats that a VM sends
	// localBudgetShare of the budget goes to the own data centre, where ownership depends on quick failure detection.
	localBudgetShare = 2.0 / 3
	// heartbeatBytes is the size of a heartbeat on the wire: the CBOR message, the WebSocket header and 40 bytes of TCP/IP.
	heartbeatBytes = 110
	// maxPartners bounds the partners in the own data centre. With more members, reports from the partners cover the rest.
	maxPartners = 12

	// maxTickGap is the longest gap between ticks that does not count as a pause of this VM.
	maxTickGap = 400 * time.Millisecond
	// neverHeardFactor multiplies the silence after which a VM that never heard from a member reports it as suspect or dead.
	neverHeardFactor = 4
	// forgetAfter must exceed the longest partition: once the sides have forgotten each other, only the platform's list
	// reconnects them.
	forgetAfter = time.Hour
)

// Timing holds the heartbeat and failure detection times, which depend on the number of partners and data centres.
type Timing struct {
	localInterval, remoteInterval         time.Duration
	localSuspectAfter, remoteSuspectAfter time.Duration
	unreachableAfter                      time.Duration
	contactsPerDC                         int
}

// Interval returns the heartbeat interval within the own data centre.
func (t Timing) Interval() time.Duration { return t.localInterval }

// RemoteInterval returns the heartbeat interval to contacts in other data centres.
func (t Timing) RemoteInterval() time.Duration { return t.remoteInterval }

// SuspectAfter returns how long a partner in the own data centre must be silent to be suspected. After twice that time it
// is considered dead.
func (t Timing) SuspectAfter() time.Duration { return t.localSuspectAfter }

// RemoteSuspectAfter returns how long a contact in another data centre must be silent to be suspected.
func (t Timing) RemoteSuspectAfter() time.Duration { return t.remoteSuspectAfter }

// ContactsPerDataCentre returns how many contacts the VM has in each other data centre.
func (t Timing) ContactsPerDataCentre() int { return t.contactsPerDC }

func computeTiming(partners, otherDCs int) Timing {
	t := Timing{contactsPerDC: 2}
	if otherDCs > 4 {
		t.contactsPerDC = 1 // two contacts in each of eight data centres would double the time to detect their loss
	}
	localBudget := float64(heartbeatBytesPerSecond)
	if otherDCs > 0 {
		localBudget *= localBudgetShare
	}
	t.localInterval = max(minHeartbeatInterval, intervalForBudget(partners, localBudget))
	remoteBudget := heartbeatBytesPerSecond - float64(partners*heartbeatBytes)*float64(time.Second)/float64(t.localInterval)
	// The factor 2 is for answers: on average, a VM is chosen as a contact by as many VMs as it has contacts itself.
	t.remoteInterval = max(minHeartbeatInterval, intervalForBudget(2*t.contactsPerDC*otherDCs, remoteBudget))
	t.localSuspectAfter = max(minLocalSuspectAfter, 3*t.localInterval)
	t.remoteSuspectAfter = max(minRemoteSuspectAfter, 3*t.remoteInterval)
	t.unreachableAfter = 3 * t.remoteSuspectAfter
	return t
}

// intervalForBudget returns the interval at which heartbeats to this many links cost bytesPerSecond.
func intervalForBudget(links int, bytesPerSecond float64) time.Duration {
	return time.Duration(float64(links*heartbeatBytes) / bytesPerSecond * float64(time.Second))
}

func (t Timing) failureTimeouts(local bool) (suspect, dead time.Duration) {
	if local {
		return t.localSuspectAfter, 2 * t.localSuspectAfter
	}
	return t.remoteSuspectAfter, 2 * t.remoteSuspectAfter
}

// heartbeatPeriod returns the time between heartbeats and whether they ask for an acknowledgement. A silent VM is probed at
// a higher rate, so that a few lost messages do not lead to a suspicion.
func (t Timing) heartbeatPeriod(local bool, silent time.Duration) (time.Duration, bool) {
	interval, suspect := t.localInterval, t.localSuspectAfter
	if !local {
		interval, suspect = t.remoteInterval, t.remoteSuspectAfter
	}
	if silent >= min(interval+heartbeatGrace, suspect/2) && silent < 2*suspect {
		return probeInterval, true
	}
	return interval, !local
}
