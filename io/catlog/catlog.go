// Package catlog keeps the configuration that is in force on a VM. It carries out the actions of the state machine in
// core/spread: it requests revisions from the store and from other VMs, and puts them into force. It also accepts operators'
// changes.
package catlog

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenagate/core/event"
	"verbenagate/core/owner"
	"verbenagate/core/port"
	"verbenagate/core/result"
	"verbenagate/core/spread"
	"verbenagate/core/svcdef"
	"verbenagate/io/peer"
	"verbenagate/io/revlog"
)

const (
	// stepInterval is the interval between steps of the state machine if no input arrives.
	stepInterval = 100 * time.Millisecond
	// requestTimeout is the timeout of one request to the store or to another VM.
	requestTimeout = 2 * time.Second
	// maxListedRevisions is the maximum number of revisions that operators see. Those that the catalogue no longer holds are
	// read from the table.
	maxListedRevisions = 1000
	// maxSnapshotHistory is the maximum number of revisions in the snapshot besides the definitions. A VM that started from
	// the snapshot needs them to restore a store that returned to an older state. The catalogue's whole history would add
	// 3 MB to the snapshot's 5 MB.
	maxSnapshotHistory = 100
	// rebuildTimeout is the timeout for reading the whole configuration from the table. A log that was written by an earlier
	// version and has not been folded yet can take 11,300 requests after a year of 3,100 changes a day.
	rebuildTimeout = 5 * time.Minute
	// foldTimeout is the timeout for folding the log after a change. Revisions left over are folded after a later change.
	foldTimeout = time.Minute
	// appliedCheckInterval is the interval at which Change checks whether the accepted revision is in force.
	appliedCheckInterval = 2 * time.Millisecond
	// maxReplyBytes is the maximum size of the revisions in one reply, which must fit into a message of 1 MiB.
	maxReplyBytes = 512 << 10
	// maxSnapshotParts limits a snapshot that another VM sends in parts to 128 MiB.
	maxSnapshotParts = 256
	// snapshotName is the object that holds the newest snapshot.
	snapshotName = "config/snapshot"
	// snapshotRevisionName is the object with the revision number of the snapshot, so that a VM need not read the 5 MB
	// snapshot to find it out. It is written after the snapshot, and is used only to decide whether to write the snapshot.
	snapshotRevisionName = "config/snapshot-revision"
)

// Logger logs numbered events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

// Config describes a Keeper.
type Config struct {
	VM         string
	DataCentre string
	Table      port.KeyValueStore
	Objects    port.ObjectStore
	// PollInterval is the interval at which this VM asks the store for its head revision, if it is one of the VMs that
	// poll (see core/spread).
	PollInterval time.Duration
	// RequestRevisions sends a request for revisions to another VM and returns the reply.
	RequestRevisions func(ctx context.Context, vm string, req peer.RevisionRequest) (peer.Revisions, error)
	// OnApplied is called with the new catalogue whenever another one comes into force.
	OnApplied func(svcdef.Catalog)
	Logger    Logger
	Now       func() time.Time
}

// Keeper holds the catalogue in force, and follows the store and the other VMs. The catalogue's revision number never
// decreases.
type Keeper struct {
	cfg    Config
	ctx    context.Context // cancelled by Close
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{}

	mu               sync.Mutex
	state            *spread.StateMachine
	catalog          svcdef.Catalog
	storeUp          bool // the store answered the last request of this VM
	storeStateLogged bool
	readingTable     bool // the whole configuration is being read from the table
	saver            *spread.Saver

	// encodedMu guards the encoded snapshot that other VMs fetch in parts.
	encodedMu       sync.Mutex
	encodedSnapshot []byte
	encodedRevision uint64

	// applyMu serialises changes of the catalogue, so that catalogues come into force in the order of their revisions.
	applyMu sync.Mutex
}

