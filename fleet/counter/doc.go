// Package counter counts the bytes that pass through network connections, for the metric control_bytes_total.
package counter
