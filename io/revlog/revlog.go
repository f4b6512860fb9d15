// Package revlog keeps the revisions of the configuration in the platform's table service.
//
// The record config/head holds the number of the last revision, and config/rev/N each of the last revisions. Both are
// written in one transaction that is conditional on the head, so that at most one change per number is accepted. Older
// revisions are folded into the base: config/base says up to which one, and config/service/NAME holds the one that defined
// a service.
package revlog

import (
	"context"
	"crypto/rand"
	"fmt"
	mrand "math/rand/v2"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/spread"
	"verbenagate/core/svcdef"
)

// HeadKey is the key of the record with the number of the last revision.
const HeadKey = "config/head"

// revPrefix starts the keys of revisions.
const revPrefix = "config/rev/"

// Key returns the key of revision n. The number is padded, so that the order of the keys is that of the numbers.
func Key(n uint64) string { return fmt.Sprintf("%s%020d", revPrefix, n) }

const (
	// firstDelay and maxDelay bound the wait between tries while the effect of a transaction is not known.
	firstDelay = 20 * time.Millisecond
	maxDelay   = time.Second
)

var (
	currentProp  = errorx.RegisterProperty("current_revision")
	problemsProp = errorx.RegisterProperty("problems")
)

// Conflict returns an error for a change that is not based on the current revision.
func Conflict(based, current uint64) error {
	return WithCurrent(result.New(result.RevisionConflict, "change is based on revision %d, but the current one is %d",
		based, current), current)
}

// WithCurrent adds the current revision to err, which must be made by core/result.
func WithCurrent(err error, current uint64) error {
	if x := errorx.Cast(err); x != nil {
		return x.WithProperty(currentProp, current)
	}
	return err
}

// Current returns the current revision that a Conflict carries.
func Current(err error) (uint64, bool) {
	x := errorx.Cast(err)
	if x == nil {
		return 0, false
	}
	v, ok := x.Property(currentProp)
	if !ok {
		return 0, false
	}
	return v.(uint64), true
}

// Invalid returns an error that lists the problems of a change.
func Invalid(problems []svcdef.Problem) error {
	text := ""
	for _, p := range problems {
		text += "\n" + p.String()
	}
	return WithProblems(result.New(result.InvalidConfig, "definition is not valid:%s", text), problems)
}

// WithProblems adds problems to err, which must be made by core/result.
func WithProblems(err error, problems []svcdef.Problem) error {
	if x := errorx.Cast(err); x != nil {
		return x.WithProperty(problemsProp, problems)
	}
	return err
}

// Problems returns the problems that an Invalid error carries.
func Problems(err error) []svcdef.Problem {
	x := errorx.Cast(err)
	if x == nil {
		return nil
	}
	v, ok := x.Property(problemsProp)
	if !ok {
		return nil
	}
	return v.([]svcdef.Problem)
}

// head is the value of config/head.
type head struct {
	Number uint64 `cbor:"1,keyasint"`
}

func readHead(ctx context.Context, t port.KeyValueStore) (head, uint64, error) {
	rec, err := t.Get(ctx, HeadKey)
	if err != nil {
		return head{}, 0, result.Wrap(result.StoreUnavailable, err, "read %s: %s", HeadKey, result.Message(err))
	}
	var h head
	if rec.Version == 0 {
		return h, 0, nil
	}
	return h, rec.Version, decode(rec.Value, &h)
}

// Head returns the number of the last revision in the table, 0 if there is none.
func Head(ctx context.Context, t port.KeyValueStore) (uint64, error) {
	h, _, err := readHead(ctx, t)
	return h.Number, err
}

// Load returns revision n. The error's code is result.NotFound if the table does not hold it.
func Load(ctx context.Context, t port.KeyValueStore, n uint64) (svcdef.Revision, error) {
	rec, err := t.Get(ctx, Key(n))
	if err != nil {
		return svcdef.Revision{}, result.Wrap(result.StoreUnavailable, err, "read revision %d: %s", n, result.Message(err))
	}
	if rec.Version == 0 {
		return svcdef.Revision{}, result.New(result.NotFound, "revision %d does not exist", n)
	}
	return Decode(rec.Value)
}

