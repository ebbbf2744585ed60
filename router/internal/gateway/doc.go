// Package gateway runs the gateway process of the router: it proxies requests directly to endpoints. To decide where a
// request goes it follows two key ranges of the platform's store (operator settings and the list of endpoints) and gossips
// with the other gateways about load, prompt placements and requests that crash endpoints.
package gateway