// New returns a Keeper without configuration that follows the store and the other VMs until Close.
func New(cfg Config) *Keeper {
	k := &Keeper{
		cfg: cfg, wake: make(chan struct{}, 1), state: spread.New(cfg.VM, cfg.DataCentre, cfg.PollInterval, cfg.Now()),
		saver: spread.NewSaver(cfg.VM),
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.runAsync(k.run)
	return k
}

// runAsync runs f in a goroutine that Close waits for.
func (k *Keeper) runAsync(f func()) {
	k.wg.Add(1)
	go func() {
		defer k.wg.Done()
		f()
	}()
}

// Close stops the Keeper and waits until its goroutines have ended.
func (k *Keeper) Close() {
	k.cancel()
	k.wg.Wait()
}

// Catalog returns the catalogue in force. It is empty, with revision 0, as long as there is no configuration.
func (k *Keeper) Catalog() svcdef.Catalog {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.catalog
}

// StoreUp reports whether the store answered the last request of this VM. It returns false before the first request.
func (k *Keeper) StoreUp() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.storeUp
}

func (k *Keeper) newestKnown() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.NewestKnown()
}

// SetPeerRevision records the number of the revision in force on another VM.
func (k *Keeper) SetPeerRevision(vm string, revision uint64) {
	k.updateState(func(s *spread.StateMachine) { s.SetPeerRevision(vm, revision) })
}

// SetMembers sets the live VMs.
func (k *Keeper) SetMembers(live owner.Live) {
	k.updateState(func(s *spread.StateMachine) {
		s.SetMembers(live)
		k.saver.SetMembers(live)
	})
}

// updateState gives the state machine an input and wakes run.
func (k *Keeper) updateState(f func(s *spread.StateMachine)) {
	k.mu.Lock()
	f(k.state)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// run carries out the actions of the state machine after each input and every stepInterval.
func (k *Keeper) run() {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		k.mu.Lock()
		now := k.cfg.Now()
		actions := k.state.Step(now)
		save := k.saver.BeginIfDue(now)
		k.mu.Unlock()
		for _, a := range actions {
			k.perform(a)
		}
		if save {
			k.runAsync(k.saveSnapshot)
		}
		select {
		case <-k.ctx.Done():
			return
		case <-k.wake:
		case <-t.C:
		}
	}
}

func (k *Keeper) perform(a spread.Action) {
	switch a := a.(type) {
	case spread.Poll:
		k.runRequest(func(ctx context.Context) { k.poll(ctx, a) })
	case spread.Fetch:
		k.runRequest(func(ctx context.Context) { k.fetch(ctx, a) })
	case spread.FetchSnapshot:
		k.runRequest(k.fetchSnapshot)
	case spread.WriteBack:
		k.runRequest(func(ctx context.Context) { k.writeBack(ctx, a) })
	case spread.Rebuild:
		k.runAsyncWithTimeout(rebuildTimeout, k.rebuild)
	case spread.Apply:
		k.apply(a)
	case spread.LoadSnapshot:
		k.loadSnapshot(a.Snapshot())
	case spread.StoreBehind:
		k.cfg.Logger.Event(event.ConfigOlder, zap.Uint64("store", a.Head()), zap.Uint64("in_force", a.Applied()))
	case spread.Conflict:
		k.cfg.Logger.Event(event.ConfigRefused, zap.Uint64("revision", a.Number()), zap.String("vm", a.Source().ID()),
			zap.String("reason", "another revision is in force under this number"))
	}
}

// runRequest runs f asynchronously with requestTimeout, so that it does not block the state machine.
func (k *Keeper) runRequest(f func(ctx context.Context)) { k.runAsyncWithTimeout(requestTimeout, f) }

func (k *Keeper) runAsyncWithTimeout(timeout time.Duration, f func(ctx context.Context)) {
	k.runAsync(func() {
		ctx, cancel := context.WithTimeout(k.ctx, timeout)
		defer cancel()
		f(ctx)
	})
}

func (k *Keeper) poll(ctx context.Context, p spread.Poll) {
	head, err := revlog.Head(ctx, k.cfg.Table)
	k.recordStoreResult(err)
	k.updateState(func(s *spread.StateMachine) {
		if err != nil {
			s.PollFailed(k.cfg.Now())
			return
		}
		s.PollSucceeded(k.cfg.Now(), p, head)
	})
}

