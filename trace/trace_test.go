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

// fakeCollector is an OTLP collector that keeps the names of the spans it
// receives.
type fakeCollector struct {
	collector.UnimplementedTraceServiceServer

	mu    sync.Mutex
	names []string
}

// Export implements the OTLP trace service.
func (s *fakeCollector) Export(_ context.Context, r *collector.ExportTraceServiceRequest) (*collector.ExportTraceServiceResponse, error) {
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

// TestOTLP checks that a span reaches the collector and that its context is put
// into the request header for the next hop.
func TestOTLP(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := &fakeCollector{}
	server := grpc.NewServer()
	collector.RegisterTraceServiceServer(server, fake)
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
	if len(fake.names) != 1 || fake.names[0] != "call" {
		t.Errorf("got spans %v, want one of the call", fake.names)
	}
}

// TestNoExporter checks that a tracer without an exporter leaves the request
// header unchanged.
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
