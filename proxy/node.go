package proxy

import (
	"context"
	cryptorand "crypto/rand"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/budget"
	"github.com/cyclamensaddle/cyclam/eras"
	"github.com/cyclamensaddle/cyclam/fanout"
	"github.com/cyclamensaddle/cyclam/guard"
	"github.com/cyclamensaddle/cyclam/origin"
	"github.com/cyclamensaddle/cyclam/pace"
	"github.com/cyclamensaddle/cyclam/picker"
	"github.com/cyclamensaddle/cyclam/procs"
	"github.com/cyclamensaddle/cyclam/router"
	"github.com/cyclamensaddle/cyclam/sched"
	"github.com/cyclamensaddle/cyclam/teams"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
)

// Node is one sidecar proxy. Set its exported fields before calling Run.
type Node struct {
	Settings Settings
	Platform cyclam.Platform
	Dialect  cyclam.Dialect
	// Rollouts reads and writes operators' rollouts; nil switches them off.
	Rollouts cyclam.RolloutStore
	Log      hclog.Logger
	Metrics  metrics.Registry
	// Clients counts and logs the clients that limits turn away; Run creates it if it is nil.
	Clients *ClientLog
	// Dial connects to other nodes and to the upstream; nil dials plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Listen opens the listeners for callers and for other nodes; nil opens TCP sockets.
	Listen func(address string) (net.Listener, error)

	self       cyclam.Identity
	startTime  time.Time
	meters     meters
	origin     *origin.Pool
	attemptSeq atomic.Uint64
	// configHint is signalled when another node reports a newer configuration.
	configHint chan versionHint
	// prepared is set once Run has initialised everything that other methods use.
	prepared atomic.Bool
	// stop holds the times of a planned stop; nil until Stop is called. Calls end when the
	// context calls does, which endCalls ends.
	stop     atomic.Pointer[stopTimes]
	calls    context.Context
	endCalls context.CancelFunc
	// grace is the time between Stop and the kill, in nanoseconds.
	grace   atomic.Int64
	server  *http.Server
	callers callerConns
	peers   *grpc.Server

	current       atomic.Pointer[router.Table]
	configHistory configHistory
	// teamSecret is the key of the hash by which credentials are looked up.
	teamSecret teams.Secret
	// freshness tells how recently the version in force was the store's newest.
	freshness atomic.Pointer[fanout.Freshness]
	// suspendedClock reads a clock that also counts the time for which the machine is
	// suspended; nil reads that of the system.
	suspendedClock  func() time.Duration
	stopping        atomic.Bool
	callersInFlight atomic.Int64
	// revocations is the number of revocations that have not been confirmed.
	revocations atomic.Int64

	mu     sync.Mutex
	fleet  fleet
	splits map[string]router.Split
	// exchangeBytes holds the mean bytes of a request plus its answer, by route.
	exchangeBytes map[string]float64
	budgets       map[cyclam.ServiceName]budget.State
	// callsOf holds what runs of a route call, by route.
	callsOf    map[string]calls
	pickTuning picker.Tuning

	schedMu   sync.Mutex
	scheduler sched.State
	jobs      map[cyclam.AttemptID]*job
	// runningByID counts the attempts running at the local upstream by request id.
	runningByID map[string]int
	// calledByID counts the requests that they have made, by service.
	calledByID map[string]map[cyclam.ServiceName]uint32
	// nestedOf tells of the nested requests of running ones, by request id.
	nestedOf map[string]nestedCalls
	fences   fenceSets
	// answerBytes holds the mean bytes of the local upstream's answers, by route.
	answerBytes map[string]float64
	upstream    upstreamState
	// crashes tells which requests were running when the upstream's process ended.
	crashes crashWatch
	// quarantine holds what is known of requests that end upstreams.
	quarantine quarantine
	// ownNotices holds what other nodes were told of the local upstream, by its id.
	ownNotices map[string]notice

	// spending bounds how many requests of each team are admitted.
	spending spending

	pacer   linkPacer
	inbound inbound
	// answers counts the memory of the answers that the node holds.
	answers answerMemory
	// bodies bounds the memory of the request bodies that the node holds.
	bodies bodyMemory
	// smallBodies and heads bound that of small bodies and of large headers.
	smallBodies bodyMemory
	heads       bodyMemory
	bodySeq     atomic.Uint64
	// clientLimits are the limits on clients.
	clientLimits guard.Limits

	linkMu sync.Mutex
	links  map[string]*link

	rollouts rollouts

	// storeEras also counts the eras that other nodes report.
	storeEras eras.Tracker
	entry     ownEntry
	wakeEntry chan struct{}
	// wakeSettle is signalled when a health check is to decide which process is at the
	// upstream's address.
	wakeSettle chan struct{}
}

// failureCost is the latency that a failed answer counts for when picking a node;
// it equals a typical latency goal of the deployments.
const failureCost = 600 * time.Millisecond

// firstServiceTime is the service time assumed for an upstream without samples.
const firstServiceTime = 200 * time.Millisecond