func (k *Keeper) fetch(ctx context.Context, f spread.Fetch) {
	var reply peer.Revisions
	var err error
	if f.Source().IsStore() {
		reply.List, err = k.listFromStore(ctx, f.After())
	} else {
		reply, err = k.cfg.RequestRevisions(ctx, f.Source().ID(), peer.RevisionRequest{After: f.After(), Limit: spread.MaxFetchRevisions})
		if err == nil && reply.Parts > 1 && reply.Parts <= maxSnapshotParts {
			reply, err = k.fetchSnapshotParts(f.Source().ID(), f.After(), reply)
		}
	}
	if f.Source().IsStore() && result.CodeOf(err) == result.NotFound {
		k.runAsyncWithTimeout(rebuildTimeout, func(ctx context.Context) { k.fetchCatalog(ctx, f) })
		return
	}
	var snap svcdef.Catalog
	if err == nil && len(reply.Snapshot) > 0 {
		snap, err = revlog.DecodeSnapshot(reply.Snapshot)
	}
	k.updateState(func(s *spread.StateMachine) {
		switch {
		case err != nil || (len(reply.List) == 0 && len(reply.Snapshot) == 0):
			s.FetchFailed(k.cfg.Now(), f)
		case len(reply.Snapshot) > 0:
			s.HandleSnapshot(f.Source(), toSpreadSnapshot(snap, reply.Snapshot))
		default:
			s.HandleRevisions(k.cfg.Now(), f.Source(), toSpreadRevisions(reply.List))
		}
	})
}

// toSpreadRevisions converts revisions from another VM or the store for the state machine.
func toSpreadRevisions(list []peer.Revision) []spread.Revision {
	revs := make([]spread.Revision, len(list))
	for i, r := range list {
		revs[i] = spread.NewRevision(r.Number, r.Body)
	}
	return revs
}

func (k *Keeper) listFromStore(ctx context.Context, after uint64) ([]peer.Revision, error) {
	revs, err := revlog.ListAfter(ctx, k.cfg.Table, after, spread.MaxFetchRevisions)
	if result.CodeOf(err) == result.NotFound {
		k.recordStoreResult(nil) // the store answered
	} else {
		k.recordStoreResult(err)
	}
	if err != nil {
		return nil, err
	}
	list := make([]peer.Revision, len(revs))
	for i, r := range revs {
		body, err := revlog.Encode(r)
		if err != nil {
			return nil, err
		}
		list[i] = peer.Revision{Number: r.Number(), Body: body}
	}
	return list, nil
}

// fetchSnapshot reads the snapshot from the object store. A VM without configuration does so instead of reading the whole
// log, or because it reaches neither the store nor another VM that has a configuration.
func (k *Keeper) fetchSnapshot(ctx context.Context) {
	body, err := k.cfg.Objects.GetObject(ctx, snapshotName)
	if err != nil {
		k.updateState((*spread.StateMachine).SnapshotFailed)
		return
	}
	c, err := revlog.DecodeSnapshot(body)
	if err != nil {
		k.cfg.Logger.Event(event.ConfigRefused, zap.String("object", snapshotName), zap.Error(err))
		k.updateState((*spread.StateMachine).SnapshotFailed)
		return
	}
	k.updateState(func(s *spread.StateMachine) { s.HandleSnapshot(spread.Store(), toSpreadSnapshot(c, body)) })
}

// toSpreadSnapshot converts a snapshot for the state machine, with the revisions of its history. The argument body is the
// encoded form of c.
func toSpreadSnapshot(c svcdef.Catalog, body []byte) spread.Snapshot {
	var log []spread.Revision
	for _, r := range c.History("") {
		stored, err := revlog.Encode(r)
		if err != nil {
			return spread.NewSnapshot(c.Revision(), body)
		}
		log = append(log, spread.NewRevision(r.Number(), stored))
	}
	return spread.NewSnapshot(c.Revision(), body).With(log)
}

func (k *Keeper) writeBack(ctx context.Context, w spread.WriteBack) {
	var revs []svcdef.Revision
	for _, r := range w.Revisions() {
		rev, err := revlog.Decode(r.Body())
		if err != nil {
			k.cfg.Logger.Event(event.ConfigRefused, zap.Uint64("revision", r.Number()), zap.Error(err))
			return
		}
		revs = append(revs, rev)
	}
	if err := revlog.WriteBack(ctx, k.cfg.Table, revs); err != nil {
		k.cfg.Logger.Event(event.ConfigRefused, zap.String("reason", "writing back revisions that the store lost failed"),
			zap.Error(err))
	}
}

