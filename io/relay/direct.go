package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/eras"
	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/notice"
	"verbenagate/core/port"
)

// directTries is how often a VM reads a table itself while its agent is in doubt. The first read may use a connection that has gone
// silent, the next one opens another.
const directTries = 2

// errInDoubt ends a call for changes at an agent that leaves a renewal without an answer.
var errInDoubt = errors.New("the agent leaves a renewal without an answer")

// doubtAfter puts an agent in doubt unless the returned function is called within limit. An agent that the store does not answer does not
// know so for seconds, and nor do the next agents if the store answers none of them.
func (r *Relay) doubtAfter(limit time.Duration, agent string) (answered func()) {
	t := time.AfterFunc(limit, func() { r.doubt(agent) })
	return func() {
		t.Stop()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.doubted, agent)
	}
}

// doubt ends the calls for changes of urgent rows that wait at an agent, so that the VM reads these rows itself. If there is none, the next
// one does so.
func (r *Relay) doubt(agent string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Event(event.AgentInDoubt, zap.String("agent", agent))
	r.doubted[agent] = true
	for c := range r.calls[agent] {
		if c.urgent {
			c.inDoubt = true
			c.cancel()
			delete(r.doubted, agent)
		}
	}
}

// takeDoubt reports whether an agent is in doubt and no call for changes of urgent rows has been made since then.
func (r *Relay) takeDoubt(agent string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.doubted[agent]
	delete(r.doubted, agent)
	return taken
}

func (r *Relay) isInDoubt(c *pendingCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.inDoubt
}

// changesWithoutAgent reads the changes of a table from the store itself, without a wait for further ones, since an agent has failed or is
// in doubt. If the store does not answer, it returns cause for an agent that has failed, and no changes for one in doubt.
func (r *Relay) changesWithoutAgent(ctx context.Context, a lead.Member, table string, after eras.Position, cause error) (port.Snapshot, error) {
	inDoubt := errors.Is(cause, errInDoubt)
	if !inDoubt {
		r.markFailed(a.Name(), cause)
	}
	for range directTries {
		s, err := r.directChanges(ctx, table, after)
		if isStoreOutcome(err) || ctx.Err() != nil {
			return s, err
		}
	}
	if inDoubt {
		return port.Snapshot{}, nil
	}
	return port.Snapshot{}, cause
}

// directChanges reads the changes of a table from the store, or the whole table if the store does not hold all changes any more.
func (r *Relay) directChanges(ctx context.Context, table string, after eras.Position) (port.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, notice.DirectTimeout)
	defer cancel()
	s, err := r.store.Changes(ctx, table, after, 0)
	if errors.Is(err, port.ErrHistoryGone) {
		return r.store.List(ctx, table)
	}
	return s, err
}
