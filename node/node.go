// Package node runs one node of the mesh under "cyclamensaddle node", for the data
// plane and the control plane. It turns network input and timers into events for
// package core and performs the effects that core returns.
//
// Its counterpart under "cyclamensaddle sidecar", for a hosting platform that brings
// its own store, settings and heartbeats, is package proxy.
package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/core"
	"github.com/cyclamensaddle/cyclam/setup"
	"github.com/cyclamensaddle/cyclam/trace"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
)

// ErrExit is returned by Run after a planned stop.
var ErrExit = errors.New("node has stopped")

// Node is a running node. Set the exported fields before Run; Settings,
// Platform and Log are required.
type Node struct {
	Settings setup.Settings
	Platform cyclam.Platform
	Log      hclog.Logger
	Metrics  metrics.Registry
	// Dial opens connections to other nodes. If nil, plain TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnVersion, if not nil, is called with each configuration version that
	// takes effect on this node and the time at which it does. It runs under
	// the node's lock and must not block.
	OnVersion func(cyclam.Version, time.Time)

	self        cyclam.Endpoint
	tracer      *trace.Tracer
	meters      meters
	clients     *clients
	cancelConns *connPool
	statuses    *statusWriter
	chunks      *chunkTracker
	exit        chan string

	mu       sync.Mutex
	started  bool
	stopping bool
	state    core.State
	links    map[cyclam.LinkID]*link
	// calls and attempts hold the effect channel of each call of a caller and of
	// each attempt on the local upstream that is in progress.
	calls    map[cyclam.CallID]chan cyclam.Effect
	attempts map[cyclam.AttemptID]chan cyclam.Effect
	// cancelWaiters holds the channels on which cancels wait for their answer.
	cancelWaiters map[cyclam.AttemptID][]chan bool
	ctx           context.Context

	leaving  atomic.Bool
	nextCall atomic.Uint64
	nextLink atomic.Uint64
}

// Run serves until the context ends or a planned stop is complete. It returns
// ErrExit after a planned stop.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.prepare(ctx)
	if n.stopping {
		return ErrExit
	}
	if err := n.tracer.Start(ctx); err != nil {
		return cyclam.AtStep("start tracing", n.Settings.Instance, err)
	}
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	n.serve(ctx, group, listeners)
	group.Go(func() error { return n.tick(ctx) })
	group.Go(func() error { return n.probeUpstream(ctx) })
	group.Go(func() error { return n.writeStatuses(ctx) })
	group.Go(func() error { return n.awaitExit(ctx) })
	n.Log.Info("node-started",
		"instance", n.self.Instance,
		"incarnation", n.self.Incarnation,
		"service", n.self.Service,
		"data-centre", n.self.Locality.DataCentre,
	)
	err = group.Wait()
	_ = n.tracer.Stop(context.WithoutCancel(ctx))
	return err
}

