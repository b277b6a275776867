// Package trace records a span for each hop of a call and propagates the W3C
// trace context from hop to hop. It exports the spans to a file or an OTLP
// collector; without an exporter it does nothing.
package trace

import (
	"context"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"
)

// Tracer starts spans. Set the exported fields before Start.
type Tracer struct {
	// Instance is the instance name, which each span carries as the resource
	// attribute service.instance.id.
	Instance string
	// File is the file to which spans are appended as JSON lines. If empty, no
	// file is written.
	File string
	// OTLP is the host:port of an OTLP collector. If empty, no spans are sent.
	OTLP string
	// Ratio is the fraction of calls that are traced, from 0 to 1. A call with
	// a trace context follows the sampling decision of its caller.
	Ratio float64

	provider *sdk.TracerProvider
	tracer   api.Tracer
	file     io.Closer
}

var propagator = propagation.TraceContext{}

// Start sets up the exporters. If none is configured, no spans are recorded and
// StartSpan costs next to nothing.
func (t *Tracer) Start(ctx context.Context) error {
	options := []sdk.TracerProviderOption{
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(t.Ratio))),
		sdk.WithResource(resource.NewSchemaless(attribute.String("service.instance.id", t.Instance))),
	}
	if t.File != "" {
		file, err := os.OpenFile(t.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return errors.Wrap(err, "open trace file")
		}
		t.file = file
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return errors.Wrap(err, "create trace file exporter")
		}
		options = append(options, sdk.WithBatcher(exporter))
	}
	if t.OTLP != "" {
		exporter, err := otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(t.OTLP), otlptracegrpc.WithInsecure())
		if err != nil {
			return errors.Wrap(err, "create OTLP exporter for "+t.OTLP)
		}
		options = append(options, sdk.WithBatcher(exporter))
	}
	if t.File == "" && t.OTLP == "" {
		return nil
	}
	t.provider = sdk.NewTracerProvider(options...)
	t.tracer = t.provider.Tracer("cyclamensaddle")
	return nil
}

// Stop exports the remaining spans and closes the exporters.
func (t *Tracer) Stop(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		_ = t.file.Close()
	}
	return errors.Wrap(err, "stop tracing")
}

// Span is the span of one hop. The zero Span records nothing.
type Span struct {
	span api.Span
}

// StartSpan starts a span whose parent is the trace context in the request
// header. It replaces the context in the header by that of the new span, for
// the next hop.
func (t *Tracer) StartSpan(name string, header *fasthttp.RequestHeader) Span {
	if t.tracer == nil {
		return Span{}
	}
	ctx := propagator.Extract(context.Background(), headerCarrier{
		header: header,
	})
	ctx, span := t.tracer.Start(ctx, name)
	propagator.Inject(ctx, headerCarrier{
		header: header,
	})
	return Span{
		span: span,
	}
}

// End adds the attributes to the span and ends it.
func (s Span) End(attributes ...attribute.KeyValue) {
	if s.span == nil {
		return
	}
	s.span.SetAttributes(attributes...)
	s.span.End()
}

// headerCarrier reads and writes the trace context in a request header.
type headerCarrier struct {
	header *fasthttp.RequestHeader
}

var _ propagation.TextMapCarrier = headerCarrier{}

// Get implements propagation.TextMapCarrier.
func (c headerCarrier) Get(key string) string { return string(c.header.Peek(key)) }

// Set implements propagation.TextMapCarrier.
func (c headerCarrier) Set(key, value string) { c.header.Set(key, value) }

// Keys returns the names of the headers of the trace context, rather than those
// of all headers present.
func (c headerCarrier) Keys() []string { return propagator.Fields() }
