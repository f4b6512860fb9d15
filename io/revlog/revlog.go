// Package revlog stores the revisions of the configuration in the platform's table service, called the table or the store.
//
// The log consists of the records config/rev/N, one for each of the last revisions; config/head holds the number of the
// newest one. A change writes both in one transaction that is conditional on the version of config/head, so that at most one
// change per number is accepted. Older revisions are folded into the base: config/base holds the number of the last folded
// revision, and config/service/NAME the revision that defined a service.
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

// HeadKey is the key of the record with the number of the newest revision.
const HeadKey = "config/head"

// revisionPrefix is the key prefix of the log's revisions.
const revisionPrefix = "config/rev/"

// RevisionKey returns the key of revision n in the log. The number is zero-padded, so that keys sort by number.
func RevisionKey(n uint64) string { return fmt.Sprintf("%s%020d", revisionPrefix, n) }

const (
	// minRetryDelay and maxRetryDelay bound the backoff between attempts while it is unknown whether a transaction took effect.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

var (
	currentRevisionProp = errorx.RegisterProperty("current_revision")
	problemsProp        = errorx.RegisterProperty("problems")
)

// Conflict returns a result.RevisionConflict error for a change that is based on another than the current revision. The error
// carries the current revision (see CurrentRevision).
func Conflict(basedOn, current uint64) error {
	return WithCurrentRevision(result.New(result.RevisionConflict, "change is based on revision %d, but the current one is %d",
		basedOn, current), current)
}

// WithCurrentRevision attaches the current revision to err (see CurrentRevision). An error that was not made by core/result is
// returned unchanged.
func WithCurrentRevision(err error, current uint64) error {
	if x := errorx.Cast(err); x != nil {
		return x.WithProperty(currentRevisionProp, current)
	}
	return err
}

// CurrentRevision returns the current revision that is attached to err (see Conflict). It returns false if there is none.
func CurrentRevision(err error) (uint64, bool) {
	x := errorx.Cast(err)
	if x == nil {
		return 0, false
	}
	v, ok := x.Property(currentRevisionProp)
	if !ok {
		return 0, false
	}
	return v.(uint64), true
}

// Invalid returns a result.InvalidConfig error that lists the problems of a change and carries them (see Problems).
func Invalid(problems []svcdef.Problem) error {
	text := ""
	for _, p := range problems {
		text += "\n" + p.String()
	}
	return WithProblems(result.New(result.InvalidConfig, "definition is not valid:%s", text), problems)
}

// WithProblems attaches problems to err (see Problems). It returns an error unchanged that was not made by core/result.
func WithProblems(err error, problems []svcdef.Problem) error {
	if x := errorx.Cast(err); x != nil {
		return x.WithProperty(problemsProp, problems)
	}
	return err
}

// Problems returns the problems that are attached to err (see Invalid), nil if there are none.
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

// readHead returns the value and the version of config/head. Both are zero if the record does not exist.
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

// Head returns the number of the newest revision in the table, 0 if there is none.
func Head(ctx context.Context, t port.KeyValueStore) (uint64, error) {
	h, _, err := readHead(ctx, t)
	return h.Number, err
}

// Load returns revision n. The error's code is result.NotFound if the log does not hold it.
func Load(ctx context.Context, t port.KeyValueStore, n uint64) (svcdef.Revision, error) {
	rec, err := t.Get(ctx, RevisionKey(n))
	if err != nil {
		return svcdef.Revision{}, result.Wrap(result.StoreUnavailable, err, "read revision %d: %s", n, result.Message(err))
	}
	if rec.Version == 0 {
		return svcdef.Revision{}, result.New(result.NotFound, "revision %d is not in the log", n)
	}
	return Decode(rec.Value)
}

// ListAfter returns up to limit revisions from the log: those that follow revision n without a gap. The error's code is
// result.NotFound if the log lacks revision n+1 but holds later ones, because revision n+1 has been folded into the base (see
// ReadCatalog).
func ListAfter(ctx context.Context, t port.KeyValueStore, n uint64, limit int) ([]svcdef.Revision, error) {
	recs, err := t.List(ctx, revisionPrefix, RevisionKey(n), limit)
	if err != nil {
		return nil, result.Wrap(result.StoreUnavailable, err, "list revisions after %d: %s", n, result.Message(err))
	}
	revs := make([]svcdef.Revision, 0, len(recs))
	after := n
	for _, rec := range recs {
		r, err := Decode(rec.Value)
		if err != nil {
			return nil, err
		}
		// There may be a gap while the table is being restored. Revisions after the gap are left to a later call.
		if r.Number() != n+1 {
			break
		}
		n = r.Number()
		revs = append(revs, r)
	}
	if len(recs) > 0 && len(revs) == 0 {
		return nil, result.New(result.NotFound, "revision %d is not in the log", after+1)
	}
	return revs, nil
}

// Accept stores rev as the revision after basedOn and returns it with its number. The code of the error is
// result.RevisionConflict if the table has a newer revision than basedOn (see CurrentRevision), result.StoreOlder if the table
// has lost revision basedOn, result.StoreUnavailable if nothing was stored, and result.AnswerLost if it is unknown whether
// rev was stored.
//
// While it is unknown whether the transaction took effect, Accept repeats it until ctx ends. The transaction takes effect at
// most once, because it is conditional on the head's version and on a free number. The attempt identifier of the stored
// revision shows whether an earlier attempt took effect.
func Accept(ctx context.Context, t port.KeyValueStore, basedOn uint64, rev svcdef.Revision) (svcdef.Revision, error) {
	h, version, err := readHead(ctx, t)
	if err != nil {
		return svcdef.Revision{}, err
	}
	if h.Number < basedOn {
		return svcdef.Revision{}, result.New(result.StoreOlder,
			"store's newest revision is %d, but the change is based on revision %d", h.Number, basedOn)
	}
	if h.Number != basedOn {
		return svcdef.Revision{}, Conflict(basedOn, h.Number)
	}
	rev = rev.WithNumber(basedOn+1, rand.Text())
	checks, writes, err := revisionTransaction(version, rev)
	if err != nil {
		return svcdef.Revision{}, err
	}
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := t.Commit(ctx, checks, writes)
		if err == nil {
			return rev, nil
		}
		// A conflict may be due to an earlier attempt of this transaction, also one that the store's client repeated by itself.
		stored, readErr := isStored(ctx, t, rev)
		if stored || readErr != nil && result.CodeOf(readErr) != result.StoreUnavailable {
			return rev, readErr
		}
		if result.CodeOf(err) == result.RevisionConflict && readErr == nil {
			// The number is free, but the head's version has changed since it was read, for example because the store was restored.
			h, version, err := readHead(ctx, t)
			if err == nil && h.Number >= rev.Number()+spread.RetainedRevisions {
				// The number may also be free because the revision was stored and has since been folded into the base.
				return svcdef.Revision{}, result.New(result.AnswerLost,
					"store revision %d: outcome unknown, the store's newest revision is already %d", rev.Number(), h.Number)
			}
			if err == nil && h.Number != basedOn {
				return svcdef.Revision{}, Conflict(basedOn, h.Number)
			}
			if err == nil {
				checks[0].Version = version
			}
		}
		if ctx.Err() != nil || sleepWithJitter(ctx, delay) != nil {
			return svcdef.Revision{}, result.Wrap(result.AnswerLost, err, "store revision %d: %s", rev.Number(),
				result.Message(err))
		}
	}
}

