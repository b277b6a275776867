package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/table"
	"github.com/pkg/errors"
)

const (
	// watchWait is how long a watch waits at the store. A watch that died in
	// silence is noticed sooner: by the connection's probes, or by another node
	// that shows a newer version.
	watchWait = 20 * time.Second
	// gatherPause lets changes that come in quick succession arrive in one answer.
	gatherPause = 500 * time.Millisecond
	// retryBase and retryMax bound the pause after a failed call to the store.
	retryBase = 150 * time.Millisecond
	retryMax  = 1800 * time.Millisecond
	// hintPatience is how long a newer version at another node may take to come
	// by the own watch.
	hintPatience = 400 * time.Millisecond
)

// pause waits for a time that doubles with each failure, with jitter.
func pause(ctx context.Context, failures int) {
	span := min(retryBase<<min(failures, 5), retryMax)
	span = span/2 + rand.N(span/2+1)
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// follower keeps a view of one kind of objects in the platform's store.
type follower struct {
	node *Node
	kind cyclam.Kind
	// listed takes the whole of the kind, changed one event.
	listed  func(cyclam.ObjectList)
	changed func(cyclam.ObjectEvent)
	// nudged interrupts a watch that may be dead; nil never does.
	nudged <-chan cyclam.Version
}

// run lists and watches until the context ends. What was seen is kept while the
// store is away.
func (f *follower) run(ctx context.Context) error {
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
		err = f.watch(ctx, list.Revision)
		if err != nil && ctx.Err() == nil {
			f.node.Log.Warn("watch-ended", "kind", f.kind, "error", err)
			lost = !errors.Is(err, cyclam.ErrCompacted) && !errors.Is(err, errNudged)
			if lost {
				pause(ctx, 0)
			}
		}
	}
	return nil
}

func (f *follower) list(ctx context.Context) (cyclam.ObjectList, error) {
	list, err := f.node.Platform.List(ctx, f.kind)
	f.node.meters.stored("list", err)
	return list, err
}

func (f *follower) watch(ctx context.Context, from uint64) error {
	for {
		changes, err := f.wait(ctx, from)
		f.node.meters.stored("watch", err)
		if err != nil {
			return err
		}
		for _, e := range changes.Events {
			f.changed(e)
		}
		from = changes.Revision
		if len(changes.Events) > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(gatherPause):
			}
		}
	}
}

var errNudged = errors.New("another node has a newer version")

// wait makes one watch call and ends it when it seems dead.
func (f *follower) wait(ctx context.Context, from uint64) (cyclam.ObjectChanges, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if f.nudged != nil {
		go f.doubt(ctx, cancel)
	}
	changes, err := f.node.Platform.Watch(ctx, from, watchWait, f.kind)
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errNudged) {
		return changes, cause
	}
	return changes, err
}

// doubt ends a watch that has not brought a version which another node shows.
func (f *follower) doubt(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case version := <-f.nudged:
			select {
			case <-ctx.Done():
				return
			case <-time.After(hintPatience):
			}
			if f.node.version() < version {
				cancel(errNudged)
				return
			}
		}
	}
}

// watchConfig keeps the configuration in force current.
func (n *Node) watchConfig(ctx context.Context) error {
	key := n.Dialect.ConfigKey()
	f := &follower{
		node:   n,
		kind:   key.Kind,
		nudged: n.hint,
		listed: func(list cyclam.ObjectList) {
			for _, o := range list.Objects {
				if o.Name == key.Name {
					n.configure(o.Spec, "store")
				}
			}
		},
		changed: func(e cyclam.ObjectEvent) {
			if e.Object.Name == key.Name && !e.Deleted {
				n.configure(e.Object.Spec, "store")
			}
		},
	}
	return f.run(ctx)
}

// version returns the version in force; zero means that none is.
func (n *Node) version() cyclam.Version {
	if t := n.current.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// configure puts a configuration in force if it is newer than the one that is.
func (n *Node) configure(spec json.RawMessage, source string) {
	config, err := n.Dialect.Config(spec)
	if err != nil {
		n.Log.Error("config-refused", "source", source, "in-force", n.version(), "error", err)
		return
	}
	fresh := table.New(config)
	raw := &rawConfig{
		version: config.Version,
		spec:    spec,
	}
	for {
		held := n.current.Load()
		if held != nil && held.Config.Version >= config.Version {
			return
		}
		if !n.current.CompareAndSwap(held, fresh) {
			continue
		}
		break
	}
	n.raw.Store(raw)
	n.Log.Info("config-in-force",
		"version", config.Version,
		"source", source,
		"routes", len(config.Routes),
		"services", len(config.Services),
	)
}

// noteVersion takes in the version that another node has in force.
func (n *Node) noteVersion(version cyclam.Version) {
	if version <= n.version() {
		return
	}
	select {
	case n.hint <- version:
	default:
	}
}

// watchFleet keeps the view of the other nodes current.
func (n *Node) watchFleet(ctx context.Context) error {
	f := &follower{
		node:    n,
		kind:    cyclam.KindEndpoint,
		listed:  n.fleetListed,
		changed: n.fleetChanged,
	}
	return f.run(ctx)
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
