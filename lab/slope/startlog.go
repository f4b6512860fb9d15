package slope

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"verbenagate/core/port"
	"verbenagate/core/result"
	corespread "verbenagate/core/spread"
	"verbenagate/core/svcdef"
	"verbenagate/io/platf"
	"verbenagate/io/revlog"
	"verbenagate/io/scram"
	"verbenagate/lab/plat"
)

var startLog = Measurement{
	name: "start-log", x: "revisions", sizes: []int{2048, 4096, 8192, 16384}, tiny: 1200,
	help: "a VM reads the whole configuration of 820 services from the table, before and after the log is folded", run: readLongLog,
}

// countedTable counts requests and the bytes of keys and values, without their encoding for the platform.
type countedTable struct {
	port.KeyValueStore
	reads, writes, keys, read, written int
}

func (c *countedTable) Get(ctx context.Context, key string) (port.Record, error) {
	r, err := c.KeyValueStore.Get(ctx, key)
	c.reads, c.read = c.reads+1, c.read+len(r.Key)+len(r.Value)
	return r, err
}

func (c *countedTable) List(ctx context.Context, prefix, after string, n int) ([]port.Record, error) {
	list, err := c.KeyValueStore.List(ctx, prefix, after, n)
	c.reads++
	for _, r := range list {
		c.read += len(r.Key) + len(r.Value)
	}
	return list, err
}

func (c *countedTable) Commit(ctx context.Context, checks []port.VersionCheck, writes []port.Write) error {
	c.writes, c.keys = c.writes+1, c.keys+len(writes)
	for _, w := range writes {
		c.written += len(w.Key) + len(w.Value)
	}
	return c.KeyValueStore.Commit(ctx, checks, writes)
}

// logServices is the number of services at the target size.
const logServices = 820

func readLongLog(ctx context.Context, n int) ([]Value, error) {
	p, err := plat.New(plat.Config{})
	if err != nil {
		return nil, err
	}
	defer p.Close()
	store := platf.New("http://"+p.Addr(), time.Minute)
	defer store.Close()
	if err := fillLog(ctx, store, n); err != nil {
		return nil, err
	}
	before, took, err := readCounted(ctx, store)
	if err != nil {
		return nil, err
	}
	folds := &countedTable{KeyValueStore: store}
	size := uint64(n / corespread.RevisionsPerFold * corespread.RevisionsPerFold)
	for {
		lastFolded, err := revlog.LastFolded(ctx, store)
		if err != nil {
			return nil, err
		}
		if corespread.FoldTransactions(size, lastFolded) == 0 {
			break
		}
		if err := revlog.Fold(ctx, folds, size); err != nil {
			return nil, err
		}
	}
	after, tookAfter, err := readCounted(ctx, store)
	if err != nil {
		return nil, err
	}
	change, err := changeCost(ctx, store)
	if err != nil {
		return nil, err
	}
	return []Value{
		{"requests of a start, whole log", "", float64(before.reads)},
		{"bytes of a start, whole log", "MB", float64(before.read) / 1e6},
		{"time of a start, whole log", "ms", took.Seconds() * 1e3},
		{"requests of a start, folded", "", float64(after.reads)},
		{"bytes of a start, folded", "MB", float64(after.read) / 1e6},
		{"time of a start, folded", "ms", tookAfter.Seconds() * 1e3},
		{"transactions to fold", "", float64(folds.writes)},
		{"bytes of one fold", "KB", float64(folds.written) / 1e3 / float64(max(folds.writes, 1))},
		{"reads, one change", "", float64(change.reads) / costChanges},
		{"transactions, one change", "", float64(change.writes) / costChanges},
		{"records written or deleted, one change", "", float64(change.keys) / costChanges},
		{"bytes written, one change", "KB", float64(change.written) / 1e3 / costChanges},
	}, nil
}

// logged returns revision n of a log in which the services are changed one after the other.
func logged(n int, verifier string) svcdef.Revision {
	spec := definition(n%logServices, callersPerService, verifier)
	spec.Timeout = time.Duration(n) * time.Millisecond
	return svcdef.NewDefinition(spec, "lab", time.Unix(0, 0)).WithNumber(uint64(n), "attempt")
}

// fillLog stores n revisions as the version without a base did, 64 in one transaction.
func fillLog(ctx context.Context, t port.KeyValueStore, n int) error {
	verifier, err := scram.Verifier(password)
	if err != nil {
		return err
	}
	var writes []port.Write
	for i := 1; i <= n; i++ {
		body, err := revlog.Encode(logged(i, verifier))
		if err != nil {
			return err
		}
		writes = append(writes, port.Write{Key: revlog.RevisionKey(uint64(i)), Value: body})
		if i%64 == 0 {
			if err := t.Commit(ctx, nil, writes); err != nil {
				return err
			}
			writes = nil
		}
	}
	// The record of the head has one field, the number under key 1.
	head, err := cbor.Marshal(map[int]int{1: n})
	if err != nil {
		return err
	}
	return t.Commit(ctx, nil, append(writes, port.Write{Key: revlog.HeadKey, Value: head}))
}

func readCounted(ctx context.Context, t port.KeyValueStore) (countedTable, time.Duration, error) {
	c := countedTable{KeyValueStore: t}
	began := time.Now()
	_, err := revlog.ReadCatalog(ctx, &c)
	return c, time.Since(began), err
}

// costChanges is how many changes are counted: several times those between two folds.
const costChanges = 8 * corespread.RevisionsPerFold

func changeCost(ctx context.Context, t port.KeyValueStore) (countedTable, error) {
	c := countedTable{KeyValueStore: t}
	verifier, err := scram.Verifier(password)
	if err != nil {
		return c, err
	}
	head, err := revlog.Head(ctx, t)
	if err != nil {
		return c, err
	}
	for i := range uint64(costChanges) {
		r, err := revlog.Accept(ctx, &c, head+i, logged(int(head+i)+1, verifier))
		if err != nil {
			return c, err
		}
		if err := revlog.Fold(ctx, &c, r.Number()); err != nil && result.CodeOf(err) != result.RevisionConflict {
			return c, err
		}
	}
	return c, nil
}
