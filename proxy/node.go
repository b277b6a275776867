package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/budget"
	"github.com/cyclamensaddle/cyclam/origin"
	"github.com/cyclamensaddle/cyclam/pace"
	"github.com/cyclamensaddle/cyclam/picker"
	"github.com/cyclamensaddle/cyclam/router"
	"github.com/cyclamensaddle/cyclam/sched"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
)

// Node is one node; set its exported fields before Run.
type Node struct {
	Settings Settings
	Platform cyclam.Platform
	Dialect  cyclam.Dialect
	Log      hclog.Logger
	Metrics  metrics.Registry
	// Dial connects to other nodes and to the upstream; nil uses plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	self   cyclam.Identity
	began  time.Time
	meters meters
	origin *origin.Pool
	next   atomic.Uint64
	// hint is signalled when another node shows a newer configuration.
	hint chan hint
	// up is set once Run has prepared everything that other methods use.
	up atomic.Bool
	// exitAt is when a stopping process has to be done, closeAt when it takes
	// nothing more from other nodes.
	exitAt  atomic.Pointer[time.Time]
	closeAt atomic.Pointer[time.Time]
	// grace is the time from a stop to the end, in nanoseconds.
	grace  atomic.Int64
	server *http.Server

	current atomic.Pointer[router.Table]
	texts   texts
	// storeAt is when the version in force was the store's newest, as far as is
	// known, in nanoseconds since began.
	storeAt  atomic.Int64
	stopping atomic.Bool
	clients  atomic.Int64

	mu     sync.Mutex
	fleet  fleet
	splits map[string]router.Split
	// sizes holds the mean bytes of a route's requests and answers.
	sizes   map[string]float64
	budgets map[cyclam.ServiceName]budget.State
	placing picker.Tuning

	doorMu sync.Mutex
	door   sched.State
	jobs   map[cyclam.AttemptID]*job
	// running counts the attempts at the own upstream by their callers' ids.
	running map[string]int
	fenced  fences
	// answers holds the mean bytes of the own upstream's answers by route.
	answers  map[string]float64
	upstream upstreamState

	out outgoing

	linkMu sync.Mutex
	links  map[string]*link

	entry     ownEntry
	wakeEntry chan struct{}
}

// failureCost is the time that a failed answer is taken to cost a caller; a
// typical goal of the deployments.
const failureCost = 600 * time.Millisecond

// The weights of a kilobyte between places: the platform charges about four
// times as much between regions as between data centres of one.
const (
	centreCost = 4 * time.Millisecond
	regionCost = 15 * time.Millisecond
)

// firstServiceTime is assumed of an upstream of which nothing is known.
const firstServiceTime = 200 * time.Millisecond

func (n *Node) prepare() {
	n.began = time.Now()
	n.grace.Store(int64(n.Settings.Grace))
	n.Settings.Self.Incarnation = cyclam.Incarnation(rand.Uint64() >> 1)
	n.Settings.Self.Sequence = 1
	n.Settings.Self.State = cyclam.EndpointDown
	n.self = n.Settings.Self.Identity
	if n.Metrics == nil {
		n.Metrics = metrics.NewRegistry()
	}
	n.meters = newMeters(n.Metrics)
	if n.Dial == nil {
		n.Dial = origin.DialTCP
	}
	n.origin = &origin.Pool{
		Address: n.Settings.Upstream,
		Dialect: n.Dialect,
		Dial:    n.Dial,
	}
	n.hint = make(chan hint, 1)
	n.wakeEntry = make(chan struct{}, 1)
	n.fleet = newFleet(n.Settings.Self)
	n.splits = map[string]router.Split{}
	n.sizes = map[string]float64{}
	n.budgets = map[cyclam.ServiceName]budget.State{}
	n.placing = picker.Tuning{
		FailureCost:        failureCost,
		CentreCost:         centreCost,
		RegionCost:         regionCost,
		InitialServiceTime: firstServiceTime,
	}
	n.door = sched.New(sched.Tuning{
		Slots: int(n.Settings.Self.Slots),
		Drain: n.Settings.Drain,
	})
	n.jobs = map[cyclam.AttemptID]*job{}
	n.running = map[string]int{}
	n.answers = map[string]float64{}
	n.links = map[string]*link{}
	n.out.state = pace.State{
		Rate: paceShare * n.Settings.LinkRate,
	}
}

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) error {
	n.prepare()
	tuneMemory(n.Settings.MemoryLimit)
	callers, err := net.Listen("tcp", n.Settings.Callers)
	if err != nil {
		return cyclam.AtStep("listen for callers", n.Settings.Callers, err)
	}
	peers, err := net.Listen("tcp", n.Settings.Self.Control)
	if err != nil {
		return cyclam.AtStep("listen for nodes", n.Settings.Self.Control, err)
	}
	group, ctx := errgroup.WithContext(ctx)
	n.Log.Info("node-started",
		"instance", n.self.Instance,
		"incarnation", n.self.Incarnation,
		"service", n.Settings.Self.Service,
		"data-centre", n.Settings.Self.Locality.DataCentre,
	)
	n.serveCallers(ctx, group, callers)
	n.servePeers(ctx, group, peers)
	n.up.Store(true)
	group.Go(func() error { return n.followConfig(ctx) })
	group.Go(func() error { return n.watchFleet(ctx) })
	group.Go(func() error { return n.keepEntry(ctx) })
	group.Go(func() error { return n.identify(ctx) })
	group.Go(func() error { return n.tick(ctx) })
	return group.Wait()
}

