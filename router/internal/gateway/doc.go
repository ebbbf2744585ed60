// Package gateway runs the front that routes straight to endpoints, and the controllers that keep its state.
package gateway
