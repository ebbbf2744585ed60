// Package retrier decides whether a failed attempt may be retried, and holds the circuit breaker of an endpoint.
package retrier
