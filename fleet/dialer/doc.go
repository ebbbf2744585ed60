// Package dialer opens TCP connections that detect unresponsive peers by keep-alive probes and TCP_USER_TIMEOUT.
package dialer
