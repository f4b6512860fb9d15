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

// servicePrefix is the key prefix of the base's entries.
const servicePrefix = "config/service/"

func serviceKey(name string) string { return servicePrefix + name }

// maxReadAttempts is the maximum number of attempts to read the base while other VMs fold revisions into it.
const maxReadAttempts = 5

// base is the value of config/base. The base is the configuration as of revision LastFolded. Its entries are the records
// config/service/NAME, each with the revision that defined the service. Each revision is either in the log or folded into the
// base, because one transaction moves it.
type base struct {
	LastFolded uint64 `cbor:"1,keyasint"`
	// Services holds, for each entry that must exist, the number of its revision.
	Services map[string]uint64 `cbor:"2,keyasint"`
}

// readBase returns the value and the version of config/base. Both are zero if the record does not exist.
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

// LastFolded returns the number of the last revision that has been folded into the base, 0 if none has.
func LastFolded(ctx context.Context, t port.KeyValueStore) (uint64, error) {
	b, _, err := readBase(ctx, t)
	return b.LastFolded, err
}

// ReadCatalog returns the configuration as of the newest revision in the table: the base with the revisions of the log
// applied. The code of the error is result.Internal if the base lacks one of its entries or has a wrong one.
func ReadCatalog(ctx context.Context, t port.KeyValueStore) (svcdef.Catalog, error) {
	var err error
	for range maxReadAttempts {
		var b base
		var version, newVersion uint64
		if b, version, err = readBase(ctx, t); err != nil {
			return svcdef.Catalog{}, err
		}
		var c svcdef.Catalog
		if c, err = readEntries(ctx, t, b); err == nil {
			if c, err = readLog(ctx, t, c); err == nil {
				return c, nil
			}
		}
		// If no other VM has folded revisions meanwhile, the next attempt would fail in the same way.
		var readErr error
		if _, newVersion, readErr = readBase(ctx, t); readErr != nil || newVersion == version {
			return svcdef.Catalog{}, err
		}
	}
	return svcdef.Catalog{}, err
}

// readEntries returns the configuration as of revision b.LastFolded.
func readEntries(ctx context.Context, t port.KeyValueStore, b base) (svcdef.Catalog, error) {
	spec := svcdef.CatalogSpec{Revision: b.LastFolded}
	for after := servicePrefix; ; {
		recs, err := t.List(ctx, servicePrefix, after, listPageSize)
		if err != nil {
			return svcdef.Catalog{}, result.Wrap(result.StoreUnavailable, err, "list %s: %s", servicePrefix, result.Message(err))
		}
		for _, rec := range recs {
			r, err := Decode(rec.Value)
			if err != nil {
				return svcdef.Catalog{}, err
			}
			number, listed := b.Services[r.ServiceName()]
			if !listed || number != r.Number() || rec.Key != serviceKey(r.ServiceName()) || r.Removal() {
				return svcdef.Catalog{}, result.New(result.Internal,
					"entry %s holds revision %d, but the base as of revision %d lists revision %d for it (0: none)",
					rec.Key, r.Number(), b.LastFolded, number)
			}
			spec.Services = append(spec.Services, svcdef.CatalogService{Revision: r.Number(), Spec: *r.Spec().Spec})
			after = rec.Key
		}
		if len(recs) < listPageSize {
			break
		}
	}
	if len(spec.Services) != len(b.Services) {
		return svcdef.Catalog{}, result.New(result.Internal,
			"the base as of revision %d lists %d services, but the table holds %d entries", b.LastFolded, len(b.Services),
			len(spec.Services))
	}
	return svcdef.Restore(spec), nil
}

// readLog returns the catalogue c with the revisions applied that follow it in the log.
func readLog(ctx context.Context, t port.KeyValueStore, c svcdef.Catalog) (svcdef.Catalog, error) {
	for {
		revs, err := ListAfter(ctx, t, c.Revision(), listPageSize)
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

// Fold moves revisions from the log into the base after the revision accepted was stored. It uses separate transactions, each of
// which takes effect as a whole or not at all. A VM may therefore die or lose an answer at any point, and if two VMs fold the
// same revisions one of them fails. After an error, the remaining revisions are left to a later change.
func Fold(ctx context.Context, t port.KeyValueStore, accepted uint64) error {
	if !spread.ChecksFold(accepted) {
		return nil
	}
	b, version, err := readBase(ctx, t)
	if err != nil {
		return err
	}
	for range spread.FoldTransactions(accepted, b.LastFolded) {
		if err := foldOnce(ctx, t, b, version); err != nil {
			return err
		}
		if b, version, err = readBase(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

// foldOnce moves the next spread.RevisionsPerFold revisions into the base b, whose record has this version. The error's code is
// result.StoreOlder if the log lacks revisions.
func foldOnce(ctx context.Context, t port.KeyValueStore, b base, version uint64) error {
	recs, err := t.List(ctx, revisionPrefix, RevisionKey(b.LastFolded), spread.RevisionsPerFold)
	if err != nil {
		return err
	}
	lastFolded := b.LastFolded + spread.RevisionsPerFold
	// After the fold the log must still hold spread.RetainedRevisions revisions. The check of the last of them ensures this when
	// the transaction takes effect: a store that returned to an older state meanwhile lacks it or has it with another version.
	lastRetained, err := t.Get(ctx, RevisionKey(lastFolded+spread.RetainedRevisions))
	if err != nil {
		return err
	}
	if lastRetained.Version == 0 || len(recs) != spread.RevisionsPerFold {
		return result.New(result.StoreOlder, "log does not hold all revisions from %d to %d", b.LastFolded+1,
			lastFolded+spread.RetainedRevisions)
	}
	checks := []port.VersionCheck{
		{Key: BaseKey, Version: version},
		{Key: RevisionKey(lastFolded + spread.RetainedRevisions), Version: lastRetained.Version},
	}
	next := base{LastFolded: lastFolded, Services: maps.Clone(b.Services)}
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
		if r.Number() != b.LastFolded+1+uint64(i) {
			return result.New(result.StoreOlder, "log has a gap: revision %d follows revision %d", r.Number(), b.LastFolded+uint64(i))
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
