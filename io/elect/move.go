package elect

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/lead"
	"verbenagate/core/port"
	"verbenagate/io/pool"
)

const (
	// refresh is how often the record is written anew while VMs have not confirmed it, so that nobody takes over.
	refresh = 2 * time.Second
	// confirmInterval is how often the list of VMs is read while they confirm.
	confirmInterval = 40 * time.Millisecond
	// statusLimit is how long a server may take to tell its position.
	statusLimit = 400 * time.Millisecond
	// fewStatuses is how often servers that gave no position are asked again before the best of the others is taken.
	fewStatuses = 3
	// catchUp is how long a replica may take to receive what a primary that still answers has committed.
	catchUp = 1200 * time.Millisecond
	// effectLimit is how long an ordered promotion may take before it is ordered again.
	effectLimit = 2500 * time.Millisecond
)

// errTakenOver says that another VM has written the record since.
var errTakenOver = errors.New("another VM replaces the primary")

// move replaces a group's primary. It ends early when another VM has taken over. With keep, the primary serves and stays
// unless a replica has received all that it committed.
func (e *Elector) move(ctx context.Context, pg *pool.Group, group string, old lead.Record, keep bool) {
	began := e.clock()
	e.log.Event(event.PromotionStarted, zap.String("group", group), zap.String("server", old.Server()),
		zap.Uint64("version", old.Version()), zap.Bool("resumed", old.Phase() == lead.Moving),
		zap.Bool("keep", keep))
	m := &mover{e: e, pg: pg, group: group, record: old, old: old.Server(), keep: keep}
	server, err := m.run(ctx)
	if err != nil {
		e.log.Event(event.PromotionFailed, zap.String("group", group), zap.Error(err))
		_ = e.reload(ctx) // A failed call may have taken effect; the follower learns of it too.
		e.mu.Lock()
		defer e.mu.Unlock()
		e.group(group).barred = e.clock().Add(failurePause)
		return
	}
	e.log.Event(event.PromotionDone, zap.String("group", group), zap.String("server", server),
		zap.Duration("took", e.clock().Sub(began)))
}

// mover replaces one primary.
type mover struct {
	e       *Elector
	pg      *pool.Group
	group   string
	old     string
	keep    bool
	ordered bool // a promotion has been ordered, which may take effect late
	record  lead.Record
	written time.Time
}

func (m *mover) run(ctx context.Context) (string, error) {
	if err := m.write(ctx, lead.NewRecord(lead.Moving, m.old, m.record.Term(), m.e.name), true); err != nil {
		return "", err
	}
	epoch := m.record.Version()
	if err := m.confirmed(ctx, epoch); err != nil {
		return "", err
	}
	for ctx.Err() == nil {
		best, err := m.choose(ctx)
		if err != nil {
			return "", err
		}
		stays := best.ID() == m.old
		if !best.Primary() {
			if err := m.write(ctx, lead.NewRecord(lead.Moving, m.old, m.record.Term(), m.e.name), false); err != nil {
				return "", err
			}
			if !lead.MayOrderPromotion(m.e.clock(), m.written) {
				return "", errTakenOver
			}
			m.ordered = true
			err = m.e.orders.Promote(ctx, m.group, best.ID(), m.e.name, m.record.Version())
			if err != nil {
				m.e.log.Event(event.PromotionFailed, zap.String("group", m.group), zap.String("server", best.ID()), zap.Error(err))
			}
		}
		if term, ok := m.leads(ctx, best.ID(), stays); ok {
			if err := m.write(ctx, lead.NewRecord(lead.Stable, best.ID(), term, m.e.name), false); err != nil {
				return "", err
			}
			m.demote(term)
			return best.ID(), nil
		}
	}
	return "", ctx.Err()
}

// write replaces the group's record, and the epoch as well if the VMs have to confirm it.
func (m *mover) write(ctx context.Context, r lead.Record, epoch bool) error {
	row, err := encodeRecord(m.group, r)
	if err != nil {
		return err
	}
	expect := []port.Row{{Table: leadTable, Key: row.Key, Version: m.record.Version()}}
	put := []port.Row{row}
	if epoch {
		m.e.mu.Lock()
		expect = append(expect, port.Row{Table: leadTable, Key: epochKey, Version: m.e.epoch})
		m.e.mu.Unlock()
		put = append(put, port.Row{Table: leadTable, Key: epochKey, Value: []byte(m.group)})
	}
	sent := m.e.clock()
	s, err := m.e.rows.Commit(ctx, expect, put, nil)
	if errors.Is(err, port.ErrConflict) {
		return errTakenOver
	}
	if err != nil {
		return err
	}
	m.record, m.written = r.WithVersion(s.Version), sent
	for i := range put {
		put[i].Version = s.Version
	}
	m.e.take(sent, port.Snapshot{Rows: put, Version: s.Version, Clock: s.Clock}, false)
	return nil
}

