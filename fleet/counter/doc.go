// Package counter counts the bytes that pass through network connections.
package counter
