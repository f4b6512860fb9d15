package lead

import "time"

// Presence says how long a VM has been present for the other VMs: it has a lease, or had one less than Linger ago.
type Presence struct {
	since, until, proven time.Time
	inEra, eraBegan      time.Time
}

// NewPresence returns the presence of a VM whose process has been present without a gap since a time, and will be until another one. Proven
// is since when the VM, also with an earlier process, has been present without a gap, zero if that is not known.
func NewPresence(since, until, proven time.Time) Presence {
	return Presence{since: since, until: until, proven: proven}
}

// WithEra returns the presence with the time since when the VM has had a lease of the newest era of the store, zero before, and the time
// by which that era had begun, zero if it is not known.
func (p Presence) WithEra(since, began time.Time) Presence {
	p.inEra, p.eraBegan = since, began
	return p
}

// Since returns since when this process has been present without a gap, zero if it never was.
func (p Presence) Since() time.Time { return p.since }

// Until returns until when it will be present.
func (p Presence) Until() time.Time { return p.until }

// Proven returns since when the VM has been present without a gap, with any process.
func (p Presence) Proven() time.Time { return p.proven }

// InEra returns since when the VM has had a lease of the newest era.
func (p Presence) InEra() time.Time { return p.inEra }

// EraBegan returns the time by which the newest era had begun.
func (p Presence) EraBegan() time.Time { return p.eraBegan }