// confirmed waits until no VM relies on the old primary any more.
func (m *mover) confirmed(ctx context.Context, epoch uint64) error {
	for ctx.Err() == nil {
		sent := m.e.clock()
		s, err := m.e.rows.List(ctx, memberTable)
		if err == nil {
			members, err := decodeMembers(s.Rows)
			if err != nil {
				return err
			}
			if len(lead.PendingMembers(members, epoch, s.Clock)) == 0 {
				return nil
			}
		}
		if sent.Sub(m.written) > refresh {
			r := lead.NewRecord(lead.Moving, m.old, m.record.Term(), m.e.name)
			if err := m.write(ctx, r, false); errors.Is(err, errTakenOver) {
				return err
			}
		}
		m.e.pause(ctx, confirmInterval)
	}
	return ctx.Err()
}

// choose returns the server that loses the fewest commits, or one that leads already.
func (m *mover) choose(ctx context.Context) (lead.Candidate, error) {
	began := m.e.clock()
	unreachable := m.e.unreachable(m.group)
	for try := 1; ctx.Err() == nil; try++ {
		candidates, old, others := m.ask(!unreachable || m.e.clock().Sub(began) > catchUp)
		late := m.e.clock().Sub(began) > catchUp
		if (len(candidates) == 0 || m.keep) && !m.ordered && old.Primary() && late {
			return old, nil // The old primary serves, and no other server may replace it.
		}
		for _, c := range candidates {
			if c.Primary() {
				return c, nil
			}
		}
		best, ok := lead.BestCandidate(candidates)
		caught := best.Received().Covers(old.Received()) && (!m.keep || old.Primary())
		if ok && (len(candidates) == others || try >= fewStatuses) && (caught || late) {
			return best, nil
		}
		if m.e.clock().Sub(m.written) > refresh {
			if err := m.write(ctx, lead.NewRecord(lead.Moving, m.old, m.record.Term(), m.e.name), false); err != nil {
				return lead.Candidate{}, err
			}
		}
		m.e.pause(ctx, 30*time.Millisecond)
	}
	return lead.Candidate{}, ctx.Err()
}

// ask asks the servers for their position, the old primary only if withOld says so, as a crashed one takes long not to answer.
// Others counts the servers that could be promoted.
func (m *mover) ask(withOld bool) (candidates []lead.Candidate, old lead.Candidate, others int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var lines []string
	for _, s := range m.pg.Members() {
		able := s.ID() != m.old && !s.Draining()
		if able {
			others++
		}
		if s.ID() == m.old && !withOld {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, _, err := m.pg.Status(s.ID(), statusLimit)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lines = append(lines, s.ID()+": "+err.Error())
				return
			}
			lines = append(lines, s.ID()+": "+status.Received().String())
			if able {
				leads := status.Primary() && lead.LeadsNewerTerm(status.Term(), m.record)
				candidates = append(candidates, lead.NewCandidate(s.ID(), status.Received(), leads))
			} else if s.ID() == m.old {
				old = lead.NewCandidate(s.ID(), status.Received(), status.Primary() && !s.Draining())
			}
		}()
	}
	wg.Wait()
	slices.Sort(lines)
	m.e.log.Event(event.LeadersKnown, zap.String("group", m.group), zap.String("servers", strings.Join(lines, ", ")))
	return candidates, old, others
}

// leads waits until a server leads: a term after that of the record, or if it stays the primary, the same one.
func (m *mover) leads(ctx context.Context, id string, stays bool) (uint64, bool) {
	end := m.e.clock().Add(effectLimit)
	for ctx.Err() == nil && m.e.clock().Before(end) {
		s, _, err := m.pg.Status(id, statusLimit)
		if err == nil && s.Primary() && (stays || lead.LeadsNewerTerm(s.Term(), m.record)) {
			return s.Term(), true
		}
		if _, known := m.pg.Pool(id); !known {
			return 0, false
		}
		m.e.pause(ctx, 30*time.Millisecond)
	}
	return 0, false
}

// demote ends the old primary's term. Nothing depends on it, since no VM uses that server as a primary any more.
func (m *mover) demote(term uint64) {
	if err := m.pg.Demote(m.old, term, statusLimit); err != nil {
		m.e.log.Event(event.EndptDown, zap.String("server", m.old), zap.Error(err))
	}
}
