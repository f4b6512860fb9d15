// Package hedge decides when a read that was sent to another VM is hedged, that is run again on another server, because that
// VM has stopped answering.
package hedge

import "time"

const (
	// maxHedgeShare bounds the hedged reads to 2% of the answered reads.
	maxHedgeShare = 0.02
	// maxCredit bounds the hedged reads that may be saved up as credit. It covers the reads that a VM has in flight at one
	// owner: at 1,200 reads/s on a server, all VMs together have 60 in flight within minTimeout.
	maxCredit = 20
	// minTimeout is the lowest timeout for an answer. With 9 processes on one machine, p99.9 of the reads was 15 to 44 ms.
	minTimeout = 50 * time.Millisecond
	// defaultTimeout is the timeout for a statement of unknown latency, which may run long.
	defaultTimeout = 500 * time.Millisecond
	// avoidDuration is how long this VM sends no reads to a suspected owner. One read then probes the owner.
	avoidDuration = 500 * time.Millisecond
	// maxCheckDelay is the delay of a check above which this VM itself must have paused. Answers may have arrived during the
	// pause and not been read yet.
	maxCheckDelay = 100 * time.Millisecond
	// maxLatencies bounds the number of statements whose latency is kept.
	maxLatencies = 1024
	// meanWeight, deviationWeight and deviationFactor are those of the retransmission timer of TCP (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
)

// Table holds, for the reads of one service, the latency per statement, the last answer of each owner and the credit for
// hedged reads. It is not safe for concurrent use.
type Table struct {
	latencies map[uint64]latency
	owners    map[string]*owner
	credit    float64
}

// latency is the time from sending a statement to its answer, in nanoseconds.
type latency struct{ mean, deviation float64 }

// owner is a VM that owns servers of the service.
type owner struct {
	lastAnswer time.Time
	avoidUntil time.Time // zero if the owner is not suspected
}

// Read is a read that was sent to another VM.
type Read struct {
	owner           string
	fingerprint     uint64
	sent, nextCheck time.Time
}

// NextCheck returns when to call CheckOverdue next.
func (r Read) NextCheck() time.Time { return r.nextCheck }

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{latencies: map[uint64]latency{}, owners: map[string]*owner{}}
}

func (t *Table) owner(id string) *owner {
	o := t.owners[id]
	if o == nil {
		o = &owner{}
		t.owners[id] = o
	}
	return o
}

// timeout returns how long an owner may give no answer before it is suspected.
func (t *Table) timeout(fingerprint uint64) time.Duration {
	l, known := t.latencies[fingerprint]
	if !known {
		return defaultTimeout
	}
	return max(minTimeout, time.Duration(2*l.mean+deviationFactor*l.deviation))
}

// RecordSent records a read that is sent to an owner. If the owner is suspected, the read is a probe, and further reads avoid
// the owner for another avoidDuration.
func (t *Table) RecordSent(now time.Time, id string, fingerprint uint64) Read {
	if o := t.owner(id); !o.avoidUntil.IsZero() {
		o.avoidUntil = now.Add(avoidDuration)
	}
	return Read{owner: id, fingerprint: fingerprint, sent: now, nextCheck: now.Add(t.timeout(fingerprint))}
}

// RecordAnswer records that an owner has answered some unit, and clears the suspicion against it.
func (t *Table) RecordAnswer(now time.Time, id string) {
	o := t.owner(id)
	o.lastAnswer, o.avoidUntil = now, time.Time{}
}

// RecordLatency records the latency of a read that was sent to another VM, and adds to the credit for hedged reads.
func (t *Table) RecordLatency(fingerprint uint64, took time.Duration) {
	t.credit = min(t.credit+maxHedgeShare, maxCredit)
	l, known := t.latencies[fingerprint]
	if !known {
		if len(t.latencies) >= maxLatencies {
			for old := range t.latencies {
				delete(t.latencies, old)
				break
			}
		}
		t.latencies[fingerprint] = latency{float64(took), float64(took) / 2}
		return
	}
	diff := float64(took) - l.mean
	l.mean += meanWeight * diff
	l.deviation += deviationWeight * (max(diff, -diff) - l.deviation)
	t.latencies[fingerprint] = l
}

// CheckOverdue reports whether the read's owner has sent no answer for much longer than the read usually takes. If so, the
// owner becomes suspected. CheckOverdue also sets the time of the next check. An owner that answers other units is not
// suspected: the read itself is slow, and running it twice would not help.
func (t *Table) CheckOverdue(now time.Time, r *Read) bool {
	timeout, paused := t.timeout(r.fingerprint), now.Sub(r.nextCheck) > maxCheckDelay
	o := t.owner(r.owner)
	since := r.sent
	if o.lastAnswer.After(since) {
		since = o.lastAnswer
	}
	r.nextCheck = now.Add(timeout)
	if paused {
		return false
	}
	if due := since.Add(timeout); now.Before(due) {
		r.nextCheck = due
		return false
	}
	o.avoidUntil = now.Add(avoidDuration)
	return true
}

// TakeCredit reports whether a read may be hedged now. If so, it charges the hedged read to the credit.
func (t *Table) TakeCredit() bool {
	if t.credit < 1 {
		return false
	}
	t.credit--
	return true
}

// AnySuspected reports whether any owner is suspected and gets no reads now.
func (t *Table) AnySuspected(now time.Time) bool {
	for _, o := range t.owners {
		if now.Before(o.avoidUntil) {
			return true
		}
	}
	return false
}

// Suspected reports whether an owner is suspected and gets no reads now.
func (t *Table) Suspected(now time.Time, id string) bool {
	o := t.owners[id]
	return o != nil && now.Before(o.avoidUntil)
}
