package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/fanout"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
)

const (
	// hintPatience is how long a newer version at another node may take to come
	// by the own watch.
	hintPatience = 400 * time.Millisecond
	// configWatch is how long a watch of the configuration waits at the store in the
	// mean: if all stop answering at once, the first of a few readers has to notice
	// well within the two to three seconds in which a configuration is to be in force.
	configWatch = 2 * time.Second
	// askEvery is the interval at which a node that does not read the store asks
	// its parent: a path of three nodes has to fit into the same time.
	askEvery = 400 * time.Millisecond
	// askLimit bounds one exchange: several round trips between regions, or the
	// queue of a link that is full.
	askLimit = 800 * time.Millisecond
	// strayEvery is how often a node asks one of another region instead, in
	// exchanges: a whole region may have lost the store.
	strayEvery = 5
	// staleLimit is the age from which a node no longer relies on its sources. That
	// of a reader is its longest wait, three seconds, at most; exchanges add some.
	staleLimit = configWatch + 4*time.Second
)

var errNudged = errors.New("another node has a newer version")

// readConfig reads the store until the node is no longer one that does.
func (n *Node) readConfig(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.meetReaders(ctx, cancel)
	key := n.Dialect.ConfigKey()
	f := &follower{
		node:   n,
		kind:   key.Kind,
		wait:   configWatch,
		only:   &key,
		doubt:  n.doubtWatch,
		listed: n.configListed,
		seen:   func() { n.noteStoreAge(0) },
		changed: func(e cyclam.ObjectEvent) {
			if e.Object.Name == key.Name && !e.Deleted {
				n.configure(e.Object.Spec, "store")
			}
		},
	}
	f.run(ctx)
}

// meetReaders exchanges with the other readers, so that what one of them hears
// reaches all, and ends once the node is no longer a reader.
func (n *Node) meetReaders(ctx context.Context, end func()) {
	for turn := rand.IntN(strayEvery); sleep(ctx, askEvery/2+rand.N(askEvery)); turn++ {
		plan := n.plan()
		if !plan.Reader {
			end()
			return
		}
		from, ok := cyclam.InstanceName(""), false
		if turn%strayEvery == 0 {
			from, ok = n.stray()
		} else if len(plan.Readers) > 0 {
			from, ok = plan.Readers[rand.IntN(len(plan.Readers))], true
		}
		if !ok {
			continue
		}
		if err := n.ask(ctx, from); err != nil {
			n.Log.Debug("config-source-silent", "peer", from, "error", err)
		}
	}
}

func (n *Node) configListed(list cyclam.ObjectList) {
	for _, o := range list.Objects {
		if o.Name == n.Dialect.ConfigKey().Name {
			n.configure(o.Spec, "store")
		}
	}
}

// doubtWatch ends a watch that has not brought a version which another node
// shows, once that node has been asked for it.
func (n *Node) doubtWatch(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-n.configHint:
			if !sleep(ctx, hintPatience) {
				return
			}
			if n.version() < h.version {
				_ = n.ask(ctx, h.from)
			}
			if n.version() < h.version {
				cancel(errNudged)
				return
			}
		}
	}
}

// askConfig asks other nodes until this one has to read the store.
func (n *Node) askConfig(ctx context.Context) {
	failures := 0
	check := &staleCheck{
		node: n,
	}
	for turn := rand.IntN(strayEvery); ; turn++ {
		var from cyclam.InstanceName
		select {
		case <-ctx.Done():
			return
		case h := <-n.configHint:
			if h.version <= n.version() {
				continue
			}
			from = h.from
		case <-time.After(askEvery/2 + rand.N(askEvery)):
		}
		plan := n.plan()
		if plan.Reader {
			return
		}
		if from == "" {
			from = n.source(plan, turn, failures)
		}
		if err := n.ask(ctx, from); err != nil {
			failures++
			n.Log.Info("config-source-silent", "peer", from, "failures", failures, "error", err)
		} else {
			failures = 0
		}
		check.run(ctx)
	}
}

// source picks the node to ask: the parent, a reader if that is silent, now and
// then a node of another region.
func (n *Node) source(plan fanout.Plan, turn, failures int) cyclam.InstanceName {
	if turn%strayEvery == 0 || failures > 1 {
		if name, ok := n.stray(); ok {
			return name
		}
	}
	if failures > 0 && len(plan.Readers) > 0 {
		return plan.Readers[rand.IntN(len(plan.Readers))]
	}
	return plan.Parent
}

// stray returns any node that can be reached, of another region if there is one.
func (n *Node) stray() (cyclam.InstanceName, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	var far, near []cyclam.InstanceName
	for name, m := range n.fleet.members {
		switch {
		case m.away(now):
		case m.view.Endpoint.Locality.Region == n.Settings.Self.Locality.Region:
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	if len(far) == 0 {
		far = near
	}
	if len(far) == 0 {
		return "", false
	}
	return far[rand.IntN(len(far))], true
}

// ask exchanges with a node what both know.
func (n *Node) ask(ctx context.Context, name cyclam.InstanceName) error {
	n.mu.Lock()
	m, ok := n.fleet.members[name]
	address := ""
	if ok {
		address = m.view.Endpoint.Control
	}
	n.mu.Unlock()
	if !ok {
		return errors.Errorf("ask %s: not known", name)
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	conn, err := n.link(address).connect(ctx)
	if err == nil {
		err = n.exchange(ctx, wire.NewDoorClient(conn))
	}
	n.asked(name, err)
	return cyclam.AtStep("exchange", address, err)
}

// staleCheck reads the store for a node whose sources have lost it.
type staleCheck struct {
	node *Node
	// count is how many reads were made in a row, next when one may follow.
	count int
	next  time.Time
}

// run reads the store if it is due.
func (s *staleCheck) run(ctx context.Context) {
	age, now := s.node.storeAge(), time.Now()
	switch {
	case age <= staleLimit:
		s.count = 0
	case !now.Before(s.next):
		s.node.checkStore(ctx, age)
		s.next = now.Add(retryPause(s.count))
		s.count++
	}
}

// checkStore reads the configuration once, as no other node has lately been in
// touch with the store either.
func (n *Node) checkStore(ctx context.Context, age time.Duration) {
	list, err := n.Platform.List(ctx, n.Dialect.ConfigKey().Kind)
	n.meters.countStoreCall("list", err)
	n.Log.Warn("config-sources-stale", "age", age, "error", err)
	if err != nil {
		return
	}
	n.configListed(list)
	n.noteStoreAge(0)
}

// storeAge returns how long ago the version in force was the newest.
func (n *Node) storeAge() time.Duration {
	return time.Since(n.startTime) - time.Duration(n.configFreshAt.Load())
}

// noteStoreAge takes in how long ago the version in force was the newest.
func (n *Node) noteStoreAge(age time.Duration) {
	at := int64(time.Since(n.startTime) - age)
	for {
		held := n.configFreshAt.Load()
		if at <= held || n.configFreshAt.CompareAndSwap(held, at) {
			return
		}
	}
}
