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

type meters struct {
	callsDone           metrics.Counter
	callsNotRun         metrics.Counter
	callsUnknown        metrics.Counter
	attemptsSent        metrics.Counter
	workStarted         metrics.Counter
	callTime            metrics.Timer
	convergenceTime     metrics.Timer
	controlBytesIn      metrics.Counter
	controlBytesOut     metrics.Counter
	crossRegionBytes    metrics.Counter
	platformCalls       metrics.Counter
	platformCallsFailed metrics.Counter
	watchesWaiting      metrics.Counter
	malformed           metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return meters{
		callsDone:           counter("calls-done"),
		callsNotRun:         counter("calls-not-run"),
		callsUnknown:        counter("calls-unknown"),
		attemptsSent:        counter("attempts-sent"),
		workStarted:         counter("work-started"),
		callTime:            metrics.NewRegisteredTimer("call-time", r),
		convergenceTime:     metrics.NewRegisteredTimer("convergence-time", r),
		controlBytesIn:      counter("control-bytes-in"),
		controlBytesOut:     counter("control-bytes-out"),
		crossRegionBytes:    counter("control-bytes-cross-region"),
		platformCalls:       counter("platform-calls"),
		platformCallsFailed: counter("platform-calls-failed"),
		watchesWaiting:      counter("platform-watches-waiting"),
		malformed:           counter("control-messages-malformed"),
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

// byteCounter is a gRPC stats handler that counts control traffic in bytes on
// the wire. It counts links to a parent in another region separately as well.
type byteCounter struct {
	meters      meters
	crossRegion atomic.Bool
	// unattributed is the number of bytes counted while the link is not known to
	// cross regions.
	unattributed atomic.Int64
	once         sync.Once
}

var _ rpc.Handler = (*byteCounter)(nil)

// observe reads the parent's region from its Welcome message. If the link
// crosses regions, the bytes sent and received before that message are added to
// the cross-region counter.
func (c *byteCounter) observe(local cyclam.Locality, messages []cyclam.Message) {
	if c == nil {
		return
	}
	for _, message := range messages {
		welcome, ok := message.(cyclam.Welcome)
		if !ok {
			continue
		}
		c.once.Do(func() {
			if welcome.Self.Locality.Region != local.Region {
				c.crossRegion.Store(true)
				c.meters.crossRegionBytes.Inc(c.unattributed.Load())
			}
		})
	}
}

func (c *byteCounter) count(direction metrics.Counter, size int) {
	direction.Inc(int64(size))
	if c.crossRegion.Load() {
		c.meters.crossRegionBytes.Inc(int64(size))
		return
	}
	c.unattributed.Add(int64(size))
}

// TagRPC implements stats.Handler.
func (c *byteCounter) TagRPC(ctx context.Context, _ *rpc.RPCTagInfo) context.Context { return ctx }

// HandleRPC counts the size of each message, including its framing.
func (c *byteCounter) HandleRPC(_ context.Context, s rpc.RPCStats) {
	switch s := s.(type) {
	case *rpc.InPayload:
		c.count(c.meters.controlBytesIn, s.WireLength)
	case *rpc.OutPayload:
		c.count(c.meters.controlBytesOut, s.WireLength)
	}
}

// TagConn implements stats.Handler.
func (c *byteCounter) TagConn(ctx context.Context, _ *rpc.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (c *byteCounter) HandleConn(context.Context, rpc.ConnStats) {}
