// Package notice bounds how long a VM may miss a change of the configuration or of the servers. It holds the limits of the calls that show a
// VM that what it waits for may be lost, and adds them up along each path by which a change reaches a VM.
package notice

import (
	"slices"
	"time"

	"verbenagate/core/lead"
	"verbenagate/core/port"
)

const (
	// BatchWindow is how long an agent collects renewals for one transaction. The next regular renewal of a VM is due
	// lead.RenewInterval and BatchWindow after its last one at the latest.
	BatchWindow = 250 * time.Millisecond
	// MaxRenewalDelay is how long work on a primary that is being replaced may delay a renewal.
	MaxRenewalDelay = 400 * time.Millisecond
	// DoubtAfter is how long a call of the store or a renewal by an agent may go without an answer before other calls that wait for
	// changes are in doubt: their answers may be lost as well. A store under load answers within 200 ms.
	DoubtAfter = 600 * time.Millisecond
	// DirectTimeout is the time limit for a VM's own read of a table while its agent is in doubt. A read that gets no answer is made
	// again on a new connection.
	DirectTimeout = 500 * time.Millisecond
	// RenewTimeout is the time limit of a renewal by an agent, after which the VM asks the next agent.
	RenewTimeout = time.Second
	// answerReserve is for the answers themselves, and for putting the configuration in force on a busy VM.
	answerReserve = 300 * time.Millisecond
)

const (
	// MaxDelay is how long after its acknowledgement a configuration may come into force on a VM that the store answers.
	MaxDelay = 3 * time.Second
	// MaxDelayAfterSilence is how long that may take after open connections of the VM or of its agent have gone silent, while new ones
	// work.
	MaxDelayAfterSilence = 4 * time.Second
	// MaxDrainDelay is how long after its entry says so a server that drains may get new work.
	MaxDrainDelay = 7 * time.Second
)

// Step is a part of a path that takes some time at most.
type Step struct {
	name  string
	lasts time.Duration
}

// Name says what the VM waits for.
func (s Step) Name() string { return s.name }

// Lasts returns how long the step takes at most.
func (s Step) Lasts() time.Duration { return s.lasts }

// Path is a way by which a VM learns that it misses a change, and the time within which it must.
type Path struct {
	failure string
	steps   []Step
	bound   time.Duration
}

// Failure says what keeps the change from the VM.
func (p Path) Failure() string { return p.failure }

// Steps returns the steps in their order.
func (p Path) Steps() []Step { return p.steps }

// Bound returns how long the path may take.
func (p Path) Bound() time.Duration { return p.bound }

// Lasts returns how long the path takes at most.
func (p Path) Lasts() time.Duration {
	sum := time.Duration(0)
	for _, s := range p.steps {
		sum += s.lasts
	}
	return sum
}

// Missed reports whether one of the known rows is not among the current ones with the same version, so that a change of it was missed.
func Missed(known, current []port.Row) bool {
	return slices.ContainsFunc(known, func(k port.Row) bool {
		return !slices.ContainsFunc(current, func(c port.Row) bool {
			return c.Table == k.Table && c.Key == k.Key && c.Version == k.Version
		})
	})
}

// Paths returns the paths that a VM relies on, each with the longest way that a change takes.
func Paths() []Path {
	// Each path begins with the next renewal, which work on a primary that is being replaced may delay.
	renewal := []Step{{"the next renewal", lead.RenewInterval + BatchWindow}, {"work on a primary that is being replaced", MaxRenewalDelay}}
	batch := Step{"the agent's batch of renewals", BatchWindow}
	doubt := Step{"the renewal's answer", DoubtAfter}
	direct := Step{"the VM's own read on a silent connection", DirectTimeout}
	agents := Step{"renewals by each agent", lead.MaxAgents * RenewTimeout}
	path := func(failure string, bound time.Duration, steps ...Step) Path {
		all := slices.Concat(renewal, steps, []Step{{"answers, and the configuration in force", answerReserve}})
		return Path{failure: failure, steps: all, bound: bound}
	}
	return []Path{
		path("agent: the connection that waits for changes is silent", MaxDelayAfterSilence, batch),
		path("agent: all open connections to the store are silent", MaxDelayAfterSilence, batch, doubt),
		path("VM behind an agent: the agent's connection that waits for changes is silent", MaxDelayAfterSilence, batch),
		path("VM behind an agent: the store does not answer its agent, or all of its agents", MaxDelay, doubt),
		path("VM behind an agent: its open connections to the agent and to the store are silent", MaxDelayAfterSilence, doubt, direct),
		path("VM behind an agent: the store answers none of its agents, and a server drains", MaxDrainDelay, agents),
	}
}
