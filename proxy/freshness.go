package proxy

import (
	"context"
	"sync"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/fanout"
	"github.com/cyclamensaddle/cyclam/router"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// renewedWatchWait is the mean time that a watch of the configuration waits at the
	// store if the word is renewed besides.
	renewedWatchWait = 8 * time.Second
	// changeWait is how long the watch may take to deliver a change that the store is known
	// to have.
	changeWait = 1200 * time.Millisecond
	// renewalPause and renewalCheck are the shortest and the longest time between two looks
	// at the age of the word.
	renewalPause = 20 * time.Millisecond
	renewalCheck = 250 * time.Millisecond
)

// steadyTime returns a reading of a clock that never jumps and that counts the time for
// which the machine is suspended. Readings of different nodes can't be compared.
func (n *Node) steadyTime() time.Duration {
	if n.suspendedClock != nil {
		return n.suspendedClock()
	}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(n.startTime)
	}
	return time.Duration(now.Nano())
}

// storeAge returns the time since the version in force was known to be the store's newest.
func (n *Node) storeAge() time.Duration {
	f := n.freshness.Load()
	if f == nil {
		return fanout.Unknown
	}
	return f.Age(n.steadyTime())
}

// hasWord reports whether the node has ever had a word on the version in force, or needs none.
func (n *Node) hasWord() bool { return n.freshness.Load() != nil || n.renewal().Limit <= 0 }

// tableWithAge returns the routing table in force and an age of it. The age is read first: a
// table that is applied in between is younger.
func (n *Node) tableWithAge() (*router.Table, time.Duration) {
	age := n.storeAge()
	return n.current.Load(), age
}

// noteFreshness records that at the time sent-age the version in force, or one before it, was
// the store's newest.
func (n *Node) noteFreshness(sent, age time.Duration) {
	for {
		held := n.freshness.Load()
		var next fanout.Freshness
		if held != nil {
			next = *held
		}
		next = next.WithWord(sent, age)
		if held != nil && next == *held || n.freshness.CompareAndSwap(held, &next) {
			return
		}
	}
}

// noteStoreWord records what another node has said of the store in its answer to a question
// that was sent at a time. A probe says nothing.
func (n *Node) noteStoreWord(k *wire.Knowledge, sent time.Duration) {
	if k.Self == nil || k.StoreAgeUs < 0 || k.StoreAgeUs >= fanout.Unknown.Microseconds() {
		return
	}
	if n.configHistory.newest().covers(configIDOf(k)) {
		n.noteFreshness(sent, microseconds(k.StoreAgeUs))
	}
}

// storeReading is how far a reader has read the configuration in the store.
type storeReading struct {
	mu sync.Mutex
	// at is the position up to which it was read; zero if it was not.
	at cyclam.Position
	// covered is set if the configuration in force covers the last one that was read, which
	// may be invalid.
	covered bool
}

// note records that the store was read up to a position, and whether the configuration in
// force covers what was read there.
func (r *storeReading) note(at cyclam.Position, covered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Before(r.at) {
		return
	}
	r.at, r.covered = at, covered
}

// advance records that nothing has changed up to a position, and reports whether the
// configuration in force covers the last one that was read.
func (r *storeReading) advance(at cyclam.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at.Before(at) {
		r.at = at
	}
	return r.covered
}

// position returns the position up to which the store was read; zero if it was not.
func (r *storeReading) position() cyclam.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

// applyConfigEvent applies a change of the configuration.
func (n *Node) applyConfigEvent(r *storeReading, e cyclam.ObjectEvent) {
	if e.Object.Name == n.Dialect.ConfigKey().Name && !e.Deleted {
		r.note(e.Object.Position, n.applyConfig(e.Object.Spec, e.Object.Era, "store"))
	}
}

// noteStoreAnswer records that the store has answered a question sent at a time, and that the
// changes up to a position have been applied.
func (n *Node) noteStoreAnswer(r *storeReading, sent time.Duration, at cyclam.Position) {
	if r.advance(at) {
		n.noteFreshness(sent, 0)
	}
}

// renewal returns when the node asks the store whether its version is still the newest. It
// does not unless the configuration has teams whose credentials are withdrawn strictly.
func (n *Node) renewal() fanout.Renewal {
	if t := n.current.Load(); t == nil || t.Teams == nil {
		return fanout.Renewal{}
	}
	return fanout.Renewal{
		Limit: n.gate().Withdrawal,
	}
}

// renewWord asks the store whether the configuration has changed whenever the word on it has
// become too old, until ctx ends. The answer is hardly older than the question. A change is
// left to the watch.
func (n *Node) renewWord(ctx context.Context, r *storeReading) {
	store, ok := n.Platform.(cyclam.Checker)
	if !ok {
		return
	}
	failures := 0
	for ctx.Err() == nil {
		renewal := n.renewal()
		if renewal.Limit <= 0 {
			sleep(ctx, 4*renewalCheck)
			continue
		}
		from := r.position()
		due := renewal.Due(n.plan()) - n.storeAge()
		if due > 0 || from.IsZero() {
			sleep(ctx, min(max(renewalPause, due), renewalCheck))
			continue
		}
		sent := n.steadyTime()
		at, changed, err := store.Changed(ctx, from, n.Dialect.ConfigKey().Kind)
		n.meters.countStoreCall("renew", err)
		switch {
		case errors.Is(err, cyclam.ErrCompacted):
			// The watch begins at the same position, or an earlier one.
			n.awaitChange(ctx, r, from, true)
		case err != nil:
			n.Log.Debug("word-not-renewed", "age", n.storeAge(), "error", err)
			sleep(ctx, retryDelay(failures))
			failures++
		case changed:
			n.awaitChange(ctx, r, from, failures > 0)
			failures = 0
		default:
			failures = 0
			n.noteStoreAnswer(r, sent, at)
			sleep(ctx, renewalPause)
		}
	}
}

// awaitChange waits until the watch has delivered what the store has after a position. A
// watch that takes too long is taken for dead and ended. So is one at once if the store was
// just out of reach, which may have cost its connection.
func (n *Node) awaitChange(ctx context.Context, r *storeReading, from cyclam.Position, doubted bool) {
	for waited := time.Duration(0); !doubted && waited < changeWait; waited += renewalPause {
		if !sleep(ctx, renewalPause) || r.position() != from {
			return
		}
	}
	n.noteVersion(n.version()+1, n.self.Instance)
	sleep(ctx, renewalCheck)
}

// staleAge returns the age of the version in force from which a node that does not read the
// store no longer relies on its sources.
func (n *Node) staleAge() time.Duration {
	if r := n.renewal(); r.Limit > 0 {
		return r.Due(fanout.Plan{})
	}
	return maxStaleness
}

// readConfigOnce reads the configuration from the store, because no source has been in
// recent contact with it.
func (n *Node) readConfigOnce(ctx context.Context, age time.Duration) {
	sent := n.steadyTime()
	list, err := n.Platform.List(ctx, n.Dialect.ConfigKey().Kind)
	n.meters.countStoreCall("list", err)
	n.Log.Warn("config-sources-stale", "age", age, "error", err)
	if err != nil {
		return
	}
	covered := n.applyConfigList(list)
	if known, _ := n.storeEras.Current(); covered && list.Era >= known {
		n.noteFreshness(sent, 0)
	}
}