// apply puts the next revision into force.
func (k *Keeper) apply(a spread.Apply) {
	rev, err := revlog.Decode(a.Revision().Body())
	if err != nil {
		k.cfg.Logger.Event(event.ConfigRefused, zap.Uint64("revision", a.Revision().Number()), zap.Error(err))
		return
	}
	k.applyMu.Lock()
	defer k.applyMu.Unlock()
	next, err := k.Catalog().Apply(rev)
	if err != nil {
		k.cfg.Logger.Event(event.ConfigRefused, zap.Uint64("revision", rev.Number()), zap.Error(err))
		return
	}
	k.setCatalog(next)
	if vm := a.Source().ID(); vm != "" {
		k.cfg.Logger.Event(event.ConfigFromPeer, zap.String("vm", vm), zap.Uint64("revision", rev.Number()))
	}
}

// loadSnapshot puts the catalogue of a snapshot into force, unless the one in force has the same or a higher revision.
func (k *Keeper) loadSnapshot(snap spread.Snapshot) {
	c, err := revlog.DecodeSnapshot(snap.Body())
	if err != nil {
		k.cfg.Logger.Event(event.ConfigRefused, zap.Uint64("revision", snap.Number()), zap.Error(err))
		return
	}
	k.applyMu.Lock()
	defer k.applyMu.Unlock()
	if c.Revision() > k.Catalog().Revision() {
		k.setCatalog(c)
	}
}

// rebuild reads the whole configuration from the table. It runs after the store turned out to hold a different revision
// under a number that was in force here.
func (k *Keeper) rebuild(ctx context.Context) {
	c, err := revlog.ReadCatalog(ctx, k.cfg.Table)
	if err != nil {
		k.cfg.Logger.Event(event.ConfigRefused, zap.Error(err))
		return
	}
	k.applyMu.Lock()
	defer k.applyMu.Unlock()
	if c.Revision() >= k.Catalog().Revision() {
		k.setCatalog(c)
	}
}

// fetchCatalog reads the whole configuration from the table, because this VM lacks revisions that are no longer in the log.
// Its result goes to the state machine as the answer to f.
func (k *Keeper) fetchCatalog(ctx context.Context, f spread.Fetch) {
	k.mu.Lock()
	alreadyReading := k.readingTable
	k.readingTable = true
	k.mu.Unlock()
	if alreadyReading {
		k.updateState(func(s *spread.StateMachine) { s.FetchFailed(k.cfg.Now(), f) })
		return
	}
	c, err := revlog.ReadCatalog(ctx, k.cfg.Table)
	var body []byte
	if err == nil {
		body, err = revlog.EncodeSnapshot(c)
	}
	if err != nil {
		k.cfg.Logger.Event(event.ConfigRefused, zap.Uint64("after", f.After()), zap.Error(err))
	}
	k.updateState(func(s *spread.StateMachine) {
		k.readingTable = false
		if err != nil || c.Revision() <= f.After() {
			s.FetchFailed(k.cfg.Now(), f)
			return
		}
		s.HandleSnapshot(f.Source(), toSpreadSnapshot(c, body))
	})
}

// History returns the last revisions in ascending order: those of one service, or of all services if service is "". Revisions
// that the catalogue no longer holds are read from the table. If the store does not answer, only the revisions in the
// catalogue are returned.
func (k *Keeper) History(ctx context.Context, service string) []svcdef.Revision {
	c := k.Catalog()
	recent := c.History(service)
	first := c.Revision() + 1
	if oldest := c.OldestRevision(); oldest > 0 {
		first = oldest
	}
	after := c.Revision() - min(c.Revision(), maxListedRevisions)
	var older []svcdef.Revision
	for after+1 < first {
		revs, err := revlog.ListAfter(ctx, k.cfg.Table, after, int(min(first-1-after, spread.MaxFetchRevisions)))
		if result.CodeOf(err) == result.NotFound { // this VM lags behind the store, which has folded the first revisions
			lastFolded, readErr := revlog.LastFolded(ctx, k.cfg.Table)
			if readErr != nil || lastFolded <= after {
				return recent
			}
			after = lastFolded
			continue
		}
		if err != nil || len(revs) == 0 {
			return recent
		}
		for _, r := range revs {
			if service == "" || r.ServiceName() == service {
				older = append(older, r)
			}
		}
		after = revs[len(revs)-1].Number()
	}
	return append(older, recent...)
}

