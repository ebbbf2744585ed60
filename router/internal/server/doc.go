// Package server is the HTTP server for callers of the router. It serves OpenAI-compatible chat completions and calls to
// plain services, and returns refusals as problem documents (RFC 9457).
package server