func (n *Node) prepare() {
	n.startTime = time.Now()
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
	if n.Listen == nil {
		n.Listen = listenTCP
	}
	n.origin = &origin.Pool{
		Address: n.Settings.Upstream,
		Dialect: n.Dialect,
		Dial:    n.Dial,
	}
	n.calls, n.endCalls = context.WithCancel(context.Background())
	n.configHint = make(chan versionHint, 1)
	_, _ = cryptorand.Read(n.teamSecret[:])
	n.wakeEntry = make(chan struct{}, 1)
	n.wakeSettle = make(chan struct{}, 1)
	n.fleet = newFleet(n.Settings.Self)
	n.splits = map[string]router.Split{}
	n.exchangeBytes = map[string]float64{}
	n.budgets = map[cyclam.ServiceName]budget.State{}
	n.pickTuning = picker.Tuning{
		FailureCost:        failureCost,
		Prices:             n.Settings.Prices,
		InitialServiceTime: firstServiceTime,
	}
	n.scheduler = sched.New(sched.Tuning{
		Slots: int(n.Settings.Self.Slots),
		Drain: n.Settings.Drain,
	})
	n.jobs = map[cyclam.AttemptID]*job{}
	n.runningByID = map[string]int{}
	n.calledByID = map[string]map[cyclam.ServiceName]uint32{}
	n.callsOf = map[string]calls{}
	n.nestedOf = map[string]nestedCalls{}
	n.answerBytes = map[string]float64{}
	n.ownNotices = map[string]notice{}
	n.upstream.procs = procs.New(n.startTime)
	n.links = map[string]*link{}
	n.spending.prepare(n)
	n.prepareLimits()
	n.pacer.state = pace.State{
		Rate: paceShare * n.Settings.LinkRate,
	}
	n.inbound.state = pace.Inbound{
		Rate: paceShare * n.Settings.LinkRate,
	}
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Run serves callers and other nodes until ctx ends. It returns an error if a
// listener can't be opened or a server fails.
func (n *Node) Run(ctx context.Context) error {
	n.prepare()
	tuneMemory(n.Settings.Cores, n.Settings.MemoryLimit)
	callers, err := n.Listen(n.Settings.Callers)
	if err != nil {
		return cyclam.AtStep("listen for callers", n.Settings.Callers, err)
	}
	peers, err := n.Listen(n.Settings.Self.Control)
	if err != nil {
		return cyclam.AtStep("listen for other nodes", n.Settings.Self.Control, err)
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
	n.prepared.Store(true)
	group.Go(func() error { return n.followConfig(ctx) })
	group.Go(func() error { return n.watchFleet(ctx) })
	group.Go(func() error { return n.runEntryWriter(ctx) })
	group.Go(func() error { return n.settleUpstream(ctx) })
	group.Go(func() error { return n.decideRollouts(ctx) })
	group.Go(func() error { return n.reportSpending(ctx) })
	group.Go(func() error { return n.tick(ctx) })
	return group.Wait()
}

// Ready reports whether the platform may send callers to this node: it is not
// stopping, and it knows a configuration, with a word on it where one is needed, and the
// other nodes.
func (n *Node) Ready() bool {
	if !n.prepared.Load() || n.stopping.Load() || n.current.Load() == nil || !n.hasWord() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.known
}

// tickInterval is the interval at which the scheduler re-evaluates queued work.
const tickInterval = 25 * time.Millisecond

func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastExpiry := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.decide(func(s sched.State) (sched.State, []sched.Decision) { return s.Tick(now) })
			if now.Sub(lastExpiry) >= time.Second {
				lastExpiry = now
				n.origin.Expire()
				n.callers.logClosed()
				n.relieveAnswers(now)
				n.Clients.Flush()
				n.logRateLimit(now)
				n.meters.updateConfigAge(n.storeAge())
				n.recheckRateLimit(ctx, now)
				n.mu.Lock()
				n.fleet.expireNotices(now)
				n.fleet.expireFinished(now)
				typical := picker.MeanServiceTime(n.fleet.candidates(n.Settings.Self.Service))
				n.mu.Unlock()
				n.decide(func(s sched.State) (sched.State, []sched.Decision) { return s.WithServiceTimeHint(typical), nil })
				n.cancelAbandoned(ctx, now)
				n.expireReports(now)
				n.expireJobs(now)
				go n.deleteUnreachable(ctx, now)
			}
		}
	}
}

// serveCallers runs the HTTP server for callers until the context ends. The server has no
// time-outs of its own: callerConn applies those of the configuration in force.
func (n *Node) serveCallers(ctx context.Context, group *errgroup.Group, listener net.Listener) {
	n.callers.Listener = listener
	n.callers.log, n.callers.limits = n.Log, n.limits
	n.callers.conns = map[*callerConn]struct{}{}
	n.callers.most, n.callers.clients, n.callers.heads = n.clientLimits.Callers, n.Clients, &n.heads
	n.server = &http.Server{
		ConnContext: withCallerConn,
		Handler:     http.HandlerFunc(n.handle),
		ConnState:   n.callers.track,
		ErrorLog:    n.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}),
	}
	group.Go(func() error {
		err := n.server.Serve(&n.callers)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return cyclam.AtStep("serve callers", listener.Addr().String(), err)
	})
	group.Go(func() error {
		<-ctx.Done()
		return errors.Wrap(n.server.Close(), "close callers' server")
	})
}
