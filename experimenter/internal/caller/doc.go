// Package caller sends requests to a router as callers do.
package caller
