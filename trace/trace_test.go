package trace

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/grpc"
)

// sink is a stand-in for an OTLP collector.
type sink struct {
	collector.UnimplementedTraceServiceServer

	mu    sync.Mutex
	names []string
}

// Export takes spans in.
func (s *sink) Export(_ context.Context, r *collector.ExportTraceServiceRequest) (*collector.ExportTraceServiceResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, resource := range r.GetResourceSpans() {
		for _, scope := range resource.GetScopeSpans() {
			for _, span := range scope.GetSpans() {
				s.names = append(s.names, span.GetName())
			}
		}
	}
	return &collector.ExportTraceServiceResponse{}, nil
}

// TestOTLP exports a span to a collector and passes its context on.
func TestOTLP(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &sink{}
	server := grpc.NewServer()
	collector.RegisterTraceServiceServer(server, s)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	tracer := &Tracer{
		Instance: "stockview-1",
		OTLP:     listener.Addr().String(),
		Ratio:    1,
	}
	if err := tracer.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	header := &fasthttp.RequestHeader{}
	tracer.StartSpan("call", header).End()
	if got := string(header.Peek("Traceparent")); got == "" {
		t.Error("got no traceparent for the next hop, want one")
	}
	if err := tracer.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if len(s.names) != 1 || s.names[0] != "call" {
		t.Errorf("got spans %v, want one of the call", s.names)
	}
}

// TestNoExporter covers a node that traces nothing.
func TestNoExporter(t *testing.T) {
	tracer := &Tracer{
		Ratio: 1,
	}
	if err := tracer.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	header := &fasthttp.RequestHeader{}
	tracer.StartSpan("call", header).End()
	if got := string(header.Peek("Traceparent")); got != "" {
		t.Errorf("got traceparent %q, want none", got)
	}
	if err := tracer.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}
