package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/pkg/errors"
)

const (
	// watchWait is how long a watch waits at the store; one that died in silence
	// is noticed after it.
	watchWait = 20 * time.Second
	// gatherPause lets changes that come in quick succession arrive in one answer.
	gatherPause = 500 * time.Millisecond
	// successionSpan is the time within which two changes make a succession.
	successionSpan = 3 * time.Second
	// retryBase and retryMax bound the pause after a failed call to the store.
	retryBase = 150 * time.Millisecond
	retryMax  = 1800 * time.Millisecond
)

// retryPause doubles with each failure, with jitter.
func retryPause(failures int) time.Duration {
	span := min(retryBase<<min(failures, 5), retryMax)
	return span/2 + rand.N(span/2+1)
}

// pause waits after a failure.
func pause(ctx context.Context, failures int) { sleep(ctx, retryPause(failures)) }

// follower keeps a view of one kind of objects in the platform's store.
type follower struct {
	node *Node
	kind cyclam.Kind
	// listed takes the whole of the kind, changed one event.
	listed  func(cyclam.ObjectList)
	changed func(cyclam.ObjectEvent)
	// wait is how long a watch waits for a change, in the mean: readers must not
	// renew their watches together, as the store may drop all that wait at once.
	wait time.Duration
	// only is the one object of interest, if it is just one. While it changes in
	// quick succession it is read alone: a watch would bring each change whole.
	only *cyclam.Key
	// doubt ends a watch that may be dead by a cancel with a cause; nil never does.
	doubt func(context.Context, context.CancelCauseFunc)
	// seen is told of each answer of the store, if it is set.
	seen func()
}

// run lists and watches until the context ends. What was seen is kept while the
// store is away.
func (f *follower) run(ctx context.Context) {
	failures := 0
	lost := false
	for ctx.Err() == nil {
		list, err := f.list(ctx)
		if err != nil {
			if !lost {
				f.node.Log.Warn("store-lost", "kind", f.kind, "error", err)
			}
			lost = true
			pause(ctx, failures)
			failures++
			continue
		}
		if lost {
			f.node.Log.Info("store-regained", "kind", f.kind, "failures", failures)
		}
		failures, lost = 0, false
		f.listed(list)
		f.noteSeen()
		err = f.watch(ctx, list.Revision)
		if err != nil && ctx.Err() == nil {
			f.node.Log.Warn("watch-ended", "kind", f.kind, "error", err)
			lost = !errors.Is(err, cyclam.ErrCompacted) && !errors.Is(err, errNudged)
			if lost {
				pause(ctx, 0)
			}
		}
	}
}

func (f *follower) list(ctx context.Context) (cyclam.ObjectList, error) {
	list, err := f.node.Platform.List(ctx, f.kind)
	f.node.meters.countStoreCall("list", err)
	return list, err
}

func (f *follower) watch(ctx context.Context, from uint64) error {
	var changedAt time.Time
	for {
		changes, err := f.await(ctx, from)
		f.node.meters.countStoreCall("watch", err)
		if err != nil {
			return err
		}
		for _, e := range changes.Events {
			f.changed(e)
		}
		f.noteSeen()
		from = changes.Revision
		if len(changes.Events) == 0 {
			continue
		}
		if !sleep(ctx, gatherPause) {
			return ctx.Err()
		}
		if f.only != nil && time.Since(changedAt) < successionSpan {
			if from, err = f.skim(ctx, from); err != nil {
				return err
			}
		}
		changedAt = time.Now()
	}
}

// skim reads the one object until it no longer changes.
func (f *follower) skim(ctx context.Context, from uint64) (uint64, error) {
	for {
		object, err := f.node.Platform.Get(ctx, *f.only)
		f.node.meters.countStoreCall("get", err)
		if err != nil {
			return from, err
		}
		if object.Revision <= from {
			return from, nil
		}
		from = object.Revision
		f.changed(cyclam.ObjectEvent{
			Object: object,
		})
		if !sleep(ctx, gatherPause) {
			return from, ctx.Err()
		}
	}
}

func (f *follower) noteSeen() {
	if f.seen != nil {
		f.seen()
	}
}

// sleep waits; false means that the context has ended.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// await makes one watch call and ends it when it seems dead.
func (f *follower) await(ctx context.Context, from uint64) (cyclam.ObjectChanges, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if f.doubt != nil {
		go f.doubt(ctx, cancel)
	}
	changes, err := f.node.Platform.Watch(ctx, from, f.wait/2+rand.N(f.wait), f.kind)
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errNudged) {
		return changes, cause
	}
	return changes, err
}

// watchFleet keeps the view of the other nodes current.
func (n *Node) watchFleet(ctx context.Context) error {
	f := &follower{
		node:    n,
		kind:    cyclam.KindEndpoint,
		wait:    watchWait,
		listed:  n.fleetListed,
		changed: n.fleetChanged,
	}
	f.run(ctx)
	return nil
}

func (n *Node) fleetListed(list cyclam.ObjectList) {
	listed := map[cyclam.InstanceName]bool{}
	for _, o := range list.Objects {
		listed[cyclam.InstanceName(o.Name)] = true
		n.fleetChanged(cyclam.ObjectEvent{
			Object: o,
		})
	}
	n.mu.Lock()
	for name := range n.fleet.members {
		if !listed[name] {
			n.fleet.removed(name)
		}
	}
	first := !n.fleet.known
	n.fleet.known = true
	count := len(n.fleet.members)
	n.mu.Unlock()
	n.entryListed(listed)
	if first {
		n.Log.Info("fleet-known", "source", "store", "nodes", count)
	}
}

func (n *Node) fleetChanged(e cyclam.ObjectEvent) {
	name := cyclam.InstanceName(e.Object.Name)
	if name == n.self.Instance {
		n.entrySeen(e)
		return
	}
	if e.Deleted {
		n.mu.Lock()
		n.fleet.removed(name)
		n.mu.Unlock()
		n.Log.Info("node-gone", "peer", name)
		return
	}
	endpoint, err := decodeEntry(e.Object)
	if err != nil {
		n.Log.Warn("entry-unreadable", "peer", name, "error", err)
		return
	}
	n.mu.Lock()
	n.fleet.stored(endpoint, e.Object.Revision)
	n.mu.Unlock()
	n.Log.Info("node-seen", "peer", name, "state", endpoint.State.String(), "revision", e.Object.Revision)
}
