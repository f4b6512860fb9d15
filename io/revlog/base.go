package revlog

import (
	"context"
	"maps"

	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/spread"
	"verbenagate/core/svcdef"
)

// BaseKey is the key of the record that describes the base.
const BaseKey = "config/base"

// servicePrefix starts the keys of the base's entries.
const servicePrefix = "config/service/"

func serviceKey(name string) string { return servicePrefix + name }

// readTries bounds the attempts to read the base while other VMs fold revisions into it.
const readTries = 5

// base is the value of config/base: the configuration as of revision Through. The entry config/service/NAME holds the
// revision that defined a service. Each revision is either in the log or folded into the base, because one transaction
// moves it, and Services says which entries there must be.
type base struct {
	Through  uint64            `cbor:"1,keyasint"`
	Services map[string]uint64 `cbor:"2,keyasint"`
}

func readBase(ctx context.Context, t port.KeyValueStore) (base, uint64, error) {
	rec, err := t.Get(ctx, BaseKey)
	if err != nil {
		return base{}, 0, result.Wrap(result.StoreUnavailable, err, "read %s: %s", BaseKey, result.Message(err))
	}
	var b base
	if rec.Version > 0 {
		err = decode(rec.Value, &b)
	}
	return b, rec.Version, err
}

// Through returns the number of the last revision that is no longer in the log, 0 if all are.
func Through(ctx context.Context, t port.KeyValueStore) (uint64, error) {
	b, _, err := readBase(ctx, t)
	return b.Through, err
}

// Read returns the configuration as of the last revision in the table: that of the base with the revisions of the log. A
// base without one of its entries, or with another one, is refused with the code result.Internal.
func Read(ctx context.Context, t port.KeyValueStore) (svcdef.Catalog, error) {
	var err error
	for range readTries {
		var b base
		var version, after uint64
		if b, version, err = readBase(ctx, t); err != nil {
			return svcdef.Catalog{}, err
		}
		var c svcdef.Catalog
		if c, err = readEntries(ctx, t, b); err == nil {
			if c, err = readLog(ctx, t, c); err == nil {
				return c, nil
			}
		}
		// Without a fold meanwhile, the next try would find the same.
		var readErr error
		if _, after, readErr = readBase(ctx, t); readErr != nil || after == version {
			return svcdef.Catalog{}, err
		}
	}
	return svcdef.Catalog{}, err
}

// readEntries returns the configuration as of the base's revision.
func readEntries(ctx context.Context, t port.KeyValueStore, b base) (svcdef.Catalog, error) {
	spec := svcdef.CatalogSpec{Revision: b.Through}
	for after := servicePrefix; ; {
		recs, err := t.List(ctx, servicePrefix, after, listSize)
		if err != nil {
			return svcdef.Catalog{}, result.Wrap(result.StoreUnavailable, err, "list %s: %s", servicePrefix, result.Message(err))
		}
		for _, rec := range recs {
			r, err := Decode(rec.Value)
			if err != nil {
				return svcdef.Catalog{}, err
			}
			want, known := b.Services[r.ServiceName()]
			if !known || want != r.Number() || rec.Key != serviceKey(r.ServiceName()) || r.Removal() {
				return svcdef.Catalog{}, result.New(result.Internal, "entry %s holds revision %d, but the base of revision %d has %d",
					rec.Key, r.Number(), b.Through, want)
			}
			spec.Services = append(spec.Services, svcdef.CatalogService{Revision: r.Number(), Spec: *r.Spec().Spec})
			after = rec.Key
		}
		if len(recs) < listSize {
			break
		}
	}
	if len(spec.Services) != len(b.Services) {
		return svcdef.Catalog{}, result.New(result.Internal, "the base of revision %d has %d entries, but the table holds %d",
			b.Through, len(b.Services), len(spec.Services))
	}
	return svcdef.Restore(spec), nil
}

// readLog returns the configuration c with the revisions that follow it in the log.
func readLog(ctx context.Context, t port.KeyValueStore, c svcdef.Catalog) (svcdef.Catalog, error) {
	for {
		revs, err := ListAfter(ctx, t, c.Revision(), listSize)
		if err != nil || len(revs) == 0 {
			return c, err
		}
		for _, r := range revs {
			if c, err = c.Apply(r); err != nil {
				return c, err
			}
		}
	}
}

// Fold moves revisions from the log into the base, in transactions of their own, after the revision accepted was stored.
// A transaction either takes effect as a whole or not at all, so a VM may die or lose an answer at any point, and of two
// VMs that fold the same revisions one fails. An error leaves the rest to a later change.
func Fold(ctx context.Context, t port.KeyValueStore, accepted uint64) error {
	if !spread.ChecksFold(accepted) {
		return nil
	}
	b, version, err := readBase(ctx, t)
	if err != nil {
		return err
	}
	for range spread.FoldTransactions(accepted, b.Through) {
		if err := foldOnce(ctx, t, b, version); err != nil {
			return err
		}
		if b, version, err = readBase(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

// foldOnce moves the next spread.RevisionsPerFold revisions into the base b, whose record has this version.
func foldOnce(ctx context.Context, t port.KeyValueStore, b base, version uint64) error {
	recs, err := t.List(ctx, revPrefix, Key(b.Through), spread.RevisionsPerFold)
	if err != nil {
		return err
	}
	through := b.Through + spread.RevisionsPerFold
	// The revision that must stay shows that the log is still long enough when the transaction takes effect. A store that
	// came back older meanwhile lacks it or has it with another version.
	kept, err := t.Get(ctx, Key(through+spread.RetainedRevisions))
	if err != nil {
		return err
	}
	if kept.Version == 0 || len(recs) != spread.RevisionsPerFold {
		return result.New(result.StoreOlder, "log does not hold the revisions from %d to %d", b.Through+1, through+spread.RetainedRevisions)
	}
	checks := []port.VersionCheck{{Key: BaseKey, Version: version}, {Key: Key(through + spread.RetainedRevisions), Version: kept.Version}}
	next := base{Through: through, Services: maps.Clone(b.Services)}
	if next.Services == nil {
		next.Services = map[string]uint64{}
	}
	entries := map[string]port.Write{}
	var writes []port.Write
	for i, rec := range recs {
		r, err := Decode(rec.Value)
		if err != nil {
			return err
		}
		if r.Number() != b.Through+1+uint64(i) {
			return result.New(result.StoreOlder, "revision %d follows revision %d in the log", r.Number(), b.Through+uint64(i))
		}
		name := r.ServiceName()
		checks = append(checks, port.VersionCheck{Key: rec.Key, Version: rec.Version})
		writes = append(writes, port.Write{Key: rec.Key, Delete: true})
		if r.Removal() {
			entries[name] = port.Write{Key: serviceKey(name), Delete: true}
			delete(next.Services, name)
			continue
		}
		entries[name] = port.Write{Key: serviceKey(name), Value: rec.Value}
		next.Services[name] = r.Number()
	}
	for _, w := range entries {
		writes = append(writes, w)
	}
	value, err := encode(next)
	if err != nil {
		return err
	}
	return t.Commit(ctx, checks, append(writes, port.Write{Key: BaseKey, Value: value}))
}
