package lead

import "time"

// restoreWait is how long after a VM has heard of a new era of the store every lease of the eras before has certainly ended. The last of
// them was granted before the store came back.
const restoreWait = LeaseDuration + maxClockDrift

// Restore is what a VM may do after the store has come back from a copy, and has lost what it acknowledged in the last seconds. The zero
// Restore holds back nothing.
type Restore struct {
	until  time.Time // end of the leases of earlier eras
	lapsed bool      // the VM has been without a lease since it heard of the era, or before
}

// Begin records that the VM has heard of a new era at now, with or without a valid lease.
func (r *Restore) Begin(now time.Time, leaseValid bool) {
	*r = Restore{until: now.Add(restoreWait), lapsed: r.lapsed && now.Before(r.until) || !leaseValid}
}

// Began records that the newest era had begun by at. A VM that is started long after the store came back need not wait.
func (r *Restore) Began(at time.Time) {
	if until := at.Add(restoreWait); until.Before(r.until) {
		r.until = until
	}
}

// Lapsed records that the VM was without a lease.
func (r *Restore) Lapsed() { r.lapsed = true }

// Until returns when the wait ends, the zero time if there was none.
func (r *Restore) Until() time.Time { return r.until }

// MayReplace reports whether the VM may replace a primary at now. Before, a VM that is missing in the copy's list may hold a lease of an
// earlier era, and use the primary.
func (r *Restore) MayReplace(now time.Time) bool { return !now.Before(r.until) }

// MayUse reports whether the VM may use a primary at now with a valid lease. One that has held a lease throughout knows of every replacement
// that may have taken effect. Another one may have read from the copy a record that was replaced in the lost seconds, and waits until
// nobody uses its successor under a lease of an earlier era, and until a VM that knows the successor has had time to write it again.
func (r *Restore) MayUse(now time.Time) bool { return !r.lapsed || !now.Before(r.until) }

// EraMark says that an era of the store had begun when the store's clock showed a time. The VMs keep one in the table of records, so that
// a VM that is started later knows how long the leases of earlier eras have ended.
type EraMark struct {
	era uint64
	at  time.Duration
}

// NewEraMark returns the mark of an era of which an answer told with the time at on the store's clock.
func NewEraMark(era uint64, at time.Duration) EraMark { return EraMark{era: era, at: at} }

// Era returns the era.
func (m EraMark) Era() uint64 { return m.era }

// At returns the time on the store's clock.
func (m EraMark) At() time.Duration { return m.at }

// Age returns how long the era has lasted at least when the store's clock shows storeTime.
func (m EraMark) Age(storeTime time.Duration) time.Duration { return max(storeTime-m.at, 0) }
