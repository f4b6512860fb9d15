package fresh

import "time"

// probeInterval is the time between reads that find out whether a position is known again. It is shorter than the longest time between
// attempts of a statement that waits, so probes hardly delay one.
const probeInterval = 240 * time.Millisecond

// Probe lets a few of many reads with an age limit find out whether the primary's position is known again, while the others wait. The zero
// Probe holds back nothing. It is not safe for concurrent use.
type Probe struct {
	age  time.Duration // the longest age limit of a read for which no position was known; 0 if there was none
	next time.Time
}

// Failed records that no position was known for a read with this age limit.
func (p *Probe) Failed(now time.Time, age time.Duration) {
	if now.After(p.next) {
		p.age, p.next = 0, now.Add(probeInterval)
	}
	p.age = max(p.age, age)
}

// Allows reports whether a read with this age limit may be sent at now. Of those that would fail as others have, it allows one in a
// probeInterval.
func (p *Probe) Allows(now time.Time, age time.Duration) bool {
	if age > p.age {
		return true
	}
	if now.Before(p.next) {
		return false
	}
	p.next = now.Add(probeInterval)
	return true
}

// Reset records that a position is known.
func (p *Probe) Reset() { *p = Probe{} }