// ListAfter returns up to limit revisions that follow revision n, without gaps. The code of the error is result.NotFound
// if the log holds only later ones, because those after n have been folded into the base (see Read).
func ListAfter(ctx context.Context, t port.KeyValueStore, n uint64, limit int) ([]svcdef.Revision, error) {
	recs, err := t.List(ctx, revPrefix, Key(n), limit)
	if err != nil {
		return nil, result.Wrap(result.StoreUnavailable, err, "list revisions after %d: %s", n, result.Message(err))
	}
	revs := make([]svcdef.Revision, 0, len(recs))
	from := n
	for _, rec := range recs {
		r, err := Decode(rec.Value)
		if err != nil {
			return nil, err
		}
		// The table may be read while it is being restored; what follows a gap is left for a later call.
		if r.Number() != n+1 {
			break
		}
		n = r.Number()
		revs = append(revs, r)
	}
	if len(recs) > 0 && len(revs) == 0 {
		return nil, result.New(result.NotFound, "revision %d is not in the log", from+1)
	}
	return revs, nil
}

// Accept stores rev as the revision after based and returns it with its number. The code of the error is
// result.RevisionConflict if based is not the current revision (see Current), result.StoreOlder if the table has lost
// revisions, result.StoreUnavailable if nothing was stored, and result.AnswerLost if that is not known when ctx ends.
//
// While the effect of the transaction is not known, the same transaction is tried again: its condition lets it take
// effect at most once, and the attempt identifier shows whether an earlier try did.
func Accept(ctx context.Context, t port.KeyValueStore, based uint64, rev svcdef.Revision) (svcdef.Revision, error) {
	h, version, err := readHead(ctx, t)
	if err != nil {
		return svcdef.Revision{}, err
	}
	if h.Number < based {
		return svcdef.Revision{}, result.New(result.StoreOlder, "store is at revision %d, before revision %d", h.Number,
			based)
	}
	if h.Number != based {
		return svcdef.Revision{}, Conflict(based, h.Number)
	}
	rev = rev.WithNumber(based+1, rand.Text())
	checks, writes, err := transaction(version, rev)
	if err != nil {
		return svcdef.Revision{}, err
	}
	for delay := firstDelay; ; delay = min(2*delay, maxDelay) {
		err := t.Commit(ctx, checks, writes)
		if err == nil {
			return rev, nil
		}
		// A conflict may come from an earlier try of this transaction, also one that the client below repeated.
		done, readErr := settle(ctx, t, rev)
		if done || readErr != nil && result.CodeOf(readErr) != result.StoreUnavailable {
			return rev, readErr
		}
		if result.CodeOf(err) == result.RevisionConflict && readErr == nil {
			// The number is free, but the head was written anew since it was read, as after a restore of the store.
			h, version, err := readHead(ctx, t)
			if err == nil && h.Number >= rev.Number()+spread.RetainedRevisions {
				// Its number may be free because it was stored and folded into the base since.
				return svcdef.Revision{}, result.New(result.AnswerLost, "store revision %d: the store is at revision %d already",
					rev.Number(), h.Number)
			}
			if err == nil && h.Number != based {
				return svcdef.Revision{}, Conflict(based, h.Number)
			}
			if err == nil {
				checks[0].Version = version
			}
		}
		if ctx.Err() != nil || wait(ctx, delay) != nil {
			return svcdef.Revision{}, result.Wrap(result.AnswerLost, err, "store revision %d: %s", rev.Number(),
				result.Message(err))
		}
	}
}

func transaction(version uint64, rev svcdef.Revision) ([]port.VersionCheck, []port.Write, error) {
	body, err := Encode(rev)
	if err != nil {
		return nil, nil, err
	}
	top, err := encode(head{Number: rev.Number()})
	if err != nil {
		return nil, nil, err
	}
	checks := []port.VersionCheck{{Key: HeadKey, Version: version}, {Key: Key(rev.Number())}}
	writes := []port.Write{{Key: HeadKey, Value: top}, {Key: Key(rev.Number()), Value: body}}
	return checks, writes, nil
}

