package tracer

import (
	"context"
	"fmt"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	apitrace "go.opentelemetry.io/otel/trace"
)

// Tracer starts the spans of one process; without a collector it does nothing.
type Tracer struct {
	tracer     apitrace.Tracer
	propagator propagation.TraceContext
	on         bool
	stop       func(context.Context) error
}

// NewTracer returns a tracer that exports to an OTLP collector URL, or one that is off when the URL is empty.
func NewTracer(ctx context.Context, collector, program, process string) (*Tracer, error) {
	if collector == "" {
		return NewOff(), nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(collector))
	if err != nil {
		return nil, fmt.Errorf("tracer: collector %s: %w", collector, err)
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program),
			attribute.String("service.instance.id", process),
		)),
	)

	return &Tracer{tracer: provider.Tracer(program), on: true, stop: provider.Shutdown}, nil
}

// NewOff returns a tracer that records nothing.
func NewOff() *Tracer {
	return &Tracer{tracer: otel.Tracer("off"), stop: func(context.Context) error { return nil }}
}

// Span is one hop of a request.
type Span struct {
	span apitrace.Span
}

// Start begins a span below the one that the headers carry.
func (t *Tracer) Start(ctx context.Context, name string, incoming http.Header) (context.Context, Span) {
	if !t.on {
		return ctx, Span{}
	}
	ctx = t.propagator.Extract(ctx, propagation.HeaderCarrier(incoming))
	ctx, span := t.tracer.Start(ctx, name)

	return ctx, Span{span: span}
}

// Inject writes the trace context of ctx into the headers of the next hop.
func (t *Tracer) Inject(ctx context.Context, outgoing http.Header) {
	if t.on {
		t.propagator.Inject(ctx, propagation.HeaderCarrier(outgoing))
	}
}

// Stop flushes what has not been exported.
func (t *Tracer) Stop(ctx context.Context) error {
	if err := t.stop(ctx); err != nil {
		return fmt.Errorf("tracer: flush: %w", err)
	}

	return nil
}

// Note adds an attribute to the span.
func (s Span) Note(name, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(name, value))
	}
}

// End closes the span, marked as failed when err is not nil.
func (s Span) End(err error) {
	if s.span == nil {
		return
	}
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}
