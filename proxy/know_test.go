package proxy

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

func TestNoConfiguration(t *testing.T) {
	s := &site{
		t:        t,
		platform: newMemPlatform(),
	}
	n := s.start("front", nil, nil)
	s.until("it listens", func() bool {
		_, _, _, err := s.ask(t.Context(), n, http.MethodGet, "/read/x", time.Second)
		return err == nil
	})
	s.want(n, http.MethodGet, "/read/x", http.StatusServiceUnavailable)
	if n.Ready() {
		t.Error("ready without a configuration: got true, want false")
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	s := newSite(t)
	n := s.start("front", nil, nil)
	s.settle(n)
	s.platform.apply(t, testConfig(9))
	s.until("version 9 is in force", func() bool { return n.version() == 9 })
	s.platform.apply(t, testConfig(4))
	s.platform.apply(t, testConfig(12))
	s.until("version 12 is in force", func() bool { return n.version() == 12 })
	n.configure([]byte(`{"Version":11}`), "test")
	n.configure([]byte(`{"Version":`), "test")
	if got, want := n.version(), cyclam.Version(12); got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
}

// A watch that has gone deaf is replaced once another node shows a newer version.
func TestDeafWatch(t *testing.T) {
	s := newSite(t)
	n := s.start("front", nil, nil)
	s.settle(n)
	s.platform.muteWatches.Store(true)
	s.platform.apply(t, testConfig(5))
	// Several hints come while older versions are still on their way.
	n.noteVersion(2, "")
	<-time.After(50 * time.Millisecond)
	n.noteVersion(5, "")
	began := time.Now()
	s.until("version 5 is in force", func() bool { return n.version() == 5 })
	if got, want := time.Since(began), 2*time.Second; got > want {
		t.Errorf("in force after %v, want at most %v", got, want)
	}
}

// While the store is away, what is known stays in force.
func TestStoreAway(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	door, front := s.start("door", u, nil), s.start("front", nil, nil)
	s.settle(door, front)
	s.platform.down.Store(true)
	for range 5 {
		s.want(front, http.MethodPost, "/book/x", http.StatusOK)
	}
	s.platform.down.Store(false)
	s.platform.apply(t, testConfig(3))
	s.until("version 3 is in force", func() bool { return front.version() == 3 })
}

// A node that starts while the store is away learns everything from the others:
// they know it by its address, and its answers tell that it is a new process.
func TestRestartWhileStoreIsAway(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	front := s.start("front", nil, nil)
	first, stop := s.launch("door", u, nil)
	s.settle(first, front)
	s.want(front, http.MethodPost, "/book/x", http.StatusOK)
	s.platform.down.Store(true)
	address, callers := first.Settings.Self.Control, first.Settings.Callers
	stop()
	again := s.node("door", u, nil)
	again.Settings.Self.Control, again.Settings.Callers = address, callers
	s.run(again)
	s.until("requests reach the new process", func() bool {
		status, _, _, err := s.ask(t.Context(), front, http.MethodPost, "/book/x", time.Second)
		return err == nil && status == http.StatusOK
	})
	s.until("the new process knows the fleet and the configuration", again.Ready)
	s.want(again, http.MethodGet, "/read/x", http.StatusOK)
}

// Requests that come before a starting node has read its configuration wait for
// it, but not for long.
func TestStartHoldsRequests(t *testing.T) {
	s := &site{
		t:        t,
		platform: newMemPlatform(),
	}
	u := newUpstream(t, "u1")
	n := s.start("door", u, nil)
	s.until("it listens", n.prepared.Load)
	go func() {
		<-time.After(50 * time.Millisecond)
		s.platform.apply(t, testConfig(1))
	}()
	status, _, _, err := s.ask(t.Context(), n, http.MethodGet, "/nowhere/", 2*time.Second)
	if err != nil || status != http.StatusNotFound {
		t.Errorf("got %d, %v, want an answer by the configuration that came", status, err)
	}
}

// The entry of a node that is gone for good is deleted; one that lives and was
// only out of reach writes its entry again.
func TestLostNodeIsForgotten(t *testing.T) {
	s := newSite(t)
	u := newUpstream(t, "u1")
	w := &wires{}
	front := s.node("front", nil, w)
	front.Settings.ForgetAfter = 300 * time.Millisecond
	s.run(front)
	door, stop := s.launch("door", u, nil)
	s.settle(door, front)
	key := cyclam.Key{
		Kind: cyclam.KindEndpoint,
		Name: "door",
	}
	ask := func() {
		_, _, _, _ = s.ask(t.Context(), front, http.MethodPost, "/book/x", 200*time.Millisecond)
	}
	w.refuse.Store(true)
	w.cut()
	before, err := s.platform.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	s.until("the living node has written its entry again", func() bool {
		ask()
		after, err := s.platform.Get(t.Context(), key)
		return err == nil && after.Revision > before.Revision
	})
	stop()
	s.until("the entry of the dead node is gone", func() bool {
		ask()
		_, err := s.platform.Get(t.Context(), key)
		return errors.Is(err, cyclam.ErrNotFound)
	})
}

// Changed limits are taken over while the node runs.
func TestAdjust(t *testing.T) {
	s := newSite(t)
	n := s.start("front", nil, nil)
	s.settle(n)
	changed := n.Settings
	changed.Drain, changed.Grace = 70*time.Millisecond, 4*time.Second
	changed.Budget.Ratio = 0.05
	n.UpdateSettings(changed)
	n.schedMu.Lock()
	defer n.schedMu.Unlock()
	if got, want := n.scheduler.Tuning.Drain, changed.Drain; got != want {
		t.Errorf("drain: got %v, want %v", got, want)
	}
	if got, want := time.Duration(n.grace.Load()), changed.Grace; got != want {
		t.Errorf("grace: got %v, want %v", got, want)
	}
	if got, want := n.budgetOf("stock").Tuning.Ratio, 0.05; got != want {
		t.Errorf("ratio: got %v, want %v", got, want)
	}
}

// In a fleet with more nodes than readers a change reaches all of them, also
// while the readers of the store are gone, and few nodes read the store.
func TestChangeReachesAllNodes(t *testing.T) {
	s := newSite(t)
	var nodes []*Node
	stops := map[*Node]func(){}
	for i := range 9 {
		n, stop := s.launch("n"+strconv.Itoa(i), nil, nil)
		nodes = append(nodes, n)
		stops[n] = stop
	}
	s.settle(nodes...)
	isReader := func(n *Node) bool { return n.plan().Reader }
	readers := func() int {
		return len(slices.DeleteFunc(slices.Clone(nodes), func(n *Node) bool { return !isReader(n) }))
	}
	s.until("the others have left the store", func() bool { return readers() == feeding.Readers })
	inForce := func(version cyclam.Version, among []*Node) {
		t.Helper()
		began := time.Now()
		s.platform.apply(t, testConfig(version))
		s.until("the change is in force", func() bool {
			return !slices.ContainsFunc(among, func(n *Node) bool { return n.version() != version })
		})
		// The tighter of the platform's bounds for a configuration to be in force.
		if got, want := time.Since(began), 2*time.Second; got > want {
			t.Errorf("version %d in force after %v, want at most %v", version, got, want)
		}
	}
	inForce(2, nodes)
	left := slices.DeleteFunc(slices.Clone(nodes), isReader)
	for _, n := range nodes {
		if isReader(n) {
			stops[n]()
		}
	}
	s.platform.apply(t, testConfig(3))
	s.until("the rest has found another way", func() bool {
		return !slices.ContainsFunc(left, func(n *Node) bool { return n.version() != 3 })
	})
}

// A node chooses by loads that it has only heard of: the one of two doors that
// another node has found full is not chosen.
func TestLoadsArePassedOn(t *testing.T) {
	s := newSite(t)
	full, idle := newUpstream(t, "full"), newUpstream(t, "idle")
	full.work = takes(3 * time.Second)
	doorA, doorB := s.start("door-a", full, nil), s.start("door-b", idle, nil)
	front, other := s.start("front", nil, nil), s.start("other", nil, nil)
	s.settle(doorA, doorB, front, other)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 4 {
		go func() { _, _, _, _ = s.ask(ctx, doorA, http.MethodPost, "/book/x", 3*time.Second) }()
	}
	s.until("the upstream is full", func() bool { return full.runs.Load() >= 2 })
	s.until("the node has heard of it", func() bool {
		if front.ask(ctx, "door-a") != nil || other.ask(ctx, "front") != nil {
			return false
		}
		other.mu.Lock()
		defer other.mu.Unlock()
		m := other.fleet.members["door-a"]
		return m.view.Load.Running >= m.view.Load.Limit && m.view.Load.Limit > 0
	})
	before := full.runs.Load()
	for range 6 {
		s.want(other, http.MethodPost, "/book/x", http.StatusOK)
	}
	if got, want := full.runs.Load(), before; got != want {
		t.Errorf("runs at the full upstream: got %d, want %d", got, want)
	}
}

// waits records how long watches are asked to wait, and hears nothing.
type waits struct {
	*memPlatform
	spans []time.Duration
}

// Watch waits for its time and returns no change.
func (w *waits) Watch(ctx context.Context, from uint64, wait time.Duration, _ ...cyclam.Kind) (cyclam.ObjectChanges, error) {
	w.spans = append(w.spans, wait)
	if !sleep(ctx, wait) {
		return cyclam.ObjectChanges{}, ctx.Err()
	}
	return cyclam.ObjectChanges{
		Revision: from,
	}, nil
}

// The store may drop all watches that wait at one moment without a word. Those of
// the configuration end within three seconds, and not together.
func TestWatchesOfTheConfigurationAreSpread(t *testing.T) {
	// The metrics library starts a goroutine that never ends, outside of the bubble.
	meters := newMeters(metrics.NewRegistry())
	synctest.Test(t, func(t *testing.T) {
		platform := &waits{
			memPlatform: newMemPlatform(),
		}
		n := &Node{
			Platform:   platform,
			Dialect:    testDialect{},
			Log:        hclog.NewNullLogger(),
			configHint: make(chan hint, 1),
			meters:     meters,
			startTime:  time.Now(),
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		n.readConfig(ctx)
		if len(platform.spans) < 10 {
			t.Fatalf("got %d watches in a minute, want at least 10", len(platform.spans))
		}
		if got, want := slices.Max(platform.spans), 3*time.Second; got > want {
			t.Errorf("longest wait: got %v, want at most %v", got, want)
		}
		if got, want := slices.Max(platform.spans)-slices.Min(platform.spans), 500*time.Millisecond; got < want {
			t.Errorf("waits differ by %v, want at least %v", got, want)
		}
	})
}
