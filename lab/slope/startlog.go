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
	help: "a starting VM reads the configuration of 820 services from the table, before and after the log is folded", run: measureStartLog,
}

// countingTable counts the requests to a table, and the bytes of the keys and values without their encoding for the platform.
// Each commit is one transaction; recordsWritten includes deletions.
type countingTable struct {
	port.KeyValueStore
	reads, transactions, recordsWritten, bytesRead, bytesWritten int
}

func (c *countingTable) Get(ctx context.Context, key string) (port.Record, error) {
	r, err := c.KeyValueStore.Get(ctx, key)
	c.reads, c.bytesRead = c.reads+1, c.bytesRead+len(r.Key)+len(r.Value)
	return r, err
}

func (c *countingTable) List(ctx context.Context, prefix, after string, n int) ([]port.Record, error) {
	list, err := c.KeyValueStore.List(ctx, prefix, after, n)
	c.reads++
	for _, r := range list {
		c.bytesRead += len(r.Key) + len(r.Value)
	}
	return list, err
}

func (c *countingTable) Commit(ctx context.Context, checks []port.VersionCheck, writes []port.Write) error {
	c.transactions, c.recordsWritten = c.transactions+1, c.recordsWritten+len(writes)
	for _, w := range writes {
		c.bytesWritten += len(w.Key) + len(w.Value)
	}
	return c.KeyValueStore.Commit(ctx, checks, writes)
}

// logServices is the number of services in the log, as in a deployment of the target size.
const logServices = 820

func measureStartLog(ctx context.Context, n int) ([]Value, error) {
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
	before, took, err := readCatalogCounted(ctx, store)
	if err != nil {
		return nil, err
	}
	folds := &countingTable{KeyValueStore: store}
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
	after, tookAfter, err := readCatalogCounted(ctx, store)
	if err != nil {
		return nil, err
	}
	change, err := countChangeCost(ctx, store)
	if err != nil {
		return nil, err
	}
	return []Value{
		{"requests of a start, whole log", "", float64(before.reads)},
		{"bytes of a start, whole log", "MB", float64(before.bytesRead) / 1e6},
		{"time of a start, whole log", "ms", took.Seconds() * 1e3},
		{"requests of a start, folded", "", float64(after.reads)},
		{"bytes of a start, folded", "MB", float64(after.bytesRead) / 1e6},
		{"time of a start, folded", "ms", tookAfter.Seconds() * 1e3},
		{"transactions to fold", "", float64(folds.transactions)},
		{"bytes of one fold", "KB", float64(folds.bytesWritten) / 1e3 / float64(max(folds.transactions, 1))},
		{"reads, one change", "", float64(change.reads) / countedChanges},
		{"transactions, one change", "", float64(change.transactions) / countedChanges},
		{"records written or deleted, one change", "", float64(change.recordsWritten) / countedChanges},
		{"bytes written, one change", "KB", float64(change.bytesWritten) / 1e3 / countedChanges},
	}, nil
}

// logRevision returns revision n of a log that changes the services in turn.
func logRevision(n int, verifier string) svcdef.Revision {
	spec := definition(n%logServices, callersPerService, verifier)
	spec.Timeout = time.Duration(n) * time.Millisecond
	return svcdef.NewDefinition(spec, "lab", time.Unix(0, 0)).WithNumber(uint64(n), "attempt")
}

// fillLog stores revisions 1 to n without a base, as versions did that could not fold the log, 64 in one transaction.
func fillLog(ctx context.Context, t port.KeyValueStore, n int) error {
	verifier, err := scram.Verifier(password)
	if err != nil {
		return err
	}
	var writes []port.Write
	for i := 1; i <= n; i++ {
		body, err := revlog.Encode(logRevision(i, verifier))
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
	// The head record has one field: the last revision number, under key 1.
	head, err := cbor.Marshal(map[int]int{1: n})
	if err != nil {
		return err
	}
	return t.Commit(ctx, nil, append(writes, port.Write{Key: revlog.HeadKey, Value: head}))
}

func readCatalogCounted(ctx context.Context, t port.KeyValueStore) (countingTable, time.Duration, error) {
	c := countingTable{KeyValueStore: t}
	began := time.Now()
	_, err := revlog.ReadCatalog(ctx, &c)
	return c, time.Since(began), err
}

// countedChanges is the number of changes over which the cost is averaged, enough for several folds.
const countedChanges = 8 * corespread.RevisionsPerFold

func countChangeCost(ctx context.Context, t port.KeyValueStore) (countingTable, error) {
	c := countingTable{KeyValueStore: t}
	verifier, err := scram.Verifier(password)
	if err != nil {
		return c, err
	}
	head, err := revlog.Head(ctx, t)
	if err != nil {
		return c, err
	}
	for i := range uint64(countedChanges) {
		r, err := revlog.Accept(ctx, &c, head+i, logRevision(int(head+i)+1, verifier))
		if err != nil {
			return c, err
		}
		if err := revlog.Fold(ctx, &c, r.Number()); err != nil && result.CodeOf(err) != result.RevisionConflict {
			return c, err
		}
	}
	return c, nil
}
