// Package worker runs every request of one endpoint through a chain of filters.
package worker
