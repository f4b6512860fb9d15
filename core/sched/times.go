package sched

import "time"

const (
	// maxFingerprints bounds the table of service times. The least recently used entry is evicted.
	maxFingerprints = 4096
	// newestWeight is the share of the newest sample in an estimate.
	newestWeight = 0.2
	// longFactor times the median service time of short work is the threshold above which work is long.
	longFactor = 8
	// minThreshold keeps the threshold above the scheduling jitter of the machine when short work takes microseconds.
	minThreshold = 10 * time.Millisecond
	// initialMedian is the value from which the running median of short work starts.
	initialMedian = 5 * time.Millisecond
	// medianStep is the relative change of the running median per sample. With 0.05, the median makes up for a tenfold
	// difference within about 50 samples.
	medianStep = 0.05
)

// times learns the service time per fingerprint and the median service time of short work. Its entries form an LRU list.
type times struct {
	entries map[uint64]*entry
	newest  *entry // most recently used
	oldest  *entry
	median  float64 // nanoseconds
}

type entry struct {
	fingerprint uint64
	mean        float64 // nanoseconds
	newer       *entry
	older       *entry
}

func newTimes() *times {
	return &times{entries: map[uint64]*entry{}, median: float64(initialMedian)}
}

func (t *times) estimate(fingerprint uint64) (time.Duration, bool) {
	e := t.entries[fingerprint]
	if e == nil {
		return 0, false
	}
	return time.Duration(e.mean), true
}

func (t *times) shortMedian() time.Duration { return time.Duration(t.median) }

func (t *times) threshold() time.Duration {
	return max(minThreshold, time.Duration(longFactor*t.median))
}

func (t *times) learn(fingerprint uint64, took time.Duration) {
	x := float64(took)
	if took <= t.threshold() {
		if x > t.median {
			t.median *= 1 + medianStep
		} else {
			t.median /= 1 + medianStep
		}
	}
	e := t.entries[fingerprint]
	if e == nil {
		e = t.add(fingerprint)
		e.mean = x
	} else {
		e.mean += newestWeight * (x - e.mean)
	}
	t.touch(e)
}

// setInitialEstimate sets the estimate of an unknown fingerprint to the time that its work has run so far.
func (t *times) setInitialEstimate(fingerprint uint64, soFar time.Duration) {
	if t.entries[fingerprint] == nil {
		t.add(fingerprint).mean = float64(soFar)
	}
}

func (t *times) add(fingerprint uint64) *entry {
	var e *entry
	if len(t.entries) >= maxFingerprints {
		e = t.oldest
		t.unlink(e)
		delete(t.entries, e.fingerprint)
	} else {
		e = &entry{}
	}
	e.fingerprint = fingerprint
	t.entries[fingerprint] = e
	t.link(e)
	return e
}

func (t *times) touch(e *entry) {
	if t.newest != e {
		t.unlink(e)
		t.link(e)
	}
}

func (t *times) link(e *entry) {
	e.newer, e.older = nil, t.newest
	if t.newest != nil {
		t.newest.newer = e
	} else {
		t.oldest = e
	}
	t.newest = e
}

func (t *times) unlink(e *entry) {
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		t.newest = e.older
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		t.oldest = e.newer
	}
}
