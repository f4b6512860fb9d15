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

// Note decides when a watcher writes the primary into the group's record. The VM that promoted the primary writes it at once
// and retries until it succeeds. The other watchers follow in their order, unless they have learned that the record is written.
// Once the record is known to name the primary, no attempt is due, so an idle watch makes no calls for it. It is not safe for
// concurrent use.
type Note struct {
	address           string
	term              uint64
	promotedHere      bool      // this VM promoted the primary
	waitingSince      time.Time // when the primary was first seen, or the last attempt ended
	attempted         bool
	attemptInProgress bool
	recordedTerm      uint64 // term of the primary in the record, as far as this VM knows
}

// Serves records that the server at address serves as primary of term. PromotedHere says that this VM promoted it.
func (n *Note) Serves(now time.Time, address string, term uint64, promotedHere bool) {
	switch {
	case term > n.term:
		n.address, n.term, n.promotedHere, n.waitingSince, n.attempted = address, term, promotedHere, now, false
	case term == n.term && address == n.address:
		n.promotedHere = n.promotedHere || promotedHere
	}
}

// Recorded sets the term of the primary in the record, which every change of the record shows. A lower term than before means
// that the store was restored to an older state.
func (n *Note) Recorded(term uint64) { n.recordedTerm = term }

// Known returns the term of the primary in the record, as far as this VM knows it.
func (n *Note) Known() uint64 { return n.recordedTerm }

// Pending reports whether an attempt may become due without new information. If not, an idle watch need not determine its rank.
func (n *Note) Pending() bool { return !n.attemptInProgress && n.term > n.recordedTerm }

// Due reports whether this VM must write a primary into the record now, and which one. The attempt ends with Done; until then
// no other one is due. Rank is the VM's index among the live watchers, counted from 0.
func (n *Note) Due(now time.Time, rank int) (address string, term uint64, due bool) {
	if !n.Pending() || now.Before(n.waitingSince.Add(n.delay(rank))) {
		return "", 0, false
	}
	n.attemptInProgress = true
	return n.address, n.term, true
}

func (n *Note) delay(rank int) time.Duration {
	switch {
	case !n.promotedHere:
		return time.Duration(rank+1) * recordRankDelay
	case n.attempted:
		return recordRetryInterval
	}
	return 0
}

// Done ends an attempt for term. After a success the record holds the primary of this term or of a newer one.
func (n *Note) Done(now time.Time, term uint64, succeeded bool) {
	n.attemptInProgress = false
	if succeeded {
		n.recordedTerm = max(n.recordedTerm, term)
	}
	if term == n.term {
		n.waitingSince, n.attempted = now, true
	}
}