// setCatalog puts a catalogue into force. The caller holds applyMu.
func (k *Keeper) setCatalog(c svcdef.Catalog) {
	k.mu.Lock()
	k.catalog = c
	k.saver.RevisionApplied(k.cfg.Now(), c.Revision())
	k.mu.Unlock()
	k.cfg.Logger.Event(event.ConfigApplied, zap.Uint64("revision", c.Revision()))
	k.cfg.OnApplied(c)
}

// recordStoreResult records whether the store answered a request, and logs the first result and each change.
func (k *Keeper) recordStoreResult(err error) {
	k.mu.Lock()
	changed := k.storeUp != (err == nil) || !k.storeStateLogged
	k.storeUp, k.storeStateLogged = err == nil, true
	k.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		k.cfg.Logger.Event(event.StoreDown, zap.Error(err))
	default:
		k.cfg.Logger.Event(event.StoreUp)
	}
}

// Change stores an operator's change, which is based on revision basedOn, and returns the accepted revision. It puts the
// revision into force on this VM without waiting for the next poll, so that the operator sees the change through the VM that
// accepted it.
//
// If another live VM has a newer revision than basedOn, the change is refused as a conflict before the store is asked. A store
// that returned to an older state would otherwise accept the change under the number of a revision that this VM lacks, and that
// revision would be reverted.
func (k *Keeper) Change(ctx context.Context, basedOn uint64, rev svcdef.Revision) (svcdef.Revision, error) {
	if newest := k.newestKnown(); newest > basedOn {
		return svcdef.Revision{}, revlog.Conflict(basedOn, newest)
	}
	accepted, err := revlog.Change(ctx, k.cfg.Table, k.Catalog(), basedOn, rev)
	if err != nil {
		return svcdef.Revision{}, err
	}
	body, err := revlog.Encode(accepted)
	if err != nil {
		return svcdef.Revision{}, err
	}
	k.updateState(func(s *spread.StateMachine) {
		s.RevisionAccepted(spread.NewRevision(accepted.Number(), body))
		k.saver.RevisionAccepted(accepted.Number())
	})
	k.awaitRevision(ctx, accepted.Number())
	k.runAsyncWithTimeout(foldTimeout, func(ctx context.Context) {
		// A conflict is not logged: usually another VM folds at the same time, and a later change tries again.
		if err := revlog.Fold(ctx, k.cfg.Table, accepted.Number()); err != nil && result.CodeOf(err) != result.RevisionConflict {
			k.cfg.Logger.Event(event.ConfigRefused, zap.String("reason", "folding the log failed"), zap.Error(err))
		}
	})
	return accepted, nil
}

