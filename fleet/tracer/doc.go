// Package tracer sets up traces with a span for each hop.
package tracer
