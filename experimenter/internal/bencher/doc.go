// Package bencher loads an engine directly and through router and sidecar, side by side.
package bencher