func (n *Node) prepare(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.started = true
	now := time.Now()
	n.self = n.Settings.Endpoint(cyclam.Incarnation(now.UnixNano()))
	if n.Metrics == nil {
		n.Metrics = metrics.NewRegistry()
	}
	n.meters = newMeters(n.Metrics)
	if n.Dial == nil {
		n.Dial = dialTCP
	}
	n.clients = newClients(n.Settings.Upstream, n.Dial)
	n.cancelConns = &connPool{
		options: n.dialOptions(nil),
	}
	n.statuses = newStatusWriter(n.Platform)
	n.chunks = &chunkTracker{}
	n.exit = make(chan string, 1)
	n.links = map[cyclam.LinkID]*link{}
	n.calls = map[cyclam.CallID]chan cyclam.Effect{}
	n.attempts = map[cyclam.AttemptID]chan cyclam.Effect{}
	n.cancelWaiters = map[cyclam.AttemptID][]chan bool{}
	n.ctx = ctx
	n.state = core.New(n.self, n.Settings.CoreTuning(), now)
	n.tracer = &trace.Tracer{
		Instance: n.Settings.Instance,
		File:     n.Settings.Trace.File,
		OTLP:     n.Settings.Trace.OTLP,
		Ratio:    n.Settings.Trace.Ratio,
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

type listeners struct {
	calls, data, control, admin net.Listener
}

func (n *Node) listen() (listeners, error) {
	var out listeners
	for _, l := range []struct {
		step    string
		address string
		dst     *net.Listener
	}{
		{"listen for calls", n.Settings.Listen.Calls, &out.calls},
		{"listen for data", n.Settings.Listen.Data, &out.data},
		{"listen for control", n.Settings.Listen.Control, &out.control},
		{"listen for admin", n.Settings.Listen.Admin, &out.admin},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return out, cyclam.AtStep(l.step, l.address, err)
		}
		*l.dst = listener
	}
	return out, nil
}

// serve starts the servers; each stops when the context ends.
func (n *Node) serve(ctx context.Context, group *errgroup.Group, l listeners) {
	n.serveHTTP(ctx, group, l.calls, n.handleCall)
	n.serveHTTP(ctx, group, l.data, n.handleData)
	n.serveHTTP(ctx, group, l.admin, n.handleAdmin)
	server := grpc.NewServer(grpc.StatsHandler(&byteCounter{
		meters: n.meters,
	}))
	wire.RegisterPeerServer(server, &peerServer{
		node: n,
	})
	group.Go(func() error {
		return cyclam.AtStep("serve control", l.control.Addr().String(), server.Serve(l.control))
	})
	group.Go(func() error {
		<-ctx.Done()
		server.Stop()
		return nil
	})
}

// shutdownTimeout is the maximum wait for open connections to close at
// shutdown.
const shutdownTimeout = time.Second

// serveHTTP serves HTTP on the listener until the context ends. It closes the
// listener itself, because fasthttp does not know the listener until Serve has
// begun and a shutdown before that would leave it open.
func (n *Node) serveHTTP(ctx context.Context, group *errgroup.Group, listener net.Listener, handler fasthttp.RequestHandler) {
	server := &fasthttp.Server{
		Handler:               handler,
		ReadBufferSize:        n.Settings.Limits.HeaderBytes,
		MaxRequestBodySize:    n.Settings.Limits.BodyBytes,
		Concurrency:           n.Settings.Limits.Connections,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger: debugLogger{
			log: n.Log,
		},
		ErrorHandler: n.refuseMalformed,
	}
	group.Go(func() error {
		return cyclam.AtStep("serve", listener.Addr().String(), server.Serve(listener))
	})
	group.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.ShutdownWithContext(shutdownCtx)
		_ = listener.Close()
		return nil
	})
}

// debugLogger forwards the log lines of fasthttp as debug events.
type debugLogger struct {
	log hclog.Logger
}

// Printf implements fasthttp.Logger.
func (q debugLogger) Printf(format string, args ...any) {
	q.log.Debug("http-server", "detail", hclog.Fmt(format, args...))
}

// Stop begins a planned stop. Run returns once no calls or attempts are in
// flight; if Run has not started yet, it returns at once.
func (n *Node) Stop() {
	n.leaving.Store(true)
	n.mu.Lock()
	n.stopping = true
	started := n.started
	n.mu.Unlock()
	if !started {
		return
	}
	n.dispatch(cyclam.StopRequested{
		Stamp: stamp(),
	})
}

func (n *Node) awaitExit(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case reason := <-n.exit:
		n.Log.Info("node-stopped", "reason", reason)
		return ErrExit
	}
}

// tickInterval is the interval of Tick events, which drive the timeouts of
// package core.
const tickInterval = 50 * time.Millisecond

func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.dispatch(cyclam.Tick{
				Stamp: stamp(),
			})
		}
	}
}

// probeUpstream checks the health of the local upstream at the configured
// interval. A failed probe is only a hint; package core decides whether the
// upstream is down.
func (n *Node) probeUpstream(ctx context.Context) error {
	ticker := time.NewTicker(n.Settings.Upstream.ProbeInterval)
	defer ticker.Stop()
	for {
		healthy := n.clients.healthy()
		n.dispatch(cyclam.UpstreamProbed{
			Stamp:   stamp(),
			Healthy: healthy,
		})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func stamp() cyclam.Stamp {
	return cyclam.Stamp{
		Now: time.Now(),
	}
}
