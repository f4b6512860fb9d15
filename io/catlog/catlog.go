// Package catlog keeps the configuration that is in force on a VM. It carries out what core/spread decides: it asks the
// store and the other VMs, puts revisions in force, and accepts operators' changes.
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
	// stepInterval is how often the state machine is driven without news.
	stepInterval = 100 * time.Millisecond
	// requestTimeout bounds one request to the store or to another VM.
	requestTimeout = 2 * time.Second
	// historyShown is how many revisions operators see; those that the catalogue no longer has are read from the table.
	historyShown = 1000
	// snapshotHistory is how many revisions the snapshot holds besides the definitions, so that VMs that started from it
	// can restore what a store lost that came back older. All of the catalogue would add 3 MB to its 5.
	snapshotHistory = 100
	// rebuildTimeout bounds the reading of the whole configuration from the table. A log that an earlier version wrote and
	// that has not been folded yet can take 11,300 requests, a year of 3,100 changes a day.
	rebuildTimeout = 5 * time.Minute
	// foldTimeout bounds the folding after a change; what is left is done after a later one.
	foldTimeout = time.Minute
	// awaitInterval is how often an accepted change looks whether it is in force.
	awaitInterval = 2 * time.Millisecond
	// answerBytes bounds the revisions in one answer, which must fit into a message of 1 MiB.
	answerBytes = 512 << 10
	// maxParts bounds a snapshot that another VM sends in parts to 128 MiB.
	maxParts = 256
	// snapshotName is the object that holds the newest snapshot.
	snapshotName = "config/snapshot"
	// markName is the object that says which revision the snapshot holds, so that no VM reads 5 MB to find that out. It is
	// written after the snapshot, and nothing but the writes of the snapshot depends on it.
	markName = "config/snapshot-revision"
)

// Logger takes numbered events.
type Logger interface {
	Event(id event.ID, fields ...zap.Field)
}

// Config describes a Keeper.
type Config struct {
	VM         string
	DataCentre string
	Table      port.KeyValueStore
	Objects    port.ObjectStore
	// Poll is the interval at which a VM that has the task asks the store for the newest revision.
	Poll time.Duration
	// Ask sends a request for revisions to another VM.
	Ask func(ctx context.Context, vm string, req peer.RevisionRequest) (peer.Revisions, error)
	// Applied is called after each change with the catalogue in force.
	Applied func(svcdef.Catalog)
	Logger  Logger
	Now     func() time.Time
}

// Keeper holds the catalogue in force. Its revision only rises.
type Keeper struct {
	cfg    Config
	ctx    context.Context // ends with the Keeper
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{}

	mu      sync.Mutex
	state   *spread.StateMachine
	catalog svcdef.Catalog
	storeUp bool
	told    bool
	reading bool // the whole configuration is being read from the table
	saver   *spread.Saver

	// encoding guards the snapshot that other VMs fetch in parts.
	encoding  sync.Mutex
	encoded   []byte
	encodedAt uint64

	// applying makes catalogues follow each other in the order of their revisions.
	applying sync.Mutex
}

// New starts following the store and the other VMs.
func New(cfg Config) *Keeper {
	k := &Keeper{
		cfg: cfg, wake: make(chan struct{}, 1), state: spread.New(cfg.VM, cfg.DataCentre, cfg.Poll, cfg.Now()),
		saver: spread.NewSaver(cfg.VM),
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.start(k.drive)
	return k
}

// start runs f in a goroutine that Close waits for.
func (k *Keeper) start(f func()) {
	k.wg.Add(1)
	go func() {
		defer k.wg.Done()
		f()
	}()
}

// Close stops following.
func (k *Keeper) Close() {
	k.cancel()
	k.wg.Wait()
}

// Catalog returns the configuration in force.
func (k *Keeper) Catalog() svcdef.Catalog {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.catalog
}

// StoreUp reports whether the store answered the last time that this VM asked it.
func (k *Keeper) StoreUp() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.storeUp
}

func (k *Keeper) newest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.NewestKnown()
}

// Heard takes the number of the revision in force on another VM.
func (k *Keeper) Heard(vm string, revision uint64) {
	k.update(func(s *spread.StateMachine) { s.SetPeerRevision(vm, revision) })
}

