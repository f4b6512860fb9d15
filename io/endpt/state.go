package endpt

import (
	"fmt"
	"time"

	"verbenagate/core/sched"
)

// maxStateTimes bounds the service times that a state dump lists.
const maxStateTimes = 20

// State describes a Server in the state dump and for metrics.
type State struct {
	Address            string        `json:"address"`
	Queued             int           `json:"queued"`
	RunningShort       int           `json:"running_short"`
	RunningLong        int           `json:"running_long"`
	Slots              int           `json:"slots"`
	OpenConnections    int           `json:"connections"`
	IdleConnections    int           `json:"connections_idle"`
	PendingConnections int           `json:"connections_pending"`
	HeldConnections    int           `json:"connections_held"`
	ConnectFailures    int           `json:"connect_failures"`
	Draining           bool          `json:"draining,omitempty"`
	LongThreshold      time.Duration `json:"long_threshold"`
	MaxWait            time.Duration `json:"max_wait"`
	ShortCounts        ClassState    `json:"short"`
	LongCounts         ClassState    `json:"long"`
	Times              []TimeState   `json:"service_times"`
}

// ClassState has the counters of one class of work (short or long).
type ClassState struct {
	Submitted uint64        `json:"submitted"`
	Started   uint64        `json:"started"`
	Done      uint64        `json:"done"`
	Shed      uint64        `json:"shed"`
	Waited    time.Duration `json:"waited"`
}

// TimeState is the estimated service time of one statement fingerprint.
type TimeState struct {
	Fingerprint string        `json:"fingerprint"`
	Estimate    time.Duration `json:"estimate"`
}

// State returns the current state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	short, long := s.queue.Active()
	st := State{
		Address: s.Address(), Queued: s.queue.Len(), RunningShort: short, RunningLong: long, Slots: s.queue.Slots(),
		OpenConnections: s.openConns, IdleConnections: len(s.idle), PendingConnections: s.pendingConns, HeldConnections: s.heldConns,
		ConnectFailures: s.dialFailures, Draining: s.draining, LongThreshold: s.queue.Threshold(), MaxWait: s.maxWait,
		ShortCounts: classState(s.queue.Counters(sched.Short)), LongCounts: classState(s.queue.Counters(sched.Long)),
	}
	for _, t := range s.queue.Times(maxStateTimes) {
		st.Times = append(st.Times, TimeState{fmt.Sprintf("%016x", t.Fingerprint()), t.Estimate()})
	}
	return st
}

func classState(c sched.Counters) ClassState {
	return ClassState{Submitted: c.Submitted, Started: c.Started, Done: c.Done, Shed: c.Shed, Waited: c.Waited}
}
