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
	// hintDelay is how long the node's own watch may take to deliver a version that
	// another node already has.
	hintDelay = 400 * time.Millisecond
	// configWatchWait is the mean time that a watch of the configuration waits at the
	// store. If all watches stop responding at once, the first of a few readers has to
	// notice well within the two to three seconds in which a configuration is to be in
	// force.
	configWatchWait = 2 * time.Second
	// exchangeInterval is the mean interval at which a node that does not read the
	// store polls its parent: a path of three nodes has to fit into the same two to
	// three seconds.
	exchangeInterval = 400 * time.Millisecond
	// exchangeTimeout bounds one exchange: several round trips between regions, or the
	// queue of a saturated link.
	exchangeTimeout = 800 * time.Millisecond
	// crossRegionEvery is the number of exchanges of which one goes to a node of
	// another region, because a whole region may have lost the store. In a larger region
	// than crossRegionNodes it is higher in proportion for the nodes that do not read the
	// store, so that the exchanges between two regions do not grow with the fleet.
	crossRegionEvery = 5
	crossRegionNodes = 8
	// maxStaleness is the age of the configuration from which a node no longer relies
	// on its sources. The age counts from when a watch was sent, so at a reader it is at
	// most twice its longest wait, three seconds; each exchange on the path adds to it.
	maxStaleness = 2*configWatchWait + 5*time.Second
)

var errWatchBehind = errors.New("watch has not delivered a version that another node has")

// followStore watches the configuration in the store until the node is no longer a
// reader.
func (n *Node) followStore(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.exchangeWithReaders(ctx, cancel)
	if n.followsRollouts() {
		go n.watchRollouts(ctx)
	}
	key := n.Dialect.ConfigKey()
	reading := &storeReading{}
	f := &storeWatcher{
		node:       n,
		kind:       key.Kind,
		wait:       configWatchWait,
		onlyKey:    &key,
		checkWatch: n.checkConfigWatch,
		onList:     func(list cyclam.ObjectList) { reading.note(list.Position, n.applyConfigList(list)) },
		onChange:   func(e cyclam.ObjectEvent) { n.applyConfigEvent(reading, e) },
	}
	f.onResponse = func(sent time.Duration, at cyclam.Position) {
		n.noteStoreAnswer(reading, sent, at)
		f.wait = configWatchWait
		if n.renewal().Limit > 0 {
			f.wait = renewedWatchWait
		}
	}
	go n.renewWord(ctx, reading)
	f.run(ctx)
}

// exchangeWithReaders exchanges knowledge with the other readers, so that a version
// seen by one of them reaches all. It calls end and returns once the node is no longer
// a reader.
func (n *Node) exchangeWithReaders(ctx context.Context, end func()) {
	failed := false
	for turn := rand.IntN(crossRegionEvery); sleep(ctx, exchangeInterval/2+rand.N(exchangeInterval)); turn++ {
		plan := n.plan()
		if !plan.Reader {
			end()
			return
		}
		from, ok := cyclam.InstanceName(""), false
		if turn%crossRegionEvery == 0 {
			from, ok = n.crossRegionPeer()
		} else if len(plan.Readers) > 0 {
			from, ok = plan.Readers[rand.IntN(len(plan.Readers))], true
			if n.renewal().Limit > 0 && !failed {
				// The first reader hears the store most often.
				from = plan.Readers[0]
			}
		}
		if !ok {
			continue
		}
		failed = false
		if err := n.exchangeWith(ctx, from); err != nil {
			failed = true
			n.Log.Debug("config-source-silent", "peer", from, "error", err)
		}
	}
}

// applyConfigList applies the configuration in a list. It returns false if the one in force
// does not cover it.
func (n *Node) applyConfigList(list cyclam.ObjectList) bool {
	for _, o := range list.Objects {
		if o.Name == n.Dialect.ConfigKey().Name {
			return n.applyConfig(o.Spec, o.Era, "store")
		}
	}
	return true
}

