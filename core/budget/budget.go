// Package budget decides how much of a VM's memory and descriptors callers may use, and which callers are turned away first when that
// is used up: those that the VM has waited for longest, never those whose statements are running.
package budget

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Patience is how long, when bytes are short, a caller may let the VM wait for the rest of a message or for the reading of an
	// answer.
	Patience = time.Second
	// MaxWait is the same bound when bytes are not short. It is as long as a caller's connection may acknowledge no data.
	MaxWait = 15 * time.Second
	// IdlePatience is how long a session that has used no server yet stays open when connections are short.
	IdlePatience = 5 * time.Second
)

// Use says what bytes are taken for.
type Use uint8

const (
	// Message is a message that is being received or carried out.
	Message Use = iota
	// Answer is an answer that is being received or sent.
	Answer
	// State is the session values and prepared statements of a session.
	State
	uses
)

// shares are the largest parts of the limit that the uses may take, in eighths. State may not take all, since it is held for as long as
// sessions last.
var shares = [uses]int64{Message: 8, Answer: 8, State: 4}

// Holder is one connection that holds bytes of an account. The zero value with an owner is ready to use.
type Holder[T any] struct {
	owner   T
	bytes   [uses]int64
	total   int64
	since   time.Time // since when the VM waits for the other end; zero if it does not
	evicted bool
}

// NewHolder returns a holder that belongs to owner.
func NewHolder[T any](owner T) Holder[T] { return Holder[T]{owner: owner} }

// Owner returns whom the holder belongs to.
func (h *Holder[T]) Owner() T { return h.owner }

// Waiting returns for how long the VM has waited for the other end, 0 if it does not wait.
func (h *Holder[T]) Waiting(now time.Time) time.Duration {
	if h.since.IsZero() {
		return 0
	}
	return now.Sub(h.since)
}

// Bytes returns the bytes that the holder has taken.
func (h *Holder[T]) Bytes() int64 { return h.total }

// Evicted reports whether the holder is to be closed.
func (h *Holder[T]) Evicted() bool { return h.evicted }

// Account counts the bytes that are held for callers and servers. It is not safe for concurrent use.
type Account[T any] struct {
	limit   int64
	used    int64
	byUse   [uses]int64
	holders map[*Holder[T]]struct{} // those that hold bytes
}

// NewAccount returns an account of at most limit bytes; without a limit if it is 0.
func NewAccount[T any](limit int64) *Account[T] {
	return &Account[T]{limit: limit, holders: make(map[*Holder[T]]struct{})}
}

// Used returns the bytes that are taken.
func (a *Account[T]) Used() int64 { return a.used }

// Take takes n bytes for h. It returns false if they are not available, or if h is to be closed.
func (a *Account[T]) Take(h *Holder[T], use Use, n int64) bool {
	if h.evicted || a.limit > 0 && (a.used+n > a.limit || a.byUse[use]+n > a.limit*shares[use]/8) {
		return false
	}
	a.add(h, use, n)
	return true
}

// Return gives back all bytes that h has taken for a use.
func (a *Account[T]) Return(h *Holder[T], use Use) { a.add(h, use, -h.bytes[use]) }

// ReturnSome gives back n of the bytes that h has taken for a use.
func (a *Account[T]) ReturnSome(h *Holder[T], use Use, n int64) { a.add(h, use, -min(n, h.bytes[use])) }

func (a *Account[T]) add(h *Holder[T], use Use, n int64) {
	h.bytes[use] += n
	h.total += n
	a.byUse[use] += n
	a.used += n
	if h.total > 0 {
		a.holders[h] = struct{}{}
	} else {
		delete(a.holders, h)
	}
}

// Wait records that the VM waits for the other end of h, unless it did already. Resume records that it no longer waits.
func (a *Account[T]) Wait(h *Holder[T], now time.Time) {
	if h.since.IsZero() {
		h.since = now
	}
}

// Resume is the opposite of Wait.
func (a *Account[T]) Resume(h *Holder[T]) { h.since = time.Time{} }

// Largest returns the holders of the most bytes, at most n, the largest first.
func (a *Account[T]) Largest(n int) []*Holder[T] {
	all := slices.SortedFunc(maps.Keys(a.holders), func(x, y *Holder[T]) int { return cmp.Compare(y.total, x.total) })
	return all[:min(n, len(all))]
}

// Evict chooses which holders are to be closed so that n bytes become available: of those that the VM has waited for at least Patience,
// the ones it has waited for longest. Holders that were chosen earlier count, although they have not given back their bytes yet.
func (a *Account[T]) Evict(n int64, now time.Time) []T {
	missing := a.used + n - a.limit
	if a.limit == 0 || missing <= 0 {
		return nil
	}
	waited := a.waited(Patience, now)
	for h := range a.holders {
		if h.evicted {
			missing -= h.total
		}
	}
	var chosen []T
	for _, h := range waited {
		if missing <= 0 {
			break
		}
		missing -= h.total
		h.evicted = true
		chosen = append(chosen, h.owner)
	}
	return chosen
}

// Overdue chooses the holders that the VM has waited for at least MaxWait. They are to be closed.
func (a *Account[T]) Overdue(now time.Time) []T {
	var chosen []T
	for _, h := range a.waited(MaxWait, now) {
		h.evicted = true
		chosen = append(chosen, h.owner)
	}
	return chosen
}

// waited returns the holders that the VM has waited for at least d and that are not to be closed yet, the longest wait first.
func (a *Account[T]) waited(d time.Duration, now time.Time) []*Holder[T] {
	var all []*Holder[T]
	for h := range a.holders {
		if !h.evicted && !h.since.IsZero() && now.Sub(h.since) >= d {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(x, y *Holder[T]) int { return x.since.Compare(y.since) })
	return all
}
