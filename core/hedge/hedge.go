// Package hedge decides when a read that another VM was asked to run is run again on another server, because that VM has
// fallen silent.
package hedge

import "time"

const (
	// share bounds the reads that are run again to 2% of the reads that were answered.
	share = 0.02
	// burst bounds the allowance that is saved up. It covers the reads that a VM has under way at one owner: with 1,200
	// reads/s on a server, 60 are under way on all VMs together within minWait.
	burst = 20
	// minWait is the shortest silence that counts. In 9 processes on one machine, p99.9 of the reads was 15 to 44 ms.
	minWait = 50 * time.Millisecond
	// firstWait is the silence that counts for a statement whose usual time is not known, which may be a long one.
	firstWait = 500 * time.Millisecond
	// avoidFor is how long an owner in doubt gets no read of this VM; then one read tries it.
	avoidFor = 500 * time.Millisecond
	// maxLate is the delay of a check that only a pause of this VM explains. Answers may have arrived meanwhile.
	maxLate = 100 * time.Millisecond
	// maxUsual bounds the statements whose usual time is kept.
	maxUsual = 1024
	// meanWeight and deviationWeight are those of the retransmission timer of TCP (RFC 6298), as is deviations.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
)

// Table is what a VM knows of the answers to the reads of one service. It is not safe for concurrent use.
type Table struct {
	usual  map[uint64]usual
	owners map[string]*owner
	credit float64
}

// usual is the time to the answer of a statement, in nanoseconds.
type usual struct{ mean, deviation float64 }

// owner is a VM that owns servers of the service.
type owner struct {
	heard time.Time
	avoid time.Time // until when; zero if the VM is not in doubt
}

// Read is a read that another VM was asked to run.
type Read struct {
	owner       string
	fingerprint uint64
	sent, check time.Time
}

// Check returns when to call Overdue next.
func (r Read) Check() time.Time { return r.check }

// NewTable returns a table that knows nothing.
func NewTable() *Table {
	return &Table{usual: map[uint64]usual{}, owners: map[string]*owner{}}
}

func (t *Table) owner(id string) *owner {
	o := t.owners[id]
	if o == nil {
		o = &owner{}
		t.owners[id] = o
	}
	return o
}

// wait returns the silence after which an owner is in doubt.
func (t *Table) wait(fingerprint uint64) time.Duration {
	u, known := t.usual[fingerprint]
	if !known {
		return firstWait
	}
	return max(minWait, time.Duration(2*u.mean+deviations*u.deviation))
}

// Sent notes a read that is sent to an owner. A read that tries an owner in doubt keeps others from trying it as well.
func (t *Table) Sent(now time.Time, id string, fingerprint uint64) Read {
	if o := t.owner(id); !o.avoid.IsZero() {
		o.avoid = now.Add(avoidFor)
	}
	return Read{owner: id, fingerprint: fingerprint, sent: now, check: now.Add(t.wait(fingerprint))}
}

// Heard notes an answer of an owner, to whatever unit.
func (t *Table) Heard(now time.Time, id string) {
	o := t.owner(id)
	o.heard, o.avoid = now, time.Time{}
}

// Answered notes the time to the answer of a read that another VM was asked to run.
func (t *Table) Answered(fingerprint uint64, took time.Duration) {
	t.credit = min(t.credit+share, burst)
	u, known := t.usual[fingerprint]
	if !known {
		if len(t.usual) >= maxUsual {
			for old := range t.usual {
				delete(t.usual, old)
				break
			}
		}
		t.usual[fingerprint] = usual{float64(took), float64(took) / 2}
		return
	}
	off := float64(took) - u.mean
	u.mean += meanWeight * off
	u.deviation += deviationWeight * (max(off, -off) - u.deviation)
	t.usual[fingerprint] = u
}

// Overdue reports whether the read's owner has been silent for much longer than the read usually takes, and puts the owner
// in doubt if so. It sets the time of the next check. An owner that answers other units is not silent: the read itself is
// slow, and running it twice would not help.
func (t *Table) Overdue(now time.Time, r *Read) bool {
	wait, late := t.wait(r.fingerprint), now.Sub(r.check) > maxLate
	o := t.owner(r.owner)
	since := r.sent
	if o.heard.After(since) {
		since = o.heard
	}
	r.check = now.Add(wait)
	if late {
		return false
	}
	if due := since.Add(wait); now.Before(due) {
		r.check = due
		return false
	}
	o.avoid = now.Add(avoidFor)
	return true
}

// Take reports whether a read may be run again, and counts it.
func (t *Table) Take() bool {
	if t.credit < 1 {
		return false
	}
	t.credit--
	return true
}

// InDoubt reports whether any owner gets no reads now.
func (t *Table) InDoubt(now time.Time) bool {
	for _, o := range t.owners {
		if now.Before(o.avoid) {
			return true
		}
	}
	return false
}

// Avoid reports whether an owner gets no reads now.
func (t *Table) Avoid(now time.Time, id string) bool {
	o := t.owners[id]
	return o != nil && now.Before(o.avoid)
}
