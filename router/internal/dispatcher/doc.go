// Package dispatcher sends one request to an endpoint and, where that is safe, to another.
package dispatcher
