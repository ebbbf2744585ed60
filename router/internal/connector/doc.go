// Package connector keeps connections to endpoints and sends single requests over them.
package connector
