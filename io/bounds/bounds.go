// Package bounds keeps the account of the bytes that a VM holds for its callers and servers, and closes connections when they are used
// up. The decisions are those of core/budget.
package bounds

import (
	"sync"
	"time"

	"verbenagate/core/budget"
	"verbenagate/core/port"
	"verbenagate/core/result"
)

const (
	// roomTimeout is how long a message waits for bytes. Within it, connections that the VM has waited for are closed.
	roomTimeout = 2 * budget.Patience
	// answerRoomTimeout is the same for answers, whose statements have a time limit of their own.
	answerRoomTimeout = 250 * time.Millisecond
	roomCheckInterval = 25 * time.Millisecond
)

// Account is the account of one VM. It is safe for concurrent use.
type Account struct {
	limit int64

	mu      sync.Mutex
	account *budget.Account[*Holding]
}

// Held is what one connection holds.
type Held struct {
	Name    string  `json:"name"` // the address of the other end
	Bytes   int64   `json:"bytes"`
	Waiting float64 `json:"waiting_s"` // for how long the VM has waited for it
}

// State is the part of the state dump about an account.
type State struct {
	Bytes   int64  `json:"bytes"`
	Limit   int64  `json:"limit"` // 0 if there is none
	Largest []Held `json:"largest"`
}

// largestInState is how many connections a state dump lists.
const largestInState = 20

// State returns what is held, and by whom the most.
func (a *Account) State() State {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s := State{Bytes: a.account.Used(), Limit: a.limit, Largest: []Held{}}
	for _, h := range a.account.Largest(largestInState) {
		s.Largest = append(s.Largest, Held{Name: h.Owner().name, Bytes: h.Bytes(), Waiting: h.Waiting(now).Seconds()})
	}
	return s
}

// NewAccount returns an account of at most limit bytes; without a limit if it is 0.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, account: budget.NewAccount[*Holding](limit)}
}

// Used returns the bytes that are taken.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Used()
}

// Open returns the holding of a connection, which name tells from others in the state dump. Evict closes the connection; it is called at
// most once, with the reason, from any goroutine. Connections without it are never closed to make room for others. The connection must
// call Close at its end.
func (a *Account) Open(name string, evict func(reason string)) *Holding {
	h := &Holding{account: a, name: name, evict: evict}
	h.holder = budget.NewHolder(h)
	return h
}

// CloseOverdue closes the connections whose other ends have let the VM wait for too long.
func (a *Account) CloseOverdue(now time.Time) {
	a.mu.Lock()
	chosen := a.account.Overdue(now)
	a.mu.Unlock()
	for _, h := range chosen {
		h.evict("a message or the reading of an answer took too long")
	}
}

// Holding is what one connection holds of the account. Its methods are for the goroutine of the connection.
type Holding struct {
	account *Account
	name    string
	evict   func(reason string)
	holder  budget.Holder[*Holding]
	held    bool // the connection may hold bytes; spares the lock of the account when it holds none
	waiting bool
}

var _ port.Memory = (*Holding)(nil)

// Grow implements port.Memory: it takes n bytes for a message, and waits for them if needed. While it does, the VM does not wait for
// the other end.
func (h *Holding) Grow(n int) error {
	h.Wait()
	err := h.take(budget.Message, int64(n), roomTimeout)
	if err == nil {
		h.Wait()
	}
	return err
}

// GrowAnswer takes n bytes for an answer.
func (h *Holding) GrowAnswer(n int) error { return h.take(budget.Answer, int64(n), answerRoomTimeout) }

// GrowState takes n bytes for the state of a session, or gives back -n of them.
func (h *Holding) GrowState(n int) error {
	if n < 0 {
		h.account.mu.Lock()
		defer h.account.mu.Unlock()
		h.account.account.ReturnSome(&h.holder, budget.State, int64(-n))
		return nil
	}
	return h.take(budget.State, int64(n), 0)
}

func (h *Holding) take(use budget.Use, n int64, timeout time.Duration) error {
	began := time.Now()
	for {
		now := time.Now()
		h.account.mu.Lock()
		h.held = true
		ok := h.account.account.Take(&h.holder, use, n)
		evicted := h.holder.Evicted()
		var chosen []*Holding
		if !ok && !evicted {
			chosen = h.account.account.Evict(n, now)
			h.waiting = false
			h.account.account.Resume(&h.holder)
		}
		h.account.mu.Unlock()
		for _, c := range chosen {
			c.evict("the memory for messages and answers is used up")
		}
		switch {
		case ok:
			return nil
		case evicted || now.Sub(began) >= timeout:
			return result.New(result.Overloaded, "this VM has no memory for %d bytes more", n)
		}
		time.Sleep(roomCheckInterval)
	}
}

// Wait records that the VM waits for the other end of the connection.
func (h *Holding) Wait() {
	if h.waiting || h.evict == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.waiting = true
	h.account.account.Wait(&h.holder, time.Now())
}

// Received implements port.Memory: the VM no longer waits for the other end.
func (h *Holding) Received() {
	if !h.waiting {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.waiting = false
	h.account.account.Resume(&h.holder)
}

// Settle implements port.Memory: it gives back the bytes of the message and of the answer.
func (h *Holding) Settle() {
	h.Received()
	if !h.held {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.account.Return(&h.holder, budget.Message)
	h.account.account.Return(&h.holder, budget.Answer)
	h.held = h.holder.Bytes() > 0
}

// Close gives back all bytes.
func (h *Holding) Close() {
	h.Settle()
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.account.Return(&h.holder, budget.State)
}

// ForServer is the holding of a connection to a server, whose answers are counted.
type ForServer struct{ *Holding }

var _ port.Memory = ForServer{}

// Grow implements port.Memory.
func (h ForServer) Grow(n int) error { return h.GrowAnswer(n) }

// OpenForServer returns the holding of a connection to a server.
func (a *Account) OpenForServer() port.Memory { return ForServer{a.Open("server", nil)} }
