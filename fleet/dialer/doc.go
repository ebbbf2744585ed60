// Package dialer opens TCP connections that detect unresponsive peers by keep-alive probes and TCP_USER_TIMEOUT, and tells readers of a
// connection of resets that its writer has met.
package dialer