// Members takes the live VMs.
func (k *Keeper) Members(live owner.Live) {
	k.update(func(s *spread.StateMachine) {
		s.SetMembers(live)
		k.saver.SetMembers(live)
	})
}

// update changes the state and has it driven.
func (k *Keeper) update(f func(s *spread.StateMachine)) {
	k.mu.Lock()
	f(k.state)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default: // it is about to be driven
	}
}

// drive carries out what the state machine says, at each input and at an interval.
func (k *Keeper) drive() {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		k.mu.Lock()
		now := k.cfg.Now()
		actions := k.state.Step(now)
		save := k.saver.BeginIfDue(now)
		k.mu.Unlock()
		for _, a := range actions {
			k.act(a)
		}
		if save {
			k.start(k.saveSnapshot)
		}
		select {
		case <-k.ctx.Done():
			return
		case <-k.wake:
		case <-t.C:
		}
	}
}

func (k *Keeper) act(a spread.Action) {
	switch a := a.(type) {
	case spread.Poll:
		k.request(func(ctx context.Context) { k.poll(ctx, a) })
	case spread.Fetch:
		k.request(func(ctx context.Context) { k.fetch(ctx, a) })
	case spread.FetchSnapshot:
		k.request(k.fetchSnapshot)
	case spread.WriteBack:
		k.request(func(ctx context.Context) { k.writeBack(ctx, a) })
	case spread.Rebuild:
		k.within(rebuildTimeout, k.rebuild)
	case spread.Apply:
		k.apply(a)
	case spread.LoadSnapshot:
		k.load(a.Snapshot())
	case spread.StoreBehind:
		k.cfg.Logger.Event(event.ConfigOlder, zap.Uint64("store", a.Head()), zap.Uint64("in_force", a.Applied()))
	case spread.Conflict:
		k.cfg.Logger.Event(event.ConfigRefused, zap.Uint64("revision", a.Number()), zap.String("vm", a.Source().ID()),
			zap.String("reason", "another revision is in force under this number"))
	}
}

// request runs f without holding up the state machine.
func (k *Keeper) request(f func(ctx context.Context)) { k.within(requestTimeout, f) }

func (k *Keeper) within(limit time.Duration, f func(ctx context.Context)) {
	k.start(func() {
		ctx, cancel := context.WithTimeout(k.ctx, limit)
		defer cancel()
		f(ctx)
	})
}

func (k *Keeper) poll(ctx context.Context, p spread.Poll) {
	head, err := revlog.Head(ctx, k.cfg.Table)
	k.noteStore(err)
	k.update(func(s *spread.StateMachine) {
		if err != nil {
			s.PollFailed(k.cfg.Now())
			return
		}
		s.PollSucceeded(k.cfg.Now(), p, head)
	})
}

func (k *Keeper) fetch(ctx context.Context, f spread.Fetch) {
	var got peer.Revisions
	var err error
	if f.Source().IsStore() {
		got.List, err = k.fromStore(ctx, f.After())
	} else {
		got, err = k.cfg.Ask(ctx, f.Source().ID(), peer.RevisionRequest{After: f.After(), Limit: spread.MaxFetchRevisions})
		if err == nil && got.Parts > 1 && got.Parts <= maxParts {
			got, err = k.restOf(f.Source().ID(), f.After(), got)
		}
	}
	if f.Source().IsStore() && result.CodeOf(err) == result.NotFound {
		k.within(rebuildTimeout, func(ctx context.Context) { k.readAll(ctx, f) })
		return
	}
	var snap svcdef.Catalog
	if err == nil && len(got.Snapshot) > 0 {
		snap, err = revlog.DecodeSnapshot(got.Snapshot)
	}
	k.update(func(s *spread.StateMachine) {
		switch {
		case err != nil || (len(got.List) == 0 && len(got.Snapshot) == 0):
			s.FetchFailed(k.cfg.Now(), f)
		case len(got.Snapshot) > 0:
			s.HandleSnapshot(f.Source(), snapshotOf(snap, got.Snapshot))
		default:
			s.HandleRevisions(k.cfg.Now(), f.Source(), opaque(got.List))
		}
	})
}

