// Package forwarder is the gateway's reverse proxy: it forwards callers' HTTP requests to endpoints, retries failed attempts
// and relays the responses. Bodies are passed on byte for byte. Each request is sent to one endpoint at a time.
package forwarder
