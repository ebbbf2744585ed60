// Package counter counts the bytes of connections.
package counter
