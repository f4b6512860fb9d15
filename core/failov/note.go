package failov

import "time"

const (
	// noteRetry is the time between attempts of the VM that promoted a primary to note it in the group's record. One of the
	// table service's outages lasts minutes, so a few seconds more do not matter.
	noteRetry = 5 * time.Second
	// noteLag is the lead of each VM over the next one: the VM that promoted, then the watchers in rendezvous order. It
	// exceeds noteRetry, so that a VM that promoted and lives is usually the one that writes.
	noteLag = 10 * time.Second
)

// Note decides when a watcher writes the primary into the group's record. The VM that promoted it does so at once and
// again until it succeeds; the other watchers follow in their order if they have not learned that it is done. Once it is
// known to be noted nothing is due, so a watch at rest asks for nothing. It is not safe for concurrent use.
type Note struct {
	address  string
	term     uint64
	own      bool      // this VM promoted the primary
	from     time.Time // when the primary was first seen, or the last attempt ended
	tried    bool
	asking   bool
	recorded uint64 // term of the primary in the record, as far as it is known
}

// Serves takes the primary of a term. Own says that this VM has promoted it.
func (n *Note) Serves(now time.Time, address string, term uint64, own bool) {
	switch {
	case term > n.term:
		n.address, n.term, n.own, n.from, n.tried = address, term, own, now, false
	case term == n.term && address == n.address:
		n.own = n.own || own
	}
}

// Recorded takes the term of the primary in the record, which every change of the record shows. A lower one than before
// says that the store came back older.
func (n *Note) Recorded(term uint64) { n.recorded = term }

// Known returns the term of the primary in the record, as far as this VM knows it.
func (n *Note) Known() uint64 { return n.recorded }

// Pending reports whether an attempt may become due without news, so that a watch at rest need not determine its rank.
func (n *Note) Pending() bool { return !n.asking && n.term > n.recorded }

// Due reports whether this VM is to note a primary now, and which one. The attempt ends with Done; until then nothing is
// due. Rank is the VM's place among the live watchers.
func (n *Note) Due(now time.Time, rank int) (address string, term uint64, due bool) {
	if !n.Pending() || now.Before(n.from.Add(n.wait(rank))) {
		return "", 0, false
	}
	n.asking = true
	return n.address, n.term, true
}

func (n *Note) wait(rank int) time.Duration {
	switch {
	case !n.own:
		return time.Duration(rank+1) * noteLag
	case n.tried:
		return noteRetry
	}
	return 0
}

// Done ends an attempt. After a success the record holds the primary of this term or of a newer one.
func (n *Note) Done(now time.Time, term uint64, ok bool) {
	n.asking = false
	if ok {
		n.recorded = max(n.recorded, term)
	}
	if term == n.term {
		n.from, n.tried = now, true
	}
}
