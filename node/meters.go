package node

import (
	"context"
	"sync"
	"sync/atomic"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	rpc "google.golang.org/grpc/stats"
)

// meters holds the node's metrics.
type meters struct {
	done        metrics.Counter
	notRun      metrics.Counter
	unknown     metrics.Counter
	sends       metrics.Counter
	starts      metrics.Counter
	calls       metrics.Timer
	converge    metrics.Timer
	controlIn   metrics.Counter
	controlOut  metrics.Counter
	crossRegion metrics.Counter
	platform    metrics.Counter
	platformBad metrics.Counter
	watches     metrics.Counter
	malformed   metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return meters{
		done:        counter("calls-done"),
		notRun:      counter("calls-not-run"),
		unknown:     counter("calls-unknown"),
		sends:       counter("attempts-sent"),
		starts:      counter("work-started"),
		calls:       metrics.NewRegisteredTimer("call-time", r),
		converge:    metrics.NewRegisteredTimer("convergence-time", r),
		controlIn:   counter("control-bytes-in"),
		controlOut:  counter("control-bytes-out"),
		crossRegion: counter("control-bytes-cross-region"),
		platform:    counter("platform-calls"),
		platformBad: counter("platform-calls-failed"),
		watches:     counter("platform-watches-waiting"),
		malformed:   counter("control-messages-malformed"),
	}
}

func (n *Node) dialOptions(counter *byteCounter) []grpc.DialOption {
	if counter == nil {
		counter = &byteCounter{
			meters: n.meters,
		}
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStatsHandler(counter),
		grpc.WithNoProxy(),
		grpc.WithContextDialer(n.Dial),
	}
}

// byteCounter counts the bytes of control traffic as they are on the wire, and
// apart those of links to a parent in another region.
type byteCounter struct {
	meters  meters
	foreign atomic.Bool
	early   atomic.Int64
	once    sync.Once
}

var _ rpc.Handler = (*byteCounter)(nil)

// notePeer learns from the parent's welcome whether the link crosses regions;
// what went before it is counted then.
func (c *byteCounter) notePeer(here cyclam.Locality, messages []cyclam.Message) {
	if c == nil {
		return
	}
	for _, message := range messages {
		welcome, ok := message.(cyclam.Welcome)
		if !ok {
			continue
		}
		c.once.Do(func() {
			if welcome.Self.Locality.Region != here.Region {
				c.foreign.Store(true)
				c.meters.crossRegion.Inc(c.early.Load())
			}
		})
	}
}

func (c *byteCounter) count(direction metrics.Counter, size int) {
	direction.Inc(int64(size))
	if c.foreign.Load() {
		c.meters.crossRegion.Inc(int64(size))
		return
	}
	c.early.Add(int64(size))
}

// TagRPC returns the context as it is.
func (c *byteCounter) TagRPC(ctx context.Context, _ *rpc.RPCTagInfo) context.Context { return ctx }

// HandleRPC counts payloads with their framing.
func (c *byteCounter) HandleRPC(_ context.Context, s rpc.RPCStats) {
	switch s := s.(type) {
	case *rpc.InPayload:
		c.count(c.meters.controlIn, s.WireLength)
	case *rpc.OutPayload:
		c.count(c.meters.controlOut, s.WireLength)
	}
}

// TagConn returns the context as it is.
func (c *byteCounter) TagConn(ctx context.Context, _ *rpc.ConnTagInfo) context.Context { return ctx }

// HandleConn ignores connections.
func (c *byteCounter) HandleConn(context.Context, rpc.ConnStats) {}
