package quota

import "time"

// ReplyTime estimates how long the replies of a VM take, from those before. The zero value knows nothing. It is not safe for concurrent
// use.
type ReplyTime struct {
	mean, deviation time.Duration
}

// Record records that a reply took d.
func (r *ReplyTime) Record(d time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = d, d/2
		return
	}
	difference := d - r.mean
	r.mean += difference / 8
	r.deviation += (max(difference, -difference) - r.deviation) / 4
}

// Life returns how long tokens must be usable that are asked for now, so that few of them have ended when they arrive.
func (r *ReplyTime) Life() time.Duration {
	if r.mean == 0 {
		return maxTokenLife
	}
	return min(max(r.mean+4*r.deviation+minTokenLife, minTokenLife), maxTokenLife)
}
