// Package forwarder takes requests over HTTP and passes each to one endpoint at a time, byte for byte.
package forwarder