// settle reads whether rev was stored. It returns false without an error if its number is free, and a conflict if
// another change took it.
func settle(ctx context.Context, t port.KeyValueStore, rev svcdef.Revision) (bool, error) {
	stored, err := Load(ctx, t, rev.Number())
	switch {
	case result.CodeOf(err) == result.NotFound:
		return false, nil
	case err != nil:
		return false, err
	case stored.Attempt() == rev.Attempt():
		return true, nil
	}
	current, err := Head(ctx, t)
	if err != nil {
		return false, err
	}
	return false, Conflict(rev.Number()-1, current)
}

func wait(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay/2 + mrand.N(delay/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Change checks rev against the catalogue at revision based and accepts it; masked secrets keep their stored values. The
// catalogue c is what the VM has in force; revisions that it lacks are read from the table, and those that the table has
// lost are written back first. The error carries all violations (see Problems).
func Change(ctx context.Context, t port.KeyValueStore, c svcdef.Catalog, based uint64, rev svcdef.Revision,
) (svcdef.Revision, error) {
	for c.Revision() < based {
		revs, err := ListAfter(ctx, t, c.Revision(), int(min(based-c.Revision(), listSize)))
		if result.CodeOf(err) == result.NotFound {
			if c, err = Read(ctx, t); err == nil && c.Revision() < based {
				return svcdef.Revision{}, Conflict(based, c.Revision())
			}
			if err == nil {
				break
			}
		}
		if err != nil {
			return svcdef.Revision{}, err
		}
		if len(revs) == 0 {
			current, err := Head(ctx, t)
			if err != nil {
				return svcdef.Revision{}, err
			}
			return svcdef.Revision{}, Conflict(based, max(current, c.Revision()))
		}
		for _, r := range revs {
			if c, err = c.Apply(r); err != nil {
				return svcdef.Revision{}, err
			}
		}
	}
	if c.Revision() > based {
		return svcdef.Revision{}, Conflict(based, c.Revision())
	}
	if _, known := c.Service(rev.ServiceName()); rev.Removal() && !known {
		return svcdef.Revision{}, result.New(result.NotFound, "service %q does not exist", rev.ServiceName())
	}
	if stored, known := c.Service(rev.ServiceName()); known {
		rev = rev.Unmasked(stored.Spec())
	}
	if bad := svcdef.Errors(c.Check(rev)); len(bad) > 0 {
		return svcdef.Revision{}, Invalid(bad)
	}
	accepted, err := Accept(ctx, t, based, rev)
	if result.CodeOf(err) != result.StoreOlder {
		return accepted, err
	}
	if err := restore(ctx, t, c); err != nil {
		return svcdef.Revision{}, err
	}
	return Accept(ctx, t, based, rev)
}

// restore writes back what the table lacks of the catalogue's revisions. The one at the table's head is compared, so that
// a table with other changes is left as it is.
func restore(ctx context.Context, t port.KeyValueStore, c svcdef.Catalog) error {
	top, err := Head(ctx, t)
	if err != nil {
		return err
	}
	missing := slices.DeleteFunc(c.History(""), func(r svcdef.Revision) bool { return r.Number() < top })
	return WriteBack(ctx, t, missing)
}

// listSize is how many revisions are read at once; the answer stays below a megabyte for definitions of usual size.
const listSize = 100

// WriteBack stores the revisions that the table lost, after the store came back with an older state. Revs are in
// ascending order without gaps and contain the one after the table's head. The code of the error is result.StoreOlder
// if the table holds another change under one of the numbers; nothing is overwritten.
func WriteBack(ctx context.Context, t port.KeyValueStore, revs []svcdef.Revision) error {
	for _, rev := range revs {
		h, version, err := readHead(ctx, t)
		if err != nil {
			return err
		}
		if rev.Number() <= h.Number {
			stored, err := Load(ctx, t, rev.Number())
			if err != nil {
				return err
			}
			if stored.Attempt() != rev.Attempt() {
				return result.New(result.StoreOlder, "store holds another change as revision %d", rev.Number())
			}
			continue
		}
		if rev.Number() != h.Number+1 {
			return result.New(result.StoreOlder, "revision %d does not follow the store's revision %d", rev.Number(), h.Number)
		}
		checks, writes, err := transaction(version, rev)
		if err != nil {
			return err
		}
		if err := t.Commit(ctx, checks, writes); err != nil {
			if done, _ := settle(ctx, t, rev); !done {
				return err
			}
		}
	}
	return nil
}