// checkConfigWatch cancels a watch that has not delivered a version reported by another
// node. The version is first requested from that node.
func (n *Node) checkConfigWatch(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-n.configHint:
			if !sleep(ctx, hintDelay) {
				return
			}
			if n.version() < h.version {
				_ = n.exchangeWith(ctx, h.from)
			}
			if n.version() < h.version {
				cancel(errWatchBehind)
				return
			}
		}
	}
}

// followPeers polls other nodes for the configuration until this node becomes a reader
// of the store.
func (n *Node) followPeers(ctx context.Context) {
	failures := 0
	check := &staleCheck{
		node: n,
	}
	for turn := rand.IntN(n.crossRegionTurns()); ; turn++ {
		var from cyclam.InstanceName
		select {
		case <-ctx.Done():
			return
		case h := <-n.configHint:
			if h.version <= n.version() {
				continue
			}
			from = h.from
		case <-time.After(exchangeInterval/2 + rand.N(exchangeInterval)):
		}
		plan := n.plan()
		if plan.Reader {
			return
		}
		if from == "" {
			from = n.configSource(plan, turn, failures)
		}
		if err := n.exchangeWith(ctx, from); err != nil {
			failures++
			n.Log.Info("config-source-silent", "peer", from, "failures", failures, "error", err)
		} else {
			failures = 0
		}
		check.run(ctx)
	}
}

// configSource picks the node to poll: usually the parent, a reader after a failed
// exchange, and regularly or after two failures a node of another region.
func (n *Node) configSource(plan fanout.Plan, turn, failures int) cyclam.InstanceName {
	if turn%n.crossRegionTurns() == 0 || failures > 1 {
		if name, ok := n.crossRegionPeer(); ok {
			return name
		}
	}
	if failures > 0 && len(plan.Readers) > 0 {
		return plan.Readers[rand.IntN(len(plan.Readers))]
	}
	return plan.Parent
}

// crossRegionTurns returns the number of exchanges of which one goes to another region, at a
// node that does not read the store.
func (n *Node) crossRegionTurns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	nodes := 1
	for _, m := range n.fleet.members {
		if m.view.Endpoint.Locality.Region == n.Settings.Self.Locality.Region {
			nodes++
		}
	}
	return crossRegionEvery * max(1, (nodes+crossRegionNodes-1)/crossRegionNodes)
}

// crossRegionPeer returns a random available node, from another region if there is one.
func (n *Node) crossRegionPeer() (cyclam.InstanceName, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	var far, near []cyclam.InstanceName
	for name, m := range n.fleet.members {
		switch {
		case m.unavailable(now):
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

// exchangeWith exchanges knowledge with a node of the fleet.
func (n *Node) exchangeWith(ctx context.Context, name cyclam.InstanceName) error {
	address, region, err := n.addressOf(name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := n.link(address).connect(ctx)
	if err == nil {
		err = n.exchangeFor(ctx, wire.NewDoorClient(conn), audience{region: region})
	}
	n.noteExchange(name, err)
	return cyclam.AtStep("exchange", address, err)
}

// addressOf returns the address and the region of an instance's node.
func (n *Node) addressOf(name cyclam.InstanceName) (string, cyclam.Region, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.fleet.members[name]
	if !ok {
		return "", "", errors.Errorf("node %s is not in the fleet", name)
	}
	return m.view.Endpoint.Control, m.view.Endpoint.Locality.Region, nil
}

// staleCheck reads the store for a node whose sources have lost contact with it.
type staleCheck struct {
	node *Node
	// reads is the number of consecutive reads; nextAt is the earliest time of the next
	// one.
	reads  int
	nextAt time.Time
}

// run reads the store if the configuration is stale and a read is due.
func (s *staleCheck) run(ctx context.Context) {
	now := time.Now()
	age := min(s.node.storeAge(), now.Sub(s.node.startTime))
	switch {
	case age <= s.node.staleAge():
		s.reads = 0
	case !now.Before(s.nextAt):
		s.node.readConfigOnce(ctx, age)
		s.nextAt = now.Add(retryDelay(s.reads))
		s.reads++
	}
}
