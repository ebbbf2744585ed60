// Package tracer sets up OpenTelemetry tracing with one span for each hop of a request.
package tracer
