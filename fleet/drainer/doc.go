// Package drainer tracks the connections of a server, so that a shutdown closes those that wait for a request and drops no
// request that has been read.
//
// A server's own record of a connection lags what has been read from it. Here a waiting connection is therefore never closed
// from outside: its reads expire, and the goroutine that reads from it finds either a request, which it serves, or nothing, and
// closes the connection.
package drainer
