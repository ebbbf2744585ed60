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

// Tracer starts the spans of a process. Without a collector, all its methods do nothing.
type Tracer struct {
	tracer     apitrace.Tracer
	propagator propagation.TraceContext
	isEnabled  bool
	shutdown   func(context.Context) error
}

// NewTracer returns a tracer that exports to the OTLP collector at a URL, or a disabled tracer if the URL is empty. The
// program and process become the service name and the service instance ID of the spans.
func NewTracer(ctx context.Context, collector, program, process string) (*Tracer, error) {
	if collector == "" {
		return NewDisabledTracer(), nil
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

	return &Tracer{tracer: provider.Tracer(program), isEnabled: true, shutdown: provider.Shutdown}, nil
}

// NewDisabledTracer returns a tracer that records nothing.
func NewDisabledTracer() *Tracer {
	return &Tracer{tracer: otel.Tracer("off"), shutdown: func(context.Context) error { return nil }}
}

// Span covers one hop of a request. The zero Span records nothing.
type Span struct {
	span apitrace.Span
}

// Start starts a span as a child of the span in the incoming headers and returns a context that contains it.
func (t *Tracer) Start(ctx context.Context, name string, incoming http.Header) (context.Context, Span) {
	if !t.isEnabled {
		return ctx, Span{}
	}
	ctx = t.propagator.Extract(ctx, propagation.HeaderCarrier(incoming))
	ctx, span := t.tracer.Start(ctx, name)

	return ctx, Span{span: span}
}

// Inject writes the trace context of ctx into the headers of the outgoing request.
func (t *Tracer) Inject(ctx context.Context, outgoing http.Header) {
	if t.isEnabled {
		t.propagator.Inject(ctx, propagation.HeaderCarrier(outgoing))
	}
}

// Shutdown exports the remaining spans and stops the tracer.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if err := t.shutdown(ctx); err != nil {
		return fmt.Errorf("tracer: shutdown: %w", err)
	}

	return nil
}

// SetAttribute sets a string attribute of the span.
func (s Span) SetAttribute(name, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(name, value))
	}
}

// End ends the span, with the status Error if err is not nil.
func (s Span) End(err error) {
	if s.span == nil {
		return
	}
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}
