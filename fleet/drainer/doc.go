// Package drainer tracks the connections of a server, so that a shutdown drops no request that has been read.
package drainer
