// Package cli starts and stops the sidecar process.
package cli
