// Package cli is the command line of the router. Without a command it runs the router that forwards requests through
// sidecars; the command "gateway" runs the gateway, which proxies requests directly to endpoints.
package cli
