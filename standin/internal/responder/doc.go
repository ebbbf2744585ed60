// Package responder implements a stand-in for an endpoint of the platform: signed responses and resumable event streams,
// with injectable faults. It records the requests that it executes.
package responder