// awaitRevision waits up to requestTimeout until a revision is in force on this VM. After the timeout the change counts as
// accepted all the same, and comes into force here as on every other VM.
func (k *Keeper) awaitRevision(ctx context.Context, n uint64) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	t := time.NewTicker(appliedCheckInterval)
	defer t.Stop()
	for k.Catalog().Revision() < n {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// saveSnapshot writes a snapshot with a checksum to the object store, for VMs that start, unless the one there is new enough.
// If two VMs write at the same time the older snapshot may remain, which is harmless because the table has the later revisions.
func (k *Keeper) saveSnapshot() {
	ctx, cancel := context.WithTimeout(k.ctx, requestTimeout)
	defer cancel()
	savedRevision, err := k.savedSnapshotRevision(ctx)
	k.mu.Lock()
	shouldWrite := err == nil && k.saver.ShouldWrite(savedRevision)
	k.mu.Unlock()
	if shouldWrite {
		savedRevision, err = k.writeSnapshot()
	}
	if err != nil {
		savedRevision = 0
		k.cfg.Logger.Event(event.StoreDown, zap.String("object", snapshotName), zap.Error(err))
	}
	k.mu.Lock()
	k.saver.Done(k.cfg.Now(), savedRevision)
	k.mu.Unlock()
}

// savedSnapshotRevision returns the revision of the snapshot in the object store, according to the object
// snapshotRevisionName. It returns 0 if that object is missing or damaged.
func (k *Keeper) savedSnapshotRevision(ctx context.Context) (uint64, error) {
	body, err := k.cfg.Objects.GetObject(ctx, snapshotRevisionName)
	if result.CodeOf(err) == result.NotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(string(body), 10, 64)
	if err != nil {
		n = 0 // a damaged object is replaced together with the snapshot
	}
	return n, nil
}

// writeSnapshot writes the snapshot, then the object with its revision number, and returns that number.
func (k *Keeper) writeSnapshot() (uint64, error) {
	c := k.Catalog().WithRecentHistory(maxSnapshotHistory)
	body, err := revlog.EncodeSnapshot(c)
	if err != nil {
		return 0, err
	}
	for _, o := range []struct {
		name string
		body []byte
	}{{snapshotName, body}, {snapshotRevisionName, strconv.AppendUint(nil, c.Revision(), 10)}} {
		ctx, cancel := context.WithTimeout(k.ctx, requestTimeout)
		err := k.cfg.Objects.PutObject(ctx, o.name, o.body)
		cancel()
		if err != nil {
			return 0, err
		}
	}
	return c.Revision(), nil
}

// snapshotPart returns a part of the snapshot, counted from 0, and the number of parts. With 820 definitions of 40 users each,
// a snapshot has 10 MB, ten times the maximum size of a message. If the snapshot cannot be encoded, the reply stays empty and
// the other VM asks another source.
func (k *Keeper) snapshotPart(c svcdef.Catalog, part int) ([]byte, int) {
	k.encodedMu.Lock()
	defer k.encodedMu.Unlock()
	if k.encodedSnapshot == nil || k.encodedRevision != c.Revision() {
		body, err := revlog.EncodeSnapshot(c)
		if err != nil {
			return nil, 0
		}
		k.encodedSnapshot, k.encodedRevision = body, c.Revision()
	}
	parts := (len(k.encodedSnapshot) + maxReplyBytes - 1) / maxReplyBytes
	if part < 0 || part >= parts {
		return nil, 0
	}
	body := k.encodedSnapshot[part*maxReplyBytes : min(len(k.encodedSnapshot), (part+1)*maxReplyBytes)]
	if part == parts-1 {
		k.encodedSnapshot = nil // the last part has been requested; free the memory
	}
	return body, parts
}

// fetchSnapshotParts requests the remaining parts of a snapshot and returns first with the whole snapshot. It fails if the
// other VM's revision changed meanwhile, and the state machine then starts a new fetch.
func (k *Keeper) fetchSnapshotParts(vm string, after uint64, first peer.Revisions) (peer.Revisions, error) {
	whole := slices.Clone(first.Snapshot)
	for part := 1; part < first.Parts; part++ {
		ctx, cancel := context.WithTimeout(k.ctx, requestTimeout)
		next, err := k.cfg.RequestRevisions(ctx, vm, peer.RevisionRequest{After: after, Limit: spread.MaxFetchRevisions, Part: part})
		cancel()
		if err != nil {
			return first, err
		}
		if next.Head != first.Head || next.Parts != first.Parts {
			return first, result.New(result.RevisionConflict, "VM %s changed from revision %d to %d while its snapshot was fetched",
				vm, first.Head, next.Head)
		}
		whole = append(whole, next.Snapshot...)
	}
	first.Snapshot = whole
	return first, nil
}

// AnswerRequest returns the reply to a request from another VM: the requested revisions, or a part of the snapshot if
// this VM no longer keeps them.
func (k *Keeper) AnswerRequest(r peer.RevisionRequest) peer.Revisions {
	k.mu.Lock()
	c := k.catalog
	revs, retained := k.state.After(r.After, min(r.Limit, spread.MaxFetchRevisions))
	k.mu.Unlock()
	reply := peer.Revisions{Head: c.Revision()}
	if !retained {
		reply.Snapshot, reply.Parts = k.snapshotPart(c, r.Part)
		return reply
	}
	size := 0
	for _, rev := range revs {
		if size += len(rev.Body()); size > maxReplyBytes && len(reply.List) > 0 {
			break
		}
		reply.List = append(reply.List, peer.Revision{Number: rev.Number(), Body: rev.Body()})
	}
	return reply
}
