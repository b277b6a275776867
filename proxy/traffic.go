package proxy

import (
	"context"
	"net"
	"path"

	cyclam "github.com/cyclamensaddle/cyclam"
	"github.com/cyclamensaddle/cyclam/wire"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
)

// traffic counts the bytes that a node exchanges with another one over the links that it has
// opened itself, so that no byte counts at both ends. The counters are called
// link-bytes-PURPOSE-WAY.
type traffic struct {
	registry metrics.Registry
	// way is centre, region or far.
	way string
	// total counts everything on the connection, with the overhead of messages.
	total metrics.Counter
}

var _ stats.Handler = (*traffic)(nil)

// Purposes of messages.
const (
	purposeRequest = "request"
	purposeNested  = "nested"
	purposeAnswer  = "answer"
	// purposeProbe is that of exchanges which only tell whether a link works.
	purposeProbe = "probe"
)

// trafficTo returns the counters for a node's address.
func (n *Node) trafficTo(address string) *traffic {
	way := n.wayTo(address)
	return &traffic{
		registry: n.Metrics,
		way:      way,
		total:    metrics.GetOrRegisterCounter("link-bytes-total-"+way, n.Metrics),
	}
}

// wayTo returns how far a node is by its address. One that is not known counts as far.
func (n *Node) wayTo(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.fleet.members {
		if m.view.Endpoint.Control == address {
			return wayName(n.Settings.Self.Locality, m.view.Endpoint.Locality)
		}
	}
	return "far"
}

// wayName returns centre, region or far.
func wayName(from, to cyclam.Locality) string {
	switch {
	case from.DataCentre == to.DataCentre:
		return "centre"
	case from.Region == to.Region:
		return "region"
	default:
		return "far"
	}
}

// countSent counts an attempt by its way.
func (m meters) countSent(way string) {
	metrics.GetOrRegisterCounter("attempts-sent-"+way, m.registry).Inc(1)
}

func (t *traffic) count(purpose string, bytes int) {
	metrics.GetOrRegisterCounter("link-bytes-"+purpose+"-"+t.way, t.registry).Inc(int64(bytes))
}

type methodKey struct{}

// TagRPC implements stats.Handler.
func (*traffic) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, path.Base(info.FullMethodName))
}

// HandleRPC implements stats.Handler.
func (t *traffic) HandleRPC(ctx context.Context, s stats.RPCStats) {
	method, _ := ctx.Value(methodKey{}).(string)
	switch event := s.(type) {
	case *stats.OutPayload:
		t.count(purposeOf(method, event.Payload), event.WireLength)
	case *stats.InPayload:
		t.count(purposeOf(method, event.Payload), event.WireLength)
	}
}

// purposeOf returns what a message is for: that of its method, unless its content says more.
func purposeOf(method string, message any) string {
	switch m := message.(type) {
	case *wire.Offer:
		if m.GetNested() {
			return purposeNested
		}
		return purposeRequest
	case *wire.Replies:
		return purposeAnswer
	case *wire.Knowledge:
		if m.GetSelf() == nil {
			return purposeProbe
		}
	}
	switch method {
	case "Exchange":
		return "exchange"
	case "Confirm":
		return "confirmation"
	case "Revoke":
		return "revocation"
	default:
		return "other"
	}
}

// TagConn implements stats.Handler.
func (*traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (*traffic) HandleConn(context.Context, stats.ConnStats) {}

// countedConn counts all bytes of a connection.
type countedConn struct {
	net.Conn

	traffic *traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	read, err := c.Conn.Read(b)
	c.traffic.total.Inc(int64(read))
	return read, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	written, err := c.Conn.Write(b)
	c.traffic.total.Inc(int64(written))
	return written, err
}
