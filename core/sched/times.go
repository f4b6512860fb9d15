package sched

import "time"

const (
	// maxFingerprints bounds the table of service times; the least recently used entry makes room.
	maxFingerprints = 4096
	// weight is the share of the newest sample in an estimate.
	weight = 0.2
	// longFactor times the median of short work is the threshold to long work.
	longFactor = 8
	// minThreshold keeps the threshold above the jitter of the machine when short work takes microseconds.
	minThreshold = 10 * time.Millisecond
	// firstMedian stands for the median of short work until samples have moved it.
	firstMedian = 5 * time.Millisecond
	// medianStep is the relative change of the running median per sample; 0.05 settles from a tenfold difference
	// within about 50 samples.
	medianStep = 0.05
)

// times learns service times per fingerprint and the median of short work.
type times struct {
	entries map[uint64]*entry
	newest  *entry
	oldest  *entry
	median  float64
}

type entry struct {
	fingerprint uint64
	mean        float64
	newer       *entry
	older       *entry
}

func newTimes() *times {
	return &times{entries: map[uint64]*entry{}, median: float64(firstMedian)}
}

func (t *times) estimate(fingerprint uint64) (time.Duration, bool) {
	e := t.entries[fingerprint]
	if e == nil {
		return 0, false
	}
	return time.Duration(e.mean), true
}

func (t *times) typical() time.Duration { return time.Duration(t.median) }

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
		e.mean += weight * (x - e.mean)
	}
	t.touch(e)
}

// noteUnseen takes the time that work of an unknown fingerprint has run so far as its estimate.
func (t *times) noteUnseen(fingerprint uint64, soFar time.Duration) {
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
