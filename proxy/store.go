package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

const (
	// watchWait is how long a watch of the fleet waits for a change at the store. A
	// watch that died without an error is noticed after that time.
	watchWait = 20 * time.Second
	// batchDelay is the pause after a change, so that changes in quick succession
	// arrive in one response.
	batchDelay = 500 * time.Millisecond
	// burstWindow is the time within which two changes count as a burst.
	burstWindow = 3 * time.Second
	// retryBase and retryMax bound the delay after a failed call to the store.
	retryBase = 150 * time.Millisecond
	retryMax  = 1800 * time.Millisecond
)

// retryDelay returns the delay after a number of consecutive failures: it doubles with
// each, up to retryMax, with jitter.
func retryDelay(failures int) time.Duration {
	span := min(retryBase<<min(failures, 5), retryMax)
	return span/2 + rand.N(span/2+1)
}

// relistSpread is the time over which the nodes read the store again after it has
// started a new era, so that its rates hold.
const relistSpread = 300 * time.Millisecond

// waitRetry waits for the retry delay, until ctx ends, or until a new era shows that the
// store is back: risen is from before the failed call, which may have hung meanwhile.
func waitRetry(ctx context.Context, failures int, risen <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay(failures)):
	case <-risen:
		sleep(ctx, rand.N(relistSpread))
	}
}

// storeWatcher lists and watches one kind of objects in the platform's store.
type storeWatcher struct {
	node *Node
	kind cyclam.Kind
	// onList is called with the complete list, onChange with one event.
	onList   func(cyclam.ObjectList)
	onChange func(cyclam.ObjectEvent)
	// wait is the mean time that a watch waits for a change. Actual waits are
	// randomised so that readers don't renew their watches at the same time, as the
	// store may drop all waiting watches at once.
	wait time.Duration
	// onlyKey is set if only one object is of interest. During a burst of changes the
	// object is polled: a watch would deliver every change in full.
	onlyKey *cyclam.Key
	// checkWatch, if set, runs beside each watch call and cancels it with a cause if
	// the watch seems dead.
	checkWatch func(context.Context, context.CancelCauseFunc)
	// onResponse, if set, is called after what a response of the store said has been
	// applied, with the time at which its question was sent, by Node.steadyTime, and the
	// position up to which the store has been read. onFailure is called after each list
	// that has failed.
	onResponse func(sent time.Duration, at cyclam.Position)
	onFailure  func()
}

// run lists and watches until the context ends. While the store is unavailable, the
// last known objects stay in use.
func (f *storeWatcher) run(ctx context.Context) {
	failures := 0
	lost := false
	// outdated is the number of consecutive lists of an older era than the known one.
	outdated := 0
	for ctx.Err() == nil {
		_, risen := f.node.storeEras.Current()
		sent := f.node.steadyTime()
		list, err := f.list(ctx)
		if errors.Is(err, cyclam.ErrStaleEra) {
			sleep(ctx, rand.N(relistSpread))
			continue
		}
		if err != nil {
			if !lost {
				f.node.Log.Warn("store-lost", "kind", f.kind, "error", err)
			}
			lost = true
			if f.onFailure != nil {
				f.onFailure()
			}
			waitRetry(ctx, failures, risen)
			failures++
			continue
		}
		if lost {
			f.node.Log.Info("store-regained", "kind", f.kind, "failures", failures)
		}
		failures, lost = 0, false
		f.node.storeEras.Raise(list.Era)
		f.onList(list)
		var known uint64
		known, risen = f.node.storeEras.Current()
		if known > list.Era {
			// The list may have been answered before the era began of which another node
			// has told, or its answer did not tell its era.
			waitRetry(ctx, outdated, risen)
			outdated++
			continue
		}
		outdated = 0
		f.notifyResponse(sent, list.Position)
		err = f.watch(ctx, list.Position, risen)
		if err != nil && ctx.Err() == nil {
			lost = f.pauseAfterWatch(ctx, err, risen)
		}
	}
}

