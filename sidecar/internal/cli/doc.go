// Package cli is the command line of the sidecar: it starts the process and shuts it down gracefully.
package cli