// opaque turns revisions into the form of the state machine.
func opaque(list []peer.Revision) []spread.Revision {
	revs := make([]spread.Revision, len(list))
	for i, r := range list {
		revs[i] = spread.NewRevision(r.Number, r.Body)
	}
	return revs
}

func (k *Keeper) fromStore(ctx context.Context, after uint64) ([]peer.Revision, error) {
	revs, err := revlog.ListAfter(ctx, k.cfg.Table, after, spread.MaxFetchRevisions)
	if result.CodeOf(err) == result.NotFound {
		k.noteStore(nil) // it answered
	} else {
		k.noteStore(err)
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

// fetchSnapshot reads the snapshot, for a VM without configuration: instead of the whole log, or because it finds neither
// the store nor another VM with a configuration.
func (k *Keeper) fetchSnapshot(ctx context.Context) {
	body, err := k.cfg.Objects.GetObject(ctx, snapshotName)
	if err != nil {
		k.update((*spread.StateMachine).SnapshotFailed)
		return
	}
	c, err := revlog.DecodeSnapshot(body)
	if err != nil {
		k.cfg.Logger.Event(event.ConfigRefused, zap.String("object", snapshotName), zap.Error(err))
		k.update((*spread.StateMachine).SnapshotFailed)
		return
	}
	k.update(func(s *spread.StateMachine) { s.HandleSnapshot(spread.Store(), snapshotOf(c, body)) })
}

// snapshotOf returns a decoded snapshot in the form of the state machine, with the revisions in its history.
func snapshotOf(c svcdef.Catalog, body []byte) spread.Snapshot {
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
		k.cfg.Logger.Event(event.ConfigRefused, zap.String("reason", "writing back what the store lost"), zap.Error(err))
	}
}

// apply puts the next revision in force.
func (k *Keeper) apply(a spread.Apply) {
	rev, err := revlog.Decode(a.Revision().Body())
	if err != nil {
		k.cfg.Logger.Event(event.ConfigRefused, zap.Uint64("revision", a.Revision().Number()), zap.Error(err))
		return
	}
	k.applying.Lock()
	defer k.applying.Unlock()
	next, err := k.Catalog().Apply(rev)
	if err != nil {
		k.cfg.Logger.Event(event.ConfigRefused, zap.Uint64("revision", rev.Number()), zap.Error(err))
		return
	}
	k.put(next)
	if vm := a.Source().ID(); vm != "" {
		k.cfg.Logger.Event(event.ConfigFromPeer, zap.String("vm", vm), zap.Uint64("revision", rev.Number()))
	}
}

// load puts a whole catalogue in force.
func (k *Keeper) load(snap spread.Snapshot) {
	c, err := revlog.DecodeSnapshot(snap.Body())
	if err != nil {
		k.cfg.Logger.Event(event.ConfigRefused, zap.Uint64("revision", snap.Number()), zap.Error(err))
		return
	}
	k.applying.Lock()
	defer k.applying.Unlock()
	if c.Revision() > k.Catalog().Revision() {
		k.put(c)
	}
}

// rebuild reads the whole configuration again after the store has shown another revision under a number that was in force.
func (k *Keeper) rebuild(ctx context.Context) {
	c, err := revlog.Read(ctx, k.cfg.Table)
	if err != nil {
		k.cfg.Logger.Event(event.ConfigRefused, zap.Error(err))
		return
	}
	k.applying.Lock()
	defer k.applying.Unlock()
	if c.Revision() >= k.Catalog().Revision() {
		k.put(c)
	}
}

// readAll reads the whole configuration from the table, for a VM that lacks revisions which are no longer in the log.
func (k *Keeper) readAll(ctx context.Context, f spread.Fetch) {
	k.mu.Lock()
	busy := k.reading
	k.reading = true
	k.mu.Unlock()
	if busy {
		k.update(func(s *spread.StateMachine) { s.FetchFailed(k.cfg.Now(), f) })
		return
	}
	c, err := revlog.Read(ctx, k.cfg.Table)
	var body []byte
	if err == nil {
		body, err = revlog.EncodeSnapshot(c)
	}
	if err != nil {
		k.cfg.Logger.Event(event.ConfigRefused, zap.Uint64("after", f.After()), zap.Error(err))
	}
	k.update(func(s *spread.StateMachine) {
		k.reading = false
		if err != nil || c.Revision() <= f.After() {
			s.FetchFailed(k.cfg.Now(), f)
			return
		}
		s.HandleSnapshot(f.Source(), snapshotOf(c, body))
	})
}

// History returns the last revisions in ascending order, those of one service or all if service is "". What the
// catalogue does not have is read from the table; without the store only what it has is returned.
func (k *Keeper) History(ctx context.Context, service string) []svcdef.Revision {
	c := k.Catalog()
	recent := c.History(service)
	first := c.Revision() + 1
	if oldest := c.OldestRevision(); oldest > 0 {
		first = oldest
	}
	after := c.Revision() - min(c.Revision(), historyShown)
	var older []svcdef.Revision
	for after+1 < first {
		revs, err := revlog.ListAfter(ctx, k.cfg.Table, after, int(min(first-1-after, spread.MaxFetchRevisions)))
		if result.CodeOf(err) == result.NotFound { // this VM is behind, and the first ones are no longer in the log
			through, readErr := revlog.Through(ctx, k.cfg.Table)
			if readErr != nil || through <= after {
				return recent
			}
			after = through
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

// put makes a catalogue the one in force. The caller holds applying.
func (k *Keeper) put(c svcdef.Catalog) {
	k.mu.Lock()
	k.catalog = c
	k.saver.RevisionApplied(k.cfg.Now(), c.Revision())
	k.mu.Unlock()
	k.cfg.Logger.Event(event.ConfigApplied, zap.Uint64("revision", c.Revision()))
	k.cfg.Applied(c)
}

func (k *Keeper) noteStore(err error) {
	k.mu.Lock()
	changed := k.storeUp != (err == nil) || !k.told
	k.storeUp, k.told = err == nil, true
	k.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		k.cfg.Logger.Event(event.StoreDown, zap.Error(err))
	default:
		k.cfg.Logger.Event(event.StoreUp)
	}
}

// Change accepts an operator's change and puts it in force here without waiting for the next poll, so that an operator
// sees the change through the VM that accepted it.
//
// A change that another live VM's revision makes a conflict is refused before the store is asked. A store that came back older
// would accept it in the place of a revision that this VM lacks, and that one would revert.
func (k *Keeper) Change(ctx context.Context, based uint64, rev svcdef.Revision) (svcdef.Revision, error) {
	if newest := k.newest(); newest > based {
		return svcdef.Revision{}, revlog.Conflict(based, newest)
	}
	accepted, err := revlog.Change(ctx, k.cfg.Table, k.Catalog(), based, rev)
	if err != nil {
		return svcdef.Revision{}, err
	}
	body, err := revlog.Encode(accepted)
	if err != nil {
		return svcdef.Revision{}, err
	}
	k.update(func(s *spread.StateMachine) {
		s.RevisionAccepted(spread.NewRevision(accepted.Number(), body))
		k.saver.RevisionAccepted(accepted.Number())
	})
	k.awaitRevision(ctx, accepted.Number())
	k.within(foldTimeout, func(ctx context.Context) {
		// Another VM that folds at the same time is the usual reason of an error, and the next change tries again.
		if err := revlog.Fold(ctx, k.cfg.Table, accepted.Number()); err != nil && result.CodeOf(err) != result.RevisionConflict {
			k.cfg.Logger.Event(event.ConfigRefused, zap.String("reason", "folding the log"), zap.Error(err))
		}
	})
	return accepted, nil
}

// awaitRevision waits until a revision is in force here. If that takes too long the change is accepted all the same, and
// follows as on every other VM.
func (k *Keeper) awaitRevision(ctx context.Context, n uint64) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	t := time.NewTicker(awaitInterval)
	defer t.Stop()
	for k.Catalog().Revision() < n {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// saveSnapshot keeps a checksummed copy in the object store, for VMs that start, unless the object is new enough. Two VMs
// that write at the same time may leave the older copy, which lacks nothing that the table does not have.
func (k *Keeper) saveSnapshot() {
	ctx, cancel := context.WithTimeout(k.ctx, requestTimeout)
	defer cancel()
	object, err := k.markedRevision(ctx)
	k.mu.Lock()
	shouldWrite := err == nil && k.saver.ShouldWrite(object)
	k.mu.Unlock()
	if shouldWrite {
		object, err = k.writeSnapshot()
	}
	if err != nil {
		object = 0
		k.cfg.Logger.Event(event.StoreDown, zap.String("object", snapshotName), zap.Error(err))
	}
	k.mu.Lock()
	k.saver.Done(k.cfg.Now(), object)
	k.mu.Unlock()
}

// markedRevision returns the revision of the snapshot in the object store, 0 if there is none that is marked.
func (k *Keeper) markedRevision(ctx context.Context) (uint64, error) {
	body, err := k.cfg.Objects.GetObject(ctx, markName)
	if result.CodeOf(err) == result.NotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(string(body), 10, 64)
	if err != nil {
		n = 0 // a damaged mark is replaced together with the snapshot
	}
	return n, nil
}

// writeSnapshot writes the snapshot and then its mark, and returns its revision.
func (k *Keeper) writeSnapshot() (uint64, error) {
	c := k.Catalog().WithRecentHistory(snapshotHistory)
	body, err := revlog.EncodeSnapshot(c)
	if err != nil {
		return 0, err
	}
	for _, o := range []struct {
		name string
		body []byte
	}{{snapshotName, body}, {markName, strconv.AppendUint(nil, c.Revision(), 10)}} {
		ctx, cancel := context.WithTimeout(k.ctx, requestTimeout)
		err := k.cfg.Objects.PutObject(ctx, o.name, o.body)
		cancel()
		if err != nil {
			return 0, err
		}
	}
	return c.Revision(), nil
}

// snapshotPart returns a part of the snapshot and the number of parts. With 820 definitions of 40 users each a snapshot
// has 10 MB, ten times as much as a message may have. An error leaves the answer empty, and the other VM asks elsewhere.
func (k *Keeper) snapshotPart(c svcdef.Catalog, part int) ([]byte, int) {
	k.encoding.Lock()
	defer k.encoding.Unlock()
	if k.encoded == nil || k.encodedAt != c.Revision() {
		body, err := revlog.EncodeSnapshot(c)
		if err != nil {
			return nil, 0
		}
		k.encoded, k.encodedAt = body, c.Revision()
	}
	parts := (len(k.encoded) + answerBytes - 1) / answerBytes
	if part < 0 || part >= parts {
		return nil, 0
	}
	body := k.encoded[part*answerBytes : min(len(k.encoded), (part+1)*answerBytes)]
	if part == parts-1 {
		k.encoded = nil // the last part has been asked for, and the memory may be needed
	}
	return body, parts
}

// restOf asks for the other parts of a snapshot. A change meanwhile shows in the revision, and the fetch starts anew.
func (k *Keeper) restOf(vm string, after uint64, got peer.Revisions) (peer.Revisions, error) {
	whole := slices.Clone(got.Snapshot)
	for part := 1; part < got.Parts; part++ {
		ctx, cancel := context.WithTimeout(k.ctx, requestTimeout)
		next, err := k.cfg.Ask(ctx, vm, peer.RevisionRequest{After: after, Limit: spread.MaxFetchRevisions, Part: part})
		cancel()
		if err != nil {
			return got, err
		}
		if next.Head != got.Head || next.Parts != got.Parts {
			return got, result.New(result.RevisionConflict, "VM %s went on from revision %d to %d during a fetch", vm, got.Head,
				next.Head)
		}
		whole = append(whole, next.Snapshot...)
	}
	got.Snapshot = whole
	return got, nil
}

// Answer returns what a request of another VM asks for.
func (k *Keeper) Answer(r peer.RevisionRequest) peer.Revisions {
	k.mu.Lock()
	c := k.catalog
	revs, kept := k.state.After(r.After, min(r.Limit, spread.MaxFetchRevisions))
	k.mu.Unlock()
	out := peer.Revisions{Head: c.Revision()}
	if !kept {
		out.Snapshot, out.Parts = k.snapshotPart(c, r.Part)
		return out
	}
	bytes := 0
	for _, rev := range revs {
		if bytes += len(rev.Body()); bytes > answerBytes && len(out.List) > 0 {
			break
		}
		out.List = append(out.List, peer.Revision{Number: rev.Number(), Body: rev.Body()})
	}
	return out
}
