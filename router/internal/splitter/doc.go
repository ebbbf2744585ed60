// Package splitter splits a stream of server-sent events into whole events, however its bytes arrive.
package splitter