// pauseAfterWatch waits until the list may be read again after a watch has failed. It
// reports whether the store did not answer.
func (f *storeWatcher) pauseAfterWatch(ctx context.Context, err error, risen <-chan struct{}) bool {
	if errors.Is(err, cyclam.ErrStaleEra) {
		sleep(ctx, rand.N(relistSpread))
		return false
	}
	f.node.Log.Warn("watch-ended", "kind", f.kind, "error", err)
	if errors.Is(err, cyclam.ErrCompacted) || errors.Is(err, errWatchBehind) {
		return false
	}
	waitRetry(ctx, 0, risen)
	return true
}

func (f *storeWatcher) list(ctx context.Context) (cyclam.ObjectList, error) {
	list, err := f.node.Platform.List(ctx, f.kind)
	f.node.meters.countStoreCall("list", err)
	return list, err
}

// watch follows changes from a position on until a call fails or risen, which stands for
// a new era, is closed.
func (f *storeWatcher) watch(ctx context.Context, from cyclam.Position, risen <-chan struct{}) error {
	var changedAt time.Time
	for {
		sent := f.node.steadyTime()
		changes, err := f.watchOnce(ctx, from, risen)
		f.node.meters.countStoreCall("watch", err)
		if err != nil {
			return err
		}
		for _, e := range changes.Events {
			f.onChange(e)
		}
		from = changes.Position
		f.notifyResponse(sent, from)
		if len(changes.Events) == 0 {
			continue
		}
		if !sleep(ctx, batchDelay) {
			return ctx.Err()
		}
		if f.onlyKey != nil && time.Since(changedAt) < burstWindow {
			if from, err = f.pollObject(ctx, from); err != nil {
				return err
			}
		}
		changedAt = time.Now()
	}
}

// pollObject reads the object at onlyKey until it stops changing and returns its last
// position.
func (f *storeWatcher) pollObject(ctx context.Context, from cyclam.Position) (cyclam.Position, error) {
	for {
		sent := f.node.steadyTime()
		object, err := f.node.Platform.Get(ctx, *f.onlyKey)
		f.node.meters.countStoreCall("get", err)
		if err != nil {
			return from, err
		}
		if object.Era != from.Era {
			return from, cyclam.ErrStaleEra
		}
		changed := from.Before(object.Position)
		if changed {
			from = object.Position
			f.onChange(cyclam.ObjectEvent{
				Object: object,
			})
		}
		f.notifyResponse(sent, from)
		if !changed {
			return from, nil
		}
		if !sleep(ctx, batchDelay) {
			return from, ctx.Err()
		}
	}
}

func (f *storeWatcher) notifyResponse(sent time.Duration, at cyclam.Position) {
	if f.onResponse != nil {
		f.onResponse(sent, at)
	}
}

