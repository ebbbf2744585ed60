// Package responder plays an endpoint of the platform: signed answers, event streams and the faults of both.
package responder
