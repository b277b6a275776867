// Package trace makes a span for each hop of a call and carries the W3C trace
// context from hop to hop.
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

// Tracer starts spans; set its fields before Run.
type Tracer struct {
	// Instance names the node in every span.
	Instance string
	// File takes spans as JSON lines; empty writes none.
	File string
	// OTLP is the host:port of a collector; empty sends none.
	OTLP string
	// Ratio is the share of calls that are traced.
	Ratio float64

	provider *sdk.TracerProvider
	tracer   api.Tracer
	file     io.Closer
}

var propagator = propagation.TraceContext{}

// Start connects the exporters. Without any, spans cost next to nothing.
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
			return errors.Wrap(err, "make file exporter")
		}
		options = append(options, sdk.WithBatcher(exporter))
	}
	if t.OTLP != "" {
		exporter, err := otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(t.OTLP), otlptracegrpc.WithInsecure())
		if err != nil {
			return errors.Wrap(err, "make OTLP exporter for "+t.OTLP)
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

// Stop sends what is left.
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

// Span is one hop; the zero Span records nothing.
type Span struct {
	span api.Span
}

// StartSpan starts the span of a hop whose caller's context is in the request's
// header, and puts the span's own context there for the next hop.
func (t *Tracer) StartSpan(name string, header *fasthttp.RequestHeader) Span {
	if t.tracer == nil {
		return Span{}
	}
	ctx := propagator.Extract(context.Background(), carrier{
		header: header,
	})
	ctx, span := t.tracer.Start(ctx, name)
	propagator.Inject(ctx, carrier{
		header: header,
	})
	return Span{
		span: span,
	}
}

// End ends the span with a few attributes.
func (s Span) End(attributes ...attribute.KeyValue) {
	if s.span == nil {
		return
	}
	s.span.SetAttributes(attributes...)
	s.span.End()
}

// carrier reads and writes the trace context in a request's header.
type carrier struct {
	header *fasthttp.RequestHeader
}

var _ propagation.TextMapCarrier = carrier{}

// Get returns a header field.
func (c carrier) Get(key string) string { return string(c.header.Peek(key)) }

// Set sets a header field.
func (c carrier) Set(key, value string) { c.header.Set(key, value) }

// Keys returns the names of all fields that may hold the context.
func (c carrier) Keys() []string { return propagator.Fields() }
