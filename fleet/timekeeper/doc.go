// Package timekeeper provides the monotonic and wall clocks used by the other packages, a manual clock for tests and
// simulations, and a sleep that a context can cancel.
package timekeeper