// Ready reports whether callers may be sent here.
func (n *Node) Ready() bool {
	if !n.up.Load() || n.stopping.Load() || n.current.Load() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.known
}

// tickEvery is the interval at which waiting work is looked at again.
const tickEvery = 25 * time.Millisecond

func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	turned := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.decide(func(s sched.State) (sched.State, []sched.Decision) { return s.Tick(now) })
			if now.Sub(turned) >= time.Second {
				turned = now
				n.origin.Expire()
				n.forgetJobs(now)
				go n.forgetLost(ctx, now)
			}
		}
	}
}

const (
	// readyMisses is how long the platform takes to stop sending new callers.
	readyMisses = 2500 * time.Millisecond
	// workTime is how long a stopping node still takes work: callers stay for
	// longer, and its upstream goes on.
	workTime = 1200 * time.Millisecond
	// exitMargin is kept free before the process would be killed.
	exitMargin = 700 * time.Millisecond
	// exitPoll is the interval at which a stopping node looks whether it is idle.
	exitPoll = 50 * time.Millisecond
)

// Stop makes a planned stop: nothing new is taken from other nodes, callers are
// served until they have gone elsewhere, and what is in flight ends. It returns
// when the process may exit.
func (n *Node) Stop(ctx context.Context) {
	if !n.up.Load() || !n.stopping.CompareAndSwap(false, true) {
		return
	}
	began := time.Now()
	grace := time.Duration(n.grace.Load())
	exitAt := began.Add(grace - exitMargin)
	closeAt := began.Add(workTime)
	n.exitAt.Store(&exitAt)
	n.closeAt.Store(&closeAt)
	time.AfterFunc(workTime, n.announce)
	n.Log.Info("stop-begun", "grace", grace)
	for time.Since(began) < readyMisses || !n.idle() && time.Now().Before(exitAt) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(exitPoll):
		}
	}
	ctx, cancel := context.WithDeadline(ctx, exitAt)
	defer cancel()
	err := n.server.Shutdown(ctx)
	n.leaveStore(ctx)
	n.Log.Info("node-stopped", "after", time.Since(began), "callers-in-flight", n.clients.Load(), "error", err)
}

// closed reports whether a stopping node takes nothing more from other nodes.
func (n *Node) closed(now time.Time) bool {
	closeAt := n.closeAt.Load()
	return closeAt != nil && !now.Before(*closeAt)
}

// tooLate reports whether a request that may take some time can't end before
// the process does. Until the platform has noticed the stop all are taken.
func (n *Node) tooLate(now time.Time, timeout time.Duration) bool {
	exitAt := n.exitAt.Load()
	closeAt := n.closeAt.Load()
	if exitAt == nil || closeAt == nil || now.Before(closeAt.Add(readyMisses-workTime)) {
		return false
	}
	return now.Add(timeout).After(*exitAt)
}

func (n *Node) idle() bool {
	n.doorMu.Lock()
	defer n.doorMu.Unlock()
	return n.clients.Load() == 0 && !n.door.Busy()
}

// serveCallers runs the HTTP server for callers until the context ends.
func (n *Node) serveCallers(ctx context.Context, group *errgroup.Group, listener net.Listener) {
	idle := &idleConns{
		since: map[net.Conn]time.Time{},
	}
	n.server = &http.Server{
		Handler:           http.HandlerFunc(n.handle),
		ReadHeaderTimeout: headerTimeoutCap,
		ConnState:         idle.changed,
		ErrorLog:          n.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	group.Go(func() error {
		err := n.server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return cyclam.AtStep("serve callers", listener.Addr().String(), err)
	})
	group.Go(func() error {
		idle.sweep(ctx, n.limits)
		return errors.Wrap(n.server.Close(), "close server for callers")
	})
}
