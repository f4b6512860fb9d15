package failov

import "time"

const (
	// recordRetryInterval is the time between attempts of the VM that promoted a primary to write it into the group's record.
	// Outages of the table service can last minutes, so a few more seconds do not matter.
	recordRetryInterval = 5 * time.Second
	// recordRankDelay is how much longer each VM waits than the one before it: first the VM that promoted, then the watchers in
	// rendezvous order. It exceeds recordRetryInterval, so that a live VM that promoted is usually the one that writes.
	recordRankDelay = 10 * time.Second
)

// RecordScheduler decides when a watcher writes the primary into the group's record. The VM that promoted the primary writes it
// at once and retries until it succeeds. The other watchers follow in their order, unless they have learned that the record is
// written.
// Once the record is known to name the primary, no attempt is due, so an idle watch makes no calls for it. It is not safe for
// concurrent use.
type RecordScheduler struct {
	address           string
	term              uint64
	promotedHere      bool      // this VM promoted the primary
	waitingSince      time.Time // when the primary was first seen, or the last attempt ended
	attempted         bool
	attemptInProgress bool
	recordedTerm      uint64 // term of the primary in the record, as far as this VM knows
}

// SetPrimary records that the server at address serves as primary of term. PromotedHere says that this VM promoted it.
func (s *RecordScheduler) SetPrimary(now time.Time, address string, term uint64, promotedHere bool) {
	switch {
	case term > s.term:
		s.address, s.term, s.promotedHere, s.waitingSince, s.attempted = address, term, promotedHere, now, false
	case term == s.term && address == s.address:
		s.promotedHere = s.promotedHere || promotedHere
	}
}

// SetRecordedTerm sets the term of the primary in the record, which every change of the record shows. A lower term than before
// means that the store was restored to an older state.
func (s *RecordScheduler) SetRecordedTerm(term uint64) { s.recordedTerm = term }

// RecordedTerm returns the term of the primary in the record, as far as this VM knows it.
func (s *RecordScheduler) RecordedTerm() uint64 { return s.recordedTerm }

// Pending reports whether an attempt may become due without new information. If not, an idle watch need not determine its rank.
func (s *RecordScheduler) Pending() bool { return !s.attemptInProgress && s.term > s.recordedTerm }

// Due reports whether this VM must write a primary into the record now, and which one. The attempt ends with EndAttempt; until
// then no other one is due. Rank is the VM's index among the live watchers, counted from 0.
func (s *RecordScheduler) Due(now time.Time, rank int) (address string, term uint64, due bool) {
	if !s.Pending() || now.Before(s.waitingSince.Add(s.delay(rank))) {
		return "", 0, false
	}
	s.attemptInProgress = true
	return s.address, s.term, true
}

func (s *RecordScheduler) delay(rank int) time.Duration {
	switch {
	case !s.promotedHere:
		return time.Duration(rank+1) * recordRankDelay
	case s.attempted:
		return recordRetryInterval
	}
	return 0
}

// EndAttempt ends an attempt for term. After a success the record holds the primary of this term or of a newer one.
func (s *RecordScheduler) EndAttempt(now time.Time, term uint64, succeeded bool) {
	s.attemptInProgress = false
	if succeeded {
		s.recordedTerm = max(s.recordedTerm, term)
	}
	if term == s.term {
		s.waitingSince, s.attempted = now, true
	}
}