// sleep waits for span; false means that the context ended first.
func sleep(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// watchOnce makes one watch call, which checkWatch or a new era may cancel.
func (f *storeWatcher) watchOnce(ctx context.Context, from cyclam.Position, risen <-chan struct{}) (cyclam.ObjectChanges, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if f.checkWatch != nil {
		go f.checkWatch(ctx, cancel)
	}
	go func() {
		select {
		case <-risen:
			cancel(cyclam.ErrStaleEra)
		case <-ctx.Done():
		}
	}()
	changes, err := f.node.Platform.Watch(ctx, from, f.wait/2+rand.N(f.wait), f.kind)
	cause := context.Cause(ctx)
	switch {
	case err == nil && changes.Era != from.Era:
		return changes, cyclam.ErrStaleEra
	case err != nil && (errors.Is(cause, errWatchBehind) || errors.Is(cause, cyclam.ErrStaleEra)):
		return changes, cause
	default:
		return changes, err
	}
}

// watchFleet keeps the view of the other nodes up to date.
func (n *Node) watchFleet(ctx context.Context) error {
	f := &storeWatcher{
		node:     n,
		kind:     cyclam.KindEndpoint,
		wait:     watchWait,
		onList:   n.applyFleetList,
		onChange: n.applyFleetEvent,
		// A node whose store is unavailable goes by what the upstream and other nodes say.
		onFailure: n.endRecall,
	}
	f.run(ctx)
	return nil
}

// applyFleetList applies a complete list of the entries and removes nodes that are not
// in it. A list that is older than what was applied is dropped.
func (n *Node) applyFleetList(list cyclam.ObjectList) {
	listed, entries := n.decodeList(list)
	n.mu.Lock()
	before := n.fleet.store.latest
	first := !n.fleet.known
	doubtful, newEra, ok := n.fleet.applyList(list.Position, entries, listed, time.Now())
	missing, count := len(n.fleet.store.missing), len(n.fleet.members)
	n.mu.Unlock()
	if !ok {
		n.meters.countDropped()
		n.Log.Debug("list-dropped", "era", list.Era, "known", before.Era)
		return
	}
	for _, o := range list.Objects {
		if cyclam.InstanceName(o.Name) == n.self.Instance {
			n.applyOwnEntry(cyclam.ObjectEvent{
				Object: o,
			})
		}
	}
	n.applyListedNames(listed, list.Position, newEra)
	for _, e := range entries {
		n.logSeen(e)
	}
	for _, name := range doubtful {
		go n.confirm(name)
	}
	if first {
		n.Log.Info("fleet-known", "source", "store", "nodes", count)
	}
	if newEra {
		n.Log.Info("store-era-changed",
			"old", before.Era,
			"new", list.Era,
			"revision-before", before.Revision,
			"revision-after", list.Revision,
			"missing", missing,
			"own-entry-listed", listed[n.self.Instance],
		)
		time.AfterFunc(missingGrace, func() { n.removeMissing(list.Era) })
	}
}

// decodeList returns the names of all entries of a list, and the endpoints of those of
// other nodes that can be read.
func (n *Node) decodeList(list cyclam.ObjectList) (map[cyclam.InstanceName]bool, []storedEndpoint) {
	listed := map[cyclam.InstanceName]bool{}
	var entries []storedEndpoint
	for _, o := range list.Objects {
		name := cyclam.InstanceName(o.Name)
		listed[name] = true
		if name == n.self.Instance {
			continue
		}
		endpoint, err := decodeEntry(o)
		if err != nil {
			n.Log.Warn("entry-unreadable", "peer", name, "error", err)
			continue
		}
		n.learnEntry(o)
		entries = append(entries, storedEndpoint{
			endpoint: endpoint,
			at:       o.Position,
		})
	}
	return listed, entries
}

func (n *Node) logSeen(e storedEndpoint) {
	n.Log.Info("node-seen", "peer", e.endpoint.Instance, "state", e.endpoint.State.String(), "release", e.endpoint.Release, "revision", e.at.Revision)
}

// removeMissing removes the nodes whose entries have not come back in an era.
func (n *Node) removeMissing(era uint64) {
	n.mu.Lock()
	gone := n.fleet.removeMissing(era, time.Now())
	n.mu.Unlock()
	for _, name := range gone {
		n.Log.Info("node-gone", "peer", name, "cause", "entry missing after the store's return")
	}
}

// confirm asks a node whether it runs, because only a copy of the store says so.
func (n *Node) confirm(name cyclam.InstanceName) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	err := n.exchangeWith(ctx, name)
	n.Log.Info("node-doubted", "peer", name, "error", err)
}

// applyFleetEvent applies one change of an entry, unless it is outdated.
func (n *Node) applyFleetEvent(e cyclam.ObjectEvent) {
	name := cyclam.InstanceName(e.Object.Name)
	now := time.Now()
	n.mu.Lock()
	current := n.fleet.store.accepts(e.Object.Position)
	if current && e.Deleted && name != n.self.Instance {
		current = n.fleet.removeDeleted(name, e.Object.Position, now)
	}
	n.mu.Unlock()
	switch {
	case !current:
		n.noteDropped(e.Object)
		return
	case name == n.self.Instance:
		n.applyOwnEntry(e)
		return
	case e.Deleted:
		n.Log.Info("node-gone", "peer", name)
		return
	}
	endpoint, err := decodeEntry(e.Object)
	if err != nil {
		n.Log.Warn("entry-unreadable", "peer", name, "error", err)
		return
	}
	n.learnEntry(e.Object)
	seen := storedEndpoint{
		endpoint: endpoint,
		at:       e.Object.Position,
	}
	n.mu.Lock()
	current = n.fleet.applyChange(seen, now)
	n.mu.Unlock()
	if !current {
		n.noteDropped(e.Object)
		return
	}
	n.logSeen(seen)
}

func (n *Node) noteDropped(o cyclam.Object) {
	n.meters.countDropped()
	n.Log.Debug("change-dropped", "peer", o.Name, "era", o.Era)
}