// revisionTransaction returns the checks and writes that store rev if config/head has this version and the number is free.
func revisionTransaction(version uint64, rev svcdef.Revision) ([]port.VersionCheck, []port.Write, error) {
	body, err := Encode(rev)
	if err != nil {
		return nil, nil, err
	}
	headRecord, err := encode(head{Number: rev.Number()})
	if err != nil {
		return nil, nil, err
	}
	checks := []port.VersionCheck{{Key: HeadKey, Version: version}, {Key: RevisionKey(rev.Number())}}
	writes := []port.Write{{Key: HeadKey, Value: headRecord}, {Key: RevisionKey(rev.Number()), Value: body}}
	return checks, writes, nil
}

// isStored reads whether the log holds rev. It returns false without an error if the number is free, and a conflict if
// another change has the number.
func isStored(ctx context.Context, t port.KeyValueStore, rev svcdef.Revision) (bool, error) {
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

func sleepWithJitter(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay/2 + mrand.N(delay/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Change checks rev against the catalogue as of revision basedOn and stores it with Accept. Masked secrets keep their stored
// values. The catalogue c is the one in force on the VM. Revisions that c lacks are read from the table, and revisions that the
// table has lost are written back first. If the definition is not valid, the error carries all problems (see Problems).
func Change(ctx context.Context, t port.KeyValueStore, c svcdef.Catalog, basedOn uint64, rev svcdef.Revision,
) (svcdef.Revision, error) {
	for c.Revision() < basedOn {
		revs, err := ListAfter(ctx, t, c.Revision(), int(min(basedOn-c.Revision(), listPageSize)))
		if result.CodeOf(err) == result.NotFound {
			if c, err = ReadCatalog(ctx, t); err == nil && c.Revision() < basedOn {
				return svcdef.Revision{}, Conflict(basedOn, c.Revision())
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
			return svcdef.Revision{}, Conflict(basedOn, max(current, c.Revision()))
		}
		for _, r := range revs {
			if c, err = c.Apply(r); err != nil {
				return svcdef.Revision{}, err
			}
		}
	}
	if c.Revision() > basedOn {
		return svcdef.Revision{}, Conflict(basedOn, c.Revision())
	}
	if _, exists := c.Service(rev.ServiceName()); rev.Removal() && !exists {
		return svcdef.Revision{}, result.New(result.NotFound, "service %q does not exist", rev.ServiceName())
	}
	if stored, exists := c.Service(rev.ServiceName()); exists {
		rev = rev.Unmasked(stored.Spec())
	}
	if problems := svcdef.Errors(c.Check(rev)); len(problems) > 0 {
		return svcdef.Revision{}, Invalid(problems)
	}
	accepted, err := Accept(ctx, t, basedOn, rev)
	if result.CodeOf(err) != result.StoreOlder {
		return accepted, err
	}
	if err := writeBackMissing(ctx, t, c); err != nil {
		return svcdef.Revision{}, err
	}
	return Accept(ctx, t, basedOn, rev)
}

// writeBackMissing writes back the revisions of the catalogue's history that the table lacks. WriteBack also compares the
// table's newest revision, so that a table with different changes stays as it is.
func writeBackMissing(ctx context.Context, t port.KeyValueStore, c svcdef.Catalog) error {
	storeHead, err := Head(ctx, t)
	if err != nil {
		return err
	}
	missing := slices.DeleteFunc(c.History(""), func(r svcdef.Revision) bool { return r.Number() < storeHead })
	return WriteBack(ctx, t, missing)
}

// listPageSize is the maximum number of revisions in one request. The answer stays below 1 MB for definitions of usual size.
const listPageSize = 100

// WriteBack stores the revisions that the table lost when the store returned to an older state. The argument revs must be in
// ascending order without gaps and contain the revision after the table's newest one. The code of the error is
// result.StoreOlder if the table holds a different change under one of the numbers. WriteBack overwrites nothing.
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
				return result.New(result.StoreOlder, "store holds a different change as revision %d", rev.Number())
			}
			continue
		}
		if rev.Number() != h.Number+1 {
			return result.New(result.StoreOlder, "revision %d does not directly follow the store's newest revision %d", rev.Number(),
				h.Number)
		}
		checks, writes, err := revisionTransaction(version, rev)
		if err != nil {
			return err
		}
		if err := t.Commit(ctx, checks, writes); err != nil {
			if stored, _ := isStored(ctx, t, rev); !stored {
				return err
			}
		}
	}
	return nil
}
